"""Levels of worth that are served too seldom go first: when, until when, and what is kept of them."""

from fennelpoint.system.proxy.fair_queueing import (
    HALF_LIFE_S,
    MAX_LEVELS,
    MIN_RELATIVE_SHARE,
    MIN_REQUESTS,
    FairOrder,
)

HIGH, LOW = 3.0, 1.0
BORN = 100.0
EVERY = 0.1  # s between two tries of each level


def play(order: FairOrder, now: float, seconds: float, low_offered: bool) -> float:
    """Both levels are asked for; the high one's tries are all offered.  Returns the time after it."""
    ends = now + seconds
    while now < ends:
        order.record(HIGH, True, now)
        order.record(LOW, low_offered, now)
        now += EVERY
    return now


def test_an_overload_of_some_seconds_leaves_the_order_as_it_is_and_a_long_one_does_not() -> None:
    order = FairOrder(BORN)
    now = play(order, BORN, 30.0, True)
    now = play(order, now, 0.7 * HALF_LIFE_S, False)
    assert not order.is_starved(LOW, now)
    now = play(order, now, 2.0 * HALF_LIFE_S, False)
    assert order.is_starved(LOW, now) and not order.is_starved(HIGH, now)


def test_a_level_that_is_served_again_goes_first_no_longer_and_keeps_its_floor() -> None:
    order = FairOrder(BORN)
    now = play(order, BORN, 5.0 * HALF_LIFE_S, False)
    served = tries = 0
    for _ in range(1000):
        offered = order.is_starved(LOW, now)
        order.record(HIGH, True, now)
        order.record(LOW, offered, now)
        served, tries, now = served + offered, tries + 1, now + EVERY
    whole = (served + tries) / (2 * tries)
    assert 0.9 * MIN_RELATIVE_SHARE < served / tries / whole < 1.3 * MIN_RELATIVE_SHARE


def test_few_tries_say_nothing_and_old_ones_are_forgotten() -> None:
    order = FairOrder(BORN)
    for number in range(int(MIN_REQUESTS) - 1):
        order.record(LOW, False, BORN + 0.01 * number)
        order.record(HIGH, True, BORN + 0.01 * number)
    assert not order.is_starved(LOW, BORN + 1.0) and not order.is_starved(2.0, BORN + 1.0)
    now = play(order, BORN, 3.0 * HALF_LIFE_S, False)
    assert order.is_starved(LOW, now) and not order.is_starved(LOW, now + 10.0 * HALF_LIFE_S)


def test_where_nothing_is_served_at_all_nobody_goes_first() -> None:
    order = FairOrder(BORN)
    for number in range(100):
        order.record(LOW, False, BORN + EVERY * number)
        order.record(HIGH, False, BORN + EVERY * number)
    assert not order.is_starved(LOW, BORN + 10.0) and not order.is_starved(HIGH, BORN + 10.0)


def test_what_is_kept_is_bounded_and_the_least_asked_for_goes() -> None:
    order = FairOrder(BORN)
    for level in range(3 * MAX_LEVELS):
        order.record(HIGH, True, BORN + level)
        order.record(100.0 + level, False, BORN + level)
    assert len(order.levels) == MAX_LEVELS and HIGH in order.levels
