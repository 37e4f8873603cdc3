"""Drawn days of a deployment that no page names: its rules hold under troubles that overlap, and it recovers."""

import pytest

from fennelpoint.system.registry.allocator import Allocator
from fennelpoint.testing.core_machines import Broken
from fennelpoint.testing.random_core_scenarios import Deployment, DrawnDay

# Four regions, uneven zones, one region of a single zone with a single core machine.
UNEVEN = Deployment(
    cores={"ra-1": 2, "ra-2": 1, "rb-1": 2, "rb-2": 1, "rc-1": 1, "rc-2": 1, "rd-1": 1},
    fronts={"ra-1": 4, "ra-2": 1, "rb-1": 2, "rb-2": 1, "rc-1": 1, "rc-2": 2, "rd-1": 1},
)
SECONDS = 15.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_uneven_deployment_of_four_regions_holds_its_rules_and_recovers(seed: int) -> None:
    DrawnDay(UNEVEN, seed, SECONDS).play()


def test_a_planted_fault_is_found_and_the_troubles_before_it_are_told(monkeypatch: pytest.MonkeyPatch) -> None:
    """An allocator that takes over and lends at once, whatever fronts hold."""
    monkeypatch.setattr(Allocator, "all_grants_known", lambda self, now: True)
    with pytest.raises(Broken, match="thousandths .* in use\n(.*\n)*.*(kill|freeze|cut|restart)"):
        for seed in range(1, 4):
            DrawnDay(UNEVEN, seed, SECONDS).play()
