"""Clients that may leave and backends that notice it: both write down what they saw."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from dataclasses import dataclass, field
from urllib.parse import urlencode

from fennelpoint.testing.servers import read_message
from fennelpoint.testing.soak.records import PROMISES, Departure, Lookup, Records, Run
from fennelpoint.testing.system_demo import KEY, Backend

TIMEOUT = 2.0  # s that a client waits for an answer
CONNECT = 1.0  # s for a connection, and for an answer of the directory
LONG, LONG_WORK, WORK = 0.3, 1.2, 0.05  # share of long requests; s of work of these, and of the others
PATIENCE = (0.05, 0.4)  # s after which a client that leaves does so
SLOWER = 4.0  # times as long, while backends are slow


@dataclass
class Weather:
    """What goes on just now, for all clients and backends."""

    losing: float = 0.0  # share of the requests that get no answer
    slower: float = 1.0  # times as long as usual
    leaving: float = 0.1  # share of the clients that leave before their answer


class SoakBackend(Backend):
    """Works until its caller closes the connection, and records each run from its begin to its end."""

    def __init__(self, id: str, zone: str, cores: list[str], records: Records, weather: Weather) -> None:
        super().__init__(id, zone, cores, records)
        self.records, self.weather = records, weather

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError, KeyError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """One request; whether the connection stays."""
        line, fields, body = await read_message(reader)
        if fields.get("x-expected-instance", self.id) != self.id:
            writer.write(b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        attempt, write = fields["x-attempt-id"], line.startswith("POST")
        run = Run(attempt, time.monotonic())
        self.records.runs.setdefault(attempt, []).append(run)
        if write:
            self.records.writes[body.decode()] += 1
        left = await self._work(line, reader)
        run.ended = time.monotonic()
        if left or random.random() < self.weather.losing:
            return False
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {self.id}\r\n"
            "Content-Length: 2\r\n\r\nok".encode()
        )
        return True

    async def _work(self, line: str, reader: asyncio.StreamReader) -> bool:
        """Work for as long as the path says; whether the caller left meanwhile."""
        work = (LONG_WORK if "/long/" in line else WORK) * self.weather.slower
        try:
            async with asyncio.timeout(work):
                await reader.read(1)  # one request at a time: what comes is the end
        except TimeoutError:
            return False
        return True


@dataclass
class Places:
    """Where machines are reached: addresses by machine, and machines by address."""

    directories: dict[str, str]  # of core machines
    publics: dict[str, str]  # of fronts

    def __post_init__(self) -> None:
        self.fronts = {address: front for front, address in self.publics.items()}


@dataclass
class Told:
    """What a client holds of the directory."""

    named: list[str] = field(default_factory=list)  # fronts
    until: float = 0.0


class SoakClient:
    """One client: it looks up, asks on a new connection each time, and may leave."""

    numbers = itertools.count(1)

    def __init__(self, zone: str, region: str, host: str, places: Places, records: Records, weather: Weather) -> None:
        self.zone, self.region, self.host = zone, region, host
        self.places, self.records, self.weather = places, records, weather
        self.told = Told()

    async def run(self, pause: float) -> None:
        """One request after the other, until it is cancelled."""
        while True:
            await self.ask()
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))

    async def ask(self) -> int:
        """The status of one request; 0: it got no answer."""
        if not await self._look_up():
            self.records.answers[0] += 1
            return 0
        front = random.choice(self.told.named)
        write = random.random() < 0.3
        number = next(self.numbers)
        attempt = f"a{number}"
        try:
            reader, writer = await self._connect(self.places.publics[front])
        except (OSError, TimeoutError):
            self.told.until = 0.0
            self.records.answers[0] += 1
            return 0
        try:
            writer.write(self._request(attempt, write))
            return await self._answer(reader, attempt, front, write)
        finally:
            writer.transport.abort()

    def _request(self, attempt: str, write: bool) -> bytes:
        kind = "long" if random.random() < LONG else "short"
        body = attempt.encode() if write else b""
        return (
            f"{'POST' if write else 'GET'} /{'book' if write else 'look'}/{kind}/ HTTP/1.1\r\nHost: {self.host}\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Deadline-Remaining: {int(TIMEOUT * 1000)}\r\n"
            f"Authorization: Token {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    async def _answer(self, reader: asyncio.StreamReader, attempt: str, front: str, write: bool) -> int:
        leaves = random.random() < self.weather.leaving
        status = 0
        try:
            async with asyncio.timeout(random.uniform(*PATIENCE) if leaves else TIMEOUT + 1.0):
                line, _, _ = await read_message(reader)
                status = int(line.split()[1])
        except TimeoutError:
            self.records.departures.append(Departure(attempt, front, not write, time.monotonic()))
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, IndexError, ValueError):
            self.told.until = 0.0
        self.records.answers[status] += 1
        if write and 200 <= status < 300:
            self.records.confirmed.add(attempt)
        elif write and status in PROMISES:
            self.records.promised[attempt] = front
        return status

    async def _look_up(self) -> bool:
        """Hold a good answer of the directory; whether there is one."""
        if time.monotonic() < self.told.until:
            return True
        query = urlencode({"name": self.host, "region": self.region, "availability_zone": self.zone})
        cores = random.sample(list(self.places.directories), len(self.places.directories))
        for core in cores[:3]:
            try:
                async with asyncio.timeout(CONNECT):
                    value = await self._directory(self.places.directories[core], query)
                    named = [self.places.fronts[address] for address in value["addresses"]]
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, KeyError):
                continue
            now = time.monotonic()
            self.records.lookups.append(Lookup(now, core, self.host, self.region, named))
            self.told = Told(named, now + float(value["ttl_s"]))
            return True
        return bool(self.told.named)

    async def _directory(self, address: str, query: str) -> dict:
        reader, writer = await self._connect(address)
        try:
            writer.write(
                f"GET /api/resolve?{query} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode()
            )
            _, _, body = await read_message(reader)
            return json.loads(body)
        finally:
            writer.transport.abort()

    @staticmethod
    async def _connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT):
            return await asyncio.open_connection(host, int(port))
