"""Runs a soak test: starts the machines, injects the faults of a seed, and judges the records."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from fennelpoint.system.settings import Bounds
from fennelpoint.testing.soak.connection_cutter import VARIABLE
from fennelpoint.testing.soak.plan import PAUSE_S, FaultKind, ScheduledFault, random_plan
from fennelpoint.testing.soak.records import LAG_TOLERANCE_S, Interval, Records
from fennelpoint.testing.soak.traffic import SLOWDOWN_FACTOR, Addresses, SoakBackend, SoakClient, TrafficFaults
from fennelpoint.testing.soak.versions import VersionClient, VersionHistory, route_prefixes
from fennelpoint.testing.system_demo import GRACE_S, KEY, Site, call, wait_until

ZONES = {"za": "ra", "zb": "rb", "zc": "rc"}
CORES = ("core-za", "core-zb", "core-zc")
PROXIES = ("front-za-1", "front-za-2", "front-zb-1", "front-zb-2", "front-zc-1", "front-zc-2")
HOME_REGIONS = {"bookings.example": (), "homes.example": ("ra", "rb"), "home.example": ("ra",)}  # of hosts' routes
CLIENTS = 2  # per zone and host
REQUEST_INTERVAL_S = 0.12  # of one client
PROBE_INTERVAL_S = 0.1  # of the readiness of proxies, and of this process's own delays
LOSS_SHARE, CANCEL_SHARE = 0.3, 0.8  # of lost replies, and of clients that disconnect, during these faults
FAST_CHANGE_INTERVAL_S = 0.1  # between configuration changes during that fault
CHANGE_INTERVAL_S = 0.7  # between configuration changes at other times
LEASE_S = Bounds().lease_s  # a proxy that is cut off may serve that long: partitions of proxies last longer
START_TIMEOUT_S, RECOVERY_TIMEOUT_S = 30.0, 20.0  # recovery: after the last fault
RECOVERY_REQUESTS = 20  # successive requests without a failure that show recovery
FORBIDDEN_EVENTS = (" 500 VIOLATED ", " 111 CRASHED ")  # in the log of any process
PROGRAM = (
    "import runpy, sys; sys.argv[0] = 'cuttable'; "
    "runpy.run_module('fennelpoint.testing.soak.connection_cutter', run_name='__main__', alter_sys=True)"
)


def configuration(version: int, base: int) -> bytes:
    """Routes of all hosts, of which one has no home regions, and the routes that tell versions apart."""

    def rules(prefix: str, homes: tuple[str, ...]) -> list[dict]:
        kinds = {"/look/": "idempotent", "/book/": "non_idempotent"} | dict.fromkeys(
            route_prefixes(version), "idempotent"
        )
        return [
            {
                "name": f"{prefix}{path.strip('/')}",
                "kind": kind,
                "target_latency_s": 0.5,
                "match_criteria": {"path_prefix": path},
                "route_action": {
                    "service": "bookings",
                    "request_timeout_s": 3 + version % 2 / 10,
                    "max_attempts": 2,
                    "home_regions": list(homes),
                },
            }
            for path, kind in kinds.items()
        ]

    return json.dumps(
        {
            "version": version,
            "base_version": base,
            "clusters": [{"name": "bookings"}],
            "tenants": [{"name": "agency", "api_keys": [KEY], "rate_per_s": 2000, "burst_size": 2000}],
            "listener_table": [
                {"host": host, "rule_set": rules(f"{host.partition('.')[0]}-", homes)}
                for host, homes in HOME_REGIONS.items()
            ],
        }
    ).encode()


@dataclass
class Result:
    """Outcome of a soak test."""

    seed: int
    violations: list[str]
    requests: int
    served: int
    cancellations: int  # judged
    lookups: int  # judged
    uploads: int
    version_answers: int  # replies to requests for the routes that tell versions apart
    versions: int  # acknowledged
    longest_shutdown_s: float  # from a SIGTERM to the end of the process
    lag_s: float  # total delay of this process; what it observed then is not judged
    faults: list[str] = field(default_factory=list)


class Soak:
    """The machines, the traffic and the faults of one seed."""

    def __init__(self, seed: int, groups: int, folder: Path, report: Callable[[str], None]) -> None:
        self.seed, self.folder, self.report = seed, folder, report
        self.scheduled_faults = random_plan(seed, groups)
        os.environ[VARIABLE] = ""
        self.site = Site(folder, ZONES, CORES, PROXIES, PROGRAM)
        self.records = Records(
            CORES, {proxy: ZONES[self._zone(proxy)] for proxy in PROXIES},
            {host: frozenset(homes) for host, homes in HOME_REGIONS.items() if homes}
        )  # fmt: skip
        self.traffic_faults = TrafficFaults()
        self.cores = [self.site.address(core, "control_plane") for core in CORES]
        self.backends = [
            SoakBackend(f"i-{n}", zone, self.cores, self.records, self.traffic_faults)
            for n, zone in enumerate((*ZONES, *ZONES), 1)
        ]
        self.addresses = Addresses(
            {core: self.site.address(core, "directory_service") for core in CORES},
            {proxy: self.site.address(proxy, "public_http") for proxy in PROXIES},
        )
        self.blocked: dict[str, set[str]] = {machine: set() for machine in (*CORES, *PROXIES)}
        self.version = 0
        self.versions = VersionHistory(Bounds().max_staleness_s)
        self.change_lock = asyncio.Lock()
        self.longest_shutdown_s = 0.0
        self.tasks: list[asyncio.Task] = []

    @staticmethod
    def _zone(machine: str) -> str:
        return machine.split("-")[1]

    async def run(self) -> Result:
        """Start all machines, inject the faults, wait for recovery, and judge the records."""
        try:
            await self._start()
            started_at = self.records.soak_started_at = time.monotonic()
            await asyncio.gather(*(self._run_fault(fault, started_at) for fault in self.scheduled_faults))
            await self._wait_for_recovery()
        finally:
            await self._stop()
        self._read_logs()
        return self._result()

    async def _start(self) -> None:
        for machine in (*CORES, *PROXIES):
            await self._boot(machine, first=True)
        await asyncio.gather(*(backend.start() for backend in self.backends))
        await wait_until(self._change, START_TIMEOUT_S, "the first configuration")
        await wait_until(self._all_ready, START_TIMEOUT_S, "all proxies")
        self._start_tasks(self._watch_lag(), self._change_regularly(), *map(self._probe, PROXIES))
        for proxy in PROXIES:
            version_client = VersionClient(
                proxy, self.site.address(proxy, "public_http"), self.versions, lambda: self.version
            )
            self._start_tasks(version_client.run(REQUEST_INTERVAL_S))
        for zone, region in ZONES.items():
            for host in [*HOME_REGIONS] * CLIENTS:
                client = SoakClient(zone, region, host, self.addresses, self.records, self.traffic_faults)
                self._start_tasks(client.run(REQUEST_INTERVAL_S))

    def _start_tasks(self, *coroutines) -> None:
        self.tasks += [asyncio.create_task(coroutine) for coroutine in coroutines]

    async def _boot(self, machine: str, first: bool = False) -> None:
        os.environ[VARIABLE] = str(self.folder / f"{machine}.cuts")
        await self.site.start(machine, first=first)

    async def _change(self) -> bool:
        """Send a configuration based on the newest one; returns whether it was acknowledged."""
        async with self.change_lock:
            number = self.version + 1
            self.versions.sent_at.setdefault(number, time.monotonic())
            body = configuration(number, self.version)
            status = await call(random.choice(self.cores), "PUT", "/api/configuration", body)
            if status == 200:
                self.versions.acknowledged_at[number] = time.monotonic()
                self.version = number
        return status == 200

    async def _change_regularly(self) -> None:
        while True:
            await asyncio.sleep(CHANGE_INTERVAL_S * random.uniform(0.5, 1.5))
            await self._change()

    async def _is_ready(self, proxy: str) -> bool:
        return await call(self.site.address(proxy, "readiness"), "GET", "/api/readiness") == 200

    async def _all_ready(self) -> bool:
        return all(await asyncio.gather(*(self._is_ready(proxy) for proxy in PROXIES)))

    async def _probe(self, proxy: str) -> None:
        """Probe one proxy; each has its own task, as others may reply slowly or not at all."""
        while True:
            sent_at = time.monotonic()
            self.records.record_probe(proxy, await self._is_ready(proxy), sent_at)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _watch_lag(self) -> None:
        """Record delays of this process, during which its observations are not judged."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(PROBE_INTERVAL_S / 2)
            if time.monotonic() - before > PROBE_INTERVAL_S / 2 + LAG_TOLERANCE_S:
                self.records.lag_intervals.append(Interval(before, time.monotonic()))

    # Faults

    async def _run_fault(self, fault: ScheduledFault, started_at: float) -> None:
        await asyncio.sleep(fault.starts_at - (time.monotonic() - started_at))
        duration_s = fault.ends_at - fault.starts_at
        proxy, core = PROXIES[int(fault.selector * len(PROXIES))], CORES[int(fault.selector * len(CORES))]
        others = {self._address(other) for other in CORES if other != core}
        self.report(
            f"{fault.starts_at:6.2f} to {fault.ends_at:6.2f} s  {fault.kind.value} "
            f"({proxy}, {core}, {fault.selector:.3f})"
        )
        match fault.kind:
            case FaultKind.KILL_FRONT:
                await self._kill(proxy, duration_s)
            case FaultKind.KILL_CORE:
                await self._kill(core, duration_s)
            case FaultKind.PAUSE_FRONT:
                await self._pause(proxy, duration_s)
            case FaultKind.PAUSE_CORE:
                await self._pause(core, duration_s)
            case FaultKind.ROLL_FRONTS:
                await self._rolling_restart(
                    [other for other in PROXIES if self._zone(other) == self._zone(proxy)], duration_s
                )
            case FaultKind.CUT_FRONT:
                await self._partition({proxy}, {*CORES, *PROXIES} - {proxy}, duration_s + LEASE_S)
            case FaultKind.CUT_CORE:
                await self._partition({core}, set(CORES) - {core}, duration_s)
            case FaultKind.MUTE_CORE:
                await self._drop_incoming(core, others, duration_s)
            case FaultKind.LOST_ANSWERS:
                await self._disturb_traffic("loss_share", LOSS_SHARE, duration_s)
            case FaultKind.SLOW_BACKENDS:
                await self._disturb_traffic("slowdown", SLOWDOWN_FACTOR, duration_s)
            case FaultKind.LEAVING_CLIENTS:
                await self._disturb_traffic("cancel_share", CANCEL_SHARE, duration_s)
            case FaultKind.CHANGES:
                await self._change_repeatedly(duration_s)

    def _address(self, machine: str) -> str:
        return (self.site.cores | self.site.proxies)[machine]

    @contextlib.contextmanager
    def _record_fault(self, *machines: str):
        """Record a fault of these machines for the duration of the block."""
        intervals = [self.records.begin_fault(machine, time.monotonic()) for machine in machines]
        try:
            yield
        finally:
            for interval in intervals:
                interval.ends_at = time.monotonic()

    async def _terminate(self, proxy: str, process: asyncio.subprocess.Process) -> None:
        """Send SIGTERM; a process that does not end in time is a violation, and is killed."""
        process.send_signal(signal.SIGTERM)
        sent_at = time.monotonic()
        try:
            await asyncio.wait_for(process.wait(), 2 * GRACE_S)
        except TimeoutError:
            self.records.log_errors.append(f"{proxy} had not ended {2 * GRACE_S:g} s after SIGTERM")
            process.kill()
            await process.wait()
        self.longest_shutdown_s = max(self.longest_shutdown_s, time.monotonic() - sent_at)

    @contextlib.contextmanager
    def _record_restart(self, proxy: str):
        """Record a graceful restart, from the SIGTERM until the next process has started."""
        interval = Interval(time.monotonic())
        self.records.planned_restarts.setdefault(proxy, []).append(interval)
        try:
            yield
        finally:
            interval.ends_at = time.monotonic()

    async def _kill(self, machine: str, duration_s: float) -> None:
        with self._record_fault(machine):
            await self.site.kill(machine)
            await asyncio.sleep(duration_s)
            await self._boot(machine)

    async def _pause(self, machine: str, duration_s: float) -> None:
        processes = [process for key, process in self.site.running.items() if key[0] == machine]
        with self._record_fault(machine):
            for process in processes:
                process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(duration_s)
            finally:
                for process in processes:
                    if process.returncode is None:
                        process.send_signal(signal.SIGCONT)

    async def _rolling_restart(self, proxies: list[str], duration_s: float) -> None:
        """Restart the proxies one after the other, without waiting for the previous one; this must break no rule."""

        async def restart(proxy: str) -> None:
            process = self.site.running.pop((proxy, "span"), None)
            if process is None or process.returncode is not None:
                return await self._boot(proxy)
            with self._record_restart(proxy):
                await self._terminate(proxy, process)
                await self._boot(proxy)

        async def later(number: int, proxy: str) -> None:
            await asyncio.sleep(number * duration_s / len(proxies))
            await restart(proxy)

        await asyncio.gather(*(later(number, proxy) for number, proxy in enumerate(proxies)))

    async def _partition(self, left: set[str], right: set[str], duration_s: float) -> None:
        with self._record_fault(*left):
            for machine, peers in [*((machine, right) for machine in left), *((machine, left) for machine in right)]:
                self._write_blocked(machine, self.blocked[machine] | {self._address(peer) for peer in peers})
            await asyncio.sleep(duration_s)
            for machine, peers in [*((machine, right) for machine in left), *((machine, left) for machine in right)]:
                self._write_blocked(machine, self.blocked[machine] - {self._address(peer) for peer in peers})

    async def _drop_incoming(self, machine: str, addresses: set[str], duration_s: float) -> None:
        with self._record_fault(machine):
            self._write_blocked(machine, self.blocked[machine] | addresses)
            await asyncio.sleep(duration_s)
            self._write_blocked(machine, self.blocked[machine] - addresses)

    def _write_blocked(self, machine: str, addresses: set[str]) -> None:
        self.blocked[machine] = addresses
        path = self.folder / f"{machine}.cuts"
        path.with_suffix(".new").write_text(" ".join(sorted(addresses)))
        path.with_suffix(".new").replace(path)

    async def _disturb_traffic(self, name: str, value: float, duration_s: float) -> None:
        normal = getattr(TrafficFaults(), name)
        setattr(self.traffic_faults, name, value)
        await asyncio.sleep(duration_s)
        setattr(self.traffic_faults, name, normal)

    async def _change_repeatedly(self, duration_s: float) -> None:
        ends_at = time.monotonic() + duration_s
        while time.monotonic() < ends_at:
            await self._change()
            await asyncio.sleep(FAST_CHANGE_INTERVAL_S)

    # The end

    async def _wait_for_recovery(self) -> None:
        """Wait until all proxies are ready and successive requests succeed; raises RuntimeError after a timeout."""
        await wait_until(
            self._all_ready, RECOVERY_TIMEOUT_S, f"seed {self.seed}: all proxies ready after the last fault"
        )
        clients = [
            SoakClient(zone, region, host, self.addresses, self.records, TrafficFaults(cancel_share=0.0))
            for zone, region in ZONES.items()
            for host in HOME_REGIONS
        ]

        async def served() -> bool:
            for number in range(RECOVERY_REQUESTS):
                if await clients[number % len(clients)].send_request() != 200:
                    return False
            return True

        await wait_until(
            served, RECOVERY_TIMEOUT_S, f"seed {self.seed}: {RECOVERY_REQUESTS} requests served in a row"
        )
        await asyncio.sleep(PAUSE_S / 2)  # so that executions that are judged can end

    async def _stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.site.stop()
        for backend in self.backends:
            backend.stop()

    def _read_logs(self) -> None:
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if "Traceback" in line or any(event in line for event in FORBIDDEN_EVENTS):
                    self.records.log_errors.append(f"{path.stem} logged: {line}")

    def _result(self) -> Result:
        answers = self.records.status_counts
        return Result(
            self.seed,
            [*self.records.violations(), *self.versions.violations()],
            sum(answers.values()),
            answers[200],
            len(self.records.judged_cancellations()),
            len(self.records.judged_lookups()),
            self.records.uploads,
            len(self.versions.replies),
            len(self.versions.acknowledged_at),
            self.longest_shutdown_s,
            sum(interval.ends_at - interval.starts_at for interval in self.records.lag_intervals),
            [f"{fault.kind.name} {fault.starts_at:g}-{fault.ends_at:g}" for fault in self.scheduled_faults],
        )


async def run_soak(
    seed: int, groups: int, report: Callable[[str], None] = lambda line: None, keep: Path | None = None
) -> Result:
    """Run a soak test with some groups of faults; `keep` is a folder for the logs if violations are found."""
    with tempfile.TemporaryDirectory(prefix="larchwing-soak-") as folder:
        result = await Soak(seed, groups, Path(folder), report).run()
        if result.violations and keep is not None:
            (keep / f"seed-{seed}").mkdir(parents=True, exist_ok=True)
            for log in Path(folder).glob("*.log"):
                shutil.copy(log, keep / f"seed-{seed}")
        return result
