"""The quorum check: an echo counts as of the time when its message was sent, and not across a pause."""

import zlib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.system.actions import Send
from fennelpoint.system.calls import find_call
from fennelpoint.system.http_server import ApiRequest
from fennelpoint.system.proxy.core_session import CoreSession
from fennelpoint.system.registry.quorum_check import BACKLOG_S, ECHO_VALIDITY_S, PAUSE_THRESHOLD_S, QuorumCheck
from fennelpoint.system.registry.state_machine import Answer, RegistryStateMachine
from fennelpoint.system.settings import Bounds
from fennelpoint.system.store.replicated_state import initial_state
from fennelpoint.testing.core_machines import CheckFailed
from fennelpoint.testing.core_simulation import run_scenario

OTHERS = ["b", "c", "d", "e"]


def majority(ips: set[str]) -> bool:
    return len(ips) >= 3


STEPS = st.lists(st.tuples(st.sampled_from([0.05, 0.3, 0.6, 1.3, 20.0]), st.sampled_from(OTHERS),
                           st.sampled_from(["send", "echo", "late echo", "foreign echo"])), max_size=40)


@given(STEPS)
def test_quorum_means_recent_echoes_from_a_majority(steps: list) -> None:
    """Messages may be lost, delayed or of a foreign clock; the expectation is computed from the messages alone."""
    check, now, resumed_at, started_at = QuorumCheck("a", 100.0), 100.0, 100.0, 100.0
    sent: dict[str, list[float]] = {ip: [] for ip in OTHERS}
    echoed: dict[str, float] = {}
    for step, peer, what in steps:
        now += step
        if step > PAUSE_THRESHOLD_S:
            resumed_at = now
        assert check.detect_pause(now) is (step > PAUSE_THRESHOLD_S)
        if what == "send":
            stamp, _, _ = check.gossip_header(peer, False, now)
            sent[peer].append(stamp)
        elif what == "foreign echo":    # of an earlier incarnation, or of another clock
            check.on_echo(peer, int((started_at - 5.0) * 1000), now)
            check.on_echo(peer, int((now + 5.0) * 1000), now)
        elif sent[peer]:
            stamp = sent[peer][-1 if what == "echo" else 0]
            check.on_gossip(peer, 7, stamp, True, now)
            echoed[peer] = max(echoed.get(peer, 0.0), stamp / 1000)
        fresh = {ip for ip, sent_at in echoed.items()
                 if sent_at >= resumed_at - 0.001 and now - sent_at <= ECHO_VALIDITY_S}
        is_backlog_over = resumed_at == started_at or now >= resumed_at + BACKLOG_S
        assert check.has_quorum(majority, now) is (is_backlog_over and len(fresh) >= 2)


def test_a_message_that_waited_during_a_pause_does_not_make_its_sender_trusted() -> None:
    check = QuorumCheck("a", 0.0)
    check.on_gossip("b", 1, 0, True, 0.5)
    assert check.is_trusted("b", 0.5 + ECHO_VALIDITY_S) and not check.is_trusted("b", 0.6 + ECHO_VALIDITY_S)
    check.detect_pause(20.0)
    check.on_gossip("b", 2, 0, True, 20.0)
    assert not check.is_trusted("b", 20.0) and check.possible_delay_s(20.0) == 20.0


def test_a_proxy_keeps_the_newest_core_membership() -> None:
    proxy = CoreSession("f", "za", "ra", {}, ["a"], {}, 0.0)
    proxy.handle_message("roll@b", ["core", {"a": "za", "b": "zb"}, 7], 1.0)
    proxy.handle_message("roll@a", ["core", {"a": "za"}, 5], 2.0)
    assert proxy.by_distance() == ["a", "b"]


@pytest.mark.parametrize("scenario", ["beats_cut_off", "beats_deaf"])
def test_scenarios_detect_a_machine_that_acknowledges_without_a_quorum(scenario: str, monkeypatch) -> None:
    """The planted fault takes the state of connections for proof of contact."""
    monkeypatch.setattr(QuorumCheck, "has_quorum", lambda self, is_majority, now: True)
    directory = Path(__file__).parent / "scenarios"
    with pytest.raises(CheckFailed):
        run_scenario((directory / "site").read_text() + (directory / f"{scenario}.txt").read_text())


def test_a_patch_does_not_continue_after_its_call_has_timed_out() -> None:
    """The base configuration arrives after the call was answered 503, which promises that it has no effect."""
    registry = RegistryStateMachine("a", "za", "ra", {}, ["a"], 8200, Bounds(), 1.5, 1, True, 0.0)
    registry.tick(0.0)
    call, _, _ = find_call("control_plane", "PATCH", "/api/configuration")
    request = ApiRequest(call, "", {}, b'{"version": 5, "base_version": 3, "upsert": {}, "remove": {}}', None)
    (read_message,) = [a.message for a in registry.on_call(request, 0.1) if isinstance(a, Send)]
    cluster_state = {**initial_state({"a": "za"}), "rev": 1, "version": 3, "digest": "d"}
    registry.on_message("writ@a", ["newest", read_message[1], cluster_state], 0.2)
    actions = [action for tick in range(1, 80) for action in registry.tick(0.2 + tick * 0.05)]
    assert [a.reply.status for a in actions if isinstance(a, Answer)] == [503]
    base = zlib.compress(b'{"version": 3, "base_version": 0, "listener_table": [], "clusters": []}')
    assert not registry.on_message("writ@a", ["content", "d", base], 4.3)
