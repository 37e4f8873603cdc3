"""Which troubles a soak plays, drawn from a seed: two or three at once, with a pause between groups."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

CALM = 3.0  # s before the first group and between two
GROUP = 5.0  # s in which the troubles of a group begin and end, but for what restarts
LEAST, MOST = 0.6, 3.5  # s that a trouble lasts


class Trouble(Enum):
    """What is done, to machines or to all clients and backends."""

    KILL_FRONT = "a front is killed, and starts again"
    PAUSE_FRONT = "a front stands still"
    CUT_FRONT = "a front and all other machines do not hear each other, for longer than its lease"
    ROLL_FRONTS = "the fronts of a region are restarted in order, one soon after the other"
    KILL_CORE = "a core machine is killed, and starts again"
    PAUSE_CORE = "a core machine stands still"
    CUT_CORE = "a core machine and the others do not hear each other"
    MUTE_CORE = "a core machine does not hear the others, and they hear it"
    LOST_ANSWERS = "backends close connections in place of an answer"
    SLOW_BACKENDS = "backends work several times as long"
    LEAVING_CLIENTS = "most clients leave before their answer"
    CHANGES = "the configuration is changed again and again"


ON_FRONTS = (Trouble.KILL_FRONT, Trouble.PAUSE_FRONT, Trouble.CUT_FRONT, Trouble.ROLL_FRONTS)
ON_CORE = (Trouble.KILL_CORE, Trouble.PAUSE_CORE, Trouble.CUT_CORE, Trouble.MUTE_CORE)
ON_TRAFFIC = (Trouble.LOST_ANSWERS, Trouble.SLOW_BACKENDS, Trouble.LEAVING_CLIENTS, Trouble.CHANGES)


@dataclass(frozen=True, slots=True)
class Entry:
    """One trouble: when it begins and ends (s from the start), and on which machine, by a lot from 0 to 1."""

    at: float
    ends: float
    trouble: Trouble
    lot: float


def draw(seed: int, groups: int) -> list[Entry]:
    """The entries of a soak.

    A group has one trouble of the core at most, as the core bears the loss of one machine; clients leave in every
    second group at least.
    """
    random, entries = Random(seed), []
    for group in range(groups):
        begins = CALM + group * (GROUP + CALM)
        chosen = [random.choice(ON_FRONTS), random.choice(ON_TRAFFIC)]
        if random.random() < 0.7:
            chosen.append(random.choice(ON_CORE))
        if group % 2 == 0 and Trouble.LEAVING_CLIENTS not in chosen:
            chosen[1] = Trouble.LEAVING_CLIENTS
        for trouble in chosen:
            lasts = random.uniform(LEAST, MOST)
            at = begins + random.uniform(0.0, GROUP - lasts)
            entries.append(Entry(round(at, 2), round(at + lasts, 2), trouble, random.random()))
    return sorted(entries, key=lambda entry: entry.at)
