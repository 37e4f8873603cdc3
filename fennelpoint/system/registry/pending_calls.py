"""Actions that the registry's state machine hands to its program, and calls whose replies are pending."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from fennelpoint.system.http_server import ApiRequest, Reply


@dataclass(slots=True)
class Save:
    """Store backends and delete forgotten ones, on disk before any later action is carried out.

    Each row is a packed `BackendReport`.
    """

    rows: list[list]
    forgotten_ids: list[str]


@dataclass(slots=True)
class Answer:
    """Reply to an HTTP call."""

    request: ApiRequest
    reply: Reply


@dataclass(slots=True)
class PendingCall:
    """A call that waits for a majority of core machines or for the store; it fails with 503 at its deadline."""

    request: ApiRequest
    deadline: float
    holders: set[str] = field(default_factory=set)  # IP addresses of machines that have stored the change
    on_result: Callable[[list], None] | None = None
    withdraw_if_abandoned: bool = False     # withdraw the change at the deadline, or once the caller disconnects


def error_reply(status: int, text: str) -> Reply:
    """An error as JSON; a 503 tells the client to retry soon."""
    return Reply(status, {"error_message": text}, headers=[("Retry-After", "0.2")] if status == 503 else [])
