"""Keepers' files that are torn, foreign or lost; garbage at their port; the command line; upgrades."""

import asyncio
import json
import os
import sqlite3
import sys
from pathlib import Path

import pytest

from fennelpoint.fleet import state
from fennelpoint.fleet.register import Acceptor, RegisterState
from fennelpoint.fleet.rpc import CallFailed, Line, Refusal, Service, call_once
from fennelpoint.fleet.store import Store
from fennelpoint.operator_config import FaultyFile, read_operator
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.observer import faults
from fennelpoint.testing.process_cluster import Rig, Shape, content_of


def filled(folder: Path) -> Store:
    store = Store(folder, "k0")
    store.replace_state(Acceptor("k0", 3, True, {"k1": 2}, {"x": RegisterState((1, "a"), (1, "a"), {"rev": 1})}))
    return store


def test_a_keepers_file_comes_back_as_it_was(tmp_path):
    store = filled(tmp_path)
    after = Acceptor("k0", 3, True, {"k1": 2}, {"x": RegisterState((7, "b"), (1, "a"), {"rev": 1})})
    store.save(after, "x")
    store.close()
    assert Store(tmp_path, "k0").acceptor == after


@pytest.mark.parametrize("harm, text", [
    (lambda path: path.write_bytes(b"garbage" * 1000), "not a database"),
    (lambda path: path.write_bytes(path.read_bytes()[:3000]), ""),
    (lambda path: path.write_bytes(b""), "not a keeper's file"),
    (lambda path: _execute(path, "UPDATE about SET value = 'k9' WHERE key = 'name'"), "belongs to keeper 'k9'"),
    (lambda path: _execute(path, "UPDATE about SET value = '99' WHERE key = 'schema'"), "schema '99'"),
    (lambda path: _execute(path, "UPDATE cells SET value = '[[9,\"z\"],[9,\"z\"],1]'"), "checksum"),
    (lambda path: _execute(path, "DROP TABLE cells"), "")])
def test_a_file_that_is_torn_or_foreign_is_set_aside_and_gives_no_vote(tmp_path, caplog, harm, text):
    store = filled(tmp_path)
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    harm(tmp_path / "k0.keeper")
    again = Store(tmp_path, "k0")
    if again.acceptor.registers:      # what was torn off was not needed
        return
    assert not again.acceptor.can_vote and again.acceptor.incarnation == 0
    assert "set aside" in caplog.text and text in caplog.text and list(tmp_path.glob("*.bad-*"))
    assert not Store(tmp_path, "k0").acceptor.can_vote       # nor after a restart


def _execute(path: Path, statement: str) -> None:
    db = sqlite3.connect(path)
    db.execute(statement)
    db.commit()
    db.close()


def test_garbage_at_the_port_ends_its_connection_and_nothing_else():
    async def test() -> None:
        async def answer(call: dict) -> dict:
            if call["do"] == "no":
                raise ValueError("not today\nnor tomorrow")
            return {"got": call["n"]}

        service = Service("test", answer)
        address = await service.listen("127.0.0.1", 0)
        good = Line(*address)
        for garbage in (b"\x00\xff\n", b"[]\n", b"{}\n", b'{"do": 3}\n', b"GET / HTTP/1.1\r\n\r\n",
                        b"[" * 100_000 + b"\n", b"x" * 7_000_000):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(garbage)
            try:
                assert await asyncio.wait_for(reader.read(), 5.0) == b""
            except ConnectionError:
                pass
            writer.close()
            assert await good.call("yes", 2.0, n=1) == {"got": 1, "id": good.number}
        with pytest.raises(CallFailed, match="^not today$"):
            await good.call("no", 2.0)
        with pytest.raises(CallFailed, match="the call's fields"):
            await good.call("yes", 2.0)
        both = await asyncio.gather(*(good.call("yes", 2.0, n=i) for i in range(40)))
        assert [one["got"] for one in both] == list(range(40))
        service.close()
        with pytest.raises(CallFailed):
            await call_once(address, "yes", 0.5, n=1)
        good.close()

    run(test())


@pytest.mark.parametrize("text, fault", [
    ('[keeper]\nkeepers = ["a=127.0.0.1:1", "b=127.0.0.1:2"]', "2: keeper.keepers: 2 keepers: there are 1, 3 or 5"),
    ('[keeper]\nkeepers = ["a=127.0.0.1"]', "'a=127.0.0.1' is not NAME=HOST:PORT"),
    ('[keeper]\nkeepers = ["a=127.0.0.1:1", "a=127.0.0.1:2", "b=h:3"]', "'a' is named twice"),
    ('[fleet]\nkeepers = []', "it names no keeper"), ('[fleet]\nkeeper = []', "is keepers meant?"),
    ('[fleet]\nkeepers = ["a=h:70000"]', "is not NAME=HOST:PORT")])
def test_faults_of_the_sections_are_named(tmp_path, text, fault):
    path = tmp_path / "operator.toml"
    path.write_text(f"{text}\n")
    with pytest.raises(FaultyFile) as caught:
        read_operator(path)
    assert fault in str(caught.value)


async def larchwing(*arguments: object) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "fennelpoint.cli", "fleet", *map(str, arguments), stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE, env={**os.environ, "USER": "tester", "LOGNAME": "tester"})
    out, err = await asyncio.wait_for(process.communicate(), 30.0)
    return process.returncode, out.decode(), err.decode()


def test_the_command_line_publishes_tells_explains_and_halts(tmp_path):
    async def test() -> None:
        async with Rig(Shape(ingresses=4, settle_s=30.0), 41) as rig:
            operator = tmp_path / "operator.toml"
            named = ["{}={}:{}".format(k, *a) for k, a in rig.keepers.items()]
            operator.write_text(f"schema = 1\n[keeper]\nkeepers = {json.dumps(named)}\n")
            config = ("--config", operator)
            cells = tmp_path / "cells.toml"
            cells.write_text(content_of(1)["cells.toml"])
            code, out, err = await larchwing("publish", *config, "--cells", cells, "--why", "a test", "--who", "me")
            assert (code, err) == (0, "") and out.startswith("version 1 is offered, a tightening")
            await rig.until_forced(1)
            code, out, _ = await larchwing("status", *config)
            assert code == 0 and "version 1 in force (tightening, me: a test)" in out and out.count(" ok ") == 4
            code, out, _ = await larchwing("status", *config, "--json")
            assert code == 0 and {i["stand"] for i in json.loads(out)["ingresses"]} == {"ok"}
            code, _, err = await larchwing("publish", *config, "--cells", cells, "--why", "the same")
            assert code == 1 and "version 1 has the same content" in err
            cells.write_text("version = 0\n")
            code, _, err = await larchwing("publish", *config, "--cells", cells, "--why", "bad")
            assert code == 2 and "cells.toml" in err and "Traceback" not in err
            # One is cut off: it is out, and its explanation says why.
            rig.cut_off("n2")
            await asyncio.sleep(2.5)
            code, out, _ = await larchwing("status", *config)
            assert code == 4 and out.index("n2 ") < out.index("n0 ")
            code, out, _ = await larchwing("explain", "n2", *config)
            assert code == 5 and "it sends nothing: no lease for" in out and "shut out" in out
            # A version that waits for it is halted by hand; nobody has acted on it.
            cells.write_text(content_of(2)["cells.toml"])
            assert (await larchwing("publish", *config, "--cells", cells, "--why", "two"))[0] == 0
            code, out, _ = await larchwing("explain", "n0", *config)
            assert code == 0 and "version 2 is offered: it closes once all have it" in out
            code, out, err = await larchwing("halt", 2, *config, "--why", "no", "--who", "me")
            assert (code, out) == (0, "halt: done\n"), err
            code, _, err = await larchwing("halt", 2, *config, "--why", "again")
            assert code == 1 and "version 2 is not offered: no version is coming" in err
            code, _, err = await larchwing("forget", "n0", *config, "--why", "no")
            assert code == 1 and "n0 still sends reports" in err
            rig.heal()
            await rig.until_ready("n2")
            code, out, _ = await larchwing("audit", *config, "--version", 1)
            assert code == 0 and {line.split()[0] for line in out.splitlines()} == {"n0", "n1", "n2", "n3"}
            code, out, _ = await larchwing("audit", *config, "--ingress", "n2", "--json")
            assert code == 0 and {span["version"] for span in json.loads(out)} >= {0, 1, -1}
            code, out, _ = await larchwing("audit", *config, "--at", "2000-01-01T00:00:00Z", "--agency", "3+2")
            assert code == 4 and [line.split()[0] for line in out.splitlines()] == ["n0", "n3"]
            assert "unknown: no process of it is on record then" in out
            assert (await larchwing("audit", *config, "--at", "never"))[0] == 2
            assert (await larchwing("explain", "n9", *config))[1].startswith("n9 is no member: n0, n1, n2, n3")
            assert faults(rig.seen) == {}

    run(test(), 90.0)


def test_an_upgrade_changes_processes_under_a_version_that_comes():
    """Two processes of one ingress: both have to go over, and the newcomer never goes back."""
    async def test() -> None:
        async with Rig(Shape(ingresses=4, twins=True), 42) as rig:
            rig.load(6.0)
            await rig.until_forced(await rig.publish())
            old = await rig.upgrade("n1")
            number = await rig.publish()
            await asyncio.sleep(0.3)
            old.process.terminate()
            await rig.until_forced(number, 20.0)
            await asyncio.wait_for(old.process.wait(), 10.0)
            await rig.until_ready("n1")
            await rig.until_acting(rig.members, number)
            assert faults(rig.seen) == {}
            assert await rig.publish() == number + 1

    run(test(), 60.0)


def test_a_version_that_some_can_not_take_in_is_halted_and_the_fleet_stays():
    """Its plans name one that the ingresses' settings don't have."""
    async def test() -> None:
        async with Rig(Shape(ingresses=4, settle_s=0.5), 43) as rig:
            rig.load(6.0)
            await rig.until_forced(await rig.publish())
            plans = '[[plans]]\nname = "other"\nquota_rate = 1\nstore_size = 1\n'
            await rig.fleet.change("publish", files={"plans.toml": plans}, who="rig", why="bad", kind="")
            for _ in range(100):
                if (fleet := (await rig.view()).fleet).coming is None:
                    break
                await asyncio.sleep(0.05)
            assert fleet.version.number == 1 and "halted" in fleet.history[-1].state
            assert "the settings have no such plan" in fleet.history[-1].state
            assert await rig.publish() == 3
            await rig.until_forced(3)
            assert faults(rig.seen) == {}

    run(test(), 60.0)


def test_an_identity_that_is_taken_twice_is_told_and_the_second_gets_no_licence():
    async def test() -> None:
        async with Rig(Shape(ingresses=3), 44) as rig:
            number, address = rig.members["n1"].number, "127.0.0.1:1"
            fields = {"name": "n1", "life": "x", "origin": "elsewhere", "number": number, "zone": "z1",
                      "address": address, "acting": 0, "prepared": "", "fault": "", "others": 0, "revision": 0}
            # The name is whose this keeper heard first: under load the stranger was quicker, and had it by right.
            while "n1" not in [w["name"] for w in (await call_once(rig.keepers["k0"], "status", 2.0))["words"]]:
                await asyncio.sleep(0.05)
            answer = await call_once(rig.keepers["k0"], "renew", 2.0, **fields)
            while answer["refused"].startswith("it "):
                answer = await call_once(rig.keepers["k0"], "renew", 2.0, **fields)
            assert answer["left"] == 0.0 and "n1 is taken" in answer["refused"]
            assert await rig.ready("n1")
            with pytest.raises(CallFailed, match="fields"):
                await call_once(rig.keepers["k0"], "renew", 2.0, name="n1")

    run(test(), 60.0)


def test_a_publisher_whose_answer_was_lost_asks_again_elsewhere_and_publishes_once():
    async def test() -> None:
        async with Rig(Shape(ingresses=3), 45) as rig:
            told = []
            for name in ("k0", "k1", "k0"):
                told.append(await call_once(rig.keepers[name], "publish", 5.0, files=content_of(1), who="me",
                                            why="once", change="the same"))
            assert [one["number"] for one in told] == [1, 1, 1]
            assert (await rig.view()).fleet.last == 1
            newest, old = [await call_once(rig.keepers["k1"], do, 2.0) for do in ("read", "glance")]
            assert newest["fleet"]["last"] == 1 and old["old"] and old["revision"] <= newest["revision"]
            with pytest.raises(Refusal, match="is offered|has the same content"):
                await rig.fleet.change("publish", files=content_of(1), who="me", why="again")

    run(test(), 60.0)


def test_a_record_that_grows_too_large_is_refused():
    members = {f"n{i}": state.Member(i, "z", "a:1") for i in range(state.MAX_MEMBERS + 1)}
    with pytest.raises(state.StepRefused, match="1001 members exceed the limit of 1000"):
        state.join(state.initial_state("r", state.Bounds()), members)
