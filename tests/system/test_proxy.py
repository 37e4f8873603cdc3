"""A front's reading of requests, its judgement of answers, and what it decides by what the core lends."""

import asyncio
import time
from random import Random

import pytest

from fennelpoint import interface as api
from fennelpoint.body_buffering import Budget
from fennelpoint.net.backends import Exchange
from fennelpoint.net.controller_runtime import Clock
from fennelpoint.net.request_parser import BadRequest, LocalReply
from fennelpoint.system.config_versions import Version
from fennelpoint.system.proxy.controller import Decider
from fennelpoint.system.proxy.controller_host import SystemBackends
from fennelpoint.system.proxy.events import (
    BackendPlaces,
    Catalogue,
    LeasedShares,
    LeaseExtended,
    RetryRule,
    UnitsGranted,
    UnitsNeeded,
)
from fennelpoint.system.proxy.queue_timeout import HELD_PART
from fennelpoint.system.proxy.request_parser import SystemReader

S = api.Status


def rule(name: str, prefix: str, kind: str = "idempotent", **act) -> dict:
    public = act.pop("public", False)
    return {"name": name, "kind": kind, "target_latency_s": 0.4, "public": public,
            "match_criteria": {"path_prefix": prefix},
            "route_action": {"request_timeout_s": 1.5, "max_attempts": 2, **act}}


def reader(tenants: bool = True, leased: bool = True) -> SystemReader:
    split = [{"service": "a", "traffic_weight": 0}, {"service": "b", "traffic_weight": 5}]
    rules = [rule("r1", "/x/", service="a"), rule("r3", "/split/", traffic_split=split),
             rule("r2", "/x/deep/", "non_idempotent", service="b", home_regions=["r1", "r2"]),
             rule("r4", "/open/", service="a", public=True)]
    value = {"version": 3, "clusters": [{"name": "a"}, {"name": "b"}],
             "listener_table": [{"host": "H.example", "rule_set": rules}]}
    if tenants:
        value["tenants"] = [{"name": "t1", "api_keys": ["k1"], "rate_per_s": 5, "burst_size": 5},
                            {"name": "t2", "api_keys": ["k2"], "home_regions": ["r2", "r3"]},
                            {"name": "t3", "api_keys": ["k3"], "home_regions": ["r3"]}]
    made = SystemReader(lambda: None, Random(1), lambda: leased)
    made.take(Version(value))
    return made


def read(one: SystemReader, url: bytes, *fields: tuple[bytes, bytes], key: bytes = b"k1", method: bytes = b"GET"):
    given = [(b"host", b"h.example:80"), (b"x-attempt-id", b"i1"), (b"x-deadline-remaining", b"900"), *fields]
    return one.read(method, url, given + ([(b"authorization", b"Token " + key)] if key else []), b"")


def test_the_longest_prefix_is_the_route_and_its_tenant_and_backend_are_named_to_the_backend() -> None:
    one = reader()
    asked = read(one, b"/x/deep/1?q", (b"x-tenant-name", b"forged"), (b"x-expected-instance", b"forged"),
                 method=b"POST")
    assert (asked.cell, asked.is_write, asked.attempts, asked.time_left) == ("b|r1,r2", True, 2, 0.9)
    sent = asked.render(0.5, "i-7").lower()
    assert sent.startswith(b"post /x/deep/1?q http/1.1") and b"x-tenant-name: t1" in sent
    for line in (b"x-expected-instance: i-7", b"x-attempt-id: i1", b"x-deadline-remaining: 500"):
        assert line in sent
    assert b"forged" not in sent and b"k1" not in sent
    assert read(one, b"/x/other").cell == "a" and read(one, b"/split/1").cell == "b"
    assert one.take_asked() == {"t1": 3} and one.take_asked() == {}


@pytest.mark.parametrize("url, key, status", [(b"/none/1", b"k1", 404), (b"/x", b"k1", 404), (b"/x/1", b"", 401),
                                              (b"/x/1", b"nobody", 401)])
def test_without_a_route_or_a_known_key_it_is_answered_here(url, key, status) -> None:
    with pytest.raises(LocalReply) as told:
        read(reader(), url, key=key)
    assert told.value.status == status


@pytest.mark.parametrize("url, key", [(b"/none/1", b"k1"), (b"/x/1", b""), (b"/x/1", b"k1"), (b"/open/1", b"")])
def test_without_a_lease_nothing_is_decided_by_the_version_held(url, key) -> None:
    one = reader(leased=False)
    with pytest.raises(LocalReply) as told:
        read(one, url, key=key)
    assert told.value.status == 503 and dict(told.value.headers)[b"retry-after"] == b"0.500"
    known = key and url == b"/x/1"
    assert one.take_asked() == ({"t1": 1} if known else {})     # demand is told to the core all the same


def test_a_public_route_needs_no_key_and_a_doubled_field_is_refused() -> None:
    assert read(reader(), b"/open/1", key=b"").customer == -1
    assert read(reader(tenants=False), b"/x/1", key=b"").customer == -1
    with pytest.raises(BadRequest):
        read(reader(), b"/x/1", (b"x-attempt-id", b"i2"))


def test_homes_of_route_and_tenant_both_bind() -> None:
    one = reader()
    assert read(one, b"/x/deep/1", key=b"k2").cell == "b|r2"
    assert read(one, b"/x/1", key=b"k2").cell == "a|r2,r3"
    cell = read(one, b"/x/deep/1", key=b"k3").cell
    assert one.cells[cell] == ("b", frozenset(("",)))       # nowhere


@pytest.mark.parametrize("status, fields, proves", [
    (200, {b"x-attempt-id": b"i1", b"x-server-seal": b"s"}, S.OK),
    (200, {b"x-attempt-id": b"i0", b"x-server-seal": b"s"}, None),      # another request's, come late
    (200, {b"x-attempt-id": b"i1"}, None), (200, {b"x-server-seal": b"s"}, None),
    (421, {b"x-instance-id": b"other"}, S.ELSEWHERE),                  # the address has another owner by now
    (503, {b"x-not-executed": b"1"}, S.FULL), (503, {b"x-attempt-id": b"i1"}, S.ERROR),
    (500, {b"x-attempt-id": b"i1"}, S.ERROR), (500, {}, None)])
def test_what_an_answer_proves(status, fields, proves) -> None:
    pool = SystemBackends(asyncio.new_event_loop(), 10, 0.1, 0.0, Budget(1 << 20))
    exchange = Exchange(lambda: b"", lambda status, answer: None)
    exchange.txn = b"i1"
    assert pool.judge(exchange, status, list(fields.items())) is proves
    assert pool.keeps_for([(b"keep-alive", b"timeout=10, max=5")]) == 6.0


class Front:
    """A decider with two backends of one service, and what it was told to do."""

    def __init__(self, share: float = 1.0, slack: float = 10.0, cold: dict | None = None, rate: float = 0.0) -> None:
        classes = [api.RequestClass("read", 1.0, 4.0, 1.0, api.Effect.SAFE),
                   api.RequestClass("write", 1.0, 4.0, 3.0, api.Effect.UNSAFE)]
        plans = [api.Plan("public", 1.0), api.Plan("t1", 1.0, rate, rate)]
        self.now, self.number, self.out = 100.0, 0, []
        settings = api.Settings(0, 1, 0, classes, plans, 8, 0.0, 1.0, 0.0, 1.0, 1.0, 0.0, 0.001, most_units=1.0,
                                may_advise=True, max_advice=3.0)
        self.one = Decider(settings, 1, self.now)
        self.tell(Catalogue(classes, plans))
        self.tell(api.Cells({"svc": api.Cell(frozenset(("b1", "b2")))}))
        entries = [api.BackendEntry(b, api.BackendState.READY) for b in ("b1", "b2")]
        self.tell(api.Roster(api.RosterKind.FULL, 0, entries))
        self.tell(BackendPlaces({"b2": (0.05, 0.7)}, {"b1": 4, "b2": 4}, cold or {}))
        self.tell(LeasedShares({1: share}, slack))

    def tell(self, event) -> list:
        made = self.one.handle(event, self.now)
        self.out += made
        return [a for a in made if isinstance(a, api.Send | api.Refuse | api.Fail | UnitsNeeded)]

    def ask(self, write: bool = False) -> list:
        self.number += 1
        return self.tell(api.Request(self.number, int(write), 1, 1, 3.0, 1.0, 1.0, 0.0, False, write, cell="svc",
                                     attempts=2))

    def saves_up(self) -> None:
        """A request that went well, and then a budget's window in which none was sent again."""
        (send,) = self.ask()
        self.ends(S.OK, send.backend)
        self.wait(10.0)

    def ends(self, status: S, backend: str) -> list:
        return self.tell(api.Outcome(self.number, 0, backend, status, 0.1, False))

    def wait(self, span: float) -> list:
        self.now += span
        return self.tell(api.TimerDue(2))


def test_a_write_that_may_have_run_fails_and_one_that_has_not_goes_elsewhere() -> None:
    for status in (S.RESET, S.ERROR, S.TIMEOUT):
        front = Front()
        front.saves_up()
        (send,) = front.ask(write=True)
        assert isinstance(front.ends(status, send.backend)[0], api.Fail)
    for status in (S.FULL, S.ELSEWHERE, S.CONNECT_FAILED):
        front = Front()
        front.saves_up()
        (send,) = front.ask(write=True)
        (again,) = front.ends(status, send.backend) or front.wait(0.1)
        assert isinstance(again, api.Send) and again.backend != send.backend


def test_a_further_try_draws_on_the_budget_that_was_lent_and_a_refused_connect_does_not() -> None:
    for slack, what in ((0.0, api.Refuse), (10.0, api.Send)):
        front = Front(slack=slack)
        front.saves_up()
        (send,) = front.ask()
        assert isinstance((front.ends(S.RESET, send.backend) or front.wait(0.1))[0], what)
    front = Front(slack=0.0)
    (send,) = front.ask()
    assert isinstance((front.ends(S.CONNECT_FAILED, send.backend) or front.wait(0.1))[0], api.Send)


def test_the_nearer_backend_is_left_only_for_want_of_room() -> None:
    front = Front()
    chosen = [front.ask()[0].backend for _ in range(10)]
    assert chosen[:2] == ["b1", "b1"] and "b2" in chosen


def test_a_cold_backend_gets_no_more_than_the_part_that_was_lent() -> None:
    cold = {"b1": (103.0, 2), "b2": (103.0, 1)}
    front = Front(cold=cold)
    front.now += 1.1    # what the process before may have sent is of no second that counts any more
    sent = [a.backend for _ in range(8) for a in front.ask() if isinstance(a, api.Send)]
    assert sorted(sent) == ["b1", "b1", "b2"]
    later = [a.backend for a in front.wait(1.1) if isinstance(a, api.Send)]     # those that waited come first
    later += [a.backend for _ in range(8) for a in front.ask() if isinstance(a, api.Send)]
    assert sorted(later) == ["b1", "b1", "b2"]


def test_a_quota_is_the_part_that_was_lent_and_what_is_taken_back_is_gone_at_once() -> None:
    front = Front(share=0.5, rate=10.0)
    front.now += 5.0
    sent = [a for _ in range(12) for a in front.ask() if isinstance(a, api.Send)]
    assert len(sent) == 5       # half of the burst
    front.wait(10.0)
    front.tell(LeasedShares({1: 0.1}, 0.0))
    got = [a for _ in range(12) for a in front.ask()]
    assert sum(isinstance(a, api.Send) for a in got) == 1 and any(a.over for a in got if isinstance(a, api.Refuse))
    front.tell(LeasedShares({2: 0.1}, 0.0))
    front.wait(10.0)
    (refused,) = front.ask()
    assert refused.over and refused.retry_after >= 3.0      # told at once, and when to come back


def test_without_any_part_no_tenant_is_over_its_quota_and_is_told_when_parts_may_come() -> None:
    """After a restart of all, tenants within their quotas were told 429 and to come back in 3 s."""
    front = Front(share=0.5, rate=10.0)
    front.tell(LeasedShares({}, 0.0))
    (refused,) = front.ask()
    assert isinstance(refused, api.Refuse) and not refused.over and 1.5 < refused.retry_after <= 1.9
    front.wait(5.0)
    (lasting,) = front.ask()
    assert not lasting.over and lasting.retry_after <= 0.5


def test_one_without_a_part_draws_from_the_pool_by_the_try() -> None:
    front = Front(share=0.5, rate=10.0)
    front.tell(LeasedShares({}, 0.0, pooled=True))
    (need,) = front.ask()
    (other,) = front.ask()
    assert need == other == UnitsNeeded(1, 1.0)
    sent = front.tell(UnitsGranted({1: 1.0}, {}, front.now + 0.5))
    assert [type(a) for a in sent] == [api.Send]
    (refused,) = front.tell(UnitsGranted({}, {1: 1.0}, front.now + 0.5))
    assert refused.over and refused.retry_after >= 3.0      # told at once
    front.ask()
    (refused,) = front.tell(UnitsGranted({}, {1: 1.0}, front.now + 0.5, {1}))
    assert refused.over and refused.retry_after <= 0.5      # its tenant is short for a moment only
    front.ask()
    front.now += 1.0
    too_late = front.tell(UnitsGranted({1: 9.0}, {}, front.now - 0.1))
    assert not [a for a in too_late if isinstance(a, api.Send)]
    front.tell(UnitsGranted({1: 2.0}, {}, front.now + 0.5))
    front.now += 0.6
    (need,) = [a for a in front.ask() if isinstance(a, UnitsNeeded)]   # what is left over is not kept


def test_a_draw_that_nobody_answers_ends_within_a_part_of_its_aim() -> None:
    front = Front(share=0.5, rate=10.0)
    front.tell(LeasedShares({}, 0.0, pooled=True))
    front.ask()
    (refused,) = front.wait(HELD_PART + 0.01)
    assert isinstance(refused, api.Refuse) and not refused.over


def test_while_nobody_allocates_a_client_is_told_to_come_again_once_another_one_does() -> None:
    """Told to come again at once it was refused a second time, while a lease of the duty and a term take 1.5 s."""
    front = Front(share=0.5, rate=10.0)
    front.tell(LeasedShares({}, 0.0, pooled=True))
    front.ask()
    (first,) = front.wait(HELD_PART + 0.01)
    front.ask()
    (later,) = front.wait(HELD_PART + 0.01)
    assert 1.5 < first.retry_after <= 1.9
    assert later.retry_after == pytest.approx(first.retry_after - HELD_PART - 0.01, abs=0.01)
    front.now += 2.0
    front.ask()
    (lasting,) = front.wait(HELD_PART + 0.01)
    assert lasting.retry_after <= 0.5       # it lasts longer than a takeover: nothing is known
    front.tell(UnitsGranted({1: 1.0}, {}, front.now + 0.5))
    front.now += 1.0
    front.ask()
    (refused,) = front.tell(UnitsGranted({}, {1: 1.0}, front.now + 0.5, {1}))
    assert refused.retry_after <= 0.5       # units are answered for again


def test_what_waits_for_units_asks_whoever_allocates_next() -> None:
    front = Front(share=0.5, rate=10.0)
    front.tell(LeasedShares({}, 0.0, pooled=True))
    front.ask()
    assert front.tell(LeasedShares({}, 0.0, pooled=True)) == []     # it may be answered yet
    front.now += 0.21
    assert front.tell(LeasedShares({}, 0.0, pooled=True)) == [UnitsNeeded(1, 1.0)]


def test_what_has_no_room_is_told_within_a_part_of_its_aim() -> None:
    front = Front(cold={"b1": (200.0, 0), "b2": (200.0, 0)})
    assert front.ask() == []
    (refused,) = front.wait(HELD_PART + 0.01)
    assert isinstance(refused, api.Refuse) and 0.0 < refused.retry_after <= 0.5 and not refused.over


def test_without_a_lease_everything_is_refused_at_once() -> None:
    front = Front()
    front.tell(api.Barred(True))
    (refused,) = front.ask()
    assert isinstance(refused, api.Refuse) and refused.retry_after > 0.0


def test_a_jump_of_the_time_of_day_moves_no_clock_of_ours(monkeypatch) -> None:
    clock, true = Clock(), time.time
    before = clock()
    monkeypatch.setattr(time, "time", lambda: true() + 2400.0)
    assert 0.0 <= clock() - before < 1.0


def test_the_ratio_and_the_window_of_the_budget_are_those_of_the_rule() -> None:
    for ratio, what in ((0.2, api.Refuse), (0.5, api.Send)):
        front = Front(slack=0.0)
        front.tell(RetryRule(ratio, 10.0))
        for _ in range(4):
            front.ask()
        (send,) = front.ask()
        assert isinstance((front.ends(S.RESET, send.backend) or front.wait(0.1))[0], what)


def test_a_request_that_was_cut_off_half_way_may_have_been_received_and_is_paid_for() -> None:
    for wrote, what in ((False, api.Send), (True, api.Refuse)):
        front = Front(slack=0.0)
        (send,) = front.ask()
        ended = api.Outcome(front.number, 0, send.backend, S.CONNECT_FAILED, 0.1, False, wrote=wrote)
        assert isinstance((front.tell(ended) or front.wait(0.1))[0], what)


def test_a_proxy_that_wakes_after_its_lease_has_ended_uses_nothing_of_it() -> None:
    """What came while it stood still is read before its own timers run."""
    front = Front(share=1.0, rate=10.0, slack=10.0)
    front.tell(LeasedShares({1: 1.0}, 10.0, until=front.now + 3.0))
    front.tell(LeaseExtended(front.now + 18.0))
    front.wait(5.0)
    front.saves_up()
    (send,) = front.ask()
    front.now += 4.0
    assert isinstance((front.ends(S.RESET, send.backend) or front.wait(0.1))[0], api.Refuse)
    (refused,) = front.ask()
    assert isinstance(refused, api.Refuse)


def test_a_share_that_has_just_come_saves_nothing_from_before() -> None:
    """It was another proxy's, which may have used it up."""
    front = Front(share=0.1, rate=10.0)
    front.wait(60.0)
    front.tell(LeasedShares({1: 1.0}, 0.0))
    assert [a for _ in range(12) for a in front.ask() if isinstance(a, api.Send)] == []
    front.wait(0.5)
    assert sum(isinstance(a, api.Send) for _ in range(12) for a in front.ask()) <= 5


def test_a_process_that_has_just_begun_sends_nothing_to_cold_backends() -> None:
    """The one before may have sent all that a second allows."""
    front = Front(cold={"b1": (200.0, 5), "b2": (200.0, 5)})
    assert front.ask() == []
    front.wait(1.1)
    assert [type(a) for a in front.ask()] == [api.Send]
