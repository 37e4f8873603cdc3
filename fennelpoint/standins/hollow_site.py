"""Real core machines and fronts on loopback, with hollow fronts and backends at their sockets, many to a process.

A hollow front is the real decider of a front's ties, `CoreSession`, over lean connections; it takes the list's
numbers and leaves what stands in it.  A hollow backend beats over one kept HTTP connection.  `play` is the whole; a
process of hollow ones is this module run with what it is to hold, told by lines on its stdin.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections import Counter
from pathlib import Path

import uvloop

from fennelpoint.standins.hollow import configuration
from fennelpoint.standins.system_demo import ZONES, Site, until
from fennelpoint.system.frames import BadFrame, Unpacker, pack
from fennelpoint.system.mesh import ip_of
from fennelpoint.system.span.core_session import Apply, CoreSession, Hold, Send

BEAT, PING, AGAIN = 1.5, 0.7, 0.5   # s
LOOKS, LOOK = 5, 0.1                # parts in which fronts look at their clocks in turn; s between looks of one
EACH = 220                          # hollow fronts a process
EVERY = 5                           # of these looks, one front more is started: ten a second a process
_PING = pack(["ping"])


class Line(asyncio.Protocol):
    """A hollow front's connection to one core machine."""

    def __init__(self, front: HollowFront, peer: str) -> None:
        self.front, self.peer, self.unpacker, self.transport = front, peer, Unpacker(), None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.write(pack(["hello", f"span@{self.front.ip}"]))
        self.front.lines[self.peer] = self
        self.front.carry_out(self.front.session.linked(self.peer, True, time.monotonic()))

    def data_received(self, data: bytes) -> None:
        self.front.holder.got += len(data)
        try:
            for message in self.unpacker.feed(data):
                self.front.take(self.peer, message)
        except BadFrame:
            self.transport.abort()

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():     # it breaks, and we hear of it in a moment
            self.front.holder.sent += len(data)
            self.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        if self.front.lines.get(self.peer) is self:
            del self.front.lines[self.peer]
            self.front.carry_out(self.front.session.linked(self.peer, False, time.monotonic()))


class HollowFront:
    """One front without sockets for clients."""

    def __init__(self, holder: Holder, ip: str, zone: str) -> None:
        self.holder, self.ip, self.zone = holder, ip, zone
        self.lines: dict[str, Line] = {}
        self.dialling: set[str] = set()
        self.live()

    def live(self) -> None:
        """Begin a life; connections of the one before break."""
        for line in list(self.lines.values()):
            line.transport.abort()
        self.lines = {}
        about = {"address": f"{self.ip}:8206", "zone": self.zone, "region": ZONES[self.zone],
                 "life": random.getrandbits(40)}
        self.session = CoreSession(self.ip, self.zone, ZONES[self.zone], ZONES, self.holder.seeds, about,
                                   time.monotonic(), asked=lambda: {"tenant-000000": 1})

    def tick(self, now: float) -> None:
        self.carry_out(self.session.tick(now))
        for peer in self.session.peers():
            if peer not in self.lines and peer not in self.dialling and peer.startswith("roll@"):
                self.dialling.add(peer)
                self.holder.keep(self._dial(peer))

    async def _dial(self, peer: str) -> None:
        try:
            async with asyncio.timeout(2.0):
                await asyncio.get_running_loop().create_connection(lambda: Line(self, peer), ip_of(peer),
                                                                   self.holder.port)
        except (OSError, TimeoutError):
            self.holder.failed["connect"] += 1
            await asyncio.sleep(AGAIN)
        finally:
            self.dialling.discard(peer)

    def take(self, peer: str, message: list) -> None:
        self.holder.kinds[message[0]] += 1
        if message[0] == "list":
            self.session.number = message[2]
            if message[4]:
                self.session.lists.add(peer)
        elif message[0] != "ping":
            self.carry_out(self.session.heard(peer, message, time.monotonic()))

    def carry_out(self, actions: list) -> None:
        for action in actions:
            match action:
                case Send(to, message):
                    if (line := self.lines.get(to)) is not None:
                        line.write(pack(message))
                case Apply(version, _):
                    self.holder.applied.setdefault(version, []).append(time.monotonic())
                case Hold(held, _):
                    self.holder.lapsed += not held
                    self.session.ready = held
                    self.carry_out(self.session.say(time.monotonic()))


class HollowBackend(asyncio.Protocol):
    """Beats, and counts what is answered."""

    def __init__(self, holder: Holder, id: str, number: int, at: str) -> None:
        self.holder, self.id, self.number, self.at = holder, id, number, at
        self.transport, self.sequence = None, 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.holder.beats["200" if data.startswith(b"HTTP/1.1 200") else "other"] += 1

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None

    async def live(self) -> None:
        await asyncio.sleep(BEAT * random.random())
        host, _, port = self.at.rpartition(":")
        while True:
            if self.transport is None:
                try:
                    await asyncio.get_running_loop().create_connection(lambda: self, host, int(port))
                except OSError:
                    self.holder.failed["beat"] += 1
            self.sequence += 1
            zone = list(ZONES)[self.number % 3]
            body = json.dumps({
                "address": f"10.2.{self.number // 250}.{self.number % 250 + 1}:9000",
                "information": {"service": f"service-{self.number % 300:03}", "version": "v1", "free_slots": 8,
                                "availability_zone": zone},
                "status": {"state": "ready", "sequence": self.sequence, "cold_remaining_s": 0}}).encode()
            if self.transport is not None:
                self.transport.write(f"PUT /api/instances/{self.id} HTTP/1.1\r\nHost: {self.at}\r\nContent-Type: "
                                     f"application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            await asyncio.sleep(BEAT)


class Holder:
    """A process of hollow ones: `what` names fronts, backends, seeds and ports."""

    def __init__(self, what: dict) -> None:
        self.seeds, self.port = what["seeds"], what["port"]
        self.sent = self.got = self.lapsed = 0
        self.kinds, self.failed, self.beats = Counter(), Counter(), Counter()
        self.applied: dict[int, list[float]] = {}
        self.tasks: set[asyncio.Task] = set()
        self.waiting = [HollowFront(self, ip, zone) for ip, zone in what["fronts"]]
        self.fronts: list[HollowFront] = []
        self.backends = [HollowBackend(self, f"i-{n:05}", n, random.choice(what["doors"])) for n in what["backends"]]
        self.turn = 0

    def keep(self, doing: object) -> asyncio.Task:
        task = asyncio.ensure_future(doing)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        self._tick(loop)
        self._ping(loop)
        for backend in self.backends:
            self.keep(backend.live())
        stdin = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(stdin), sys.stdin)
        while line := await stdin.readline():
            order = json.loads(line)
            for front in self.fronts[:order.get("restart", 0)]:
                front.live()
            print(json.dumps(self.told()), flush=True)

    def _tick(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.call_later(LOOK / LOOKS, self._tick, loop)
        self.turn += 1
        if self.waiting and self.turn % EVERY == 0:
            self.fronts.append(self.waiting.pop())
        for front in self.fronts[self.turn % LOOKS::LOOKS]:
            front.tick(time.monotonic())

    def _ping(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.call_later(PING, self._ping, loop)
        for front in self.fronts:
            for line in list(front.lines.values()):
                line.write(_PING)

    def told(self) -> dict:
        now = time.monotonic()
        return {"held": sum(f.session.allows(now) for f in self.fronts),
                "lines": sum(len(f.lines) for f in self.fronts), "sent": self.sent,
                "got": self.got, "kinds": self.kinds, "failed": self.failed, "beats": self.beats,
                "applied": {v: [len(at), max(at)] for v, at in self.applied.items()}, "lapsed": self.lapsed}


class ScaleSite(Site):
    """The real programs, each with a probe."""

    def settings(self, machine: str, role: str, first: bool) -> Path:
        path = super().settings(machine, role, first)
        path.write_text(path.read_text() + f"heartbeat_s={BEAT}\n")     # the later line counts
        return path

    async def start(self, machine: str, first: bool = False) -> None:
        for role in ("writ", "roll") if machine in self.cores else ("span",):
            self.running[machine, role] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "fennelpoint.standins.probed", str(self.probe(machine, role)), role,
                "--settings", str(self.settings(machine, role, first)),
                stderr=(self.root / f"{machine}-{role}.log").open("a"))

    def probe(self, machine: str, role: str) -> Path:
        return self.root / f"{machine}-{role}.probe"

    def look(self) -> dict:
        """Of each program: what its probe put down, its processor time (s), its memory (bytes)."""
        out = {}
        for (machine, role), process in self.running.items():
            fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            out[machine, role] = {**json.loads(self.probe(machine, role).read_text()), "clock": time.monotonic(),
                                  "cpu": (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"),
                                  "memory": int(fields[21]) * os.sysconf("SC_PAGE_SIZE")}
        return out


def between(before: dict, after: dict) -> dict:
    """By role, the mean over its processes: processor time, messages, bytes a second; memory; the worst pause."""
    out: dict = {}
    for role in ("roll", "writ", "span"):
        keys, rows = [k for k in after if k[1] == role and k in before], []
        for key in keys:
            a, b = before[key], after[key]
            span, words = b["clock"] - a["clock"], b["at"] - a["at"]
            rows.append({"seconds": (b["cpu"] - a["cpu"]) / span, "memory": b["memory"],
                         "out": (b["out"] - a["out"]) / words, "in": (b["in"] - a["in"]) / words,
                         "sent": (sum(b["sent"].values()) - sum(a["sent"].values())) / words,
                         "got": (sum(b["got"].values()) - sum(a["got"].values())) / words,
                         "held": [y - x for x, y in zip(a["held"], b["held"], strict=True)],
                         "longest": max(b["peaks"][len(a["peaks"]):], default=0.0)})
        if rows:
            out[role] = {k: sum(r[k] for r in rows) / len(rows) for k in rows[0] if k not in ("held", "longest")}
            kinds = Counter()
            for key in keys:
                kinds.update(after[key]["sent"])
                kinds.subtract(before[key]["sent"])
            out[role]["kinds"] = {k: n / len(rows) for k, n in kinds.most_common(6)}
            out[role]["longest"] = max(r["longest"] for r in rows)
            out[role]["held"] = [max(r["held"][i] for r in rows) for i in range(4)]
    return out


async def play(fronts: int, backends: int, seconds: float, storm: bool = False) -> dict:
    """What each role spends, quiet and through a burst of changes; raises RuntimeError where it does not start."""
    folder = tempfile.TemporaryDirectory(prefix="larchwing-scale-")
    site = ScaleSite(Path(folder.name))
    doors = [site.at(core, "control_plane") for core in site.cores]
    holders: list[asyncio.subprocess.Process] = []
    out: dict = {"fronts": fronts, "backends": backends}

    def put_now(version: int, base: int) -> int:
        body = json.dumps(configuration(300, 100, version, base, rate=2.0)).encode()
        try:
            return urllib.request.urlopen(urllib.request.Request(
                f"http://{doors[0]}/api/configuration", body, method="PUT"), timeout=4.0).status
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            return 0

    async def put(version: int, base: int) -> bool:
        return await asyncio.to_thread(put_now, version, base) == 200

    async def ask(order: dict) -> list[dict]:
        for holder in holders:
            holder.stdin.write(json.dumps(order).encode() + b"\n")
        return [json.loads(await holder.stdout.readline()) for holder in holders]

    try:
        for core in site.cores:
            await site.start(core, first=True)
        await until(lambda: put(1, 0), 30.0, "the first configuration")
        real = list(site.fronts)[:2]
        for front in real:
            await site.start(front, first=True)
        zones, count = list(ZONES), max(1, -(-fronts // EACH))
        ips = [(f"10.9.{i // 250}.{i % 250 + 1}", zones[i % 3]) for i in range(fronts)]

        async def hold(some: list, numbers: list[int]) -> None:
            what = {"seeds": list(site.cores.values()), "port": site.inner + 1, "doors": doors,
                    "fronts": some, "backends": numbers}
            holders.append(await asyncio.create_subprocess_exec(
                sys.executable, "-m", "fennelpoint.standins.hollow_site", json.dumps(what),
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE))

        # Backends first: those that appear one by one before many fronts are a step of their own (`storm`).
        if not storm:
            for i in range(-(-backends // 1500)):
                await hold([], list(range(backends))[i::-(-backends // 1500)])
            await asyncio.sleep(2.0 * BEAT)
        for i in range(count):
            await hold(ips[i::count], list(range(backends))[i::count] if storm else [])
        begun = time.monotonic()

        async def level() -> bool:
            return sum(told["held"] for told in await ask({})) >= fronts

        await until(level, 100.0, "all hollow fronts hold a lease")
        out["all_held_s"] = time.monotonic() - begun
        await asyncio.sleep(8.0)
        before, told = site.look(), await ask({})
        await asyncio.sleep(seconds)
        after, then = site.look(), await ask({})
        out["quiet"] = between(before, after)
        out["hollow"] = {key: sum(b[key] - a[key] for a, b in zip(told, then, strict=True)) / seconds
                         for key in ("sent", "got")}
        out["beats"] = sum(sum(b["beats"].values()) - sum(a["beats"].values())
                           for a, b in zip(told, then, strict=True)) / seconds
        acked = {}
        for version in (2, 3, 4):
            if not await put(version, version - 1):
                out.setdefault("not_acked", []).append(version)
            acked[version] = time.monotonic()
            await asyncio.sleep(0.2)
        await asyncio.sleep(4.0)
        late = await ask({})
        out["last_in_force_s"] = max((t["applied"].get("4", [0, acked[4] + 99.0])[1] for t in late if t["held"]),
                                     default=0.0) - acked[4]
        out["in_force_at"] = sum(t["applied"].get("4", [0, 0])[0] for t in late)
        out["burst"] = between(after, site.look())
        out["lapsed"] = sum(t["lapsed"] for t in late)
        out["failed"] = dict(sum((Counter(t["failed"]) for t in late), Counter()))
        before = site.look()
        await ask({"restart": 1})
        await asyncio.sleep(3.0)
        out["restarted"], out["restarts"] = between(before, site.look()), count
        out["held_at_end"] = sum(t["held"] for t in await ask({}))
    finally:
        for holder in holders:
            holder.stdin.close()
            holder.kill()
            await holder.wait()
        await site.stop()
        folder.cleanup()
    return out


if __name__ == "__main__":
    uvloop.run(Holder(json.loads(sys.argv[1])).run())
