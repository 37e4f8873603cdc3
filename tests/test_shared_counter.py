"""A customer's store as one shared counter: epochs, overflow, concurrent corrections."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint import shared_counter
from fennelpoint.interface import Plan
from fennelpoint.shared_counter import (
    COUNT_LIFETIME_S,
    EPOCH_S,
    EPOCHS,
    NAME_SPACE,
    base_of,
    corrected_twice,
    is_initialised,
    level_of,
    name_of,
    owed,
    unproven,
)

PLAN = Plan("basic", price=1.0, rate=1.0, burst=4.0, over_cost=1.0)
CAPPED = Plan("dear", 1.0, rate=1.0, burst=4.0, ceiling_rate=2.0, ceiling_burst=8.0, ceiling_slack=0.8)
BASE = base_of(PLAN, 0.0)    # of a name corrected at the start of its epoch


def fix_of(*values: float) -> float:
    fix, level = shared_counter.correction(*values)
    plan, age, total, _ = values
    assert not is_initialised(plan, age, total) or level == pytest.approx(level_of(plan, age, total))
    return fix


@given(st.integers(0, 2 ** 33), st.floats(0.0, 4e9))
def test_name_lasts_an_epoch_which_is_shorter_than_its_counter_lifetime(key, now):
    name, start = name_of(key, now)
    assert start <= now + 1e-3 and now < start + EPOCH_S + 1e-3 and EPOCH_S < COUNT_LIFETIME_S
    assert name >= NAME_SPACE > 2 ** 33 + (1 << 40) and name % NAME_SPACE == key
    assert name_of(key, now + EPOCH_S)[0] != name and name < NAME_SPACE * (EPOCHS + 2) < 2 ** 63


def test_epochs_of_customers_are_out_of_phase():
    starts = {round(name_of(key, 1e9)[1]) for key in range(1000)}
    assert len(starts) > EPOCH_S - 5


@given(st.lists(st.tuples(st.floats(0.01, 20.0), st.sampled_from([1.0, 2.0])), max_size=60))
def test_store_exceeds_an_exact_bucket_by_overflow_at_most(requests):
    """Compared with an exact bucket; overflow is reported late, by a quarter of the burst at most."""
    age, total, true = 0.0, 0.0, PLAN.burst
    for gap, units in requests:
        age, true = age + gap, min(PLAN.burst, true + PLAN.rate * gap)
        if age > EPOCH_S:
            return
        total += fix_of(PLAN, age, total, PLAN.burst)
        assert is_initialised(PLAN, age, total) and fix_of(PLAN, age, total, PLAN.burst) == pytest.approx(0.0)
        took = units if level_of(PLAN, age, total) >= units - 1e-9 else 0.0
        total += took
        if true >= units:   # what the exact bucket admits, this one admits
            assert took == units
        true -= took
        assert true >= -0.25 * PLAN.burst - 1e-6


@pytest.mark.parametrize("others", [0.0, 1.0, 9.0, -3.0])
@pytest.mark.parametrize("age", [0.0, 0.7, 30.0, EPOCH_S - 0.1])
def test_new_name_is_recognised_whatever_others_added_meanwhile(others, age):
    assert not is_initialised(PLAN, age, others)
    total = others + fix_of(PLAN, age, others, 2.5)
    assert is_initialised(PLAN, age, total) and level_of(PLAN, age, total) == pytest.approx(2.5)


def test_second_correction_is_recognised_and_undone():
    fix = fix_of(PLAN, 30.0, 0.0, PLAN.burst)
    assert not corrected_twice(PLAN, 30.0, 3.0, fix) and corrected_twice(PLAN, 30.0, fix + 3.0, fix)
    over = BASE + 10.0      # of 34 units since the epoch began
    large = fix_of(PLAN, 30.0, over, 0.0)
    assert large == 20.0 and corrected_twice(PLAN, 30.0, over + large, large)
    assert not corrected_twice(PLAN, 30.0, over + 2.0, large)
    assert not corrected_twice(PLAN, 30.0, over + 20.0, 1.5)      # requests at others may have taken as much


def test_doubly_corrected_store_is_recognised_by_all():
    """Two ingresses corrected a new name; one of them never got the reply."""
    total = 2.0 * fix_of(PLAN, 30.0, 0.0, PLAN.burst)
    assert not is_initialised(PLAN, 30.0, total)
    fix = fix_of(PLAN, 30.0, total, PLAN.burst)
    assert level_of(PLAN, 30.0, total + fix) == pytest.approx(PLAN.burst)
    assert corrected_twice(PLAN, 30.0, total + fix, fix) and not corrected_twice(PLAN, 30.0, total, fix)
    assert level_of(PLAN, 30.0, BASE + 36.0) == -2.0 and not fix_of(PLAN, 30.0, BASE + 36.0, PLAN.burst)


def test_refill_since_the_correction_is_proven():
    total = fix_of(PLAN, 30.0, 0.0, PLAN.burst)
    assert unproven(PLAN, 30.0, total) == PLAN.burst
    slot = shared_counter._figures(PLAN.burst, PLAN.rate)[1]
    late = unproven(PLAN, 33.0, total)      # corrected in the slot that ended at 30.5
    assert late == pytest.approx(PLAN.burst - 33.0 + 30.5) and unproven(PLAN, 30.5 + 4.0, total) == 0.0
    assert unproven(PLAN, slot + 4.0, BASE) == 0.0 < unproven(PLAN, slot + 3.0, BASE)


@pytest.mark.parametrize("rate", [0.1, 1.0, 14.0, 100.0, 500.0])
def test_total_has_unit_precision_however_late_its_name_was_corrected(rate):
    """The counter holds seven digits: the base must leave precision for units."""
    plan = Plan("any", 1.0, rate=rate, burst=3.0 * rate, over_cost=1.0)
    total = fix_of(plan, EPOCH_S - 0.01, 0.0, plan.burst)
    assert total < 1e6 and 0.5 <= shared_counter._figures(plan.burst, plan.rate)[1] <= EPOCH_S / 4
    seven = float(f"{total + 1.0:.7g}")
    assert level_of(plan, EPOCH_S - 0.01, seven) == pytest.approx(plan.burst - 1.0, abs=0.06)


def test_overflow_under_a_ceiling_stays_within_its_slack():
    total = BASE + 29.4
    assert level_of(PLAN, 30.0, total) == pytest.approx(4.6) and not fix_of(PLAN, 30.0, total, 4.0)
    assert fix_of(CAPPED, 30.0, total, 0.0) == pytest.approx(0.6)
    assert not fix_of(CAPPED, 30.0, total + 0.3, 0.0)    # 0.4 of the slack of 0.8 may be unreported


@pytest.mark.parametrize("total, debt", [(40.0, 0.0), (47.0, 2.0), (80.0, 4.0)])
def test_epoch_begins_with_the_debt_of_the_previous_one(total, debt):
    assert owed(PLAN, 45.0, BASE + total) == debt and owed(PLAN, 45.0, total) == 0.0
