"""The deciders of the whole system in simulated time: core machines, fronts, backends, operators, and their troubles.

`scenario_language` has the lines of scenario files, which `play` reads.

Times are seconds.  Messages go through the very frames that processes send.  Rules are checked all the time by what
is acted on, not by what deciders say: parts in use add up to the whole, one reckons at a time, a front's version
never goes back, nobody sends by a lease that a change must have ended.
"""

from __future__ import annotations

import heapq
import json
from collections.abc import Callable
from random import Random

from fennelpoint.fleet.register import Acceptor
from fennelpoint.fleet.store import contents_to_evict
from fennelpoint.system.actions import Send, Violation
from fennelpoint.system.frames import Unpacker, pack
from fennelpoint.system.http_server import ApiRequest, Reply
from fennelpoint.system.mesh import ip_of, peer_name
from fennelpoint.system.proxy.core_session import CoreSession
from fennelpoint.system.proxy.session_actions import ApplyConfig, LeaseChanged, UnitsReceived
from fennelpoint.system.registry import state_machine as roll
from fennelpoint.system.registry.state_machine import RegistryStateMachine
from fennelpoint.system.settings import Bounds
from fennelpoint.system.store import replica as writ
from fennelpoint.system.store.replica import Replica
from fennelpoint.testing.core_calls import STEP, OutsideCalls
from fennelpoint.testing.core_invariants import CoreRules
from fennelpoint.testing.core_machines import Backend, Broken, Core, Front
from fennelpoint.testing.scenario_language import ScenarioLanguage

SILENT = 1.6        # s until a cut is seen
BEAT = 1.5


class World(ScenarioLanguage, OutsideCalls):
    """All of it; `at` names what happens, `run` plays on."""

    def __init__(self, seed: int = 1, bounds: Bounds | None = None) -> None:
        self.bounds = bounds or Bounds()
        self.random, self.now, self.count = Random(seed), 0.0, 0
        self.cores: dict[str, Core] = {}
        self.fronts: dict[str, Front] = {}
        self.backends: dict[str, Backend] = {}
        self.seeds: list[str] = []
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.cuts: set[frozenset[str]] = set()
        self.mute: set[tuple[str, str]] = set()     # whom the other one does not hear
        self.frozen: dict[str, float] = {}      # since when
        self.waits: dict[str, list[Callable[[], None]]] = {}    # what came to a frozen machine
        self.beaten: dict[int, Backend] = {}    # whose beat a call is
        self.losses: list[str] = []             # backends that live and were counted as lost
        self.slow: dict[frozenset[str], float] = {}     # s more that a message takes
        self.late: dict[str, float] = {}        # the same, by its kind
        self.thin: dict[str, float] = {}        # s more that a content takes to a core machine
        self.links: dict[tuple[str, str], tuple[bool, float]] = {}
        self.asked: dict[str, list[ApiRequest]] = {}        # calls by what they are named
        self.replies: dict[int, Reply] = {}
        self.acked: dict[int, float] = {}       # versions, and when
        self.started = False
        self.rate = 20          # of a tenant's quota, and its burst
        self.homes: list[str] = []      # of the route
        self.rules = CoreRules(self)
        self.marked = ""        # who reckoned when a line last named the reckoner
        self.sent: dict[str, int] = {}          # bytes between regions, by kind of message

    # Machines

    def start(self) -> None:
        """The whole system for the first time, on empty disks."""
        self.seeds = self.seeds or list(self.cores)[:3]
        self.started = True
        for ip in self.cores:
            self.boot(ip, first=True)
        for ip in self.fronts:
            self.boot(ip, first=True)

    def boot(self, ip: str, first: bool = False) -> None:
        regions = {c.zone: c.region for c in [*self.cores.values(), *self.fronts.values()]}
        if (core := self.cores.get(ip)) is not None:
            core.up, core.registry_gone = True, False
            for role in ("writ", "roll"):
                self.restart(role, ip, first)
            return
        front = self.fronts[ip]
        front.up, front.version = True, 0
        self._unlink(peer_name("span", ip))
        about = {"address": f"{ip}:80", "zone": front.zone, "region": front.region,
                 "life": self.random.getrandbits(40)}
        front.session = CoreSession(ip, front.zone, front.region, regions, self.seeds, about, self.now,
                              self.bounds.lease_s,
                              take_request_counts=lambda: {t: 1 for t, rate in front.asked.items()
                                                           if self.random.random() < rate * 0.5})

    def restart(self, role: str, ip: str, first: bool = False) -> None:
        """A new life of one process of a core machine, with the disk as it is."""
        regions = {c.zone: c.region for c in [*self.cores.values(), *self.fronts.values()]}
        core = self.cores[ip]
        if role == "writ":
            keeper = core.disk or Acceptor(ip, 0, False, {}, {})
            core.store = Replica(ip, core.zone, regions, self.seeds, keeper, first and ip in self.seeds,
                               core.contents.get, Random(self.random.random()), self.now)
        else:
            core.registry = RegistryStateMachine(
                ip, core.zone, core.region, regions, self.seeds, 8200, self.bounds, BEAT,
                self.random.getrandbits(40), first, self.now)
            core.registry.restore(list(core.rows.values()), self.now)
        self._unlink(peer_name(role, ip))

    def _unlink(self, process: str) -> None:
        """It is a new life: its connections are new ones, too."""
        for pair in [p for p, (up, _) in self.links.items() if up and process in p]:
            self.links[pair] = (False, self.now)
            if pair[0] != process and self._up(pair[0]):
                self._linked(*pair, False)

    def kill(self, ip: str, wipe: bool = False) -> None:
        machine = self.cores.get(ip) or self.fronts[ip]
        machine.up = False
        self.frozen.pop(ip, None)
        self.waits.pop(ip, None)
        if wipe and isinstance(machine, Core):
            machine.disk, machine.contents, machine.rows = None, {}, {}

    def stop(self, ip: str) -> None:
        core = self.cores[ip]
        self._writ(core, core.store.leave(self.now))
        self._roll(core, core.registry.begin_shutdown(self.now))

    def _up(self, process: str) -> bool:
        ip = ip_of(process)
        machine = self.cores.get(ip) or self.fronts.get(ip)
        return machine is not None and machine.up

    def _joined(self, a: str, b: str) -> bool:
        return a == b or frozenset((a, b)) not in self.cuts

    def _delay(self, a: str, b: str) -> float:
        one, other = (self.cores.get(ip) or self.fronts[ip] for ip in (a, b))
        return self.slow.get(frozenset((a, b)), 0.0) + (0.0002 if a == b else 0.001 if one.zone == other.zone else (
            0.002 if one.region == other.region else 0.02))

    # Messages

    def send(self, source: str, to: str, message: list) -> None:
        a, b = ip_of(source), ip_of(to)
        if b not in self.cores and b not in self.fronts or not self._joined(a, b) or (a, b) in self.mute:
            return
        if a != b and self.now - self.frozen.get(b, self.now) > SILENT:
            return      # its connections have been left
        data = pack(message)
        if self._delay(a, b) > 0.01:
            self.sent[message[0]] = self.sent.get(message[0], 0) + len(data)

        def arrive() -> None:
            if b in self.frozen:
                self.waits[b].append(arrive)
            elif self._up(to) and self._joined(a, b) and (a, b) not in self.mute:
                (one,) = Unpacker().feed(data)
                self._deliver(source, to, one)
        kind = message[-1][0] if message[0] in ("pass", "passed") else message[0]
        bulk = self.thin.get(b, 0.0) if to.startswith("writ@") and message[0] in ("content", "store") else 0.0
        self._later(self._delay(a, b) + self.late.get(kind, 0.0) + bulk, arrive)

    def _later(self, after: float, do: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + after, self.count, do))

    def _deliver(self, source: str, to: str, message: list) -> None:
        role, ip = to.split("@")
        if role == "writ":
            whose = writ.REGISTRY if source.startswith("roll@") else ip_of(source)
            self._writ(self.cores[ip], self.cores[ip].store.receive(whose, message, self.now))
        elif role == "roll":
            self._roll(self.cores[ip], self.cores[ip].registry.on_message(source, message, self.now))
        elif self.links.get((to, source), (False, 0.0))[0] or source.startswith("span@"):
            self._span(self.fronts[ip], self.fronts[ip].session.handle_message(source, message, self.now))

    def _writ(self, core: Core, actions: list) -> None:
        for action in actions:
            if core.full and isinstance(action, writ.Save | writ.SaveContent):
                return core.store.disk_failed("the disk is full")
            match action:
                case writ.DiskSynced():
                    core.store.disk_recovered()
                case writ.Send(to, message):
                    self.send(
                        peer_name("writ", core.ip),
                        peer_name("roll", core.ip) if to == writ.REGISTRY else peer_name("writ", to),
                        message,
                    )
                case writ.Save(keeper):
                    core.disk = keeper
                case writ.SaveContent(digest, data, needed):
                    core.contents[digest] = data
                    for gone in contents_to_evict([(d, len(c)) for d, c in core.contents.items()], {*needed, digest}):
                        del core.contents[gone]

    def _roll(self, core: Core, actions: list) -> None:
        for action in actions:
            match action:
                case roll.Send(to, message):
                    self.send(peer_name("roll", core.ip), to, message)
                case roll.Save(rows, forgotten):
                    core.rows.update({row[0]: row for row in rows})
                    for id in forgotten:
                        core.rows.pop(id, None)
                case roll.Answer(asking, reply):
                    self._answered(asking, reply)
                case Violation(invariant, detail):
                    raise Broken(f"{self.now:.2f}: {core.ip}: {invariant.name}: {detail}")
                case roll.LogEvent("LOST", fields):
                    self.losses += [id for id in fields["ids"].split(", ") if self.backends[id].state != "silent"]

    def _answered(self, asking: ApiRequest, reply: Reply) -> None:
        if id(asking) in self.replies:
            raise Broken(f"{self.now:.2f}: one call has two answers")
        self.replies[id(asking)] = reply
        b = self.beaten.pop(id(asking), None)
        if b is not None and reply.status < 500:
            b.home = reply.value.get("heartbeat_address", b.home).partition(":")[0]
        elif b is not None:
            self._later(0.05, lambda: self._elsewhere(b))
        if asking.call.name == "put" and reply.status == 200:
            self.acked.setdefault(json.loads(asking.body)["version"], self.now)
        if asking.call.name in ("beat", "leave") and reply.status == 200:
            b = self.backends.get(asking.segment)
            if b is not None and b.state != "ready" and b.acked is None:
                b.acked = self.now

    def _span(self, front: Front, actions: list) -> None:
        for action in actions:
            match action:
                case Send(to, message):
                    self.send(peer_name("span", front.ip), to, message)
                case ApplyConfig(version, _):
                    if version < front.version:
                        raise Broken(f"{self.now:.2f}: {front.ip} goes back from {front.version} to {version}")
                    front.version = version
                case UnitsReceived(given, denied, _, until) if self.now <= until:
                    for place, told in enumerate((given, denied)):
                        for tenant, units in told.items():
                            front.drawn.setdefault(tenant, [0, 0])[place] += units
                case LeaseChanged(held, _):
                    front.session.is_ready = held
                    self._span(front, front.session.renew_now(self.now))

    # Time

    def run(self, until: float) -> None:
        """Play on, with all rules checked at each step."""
        while self.now < until - 1e-9:
            step = min(until, self.now + STEP)
            while self.queue and self.queue[0][0] <= step:
                self.now, _, do = heapq.heappop(self.queue)
                do()
            self.now = step
            if self.started:
                self._tick()
                self.rules.check()

    def _tick(self) -> None:
        self._relink()
        for ip in [*self.cores, *self.fronts]:
            if ip not in self.frozen:
                self._tick_of(ip)
        for b in self.backends.values():
            if b.state != "silent" and self.now >= b.at:
                self._beat(b)

    def _tick_of(self, ip: str) -> None:
        machine = self.cores.get(ip) or self.fronts[ip]
        if machine.up and isinstance(machine, Core):
            self._writ(machine, machine.store.tick(self.now))
            if not machine.registry_gone:
                self._roll(machine, machine.registry.tick(self.now))
                machine.registry_gone = machine.registry.is_shutdown_complete(self.now)
            if machine.registry_gone and machine.store.can_exit(self.now):
                self.kill(ip)
        elif machine.up:
            self._span(machine, machine.session.tick(self.now))

    def _beat(self, b: Backend) -> None:
        """Its next beat, where it was told to; else, and after a failure, at the next machine that runs."""
        b.at, b.seq = self.now + BEAT, b.seq + 1
        up = [c.ip for c in self.cores.values() if c.up]
        if not up:
            return
        if b.home not in up:
            b.turn += 1
        via = b.home if b.home in up else up[b.turn % len(up)]
        if b.state == "gone":
            b.state = "silent"
            return self.call("DELETE", f"/api/instances/{b.id}", None, via, f"leave {b.id}")
        body = {"address": f"9.9.9.{len(b.id)}:80",
                "information": {"service": b.service, "version": "v1", "free_slots": 2, "availability_zone": b.zone},
                "status": {"state": b.state, "sequence": b.seq, "cold_remaining_s": max(0.0, b.cold - self.now)}}
        self.call("PUT", f"/api/instances/{b.id}", body, via, f"beat {b.id}", b)

    def _elsewhere(self, b: Backend) -> None:
        """A beat failed."""
        if b.state != "silent" and b.at > self.now:
            b.home = ""
            due = b.at
            self._beat(b)
            b.at = due

    def _relink(self) -> None:
        """Connections that came up or were seen to break since."""
        wanted: dict[tuple[str, str], bool] = {}
        rolls = [peer_name("roll", ip) for ip in self.cores]
        for one in rolls:
            for other in rolls:
                if one != other:
                    wanted[one, other] = True
            wanted[one, peer_name("writ", ip_of(one))] = True
        writs = [peer_name("writ", ip) for ip in self.cores]
        wanted |= {(one, other): True for one in writs for other in writs if one != other}
        for front in self.fronts.values():
            if front.up:
                for peer in front.session.peers(self.now):
                    wanted[peer_name("span", front.ip), peer] = wanted[peer, peer_name("span", front.ip)] = True
        for pair in {*wanted, *self.links}:
            one, other = pair
            if ip_of(one) in self.frozen:
                continue
            joined = pair in wanted and self._up(one) and self._up(other) and self._linkable(ip_of(one), ip_of(other))
            was, since = self.links.get(pair, (False, -9.0))
            if joined == was:
                self.links[pair] = (was, self.now)
                continue
            wait = 0.06 if joined or not (self._up(one) and self._up(other)) else SILENT
            if self.now - since >= wait:
                self.links[pair] = (joined, self.now)
                if self._up(one):
                    self._linked(one, other, joined)

    def _linkable(self, a: str, b: str) -> bool:
        muted = {(a, b), (b, a)} & self.mute
        return self._joined(a, b) and not muted and b not in self.frozen

    def thaw(self, ip: str) -> None:
        """Its timers run before its sockets are read, or after: `asyncio` may stand still at either place."""
        self.frozen.pop(ip)
        if self.random.random() < 0.5:
            self._tick_of(ip)
        for do in self.waits.pop(ip):
            do()

    def _linked(self, one: str, other: str, up: bool) -> None:
        role, ip = one.split("@")
        if role == "roll":
            self._roll(self.cores[ip], self.cores[ip].registry.on_link(other, up, self.now))
        elif role == "writ":
            self._writ(self.cores[ip], self.cores[ip].store.connection_changed(ip_of(other), up, self.now))
        elif role == "span":
            self._span(self.fronts[ip], self.fronts[ip].session.handle_connection(other, up, self.now))

    def allows(self, front: Front) -> bool:
        """Whether it may send requests on."""
        return front.up and front.ip not in self.frozen and front.session.has_valid_lease(self.now)


def grown(cores: int, fronts: int, seed: int = 1) -> World:
    """So many machines over nine zones in three regions, just started."""
    world = World(seed)
    for i in range(cores):
        world.do(["core", f"c{i:02}", f"z{i % 9}", f"r{i % 3}"])
    for i in range(fronts):
        world.do(["front", f"f{i:04}", f"z{i % 9}", f"r{i % 3}", "t1=0.1"])
    for i in range(30):
        world.do(["backend", f"s{i:02}", "svc", f"z{i % 9}"])
    world.start()
    return world


def play(text: str, seed: int = 1) -> World:
    """Play a scenario; raises Broken where a rule or an expectation does not hold, ValueError on a bad line."""
    world = World(seed)
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        try:
            if words[0] == "at":
                world.run(float(words[1]))
                words = words[2:]
            world.do(words)
        except (Broken, ValueError) as error:
            raise type(error)(f"line {number}: {error}") from error
    return world
