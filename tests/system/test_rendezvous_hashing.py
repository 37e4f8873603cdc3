"""Hundreds of proxies spread over all core machines, and do not all start with the same ones."""

from __future__ import annotations

from collections import Counter

import pytest

from fennelpoint.system.proxy.core_session import NEXT_SEED_AFTER_S, CoreSession
from fennelpoint.system.rendezvous_hashing import preference

REGIONS = {"za": "ra", "zb": "rb", "zc": "rc", "zd": "ra", "ze": "rb", "zf": "rc"}
CORE = {f"10.{index}.0.{number}": zone for index, zone in enumerate(REGIONS, 1) for number in (60, 61)}


def sessions(count: int) -> list[CoreSession]:
    zones = list(REGIONS)
    return [
        CoreSession(
            f"10.9.{i // 250}.{i % 250}", zones[i % 6], REGIONS[zones[i % 6]], REGIONS, list(CORE)[:6:2], {}, 0.0
        )
        for i in range(count)
    ]


def test_proxies_spread_connections_and_requests_evenly_over_core_machines() -> None:
    """Without the hashing, proxies used the first machine of each region: two had four fifths of all connections."""
    connections: Counter[str] = Counter()
    lookups: Counter[str] = Counter()
    for session in sessions(240):
        session._on_core("roll@x", 1.0, CORE, 1)
        connections.update(session.peers(1.0))
        lookups[session.by_distance()[0]] += 1
        assert len(session.peers(1.0)) == 3
        assert CORE[session.by_distance()[0]] == session.zone
        assert {REGIONS[CORE[peer.partition("@")[2]]] for peer in session.peers(1.0)} == {"ra", "rb", "rc"}
    assert len(connections) == len(CORE) == len(lookups)
    assert max(connections.values()) < 1.6 * 3 * 240 / len(CORE)
    assert max(lookups.values()) < 1.6 * 240 / len(CORE)


def test_proxies_that_start_together_dial_one_seed_each_and_more_until_they_learn_the_core() -> None:
    first: Counter[str] = Counter()
    for session in sessions(240):
        (seed,) = session.peers(0.01)
        first[seed] += 1
        assert len(session.peers(NEXT_SEED_AFTER_S + 0.01)) == 2 and len(session.peers(5.0)) == 3
    assert len(first) == 3 and max(first.values()) < 1.4 * 240 / 3


@pytest.mark.parametrize("removed", [0, 5, 11])
def test_removing_a_machine_moves_only_the_clients_that_preferred_it(removed: int) -> None:
    remaining = [ip for index, ip in enumerate(CORE) if index != removed]
    moved = 0
    for number in range(300):
        before = min(CORE, key=lambda ip: preference(f"f{number}", ip))
        after = min(remaining, key=lambda ip: preference(f"f{number}", ip))
        assert after == before or before not in remaining
        moved += after != before
    assert moved < 2.0 * 300 / len(CORE)
