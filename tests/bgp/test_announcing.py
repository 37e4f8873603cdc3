"""The announcer beside a real ingress: how soon a stand-in router hears of each way to break it.

Each test prints the time from the break to the router's receipt; `-s` shows it.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from click.testing import CliRunner

from fennelpoint.bgp.service import fetch_status, status_lines
from fennelpoint.cli import main
from fennelpoint.demo import EXAMPLE, SETTINGS
from fennelpoint.testing import Backend, Count, List, member, until
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.process import Command, IngressProcess, free_port
from fennelpoint.testing.router import Router
from fennelpoint.testing.servers import read_message

LIMIT = 1.0     # s from a forced stall to the withdrawal at the router


def section(beat: int, router: tuple[str, int], check: str = "") -> str:
    needs = '["listener", "quotas"]' if check else '["quotas"]'
    return f"""
[announce]
asn = 65001
router_id = "10.0.0.1"
beat_listen = "127.0.0.1:{beat}"
check = "{check}"
steady_s = 0.2
gap_s = 0.5
leaving_s = 0.3
[[announce.peers]]
address = "{router[0]}:{router[1]}"
asn = 65002
[[announce.addresses]]
prefix = "192.0.2.1/32"
next_hop = "198.51.100.1"
med = 10
needs = {needs}
"""


class Site:
    """A router, an announcer as a process, and an ingress as one."""

    async def start(self, folder: Path, check: str | None = None) -> None:
        self.servers, self.count, self.router = [Backend()], Count(), Router()
        self.list = List([member("s-0", await self.servers[0].start())])
        self.beat, at = free_port(), await self.router.start()
        self.ingress = IngressProcess(SETTINGS, await self.list.start(), await self.count.start(), EXAMPLE)
        host, port = self.ingress.address
        text = section(self.beat, at, f"{host}:{port}" if check is None else check)
        self.ingress.operator.write_text(self.ingress.operator.read_text() + text)
        self.file = folder / "announce.toml"
        self.file.write_text("schema = 1\n" + text)
        self.command = Command("announce", "--config", self.file)
        assert "announcing" in await self.command.start()
        self.announcer = self.command.process

    async def announced(self) -> None:
        await self.ingress.start()
        await until(lambda: self.router.routes, 20.0)

    async def withdrawn(self, what: str, begun: float, limit: float = LIMIT) -> None:
        await until(lambda: not self.router.routes)
        print(f"{what}: withdrawn at the router after {(time.monotonic() - begun) * 1e3:.0f} ms")
        assert time.monotonic() - begun < limit

    async def stop(self) -> None:
        await self.command.stop()
        if self.ingress.process is not None and self.ingress.process.returncode is None:
            self.ingress.process.send_signal(signal.SIGCONT)
        await self.ingress.stop()
        for fake in (*self.servers, self.count, self.list, self.router):
            fake.stop()


@asynccontextmanager
async def site(folder: Path, check: str | None = None):
    made = Site()
    await made.start(folder, check)
    try:
        yield made
    finally:
        await made.stop()


def play(coroutine, folder: Path, **changes) -> None:
    async def inner() -> None:
        async with site(folder, **changes) as here:
            await coroutine(here)

    run(inner(), 60.0)


@pytest.mark.parametrize("number", [signal.SIGSTOP, signal.SIGKILL])
def test_stalled_and_killed_ingress_is_withdrawn_within_a_second(tmp_path, number):
    async def test(here) -> None:
        await here.announced()
        begun = time.monotonic()
        here.ingress.process.send_signal(number)
        # A closed pipe tells at once: it takes no missed beat, which is 0.6 s.
        await here.withdrawn(number.name, begun, LIMIT if number is signal.SIGSTOP else 0.5)
        if number is signal.SIGSTOP:
            here.ingress.process.send_signal(signal.SIGCONT)
            await until(lambda: here.router.routes)     # and it comes back

    play(test, tmp_path)


def test_ingress_that_ends_by_itself_is_told_as_leaving_and_then_withdrawn(tmp_path):
    async def test(here) -> None:
        await here.announced()
        begun = time.monotonic()
        here.ingress.process.terminate()
        await here.withdrawn("SIGTERM", begun, 3.0)
        assert await here.ingress.process.wait() == 0
        assert [what for _, what, _ in here.router.events] == ["announced", "announced", "withdrawn"]

    play(test, tmp_path)


def test_loop_that_spins_is_withdrawn_within_a_second(tmp_path):
    async def test(here) -> None:
        child = await asyncio.create_subprocess_exec(
            sys.executable, str(Path(__file__).parent / "stalling.py"), f"127.0.0.1:{here.beat}",
            stdin=asyncio.subprocess.PIPE)
        try:
            await until(lambda: here.router.routes, 20.0)
            begun = time.monotonic()
            child.stdin.write(b"spin\n")
            await here.withdrawn("a spinning loop", begun)
        finally:
            child.kill()
            await child.wait()

    play(test, tmp_path, check="")


def test_listener_that_accepts_and_answers_nothing_is_withdrawn_within_a_second(tmp_path):
    """The loop beats on; its listener is a stand-in that falls silent."""
    async def inner() -> None:
        silent = Backend(lambda *_: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        async with site(tmp_path, check=await silent.start()) as here:
            await here.announced()
            begun = time.monotonic()
            silent.answer = lambda *_: None
            await here.withdrawn("a listener that answers nothing", begun)
        silent.stop()

    run(inner(), 60.0)


async def _asks(address: tuple[str, int]) -> None:
    """Requests one after another, whatever becomes of them: the ingress counts what they take."""
    for number in range(10**6):
        try:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"GET /v1/slots HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {number:016x}\r\n"
                         "Api-Plan: basic\r\nCookie: account=0000000000000001\r\n"
                         "X-Remaining-Ms: 500\r\n\r\n".encode())
            await read_message(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.02)


def test_lost_counter_lowers_the_preference_and_its_return_raises_it(tmp_path):
    async def test(here) -> None:
        await here.announced()
        asking = asyncio.create_task(_asks(here.ingress.address))
        (path,) = here.router.routes.values()
        assert (path.med, path.as_path) == (10, (65001,))
        begun = time.monotonic()
        here.count.stop()
        await until(lambda: any(p.med == 1010 for p in here.router.routes.values()), 20.0)
        print(f"loss of the counter: degraded after {time.monotonic() - begun:.2f} s")
        (path,) = here.router.routes.values()
        assert path.as_path == (65001,) * 3
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)

    play(test, tmp_path)


def test_announcer_that_ends_tells_its_routers_and_one_that_is_killed_is_noticed_by_the_session(tmp_path):
    async def test(here) -> None:
        await here.announced()
        here.announcer.terminate()
        assert await here.announcer.wait() == 0
        await until(lambda: here.router.notices)
        assert here.router.notices[0].words() == "the announcer ends" and not here.router.routes

    play(test, tmp_path)


def test_status_reload_and_the_operators_hold(tmp_path):
    async def test(here) -> None:
        await here.announced()
        told = await fetch_status(f"127.0.0.1:{here.beat}")
        assert told["ingress"]["pid"] == here.ingress.process.pid
        lines = status_lines(told)
        assert any("192.0.2.1/32  up" in line for line in lines)
        assert any("Established  announced 1" in line for line in lines)
        here.announcer.send_signal(signal.SIGUSR1)
        await until(lambda: not here.router.routes)
        here.announcer.send_signal(signal.SIGUSR2)
        await until(lambda: here.router.routes)
        here.file.write_text(here.file.read_text() + "[[announce.addresses]]\nprefix = '192.0.2.2/32'\n"
                             "next_hop = '198.51.100.1'\nneeds = []\n")
        here.announcer.send_signal(signal.SIGHUP)
        await until(lambda: len(here.router.routes) == 2)
        assert here.router.sessions == 1

    play(test, tmp_path)


def test_faulty_section_ends_it_with_2_and_its_lines(tmp_path):
    path = tmp_path / "operator.toml"
    good = "schema = 1\n" + section(0, ("127.0.0.1", 179))
    for change, says in ((("192.0.2.1/32", "192.0.2.1/24"), "announce.addresses.0: prefix: "),
                         (("198.51.100.1", "x"), "announce.addresses.0: next_hop: "),
                         (("10.0.0.1", "ten"), "announce.router_id: "),
                         (('needs = ["quotas"]', "needs = ['luck']"), "needs: 'luck' is none of"),
                         (('["quotas"]', '["listener"]'), "addresses.0.needs: it needs the listener"),
                         (("med = 10", "communities = ['65001:70000']"), "communities: its parts"),
                         (("127.0.0.1:179", "router:179"), "announce.peers.0: ")):
        path.write_text(good.replace(*change))
        done = CliRunner().invoke(main, ["announce", "--config", str(path)])
        assert done.exit_code == 2 and says in done.stderr, (change, done.output)
        assert CliRunner().invoke(main, ["check", str(path)]).stderr == done.stderr
    path.write_text(good)
    assert CliRunner().invoke(main, ["check", str(path)]).exit_code == 0
    path.write_text("schema = 1\n")
    done = CliRunner().invoke(main, ["announce", "--config", str(path)])
    assert done.exit_code == 2 and "the section is missing" in done.stderr

