"""Real processes under random faults, judged by the records of an external observer alone."""

import asyncio

import pytest

from fennelpoint.fleet.rpc import CallFailed
from fennelpoint.testing.fault_plans import play, stop_and_wake
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.observer import CHECKS, faults, served_share
from fennelpoint.testing.process_cluster import Rig, Shape


@pytest.mark.parametrize("seed", [1, 3, 301])
def test_random_faults_between_processes(seed):
    """Coordinators and ingresses are killed, stopped or partitioned, some in one direction only, while versions are
    published under load.  The seed reproduces the plan of faults."""
    async def test() -> None:
        rig = await play(seed, Shape(ingresses=9), 7.0, 6)
        assert faults(rig.seen) == {}, f"seed {seed}"
        assert len(rig.seen.enforced) >= 2 and len(rig.seen.arrivals) > 250
        assert served_share(rig.seen, 0.0, 1e12) > 0.7

    run(test(), 60.0)


def test_a_resumed_process_sends_nothing_under_the_old_version():
    async def test() -> None:
        async with Rig(Shape(ingresses=6), 5) as rig:
            rig.load(4.0)
            await asyncio.sleep(0.3)
            await stop_and_wake(rig, 4)
            assert faults(rig.seen) == {}

    run(test(), 60.0)


async def partition_and_publish(rig: Rig) -> None:
    """Publish a version while a partitioned ingress still holds a lease on the previous one."""
    rig.cut_off("n3")
    await rig.until_forced(await rig.publish(), 20.0)
    await asyncio.sleep(1.0)


@pytest.mark.parametrize("broken, found", [("", False), ("eager", True)])
def test_a_version_enforced_before_every_older_lease_has_expired_is_detected(broken, found):
    async def test() -> None:
        shape = Shape(ingresses=6, licence_s=4.0, settle_s=1.2, broken=broken)
        async with Rig(shape, 6) as rig:
            rig.load(12.0)
            await partition_and_publish(rig)
            assert bool(CHECKS["older"](rig.seen)) is found and bool(faults(rig.seen)) is found

    run(test(), 60.0)


def test_a_build_that_sends_without_checking_its_lease_is_detected():
    """May take several attempts: a resumed process may learn of the change before it reads its pending requests."""
    async def test() -> None:
        async with Rig(Shape(ingresses=6, broken="gate"), 5) as rig:
            rig.load(8.0)
            await asyncio.sleep(0.3)
            attempts = 0
            while not CHECKS["older"](rig.seen):
                assert (attempts := attempts + 1) <= 12, "no request was sent under a replaced version"
                try:
                    await stop_and_wake(rig, 1, attempts)
                except (RuntimeError, TimeoutError, CallFailed):
                    pass    # such a build may also delay changes

    run(test(), 100.0)
