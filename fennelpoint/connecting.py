"""Connects that may be given up: their protocol is told of the end of every connection that it was told of.

A connect is given up by cancelling it, when its time is up or nobody wants it any more.  That may happen in the very
turn of the loop in which the connection is made, as in a process that stood still meanwhile.  uvloop then closes the
transport and never calls `connection_lost`, so that whatever went by `connection_made` goes on with a dead one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable


async def connect(
    loop: asyncio.AbstractEventLoop, factory: Callable[[], asyncio.BaseProtocol], host: str, port: int
) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
    """As `loop.create_connection`; cancelled, it calls `connection_lost` of a protocol that is connected already.

    The protocol keeps its transport as `transport`, None before `connection_made`, and bears to be told of its end
    twice: other loops than uvloop's do so by themselves, later.
    """
    made: list[asyncio.BaseProtocol] = []

    def make() -> asyncio.BaseProtocol:
        made.append(protocol := factory())
        return protocol

    try:
        return await loop.create_connection(make, host, port)
    except asyncio.CancelledError:
        for protocol in made:
            if protocol.transport is not None:
                protocol.transport.abort()
                protocol.connection_lost(None)
        raise
