"""What every decider of the system may ask of its program, besides its own actions."""

from __future__ import annotations

from dataclasses import dataclass


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
