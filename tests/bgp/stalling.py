"""An ingress's loop that beats, and spins once it is told to: `python stalling.py HOST:PORT`, then a line."""

from __future__ import annotations

import asyncio
import sys

from fennelpoint.net.discovery import parse_address
from fennelpoint.net.heartbeat import Heartbeat


def spin() -> None:
    while True:
        pass


async def main() -> None:
    loop = asyncio.get_running_loop()
    beat = Heartbeat(loop, parse_address(sys.argv[1], "address"), lambda: ("up", True))
    await beat.start()
    loop.add_reader(sys.stdin, spin)
    await asyncio.sleep(600)


asyncio.run(main())
