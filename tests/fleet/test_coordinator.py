"""Damaged, foreign or lost files of keepers, invalid input at their port, the command line, upgrades."""

import asyncio
import json
import os
import sqlite3
import sys
from pathlib import Path

import pytest

from fennelpoint.fleet import state
from fennelpoint.fleet.register import Acceptor, RegisterState
from fennelpoint.fleet.rpc import CallFailed, CallRefused, RpcClient, RpcServer, call_once
from fennelpoint.fleet.store import Store
from fennelpoint.operator_config import FaultyFile, read_operator
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.observer import faults
from fennelpoint.testing.process_cluster import Rig, Shape, content_of


def store_with_state(folder: Path) -> Store:
    store = Store(folder, "k0")
    store.replace_state(Acceptor("k0", 3, True, {"k1": 2}, {"x": RegisterState((1, "a"), (1, "a"), {"rev": 1})}))
    return store


def test_state_is_restored_from_the_file(tmp_path):
    store = store_with_state(tmp_path)
    saved = Acceptor("k0", 3, True, {"k1": 2}, {"x": RegisterState((7, "b"), (1, "a"), {"rev": 1})})
    store.save(saved, "x")
    store.close()
    assert Store(tmp_path, "k0").acceptor == saved


@pytest.mark.parametrize("damage, text", [
    (lambda path: path.write_bytes(b"garbage" * 1000), "not a database"),
    (lambda path: path.write_bytes(path.read_bytes()[:3000]), ""),
    (lambda path: path.write_bytes(b""), "not a keeper's file"),
    (lambda path: _execute(path, "UPDATE about SET value = 'k9' WHERE key = 'name'"), "belongs to keeper 'k9'"),
    (lambda path: _execute(path, "UPDATE about SET value = '99' WHERE key = 'schema'"), "schema '99'"),
    (lambda path: _execute(path, "UPDATE cells SET value = '[[9,\"z\"],[9,\"z\"],1]'"), "checksum"),
    (lambda path: _execute(path, "DROP TABLE cells"), "")])
def test_damaged_or_foreign_file_is_set_aside_and_gives_no_vote(tmp_path, caplog, damage, text):
    store = store_with_state(tmp_path)
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    damage(tmp_path / "k0.keeper")
    reopened = Store(tmp_path, "k0")
    if reopened.acceptor.registers:    # the lost part of the file was not needed
        return
    assert not reopened.acceptor.can_vote and reopened.acceptor.incarnation == 0
    assert "set aside" in caplog.text and text in caplog.text and list(tmp_path.glob("*.bad-*"))
    assert not Store(tmp_path, "k0").acceptor.can_vote     # nor after a restart


def _execute(path: Path, statement: str) -> None:
    db = sqlite3.connect(path)
    db.execute(statement)
    db.commit()
    db.close()


def test_invalid_input_closes_only_its_own_connection():
    async def test() -> None:
        async def answer(call: dict) -> dict:
            if call["do"] == "no":
                raise ValueError("not today\nnor tomorrow")
            return {"got": call["n"]}

        service = RpcServer("test", answer)
        address = await service.listen("127.0.0.1", 0)
        good = RpcClient(*address)
        for garbage in (b"\x00\xff\n", b"[]\n", b"{}\n", b'{"do": 3}\n', b"GET / HTTP/1.1\r\n\r\n",
                        b"[" * 100_000 + b"\n", b"x" * 7_000_000):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(garbage)
            try:
                assert await asyncio.wait_for(reader.read(), 5.0) == b""
            except ConnectionError:
                pass
            writer.close()
            assert await good.call("yes", 2.0, n=1) == {"got": 1, "id": good.last_id}
        with pytest.raises(CallFailed, match="^not today$"):
            await good.call("no", 2.0)
        with pytest.raises(CallFailed, match="the call's fields"):
            await good.call("yes", 2.0)
        answers = await asyncio.gather(*(good.call("yes", 2.0, n=i) for i in range(40)))
        assert [answer["got"] for answer in answers] == list(range(40))
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
def test_faults_of_the_sections_are_reported(tmp_path, text, fault):
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


def test_command_line_publishes_shows_explains_halts_and_audits(tmp_path):
    async def test() -> None:
        async with Rig(Shape(ingresses=4, settle_s=30.0), 41) as rig:
            operator = tmp_path / "operator.toml"
            keepers = ["{}={}:{}".format(k, *a) for k, a in rig.keepers.items()]
            operator.write_text(f"schema = 1\n[keeper]\nkeepers = {json.dumps(keepers)}\n")
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
            # An ingress that is cut off is out of service, and `explain` says why.
            rig.cut_off("n2")
            await asyncio.sleep(2.5)
            code, out, _ = await larchwing("status", *config)
            assert code == 4 and out.index("n2 ") < out.index("n0 ")
            code, out, _ = await larchwing("explain", "n2", *config)
            assert code == 5 and "it sends nothing: no lease for" in out and "shut out" in out
            # An offered version waits for it and is halted by an operator; no ingress has acted on it.
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
            assert "unknown: no process of this ingress is on record at that time" in out
            assert (await larchwing("audit", *config, "--at", "never"))[0] == 2
            assert (await larchwing("explain", "n9", *config))[1].startswith(
                "n9 is not a member; members: n0, n1, n2, n3"
            )
            assert faults(rig.seen) == {}

    run(test(), 90.0)


def test_upgrade_of_an_ingress_during_a_rollout():
    """With two processes of one ingress, both have to activate the version, and the new one never goes back."""
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


def test_version_that_ingresses_cannot_prepare_is_halted_and_the_fleet_keeps_its_version():
    """The version names a plan that the settings of the ingresses lack."""
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


def test_second_machine_with_the_name_of_an_ingress_gets_no_lease_and_is_reported():
    async def test() -> None:
        async with Rig(Shape(ingresses=3), 44) as rig:
            number, address = rig.members["n1"].number, "127.0.0.1:1"
            fields = {"name": "n1", "life": "x", "origin": "elsewhere", "number": number, "zone": "z1",
                      "address": address, "acting": 0, "prepared": "", "fault": "", "others": 0, "revision": 0}
            # A name belongs to the first machine that reports it.  Without this wait, the second one was sometimes
            # faster under load and rightly got the name.
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


def test_publish_that_is_retried_at_another_keeper_publishes_once():
    async def test() -> None:
        async with Rig(Shape(ingresses=3), 45) as rig:
            answers = []
            for name in ("k0", "k1", "k0"):
                answers.append(await call_once(rig.keepers[name], "publish", 5.0, files=content_of(1), who="me",
                                               why="once", change="the same"))
            assert [answer["number"] for answer in answers] == [1, 1, 1]
            assert (await rig.view()).fleet.last == 1
            newest, local = [await call_once(rig.keepers["k1"], do, 2.0) for do in ("read", "glance")]
            assert newest["fleet"]["last"] == 1 and local["old"] and local["revision"] <= newest["revision"]
            with pytest.raises(CallRefused, match="is offered|has the same content"):
                await rig.fleet.change("publish", files=content_of(1), who="me", why="again")

    run(test(), 60.0)


def test_join_beyond_the_limit_of_members_is_refused():
    members = {f"n{i}": state.Member(i, "z", "a:1") for i in range(state.MAX_MEMBERS + 1)}
    with pytest.raises(state.StepRefused, match="1001 members exceed the limit of 1000"):
        state.join(state.initial_state("r", state.Bounds()), members)
