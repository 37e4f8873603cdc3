"""A customer's store as one number on the counter: its epochs, what ran over, corrections that met."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.interface import Plan
from fennelpoint.tally import (
    EPOCH,
    EPOCHS,
    LIFE,
    SPACE,
    base_of,
    known,
    lacks,
    level_of,
    name_of,
    owed,
    twice,
)

PLAN = Plan("basic", price=1.0, rate=1.0, burst=4.0, over_cost=1.0)
CAPPED = Plan("dear", 1.0, rate=1.0, burst=4.0, ceiling_rate=2.0, ceiling_burst=8.0, ceiling_slack=0.8)
BASE = base_of(PLAN)


@given(st.integers(0, 2 ** 33), st.floats(0.0, 4e9))
def test_name_lasts_an_epoch_and_less_than_the_counter_keeps_it(key, now):
    name, start = name_of(key, now)
    assert start <= now + 1e-3 and now < start + EPOCH + 1e-3 and EPOCH < LIFE
    assert name >= SPACE > 2 ** 33 + (1 << 40) and name % SPACE == key
    assert name_of(key, now + EPOCH)[0] != name and name < SPACE * (EPOCHS + 2) < 2 ** 63


def test_epochs_of_customers_do_not_turn_in_step():
    starts = {round(name_of(key, 1e9)[1]) for key in range(1000)}
    assert len(starts) > EPOCH - 5


@given(st.lists(st.tuples(st.floats(0.01, 20.0), st.sampled_from([1.0, 2.0])), max_size=60))
def test_store_is_never_more_than_a_true_one_and_what_ran_over(tries):
    """Against a bucket kept exactly; what ran over is told late, a quarter of the burst at most."""
    age, total, true = 0.0, 0.0, PLAN.burst
    for gap, units in tries:
        age, true = age + gap, min(PLAN.burst, true + PLAN.rate * gap)
        total += lacks(PLAN, age, total, PLAN.burst)
        assert known(PLAN, total) and lacks(PLAN, age, total, PLAN.burst) == 0.0
        took = units if level_of(PLAN, age, total) >= units else 0.0
        total += took
        if true >= units:   # the exact one lets it in: then so does this one
            assert took == units
        true -= took
        assert true >= -0.25 * PLAN.burst - 1e-6


@pytest.mark.parametrize("others", [0.0, 1.0, 9.0, -3.0])
def test_new_name_is_known_as_such_whatever_others_added_meanwhile(others):
    assert not known(PLAN, others)
    total = others + lacks(PLAN, 30.0, others, 2.5)
    assert known(PLAN, total) and level_of(PLAN, 30.0, total) == pytest.approx(2.5)
    assert not known(PLAN, others + lacks(PLAN, 30.0, others, 2.5) - BASE)


def test_who_put_it_right_after_another_knows_and_takes_it_back():
    fix = lacks(PLAN, 30.0, 0.0, PLAN.burst)
    assert not twice(PLAN, 30.0, 3.0, fix) and twice(PLAN, 30.0, fix + 3.0, fix)
    over = BASE + 10.0      # of 34 that came in since the epoch began
    large = lacks(PLAN, 30.0, over, 0.0)
    assert large == 20.0 and twice(PLAN, 30.0, over + large, large)
    assert not twice(PLAN, 30.0, over + 2.0, large)
    assert not twice(PLAN, 30.0, over + 20.0, 1.5)      # tries of others may have taken as much


def test_store_put_right_twice_is_found_so_by_all():
    """One of two who found it new never heard of its own correction."""
    total = 2.0 * lacks(PLAN, 30.0, 0.0, PLAN.burst)
    fix = lacks(PLAN, 30.0, total, PLAN.burst)
    assert level_of(PLAN, 30.0, total + fix) == pytest.approx(0.0)
    assert twice(PLAN, 30.0, total + fix, fix) and not twice(PLAN, 30.0, total, fix)
    assert level_of(PLAN, 30.0, BASE + 36.0) == -2.0 and not lacks(PLAN, 30.0, BASE + 36.0, PLAN.burst)


def test_what_runs_over_under_a_ceiling_stays_within_its_slack():
    total = BASE + 29.4
    assert level_of(PLAN, 30.0, total) == pytest.approx(4.6) and not lacks(PLAN, 30.0, total, 4.0)
    assert lacks(CAPPED, 30.0, total, 0.0) == pytest.approx(0.6)


@pytest.mark.parametrize("total, debt", [(40.0, 0.0), (47.0, 2.0), (80.0, 4.0)])
def test_epoch_begins_with_the_debt_of_the_last(total, debt):
    assert owed(PLAN, 45.0, BASE + total) == owed(CAPPED, 45.0, BASE + total) == debt


def test_last_epoch_that_nobody_knows_of_leaves_no_debt_but_under_a_ceiling():
    assert owed(PLAN, 45.0, 0.0) == 0.0 and owed(CAPPED, 45.0, 0.0) == CAPPED.burst
