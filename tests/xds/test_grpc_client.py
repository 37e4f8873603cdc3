"""gRPC's own xDS client goes by what we serve: paths, a node killed, one drained, a cold one, retries."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from contextlib import asynccontextmanager
from pathlib import Path

import grpc
from proxies import control, run, settings

from fennelpoint.testing import List, member, until

CLIENT = Path(__file__).parent / "grpc_client.py"
DESCRIPTION = """openapi: 3.1.0
info: {title: Booking over gRPC, version: "1"}
paths:
  /booking.Booking/Look:
    post:
      x-larchwing: {class: look, effect: safe}
      responses: {default: {description: d}}
  /booking.Booking/Book:
    post:
      x-larchwing: {class: book, effect: unsafe}
      responses: {default: {description: d}}
"""
LOOK, BOOK, OTHER = "/booking.Booking/Look", "/booking.Booking/Book", "/booking.Booking/Else"


class Booking(grpc.GenericRpcHandler):
    """A stand-in booking server: says its name, or fails as many calls as it is told to."""

    def __init__(self, name: str) -> None:
        self.name, self.calls, self.fail = name, [], 0

    def service(self, details):
        async def answer(request, context):
            self.calls.append(details.method)
            if self.fail:
                self.fail -= 1
                await context.abort(grpc.StatusCode.UNAVAILABLE, "not now")
            return self.name.encode()

        return grpc.unary_unary_rpc_method_handler(answer)

    async def start(self) -> str:
        self.server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        self.server.add_generic_rpc_handlers((self,))
        self.port = self.server.add_insecure_port("127.0.0.1:0")
        await self.server.start()
        return f"127.0.0.1:{self.port}"


class Client:
    """The client's process."""

    def __init__(self, control_port: int) -> None:
        self.port = control_port

    async def start(self) -> None:
        bootstrap = {"xds_servers": [{"server_uri": f"127.0.0.1:{self.port}", "server_features": ["xds_v3"],
                                      "channel_creds": [{"type": "insecure"}]}],
                     "node": {"id": "agency-1", "cluster": "agencies"}}
        env = {**os.environ, "GRPC_XDS_BOOTSTRAP_CONFIG": json.dumps(bootstrap)}
        env.pop("GRPC_XDS_BOOTSTRAP", None)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, str(CLIENT), "xds:///booking.example.org", env=env, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE)

    async def call(self, method: str, count: int) -> dict[str, int]:
        self.process.stdin.write(f"{method} {count}\n".encode())
        return json.loads(await self.process.stdout.readline())

    async def stop(self) -> None:
        self.process.stdin.close()
        await self.process.wait()


@asynccontextmanager
async def site(tmp_path, count: int = 3, **changes):
    path = tmp_path / "grpc.yaml"
    path.write_text(DESCRIPTION)
    servers = [Booking(f"s-{i}") for i in range(count)]
    discovery = List([member(s.name, await s.start()) for s in servers])
    await discovery.start()
    async with control(discovery, path, settings(**changes), listeners=["booking.example.org"]) as server:
        client = Client(server.port)
        await client.start()
        try:
            yield servers, discovery, client, server
        finally:
            await client.stop()
    for s in servers:
        await s.server.stop(None)
    discovery.stop()


def gone_from(server, name: str):
    """Whether every stream has accepted an endpoint list without it."""
    from fennelpoint.xds.streams import EDS
    return lambda: name not in server.members.entries and all(
        EDS not in p.stream.behind(server.snapshots[p.view]) for p in server.peers)


def test_calls_go_by_path_to_all_servers_and_nowhere_else(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as (servers, _, client, server):
            seen = await client.call(LOOK, 30)
            assert sorted(seen) == ["s-0", "s-1", "s-2"] and max(seen.values()) <= 20
            assert await client.call(OTHER, 1) == {"UNAVAILABLE": 1}    # no route takes it
            assert not any(OTHER in s.calls for s in servers)
            (peer,) = server.peers
            assert peer.view == "grpc" and not any(s.error for s in peer.stream.kinds.values())

    run(play())


def test_drained_and_killed_nodes_get_no_call_after_the_limit(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as (servers, discovery, client, server):
            await client.call(LOOK, 9)
            begun = time.monotonic()
            discovery.tell(member("s-0", f"127.0.0.1:{servers[0].port}", phase="draining"))
            await until(lambda: len(server.members.ready()) == 2 and not any(
                p.stream.behind(server.snapshots["grpc"]) for p in server.peers))
            assert time.monotonic() - begun < 0.5
            await asyncio.sleep(max(0.0, begun + 0.5 - time.monotonic()))   # the limit itself
            before = len(servers[0].calls)
            assert "s-0" not in await client.call(BOOK, 20) and len(servers[0].calls) == before
            discovery.tell(member("s-1", "", phase="removed"))
            begun = time.monotonic()
            await servers[1].server.stop(None)
            await until(gone_from(server, "s-1"))
            assert time.monotonic() - begun < 0.5
            await asyncio.sleep(max(0.0, begun + 0.5 - time.monotonic()))
            assert await client.call(BOOK, 20) == {"s-2": 20}

    run(play())


def test_safe_calls_are_retried_and_bookings_never(tmp_path):
    async def play() -> None:
        async with site(tmp_path, 1) as (servers, _, client, _):
            (server,) = servers
            await client.call(LOOK, 1)
            server.calls.clear()
            server.fail = 2
            assert (await client.call(LOOK, 1), server.calls) == ({"s-0": 1}, [LOOK] * 3)
            server.calls.clear()
            server.fail = 1
            assert await client.call(BOOK, 1) == {"UNAVAILABLE": 1} and server.calls == [BOOK]

    run(play())


def test_cold_node_gets_its_share_of_calls(tmp_path):
    """At 0.2 of its capacity it is owed 0.2 ** 1.5 of a warm one's calls: 1 of 23 beside two of these."""
    rules = {"drain_grace_s": 0.5, "cold_share": 0.2, "ramp_time_s": 600.0, "tip_multiple": 2.0,
             "fall_s": 2.0, "answer_slack_s": 0.016}

    async def play() -> None:
        async with site(tmp_path, 2, rules=rules) as (servers, discovery, client, server):
            cold = Booking("cold")
            address = await cold.start()
            discovery.tell(member("cold", address, up_since_ms=time.time() * 1000))
            await until(lambda: len(server.members.ready()) == 3)
            await client.call(LOOK, 50)
            await until(lambda: not any(p.stream.behind(server.snapshots["grpc"]) for p in server.peers))
            await client.call(LOOK, 50)     # its connection comes up meanwhile
            seen = await client.call(LOOK, 1000)
            assert 10 <= seen.get("cold", 0) <= 90, seen
            await cold.server.stop(None)

    run(play())
