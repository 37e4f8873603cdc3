"""Random scenarios on an uneven deployment: the invariants hold under overlapping faults, and it recovers."""

import pytest

from fennelpoint.system.registry.allocator import Allocator
from fennelpoint.testing.core_machines import CheckFailed
from fennelpoint.testing.random_core_scenarios import Deployment, RandomScenario

# Four regions, uneven zones, one region of a single zone with a single core machine.
UNEVEN = Deployment(
    cores={"ra-1": 2, "ra-2": 1, "rb-1": 2, "rb-2": 1, "rc-1": 1, "rc-2": 1, "rd-1": 1},
    proxies={"ra-1": 4, "ra-2": 1, "rb-1": 2, "rb-2": 1, "rc-1": 1, "rc-2": 2, "rd-1": 1},
)
SECONDS = 15.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_uneven_deployment_of_four_regions_keeps_its_invariants_and_recovers(seed: int) -> None:
    RandomScenario(UNEVEN, seed, SECONDS).run()


def test_injected_bug_is_found_and_reported_with_the_faults_before_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """An allocator that takes over grants shares at once, though proxies may still hold earlier ones."""
    monkeypatch.setattr(Allocator, "all_grants_known", lambda self, now: True)
    with pytest.raises(CheckFailed, match="thousandths .* in use\n(.*\n)*.*(kill|freeze|cut|restart)"):
        for seed in range(1, 4):
            RandomScenario(UNEVEN, seed, SECONDS).run()
