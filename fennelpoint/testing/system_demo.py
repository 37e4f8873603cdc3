"""`larchwing demo system`: three core machines, four fronts, backends and clients on loopback; a kill and a drain.

Every machine is an address of 127.0.0.0/8 with real processes; backends and clients are of this one and write down
what they saw.  What is said at the end goes by these records alone.  It needs the extra `system`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from result import Ok

from fennelpoint.system.client import Client
from fennelpoint.testing.process import free_port
from fennelpoint.testing.servers import read_message

ZONES = {"za": "ra", "zb": "rb", "zc": "rc"}
FIRST_SERVICE = 5.0     # s from the fronts' readiness until each region is served
BEAT, GRACE, RATE = 0.5, 2.0, 12.0      # s, s, requests a second of each client
# A program that ends when we do; it says so itself, as code between fork and exec may abort where gRPC is loaded.
PROGRAM = ("import ctypes, runpy; ctypes.CDLL(None).prctl(1, 9); "
           "runpy.run_module('fennelpoint.system', run_name='__main__')")
HOST, KEY = "bookings.example", "demo-key"


@dataclass
class Seen:
    """What backends ran and clients were told."""

    runs: Counter = field(default_factory=Counter)              # by the body's own mark: writes
    by: Counter = field(default_factory=Counter)                # by backend, since the last line
    answered: Counter = field(default_factory=Counter)          # by status; 0: unclear
    told: set[str] = field(default_factory=set)                 # marks of writes that were answered with 2xx
    promised: set[str] = field(default_factory=set)             # marks of writes that were refused


class Backend:
    """Answers as the system's backends do, and beats at core machines in turn."""

    def __init__(self, id: str, zone: str, cores: list[str], seen: Seen) -> None:
        self.id, self.zone, self.cores, self.seen = id, zone, cores, seen
        self.state, self.sequence, self.acked = "ready", 0, 0.0
        self.server: asyncio.Server | None = None
        self.task: asyncio.Task | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]     # noqa: UP031
        self.task = asyncio.create_task(self._beat())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, fields, body = await read_message(reader)
                if fields.get("x-expected-instance", self.id) != self.id:
                    writer.write(b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.seen.by[self.id] += 1
                if line.startswith("POST"):
                    self.seen.runs[body.decode()] += 1
                await asyncio.sleep(random.uniform(0.01, 0.03))
                writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {fields['x-attempt-id']}\r\n"
                             f"X-Server-Seal: {self.id}\r\nContent-Length: 2\r\n\r\nok".encode())
        except (asyncio.IncompleteReadError, OSError, KeyError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _beat(self) -> None:
        while True:
            await self.say()
            await asyncio.sleep(BEAT)

    async def say(self) -> bool:
        """One beat; whether a core machine acknowledged it."""
        self.sequence += 1
        body = json.dumps({
            "address": self.address, "information": {"service": "bookings", "version": "v1", "free_slots": 8,
                                                     "availability_zone": self.zone},
            "status": {"state": self.state, "sequence": self.sequence, "cold_remaining_s": 0}}).encode()
        for core in random.sample(self.cores, len(self.cores)):
            if await call(core, "PUT", f"/api/instances/{self.id}", body) == 200:
                return True
        return False

    def stop(self) -> None:
        """As a crash: beats end, connections break."""
        if self.task is not None:
            self.task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def call(at: str, method: str, path: str, body: bytes = b"") -> int:
    """The status of one call; 0: no answer within a second."""
    host, _, port = at.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body)
                return int((await reader.readline()).split()[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


class Site:
    """The machines: their settings files, their processes, their addresses.

    `cores` and `fronts` are names, the zone after the first hyphen; `zones` tells the region of each zone; `program`
    is the code that each process runs, with the role and the settings behind it.
    """

    def __init__(self, root: Path, zones: dict[str, str] = ZONES,
                 cores: tuple[str, ...] = ("core-za", "core-zb", "core-zc"),
                 fronts: tuple[str, ...] = ("front-za-1", "front-zb-1", "front-zc-1", "front-za-2"),
                 program: str = PROGRAM) -> None:
        self.root, self.zones, self.program, self.running = root, zones, program, {}
        doors = ("control_plane", "directory_service", "public_http", "readiness")
        self.ports = {name: free_port() for name in doors}
        self.inner = free_port()
        while {self.inner + i for i in range(3)} & set(self.ports.values()):
            self.inner = free_port()
        self.cores = {name: f"127.61.0.{i + 1}" for i, name in enumerate(cores)}
        self.fronts = {name: f"127.62.0.{i + 1}" for i, name in enumerate(fronts)}

    def at(self, machine: str, door: str) -> str:
        return f"{(self.cores | self.fronts)[machine]}:{self.ports[door]}"

    def settings(self, machine: str, role: str, first: bool) -> Path:
        zone = machine.split("-")[1]
        lines = {"node_name": machine, "node_role": role, "ip_address": (self.cores | self.fronts)[machine],
                 "availability_zone": zone, "region": self.zones[zone],
                 "internal_ports": f"{self.inner},{self.inner + 2}",
                 "seed_nodes": ",".join(self.at(core, "control_plane") for core in list(self.cores)[:3]),
                 "first_start": str(first).lower(), "heartbeat_s": BEAT, "rule_bounds.grace_period_s": GRACE,
                 **{f"zones.{z}": r for z, r in self.zones.items()}}
        doors = {"span": ("public_http", "readiness"), "roll": ("control_plane", "directory_service"), "writ": ()}
        lines |= {f"listen_addresses.{door}": self.at(machine, door) for door in doors[role]}
        if machine in self.cores:
            lines["data_directory"] = self.root / machine
        path = self.root / f"{machine}-{role}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))
        return path

    async def start(self, machine: str, first: bool = False) -> None:
        for role in ("writ", "roll") if machine in self.cores else ("span",):
            self.running[machine, role] = await asyncio.create_subprocess_exec(
                sys.executable, "-c", self.program, role, "--settings", str(self.settings(machine, role, first)),
                stderr=(self.root / f"{machine}-{role}.log").open("a"))

    async def kill(self, machine: str) -> None:
        for key in [k for k in self.running if k[0] == machine]:
            process = self.running.pop(key)
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def stop(self) -> None:
        for machine in {key[0] for key in self.running}:
            await self.kill(machine)


def configuration(version: int, base: int) -> bytes:
    def rule(name: str, kind: str, prefix: str) -> dict:
        return {"name": name, "kind": kind, "target_latency_s": 0.5, "match_criteria": {"path_prefix": prefix},
                "route_action": {"service": "bookings", "request_timeout_s": 2, "max_attempts": 2}}
    return json.dumps({
        "version": version, "base_version": base, "clusters": [{"name": "bookings"}],
        "tenants": [{"name": "agency", "api_keys": [KEY], "rate_per_s": 400, "burst_size": 400}],
        "listener_table": [{"host": HOST, "rule_set": [rule("look", "idempotent", "/look/"),
                                                       rule("book", "non_idempotent", "/book/")]}]}).encode()


async def _traffic(client: Client, number: int, seen: Seen) -> None:
    """Look-ups and bookings at an even rate; each booking bears a mark of its own."""
    async def one(turn: int) -> None:
        write, mark = turn % 3 == 0, f"{number}.{turn}"
        told = await client.request("POST" if write else "GET", HOST, f"/{'book' if write else 'look'}/{turn}",
                                    mark.encode() if write else b"", deadline=2.0, repeatable=not write)
        status = told.ok_value.status if isinstance(told, Ok) else 0
        seen.answered[status] += 1
        if write and 200 <= status < 300:
            seen.told.add(mark)
        elif write and status in (408, 421, 429, 503):
            seen.promised.add(mark)

    running, turn = set(), 0
    try:
        while True:
            turn += 1
            task = asyncio.create_task(one(turn))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(1.0 / RATE)
    finally:
        await asyncio.gather(*running, return_exceptions=True)


async def _each_served(clients: list[Client]) -> bool:
    """Whether a look-up of each of these is answered with success."""
    answers = [await client.request("GET", HOST, "/look/0", deadline=1.0, repeatable=True) for client in clients]
    return all(isinstance(answer, Ok) and answer.ok_value.status == 200 for answer in answers)


async def until(what: Callable, seconds: float, why: str) -> float:
    begun = time.monotonic()
    while not await what():
        if time.monotonic() - begun > seconds:
            raise RuntimeError(f"{why}: not within {seconds:g} s")
        await asyncio.sleep(0.05)
    return time.monotonic() - begun


async def play(say: Callable[[str], None], calm: float = 3.0) -> tuple[Seen, list[str]]:
    """The whole show; what was seen, and what was wrong with it: nothing where all is well."""
    seen, folder = Seen(), tempfile.TemporaryDirectory(prefix="larchwing-system-")
    site = Site(Path(folder.name))
    cores = [site.at(core, "control_plane") for core in site.cores]
    backends = [Backend(f"i-{n}", zone, cores, seen) for n, zone in enumerate((*ZONES, *ZONES), 1)]
    tasks: list[asyncio.Task] = []
    begun = time.monotonic()

    def tell(text: str) -> None:
        say(f"{time.monotonic() - begun:5.1f} s  {text}")

    async def ready(front: str) -> bool:
        return await call(site.at(front, "readiness"), "GET", "/api/readiness") == 200

    async def put(version: int, base: int) -> bool:
        return await call(random.choice(cores), "PUT", "/api/configuration", configuration(version, base)) == 200

    async def share() -> None:
        seen.by.clear()
        await asyncio.sleep(calm)
        tell("served: " + "  ".join(f"{b.id} {seen.by[b.id]:>3}" for b in backends)
             + f"   answers: {dict(sorted(seen.answered.items()))}")

    try:
        for machine in (*site.cores, *site.fronts):
            await site.start(machine, first=True)
        await asyncio.gather(*(b.start() for b in backends))
        took = await until(lambda: put(3, 0), 20.0, "the first configuration")
        tell(f"three core machines have founded themselves; configuration 3 is agreed after {took:.1f} s")
        for front in site.fronts:
            await until(lambda front=front: ready(front), 20.0, front)
        tell(f"{len(site.fronts)} fronts hold a lease and are ready")
        clients = [Client([site.at(core, "directory_service") for core in site.cores], zone, ZONES[zone], KEY)
                   for zone in ZONES]
        took = await until(lambda: _each_served(clients), FIRST_SERVICE, "the first answers in each region")
        tell(f"each region is served after {took:.1f} s more")
        tasks = [asyncio.create_task(_traffic(client, n, seen)) for n, client in enumerate(clients)]
        await share()
        backends[0].state = "draining"
        took = await until(backends[0].say, 5.0, "the drain")
        await asyncio.sleep(0.5)
        tell(f"{backends[0].id} drains, acknowledged after {took * 1000:.0f} ms")
        await share()
        drained = seen.by[backends[0].id]
        backends[0].stop()
        await site.kill("core-zb")
        backends[1].stop()
        tell(f"core machine core-zb and backend {backends[1].id} are killed at once")
        took = await until(lambda: put(5, 3), 10.0, "a configuration with a core machine dead")
        tell(f"configuration 5 is agreed by the two that are left, after {took:.1f} s")
        await site.kill("front-zc-1")
        tell("front front-zc-1 is killed")
        await share()
        await site.start("core-zb")
        await site.start("front-zc-1")
        took = await until(lambda: ready("front-zc-1"), 15.0, "the front that was killed")
        tell(f"both machines are back; the front is ready after {took:.1f} s")
        await share()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await site.stop()
        for backend in backends:
            backend.stop()
        folder.cleanup()
    wrong = [f"booking {mark} ran {n} times" for mark, n in seen.runs.items() if n > 1]
    wrong += [f"booking {mark} was confirmed and never ran" for mark in sorted(seen.told - seen.runs.keys())]
    wrong += [f"booking {mark} was refused, and ran" for mark in sorted(seen.promised & seen.runs.keys())]
    if drained:
        wrong.append(f"{drained} requests reached a backend after its drain was acknowledged")
    total, good = sum(seen.answered.values()), sum(n for s, n in seen.answered.items() if 200 <= s < 300)
    tell(f"{good} of {total} requests served, {len(seen.told)} bookings confirmed; "
         + ("; ".join(wrong) or "none lost, none doubled, none refused that ran"))
    return seen, wrong
