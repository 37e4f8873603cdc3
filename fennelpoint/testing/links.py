"""Relays on loopback that inject network faults between processes, for TCP and for datagrams.

A TCP link that is cut holds the data it receives, like a network that loses and retransmits packets: data in
flight arrives after the link is healed, if both ends still keep the connection.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

TO_TARGET, FROM_TARGET = "there", "back"


@dataclass(slots=True)
class LinkFault:
    """The faults that a link injects; the ratios apply to datagrams."""

    cut: set[str] = field(default_factory=set)      # TO_TARGET, FROM_TARGET or both
    delay_s: float = 0.0
    jitter_s: float = 0.0
    bytes_per_s: float = 0.0    # 0: unlimited
    loss_ratio: float = 0.0
    duplicate_ratio: float = 0.0
    reorder_ratio: float = 0.0


class Link:
    """A TCP relay to one address."""

    def __init__(self, name: str, target: tuple[str, int], random: Random) -> None:
        self.name, self.target, self.random = name, target, random
        self.fault, self.healed = LinkFault(), asyncio.Event()
        self.healed.set()
        self.pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self.tasks: set[asyncio.Task] = set()
        self.address = ("127.0.0.1", 0)

    async def start(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        return self.address

    def inject(self, fault: LinkFault) -> None:
        """Replace the current fault by this one."""
        self.fault = fault
        self.healed.clear() if fault.cut else self.healed.set()

    def heal(self) -> None:
        self.inject(LinkFault())

    def reset(self) -> None:
        """Abort every connection."""
        for pair in list(self.pairs):
            for writer in pair:
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        pair = None
        try:
            while self.fault.cut:     # the connection stays half open, without an answer
                await self.healed.wait()
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            pair = writer, target_writer
            self.pairs.add(pair)
            await asyncio.gather(self._pump(reader, target_writer, TO_TARGET),
                                 self._pump(target_reader, writer, FROM_TARGET))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.pairs.discard(pair)
            for end in pair or (writer,):
                end.transport.abort()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str) -> None:
        while data := await reader.read(1 << 16):
            fault = self.fault
            delay_s = fault.delay_s + fault.jitter_s * self.random.random()
            delay_s += len(data) / fault.bytes_per_s if fault.bytes_per_s else 0.0
            if delay_s:
                await asyncio.sleep(delay_s)
            while direction in self.fault.cut:
                await self.healed.wait()
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError     # one end closed, so close the other as well

    def stop(self) -> None:
        self.server.close()
        self.reset()
        for task in list(self.tasks):
            task.cancel()


class DatagramLink(asyncio.DatagramProtocol):
    """A relay of datagrams to one address that may lose, duplicate, delay and reorder them."""

    def __init__(self, target: tuple[str, int], random: Random) -> None:
        self.target, self.random, self.fault = target, random, LinkFault()
        self.held_datagram: bytes | None = None

    async def start(self) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        return self.transport.get_extra_info("sockname")

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        fault, random = self.fault, self.random
        if TO_TARGET in fault.cut or random.random() < fault.loss_ratio:
            return
        if self.held_datagram is None and random.random() < fault.reorder_ratio:
            self.held_datagram = data   # sent after the next one
            return
        previous, self.held_datagram = self.held_datagram, None
        for datagram in (data, *((data,) if random.random() < fault.duplicate_ratio else ()),
                         *((previous,) if previous else ())):
            delay_s = fault.delay_s + fault.jitter_s * random.random()
            asyncio.get_running_loop().call_later(delay_s, self._send, datagram)

    def _send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, self.target)

    def stop(self) -> None:
        self.transport.close()
