"""Connections that read as much at a time as the byte budget allows, while a large body flows through them.

A plain protocol gets up to 256 KB at a time from the loop, and is the cheaper by a fifth of all CPU a small
request costs.  So a connection is one, and reads into a bounded buffer only for as long as there is a flow.
"""

from __future__ import annotations

import asyncio

from fennelpoint.body_buffering import READ_BYTES, Budget

_shared = bytearray(READ_BYTES)   # filled and emptied within one turn of the loop
_view = memoryview(_shared)


class Paced(asyncio.Protocol):
    """A connection that can bound its reads."""

    __slots__ = ("budget", "bounded")

    def __init__(self, budget: Budget) -> None:
        self.budget, self.bounded = budget, False

    def bound_reads(self, bounded: bool) -> None:
        """From now on, or no longer; must not be called while reading is paused."""
        if bounded is not self.bounded and not self.transport.is_closing():
            self.bounded = bounded
            # The loop looks at the kind of protocol only when reading starts.
            self.transport.pause_reading()
            self.transport.set_protocol(_Bounded(self) if bounded else self)
            self.transport.resume_reading()


class _Bounded(asyncio.BufferedProtocol):
    """Hands everything on to a connection, and what is read in pieces of a bounded size."""

    __slots__ = ("connection", "connection_lost", "eof_received", "pause_writing", "resume_writing")

    def __init__(self, connection: Paced) -> None:
        self.connection = connection
        self.connection_lost = connection.connection_lost
        self.eof_received = connection.eof_received
        self.pause_writing, self.resume_writing = connection.pause_writing, connection.resume_writing

    def get_buffer(self, sizehint: int) -> memoryview:
        return _view[:self.connection.budget.read_bytes]

    def buffer_updated(self, count: int) -> None:
        self.connection.data_received(bytes(_view[:count]))
