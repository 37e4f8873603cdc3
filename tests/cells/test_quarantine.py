"""Who kills nodes is found by the pattern of deaths, others are not, and an accusation ends by itself."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.cells.quarantine import ACCUSED, DEATHS, FIRST, LONGEST, MOST, Poison

NODES = [f"n{i}" for i in range(10)]


def kill(poison: Poison, node: str, agency: int, now: float) -> list[int]:
    """An agency's request that a node dies of, and the next connect that fails."""
    poison.sent(agency, node, now)
    poison.ended(agency, node, True, False, now + 0.01)
    poison.sent(999, node, now + 0.02)
    return poison.ended(999, node, False, True, now + 0.03)


def quiet(poison: Poison, agencies: range, now: float, draw: random.Random) -> None:
    """Each is now and then at some node, and is answered."""
    for agency in agencies:
        node = draw.choice(NODES)
        poison.sent(agency, node, now)
        poison.ended(agency, node, False, False, now + 0.005)


def test_one_whose_requests_kill_one_node_after_another_is_accused_after_a_few():
    poison, draw, accused = Poison(), random.Random(1), []
    deaths = 0
    for i in range(10):
        quiet(poison, range(1, 40), i * 2.0, draw)
        deaths += 1
        accused += kill(poison, NODES[i], 7777, i * 2.0 + 1.0)
        if accused:
            break
    assert accused == [7777] and DEATHS <= deaths <= 4 and poison.apart(7777, i * 2.0 + 2.0)


def test_deaths_without_a_pattern_accuse_nobody():
    poison, draw = Poison(), random.Random(2)
    for i in range(60):
        quiet(poison, range(1, 40), i * 2.0, draw)
        victim = draw.randrange(1, 40)     # whoever happens to be there
        assert kill(poison, draw.choice(NODES), victim, i * 2.0 + 1.0) == []


def test_one_that_is_at_every_node_all_the_time_is_not_accused_for_being_there():
    """A large agency is at all that dies, as it is at all that lives."""
    poison, draw = Poison(), random.Random(3)
    for node in NODES:
        for _ in range(60):
            poison.sent(1, node, 0.0)
    for i in range(30):
        assert 1 not in kill(poison, draw.choice(NODES), draw.randrange(100, 10_000), 1.0 + i)


def test_breaks_without_a_death_are_no_evidence():
    poison = Poison()
    for i in range(50):
        poison.sent(5, NODES[i % 10], i * 1.0)
        assert poison.ended(5, NODES[i % 10], True, False, i * 1.0 + 0.1) == []
    assert poison.records[5].evidence == 0.0


def test_a_node_that_cant_be_reached_long_after_a_break_did_not_die_of_it():
    poison = Poison()
    poison.sent(5, "n0", 0.0)
    poison.ended(5, "n0", True, False, 0.1)
    poison.sent(6, "n0", 10.0)
    assert poison.ended(6, "n0", False, True, 10.1) == [] and poison.records[5].deaths == 0


def test_a_list_without_the_node_tells_of_a_death_too():
    poison = Poison()
    for i in range(DEATHS + 1):
        quiet(poison, range(20, 60), float(i), random.Random(i))
        poison.sent(5, NODES[i], float(i))
        poison.ended(5, NODES[i], True, False, i + 0.1)
        accused = poison.gone(NODES[i], i + 0.5)
        if accused:
            break
    assert accused == [5] and NODES[i] not in poison.nodes


def test_one_death_counts_once_however_many_find_the_node_gone():
    poison = Poison()
    kill(poison, "n0", 5, 0.0)
    before = poison.records[5].deaths
    for agency in range(20, 30):
        poison.ended(agency, "n0", False, True, 0.1)
    assert poison.records[5].deaths == before == 1


def test_an_accusation_ends_and_the_next_lasts_twice_as_long_up_to_a_bound():
    poison, now, spans = Poison(), 0.0, []
    for _ in range(8):
        accused: list[int] = []
        while not accused:
            now += 1.0
            accused = kill(poison, NODES[int(now) % 10], 5, now)
        spans.append(poison.records[5].until - now)
        now = poison.records[5].until + 1.0
        assert not poison.apart(5, now)
    assert spans[0] == pytest.approx(FIRST, abs=0.1) and spans[1] == pytest.approx(2 * FIRST, abs=0.1)
    assert max(spans) <= LONGEST + 0.1 and spans[-1] == pytest.approx(LONGEST, abs=0.1)


def test_evidence_fades():
    poison = Poison()
    kill(poison, "n0", 5, 0.0)
    kill(poison, "n1", 5, 1.0)
    first = poison.records[5].evidence
    assert first < ACCUSED
    kill(poison, "n2", 6, 3600.0)
    assert poison.records[5].evidence < first / 100 and poison.records[5].deaths == 0
    assert "nothing" in poison.why(4, 0.0) and "likelier" in poison.why(5, 3600.0)


def test_what_is_remembered_is_bounded_and_who_is_apart_is_not_forgotten():
    poison = Poison()
    for i in range(6):
        kill(poison, NODES[i], 5, float(i))
    assert poison.apart(5, 6.0)
    for agency in range(10_000, 10_000 + 2 * MOST):
        poison.sent(agency, "n0", 7.0)
        poison.ended(agency, "n0", False, False, 7.0)
    assert len(poison.records) <= MOST and poison.apart(5, 8.0)


@given(st.lists(st.tuples(st.integers(0, 5), st.sampled_from(NODES[:3]), st.booleans(), st.booleans(),
                          st.sampled_from(["sent", "ended", "gone"])), max_size=60))
def test_any_order_of_events_keeps_the_books(events):
    poison, now = Poison(), 0.0
    for agency, node, broke, unreachable, what in events:
        now += 0.1
        if what == "sent":
            poison.sent(agency, node, now)
        elif what == "ended":
            poison.ended(agency, node, broke, unreachable, now)
        else:
            poison.gone(node, now)
        for seen in poison.nodes.values():
            assert all(count > 0 for count in seen.out.values())
        for record in poison.records.values():
            assert record.evidence >= 0.0 and 0.0 <= record.presence <= 1.0 and record.until <= now + LONGEST
