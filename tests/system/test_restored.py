"""Backends that died while a core machine was away stay lost when that machine comes back."""

from pathlib import Path

import pytest

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
