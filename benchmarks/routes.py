"""Look-ups, loads and memory with 10, 1,000 and 10,000 operations: `python benchmarks/routes.py`."""

from __future__ import annotations

import gc
import pickle
import platform
import resource
import subprocess
import sys
import tempfile
import time
import timeit
from pathlib import Path

from describing import description, paths

from fennelpoint.__main__ import GC_THRESHOLDS
from fennelpoint.demo import EXAMPLE
from fennelpoint.routes.description import load
from fennelpoint.routes.table import RouteTable
from fennelpoint.routes.worker import read_now
from fennelpoint.settings import from_json
from fennelpoint.testing import SETTINGS

SIZES, ROUNDS, CALLS = (10, 1_000, 10_000), 7, 2_000


def look_up_us(table: RouteTable, targets: list[bytes]) -> float:
    """Microseconds of one look-up with its method, the best of some rounds."""
    def play() -> None:
        for target in targets:
            table.look_up(target)[1].get(b"GET")

    return min(timeit.repeat(play, number=CALLS, repeat=ROUNDS)) / CALLS / len(targets) * 1e6


def main() -> None:
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)    # as the ingress has them
    print(f"{platform.processor() or platform.machine()}, Python {platform.python_version()}")
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        for size in SIZES:
            path = Path(folder) / f"{size}.yaml"
            path.write_text(description(size))
            begun = time.perf_counter()
            end = read_now(str(path), from_json(SETTINGS), 2048, 120.0)
            read_s = time.perf_counter() - begun
            assert not end.faults, end.faults[0]
            table, longest, begun = RouteTable(), 0.0, time.perf_counter()
            for chunk in end.chunks:
                part = time.perf_counter()
                table.add(pickle.loads(chunk))
                longest = max(longest, time.perf_counter() - part)
            made_s = time.perf_counter() - begun
            templated = look_up_us(table, [p.encode() for p in paths(size)])
            code = ("import resource, sys\nfrom fennelpoint.routes.worker import read_now\n"
                    "def rss(): return int(open('/proc/self/statm').read().split()[1]) * 4096 / 1e6\n"
                    "end = read_now(sys.argv[1], None, 2048, 120.0)\nbefore = rss()\ntable = end.table()\n"
                    "del end\nprint(rss() - before,"
                    " resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1e3)")
            grown, reader = subprocess.run([sys.executable, "-c", code, str(path)], stdout=subprocess.PIPE,
                                           text=True, check=True).stdout.split()
            rows.append((size, path.stat().st_size / 1e6, templated, read_s, made_s * 1e3, longest * 1e3,
                         float(grown), float(reader)))
    base = rows[0][2]
    print("operations  file MB  look-up us  (ratio)  read s  table ms  longest part ms  table MB  reader MB")
    for size, file, us, read_s, made, longest, grown, reader in rows:
        print(f"{size:>10}{file:>9.2f}{us:>12.2f}{us / base:>9.2f}{read_s:>8.2f}{made:>10.1f}{longest:>17.1f}"
              f"{grown:>10.1f}{reader:>11.0f}")
    concrete = RouteTable(load(EXAMPLE).routes)
    print(f"a concrete path: {look_up_us(concrete, [b'/v1/slots'] * 16):.2f} us")
    print(f"peak of this process: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3:.0f} MB")


if __name__ == "__main__":
    main()
