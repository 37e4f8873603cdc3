"""A customer's store as kept on the counter, for ingresses that each see few of its tries.

The number holds what was taken since an epoch began, so that with the epoch's age it tells the store as
all ingresses together have it: `burst + rate * age - total`.  A store holds its burst at most, so what ran
over is added too.  An epoch ends before the counter forgets the name; each customer's have their own phase.
It rests on clocks that differ by less than a store takes to fill: all machines read one.

No try is let in by a store that is not right: whoever finds it new or too full adds what is missing, with
the try's own units, and goes by the answer.  A name that was put right holds a base, larger the later in its
epoch that was: so a new or lost one is known as such, and all know how long its counts have been kept.
"""

from __future__ import annotations

from functools import lru_cache
from math import floor

from fennelpoint.interface import Plan

EPOCH, LIFE = 45.0, 60.0    # s that one name is used, and that the counter keeps it for
SPACE, EPOCHS = 1 << 41, 1 << 16    # names of stores lie above all others; a customer's that differ
STAMP = SPACE * (EPOCHS + 2)    # names by other figures
GOLDEN = 0.6180339887498949
OVER, DEEP = 0.25, 0.5      # of the burst: ran over and not yet told; below nothing, where no true store gets
OVER_SLACK = 0.4            # of a ceiling's slack at most; the rest is for words that are a while old
BASE, SLOTS, MOST = 4.0, 90, 250_000.0  # times what a store gives in an epoch; of an epoch; exact to a tenth
DEEP_FIX = 0.5              # how often one corrects what others may be correcting: too deep
MARK = 0.0005               # units that a read leaves


def name_of(key: int, now: float) -> tuple[int, float]:
    """The counter's name for the customer's store, and when its epoch began."""
    phase = key * GOLDEN % 1.0 * EPOCH
    index = floor((now - phase) / EPOCH)
    return key + SPACE * (1 + index % EPOCHS), index * EPOCH + phase


@lru_cache(256)
def _figures(burst: float, rate: float) -> tuple[float, float]:
    """What the base grows by from slot to slot, and the s of one: few, but that seven digits tell units."""
    step = BASE * (burst + rate * EPOCH)
    return step, EPOCH / min(SLOTS, max(4, int(MOST / step) - 1))


def base_of(plan: Plan, age: float) -> float:
    """What a name holds that is put right at that age."""
    step, slot = _figures(plan.burst, plan.rate)
    return (1 + age // slot) * step


def known(plan: Plan, age: float, total: float) -> bool:
    """Whether somebody has put the name right, and not two at once; else it is new, or was lost."""
    step, slot = _figures(plan.burst, plan.rate)
    return 1.0 <= (total / step + 0.25) // 1.0 <= 1.1 + age / slot


def level_of(plan: Plan, age: float, total: float) -> float:
    """The store by a total; far over its burst while the name is new."""
    step, _ = _figures(plan.burst, plan.rate)
    return plan.burst + plan.rate * age + step * max(1.0, (total / step + 0.25) // 1.0) - total


def unproven(plan: Plan, age: float, total: float) -> float:
    """Of its level, what may have been taken before its counts were lost: what came in since, was not."""
    step, slot = _figures(plan.burst, plan.rate)
    since = age - slot * ((total / step + 0.25) // 1.0)     # the end of the slot that it was put right in
    return max(0.0, plan.burst - plan.rate * max(0.0, since))


def lacks(plan: Plan, age: float, total: float, fresh: float) -> tuple[float, float]:
    """What is to be told before the store lets anything in, and its level; a new one gets `fresh`."""
    if not known(plan, age, total):
        return plan.burst + plan.rate * age + base_of(plan, age) - total - fresh, 0.0
    level, spill = level_of(plan, age, total), OVER * plan.burst
    spill = min(spill, OVER_SLACK * plan.ceiling_slack) if plan.ceiling_rate else spill
    return (level - plan.burst if level - plan.burst > spill else 0.0), level


def twice(plan: Plan, age: float, total: float, told: float) -> bool:
    """Whether others told the same, by a total without it; of a little nobody knows, and it stays."""
    if abs(told) >= base_of(plan, 0.0) / 2:
        return known(plan, age, total)
    return told > plan.burst and level_of(plan, age, total) < plan.burst + told / 2


def owed(plan: Plan, age: float, total: float) -> float:
    """What a store is short of being full, by the last epoch's name; nothing where that is not known."""
    if not known(plan, age, total):
        return 0.0
    return min(plan.burst, max(0.0, plan.burst - level_of(plan, age, total)))
