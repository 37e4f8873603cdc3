"""Stand-in proxies: they hold a view by ADS and leases by RLQS, and send bookings by both.

They do what Envoy's pages say that it does, for one connection a request.  Tests, demo and benchmarks of the
control service use them; they need the extra `xds`.
"""

from __future__ import annotations

import asyncio
import random
import re
import time

import grpc
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.filters.http.rate_limit_quota.v3 import rate_limit_quota_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc
from envoy.type.matcher.v3 import http_inputs_pb2
from envoy.type.v3 import ratelimit_strategy_pb2

from fennelpoint.testing.servers import read_message
from fennelpoint.xds.protobuf import seconds
from fennelpoint.xds.rate_limit_filters import QUOTA_FILTER
from fennelpoint.xds.streams import CDS, EDS, LDS, RDS

MESSAGES = {CDS: cluster_pb2.Cluster, EDS: endpoint_pb2.ClusterLoadAssignment, LDS: listener_pb2.Listener,
            RDS: route_pb2.RouteConfiguration}
ALLOW_ALL = ratelimit_strategy_pb2.RateLimitStrategy.ALLOW_ALL


class Proxy:
    """A state-of-the-world proxy that subscribes to all four types and keeps what it is told."""

    def __init__(self, port: int, node: str = "proxy-1", agent: str = "envoy", refuse: str = "",
                 reads: bool = True, cluster: str = "", zone: str = "") -> None:
        self.cluster, self.zone = cluster, zone
        self.port, self.node, self.agent, self.refuse, self.reads = port, node, agent, refuse, reads
        self.view: dict[str, dict[str, object]] = {}
        self.versions: dict[str, str] = {}
        self.nonces: dict[str, str] = {}    # of this stream's newest responses
        self.responses: list[discovery_pb2.DiscoveryResponse] = []
        self.task: asyncio.Task | None = None
        self.code: grpc.StatusCode | None = None

    def connect(self, port: int | None = None) -> None:
        self.port = port or self.port
        self.task = asyncio.create_task(self._run())

    async def drop(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        self.nonces.clear()
        async with grpc.aio.insecure_channel(f"127.0.0.1:{self.port}") as channel:
            call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).StreamAggregatedResources()
            try:
                for kind in (CDS, EDS, LDS, RDS):
                    await call.write(self._request(kind))
                while self.reads:
                    response = await call.read()
                    if response is grpc.aio.EOF:
                        break
                    await self._take(call, response)
                await asyncio.sleep(600)
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                self.code = await call.code()   # what the call ended with, where a write failed for it too

    def _request(self, kind: str, nonce: str = "", error: str = "") -> discovery_pb2.DiscoveryRequest:
        names = {EDS: sorted(self._lists()), RDS: ["larchwing"]}.get(kind, [])
        request = discovery_pb2.DiscoveryRequest(version_info=self.versions.get(kind, ""), type_url=kind,
                                                 response_nonce=nonce, resource_names=names)
        request.node.id, request.node.user_agent_name = self.node, self.agent
        request.node.cluster, request.node.locality.zone = self.cluster, self.zone
        if error:
            request.error_detail.message = error
        return request

    def _lists(self) -> set[str]:
        """The endpoint lists that its clusters name."""
        return {"backends"} | {c.eds_cluster_config.service_name for c in self.view.get(CDS, {}).values()}

    async def _take(self, call, response) -> None:
        self.responses.append(response)
        kind = response.type_url
        if kind == self.refuse:
            return await call.write(self._request(kind, response.nonce, "not this one"))
        held = {}
        for packed in response.resources:
            message = MESSAGES[kind]()
            assert packed.Unpack(message)
            held[getattr(message, "name", "") or message.cluster_name] = message
        before = self._lists()
        self.view[kind], self.versions[kind] = held, response.version_info
        self.nonces[kind] = response.nonce
        await call.write(self._request(kind, response.nonce))
        if self._lists() != before:
            await call.write(self._request(EDS, self.nonces.get(EDS, "")))

    def ports(self) -> list[int]:
        """Those that it would send to."""
        if EDS not in self.view:
            return []
        return sorted(e.endpoint.address.socket_address.port_value
                      for locality in self.view[EDS]["backends"].endpoints for e in locality.lb_endpoints)

    def endpoints(self, name: str = "backends") -> list[tuple[tuple[str, int], float]]:
        """Addresses of a list with their weights: a locality's is shared out among its own."""
        out = []
        for locality in self.view[EDS][name].endpoints if name in self.view.get(EDS, {}) else ():
            whole = sum(e.load_balancing_weight.value for e in locality.lb_endpoints)
            for e in locality.lb_endpoints:
                address = e.endpoint.address.socket_address
                out.append(((address.address, address.port_value),
                            locality.load_balancing_weight.value * e.load_balancing_weight.value / whole))
        return out

    def route(self, method: str, path: str, headers: dict[str, str]) -> route_components_pb2.Route | None:
        """The first route that a request matches; names of headers in small letters."""
        headers = {**headers, ":method": method}
        for route in self.view[RDS]["larchwing"].virtual_hosts[0].routes if RDS in self.view else ():
            match = route.match
            named = match.path == path if match.path else re.fullmatch(match.safe_regex.regex, path)
            if named and all(fits(h, headers.get(h.name)) for h in match.headers):
                return route
        return None


def fits(matcher: route_components_pb2.HeaderMatcher, value: str | None) -> bool:
    """Whether a header's value is as a route wants it."""
    if value is None:
        return False
    wanted = matcher.string_match
    return value == wanted.exact if wanted.exact else re.fullmatch(wanted.safe_regex.regex, value) is not None


class Tokens:
    """A token bucket that is full at first: it goes by the assignment that came last, until that is over."""

    def __init__(self) -> None:
        self.tokens = self.rate = self.depth = self.ends = self.at = 0.0

    def take(self, tokens: float, rate: float, life: float, now: float) -> None:
        self.tokens = self.depth = tokens
        self.rate, self.ends, self.at = rate, now + life, now

    def left(self, now: float) -> float:
        if now >= self.ends - 1e-6:
            return 0.0
        self.tokens, self.at = min(self.depth, self.tokens + self.rate * (now - self.at)), now
        return self.tokens

    def use(self, now: float) -> bool:
        if self.left(now) < 1.0 - 1e-9:
            return False
        self.tokens -= 1.0
        return True

    def future(self, now: float) -> float:
        """All that it can let through from now on, if no other assignment comes."""
        return self.left(now) + self.rate * max(0.0, self.ends - now)


class QuotaClient:
    """RLQS as a proxy speaks it: buckets, reports at each interval, assignments with their life."""

    def __init__(self, port: int, interval: float, domain: str = "larchwing", honest: bool = True) -> None:
        self.port, self.interval, self.domain, self.honest = port, interval, domain, honest
        self.buckets: dict[tuple, Tokens] = {}
        self.open: set[tuple] = set()   # those with an assignment that lets all pass
        self.used: dict[tuple, list[int]] = {}
        self.assigned = 0
        self.code: grpc.StatusCode | None = None
        self.details = ""
        self.new = asyncio.Event()

    def connect(self) -> None:
        self.task = asyncio.create_task(self._run())

    async def drop(self) -> None:
        """Cut the stream: what is assigned stays until its life is over."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def allow(self, bucket: tuple) -> bool:
        """Whether a request passes; without a lease none does."""
        held = self.buckets.get(bucket)
        passes = bucket in self.open or (held is not None and held.use(time.monotonic()))
        if bucket not in self.used:
            self.new.set()
        self.used.setdefault(bucket, [0, 0])[not passes] += 1
        return passes

    async def _run(self) -> None:
        async with grpc.aio.insecure_channel(f"127.0.0.1:{self.port}") as channel:
            call = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel).StreamRateLimitQuotas()
            reports = asyncio.create_task(self._report(call))
            try:
                while (response := await call.read()) is not grpc.aio.EOF:
                    self._take(response)
                self.code, self.details = await call.code(), await call.details()
            except grpc.aio.AioRpcError as error:
                self.code, self.details = error.code(), error.details()
            finally:
                reports.cancel()
                await asyncio.gather(reports, return_exceptions=True)

    def _take(self, response: rlqs_pb2.RateLimitQuotaResponse) -> None:
        for action in response.bucket_action:
            bucket = tuple(sorted(action.bucket_id.bucket.items()))
            if action.HasField("abandon_action"):
                self.used.pop(bucket, None)
                self.buckets.pop(bucket, None)
                continue
            given = action.quota_assignment_action
            self.assigned += 1
            strategy, life = given.rate_limit_strategy, given.assignment_time_to_live.ToTimedelta()
            if strategy.WhichOneof("strategy") == "blanket_rule":
                if strategy.blanket_rule == ALLOW_ALL:
                    self.open.add(bucket)
                continue
            made = strategy.token_bucket
            rate = made.tokens_per_fill.value / made.fill_interval.ToTimedelta().total_seconds()
            self.buckets.setdefault(bucket, Tokens()).take(
                made.max_tokens, rate, life.total_seconds(), time.monotonic())

    async def _report(self, call) -> None:
        last = time.monotonic()
        while True:
            self.new.clear()
            try:    # a bucket that is new is reported at once
                await asyncio.wait_for(self.new.wait(), self.interval)
            except TimeoutError:
                pass
            now = time.monotonic()
            request = rlqs_pb2.RateLimitQuotaUsageReports(domain=self.domain)
            for bucket, told in self.used.items():
                usage = request.bucket_quota_usages.add(num_requests_allowed=told[0] if self.honest else 0,
                                                        num_requests_denied=told[1])
                usage.bucket_id.bucket.update(dict(bucket))
                usage.time_elapsed.CopyFrom(seconds(max(1e-3, now - last)))
                told[:] = [0, 0]
            last = now
            if request.bucket_quota_usages:
                await call.write(request)


def bucket_for(route: route_components_pb2.Route, headers: dict[str, str]) -> tuple:
    """The bucket that a route's RLQS filter settings name for a request."""
    own = rate_limit_quota_pb2.RateLimitQuotaOverride()
    route.typed_per_filter_config[QUOTA_FILTER].Unpack(own)
    settings = rate_limit_quota_pb2.RateLimitQuotaBucketSettings()
    own.bucket_matchers.on_no_match.action.typed_config.Unpack(settings)
    out = {}
    for key, value in settings.bucket_id_builder.bucket_id_builder.items():
        header = http_inputs_pb2.HttpRequestHeaderMatchInput()
        out[key] = value.string_value
        if value.HasField("custom_value") and value.custom_value.typed_config.Unpack(header):
            out[key] = headers[header.header_name]
    return tuple(sorted(out.items()))


class Front(Proxy):
    """A proxy that sends requests on, by its view and its leases."""

    def __init__(self, port: int, node: str, interval: float = 0.0, seed: int = 1) -> None:
        """With an `interval` of reports in s it goes by leases, too."""
        super().__init__(port, node)
        self.draw = random.Random(seed)
        self.quota = QuotaClient(port, interval) if interval else None

    def connect(self, port: int | None = None) -> None:
        super().connect(port)
        if self.quota is not None:
            self.quota.port = self.port
            self.quota.connect()

    async def drop(self) -> None:
        await super().drop()
        if self.quota is not None:
            await self.quota.drop()

    def _list_of(self, route: route_components_pb2.Route) -> str:
        """The endpoint list of the route's cluster, drawn by weight where it names several."""
        shares, name = route.route.weighted_clusters.clusters, route.route.cluster
        if shares:
            (name,) = self.draw.choices([c.name for c in shares], [c.weight.value for c in shares])
        known = self.view.get(CDS, {}).get(name)
        return known.eds_cluster_config.service_name if known is not None else ""

    async def send(self, method: str, path: str, customer: int = 1, plan: str = "basic") -> tuple[int, int]:
        """One request, never repeated: status (0: no server could be reached or answered) and its port."""
        headers = {"api-account": f"{customer:016x}", "api-plan": plan}
        if (route := self.route(method, path, headers)) is None:
            return 404, 0
        if self.quota is not None and not self.quota.allow(bucket_for(route, headers)):
            return 429, 0
        if not (known := self.endpoints(self._list_of(route))):
            return 503, 0
        ((host, port),) = self.draw.choices([a for a, _ in known], [w for _, w in known])
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            return 0, port
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 0\r\n\r\n".encode())
            line, _, _ = await read_message(reader)
            return int(line.split()[1]), port
        except (OSError, asyncio.IncompleteReadError):
            return 0, port
        finally:
            writer.close()
