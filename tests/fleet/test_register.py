"""The register: every interleaving of small cases on the real decider, lost files, changes made once."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.fleet.consensus import decode_answer, decode_message, encode_answer, encode_message
from fennelpoint.fleet.register import (
    Accept,
    Cell,
    Change,
    Hello,
    Keeper,
    Known,
    Peek,
    Prepare,
    Rejoin,
    Round,
    Seen,
    Voted,
    agreed,
    handle,
)
from fennelpoint.testing.model_checker import begin, begin_members, explore, joint


@pytest.mark.parametrize("tries, losses, worlds", [
    ([("a", 1)], 0, 75), ([("a", 1)], 1, 6174), ([("a", 1), ("b", 2)], 0, 3074)])
def test_every_interleaving_keeps_one_order_of_changes(tries, losses, worlds):
    """Lost, doubled and late messages, proposers that stop, a keeper that loses its file at any point."""
    assert explore(begin(3, tries, losses), 10_000) == (worlds, "", True)


def only_new(value):
    """Planted: a change of voters asks for a majority of the new ones alone."""
    return joint(value)[:1]


MEMBERS = [(2, 1, [("a", 1, 1), ("b", 2, 0)]), (3, 1, [("a", 1, 2), ("b", 2, 0)]), (3, 2, [("a", 1, 2), ("b", 2, 0)])]


@pytest.mark.parametrize("keepers, founders, tries", MEMBERS)
def test_every_interleaving_of_a_change_of_voters_keeps_one_order(keepers, founders, tries):
    """One proposer changes the voters, in part or all of them; another one goes by the older list."""
    count, why, whole = explore(begin_members(keepers, founders, tries), 60_000)
    assert (why, whole) == ("", True) and count > 100


def test_a_change_of_voters_without_those_before_is_found():
    found = [explore(begin_members(*case, only_new), 60_000)[1] for case in MEMBERS]
    assert any("both agreed" in why or "a read finds" in why for why in found)


CONTENTS = [(3, 2, [("a", 1, 2), ("b", 2, 0)], 0, 2371), (5, 3, [("a", 1, 5)], 0, 1447)]


@pytest.mark.parametrize("keepers, founders, tries, losses, worlds", CONTENTS)
def test_every_interleaving_of_members_and_contents_keeps_both(keepers, founders, tries, losses, worlds):
    """One is replaced while another proposer brings a content; three become five.  Larger cases are run by hand."""
    assert explore(begin_members(keepers, founders, tries, losses=losses, content="0"), 60_000) == (worlds, "", True)


def looks_at_no_content(world, name, value, brought):
    """Planted: a voter without the content votes."""
    return world


def test_a_voter_without_the_content_is_found():
    """One of three is replaced and taken away, then one loses its disk: a majority had the content before."""
    begun = begin_members(4, 3, [("a", 1, 3)], losses=1, content="0")
    partly = replace(begun, held=begun.held - {("k2", "0")})
    count, why, _ = explore(partly, 20_000, obtain=looks_at_no_content)
    assert "nobody holds the content" in why and count < 20_000


def test_a_member_that_the_new_majority_alone_takes_out_is_found():
    """One of three is replaced without a word of the three before."""
    begun = begin_members(4, 3, [("a", 1, 3), ("b", 2, 0)], only_new, content="0")
    assert "a read finds" in explore(begun, 60_000, deep=True)[1]


def accepts_lower(keeper, message):
    """Planted: an older ballot is accepted."""
    if isinstance(message, Accept) and keeper.votes:
        cell = Cell(message.ballot, message.ballot, message.value)
        return replace(keeper, cells={message.key: cell}), Voted(keeper.name, keeper.life, True, message.ballot)
    return handle(keeper, message)


def promises_lower(keeper, message):
    """Planted: what was promised is forgotten."""
    if isinstance(message, Prepare) and keeper.votes:
        cell = keeper.cells.get(message.key, Cell())
        keeper = replace(keeper, cells={message.key: replace(cell, promised=message.ballot)})
        return keeper, Seen(keeper.name, keeper.life, True, message.ballot, cell.accepted, cell.value)
    return handle(keeper, message)


def trusts_old_lives(keeper, message):
    """Planted: a vote is not bound to the life that promised it."""
    if isinstance(message, Hello) and message.life:
        _, told = handle(keeper, message)
        return keeper, told
    return handle(keeper, message)


def votes_at_once(keeper, message):
    """Planted: a keeper that lost its file votes by what it has forgotten."""
    return handle(replace(keeper, life=1, votes=True) if not keeper.life else keeper, message)


@pytest.mark.parametrize("broken, tries, losses", [
    (votes_at_once, [("a", 1), ("b", 2)], 1),
    (accepts_lower, [("a", 1), ("b", 2)], 0), (promises_lower, [("a", 2), ("b", 1)], 0),
    (trusts_old_lives, [("a", 1)], 1)])
def test_the_checker_finds_planted_faults(broken, tries, losses):
    count, why, _ = explore(begin(3, tries, losses), 200_000, broken)
    assert "agreed" in why, count


def test_a_first_life_is_never_taken_again():
    """Found by the checker: nobody was told of life 1, so a keeper that lost its file took it again."""
    state = Rejoin("k0", 3, {})
    for name in ("k1", "k2"):
        state = state.heard(Known(name, True, (), ()))
    assert state.life == 2


def test_keepers_that_have_no_vote_help_nobody_to_one():
    state = Rejoin("k0", 3, {})
    for name in ("k1", "k2"):
        state = state.heard(Known(name, False, (), ()))
    assert state.told is None and state.keeper is None


def run_round(keepers: dict[str, Keeper], number: int, change) -> object:
    """One round with all messages in order; what is held after it."""
    state = Round("x", (number, "p"), change, len(keepers))
    for name in keepers:
        keepers[name], told = handle(keepers[name], state.first)
        state = state.heard(told)
    for name in sorted(state.asks):
        keepers[name], told = handle(keepers[name], state.sent)
        state = state.heard(told)
    assert state.done
    return state.sent.value


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5)), max_size=12))
def test_a_change_is_made_once_and_only_on_its_revision(tries):
    """Against a plain variable: tries of a few ids, each on some revision."""
    keepers = {f"k{i}": Keeper(f"k{i}", 1, True, {}, {}) for i in range(3)}
    revision, made = 0, {}
    for number, (who, expect) in enumerate(tries, 1):
        change = Change(expect, f"value {number}", f"id {who}")
        held = run_round(keepers, number, change)
        if f"id {who}" not in made and expect == revision:
            revision += 1
            made[f"id {who}"] = revision
        assert change.made(held) == made.get(f"id {who}") and held["rev"] == revision


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 2)), min_size=1, max_size=5))
def test_a_read_believes_only_a_majority_that_votes_alike(answers):
    seen = {f"k{i}": Seen(f"k{i}", 1, ok, (ballot, "p"), (ballot, "p"), ballot)
            for i, (ok, ballot) in enumerate(answers)}
    found = agreed(seen, 5)
    counts = [sum(ok and b == ballot for ok, b in answers) for ballot in range(3)]
    assert (found is not None) == (max(counts) >= 3)
    assert found is None or counts[found.value] >= 3


BALLOTS = st.tuples(st.integers(0, 1 << 40), st.text(max_size=4))
CELLS = st.builds(Cell, BALLOTS, BALLOTS, st.none() | st.integers())


@given(st.one_of(st.builds(Peek, st.text(max_size=4)), st.builds(Prepare, st.text(max_size=4), BALLOTS),
                 st.builds(Accept, st.text(max_size=4), BALLOTS, st.integers(),
                           st.tuples(st.tuples(st.text(max_size=3), st.integers(0, 9)))),
                 st.builds(Hello, st.text(max_size=3), st.integers(0, 9))))
def test_messages_come_through_the_wire_as_they_were(message):
    assert decode_message(encode_message(message)) == message


@given(st.one_of(st.builds(Seen, st.text(max_size=3), st.integers(0, 9), st.booleans(), BALLOTS, BALLOTS,
                           st.integers()),
                 st.builds(Voted, st.text(max_size=3), st.integers(0, 9), st.booleans(), BALLOTS),
                 st.builds(Known, st.text(max_size=3), st.booleans(), st.just((("k1", 2),)),
                           st.tuples(st.tuples(st.text(max_size=3), CELLS)))))
def test_answers_come_through_the_wire_as_they_were(answer):
    assert decode_answer(encode_answer(answer)) == answer


@pytest.mark.parametrize("value", [{"do": "prepare", "key": "x", "ballot": [1]}, {"do": "accept", "key": "x"},
                                   {"do": "prepare", "key": "x", "ballot": [-1, "a"]},
                                   {"do": "hello", "name": "k", "life": "x"}])
def test_garbage_is_no_message(value):
    with pytest.raises((ValueError, KeyError, TypeError)):
        decode_message(value)
