"""Keepers lost with and without their files, splits and one-way cuts, between several processes."""

import asyncio
import time

from fennelpoint.fleet.queries import rank
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.links import BACK, THERE
from fennelpoint.testing.observer import faults, served
from fennelpoint.testing.process_cluster import Rig, Shape

L = 1.0     # a licence's life


async def stands(rig: Rig) -> dict[str, str]:
    view = await rig.view()
    return {word["name"]: rank(word, view.fleet) for word in view.words}


def test_all_keepers_killed_nobody_is_shut_out_and_they_come_back_with_what_is_left():
    async def test() -> None:
        async with Rig(Shape(ingresses=6), 11) as rig:
            rig.load(10.0)
            await rig.until_forced(await rig.publish())
            await asyncio.sleep(0.5)
            before = time.monotonic()
            await asyncio.sleep(1.0)
            lost_at = time.monotonic()
            life = (await rig.view()).keepers["k0"]["life"]
            await rig.kill(*rig.keepers)
            await asyncio.sleep(3.0 * L)
            assert [await rig.ready(name) for name in rig.members] == [True] * 6
            now = time.monotonic()
            assert served(rig.seen, lost_at, now) >= served(rig.seen, before, lost_at) - 0.02
            # One comes back without its file: it has no vote until the two others have, then it has all.
            rig.keeper_file("k0").unlink()
            await rig.restart(*rig.keepers)
            await rig.until_forced(await rig.publish())
            view = await rig.view()
            assert [view.keepers[k]["votes"] for k in ("k0", "k1", "k2")] == [True] * 3
            assert view.keepers["k0"]["life"] > life and view.fleet.version.number == 2
            # All come back without theirs, founded anew: a lower version is taken from nobody.
            await rig.kill(*rig.keepers)
            for name in rig.keepers:
                rig.keeper_file(name).unlink()
            await asyncio.gather(*(rig.start_keeper(k, founding=True, record="second") for k in rig.keepers))
            await asyncio.sleep(2.0 * L)
            assert [await rig.ready(name) for name in rig.members] == [True] * 6
            log = rig.members["n0"].process.log.read_text()
            assert "holds record second with version 0, lower than record rig with version 2 here" in log
            await rig.kill(*rig.keepers)
            for name in rig.keepers:
                rig.keeper_file(name).unlink()
            await asyncio.gather(*(rig.start_keeper(k, founding=True, record="third", after=2)
                                   for k in rig.keepers))
            await rig.until_level()
            assert await rig.publish() == 3
            await rig.until_forced(3)
            await rig.until_acting(rig.members, 3)
            assert {k: v for k, v in faults(rig.seen).items() if k != "back"} == {}

    run(test(), 60.0)


def test_half_of_the_fleet_by_way_of_peers_an_ingress_alone_and_a_minority_of_keepers():
    async def test() -> None:
        async with Rig(Shape(ingresses=8), 12) as rig:
            rig.load(6.0)
            await rig.until_forced(await rig.publish())
            # Half hear no keeper, but peers that do: they go over to versions as the others.
            for name in ("n0", "n2", "n4", "n6"):
                rig.cut(name, *rig.keepers)
            await rig.until_forced(await rig.publish(), 20.0)
            await rig.until_acting(rig.members, 2)
            rig.heal()
            # One is cut off from all: it is shut out within its licence, and the rest goes on without it.
            await asyncio.sleep(1.0)
            rig.cut_off("n3")
            began = time.monotonic()
            await asyncio.sleep(1.2 * L)
            assert not await rig.ready("n3") and await rig.ready("n2")
            assert await rig.ask("n3") == 503
            await rig.until_forced(await rig.publish(), 20.0)
            assert not [a for a in rig.seen.arrivals if a.ingress == "n3" and a.at > began + 1.1 * L]
            rig.heal()
            await rig.until_ready("n3")
            # A keeper with its ingresses on the small side: nothing is agreed there, nobody is shut out by it.
            rig.cut("k0", "k1", "k2")
            await rig.until_forced(await rig.publish(), 20.0)
            await rig.until_acting(rig.members, 4)
            assert faults(rig.seen) == {}

    run(test(), 60.0)


def test_two_that_are_an_agencys_whole_way_in_are_not_shut_out_and_a_version_waits_for_them():
    async def test() -> None:
        async with Rig(Shape(ingresses=8, settle_s=1.0), 13) as rig:
            rig.load(6.0)
            await rig.until_forced(await rig.publish())
            number = await rig.publish()
            while (await rig.view()).fleet.coming.state == "offered":
                await asyncio.sleep(0.01)
            rig.cut_off("n2", "n3")     # next to each other, of 8, sets are 2 wide: cut off as it closes
            await asyncio.sleep(2.5 * L)
            view = await rig.view()
            assert await rig.ready("n2") and await rig.ready("n3")
            if view.fleet.coming is not None:   # else both had heard of it in time
                assert view.fleet.coming.number == number and "may still act on version 1" in view.held
            rig.heal()
            await rig.until_forced(number)
            assert faults(rig.seen) == {}

    run(test(), 60.0)


def test_one_that_hears_and_is_not_heard_and_the_reverse_are_shut_out_alone():
    async def test() -> None:
        async with Rig(Shape(ingresses=8), 14) as rig:
            rig.load(6.0)
            await rig.until_forced(await rig.publish())
            others = [n for n in rig.members if n != "n5"]
            for ways in ([THERE], [BACK]):
                for link in rig.members["n5"].links.values():
                    link.trouble.cut.update(ways)
                    link.healed.clear()
                await asyncio.sleep(1.5 * L)
                assert not await rig.ready("n5")
                assert all([await rig.ready(n) for n in others])
                await rig.until_forced(await rig.publish(), 20.0)
                rig.heal()
                await rig.until_ready("n5")
            assert faults(rig.seen) == {}
            await asyncio.sleep(0.5 * L)
            assert set((await stands(rig)).values()) == {"ok"}

    run(test(), 60.0)


def test_the_record_by_etcd_silent_for_long_and_with_answers_that_are_lost():
    async def test() -> None:
        async with Rig(Shape(ingresses=6, etcd=True), 16) as rig:
            rig.load(6.0)
            await rig.until_forced(await rig.publish())
            rig.etcd.lose_answers = 2
            await rig.until_forced(await rig.publish())
            rig.etcd.silent = True
            await asyncio.sleep(2.5 * L)
            assert all([await rig.ready(name) for name in rig.members])     # nobody hears more than another
            rig.etcd.silent = False
            await rig.until_forced(await rig.publish(), 20.0)
            await rig.until_acting(rig.members, 3)
            assert faults(rig.seen) == {}

    run(test(), 60.0)


def test_wall_clocks_that_are_off_change_nothing():
    async def test() -> None:
        shape = Shape(ingresses=6, wall_off=(("n0", 5.0), ("n1", -5.0), ("k0", 5.0), ("k1", -30.0)))
        async with Rig(shape, 15) as rig:
            rig.load(6.0)
            for _ in range(2):
                await rig.until_forced(await rig.publish())
            await asyncio.sleep(0.5)
            assert faults(rig.seen) == {}
            assert all([await rig.ready(name) for name in rig.members])

    run(test(), 60.0)
