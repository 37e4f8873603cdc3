"""Backends that died while a core machine was away stay lost when that machine comes back."""

from dataclasses import replace
from pathlib import Path

import pytest

from fennelpoint.system.registry.backend_table import GONE, READY, TOMBSTONE_S, BackendReport, BackendTable
from fennelpoint.testing.core_simulation import run_scenario

SITE = (Path(__file__).parent / "scenarios" / "site").read_text()
DEAD = """
at 2 put 3 on 0 via a1
at 6 silence s2
at 14 expect sees fa s2 lost
expect sees fb s2 lost
{kill}
at 15 boot a1
at 17 expect sees fa s2 lost
expect sees fb s2 lost
at 19 expect sees fa s2 lost
at 24 expect sees fa s2 lost
"""


@pytest.mark.parametrize("kill", ["kill a1 wipe", "kill a1"])
def test_dead_backend_stays_lost_at_all_proxies_when_a_core_machine_comes_back(kill: str) -> None:
    for seed in range(1, 4):
        run_scenario(SITE + DEAD.format(kill=kill), seed)


# Guards the rule DRAIN: a backend that left by DELETE alone came back by a heartbeat that was late, once the core
# machines that knew of it had started anew.
LEFT = """
at 2 put 3 on 0 via a1
at 6 leave s2
at 7 expect leave s2 200
expect sees fa s2 gone
at 8 {kill}
at 8.5 boot {machines}
at 10 speak s2
at 12 expect sees fa s2 gone
expect sees fb s2 gone
at 20 expect sees fa s2 gone
"""


@pytest.mark.parametrize("machines", ["all", "core", "a1", "b1 c1"])
def test_backend_that_left_is_not_brought_back_by_a_late_heartbeat_after_a_restart(machines: str) -> None:
    for seed in range(1, 4):
        run_scenario(SITE + LEFT.format(kill=f"kill {machines}", machines=machines), seed)


def test_tombstone_is_restored_until_no_heartbeat_can_be_late() -> None:
    table = BackendTable()
    ready = BackendReport("i-1", "10.0.0.1:80", "svc", "za", 2, "v1", READY, 7, 0.0)
    assert table.merge(ready, 0.0) and table.merge(replace(ready, state=GONE, sequence=8), 1.0)
    restored = BackendTable()
    restored.restore([backend.report.pack() for backend in table.by_id.values()], 2.0, 100.0)
    for sequence in (7, 8, 9):
        assert not restored.merge(replace(ready, sequence=sequence), 101.0)
        assert restored.by_id["i-1"].report.state == GONE
    assert restored.sweep(100.0 + TOMBSTONE_S, 1.5) == ([], [])
    assert restored.sweep(100.1 + TOMBSTONE_S, 1.5) == ([], ["i-1"])    # its row is deleted, too
