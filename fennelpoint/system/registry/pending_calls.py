"""What the registry's deciders hand to their program, and calls that wait."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from fennelpoint.system.http_server import Asking, Reply


@dataclass(slots=True)
class Save:
    """Backends as they are now, and ids that are no more: on disk before what comes after it goes out."""

    rows: list[list]
    forgotten: list[str]


@dataclass(slots=True)
class Answer:
    asking: Asking
    reply: Reply


@dataclass(slots=True)
class Held:
    """A call that waits: for a majority of core machines, or for the store."""

    asking: Asking
    until: float
    holders: set[str] = field(default_factory=set)
    then: Callable[[list], None] | None = None
    withdraw: bool = False      # the store is told once nobody waits any more


def fault(status: int, text: str) -> Reply:
    return Reply(status, {"error_message": text}, headers=[("Retry-After", "0.2")] if status == 503 else [])
