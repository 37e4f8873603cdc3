"""Two processes of one ingress: the record between them, who lives, stores that are never in two places."""

import os
import subprocess
import sys
import time

import pytest
from conftest import CAPPED, HARD, READY, UNSAFE, Harness, make_settings
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fennelpoint import handover_record as records
from fennelpoint import interface as api
from fennelpoint.file_descriptors import plan
from fennelpoint.handover import final_snapshot, snapshot
from fennelpoint.handover_record import MAX_AGE_S, MAX_AHEAD_S, MAX_BYTES, BadRecord, Record, decode, encode
from fennelpoint.net.hot_restart import GenerationRegistry
from fennelpoint.restart_coordination import (
    STATE_TIMEOUT_S,
    ApplyState,
    RestartCoordinator,
    SendState,
    SetProcessCount,
    StartServing,
)

GOOD = Record("n0", "127.0.0.1:80", 3, 4, 1000.0, False, {"customers": [{"key": 1}], "window": 2.5})

# The record


def read(data: bytes, **changes) -> Record:
    return decode(data, **{"name": "n0", "listen": "127.0.0.1:80", "reader": 4, "now": 1001.0, **changes})


JSON = st.recursive(st.none() | st.booleans() | st.integers(-1 << 53, 1 << 53) | st.text(max_size=8)
                    | st.floats(allow_nan=False, allow_infinity=False),
                    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(
                        st.text(max_size=4), inner, max_size=3), max_leaves=8)


@given(st.dictionaries(st.text(max_size=8), JSON, max_size=4), st.booleans())
def test_a_record_comes_back_as_it_was(state, last):
    made = Record("n0", "127.0.0.1:80", 3, 4, 1000.0, last, state)
    assert read(encode(made)) == made


@pytest.mark.parametrize("end", range(0, len(encode(GOOD)), 7))
def test_a_torn_record_is_told(end):
    with pytest.raises(BadRecord):
        read(encode(GOOD)[:end])


@given(st.integers(0, len(encode(GOOD)) - 1), st.integers(1, 255))
def test_a_record_with_any_byte_changed_is_told(at, change):
    data = bytearray(encode(GOOD))
    data[at] ^= change
    with pytest.raises(BadRecord):
        read(bytes(data))


@given(st.binary(max_size=200))
def test_noise_is_no_record(data):
    with pytest.raises(BadRecord):
        read(data)


@pytest.mark.parametrize("changes, says", [
    (dict(name="n1"), "it is of 'n0'"), (dict(listen="127.0.0.1:81"), "at '127.0.0.1:80'"),
    (dict(reader=5), "for generation 4, and this is 5"), (dict(now=1000.0 + MAX_AGE_S + 0.1), "s old"),
    (dict(now=1000.0 - MAX_AHEAD_S - 0.1), "s old")])
def test_a_record_that_is_foreign_stale_or_from_the_future_is_told(changes, says):
    with pytest.raises(BadRecord, match=says):
        read(encode(GOOD), **changes)


def test_a_record_of_another_schema_is_told(monkeypatch):
    monkeypatch.setattr(records, "SCHEMA", 2)
    data = encode(GOOD)
    monkeypatch.setattr(records, "SCHEMA", 1)
    with pytest.raises(BadRecord, match="this program reads 1"):
        read(data)


@pytest.mark.parametrize("field, value", [("writer", "3"), ("reader", 4.0), ("at", "now"), ("last", 1)])
def test_a_record_whose_fields_are_of_another_type_is_told(field, value):
    values = {**{n: getattr(GOOD, n) for n in ("name", "listen", "writer", "reader", "at", "last", "state")},
              field: value}
    with pytest.raises(BadRecord):
        read(encode(Record(**values)))


def test_a_record_is_cut_to_its_bound_from_the_end():
    customers = [{"key": k, "x": "y" * 100} for k in range(40_000)]
    data = encode(Record("n0", "127.0.0.1:80", 3, 4, 1000.0, False, {"customers": customers}))
    left = read(data).state["customers"]
    assert len(data) < MAX_BYTES + 200 and 0 < len(left) < 40_000 and left == customers[:len(left)]


# Who lives, who serves


def test_the_first_process_serves_as_soon_as_it_can():
    first = RestartCoordinator(1, set(), 0.0)
    assert first.due_steps(set(), set(), set(), False, 0.0) == []
    assert first.due_steps(set(), set(), set(), True, 0.1) == [StartServing()]
    assert first.due_steps(set(), set(), set(), True, 0.2) == []


def test_a_new_process_takes_over_before_it_serves_and_has_half_until_the_old_one_is_gone():
    old, new = RestartCoordinator(1, set(), 0.0), RestartCoordinator(2, {1}, 5.0)
    old.due_steps(set(), set(), set(), True, 0.0)
    assert new.due_steps({1}, set(), set(), True, 5.0) == [SetProcessCount(2)]
    assert old.due_steps({2}, set(), set(), True, 5.1) == [SendState(2, 2), SetProcessCount(2)]
    assert old.due_steps({2}, set(), set(), True, 5.2) == []
    assert new.due_steps({1}, {1}, set(), True, 5.2) == [ApplyState(1), StartServing()]
    assert new.due_steps(set(), {1}, {1}, True, 8.0) == [SetProcessCount(1), ApplyState(1, is_final=True)]


def test_a_new_process_that_hears_nothing_starts_cold():
    new = RestartCoordinator(2, {1}, 5.0)
    new.due_steps({1}, set(), set(), True, 5.0)
    assert new.due_steps({1}, set(), set(), True, 5.0 + STATE_TIMEOUT_S - 0.01) == []
    assert new.due_steps({1}, set(), set(), True, 5.0 + STATE_TIMEOUT_S) == [StartServing()]
    late = new.due_steps({1}, {1}, set(), True, 5.0 + 2 * STATE_TIMEOUT_S)
    assert late == [ApplyState(1)]    # it comes all the same: its part of the stores was given away


def test_a_new_process_whose_predecessor_is_killed_serves_at_once_with_the_whole_share():
    new = RestartCoordinator(2, {1}, 5.0)
    new.due_steps({1}, set(), set(), True, 5.0)
    assert new.due_steps(set(), set(), set(), True, 5.1) == [SetProcessCount(1), StartServing()]


def test_a_new_process_that_never_gets_ready_never_serves_and_leaves_the_old_one_its_half():
    old, new = RestartCoordinator(1, set(), 0.0), RestartCoordinator(2, {1}, 5.0)
    old.due_steps(set(), set(), set(), True, 0.0)
    assert old.due_steps({2}, set(), set(), True, 5.1) == [SendState(2, 2), SetProcessCount(2)]
    steps = [step for at in (5.0, 5.2, 5.0 + STATE_TIMEOUT_S, 30.0)
             for step in new.due_steps({1}, {1}, set(), False, at)]
    assert steps == [SetProcessCount(2), ApplyState(1)] and not new.is_serving and old.is_serving
    assert old.due_steps({2}, set(), set(), True, 30.0) == []
    assert old.due_steps(set(), set(), set(), True, 31.0) == [SetProcessCount(1)]      # it is ended: the whole again


def test_an_old_process_whose_successor_dies_has_the_whole_share_and_tells_the_next_one():
    old = RestartCoordinator(1, set(), 0.0)
    old.due_steps(set(), set(), set(), True, 0.0)
    old.due_steps({2}, set(), set(), True, 1.0)
    assert old.due_steps(set(), set(), set(), True, 2.0) == [SetProcessCount(1)] and old.successor is None
    assert old.due_steps({3}, set(), set(), True, 3.0) == [SendState(3, 2), SetProcessCount(2)]


class Processes(RuleBasedStateMachine):
    """Starts and deaths in any order: shares sum to the whole once all have looked, and somebody serves."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.next = 0.0, 1
        self.live: dict[int, RestartCoordinator] = {}
        self.words: set[tuple[int, int]] = set()
        self.serving: set[int] = set()
        self.settled = False

    @precondition(lambda self: len(self.live) < 3)
    @rule()
    def start(self) -> None:
        self.live[self.next] = RestartCoordinator(self.next, set(self.live), self.now)
        self.next, self.settled = self.next + 1, False

    @precondition(lambda self: self.live)
    @rule(data=st.data())
    def die(self, data) -> None:
        gone = data.draw(st.sampled_from(sorted(self.live)))
        del self.live[gone]
        self.serving.discard(gone)
        self.settled = False

    @rule(wait=st.floats(0.0, 2.0))
    def look(self, wait: float) -> None:
        self.now += wait
        for _ in range(3):
            for generation, process in self.live.items():
                told = {w for w, r in self.words if r == generation}
                for step in process.due_steps(set(self.live) - {generation}, told, set(), True, self.now):
                    if isinstance(step, SendState):
                        assert step.generation > generation and step.processes == len(self.live)
                        self.words.add((generation, step.generation))
                    if isinstance(step, StartServing):
                        self.serving.add(generation)
        self.settled = True

    @invariant()
    def shares_are_those_of_one(self) -> None:
        if self.settled and self.live:
            assert sum(1.0 / p.processes for p in self.live.values()) == pytest.approx(1.0)
            assert self.now < STATE_TIMEOUT_S or self.serving or any(
                self.now < p.wait_until for p in self.live.values())


TestProcesses = Processes.TestCase


# What is told


def pair(plan_index: int, units: float = 1.0) -> tuple[Harness, Harness]:
    """An old process that has served, and a new one, both without a counter's answers."""
    made = []
    for _ in range(2):
        one = Harness(make_settings())
        one.backends(*(f"s{i}" for i in range(40)))
        made.append(one)
    old, new = made
    for _ in range(3):
        old.request(UNSAFE, plan_index, customer=9, units=units)
    return old, new


def hand_over(old: Harness, new: Harness) -> None:
    new.now = old.now
    new.deliver(api.ProcessCount(2))
    state = snapshot(old.control, 2)
    old.deliver(api.ProcessCount(2))
    new.deliver(api.PredecessorState(state))


def test_what_is_told_is_taken_off():
    old, new = pair(HARD)
    before = old.control.customers[9].level
    hand_over(old, new)
    assert old.control.customers[9].level == new.control.customers[9].level == before / 2
    shares = old.control.customers[9].share + new.control.customers[9].share
    assert shares == pytest.approx(0.5)     # of two ingresses


def flood(made: Harness, customer: int, plan_index: int, seconds: float) -> int:
    """Units sent on of a customer that asks far beyond its quota; each is answered at once."""
    sent, end = set(), made.now + seconds
    while made.now < end:
        actions = []
        for _ in range(3):
            actions += made.request(UNSAFE, plan_index, customer=customer, left=6.0)
        actions += made.advance(0.05)
        for action in actions:
            if isinstance(action, api.Send) and action.request not in sent:
                sent.add(action.request)
                made.answer(action.request, action.backend, latency=0.01)
    return len(sent)


@pytest.mark.parametrize("plan_index", [HARD, CAPPED])
def test_both_together_take_no_more_than_one_would(plan_index):
    """A flood on both for 6 s, the counter silent: one bucket and one refill between them."""
    old, new = pair(plan_index)
    p = old.settings.plans[plan_index]
    hand_over(old, new)
    held = old.control.customers[9].level + new.control.customers[9].level
    capped = old.control.customers[9].ceiling + new.control.customers[9].ceiling
    sent = [flood(made, 9, plan_index, 6.0) for made in (old, new)]
    rate = p.ceiling_rate if plan_index == CAPPED else p.rate
    most = (capped if plan_index == CAPPED else held) + rate / 2 * 6.0
    assert sum(sent) <= most + 2.0 and min(sent) > 0


def test_the_last_word_gives_back_what_is_left_and_owed():
    old, new = pair(HARD)
    hand_over(old, new)
    old.control.customers[9].fresh, old.control.customers[9].untold = 2.0, 1.5
    level = old.control.customers[9].level
    state = final_snapshot(old.control)
    new.deliver(api.ProcessCount(1))
    mine, fresh = new.control.customers[9].level, new.control.customers[9].fresh
    new.deliver(api.PredecessorState(state))
    c = new.control.customers[9]
    assert c.level == pytest.approx(min(8.0, mine + level)) and c.fresh == fresh + 2.0 and c.untold == 1.5
    assert c.width == 2.0


def test_health_goes_by_the_start_of_a_backend():
    old, new = pair(HARD)
    for name in ("s1", "s2"):
        b = old.control.fleet.backends[name]
        b.slow, b.fails, b.rest_until = 5.0, 3, old.now + 2.0
    new.roster(api.BackendEntry("s1", READY), api.BackendEntry("s2", READY, started_at=new.now))
    hand_over(old, new)
    known = new.control.fleet.backends
    assert (known["s1"].slow, known["s1"].fails) == (5.0, 3) and known["s2"].slow == 1.0


def test_health_waits_for_a_list_that_comes_later():
    old, _ = pair(HARD)
    old.control.fleet.backends["s1"].slow = 5.0
    new = Harness(make_settings())
    hand_over(old, new)
    new.backends("s1")
    assert new.control.fleet.backends["s1"].slow == 5.0


@given(st.dictionaries(st.sampled_from(["customers", "rest", "backends", "typical", "usual", "odds", "crowds",
                                        "asking", "answers"]), JSON, max_size=9))
def test_a_state_of_any_shape_harms_nothing(state):
    made = Harness(make_settings())
    made.deliver(api.PredecessorState(state))
    made.backends("a", "b")
    assert any(isinstance(a, api.Send | api.Refuse) for a in made.request() + made.advance(4.0))


ENTRY = {"key": 9, "plan": 0, "width": 2.0, "share": 0.5, "level": 1.0, "ceiling": 0.0}


@pytest.mark.parametrize("change", [
    {"key": "9"}, {"plan": 99}, {"plan": True}, {"width": 0.0}, {"share": 2.0}, {"level": None},
    {"store": "x"}, {"ceiling": float("inf")}])
def test_an_entry_that_makes_no_sense_is_left_out_and_counted(change):
    made = Harness(make_settings())
    actions = made.deliver(api.PredecessorState({"customers": [ENTRY | change, ENTRY | {"key": 10}]}))
    assert [type(a) for a in actions] == [api.Log] and actions[0].text.startswith("1 entries")
    assert list(made.control.customers) == [10]


def test_more_than_a_burst_is_believed_of_nobody():
    made = Harness(make_settings())
    made.deliver(api.PredecessorState({"customers": [ENTRY | {"level": 1e9, "ceiling": 1e9}]}))
    assert made.control.customers[9].level == 8.0 and made.control.customers[9].ceiling == 0.0


# On disk


def test_a_generation_lives_for_as_long_as_its_process(tmp_path):
    program = ("import sys, time; from fennelpoint.net.hot_restart import GenerationRegistry\n"
               "print(GenerationRegistry(sys.argv[1], 'n0', 'a:1').generation, flush=True); time.sleep(60)")
    child = subprocess.Popen([sys.executable, "-c", program, str(tmp_path)], stdout=subprocess.PIPE)
    try:
        assert child.stdout.readline() == b"1\n"
        relay = GenerationRegistry(str(tmp_path), "n0", "a:1")
        assert relay.generation == 2 and relay.live_generations() == {1}
        child.kill()
        child.wait()
        assert relay.live_generations() == set() and not list(tmp_path.glob("*.1.live"))
    finally:
        child.kill()
        child.communicate()


def test_starts_at_once_get_generations_of_their_own(tmp_path):
    relays = [GenerationRegistry(str(tmp_path), "n0", "a:1") for _ in range(5)]
    assert [r.generation for r in relays] == [1, 2, 3, 4, 5]
    assert relays[0].live_generations() == {2, 3, 4, 5}
    relays[3].mark_serving()
    assert relays[0].is_serving(4) and not relays[0].is_serving(5)
    for relay in relays:
        relay.close()
    assert not list(tmp_path.iterdir())


@pytest.mark.parametrize("spoil, says", [
    (lambda path: path.write_bytes(path.read_bytes()[:-30]), "torn"),
    (lambda path: path.write_bytes(b"\x00" * 100), "no handover"),
    (lambda path: path.write_bytes(b"x" * (MAX_BYTES + 2000)), "larger"),
    (lambda path: path.write_bytes(encode(Record("n1", "a:1", 1, 2, time.time()))), "it is of 'n1'"),
    (lambda path: path.write_bytes(encode(Record("n0", "a:1", 1, 2, time.time() - 60.0))), "s old"),
    (lambda path: path.write_bytes(encode(Record("n0", "a:1", 1, 2, time.time() + 60.0))), "s old"),
    (lambda path: path.write_bytes(encode(Record("n0", "a:1", 7, 2, time.time()))), "generation 7"),
    (lambda path: (path.unlink(), path.mkdir()), "directory"),
])
def test_a_file_that_cant_be_used_is_set_aside_with_one_line(tmp_path, caplog, spoil, says):
    old, new = GenerationRegistry(str(tmp_path), "n0", "a:1"), GenerationRegistry(str(tmp_path), "n0", "a:1")
    old.write_record(2, {"window": 3.0})
    (path,) = tmp_path.glob("*.word")
    spoil(path)
    assert new.has_record(1, False) and new.read_record(1, False) is None
    assert len(caplog.records) == 1 and "starts cold" in caplog.text and says in caplog.text
    assert not new.has_record(1, False) and list(tmp_path.glob("*.bad"))


def test_a_word_is_read_once(tmp_path):
    old, new = GenerationRegistry(str(tmp_path), "n0", "a:1"), GenerationRegistry(str(tmp_path), "n0", "a:1")
    old.write_record(2, {"window": 3.0})
    old.write_record(2, {"rest": []}, is_last=True)
    assert new.read_record(1, False) == {"window": 3.0} and not new.has_record(1, False)
    assert new.read_record(1, True) == {"rest": []} and not new.has_record(1, True)


def test_a_folder_that_is_full_or_gone_costs_the_word_and_not_the_process(tmp_path, caplog):
    old = GenerationRegistry(str(tmp_path), "n0", "a:1")
    os.chmod(tmp_path, 0o500)
    old.folder = tmp_path / "gone"
    old.write_record(2, {"window": 3.0})
    assert "can't write the handover record for generation 2" in caplog.text
    os.chmod(tmp_path, 0o700)


# Descriptors


@pytest.mark.parametrize("limit", [64, 128, 192, 384, 512, 1024, 4096])
@pytest.mark.parametrize("parts", [1, 2])
def test_two_processes_stay_within_the_limit_of_one(limit, parts):
    made = plan(limit, parts)
    assert min(made.admin_callers, made.clients, made.upstream) >= 2
    if limit // parts >= 64:
        assert parts * (made.admin_callers + made.clients + made.upstream + 24) <= limit


def test_the_last_word_of_a_store_in_debt_is_taken_too():
    """Units settled after the answer leave a store below nothing; its use was dropped with it."""
    old, new = pair(HARD)
    hand_over(old, new)
    c = old.control.customers[9]
    c.level, c.fresh = -1.0, 2.0
    state = final_snapshot(old.control)
    new.deliver(api.ProcessCount(1))
    mine = new.control.customers[9].level
    new.deliver(api.PredecessorState(state))
    assert new.control.customers[9].level == mine - 1.0 and new.control.customers[9].fresh == 2.0


def test_a_word_that_comes_late_leaves_customers_as_they_are_served_here():
    """Taken over what was sent meanwhile, it gave a fresh bucket and lost count of what is out."""
    old, new = pair(HARD)
    new.deliver(api.ProcessCount(2))
    state = snapshot(old.control, 2)
    new.request(UNSAFE, HARD, customer=9)
    before = new.control.customers[9]
    level, out = before.level, before.open
    assert out > 0
    new.deliver(api.PredecessorState(state))
    assert new.control.customers[9] is before and (before.level, before.open) == (level, out)


def test_a_drained_ingress_leaves_its_share_to_the_others_and_has_it_again_after():
    """What the fleet sees of a drain: nobody asks there, so the counter's totals give the share away."""
    harnesses, totals = [Harness(make_settings(me=i)) for i in range(2)], {}
    for made in harnesses:
        made.backends(*(f"s{i}" for i in range(40)))

    def ask(made: Harness) -> None:
        for action in made.request(UNSAFE, HARD, customer=9, left=6.0):
            if isinstance(action, api.Send):
                made.answer(action.request, action.backend, latency=0.01)

    def seconds(span: float, takes: list[Harness]) -> None:
        for _ in range(int(span / 0.25)):
            for made in harnesses:
                if made in takes:
                    ask(made)
                made.advance(0.25)
                made.count_replies(totals=totals)

    seconds(12.0, harnesses)
    assert all(0.25 < made.control.customers[9].share < 0.85 for made in harnesses)
    seconds(12.0, harnesses[:1])   # the other is drained: its clients come here
    assert harnesses[0].control.customers[9].share > 0.9
    seconds(12.0, harnesses)       # and is back
    assert all(0.25 < made.control.customers[9].share < 0.85 for made in harnesses)


@pytest.mark.parametrize("seed", range(3))
def test_a_cold_backend_gets_no_more_of_two_processes_than_of_one(seed):
    """Drawn for each try, and the tries of one are divided between two."""
    def cold_sends(harnesses: list[Harness]) -> tuple[int, int]:
        cold = total = 0
        for made in harnesses:
            made.roster(api.BackendEntry("cold", READY, started_at=made.now),
                        *(api.BackendEntry(f"s{i}", READY) for i in range(5)))
        for i in range(600):
            made = harnesses[i % len(harnesses)]
            for action in made.request(0, 1, customer=i, left=4.0):
                if isinstance(action, api.Send):
                    total, cold = total + 1, cold + (action.backend == "cold")
                    made.answer(action.request, action.backend, latency=0.05)
            for one in harnesses:
                one.advance(0.002)
        return cold, total

    one = cold_sends([Harness(make_settings())])
    twins = [Harness(make_settings()) for _ in range(2)]
    for i, made in enumerate(twins):
        made.control.random.seed(100 * seed + i)
        made.deliver(api.ProcessCount(2))
    both = cold_sends(twins)
    assert both[1] > 0.9 * one[1] > 0
    # Its even part would be one in six; at a fifth of its capacity it is drawn a fifth as often.
    assert both[0] / both[1] < 1.5 * max(one[0] / one[1], 0.2 / 6)
