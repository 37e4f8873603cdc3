"""Random fault schedule of a soak test: groups of two or three overlapping faults, with a pause between groups."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

PAUSE_S = 3.0  # before the first group and between groups
GROUP_S = 5.0  # within which the faults of a group begin and end, apart from restarts
MIN_FAULT_S, MAX_FAULT_S = 0.6, 3.5  # duration of a fault


class FaultKind(Enum):
    """Faults of machines, or of all clients and backends; results list them by name."""

    KILL_FRONT = "a proxy is killed and restarted"
    PAUSE_FRONT = "a proxy is suspended"
    CUT_FRONT = "a proxy is partitioned from all other machines, for longer than its lease"
    ROLL_FRONTS = "rolling restart of the proxies of a region"
    KILL_CORE = "a core machine is killed and restarted"
    PAUSE_CORE = "a core machine is suspended"
    CUT_CORE = "a core machine is partitioned from the others"
    MUTE_CORE = "a core machine receives nothing from the others, and they receive its messages"
    LOST_ANSWERS = "backends close connections instead of replying"
    SLOW_BACKENDS = "backends take several times as long"
    LEAVING_CLIENTS = "most clients disconnect before the reply"
    CHANGES = "the configuration is changed in quick succession"


PROXY_FAULTS = (FaultKind.KILL_FRONT, FaultKind.PAUSE_FRONT, FaultKind.CUT_FRONT, FaultKind.ROLL_FRONTS)
CORE_FAULTS = (FaultKind.KILL_CORE, FaultKind.PAUSE_CORE, FaultKind.CUT_CORE, FaultKind.MUTE_CORE)
TRAFFIC_FAULTS = (FaultKind.LOST_ANSWERS, FaultKind.SLOW_BACKENDS, FaultKind.LEAVING_CLIENTS, FaultKind.CHANGES)


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault: start and end (s from the start), and a number from 0 to 1 that selects the machine."""

    starts_at: float
    ends_at: float
    kind: FaultKind
    selector: float


def random_plan(seed: int, groups: int) -> list[ScheduledFault]:
    """The faults of a soak test, by start.

    A group has at most one fault of a core machine, as the core tolerates the loss of one; clients disconnect in at
    least every second group.
    """
    random, entries = Random(seed), []
    for group in range(groups):
        group_starts_at = PAUSE_S + group * (GROUP_S + PAUSE_S)
        chosen = [random.choice(PROXY_FAULTS), random.choice(TRAFFIC_FAULTS)]
        if random.random() < 0.7:
            chosen.append(random.choice(CORE_FAULTS))
        if group % 2 == 0 and FaultKind.LEAVING_CLIENTS not in chosen:
            chosen[1] = FaultKind.LEAVING_CLIENTS
        for kind in chosen:
            duration_s = random.uniform(MIN_FAULT_S, MAX_FAULT_S)
            starts_at = group_starts_at + random.uniform(0.0, GROUP_S - duration_s)
            entries.append(
                ScheduledFault(round(starts_at, 2), round(starts_at + duration_s, 2), kind, random.random())
            )
    return sorted(entries, key=lambda entry: entry.starts_at)
