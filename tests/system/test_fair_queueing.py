"""The starvation guard: when a level of worth goes first, until when, and which levels are tracked."""

from fennelpoint.system.proxy.fair_queueing import (
    HALF_LIFE_S,
    MAX_LEVELS,
    MIN_RELATIVE_SHARE,
    MIN_REQUESTS,
    FairOrder,
)

HIGH, LOW = 3.0, 1.0
START = 100.0
INTERVAL_S = 0.1  # between two requests of each level


def play(order: FairOrder, now: float, seconds: float, low_offered: bool) -> float:
    """Record requests of both levels, where those of the high one are all offered; returns the time afterwards."""
    end = now + seconds
    while now < end:
        order.record(HIGH, True, now)
        order.record(LOW, low_offered, now)
        now += INTERVAL_S
    return now


def test_only_a_lasting_overload_changes_the_order() -> None:
    order = FairOrder(START)
    now = play(order, START, 30.0, True)
    now = play(order, now, 0.7 * HALF_LIFE_S, False)
    assert not order.is_starved(LOW, now)
    now = play(order, now, 2.0 * HALF_LIFE_S, False)
    assert order.is_starved(LOW, now) and not order.is_starved(HIGH, now)


def test_a_starved_level_goes_first_until_it_has_its_minimum_share() -> None:
    order = FairOrder(START)
    now = play(order, START, 5.0 * HALF_LIFE_S, False)
    served = requests = 0
    for _ in range(1000):
        offered = order.is_starved(LOW, now)
        order.record(HIGH, True, now)
        order.record(LOW, offered, now)
        served, requests, now = served + offered, requests + 1, now + INTERVAL_S
    total_share = (served + requests) / (2 * requests)
    assert 0.9 * MIN_RELATIVE_SHARE < served / requests / total_share < 1.3 * MIN_RELATIVE_SHARE


def test_few_requests_are_not_significant_and_old_ones_decay() -> None:
    order = FairOrder(START)
    for number in range(int(MIN_REQUESTS) - 1):
        order.record(LOW, False, START + 0.01 * number)
        order.record(HIGH, True, START + 0.01 * number)
    assert not order.is_starved(LOW, START + 1.0) and not order.is_starved(2.0, START + 1.0)
    now = play(order, START, 3.0 * HALF_LIFE_S, False)
    assert order.is_starved(LOW, now) and not order.is_starved(LOW, now + 10.0 * HALF_LIFE_S)


def test_no_level_goes_first_if_nothing_is_served() -> None:
    order = FairOrder(START)
    for number in range(100):
        order.record(LOW, False, START + INTERVAL_S * number)
        order.record(HIGH, False, START + INTERVAL_S * number)
    assert not order.is_starved(LOW, START + 10.0) and not order.is_starved(HIGH, START + 10.0)


def test_tracked_levels_are_bounded_and_the_least_requested_one_is_evicted() -> None:
    order = FairOrder(START)
    for level in range(3 * MAX_LEVELS):
        order.record(HIGH, True, START + level)
        order.record(100.0 + level, False, START + level)
    assert len(order.levels) == MAX_LEVELS and HIGH in order.levels
