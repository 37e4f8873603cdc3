"""The rule on ceilings over drawn days: `python benchmarks/ceilings.py [--days 4000] [--first 0]`.

No sockets, simulated time, a checker that shares nothing with the module
(`fennelpoint/testing/ceilings.py`).  Prints the days that came nearest, and by what went on in them.
"Nearness" is the most that was out of a customer's ceiling over what the rule allows (over 1 it is broken),
"let in" the units sent on over those that were asked for, "calls" to the counter a try.
"""

from __future__ import annotations

import argparse
import os
import platform
import time
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor

from fennelpoint.testing.ceilings import Day

Row = tuple[float, float, int, int, int, float, float, tuple[str, ...]]


def one(seed: int) -> Row:
    day = Day(seed).play()
    sent = sum(rule.units for rule in day.exact.values())
    return (day.nearness, day.overshoot, seed, day.calls, day.asked, sent, day.offered, day.kinds)


def line(name: str, rows: list[Row]) -> str:
    asked, offered = sum(r[4] for r in rows), sum(r[6] for r in rows)
    return (f"{name:22} {len(rows):6} {sum(r[1] > 1e-6 for r in rows):7} {max(r[0] for r in rows):9.3f} "
            f"{max(r[1] for r in rows):10.2f} {sum(r[5] for r in rows) / offered:8.3f} "
            f"{sum(r[3] for r in rows) / asked:7.3f}")


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--days", type=int, default=4000)
    options.add_argument("--first", type=int, default=0, help="seed of the first")
    chosen = options.parse_args()
    began = time.perf_counter()
    with ProcessPoolExecutor() as pool:
        rows = list(pool.map(one, range(chosen.first, chosen.first + chosen.days), chunksize=16))
    print(f"{platform.machine()}, {os.cpu_count()} processors, Python {platform.python_version()}, "
          f"{time.perf_counter() - began:.0f} s")
    print(f"{'':22} {'days':>6} {'broken':>7} {'nearness':>9} {'overshoot':>10} {'let in':>8} {'calls':>7}")
    print(line("all", rows))
    by_kind: dict[str, list[Row]] = defaultdict(list)
    for row in rows:
        for kind in set(row[7]):
            by_kind[kind].append(row)
    for kind in sorted(by_kind):
        print(line(f"with {kind}", by_kind[kind]))
    for nearness, overshoot, seed, *_ in sorted(rows, reverse=True)[:5]:
        print(f"nearest: seed {seed}, nearness {nearness:.3f}, {-overshoot:.1f} units left")


if __name__ == "__main__":
    main()
