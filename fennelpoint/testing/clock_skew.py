"""A program whose wall clock is off: `python -m fennelpoint.testing.clock_skew SECONDS MODULE [ARGUMENTS]`."""

from __future__ import annotations

import runpy
import sys
import time


def main() -> None:
    off, module = float(sys.argv[1]), sys.argv[2]
    true = time.time
    time.time = lambda: true() + off
    sys.argv = [module, *sys.argv[3:]]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
