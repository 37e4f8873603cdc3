"""Histories of orders and read-backs over drawn days, against the sequential register; planted faults are found.

By hand: LARCHWING_HISTORIES=RUNS:SEED python -m pytest -q tests/system/test_linearizable.py -k history; with
`:small` after the seed a day that fails is made smaller, which takes some minutes.
"""

import os
from collections.abc import Callable
from dataclasses import replace
from itertools import count, permutations
from math import inf
from random import Random

import pytest
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from fennelpoint.system.actions import Send
from fennelpoint.system.store import replica
from fennelpoint.system.store.replica import ROLL, Store
from fennelpoint.testing.core_machines import Broken
from fennelpoint.testing.linearizable import Held, Op, fault, step
from fennelpoint.testing.operator_plans import Errand, Plan, Trouble
from fennelpoint.testing.operators import play

RUNS, SEED, SMALL = (os.environ.get("LARCHWING_HISTORIES", "") + "::").split(":")[:3]
ERRANDS = ("put", "patch", "get", "snapshot", "evacuate", "restore")
TROUBLES = ("cut", "kill", "acker", "wipe", "slow", "freeze", "deaf", "mute", "full", "add", "swap")


def plans(cores: tuple[int, int], errands: tuple[str, ...] = ERRANDS, troubles: tuple[str, ...] = TROUBLES):
    """Days of up to six seconds of traffic and trouble; tenths of a second, so that they shrink."""
    errand = st.builds(Errand, at=st.integers(0, 60), kind=st.sampled_from(errands), who=st.integers(0, 1),
                       pick=st.integers(0, 15), blind=st.booleans())
    trouble = st.builds(Trouble, at=st.integers(0, 60), kind=st.sampled_from(troubles), whom=st.integers(1, 31),
                        span=st.integers(1, 30))
    return st.builds(Plan, cores=st.integers(*cores), seed=st.integers(0, 999),
                     errands=st.lists(errand, min_size=3, max_size=24).map(tuple),
                     troubles=st.lists(trouble, max_size=6).map(tuple), lossy=st.booleans())


def drawn(runs: int):
    """So many in CI, always the same; by hand as many as are asked for, by a seed."""
    def use(test: Callable) -> Callable:
        phases = [Phase.explicit, Phase.generate, *([Phase.shrink] if SMALL else [])]
        test = settings(max_examples=int(RUNS or 3 * runs) // 3, suppress_health_check=list(HealthCheck),
                        derandomize=not RUNS, phases=phases)(test)
        return seed(int(SEED or 0))(test) if RUNS else test
    return use


@drawn(34)
@given(plans((3, 3)))
def test_three_machines_have_the_history_of_one_register(plan: Plan) -> None:
    play(plan)


@drawn(34)
@given(plans((4, 5)))
def test_five_machines_have_the_history_of_one_register(plan: Plan) -> None:
    play(plan)


@drawn(34)
@given(plans((6, 7)))
def test_machines_that_only_stand_by_change_nothing_in_the_history(plan: Plan) -> None:
    play(plan)


# Planted faults

def found(errands: tuple[str, ...], troubles: tuple[str, ...]) -> str:
    """The first fault that drawn days show, without making it smaller."""
    @settings(max_examples=100, phases=[Phase.generate], suppress_health_check=list(HealthCheck), database=None)
    @given(plans((3, 5), errands, troubles))
    def look(plan: Plan) -> None:
        play(plan)

    with pytest.raises(Broken) as broken:
        look()
    return str(broken.value)


def plant(monkeypatch: pytest.MonkeyPatch, instead: Callable[[Store, list], list | None]) -> None:
    """Another answer of the store to the registry beside it; none: its own."""
    heard = Store.heard

    def other(store: Store, peer: str, message: list, now: float) -> list:
        made = instead(store, message) if peer == ROLL else None
        return heard(store, peer, message, now) if made is None else made
    monkeypatch.setattr(Store, "heard", other)


def test_a_machine_that_is_cut_off_and_acknowledges_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def instead(store: Store, message: list) -> list | None:
        alone = store.world and 2 * len((store.up | {store.me}) & set(store.world["voters"])) <= len(
            store.world["voters"])
        if alone and message[0] == "change" and message[2] == "put":
            return [Send(ROLL, ["changed", message[1], 200, "", None])]
        return None

    plant(monkeypatch, instead)
    assert "no order fits" in found(("put", "get"), ("cut",))


def test_a_read_of_what_one_machine_holds_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def instead(store: Store, message: list) -> list | None:
        if message[0] == "read" and store.world:
            return [Send(ROLL, ["newest", message[1], store.world])]
        return None

    plant(monkeypatch, instead)
    assert "no order fits" in found(("put", "get"), ("cut", "slow"))


def test_an_order_that_was_taken_and_is_refused_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    calls = count()

    def instead(store: Store, message: list) -> list | None:
        if message[0] == "change" and message[2] == "put":
            message[3][2] += f" call {next(calls)}"     # nobody knows it again
        return None

    plant(monkeypatch, instead)
    assert "no order fits" in found(("put", "get"), ("acker",))


def test_two_that_are_confirmed_under_one_number_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    proper = replica.configure

    def configure(version: int, *rest) -> replica.Change:
        change = proper(version, *rest)
        make = change.make

        def lax(world: dict, outcome) -> dict:
            made = make(world, outcome)
            if outcome.status == 412 and version == world["version"]:
                outcome.status = 200
            return made
        change.make = lax
        return change

    monkeypatch.setattr(replica, "configure", configure)
    assert "no order fits" in found(("put", "get"), ("kill",))


# The checker itself, against a search through all orders

def fits(history: list[Op]) -> bool:
    """By trying every order of every choice of the calls without an answer."""
    sure, open_ = [op for op in history if op.ended < inf], [op for op in history if op.ended == inf]
    for keep in range(1 << len(open_)):
        ops = [*sure, *(op for i, op in enumerate(open_) if keep >> i & 1)]
        for order in permutations(ops):
            if any(late.ended < early.began for i, early in enumerate(order) for late in order[i + 1:]):
                continue
            held: Held | None = Held()
            for op in order:
                if (held := step(held, op)) is None:
                    break
            if held is not None:
                return True
    return False


def small(random: Random) -> list[Op]:
    """Up to five calls of one register, each round the moment at which it took effect; some are then spoilt."""
    held, history = Held(), []
    for at in range(random.randint(2, 5)):
        kind = random.choice(("put", "put", "get", "snapshot", "evacuate", "restore"))
        op = Op(at, kind, at - random.choice((0, 0, 0.5, 1.5, 2.5)), at + random.choice((0.1, 0.6, 1.6, 2.6)), 200,
                zone="z" if kind in ("evacuate", "restore") else "")
        if kind == "put":
            base = held.version if random.random() < 0.8 else 0
            op = replace(op, version=random.choice((base, base + 1, base + 2)), base=base,
                         routes=frozenset({("r", str(at))}))
            op = replace(op, status=200 if step(held, op) else 412 if base != held.version else 400)
        elif kind in ("get", "snapshot"):
            now = (held.version, held.base, held.routes, held.zones)
            op = replace(op, seen=now if kind == "snapshot" else now[:3])
        held = step(held, op)
        spoilt = random.random()
        if spoilt < 0.15 and kind == "put":
            op = replace(op, status=random.choice((200, 400, 412)))
        elif spoilt < 0.25 and kind not in ("get", "snapshot"):
            op = replace(op, ended=inf, status=0)
        elif spoilt < 0.35:
            op = replace(op, ended=op.began + 0.05)
        history.append(op)
    return history


def test_the_search_agrees_with_one_through_all_orders() -> None:
    random, verdicts = Random(1), {True: 0, False: 0}
    for _ in range(3000):
        history = small(random)
        verdicts[fits(history)] += 1
        assert (fault(history) == "") is fits(history), "\n".join(map(str, history))
    assert min(verdicts.values()) > 200, verdicts


def test_an_order_takes_effect_once_between_its_first_try_and_its_answer() -> None:
    """A late duplicate of an evacuation's begin, after its end was acknowledged, is no second evacuation."""
    begun = Op(1, "evacuate", 0.0, 1.0, 200, zone="z")
    ended = Op(2, "restore", 1.1, 1.2, 200, zone="z")
    free, still = (0, 0, frozenset(), frozenset()), (0, 0, frozenset(), frozenset({"z"}))
    assert fault([begun, ended, Op(0, "snapshot", 2.0, 2.1, 200, seen=free)]) == ""
    assert "no order fits" in fault([begun, ended, Op(0, "snapshot", 2.0, 2.1, 200, seen=still)])
