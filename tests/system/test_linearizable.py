"""Linearizability of operator requests and reads in random scenarios; the checker finds injected faults.

More runs: LARCHWING_HISTORIES=RUNS:SEED python -m pytest -q tests/system/test_linearizable.py -k history; with
`:small` after the seed a failing scenario is shrunk, which takes some minutes.
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
from fennelpoint.system.store.replica import REGISTRY, Replica
from fennelpoint.testing.core_machines import CheckFailed
from fennelpoint.testing.linearizable import Op, RegisterState, apply_operation, find_violation
from fennelpoint.testing.operator_plans import Fault, OperatorAction, Plan
from fennelpoint.testing.operators import play

RUNS, SEED, SHRINK = (os.environ.get("LARCHWING_HISTORIES", "") + "::").split(":")[:3]
ERRANDS = ("put", "patch", "get", "snapshot", "evacuate", "restore")
TROUBLES = ("cut", "kill", "acker", "wipe", "slow", "freeze", "deaf", "mute", "full", "add", "swap")


def plans(cores: tuple[int, int], errands: tuple[str, ...] = ERRANDS, troubles: tuple[str, ...] = TROUBLES):
    """Scenarios of up to six seconds of requests and faults; times in tenths of a second, so that they shrink."""
    errand = st.builds(OperatorAction, start_tenths=st.integers(0, 60), kind=st.sampled_from(errands),
                       operator=st.integers(0, 1), variant=st.integers(0, 15), uses_own_version=st.booleans())
    trouble = st.builds(Fault, start_tenths=st.integers(0, 60), kind=st.sampled_from(troubles),
                        machine_mask=st.integers(1, 31), duration_tenths=st.integers(1, 30))
    return st.builds(Plan, cores=st.integers(*cores), seed=st.integers(0, 999),
                     actions=st.lists(errand, min_size=3, max_size=24).map(tuple),
                     faults=st.lists(trouble, max_size=6).map(tuple), loses_replies=st.booleans())


def random_runs(runs: int):
    """`runs` fixed examples in CI; with LARCHWING_HISTORIES, as many as it asks for, by its seed."""
    def decorate(test: Callable) -> Callable:
        phases = [Phase.explicit, Phase.generate, *([Phase.shrink] if SHRINK else [])]
        test = settings(max_examples=int(RUNS or 3 * runs) // 3, suppress_health_check=list(HealthCheck),
                        derandomize=not RUNS, phases=phases)(test)
        return seed(int(SEED or 0))(test) if RUNS else test
    return decorate


@random_runs(34)
@given(plans((3, 3)))
def test_history_of_three_machines_is_linearizable(plan: Plan) -> None:
    play(plan)


@random_runs(34)
@given(plans((4, 5)))
def test_history_of_five_machines_is_linearizable(plan: Plan) -> None:
    play(plan)


@random_runs(34)
@given(plans((6, 7)))
def test_history_of_machines_with_standbys_is_linearizable(plan: Plan) -> None:
    play(plan)


# Injected faults

def find_fault(errands: tuple[str, ...], troubles: tuple[str, ...]) -> str:
    """The first fault in random scenarios, without shrinking."""
    @settings(max_examples=100, phases=[Phase.generate], suppress_health_check=list(HealthCheck), database=None)
    @given(plans((3, 5), errands, troubles))
    def check(plan: Plan) -> None:
        play(plan)

    with pytest.raises(CheckFailed) as broken:
        check()
    return str(broken.value)


def inject(monkeypatch: pytest.MonkeyPatch, answer: Callable[[Replica, list], list | None]) -> None:
    """Replaces the replica's actions on a message of the local registry; None leaves them as they are."""
    receive = Replica.receive

    def faulty_receive(replica_: Replica, peer: str, message: list, now: float) -> list:
        actions = answer(replica_, message) if peer == REGISTRY else None
        return receive(replica_, peer, message, now) if actions is None else actions
    monkeypatch.setattr(Replica, "receive", faulty_receive)


def test_partitioned_machine_that_acknowledges_a_request_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def answer(replica_: Replica, message: list) -> list | None:
        is_minority = replica_.state and 2 * len((replica_.connected | {replica_.me}) & set(
            replica_.state["voters"])) <= len(replica_.state["voters"])
        if is_minority and message[0] == "change" and message[2] == "put":
            return [Send(REGISTRY, ["changed", message[1], 200, "", None])]
        return None

    inject(monkeypatch, answer)
    assert "no order fits" in find_fault(("put", "get"), ("cut",))


def test_read_of_a_single_machine_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def answer(replica_: Replica, message: list) -> list | None:
        if message[0] == "read" and replica_.state:
            return [Send(REGISTRY, ["newest", message[1], replica_.state])]
        return None

    inject(monkeypatch, answer)
    assert "no order fits" in find_fault(("put", "get"), ("cut", "slow"))


def test_refusal_of_an_accepted_request_on_retry_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    calls = count()

    def answer(replica_: Replica, message: list) -> list | None:
        if message[0] == "change" and message[2] == "put":
            message[3][2] += f" call {next(calls)}"     # no machine recognizes its retry
        return None

    inject(monkeypatch, answer)
    assert "no order fits" in find_fault(("put", "get"), ("acker",))


def test_two_configurations_confirmed_under_one_version_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    original_configure = replica.configure

    def configure(version: int, *rest) -> replica.Change:
        change = original_configure(version, *rest)
        apply = change.apply

        def lax_apply(state: dict, outcome) -> dict:
            changed = apply(state, outcome)
            if outcome.status == 412 and version == state["version"]:
                outcome.status = 200
            return changed
        change.apply = lax_apply
        return change

    monkeypatch.setattr(replica, "configure", configure)
    assert "no order fits" in find_fault(("put", "get"), ("kill",))


# The checker itself, against an exhaustive search

def is_linearizable(history: list[Op]) -> bool:
    """Tries every order, with every subset of the operations without an answer."""
    answered, unanswered = [op for op in history if op.ended < inf], [op for op in history if op.ended == inf]
    for included in range(1 << len(unanswered)):
        ops = [*answered, *(op for i, op in enumerate(unanswered) if included >> i & 1)]
        for order in permutations(ops):
            if any(later.ended < earlier.began for i, earlier in enumerate(order) for later in order[i + 1:]):
                continue
            state: RegisterState | None = RegisterState()
            for op in order:
                if (state := apply_operation(state, op)) is None:
                    break
            if state is not None:
                return True
    return False


def random_history(random: Random) -> list[Op]:
    """Up to five operations on one register, each around the time of its effect; some are then corrupted."""
    state, history = RegisterState(), []
    for time in range(random.randint(2, 5)):
        kind = random.choice(("put", "put", "get", "snapshot", "evacuate", "restore"))
        op = Op(time, kind, time - random.choice((0, 0, 0.5, 1.5, 2.5)), time + random.choice((0.1, 0.6, 1.6, 2.6)),
                200, zone="z" if kind in ("evacuate", "restore") else "")
        if kind == "put":
            base = state.version if random.random() < 0.8 else 0
            op = replace(op, version=random.choice((base, base + 1, base + 2)), base=base,
                         routes=frozenset({("r", str(time))}))
            op = replace(op, status=200 if apply_operation(state, op) else 412 if base != state.version else 400)
        elif kind in ("get", "snapshot"):
            observed = (state.version, state.base, state.routes, state.zones)
            op = replace(op, seen=observed if kind == "snapshot" else observed[:3])
        state = apply_operation(state, op)
        corruption = random.random()
        if corruption < 0.15 and kind == "put":
            op = replace(op, status=random.choice((200, 400, 412)))
        elif corruption < 0.25 and kind not in ("get", "snapshot"):
            op = replace(op, ended=inf, status=0)
        elif corruption < 0.35:
            op = replace(op, ended=op.began + 0.05)
        history.append(op)
    return history


def test_checker_agrees_with_an_exhaustive_search() -> None:
    random, verdicts = Random(1), {True: 0, False: 0}
    for _ in range(3000):
        history = random_history(random)
        verdicts[is_linearizable(history)] += 1
        assert (find_violation(history) == "") is is_linearizable(history), "\n".join(map(str, history))
    assert min(verdicts.values()) > 200, verdicts


def test_request_takes_effect_once_between_its_first_attempt_and_its_answer() -> None:
    """A late duplicate of the request to begin an evacuation, after the request to end it was acknowledged, must not
    begin a second one."""
    begun = Op(1, "evacuate", 0.0, 1.0, 200, zone="z")
    ended = Op(2, "restore", 1.1, 1.2, 200, zone="z")
    none_evacuated, still_evacuated = (0, 0, frozenset(), frozenset()), (0, 0, frozenset(), frozenset({"z"}))
    assert find_violation([begun, ended, Op(0, "snapshot", 2.0, 2.1, 200, seen=none_evacuated)]) == ""
    assert "no order fits" in find_violation([begun, ended, Op(0, "snapshot", 2.0, 2.1, 200, seen=still_evacuated)])


def test_attempt_without_an_answer_may_take_effect_until_its_order_is_answered_and_not_later() -> None:
    """Each attempt is an order of its own, as nothing tells a retry from a new order."""
    attempt, retry = (Op(1, "evacuate", 0.0, zone="z", effective_by=4.0), Op(1, "evacuate", 3.0, 4.0, 200, zone="z"))
    ended_between, ended_after = (Op(2, "restore", began, began + 1.0, 200, zone="z") for began in (1.0, 5.0))
    none_evacuated, evacuated = (0, 0, frozenset(), frozenset()), (0, 0, frozenset(), frozenset({"z"}))
    early, late = (Op(0, "snapshot", 0.5, 0.6, 200, seen=evacuated), Op(0, "snapshot", 7.0, 7.1, 200, seen=evacuated))
    assert find_violation([attempt, early, ended_between, retry, late]) == ""
    gone = Op(0, "snapshot", 7.0, 7.1, 200, seen=none_evacuated)
    assert find_violation([attempt, early, ended_between, retry, ended_after, gone]) == ""
    assert "no order fits" in find_violation([attempt, early, ended_between, retry, ended_after, late])
