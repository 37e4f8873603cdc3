"""What the kernel knows of connections beside what has been read from them."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Iterable


def _descriptors(transports: Iterable[asyncio.Transport]) -> dict[int, asyncio.Transport]:
    return {transport.get_extra_info("socket").fileno(): transport for transport in transports}


def _polled(transports: Iterable[asyncio.Transport], event: int) -> set[asyncio.Transport]:
    by_descriptor, poll = _descriptors(transports), select.poll()
    for descriptor in by_descriptor:
        poll.register(descriptor, event)
    return {by_descriptor[descriptor] for descriptor, _ in poll.poll(0)}


def has_unread_input(transports: Iterable[asyncio.Transport]) -> set[asyncio.Transport]:
    """Return those for which the kernel holds input that has not been read yet."""
    return _polled(transports, select.POLLIN)


def has_closed(transports: Iterable[asyncio.Transport]) -> set[asyncio.Transport]:
    """Return those whose peer has closed its side, even if that is unread because reading is paused."""
    return _polled(transports, select.POLLRDHUP)
