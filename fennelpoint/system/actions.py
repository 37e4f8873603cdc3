"""What every decider of the system may ask of its program, besides its own actions."""

from __future__ import annotations

from dataclasses import dataclass

from fennelpoint.invariants import Invariant


@dataclass(slots=True)
class Send:
    """A message to a peer; it may be lost."""

    to: str
    message: list


@dataclass(slots=True)
class Note:
    """Something for the log: the event's name and its fields."""

    event: str
    fields: dict


@dataclass(slots=True)
class Violation:
    """An invariant that does not hold: to be counted and logged."""

    invariant: Invariant
    detail: str
