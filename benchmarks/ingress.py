"""The ingress beside a bare pass-through, with and without a description: `python benchmarks/ingress.py`.

All variants are up at once and loaded in turn, round by round, so that the machine's moods fall on all alike.
In each round a variant is first driven as fast as it goes (requests a second, CPU a request), then at a fixed
rate that all can bear (p50 and p99).  Quotas are out of reach: nothing is refused.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import platform
import statistics
import sys
import tempfile
from pathlib import Path

from describing import description, paths

from fennelpoint.testing import SETTINGS, Count, List, member
from fennelpoint.testing.process import IngressProcess

QUOTAS = [{"name": "basic", "pays": 1.0, "quota_rate": 1e6, "store_size": 1e6}]
CONNECTIONS, TICKS = 16, os.sysconf("SC_CLK_TCK")
FIELDS = ("Host: app.svc\r\nX-Txn: @TXN\r\nApi-Plan: basic\r\nCookie: account=@ACCOUNT\r\n"
          "X-Remaining-Ms: 2000\r\nUser-Agent: agency/1.0\r\nAccept: application/json\r\n")


def cpu_seconds(pid: int) -> float:
    """User and system time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def fast(*words: str) -> tuple[asyncio.subprocess.Process, str]:
    """A quick stand-in as a process, and the address that it says."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "fennelpoint.testing.load_generator", *words, stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE)
    return process, (await process.stdout.readline()).decode().strip()


async def load(address: str, templates: list[str], seconds: float, rate: float) -> dict:
    spec = {"address": address, "templates": templates, "connections": CONNECTIONS, "seconds": seconds,
            "rate": rate}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "fennelpoint.testing.load_generator", "load", json.dumps(spec),
        stdout=asyncio.subprocess.PIPE)
    return json.loads((await process.communicate())[0])


def templates(targets: list[str], by_hand: bool) -> list[str]:
    """One booking for three look-ups, as the hand-written form says them, or by the description alone."""
    look = "X-Lane: look\r\nApi-Terms: units=1,spread=2,first=0\r\n" if by_hand else (
        "Api-Terms: spread=2,first=0\r\n")
    book = "X-Lane: book\r\nApi-Terms: units=2,spread=2,first=0\r\n" if by_hand else (
        "Api-Terms: spread=2,first=0\r\n")
    out = []
    for i, target in enumerate(targets):
        if i % 4 == 3:
            out.append(f"POST {target} HTTP/1.1\r\n{FIELDS}{book}Content-Length: 64\r\n\r\n{'b' * 64}")
        else:
            out.append(f"GET {target} HTTP/1.1\r\n{FIELDS}{look}\r\n")
    return out


async def main(rounds: int, seconds: float, rate: float) -> None:
    settings = {**SETTINGS, "contracts": QUOTAS}
    servers = [await fast("serve") for _ in range(2)]
    bare, bare_address = await fast("pass", servers[0][1])
    discovery, counter = List([member(f"s-{i}", a) for i, (_, a) in enumerate(servers)]), Count()
    told = await discovery.start(), await counter.start()
    with tempfile.TemporaryDirectory() as folder:
        ingresses = {"ingress, by hand": IngressProcess(settings, *told)}
        for size in (10, 10_000):
            path = Path(folder) / f"{size}.yaml"
            path.write_text(description(size))
            ingresses[f"ingress, {size} operations"] = IngressProcess(settings, *told, path)
        for ingress in ingresses.values():
            await ingress.start(60.0)
        variants = {"pass-through": (bare.pid, bare_address, templates(paths(10), True))}
        for name, ingress in ingresses.items():
            size = int(name.split()[1]) if "operations" in name else 10
            variants[name] = (ingress.process.pid, f"127.0.0.1:{ingress.address[1]}",
                              templates(paths(size), "by hand" in name))
        seen: dict[str, list[tuple]] = {name: [] for name in variants}
        order = list(variants)
        for turn in range(rounds):  # each is first, second and so on in turn
            for name in order[turn % len(order):] + order[:turn % len(order)]:
                pid, address, sent = variants[name]
                before = cpu_seconds(pid)
                full = await load(address, sent, seconds, 0.0)
                cpu = (cpu_seconds(pid) - before) / full["answers"]
                paced = await load(address, sent, seconds, rate)
                assert set(full["statuses"]) == set(paced["statuses"]) == {"200"}, (name, full, paced)
                seen[name].append((full["answers"] / full["seconds"], cpu * 1e6, paced["p50"] * 1e3,
                                   paced["p99"] * 1e3))
        for ingress in ingresses.values():
            await ingress.stop()
    for process, _ in [*servers, (bare, "")]:
        process.stdin.close()
        await process.wait()
    discovery.stop()
    counter.stop()
    print(f"{platform.machine()}, {os.cpu_count()} processors, Python {platform.python_version()}; {rounds} "
          f"rounds of {seconds:g} s, {CONNECTIONS} connections, p50 and p99 at {rate:g} a second; medians")
    print(f"{'':<28}{'CPU ratio':>10}{'to by hand':>12}{'requests/s':>12}{'CPU us':>9}{'p50 ms':>9}"
          f"{'p99 ms':>9}")
    for name, rows in seen.items():
        ratio, to_hand = (statistics.median(
            row[1] / other[1] for row, other in zip(rows, seen[base], strict=True))
            for base in ("pass-through", "ingress, by hand"))
        middle = [statistics.median(column) for column in zip(*rows, strict=True)]
        print(f"{name:<28}{ratio:>10.2f}{to_hand:>12.2f}{middle[0]:>12.0f}{middle[1]:>9.1f}{middle[2]:>9.2f}{middle[3]:>9.2f}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--rate", type=float, default=800.0)
    given = parser.parse_args()
    asyncio.run(main(given.rounds, given.seconds, given.rate))
