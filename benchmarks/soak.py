"""Soaks of the whole system: real processes and sockets under overlapping troubles, for many seeds.

Usage:
  soak.py [--seeds=N] [--first=SEED] [--groups=N] [--beside=N] [--keep=FOLDER] [--quiet]
  soak.py --help

Options:
  --seeds=N     How many seeds to play [default: 5].
  --first=SEED  The first seed; the others follow [default: 1].
  --groups=N    Groups of two or three troubles in each, of 8 s [default: 4].
  --beside=N    How many to play at a time, each in a process of its own [default: 1].
  --keep=FOLDER  Where the logs of seeds with a fault go; left out, they are not kept.
  --quiet       No line for each trouble.

Prints a line for each seed and what was wrong with it; exits with 1 where anything was.  See docs/on-call.md.
"""

from __future__ import annotations

import asyncio
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from docopt import docopt

from fennelpoint.testing.soak.runner import Result, run_soak


def one(seed: int, groups: int, quiet: bool, keep: Path | None) -> Result | str:
    """A soak's result, or why it has none."""
    try:
        return asyncio.run(run_soak(seed, groups, (lambda line: None) if quiet else print, keep))
    except (RuntimeError, TimeoutError) as error:
        return f"seed {seed}: {error!r}"


def tell(result: Result | str) -> bool:
    """Print a result; whether all is well."""
    if isinstance(result, str):
        print(result)
        return False
    print(
        f"seed {result.seed}: {result.served} of {result.requests} served, {result.cancellations} departures and "
        f"{result.lookups} look-ups judged, {result.uploads} uploads, "
        f"{result.version_answers} answers by {result.versions} versions, "
        f"ended within {result.longest_shutdown_s:.2f} s, late by {result.lag_s:.2f} s, "
        f"{len(result.violations)} wrong",
        flush=True,
    )
    for wrong in result.violations:
        print(f"  {wrong}")
    return not result.violations


def main() -> int:
    asked = docopt(__doc__)
    first, groups, quiet = int(asked["--first"]), int(asked["--groups"]), asked["--quiet"]
    seeds = range(first, first + int(asked["--seeds"]))
    keep = Path(asked["--keep"]) if asked["--keep"] is not None else None
    play_one = partial(one, groups=groups, quiet=quiet, keep=keep)
    if int(asked["--beside"]) == 1:
        good = [tell(play_one(seed)) for seed in seeds]
    else:
        with ProcessPoolExecutor(int(asked["--beside"])) as pool:
            good = [tell(result) for result in pool.map(play_one, seeds)]
    print(f"{sum(good)} of {len(good)} seeds without a fault")
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
