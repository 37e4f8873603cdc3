"""A fleet of real processes with faults between them, and an observer beside it.

Starts keepers, ingresses, booking nodes, discovery and the counter; each link from an ingress or a keeper to a
keeper or a peer goes through a relay that can be broken.  Faults come from a plan that one seed draws; the same
seed makes the same plan.  Tests, demos and benchmarks use it; nothing that runs in service does.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import tempfile
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from random import Random

from fennelpoint.fleet.queries import FleetClient, FleetView
from fennelpoint.fleet.rpc import CallFailed
from fennelpoint.testing.links import FROM_TARGET, TO_TARGET, Link, LinkFault
from fennelpoint.testing.observer import NODE_KINDS, Arrival, ClientRequest, Observer
from fennelpoint.testing.process import Command, IngressProcess, free_port
from fennelpoint.testing.servers import Count, List, member, ok, read_message
from fennelpoint.testing.settings import SETTINGS

ZONES = 3
RATE, BURST = 400.0, 400.0      # of an agency's quota, where nothing else is asked for
POLL = 0.05                     # s between two reads of the record by the observer


def plan_of(kind: int, version: int = 1) -> str:
    """A plan of cells that sends every agency to the nodes of one kind."""
    cells = "".join(f'[[cells]]\nname = "k{i}"\nnodes = ["k{i}-*"]\n' + ("take = 1.0\n" if i == kind else "")
                    for i in range(NODE_KINDS))
    return f"version = {version}\n{cells}"


def content_of(number: int, plans: str = "") -> dict[str, str]:
    """What a version of that number holds: the plan of its kind of nodes."""
    return {"cells.toml": plan_of(number % NODE_KINDS), **({"plans.toml": plans} if plans else {})}


def figures(rate: float, burst: float, ceiling_rate: float = 0.0, ceiling_burst: float = 0.0) -> str:
    """A version's file of plans."""
    text = f'[[plans]]\nname = "basic"\nquota_rate = {rate:g}\nstore_size = {burst:g}\n'
    return text + (f"ceiling_rate = {ceiling_rate:g}\nceiling_burst = {ceiling_burst:g}\n" if ceiling_rate else "")


class Node:
    """A booking node; it has a listener for each ingress, and so knows who sent."""

    def __init__(self, name: str, kind: int, seen: Observer, delay: float) -> None:
        self.name, self.kind, self.seen, self.delay = name, kind, seen, delay
        self.addresses: dict[str, str] = {}
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen_for(self, ingress: str) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.add(writer)
            try:
                while True:
                    line, fields, _ = await read_message(reader)
                    units, agency = line.split()[1].partition("?")[2].split("&")
                    self.seen.arrivals.append(Arrival(
                        time.monotonic(), ingress, self.kind, int(agency, 16), fields["x-txn"],
                        float(units), line.startswith("POST")))
                    if self.delay:
                        await asyncio.sleep(self.delay)
                    writer.write(ok(fields["x-txn"].encode()))
            except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
                pass
            except (ValueError, KeyError):
                writer.write(ok(b"", "404 Not Found"))      # a stranger's request
            finally:
                self.writers.discard(writer)
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        self.addresses[ingress] = "{}:{}".format(*server.sockets[0].getsockname())

    def stop(self) -> None:
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Member:
    """One ingress of the rig: its process, its links, its discovery."""

    def __init__(self, name: str, number: int) -> None:
        self.name, self.number = name, number
        self.fleet = ("127.0.0.1", free_port())
        self.links: dict[str, Link] = {}    # by where they lead
        self.process: IngressProcess | None = None
        self.processes: list[IngressProcess] = []
        self.told: tuple = ()
        self.socket: socket.socket | None = None    # of its clients, where this is held for its processes
        self.common: tempfile.TemporaryDirectory | None = None
        self.discovery: List | None = None
        self.begun = self.down = 0.0        # since when it is stopped, or killed

    @property
    def pid(self) -> int:
        return self.process.process.pid


@dataclass(frozen=True, slots=True)
class Shape:
    """How large a rig is, and what it goes by."""

    ingresses: int = 9
    keepers: int = 3
    nodes: int = 2              # of each kind
    licence_s: float = 1.0
    settle_s: float = 1.5
    share: float = 0.25
    zone_share: float = 0.7
    set_width: int = 2
    peers_by_link: bool = True  # else each reaches its peers straight
    node_delay_s: float = 0.002
    fleet: bool = True          # the part is on
    ceiling: tuple[float, float, float] | None = None   # rate, burst and slack
    quota: tuple[float, float] = (RATE, BURST)
    wall_off: tuple[tuple[str, float], ...] = ()        # by process: s that its wall clock is off
    broken: str = ""            # all processes have this fault (`fault_injection.py`)
    etcd: bool = False          # the record is kept by a stand-in of etcd
    twins: bool = False         # the clients' sockets are held here, and a second process may inherit them


class Rig:
    """A context manager; what it started it ends."""

    def __init__(self, shape: Shape | None = None, seed: int = 1) -> None:
        shape = shape or Shape()
        self.shape, self.seed, self.draw = shape, seed, Random(seed)
        self.seen, self.count = Observer(), Count()
        self.nodes = [Node(f"k{kind}-{i}", kind, self.seen, shape.node_delay_s)
                      for kind in range(NODE_KINDS) for i in range(shape.nodes)]
        self.members = {f"n{i}": Member(f"n{i}", i) for i in range(shape.ingresses)}
        self.keepers = {f"k{i}": ("127.0.0.1", free_port()) for i in range(shape.keepers)}
        self.keeper_links: dict[tuple[str, str], Link] = {}
        self.commands: dict[str, Command] = {}
        # Whoever plays many sets one in memory: dozens of processes on one disk wait for each other's syncs.
        self.folder = tempfile.TemporaryDirectory(prefix="larchwing-rig-", dir=os.environ.get("LARCHWING_RIG_FOLDER"))
        self.tasks: list[asyncio.Task] = []
        self.stopped: set[str] = set()
        self.fleet = FleetClient(self.keepers, timeout_s=3.0)
        self.txn, self.etcd = 0, None

    async def __aenter__(self) -> Rig:
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        await self.count.start()
        if self.shape.etcd:
            from fennelpoint.testing.etcd import Etcd

            self.etcd = Etcd()
            await self.etcd.start()
        for node in self.nodes:
            for name in self.members:
                await node.listen_for(name)
        if self.shape.fleet:
            await asyncio.gather(*(self.start_keeper(name, founding=True) for name in self.keepers))
        for name in self.members:
            await self._make(name)
        await asyncio.gather(*(m.process.start(wait=False) for m in self.members.values()))
        await asyncio.gather(*(self.until_ready(name) for name in self.members))
        if self.shape.fleet:
            await self.until_level()
            self.tasks.append(asyncio.ensure_future(self._watch()))

    async def __aexit__(self, *args: object) -> None:
        for task in self.tasks:
            task.cancel()
        for name in list(self.stopped):
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._pid(name), signal.SIGCONT)
        await asyncio.gather(*(self._end(m) for m in self.members.values()))
        await asyncio.gather(*(command.stop() for command in self.commands.values()))
        for member_ in self.members.values():
            for link in member_.links.values():
                link.stop()
            if member_.discovery is not None:
                member_.discovery.stop()
        for link in self.keeper_links.values():
            link.stop()
        for node in self.nodes:
            node.stop()
        self.count.stop()
        if self.etcd is not None:
            await self.etcd.stop()
        self.folder.cleanup()

    async def _end(self, one: Member) -> None:
        for process in one.processes:
            if process.process is not None and process.process.returncode is None:
                process.process.kill()
                await process.process.wait()
            process.folder.cleanup()
        if one.common is not None:
            one.common.cleanup()
            one.socket.close()

    # Processes

    async def start_keeper(self, name: str, founding: bool = False, record: str = "rig", after: int = 0) -> None:
        root = Path(self.folder.name) / name
        root.mkdir(exist_ok=True)
        named = []
        for other, address in self.keepers.items():
            if other != name:
                link = self.keeper_links.get((name, other))
                if link is None:
                    link = self.keeper_links[name, other] = Link(f"{name}>{other}", address, self.draw)
                    await link.start()
                address = link.address
            named.append("{}={}:{}".format(other, *address))
        (root / "operator.toml").write_text(
            f'schema = 1\n[keeper]\nkeepers = {json.dumps(named)}\nfolder = "files"\n'
            + (f'etcd = "{self.etcd.address}"\n' if self.etcd is not None else ""))
        shape, found = self.shape, []
        if founding:
            found = ["--found", record, "--after", after, "--licence-s", shape.licence_s, "--settle-s",
                     shape.settle_s, "--share", shape.share, "--zone-share", shape.zone_share, "--set-width",
                     shape.set_width, "--ring", shape.ingresses]
        command = self.commands[name] = Command("fleet", "keep", name, "--config", root / "operator.toml", *found)
        command.off, command.broken = dict(shape.wall_off).get(name), shape.broken
        await command.start()

    def keeper_file(self, name: str) -> Path:
        return Path(self.folder.name) / name / "files" / f"{name}.keeper"

    async def _make(self, name: str) -> None:
        one, shape = self.members[name], self.shape
        one.discovery = List([member(node.name, node.addresses[name]) for node in self.nodes])
        rate, burst = shape.quota
        plan = {"name": "basic", "pays": 1.0, "quota_rate": rate, "store_size": burst, "overrun_cost": 1.0}
        if shape.ceiling is not None:
            plan |= dict(zip(("ceiling_rate", "cap_depth", "cap_slack"), shape.ceiling, strict=True))
            plan["overrun_worth"] = 0.5
        zones = [f"z{i}" for i in range(ZONES)]
        settings = {**SETTINGS, "me": one.number, "balancers": shape.ingresses, "zones": [*zones, "room"],
                    "zone": one.number % ZONES, "contracts": [plan]}
        if shape.fleet:
            for other, address in self.keepers.items():
                await self._link(one, other, address)
            for other in self.members.values() if shape.peers_by_link else ():
                if other is not one:
                    await self._link(one, other.name, other.fleet)
        one.told = settings, await one.discovery.start()
        if shape.twins:
            one.socket = socket.create_server(("127.0.0.1", 0), backlog=1024)
            one.common = tempfile.TemporaryDirectory(prefix="larchwing-twins-")
        self.configure(one)

    def configure(self, one: Member) -> IngressProcess:
        """A process of that ingress, not started yet; the newest is the one that the rest goes by."""
        shape, name = self.shape, one.name
        process = one.process = IngressProcess(
            *one.told, self.count.address, cells=plan_of(0), inherited=one.socket,
            common=one.common.name if one.common is not None else "")
        one.processes.append(process)
        process.configure(name=name)
        if not shape.fleet:
            return process
        keepers = ["{}={}:{}".format(k, *one.links[k].address) for k in self.keepers]
        peers = ["{}={}:{}".format(o, *one.links[o].address) for o in self.members if o in one.links]
        process.add_section(f'[fleet]\nkeepers = {json.dumps(keepers)}\npeers = {json.dumps(peers)}\n'
                            'listen = "{}:{}"\nfolder = "{}"\n'.format(
                                *one.fleet, Path(self.folder.name) / name))
        if (off := dict(shape.wall_off).get(name)) is not None:
            process.program = ["-m", "fennelpoint.testing.clock_skew", str(off), "fennelpoint"]
        if shape.broken:
            process.program = ["-m", "fennelpoint.testing.fault_injection", shape.broken, "fennelpoint"]

        return process

    async def _link(self, one: Member, to: str, address: tuple[str, int]) -> None:
        link = one.links[to] = Link(f"{one.name}>{to}", address, self.draw)
        await link.start()

    async def upgrade(self, name: str) -> IngressProcess:
        """A second process beside that of an ingress, at the same addresses; the first one, which still runs."""
        one = self.members[name]
        old = one.process
        await self.configure(one).start(wait=False)
        return old

    def _pid(self, name: str) -> int:
        return self.members[name].pid if name in self.members else self.commands[name].process.pid

    def stop(self, *names: str) -> None:
        """SIGSTOP."""
        for name in names:
            os.kill(self._pid(name), signal.SIGSTOP)
            self.stopped.add(name)
            if name in self.members:
                self.members[name].down = time.monotonic()

    def go_on(self, *names: str) -> None:
        """SIGCONT."""
        for name in names:
            self.stopped.discard(name)
            os.kill(self._pid(name), signal.SIGCONT)
            if name in self.members:
                self.seen.add_outage(name, self.members[name].down - 0.1, time.monotonic() + 1.0)

    async def kill(self, *names: str) -> None:
        """SIGKILL."""
        for name in names:
            process = self.members[name].process.process if name in self.members else self.commands[name].process
            process.kill()
            await process.wait()
            self.stopped.discard(name)
            if name in self.members:
                now = time.monotonic()
                self.seen.add_outage(name, now - 0.1, now + 0.5)

    async def restart(self, *names: str, ready: bool = True) -> None:
        for name in names:
            if name in self.keepers:
                await self.start_keeper(name)
            else:
                await self.members[name].process.start(wait=False)
        if ready:
            await asyncio.gather(*(self.until_ready(n) for n in names if n in self.members))

    async def until_ready(self, name: str, seconds: float = 20.0) -> None:
        for _ in range(int(seconds / 0.05)):
            if await self.ready(name):
                return
            await asyncio.sleep(0.05)
        log = self.members[name].process.log.read_text(errors="replace")[-3000:]
        raise RuntimeError(f"{name} did not become ready:\n{log}")

    async def ready(self, name: str) -> bool:
        """What its `/ready` says."""
        try:
            async with asyncio.timeout(1.0):
                return await self.members[name].process._ready()
        except TimeoutError:
            return False

    # Links

    def links(self, one: str, to: Iterable[str]) -> list[Link]:
        """The links of one process to others, and theirs to it."""
        out = []
        for other in to:
            for a, b in ((one, other), (other, one)):
                if a in self.members and b in self.members[a].links:
                    out.append(self.members[a].links[b])
                elif (a, b) in self.keeper_links:
                    out.append(self.keeper_links[a, b])
        return out

    def cut(self, one: str, *to: str, ways: Iterable[str] = (TO_TARGET, FROM_TARGET)) -> None:
        """Between one and others; `ways` as seen by who asks."""
        for link in self.links(one, to):
            link.inject(LinkFault(cut=set(ways)))

    def cut_off(self, *names: str) -> None:
        """These from all others, but not from one another."""
        inside = set(names)
        for name in names:
            self.cut(name, *(other for other in [*self.members, *self.keepers] if other not in inside))

    def heal(self) -> None:
        """Every link."""
        for one in self.members.values():
            for link in one.links.values():
                link.heal()
        for link in self.keeper_links.values():
            link.heal()

    # Versions

    async def _watch(self) -> None:
        """When a version could first be acted on, and when the record has it in force."""
        forced = {0}
        while True:
            try:
                view = await self.view()
                now = time.monotonic()
                if (fleet := view.fleet) is not None:
                    if fleet.version.number not in forced:
                        forced.add(fleet.version.number)
                        self.seen.enforced.append((now, fleet.version.number))
            except CallFailed:
                pass
            await asyncio.sleep(POLL)

    async def view(self) -> FleetView:
        return await self.fleet.view()

    async def until_level(self, seconds: float = 20.0) -> None:
        """Until every member knows the whole roster."""
        for _ in range(int(seconds / 0.05)):
            fleet = (await self.view()).fleet
            if fleet is not None and len(fleet.members) == fleet.least.get("") == len(self.members):
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"not all of the {len(self.members)} joined: {fleet}")

    async def publish(self, plans: str = "", why: str = "the rig") -> int:
        """The next version: its number, once it is offered."""
        for _ in range(100):
            if (view := await self.view()).fleet is not None:
                break
            await asyncio.sleep(0.05)   # keepers that have just come back
        number = view.fleet.last + 1
        self.seen.published.append((time.monotonic(), number))
        told = await self.fleet.change("publish", files=content_of(number, plans), who="rig", why=why, kind="")
        if told["number"] != number:
            raise RuntimeError(f"version {told['number']} in place of {number}")
        return number

    async def until_forced(self, number: int, seconds: float = 15.0) -> float:
        """How long it took until it was in force; raises TimeoutError with how things stand."""
        begun = time.monotonic()
        while time.monotonic() - begun < seconds:
            if any(n >= number for _, n in self.seen.enforced):
                return time.monotonic() - begun
            await asyncio.sleep(0.02)
        from fennelpoint.fleet.queries import status_lines

        raise TimeoutError("\n".join(status_lines(await self.view())))

    async def until_acting(self, names: Iterable[str], number: int, seconds: float = 15.0) -> None:
        """Until each of these has sent by that version."""
        names, begun = set(names), time.monotonic()
        at = len(self.seen.arrivals)
        while time.monotonic() - begun < seconds:
            for arrival in self.seen.arrivals[at:]:
                if self.seen.version(arrival) == number:
                    names.discard(arrival.ingress)
            at = len(self.seen.arrivals)
            if not names:
                return
            await asyncio.sleep(0.02)
        raise TimeoutError(f"{sorted(names)} have not sent by version {number}")

    # Traffic

    def load(self, rate: float = 5.0, agencies: int = 6, book: float = 0.2) -> None:
        """From now on: so many requests a second at each ingress, of several agencies; some are bookings."""
        for name in self.members:
            self.tasks.append(asyncio.ensure_future(self._load(name, rate, agencies, book)))

    async def _load(self, name: str, rate: float, agencies: int, book: float) -> None:
        draw = Random(f"{self.seed} {name}")
        while True:
            await asyncio.sleep(draw.expovariate(rate))
            agency = 0x100 + draw.randrange(agencies)
            self.tasks.append(asyncio.ensure_future(self.ask(name, agency, draw.random() < book)))
            self.tasks = [task for task in self.tasks if not task.done()]

    async def ask(self, name: str, agency: int = 0x100, unsafe: bool = False, units: int = 1,
                  left_ms: int = 2000, width: int | None = None, first: int = 0) -> int:
        """One request on a connection of its own; its status, 0 for no whole answer, -1 where it was not taken."""
        self.txn += 1
        txn, sent, status = f"{self.seed:08x}{self.txn:08x}", time.monotonic(), -1
        width = width or self.shape.ingresses
        lines = [f"{'POST' if unsafe else 'GET'} /api?{units}&{agency:x} HTTP/1.1", "Host: app.svc",
                 f"X-Txn: {txn}", f"X-Lane: {'book' if unsafe else 'look'}", "Api-Plan: basic",
                 f"Cookie: account={agency:016x}",
                 f"X-Remaining-Ms: {left_ms}", f"Api-Terms: units={units},spread={width},first={first}"]
        lines += ["Content-Length: 0"] if unsafe else []
        try:
            async with asyncio.timeout(left_ms / 1000 + 2.0):
                reader, writer = await asyncio.open_connection(*self.members[name].process.address)
                try:
                    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                    await writer.drain()
                    status = 0
                    line, _, body = await read_message(reader)
                    status = int(line.split()[1])
                    if status == 200 and body != txn.encode():
                        raise AssertionError(f"{txn} was answered with {body[:40]!r}")
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.seen.client_requests.append(ClientRequest(sent, time.monotonic(), name, txn, status))
        return status
