"""Stand-in servers on loopback, of a few lines each: booking servers, discovery and the shared counter.

They speak the published protocol and nothing else, and can be told to misbehave.  Tests, the demo and the
benchmarks use them; nothing that runs in service does.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """First line, fields and body of a request or an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:] if line)}
    return head[0], fields, await reader.readexactly(int(fields.get("content-length", 0)))


class Fake:
    """A listening socket whose `handle` is a coroutine over one connection; it counts them."""

    def __init__(self, handle: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable]) -> None:
        self.handle, self.opened, self.writers, self.address = handle, 0, [], ""

    async def start(self) -> str:
        """Its address; several ingresses may share it."""
        if not self.address:
            self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            host, port = self.server.sockets[0].getsockname()
            self.address = f"{host}:{port}"
        return self.address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.writers.append(writer)
        try:
            await self.handle(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass    # the other side has left, or the loop ends
        writer.close()

    def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Backend(Fake):
    """Answers each request by `answer(line, fields, body)`, after a delay: bytes, or None to stay silent."""

    def __init__(self, answer: Callable = lambda line, fields, body: ok(b"yes"), delay: float = 0.0) -> None:
        super().__init__(self._handle)
        self.answer, self.delay, self.seen = answer, delay, []

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            self.seen.append(message)
            await asyncio.sleep(self.delay)
            if (data := self.answer(*message)) is not None:
                writer.write(data)
                if data == b"":
                    return


class List(Fake):
    """Discovery: tells its members, and each change of them to the watch."""

    def __init__(self, members: list[dict]) -> None:
        super().__init__(self._handle)
        self.members, self.revision, self.changed, self.asked = members, 1, asyncio.Event(), []
        self.changes: list[dict] = []

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            line, _, _ = await read_message(reader)
            self.asked.append(line)
            watch = f"from={self.revision}&" in line
            if watch:
                try:
                    await asyncio.wait_for(self.changed.wait(), 0.2)
                except TimeoutError:
                    pass
            if writer.is_closing():
                return
            members = self.changes if watch else self.members
            writer.write(ok(json.dumps({"revision": self.revision, "complete": not watch,
                                        "members": members}).encode()))
            self.changes = []
            self.changed.clear()

    def tell(self, *members: dict) -> None:
        self.revision, self.changes = self.revision + 1, list(members)
        self.members = [m for m in self.members if m["id"] not in {c["id"] for c in members}] + list(members)
        self.changed.set()


class Count(Fake):
    """The counter: adds up by name."""

    def __init__(self) -> None:
        super().__init__(self._handle)
        self.totals: dict[bytes, float] = {}
        self.calls: list[bytes] = []

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            _, name, amount, _ = line.split()
            self.calls.append(name)
            self.totals[name] = self.totals.get(name, 0.0) + float(amount)
            writer.write(b"ok %f\r\n" % self.totals[name])


def ok(body: bytes, status: str = "200 OK", fields: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


def member(name: str, address: str, phase: str = "up", up_since_ms: float = 0) -> dict:
    return {"id": name, "host_port": address, "locality": "room", "flavor": "std", "cell": 0, "phase": phase,
            "size": 1.0, "up_since_ms": up_since_ms}
