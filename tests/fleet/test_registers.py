"""Both registers by one suite: the embedded keepers and etcd; histories of real processes under faults."""

import asyncio
import time
from contextlib import asynccontextmanager
from random import Random

import pytest

from fennelpoint.fleet.consensus import (
    EmbeddedRegister,
    UnknownOutcome,
    VersionedValue,
    decode_message,
    encode_answer,
)
from fennelpoint.fleet.etcd import EtcdRegister
from fennelpoint.fleet.register import Acceptor
from fennelpoint.fleet.rpc import CallFailed, Service, call_once
from fennelpoint.fleet.store import Store
from fennelpoint.testing.etcd import Etcd
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.process import free_port
from fennelpoint.testing.process_cluster import Rig, Shape
from fennelpoint.testing.register_linearizability import Op, faults

MOST_HISTORIES = 4          # on a busy machine one history holds too few calls to show anything
LEAST_MADE, LEAST_CALLS = 30, 200


@asynccontextmanager
async def embedded(tmp_path):
    """Three keepers in this process, on sockets; a register of each, and how to lose the next answer."""
    ports = {f"k{i}": ("127.0.0.1", free_port()) for i in range(3)}
    made, services = [], []
    for name, address in ports.items():
        store = Store(tmp_path, name)
        store.replace_state(Acceptor(name, 1, True, {}, {}))
        one = EmbeddedRegister(store, {n: a for n, a in ports.items() if n != name})

        async def answer(call: dict, one=one) -> dict:
            return encode_answer(one.handle_message(decode_message(call)))

        services.append(Service("keeper", answer))
        await services[-1].listen(*address)
        made.append(one)

    def lose() -> None:
        """The proposer of the next change ends after its accepts are out."""
        first, before = made[0], made[0]._run_rounds

        async def agree(key, change):
            first._run_rounds = before
            await before(key, change)
            raise UnknownOutcome("the answer was lost")

        first._run_rounds = agree

    try:
        yield made, lose
    finally:
        for one, service in zip(made, services, strict=True):
            one.close()
            service.close()
            one.store.close()


@asynccontextmanager
async def over_etcd(tmp_path):
    server = Etcd()
    address = await server.start()

    def lose() -> None:
        server.lose_answers = 1

    try:
        yield [EtcdRegister(address) for _ in range(3)], lose
    finally:
        await server.stop()


@pytest.mark.parametrize("kind", [embedded, over_etcd])
def test_a_register_keeps_its_word(kind, tmp_path):
    async def test() -> None:
        async with kind(tmp_path) as (registers, lose):
            one, other, third = registers
            assert await one.read("x") == VersionedValue(0, None)
            assert await one.change("x", 0, {"a": 1}, "first") == 1
            assert (await other.read("x")).data == {"a": 1}
            assert await other.change("x", 0, "late", "second") is None     # another came first
            assert await other.change("x", 0, "late", "first") == 1         # made before, by its id
            assert await third.change("x", 1, "b", "third") == 2
            assert await one.change("x", 2, "c", "fourth") == 3
            assert await one.change("y", 5, "c", "fifth") is None and (await one.read("y")).revision == 0
            # An answer that is lost after the change was made: the next try finds it.
            lose()
            with pytest.raises(UnknownOutcome):
                await one.change("x", 3, "d", "sixth")
            assert await other.change("x", 3, "d", "sixth") == 4
            assert (await third.read("x")).revision == 4 and third.read_local("x").revision <= 4
            # All at once: each revision is made once.
            made = await asyncio.gather(*(registers[i % 3].change("x", 4, i, f"race {i}") for i in range(9)),
                                        return_exceptions=True)
            assert [m for m in made if m == 5] == [5]
            held = [await register.read("x") for register in registers]
            assert held[0] == held[1] == held[2] and held[0].revision == 5

    run(test())


def test_etcd_that_is_silent_gives_no_answer_and_one_put_back_is_not_believed():
    async def test() -> None:
        server = Etcd()
        register = EtcdRegister(await server.start())
        for i in range(3):
            if i == 1:
                copy = server.copy()
            assert await register.change("x", i, i, f"change {i}") == i + 1
        server.silent = True
        with pytest.raises(CallFailed, match="does not answer"):
            await register.read("x")
        server.silent = False
        assert (await register.read("x")).revision == 3
        server.put_back(copy)
        with pytest.raises(CallFailed, match="went back from 4 to 2"):
            await register.read("x")
        server.revision = 50
        with pytest.raises(CallFailed, match="x at etcd went back from revision 3 to 1"):
            await register.read("x")
        server.keys.clear()
        with pytest.raises(CallFailed, match="has lost x"):
            await register.read("x")
        await server.stop()
        with pytest.raises(CallFailed, match="etcd at"):
            await EtcdRegister(server.address).read("x")

    run(test())


async def client(rig: Rig, number: int, ops: list[Op], until: float) -> None:
    """Reads and changes of one key at any keeper, its directory the true addresses."""
    draw, known, turn = Random(number), 0, 0
    while time.monotonic() < until:
        address = rig.keepers[draw.choice(sorted(rig.keepers))]
        began, turn = time.monotonic(), turn + 1
        try:
            if draw.random() < 0.5:
                told = await call_once(address, "get", 2.0, key="x/test")
                known = told["revision"]
                ops.append(Op(began, time.monotonic(), f"c{number}", known, told["data"], False))
            else:
                value = f"c{number} {turn}"
                told = await call_once(address, "set", 2.0, key="x/test", expect=known, data=value, change=value)
                if told["revision"]:
                    known = told["revision"]
                    ops.append(Op(began, time.monotonic(), f"c{number}", known, value, True))
        except CallFailed:
            pass
        await asyncio.sleep(draw.uniform(0.0, 0.03))


async def history(broken: str, seconds: float) -> list[Op]:
    shape = Shape(ingresses=1, broken=broken)
    async with Rig(shape, 51) as rig:
        ops: list[Op] = []
        until = time.monotonic() + seconds
        clients = [asyncio.ensure_future(client(rig, i, ops, until)) for i in range(5)]
        while time.monotonic() < until - 1.0:
            name = rig.draw.choice(sorted(rig.keepers))
            match rig.draw.choice(("killed", "stopped", "cut")):
                case "killed":
                    await rig.kill(name)
                    await asyncio.sleep(0.3)
                    await rig.restart(name)
                case "stopped":
                    rig.stop(name)
                    await asyncio.sleep(0.5)
                    rig.go_on(name)
                case "cut":
                    rig.cut(name, *(k for k in rig.keepers if k != name))
                    await asyncio.sleep(0.5)
                    rig.heal()
            await asyncio.sleep(0.2)
        await asyncio.gather(*clients)
        return ops


def test_histories_of_real_keepers_under_faults_are_a_registers():
    made = calls = 0
    for _ in range(MOST_HISTORIES):
        ops: list[Op] = []
        run(_collect(ops, ""), 60.0)
        assert faults(ops) == []
        made, calls = made + sum(op.made for op in ops), calls + len(ops)
        if made > LEAST_MADE and calls > LEAST_CALLS:
            break
    assert made > LEAST_MADE and calls > LEAST_CALLS


def test_a_planted_stale_read_is_found():
    ops: list[Op] = []
    run(_collect(ops, "stale"), 60.0)
    assert any(" read " in fault for fault in faults(ops))


async def _collect(ops: list[Op], broken: str) -> None:
    ops += await history(broken, 6.0)


def test_what_no_register_would_do_is_found():
    good = [Op(0.0, 1.0, "a", 1, "x", True), Op(2.0, 3.0, "b", 1, "x", False), Op(2.5, 4.0, "a", 2, "y", True)]
    assert faults(good) == []
    assert faults([*good, Op(5.0, 6.0, "c", 1, "x", False)])
    assert faults([*good, Op(0.5, 6.0, "c", 2, "z", False)])
    assert faults([*good, Op(0.0, 6.0, "c", 2, "y", True)])
    assert faults([*good, Op(5.0, 6.0, "c", 2, "y", True)])
