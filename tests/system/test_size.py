"""Many core machines and fronts in simulated time: rounds keep out of each other's way, and what a front costs."""

import pytest

from fennelpoint.standins.core_world import World, grown


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_twelve_machines_that_start_at_once_agree_on_a_first_configuration_within_a_second(seed: int) -> None:
    world = grown(12, 18, seed)
    world.run(2.0)
    world.put(3, 0, "c01")
    longest = 0
    while world.now < 6.0:
        world.run(world.now + 0.1)
        longest = max(longest, *(len(core.store.jobs) for core in world.cores.values()))
        if world.now >= 3.0:
            assert world.status("put 3") == 200
    assert longest <= 2 and all(world.allows(front) for front in world.fronts.values())
    assert len(world.cores["c00"].store.world["ready"]) == 7 and len(world.cores["c00"].store.world["voters"]) == 5


def quiet(fronts: int, seconds: float = 4.0) -> tuple[World, dict[str, float]]:
    """Bytes a second between regions, by kind of message, while nothing happens."""
    world = grown(12, fronts, 1)
    world.run(2.0)
    world.put(3, 0, "c01")
    world.run(8.0)
    world.sent.clear()
    world.run(8.0 + seconds)
    return world, {kind: size / seconds for kind, size in world.sent.items()}


def test_a_quiet_second_costs_what_its_fronts_ask_and_no_value_that_is_known() -> None:
    _, few = quiet(9)
    _, many = quiet(36)
    assert many["peeked"] < 100 * 12 * 10       # bytes an answer, machines, reads a second: the value is 700
    assert sum(many.values()) - sum(few.values()) < 27 * 700    # a front's own part, bytes a second
    assert sum(many.values()) < 2.2 * sum(few.values())
