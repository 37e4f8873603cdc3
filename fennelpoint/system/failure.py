"""Errors as values: what went wrong, at which step, with which peer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Failure:
    """`status` is the HTTP status that tells a caller, where there is one."""

    step: str
    peer: str
    reason: str
    status: int = 503

    def __str__(self) -> str:
        return f"{self.step}{' ' + self.peer if self.peer else ''}: {self.reason}"
