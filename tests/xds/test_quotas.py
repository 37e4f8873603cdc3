"""Quotas over gRPC: leases, single calls, TLS and load reports, each against a client on loopback."""

from __future__ import annotations

import asyncio
import time

import grpc
import pytest
from describing import GRADES
from envoy.extensions.common.ratelimit.v3 import ratelimit_pb2
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc
from proxies import control, run, settings

from fennelpoint.demo import EXAMPLE
from fennelpoint.testing import Count, List, member, until
from fennelpoint.testing.proxies import Front, QuotaClient
from fennelpoint.xds import quotas as limits
from fennelpoint.xds.leases import kept
from fennelpoint.xds.quotas import strategy
from fennelpoint.xds.server import fetch_status, status_lines

OK, OVER = rls_pb2.RateLimitResponse.OK, rls_pb2.RateLimitResponse.OVER_LIMIT
PLANS = [{"name": "basic", "pays": 1.0, "quota_rate": 20.0, "store_size": 40.0, "overrun_cost": 0.5},
         {"name": "slow", "pays": 1.0, "quota_rate": 1.0, "store_size": 40.0, "overrun_cost": 0.5},
         {"name": "capped", "pays": 1.0, "quota_rate": 20.0, "store_size": 40.0, "overrun_cost": 0.5,
          "ceiling_rate": 20.0, "cap_depth": 40.0, "cap_slack": 4.0}]
WHERE = (("class", "look"), ("customer", f"{1:016x}"), ("plan", "capped"), ("units", "1"))


def play(coroutine, mode: str = "leases", balancers: int = 1, **changes) -> None:
    async def inner() -> None:
        discovery, counter = List([member("s-0", "127.0.0.1:9001")]), Count()
        await discovery.start()
        made = settings(grades=GRADES, contracts=PLANS, balancers=balancers)
        values = {"quotas": mode, "report_interval_s": 0.1, "envoy_listen": "127.0.0.1:10000", **changes}
        async with control(discovery, EXAMPLE, made, await counter.start(), **values) as server:
            await coroutine(server, counter)
        discovery.stop()
        counter.stop()

    run(inner())


def call(entries: dict[str, str], hits: int = 0, domain: str = "larchwing") -> rls_pb2.RateLimitRequest:
    request = rls_pb2.RateLimitRequest(domain=domain, hits_addend=hits)
    request.descriptors.append(ratelimit_pb2.RateLimitDescriptor(entries=[
        ratelimit_pb2.RateLimitDescriptor.Entry(key=k, value=v) for k, v in entries.items()]))
    return request


def test_leases_are_handed_out_used_and_never_more_than_the_ceiling(caplog):
    """Two proxies, one of which lies, ask for many times the ceiling; counted as they let through."""
    async def test(server, counter) -> None:
        clients = [QuotaClient(server.port, 0.1), QuotaClient(server.port, 0.1, honest=False)]
        for client in clients:
            client.connect()
        depth = level = 40.0
        most = kept(server.settings.plans[2], 1)
        passed, filled, begun = 0, time.monotonic(), time.monotonic()
        while (now := time.monotonic()) - begun < 4.0:
            level, filled = min(depth, level + 20.0 * (now - filled)), now
            for client in clients:
                if client.allow(WHERE):
                    passed, level = passed + 1, level - 1.0
            assert level >= -1e-6, "more than the ceiling"
            assert server.quotas.bank.out(1, server.quotas.clock()) <= most + 1e-6
            await asyncio.sleep(0.005)
        assert passed >= 40 and all(c.assigned for c in clients)
        assert counter.totals[b"1"] >= passed - 1   # paid for at the counter that all ingresses go by
        for client in clients:
            await client.drop()
        await until(lambda: not server.quotas.outboxes)
        await until(lambda: server.quotas.bank.out(1, server.quotas.clock()) == 0.0)

    play(test)


def test_proxy_that_is_cut_off_lets_through_its_lease_and_then_nothing():
    async def test(server, counter) -> None:
        client = QuotaClient(server.port, 0.1)
        client.connect()
        await until(lambda: client.allow(WHERE))
        await until(lambda: client.assigned >= 3)
        await client.drop()
        held = client.buckets[WHERE].future(time.monotonic())
        assert held <= server.quotas.bank.out(1, server.quotas.clock()) + 1e-6
        await until(lambda: not client.allow(WHERE) and client.buckets[WHERE].future(time.monotonic()) == 0.0)
        await until(lambda: server.quotas.bank.out(1, server.quotas.clock()) == 0.0)

    play(test)


@pytest.mark.parametrize("where, domain, says", [
    ((("customer", "1"), ("plan", "basic")), "larchwing", "customer: '1'"),
    ((("customer", f"{1:016x}"), ("plan", "gold")), "larchwing", "plan: 'gold'"),
    (WHERE, "elsewhere", "domain: 'elsewhere'")])
def test_stream_that_reports_nonsense_ends_with_one_line_and_nothing_else_does(where, domain, says):
    async def test(server, counter) -> None:
        good, bad = QuotaClient(server.port, 0.1), QuotaClient(server.port, 0.1, domain)
        good.connect()
        bad.connect()
        bad.allow(where)
        await until(lambda: bad.code is not None)
        assert bad.code is grpc.StatusCode.INVALID_ARGUMENT and says in bad.details
        await until(lambda: good.allow(WHERE))
        for client in (good, bad):
            await client.drop()

    play(test)


def test_flood_of_reports_ends_its_stream():
    async def test(server, counter) -> None:
        client = QuotaClient(server.port, 0.0)      # it reports at every turn of its loop
        good = QuotaClient(server.port, 0.1)
        for one in (good, client):
            one.connect()
        await until(lambda: good.allow(WHERE))
        await until(lambda: (client.allow(WHERE), client.code)[1] is not None, 20.0)
        assert len(server.quotas.outboxes) == 1 and good.code is None
        for one in (good, client):
            await one.drop()

    play(test)


def test_single_calls_are_decisions_of_the_module_with_advice():
    async def test(server, counter) -> None:
        async with grpc.aio.insecure_channel(f"127.0.0.1:{server.port}") as channel:
            stub = rls_pb2_grpc.RateLimitServiceStub(channel)
            entries = {"customer": f"{1:016x}", "plan": "slow", "class": "look", "units": "1"}
            answers = [await stub.ShouldRateLimit(call(entries), timeout=0.25 if i else 2.0)
                       for i in range(60)]
            codes = [a.overall_code for a in answers]
            assert 38 <= codes.count(OK) <= 48      # a full store of 40, and what comes meanwhile
            refused = next(a for a in answers if a.overall_code == OVER)
            (header,) = refused.response_headers_to_add
            assert header.key == "retry-after" and 0.0 < float(header.value) <= 0.5
            assert refused.statuses[0].code == OVER and refused.statuses[0].duration_until_reset.nanos > 0
            other = {**entries, "customer": f"{2:016x}"}
            assert (await stub.ShouldRateLimit(call(other, hits=3), timeout=2.0)).overall_code == OK
            both = call(other)
            both.descriptors.extend(call(entries).descriptors)
            both.descriptors[1].hits_addend.value = 3   # more than can have come back meanwhile
            mixed = await stub.ShouldRateLimit(both, timeout=0.25)
            assert mixed.overall_code == OVER and [s.code for s in mixed.statuses] == [OK, OVER]
            for wrong, says in ((call({**entries, "plan": "gold"}), "plan: 'gold'"),
                                (call(entries, domain="x"), "domain: 'x'"),
                                (call(entries, hits=4), "units: '4'"),
                                (rls_pb2.RateLimitRequest(domain="larchwing"), "descriptors: 0")):
                with pytest.raises(grpc.aio.AioRpcError) as error:
                    await stub.ShouldRateLimit(wrong, timeout=2.0)
                assert error.value.code() is grpc.StatusCode.INVALID_ARGUMENT
                assert says in error.value.details()

    play(test, "calls")


def test_quotas_are_not_served_where_they_are_off():
    async def test(server, counter) -> None:
        async with grpc.aio.insecure_channel(f"127.0.0.1:{server.port}") as channel:
            with pytest.raises(grpc.aio.AioRpcError) as error:
                await rls_pb2_grpc.RateLimitServiceStub(channel).ShouldRateLimit(call({}), timeout=2.0)
            assert error.value.code() is grpc.StatusCode.UNIMPLEMENTED
        assert server.quotas is None

    play(test, "off")


def test_requests_through_proxies_are_held_to_the_quota_by_what_they_are_handed():
    """The filter's settings of each route name the bucket; without a customer no route is matched."""
    async def test(server, counter) -> None:
        front = Front(server.port, "proxy-1", 0.1)
        front.connect()
        await until(lambda: front.endpoints() and front.route("GET", "/v1/slots", {
            "api-account": f"{1:016x}", "api-plan": "basic"}))
        assert front.route("GET", "/v1/slots", {"api-plan": "basic"}) is None
        assert front.route("GET", "/v1/slots", {"api-account": "1", "api-plan": "basic"}) is None
        assert (await front.send("GET", "/v1/slots", plan="gold"))[0] == 404
        assert (await front.send("GET", "/v1/slots"))[0] == 429     # it has no lease yet
        codes = set()
        while 0 not in codes:       # one is let through, to a server that is not there
            codes.add((await front.send("GET", "/v1/slots"))[0])
            await asyncio.sleep(0.02)
        assert codes <= {0, 429}
        (bucket,) = front.quota.buckets
        assert dict(bucket) == {"customer": f"{1:016x}", "plan": "basic", "class": "look", "units": "1"}
        await front.drop()

    play(test)


@pytest.mark.parametrize("rate", [0.0, 0.3, 1.0, 19.0, 21.0, 500.0, 12345.6])
def test_token_bucket_gives_no_more_than_its_rate(rate):
    made = strategy(3, rate).token_bucket
    given = made.tokens_per_fill.value / made.fill_interval.ToTimedelta().total_seconds()
    assert made.max_tokens == 3 and given <= max(rate, 1.2e-5) and given >= 0.9 * rate


def test_load_reports_are_asked_for_taken_in_and_shown_and_forgotten_with_their_stream():
    async def test(server, counter) -> None:
        front = Front(server.port, "proxy-1")
        front.connect()
        async with grpc.aio.insecure_channel(f"127.0.0.1:{server.port}") as channel:
            stream = lrs_pb2_grpc.LoadReportingServiceStub(channel).StreamLoadStats()
            report = lrs_pb2.LoadStatsRequest()
            report.node.id = "proxy-1"
            await stream.write(report)
            asked = await stream.read()
            assert asked.send_all_clusters and asked.load_reporting_interval.seconds > 0
            stats = report.cluster_stats.add(cluster_name="class.look")
            stats.load_report_interval.seconds = 2
            stats.upstream_locality_stats.add(total_successful_requests=9, total_error_requests=1,
                                              total_issued_requests=12, total_requests_in_progress=2)
            await stream.write(report)
            await until(lambda: server.loads.of("proxy-1").get("class.look"))
            lines = status_lines(await fetch_status(f"127.0.0.1:{server.port}"))
            (line,) = [line for line in lines if "load" in line]
            assert line.split() == "proxy-1 load class.look 6/s 9 served 1 errors, 2 out".split()
            many = lrs_pb2.LoadStatsRequest()
            for i in range(1001):
                many.cluster_stats.add(cluster_name=f"c{i}")
            await stream.write(many)
            assert await stream.code() is grpc.StatusCode.INVALID_ARGUMENT
            await until(lambda: not server.loads.streams)
        await front.drop()

    play(test)


def test_lifetime_of_a_lease_begins_late_at_most_by_the_delivery():
    """What the bound counts on: a stream whose assignment can't be written in time is ended."""
    class Stuck:
        def __init__(self) -> None:
            self.code = None

        async def write(self, response) -> None:
            await asyncio.sleep(60.0)

        async def abort(self, code, details) -> None:
            self.code = code

    async def test(server, counter) -> None:
        async def requests():
            client.allow(WHERE)
            while True:
                request = limits.rlqs_pb2.RateLimitQuotaUsageReports(domain="larchwing")
                usage = request.bucket_quota_usages.add(num_requests_denied=3)
                usage.bucket_id.bucket.update(dict(WHERE))
                usage.time_elapsed.nanos = 100_000_000
                yield request
                await asyncio.sleep(0.1)

        client, context = QuotaClient(server.port, 0.1), Stuck()
        service = limits.QuotaService(server.quotas, 10)
        await asyncio.wait_for(service.StreamRateLimitQuotas(requests(), context), 20.0)
        assert context.code is grpc.StatusCode.RESOURCE_EXHAUSTED and not server.quotas.outboxes

    play(test)


def test_defect_of_the_module_is_logged_and_costs_only_what_it_was_about(caplog):
    async def test(server, counter) -> None:
        bank, good = server.quotas.bank, QuotaClient(server.port, 0.1)
        good.connect()
        await until(lambda: good.allow(WHERE))
        ask, bank.desk.ask = bank.desk.ask, None    # every ask raises TypeError
        async with grpc.aio.insecure_channel(f"127.0.0.1:{server.port}") as channel:
            stub = rls_pb2_grpc.RateLimitServiceStub(channel)
            answer = await stub.ShouldRateLimit(call(dict(WHERE)), timeout=2.0)
            assert answer.overall_code == OVER and "the decision module failed" in caplog.text
            await until(lambda: (good.allow(WHERE), caplog.text.count("failed on"))[1] >= 3)
            bank.desk.ask = ask
            assert (await stub.ShouldRateLimit(call(dict(WHERE) | {"customer": f"{5:016x}"}),
                                               timeout=2.0)).overall_code in (OK, OVER)
        await until(lambda: good.allow(WHERE))
        assert good.code is None
        await good.drop()

    play(test)


def test_load_reports_in_a_flood_end_their_stream():
    async def test(server, counter) -> None:
        async with grpc.aio.insecure_channel(f"127.0.0.1:{server.port}") as channel:
            stream = lrs_pb2_grpc.LoadReportingServiceStub(channel).StreamLoadStats()
            with pytest.raises((grpc.aio.AioRpcError, asyncio.InvalidStateError)):
                for _ in range(10_000):
                    await stream.write(lrs_pb2.LoadStatsRequest(node={"id": "p"}))
            await until(lambda: not server.loads.streams)

    play(test)


def test_calls_that_wait_are_bounded(monkeypatch):
    async def test(server, counter) -> None:
        monkeypatch.setattr(limits, "MOST_WAITING", 0)
        async with grpc.aio.insecure_channel(f"127.0.0.1:{server.port}") as channel:
            answer = await rls_pb2_grpc.RateLimitServiceStub(channel).ShouldRateLimit(
                call({"customer": f"{9:016x}", "plan": "basic"}), timeout=2.0)
            assert answer.overall_code == OVER

    play(test, "calls")
