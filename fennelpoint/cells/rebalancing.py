"""Proposes a few moves of agencies that even out the load of the cells; it never carries them out.

Has no side effects.  The utilization of a cell is the load of its agencies over the capacity of its nodes.  Each
move is the one that most lowers the highest utilization, as agencies in that cell are the first to queue.  An
agency that was moved recently stays, so that it is not moved back and forth as its load changes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

MIN_GAIN = 0.02     # fraction of the highest utilization that a move must remove


@dataclass(frozen=True, slots=True)
class MoveProposal:
    """One proposed move; `max_utilization` is the highest utilization of any cell after it."""

    agency: int
    source: str
    target: str
    load: float
    max_utilization: float


def utilization(loads: Mapping[int, float], homes: Mapping[int, str],
                capacity: Mapping[str, float]) -> dict[str, float]:
    """Return load over capacity by cell; `homes` is the cell of each agency."""
    load_by_cell = dict.fromkeys(capacity, 0.0)
    for agency, load in loads.items():
        if homes[agency] in load_by_cell:
            load_by_cell[homes[agency]] += load
    return {name: load / capacity[name] for name, load in load_by_cell.items()}


def propose_moves(loads: Mapping[int, float], homes: Mapping[int, str], capacity: Mapping[str, float], max_moves: int,
                  moved_at: Mapping[int, float], now: float, cooldown_s: float) -> list[MoveProposal]:
    """Return up to `max_moves` moves, the best first.

    `loads` and `homes` are by agency, `capacity` by cell; cells without capacity are left out.  `moved_at` holds the
    times of the agencies' last moves: an agency moved within the last `cooldown_s` seconds stays.
    """
    capacity = {name: amount for name, amount in capacity.items() if amount > 0.0}
    homes, moves, moved = dict(homes), [], set()
    while len(moves) < max_moves and len(capacity) > 1:
        utilizations = utilization(loads, homes, capacity)
        source = max(utilizations, key=lambda name: (utilizations[name], name))
        others = sorted(utilizations[name] for name in utilizations if name != source)
        best: MoveProposal | None = None
        for agency, home in homes.items():
            load = loads.get(agency, 0.0)
            if (home != source or load <= 0.0 or agency in moved
                    or now - moved_at.get(agency, -cooldown_s) < cooldown_s):
                continue
            for target in capacity:
                if target == source:
                    continue
                after = max(utilizations[source] - load / capacity[source],
                            utilizations[target] + load / capacity[target],
                            *(value for name, value in utilizations.items() if name not in (source, target)), 0.0)
                if best is None or (after, load, agency) < (best.max_utilization, best.load, best.agency):
                    best = MoveProposal(agency, source, target, load, after)
        if (best is None or best.max_utilization > utilizations[source] - MIN_GAIN * utilizations[source]
                or not others):
            break
        homes[best.agency] = best.target
        moved.add(best.agency)  # an agency moves at most once per proposal
        moves.append(best)
    return moves
