"""An answer counts only for the request whose number it bears: one for a former life is nobody's.

Each is played with the fence taken out, too, and must then break: the planted fault "an answer of an older
incarnation counted".
"""

from pathlib import Path
from random import Random

import pytest

from fennelpoint.fleet.register import Acceptor, RegisterState, RejoinRequest, handle
from fennelpoint.system.incarnation import first_number, same_life
from fennelpoint.system.proxy import core_session
from fennelpoint.system.proxy.core_session import CoreSession
from fennelpoint.system.proxy.session_actions import Hold
from fennelpoint.system.registry import leader_lease, state_machine
from fennelpoint.system.registry.allocator import Allocator
from fennelpoint.system.registry.grants import GRANT_LIFE, WHOLE
from fennelpoint.system.registry.leader_lease import SPAN, Duty
from fennelpoint.system.store import replica
from fennelpoint.system.store.replica import FOUNDING_BALLOT, KEY, Replica, Send
from fennelpoint.system.store.replicated_state import initial_state
from fennelpoint.testing.core_machines import Broken
from fennelpoint.testing.core_simulation import play

SCENARIOS = Path(__file__).parent / "scenarios"


@pytest.fixture(params=["fenced", "planted"])
def fenced(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> bool:
    """Whether lives number their requests apart; else all begin at one number, as before."""
    if request.param == "planted":
        for module in (state_machine, replica, core_session):
            monkeypatch.setattr(module, "first_number", lambda incarnation: 0)
        monkeypatch.setattr(leader_lease, "same_life", lambda one, other: True)
    return request.param == "fenced"


def test_numbers_of_two_lives_never_meet() -> None:
    lives = [Random(seed).getrandbits(40) for seed in range(1000)]
    starts = sorted(first_number(life) for life in lives)
    assert all(b - a >= 1 << 22 for a, b in zip(starts, starts[1:], strict=False)) and starts[-1] < 1 << 63
    assert same_life(first_number(7) + 1, first_number(7) + 4_000_000) and not same_life(
        first_number(7) + 1, first_number(8) + 1)


@pytest.mark.parametrize("name", ["answer_to_former_registry", "answer_to_former_store", "draw_of_former_front"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_scenarios_find_an_answer_of_an_older_incarnation_that_counts(name: str, seed: int,
                                                                          fenced: bool) -> None:
    text = (SCENARIOS / "site").read_text() + (SCENARIOS / name).with_suffix(".txt").read_text()
    if fenced:
        play(text, seed)
    else:
        with pytest.raises(Broken):
            play(text, seed)


def test_a_drain_is_not_acknowledged_by_what_others_hold_of_a_former_lifes(fenced: bool) -> None:
    world = play((SCENARIOS / "site").read_text() + "at 4 late 0.4 hold\nrestart roll a1")

    def drain(id: str) -> None:
        told = {"address": "9.9.9.9:80", "status": {"state": "draining", "sequence": 1},
                "information": {"service": "svc", "free_slots": 2, "availability_zone": "za"}}
        world.call("PUT", f"/api/instances/{id}", told, "a1", id)

    def begun() -> int:
        return state_machine.first_number(world.cores["a1"].desk.life)

    world.run(4.3)      # connected again: one that is not answers 503 at once
    counted = world.cores["a1"].desk.tokens - begun()
    drain("x1")
    world.run(4.34)
    for line in ("late 5 backends", "restart roll a1"):     # nobody hears of the second one
        world.do(line.split())
    world.run(4.64)
    world.cores["a1"].desk.tokens = begun() + counted   # it has made as many requests as its former life had
    drain("x2")
    world.run(5.7)
    assert world.status("x2") == (503 if fenced else 200)
    assert not any("x2" in c.desk.backends.known for c in world.cores.values() if c.ip != "a1")


def test_a_lease_that_a_former_life_of_the_machine_asked_for_is_none(fenced: bool) -> None:
    """Its steady clock began anew with the machine: by the old one's stamp the lease would last for an hour."""
    lives = []
    for life, born in ((11, 3600.0), (12, 2.0)):
        front = CoreSession("f", "za", "ra", {"za": "ra"}, ["a"], {"life": life}, born)
        front.linked("roll@a", True, born)
        lives.append([a.message for a in front.tick(born + 1.0) + front.out if a.message[0] == "ask"] or
                     [a.message for a in front.say(born + 1.0)])
        front.lists.add("roll@a")
        front.applied = "d"
    number = lives[0][0][1]
    out = front.heard("roll@a", ["lease", number, 1, 3, "d", [], 1], 4.0)
    assert any(isinstance(a, Hold) and a.held for a in out) is not fenced


def two_hold(reborn: Duty) -> bool:
    """A claimant dies while grants are on their way to it; whether its next life and another both hold the duty."""
    first, other = Duty("a", 0.0, first_number(1)), Duty("b", 0.0, first_number(3))
    voters = {ip: Duty(ip, 0.0) for ip in "cde"}
    term, late = first.due(0.2, 0, True), []
    for ip, voter in voters.items():
        late.append((term, first.claims, ip, voter.claimed(term, False, first.claims, 0.2)))
    mine = reborn.due(1.1, 0, True)
    assert other.due(1.1, 1, True) is None      # it may claim from now on: the second in line, after its turn
    for _, claim, ip, firm in late:
        reborn.voted(mine, claim, ip, firm, "abcde", 1.15)
    now = 0.2 + SPAN + 0.3
    other.highest = 5
    theirs = other.due(now, 1, True)
    for ip, voter in voters.items():
        if (firm := voter.claimed(theirs, False, other.claims, now)) is not None:
            other.voted(theirs, other.claims, ip, firm, "abcde", now)
    assert other.holds(now)
    return reborn.holds(now)


def test_a_grant_to_a_former_life_does_not_count_for_its_next_claim() -> None:
    assert not two_hold(Duty("a", 0.9 + SPAN, first_number(2)))
    assert two_hold(Duty("a", 0.9 + SPAN, first_number(1)))     # planted: its claims bear the former life's numbers


def test_a_claim_given_up_by_a_former_life_releases_nothing_of_the_next(fenced: bool) -> None:
    voter = Duty("v", 0.0)
    voter.claimed((1, "a"), False, first_number(2) + 1, 5.0)
    voter.released((1, "a"), first_number(3) + 9, 5.05)
    assert (voter.claimed((2, "b"), False, 1, 5.1) is None) is fenced


def test_a_content_that_was_stored_for_a_former_life_has_no_holder_by_it(fenced: bool) -> None:
    """Whoever said so may have lost its disk since; a value that names it needs it on a majority."""
    def born(seed: int) -> tuple[Replica, int]:
        cell = RegisterState(FOUNDING_BALLOT, FOUNDING_BALLOT, initial_state(dict.fromkeys(("v1", "v2", "v3"), "z")))
        one = Replica("v3", "z", {}, ["v1", "v2", "v3"], Acceptor("v3", 1, True, {}, {KEY: cell}), False, {}.get,
                    Random(seed), 0.0)
        out = one.receive("roll", ["change", 1, "put", [3, 0, "s", "d"], b"data"], 0.0)
        return one, next(a.message[1] for a in out if isinstance(a, Send) and a.message[0] == "store")

    (_, former), (store, now) = sorted((born(1), born(2)), key=lambda made: -made[1])
    out = store.receive("v1", ["stored", former, "v1", "d"], 0.1)
    assert any(isinstance(a, Send) and a.message[0] == "prepare" for a in out) is not fenced
    out += store.receive("v1", ["stored", now, "v1", "d"], 0.2)
    assert any(isinstance(a, Send) and a.message[0] == "prepare" for a in out)


def test_what_a_voter_held_before_it_was_wiped_is_no_part_of_a_majority() -> None:
    """V1 answers, loses its disk and comes back without the value; then V2 takes it.  Nobody holds it with V2."""
    value, newer = initial_state(dict.fromkeys(("v1", "v2", "v3"), "z")), None
    newer = {**value, "rev": 2, "version": 7}
    old, new = RegisterState(FOUNDING_BALLOT, FOUNDING_BALLOT, value), RegisterState((5, "p"), (5, "p"), newer)
    held = {n: Acceptor(n, 1, True, {}, {KEY: old}) for n in ("v1", "v2", "v3")}
    reader = Replica("v3", "z", {}, ["v1", "v2", "v3"], held["v3"], False, {}.get, Random(1), 0.0)
    asks = {a.to: a.message for a in reader.receive("roll", ["read", 9], 0.0) + reader.tick(0.2)
            if isinstance(a, Send) and a.message[0] == "peek"}

    def store(name: str, keeper: Acceptor) -> Replica:
        return Replica(name, "z", {}, ["v1", "v2", "v3"], keeper, False, {}.get, Random(1), 0.0)

    def answer(one: Replica) -> list:
        (sent,) = [a.message for a in one.receive("v3", asks[one.me], 0.1) if isinstance(a, Send)]
        return sent

    first = answer(store("v1", Acceptor("v1", 1, True, {}, {KEY: new})))
    held["v2"], _ = handle(held["v2"], RejoinRequest("v1", 2))
    second = answer(store("v2", Acceptor("v2", 1, True, held["v2"].incarnations, {KEY: new})))
    out = reader.receive("v1", first, 0.2) + reader.receive("v2", second, 0.2)
    assert not [a for a in out if isinstance(a, Send) and a.message[0] == "newest"]
    # As it holds it in its new life, the two are a majority.
    again = answer(store("v1", Acceptor("v1", 2, True, {}, {KEY: new})))
    out = reader.receive("v1", again, 0.25)
    assert [a.message[2]["version"] for a in out if isinstance(a, Send) and a.message[0] == "newest"] == [7]


def test_a_late_word_of_a_front_that_died_does_not_speak_for_its_next_life() -> None:
    """The next life holds parts of the reckoner before; by the late ask it held nothing, and all was lent anew."""
    allocator = Allocator([2, "b"], ["f", "g"], 10.0)
    late = allocator.want("f", 1, "ra", [[0, ""], 0], {}, None, {"t": 20.0}, {}, 10.1)
    other = allocator.want("g", 5, "ra", [[2, "b"], 0], {"t": 50}, None, {"t": 20.0}, {}, 10.2)
    assert late is None and (other is None or not other.quotas)
    held = [{"t": 900}, {}, 0, [2, "b"], GRANT_LIFE]
    allocator.want("f", 2, "ra", [[1, "a"], 7], {"t": 1}, held, {"t": 20.0}, {}, 10.3)
    other = allocator.want("g", 5, "ra", [[2, "b"], 0], {"t": 50}, None, {"t": 20.0}, {}, 10.4)
    assert 0 < other.quotas["t"] <= WHOLE - 900
    # Nor does a word that was said to the reckoner before.
    another = Allocator([3, "c"], ["f", "g"], 20.0)
    assert another.want("f", 2, "ra", [[1, "a"], 7], {}, held, {"t": 20.0}, {}, 20.1) is None


def test_a_late_ask_of_a_former_life_takes_nothing_from_the_one_that_lives() -> None:
    allocator, rates = Allocator([2, "b"], ["f", "g"], 10.0), {"t": 20.0}
    allocator.want("g", 5, "ra", [[2, "b"], 0], {}, None, rates, {}, 10.1)
    mine = allocator.want("f", 2, "ra", [[2, "b"], 0], {"t": 50}, None, rates, {}, 10.2)
    assert mine.quotas["t"] > 600
    allocator.want("f", 1, "ra", [[2, "b"], 0], {}, None, rates, {}, 10.3)    # late: it is long dead
    other = allocator.want("g", 5, "ra", [[2, "b"], 0], {"t": 50}, None, rates, {}, 10.4)
    assert other.quotas["t"] <= WHOLE - mine.quotas["t"]
    assert allocator.want("f", 2, "ra", [[2, "b"], mine.number], {"t": 50}, None, rates, {}, 10.5) is not None


def test_a_fresh_front_takes_no_parts_of_a_reckoner_that_another_has_followed() -> None:
    """The new one knows of it by its former life: what the old one lends it in its last second is in no sum."""
    front = CoreSession("f", "za", "ra", {"za": "ra"}, ["a"], {"life": 2}, 0.0, applied="d")
    front.lists.add("roll@a")
    number = front._number(0.0)
    front.heard("roll@a", ["lend", number, [1, "a"], 7, [{"t": 900}, {}, 0]], 0.1)
    out = front.heard("roll@a", ["lease", number, 1, 3, "d", [], 2], 0.2)
    assert any(isinstance(a, Hold) and a.held for a in out) and not front.parts.quotas
    front.heard("roll@a", ["lend", number, [1, "a"], 8, [{"t": 900}, {}, 0]], 0.3)
    assert not front.parts.quotas
    front.heard("roll@b", ["lend", number, [2, "b"], 1, [{"t": 300}, {}, 0]], 0.4)
    assert front.parts.quotas == {"t": 300}
