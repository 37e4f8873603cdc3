"""`larchwing demo system`: three core machines, four proxies, backends and clients on loopback; kills and a drain.

Every machine is an address of 127.0.0.0/8 with real processes; backends and clients run in this process and record
what they observe. The result at the end is based on these records alone. Needs the extra `system`.
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
from fennelpoint.system.mesh import ROLES
from fennelpoint.testing.process import free_ports
from fennelpoint.testing.servers import read_message

ZONES = {"za": "ra", "zb": "rb", "zc": "rc"}
FIRST_SERVICE_TIMEOUT_S = 5.0     # from the readiness of the proxies until each region is served
HEARTBEAT_INTERVAL_S, GRACE_S, REQUESTS_PER_S = 0.5, 2.0, 12.0      # the last of each client
# A program that ends with its parent: it sets PR_SET_PDEATHSIG itself, as code that runs between fork and exec may
# abort when gRPC is loaded.
PROGRAM = ("import ctypes, runpy; ctypes.CDLL(None).prctl(1, 9); "
           "runpy.run_module('fennelpoint.system', run_name='__main__')")
HOST, KEY = "bookings.example", "demo-key"


@dataclass
class Observations:
    """What backends executed and which replies clients got."""

    write_counts: Counter = field(default_factory=Counter)      # executions, by id of the write
    served_by_backend: Counter = field(default_factory=Counter)     # since the last report
    status_counts: Counter = field(default_factory=Counter)     # by status; 0: no definite reply
    confirmed: set[str] = field(default_factory=set)            # ids of writes answered with 2xx
    refused: set[str] = field(default_factory=set)              # ids of writes that were refused


class Backend:
    """A backend that replies as the system expects, and sends heartbeats to random core machines."""

    def __init__(self, id: str, zone: str, cores: list[str], observations: Observations) -> None:
        self.id, self.zone, self.cores, self.observations = id, zone, cores, observations
        self.state, self.sequence, self.acknowledged_at = "ready", 0, 0.0
        self.server: asyncio.Server | None = None
        self.task: asyncio.Task | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]     # noqa: UP031
        self.task = asyncio.create_task(self._send_heartbeats())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, fields, body = await read_message(reader)
                if fields.get("x-expected-instance", self.id) != self.id:
                    writer.write(b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.observations.served_by_backend[self.id] += 1
                if line.startswith("POST"):
                    self.observations.write_counts[body.decode()] += 1
                await asyncio.sleep(random.uniform(0.01, 0.03))
                writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {fields['x-attempt-id']}\r\n"
                             f"X-Server-Seal: {self.id}\r\nContent-Length: 2\r\n\r\nok".encode())
        except (asyncio.IncompleteReadError, OSError, KeyError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat; returns whether a core machine acknowledged it."""
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
        """Stop as in a crash: heartbeats end, connections break."""
        if self.task is not None:
            self.task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def call(address: str, method: str, path: str, body: bytes = b"") -> int:
    """Send one call; returns its status, or 0 without a reply within a second."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body)
                return int((await reader.readline()).split()[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


class Site:
    """The machines: their settings files, processes and addresses.

    `cores` and `proxies` are names, with the zone after the first hyphen; `zones` maps zones to regions; `program` is
    the code that each process runs, with the role and the settings as arguments.
    """

    def __init__(self, root: Path, zones: dict[str, str] = ZONES,
                 cores: tuple[str, ...] = ("core-za", "core-zb", "core-zc"),
                 proxies: tuple[str, ...] = ("front-za-1", "front-zb-1", "front-zc-1", "front-za-2"),
                 program: str = PROGRAM) -> None:
        self.root, self.zones, self.program, self.running = root, zones, program, {}
        self.cores = {name: f"127.61.0.{i + 1}" for i, name in enumerate(cores)}
        self.proxies = {name: f"127.62.0.{i + 1}" for i, name in enumerate(proxies)}
        hosts = [*self.cores.values(), *self.proxies.values()]
        listeners = ("control_plane", "directory_service", "public_http", "readiness")
        self.ports = {name: free_ports(1, hosts) for name in listeners}
        self.first_internal_port = free_ports(len(ROLES), hosts)

    def address(self, machine: str, listener: str) -> str:
        return f"{(self.cores | self.proxies)[machine]}:{self.ports[listener]}"

    def settings(self, machine: str, role: str, first: bool) -> Path:
        zone = machine.split("-")[1]
        lines = {"node_name": machine, "node_role": role, "ip_address": (self.cores | self.proxies)[machine],
                 "availability_zone": zone, "region": self.zones[zone],
                 "internal_ports": f"{self.first_internal_port},{self.first_internal_port + len(ROLES) - 1}",
                 "seed_nodes": ",".join(self.address(core, "control_plane") for core in list(self.cores)[:3]),
                 "first_start": str(first).lower(), "heartbeat_s": HEARTBEAT_INTERVAL_S,
                 "rule_bounds.grace_period_s": GRACE_S,
                 **{f"zones.{z}": r for z, r in self.zones.items()}}
        listeners = {"span": ("public_http", "readiness"), "roll": ("control_plane", "directory_service"), "writ": ()}
        lines |= {f"listen_addresses.{listener}": self.address(machine, listener) for listener in listeners[role]}
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


async def _traffic(client: Client, client_number: int, observations: Observations) -> None:
    """Send look-ups and bookings at an even rate; each booking has its own id."""
    async def send(request_number: int) -> None:
        is_write, booking_id = request_number % 3 == 0, f"{client_number}.{request_number}"
        result = await client.request(
            "POST" if is_write else "GET", HOST, f"/{'book' if is_write else 'look'}/{request_number}",
            booking_id.encode() if is_write else b"", deadline=2.0, repeatable=not is_write)
        status = result.ok_value.status if isinstance(result, Ok) else 0
        observations.status_counts[status] += 1
        if is_write and 200 <= status < 300:
            observations.confirmed.add(booking_id)
        elif is_write and status in (408, 421, 429, 503):
            observations.refused.add(booking_id)

    running, request_number = set(), 0
    try:
        while True:
            request_number += 1
            task = asyncio.create_task(send(request_number))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(1.0 / REQUESTS_PER_S)
    finally:
        await asyncio.gather(*running, return_exceptions=True)


async def _each_served(clients: list[Client]) -> bool:
    """Whether a look-up of each client succeeds."""
    answers = [await client.request("GET", HOST, "/look/0", deadline=1.0, repeatable=True) for client in clients]
    return all(isinstance(answer, Ok) and answer.ok_value.status == 200 for answer in answers)


async def wait_until(condition: Callable, seconds: float, why: str) -> float:
    """Poll an asynchronous condition; returns the seconds waited, raises RuntimeError with `why` after a timeout."""
    started_at = time.monotonic()
    while not await condition():
        if time.monotonic() - started_at > seconds:
            raise RuntimeError(f"{why}: not within {seconds:g} s")
        await asyncio.sleep(0.05)
    return time.monotonic() - started_at


async def play(say: Callable[[str], None], phase_s: float = 3.0) -> tuple[Observations, list[str]]:
    """Run the demo; returns the observations and the violations found in them.

    `say` gets each line for the user, `phase_s` is the length of the traffic phases between faults.
    """
    observations, folder = Observations(), tempfile.TemporaryDirectory(prefix="larchwing-system-")
    site = Site(Path(folder.name))
    cores = [site.address(core, "control_plane") for core in site.cores]
    backends = [Backend(f"i-{n}", zone, cores, observations) for n, zone in enumerate((*ZONES, *ZONES), 1)]
    tasks: list[asyncio.Task] = []
    started_at = time.monotonic()

    def report(text: str) -> None:
        say(f"{time.monotonic() - started_at:5.1f} s  {text}")

    async def is_ready(proxy: str) -> bool:
        return await call(site.address(proxy, "readiness"), "GET", "/api/readiness") == 200

    async def put(version: int, base: int) -> bool:
        return await call(random.choice(cores), "PUT", "/api/configuration", configuration(version, base)) == 200

    async def report_shares() -> None:
        observations.served_by_backend.clear()
        await asyncio.sleep(phase_s)
        report("served: " + "  ".join(f"{b.id} {observations.served_by_backend[b.id]:>3}" for b in backends)
             + f"   answers: {dict(sorted(observations.status_counts.items()))}")

    try:
        for machine in (*site.cores, *site.proxies):
            await site.start(machine, first=True)
        await asyncio.gather(*(b.start() for b in backends))
        elapsed_s = await wait_until(lambda: put(3, 0), 20.0, "the first configuration")
        report(f"three core machines have formed a cluster; configuration 3 is agreed after {elapsed_s:.1f} s")
        for proxy in site.proxies:
            await wait_until(lambda proxy=proxy: is_ready(proxy), 20.0, proxy)
        report(f"{len(site.proxies)} proxies hold a lease and are ready")
        clients = [Client([site.address(core, "directory_service") for core in site.cores], zone, ZONES[zone], KEY)
                   for zone in ZONES]
        elapsed_s = await wait_until(lambda: _each_served(clients), FIRST_SERVICE_TIMEOUT_S,
                                     "the first answers in each region")
        report(f"each region is served after {elapsed_s:.1f} s more")
        tasks = [asyncio.create_task(_traffic(client, n, observations)) for n, client in enumerate(clients)]
        await report_shares()
        backends[0].state = "draining"
        elapsed_s = await wait_until(backends[0].send_heartbeat, 5.0, "the drain")
        await asyncio.sleep(0.5)
        report(f"{backends[0].id} is draining, acknowledged after {elapsed_s * 1000:.0f} ms")
        await report_shares()
        drained = observations.served_by_backend[backends[0].id]
        backends[0].stop()
        await site.kill("core-zb")
        backends[1].stop()
        report(f"core machine core-zb and backend {backends[1].id} are killed at once")
        elapsed_s = await wait_until(lambda: put(5, 3), 10.0, "a configuration with a core machine dead")
        report(f"configuration 5 is agreed by the remaining two after {elapsed_s:.1f} s")
        await site.kill("front-zc-1")
        report("proxy front-zc-1 is killed")
        await report_shares()
        await site.start("core-zb")
        await site.start("front-zc-1")
        elapsed_s = await wait_until(lambda: is_ready("front-zc-1"), 15.0, "the proxy that was killed")
        report(f"both machines are back; the proxy is ready after {elapsed_s:.1f} s")
        await report_shares()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await site.stop()
        for backend in backends:
            backend.stop()
        folder.cleanup()
    violations = [f"booking {booking_id} ran {n} times"
                  for booking_id, n in observations.write_counts.items() if n > 1]
    violations += [f"booking {booking_id} was confirmed and never ran"
                   for booking_id in sorted(observations.confirmed - observations.write_counts.keys())]
    violations += [f"booking {booking_id} was refused, and ran"
                   for booking_id in sorted(observations.refused & observations.write_counts.keys())]
    if drained:
        violations.append(f"{drained} requests reached a backend after its drain was acknowledged")
    total, served_count = sum(observations.status_counts.values()), sum(
        n for s, n in observations.status_counts.items() if 200 <= s < 300)
    report(f"{served_count} of {total} requests served, {len(observations.confirmed)} bookings confirmed; "
           + ("; ".join(violations) or "none lost, none executed twice, none executed after a refusal"))
    return observations, violations
