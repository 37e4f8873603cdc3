"""Hot restart: two versions run as processes that inherit one listening socket, under load and with kills."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections import Counter
from contextlib import asynccontextmanager

import pytest
from test_program import config

from fennelpoint.testing import SETTINGS, Backend, Count, List, member, ok, read_message, request, run, until
from fennelpoint.testing.process import IngressProcess

PLAN = {"name": "basic", "pays": 1.0, "quota_rate": 4000.0, "store_size": 8000.0}


class Deployment:
    """Simulated peers, the platform's listening socket and shared folder, and the started processes."""

    def __init__(self, folder: str) -> None:
        self.folder, self.count = folder, Count()
        self.backend = Backend(lambda line, fields, body: ok(fields["x-txn"].encode()), delay=0.01)
        self.processes: list[IngressProcess] = []

    async def start(self) -> None:
        self.list = List([member("s-0", await self.backend.start())])
        self.discovery, self.counter = await self.list.start(), await self.count.start()
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=256)

    def process(self) -> IngressProcess:
        settings = {**SETTINGS, "contracts": [PLAN]}
        self.processes.append(IngressProcess(settings, self.discovery, self.counter, inherited=self.socket,
                                             common=self.folder))
        return self.processes[-1]

    async def stop(self) -> None:
        for process in self.processes:
            await process.stop()
        self.socket.close()
        for fake in (self.backend, self.list, self.count):
            fake.stop()


@asynccontextmanager
async def start_deployment():
    with tempfile.TemporaryDirectory(prefix="larchwing-common-") as folder:
        deployment = Deployment(folder)
        await deployment.start()
        try:
            yield deployment
        finally:
            await deployment.stop()


class Load:
    """Clients, half of which reuse their connections; records the outcome of each request."""

    def __init__(self, deployment: Deployment) -> None:
        self.address, self.outcomes, self.stop, self.sent = deployment.socket.getsockname(), Counter(), False, 0
        self.wrong_bodies: list[str] = []
        self.tasks = [asyncio.ensure_future(self._client(keeps_connection=i % 2 == 0)) for i in range(8)]

    async def _client(self, keeps_connection: bool) -> None:
        reader = writer = None
        while not self.stop:
            if writer is None:
                reader, writer = await asyncio.open_connection(*self.address)
            data = request("book", b"x", left=3000)
            txn = data.split(b"X-Txn: ")[1].split(b"\r\n")[0]
            self.sent += 1
            is_new_connection = False
            for _ in range(2):
                try:
                    writer.write(data)
                    line, fields, body = await asyncio.wait_for(read_message(reader), 5.0)
                    self.outcomes[line.split()[1]] += 1
                    if line.split()[1] == "200" and body != txn:
                        self.wrong_bodies.append(f"{txn!r} got {body!r}")
                    break
                except (ConnectionError, asyncio.IncompleteReadError) as error:
                    fields = {"connection": "close"}
                    has_partial_answer = isinstance(error, asyncio.IncompleteReadError) and error.partial
                    writer.close()
                    if is_new_connection or has_partial_answer:
                        self.outcomes["lost"] += 1
                        break
                    # The request may have crossed the close of an idle connection: retried once, as real clients do.
                    self.outcomes["crossed"] += 1
                    reader, writer = await asyncio.open_connection(*self.address)
                    is_new_connection = True
            if not keeps_connection or fields.get("connection") == "close":
                writer.close()
                writer = None
            await asyncio.sleep(0.002)
        if writer is not None:
            writer.close()

    async def end(self) -> Counter:
        self.stop = True
        await asyncio.gather(*self.tasks)
        return self.outcomes


def find_duplicates(deployment: Deployment) -> list[str]:
    """Return the request ids that the backend received more than once."""
    seen = Counter(fields["x-txn"] for _, fields, _ in deployment.backend.seen)
    return [txn for txn, times in seen.items() if times > 1]


def test_upgrade_under_load_loses_and_duplicates_no_request():
    async def scenario() -> None:
        async with start_deployment() as deployment:
            old = deployment.process()
            await old.start()
            load = Load(deployment)
            for _ in range(2):
                await until(lambda sent=load.sent: load.sent > sent + 50)
                new = deployment.process()
                await new.start()
                assert "handed its state over to generation" in old.log.read_text()
                old.process.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(old.process.wait(), 5.0) == 0
                old = new
            await until(lambda sent=load.sent: load.sent > sent + 50)
            outcomes = await load.end()
            assert not load.wrong_bodies and not any(outcomes[end] for end in ("lost", "400", "408", "409", "502"))
            assert outcomes["200"] > 0.9 * load.sent and outcomes["crossed"] <= 2 and not find_duplicates(deployment)
            # Every handover record was read, and no file of an ended process is left.
            await until(lambda: [name.split(".")[-2:] for name in os.listdir(deployment.folder)] == [["3", "live"]])

    run(scenario(), 60.0)


async def kill_one(deployment: Deployment, seed: int, victim_name: str,
                   latest_kill_s: float) -> tuple[IngressProcess, Load]:
    """Start an old and a new process under load and kill one at a random moment; return the other, and the load."""
    rng = random.Random(seed)
    old, new = deployment.process(), deployment.process()
    await old.start()
    load = Load(deployment)
    await until(lambda: load.sent > 40)
    starting = asyncio.ensure_future(new.start())
    await asyncio.sleep(rng.uniform(0.0, latest_kill_s))
    victim, other = (old, new) if victim_name == "old" else (new, old)
    await until(lambda: victim.process is not None)
    victim.process.kill()
    with contextlib.suppress(RuntimeError):     # the new process may never become ready
        await starting
    await until(lambda sent=load.sent: load.sent > sent + 80)
    assert (await other.call("ready")).startswith("ACK serving")
    return other, load


@pytest.mark.parametrize("victim_name, latest_kill_s", [("old", 1.2), ("new", 0.5)])
@pytest.mark.parametrize("seed", range(3))
def test_process_killed_at_any_moment_loses_only_its_open_requests(seed, victim_name, latest_kill_s):
    """Also the new process before it is ready, and the old one before it has written its handover record."""
    async def scenario() -> None:
        async with start_deployment() as deployment:
            other, load = await kill_one(deployment, seed, victim_name, latest_kill_s)
            outcomes = await load.end()
            # Each of the eight clients had at most one open request, which may have run: it is not retried.
            assert outcomes["lost"] + outcomes["crossed"] <= 8 and not load.wrong_bodies
            assert len(find_duplicates(deployment)) <= outcomes["crossed"]      # those that the clients retried
            other.process.send_signal(signal.SIGTERM)       # no other process serves: the regular shutdown
            assert await asyncio.wait_for(other.process.wait(), 6.0) == 0

    run(scenario(), 60.0)


def test_new_process_accepts_no_client_before_it_is_ready():
    """Discovery is down and no list is cached: every client and every /ready reaches the old process."""
    async def scenario() -> None:
        async with start_deployment() as deployment:
            old, new = deployment.process(), deployment.process()
            await old.start()
            deployment.list.stop()
            starting = asyncio.ensure_future(new.start(3.0))
            await until(lambda: new.process is not None)
            for _ in range(40):
                reader, writer = await asyncio.open_connection(*deployment.socket.getsockname())
                writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                assert b" 200 " in await reader.readline()
                writer.close()
                await asyncio.sleep(0.05)
            assert (await new.call("ready")).startswith("NAK starting")
            with pytest.raises(RuntimeError):
                await starting

    run(scenario(), 60.0)


def test_two_processes_together_stay_within_the_quota_of_one():
    """A flood on both processes while the counter is down: they share one bucket and one refill."""
    async def scenario() -> None:
        async with start_deployment() as deployment:
            deployment.count.stop()
            old, new = deployment.process(), deployment.process()
            for process in (old, new):
                text = process.config.read_text()
                assert '"quota_rate": 4000.0, "store_size": 8000.0' in text
                process.config.write_text(text.replace(
                    '"quota_rate": 4000.0, "store_size": 8000.0',
                    '"quota_rate": 20.0, "store_size": 80.0, "overrun_cost": 1.0'))
            await old.start()
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            load = Load(deployment)
            await asyncio.sleep(0.5)
            await new.start()
            await asyncio.sleep(1.5)
            old.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(1.5)
            outcomes = await load.end()
            elapsed_s = loop.time() - started_at
            width = 2   # ingresses that the customer comes through
            max_units = (80.0 + 20.0 * elapsed_s) / width
            assert 0.5 * max_units < len(deployment.backend.seen) <= max_units + 4, (max_units, outcomes)

    run(scenario(), 60.0)


@pytest.mark.parametrize("number, expected_text", [
    ("four", "not the number"), ("-1", "not the number"), ("999", "no socket"), ("0", "no socket"),
    ("datagram", "no socket that listens"), ("connected", "no socket that listens"), ("other", "listens at")])
def test_unusable_descriptor_is_one_error_line_and_a_failed_start(tmp_path, number, expected_text):
    sockets = {"datagram": lambda: socket.socket(socket.AF_INET, socket.SOCK_DGRAM),
               "connected": socket.socket, "other": lambda: socket.create_server(("127.0.0.1", 0))}
    inherited = sockets[number]() if number in sockets else None
    (tmp_path / "config.json").write_text(json.dumps(config()))
    process = subprocess.Popen(
        [sys.executable, "-m", "fennelpoint"], stderr=subprocess.PIPE, stdin=subprocess.DEVNULL,
        pass_fds=(inherited.fileno(),) if inherited else (),
        env={**os.environ, "BALANCER_CONFIG": str(tmp_path / "config.json"),
             "BALANCER_SOCKET_FD": str(inherited.fileno()) if inherited else number})
    _, errors = process.communicate(timeout=30)
    lines = errors.decode().splitlines()
    assert process.returncode != 0 and len(lines) == 1
    assert "BALANCER_SOCKET_FD" in lines[0] and expected_text in lines[0]
    if inherited:
        inherited.close()


def test_without_a_shared_folder_a_single_process_serves(tmp_path):
    async def scenario() -> None:
        async with start_deployment() as deployment:
            deployment.folder = ""
            only = deployment.process()
            await only.start()
            reader, writer = await asyncio.open_connection(*deployment.socket.getsockname())
            writer.write(request())
            assert (await read_message(reader))[0].endswith("200 OK")
            writer.close()

    run(scenario())


def test_unusable_shared_folder_is_logged_and_the_process_still_serves():
    async def scenario() -> None:
        async with start_deployment() as deployment:
            deployment.folder = deployment.folder + "/gone"
            only = deployment.process()
            await only.start()
            assert "can't coordinate with other processes" in only.log.read_text()
            reader, writer = await asyncio.open_connection(*deployment.socket.getsockname())
            writer.write(request())
            assert (await read_message(reader))[0].endswith("200 OK")
            writer.close()

    run(scenario())
