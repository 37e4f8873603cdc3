"""Hundreds of fronts use all core machines alike, and don't all begin with the same ones."""

from __future__ import annotations

from collections import Counter

import pytest

from fennelpoint.system.proxy.core_session import NEXT_SEED_AFTER_S, CoreSession
from fennelpoint.system.rendezvous_hashing import preference

REGIONS = {"za": "ra", "zb": "rb", "zc": "rc", "zd": "ra", "ze": "rb", "zf": "rc"}
CORE = {f"10.{place}.0.{number}": zone for place, zone in enumerate(REGIONS, 1) for number in (60, 61)}


def sessions(count: int) -> list[CoreSession]:
    zones = list(REGIONS)
    return [
        CoreSession(
            f"10.9.{i // 250}.{i % 250}", zones[i % 6], REGIONS[zones[i % 6]], REGIONS, list(CORE)[:6:2], {}, 0.0
        )
        for i in range(count)
    ]


def test_fronts_hold_and_ask_all_core_machines_alike() -> None:
    """All went to the first of each region, by address: two of them had four fifths of all connections."""
    held: Counter[str] = Counter()
    asked: Counter[str] = Counter()
    for session in sessions(240):
        session._on_core("roll@x", 1.0, CORE, 1)
        held.update(session.peers(1.0))
        asked[session.by_distance()[0]] += 1
        assert len(session.peers(1.0)) == 3
        assert CORE[session.by_distance()[0]] == session.zone
        assert {REGIONS[CORE[peer.partition("@")[2]]] for peer in session.peers(1.0)} == {"ra", "rb", "rc"}
    assert len(held) == len(CORE) == len(asked)
    assert max(held.values()) < 1.6 * 3 * 240 / len(CORE)
    assert max(asked.values()) < 1.6 * 240 / len(CORE)


def test_fronts_that_start_together_dial_one_seed_each_and_more_while_nobody_tells_them_of_the_core() -> None:
    first: Counter[str] = Counter()
    for session in sessions(240):
        (seed,) = session.peers(0.01)
        first[seed] += 1
        assert len(session.peers(NEXT_SEED_AFTER_S + 0.01)) == 2 and len(session.peers(5.0)) == 3
    assert len(first) == 3 and max(first.values()) < 1.4 * 240 / 3


@pytest.mark.parametrize("gone", [0, 5, 11])
def test_a_machine_that_goes_moves_only_those_that_preferred_it(gone: int) -> None:
    left = [ip for place, ip in enumerate(CORE) if place != gone]
    moved = 0
    for number in range(300):
        before = min(CORE, key=lambda ip: preference(f"f{number}", ip))
        after = min(left, key=lambda ip: preference(f"f{number}", ip))
        assert after == before or before not in left
        moved += after != before
    assert moved < 2.0 * 300 / len(CORE)
