"""The decider of contact: an echo counts as of the sending of its word, for a process that never stood still."""

import zlib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.system.actions import Send
from fennelpoint.system.calls import find
from fennelpoint.system.http_server import Asking
from fennelpoint.system.proxy.core_session import CoreSession
from fennelpoint.system.registry.quorum_check import DRAIN, FRESH, LAG, Contact
from fennelpoint.system.registry.state_machine import Answer, Desk
from fennelpoint.system.settings import Bounds
from fennelpoint.system.store.replicated_state import initial_state
from fennelpoint.testing.core_machines import Broken
from fennelpoint.testing.core_simulation import play

OTHERS = ["b", "c", "d", "e"]


def majority(who: set[str]) -> bool:
    return len(who) >= 3


STEPS = st.lists(st.tuples(st.sampled_from([0.05, 0.3, 0.6, 1.3, 20.0]), st.sampled_from(OTHERS),
                           st.sampled_from(["send", "echo", "late echo", "foreign echo"])), max_size=40)


@given(STEPS)
def test_in_touch_is_a_majority_that_echoed_a_word_of_late(steps: list) -> None:
    """Whatever is sent, lost, late or foreign: by the words themselves, told apart from the decider's own books."""
    contact, now, gap_end, born = Contact("a", 100.0), 100.0, 100.0, 100.0
    sent: dict[str, list[float]] = {ip: [] for ip in OTHERS}
    heard: dict[str, float] = {}
    for step, peer, what in steps:
        now += step
        if step > LAG:
            gap_end = now
        assert contact.woke(now) is (step > LAG)
        if what == "send":
            stamp, _, _ = contact.word(peer, False, now)
            sent[peer].append(stamp)
        elif what == "foreign echo":    # of a life before, or of another clock
            contact.echo(peer, int((born - 5.0) * 1000), now)
            contact.echo(peer, int((now + 5.0) * 1000), now)
        elif sent[peer]:
            stamp = sent[peer][-1 if what == "echo" else 0]
            contact.heard(peer, 7, stamp, True, now)
            heard[peer] = max(heard.get(peer, 0.0), stamp / 1000)
        fresh = {ip for ip, at in heard.items() if at >= gap_end - 0.001 and now - at <= FRESH}
        drained = gap_end == born or now >= gap_end + DRAIN
        assert contact.in_touch(majority, now) is (drained and len(fresh) >= 2)


def test_a_word_that_waited_while_we_stood_still_makes_nobody_believed() -> None:
    contact = Contact("a", 0.0)
    contact.heard("b", 1, 0, True, 0.5)
    assert contact.believed("b", 0.5 + FRESH) and not contact.believed("b", 0.6 + FRESH)
    contact.woke(20.0)
    contact.heard("b", 2, 0, True, 20.0)
    assert not contact.believed("b", 20.0) and contact.late(20.0) == 20.0


def test_a_front_keeps_the_newer_members_of_the_core() -> None:
    front = CoreSession("f", "za", "ra", {}, ["a"], {}, 0.0)
    front.heard("roll@b", ["core", {"a": "za", "b": "zb"}, 7], 1.0)
    front.heard("roll@a", ["core", {"a": "za"}, 5], 2.0)
    assert front.order() == ["a", "b"]


@pytest.mark.parametrize("scenario", ["beats_cut_off", "beats_deaf"])
def test_planted_a_machine_that_acknowledges_by_its_connections_is_found(scenario: str, monkeypatch) -> None:
    monkeypatch.setattr(Contact, "in_touch", lambda self, quorum, now: True)
    folder = Path(__file__).parent / "scenarios"
    with pytest.raises(Broken):
        play((folder / "site").read_text() + (folder / f"{scenario}.txt").read_text())


def test_a_patch_does_not_go_on_after_its_caller_has_gone() -> None:
    """Its base's content comes after the call's time: it was answered without effect, and stays so."""
    desk = Desk("a", "za", "ra", {}, ["a"], 8200, Bounds(), 1.5, 1, True, 0.0)
    desk.tick(0.0)
    call, _, _ = find("control_plane", "PATCH", "/api/configuration")
    asking = Asking(call, "", {}, b'{"version": 5, "base_version": 3, "upsert": {}, "remove": {}}', None)
    (read,) = [a.message for a in desk.call(asking, 0.1) if isinstance(a, Send)]
    world = {**initial_state({"a": "za"}), "rev": 1, "version": 3, "digest": "d"}
    desk.heard("writ@a", ["newest", read[1], world], 0.2)
    said = [action for tick in range(1, 80) for action in desk.tick(0.2 + tick * 0.05)]
    assert [a.reply.status for a in said if isinstance(a, Answer)] == [503]
    held = zlib.compress(b'{"version": 3, "base_version": 0, "listener_table": [], "clusters": []}')
    assert not desk.heard("writ@a", ["content", "d", held], 4.3)
