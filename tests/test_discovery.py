"""The list of backends: what is told, and what is kept where nothing sensible is."""

import asyncio
import json

import pytest

from fennelpoint.interface import BackendState, RosterKind
from fennelpoint.net.discovery import Discovery, ListError, parse_address, parse_list
from fennelpoint.settings import from_json
from fennelpoint.testing import (
    SETTINGS,
    Backend,
    Fake,
    ask,
    member,
    ok,
    read_message,
    request,
    run,
    until,
    world,
)

ADDRESS = "127.0.0.1:80"


def listing(*members: object, revision: object = 3, complete: object = True) -> dict:
    return {"revision": revision, "complete": complete, "members": list(members)}


@pytest.mark.parametrize("value, says", [
    (5, "is not an object"),
    (listing(revision="x"), "revision"),
    (listing(complete=1), "complete"),
    ({"revision": 1, "complete": True}, "members"),
])
def test_list_that_cannot_be_read_is_refused_by_the_name_of_its_field(value, says):
    with pytest.raises(ListError, match=says):
        parse_list(value, from_json(SETTINGS))


@pytest.mark.parametrize("bad", [
    7, {**member("b", ADDRESS), "phase": "asleep"}, {**member("b", ADDRESS), "phase": ["up"]},
    member("b", "somewhere"), member("b", "127.0.0.1:0"), member("b", "127.0.0.900:80"),
    {**member("b", ADDRESS), "size": float("nan")}, {**member("b", ADDRESS), "up_since_ms": "now"}])
def test_member_that_cannot_be_read_does_not_take_the_others_along(bad):
    told = parse_list(listing(member("a", ADDRESS), bad), from_json(SETTINGS))
    assert [e.backend for e in told.roster.entries] == ["a"]
    if isinstance(bad, dict):   # unless the whole list would then count it as gone
        with pytest.raises(ListError, match=r"members\[1\]"):
            parse_list(listing(member("a", ADDRESS), bad), from_json(SETTINGS), {"b": ("127.0.0.1", 80)})


def test_entry_as_the_module_is_told_it():
    (entry,) = parse_list(listing(member("a", ADDRESS, "draining", 2500)), from_json(SETTINGS)).roster.entries
    assert (entry.state, entry.started_at, entry.zone, entry.kind) == (BackendState.DRAINING, 2.5, 0, 0)
    (entry,) = parse_list(listing(member("a", ADDRESS)), from_json(SETTINGS)).roster.entries
    assert entry.started_at == 0.0


@pytest.mark.parametrize("text", [None, "", "1.2.3.4", "1.2.3.4:x", "a.b.c.d:80", "1.2.3:80"])
def test_address_that_is_none(text):
    with pytest.raises(ListError, match="listen"):
        parse_address(text, "listen")


class Follow:
    """A watch against a scripted service."""

    def __init__(self, handle, revision: int | None = None) -> None:
        self.fake, self.told, self.revision = Fake(handle), [], revision

    async def __aenter__(self):
        address = parse_address(await self.fake.start(), "here")
        self.watch = Discovery(asyncio.get_running_loop(), address, from_json(SETTINGS),
                               lambda roster, addresses: self.told.append(roster))
        self.watch.revision = self.revision
        self.watch.start()
        return self

    async def __aexit__(self, *_):
        self.watch.stop()
        self.fake.stop()


def test_whole_list_first_then_watches_from_its_version():
    async def play() -> None:
        lines = []

        async def handle(reader, writer):
            for answer in (listing(member("a", ADDRESS)),
                           listing(member("b", ADDRESS), revision=5, complete=False),
                           listing(revision=5, complete=False)):
                lines.append((await read_message(reader))[0])
                writer.write(ok(json.dumps(answer).encode()))
            lines.append((await read_message(reader))[0])
            await reader.read()

        async with Follow(handle) as f:
            await until(lambda: len(lines) == 4)
            assert [line.split()[1].partition("&")[0] for line in lines] == [
                "/v1/endpoints", "/v1/endpoints?from=3", "/v1/endpoints?from=5", "/v1/endpoints?from=5"]
            assert [r.kind for r in f.told] == [RosterKind.FULL, RosterKind.CHANGES] and f.fake.opened == 1

    run(play())


@pytest.mark.parametrize("bad", [b"noise\r\n\r\n", ok(b"{}"), ok(b"[" * 100_000), ok(b"{}", "500 No"), b""])
def test_after_nonsense_the_list_is_kept_and_asked_for_again(bad):
    async def play() -> None:
        async def handle(reader, writer):
            await read_message(reader)
            first = f.fake.opened == 1
            writer.write(ok(json.dumps(listing(member("a" if first else "b", ADDRESS))).encode()))
            if first:
                await read_message(reader)
                writer.write(bad)
            else:
                await reader.read()

        async with Follow(handle) as f:
            await until(lambda: len(f.told) == 2)
            assert [[e.backend for e in r.entries] for r in f.told] == [["a"], ["b"]]

    run(play())


def test_ingress_serves_by_the_list_it_had_while_discovery_is_down():
    async def play() -> None:
        backend = Backend()
        async with world(backend) as made:
            made.list.stop()
            await until(lambda: made.ingress.discovery.transport is None)
            assert (await ask(made, request()))[2] == b"yes"

    run(play())


class Later:
    """A loop that only notes what is to be called, and when."""

    def __init__(self) -> None:
        self.calls: list[tuple[float, object]] = []

    def call_later(self, delay: float, call, *args):
        self.calls.append((delay, call))
        return self

    def cancel(self) -> None:
        self.calls.pop()


def asking(ingresses: int, mode: str = "ask") -> Discovery:
    settings = from_json(SETTINGS | {"balancers": ingresses, "discovery": mode})
    made = Discovery(Later(), ("127.0.0.1", 80), settings, lambda roster, addresses: None)
    known = parse_list(listing(member("a", ADDRESS), revision=41), settings)
    known.roster.kind = RosterKind.CACHED
    made.take(known)
    return made


def test_fleet_that_comes_back_at_once_does_not_call_discovery_in_step():
    """40 calls at one time waited past their time and failed; the service's time was gone all the same."""
    delays = []
    for _ in range(200):
        made = asking(40)
        made.start()
        ((delay, call),) = made.loop.calls
        assert call == made._ask and made.revision == 41    # one call for what is newer, not two
        delays.append(delay)
    counts = [sum(i <= delay < i + 1 for delay in delays) for i in range(8)]
    assert min(counts) >= 10 and max(counts) <= 45 and max(delays) <= 8.0


@pytest.mark.parametrize("ingresses, least, most", [(40, 2.4, 8.0), (3, 0.18, 0.6), (400, 6.0, 20.0)])
def test_call_that_is_turned_away_is_made_again_at_a_rate_that_falls_with_the_fleet(ingresses, least, most):
    made = asking(ingresses, "push")
    for round in range(3):
        made._failed("answers 503", turned_away=True)
        ((delay, _),) = made.loop.calls
        assert least <= delay <= min(20.0, most * 2 ** round)
        made.loop.calls.clear()
        made.timer = None


def test_discovery_that_is_silent_is_asked_again_soon():
    made = asking(40, "push")
    made._failed("does not answer")
    assert 0.0 < made.loop.calls[0][0] <= 0.1


def test_discovery_that_began_anew_is_asked_for_its_whole_list():
    """Known up to version 41, and it is at 5: a watch from 41 would be told nothing for long."""
    lines = []

    async def handle(reader, writer):
        while True:
            lines.append((await read_message(reader))[0])
            if lines[-1].count("from=5"):
                return await reader.read()
            whole = "from=" not in lines[-1]
            told = listing(*[member("b", ADDRESS)] * whole, revision=5, complete=whole)
            writer.write(ok(json.dumps(told).encode()))

    async def play() -> None:
        async with Follow(handle, revision=41) as f:
            await until(lambda: len(lines) == 3)
            assert [[e.backend for e in r.entries] for r in f.told] == [["b"]]

    run(play())
    assert ["from=41" in lines[0], "from=" in lines[1], "from=5" in lines[2]] == [True, False, True]
