"""Real processes: loss of keepers with and without their files, network partitions and one-way failures."""

import asyncio
import time

from fennelpoint.fleet.queries import process_status
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.links import FROM_TARGET, TO_TARGET
from fennelpoint.testing.observer import faults, served_share
from fennelpoint.testing.process_cluster import Rig, Shape

LEASE_TERM_S = 1.0


async def ranks(rig: Rig) -> dict[str, str]:
    view = await rig.view()
    return {report["name"]: process_status(report, view.fleet) for report in view.reports}


def test_ingresses_keep_serving_without_keepers_and_keepers_recover_with_the_remaining_files():
    async def test() -> None:
        async with Rig(Shape(ingresses=6), 11) as rig:
            rig.load(10.0)
            await rig.until_forced(await rig.publish())
            await asyncio.sleep(0.5)
            before = time.monotonic()
            await asyncio.sleep(1.0)
            lost_at = time.monotonic()
            life = (await rig.view()).coordinators["k0"]["life"]
            await rig.kill(*rig.keepers)
            await asyncio.sleep(3.0 * LEASE_TERM_S)
            assert [await rig.ready(name) for name in rig.members] == [True] * 6
            now = time.monotonic()
            assert served_share(rig.seen, lost_at, now) >= served_share(rig.seen, before, lost_at) - 0.02
            # One restarts without its file: it cannot vote until the two others can, then it has the whole record.
            rig.keeper_file("k0").unlink()
            await rig.restart(*rig.keepers)
            await rig.until_forced(await rig.publish())
            view = await rig.view()
            assert [view.coordinators[k]["votes"] for k in ("k0", "k1", "k2")] == [True] * 3
            assert view.coordinators["k0"]["life"] > life and view.fleet.version.number == 2
            # All restart without files and found a new record: its lower version is ignored.
            await rig.kill(*rig.keepers)
            for name in rig.keepers:
                rig.keeper_file(name).unlink()
            await asyncio.gather(*(rig.start_keeper(k, founding=True, record="second") for k in rig.keepers))
            await asyncio.sleep(2.0 * LEASE_TERM_S)
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


def test_partition_of_half_the_fleet_of_one_ingress_and_of_a_minority_of_keepers():
    async def test() -> None:
        async with Rig(Shape(ingresses=8), 12) as rig:
            rig.load(6.0)
            await rig.until_forced(await rig.publish())
            # Half reach no keeper, but peers that do: they activate versions like the others.
            for name in ("n0", "n2", "n4", "n6"):
                rig.cut(name, *rig.keepers)
            await rig.until_forced(await rig.publish(), 20.0)
            await rig.until_acting(rig.members, 2)
            rig.heal()
            # One is cut off from all: it stops serving within its lease term, and the others continue.
            await asyncio.sleep(1.0)
            rig.cut_off("n3")
            began = time.monotonic()
            await asyncio.sleep(1.2 * LEASE_TERM_S)
            assert not await rig.ready("n3") and await rig.ready("n2")
            assert await rig.ask("n3") == 503
            await rig.until_forced(await rig.publish(), 20.0)
            assert not [a for a in rig.seen.arrivals if a.ingress == "n3" and a.at > began + 1.1 * LEASE_TERM_S]
            rig.heal()
            await rig.until_ready("n3")
            # One keeper is cut off from the others: it agrees nothing, and no ingress stops serving because of it.
            rig.cut("k0", "k1", "k2")
            await rig.until_forced(await rig.publish(), 20.0)
            await rig.until_acting(rig.members, 4)
            assert faults(rig.seen) == {}

    run(test(), 60.0)


def test_two_ingresses_that_are_the_whole_set_of_an_agency_keep_serving_and_block_a_version():
    async def test() -> None:
        async with Rig(Shape(ingresses=8, settle_s=1.0), 13) as rig:
            rig.load(6.0)
            await rig.until_forced(await rig.publish())
            number = await rig.publish()
            while (await rig.view()).fleet.coming.state == "offered":
                await asyncio.sleep(0.01)
            rig.cut_off("n2", "n3")     # adjacent on the ring of 8, sets are 2 wide: cut off while it closes
            await asyncio.sleep(2.5 * LEASE_TERM_S)
            view = await rig.view()
            assert await rig.ready("n2") and await rig.ready("n3")
            if view.fleet.coming is not None:   # otherwise both learned of it in time
                assert view.fleet.coming.number == number and "may still act on version 1" in view.hold_reason
            rig.heal()
            await rig.until_forced(number)
            assert faults(rig.seen) == {}

    run(test(), 60.0)


def test_only_the_ingress_with_a_one_way_connection_stops_serving():
    async def test() -> None:
        async with Rig(Shape(ingresses=8), 14) as rig:
            rig.load(6.0)
            await rig.until_forced(await rig.publish())
            others = [n for n in rig.members if n != "n5"]
            for directions in ([TO_TARGET], [FROM_TARGET]):
                for link in rig.members["n5"].links.values():
                    link.fault.cut.update(directions)
                    link.healed.clear()
                await asyncio.sleep(1.5 * LEASE_TERM_S)
                assert not await rig.ready("n5")
                assert all([await rig.ready(n) for n in others])
                await rig.until_forced(await rig.publish(), 20.0)
                rig.heal()
                await rig.until_ready("n5")
            assert faults(rig.seen) == {}
            await asyncio.sleep(0.5 * LEASE_TERM_S)
            assert set((await ranks(rig)).values()) == {"ok"}

    run(test(), 60.0)


def test_record_in_etcd_with_lost_answers_and_a_long_outage():
    async def test() -> None:
        async with Rig(Shape(ingresses=6, etcd=True), 16) as rig:
            rig.load(6.0)
            await rig.until_forced(await rig.publish())
            rig.etcd.lose_answers = 2
            await rig.until_forced(await rig.publish())
            rig.etcd.silent = True
            await asyncio.sleep(2.5 * LEASE_TERM_S)
            assert all([await rig.ready(name) for name in rig.members])     # all are in the same state
            rig.etcd.silent = False
            await rig.until_forced(await rig.publish(), 20.0)
            await rig.until_acting(rig.members, 3)
            assert faults(rig.seen) == {}

    run(test(), 60.0)


def test_wrong_wall_clocks_change_nothing():
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
