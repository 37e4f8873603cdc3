"""Several processes of the program with faults drawn between them, judged by an observer's records alone."""

import asyncio

import pytest

from fennelpoint.fleet.rpc import CallFailed
from fennelpoint.testing.fault_plans import play, stop_and_wake
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.observer import CHECKS, faults, served
from fennelpoint.testing.process_cluster import Rig, Shape


@pytest.mark.parametrize("seed", [1, 3, 301])
def test_drawn_faults_between_processes(seed):
    """Keepers and ingresses killed, stopped, cut off, deaf and unheard while versions are published under load.

    Played again by its seed."""
    async def test() -> None:
        rig = await play(seed, Shape(ingresses=9), 7.0, 6)
        assert faults(rig.seen) == {}, f"seed {seed}"
        assert len(rig.seen.forced) >= 2 and len(rig.seen.arrivals) > 250
        assert served(rig.seen, 0.0, 1e12) > 0.7

    run(test(), 60.0)


def test_a_process_that_wakes_sends_nothing_by_the_old_version():
    async def test() -> None:
        async with Rig(Shape(ingresses=6), 5) as rig:
            rig.load(4.0)
            await asyncio.sleep(0.3)
            await stop_and_wake(rig, 4)
            assert faults(rig.seen) == {}

    run(test(), 60.0)


async def cut_and_publish(rig: Rig) -> None:
    """One that is cut off holds a licence for the older version while the newer is agreed without it."""
    rig.cut_off("n3")
    await rig.until_forced(await rig.publish(), 20.0)
    await asyncio.sleep(1.0)


@pytest.mark.parametrize("broken, found", [("", False), ("eager", True)])
def test_a_version_in_force_before_every_licence_has_ended_is_found(broken, found):
    async def test() -> None:
        shape = Shape(ingresses=6, licence_s=4.0, settle_s=1.2, broken=broken)
        async with Rig(shape, 6) as rig:
            rig.load(12.0)
            await cut_and_publish(rig)
            assert bool(CHECKS["older"](rig.seen)) is found and bool(faults(rig.seen)) is found

    run(test(), 60.0)


def test_a_build_without_the_gate_is_found():
    """One try doesn't always show it: a process may hear of the change before it reads what waits in its sockets."""
    async def test() -> None:
        async with Rig(Shape(ingresses=6, broken="gate"), 5) as rig:
            rig.load(8.0)
            await asyncio.sleep(0.3)
            tries = 0
            while not CHECKS["older"](rig.seen):
                assert (tries := tries + 1) <= 12, "no request by a version that was out of force"
                try:
                    await stop_and_wake(rig, 1, tries)
                except (RuntimeError, TimeoutError, CallFailed):
                    pass    # such a build may also hold changes up

    run(test(), 100.0)
