"""Simulation of the whole system in virtual time: core machines, proxies, backends, operators, and faults.

The state machines are the real ones; only time, network and disks are simulated. `scenario_language` defines the
lines of scenario files, which `run_scenario` reads.

Times are in seconds. Messages are packed into the frames that processes send. Invariants are checked at each step
against what is applied, not against what the state machines report: the shares in use add up to no more than the
quota, one allocator grants at a time, a proxy's configuration version never goes back, and no proxy sends requests
under a lease that a newer version must have ended.
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
from fennelpoint.system.registry import state_machine as registry_machine
from fennelpoint.system.registry.state_machine import RegistryStateMachine
from fennelpoint.system.settings import Bounds
from fennelpoint.system.store import replica as store_replica
from fennelpoint.system.store.replica import Replica
from fennelpoint.testing.core_calls import STEP_S, OutsideCalls
from fennelpoint.testing.core_invariants import InvariantChecker
from fennelpoint.testing.core_machines import Backend, CheckFailed, CoreMachine, ProxyMachine
from fennelpoint.testing.scenario_language import ScenarioLanguage

LINK_TIMEOUT_S = 1.6        # until the ends of a partitioned connection notice
HEARTBEAT_INTERVAL_S = 1.5


class CoreSimulation(ScenarioLanguage, OutsideCalls):
    """A simulated system; `execute` carries out a line of a scenario, `run` advances the time."""

    def __init__(self, seed: int = 1, bounds: Bounds | None = None) -> None:
        self.bounds = bounds or Bounds()
        self.random, self.now, self.event_count = Random(seed), 0.0, 0
        self.cores: dict[str, CoreMachine] = {}
        self.proxies: dict[str, ProxyMachine] = {}
        self.backends: dict[str, Backend] = {}
        self.seed_nodes: list[str] = []
        self.event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.blocked_directions: set[tuple[str, str]] = set()   # source, destination
        self.frozen_since: dict[str, float] = {}        # by machine
        self.deferred_deliveries: dict[str, list[Callable[[], None]]] = {}      # by frozen machine
        self.heartbeat_callers: dict[int, Backend] = {}         # by id of the call
        self.false_losses: list[str] = []       # running backends that were counted as lost
        self.pair_delays_s: dict[frozenset[str], float] = {}    # added to the latency between two machines
        self.kind_delays_s: dict[str, float] = {}       # added to the latency of a kind of message
        self.content_delays_s: dict[str, float] = {}    # added to the latency of contents, by destination
        self.connections: dict[tuple[str, str], tuple[bool, float]] = {}    # by ends: whether up, and when checked
        self.calls_by_label: dict[str, list[ApiRequest]] = {}
        self.replies: dict[int, Reply] = {}     # by id of the call
        self.acknowledged_at: dict[int, float] = {}     # by configuration version
        self.is_started = False
        self.tenant_rate_per_s = 20     # also the burst size
        self.home_regions: list[str] = []       # of the route
        self.invariants = InvariantChecker(self)
        self.last_named_allocator = ""  # the allocator when a line last named it
        self.bytes_between_regions: dict[str, int] = {}         # by kind of message

    # Machines

    def start(self) -> None:
        """Start the whole system for the first time, on empty disks."""
        self.seed_nodes = self.seed_nodes or list(self.cores)[:3]
        self.is_started = True
        for ip in self.cores:
            self.boot(ip, first=True)
        for ip in self.proxies:
            self.boot(ip, first=True)

    def boot(self, ip: str, first: bool = False) -> None:
        """Start the processes of a machine; `first` on the first start of the whole system."""
        regions = {c.zone: c.region for c in [*self.cores.values(), *self.proxies.values()]}
        if (core := self.cores.get(ip)) is not None:
            core.is_running, core.has_registry_exited = True, False
            for role in ("writ", "roll"):
                self.restart(role, ip, first)
            return
        proxy = self.proxies[ip]
        proxy.is_running, proxy.version = True, 0
        self._reset_connections(peer_name("span", ip))
        description = {"address": f"{ip}:80", "zone": proxy.zone, "region": proxy.region,
                       "life": self.random.getrandbits(40)}
        proxy.session = CoreSession(ip, proxy.zone, proxy.region, regions, self.seed_nodes, description, self.now,
                              self.bounds.lease_s,
                              take_request_counts=lambda: {t: 1 for t, rate in proxy.request_rates.items()
                                                           if self.random.random() < rate * 0.5})

    def restart(self, role: str, ip: str, first: bool = False) -> None:
        """Replace one process of a core machine by a new one, which finds the disk as it is."""
        regions = {c.zone: c.region for c in [*self.cores.values(), *self.proxies.values()]}
        core = self.cores[ip]
        if role == "writ":
            acceptor = core.saved_acceptor or Acceptor(ip, 0, False, {}, {})
            core.store = Replica(ip, core.zone, regions, self.seed_nodes, acceptor, first and ip in self.seed_nodes,
                               core.contents.get, Random(self.random.random()), self.now)
        else:
            core.registry = RegistryStateMachine(
                ip, core.zone, core.region, regions, self.seed_nodes, 8200, self.bounds, HEARTBEAT_INTERVAL_S,
                self.random.getrandbits(40), first, self.now)
            core.registry.restore(list(core.saved_rows.values()), self.now)
        self._reset_connections(peer_name(role, ip))

    def _reset_connections(self, process: str) -> None:
        """Close the connections of a process that is replaced by a new incarnation."""
        for pair in [p for p, (is_up, _) in self.connections.items() if is_up and process in p]:
            self.connections[pair] = (False, self.now)
            if pair[0] != process and self._is_running(pair[0]):
                self._notify_connection(*pair, False)

    def kill(self, ip: str, wipe: bool = False) -> None:
        """Stop a machine at once; `wipe` also empties the disk of a core machine."""
        machine = self.cores.get(ip) or self.proxies[ip]
        machine.is_running = False
        self.frozen_since.pop(ip, None)
        self.deferred_deliveries.pop(ip, None)
        if wipe and isinstance(machine, CoreMachine):
            machine.saved_acceptor, machine.contents, machine.saved_rows = None, {}, {}

    def stop(self, ip: str) -> None:
        """Begin the graceful shutdown of both processes of a core machine."""
        core = self.cores[ip]
        self._run_store_actions(core, core.store.leave(self.now))
        self._run_registry_actions(core, core.registry.begin_shutdown(self.now))

    def _is_running(self, process: str) -> bool:
        ip = ip_of(process)
        machine = self.cores.get(ip) or self.proxies.get(ip)
        return machine is not None and machine.is_running

    def _is_reachable(self, a: str, b: str) -> bool:
        return a == b or frozenset((a, b)) not in self.partitioned_pairs

    def _latency_s(self, a: str, b: str) -> float:
        first, second = (self.cores.get(ip) or self.proxies[ip] for ip in (a, b))
        return self.pair_delays_s.get(frozenset((a, b)), 0.0) + (
            0.0002 if a == b else 0.001 if first.zone == second.zone else (
                0.002 if first.region == second.region else 0.02))

    # Messages

    def send(self, source: str, to: str, message: list) -> None:
        """Send a message from process to process; faults may delay or drop it."""
        a, b = ip_of(source), ip_of(to)
        if b not in self.cores and b not in self.proxies or not self._is_reachable(a, b) or (
                (a, b) in self.blocked_directions):
            return
        if a != b and self.now - self.frozen_since.get(b, self.now) > LINK_TIMEOUT_S:
            return      # its peers have closed the connections
        data = pack(message)
        if self._latency_s(a, b) > 0.01:
            self.bytes_between_regions[message[0]] = self.bytes_between_regions.get(message[0], 0) + len(data)

        def arrive() -> None:
            if b in self.frozen_since:
                self.deferred_deliveries[b].append(arrive)
            elif self._is_running(to) and self._is_reachable(a, b) and (a, b) not in self.blocked_directions:
                (received,) = Unpacker().feed(data)
                self._deliver(source, to, received)
        kind = message[-1][0] if message[0] in ("pass", "passed") else message[0]
        content_delay_s = self.content_delays_s.get(b, 0.0) if (
            to.startswith("writ@") and message[0] in ("content", "store")) else 0.0
        self._schedule(self._latency_s(a, b) + self.kind_delays_s.get(kind, 0.0) + content_delay_s, arrive)

    def _schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.event_queue, (self.now + delay_s, self.event_count, callback))

    def _deliver(self, source: str, to: str, message: list) -> None:
        role, ip = to.split("@")
        if role == "writ":
            sender = store_replica.REGISTRY if source.startswith("roll@") else ip_of(source)
            self._run_store_actions(self.cores[ip], self.cores[ip].store.receive(sender, message, self.now))
        elif role == "roll":
            self._run_registry_actions(self.cores[ip], self.cores[ip].registry.on_message(source, message, self.now))
        elif self.connections.get((to, source), (False, 0.0))[0] or source.startswith("span@"):
            self._run_session_actions(
                self.proxies[ip], self.proxies[ip].session.handle_message(source, message, self.now))

    def _run_store_actions(self, core: CoreMachine, actions: list) -> None:
        for action in actions:
            if core.is_disk_full and isinstance(action, store_replica.Save | store_replica.SaveContent):
                return core.store.disk_failed("the disk is full")
            match action:
                case store_replica.DiskSynced():
                    core.store.disk_recovered()
                case store_replica.Send(to, message):
                    self.send(
                        peer_name("writ", core.ip),
                        peer_name("roll", core.ip) if to == store_replica.REGISTRY else peer_name("writ", to),
                        message,
                    )
                case store_replica.Save(acceptor):
                    core.saved_acceptor = acceptor
                case store_replica.SaveContent(digest, data, needed):
                    core.contents[digest] = data
                    for evicted in contents_to_evict(
                            [(d, len(c)) for d, c in core.contents.items()], {*needed, digest}):
                        del core.contents[evicted]

    def _run_registry_actions(self, core: CoreMachine, actions: list) -> None:
        for action in actions:
            match action:
                case registry_machine.Send(to, message):
                    self.send(peer_name("roll", core.ip), to, message)
                case registry_machine.Save(rows, forgotten):
                    core.saved_rows.update({row[0]: row for row in rows})
                    for id in forgotten:
                        core.saved_rows.pop(id, None)
                case registry_machine.Answer(request, reply):
                    self._record_reply(request, reply)
                case Violation(invariant, detail):
                    raise CheckFailed(f"{self.now:.2f}: {core.ip}: {invariant.name}: {detail}")
                case registry_machine.LogEvent("LOST", fields):
                    self.false_losses += [
                        id for id in fields["ids"].split(", ") if self.backends[id].state != "silent"]

    def _record_reply(self, request: ApiRequest, reply: Reply) -> None:
        if id(request) in self.replies:
            raise CheckFailed(f"{self.now:.2f}: a call got two replies")
        self.replies[id(request)] = reply
        caller = self.heartbeat_callers.pop(id(request), None)
        if caller is not None and reply.status < 500:
            caller.heartbeat_core = reply.value.get("heartbeat_address", caller.heartbeat_core).partition(":")[0]
        elif caller is not None:
            self._schedule(0.05, lambda: self._retry_heartbeat(caller))
        if request.call.name == "put" and reply.status == 200:
            self.acknowledged_at.setdefault(json.loads(request.body)["version"], self.now)
        if request.call.name in ("beat", "leave") and reply.status == 200:
            backend = self.backends.get(request.segment)
            if backend is not None and backend.state != "ready" and backend.acknowledged_at is None:
                backend.acknowledged_at = self.now

    def _run_session_actions(self, proxy: ProxyMachine, actions: list) -> None:
        for action in actions:
            match action:
                case Send(to, message):
                    self.send(peer_name("span", proxy.ip), to, message)
                case ApplyConfig(version, digest, _):
                    if version < proxy.version:
                        raise CheckFailed(f"{self.now:.2f}: {proxy.ip} goes back from {proxy.version} to {version}")
                    proxy.version = version
                    self._run_session_actions(proxy, proxy.session.handle_applied(version, digest, self.now))
                case UnitsReceived(granted, denied, _, expires_at) if self.now <= expires_at:
                    for index, units_by_tenant in enumerate((granted, denied)):
                        for tenant, units in units_by_tenant.items():
                            proxy.unit_counts.setdefault(tenant, [0, 0])[index] += units
                case LeaseChanged(has_lease, _):
                    proxy.session.is_ready = has_lease
                    self._run_session_actions(proxy, proxy.session.renew_now(self.now))

    # Time

    def run(self, until: float) -> None:
        """Advance the time to `until`, and check all invariants at each step."""
        while self.now < until - 1e-9:
            step = min(until, self.now + STEP_S)
            while self.event_queue and self.event_queue[0][0] <= step:
                self.now, _, callback = heapq.heappop(self.event_queue)
                callback()
            self.now = step
            if self.is_started:
                self._tick()
                self.invariants.check()

    def _tick(self) -> None:
        self._update_connections()
        for ip in [*self.cores, *self.proxies]:
            if ip not in self.frozen_since:
                self._tick_machine(ip)
        for backend in self.backends.values():
            if backend.state != "silent" and self.now >= backend.next_heartbeat_at:
                self._send_heartbeat(backend)

    def _tick_machine(self, ip: str) -> None:
        machine = self.cores.get(ip) or self.proxies[ip]
        if machine.is_running and isinstance(machine, CoreMachine):
            self._run_store_actions(machine, machine.store.tick(self.now))
            if not machine.has_registry_exited:
                self._run_registry_actions(machine, machine.registry.tick(self.now))
                machine.has_registry_exited = machine.registry.is_shutdown_complete(self.now)
            if machine.has_registry_exited and machine.store.can_exit(self.now):
                self.kill(ip)
        elif machine.is_running:
            self._run_session_actions(machine, machine.session.tick(self.now))

    def _send_heartbeat(self, b: Backend) -> None:
        """Send the next heartbeat to the assigned core machine; without one, or after a failure, to the next one."""
        b.next_heartbeat_at, b.sequence = self.now + HEARTBEAT_INTERVAL_S, b.sequence + 1
        up = [c.ip for c in self.cores.values() if c.is_running]
        if not up:
            return
        if b.heartbeat_core not in up:
            b.next_core += 1
        via = b.heartbeat_core if b.heartbeat_core in up else up[b.next_core % len(up)]
        if b.state == "gone":
            b.state = "silent"
            return self.call("DELETE", f"/api/instances/{b.id}", None, via, f"leave {b.id}")
        body = {"address": f"9.9.9.{len(b.id)}:80",
                "information": {"service": b.service, "version": "v1", "free_slots": 2, "availability_zone": b.zone},
                "status": {"state": b.state, "sequence": b.sequence,
                           "cold_remaining_s": max(0.0, b.cold_until - self.now)}}
        self.call("PUT", f"/api/instances/{b.id}", body, via, f"beat {b.id}", b)

    def _retry_heartbeat(self, b: Backend) -> None:
        """Repeat a failed heartbeat at another core machine, without moving the next regular one."""
        if b.state != "silent" and b.next_heartbeat_at > self.now:
            b.heartbeat_core = ""
            next_heartbeat_at = b.next_heartbeat_at
            self._send_heartbeat(b)
            b.next_heartbeat_at = next_heartbeat_at

    def _update_connections(self) -> None:
        """Report connections that came up, or whose break was noticed, since the last step."""
        desired: dict[tuple[str, str], bool] = {}
        registries = [peer_name("roll", ip) for ip in self.cores]
        for source in registries:
            for peer in registries:
                if source != peer:
                    desired[source, peer] = True
            desired[source, peer_name("writ", ip_of(source))] = True
        stores = [peer_name("writ", ip) for ip in self.cores]
        desired |= {(source, peer): True for source in stores for peer in stores if source != peer}
        for proxy in self.proxies.values():
            if proxy.is_running:
                for peer in proxy.session.peers(self.now):
                    desired[peer_name("span", proxy.ip), peer] = desired[peer, peer_name("span", proxy.ip)] = True
        for pair in {*desired, *self.connections}:
            source, peer = pair
            if ip_of(source) in self.frozen_since:
                continue
            is_up = pair in desired and self._is_running(source) and self._is_running(peer) and (
                self._can_connect(ip_of(source), ip_of(peer)))
            was_up, changed_at = self.connections.get(pair, (False, -9.0))
            if is_up == was_up:
                self.connections[pair] = (was_up, self.now)
                continue
            delay_s = 0.06 if is_up or not (self._is_running(source) and self._is_running(peer)) else LINK_TIMEOUT_S
            if self.now - changed_at >= delay_s:
                self.connections[pair] = (is_up, self.now)
                if self._is_running(source):
                    self._notify_connection(source, peer, is_up)

    def _can_connect(self, a: str, b: str) -> bool:
        blocked = {(a, b), (b, a)} & self.blocked_directions
        return self._is_reachable(a, b) and not blocked and b not in self.frozen_since

    def thaw(self, ip: str) -> None:
        """Resume a frozen machine.

        Its timers run before its sockets are read, or after: the event loop may have been suspended at either point.
        """
        self.frozen_since.pop(ip)
        if self.random.random() < 0.5:
            self._tick_machine(ip)
        for deliver in self.deferred_deliveries.pop(ip):
            deliver()

    def _notify_connection(self, process: str, peer: str, is_up: bool) -> None:
        role, ip = process.split("@")
        if role == "roll":
            self._run_registry_actions(self.cores[ip], self.cores[ip].registry.on_link(peer, is_up, self.now))
        elif role == "writ":
            self._run_store_actions(
                self.cores[ip], self.cores[ip].store.connection_changed(ip_of(peer), is_up, self.now))
        elif role == "span":
            self._run_session_actions(
                self.proxies[ip], self.proxies[ip].session.handle_connection(peer, is_up, self.now))

    def may_send_requests(self, proxy: ProxyMachine) -> bool:
        """Whether a proxy may forward requests to backends."""
        return proxy.is_running and proxy.ip not in self.frozen_since and proxy.session.has_valid_lease(self.now)


def build_simulation(cores: int, proxies: int, seed: int = 1) -> CoreSimulation:
    """A system just started, its machines spread over nine zones in three regions."""
    simulation = CoreSimulation(seed)
    for i in range(cores):
        simulation.execute(["core", f"c{i:02}", f"z{i % 9}", f"r{i % 3}"])
    for i in range(proxies):
        simulation.execute(["front", f"f{i:04}", f"z{i % 9}", f"r{i % 3}", "t1=0.1"])
    for i in range(30):
        simulation.execute(["backend", f"s{i:02}", "svc", f"z{i % 9}"])
    simulation.start()
    return simulation


def run_scenario(text: str, seed: int = 1) -> CoreSimulation:
    """Run a scenario.

    Raises CheckFailed where an invariant or an expectation does not hold, ValueError on an invalid line.
    """
    simulation = CoreSimulation(seed)
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        try:
            if words[0] == "at":
                simulation.run(float(words[1]))
                words = words[2:]
            simulation.execute(words)
        except (CheckFailed, ValueError) as error:
            raise type(error)(f"line {number}: {error}") from error
    return simulation
