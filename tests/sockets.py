"""Loopback fakes for the tests of the socket side: a backend, discovery and a counter of a few lines each."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

import uvloop

from fennelpoint.__main__ import Config, Ingress
from fennelpoint.net.discovery import parse_address, parse_list
from fennelpoint.settings import from_json

SETTINGS = {
    "me": 0, "balancers": 2, "zone": 0, "tick_s": 0.004, "zones": ["room"], "shapes": ["std"],
    "bounds": {"max_attempts": 4, "retry_after": True, "max_retry_after_s": 0.5, "connect_timeout_s": 0.25,
               "idle_close_s": 15.0, "cancel": True},
    "rules": {"drain_grace_s": 0.5, "cold_share": 0.2, "ramp_time_s": 10.0, "tip_multiple": 2.0,
              "fall_s": 2.0, "answer_slack_s": 0.016},
    "extra": {"has_counter": True, "count_wait_s": 0.05, "units_top": 3},
    "grades": [{"name": "look", "aim_s": 0.8, "give_up_s": 2.0, "worth": 1.0, "repeat": "pure"},
               {"name": "book", "aim_s": 1.5, "give_up_s": 7.5, "worth": 3.0, "repeat": "side_effect"}],
    "contracts": [{"name": "basic", "pays": 1.0, "quota_rate": 100.0, "store_size": 200.0}],
}


def run(coroutine: Awaitable) -> None:
    """Run a test's coroutine on the loop that the ingress runs on; nothing here takes half a minute."""
    async def limited() -> None:
        await asyncio.wait_for(coroutine, 30.0)

    uvloop.run(limited())


async def until(condition: Callable[[], object], seconds: float = 10.0) -> None:
    """Wait for a condition, not for a time."""
    for _ in range(int(seconds / 0.005)):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("it did not come about")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """First line, fields and body of a request or an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:] if line)}
    return head[0], fields, await reader.readexactly(int(fields.get("content-length", 0)))


class Fake:
    """A listening socket whose `handle` is a coroutine over one connection; it counts them."""

    def __init__(self, handle: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable]) -> None:
        self.handle, self.opened, self.writers = handle, 0, []

    async def start(self) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.writers.append(writer)
        try:
            await self.handle(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
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


class World:
    """An ingress in this process, with its fakes."""

    def __init__(self, backends: list[Backend], settings: dict, known: bool) -> None:
        self.backends, self.settings, self.known = backends, settings, known

    async def start(self) -> None:
        members = [member(f"s-{i}", await b.start()) for i, b in enumerate(self.backends)]
        self.list, self.count = List(members), Count()
        discovery, counter = await self.list.start(), await self.count.start()
        settings = from_json({**SETTINGS, **self.settings})
        known = {"revision": 1, "complete": True, "members": members}
        config = Config("n0", ("127.0.0.1", 0), parse_address(discovery, "discovery"),
                        parse_address(counter, "counter"), 7, 1024, settings,
                        parse_list(known, settings) if self.known else None)
        self.ingress = Ingress(asyncio.get_running_loop(), config)
        await self.ingress.start()
        self.address = self.ingress.server.listener.sockets[0].getsockname()
        await until(lambda: self.ingress.server.ready)

    def stop(self) -> None:
        self.ingress.close()
        for fake in (*self.backends, self.list, self.count):
            fake.stop()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.address)


@asynccontextmanager
async def world(*backends: Backend, known: bool = False, **settings):
    made = World(list(backends), settings, known)
    await made.start()
    try:
        yield made
    finally:
        made.stop()


IDS = iter(range(1, 1 << 30))


def request(cls: str = "look", body: bytes = b"", left: int = 2000, path: str = "/api", drop: str = "",
            more: str = "", **fields: str) -> bytes:
    """A client's request; `fields` replace the usual ones (with _ for -), `drop` leaves one out."""
    said = {"Host": "app.svc", "X-Txn": f"{next(IDS):016x}", "X-Lane": cls, "Api-Plan": "basic",
            "Cookie": "account=00000000b4d65521", "X-Remaining-Ms": str(left),
            "Api-Terms": "units=1,spread=2,first=0"}
    if cls == "book" and "Transfer_Encoding" not in fields:
        said["Content-Length"] = str(len(body))
    said.update({name.replace("_", "-"): value for name, value in fields.items()})
    said.pop(drop, None)
    method = "GET" if cls == "look" else "POST"
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in said.items())]
    return ("\r\n".join(lines) + "\r\n" + more + "\r\n").encode() + body


async def ask(made: World, data: bytes) -> tuple[str, dict[str, str], bytes]:
    """One request on a connection of its own; its answer."""
    reader, writer = await made.connect()
    writer.write(data)
    try:
        return await read_message(reader)
    finally:
        writer.close()
