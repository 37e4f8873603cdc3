"""What judges the runs: each check finds what is planted; links break as told; plans come again by their seed."""

import asyncio
from random import Random

import pytest

from fennelpoint.fleet.rpc import CallFailed
from fennelpoint.testing.fault_plans import FAULTS, draw_plan
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.links import BACK, THERE, DatagramLink, Link, Trouble
from fennelpoint.testing.observer import CHECKS, Arrival, Ask, Observer, faults, passed
from fennelpoint.testing.process_cluster import Rig, Shape


def seen(*arrivals: tuple[float, str, int], asks: tuple[Ask, ...] = (), **changes) -> Observer:
    made = Observer([Arrival(at, name, version % 4, 1, f"{at}", 1.0, False) for at, name, version in arrivals],
                    list(asks), [(1.0, 1), (3.0, 2), (5.0, 3)], [(2.0, 1), (4.0, 2)])
    for name, value in changes.items():
        setattr(made, name, value)
    return made


GOOD = [(0.5, "a", 0), (1.5, "b", 0), (1.6, "a", 1), (3.5, "a", 2), (3.6, "b", 1), (4.5, "b", 2)]


@pytest.mark.parametrize("planted, check", [
    ((4.6, "c", 1), "older"), ((2.5, "c", 0), "older"), ((3.7, "c", 0), "three"), ((3.7, "a", 1), "back")])
def test_each_check_finds_what_is_planted(planted, check):
    assert faults(seen(*GOOD)) == {}
    assert check in faults(seen(*GOOD, planted))


def test_lost_and_doubled_requests_and_units_beyond_a_bucket_are_found():
    asks = (Ask(1.0, 2.0, "a", "x", 200), Ask(1.0, 2.0, "a", "y", -1))
    assert faults(seen(asks=asks)) == {}
    late = Ask(1.0, 2.0, "a", "z", 0)
    assert "lost" in faults(seen(asks=(*asks, late)))
    assert faults(seen(asks=(*asks, late), excused={"a": [(1.5, 1.6)]})) == {}
    twice = [Arrival(1.0 + i, "a", 0, 1, "t", 1.0, True) for i in range(2)]
    assert CHECKS["twice"](seen(arrivals=twice)) and not CHECKS["twice"](seen(arrivals=twice[:1]))
    burst = seen(*((1.0 + i / 100, "a", 0) for i in range(10)))
    assert passed(burst, 1, 5.0, 1.0, 0.0, 2.0) and not passed(burst, 1, 9.0, 1.0, 0.0, 2.0)


def test_one_seed_makes_one_plan_and_every_kind_of_fault_is_drawn():
    shape = Shape()
    assert draw_plan(7, shape, 8.0, 6) == draw_plan(7, shape, 8.0, 6) != draw_plan(8, shape, 8.0, 6)
    assert {f.kind for seed in range(40) for f in draw_plan(seed, shape, 8.0, 6)} == set(FAULTS)


def test_a_build_that_goes_back_is_found():
    """It goes by whatever a keeper says; one keeper is cut off from the others and knows nothing newer."""
    async def test() -> None:
        async with Rig(Shape(ingresses=4, broken="backward"), 61) as rig:
            rig.load(10.0)
            await rig.until_forced(await rig.publish())
            rig.cut("k0", "k1", "k2")
            for _ in range(3):
                try:
                    await rig.until_forced(await rig.publish(), 6.0)
                except (CallFailed, TimeoutError):
                    pass
            await asyncio.sleep(1.0)
            assert {"back", "older", "three"} & set(faults(rig.seen))

    run(test(), 60.0)


def test_a_link_is_cut_one_way_slowed_reset_and_healed():
    async def test() -> None:
        async def echo(reader, writer) -> None:
            while data := await reader.read(100):
                writer.write(data)

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        link = Link("a>b", server.sockets[0].getsockname(), Random(1))
        reader, writer = await asyncio.open_connection(*await link.start())

        async def through(seconds: float) -> bytes:
            writer.write(b"x")
            try:
                return await asyncio.wait_for(reader.read(100), seconds)
            except TimeoutError:
                return b""

        assert await through(1.0) == b"x"
        for way in (THERE, BACK):
            link.be(Trouble(cut={way}))
            assert await through(0.1) == b""
            link.heal()
            assert await asyncio.wait_for(reader.read(100), 1.0) == b"x"    # it comes late, not never
        link.be(Trouble(delay_s=0.2))
        assert await through(0.1) == b""
        assert await asyncio.wait_for(reader.read(100), 2.0) == b"x"
        link.heal()
        link.reset()
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        writer.close()
        link.stop()
        server.close()

    run(test())


def test_datagrams_are_lost_doubled_and_out_of_order():
    async def test() -> None:
        got: list[bytes] = []

        class Sink(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, address) -> None:
                got.append(data)

        loop = asyncio.get_running_loop()
        sink, _ = await loop.create_datagram_endpoint(Sink, local_addr=("127.0.0.1", 0))
        link = DatagramLink(sink.get_extra_info("sockname"), Random(1))
        sender, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, remote_addr=await link.start())

        async def send(count: int, trouble: Trouble) -> list[int]:
            got.clear()
            link.trouble = trouble
            for i in range(count):
                sender.sendto(b"%d" % i)
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.1)
            return [int(data) for data in got]

        assert await send(50, Trouble()) == list(range(50))
        assert 5 < len(await send(50, Trouble(lose=0.5))) < 45
        assert len(await send(50, Trouble(double=0.5))) > 60
        mixed = await send(50, Trouble(reorder=0.5))
        assert mixed != sorted(mixed) and set(mixed) >= set(range(49))
        assert await send(5, Trouble(cut={THERE})) == []
        link.stop()
        sink.close()
        sender.close()

    run(test())
