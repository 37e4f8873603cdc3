"""The discovery client: parsing of lists, and the list that stays in use when discovery fails."""

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


@pytest.mark.parametrize("value, message", [
    (5, "is not an object"),
    (listing(revision="x"), "revision"),
    (listing(complete=1), "complete"),
    ({"revision": 1, "complete": True}, "members"),
])
def test_a_malformed_list_is_rejected_with_the_name_of_its_field(value, message):
    with pytest.raises(ListError, match=message):
        parse_list(value, from_json(SETTINGS))


@pytest.mark.parametrize("bad", [
    7, {**member("b", ADDRESS), "phase": "asleep"}, {**member("b", ADDRESS), "phase": ["up"]},
    member("b", "somewhere"), member("b", "127.0.0.1:0"), member("b", "127.0.0.900:80"),
    {**member("b", ADDRESS), "size": float("nan")}, {**member("b", ADDRESS), "up_since_ms": "now"}])
def test_a_malformed_member_does_not_affect_the_others(bad):
    parsed = parse_list(listing(member("a", ADDRESS), bad), from_json(SETTINGS))
    assert [e.backend for e in parsed.roster.entries] == ["a"]
    if isinstance(bad, dict):   # but a known backend must not count as removed
        with pytest.raises(ListError, match=r"members\[1\]"):
            parse_list(listing(member("a", ADDRESS), bad), from_json(SETTINGS), {"b": ("127.0.0.1", 80)})


def test_the_fields_of_a_parsed_entry():
    (entry,) = parse_list(listing(member("a", ADDRESS, "draining", 2500)), from_json(SETTINGS)).roster.entries
    assert (entry.state, entry.started_at, entry.zone, entry.kind) == (BackendState.DRAINING, 2.5, 0, 0)
    (entry,) = parse_list(listing(member("a", ADDRESS)), from_json(SETTINGS)).roster.entries
    assert entry.started_at == 0.0


@pytest.mark.parametrize("text", [None, "", "1.2.3.4", "1.2.3.4:x", "a.b.c.d:80", "1.2.3:80"])
def test_a_malformed_address_is_rejected(text):
    with pytest.raises(ListError, match="listen"):
        parse_address(text, "listen")


class DiscoveryRun:
    """A discovery client with a scripted service; `rosters` collects the lists that it passes on."""

    def __init__(self, handle, revision: int | None = None) -> None:
        self.service, self.rosters, self.revision = Fake(handle), [], revision

    async def __aenter__(self):
        address = parse_address(await self.service.start(), "here")
        self.watch = Discovery(asyncio.get_running_loop(), address, from_json(SETTINGS),
                               lambda roster, addresses: self.rosters.append(roster))
        self.watch.revision = self.revision
        self.watch.start()
        return self

    async def __aexit__(self, *_):
        self.watch.stop()
        self.service.stop()


def test_the_whole_list_is_requested_first_then_changes_from_its_revision():
    async def scenario() -> None:
        lines = []

        async def handle(reader, writer):
            for answer in (listing(member("a", ADDRESS)),
                           listing(member("b", ADDRESS), revision=5, complete=False),
                           listing(revision=5, complete=False)):
                lines.append((await read_message(reader))[0])
                writer.write(ok(json.dumps(answer).encode()))
            lines.append((await read_message(reader))[0])
            await reader.read()

        async with DiscoveryRun(handle) as f:
            await until(lambda: len(lines) == 4)
            assert [line.split()[1].partition("&")[0] for line in lines] == [
                "/v1/endpoints", "/v1/endpoints?from=3", "/v1/endpoints?from=5", "/v1/endpoints?from=5"]
            assert [r.kind for r in f.rosters] == [RosterKind.FULL, RosterKind.CHANGES] and f.service.opened == 1

    run(scenario())


@pytest.mark.parametrize("bad", [b"noise\r\n\r\n", ok(b"{}"), ok(b"[" * 100_000), ok(b"{}", "500 No"), b""])
def test_after_a_malformed_answer_the_list_is_kept_and_requested_again(bad):
    async def scenario() -> None:
        async def handle(reader, writer):
            await read_message(reader)
            first = f.service.opened == 1
            writer.write(ok(json.dumps(listing(member("a" if first else "b", ADDRESS))).encode()))
            if first:
                await read_message(reader)
                writer.write(bad)
            else:
                await reader.read()

        async with DiscoveryRun(handle) as f:
            await until(lambda: len(f.rosters) == 2)
            assert [[e.backend for e in r.entries] for r in f.rosters] == [["a"], ["b"]]

    run(scenario())


def test_the_ingress_serves_with_its_last_list_while_discovery_is_down():
    async def scenario() -> None:
        backend = Backend()
        async with world(backend) as harness:
            harness.list.stop()
            await until(lambda: harness.ingress.discovery.transport is None)
            assert (await ask(harness, request()))[2] == b"yes"

    run(scenario())


class RecordingLoop:
    """An event loop that only records the scheduled calls and their delays."""

    def __init__(self) -> None:
        self.calls: list[tuple[float, object]] = []

    def call_later(self, delay: float, call, *args):
        self.calls.append((delay, call))
        return self

    def cancel(self) -> None:
        self.calls.pop()


def discovery_client(ingresses: int, mode: str = "ask") -> Discovery:
    settings = from_json(SETTINGS | {"balancers": ingresses, "discovery": mode})
    client = Discovery(RecordingLoop(), ("127.0.0.1", 80), settings, lambda roster, addresses: None)
    known = parse_list(listing(member("a", ADDRESS), revision=41), settings)
    known.roster.kind = RosterKind.CACHED
    client.apply(known)
    return client


def test_a_fleet_that_restarts_at_once_spreads_its_calls_to_discovery():
    """Guards against 40 simultaneous calls: they timed out in the queue and used up the service's capacity."""
    delays = []
    for _ in range(200):
        client = discovery_client(40)
        client.start()
        ((delay, call),) = client.loop.calls
        assert call == client._request and client.revision == 41    # one call that gets what is newer, not two
        delays.append(delay)
    counts = [sum(i <= delay < i + 1 for delay in delays) for i in range(8)]
    assert min(counts) >= 10 and max(counts) <= 45 and max(delays) <= 8.0


@pytest.mark.parametrize("ingresses, min_s, max_s", [(40, 2.4, 8.0), (3, 0.18, 0.6), (400, 6.0, 20.0)])
def test_a_rejected_call_is_retried_after_a_backoff_that_grows_with_the_fleet(ingresses, min_s, max_s):
    client = discovery_client(ingresses, "push")
    for retry in range(3):
        client._retry_later("answers 503", is_rejected=True)
        ((delay, _),) = client.loop.calls
        assert min_s <= delay <= min(20.0, max_s * 2 ** retry)
        client.loop.calls.clear()
        client.timer = None


def test_a_call_without_an_answer_is_retried_soon():
    client = discovery_client(40, "push")
    client._retry_later("does not answer")
    assert 0.0 < client.loop.calls[0][0] <= 0.1


def test_after_a_restart_of_discovery_the_whole_list_is_requested():
    """The client knows revision 41, discovery is at 5: a watch from 41 would get no changes for a long time."""
    lines = []

    async def handle(reader, writer):
        while True:
            lines.append((await read_message(reader))[0])
            if lines[-1].count("from=5"):
                return await reader.read()
            whole = "from=" not in lines[-1]
            answer = listing(*[member("b", ADDRESS)] * whole, revision=5, complete=whole)
            writer.write(ok(json.dumps(answer).encode()))

    async def scenario() -> None:
        async with DiscoveryRun(handle, revision=41) as f:
            await until(lambda: len(lines) == 3)
            assert [[e.backend for e in r.entries] for r in f.rosters] == [["b"]]

    run(scenario())
    assert ["from=41" in lines[0], "from=" in lines[1], "from=5" in lines[2]] == [True, False, True]
