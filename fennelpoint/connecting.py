"""Cancellable connects whose protocol gets `connection_lost` for each connection that it got `connection_made` for.

A connect is cancelled when its time is up or its result is not needed any more.  That may happen in the same
iteration of the event loop in which the connection is established, for example after the process was stopped.  uvloop
then closes the transport without calling `connection_lost`, so the protocol's owner would keep a dead connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable


async def connect(
    loop: asyncio.AbstractEventLoop, factory: Callable[[], asyncio.BaseProtocol], host: str, port: int
) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
    """Connect like `loop.create_connection`; if cancelled, call `connection_lost` of a protocol already connected.

    The protocol must have its transport in `transport`, None before `connection_made`, and must tolerate a second
    `connection_lost`: loops other than uvloop's call it as well, later.
    """
    protocols: list[asyncio.BaseProtocol] = []

    def make() -> asyncio.BaseProtocol:
        protocols.append(protocol := factory())
        return protocol

    try:
        return await loop.create_connection(make, host, port)
    except asyncio.CancelledError:
        for protocol in protocols:
            if protocol.transport is not None:
                protocol.transport.abort()
                protocol.connection_lost(None)
        raise
