"""Who counts as gone, and who takes its place."""

from random import Random

from fennelpoint.fleet.register import Cell, Keeper
from fennelpoint.system.actions import Send
from fennelpoint.system.store.failure_detector import ANSWER, FORGOTTEN, GONE, SUCCEEDED, Said, Watch
from fennelpoint.system.store.replica import FOUNDED, KEY, Store
from fennelpoint.system.store.replicated_state import empty, take_place

REGIONS = {"za": "ra", "zb": "rb", "zc": "rc", "zd": "ra", "ze": "rb", "zf": "rc", "zg": "ra"}
VOTERS = {"a": "za", "b": "zb", "c": "zc", "d": "zd", "e": "ze"}


def world(ready: dict[str, str], **more) -> dict:
    return {**empty(VOTERS), "ready": ready, "digest": "new", **more}


def watch(value: dict, silent: dict[str, float], words: dict[str, dict[str, float]], now: float) -> Watch:
    """A's view: who is silent since when, and what others say now."""
    made = Watch("a")
    for ready in ({}, value["ready"]):
        made.look({**value, "ready": ready}, set("bcdefgh"), 0.0)
    for at in sorted({*silent.values(), now}):
        made.look(value, set("bcdefgh") - {ip for ip, since in silent.items() if since <= at}, at)
    made.said = {ip: Said(now, "new", missed) for ip, missed in words.items()}
    return made


def voters(change, value: dict) -> set[str] | None:
    return change and set(change(value)["voters"])


def test_a_majority_misses_a_voter_before_another_takes_its_place() -> None:
    value, now = world({"f": "zc"}), 30.0
    for span, missing, gone in ((GONE, "bd", True), (GONE, "b", False), (GONE - 0.1, "bde", False)):
        words = {ip: {"c": span} if ip in missing else {} for ip in "bdef"}
        made = watch(value, {"c": now - span}, words, now).due(value, REGIONS, now)
        assert voters(made, value) == (set("abdef") if gone else None)
    agreed = watch(value, {"c": 1.0}, {ip: {"c": 9.0} for ip in "bdef"}, now)
    assert agreed.due({**value, "before": VOTERS}, REGIONS, now) is None    # one change of members at a time
    assert agreed.due(value, REGIONS, now + ANSWER + 0.1) is None           # old words
    crowded = world({"f": "za"})    # its zone has a voter: no round is begun that would change nothing
    none = watch(crowded, {"c": 1.0}, {ip: {"c": 9.0} for ip in "bdef"}, now)
    assert none.due(crowded, REGIONS, now) is None and not none.asks(crowded, REGIONS, now)
    agreed.said["f"].digest = "old"
    assert agreed.due(value, REGIONS, now) is None                          # it lacks the newest content


def test_a_successor_that_came_since_waits_less() -> None:
    value, now = world({"f": "zc"}), 10.0
    words = {ip: {"c": SUCCEEDED} for ip in "bdef"}
    since = watch(value, {"c": now - SUCCEEDED}, words, now)
    assert since.due(value, REGIONS, now) is None       # it stood by before
    since.came["f"] = now - 1.0
    assert voters(since.due(value, REGIONS, now), value) == set("abdef")
    silent = watch(value, {"f": 0.0}, {ip: {"f": FORGOTTEN} for ip in "bcde"}, FORGOTTEN)
    assert silent.due(value, REGIONS, FORGOTTEN)(value)["ready"] == {}


def test_zones_and_regions_are_kept_apart() -> None:
    def place(gone: str, ready: dict[str, str], digest: str = "new") -> set[str]:
        return set(take_place(gone, frozenset(ready), REGIONS, digest)(world(ready))["voters"])

    assert place("c", {"f": "zf", "g": "zc"}) == set("abdeg")    # the same zone
    assert place("c", {"f": "zg", "g": "zf"}) == set("abdeg")    # two of its region vote
    assert place("c", {"f": "zg", "g": "zb"}) == set("abcde")    # no zone votes twice
    assert place("a", {"f": "zg"}) == set("bcdef")
    assert place("c", {"f": "zc"}, "old") == set("abcde")        # the content has moved on


def test_the_first_that_is_there_ends_a_change_of_members() -> None:
    """Found by reading: only the first of all the voters did; while that one was down, nothing else was changed."""
    value = world({}, before={"a": "za", "b": "zb", "c": "zc"}, rev=3, digest="")
    keeper = Keeper("b", 1, True, {}, {KEY: Cell(FOUNDED, (3, "a"), value)})
    store = Store("b", "zb", REGIONS, list("abc"), keeper, False, {}.get, Random(1), 0.0)
    for peer in "cde":
        store.linked(peer, True, 0.0)
    store.heard("c", ["learn", [3, "a"], value], 0.1)
    sent = {a.to for a in store.tick(1.0) if isinstance(a, Send) and a.message[0] == "prepare"}
    assert sent == set("acde")
