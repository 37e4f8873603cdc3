"""Clients that may disconnect early and backends that notice it; both record what they observe."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from dataclasses import dataclass, field
from urllib.parse import urlencode

from fennelpoint.testing.servers import read_message
from fennelpoint.testing.soak import uploads
from fennelpoint.testing.soak.records import NOT_EXECUTED_STATUSES, Cancellation, Execution, Lookup, Records
from fennelpoint.testing.system_demo import KEY, Backend

REPLY_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0  # also for a reply of the directory
LONG_SHARE, LONG_WORK_S, WORK_S = 0.3, 1.2, 0.05  # share of long requests; duration of these and of the others
CANCEL_AFTER_S = (0.05, 0.4)  # range of times after which a client disconnects early
UPLOAD_SHARE = 0.1  # of requests
SLOWDOWN_FACTOR = 4.0  # of slow backends


@dataclass
class TrafficFaults:
    """Current faults of all clients and backends."""

    loss_share: float = 0.0  # share of requests without a reply
    slowdown: float = 1.0  # factor on the duration of work
    cancel_share: float = 0.1  # share of clients that disconnect before the reply


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line of a request and its header fields, names in lower case."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    return first, {name.lower(): value for name, _, value in (line.partition(": ") for line in lines if line)}


class SoakBackend(Backend):
    """Works until its caller closes the connection, and records each execution from start to end."""

    def __init__(self, id: str, zone: str, cores: list[str], records: Records, traffic_faults: TrafficFaults) -> None:
        super().__init__(id, zone, cores, records)
        self.records, self.traffic_faults = records, traffic_faults

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
        """Handle one request; returns whether the connection stays open."""
        line, fields = await read_head(reader)
        if fields.get("x-expected-instance", self.id) != self.id:
            await uploads.read_body(reader, fields)
            writer.write(b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        attempt, is_write = fields["x-attempt-id"], line.startswith("POST")
        run = Execution(attempt, time.monotonic())
        self.records.executions.setdefault(attempt, []).append(run)
        if is_write:
            self.records.write_counts[attempt] += 1
        if uploads.PATH_PART in line:
            stays_open, is_unchanged = await uploads.serve(reader, writer, fields, self.id)
            if not is_unchanged:
                self.records.changed_bodies.append(attempt)
            return stays_open
        body = await uploads.read_body(reader, fields)
        if is_write and body.decode() != attempt:
            self.records.changed_bodies.append(attempt)
        was_cancelled = await self._work(line, reader)
        run.ended_at = time.monotonic()
        if was_cancelled or random.random() < self.traffic_faults.loss_share:
            return False
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {self.id}\r\n"
            "Content-Length: 2\r\n\r\nok".encode()
        )
        return True

    async def _work(self, line: str, reader: asyncio.StreamReader) -> bool:
        """Work for the time that the path selects; returns whether the caller disconnected meanwhile."""
        duration_s = (LONG_WORK_S if "/long/" in line else WORK_S) * self.traffic_faults.slowdown
        try:
            async with asyncio.timeout(duration_s):
                await reader.read(1)  # one request at a time: anything received is the end of the connection
        except TimeoutError:
            return False
        return True


@dataclass
class Addresses:
    """Addresses by machine, and proxies by address."""

    directories: dict[str, str]  # by core machine
    public_addresses: dict[str, str]  # by proxy

    def __post_init__(self) -> None:
        self.proxies_by_address = {address: proxy for proxy, address in self.public_addresses.items()}


@dataclass
class CachedLookup:
    """A client's cached reply of the directory."""

    proxies: list[str] = field(default_factory=list)
    expires_at: float = 0.0


class SoakClient:
    """One client: looks up a proxy, sends each request on a new connection, and may disconnect early."""

    numbers = itertools.count(1)

    def __init__(
        self,
        zone: str,
        region: str,
        host: str,
        addresses: Addresses,
        records: Records,
        traffic_faults: TrafficFaults,
    ) -> None:
        self.zone, self.region, self.host = zone, region, host
        self.addresses, self.records, self.traffic_faults = addresses, records, traffic_faults
        self.lookup = CachedLookup()

    async def run(self, interval_s: float) -> None:
        """Send requests one after the other until cancelled."""
        while True:
            await self.send_request()
            await asyncio.sleep(interval_s * random.uniform(0.5, 1.5))

    async def send_request(self) -> int:
        """Send one request; returns its status, or 0 without a reply."""
        if not await self._look_up():
            self.records.status_counts[0] += 1
            return 0
        proxy = random.choice(self.lookup.proxies)
        is_upload = random.random() < UPLOAD_SHARE
        is_write = is_upload or random.random() < 0.3
        number = next(self.numbers)
        attempt = f"a{number}"
        try:
            reader, writer = await self._connect(self.addresses.public_addresses[proxy])
        except (OSError, TimeoutError):
            self.lookup.expires_at = 0.0
            self.records.status_counts[0] += 1
            return 0
        sending: asyncio.Task | None = None
        try:
            if is_upload:
                self.records.uploads += 1
                head_lines = self._head_lines(attempt, f"POST /book{uploads.PATH_PART}")
                sending = asyncio.create_task(uploads.send(writer, attempt, head_lines))
            else:
                writer.write(self._request(attempt, is_write))
            return await self._read_reply(reader, attempt, proxy, is_write)
        finally:
            if sending is not None:
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)
            writer.transport.abort()

    def _request(self, attempt: str, is_write: bool) -> bytes:
        kind = "long" if random.random() < LONG_SHARE else "short"
        body = attempt.encode() if is_write else b""
        target = f"{'POST' if is_write else 'GET'} /{'book' if is_write else 'look'}/{kind}/"
        return f"{self._head_lines(attempt, target)}Content-Length: {len(body)}\r\n\r\n".encode() + body

    def _head_lines(self, attempt: str, target: str) -> str:
        """The request line and the fields of all requests, without the end of the head."""
        return (
            f"{target} HTTP/1.1\r\nHost: {self.host}\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Deadline-Remaining: {int(REPLY_TIMEOUT_S * 1000)}\r\n"
            f"Authorization: Token {KEY}\r\n"
        )

    async def _read_reply(self, reader: asyncio.StreamReader, attempt: str, proxy: str, is_write: bool) -> int:
        cancels = random.random() < self.traffic_faults.cancel_share
        status = 0
        try:
            async with asyncio.timeout(random.uniform(*CANCEL_AFTER_S) if cancels else REPLY_TIMEOUT_S + 1.0):
                line, _, _ = await read_message(reader)
                status = int(line.split()[1])
        except TimeoutError:
            self.records.cancellations.append(Cancellation(attempt, proxy, not is_write, time.monotonic()))
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, IndexError, ValueError):
            self.lookup.expires_at = 0.0
        self.records.status_counts[status] += 1
        if is_write and 200 <= status < 300:
            self.records.confirmed_writes.add(attempt)
        elif is_write and status in NOT_EXECUTED_STATUSES:
            self.records.refused_writes[attempt] = proxy
        return status

    async def _look_up(self) -> bool:
        """Refresh the cached reply of the directory if it has expired; returns whether there is one."""
        if time.monotonic() < self.lookup.expires_at:
            return True
        query = urlencode({"name": self.host, "region": self.region, "availability_zone": self.zone})
        cores = random.sample(list(self.addresses.directories), len(self.addresses.directories))
        for core in cores[:3]:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    value = await self._query_directory(self.addresses.directories[core], query)
                    proxies = [self.addresses.proxies_by_address[address] for address in value["addresses"]]
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, KeyError):
                continue
            now = time.monotonic()
            self.records.lookups.append(Lookup(now, core, self.host, self.region, proxies))
            self.lookup = CachedLookup(proxies, now + float(value["ttl_s"]))
            return True
        return bool(self.lookup.proxies)

    async def _query_directory(self, address: str, query: str) -> dict:
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
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(host, int(port))
