"""What a decider costs in a small and in a large fleet: `python benchmarks/fleet.py`.

No sockets, simulated time: 3 ingresses before 10 backends and 40 before 60, 12 tries a second at each.  Two
in three customers ask for 0.4 of their quota, the others for 3 times as much; variants side by side.
"Inside" is what was sent within an exact bucket over what such a bucket would let in, "beyond" what was sent
outside of it over the same, "kB a node" what the decision module holds at the end.
"""

from __future__ import annotations

import os
import platform
import time
import tracemalloc

from fennelpoint.settings import from_json
from fennelpoint.testing import SETTINGS
from fennelpoint.testing.controller_simulation import Fleet

RATE, BURST, EACH, SECONDS = 1.0, 4.0, 12.0, 30.0
CALM, HEAVY = 0.4, 3.0      # of the quota
MODULE = ("control", "slow_start", "state", "bookkeeping", "shared_counter")


class Bucket:
    """A quota kept exactly."""

    def __init__(self) -> None:
        self.level, self.at = BURST, 100.0

    def take(self, now: float, units: float) -> float:
        self.level, self.at = min(BURST, self.level + RATE * (now - self.at)), now
        taken = units if self.level >= units else 0.0
        self.level -= taken
        return taken


def fleet(ingresses: int, backends: int, width: float, counter: bool) -> Fleet:
    plan = {"name": "basic", "pays": 1.0, "quota_rate": RATE, "store_size": BURST, "overrun_cost": 1.2}
    extra = {**SETTINGS["extra"], "has_counter": counter, "units_top": 2}
    site = {**SETTINGS, "contracts": [plan], "extra": extra, "balancers": ingresses}
    return Fleet([from_json({**site, "me": i}) for i in range(ingresses)], width, backends)


def held() -> float:
    """Bytes that the files of the decision module have allocated and not freed."""
    files = [tracemalloc.Filter(True, f"*/fennelpoint/{name}.py") for name in MODULE]
    return sum(trace.size for trace in tracemalloc.take_snapshot().filter_traces(files).traces)


def play(name: str, ingresses: int, backends: int, width: float, counter: bool) -> None:
    tracemalloc.start()
    made = fleet(ingresses, backends, width, counter)
    customers = round(ingresses * EACH / (RATE * (2 * CALM + HEAVY) / 3))
    arrivals: list[tuple[float, int]] = []
    admit = made.give

    def noted(node: int, event: object) -> None:
        if (customer := getattr(event, "customer", None)) is not None:
            arrivals.append((made.now, customer))
        admit(node, event)

    made.give = noted
    for _ in range(round(SECONDS / 3.0)):
        for part, rate in ((range(0, customers, 3), HEAVY), (range(1, customers, 3), CALM), (
                range(2, customers, 3), CALM)):
            made.play(1.0, 0, part, 3.0 * RATE * rate)
    kept = held() / ingresses / 1e3
    tracemalloc.stop()
    ideal, real = {}, {}
    should = sum(ideal.setdefault(c, Bucket()).take(at, 1.0) for at, c in arrivals)
    inside = sum(real.setdefault(c, Bucket()).take(at, units) for at, c, units in made.sent)
    print(f"{name:34} {ingresses:4} x {backends:<4} {len(arrivals):7} {made.calls / len(arrivals):10.2f} "
          f"{inside / should:8.3f} {(len(made.sent) - inside) / should:8.3f} {kept:10.0f}")


def cost(name: str, ingresses: int, backends: int, width: float, counter: bool) -> float:
    """Microseconds of a decider a try; without the tracing of memory."""
    made, began = fleet(ingresses, backends, width, counter), time.perf_counter()
    customers = round(ingresses * EACH / RATE)
    made.busy = 0.0
    made.play(10.0, 0, range(customers), RATE)
    tries = len(made.sent) + made.refused
    print(f"{name:34} {ingresses:4} x {backends:<4} {tries:7} {made.busy / tries * 1e6:10.1f} us a try "
          f"({time.perf_counter() - began:.1f} s in all)")
    return made.busy / tries


def main() -> None:
    print(f"{platform.machine()}, {os.cpu_count()} processors, Python {platform.python_version()}")
    print(f"{'':34} {'fleet':11} {'tries':>7} {'calls/try':>10} {'inside':>8} {'beyond':>8}  kB a node")
    for counter, name in ((True, "stores on the counter"), (False, "even shares alone")):
        for ingresses, backends, width in ((3, 10, 3.0), (40, 60, 25.0)):
            play(name, ingresses, backends, width, counter)
    small = cost("processor, 3 ingresses", 3, 10, 3.0, True)
    large = cost("processor, 40 ingresses", 40, 60, 25.0, True)
    print(f"a try at 40 ingresses costs {large / small:.2f} of one at 3")


if __name__ == "__main__":
    main()
