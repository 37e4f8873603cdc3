"""What the whole system's control costs by size, in simulated time: bytes between regions and messages, quiet.

    python benchmarks/system_size.py [FRONTS ...]

Twelve core machines over nine zones in three regions.  Bytes are of the very frames that processes send; draws of
quotas come with requests and are not in it (about 95 bytes a request that is asked for in another region).
"""

import sys
import time

from fennelpoint.testing.core_simulation import build_simulation

SECONDS = 4.0


def row(fronts: int) -> str:
    begun, world = time.monotonic(), build_simulation(12, fronts)
    world.run(2.0)
    world.put(3, 0, "c01")
    while not all(front.version == 3 for front in world.proxies.values()) and world.now < 12.0:
        world.run(world.now + 0.02)
    reached = world.now - world.acknowledged_at.get(3, 0.0)
    world.run(8.0)
    world.bytes_between_regions.clear()
    world.run(8.0 + SECONDS)
    sizes = {kind: size / SECONDS
             for kind, size in sorted(world.bytes_between_regions.items(), key=lambda item: -item[1])}
    whole = sum(sizes.values())
    most = ", ".join(f"{kind} {size / 1000:.1f}" for kind, size in list(sizes.items())[:5])
    return (f"{fronts:>6} {whole / 1000:>9.1f} {whole / fronts:>9.0f} {reached * 1000:>9.0f}   {most}"
            f"   ({time.monotonic() - begun:.0f} s to play)")


if __name__ == "__main__":
    print("fronts     kB/s  B/s each  ms to all   kB/s by kind of message")
    for size in map(int, sys.argv[1:] or ("10", "84", "500")):
        print(row(size), flush=True)
