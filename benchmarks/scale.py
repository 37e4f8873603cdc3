"""How each role grows with fronts, backends, routes and tenants: the figures of docs/CAPACITY.md.

Usage:
  scale.py --step STEP [--out FILE]
  scale.py --all [--out FILE]
  scale.py --fold FILE... [--plots FOLDER]
  scale.py -h | --help

Options:
  --step STEP     one step, as fronts=640, or machine=6200,14000 (see below)
  --out FILE      add the step's figures to this file, a JSON object a line; else they are printed
  --all           every step of the page, one after another, each in a process of its own
  --fold          fit the figures of these files and print the tables
  --plots FOLDER  draw a plot for each growth, too (needs the extra `plots`)

Steps.  Of deciders without sockets, by processor time, so that a busy machine does not change them much:
  fronts=N             N hollow fronts that all ask one core machine, which does not reckon parts
  reckons=N            the same, and it reckons them, of two tenants
  machine=F,B          one of fourteen core machines of a system of F fronts and B backends, quiet
  restarts=F           one of fourteen core machines of a system of F fronts, while one front after another restarts
  births=F,B           B backends that appear one after another before F fronts
  config=R,T           a configuration of R routes and T tenants: sizes, and time of each thing done to it
  apply=R,T,B          that one taken in force at a front that knows B backends, and a change of its list
  steward=T,F,RATE     one ask for parts, and one draw, with T tenants of that rate before F fronts
  value=F              the agreed value with F fronts enrolled: sent, read, written
  list=B               the whole list of B backends for a front that connects
  directory=F          one client's question for fronts
Of real processes on loopback, with hollow fronts and backends at their sockets:
  processes=F,B,S      three core machines, two fronts, F hollow fronts, B hollow backends; S seconds
  storm=F,B,S          the same, but all backends appear one by one once the fronts are there
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import subprocess
import sys
import time
import zlib
from collections.abc import Callable
from pathlib import Path
from random import Random
from statistics import median
from time import thread_time

from docopt import docopt

from fennelpoint.standins.hollow import ZONES, Table, configuration
from fennelpoint.system import versions
from fennelpoint.system.frames import Unpacker, pack
from fennelpoint.system.roll.allocator import Allocator
from fennelpoint.system.roll.view import Backends, Members, Told

PLAY = 4.0      # s that a table is played for a figure
RESTARTS = 4    # one after another
ALL = (
    *(f"fronts={n}" for n in (10, 40, 160, 640, 2000)), *(f"reckons={n}" for n in (10, 40, 160, 640)),
    "machine=700,1580", "machine=1550,3500", "machine=3100,7000", "machine=6200,14000",
    "machine=6200,0", "machine=1550,14000", "restarts=1550", "restarts=3100", "restarts=6200", "births=40,100",
    "births=160,400",
    *(f"config={r},2" for r in (300, 1000, 3000, 10000, 21000)), *(f"config=300,{t}" for t in (1000, 8000, 32000)),
    "config=21000,130000", "apply=1000,2,100", "apply=3000,2,1000", "apply=21000,2,1000", "apply=21000,2,14000",
    "apply=3000,8000,1000", "apply=3000,32000,1000", "apply=21000,130000,14000",
    *(f"steward={t},40,6" for t in (100, 1000, 10000, 130000)), *(f"steward=100,{f},6" for f in (10, 160, 640, 6200)),
    *(f"steward={t},40,1000" for t in (10, 100, 1000)), *(f"steward=100,{f},100000" for f in (10, 160, 640)),
    *(f"value={f}" for f in (10, 100, 1000, 6200, 20000)),
    *(f"list={b}" for b in (100, 1000, 4000, 14000)), *(f"directory={f}" for f in (10, 100, 1000, 6200)),
    "processes=10,100,15", "processes=40,100,15", "processes=160,500,15", "processes=640,2000,20",
    "processes=1300,2000,20")


def spent(do: Callable[[], object], least: float = 0.2, most: int = 200) -> tuple[float, object]:
    """Seconds of processor time of one call, the median of as many as fit in `least` s; and what it gave."""
    taken, made = [], None
    while not taken or sum(taken) < least and len(taken) < most:
        begun = thread_time()
        made = do()
        taken.append(thread_time() - begun)
    return median(taken), made


def memory() -> int:
    """Bytes of this process that are in memory."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


# Deciders at a table

def _rates(table: Table, seconds: float) -> dict:
    """Per role and second: processor time, messages, bytes, each by kind."""
    return {role: {"seconds": sum(c.seconds.values()) / seconds, "longest": c.longest,
                   "messages": sum(c.messages.values()) / seconds, "bytes": sum(c.bytes.values()) / seconds,
                   "by_seconds": {k: v / seconds for k, v in c.seconds.most_common(8)},
                   "by_bytes": {k: v / seconds for k, v in c.bytes.most_common(8)},
                   "by_messages": {k: v / seconds for k, v in c.messages.most_common(8)}}
            for role, c in table.costs.items()}


def fronts(n: int, reckons: bool = False) -> dict:
    table = Table(n, reckons=reckons)
    table.run(PLAY)
    out = _rates(table, PLAY)
    table.clear()
    table.put(configuration(3, 2, 2, 1))
    table.run(1.0)
    late = [at - (table.now - 1.0 - 0.3) for at in table.applied.values()]
    return {**out, "held": sum(f.held for f in table.fronts.values()), "applied": len(late),
            "change_bytes": table.costs["roll"].bytes["content"] + table.costs["roll"].bytes["world"],
            "change_seconds": sum(table.costs["roll"].seconds[k] for k in ("content", "world", "need"))}


def machine(n: int, backends: int) -> dict:
    gc.collect()
    table = Table(n, backends, cores=14, reckons=False)
    table.run(PLAY)
    return {**_rates(table, PLAY), "asks": len(table.asks), "connected": len(table.fronts),
            "own_backends": len(table.mine), "held": sum(table.fronts[ip].held for ip in table.asks),
            "sweep_s": spent(lambda: table.desk.backends.sweep(table.now, 1.5))[0]}


def restarts(n: int) -> dict:
    """Some of a machine's fronts come back one after another, each not ready for a moment."""
    table = Table(n, 0, cores=14, reckons=False)
    table.run(PLAY)
    quiet = _rates(table, PLAY)
    table.clear()
    for ip in sorted(table.asks)[:RESTARTS]:
        table.connect(ip)
        table.run(1.2)
    busy = _rates(table, 1.2 * RESTARTS)
    more = {key: (busy["roll"][key] - quiet["roll"][key]) * 1.2 for key in ("seconds", "messages", "bytes")}
    return {"a_restart": more, "connected": len(table.fronts), "by_bytes": busy["roll"]["by_bytes"],
            "by_seconds": busy["roll"]["by_seconds"]}


def births(n: int, backends: int) -> dict:
    """Backends that appear one after another before fronts that are connected."""
    table = Table(n, reckons=False)
    for i in range(backends):
        table.beat(f"backend-{i:05}", i)
    table.run(0.5)
    roll, span = table.costs["roll"], table.costs["span"]
    return {"messages": roll.messages["list"], "bytes": roll.bytes["list"],
            "seconds": roll.seconds["list"] + roll.seconds["beat"], "front_seconds": span.seconds["list"]}


# Configurations

def config(routes: int, tenants: int) -> dict:
    from fennelpoint.system.forms import check

    value = configuration(routes, tenants)
    body = versions.encode(value)
    out = {"bytes": len(body)}
    out["decode_s"], _ = spent(lambda: versions.decode(body).ok_value)
    out["check_s"], checked = spent(lambda: check(value))
    if checked.is_err():
        raise RuntimeError(checked.err_value)
    out["encode_s"], data = spent(lambda: versions.encode(value))
    out["pack_s"], packed = spent(lambda: zlib.compress(data, 1))
    out["packed_bytes"] = len(packed)
    out["unpack_s"], data = spent(lambda: zlib.decompress(packed))
    out["read_s"], _ = spent(lambda: json.loads(data))
    out["compile_s"], _ = spent(lambda: versions.compile_version(data))
    out["frame_s"], _ = spent(lambda: pack(["content", "d" * 32, packed]))
    checked = value = _ = None
    gc.collect()
    before = memory()
    held = versions.compile_version(data)
    gc.collect()
    out["version_bytes"], out["hosts"] = memory() - before, len(held.hosts)
    change = {"version": 2, "base_version": 1, "upsert": {"tenants": [
        {"name": "tenant-000000", "api_keys": ["k" * 20], "rate_per_s": 5, "burst_size": 5}]}}
    out["change_bytes"] = len(zlib.compress(versions.encode(change), 1))
    return out


def _told(i: int, seq: int = 1) -> Told:
    draw = Random(i)    # ids, places and counts as they are: hardly any two alike
    return Told(f"i-{draw.getrandbits(32):08x}", f"10.{i % 65}.{draw.randrange(250)}.{draw.randrange(250)}:9000",
                f"service-{draw.randrange(720):03}", f"z{i % 65:02}", draw.randrange(1, 33),
                f"v{draw.randrange(1, 4)}", "ready", seq + draw.randrange(100_000), 0.0, draw.random() * 1.5)


def apply(routes: int, tenants: int, backends: int) -> dict:
    """At the real front's program, not started: its loop is held so long."""
    from fennelpoint.system.settings import Listen, Settings
    from fennelpoint.system.span.program import Program

    value = configuration(routes, tenants)
    data = zlib.compress(versions.encode(value), 1)
    services = len(value["clusters"])
    del value

    async def play() -> dict:
        settings = Settings("front", "span", "127.0.0.1", "z00", "r00", ZONES, (7600, 7602), [("127.0.0.1", 8200)],
                            Listen(("127.0.0.1", 8206), ("127.0.0.1", 8201)))
        program = Program(asyncio.get_running_loop(), settings)
        gc.collect()
        before = memory()
        for i in range(backends):
            program.session.backends.fold(_told(i), time.monotonic())
        out = {"list_memory": memory() - before}

        async def settle() -> None:     # what it left for later turns of the loop
            for _ in range(20):
                await asyncio.sleep(0)

        async def held(do: Callable[[], object]) -> float:
            begun = thread_time()
            do()
            await settle()
            return thread_time() - begun

        before = memory()
        out["first_s"] = await held(lambda: program._apply(1, data))
        out["cells_used"] = 0
        out["again_s"] = await held(lambda: program._apply(2, data))
        out["refresh_s"] = await held(program._refresh)
        for i in range(services):       # each service was asked for since
            program.reader.cells[f"service-{i:03}"] = (f"service-{i:03}", None)
        out["cells_used"] = services
        out["refresh_used_s"] = await held(program._refresh)
        out["again_used_s"] = await held(lambda: program._apply(3, data))
        gc.collect()
        out["config_memory"] = memory() - before
        program.reader.asked = {f"tenant-{i:06}": 1 for i in range(min(200, tenants))}
        return out

    return {"packed_bytes": len(data), **asyncio.run(play())}


# Parts

def steward(tenants: int, n: int, rate: int) -> dict:
    rates = {f"tenant-{i:06}": float(rate) for i in range(tenants)}
    gc.collect()
    before, now = memory(), 1000.0
    made = Allocator([1, "me"], (), now)
    ips = [Table.ip(i) for i in range(n)]
    made.enrol(ips)
    now += 10.0
    few = dict(list(rates.items())[:2])
    for ip in ips:
        made.want(ip, 1, "r00", [[1, "me"], 0], {}, None, few, {}, now)
    asked = {f"tenant-{i:06}": 1 for i in range(0, min(tenants, 20))}
    turn = iter(range(10 ** 9))

    def want() -> object:
        ip = ips[next(turn) % n]
        return made.want(ip, 1, "r00", [[1, "me"], made.fronts[ip].grants[-1].number], asked, None, rates, {}, now)

    first = spent(want, least=0.0)[0]
    out = {"first_s": first, "want_s": spent(want, least=1.5, most=60)[0]}
    drawn = ["tenant-000000", "tenant-000001", "tenant-000002"]
    out["grant_bytes"] = len(pack(["lend", "10.0.0.1", 1.0, [1, "me"], 1, made.fronts[ips[0]].grants[-1].pack()]))
    bursts = dict.fromkeys(drawn, 2.0 * rate)

    def draw() -> object:
        return made.draw(ips[0], dict.fromkeys(drawn, 1), rates, bursts, 20.0, now)

    out["draw_s"] = spent(draw, least=0.05, most=5000)[0]
    now += 1.0      # the part of the pool is reckoned anew each tenth of a second
    out["draw_later_s"] = spent(draw, least=0.0)[0]
    gc.collect()
    out["memory"] = memory() - before
    # One front at the peak: 140 requests a second of as many tenants, told twice a second; they fade at the reckoner.
    random, front = Random(5), made.fronts[ips[0]]
    for _ in range(120):
        now += 0.5
        asked = {f"tenant-{random.randrange(tenants):06}": 1 for _ in range(70)}
        begun = thread_time()
        made.want(ips[0], 1, "r00", [[1, "me"], front.grants[-1].number], asked, None, {}, {}, now)
        out["fading_s"] = thread_time() - begun
    out["fading"] = len(front.asked)
    out["ask_bytes"] = len(pack(["ask", 1000.25, True, 9, [[[1, "10.0.0.1"], 7], asked, None], 9]))
    out["draw_bytes"] = len(pack(["draw", 1000.25, {"tenant-000000": 1}]))
    out["drawn_bytes"] = len(pack(["drawn", "10.0.0.1", 1000.25, {"tenant-000000": 1}]))
    out["units_bytes"] = len(pack(["units", 1000.25, [1, "10.0.0.1"], {"tenant-000000": 1}, {}, []]))
    frame = pack(["drawn", "10.0.0.1", 1000.25, {"tenant-000000": 1}])
    out["draw_wire_s"] = spent(lambda: (pack(["units", "10.0.0.1", 1000.25, [1, "10.0.0.1"], {"tenant-000000": 1}, {},
                                             []]), list(Unpacker().feed(frame))), least=0.05, most=5000)[0]
    return out


# What is sent whole

def value(n: int) -> dict:
    from fennelpoint.system.writ.world import empty

    world = {**empty({f"10.0.0.{i}": f"z{i:02}" for i in range(5)}), "fronts": {Table.ip(i): 1 for i in range(n)},
             "ready": {f"10.0.0.{i}": f"z{i:02}" for i in range(5, 14)}, "version": 9, "digest": "d" * 32,
             "past": [[i, f"{Random(i).getrandbits(128):032x}"] for i in range(24)], "rev": 9, "term": 3,
             "log": [[512 * i, f"{Random(-i).getrandbits(128):032x}"] for i in range(1, 9)]}
    out = {"bytes": len(json.dumps(world))}
    out["pack_s"], frame = spent(lambda: pack(["newest", 7, world]))
    out["frame_bytes"] = len(frame)
    out["unpack_s"], _ = spent(lambda: list(Unpacker().feed(frame)))
    out["json_s"], _ = spent(lambda: json.dumps(world))
    return out


def listed(n: int) -> dict:
    items = [[*_told(i).pack(), False] for i in range(n)]
    message = ["list", 1, 1, items, True]
    out = {}
    out["pack_s"], frame = spent(lambda: pack(message))
    out["bytes"], out["raw_bytes"] = len(frame), len(json.dumps(items))
    out["unpack_s"], (read,) = spent(lambda: list(Unpacker().feed(frame)))

    def fold() -> object:
        held = Backends()
        for *item, _ in read[3]:
            held.fold(Told(*item), 1000.0)
        return held

    out["fold_s"], held = spent(fold)
    out["tell_s"], _ = spent(lambda: pack(["front", {}, [b.now(1001.0).pack() for b in held.known.values()]]))
    out["take_s"], _ = spent(lambda: [held.fold(Told(*item[:10]), 1000.0) for item in read[3]])
    return out


def directory(n: int) -> dict:
    members, zones = Members(), list(ZONES)
    for i in range(n):
        members.fold(Table.ip(i), f"{Table.ip(i)}:8206", zones[i % 65], ZONES[zones[i % 65]], 7, True, 1, 0.0, 1000.0)
    names = sorted(members.known)
    out = {"resolve_s": spent(lambda: members.near("z01", "r01", 1000.5, 1.8))[0]}
    out["fronts_s"], frame = spent(lambda: pack(["fronts", names]))
    return {**out, "fronts_bytes": len(frame)}


def processes(n: int, backends: int, seconds: int, storm: bool = False) -> dict:
    from fennelpoint.standins.hollow_site import play

    return asyncio.run(play(n, backends, seconds, storm))


STEPS: dict[str, Callable[..., dict]] = {
    "fronts": fronts, "reckons": lambda n: fronts(n, True), "machine": machine, "restarts": restarts,
    "births": births, "config": config, "apply": apply, "steward": steward, "value": value, "list": listed,
    "directory": directory, "processes": processes, "storm": lambda *sizes: processes(*sizes, storm=True)}


def run(step: str, out: str | None) -> None:
    """One step; raises KeyError and ValueError where there is none of that name."""
    name, _, numbers = step.partition("=")
    sizes, begun = [int(n) for n in numbers.split(",")], time.monotonic()
    figures = STEPS[name](*sizes)
    line = json.dumps({"step": name, "sizes": sizes, "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
                       "took_s": round(time.monotonic() - begun, 1), "load": round(os.getloadavg()[0], 1),
                       "figures": _round(figures)})
    if out is None:
        print(line)
    else:
        with open(out, "a") as file:
            file.write(line + "\n")


def _round(what: object) -> object:
    if isinstance(what, dict):
        return {k: _round(v) for k, v in what.items()}
    return float(f"{what:.4g}") if isinstance(what, float) else what


if __name__ == "__main__":
    asked = docopt(__doc__)
    if asked["--step"]:
        run(asked["--step"], asked["--out"])
    elif asked["--all"]:
        for one in ALL:
            print(one, file=sys.stderr, flush=True)
            subprocess.run([sys.executable, __file__, "--step", one, *(["--out", asked["--out"]] if asked["--out"]
                                                                       else [])], check=True)
    else:
        from growth import fold

        fold(asked["FILE"], asked["--plots"])
