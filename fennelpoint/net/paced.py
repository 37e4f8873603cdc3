"""Connections that read as much at a time as the byte budget allows, into one buffer for all of them."""

from __future__ import annotations

import asyncio

from fennelpoint.bodies import READ, Budget

_shared = bytearray(READ)   # filled and emptied within one turn of the loop
_view = memoryview(_shared)


class Paced(asyncio.BufferedProtocol):
    """Hands on what came by `data_received`, in pieces of a bounded size."""

    __slots__ = ("budget",)

    def __init__(self, budget: Budget) -> None:
        self.budget = budget

    def get_buffer(self, sizehint: int) -> memoryview:
        return _view if self.budget.used * 2 <= self.budget.most else _view[:self.budget.read]

    def buffer_updated(self, count: int) -> None:
        self.data_received(bytes(_view[:count]))

    def data_received(self, data: bytes) -> None:
        raise NotImplementedError
