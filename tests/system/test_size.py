"""Many core machines and proxies in simulated time: rounds that do not conflict, and the traffic of each proxy."""

from collections import Counter

import pytest

from fennelpoint.system.frames import pack
from fennelpoint.testing.core_simulation import CoreSimulation, build_simulation


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_twelve_machines_that_start_at_once_agree_on_a_first_configuration_within_a_second(seed: int) -> None:
    world = build_simulation(12, 18, seed)
    world.run(2.0)
    world.put(3, 0, "c01")
    longest_queue = 0
    while world.now < 6.0:
        world.run(world.now + 0.1)
        longest_queue = max(longest_queue, *(len(core.store.pending_changes) for core in world.cores.values()))
        if world.now >= 3.0:
            assert world.status("put 3") == 200
    assert longest_queue <= 2 and all(world.may_send_requests(front) for front in world.proxies.values())
    assert len(world.cores["c00"].store.state["ready"]) == 7 and len(world.cores["c00"].store.state["voters"]) == 5


def measure_idle_traffic(fronts: int, seconds: float = 4.0) -> tuple[CoreSimulation, dict[str, float]]:
    """Returns a world and its bytes per second between regions, by kind of message, while nothing changes."""
    world = build_simulation(12, fronts, 1)
    world.run(2.0)
    world.put(3, 0, "c01")
    world.run(8.0)
    world.bytes_between_regions.clear()
    world.run(8.0 + seconds)
    return world, {kind: size / seconds for kind, size in world.bytes_between_regions.items()}


def test_idle_traffic_grows_with_proxy_requests_and_repeats_no_known_value() -> None:
    _, few = measure_idle_traffic(9)
    _, many = measure_idle_traffic(36)
    assert many["peeked"] < 100 * 12 * 10       # bytes per answer, machines, reads per second; a value has 700 bytes
    assert sum(many.values()) - sum(few.values()) < 27 * 700    # bytes per second of each further proxy
    assert sum(many.values()) < 2.2 * sum(few.values())


@pytest.mark.parametrize("machines", [12, 15, 24])
def test_machines_that_start_at_once_stay_in_touch_while_they_become_members_one_by_one(machines: int) -> None:
    """Machines that were not members yet got no messages after the first and lost contact, the last for seconds."""
    world = build_simulation(machines, 18, 1)
    world.run(1.5)
    while world.now < 8.0:
        world.run(world.now + 0.1)
        assert [ip for ip, core in world.cores.items() if not core.registry.has_quorum(world.now)] == []
    value = world.cores["c00"].store.state
    assert len(value["ready"]) + len(value["voters"]) == machines


# Measured messages and bytes per second that each further proxy adds, by sender and receiver.  They must not double.
MESSAGES = {"span>roll": 2.0, "roll>span": 3.9, "roll>roll": 3.5, "roll>writ": 0.26, "writ>roll": 0.26,
            "writ>writ": 1.1}
BYTES = {"span>roll": 64, "roll>span": 165, "roll>roll": 208, "roll>writ": 5, "writ>roll": 266, "writ>writ": 37}


class TrafficMeter:
    """Counts the messages that are delivered in a world, by sender and receiver, and by kind."""

    def __init__(self, world: CoreSimulation) -> None:
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        self.deliver, world._deliver = world._deliver, self.record

    def record(self, source: str, to: str, message: list) -> None:
        pair = f"{source.partition('@')[0]}>{to.partition('@')[0]}"
        self.messages[pair] += 1
        self.bytes[pair] += len(pack(message))
        self.kinds[f"{pair} {message[0]}"] += 1
        self.deliver(source, to, message)


def measure_traffic(fronts: int) -> tuple[CoreSimulation, TrafficMeter]:
    """Measures the traffic of an idle world for four seconds."""
    world = build_simulation(5, fronts, 1)
    world.run(2.0)
    world.put(3, 0, "c01")
    world.run(8.0)
    meter = TrafficMeter(world)
    world.run(12.0)
    return world, meter


def test_the_traffic_of_each_proxy_has_not_doubled() -> None:
    (_, few), (_, many) = measure_traffic(10), measure_traffic(40)
    for pair in MESSAGES:
        assert (many.messages[pair] - few.messages[pair]) / 30 / 4.0 < 2.0 * MESSAGES[pair] + 0.1, pair
        assert (many.bytes[pair] - few.bytes[pair]) / 30 / 4.0 < 2.0 * BYTES[pair], pair
    assert set(many.messages) == set(MESSAGES)


def test_a_change_reaches_all_proxies_and_sends_each_its_content_once() -> None:
    world, meter = measure_traffic(40)
    before = meter.kinds["roll>span content"]
    world.put(5, 3, "c01")
    world.run(13.0)
    assert all(front.version == 5 for front in world.proxies.values())
    assert meter.kinds["roll>span content"] - before == 40
