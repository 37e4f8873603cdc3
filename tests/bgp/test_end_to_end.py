"""Two ingresses announce one address to a router that forwards to the best; one is stalled under traffic."""

from __future__ import annotations

import asyncio
import signal
import time

from fennelpoint.testing import until
from fennelpoint.testing.announce_demo import DEADLINE, Site
from fennelpoint.testing.ingress_harness import run


def test_agencies_lose_only_what_a_stalled_ingress_held():
    async def play() -> None:
        site = Site()
        try:
            await site.start()
            first, second = site.pairs
            results, sent = site.traffic.results, site.forwarder.sent
            await until(lambda: sum(s == 200 for _, s in results) >= 50)
            assert {hop for _, hop in sent} == {first.hop}
            begun = time.monotonic()
            first.signal(signal.SIGSTOP)
            await until(lambda: not first.router.routes)
            last = max(at for at, hop in sent if hop == first.hop) - begun
            print(f"the last new request reached the stalled ingress after {last * 1e3:.0f} ms")
            assert last < 1.0
            await until(lambda: sum(hop == second.hop for _, hop in sent) >= 50)
            await asyncio.sleep(DEADLINE)
            lost = [at - begun for at, status in results if status == 0]
            print(f"{len(lost)} without an answer, sent up to {max(lost) * 1e3:.0f} ms after the stall")
            assert all(-DEADLINE < at < 1.0 for at in lost)     # what it held, and nothing later
            served = [at for at, status in results if status == 200 and at > begun + 1.0]
            assert served and all(status != 0 for at, status in results if at > begun + 1.0)
        finally:
            await site.stop()

    run(play(), 90.0)
