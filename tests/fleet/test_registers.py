"""Tests of both registers, embedded and etcd, and linearizability of histories of real keepers under faults."""

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
from fennelpoint.fleet.rpc import CallFailed, RpcServer, call_once
from fennelpoint.fleet.store import Store
from fennelpoint.testing.etcd import Etcd
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.process import free_port
from fennelpoint.testing.process_cluster import Rig, Shape
from fennelpoint.testing.register_linearizability import Op, find_violations

MAX_HISTORIES = 4           # on a busy machine, one history has too few calls to be conclusive
MIN_CHANGES, MIN_CALLS = 30, 200


@asynccontextmanager
async def embedded(tmp_path):
    """Runs three acceptors in this process; yields their registers and a function that loses the next answer."""
    ports = {f"k{i}": ("127.0.0.1", free_port()) for i in range(3)}
    registers, services = [], []
    for name, address in ports.items():
        store = Store(tmp_path, name)
        store.replace_state(Acceptor(name, 1, True, {}, {}))
        register = EmbeddedRegister(store, {n: a for n, a in ports.items() if n != name})

        async def answer(call: dict, register=register) -> dict:
            return encode_answer(register.handle_message(decode_message(call)))

        services.append(RpcServer("keeper", answer))
        await services[-1].listen(*address)
        registers.append(register)

    def lose_next_answer() -> None:
        """Makes the proposer of the next change fail after its change was agreed."""
        first, run_rounds = registers[0], registers[0]._run_rounds

        async def fail_after_agreement(key, change):
            first._run_rounds = run_rounds
            await run_rounds(key, change)
            raise UnknownOutcome("the answer was lost")

        first._run_rounds = fail_after_agreement

    try:
        yield registers, lose_next_answer
    finally:
        for register, service in zip(registers, services, strict=True):
            register.close()
            service.close()
            register.store.close()


@asynccontextmanager
async def over_etcd(tmp_path):
    """Runs an etcd stand-in; yields three registers on it and a function that loses the next answer."""
    server = Etcd()
    address = await server.start()

    def lose_next_answer() -> None:
        server.lose_answers = 1

    try:
        yield [EtcdRegister(address) for _ in range(3)], lose_next_answer
    finally:
        await server.stop()


@pytest.mark.parametrize("kind", [embedded, over_etcd])
def test_register_contract(kind, tmp_path):
    async def test() -> None:
        async with kind(tmp_path) as (registers, lose_next_answer):
            first, second, third = registers
            assert await first.read("x") == VersionedValue(0, None)
            assert await first.change("x", 0, {"a": 1}, "first") == 1
            assert (await second.read("x")).data == {"a": 1}
            assert await second.change("x", 0, "late", "second") is None     # another came first
            assert await second.change("x", 0, "late", "first") == 1         # made before, by its id
            assert await third.change("x", 1, "b", "third") == 2
            assert await first.change("x", 2, "c", "fourth") == 3
            assert await first.change("y", 5, "c", "fifth") is None and (await first.read("y")).revision == 0
            # The answer to a change is lost after it was made: the retry finds it made.
            lose_next_answer()
            with pytest.raises(UnknownOutcome):
                await first.change("x", 3, "d", "sixth")
            assert await second.change("x", 3, "d", "sixth") == 4
            assert (await third.read("x")).revision == 4 and third.read_local("x").revision <= 4
            # Concurrent changes: exactly one makes the revision.
            revisions = await asyncio.gather(*(registers[i % 3].change("x", 4, i, f"race {i}") for i in range(9)),
                                             return_exceptions=True)
            assert [revision for revision in revisions if revision == 5] == [5]
            values = [await register.read("x") for register in registers]
            assert values[0] == values[1] == values[2] and values[0].revision == 5

    run(test())


def test_unavailable_etcd_fails_and_one_restored_from_a_backup_is_rejected():
    async def test() -> None:
        server = Etcd()
        register = EtcdRegister(await server.start())
        for i in range(3):
            if i == 1:
                backup = server.copy()
            assert await register.change("x", i, i, f"change {i}") == i + 1
        server.silent = True
        with pytest.raises(CallFailed, match="does not answer"):
            await register.read("x")
        server.silent = False
        assert (await register.read("x")).revision == 3
        server.put_back(backup)
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
    """Reads and changes one key at random keepers, addressed directly, and records the operations."""
    random, known_revision, turn = Random(number), 0, 0
    while time.monotonic() < until:
        address = rig.keepers[random.choice(sorted(rig.keepers))]
        began, turn = time.monotonic(), turn + 1
        try:
            if random.random() < 0.5:
                answer = await call_once(address, "get", 2.0, key="x/test")
                known_revision = answer["revision"]
                ops.append(Op(began, time.monotonic(), f"c{number}", known_revision, answer["data"], False))
            else:
                value = f"c{number} {turn}"
                answer = await call_once(
                    address, "set", 2.0, key="x/test", expect=known_revision, data=value, change=value)
                if answer["revision"]:
                    known_revision = answer["revision"]
                    ops.append(Op(began, time.monotonic(), f"c{number}", known_revision, value, True))
        except CallFailed:
            pass
        await asyncio.sleep(random.uniform(0.0, 0.03))


async def history(broken: str, seconds: float) -> list[Op]:
    """Returns the operations of five clients while keepers are killed, stopped and partitioned."""
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


def test_histories_of_real_keepers_under_faults_are_linearizable():
    changes = calls = 0
    for _ in range(MAX_HISTORIES):
        ops: list[Op] = []
        run(_collect(ops, ""), 60.0)
        assert find_violations(ops) == []
        changes, calls = changes + sum(op.made for op in ops), calls + len(ops)
        if changes > MIN_CHANGES and calls > MIN_CALLS:
            break
    assert changes > MIN_CHANGES and calls > MIN_CALLS


def test_injected_stale_read_is_found():
    ops: list[Op] = []
    run(_collect(ops, "stale"), 60.0)
    assert any(" read " in fault for fault in find_violations(ops))


async def _collect(ops: list[Op], broken: str) -> None:
    ops += await history(broken, 6.0)


def test_histories_that_are_not_linearizable_are_found():
    good = [Op(0.0, 1.0, "a", 1, "x", True), Op(2.0, 3.0, "b", 1, "x", False), Op(2.5, 4.0, "a", 2, "y", True)]
    assert find_violations(good) == []
    assert find_violations([*good, Op(5.0, 6.0, "c", 1, "x", False)])
    assert find_violations([*good, Op(0.5, 6.0, "c", 2, "z", False)])
    assert find_violations([*good, Op(0.0, 6.0, "c", 2, "y", True)])
    assert find_violations([*good, Op(5.0, 6.0, "c", 2, "y", True)])
