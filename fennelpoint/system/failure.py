"""Errors as values: the reason, the step that failed, and the peer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Failure:
    """A failed step; `status` is the HTTP status for the caller, where the failure is reported over HTTP."""

    step: str
    peer: str
    reason: str
    status: int = 503

    def __str__(self) -> str:
        return f"{self.step}{' ' + self.peer if self.peer else ''}: {self.reason}"
