"""The whole system as real processes on loopback, with the client library."""

import asyncio

from fennelpoint.testing.system_demo import play


def test_no_booking_runs_twice_or_is_lost_through_a_drain_and_kills() -> None:
    lines: list[str] = []
    observed, violations = asyncio.run(asyncio.wait_for(play(lines.append, calm=1.0), 60.0))
    assert violations == [], lines
    total = sum(observed.answered.values())
    assert total > 100 and observed.answered[200] > 0.9 * total, lines
    assert len(observed.told) > 30
