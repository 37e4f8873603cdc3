"""Endpoints by collections (LEDS): an incremental change that does not grow with the roster."""

from __future__ import annotations

import asyncio

import grpc
import pytest
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from google.protobuf import any_pb2
from proxies import control, run
from rules import check

from fennelpoint import interface as api
from fennelpoint.demo import EXAMPLE, SETTINGS
from fennelpoint.settings import from_json
from fennelpoint.testing import List, member, until
from fennelpoint.xds.resources import collections
from fennelpoint.xds.streams import EDS, LEDS, Misuse, Snapshot, Stream
from fennelpoint.xds.version_labels import Stand

MADE = from_json(SETTINGS)


def roster(count: int, cold: int = 0) -> list:
    return [(api.BackendEntry(f"s-{i:04}", api.BackendState.READY, 0.0 if i >= cold else 1000.0),
             ("127.0.0.1", 9000 + i)) for i in range(count)]


def subscribed(snapshot: Snapshot) -> Stream:
    """A stream that has accepted the localities and all of their endpoints."""
    stream = Stream(True)
    stream.delta(EDS, "", ["backends"], [], {}, None)
    accept(stream, snapshot)
    body = any_pb2.Any.FromString(snapshot.types[EDS]["backends"].body)
    made = endpoint_pb2.ClusterLoadAssignment()
    body.Unpack(made)
    stream.delta(LEDS, "", [loc.leds_cluster_locality_config.leds_collection_name for loc in made.endpoints],
                 [], {}, None)
    accept(stream, snapshot)
    return stream


def accept(stream: Stream, snapshot: Snapshot) -> list:
    out = []
    while (response := stream.pull(snapshot)) is not None:
        out.append(response)
        stream.delta(response.kind, response.nonce, [], [], {}, None)
    return out


@pytest.mark.parametrize("count", [10, 1000])
def test_change_sends_its_endpoint_and_the_localities_whatever_the_number(count):
    ready = roster(count)
    first = Snapshot().follow(Stand(0, 1), collections(ready, MADE, 1000.0))
    stream = subscribed(first)
    assert len(stream.kinds[LEDS].acked) == count
    second = first.follow(Stand(0, 2), collections(ready[1:], MADE, 1000.0))
    responses = accept(stream, second)
    assert [(r.kind, len(r.resources), len(r.removed)) for r in responses] == [(EDS, 1, 0), (LEDS, 0, 1)]
    assert sum(len(r.body) for x in responses for r in x.resources) < 400
    assert responses[1].removed[0].endswith("/backends/room/warm/s-0000")
    third = second.follow(Stand(0, 3), collections(ready, MADE, 1000.0))
    back = accept(stream, third)
    assert [(r.kind, len(r.resources)) for r in back] == [(EDS, 1), (LEDS, 1)]
    assert stream.behind(third) == {} and accept(stream, third) == []
    (held,) = [h for h in stream.status(third) if h.kind == LEDS]
    assert (held.state, held.version) == ("synced", f"{count} endpoints")


def test_stream_that_skipped_snapshots_gets_all_that_changed():
    """It looks at what has changed only where it has seen the snapshot just before."""
    ready = roster(6)
    snapshot = Snapshot().follow(Stand(0, 1), collections(ready, MADE, 1000.0))
    stream = subscribed(snapshot)
    for revision, gone in enumerate((1, 2, 3), 2):
        snapshot = snapshot.follow(Stand(0, revision), collections(ready[gone:], MADE, 1000.0))
    removed = [n for r in accept(stream, snapshot) for n in r.removed]
    assert [n[-6:] for n in removed] == ["s-0000", "s-0001", "s-0002"] and stream.behind(snapshot) == {}


def test_cold_backend_is_in_a_collection_of_its_own_and_all_is_valid():
    made = collections(roster(3, cold=1), MADE, 1001.0)
    message = endpoint_pb2.ClusterLoadAssignment()
    any_pb2.Any.FromString(made[EDS]["backends"]).Unpack(message)
    assert check(message) > 1 and [loc.locality.sub_zone for loc in message.endpoints] == ["cold-s-0000", ""]
    assert [n.split("/")[-2:] for n in sorted(made[LEDS])] == [
        ["cold-s-0000", "s-0000"], ["warm", "s-0001"], ["warm", "s-0002"]]
    for body in made[LEDS].values():
        single = endpoint_components_pb2.LbEndpoint()
        assert any_pb2.Any.FromString(body).Unpack(single) and check(single) > 1


def test_collections_are_refused_on_a_stream_of_the_state_of_the_world():
    with pytest.raises(Misuse, match="incremental"):
        Stream(False).request(LEDS, "", "", ["a/*"], None)


def test_incremental_proxy_is_served_collections_and_others_the_list():
    async def play() -> None:
        discovery = List([member(f"s-{i}", f"127.0.0.1:{9001 + i}") for i in range(3)])
        await discovery.start()
        async with control(discovery, EXAMPLE, MADE, endpoint_collections=True) as server:
            async with grpc.aio.insecure_channel(f"127.0.0.1:{server.port}") as channel:
                call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).DeltaAggregatedResources()
                held: set[str] = set()

                async def read() -> None:
                    while (response := await call.read()) is not grpc.aio.EOF:
                        held.update(r.name for r in response.resources if response.type_url == LEDS)
                        held.difference_update(response.removed_resources)
                        await call.write(discovery_pb2.DeltaDiscoveryRequest(
                            type_url=response.type_url, response_nonce=response.nonce))

                for kind, name in ((EDS, "backends"), (LEDS, "xdstp://larchwing/envoy.config.endpoint.v3."
                                                             "LbEndpoint/backends/room/warm/*")):
                    await call.write(discovery_pb2.DeltaDiscoveryRequest(
                        type_url=kind, resource_names_subscribe=[name]))
                reader = asyncio.create_task(read())
                await until(lambda: len(held) == 3)
                discovery.tell(member("s-1", "127.0.0.1:9002", phase="draining"))
                await until(lambda: sorted(n[-3:] for n in held) == ["s-0", "s-2"])
                reader.cancel()
                await asyncio.gather(reader, return_exceptions=True)
        discovery.stop()

    run(play())
