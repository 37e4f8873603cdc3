"""One soak: starts the machines, plays the troubles of a seed, and judges the records."""

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
from fennelpoint.testing.soak.plan import CALM, Entry, Trouble, draw
from fennelpoint.testing.soak.records import LAG, Records, Span
from fennelpoint.testing.soak.traffic import SLOWER, Places, SoakBackend, SoakClient, Weather
from fennelpoint.testing.soak.versions import VersionClient, Versions, routes_of
from fennelpoint.testing.system_demo import GRACE, KEY, Site, call, until

ZONES = {"za": "ra", "zb": "rb", "zc": "rc"}
CORES = ("core-za", "core-zb", "core-zc")
FRONTS = ("front-za-1", "front-za-2", "front-zb-1", "front-zb-2", "front-zc-1", "front-zc-2")
HOMES = {"bookings.example": (), "homes.example": ("ra", "rb"), "home.example": ("ra",)}  # of hosts' routes
CLIENTS = 2  # of each zone and host
PAUSE = 0.12  # s between two requests of a client
PROBE = 0.1  # s between two looks at the readiness of the fronts, and at our own lateness
LOST, LEFT = 0.3, 0.8  # share of answers that are lost, and of clients that leave, while that is the trouble
CHANGE_EVERY = 0.1  # s between two changes while they are the trouble
CHANGE_USUALLY = 0.7  # s between two changes at other times
LEASE = Bounds().lease_s  # s that a front which is cut off may still serve: cuts of fronts last longer
STARTED, HEALED = 30.0, 20.0  # s for all to be up, and to serve again after the last trouble
SERVED_IN_A_ROW = 20  # requests without a failure after which all is well again
FORBIDDEN = (" 500 VIOLATED ", " 111 CRASHED ")  # in the log of any process
PROGRAM = (
    "import runpy, sys; sys.argv[0] = 'cuttable'; "
    "runpy.run_module('fennelpoint.testing.soak.connection_cutter', run_name='__main__', alter_sys=True)"
)


def configuration(version: int, base: int) -> bytes:
    """The routes of all hosts, of which one has no homes, and those that tell versions apart."""

    def rules(prefix: str, homes: tuple[str, ...]) -> list[dict]:
        kinds = {"/look/": "idempotent", "/book/": "non_idempotent"} | dict.fromkeys(routes_of(version), "idempotent")
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
                for host, homes in HOMES.items()
            ],
        }
    ).encode()


@dataclass
class Result:
    """What a soak showed."""

    seed: int
    wrong: list[str]
    requests: int
    served: int
    departures: int  # that were judged
    lookups: int  # that were judged
    version_answers: int  # for routes that one version has
    versions: int  # that were acknowledged
    longest_end: float  # s from a SIGTERM to the end of its process
    lag: float  # s that the soak itself was late by in all; what it saw then is not judged
    troubles: list[str] = field(default_factory=list)


class Soak:
    """The machines, the traffic and the troubles of one seed."""

    def __init__(self, seed: int, groups: int, folder: Path, say: Callable[[str], None]) -> None:
        self.seed, self.folder, self.say = seed, folder, say
        self.entries = draw(seed, groups)
        os.environ[VARIABLE] = ""
        self.site = Site(folder, ZONES, CORES, FRONTS, PROGRAM)
        self.records = Records(
            CORES, {front: ZONES[self._zone(front)] for front in FRONTS},
            {host: frozenset(homes) for host, homes in HOMES.items() if homes}
        )  # fmt: skip
        self.weather = Weather()
        self.cores = [self.site.at(core, "control_plane") for core in CORES]
        self.backends = [
            SoakBackend(f"i-{n}", zone, self.cores, self.records, self.weather)
            for n, zone in enumerate((*ZONES, *ZONES), 1)
        ]
        self.places = Places(
            {core: self.site.at(core, "directory_service") for core in CORES},
            {front: self.site.at(front, "public_http") for front in FRONTS},
        )
        self.cut: dict[str, set[str]] = {machine: set() for machine in (*CORES, *FRONTS)}
        self.version = 0
        self.versions = Versions(Bounds().max_staleness_s)
        self.changing = asyncio.Lock()
        self.longest_end = 0.0  # s from a SIGTERM to the end of its process
        self.tasks: list[asyncio.Task] = []

    @staticmethod
    def _zone(machine: str) -> str:
        return machine.split("-")[1]

    async def play(self) -> Result:
        """Start, trouble, heal, judge."""
        try:
            await self._start()
            begun = self.records.begun = time.monotonic()
            await asyncio.gather(*(self._trouble(entry, begun) for entry in self.entries))
            await self._healed()
        finally:
            await self._stop()
        self._read_logs()
        return self._result()

    async def _start(self) -> None:
        for machine in (*CORES, *FRONTS):
            await self._boot(machine, first=True)
        await asyncio.gather(*(backend.start() for backend in self.backends))
        await until(self._change, STARTED, "the first configuration")
        await until(self._all_ready, STARTED, "all fronts")
        self._go(self._watch_lag(), self._change_usually(), *map(self._probe, FRONTS))
        for front in FRONTS:
            asks = VersionClient(front, self.site.at(front, "public_http"), self.versions, lambda: self.version)
            self._go(asks.run(PAUSE))
        for zone, region in ZONES.items():
            for host in [*HOMES] * CLIENTS:
                client = SoakClient(zone, region, host, self.places, self.records, self.weather)
                self._go(client.run(PAUSE))

    def _go(self, *coroutines) -> None:
        self.tasks += [asyncio.create_task(coroutine) for coroutine in coroutines]

    async def _boot(self, machine: str, first: bool = False) -> None:
        os.environ[VARIABLE] = str(self.folder / f"{machine}.cuts")
        await self.site.start(machine, first=first)

    async def _change(self) -> bool:
        """One configuration on top of the newest; whether it was acknowledged."""
        async with self.changing:
            number = self.version + 1
            self.versions.sent.setdefault(number, time.monotonic())
            body = configuration(number, self.version)
            status = await call(random.choice(self.cores), "PUT", "/api/configuration", body)
            if status == 200:
                self.versions.acked[number] = time.monotonic()
                self.version = number
        return status == 200

    async def _change_usually(self) -> None:
        while True:
            await asyncio.sleep(CHANGE_USUALLY * random.uniform(0.5, 1.5))
            await self._change()

    async def _is_ready(self, front: str) -> bool:
        return await call(self.site.at(front, "readiness"), "GET", "/api/readiness") == 200

    async def _all_ready(self) -> bool:
        return all(await asyncio.gather(*(self._is_ready(front) for front in FRONTS)))

    async def _probe(self, front: str) -> None:
        """One front by itself: others may be slow to answer, or may not answer at all."""
        while True:
            asked = time.monotonic()
            self.records.probed(front, await self._is_ready(front), asked)
            await asyncio.sleep(PROBE)

    async def _watch_lag(self) -> None:
        """A process that is late itself must not blame others: whatever it saw meanwhile is not judged."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(PROBE / 2)
            if time.monotonic() - before > PROBE / 2 + LAG:
                self.records.lags.append(Span(before, time.monotonic()))

    # Troubles

    async def _trouble(self, entry: Entry, begun: float) -> None:
        await asyncio.sleep(entry.at - (time.monotonic() - begun))
        lasts = entry.ends - entry.at
        front, core = FRONTS[int(entry.lot * len(FRONTS))], CORES[int(entry.lot * len(CORES))]
        others = {self._address(other) for other in CORES if other != core}
        self.say(f"{entry.at:6.2f} to {entry.ends:6.2f} s  {entry.trouble.value} ({front}, {core}, {entry.lot:.3f})")
        match entry.trouble:
            case Trouble.KILL_FRONT:
                await self._kill(front, lasts)
            case Trouble.KILL_CORE:
                await self._kill(core, lasts)
            case Trouble.PAUSE_FRONT:
                await self._pause(front, lasts)
            case Trouble.PAUSE_CORE:
                await self._pause(core, lasts)
            case Trouble.ROLL_FRONTS:
                await self._roll([one for one in FRONTS if self._zone(one) == self._zone(front)], lasts)
            case Trouble.CUT_FRONT:
                await self._cut({front}, {*CORES, *FRONTS} - {front}, lasts + LEASE)
            case Trouble.CUT_CORE:
                await self._cut({core}, set(CORES) - {core}, lasts)
            case Trouble.MUTE_CORE:
                await self._deaf(core, others, lasts)
            case Trouble.LOST_ANSWERS:
                await self._weather("losing", LOST, lasts)
            case Trouble.SLOW_BACKENDS:
                await self._weather("slower", SLOWER, lasts)
            case Trouble.LEAVING_CLIENTS:
                await self._weather("leaving", LEFT, lasts)
            case Trouble.CHANGES:
                await self._changes(lasts)

    def _address(self, machine: str) -> str:
        return (self.site.cores | self.site.fronts)[machine]

    @contextlib.contextmanager
    def _troubled(self, *machines: str):
        """What happens to these machines meanwhile may be the trouble's doing."""
        spans = [self.records.trouble(machine, time.monotonic()) for machine in machines]
        try:
            yield
        finally:
            for span in spans:
                span.ends = time.monotonic()

    async def _end(self, front: str, process: asyncio.subprocess.Process) -> None:
        """SIGTERM; one that does not end in time is a fault, and is killed so that the soak goes on."""
        process.send_signal(signal.SIGTERM)
        told = time.monotonic()
        try:
            await asyncio.wait_for(process.wait(), 2 * GRACE)
        except TimeoutError:
            self.records.logged.append(f"{front} had not ended {2 * GRACE:g} s after SIGTERM")
            process.kill()
            await process.wait()
        self.longest_end = max(self.longest_end, time.monotonic() - told)

    @contextlib.contextmanager
    def _planned(self, front: str):
        """A restart in order, from the SIGTERM until the next process has begun."""
        span = Span(time.monotonic())
        self.records.planned.setdefault(front, []).append(span)
        try:
            yield
        finally:
            span.ends = time.monotonic()

    async def _kill(self, machine: str, lasts: float) -> None:
        with self._troubled(machine):
            await self.site.kill(machine)
            await asyncio.sleep(lasts)
            await self._boot(machine)

    async def _pause(self, machine: str, lasts: float) -> None:
        processes = [process for key, process in self.site.running.items() if key[0] == machine]
        with self._troubled(machine):
            for process in processes:
                process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(lasts)
            finally:
                for process in processes:
                    if process.returncode is None:
                        process.send_signal(signal.SIGCONT)

    async def _roll(self, fronts: list[str], lasts: float) -> None:
        """SIGTERM to one after the other, before the first one is back: planned work, which breaks no rule."""

        async def restart(front: str) -> None:
            process = self.site.running.pop((front, "span"), None)
            if process is None or process.returncode is not None:
                return await self._boot(front)
            with self._planned(front):
                await self._end(front, process)
                await self._boot(front)

        async def later(number: int, front: str) -> None:
            await asyncio.sleep(number * lasts / len(fronts))
            await restart(front)

        await asyncio.gather(*(later(number, front) for number, front in enumerate(fronts)))

    async def _cut(self, these: set[str], those: set[str], lasts: float) -> None:
        with self._troubled(*these):
            for one, others in [*((one, those) for one in these), *((one, these) for one in those)]:
                self._set_cut(one, self.cut[one] | {self._address(other) for other in others})
            await asyncio.sleep(lasts)
            for one, others in [*((one, those) for one in these), *((one, these) for one in those)]:
                self._set_cut(one, self.cut[one] - {self._address(other) for other in others})

    async def _deaf(self, machine: str, addresses: set[str], lasts: float) -> None:
        with self._troubled(machine):
            self._set_cut(machine, self.cut[machine] | addresses)
            await asyncio.sleep(lasts)
            self._set_cut(machine, self.cut[machine] - addresses)

    def _set_cut(self, machine: str, addresses: set[str]) -> None:
        self.cut[machine] = addresses
        path = self.folder / f"{machine}.cuts"
        path.with_suffix(".new").write_text(" ".join(sorted(addresses)))
        path.with_suffix(".new").replace(path)

    async def _weather(self, name: str, value: float, lasts: float) -> None:
        usual = getattr(Weather(), name)
        setattr(self.weather, name, value)
        await asyncio.sleep(lasts)
        setattr(self.weather, name, usual)

    async def _changes(self, lasts: float) -> None:
        ends = time.monotonic() + lasts
        while time.monotonic() < ends:
            await self._change()
            await asyncio.sleep(CHANGE_EVERY)

    # The end

    async def _healed(self) -> None:
        """All fronts are ready and requests are served in a row; raises RuntimeError where that does not come."""
        await until(self._all_ready, HEALED, f"seed {self.seed}: all fronts ready after the last trouble")
        clients = [
            SoakClient(zone, region, host, self.places, self.records, Weather(leaving=0.0))
            for zone, region in ZONES.items()
            for host in HOMES
        ]

        async def served() -> bool:
            for number in range(SERVED_IN_A_ROW):
                if await clients[number % len(clients)].ask() != 200:
                    return False
            return True

        await until(served, HEALED, f"seed {self.seed}: {SERVED_IN_A_ROW} requests served in a row")
        await asyncio.sleep(CALM / 2)  # for runs that are judged to end

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
                if "Traceback" in line or any(event in line for event in FORBIDDEN):
                    self.records.logged.append(f"{path.stem} logged: {line}")

    def _result(self) -> Result:
        answers = self.records.answers
        return Result(
            self.seed,
            [*self.records.wrong(), *self.versions.wrong()],
            sum(answers.values()),
            answers[200],
            len(self.records.judged_departures()),
            len(self.records.judged_lookups()),
            len(self.versions.answers),
            len(self.versions.acked),
            self.longest_end,
            sum(span.ends - span.begins for span in self.records.lags),
            [f"{entry.trouble.name} {entry.at:g}-{entry.ends:g}" for entry in self.entries],
        )


async def play(
    seed: int, groups: int, say: Callable[[str], None] = lambda line: None, keep: Path | None = None
) -> Result:
    """A whole soak of so many groups of troubles; `keep` gets the logs of one that found a fault."""
    with tempfile.TemporaryDirectory(prefix="larchwing-soak-") as folder:
        result = await Soak(seed, groups, Path(folder), say).play()
        if result.wrong and keep is not None:
            (keep / f"seed-{seed}").mkdir(parents=True, exist_ok=True)
            for log in Path(folder).glob("*.log"):
                shutil.copy(log, keep / f"seed-{seed}")
        return result
