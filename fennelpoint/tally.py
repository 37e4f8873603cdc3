"""A customer's store as kept on the counter, for ingresses that each see few of its tries.

The number holds what was taken since an epoch began, so that with the epoch's age it tells the store as
all ingresses together have it: `burst + rate * age - total`.  A store holds its burst at most, so what ran
over is added too, by whoever sees it.  An epoch ends before the counter forgets the name; each customer's
have a phase of their own.  It rests on clocks that differ by less than a store takes to fill: all machines
read one.
"""

from __future__ import annotations

from math import floor

from fennelpoint.interface import Plan

EPOCH, LIFE = 45.0, 60.0    # s that one name is used, and that the counter keeps it for
SPACE, EPOCHS = 1 << 41, 1 << 16    # names of stores lie above all others; a customer's that differ
GOLDEN = 0.6180339887498949
OVER, DEEP = 0.25, 0.5      # of the burst: ran over and not yet told; below nothing, where no true store gets
OVER_SLACK = 0.5            # of a ceiling's slack, that this may take at most
OTHERS_FIX, DEEP_FIX = 0.1, 0.5  # how often one corrects what others may be correcting: too full; too deep
NEW, MARK = 0.0002, 0.0005  # units that a new name holds before our own call, at most; left by a read


def name_of(key: int, now: float) -> tuple[int, float]:
    """The counter's name for the customer's store, and when its epoch began."""
    phase = key * GOLDEN % 1.0 * EPOCH
    index = floor((now - phase) / EPOCH)
    return key + SPACE * (1 + index % EPOCHS), index * EPOCH + phase


def owed(plan: Plan, age: float, total: float) -> float:
    """What a store is short of being full, by the last epoch's name; an epoch begins with a full one."""
    return min(plan.burst, max(0.0, total - plan.rate * age)) if total > NEW else 0.0


def level_of(plan: Plan, age: float, before: float, draw: float) -> tuple[float, float]:
    """The store before a try, and what to add to the counter for what ran over.

    `before` is the total without the try's own units, and `draw` random: guards against corrections of one
    thing by several at once, as they can't see each other's.
    """
    level = plan.burst + plan.rate * age - before
    if before <= NEW:       # the name is new or was lost: one call finds it so, as reads leave a mark
        return plan.burst, level - plan.burst
    if (over := level - plan.burst) > 0.0:
        spill = OVER * plan.burst
        spill = min(spill, OVER_SLACK * plan.ceiling_slack) if plan.ceiling_rate else spill
        return plan.burst, over if over > spill and (over <= plan.burst or draw < OTHERS_FIX) else 0.0
    # Guards against a customer kept out by corrections that met, or by use of a silence that is told late:
    # what is beyond the quota takes nothing, so no store is ever below nothing.
    return level, level if level < -DEEP * plan.burst and draw < DEEP_FIX else 0.0
