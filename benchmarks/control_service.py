"""From a roster's change to the last proxy's receipt: `python benchmarks/control_service.py`.

One control service as a process, stand-in discovery and all proxies in this one: streams that subscribe to
the endpoints and ACK: state of the world, incremental, incremental by collections.  A change drains one
backend, the next
brings it back; the time counts from the word to discovery's watch, so the stand-in's and the proxies' own
work is in it.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import platform
import statistics
import tempfile
import time
from pathlib import Path

import grpc
from envoy.service.discovery.v3 import discovery_pb2
from ingress import cpu_seconds

from fennelpoint.demo import EXAMPLE, SETTINGS
from fennelpoint.testing import List, member
from fennelpoint.testing.process import Command
from fennelpoint.xds.server import SERVICE
from fennelpoint.xds.streams import EDS, LEDS

CHANNELS = 10
FORMS = ("world", "incremental", "collections")
COLLECTION = "xdstp://larchwing/envoy.config.endpoint.v3.LbEndpoint/backends/room/warm/*"


class Streams:
    """Many streams, which note when each next response has come, and its bytes."""

    def __init__(self, port: int, count: int, form: str) -> None:
        self.count, self.incremental, self.bytes = count, form != "world", 0
        self.counts = LEDS if form == "collections" else EDS    # the response that ends a change
        options = [("grpc.max_receive_message_length", -1), ("grpc.use_local_subchannel_pool", 1)]
        self.channels = [grpc.aio.insecure_channel(f"127.0.0.1:{port}", options)
                         for _ in range(min(CHANNELS, count))]
        self.times: list[float] = []
        self.got = asyncio.Event()
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        self.tasks = [asyncio.create_task(self._run(i)) for i in range(self.count)]
        await self.all()

    async def all(self) -> list[float]:
        """Wait until each has one more response; when they came."""
        while len(self.times) < self.count:
            self.got.clear()
            await asyncio.wait_for(self.got.wait(), 60.0)
        times, self.times = self.times, []
        return times

    async def _run(self, number: int) -> None:
        channel = self.channels[number % len(self.channels)]
        method = "DeltaAggregatedResources" if self.incremental else "StreamAggregatedResources"
        call = channel.stream_stream(f"/{SERVICE}/{method}", lambda m: m.SerializeToString(), bytes)()
        kind = discovery_pb2.DeltaDiscoveryRequest if self.incremental else discovery_pb2.DiscoveryRequest
        names = "resource_names_subscribe" if self.incremental else "resource_names"
        first = kind(type_url=EDS, **{names: ["backends"]})
        first.node.id = f"p-{number}"
        await call.write(first)
        if self.counts == LEDS:
            await call.write(kind(type_url=LEDS, **{names: [COLLECTION]}))
        answer = discovery_pb2.DeltaDiscoveryResponse if self.incremental else discovery_pb2.DiscoveryResponse
        while (data := await call.read()) is not grpc.aio.EOF:
            came, told = time.perf_counter(), answer.FromString(data)
            self.bytes += len(data)
            if told.type_url == self.counts:
                self.times.append(came)
                self.got.set()
            ack = kind(type_url=told.type_url, response_nonce=told.nonce)
            if not self.incremental:
                ack.resource_names.append("backends")
            await call.write(ack)

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for channel in self.channels:
            await channel.close()


async def measure(streams: int, endpoints: int, rounds: int, form: str) -> None:
    members = [member(f"s-{i}", f"127.{i // 250}.{i % 250}.1:9000") for i in range(endpoints)]
    discovery = List(members)
    address = await discovery.start()
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / "config.json").write_text(json.dumps({
            "name": "c", "listen": "127.0.0.1:9", "discovery": address, "counter": "127.0.0.1:9", "seed": "1",
            "settings": SETTINGS}))
        operator = Path(folder) / "operator.toml"
        operator.write_text(f"[routes]\ndescription = {json.dumps(str(EXAMPLE))}\n[control]\nlisten = "
                            "'127.0.0.1:0'\nsettings = 'config.json'\nunknown_nodes = 'default'\n"
                            f"endpoint_collections = {str(form == 'collections').lower()}\n")
        command = Command("control", "--config", operator)
        port = int((await command.start()).split()[-1])
        process = command.process
        group = Streams(port, streams, form)
        await group.start()
        delays, group.bytes, cpu = [], 0, cpu_seconds(process.pid)
        for turn in range(rounds):
            begun = time.perf_counter()
            discovery.tell({**members[0], "phase": "draining" if turn % 2 == 0 else "up"})
            delays.append(sorted(t - begun for t in await group.all()))
            await asyncio.sleep(0.3)
        cpu = (cpu_seconds(process.pid) - cpu) / rounds
        p50, p99, most = (statistics.median(row[int(q * (len(row) - 1))] * 1e3 for row in delays)
                          for q in (0.5, 0.99, 1.0))
        rss = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * 4096 / 1e6
        print(f"{streams:>8}{endpoints:>10}  {form:<12}{p50:>8.0f}"
              f"{p99:>8.0f}{most:>8.0f}{max(row[-1] for row in delays) * 1e3:>10.0f}{cpu * 1e3:>9.0f}"
              f"{group.bytes / rounds / streams / 1e3:>10.1f}{rss:>8.0f}", flush=True)
        await group.stop()
        await command.stop()
    discovery.stop()


async def main(rounds: int) -> None:
    print(f"{platform.machine()}, {os.cpu_count()} processors, Python {platform.python_version()}, grpcio "
          f"{grpc.__version__}; {rounds} changes each; ms and medians where nothing else is said")
    print(f"{'streams':>8}{'endpoints':>10}  {'form':<12}{'p50':>8}{'p99':>8}{'last':>8}{'worst':>10}"
          f"{'CPU':>9}{'kB each':>10}{'MB':>8}")
    for streams in (10, 100, 1000):
        for endpoints in (100, 1000):
            for form in FORMS:
                await measure(streams, endpoints, rounds, form)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=6)
    asyncio.run(main(parser.parse_args().rounds))
