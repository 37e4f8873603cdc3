"""Rounds of the store under changes of members, without a network."""

from random import Random

import pytest

from fennelpoint.fleet.register import (
    ZERO,
    Acceptor,
    PromiseReply,
    RegisterState,
    Rejoin,
    RejoinRequest,
    Round,
    handle,
)
from fennelpoint.system.store.replica import FOUNDING_BALLOT, KEY, DiskSynced, Replica, Save, Send
from fennelpoint.system.store.replicated_state import add_standby, configure, groups_of, initial_state

REGIONS = {"za": "ra", "zb": "rb", "zc": "rc", "zd": "ra", "ze": "rb"}


def promise(name: str, value: object, accepted=ZERO, ballot=(1, "a")) -> PromiseReply:
    return PromiseReply(name, 1, True, ballot, accepted, value)


def state_of(voters: str, before: str = "", rev: int = 1) -> dict:
    state = initial_state(dict.fromkeys(voters, "z"))
    return {**state, "rev": rev, "before": dict.fromkeys(before, "z")}


def new_round(voters: str, change=lambda value: value) -> Round:
    return Round(KEY, (1, "a"), change, 0, groups=(frozenset(voters),), groups_of=groups_of)


def test_majority_without_a_value_proves_nothing() -> None:
    round_ = new_round("abc")
    for name in "abc":
        round_ = round_.with_answer(promise(name, None))
    assert round_.accept is None


def test_proposer_with_outdated_members_learns_the_newer_ones_and_asks_them() -> None:
    newer = state_of("abcde", "abc", rev=4)
    round_ = new_round("abc").with_answer(promise("a", state_of("abc"), (0, "x"))).with_answer(
        promise("b", newer, (0, "y")))
    # A majority of three is no majority of five.
    assert round_.accept is None and round_.prepare_recipients == frozenset("abcde")
    round_ = round_.with_answer(promise("d", newer, (0, "y")))
    assert round_.accept is not None and round_.accept.value["rev"] == 4


def test_change_of_members_needs_majorities_of_both_sets() -> None:
    def grow(value: dict) -> dict:
        return {**value, "rev": 2, "voters": dict.fromkeys("abcde", "z"), "before": value["voters"]}

    round_ = new_round("abc", grow).with_answer(promise("a", state_of("abc"), (0, "x"))).with_answer(
        promise("b", state_of("abc"), (0, "x")))
    assert round_.accept is None        # two of the three old voters, and two of the five new ones
    round_ = round_.with_answer(promise("d", None))
    assert round_.accept is not None
    for name in "ad":
        round_ = round_.with_answer(handle(Acceptor(name, 1, True, {}, {}), round_.accept)[1])
    assert not round_.is_agreed         # one of the three old voters
    assert round_.with_answer(handle(Acceptor("b", 1, True, {}, {}), round_.accept)[1]).is_agreed


def test_voters_grow_by_two_standbys_at_a_time_with_one_voter_per_zone() -> None:
    state = {**state_of("abc"), "voters": {"a": "za", "b": "zb", "c": "zc"}}
    one = add_standby("d", "zd", REGIONS, lambda state: [])(state)
    assert len(one["voters"]) == 3 and one["ready"] == {"d": "zd"}
    lacks_newest = add_standby("e", "ze", REGIONS, lambda state: ["new"] if state["digest"] == "new" else [])
    assert lacks_newest({**one, "digest": "new"})["ready"] == {"d": "zd"}   # it lacks the content of that very state
    two = add_standby("e", "ze", REGIONS, lambda state: [])(one)
    assert set(two["voters"]) == set("abcde") and two["before"] == state["voters"] and not two["ready"]
    same_zone = add_standby("e", "za", REGIONS, lambda state: [])(one)
    assert set(same_zone["voters"]) == set("abc")   # its zone has a voter


def test_last_founder_to_name_its_zone_promotes_standbys_that_were_added_before() -> None:
    """Guards against a core that stays at three voters: a standby asks to be added only once."""
    state = {**state_of("abc"), "voters": {"a": "za", "b": "zb", "c": ""}}
    for ip, zone in (("d", "zd"), ("e", "ze")):
        state = add_standby(ip, zone, REGIONS, lambda state: [])(state)
    assert set(state["voters"]) == set("abc") and set(state["ready"]) == set("de")
    state = add_standby("c", "zc", REGIONS, lambda state: [])(state)
    assert set(state["voters"]) == set("abcde") and set(state["before"]) == set("abc") and not state["ready"]
    assert add_standby("c", "zc", REGIONS, lambda state: [])(state) is state


def test_acceptor_that_lost_its_disk_needs_replies_of_three_of_the_other_four() -> None:
    state = state_of("abcde")
    registers = {KEY: RegisterState(FOUNDING_BALLOT, (3, "a"), state)}
    acceptors = {n: Acceptor(n, 1, True, {}, registers) for n in "bcde"}
    rejoin = Rejoin("a", 0, {}, groups=(frozenset("abcde"),), groups_of=groups_of)
    for phase in range(2):
        for count, name in enumerate("bcd", 1):
            acceptors[name], reply = handle(acceptors[name], RejoinRequest("a", rejoin.incarnation))
            rejoin = rejoin.with_reply(reply)
            if phase == 1:
                assert (rejoin.acceptor is not None) is (count == 3)
    assert rejoin.acceptor.incarnation == 2 and rejoin.acceptor.registers[KEY].value == state


def test_acceptor_that_lost_its_disk_finds_newer_members_although_its_seeds_are_replaced() -> None:
    """All of its seeds may have been replaced: the states in the replies name the members to ask, and a reply
    without a state proves nothing."""
    old, newer = (RegisterState(FOUNDING_BALLOT, FOUNDING_BALLOT, state_of("abc")),
                  RegisterState(FOUNDING_BALLOT, (7, "d"), state_of("cde", rev=3)))
    acceptors = {n: Acceptor(n, 1, True, {}, {KEY: newer}) for n in "de"} | {
        "b": Acceptor("b", 1, True, {}, {KEY: old}), "x": Acceptor("x", 1, True, {}, {})}
    rejoin = Rejoin("f", 0, {}, groups_of=groups_of)
    for name, is_enough in (("x", False), ("b", False), ("d", False), ("e", True)):
        rejoin = rejoin.with_reply(handle(acceptors[name], RejoinRequest("f", 0))[1])
        assert (rejoin.state_replies is not None) is is_enough
    for name in "bde":
        rejoin = rejoin.with_reply(handle(acceptors[name], RejoinRequest("f", rejoin.incarnation))[1])
    assert rejoin.acceptor.registers[KEY].value["rev"] == 3


def test_retried_configuration_is_accepted_once_and_another_base_is_refused() -> None:
    state = state_of("abc")
    first = configure(3, 0, "s", "d", {}.get)
    changed = first(state)
    retried, outdated_base, low_version = (configure(*request, {}.get) for request in (
        (3, 0, "s", "d"), (4, 0, "t", "e"), (2, 3, "u", "f")))
    assert retried(changed) is changed and retried.outcome.status == 200
    assert outdated_base(changed) is changed and outdated_base.outcome.status == 412
    assert low_version(changed) is changed and low_version.outcome.status == 400


def test_late_promise_is_still_answered_with_the_value() -> None:
    """Guards new voters: without the value, they formed the majority that held nothing."""
    replicas = {n: Replica(n, "za", REGIONS, list("abc"), Acceptor(n, 0, False, {}, {}), True, {}.get, Random(1), 0.0)
                for n in "abc"}
    for replica in replicas.values():
        replica._take_actions()
    actions = replicas["a"].receive("roll", ["change", 1, "evacuate", ["zb", True], b""], 0.0)
    delayed = None
    while actions:
        to, message = next(((a.to, a.message) for a in actions if isinstance(a, Send)), ("", None))
        actions = [a for a in actions if not (isinstance(a, Send) and a.message is message)]
        if message is None:
            break
        if to == "c" and message[0] == "prepare":
            delayed = message
        elif to in replicas:
            peer = "a" if to != "a" else "b"
            actions += replicas[to].receive(peer, message, 0.1)
    assert replicas["a"].state["evac"] == ["zb"] and not replicas["c"].acceptor.registers[KEY].value["evac"]
    (promised,) = (a.message for a in replicas["c"].receive("a", delayed, 0.2) if isinstance(a, Send))
    (accept,) = (a.message for a in replicas["a"].receive("c", promised, 0.3)
                 if isinstance(a, Send) and a.to == "c")
    replicas["c"].receive("a", accept, 0.4)
    assert replicas["c"].acceptor.registers[KEY].value["evac"] == ["zb"]


def test_data_that_the_disk_refused_is_not_revealed_until_the_disk_has_taken_all_of_it() -> None:
    """A reader that counted such data would acknowledge a change that a power loss takes back."""
    replica = Replica("a", "za", REGIONS, ["a", "b", "c"], Acceptor("a", 0, False, {}, {}), True, lambda digest: None,
                      Random(1), 0.0)
    replica.tick(0.1)
    newer = {**state_of("abc", rev=5), "version": 7}
    incarnations = [["a", 1], ["b", 1]]
    replica.receive("b", ["prepare", 1, [3, "b"]], 0.2)
    actions = replica.receive("b", ["accept", 1, [3, "b"], newer, incarnations], 0.3)
    assert isinstance(actions[0], Save)
    replica.disk_failed("the disk is full")     # the program stops at that action
    for message in (["peek", 2, [0, ""], 0], ["prepare", 3, [9, "c"]], ["hail", 7, "c", 2], ["store", 4, "d", b"x"]):
        assert not [a for a in replica.receive("c", message, 0.4) if isinstance(a, Send)]
    actions = replica.tick(1.5)
    assert [type(a) for a in actions[:2]] == [Save, DiskSynced] and actions[0].is_full
    replica.disk_failed("still full")
    assert not [a for a in replica.receive("c", ["peek", 5, [0, ""], 0], 1.6) if isinstance(a, Send)]
    replica.tick(2.6)
    replica.disk_recovered()
    (reply,) = [a for a in replica.receive("c", ["peek", 6, [0, ""], 0], 2.7) if isinstance(a, Send)]
    assert reply.message[-1]["version"] == 7


def sent_kinds(actions: list) -> set[str]:
    return {action.message[0] for action in actions if isinstance(action, Send)}


# Guards what is acknowledged: a vote that is not on the proposer's own disk is lost with its power.
@pytest.mark.parametrize("refused", ["promise", "vote"])
def test_promise_or_vote_that_the_own_disk_refused_does_not_count(refused: str) -> None:
    """Three voters, one of them out of reach: the other one and the proposer's own are a majority."""
    proposer, voter = (Replica(name, "za", REGIONS, list("abc"), Acceptor(name, 0, False, {}, {}), True, {}.get,
                               Random(1), 0.0) for name in "ab")
    for replica in (proposer, voter):
        replica._take_actions()
    actions = proposer.receive("roll", ["change", 1, "evacuate", ["zb", True], b""], 0.0)
    assert any(isinstance(action, Save) for action in actions)
    kinds: set[str] = set()
    if refused == "promise":
        proposer.disk_failed("the disk is full")
    for now in (0.01, 0.02):    # the prepare, then the accept, and their answers
        for to_voter in [a.message for a in actions if isinstance(a, Send) and a.to == "b"]:
            answers = [a.message for a in voter.receive("a", to_voter, now) if isinstance(a, Send) and a.to == "a"]
            actions = [action for answer in answers for action in proposer.receive("b", answer, now)]
            kinds |= sent_kinds(actions)
            if refused == "vote" and any(isinstance(action, Save) for action in actions):
                proposer.disk_failed("the disk is full")
    assert "changed" not in kinds and not proposer.state.get("evac")
    proposer.disk_recovered()
    assert "prepare" in sent_kinds(proposer.tick(1.0))      # it begins a new round once the disk is well
