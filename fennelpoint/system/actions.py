"""Actions that any state machine of the system may return to its program, besides those of its own."""

from __future__ import annotations

from dataclasses import dataclass

from fennelpoint.invariants import Invariant


@dataclass(slots=True)
class Send:
    """Send a message to a peer; it may be lost."""

    to: str
    message: list


@dataclass(slots=True)
class LogEvent:
    """Log an event: the name of the event and its fields."""

    event: str
    fields: dict


@dataclass(slots=True)
class Violation:
    """Count and log an invariant that does not hold."""

    invariant: Invariant
    detail: str
