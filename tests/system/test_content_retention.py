"""Contents on a core machine's disk: needed ones are retained, others bounded, none reported before it is stored."""

from pathlib import Path
from random import Random

from fennelpoint.fleet import store as disk
from fennelpoint.fleet.register import Acceptor
from fennelpoint.fleet.store import MAX_UNNEEDED_BYTES, MAX_UNNEEDED_CONTENTS, contents_to_evict
from fennelpoint.system.store.content_retention import RECEIVED_RETENTION_S, SUPERSEDED_RETENTION_S, retained_digests
from fennelpoint.system.store.replica import REGISTRY, Replica, SaveContent, Send
from fennelpoint.system.store.replicated_state import initial_state
from fennelpoint.testing.core_simulation import CoreSimulation

SEEDS = ["a", "b", "c"]


class ReplicaOnDisk:
    """A replica whose contents are on a simulated disk, which may refuse writes."""

    def __init__(self) -> None:
        self.disk: dict[str, bytes] = {}
        self.is_full = False
        self.replica = Replica("a", "za", {}, SEEDS, Acceptor("a", 0, False, {}, {}), True, self.disk.get,
                               Random(1), 0.0)
        self.replica.tick(0.0)

    def receive(self, peer: str, message: list, now: float) -> list:
        """Handles a message as the program does; returns (recipient, message) of each message sent."""
        sent = []
        for action in self.replica.receive(peer, message, now):
            if isinstance(action, SaveContent):
                if self.is_full:
                    self.replica.disk_failed("full")
                    return sent
                self.disk[action.digest] = action.data
                for evicted in contents_to_evict([(d, len(c)) for d, c in self.disk.items()],
                                                 {*action.retained, action.digest}):
                    del self.disk[evicted]
            elif isinstance(action, Send):
                sent.append((action.to, action.message))
        return sent


def test_distributed_content_is_retained_until_its_round_has_ended_despite_competing_rounds() -> None:
    """Guards against a content that 64 newer ones evicted while its proposer's round was still under way."""
    machine = ReplicaOnDisk()
    machine.receive("b", ["store", 1, "slow", b"x"], 0.0)
    for turn in range(200):
        machine.receive("c", ["store", turn, f"quick{turn}", b"y"], 0.01 * turn)
    assert "slow" in machine.disk and len(machine.disk) <= MAX_UNNEEDED_CONTENTS + 8
    for turn in range(200):
        machine.receive("c", ["store", turn, f"later{turn}", b"y"], RECEIVED_RETENTION_S + 1.0 + 0.01 * turn)
    assert "slow" not in machine.disk and len(machine.disk) <= MAX_UNNEEDED_CONTENTS + 8


def test_retained_contents_are_those_of_states_of_changes_under_way_and_of_recently_superseded_states() -> None:
    state = {**initial_state({}), "digest": "newest", "log": [[9, "segment"]]}
    retained = retained_digests(
        [state, {**state, "digest": "accepted"}, {}], ["own", ""], [("received", 95.0), ("expired", 0.0)],
        [("before", 100.0 - SUPERSEDED_RETENTION_S + 0.1), ("older", 100.0 - SUPERSEDED_RETENTION_S - 0.1)], 100.0)
    assert retained == {"newest", "segment", "accepted", "own", "received", "before"}


def test_proposer_whose_disk_refuses_a_content_does_not_count_as_holder() -> None:
    """Guards against a proposer that counts itself, continues once its disk recovers, and agrees a state whose
    content only one other machine holds."""
    machine = ReplicaOnDisk()
    machine.is_full = True
    machine.receive(REGISTRY, ["change", 1, "put", [5, 0, "s", "d"], b"data"], 1.0)
    assert machine.replica.disk_error
    machine.receive("b", ["stored", machine.replica.pending_changes[0].number, "b", "d"], 1.1)
    machine.replica.disk_recovered()
    assert machine.replica.pending_changes[0].holders == {"b"}
    saved = [a for now in (1.2, 2.0) for a in machine.replica.tick(now) if isinstance(a, SaveContent)]
    assert [a.digest for a in saved] == ["d"]       # it retries the write, and counts only then


def test_content_distributed_by_a_proposer_reaches_the_registry_that_waits_for_it() -> None:
    """Guards against a registry whose request is lost, and which continues with the previous configuration."""
    machine = ReplicaOnDisk()
    machine.receive(REGISTRY, ["want", "d"], 1.0)
    assert (REGISTRY, ["content", "d", b"data"]) in machine.receive("b", ["store", 1, "d", b"data"], 1.1)


def test_unneeded_contents_are_bounded_in_bytes_and_retained_ones_are_not_evicted(tmp_path: Path) -> None:
    on_disk = disk.Store(tmp_path, "a", exclusive=True)
    assert on_disk.add_content("retained", b"k", 0.0, set()) == []
    evicted = [old for n in range(40)
               for old in on_disk.add_content(f"c{n:02}", bytes(500_000), 1.0 + n, {"retained"})]
    assert evicted == [f"c{n:02}" for n in range(40 - 1 - MAX_UNNEEDED_BYTES // 500_000)]
    assert on_disk.content("retained") == b"k" and on_disk.content("c39") is not None and (
        on_disk.content("c00") is None)
    assert on_disk.path.stat().st_size < 2 * MAX_UNNEEDED_BYTES + 4_000_000


def test_allocator_retries_a_lost_configuration_and_grants_no_units_by_an_outdated_one() -> None:
    world = CoreSimulation()
    for n, line in enumerate("abc"):
        world.execute(["core", f"{line}1", f"z{line}", f"r{line}"])
        world.execute(["front", f"f{n}", f"z{line}", f"r{line}", "t1=1"])
    world.tenant_rate_per_s = 3
    world.start()
    world.put(5, 0, "a1")
    world.run(4.0)
    world.execute(["draw", "f0", "t1", "2"])
    world.run(4.5)
    assert world.proxies["f0"].unit_counts["t1"][0] > 0
    original_send = world.send

    def send(source: str, to: str, message: list) -> None:
        if not (to.startswith("roll@") and message[0] == "content"):
            original_send(source, to, message)

    world.send = send
    world.tenant_rate_per_s = 1
    world.put(6, 5, "a1")
    world.run(8.0)
    world.execute(["draw", "f0", "t1", "1"])
    world.run(8.5)
    assert "t1" not in world.proxies["f0"].unit_counts
    world.send = original_send
    world.run(11.0)
    world.execute(["draw", "f0", "t1", "1"])
    world.run(11.5)
    assert world.proxies["f0"].unit_counts["t1"] == [1, 0] and all(f.version == 6 for f in world.proxies.values())
