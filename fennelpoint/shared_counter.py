"""A customer's token bucket ("store") kept as one shared counter, for ingresses that each see few requests.

The counter holds the units taken since the start of an epoch: the bucket of all ingresses together holds
`burst + rate * age - total`.  Overflow above the burst is added to the total too.  An epoch ends before the
counter forgets its name; customers' epochs differ.  Clocks may differ by less than a bucket's fill time.

No request is admitted by a store in a wrong state: who finds it new or too full adds a correction with the
request's own units and goes by the reply.  A corrected name holds a base amount, larger the later in the
epoch that was: so new or lost names are recognised, and all know since when its counts are complete."""

from __future__ import annotations

from functools import lru_cache
from math import floor

from fennelpoint.interface import Plan

EPOCH_S, COUNT_LIFETIME_S = 45.0, 60.0    # use of one name; how long the counter keeps it
NAME_SPACE, EPOCHS = 1 << 41, 1 << 16    # store names lie above all others; distinct epochs of a customer
STAMP = NAME_SPACE * (EPOCHS + 2)    # separates names of different plan versions
GOLDEN = 0.6180339887498949
OVERFLOW, DEEP_DEBT = 0.25, 0.5      # of the burst: unreported overflow; a debt that no true store reaches
OVERFLOW_SLACK = 0.4            # most of a ceiling's slack; the rest is for replies that are a while old
BASE_REFILLS, SLOTS, MAX_TOTAL_UNITS = 4.0, 90, 250_000.0  # an epoch's refills, slots; exact to 0.1
DEEP_DEBT_FIX_ODDS = 0.5        # of correcting a deep debt, as others may be correcting it too
READ_MARK_UNITS = 0.0005        # amount that a read adds


def name_of(key: int, now: float) -> tuple[int, float]:
    """Return the counter's name for the customer's store, and the start time of its epoch."""
    phase = key * GOLDEN % 1.0 * EPOCH_S
    index = floor((now - phase) / EPOCH_S)
    return key + NAME_SPACE * (1 + index % EPOCHS), index * EPOCH_S + phase


@lru_cache(256)
def _figures(burst: float, rate: float) -> tuple[float, float]:
    """Growth of the base per slot, and a slot's seconds: few enough that seven digits still tell units."""
    step = BASE_REFILLS * (burst + rate * EPOCH_S)
    return step, EPOCH_S / min(SLOTS, max(4, int(MAX_TOTAL_UNITS / step) - 1))


def base_of(plan: Plan, age: float) -> float:
    """Base amount of a name that is corrected at that age of its epoch."""
    step, slot = _figures(plan.burst, plan.rate)
    return (1 + age // slot) * step


def is_initialised(plan: Plan, age: float, total: float) -> bool:
    """Whether the name was corrected by exactly one; if not, it is new, lost, or corrected twice."""
    step, slot = _figures(plan.burst, plan.rate)
    return 1.0 <= (total / step + 0.25) // 1.0 <= 1.1 + age / slot


def level_of(plan: Plan, age: float, total: float) -> float:
    """Units in the store by a total; far above its burst while the name is new."""
    step, _ = _figures(plan.burst, plan.rate)
    return plan.burst + plan.rate * age + step * max(1.0, (total / step + 0.25) // 1.0) - total


def unproven(plan: Plan, age: float, total: float) -> float:
    """Part of the level that may be used already, as its counts were lost; later refills are certain."""
    step, slot = _figures(plan.burst, plan.rate)
    since = age - slot * ((total / step + 0.25) // 1.0)     # end of the slot of its correction
    return max(0.0, plan.burst - plan.rate * max(0.0, since))


def correction(plan: Plan, age: float, total: float, fresh: float) -> tuple[float, float]:
    """Correction to add before the store admits anything, and its level; a new store gets `fresh`."""
    if not is_initialised(plan, age, total):
        return plan.burst + plan.rate * age + base_of(plan, age) - total - fresh, 0.0
    level, overflow = level_of(plan, age, total), OVERFLOW * plan.burst
    overflow = min(overflow, OVERFLOW_SLACK * plan.ceiling_slack) if plan.ceiling_rate else overflow
    return (level - plan.burst if level - plan.burst > overflow else 0.0), level


def corrected_twice(plan: Plan, age: float, total: float, fix: float) -> bool:
    """Whether others made the correction `fix` too, by a total without it; small ones go unnoticed."""
    if abs(fix) >= base_of(plan, 0.0) / 2:
        return is_initialised(plan, age, total)
    return fix > plan.burst and level_of(plan, age, total) < plan.burst + fix / 2


def owed(plan: Plan, age: float, total: float) -> float:
    """Units that the store lacked to be full, by the last epoch's name; 0 if that was never corrected."""
    if not is_initialised(plan, age, total):
        return 0.0
    return min(plan.burst, max(0.0, plan.burst - level_of(plan, age, total)))
