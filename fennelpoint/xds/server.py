"""Aggregated Discovery over grpc.aio: carries requests to the streams' state and their responses out.

Each stream has one task that writes and one that reads.  A change of the roster makes the new snapshots and
wakes the writers; one that is stuck in a write keeps its stream and nothing else.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import asdict
from fnmatch import fnmatchcase

import grpc
from envoy.admin.v3 import config_dump_shared_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2_grpc
from envoy.service.rate_limit_quota.v3 import rlqs_pb2_grpc
from envoy.service.ratelimit.v3 import rls_pb2_grpc
from envoy.service.status.v3 import csds_pb2, csds_pb2_grpc
from google.protobuf import any_pb2
from grpc_health.v1 import health, health_pb2, health_pb2_grpc

from fennelpoint import interface as api
from fennelpoint.lifecycle import Event, LifeCycle
from fennelpoint.net.discovery import Address, Discovery
from fennelpoint.operator_config import Control
from fennelpoint.rate_limited_log import log, warn_limited
from fennelpoint.routes.table import RouteTable
from fennelpoint.xds.load_reports import Loads, LoadService
from fennelpoint.xds.membership import Membership
from fennelpoint.xds.quotas import LimitService, Quotas, QuotaService
from fennelpoint.xds.rate_limit_filters import Limits
from fennelpoint.xds.resources import Bodies, collections, endpoint_bodies, part_bodies, route_bodies
from fennelpoint.xds.routing import ROUTES, Routing, Weights
from fennelpoint.xds.streams import CDS, EDS, LDS, LEDS, RDS, Misuse, Response, Snapshot, Stream
from fennelpoint.xds.tls import credentials
from fennelpoint.xds.token_bucket import Budget

SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"
VIEWS = ("envoy", "grpc")
BY_COLLECTION = "collections"    # Envoy's view with each endpoint a resource of its own
KINDS = {"CDS": CDS, "EDS": EDS, "LEDS": LEDS, "LDS": LDS, "RDS": RDS}
DOES_NOT_EXIST = config_dump_shared_pb2.DOES_NOT_EXIST
TICK = 0.5              # s between looks at what warms up
GRACE = 1.0             # s for streams to end at a stop
OURSELVES = "(this service)"    # in CSDS: how it stands itself
STATUS_RATE, STATUS_BURST = 1.0, 5.0    # status requests a second of one stream: an answer tells of all
MOST_CACHED = 64        # written responses that are kept


def encode(response: Response, incremental: bool, cache: dict[tuple, bytes]) -> bytes:
    """A DiscoveryResponse or DeltaDiscoveryResponse; all but the nonce is written once for all streams.

    Messages written one after another are one message with the fields of all (protobuf.dev, "Encoding").
    """
    made = discovery_pb2.DeltaDiscoveryResponse if incremental else discovery_pb2.DiscoveryResponse
    key = (response.kind, incremental, response.version, tuple((r.name, r.label) for r in response.resources),
           response.removed)
    if (whole := cache.get(key)) is None:
        bodies = [any_pb2.Any.FromString(r.body) for r in response.resources]
        if incremental:
            resources = [discovery_pb2.Resource(name=r.name, version=r.version, resource=body)
                         for r, body in zip(response.resources, bodies, strict=True)]
            message = made(type_url=response.kind, system_version_info=response.version, resources=resources,
                           removed_resources=response.removed)
        else:
            message = made(type_url=response.kind, version_info=response.version, resources=bodies)
        if len(cache) > MOST_CACHED:
            cache.clear()
        whole = cache[key] = message.SerializeToString()
    return whole + made(nonce=response.nonce).SerializeToString()


def merged(*groups: Bodies) -> Bodies:
    """All resources of some groups, by type and name."""
    out: Bodies = {}
    for bodies in groups:
        for kind, named in bodies.items():
            out[kind] = out.get(kind, {}) | named
    return out


class Peer:
    """One stream with its proxy's name and view."""

    def __init__(self, incremental: bool) -> None:
        self.stream, self.incremental = Stream(incremental), incremental
        self.node, self.view = "", ""
        self.wake, self.budget = asyncio.Event(), Budget()


class ControlServer:
    """The snapshots of all views, the streams that follow them, and discovery behind them."""

    def __init__(self, control: Control, settings: api.Settings, table: RouteTable, discovery: Address,
                 clock: Callable[[], float] = time.time, seed: int = 0,
                 counter: Address | None = None) -> None:
        """`counter`: the ingresses' own, where quotas are handed out and the settings tell of one."""
        self.seed, self.counter = seed, counter
        self.life = LifeCycle(time.monotonic())
        self.quotas: Quotas | None = None
        self.loads = Loads()
        self.limits = Limits(control, settings) if control.quotas != "off" else None
        self.control, self.settings, self.clock = control, settings, clock
        self.members = Membership(control.discovery_lag_s)
        kinds = (*VIEWS, BY_COLLECTION) if control.endpoint_collections else VIEWS
        zones = ["", *settings.zones] if control.own_zone_weight > 1.0 else [""]
        # A view is the kind of proxy and, where nearness counts, its zone.
        self.views = {f"{kind}@{zone}" if zone else kind: (kind, zone) for kind in kinds for zone in zones}
        self.snapshots = {view: Snapshot() for view in self.views}
        self.peers: set[Peer] = set()
        self.cache: dict[tuple, bytes] = {}
        self.discovery_address = discovery
        self.server: grpc.aio.Server | None = None
        self.port = 0
        host, _, port = control.envoy_listen.rpartition(":")
        self.envoy_listen = (host, int(port)) if port else None
        self.writing: asyncio.Task | None = None    # of a new description's routes
        self.weights: Weights = {}      # of cells or zones
        self.routes: dict[str, Bodies] = {}     # by view: made anew with a description, or with weights
        routings = self._routings(table)
        for routing in routings.values():
            for _ in routing.write():
                pass
        self._go_by(table, routings)

    def _routings(self, table: RouteTable) -> dict[str, Routing]:
        return {view: Routing(table, self.settings, view, self.limits) for view in VIEWS}

    def take(self, table: RouteTable) -> None:
        """Go by a description once its routes are written; a later one takes its place."""
        if self.writing is not None:
            self.writing.cancel()
        self.writing = asyncio.get_running_loop().create_task(self._write(table))

    async def _write(self, table: RouteTable) -> None:
        """Guards the time of a drain: ten thousand routes take half a second, others have turns between."""
        routings = self._routings(table)
        for routing in routings.values():
            for _ in routing.write():
                await asyncio.sleep(0)
        self._go_by(table, routings)
        self.publish()

    def _go_by(self, table: RouteTable, routings: dict[str, Routing]) -> None:
        names, listen = self.control.listeners, self.envoy_listen
        self.table, self.routings = table, routings
        self.fixed = {view: route_bodies(view, names, listen, table, self.settings, self.limits)
                      for view in VIEWS}
        self._make_routes()

    def _make_routes(self) -> None:
        self.routes = {view: self.fixed[view] | {RDS: {ROUTES: self.routings[view].body(self.weights)}}
                       for view in VIEWS}

    @property
    def fresh(self) -> bool:
        """Whether the roster is young enough to be given to a newcomer."""
        return self.members.told_once and self.members.age(self.clock()) <= self.control.max_view_age_s

    # Start and stop

    async def start(self) -> int:
        """Listen and begin to follow discovery; the port."""
        loop = asyncio.get_running_loop()
        self.discovery = Discovery(loop, self.discovery_address, self.settings, self._told)
        self.discovery.on_answer = self._heard
        self.discovery.start()
        size, wait = self.control.max_message_bytes, self.control.keepalive_s
        self.server = grpc.aio.server(options=[("grpc.max_receive_message_length", size),
                                               ("grpc.max_metadata_size", 16 * 1024),
                                               ("grpc.keepalive_time_ms", round(wait * 1000)),
                                               ("grpc.keepalive_timeout_ms", round(wait * 1000)),
                                               ("grpc.keepalive_permit_without_calls", 1),
                                               ("grpc.http2.max_pings_without_data", 0),
                                               ("grpc.http2.ping_timeout_ms", round(wait * 1000)),
                                               ("grpc.so_reuseport", 0)])
        handlers = {
            "StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(
                self._world, discovery_pb2.DiscoveryRequest.FromString, bytes),
            "DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(
                self._delta, discovery_pb2.DeltaDiscoveryRequest.FromString, bytes)}
        self.server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE, handlers),))
        self.health = health.aio.HealthServicer()
        health_pb2_grpc.add_HealthServicer_to_server(self.health, self.server)
        await self._tell_health()
        csds_pb2_grpc.add_ClientStatusDiscoveryServiceServicer_to_server(ClientStatus(self), self.server)
        lrs_pb2_grpc.add_LoadReportingServiceServicer_to_server(
            LoadService(self.loads, self.control.max_streams, self.admit), self.server)
        if self.control.quotas != "off":
            self.quotas = Quotas(self.control, self.settings, self.seed, self.counter)
            rls_pb2_grpc.add_RateLimitServiceServicer_to_server(LimitService(self.quotas), self.server)
        if self.control.quotas == "leases":
            rlqs_pb2_grpc.add_RateLimitQuotaServiceServicer_to_server(
                QuotaService(self.quotas, self.control.max_streams), self.server)
        secure = credentials(self.control)
        self.port = self.server.add_insecure_port(self.control.listen) if secure is None else (
            self.server.add_secure_port(self.control.listen, secure))
        await self.server.start()
        self.ticker = asyncio.create_task(self._tick())
        return self.port

    async def stop(self) -> None:
        self.life.handle(Event.TERM, time.monotonic())
        await self._tell_health()
        self.discovery.stop()
        self.ticker.cancel()
        if self.writing is not None:
            self.writing.cancel()
        await self.server.stop(GRACE)
        if self.quotas is not None:
            self.quotas.close()

    # What changes

    def _heard(self, revision: int) -> None:
        before = self.members.stand
        self.members.answered(revision, self.clock())
        if self.members.stand != before:
            self.publish()

    def _told(self, roster: api.Roster, addresses: dict[str, Address]) -> None:
        self.members.told(roster, addresses)
        self.life.handle(Event.LISTED, time.monotonic())
        self.publish()

    async def _tick(self) -> None:
        """Cold backends warm up, and rosters grow old: looked at now and then."""
        stale, fresh = False, False
        while True:
            await asyncio.sleep(TICK)
            now, span = self.clock(), max(self.settings.ramp_time, self.settings.tick)
            if any(0.0 < now - e.started_at < span + 2 * TICK for e, _ in self.members.ready()):
                self.publish()
            if fresh != self.fresh:
                fresh = self.fresh
                await self._tell_health()
            if stale != (self.members.told_once and not self.fresh):
                stale = not stale
                log.warning("the roster is %s", f"over {self.control.max_view_age_s:g} s old: newcomers wait"
                            if stale else "fresh again")
                self._wake()

    async def _tell_health(self) -> None:
        """Readiness (grpc.health.v1): NOT_SERVING while a newcomer would be given nothing, or at the end."""
        told, ready = health_pb2.HealthCheckResponse, self.life.is_ready and self.fresh
        await self.health.set("", told.SERVING if ready else told.NOT_SERVING)

    def publish(self) -> None:
        """Make every view's next snapshot and wake who follows it."""
        if not self.members.told_once:
            return
        ready, now = self.members.ready(), self.clock()
        groups, weights = part_bodies(ready, self.table, self.settings, now)
        if weights != self.weights:     # only where classes go by cell or zone
            self.weights = weights
            self._make_routes()
        lists: dict[tuple[bool, str], Bodies] = {}
        for view, (kind, zone) in self.views.items():
            single = kind == BY_COLLECTION
            if (own := lists.get((single, zone))) is None:
                near = (zone, self.control.own_zone_weight)
                own = lists[single, zone] = (collections if single else endpoint_bodies)(
                    ready, self.settings, now, near)
            bodies = merged(self.routes["envoy" if single else kind], own, groups)
            self.snapshots[view] = self.snapshots[view].follow(self.members.stand, bodies)
        self._wake()

    def _wake(self) -> None:
        for peer in self.peers:
            peer.wake.set()

    # Streams

    async def _world(self, requests, context) -> None:
        await self._serve(requests, context, False)

    async def _delta(self, requests, context) -> None:
        await self._serve(requests, context, True)

    async def _serve(self, requests, context, incremental: bool) -> None:
        if len(self.peers) >= self.control.max_streams:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many streams")
        peer = Peer(incremental)
        self.peers.add(peer)
        reader = asyncio.create_task(self._read(peer, requests))
        try:
            while not reader.done():
                peer.wake.clear()
                response = peer.stream.pull(self.snapshots[peer.view], self.fresh) if peer.view else None
                if response is not None:
                    await context.write(encode(response, incremental, self.cache))
                    continue
                waiting = asyncio.create_task(peer.wake.wait())
                try:
                    await asyncio.wait((reader, waiting), return_when=asyncio.FIRST_COMPLETED)
                finally:
                    waiting.cancel()
            try:
                reader.result()
            except Misuse as error:
                warn_limited("xds", "the stream of %.100r ends: %s", peer.node, error)
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            except PermissionError as error:
                await context.abort(grpc.StatusCode.PERMISSION_DENIED, str(error))
        finally:
            reader.cancel()
            self.peers.discard(peer)

    async def _read(self, peer: Peer, requests) -> None:
        async for request in requests:
            peer.budget.spend()
            if not peer.view:
                self._admit(peer, request.node)
            error = request.error_detail.message or "no words" if request.HasField("error_detail") else None
            sub = peer.stream.kinds.get(request.type_url)
            if error is not None and sub is not None and sub.waiting and request.response_nonce == sub.nonce:
                # Once a response: who says it of others is not heard.
                log.warning("%.100r refuses %s: %.500s", peer.node, request.type_url, error)
            if peer.incremental:
                peer.stream.delta(
                    request.type_url, request.response_nonce, request.resource_names_subscribe,
                    request.resource_names_unsubscribe, request.initial_resource_versions, error)
            else:
                peer.stream.request(request.type_url, request.version_info, request.response_nonce,
                                    request.resource_names, error)
            if peer.stream.floor is not None:
                self.members.heard(peer.stream.floor, self.clock())
            peer.wake.set()

    def admit(self, node) -> None:
        """Raises PermissionError for a proxy that is not served here, by what it says of itself."""
        known = any(fnmatchcase(node.id, pattern) for pattern in self.control.nodes) or any(
            fnmatchcase(node.cluster, pattern) for pattern in self.control.node_clusters)
        if not known and self.control.unknown_nodes == "refuse":
            raise PermissionError(f"the node {node.id[:100]!r} is not known here")

    def _admit(self, peer: Peer, node) -> None:
        """Which view a proxy gets; raises PermissionError where it gets none."""
        self.admit(node)
        peer.node = node.id
        by_collection = peer.incremental and self.control.endpoint_collections
        kind = "grpc" if node.user_agent_name.lower().startswith("grpc") else (
            BY_COLLECTION if by_collection else "envoy")
        near = f"{kind}@{node.locality.zone}"
        peer.view = near if near in self.views else kind


STATES = {"synced": csds_pb2.SYNCED, "stale": csds_pb2.STALE, "error": csds_pb2.ERROR,
          "not sent": csds_pb2.NOT_SENT, "does not exist": csds_pb2.NOT_SENT}


class ClientStatus(csds_pb2_grpc.ClientStatusDiscoveryServiceServicer):
    """CSDS (envoyproxy.io, "client status discovery service"): each proxy and what it has accepted."""

    def __init__(self, control: ControlServer) -> None:
        self.control = control

    async def FetchClientStatus(self, request, context):  # noqa: N802, the service's own name
        return self._status()

    async def StreamClientStatus(self, request_iterator, context):  # noqa: N802
        budget = Budget(rate=STATUS_RATE, burst=STATUS_BURST)
        async for _ in request_iterator:
            try:
                budget.spend()
            except Misuse as error:
                await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, str(error))
            yield self._status()

    def _status(self) -> csds_pb2.ClientStatusResponse:
        made, members = csds_pb2.ClientStatusResponse(), self.control.members
        config = made.config.add()
        config.node.id = OURSELVES
        config.node.metadata.fields["roster"].struct_value.update({
            "stand": f"{members.stand.epoch}.{members.stand.revision}", "fresh": self.control.fresh,
            "age_s": min(1e9, members.age(self.control.clock())), "ready": len(members.ready()),
            "streams": len(self.control.peers)})
        for peer in sorted(self.control.peers, key=lambda p: p.node):
            if not peer.view:
                continue
            config = made.config.add()
            config.node.id = peer.node
            for name, load in self.control.loads.of(peer.node).items():
                config.node.metadata.fields["load"].struct_value.fields[name].struct_value.update(asdict(load))
            for held in peer.stream.status(self.control.snapshots[peer.view]):
                one = config.generic_xds_configs.add(
                    type_url=held.kind, name=held.name, version_info=held.version,
                    config_status=STATES[held.state])
                if held.state == "error":
                    one.error_state.details = held.error
                if held.state == "does not exist":
                    one.client_status = DOES_NOT_EXIST
        return made


def status_lines(response: csds_pb2.ClientStatusResponse) -> list[str]:
    """A CSDS response for a terminal, a resource a line."""
    words = {number: word for word, number in STATES.items() if word != "does not exist"}
    rows = []
    for config in response.config:
        if config.node.id == OURSELVES:
            told = config.node.metadata.fields["roster"].struct_value
            counts = f"{told['ready']:g} ready, {told['streams']:g} streams"
            rows.append((config.node.id, "roster", told["stand"], "fresh" if told["fresh"] else "stale",
                         f"{told['age_s']:.1f} s old", counts))
        for one in config.generic_xds_configs:
            word = "does not exist" if one.client_status == DOES_NOT_EXIST else words[one.config_status]
            kind = next((k for k, url in KINDS.items() if url == one.type_url), one.type_url)
            rows.append((config.node.id, kind, one.name, word, one.version_info or "-",
                         one.error_state.details))
        for name, load in sorted(config.node.metadata.fields["load"].struct_value.fields.items()):
            told = load.struct_value
            rows.append((config.node.id, "load", name, f"{told['rate']:g}/s", f"{told['served']:g} served",
                         f"{told['errors']:g} errors, {told['in_progress']:g} out"))
    widths = [max((len(row[i]) for row in rows), default=0) for i in range(5)]
    padded = ([cell.ljust(w) for cell, w in zip(row, [*widths, 0], strict=True)] for row in rows)
    return ["  ".join(cells).rstrip() for cells in padded]


async def fetch_status(address: str, secure: grpc.ChannelCredentials | None = None
                       ) -> csds_pb2.ClientStatusResponse:
    """Ask a control service; raises grpc.aio.AioRpcError where it can't be asked."""
    options = [("grpc.max_receive_message_length", -1)]     # it tells of all proxies
    async with (grpc.aio.secure_channel(address, secure, options) if secure is not None
                else grpc.aio.insecure_channel(address, options)) as channel:
        stub = csds_pb2_grpc.ClientStatusDiscoveryServiceStub(channel)
        return await stub.FetchClientStatus(csds_pb2.ClientStatusRequest(), timeout=5.0)
