"""The only tenant loses its last key: requests with that key must not run any more."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness"))
from larch import (
    BOUNDS,
    ZONES,
    Backend,
    CannotRun,
    Deployment,
    Record,
    configuration,
    main,
    new_attempt,
    rule,
    send,
)

HOST, KEY, OTHER = "booking.example", "9anu6wsjnbanfqasnmgk", "cuyj8pjbvk9m68k7b2ex"
RULES = [rule("look", "idempotent", "/look/", "slotfinder"), rule("pay", "non_idempotent", "/pay/", "feedesk")]


def tenants(*keys: str) -> list[dict]:
    return [{"name": "agency", "api_keys": list(keys), "route_priority": 1, "rate_per_s": 70, "burst_size": 70,
             "home_regions": []}]


async def play(record: Record, with_trouble: bool) -> list[str]:
    deployment = Deployment(record)
    backends = [Backend(deployment, service, f"i-{service}-{zone}", zone)
                for service in ("slotfinder", "feedesk") for zone in ZONES]
    sent: dict[str, tuple[float, str]] = {}      # by attempt: when, with which key
    try:
        for backend in backends:
            await backend.start()
        operator = await deployment.start_all(
            configuration(1, 0, RULES, ["slotfinder", "feedesk"], tenants(KEY, OTHER)))
        await asyncio.sleep(BOUNDS["contact_s"] + 1)

        async def traffic(seconds: float) -> list[int]:
            statuses, ends_at = [], time.monotonic() + seconds
            while time.monotonic() < ends_at:
                for number, proxy in enumerate(deployment.proxies):
                    attempt = new_attempt()
                    sent[attempt] = time.monotonic(), KEY
                    method, path = ("POST", "/pay/1") if number % 2 else ("GET", "/look/1")
                    status, _, _ = await send(record, deployment.address(proxy, "public_http"), method, HOST, path,
                                              KEY, b"x" * 100 if number % 2 else b"", attempt=attempt)
                    statuses.append(status)
                await asyncio.sleep(0.1)
            return statuses

        before = await traffic(3.0)
        if before.count(200) < 0.9 * len(before):
            raise CannotRun("the requests before the change are not served")
        # A key is taken away while the tenant keeps another one; with the trouble, it loses both.
        await operator.patch({"version": 2, "base_version": 1, "upsert": {"tenants": tenants(OTHER)}})
        acknowledged_at = time.monotonic()
        if with_trouble:
            await operator.patch({"version": 3, "base_version": 2, "upsert": {"tenants": tenants()}})
        await traffic(BOUNDS["revocation_s"] + 5.0)
        await asyncio.sleep(1.0)
        breaks = []
        for backend in backends:
            for _, attempt, fields in backend.runs:
                if sent[attempt][0] > acknowledged_at + BOUNDS["revocation_s"]:
                    breaks.append(f"CONFIG: {backend.id} ran {attempt}, sent "
                                  f"{sent[attempt][0] - acknowledged_at:.1f} s after the acknowledgement of the "
                                  f"configuration that removed its key; authorization passed on: "
                                  f"{fields.get('authorization', 'no')}")
        return breaks
    finally:
        for backend in backends:
            backend.stop()
        deployment.close()


main(str(Path(__file__).parent), play)
