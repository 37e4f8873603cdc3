"""Contents on a core machine's disk: what is still needed stays, the rest is bounded, nothing is told too early."""

from pathlib import Path
from random import Random

from fennelpoint.fleet import store as disk
from fennelpoint.fleet.register import Keeper
from fennelpoint.fleet.store import MOST_BYTES, MOST_CONTENTS, making_room
from fennelpoint.system.store.content_retention import FORMER, SPREAD, needed
from fennelpoint.system.store.replica import ROLL, SaveContent, Send, Store
from fennelpoint.system.store.replicated_state import empty
from fennelpoint.testing.core_simulation import World

SEEDS = ["a", "b", "c"]


class One:
    """A store whose contents are on a disk of its own, which may refuse them."""

    def __init__(self) -> None:
        self.disk: dict[str, bytes] = {}
        self.full = False
        self.store = Store("a", "za", {}, SEEDS, Keeper("a", 0, False, {}, {}), True, self.disk.get, Random(1), 0.0)
        self.store.tick(0.0)

    def hear(self, peer: str, message: list, now: float) -> list:
        """What it says; contents are written as its program does."""
        said = []
        for action in self.store.heard(peer, message, now):
            if isinstance(action, SaveContent):
                if self.full:
                    self.store.sick("full")
                    return said
                self.disk[action.digest] = action.data
                for gone in making_room([(d, len(c)) for d, c in self.disk.items()],
                                        {*action.needed, action.digest}):
                    del self.disk[gone]
            elif isinstance(action, Send):
                said.append((action.to, action.message))
        return said


def test_a_content_that_is_spread_outlives_any_number_of_races_until_its_round_has_ended() -> None:
    """Red before: 64 younger ones pushed it out while its proposer's round was still open."""
    one = One()
    one.hear("b", ["store", 1, "slow", b"x"], 0.0)
    for turn in range(200):
        one.hear("c", ["store", turn, f"quick{turn}", b"y"], 0.01 * turn)
    assert "slow" in one.disk and len(one.disk) <= MOST_CONTENTS + 8
    for turn in range(200):
        one.hear("c", ["store", turn, f"later{turn}", b"y"], SPREAD + 1.0 + 0.01 * turn)
    assert "slow" not in one.disk and len(one.disk) <= MOST_CONTENTS + 8


def test_needed_is_what_values_name_what_is_under_way_and_what_was_just_followed() -> None:
    value = {**empty({}), "digest": "newest", "log": [[9, "segment"]]}
    held = needed([value, {**value, "digest": "accepted"}, {}], ["ours", ""], [("spread", 95.0), ("long ago", 0.0)],
                  [("before", 100.0 - FORMER + 0.1), ("older", 100.0 - FORMER - 0.1)], 100.0)
    assert held == {"newest", "segment", "accepted", "ours", "spread", "before"}


def test_a_proposer_whose_disk_refuses_a_content_is_no_holder_of_it() -> None:
    """Red before: it counted itself, went on once the disk was well, and a single other held what was agreed."""
    one = One()
    one.full = True
    one.hear(ROLL, ["change", 1, "put", [5, 0, "s", "d"], b"data"], 1.0)
    assert one.store.ill
    one.hear("b", ["stored", one.store.jobs[0].number, "b", "d"], 1.1)
    one.store.well()
    assert one.store.jobs[0].holders == {"b"}
    saved = [a for now in (1.2, 2.0) for a in one.store.tick(now) if isinstance(a, SaveContent)]
    assert [a.digest for a in saved] == ["d"]       # it tries again, and only then counts


def test_a_content_that_comes_by_being_spread_reaches_the_registry_that_waits_for_it() -> None:
    """Red before: the registry's own ask was lost, and it went on by the figures before."""
    one = One()
    one.hear(ROLL, ["want", "d"], 1.0)
    assert (ROLL, ["content", "d", b"data"]) in one.hear("b", ["store", 1, "d", b"data"], 1.1)


def test_the_rest_on_disk_is_bounded_in_bytes_and_what_is_kept_is_not_touched(tmp_path: Path) -> None:
    store = disk.Store(tmp_path, "a", alone=True)
    assert store.add_content("kept", b"k", 0.0, set()) == []
    gone = [old for n in range(40)
            for old in store.add_content(f"c{n:02}", bytes(500_000), 1.0 + n, {"kept"})]
    assert gone == [f"c{n:02}" for n in range(40 - 1 - MOST_BYTES // 500_000)]
    assert store.content("kept") == b"k" and store.content("c39") is not None and store.content("c00") is None
    assert store.path.stat().st_size < 2 * MOST_BYTES + 4_000_000


def test_a_reckoner_asks_again_for_a_configuration_that_did_not_come_and_lends_no_units_by_an_old_one() -> None:
    world = World()
    for n, line in enumerate("abc"):
        world.do(["core", f"{line}1", f"z{line}", f"r{line}"])
        world.do(["front", f"f{n}", f"z{line}", f"r{line}", "t1=1"])
    world.rate = 3
    world.start()
    world.put(5, 0, "a1")
    world.run(4.0)
    world.do(["draw", "f0", "t1", "2"])
    world.run(4.5)
    assert world.fronts["f0"].drawn["t1"][0] > 0
    lost = world.send

    def send(source: str, to: str, message: list) -> None:
        if not (to.startswith("roll@") and message[0] == "content"):
            lost(source, to, message)

    world.send = send
    world.rate = 1
    world.put(6, 5, "a1")
    world.run(8.0)
    world.do(["draw", "f0", "t1", "1"])
    world.run(8.5)
    assert "t1" not in world.fronts["f0"].drawn
    world.send = lost
    world.run(11.0)
    world.do(["draw", "f0", "t1", "1"])
    world.run(11.5)
    assert world.fronts["f0"].drawn["t1"] == [1, 0] and all(f.version == 6 for f in world.fronts.values())
