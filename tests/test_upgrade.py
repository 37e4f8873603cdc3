"""A new version beside the running one, as processes that inherit one socket, under load and under kills."""

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


class Site:
    """Stand-ins, the platform's listening socket and folder, and the processes that were started."""

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
async def site():
    with tempfile.TemporaryDirectory(prefix="larchwing-common-") as folder:
        made = Site(folder)
        await made.start()
        try:
            yield made
        finally:
            await made.stop()


class Load:
    """Clients, half of which keep their connections, that note how each request ended."""

    def __init__(self, made: Site) -> None:
        self.address, self.ends, self.stop, self.sent = made.socket.getsockname(), Counter(), False, 0
        self.odd: list[str] = []
        self.tasks = [asyncio.ensure_future(self._client(kept=i % 2 == 0)) for i in range(8)]

    async def _client(self, kept: bool) -> None:
        reader = writer = None
        while not self.stop:
            if writer is None:
                reader, writer = await asyncio.open_connection(*self.address)
            data = request("book", b"x", left=3000)
            txn = data.split(b"X-Txn: ")[1].split(b"\r\n")[0]
            self.sent += 1
            fresh = False
            for _ in range(2):
                try:
                    writer.write(data)
                    line, fields, body = await asyncio.wait_for(read_message(reader), 5.0)
                    self.ends[line.split()[1]] += 1
                    if line.split()[1] == "200" and body != txn:
                        self.odd.append(f"{txn!r} got {body!r}")
                    break
                except (ConnectionError, asyncio.IncompleteReadError) as error:
                    fields = {"connection": "close"}
                    torn = isinstance(error, asyncio.IncompleteReadError) and error.partial
                    writer.close()
                    if fresh or torn:
                        self.ends["lost"] += 1
                        break
                    # It may have crossed the close of an idle connection: once more, as clients do.
                    self.ends["crossed"] += 1
                    reader, writer = await asyncio.open_connection(*self.address)
                    fresh = True
            if not kept or fields.get("connection") == "close":
                writer.close()
                writer = None
            await asyncio.sleep(0.002)
        if writer is not None:
            writer.close()

    async def end(self) -> Counter:
        self.stop = True
        await asyncio.gather(*self.tasks)
        return self.ends


def twice(made: Site) -> list[str]:
    """Ids that the backend has had more than once."""
    seen = Counter(fields["x-txn"] for _, fields, _ in made.backend.seen)
    return [txn for txn, times in seen.items() if times > 1]


def test_an_upgrade_under_load_loses_nothing_and_sends_nothing_twice():
    async def play() -> None:
        async with site() as made:
            old = made.process()
            await old.start()
            load = Load(made)
            for _ in range(2):
                await until(lambda sent=load.sent: load.sent > sent + 50)
                new = made.process()
                await new.start()
                assert "handed its state over to generation" in old.log.read_text()
                old.process.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(old.process.wait(), 5.0) == 0
                old = new
            await until(lambda sent=load.sent: load.sent > sent + 50)
            ends = await load.end()
            assert not load.odd and not any(ends[end] for end in ("lost", "400", "408", "409", "502"))
            assert ends["200"] > 0.9 * load.sent and ends["crossed"] <= 2 and not twice(made)
            # All that was told was taken, and of the processes that are gone nothing is left.
            await until(lambda: [name.split(".")[-2:] for name in os.listdir(made.folder)] == [["3", "live"]])

    run(play(), 60.0)


async def killed(made: Site, seed: int, which: str, latest: float) -> tuple[IngressProcess, Load]:
    """Start an old and a new process under load, kill one at a drawn moment; the other, and the load."""
    draw = random.Random(seed)
    old, new = made.process(), made.process()
    await old.start()
    load = Load(made)
    await until(lambda: load.sent > 40)
    starting = asyncio.ensure_future(new.start())
    await asyncio.sleep(draw.uniform(0.0, latest))
    victim, other = (old, new) if which == "old" else (new, old)
    await until(lambda: victim.process is not None)
    victim.process.kill()
    with contextlib.suppress(RuntimeError):     # the new one may never be ready
        await starting
    await until(lambda sent=load.sent: load.sent > sent + 80)
    assert (await other.call("ready")).startswith("ACK serving")
    return other, load


@pytest.mark.parametrize("which, latest", [("old", 1.2), ("new", 0.5)])
@pytest.mark.parametrize("seed", range(3))
def test_one_killed_at_any_moment_takes_along_only_what_it_held(seed, which, latest):
    """Also the new one before its yes, and the old one before its word."""
    async def play() -> None:
        async with site() as made:
            other, load = await killed(made, seed, which, latest)
            ends = await load.end()
            # Each of the eight clients had one request out at most, which may have run: it is not sent again.
            assert ends["lost"] + ends["crossed"] <= 8 and not load.odd
            assert len(twice(made)) <= ends["crossed"]      # those that the clients sent once more
            other.process.send_signal(signal.SIGTERM)       # nobody serves beside it: it ends as ever
            assert await asyncio.wait_for(other.process.wait(), 6.0) == 0

    run(play(), 60.0)


def test_a_new_process_takes_no_client_before_it_could_serve_it():
    """Discovery is silent and nothing is known: every client and every /ready comes to the old one."""
    async def play() -> None:
        async with site() as made:
            old, new = made.process(), made.process()
            await old.start()
            made.list.stop()
            starting = asyncio.ensure_future(new.start(3.0))
            await until(lambda: new.process is not None)
            for _ in range(40):
                reader, writer = await asyncio.open_connection(*made.socket.getsockname())
                writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                assert b" 200 " in await reader.readline()
                writer.close()
                await asyncio.sleep(0.05)
            assert (await new.call("ready")).startswith("NAK starting")
            with pytest.raises(RuntimeError):
                await starting

    run(play(), 60.0)


def test_the_units_of_both_are_those_of_one():
    """A flood on both processes, the counter down: one bucket and one refill between them."""
    async def play() -> None:
        async with site() as made:
            made.count.stop()
            old, new = made.process(), made.process()
            for process in (old, new):
                text = process.config.read_text()
                assert '"quota_rate": 4000.0, "store_size": 8000.0' in text
                process.config.write_text(text.replace(
                    '"quota_rate": 4000.0, "store_size": 8000.0',
                    '"quota_rate": 20.0, "store_size": 80.0, "overrun_cost": 1.0'))
            await old.start()
            loop = asyncio.get_running_loop()
            began = loop.time()
            load = Load(made)
            await asyncio.sleep(0.5)
            await new.start()
            await asyncio.sleep(1.5)
            old.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(1.5)
            ends = await load.end()
            span = loop.time() - began
            width = 2   # ingresses that the customer comes through
            most = (80.0 + 20.0 * span) / width
            assert 0.5 * most < len(made.backend.seen) <= most + 4, (most, ends)

    run(play(), 60.0)


@pytest.mark.parametrize("number, says", [
    ("four", "not the number"), ("-1", "not the number"), ("999", "no socket"), ("0", "no socket"),
    ("datagram", "no socket that listens"), ("connected", "no socket that listens"), ("other", "listens at")])
def test_a_bad_closed_or_foreign_descriptor_is_one_line_and_an_end(tmp_path, number, says):
    held = {"datagram": lambda: socket.socket(socket.AF_INET, socket.SOCK_DGRAM),
            "connected": socket.socket, "other": lambda: socket.create_server(("127.0.0.1", 0))}
    made = held[number]() if number in held else None
    (tmp_path / "config.json").write_text(json.dumps(config()))
    process = subprocess.Popen(
        [sys.executable, "-m", "fennelpoint"], stderr=subprocess.PIPE, stdin=subprocess.DEVNULL,
        pass_fds=(made.fileno(),) if made else (),
        env={**os.environ, "BALANCER_CONFIG": str(tmp_path / "config.json"),
             "BALANCER_SOCKET_FD": str(made.fileno()) if made else number})
    _, errors = process.communicate(timeout=30)
    lines = errors.decode().splitlines()
    assert process.returncode != 0 and len(lines) == 1
    assert "BALANCER_SOCKET_FD" in lines[0] and says in lines[0]
    if made:
        made.close()


def test_without_a_folder_there_is_one_process_and_no_word(tmp_path):
    async def play() -> None:
        async with site() as made:
            made.folder = ""
            only = made.process()
            await only.start()
            reader, writer = await asyncio.open_connection(*made.socket.getsockname())
            writer.write(request())
            assert (await read_message(reader))[0].endswith("200 OK")
            writer.close()

    run(play())


def test_a_folder_that_cant_be_used_costs_the_word_and_not_the_start():
    async def play() -> None:
        async with site() as made:
            made.folder = made.folder + "/gone"
            only = made.process()
            await only.start()
            assert "can't coordinate with other processes" in only.log.read_text()
            reader, writer = await asyncio.open_connection(*made.socket.getsockname())
            writer.write(request())
            assert (await read_message(reader))[0].endswith("200 OK")
            writer.close()

    run(play())
