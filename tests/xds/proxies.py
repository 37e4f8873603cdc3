"""Stand-ins for the control service's tests: a small site, and proxies that hold a view."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from contextlib import asynccontextmanager
from pathlib import Path

import grpc
import uvloop
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2

from fennelpoint.net.discovery import parse_address
from fennelpoint.operator import Control
from fennelpoint.routes.description import Site, load
from fennelpoint.routes.table import RouteTable
from fennelpoint.settings import from_json
from fennelpoint.standins import SETTINGS, List, until
from fennelpoint.xds.server import ControlServer
from fennelpoint.xds.streams import CDS, EDS, LDS, RDS

MESSAGES = {CDS: cluster_pb2.Cluster, EDS: endpoint_pb2.ClusterLoadAssignment, LDS: listener_pb2.Listener,
            RDS: route_pb2.RouteConfiguration}
OPERATOR = dict(settings="", listen="127.0.0.1:0", unknown_nodes="default")


# One loop for all: grpc.aio has one poller a process, and events of a loop that is closed hold up the next's.
LOOP = uvloop.new_event_loop()


def run(coroutine: Awaitable, seconds: float = 60.0) -> None:
    """Run a test's coroutine, for so long at most."""
    LOOP.run_until_complete(asyncio.wait_for(coroutine, seconds))


def settings(**changes):
    return from_json({**SETTINGS, **changes})


def table(path: Path, made) -> RouteTable:
    loaded = load(path, Site.of(made))
    assert not loaded.faults, loaded.faults
    return RouteTable(loaded.routes)


@asynccontextmanager
async def control(discovery: List, description: Path, made=None, **changes):
    """A control service in this process that has heard of its roster."""
    made = made or settings()
    server = ControlServer(Control(**{**OPERATOR, **changes}), made, table(description, made),
                           parse_address(discovery.address, "discovery"))
    await server.start()
    try:
        await until(lambda: server.members.told_once)
        yield server
    finally:
        await server.stop()


class Proxy:
    """A state-of-the-world proxy that subscribes to all four types and keeps what it is told."""

    def __init__(self, port: int, node: str = "proxy-1", agent: str = "envoy", refuse: str = "",
                 reads: bool = True) -> None:
        self.port, self.node, self.agent, self.refuse, self.reads = port, node, agent, refuse, reads
        self.view: dict[str, dict[str, object]] = {}
        self.versions: dict[str, str] = {}
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
            except grpc.aio.AioRpcError:
                self.code = await call.code()   # what the call ended with, where a write failed for it too

    def _request(self, kind: str, nonce: str = "", error: str = "") -> discovery_pb2.DiscoveryRequest:
        names = {EDS: ["backends"], RDS: ["larchwing"]}.get(kind, [])
        request = discovery_pb2.DiscoveryRequest(version_info=self.versions.get(kind, ""), type_url=kind,
                                                 response_nonce=nonce, resource_names=names)
        request.node.id, request.node.user_agent_name = self.node, self.agent
        if error:
            request.error_detail.message = error
        return request

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
        self.view[kind], self.versions[kind] = held, response.version_info
        await call.write(self._request(kind, response.nonce))

    def ports(self) -> list[int]:
        """Those that it would send to."""
        if EDS not in self.view:
            return []
        return sorted(e.endpoint.address.socket_address.port_value
                      for locality in self.view[EDS]["backends"].endpoints for e in locality.lb_endpoints)
