"""Operators who change and read a simulated core under faults, and the checks on what they observe.

`play` runs a random `Plan` on the state machines of `core_simulation` and records the history that callers
observe. Operators follow the protocol: they call any machine, and retry at another one after a failure, a 5xx or a
second without a reply, with exponential backoff; a retry sends the same change unchanged. Faults last for a time and
may overlap; disks are lost one at a time, with enough time in between to catch up. Once all faults are over, the core
has to answer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop
from random import Random

from fennelpoint.system.http_server import ApiRequest
from fennelpoint.system.mesh import ip_of, peer_name
from fennelpoint.system.settings import Bounds
from fennelpoint.testing.core_machines import CheckFailed, CoreMachine
from fennelpoint.testing.core_simulation import LINK_TIMEOUT_S, CoreSimulation
from fennelpoint.testing.linearizable import Op, find_violation
from fennelpoint.testing.operator_calls import CHANGE_METHODS, OperatorCalls, PendingOperation
from fennelpoint.testing.operator_plans import Fault, Plan

STEP_S = 0.04  # the processes themselves tick every 0.02 and 0.05 s
CONNECTION_CHANGE_S = 0.06  # until a connection is up, or the end of the peer's process is noticed


@dataclass(eq=False)
class OperatorSimulation(OperatorCalls, CoreSimulation):
    """A plan being run."""

    plan: Plan
    history: list[Op] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__init__(self.plan.seed)
        self.rng = Random(self.plan.seed)
        self.bounds = Bounds()
        self.pending: list[PendingOperation] = []
        self.open_requests: dict[int, tuple[PendingOperation, ApiRequest, str]] = {}
        self.sent_requests: list[ApiRequest] = []  # kept alive, so that no two requests have the same id()
        self.known_versions = [0, 0]  # newest version that each operator has seen
        self.change_count = 0
        self.change_bodies: dict[int, bytes] = {}  # by number of the change
        self.active_faults: list[tuple[Fault, frozenset[str], float]] = []  # with the machines, and when it ends
        self.dropped_directions: set[tuple[str, str]] = set()  # source, destination
        self.frozen_queues: dict[str, list[Callable[[], None]]] = {}  # pending deliveries, by frozen machine
        self.removed: set[str] = set()
        self.armed_faults: list[Fault] = []  # each strikes at the next acknowledgment
        self.healthy_since_disk_loss_s: float | None = None  # None: no disk is being recovered
        self.machine_connections: dict[tuple[str, str], tuple[bool, float]] = {}  # is up, when last consistent
        self.are_faults_over = False
        for _ in range(self.plan.cores):
            self._add_core()

    def _add_core(self) -> str:
        i = len(self.cores)
        self.cores[f"c{i}"] = CoreMachine(f"c{i}", f"z{i}", f"r{i % 3}")
        return f"c{i}"

    # Time

    def run(self, until: float) -> None:
        while self.now < until - 1e-9:
            step = min(until, self.now + STEP_S)
            while self.event_queue and self.event_queue[0][0] <= step:
                self.now, _, callback = heappop(self.event_queue)
                callback()
            self.now = step
            self._tick()

    def _tick(self) -> None:
        self._update_connections()
        for core in self.cores.values():
            if core.is_running and core.ip not in self.frozen_queues:
                self._run_store_actions(core, core.store.tick(self.now))
                self._run_registry_actions(core, core.registry.tick(self.now))
        if self.healthy_since_disk_loss_s is not None:
            is_healthy = not self.active_faults and all(
                c.is_running for c in self.cores.values() if c.ip not in self.removed
            )
            self.healthy_since_disk_loss_s = self.healthy_since_disk_loss_s + STEP_S if is_healthy else 0.0
            if self.healthy_since_disk_loss_s > self.bounds.catch_up_s:
                self.healthy_since_disk_loss_s = None

    # Connections and messages

    def _is_reachable(self, a: str, b: str) -> bool:
        return super()._is_reachable(a, b) and (a, b) not in self.dropped_directions

    def _update_connections(self) -> None:
        """Like the base class, with one state for all connections between two machines."""
        for core in self.cores.values():
            for peer in self.cores.values():
                a, b, both_run = core.ip, peer.ip, core.is_running and peer.is_running
                # A connection needs both directions: without messages from the peer it is closed and reopened.
                is_up = both_run and (
                    a == b
                    or not (
                        self.active_faults
                        and (
                            frozenset((a, b)) in self.partitioned_pairs
                            or (a, b) in self.dropped_directions
                            or (b, a) in self.dropped_directions
                            or a in self.frozen_queues
                            or b in self.frozen_queues
                        )
                    )
                )
                was_up, consistent_at = self.machine_connections.get((a, b), (False, -9.0))
                if is_up == was_up:
                    self.machine_connections[a, b] = (was_up, self.now)
                elif self.now - consistent_at >= (CONNECTION_CHANGE_S if is_up or not both_run else LINK_TIMEOUT_S):
                    self.machine_connections[a, b] = (is_up, self.now)
                    if core.is_running and a == b:
                        self._notify_connection(peer_name("roll", a), peer_name("writ", a), is_up)
                    elif core.is_running:
                        self._notify_connection(peer_name("roll", a), peer_name("roll", b), is_up)
                        self._notify_connection(peer_name("writ", a), peer_name("writ", b), is_up)

    def _deliver(self, source: str, to: str, message: list) -> None:
        if (deferred := self.frozen_queues.get(ip_of(to))) is not None:
            return deferred.append(lambda: super(OperatorSimulation, self)._deliver(source, to, message))
        super()._deliver(source, to, message)

    # Faults

    def inject_fault(self, fault: Fault) -> None:
        """Begin a fault; a disk is not lost while another one is being recovered."""
        ips = [ip for ip in self.cores if ip not in self.removed]
        duration_s = fault.duration_tenths / 10
        chosen = frozenset(ip for i, ip in enumerate(ips) if fault.machine_mask >> i & 1) or frozenset(ips[:1])
        single = sorted(chosen)[0]
        match fault.kind:
            case "acker":
                return self.armed_faults.append(fault)
            case "add" | "swap" if len(self.cores) >= self.plan.cores + 2:
                return
            case "add":
                return self.boot(self._add_core())
            case "wipe" | "swap" if self.healthy_since_disk_loss_s is not None:
                return  # one disk at a time
            case "swap":
                self.healthy_since_disk_loss_s = 0.0
                self.kill(single, wipe=True)
                self.removed.add(single)
                return self.boot(self._add_core())
            case "wipe":
                chosen, self.healthy_since_disk_loss_s = frozenset([single]), 0.0
                self.kill(single, wipe=True)
            case "kill":
                for ip in chosen:
                    self.kill(ip)
            case "full" | "freeze":
                chosen = frozenset([single])
        self._activate_fault(fault, chosen, duration_s)

    def _activate_fault(self, fault: Fault, machines: frozenset[str], duration_s: float) -> None:
        ends_at = self.now + duration_s
        entry = (fault, machines, ends_at)
        self.active_faults.append(entry)
        self._apply_active_faults()
        self._schedule(duration_s, lambda: self._end_fault(entry))

    def _end_fault(self, entry: tuple) -> None:
        self.active_faults.remove(entry)
        self._apply_active_faults()

    def _apply_active_faults(self) -> None:
        """Set the state of network and machines to the combined effect of the active faults."""
        self.partitioned_pairs, self.pair_delays_s, self.dropped_directions = set(), {}, set()
        down, full, frozen = set(self.removed), set(), set()
        for fault, machines, _ in self.active_faults:
            pairs = [(a, b) for a in machines for b in self.cores if b not in machines]
            match fault.kind:
                case "cut":
                    self.partitioned_pairs |= {frozenset(pair) for pair in pairs}
                case "deaf":
                    self.dropped_directions |= set(pairs)
                case "mute":
                    self.dropped_directions |= {(b, a) for a, b in pairs}
                case "slow":
                    self.pair_delays_s |= {frozenset(pair): 0.02 * (1 + fault.start_tenths % 20) for pair in pairs}
                case "kill" | "wipe" | "acker":
                    down |= machines
                case "full":
                    full |= machines
                case "freeze":
                    frozen |= machines
        for core in self.cores.values():
            core.is_disk_full = core.ip in full
            if not core.is_running and core.ip not in down:
                self.boot(core.ip)
            if core.ip in frozen and core.is_running:
                self.frozen_queues.setdefault(core.ip, [])
            elif core.ip in self.frozen_queues:
                for deliver in self.frozen_queues.pop(core.ip):
                    deliver()

    def kill(self, ip: str, wipe: bool = False) -> None:
        super().kill(ip, wipe)
        self.frozen_queues.pop(ip, None)
        for operation, request, target in list(self.open_requests.values()):
            if target == ip:
                del self.open_requests[id(request)]
                self._schedule(self._network_delay(), lambda o=operation, r=request: self._attempt_failed(o, r))

    def _change_acknowledged(self, ip: str) -> None:
        """A machine acknowledged a change: the next armed fault strikes."""
        if not self.armed_faults:
            return
        fault = self.armed_faults.pop(0)
        ips = [i for i in self.cores if i not in self.removed]
        index = ips.index(ip)
        machines = frozenset(
            other for i, other in enumerate(ips) if fault.machine_mask >> (i - index) % len(ips) & 1 or other == ip
        )
        wipe = bool(fault.duration_tenths % 2) and self.healthy_since_disk_loss_s is None

        def strike() -> None:
            for other in machines:
                self.kill(other, wipe=wipe and other == ip)
            self._activate_fault(fault, machines, fault.duration_tenths / 10)

        if wipe:
            self.healthy_since_disk_loss_s = 0.0
        self._schedule(self.rng.uniform(0.0, 0.004), strike)


def play(plan: Plan) -> OperatorSimulation:
    """Run a plan to its end.

    Raises CheckFailed where the history is not linearizable, or where the core does not answer after all faults.
    """
    simulation = OperatorSimulation(plan)
    simulation.start()
    simulation.run(1.0)
    for action in plan.actions:
        simulation._schedule(action.start_tenths / 10, lambda a=action: simulation.start_action(a))
    for fault in plan.faults:
        simulation._schedule(fault.start_tenths / 10, lambda f=fault: simulation.inject_fault(f))
    last_tenths = max([a.start_tenths for a in plan.actions] + [f.start_tenths + 1 for f in plan.faults], default=0)
    simulation.run(1.0 + last_tenths / 10 + 0.1)
    simulation.armed_faults.clear()
    while simulation.active_faults:
        simulation.run(max(ends_at for *_, ends_at in simulation.active_faults) + 0.1)
    simulation.run(simulation.now + simulation.bounds.contact_s)
    simulation.are_faults_over = True
    try:
        _check_recovery(simulation)
    except CheckFailed as failure:  # a violation in the earlier history says more about the cause
        raise CheckFailed(_find_violation(simulation) or str(failure)) from failure
    if violation := _find_violation(simulation):
        raise CheckFailed(violation)
    return simulation


def _find_violation(simulation: OperatorSimulation) -> str:
    unanswered = [operation.op for operation in simulation.pending if operation.op["kind"] in CHANGE_METHODS]
    return find_violation(
        [*simulation.history, *(Op(**{k: v for k, v in op.items() if k != "operator"}) for op in unanswered)]
    )


def _check_recovery(simulation: OperatorSimulation) -> None:
    """After all faults: reads work at each machine, a change is accepted at once, and a resent one is recognized."""
    members = [ip for ip in simulation.cores if ip not in simulation.removed]
    timeout_s = simulation.bounds.acknowledge_s

    def read_everywhere() -> None:
        for ip in members:
            for kind in ("get", "snapshot"):
                simulation.read(kind, required_target=ip, timeout_s=simulation.bounds.contact_s)

    simulation.wait_for_results(read_everywhere, simulation.bounds.contact_s, "a read at each machine")
    (change,) = simulation.wait_for_results(
        lambda: simulation.change("put", max(simulation.known_versions) + 1, max(simulation.known_versions)),
        timeout_s,
        "a change",
    )
    (evacuation,) = simulation.wait_for_results(
        lambda: simulation.change_evacuation("evacuate", "z1"), timeout_s, "an evacuation"
    )
    for op in (change, evacuation):
        if op.status != 200:
            raise CheckFailed(f"{simulation.now:.2f}: a valid change is refused after all faults: {op}")
    accepted = {op.order: op for op in simulation.history if op.status == 200 and op.kind in ("put", "patch")}
    resent = simulation.wait_for_results(
        lambda: [simulation.resend(op) for op in accepted.values()], timeout_s, "resent changes"
    )
    for op in resent:
        if op.status != 200:
            raise CheckFailed(f"{simulation.now:.2f}: an accepted change is refused when it is resent: {op}")
    simulation.wait_for_results(read_everywhere, simulation.bounds.contact_s, "a read at each machine")
