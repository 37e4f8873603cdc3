"""Few moves for most evenness: which agencies to put elsewhere, proposed and never done by itself.

Pure.  A cell is as full as its agencies' load over what its nodes can do.  The fullest cell counts, as its
agencies wait first: each move is the one that lowers it most.  An agency that was moved lately stays: guards
against moving one to and fro with its load.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

LEAST_GAIN = 0.02   # of the fullest cell, that a move must take off


@dataclass(frozen=True, slots=True)
class Move:
    """One proposal; `fullest` is how full the fullest cell is after it."""

    agency: int
    source: str
    target: str
    load: float
    fullest: float


def fullness(loads: Mapping[int, float], homes: Mapping[int, str],
             room: Mapping[str, float]) -> dict[str, float]:
    """Load over room, by cell."""
    full = dict.fromkeys(room, 0.0)
    for agency, load in loads.items():
        if homes[agency] in full:
            full[homes[agency]] += load
    return {name: load / room[name] for name, load in full.items()}


def propose(loads: Mapping[int, float], homes: Mapping[int, str], room: Mapping[str, float], most: int,
            moved_at: Mapping[int, float], now: float, rest: float) -> list[Move]:
    """Up to `most` moves, the best first.

    `loads` and `homes` by agency, `room` by cell (cells without room are left out), `moved_at` when agencies
    were last moved: one of the last `rest` seconds stays.
    """
    room = {name: amount for name, amount in room.items() if amount > 0.0}
    homes, moves, done = dict(homes), [], set()
    while len(moves) < most and len(room) > 1:
        full = fullness(loads, homes, room)
        source = max(full, key=lambda name: (full[name], name))
        others = sorted(full[name] for name in full if name != source)
        best: Move | None = None
        for agency, home in homes.items():
            load = loads.get(agency, 0.0)
            if home != source or load <= 0.0 or agency in done or now - moved_at.get(agency, -rest) < rest:
                continue
            for target in room:
                if target == source:
                    continue
                after = max(full[source] - load / room[source], full[target] + load / room[target],
                            *(f for name, f in full.items() if name not in (source, target)), 0.0)
                if best is None or (after, load, agency) < (best.fullest, best.load, best.agency):
                    best = Move(agency, source, target, load, after)
        if best is None or best.fullest > full[source] - LEAST_GAIN * full[source] or not others:
            break
        homes[best.agency] = best.target
        done.add(best.agency)   # not twice in one plan, either
        moves.append(best)
    return moves
