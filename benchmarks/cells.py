"""Whom trouble in one cell harms, with cells and without, side by side: `python benchmarks/cells.py`.

The play is that of `larchwing demo cells` (fennelpoint/testing/cells_demo.py), longer.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import platform

from fennelpoint.testing.cells_demo import show

if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    print(f"{platform.machine()}, {os.cpu_count()} processors, Python {platform.python_version()}")
    asyncio.run(show(parser.parse_args().seconds, print))
