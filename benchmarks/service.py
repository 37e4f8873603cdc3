"""What serving day by day costs, beside another commit: `python benchmarks/service.py --against REV`.

Both trees are up at once and measured in turn, round by round: CPU a small request, CPU a megabyte of large
answers, the time to the first byte of one that comes slowly, the memory that 64 answers of 32 MB to readers
that stop take at most, and the slowest answer of the operators' door while clients ask as fast as they can.
A tree that can't do a thing shows a dash there.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import platform
import statistics
import subprocess
import tempfile
import time
from pathlib import Path

from describing import paths
from ingress import QUOTAS, cpu_seconds, fast, load, templates

from fennelpoint.testing import SETTINGS, Count, Fake, List, member, read_message, request
from fennelpoint.testing.process import IngressProcess

MB = 1 << 20
SIZE, READERS = 32 * MB, 64
ROOT = Path(__file__).parent.parent


async def large(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A backend of large answers: /big at once, /slow a first part and the rest a second later."""
    piece = bytes(MB)
    while True:
        line, _, _ = await read_message(reader)
        size = SIZE if "/big" in line else MB
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        if "/slow" in line:
            writer.write(piece[:MB // 8])
            await asyncio.sleep(1.0)
            writer.write(piece[MB // 8:])
        else:
            for _ in range(size // MB):
                writer.write(piece)
                await writer.drain()


class Variant:
    """One tree's ingresses: one before small answers, one before large ones."""

    def __init__(self, name: str, tree: Path, small: tuple[str, str], big: tuple[str, str]) -> None:
        settings = {**SETTINGS, "contracts": QUOTAS}
        self.name = name
        self.small, self.big = (IngressProcess(settings, *told, tree=tree) for told in (small, big))
        self.seen: dict[str, list[float]] = {}

    def note(self, what: str, figure: float) -> None:
        self.seen.setdefault(what, []).append(figure)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.big.address, limit=64 * 1024)

    async def small_requests(self, seconds: float) -> None:
        """CPU a request at full load."""
        before = cpu_seconds(self.small.process.pid)
        told = await self._load(seconds)
        spent = cpu_seconds(self.small.process.pid) - before
        self.note("CPU a small request, us", spent / told["answers"] * 1e6)
        self.note("small requests a second", told["answers"] / told["seconds"])

    async def _load(self, seconds: float) -> dict:
        told = await load("{}:{}".format(*self.small.address), templates(paths(10), True), seconds, 0.0)
        assert set(told["statuses"]) == {"200"}, (self.name, told)
        return told

    async def door(self, seconds: float) -> None:
        """Its slowest answer at full load."""
        calls = []

        async def knock() -> None:
            while True:
                began = time.monotonic()
                if not (await self.small.call("ready")).startswith("ACK"):
                    return
                calls.append((time.monotonic() - began) * 1e3)
                await asyncio.sleep(0.02)
        knocking = asyncio.ensure_future(knock())
        await self._load(seconds)
        knocking.cancel()
        if calls:
            self.note("the door's slowest answer, ms", max(calls))

    async def megabytes(self) -> None:
        before, got = cpu_seconds(self.big.process.pid), 0
        reader, writer = await self.connect()
        for _ in range(4):
            writer.write(request(path="/big", left=60_000))
            head = await reader.readuntil(b"\r\n\r\n")
            if b" 200 " not in head.split(b"\r\n")[0]:
                break
            for _ in range(SIZE // MB):
                got += len(await reader.readexactly(MB))
        writer.close()
        if got:
            spent = cpu_seconds(self.big.process.pid) - before
            self.note("CPU a MB passed on, us", spent / (got / MB) * 1e6)

    async def first_byte(self) -> None:
        reader, writer = await self.connect()
        began = time.monotonic()
        writer.write(request(path="/slow", left=60_000))
        head = await reader.readuntil(b"\r\n\r\n")
        if b" 200 " in head.split(b"\r\n")[0]:
            await reader.readexactly(1)
            self.note("to the first byte of a slow MB, ms", (time.monotonic() - began) * 1e3)
        writer.close()

    async def memory(self) -> None:
        """The most that was resident while readers took 64 KiB a second each."""
        status = Path(f"/proc/{self.big.process.pid}/status")
        before = self._figure(status, "VmRSS")
        pairs = [await self.connect() for _ in range(READERS)]
        served = 0
        for reader, writer in pairs:
            writer.write(request(path="/big", left=60_000))
            try:
                served += b" 200 " in await reader.readuntil(b"\r\n")
            except asyncio.IncompleteReadError:
                break       # it does not serve these
        most = before
        for _ in range(12):
            for reader, _ in pairs:
                await reader.read(16 * 1024)
            most = max(most, self._figure(status, "VmRSS"))
            await asyncio.sleep(0.25)
        for _, writer in pairs:
            writer.transport.abort()
        if served == READERS:
            self.note(f"memory at {READERS} slow readers of 32 MB, MB", most)
            self.note("memory before, MB", before)

    @staticmethod
    def _figure(status: Path, name: str) -> float:
        line = next(line for line in status.read_text().splitlines() if line.startswith(name))
        return int(line.split()[1]) / 1024


async def main(against: str, rounds: int, seconds: float) -> None:
    servers = [await fast("serve") for _ in range(2)]
    big = Fake(large)
    await big.start()
    lists = (List([member(f"s-{i}", a) for i, (_, a) in enumerate(servers)]),
             List([member("s-0", big.address)]))
    counts = Count(), Count()
    told = [(await one.start(), await count.start()) for one, count in zip(lists, counts, strict=True)]
    with tempfile.TemporaryDirectory() as folder:
        other = Path(folder) / "tree"
        subprocess.run(["git", "worktree", "add", "--detach", "-f", str(other), against], cwd=ROOT,
                       check=True, capture_output=True)
        variants = [Variant(against, other, *told), Variant("this tree", ROOT, *told)]
        try:
            for variant in variants:
                await variant.small.start(60.0)
                await variant.big.start(60.0)
            for turn in range(rounds):
                for variant in variants[::1 if turn % 2 else -1]:
                    await variant.small_requests(seconds)
                    await variant.door(seconds / 2)
                    await variant.megabytes()
                    await variant.first_byte()
            for variant in variants:
                await variant.memory()
        finally:
            for variant in variants:
                await variant.small.stop()
                await variant.big.stop()
            subprocess.run(["git", "worktree", "remove", "--force", str(other)], cwd=ROOT, check=True,
                           capture_output=True)
    for process, _ in servers:
        process.stdin.close()
        await process.wait()
    for fake in (big, *lists, *counts):
        fake.stop()
    print(f"{platform.machine()}, {os.cpu_count()} processors, Python {platform.python_version()}; {rounds} "
          f"rounds of {seconds:g} s; medians, the door's the worst")
    print(f"{'':<44}{'ratio':>8}" + "".join(f"{v.name:>14}" for v in variants))
    for what in dict.fromkeys(what for v in reversed(variants) for what in v.seen):
        middle = [(max if "slowest" in what else statistics.median)(v.seen[what]) if what in v.seen else None
                  for v in variants]
        ratio = f"{middle[1] / middle[0]:.2f}" if None not in middle and middle[0] else "-"
        print(f"{what:<44}{ratio:>8}" + "".join(f"{'-' if m is None else f'{m:.1f}':>14}" for m in middle))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", default="HEAD~1")
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=2.0)
    given = parser.parse_args()
    asyncio.run(main(given.against, given.rounds, given.seconds))
