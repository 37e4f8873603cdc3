"""The register: every interleaving of small cases on the real state machine, lost files, idempotent changes."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.fleet.consensus import decode_answer, decode_message, encode_answer, encode_message
from fennelpoint.fleet.register import (
    Accept,
    Acceptor,
    AcceptReply,
    Change,
    Peek,
    Prepare,
    PromiseReply,
    RegisterState,
    Rejoin,
    RejoinReply,
    RejoinRequest,
    Round,
    handle,
    majority_value,
)
from fennelpoint.testing.model_checker import explore, initial_membership_state, initial_state, joint


@pytest.mark.parametrize("attempts, losses, states", [
    ([("a", 1)], 0, 75), ([("a", 1)], 1, 6174), ([("a", 1), ("b", 2)], 0, 3074)])
def test_every_interleaving_keeps_one_order_of_changes(attempts, losses, states):
    """Lost, duplicate and late messages, proposers that stop, an acceptor that loses its file at any point."""
    assert explore(initial_state(3, attempts, losses), 10_000) == (states, "", True)


def only_new_voters(value):
    """Injected fault: a change of voters needs a majority of the new ones alone."""
    return joint(value)[:1]


MEMBERS = [(2, 1, [("a", 1, 1), ("b", 2, 0)]), (3, 1, [("a", 1, 2), ("b", 2, 0)]), (3, 2, [("a", 1, 2), ("b", 2, 0)])]


@pytest.mark.parametrize("acceptors, founders, attempts", MEMBERS)
def test_every_interleaving_of_a_change_of_voters_keeps_one_order(acceptors, founders, attempts):
    """One proposer changes some or all of the voters; another uses the older list."""
    count, why, is_complete = explore(initial_membership_state(acceptors, founders, attempts), 60_000)
    assert (why, is_complete) == ("", True) and count > 100


def test_change_of_voters_without_the_previous_voters_is_found():
    found = [explore(initial_membership_state(*case, only_new_voters), 60_000)[1] for case in MEMBERS]
    assert any("both agreed" in why or "a read finds" in why for why in found)


CONTENTS = [(3, 2, [("a", 1, 2), ("b", 2, 0)], 0, 2371), (5, 3, [("a", 1, 5)], 0, 1447)]


@pytest.mark.parametrize("acceptors, founders, attempts, losses, states", CONTENTS)
def test_every_interleaving_of_members_and_contents_keeps_both(acceptors, founders, attempts, losses, states):
    """A voter is replaced while another proposer brings a content; three become five.  Run larger cases by hand."""
    assert explore(initial_membership_state(acceptors, founders, attempts, losses=losses, content="0"), 60_000) == (
        states, "", True)


def votes_without_content(state, name, value, brought):
    """Injected fault: a voter without the content votes."""
    return state


def test_voter_without_the_content_is_found():
    """One of three voters is replaced and removed, then one loses its disk: a majority had the content before."""
    initial = initial_membership_state(4, 3, [("a", 1, 3)], losses=1, content="0")
    partly_held = replace(initial, contents=initial.contents - {("k2", "0")})
    count, why, _ = explore(partly_held, 20_000, obtain=votes_without_content)
    assert "nobody holds the content" in why and count < 20_000


def test_member_removed_by_the_new_majority_alone_is_found():
    """One of three voters is replaced without asking the previous three."""
    initial = initial_membership_state(4, 3, [("a", 1, 3), ("b", 2, 0)], only_new_voters, content="0")
    assert "a read finds" in explore(initial, 60_000, depth_first=True)[1]


def accepts_lower(acceptor, message):
    """Injected fault: an acceptor accepts an older ballot."""
    if isinstance(message, Accept) and acceptor.can_vote:
        register = RegisterState(message.ballot, message.ballot, message.value)
        return replace(acceptor, registers={message.key: register}), AcceptReply(
            acceptor.name, acceptor.incarnation, True, message.ballot)
    return handle(acceptor, message)


def promises_lower(acceptor, message):
    """Injected fault: an acceptor forgets its promise."""
    if isinstance(message, Prepare) and acceptor.can_vote:
        register = acceptor.registers.get(message.key, RegisterState())
        acceptor = replace(acceptor, registers={message.key: replace(register, promised=message.ballot)})
        return acceptor, PromiseReply(acceptor.name, acceptor.incarnation, True, message.ballot, register.accepted,
                                      register.value)
    return handle(acceptor, message)


def trusts_old_incarnations(acceptor, message):
    """Injected fault: a vote is not bound to the incarnation that promised it."""
    if isinstance(message, RejoinRequest) and message.incarnation:
        _, reply = handle(acceptor, message)
        return acceptor, reply
    return handle(acceptor, message)


def votes_after_loss(acceptor, message):
    """Injected fault: an acceptor that lost its file votes with an empty state."""
    return handle(replace(acceptor, incarnation=1, can_vote=True) if not acceptor.incarnation else acceptor, message)


@pytest.mark.parametrize("faulty_handle, attempts, losses", [
    (votes_after_loss, [("a", 1), ("b", 2)], 1),
    (accepts_lower, [("a", 1), ("b", 2)], 0), (promises_lower, [("a", 2), ("b", 1)], 0),
    (trusts_old_incarnations, [("a", 1)], 1)])
def test_checker_finds_injected_faults(faulty_handle, attempts, losses):
    count, why, _ = explore(initial_state(3, attempts, losses), 200_000, faulty_handle)
    assert "agreed" in why, count


def test_first_incarnation_is_never_reused():
    """Guards against an acceptor that reuses incarnation 1 after the loss of its file, as it never announced it; the
    model checker found this."""
    rejoin = Rejoin("k0", 3, {})
    for name in ("k1", "k2"):
        rejoin = rejoin.with_reply(RejoinReply(name, True, (), ()))
    assert rejoin.incarnation == 2


def test_acceptors_without_a_vote_do_not_help_another_to_rejoin():
    rejoin = Rejoin("k0", 3, {})
    for name in ("k1", "k2"):
        rejoin = rejoin.with_reply(RejoinReply(name, False, (), ()))
    assert rejoin.state_replies is None and rejoin.acceptor is None


def run_round(acceptors: dict[str, Acceptor], number: int, change) -> object:
    """The value after one round with all messages in order."""
    round_ = Round("x", (number, "p"), change, len(acceptors))
    for name in acceptors:
        acceptors[name], answer = handle(acceptors[name], round_.prepare)
        round_ = round_.with_answer(answer)
    for name in sorted(round_.promised_by):
        acceptors[name], answer = handle(acceptors[name], round_.accept)
        round_ = round_.with_answer(answer)
    assert round_.is_agreed
    return round_.accept.value


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5)), max_size=12))
def test_change_is_made_once_and_only_on_its_revision(attempts):
    """Compares with a plain variable: attempts with a few ids, each on some revision."""
    acceptors = {f"k{i}": Acceptor(f"k{i}", 1, True, {}, {}) for i in range(3)}
    revision, made = 0, {}
    for number, (id_, expected) in enumerate(attempts, 1):
        change = Change(expected, f"value {number}", f"id {id_}")
        value = run_round(acceptors, number, change)
        if f"id {id_}" not in made and expected == revision:
            revision += 1
            made[f"id {id_}"] = revision
        assert change.made_revision(value) == made.get(f"id {id_}") and value["rev"] == revision


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 2)), min_size=1, max_size=5))
def test_read_needs_equal_answers_of_a_voting_majority(answers):
    replies = {f"k{i}": PromiseReply(f"k{i}", 1, ok, (ballot, "p"), (ballot, "p"), ballot)
               for i, (ok, ballot) in enumerate(answers)}
    found = majority_value(replies, 5)
    counts = [sum(ok and b == ballot for ok, b in answers) for ballot in range(3)]
    assert (found is not None) == (max(counts) >= 3)
    assert found is None or counts[found.value] >= 3


BALLOTS = st.tuples(st.integers(0, 1 << 40), st.text(max_size=4))
REGISTERS = st.builds(RegisterState, BALLOTS, BALLOTS, st.none() | st.integers())


@given(st.one_of(st.builds(Peek, st.text(max_size=4)), st.builds(Prepare, st.text(max_size=4), BALLOTS),
                 st.builds(Accept, st.text(max_size=4), BALLOTS, st.integers(),
                           st.tuples(st.tuples(st.text(max_size=3), st.integers(0, 9)))),
                 st.builds(RejoinRequest, st.text(max_size=3), st.integers(0, 9))))
def test_messages_survive_encoding(message):
    assert decode_message(encode_message(message)) == message


@given(st.one_of(st.builds(PromiseReply, st.text(max_size=3), st.integers(0, 9), st.booleans(), BALLOTS, BALLOTS,
                           st.integers()),
                 st.builds(AcceptReply, st.text(max_size=3), st.integers(0, 9), st.booleans(), BALLOTS),
                 st.builds(RejoinReply, st.text(max_size=3), st.booleans(), st.just((("k1", 2),)),
                           st.tuples(st.tuples(st.text(max_size=3), REGISTERS)))))
def test_answers_survive_encoding(answer):
    assert decode_answer(encode_answer(answer)) == answer


@pytest.mark.parametrize("value", [{"do": "prepare", "key": "x", "ballot": [1]}, {"do": "accept", "key": "x"},
                                   {"do": "prepare", "key": "x", "ballot": [-1, "a"]},
                                   {"do": "hello", "name": "k", "life": "x"}])
def test_malformed_message_is_rejected(value):
    with pytest.raises((ValueError, KeyError, TypeError)):
        decode_message(value)
