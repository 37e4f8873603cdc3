"""The whole system as real processes on loopback, with the client library: what backends and clients observe."""

import asyncio

from fennelpoint.testing.system_demo import play


def test_drain_and_kills_neither_repeat_nor_lose_a_booking() -> None:
    lines: list[str] = []
    observations, violations = asyncio.run(asyncio.wait_for(play(lines.append, phase_s=1.0), 60.0))
    assert violations == [], lines
    total = sum(observations.status_counts.values())
    assert total > 100 and observations.status_counts[200] > 0.9 * total, lines
    assert len(observations.confirmed) > 30
