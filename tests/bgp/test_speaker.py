"""Speakers over loopback: up, told, cut, garbage, a slow peer, peers that come and go."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from ipaddress import IPv4Address, ip_network

import pytest

from fennelpoint.bgp.fsm import State
from fennelpoint.bgp.session import Neighbor
from fennelpoint.bgp.speaker import Speaker
from fennelpoint.bgp.updates import Path
from fennelpoint.testing import until
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.router import Router

A, B = ip_network("192.0.2.1/32"), ip_network("192.0.2.2/32")
PATH = Path(IPv4Address("198.51.100.1"), (65001,))
OURS, THEIRS = Neighbor(65001, 65002, 1), Neighbor(65002, 65001, 2)


def play(coroutine, count: int = 1, hold: int = 9) -> None:
    async def inner() -> None:
        routers = [Router() for _ in range(count)]
        speaker = Speaker(asyncio.get_running_loop())
        peers = {await router.start(): replace(OURS, hold=hold) for router in routers}
        speaker.tell({A: PATH})
        speaker.follow(peers)
        try:
            await coroutine(speaker, peers, *routers)
        finally:
            speaker.stop()
            for router in routers:
                router.stop()

    run(inner())


def test_routers_are_told_what_is_wanted_and_each_change():
    async def test(speaker, peers, one, two) -> None:
        await until(lambda: one.routes == two.routes == {A: PATH})
        speaker.tell({B: PATH})
        await until(lambda: one.routes == two.routes == {B: PATH})
        assert [e[1:] for e in one.events] == [("announced", A), ("withdrawn", A), ("announced", B)]
        speaker.stop("release day is over")
        await until(lambda: one.notices and two.notices)
        assert one.notices[0].words() == "release day is over"
        assert (one.notices[0].code, one.sessions) == (6, 1)

    play(test, 2)


def test_session_that_is_cut_comes_back_and_is_told_all():
    async def test(speaker, peers, router) -> None:
        await until(lambda: router.routes)
        router.writers[-1].transport.abort()
        await until(lambda: not router.routes)
        await until(lambda: router.sessions == 2 and router.routes == {A: PATH})

    play(test)


def test_one_that_refuses_one_that_sends_garbage_and_one_that_does_not_read_hold_up_nobody():
    async def test(speaker, peers, good, garbage, stuck) -> None:
        await until(lambda: all(r.routes for r in (good, garbage, stuck)))
        stuck.reads = False
        garbage.opens = False
        garbage.writers[-1].write(b"GET / HTTP/1.1\r\n\r\n" * 9)
        await until(lambda: garbage.notices)
        assert (garbage.notices[0].code, garbage.notices[0].subcode) == (1, 1)
        garbage.server.close()      # refused from now on
        for med in range(200):
            speaker.tell({A: replace(PATH, med=med)})
        await until(lambda: good.routes.get(A) == replace(PATH, med=199))
        (runner,) = [r for a, r in speaker.runners.items() if a == list(peers)[0]]
        assert runner.peer.state is State.ESTABLISHED

    play(test, 3)


def test_peers_are_added_and_removed_without_touching_the_others():
    async def test(speaker, peers, one, two) -> None:
        await until(lambda: one.routes and two.routes)
        first, second = list(peers)
        speaker.follow({first: OURS})
        await until(lambda: two.notices)
        assert (two.notices[0].code, two.notices[0].subcode) == (6, 3) and list(speaker.runners) == [first]
        speaker.follow({first: OURS, second: OURS})
        await until(lambda: two.sessions == 2 and two.routes)
        assert one.sessions == 1

    play(test, 2)


@pytest.mark.parametrize("passive", [False, True])
def test_two_speakers_find_each_other_also_where_both_connect(passive):
    async def play_it() -> None:
        loop = asyncio.get_running_loop()
        ours, theirs = Speaker(loop), Speaker(loop)
        here, there = await ours.listen("127.0.0.1", 0), await theirs.listen("127.0.0.1", 0)
        ours.tell({A: PATH})
        theirs.tell({B: PATH})
        ours.follow({("127.0.0.1", there): OURS})
        theirs.follow({("127.0.0.1", here): replace(THEIRS, passive=passive)})
        (mine,), (other,) = ours.runners.values(), theirs.runners.values()
        await until(lambda: mine.peer.state is other.peer.state is State.ESTABLISHED)
        await until(lambda: mine.peer.dropped == other.peer.dropped == 1)
        await until(lambda: len(mine.connections) == len(other.connections) == 1)
        ours.stop()
        await until(lambda: "6.2" in other.peer.error or other.peer.state is not State.ESTABLISHED)
        theirs.stop()

    run(play_it())


def test_stranger_is_not_answered():
    async def play_it() -> None:
        speaker = Speaker(asyncio.get_running_loop())
        port = await speaker.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            assert await reader.read(100) == b""
        except ConnectionResetError:
            pass
        writer.close()
        speaker.stop()

    run(play_it())


def test_router_that_hangs_is_given_up_when_its_hold_time_is_over_and_told_all_once_it_is_back():
    async def test(speaker, peers, router) -> None:
        await until(lambda: router.routes)
        router.opens = False    # it says nothing any more, and its connection stays open
        await until(lambda: router.notices, 8.0)
        assert (router.notices[0].code, router.notices[0].subcode) == (4, 0)
        router.opens = True
        await until(lambda: router.sessions >= 2 and router.routes == {A: PATH})

    play(test, hold=3)
