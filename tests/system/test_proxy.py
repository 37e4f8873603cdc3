"""A proxy's parsing of requests, its judgement of answers, and its decisions under the core's grants."""

import asyncio
import time
from random import Random

import pytest
from result import Ok

from fennelpoint import interface as api
from fennelpoint.body_buffering import Budget
from fennelpoint.net.controller_runtime import Clock
from fennelpoint.net.exchange import Exchange
from fennelpoint.net.request_parser import BadRequest, LocalReply
from fennelpoint.system.config_schema import check_and_compile
from fennelpoint.system.config_versions import ConfigVersion, merge
from fennelpoint.system.proxy.controller import ProxyController
from fennelpoint.system.proxy.controller_host import ProxyBackends
from fennelpoint.system.proxy.events import (
    BackendPlacement,
    Catalogue,
    LeasedShares,
    RetryRule,
    SharesExtended,
    UnitsGranted,
    UnitsNeeded,
)
from fennelpoint.system.proxy.queue_timeout import QUEUE_TIMEOUT_FRACTION
from fennelpoint.system.proxy.request_parser import ProxyReader

S = api.Status


def rule(name: str, prefix: str, kind: str = "idempotent", **act) -> dict:
    public = act.pop("public", False)
    return {"name": name, "kind": kind, "target_latency_s": 0.4, "public": public,
            "match_criteria": {"path_prefix": prefix},
            "route_action": {"request_timeout_s": 1.5, "max_attempts": 2, **act}}


def make_configuration(has_tenants: bool = True) -> dict:
    split = [{"service": "a", "traffic_weight": 0}, {"service": "b", "traffic_weight": 5}]
    rules = [rule("r1", "/x/", service="a"), rule("r3", "/split/", traffic_split=split),
             rule("r2", "/x/deep/", "non_idempotent", service="b", home_regions=["r1", "r2"]),
             rule("r4", "/open/", service="a", public=True)]
    value = {"version": 3, "clusters": [{"name": "a"}, {"name": "b"}],
             "listener_table": [{"host": "H.example", "rule_set": rules}]}
    if has_tenants:
        value["tenants"] = [{"name": "t1", "api_keys": ["k1"], "rate_per_s": 5, "burst_size": 5},
                            {"name": "t2", "api_keys": ["k2"], "home_regions": ["r2", "r3"]},
                            {"name": "t3", "api_keys": ["k3"], "home_regions": ["r3"]}]
    return value


def make_reader(has_tenants: bool = True, is_leased: bool = True, configuration: dict | None = None) -> ProxyReader:
    result = ProxyReader(lambda: None, Random(1), lambda: is_leased)
    result.apply_version(ConfigVersion(configuration or make_configuration(has_tenants)))
    return result


def read(reader: ProxyReader, url: bytes, *fields: tuple[bytes, bytes], key: bytes = b"k1", method: bytes = b"GET"):
    headers = [(b"host", b"h.example:80"), (b"x-attempt-id", b"i1"), (b"x-deadline-remaining", b"900"), *fields]
    return reader.read(method, url, headers + ([(b"authorization", b"Token " + key)] if key else []), b"")


def test_the_longest_prefix_selects_the_route_and_the_request_names_tenant_and_backend() -> None:
    reader = make_reader()
    request = read(reader, b"/x/deep/1?q", (b"x-tenant-name", b"forged"), (b"x-expected-instance", b"forged"),
                 method=b"POST")
    assert (request.cell, request.is_write, request.attempts, request.time_left) == ("b|r1,r2", True, 2, 0.9)
    rendered = request.render(0.5, "i-7").lower()
    assert rendered.startswith(b"post /x/deep/1?q http/1.1") and b"x-tenant-name: t1" in rendered
    for line in (b"x-expected-instance: i-7", b"x-attempt-id: i1", b"x-deadline-remaining: 500"):
        assert line in rendered
    assert b"forged" not in rendered and b"k1" not in rendered
    assert read(reader, b"/x/other").cell == "a" and read(reader, b"/split/1").cell == "b"
    assert reader.take_request_counts() == {"t1": 3} and reader.take_request_counts() == {}


@pytest.mark.parametrize("url, key, status", [(b"/none/1", b"k1", 404), (b"/x", b"k1", 404), (b"/x/1", b"", 401),
                                              (b"/x/1", b"nobody", 401)])
def test_a_request_without_a_route_or_a_known_key_is_answered_by_the_proxy(url, key, status) -> None:
    with pytest.raises(LocalReply) as raised:
        read(make_reader(), url, key=key)
    assert raised.value.status == status


@pytest.mark.parametrize("url, key", [(b"/none/1", b"k1"), (b"/x/1", b""), (b"/x/1", b"k1"), (b"/open/1", b"")])
def test_without_a_lease_no_request_is_judged_by_the_applied_version(url, key) -> None:
    reader = make_reader(is_leased=False)
    with pytest.raises(LocalReply) as raised:
        read(reader, url, key=key)
    assert raised.value.status == 503 and dict(raised.value.headers)[b"retry-after"] == b"0.500"
    is_counted = key and url == b"/x/1"
    # Demand is reported to the core all the same.
    assert reader.take_request_counts() == ({"t1": 1} if is_counted else {})


def test_a_public_route_needs_no_key_and_a_repeated_header_is_refused() -> None:
    assert read(make_reader(), b"/open/1", key=b"").customer == -1
    assert read(make_reader(has_tenants=False), b"/x/1", key=b"").customer == -1
    with pytest.raises(BadRequest):
        read(make_reader(), b"/x/1", (b"x-attempt-id", b"i2"))


def make_reader_after(*changes: dict) -> ProxyReader:
    """A reader of the configuration that these PATCHes make of one with three tenants."""
    value = make_configuration()
    for number, change in enumerate(changes, value["version"] + 1):
        value = merge(value, {"version": number, "base_version": number - 1, **change}).unwrap()
        assert isinstance(check_and_compile(value), Ok)
    return make_reader(configuration=value)


def keyless(*names: str) -> dict:
    return {"upsert": {"tenants": [{"name": name, "api_keys": []} for name in names]}}


ALL_TENANTS = ("t1", "t2", "t3")
LAST_KEYS_TAKEN_AWAY = {
    "all in one change": [keyless(*ALL_TENANTS)],
    "one after the other": [keyless(name) for name in ALL_TENANTS],
    "with their tenants": [{"remove": {"tenants": list(ALL_TENANTS)}}],
    "the last tenant": [keyless("t1", "t2"), {"remove": {"tenants": ["t3"]}}],
}


# Guards the rule CONFIG: a table of keys that is empty must not pass for a configuration that asks for none.
@pytest.mark.parametrize("taken_away", LAST_KEYS_TAKEN_AWAY)
def test_no_request_runs_without_a_key_once_the_last_key_is_taken_away(taken_away) -> None:
    reader = make_reader_after(*LAST_KEYS_TAKEN_AWAY[taken_away])
    for key in (b"k1", b"k2", b"k3", b"nobody", b""):
        for url in (b"/x/1", b"/x/deep/1"):
            with pytest.raises(LocalReply) as raised:
                read(reader, url, key=key)
            assert raised.value.status == 401
    public = read(reader, b"/open/1", key=b"k1")
    assert public.customer == -1 and b"k1" not in public.render(0.5, "i-7")
    restored = make_reader_after(*LAST_KEYS_TAKEN_AWAY[taken_away],
                                 {"upsert": {"tenants": [{"name": "t2", "api_keys": ["k9"]}]}})
    assert b"X-Tenant-Name: t2" in read(restored, b"/x/1", key=b"k9").render(0.5, "i-7")


# The same cause as above: a table that is empty must not pass for one that is missing.
def test_host_with_a_port_and_no_rules_does_not_get_the_rules_of_the_host_without_it() -> None:
    value = make_configuration(has_tenants=False)
    value["listener_table"].append({"host": "h.example:80", "rule_set": []})
    with pytest.raises(LocalReply) as raised:
        read(make_reader(configuration=value), b"/x/1", key=b"")
    assert raised.value.status == 404


def test_a_cell_is_limited_to_home_regions_of_both_route_and_tenant() -> None:
    reader = make_reader()
    assert read(reader, b"/x/deep/1", key=b"k2").cell == "b|r2"
    assert read(reader, b"/x/1", key=b"k2").cell == "a|r2,r3"
    cell = read(reader, b"/x/deep/1", key=b"k3").cell
    assert reader.cells[cell] == ("b", frozenset(("",)))       # no region


@pytest.mark.parametrize("status, fields, expected", [
    (200, {b"x-attempt-id": b"i1", b"x-server-seal": b"s"}, S.OK),
    (200, {b"x-attempt-id": b"i0", b"x-server-seal": b"s"}, None),      # a late answer to another request
    (200, {b"x-attempt-id": b"i1"}, None), (200, {b"x-server-seal": b"s"}, None),
    (421, {b"x-instance-id": b"other"}, S.ELSEWHERE),      # the address belongs to another instance by now
    (503, {b"x-not-executed": b"1"}, S.FULL), (503, {b"x-attempt-id": b"i1"}, S.ERROR),
    (500, {b"x-attempt-id": b"i1"}, S.ERROR), (500, {}, None)])
def test_judgement_of_answers(status, fields, expected) -> None:
    pool = ProxyBackends(asyncio.new_event_loop(), 10, 0.1, 0.0, Budget(1 << 20))
    exchange = Exchange(lambda: b"", lambda status, answer: None)
    exchange.request_id = b"i1"
    assert pool.judge(exchange, status, list(fields.items())) is expected
    assert pool.keep_alive_s([(b"keep-alive", b"timeout=10, max=5")]) == 6.0


class Proxy:
    """A controller with two backends of one service, and the actions that it returned."""

    def __init__(self, share: float = 1.0, slack: float = 10.0, cold: dict | None = None, rate: float = 0.0) -> None:
        classes = [api.RequestClass("read", 1.0, 4.0, 1.0, api.Effect.SAFE),
                   api.RequestClass("write", 1.0, 4.0, 3.0, api.Effect.UNSAFE)]
        plans = [api.Plan("public", 1.0), api.Plan("t1", 1.0, rate, rate)]
        self.now, self.number, self.actions = 100.0, 0, []
        settings = api.Settings(0, 1, 0, classes, plans, 8, 0.0, 1.0, 0.0, 1.0, 1.0, 0.0, 0.001, most_units=1.0,
                                may_advise=True, max_advice=3.0)
        self.controller = ProxyController(settings, 1, self.now)
        self.post(Catalogue(classes, plans))
        self.post(api.Cells({"svc": api.Cell(frozenset(("b1", "b2")))}))
        entries = [api.BackendEntry(b, api.BackendState.READY) for b in ("b1", "b2")]
        self.post(api.Roster(api.RosterKind.FULL, 0, entries))
        self.post(BackendPlacement({"b2": (0.05, 0.7)}, {"b1": 4, "b2": 4}, cold or {}))
        self.post(LeasedShares({1: share}, slack))

    def post(self, event) -> list:
        actions = self.controller.handle(event, self.now)
        self.actions += actions
        return [a for a in actions if isinstance(a, api.Send | api.Refuse | api.Fail | UnitsNeeded)]

    def request(self, is_write: bool = False) -> list:
        self.number += 1
        return self.post(api.Request(self.number, int(is_write), 1, 1, 3.0, 1.0, 1.0, 0.0, False, is_write,
                                     cell="svc", attempts=2))

    def save_up(self) -> None:
        """Send a successful request, then wait for a budget window without retries."""
        (send,) = self.request()
        self.end_attempt(S.OK, send.backend)
        self.wait(10.0)

    def end_attempt(self, status: S, backend: str) -> list:
        return self.post(api.Outcome(self.number, 0, backend, status, 0.1, False))

    def wait(self, duration_s: float) -> list:
        self.now += duration_s
        return self.post(api.TimerDue(2))


def test_a_write_that_may_have_run_fails_and_one_that_has_not_is_retried_elsewhere() -> None:
    for status in (S.RESET, S.ERROR, S.TIMEOUT):
        proxy = Proxy()
        proxy.save_up()
        (send,) = proxy.request(is_write=True)
        assert isinstance(proxy.end_attempt(status, send.backend)[0], api.Fail)
    for status in (S.FULL, S.ELSEWHERE, S.CONNECT_FAILED):
        proxy = Proxy()
        proxy.save_up()
        (send,) = proxy.request(is_write=True)
        (retry,) = proxy.end_attempt(status, send.backend) or proxy.wait(0.1)
        assert isinstance(retry, api.Send) and retry.backend != send.backend


def test_a_retry_uses_the_leased_budget_unless_the_connection_was_refused() -> None:
    for slack, action in ((0.0, api.Refuse), (10.0, api.Send)):
        proxy = Proxy(slack=slack)
        proxy.save_up()
        (send,) = proxy.request()
        assert isinstance((proxy.end_attempt(S.RESET, send.backend) or proxy.wait(0.1))[0], action)
    proxy = Proxy(slack=0.0)
    (send,) = proxy.request()
    assert isinstance((proxy.end_attempt(S.CONNECT_FAILED, send.backend) or proxy.wait(0.1))[0], api.Send)


def test_a_farther_backend_is_used_only_when_the_nearer_one_is_busy() -> None:
    proxy = Proxy()
    chosen = [proxy.request()[0].backend for _ in range(10)]
    assert chosen[:2] == ["b1", "b1"] and "b2" in chosen


def test_a_backend_in_cold_start_gets_no_more_than_the_leased_rate() -> None:
    cold = {"b1": (103.0, 2), "b2": (103.0, 1)}
    proxy = Proxy(cold=cold)
    proxy.now += 1.1    # requests of a previous process have left the counted window
    sent = [a.backend for _ in range(8) for a in proxy.request() if isinstance(a, api.Send)]
    assert sorted(sent) == ["b1", "b1", "b2"]
    later = [a.backend for a in proxy.wait(1.1) if isinstance(a, api.Send)]     # queued requests go first
    later += [a.backend for _ in range(8) for a in proxy.request() if isinstance(a, api.Send)]
    assert sorted(later) == ["b1", "b1", "b2"]


def test_a_quota_is_the_leased_share_and_a_withdrawn_share_is_lost_at_once() -> None:
    proxy = Proxy(share=0.5, rate=10.0)
    proxy.now += 5.0
    sent = [a for _ in range(12) for a in proxy.request() if isinstance(a, api.Send)]
    assert len(sent) == 5       # half of the burst
    proxy.wait(10.0)
    proxy.post(LeasedShares({1: 0.1}, 0.0))
    actions = [a for _ in range(12) for a in proxy.request()]
    assert sum(isinstance(a, api.Send) for a in actions) == 1 and any(
        a.over for a in actions if isinstance(a, api.Refuse))
    proxy.post(LeasedShares({2: 0.1}, 0.0))
    proxy.wait(10.0)
    (refused,) = proxy.request()
    assert refused.over and refused.retry_after >= 3.0      # refused at once, with the time to retry


def test_without_any_share_no_tenant_is_over_quota_and_retry_after_covers_a_takeover() -> None:
    """Guards against 429 with a retry after 3 s for tenants within their quotas, after a restart of the system."""
    proxy = Proxy(share=0.5, rate=10.0)
    proxy.post(LeasedShares({}, 0.0))
    (refused,) = proxy.request()
    assert isinstance(refused, api.Refuse) and not refused.over and 1.5 < refused.retry_after <= 1.9
    proxy.wait(5.0)
    (lasting,) = proxy.request()
    assert not lasting.over and lasting.retry_after <= 0.5


def test_a_customer_without_a_share_requests_units_of_the_pool_for_each_request() -> None:
    proxy = Proxy(share=0.5, rate=10.0)
    proxy.post(LeasedShares({}, 0.0, has_pools=True))
    (need,) = proxy.request()
    (other,) = proxy.request()
    assert need == other == UnitsNeeded(1, 1.0)
    sent = proxy.post(UnitsGranted({1: 1.0}, {}, proxy.now + 0.5))
    assert [type(a) for a in sent] == [api.Send]
    (refused,) = proxy.post(UnitsGranted({}, {1: 1.0}, proxy.now + 0.5))
    assert refused.over and refused.retry_after >= 3.0      # refused at once
    proxy.request()
    (refused,) = proxy.post(UnitsGranted({}, {1: 1.0}, proxy.now + 0.5, {1}))
    assert refused.over and refused.retry_after <= 0.5      # the pool refills within moments
    proxy.request()
    proxy.now += 1.0
    after_expiry = proxy.post(UnitsGranted({1: 9.0}, {}, proxy.now - 0.1))
    assert not [a for a in after_expiry if isinstance(a, api.Send)]
    proxy.post(UnitsGranted({1: 2.0}, {}, proxy.now + 0.5))
    proxy.now += 0.6
    (need,) = [a for a in proxy.request() if isinstance(a, UnitsNeeded)]   # unused units have expired


def test_a_request_whose_units_are_not_answered_times_out_in_the_queue() -> None:
    proxy = Proxy(share=0.5, rate=10.0)
    proxy.post(LeasedShares({}, 0.0, has_pools=True))
    proxy.request()
    (refused,) = proxy.wait(QUEUE_TIMEOUT_FRACTION + 0.01)
    assert isinstance(refused, api.Refuse) and not refused.over


def test_without_an_allocator_retry_after_is_the_time_until_a_takeover() -> None:
    """Guards against a second refusal after a short retry: the leader lease and a new term take 1.5 s."""
    proxy = Proxy(share=0.5, rate=10.0)
    proxy.post(LeasedShares({}, 0.0, has_pools=True))
    proxy.request()
    (first,) = proxy.wait(QUEUE_TIMEOUT_FRACTION + 0.01)
    proxy.request()
    (later,) = proxy.wait(QUEUE_TIMEOUT_FRACTION + 0.01)
    assert 1.5 < first.retry_after <= 1.9
    assert later.retry_after == pytest.approx(first.retry_after - QUEUE_TIMEOUT_FRACTION - 0.01, abs=0.01)
    proxy.now += 2.0
    proxy.request()
    (lasting,) = proxy.wait(QUEUE_TIMEOUT_FRACTION + 0.01)
    assert lasting.retry_after <= 0.5       # longer than a takeover: the end is unknown
    proxy.post(UnitsGranted({1: 1.0}, {}, proxy.now + 0.5))
    proxy.now += 1.0
    proxy.request()
    (refused,) = proxy.post(UnitsGranted({}, {1: 1.0}, proxy.now + 0.5, {1}))
    assert refused.retry_after <= 0.5       # an allocator answers again


def test_a_queued_request_for_units_is_repeated_to_the_next_allocator() -> None:
    proxy = Proxy(share=0.5, rate=10.0)
    proxy.post(LeasedShares({}, 0.0, has_pools=True))
    proxy.request()
    assert proxy.post(LeasedShares({}, 0.0, has_pools=True)) == []     # the answer may still arrive
    proxy.now += 0.21
    assert proxy.post(LeasedShares({}, 0.0, has_pools=True)) == [UnitsNeeded(1, 1.0)]


def test_a_request_without_a_free_backend_times_out_in_the_queue() -> None:
    proxy = Proxy(cold={"b1": (200.0, 0), "b2": (200.0, 0)})
    assert proxy.request() == []
    (refused,) = proxy.wait(QUEUE_TIMEOUT_FRACTION + 0.01)
    assert isinstance(refused, api.Refuse) and 0.0 < refused.retry_after <= 0.5 and not refused.over


def test_without_a_lease_everything_is_refused_at_once() -> None:
    proxy = Proxy()
    proxy.post(api.Barred(True))
    (refused,) = proxy.request()
    assert isinstance(refused, api.Refuse) and refused.retry_after > 0.0


def test_the_clock_ignores_a_jump_of_the_time_of_day(monkeypatch) -> None:
    clock, wall_clock = Clock(), time.time
    before = clock()
    monkeypatch.setattr(time, "time", lambda: wall_clock() + 2400.0)
    assert 0.0 <= clock() - before < 1.0


def test_the_budget_uses_the_ratio_and_the_window_of_the_rule() -> None:
    for ratio, action in ((0.2, api.Refuse), (0.5, api.Send)):
        proxy = Proxy(slack=0.0)
        proxy.post(RetryRule(ratio, 10.0))
        for _ in range(4):
            proxy.request()
        (send,) = proxy.request()
        assert isinstance((proxy.end_attempt(S.RESET, send.backend) or proxy.wait(0.1))[0], action)


def test_a_retry_of_a_partly_written_request_uses_the_budget() -> None:
    for wrote, action in ((False, api.Send), (True, api.Refuse)):
        proxy = Proxy(slack=0.0)
        (send,) = proxy.request()
        outcome = api.Outcome(proxy.number, 0, send.backend, S.CONNECT_FAILED, 0.1, False, wrote=wrote)
        assert isinstance((proxy.post(outcome) or proxy.wait(0.1))[0], action)


def test_a_proxy_that_resumes_after_its_shares_have_expired_uses_none_of_them() -> None:
    """Messages that arrived during the pause are read before the timers run."""
    proxy = Proxy(share=1.0, rate=10.0, slack=10.0)
    proxy.post(LeasedShares({1: 1.0}, 10.0, expires_at=proxy.now + 3.0))
    proxy.post(SharesExtended(proxy.now + 18.0))
    proxy.wait(5.0)
    proxy.save_up()
    (send,) = proxy.request()
    proxy.now += 4.0
    assert isinstance((proxy.end_attempt(S.RESET, send.backend) or proxy.wait(0.1))[0], api.Refuse)
    (refused,) = proxy.request()
    assert isinstance(refused, api.Refuse)


def test_a_new_share_brings_no_savings() -> None:
    """It was leased to another proxy, which may have used it up."""
    proxy = Proxy(share=0.1, rate=10.0)
    proxy.wait(60.0)
    proxy.post(LeasedShares({1: 1.0}, 0.0))
    assert [a for _ in range(12) for a in proxy.request() if isinstance(a, api.Send)] == []
    proxy.wait(0.5)
    assert sum(isinstance(a, api.Send) for _ in range(12) for a in proxy.request()) <= 5


def test_a_process_that_has_just_started_sends_nothing_to_backends_in_cold_start() -> None:
    """The previous process may have used up the rate of that second."""
    proxy = Proxy(cold={"b1": (200.0, 5), "b2": (200.0, 5)})
    assert proxy.request() == []
    proxy.wait(1.1)
    assert [type(a) for a in proxy.request()] == [api.Send]
