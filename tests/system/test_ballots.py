"""The store's rounds where members change, without a network."""

from random import Random

from fennelpoint.fleet.register import ZERO, Cell, Hello, Keeper, Rejoin, Round, Seen, handle
from fennelpoint.system.store.replica import FOUNDED, KEY, Save, Send, Store, Whole
from fennelpoint.system.store.replicated_state import configure, empty, groups_of, stand_by

REGIONS = {"za": "ra", "zb": "rb", "zc": "rc", "zd": "ra", "ze": "rb"}


def seen(name: str, value: object, accepted=ZERO, ballot=(1, "a")) -> Seen:
    return Seen(name, 1, True, ballot, accepted, value)


def world(voters: str, before: str = "", rev: int = 1) -> dict:
    made = empty(dict.fromkeys(voters, "z"))
    return {**made, "rev": rev, "before": dict.fromkeys(before, "z")}


def started(voters: str, change=lambda value: value) -> Round:
    return Round(KEY, (1, "a"), change, 0, groups=(frozenset(voters),), groups_of=groups_of)


def test_a_majority_that_holds_nothing_tells_nothing() -> None:
    one = started("abc")
    for name in "abc":
        one = one.heard(seen(name, None))
    assert one.sent is None


def test_who_went_by_older_members_learns_so_and_asks_the_newer_ones() -> None:
    newer = world("abcde", "abc", rev=4)
    one = started("abc").heard(seen("a", world("abc"), (0, "x"))).heard(seen("b", newer, (0, "y")))
    assert one.sent is None and one.whom == frozenset("abcde")     # a majority of three is none of five
    one = one.heard(seen("d", newer, (0, "y")))
    assert one.sent is not None and one.sent.value["rev"] == 4


def test_a_change_of_members_needs_both_majorities() -> None:
    def grow(value: dict) -> dict:
        return {**value, "rev": 2, "voters": dict.fromkeys("abcde", "z"), "before": value["voters"]}

    one = started("abc", grow).heard(seen("a", world("abc"), (0, "x"))).heard(seen("b", world("abc"), (0, "x")))
    assert one.sent is None     # two of the three before, and two of the five to be
    one = one.heard(seen("d", None))
    assert one.sent is not None
    for name in "ad":
        one = one.heard(handle(Keeper(name, 1, True, {}, {}), one.sent)[1])
    assert not one.done         # one of the three before
    assert one.heard(handle(Keeper("b", 1, True, {}, {}), one.sent)[1]).done


def test_two_stand_by_before_the_voters_grow_and_one_a_zone() -> None:
    value = {**world("abc"), "voters": {"a": "za", "b": "zb", "c": "zc"}}
    one = stand_by("d", "zd", REGIONS, lambda value: [])(value)
    assert len(one["voters"]) == 3 and one["ready"] == {"d": "zd"}
    moved_on = stand_by("e", "ze", REGIONS, lambda value: ["new"] if value["digest"] == "new" else [])
    assert moved_on({**one, "digest": "new"})["ready"] == {"d": "zd"}   # it lacks the content of that very value
    two = stand_by("e", "ze", REGIONS, lambda value: [])(one)
    assert set(two["voters"]) == set("abcde") and two["before"] == value["voters"] and not two["ready"]
    crowded = stand_by("e", "za", REGIONS, lambda value: [])(one)
    assert set(crowded["voters"]) == set("abc")     # its zone has a voter


def test_the_last_founder_to_tell_its_zone_lets_in_those_that_stood_by_before_it() -> None:
    """Guards a core of three for good: those that stand by say so once."""
    value = {**world("abc"), "voters": {"a": "za", "b": "zb", "c": ""}}
    for ip, zone in (("d", "zd"), ("e", "ze")):
        value = stand_by(ip, zone, REGIONS, lambda value: [])(value)
    assert set(value["voters"]) == set("abc") and set(value["ready"]) == set("de")
    value = stand_by("c", "zc", REGIONS, lambda value: [])(value)
    assert set(value["voters"]) == set("abcde") and set(value["before"]) == set("abc") and not value["ready"]
    assert stand_by("c", "zc", REGIONS, lambda value: [])(value) is value


def test_who_lost_its_disk_hears_three_of_the_other_four() -> None:
    value = world("abcde")
    cells = {KEY: Cell(FOUNDED, (3, "a"), value)}
    keepers = {n: Keeper(n, 1, True, {}, cells) for n in "bcde"}
    state = Rejoin("a", 0, {}, groups=(frozenset("abcde"),), groups_of=groups_of)
    for round_ in range(2):
        for count, name in enumerate("bcd", 1):
            keepers[name], known = handle(keepers[name], Hello("a", state.life))
            state = state.heard(known)
            if round_ == 1:
                assert (state.keeper is not None) is (count == 3)
    assert state.keeper.life == 2 and state.keeper.cells[KEY].value == value


def test_who_lost_its_disk_hears_of_newer_members_by_seeds_that_are_gone() -> None:
    """Its seeds may all have been replaced: values name whom to hear, and one that holds none tells nothing."""
    old, newer = Cell(FOUNDED, FOUNDED, world("abc")), Cell(FOUNDED, (7, "d"), world("cde", rev=3))
    keepers = {n: Keeper(n, 1, True, {}, {KEY: newer}) for n in "de"} | {
        "b": Keeper("b", 1, True, {}, {KEY: old}), "x": Keeper("x", 1, True, {}, {})}
    state = Rejoin("f", 0, {}, groups_of=groups_of)
    for name, enough in (("x", False), ("b", False), ("d", False), ("e", True)):
        state = state.heard(handle(keepers[name], Hello("f", 0))[1])
        assert (state.told is not None) is enough
    for name in "bde":
        state = state.heard(handle(keepers[name], Hello("f", state.life))[1])
    assert state.keeper.cells[KEY].value["rev"] == 3


def test_the_same_content_is_taken_once_and_a_moved_base_is_told() -> None:
    value = world("abc")
    first = configure(3, 0, "s", "d", {}.get)
    made = first(value)
    again, other, low = (configure(*order, {}.get) for order in (
        (3, 0, "s", "d"), (4, 0, "t", "e"), (2, 3, "u", "f")))
    assert again(made) is made and again.outcome.status == 200
    assert other(made) is made and other.outcome.status == 412
    assert low(made) is made and low.outcome.status == 400


def test_a_promise_that_comes_late_is_sent_the_value_all_the_same() -> None:
    """Guards young voters: left without the value, they were the majority that held nothing."""
    stores = {n: Store(n, "za", REGIONS, list("abc"), Keeper(n, 0, False, {}, {}), True, {}.get, Random(1), 0.0)
              for n in "abc"}
    for store in stores.values():
        store._done()
    out = stores["a"].heard("roll", ["change", 1, "evacuate", ["zb", True], b""], 0.0)
    late = None
    while out:
        to, message = next(((a.to, a.message) for a in out if isinstance(a, Send)), ("", None))
        out = [a for a in out if not (isinstance(a, Send) and a.message is message)]
        if message is None:
            break
        if to == "c" and message[0] == "prepare":
            late = message
        elif to in stores:
            peer = "a" if to != "a" else "b"
            out += stores[to].heard(peer, message, 0.1)
    assert stores["a"].world["evac"] == ["zb"] and not stores["c"].keeper.cells[KEY].value["evac"]
    (promise,) = (a.message for a in stores["c"].heard("a", late, 0.2) if isinstance(a, Send))
    (accept,) = (a.message for a in stores["a"].heard("c", promise, 0.3) if isinstance(a, Send) and a.to == "c")
    stores["c"].heard("a", accept, 0.4)
    assert stores["c"].keeper.cells[KEY].value["evac"] == ["zb"]


def test_what_a_disk_refused_is_told_to_nobody_until_the_disk_has_taken_all_of_it() -> None:
    """A reader that counted it would acknowledge a change that a loss of power takes back."""
    store = Store("a", "za", REGIONS, ["a", "b", "c"], Keeper("a", 0, False, {}, {}), True, lambda digest: None,
                  Random(1), 0.0)
    store.tick(0.1)
    newer = {**world("abc", rev=5), "version": 7}
    lives = [["a", 1], ["b", 1]]
    store.heard("b", ["prepare", 1, [3, "b"]], 0.2)
    actions = store.heard("b", ["accept", 1, [3, "b"], newer, lives], 0.3)
    assert isinstance(actions[0], Save)
    store.sick("the disk is full")      # the program stops at that action
    for message in (["peek", 2, [0, ""], 0], ["prepare", 3, [9, "c"]], ["hail", 7, "c", 2], ["store", 4, "d", b"x"]):
        assert not [a for a in store.heard("c", message, 0.4) if isinstance(a, Send)]
    actions = store.tick(1.5)
    assert [type(a) for a in actions[:2]] == [Save, Whole] and actions[0].whole
    store.sick("still")
    assert not [a for a in store.heard("c", ["peek", 5, [0, ""], 0], 1.6) if isinstance(a, Send)]
    store.tick(2.6)
    store.well()
    (told,) = [a for a in store.heard("c", ["peek", 6, [0, ""], 0], 2.7) if isinstance(a, Send)]
    assert told.message[-1]["version"] == 7
