"""Links between processes that can be broken: relays on loopback, for TCP and for datagrams.

A link that is cut holds what comes, as a network would that loses packets and sends them again: what was under
way arrives when it is healed, if both ends still wait.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

THERE, BACK = "there", "back"


@dataclass(slots=True)
class Trouble:
    """What a link does to what passes."""

    cut: set[str] = field(default_factory=set)      # THERE, BACK or both
    delay_s: float = 0.0
    jitter_s: float = 0.0
    bytes_s: float = 0.0    # 0: as fast as it goes
    lose: float = 0.0       # of datagrams
    double: float = 0.0
    reorder: float = 0.0


class Link:
    """A TCP relay to one address."""

    def __init__(self, name: str, target: tuple[str, int], draw: Random) -> None:
        self.name, self.target, self.draw = name, target, draw
        self.trouble, self.healed = Trouble(), asyncio.Event()
        self.healed.set()
        self.pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self.tasks: set[asyncio.Task] = set()
        self.address = ("127.0.0.1", 0)

    async def start(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        return self.address

    def be(self, trouble: Trouble) -> None:
        """From now on."""
        self.trouble = trouble
        self.healed.clear() if trouble.cut else self.healed.set()

    def heal(self) -> None:
        self.be(Trouble())

    def reset(self) -> None:
        """Every connection breaks at once."""
        for pair in list(self.pairs):
            for writer in pair:
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        pair = None
        try:
            while self.trouble.cut:     # held half open: nobody answers
                await self.healed.wait()
            there_reader, there_writer = await asyncio.open_connection(*self.target)
            pair = writer, there_writer
            self.pairs.add(pair)
            await asyncio.gather(self._pump(reader, there_writer, THERE),
                                 self._pump(there_reader, writer, BACK))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.pairs.discard(pair)
            for end in pair or (writer,):
                end.transport.abort()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str) -> None:
        while data := await reader.read(1 << 16):
            trouble = self.trouble
            wait = trouble.delay_s + trouble.jitter_s * self.draw.random()
            wait += len(data) / trouble.bytes_s if trouble.bytes_s else 0.0
            if wait:
                await asyncio.sleep(wait)
            while way in self.trouble.cut:
                await self.healed.wait()
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError     # one end has left: so does the other

    def stop(self) -> None:
        self.server.close()
        self.reset()
        for task in list(self.tasks):
            task.cancel()


class DatagramLink(asyncio.DatagramProtocol):
    """A relay of datagrams to one address: they may be lost, doubled, late, out of order."""

    def __init__(self, target: tuple[str, int], draw: Random) -> None:
        self.target, self.draw, self.trouble = target, draw, Trouble()
        self.held: bytes | None = None

    async def start(self) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        return self.transport.get_extra_info("sockname")

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        trouble, draw = self.trouble, self.draw
        if THERE in trouble.cut or draw.random() < trouble.lose:
            return
        if self.held is None and draw.random() < trouble.reorder:
            self.held = data    # it goes after the next one
            return
        held, self.held = self.held, None
        for one in (data, *((data,) if draw.random() < trouble.double else ()), *((held,) if held else ())):
            wait = trouble.delay_s + trouble.jitter_s * draw.random()
            asyncio.get_running_loop().call_later(wait, self._send, one)

    def _send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, self.target)

    def stop(self) -> None:
        self.transport.close()
