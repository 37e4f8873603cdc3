"""Persistent connections between processes, on loopback."""

import asyncio
import socket
import time
from collections.abc import Callable

import pytest
import uvloop

from fennelpoint.system.mesh import ROLES, Mesh, peer_name
from fennelpoint.testing import process

IPS = ("127.0.0.1", "127.0.0.2")


async def start_meshes() -> tuple[list[Mesh], list[tuple]]:
    """Returns a started mesh for each address, and the messages that they receive as (address, peer, message)."""
    loop, received, port = asyncio.get_running_loop(), [], process.free_ports(len(ROLES), IPS)
    meshes = [
        Mesh(loop, "roll", ip, (port, port + 2), lambda peer, message, ip=ip: received.append((ip, peer, message)))
        for ip in IPS]
    for mesh in meshes:
        await mesh.start()
    return meshes, received


async def wait_until(condition) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


# Guards against "address already in use": a test that runs beside this one listens within the range of ports.
@pytest.mark.parametrize("taken_ip", IPS)
def test_ports_of_a_mesh_are_free_at_all_of_its_addresses(monkeypatch, taken_ip: str) -> None:
    async def play() -> None:
        first = process.free_ports(2 * len(ROLES), IPS)
        with socket.socket() as taken:
            taken.bind((taken_ip, first + 1))
            taken.listen()
            monkeypatch.setattr(process, "PORTS", range(first, first + len(ROLES) + 1))
            for port in range(first, first + 2 * len(ROLES)):
                process.os.close(process._locks.pop(port))
            meshes, _ = await start_meshes()
        assert meshes[0].ports[0] > first + 1
        for mesh in meshes:
            mesh.close()
    asyncio.run(play())


def test_either_side_may_dial_the_other() -> None:
    """A new machine that its peers do not know yet has to dial them, whether its address is the lower or higher."""
    for dialler_index in (0, 1):
        async def play(dialler_index: int = dialler_index) -> None:
            (low, high), received = await start_meshes()
            dialler, target = (low, high) if dialler_index == 0 else (high, low)
            dialler.dial({target.own_name})
            await wait_until(lambda: dialler.connections_by_peer.get(target.own_name)
                             and target.connections_by_peer.get(dialler.own_name))
            assert dialler.send(target.own_name, ["x", 1]) and target.send(dialler.own_name, ["y", b"2"])
            await wait_until(lambda: len(received) == 2)
            assert sorted(received) == sorted([(target.ip, dialler.own_name, ["x", 1]),
                                               (dialler.ip, target.own_name, ["y", b"2"])])
            for mesh in (low, high):
                mesh.close()
            await asyncio.sleep(0)
        asyncio.run(play())


def test_two_peers_that_dial_each_other_share_one_connection_and_reconnect_after_a_failure() -> None:
    async def play() -> None:
        (low, high), received = await start_meshes()
        low.dial({high.own_name})
        await wait_until(lambda: high.connections_by_peer.get(low.own_name))
        high.dial({low.own_name})
        await asyncio.sleep(0.05)
        assert len(low.connections_by_peer[high.own_name]) == len(high.connections_by_peer[low.own_name]) == 1
        for connection in list(low.connections):
            connection.transport.abort()
        await wait_until(lambda: not low.connections_by_peer.get(high.own_name))
        assert not low.send(high.own_name, ["lost"])
        await wait_until(lambda: low.connections_by_peer.get(high.own_name)
                         and high.connections_by_peer.get(low.own_name))
        assert high.send(peer_name("roll", low.ip), ["back"])
        await wait_until(lambda: (low.ip, high.own_name, ["back"]) in received)
        for mesh in (low, high):
            mesh.close()
    asyncio.run(play())


def test_only_a_refused_connection_reports_that_a_peers_process_has_ended() -> None:
    async def play() -> None:
        (low, high), _ = await start_meshes()
        refusals: list[tuple[str, float]] = []
        low.on_refused = lambda peer, dialled_at: refusals.append((peer, dialled_at))
        low.dial({high.own_name})
        await wait_until(lambda: low.connections_by_peer.get(high.own_name))
        for connection in list(high.connections):
            connection.transport.abort()      # the connection fails, the process runs on
        await wait_until(lambda: not low.connections_by_peer.get(high.own_name))
        await wait_until(lambda: low.connections_by_peer.get(high.own_name))
        assert refusals == []
        ended_at = time.monotonic()
        high.close()
        await wait_until(lambda: refusals)
        assert refusals[0][0] == high.own_name and refusals[0][1] >= ended_at
        low.close()
    asyncio.run(play())


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def test_a_dial_cancelled_as_its_connection_comes_up_leaves_no_dead_connection(runner: Callable) -> None:
    """A process that was paused may see the connect and its time-out in the same turn of the event loop."""
    async def play() -> None:
        (low, high), _ = await start_meshes()
        low.on_peer_change = lambda peer, is_up: low.dial_tasks[peer].cancel() if is_up else None
        low.dial({high.own_name})
        (dial_task,) = low.dial_tasks.values()
        await asyncio.wait({dial_task})
        await wait_until(lambda: not low.connections_by_peer and not low.connections)
        assert not low.send(high.own_name, ["no connection"])
        low._ping()
        for mesh in (low, high):
            mesh.close()
    runner(asyncio.wait_for(play(), 5.0))
