"""Agencies that kill nodes are detected by the pattern of deaths, others are not, and quarantines expire."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.cells.quarantine import (
    ACCUSATION_EVIDENCE,
    FIRST_QUARANTINE_S,
    MAX_QUARANTINE_S,
    MAX_RECORDS,
    MIN_DEATHS,
    PoisonDetector,
)

NODES = [f"n{i}" for i in range(10)]


def kill(detector: PoisonDetector, node: str, agency: int, now: float) -> list[int]:
    """Kill a node by a request of an agency: it breaks off and the next connection attempt fails."""
    detector.attempt_sent(agency, node, now)
    detector.attempt_ended(agency, node, True, False, now + 0.01)
    detector.attempt_sent(999, node, now + 0.02)
    return detector.attempt_ended(999, node, False, True, now + 0.03)


def send_normal_traffic(detector: PoisonDetector, agencies: range, now: float, rng: random.Random) -> None:
    """Send one request of each agency to a random node; all are answered."""
    for agency in agencies:
        node = rng.choice(NODES)
        detector.attempt_sent(agency, node, now)
        detector.attempt_ended(agency, node, False, False, now + 0.005)


def test_an_agency_that_kills_node_after_node_is_accused_after_a_few_deaths():
    detector, rng, accused = PoisonDetector(), random.Random(1), []
    deaths = 0
    for i in range(10):
        send_normal_traffic(detector, range(1, 40), i * 2.0, rng)
        deaths += 1
        accused += kill(detector, NODES[i], 7777, i * 2.0 + 1.0)
        if accused:
            break
    assert accused == [7777] and MIN_DEATHS <= deaths <= 4 and detector.is_quarantined(7777, i * 2.0 + 2.0)


def test_deaths_without_a_pattern_accuse_no_agency():
    detector, rng = PoisonDetector(), random.Random(2)
    for i in range(60):
        send_normal_traffic(detector, range(1, 40), i * 2.0, rng)
        victim = rng.randrange(1, 40)     # a random agency
        assert kill(detector, rng.choice(NODES), victim, i * 2.0 + 1.0) == []


def test_an_agency_present_at_every_node_is_not_accused_for_its_presence():
    """A large agency is at every node that dies, but also at every node that survives."""
    detector, rng = PoisonDetector(), random.Random(3)
    for node in NODES:
        for _ in range(60):
            detector.attempt_sent(1, node, 0.0)
    for i in range(30):
        assert 1 not in kill(detector, rng.choice(NODES), rng.randrange(100, 10_000), 1.0 + i)


def test_breaks_without_a_death_are_no_evidence():
    detector = PoisonDetector()
    for i in range(50):
        detector.attempt_sent(5, NODES[i % 10], i * 1.0)
        assert detector.attempt_ended(5, NODES[i % 10], True, False, i * 1.0 + 0.1) == []
    assert detector.records[5].evidence == 0.0


def test_a_node_that_cant_be_reached_long_after_a_break_did_not_die_of_it():
    detector = PoisonDetector()
    detector.attempt_sent(5, "n0", 0.0)
    detector.attempt_ended(5, "n0", True, False, 0.1)
    detector.attempt_sent(6, "n0", 10.0)
    assert detector.attempt_ended(6, "n0", False, True, 10.1) == [] and detector.records[5].deaths == 0


def test_a_node_dropped_from_the_roster_counts_as_dead():
    detector = PoisonDetector()
    for i in range(MIN_DEATHS + 1):
        send_normal_traffic(detector, range(20, 60), float(i), random.Random(i))
        detector.attempt_sent(5, NODES[i], float(i))
        detector.attempt_ended(5, NODES[i], True, False, i + 0.1)
        accused = detector.node_removed(NODES[i], i + 0.5)
        if accused:
            break
    assert accused == [5] and NODES[i] not in detector.nodes


def test_a_death_counts_once_however_many_attempts_find_the_node_unreachable():
    detector = PoisonDetector()
    kill(detector, "n0", 5, 0.0)
    before = detector.records[5].deaths
    for agency in range(20, 30):
        detector.attempt_ended(agency, "n0", False, True, 0.1)
    assert detector.records[5].deaths == before == 1


def test_a_quarantine_expires_and_the_next_lasts_twice_as_long_up_to_a_bound():
    detector, now, durations = PoisonDetector(), 0.0, []
    for _ in range(8):
        accused: list[int] = []
        while not accused:
            now += 1.0
            accused = kill(detector, NODES[int(now) % 10], 5, now)
        durations.append(detector.records[5].quarantined_until - now)
        now = detector.records[5].quarantined_until + 1.0
        assert not detector.is_quarantined(5, now)
    assert (durations[0] == pytest.approx(FIRST_QUARANTINE_S, abs=0.1)
            and durations[1] == pytest.approx(2 * FIRST_QUARANTINE_S, abs=0.1))
    assert max(durations) <= MAX_QUARANTINE_S + 0.1 and durations[-1] == pytest.approx(MAX_QUARANTINE_S, abs=0.1)


def test_evidence_decays():
    detector = PoisonDetector()
    kill(detector, "n0", 5, 0.0)
    kill(detector, "n1", 5, 1.0)
    first = detector.records[5].evidence
    assert first < ACCUSATION_EVIDENCE
    kill(detector, "n2", 6, 3600.0)
    assert detector.records[5].evidence < first / 100 and detector.records[5].deaths == 0
    assert "nothing" in detector.explain(4, 0.0) and "likelier" in detector.explain(5, 3600.0)


def test_records_are_bounded_and_those_of_quarantined_agencies_are_not_evicted():
    detector = PoisonDetector()
    for i in range(6):
        kill(detector, NODES[i], 5, float(i))
    assert detector.is_quarantined(5, 6.0)
    for agency in range(10_000, 10_000 + 2 * MAX_RECORDS):
        detector.attempt_sent(agency, "n0", 7.0)
        detector.attempt_ended(agency, "n0", False, False, 7.0)
    assert len(detector.records) <= MAX_RECORDS and detector.is_quarantined(5, 8.0)


@given(st.lists(st.tuples(st.integers(0, 5), st.sampled_from(NODES[:3]), st.booleans(), st.booleans(),
                          st.sampled_from(["sent", "ended", "gone"])), max_size=60))
def test_any_order_of_events_keeps_counts_and_evidence_in_range(events):
    detector, now = PoisonDetector(), 0.0
    for agency, node, broke_off, is_unreachable, event in events:
        now += 0.1
        if event == "sent":
            detector.attempt_sent(agency, node, now)
        elif event == "ended":
            detector.attempt_ended(agency, node, broke_off, is_unreachable, now)
        else:
            detector.node_removed(node, now)
        for activity in detector.nodes.values():
            assert all(count > 0 for count in activity.in_flight.values())
        for record in detector.records.values():
            assert (record.evidence >= 0.0 and 0.0 <= record.presence <= 1.0
                    and record.quarantined_until <= now + MAX_QUARANTINE_S)
