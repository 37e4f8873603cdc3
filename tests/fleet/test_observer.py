"""The test tools: checks find planted faults, links inject the configured faults, and seeds reproduce fault plans."""

import asyncio
from random import Random

import pytest

from fennelpoint.fleet.rpc import CallFailed
from fennelpoint.testing.fault_plans import FAULTS, draw_plan
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.links import FROM_TARGET, TO_TARGET, DatagramLink, Link, LinkFault
from fennelpoint.testing.observer import CHECKS, Arrival, ClientRequest, Observer, bucket_excess, faults
from fennelpoint.testing.process_cluster import Rig, Shape


def observed(*arrivals: tuple[float, str, int], requests: tuple[ClientRequest, ...] = (), **changes) -> Observer:
    observer = Observer([Arrival(at, name, version % 4, 1, f"{at}", 1.0, False) for at, name, version in arrivals],
                        list(requests), [(1.0, 1), (3.0, 2), (5.0, 3)], [(2.0, 1), (4.0, 2)])
    for name, value in changes.items():
        setattr(observer, name, value)
    return observer


GOOD = [(0.5, "a", 0), (1.5, "b", 0), (1.6, "a", 1), (3.5, "a", 2), (3.6, "b", 1), (4.5, "b", 2)]


@pytest.mark.parametrize("planted, check", [
    ((4.6, "c", 1), "older"), ((2.5, "c", 0), "older"), ((3.7, "c", 0), "three"), ((3.7, "a", 1), "back")])
def test_each_check_detects_a_planted_violation(planted, check):
    assert faults(observed(*GOOD)) == {}
    assert check in faults(observed(*GOOD, planted))


def test_lost_and_duplicated_requests_and_units_beyond_a_bucket_are_detected():
    requests = (ClientRequest(1.0, 2.0, "a", "x", 200), ClientRequest(1.0, 2.0, "a", "y", -1))
    assert faults(observed(requests=requests)) == {}
    unanswered = ClientRequest(1.0, 2.0, "a", "z", 0)
    assert "lost" in faults(observed(requests=(*requests, unanswered)))
    assert faults(observed(requests=(*requests, unanswered), outages={"a": [(1.5, 1.6)]})) == {}
    twice = [Arrival(1.0 + i, "a", 0, 1, "t", 1.0, True) for i in range(2)]
    assert CHECKS["twice"](observed(arrivals=twice)) and not CHECKS["twice"](observed(arrivals=twice[:1]))
    burst = observed(*((1.0 + i / 100, "a", 0) for i in range(10)))
    assert bucket_excess(burst, 1, 5.0, 1.0, 0.0, 2.0) and not bucket_excess(burst, 1, 9.0, 1.0, 0.0, 2.0)


def test_a_seed_reproduces_its_plan_and_every_kind_of_fault_occurs():
    shape = Shape()
    assert draw_plan(7, shape, 8.0, 6) == draw_plan(7, shape, 8.0, 6) != draw_plan(8, shape, 8.0, 6)
    assert {f.kind for seed in range(40) for f in draw_plan(seed, shape, 8.0, 6)} == set(FAULTS)


def test_a_build_that_reverts_to_an_older_version_is_detected():
    """It acts on any version that a coordinator names, and one partitioned coordinator names an outdated one."""
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


def test_a_link_can_be_cut_in_one_direction_delayed_reset_and_healed():
    async def test() -> None:
        async def echo(reader, writer) -> None:
            while data := await reader.read(100):
                writer.write(data)

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        link = Link("a>b", server.sockets[0].getsockname(), Random(1))
        reader, writer = await asyncio.open_connection(*await link.start())

        async def round_trip(timeout_s: float) -> bytes:
            writer.write(b"x")
            try:
                return await asyncio.wait_for(reader.read(100), timeout_s)
            except TimeoutError:
                return b""

        assert await round_trip(1.0) == b"x"
        for direction in (TO_TARGET, FROM_TARGET):
            link.inject(LinkFault(cut={direction}))
            assert await round_trip(0.1) == b""
            link.heal()
            assert await asyncio.wait_for(reader.read(100), 1.0) == b"x"    # delayed, not lost
        link.inject(LinkFault(delay_s=0.2))
        assert await round_trip(0.1) == b""
        assert await asyncio.wait_for(reader.read(100), 2.0) == b"x"
        link.heal()
        link.reset()
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        writer.close()
        link.stop()
        server.close()

    run(test())


def test_datagrams_are_lost_duplicated_and_reordered():
    async def test() -> None:
        received: list[bytes] = []

        class Sink(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, address) -> None:
                received.append(data)

        loop = asyncio.get_running_loop()
        sink, _ = await loop.create_datagram_endpoint(Sink, local_addr=("127.0.0.1", 0))
        link = DatagramLink(sink.get_extra_info("sockname"), Random(1))
        sender, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, remote_addr=await link.start())

        async def send(count: int, fault: LinkFault) -> list[int]:
            received.clear()
            link.fault = fault
            for i in range(count):
                sender.sendto(b"%d" % i)
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.1)
            return [int(data) for data in received]

        assert await send(50, LinkFault()) == list(range(50))
        assert 5 < len(await send(50, LinkFault(loss_ratio=0.5))) < 45
        assert len(await send(50, LinkFault(duplicate_ratio=0.5))) > 60
        reordered = await send(50, LinkFault(reorder_ratio=0.5))
        assert reordered != sorted(reordered) and set(reordered) >= set(range(49))
        assert await send(5, LinkFault(cut={TO_TARGET})) == []
        link.stop()
        sink.close()
        sender.close()

    run(test())
