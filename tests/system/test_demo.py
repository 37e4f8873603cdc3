"""The whole system as real processes on loopback, with the client library: what backends and clients saw."""

import asyncio

from fennelpoint.testing.system_demo import play


def test_a_drain_and_kills_double_no_booking_and_lose_none() -> None:
    lines: list[str] = []
    seen, wrong = asyncio.run(asyncio.wait_for(play(lines.append, calm=1.0), 60.0))
    assert wrong == [], lines
    total = sum(seen.answered.values())
    assert total > 100 and seen.answered[200] > 0.9 * total, lines
    assert len(seen.told) > 30
