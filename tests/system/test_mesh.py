"""Held connections between processes, on loopback."""

import asyncio
import time
from collections.abc import Callable

import pytest
import uvloop

from fennelpoint.system.mesh import Mesh, name
from fennelpoint.testing.process import free_port

IPS = ("127.0.0.1", "127.0.0.2")


async def meshes() -> tuple[list[Mesh], list[tuple]]:
    loop, heard, port = asyncio.get_running_loop(), [], free_port()
    made = [Mesh(loop, "roll", ip, (port, port + 2), lambda peer, message, ip=ip: heard.append((ip, peer, message)))
            for ip in IPS]
    for one in made:
        await one.start()
    return made, heard


async def until(what) -> None:
    async with asyncio.timeout(5.0):
        while not what():
            await asyncio.sleep(0.01)


def test_either_side_may_be_the_one_that_knows_the_other() -> None:
    """Guards newcomers: a machine that nobody knows yet dials, whether its address is the lower or the higher one."""
    for who in (0, 1):
        async def play(who: int = who) -> None:
            (low, high), heard = await meshes()
            one, other = (low, high) if who == 0 else (high, low)
            one.dial({other.me})
            await until(lambda: one.ways.get(other.me) and other.ways.get(one.me))
            assert one.send(other.me, ["x", 1]) and other.send(one.me, ["y", b"2"])
            await until(lambda: len(heard) == 2)
            assert sorted(heard) == sorted([(other.ip, one.me, ["x", 1]), (one.ip, other.me, ["y", b"2"])])
            for mesh in (low, high):
                mesh.close()
            await asyncio.sleep(0)
        asyncio.run(play())


def test_one_connection_does_for_two_that_dial_each_other_and_a_broken_one_comes_back() -> None:
    async def play() -> None:
        (low, high), heard = await meshes()
        low.dial({high.me})
        await until(lambda: high.ways.get(low.me))
        high.dial({low.me})
        await asyncio.sleep(0.05)
        assert len(low.ways[high.me]) == len(high.ways[low.me]) == 1
        for wire in list(low.wires):
            wire.transport.abort()
        await until(lambda: not low.ways.get(high.me))
        assert not low.send(high.me, ["lost"])
        await until(lambda: low.ways.get(high.me) and high.ways.get(low.me))
        assert high.send(name("roll", low.ip), ["back"])
        await until(lambda: (low.ip, high.me, ["back"]) in heard)
        for mesh in (low, high):
            mesh.close()
    asyncio.run(play())


def test_the_end_of_a_peers_process_is_told_by_its_machines_refusal_and_a_silent_one_is_not() -> None:
    async def play() -> None:
        (low, high), _ = await meshes()
        refusals: list[tuple[str, float]] = []
        low.refused = lambda peer, dialled_at: refusals.append((peer, dialled_at))
        low.dial({high.me})
        await until(lambda: low.ways.get(high.me))
        for wire in list(high.wires):
            wire.transport.abort()      # the connection breaks, the process lives on
        await until(lambda: not low.ways.get(high.me))
        await until(lambda: low.ways.get(high.me))
        assert refusals == []
        ended_at = time.monotonic()
        high.close()
        await until(lambda: refusals)
        assert refusals[0][0] == high.me and refusals[0][1] >= ended_at
        low.close()
    asyncio.run(play())


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def test_a_connect_that_is_given_up_just_as_it_comes_up_leaves_no_dead_way(runner: Callable) -> None:
    """Its time may be up in the very turn of the loop in which it is made: a process that stood still sees both."""
    async def play() -> None:
        (low, high), _ = await meshes()
        low.changed = lambda peer, up: low.dialling[peer].cancel() if up else None
        low.dial({high.me})
        (dialling,) = low.dialling.values()
        await asyncio.wait({dialling})
        await until(lambda: not low.ways and not low.wires)
        assert not low.send(high.me, ["nobody hears it"])
        low._ping()
        for mesh in (low, high):
            mesh.close()
    runner(asyncio.wait_for(play(), 5.0))
