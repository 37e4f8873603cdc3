"""Drawn days of the simulated core on a deployment of four regions with uneven zones, as many as asked for.

Usage:
    drawn_core.py [--first SEED] [--days N] [--scale N] [--seconds N]

Prints a line for each day: its seed, `ok` or what is broken with all troubles before it, and processor time.
Exits with 1 where one is broken.

Options:
    --first SEED  the first day's seed [default: 1]
    --days N      days, each with the seed after the one before [default: 10]
    --scale N     fronts: 12 times this [default: 5]
    --seconds N   of troubles in each day [default: 25]
"""

from __future__ import annotations

import sys
import time

from docopt import docopt

from fennelpoint.testing.core_machines import CheckFailed
from fennelpoint.testing.random_core_scenarios import Deployment, RandomScenario

CORES = {"ra-1": 2, "ra-2": 1, "rb-1": 2, "rb-2": 1, "rc-1": 1, "rc-2": 1, "rd-1": 1}
FRONTS = {"ra-1": 3, "ra-2": 1, "rb-1": 2, "rb-2": 2, "rc-1": 1, "rc-2": 2, "rd-1": 1}


def play(deployment: Deployment, seed: int, seconds: float) -> str:
    """`ok`, or what is broken in that day."""
    try:
        RandomScenario(deployment, seed, seconds).run()
    except CheckFailed as error:
        return f"broken: {error}"
    return "ok"


def main() -> int:
    """Number of the process's exit."""
    options = docopt(__doc__)
    fronts = {zone: count * int(options["--scale"]) for zone, count in FRONTS.items()}
    deployment = Deployment(CORES, fronts)
    first, days = int(options["--first"]), int(options["--days"])
    broken = 0
    for seed in range(first, first + days):
        began = time.process_time()
        result = play(deployment, seed, float(options["--seconds"]))
        broken += result != "ok"
        print(seed, result, f"{time.process_time() - began:.1f} s", flush=True)
    print(f"{days} days, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
