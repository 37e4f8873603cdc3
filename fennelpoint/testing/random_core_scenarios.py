"""Random scenarios of a simulated core: a deployment of any shape, under overlapping faults.

The invariants of `core_invariants` are checked at each step. The aim is to cover shapes that no written scenario has:
uneven zones, a region with a single zone, more proxies.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from fennelpoint.testing.core_machines import CheckFailed
from fennelpoint.testing.core_simulation import CoreSimulation

FIRST_CHANGE_AT, FAULTS_START_AT = 2.0, 7.0
FAULT_PAUSE_S = (0.3, 2.5)  # least and longest, between two faults
FAULT_DURATION_S = (0.3, 6.0)  # least and longest
RECOVERY_TIMEOUT_S = 14.0  # after the last fault
CHANGE_INTERVAL_S = 4.0
RESEND_INTERVAL_S = 1.0  # after which a change without a definite reply is sent unchanged to another machine
ACCEPT_TIMEOUT_S = 3.0  # for a change once the system has recovered
COLD_BACKEND_PROBABILITY = 0.3  # that a backend starts cold together with a fault


@dataclass(frozen=True, slots=True)
class Deployment:
    """Numbers of machines by zone; a zone's region is the part of its name before the dash."""

    cores: dict[str, int]
    proxies: dict[str, int]
    backend_count: int = 24

    def build(self, seed: int) -> CoreSimulation:
        """Start the whole system on empty disks."""
        simulation = CoreSimulation(seed)
        for kind, count in (("core", self.cores), ("front", self.proxies)):
            for zone, machines in count.items():
                for number in range(machines):
                    request_rates = ["t1=4", "t2=1"] if kind == "front" else []
                    simulation.execute(
                        [kind, f"{kind[0]}{number}.{zone}", zone, zone.partition("-")[0], *request_rates]
                    )
        for number in range(self.backend_count):
            simulation.execute(["backend", f"s{number}", "svc", list(self.proxies)[number % len(self.proxies)]])
        simulation.start()
        return simulation

    def zones(self) -> list[str]:
        return list(self.proxies)


class RandomScenario:
    """One scenario: temporary faults from `FAULTS_START_AT` on for some seconds; then the system must recover."""

    def __init__(self, deployment: Deployment, seed: int, seconds: float) -> None:
        self.deployment = deployment
        self.random = Random(seed)
        self.simulation = deployment.build(seed)
        self.faults_end_at = FAULTS_START_AT + seconds
        self.version, self.base = 0, 0  # of the newest change
        self.changed_at, self.sent_at = -CHANGE_INTERVAL_S, -RESEND_INTERVAL_S
        self.backend_count = deployment.backend_count
        self.faulty_cores: set[str] = set()  # core machines that are dead, frozen or cut off
        self.max_faulty_cores = (len(self.simulation.cores) - 1) // 4
        self.scheduled_ends: list[tuple[float, Callable[[], None]]] = []  # when a fault ends, and what ends it
        self.faults: list[str] = []  # descriptions of all faults, for the message of a failure

    def run(self) -> None:
        """Run the scenario.

        Raises CheckFailed, with a list of all faults, where an invariant does not hold or the system has not
        recovered at the end.
        """
        try:
            self._run_to_end()
        except CheckFailed as error:
            raise CheckFailed(f"{error}\n" + "\n".join(self.faults)) from error

    def _run_to_end(self) -> None:
        self.simulation.run(FIRST_CHANGE_AT)
        self._change()
        self.simulation.run(FAULTS_START_AT)
        next_fault_at = FAULTS_START_AT
        while self.simulation.now < self.faults_end_at:
            self._change()
            if self.simulation.now >= next_fault_at:
                self._inject_fault()
                next_fault_at += self.random.uniform(*FAULT_PAUSE_S)
            self._end_due_faults()
            self.simulation.run(self.simulation.now + 0.1)
        self._end_due_faults(end_all=True)
        self.simulation.run(self.simulation.now + RECOVERY_TIMEOUT_S)
        self._check_recovered()

    # Changes, by one operator

    def _change(self) -> None:
        """Send the next version once the previous one is accepted; until then, resend the previous one unchanged."""
        now, is_accepted = self.simulation.now, self._is_accepted()
        if is_accepted and now - self.changed_at >= CHANGE_INTERVAL_S:
            self.base, self.version, self.changed_at = self.version, self.version + 1, now
            self._send_change()
        elif not is_accepted and now - self.sent_at >= RESEND_INTERVAL_S:
            self._send_change()

    def _send_change(self) -> None:
        self.sent_at = self.simulation.now
        running = [
            ip for ip, core in self.simulation.cores.items() if core.is_running and ip not in self.faulty_cores
        ]
        self.simulation.put(self.version, self.base, self.random.choice(running))

    def _is_accepted(self) -> bool:
        """Whether the newest change is accepted. A refusal is a failure, as there is no other operator."""
        status = self.simulation.status(f"put {self.version}")
        if 400 <= status < 500:
            raise CheckFailed(f"{self.simulation.now:.2f}: change {self.version} on {self.base} is answered {status}")
        return self.version == 0 or status == 200

    def _inject_fault(self) -> None:
        kinds = [self._kill_core, self._freeze_core, self._partition_core, self._kill_proxies, self._freeze_proxy,
                 self._partition_proxy, self._fail_zone, self._kill_allocator, self._restart_registry]  # fmt: skip
        if self.random.random() < COLD_BACKEND_PROBABILITY:
            self._add_cold_backend()
        self.random.choice(kinds)()

    def _end_later(self, description: str, end: Callable[[], None]) -> None:
        duration_s = self.random.uniform(*FAULT_DURATION_S)
        self.faults.append(f"{self.simulation.now:.1f}: {description} for {duration_s:.1f} s")
        self.scheduled_ends.append((self.simulation.now + duration_s, end))

    def _end_due_faults(self, end_all: bool = False) -> None:
        due = [end for ends_at, end in self.scheduled_ends if end_all or ends_at <= self.simulation.now]
        self.scheduled_ends = [
            (ends_at, end) for ends_at, end in self.scheduled_ends if not end_all and ends_at > self.simulation.now
        ]
        for end in due:
            end()

    # Core machines

    def _select_core(self, chosen: str | None = None) -> str | None:
        """Select a core machine for a fault; None where one more would exceed the tolerated number."""
        free = [ip for ip in self.simulation.cores if ip not in self.faulty_cores]
        if len(self.faulty_cores) >= self.max_faulty_cores or (chosen is not None and chosen not in free):
            return None
        ip = chosen or self.random.choice(free)
        self.faulty_cores.add(ip)
        return ip

    def _kill_core(self, chosen: str | None = None) -> None:
        if (ip := self._select_core(chosen)) is not None:
            self.simulation.execute(["kill", ip])
            self._end_later(f"kill {ip}", lambda: self._boot_core(ip))

    def _boot_core(self, ip: str) -> None:
        self.faulty_cores.discard(ip)
        self.simulation.execute(["boot", ip])

    def _kill_allocator(self) -> None:
        holders = [
            ip for ip, core in self.simulation.cores.items() if core.is_running and core.registry.allocation.allocator
        ]
        if holders:
            self._kill_core(holders[0])

    def _freeze_core(self) -> None:
        if (ip := self._select_core()) is not None:
            self.simulation.execute(["freeze", ip])
            self._end_later(f"freeze {ip}", lambda: self._thaw_core(ip))

    def _thaw_core(self, ip: str) -> None:
        self.faulty_cores.discard(ip)
        self.simulation.execute(["thaw", ip])

    def _restart_registry(self) -> None:
        running = [
            ip for ip, core in self.simulation.cores.items() if core.is_running and ip not in self.faulty_cores
        ]
        ip = self.random.choice(running)
        self.faults.append(f"{self.simulation.now:.1f}: restart roll {ip}")
        self.simulation.execute(["restart", "roll", ip])

    def _partition_core(self) -> None:
        if (ip := self._select_core()) is not None:
            self._partition(
                ip, [other for other in (*self.simulation.cores, *self.simulation.proxies) if other != ip]
            )

    def _partition(self, ip: str, others: list[str]) -> None:
        pairs = {frozenset((ip, other)) for other in others} - self.simulation.partitioned_pairs
        self.simulation.partitioned_pairs |= pairs
        self._end_later(f"cut {ip} from {len(others)} others", lambda: self._heal(ip, pairs))

    def _heal(self, ip: str, pairs: set[frozenset[str]]) -> None:
        self.faulty_cores.discard(ip)
        self.simulation.partitioned_pairs -= pairs

    # Proxies, zones, backends

    def _running_proxies(self) -> list[str]:
        return [
            proxy.ip
            for proxy in self.simulation.proxies.values()
            if proxy.is_running and proxy.ip not in self.simulation.frozen_since
        ]

    def _random_proxy(self) -> str:
        return self.random.choice(self._running_proxies())

    def _kill_proxy(self, ip: str) -> None:
        self.simulation.execute(["kill", ip])
        self._end_later(f"kill {ip}", lambda: self.simulation.execute(["boot", ip]))

    def _kill_proxies(self) -> None:
        for ip in sorted({self._random_proxy() for _ in range(self.random.randint(1, 3))}):
            self._kill_proxy(ip)

    def _freeze_proxy(self) -> None:
        ip = self._random_proxy()
        self.simulation.execute(["freeze", ip])
        self._end_later(f"freeze {ip}", lambda: self.simulation.execute(["thaw", ip]))

    def _partition_proxy(self) -> None:
        self._partition(self._random_proxy(), list(self.simulation.cores))

    def _fail_zone(self) -> None:
        """All machines of a zone lose power, unless that stops more core machines than the core tolerates."""
        zone = self.random.choice(self.deployment.zones())
        cores = [ip for ip, core in self.simulation.cores.items() if core.zone == zone]
        proxies = [ip for ip in self._running_proxies() if self.simulation.proxies[ip].zone == zone]
        if self.faulty_cores or len(cores) > self.max_faulty_cores:
            return
        for ip in cores:
            self._kill_core(ip)
        for ip in proxies:
            self._kill_proxy(ip)

    def _add_cold_backend(self) -> None:
        self.backend_count += 1
        zone = self.random.choice(self.deployment.zones())
        self.simulation.execute(["backend", f"s{self.backend_count}", "svc", zone, "cold"])

    # Recovery

    def _check_recovered(self) -> None:
        simulation = self.simulation
        newest = max(simulation.acknowledged_at, default=0)
        unrecovered = [
            f.ip for f in simulation.proxies.values() if not simulation.may_send_requests(f) or f.version < newest
        ]
        if unrecovered:
            raise CheckFailed(
                f"{simulation.now:.2f}: without a lease or version {newest} at the end: {', '.join(unrecovered)}"
            )
        if simulation.false_losses:
            raise CheckFailed(f"running backends counted as lost: {', '.join(simulation.false_losses)}")
        self.changed_at = -CHANGE_INTERVAL_S
        until = simulation.now + ACCEPT_TIMEOUT_S
        self._change()
        while simulation.now < until:
            simulation.run(simulation.now + 0.1)
            self._change()
        if not self._is_accepted():
            raise CheckFailed(f"{simulation.now:.2f}: a change after recovery is not accepted")
