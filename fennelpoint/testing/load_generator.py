"""Stand-ins that are quick enough not to be what a benchmark measures: a server and a load generator.

    python -m fennelpoint.testing.load_generator serve            prints its address, serves until its input ends
    python -m fennelpoint.testing.load_generator pass HOST:PORT   the same in front of another: a bare pass-through
    python -m fennelpoint.testing.load_generator load SPEC        plays a load, prints what came of it as JSON

The pass-through is what uvloop and httptools take at the least for what an ingress does on the wire: read a
request whole, send it on over a kept connection, pass the answer back.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import deque

import httptools
import uvloop

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 120\r\n\r\n" + b"x" * 120


class _Serve(asyncio.Protocol):
    """Answers each request with the same 120 bytes."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.parser = transport, httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.transport.write(ANSWER)


class _Upstream(asyncio.Protocol):
    """A kept connection of the pass-through."""

    def __init__(self, idle: list[_Upstream], first: _Pass) -> None:
        self.idle, self.client = idle, first

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.parser, self.body = transport, httptools.HttpResponseParser(self), []
        self.send(self.client)

    def send(self, client: _Pass) -> None:
        self.client = client
        self.transport.write(client.render())

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        body, self.body, client = b"".join(self.body), [], self.client
        self.idle.append(self)
        client.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))


class _Pass(asyncio.Protocol):
    """A client's connection at the pass-through."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int],
                 idle: list[_Upstream]) -> None:
        self.loop, self.address, self.idle = loop, address, idle

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.parser = transport, httptools.HttpRequestParser(self)
        self.headers, self.body, self.url = [], [], b""

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append(name + b": " + value)

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        if self.idle:
            self.idle.pop().send(self)
        else:
            self.task = self.loop.create_task(
                self.loop.create_connection(lambda: _Upstream(self.idle, self), *self.address))

    def render(self) -> bytes:
        head = b"\r\n".join([self.parser.get_method() + b" " + self.url + b" HTTP/1.1", *self.headers])
        body, self.headers, self.body = b"".join(self.body), [], []
        return head + b"\r\n\r\n" + body


class Client(asyncio.Protocol):
    """One connection of the load: a request, its whole answer, then the next one that is due."""

    def __init__(self, load: Load) -> None:
        self.load, self.begun, self.status = load, 0.0, 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.parser = transport, httptools.HttpResponseParser(self)
        self.load.free(self)

    def send(self, data: bytes, due: float) -> None:
        self.begun = due
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.load.answered(self.parser.get_status_code(), time.perf_counter() - self.begun)
        if self.parser.should_keep_alive():
            self.load.free(self)
        else:
            self.load.reconnect()

    def connection_lost(self, error: Exception | None) -> None:
        self.load.lost += 1


class Load:
    """Requests of a few templates, as fast as the connections allow or at a fixed rate.

    Latencies at a fixed rate count from when a request was due, so that a stall counts for all it held up.
    """

    def __init__(self, address: tuple[str, int], templates: list[str], connections: int, seconds: float,
                 rate: float) -> None:
        self.address, self.connections, self.seconds, self.rate = address, connections, seconds, rate
        self.templates, self.number, self.due = [t.encode() for t in templates], 0, deque()
        self.idle: list[Client] = []
        self.statuses: dict[int, int] = {}
        self.latencies: list[float] = []
        self.lost, self.over = 0, False

    def next(self) -> bytes:
        self.number += 1
        template = self.templates[self.number % len(self.templates)]
        return template.replace(b"@TXN", b"%x" % self.number).replace(
            b"@ACCOUNT", b"%016x" % (self.number % 200))

    def free(self, client: Client) -> None:
        if self.over:
            return
        if self.rate == 0.0:
            client.send(self.next(), time.perf_counter())
        elif self.due:
            client.send(self.next(), self.due.popleft())
        else:
            self.idle.append(client)

    def answered(self, status: int, latency: float) -> None:
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.latencies.append(latency)

    def reconnect(self) -> None:
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(loop.create_connection(lambda: Client(self), *self.address))

    async def play(self) -> dict[str, object]:
        begun = time.perf_counter()
        for _ in range(self.connections):
            self.reconnect()
            await asyncio.sleep(0)
        if self.rate > 0.0:
            sent = 0
            while (now := time.perf_counter() - begun) < self.seconds:
                while sent < now * self.rate:
                    due = begun + sent / self.rate
                    sent += 1
                    if self.idle:
                        self.idle.pop().send(self.next(), due)
                    else:
                        self.due.append(due)
                await asyncio.sleep(0.001)
        else:
            await asyncio.sleep(self.seconds)
        self.over = True
        took = time.perf_counter() - begun
        ranked = sorted(self.latencies) or [0.0]
        return {"answers": len(self.latencies), "seconds": took, "statuses": self.statuses, "lost": self.lost,
                "p50": ranked[len(ranked) // 2], "p99": ranked[int(len(ranked) * 0.99)],
                "most": ranked[-1]}


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


async def _listen(make) -> None:
    """Serve on a free port, say which, and end with the input."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(make, "127.0.0.1", 0, backlog=1024)
    host, port = server.sockets[0].getsockname()
    print(f"{host}:{port}", flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


async def _main(words: list[str]) -> None:
    loop = asyncio.get_running_loop()
    if words[0] == "serve":
        await _listen(_Serve)
    elif words[0] == "pass":
        idle: list[_Upstream] = []
        await _listen(lambda: _Pass(loop, _address(words[1]), idle))
    else:
        spec = json.loads(words[1])
        spec["address"] = _address(spec["address"])
        print(json.dumps(await Load(**spec).play()))


if __name__ == "__main__":
    uvloop.run(_main(sys.argv[1:]))
