"""The operators' command against the real programs' deciders behind their real HTTP door, on loopback."""

import asyncio
import json
import threading
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from fennelpoint.system import operator_cli, settings
from fennelpoint.system.http_server import HttpServer
from fennelpoint.system.settings_schema import check_settings
from fennelpoint.testing.core_simulation import World

BOOT = """node_name=n\nnode_role=r\nip_address=10.1.0.8\navailability_zone=za\nregion=ra\nzones.za=ra\n
internal_ports=7600,7615\nseed_nodes=10.1.0.11:8200,10.2.0.5:8200\nfirst_start=true\nlimits.memory_mb=300\n
listen_addresses.public_http=10.1.0.8:8206\nrule_bounds.ttl_max_s=5\nrule_bounds.revocation_complete=true\nnew.one=1\n"""


@pytest.fixture
def core():
    """A founded core in simulated time, played on by a thread while its calls come over a socket."""
    world = World()
    for line in (Path(__file__).parent / "scenarios" / "site").read_text().splitlines():
        world.do(line.split())
    world.run(4.0)
    loop, ready, address = asyncio.new_event_loop(), threading.Event(), []

    def take(asking) -> None:
        world.asked.setdefault("", []).append(asking)   # replies are kept by identity
        leads = (c for c in world.cores.values() if c.registry.allocation.allocator is not None)
        at = next((c for c in leads if asking.call.name == "parts"), world.cores["a1"])
        world._roll(at, at.registry.on_call(asking, world.now))
        world.run(world.now + 0.5)
        if (reply := world.replies.get(id(asking))) is not None:
            asking.answer(reply)

    async def serve() -> None:
        web = HttpServer(loop, take)
        await web.listen("control_plane", ("127.0.0.1", 0))
        address.append("127.0.0.1:%d" % web.listeners[0].sockets[0].getsockname()[1])   # noqa: UP031
        ready.set()

    thread = threading.Thread(target=lambda: (loop.run_until_complete(serve()), loop.run_forever()), daemon=True)
    thread.start()
    ready.wait(5.0)
    yield address[0]
    loop.call_soon_threadsafe(loop.stop)
    thread.join(5.0)


def configuration(version: int, base: int, service: str = "svc") -> dict:
    return {"version": version, "base_version": base, "clusters": [{"name": "svc"}], "listener_table": [
        {"host": "h", "rule_set": [{"name": "r", "kind": "idempotent", "match_criteria": {"path_prefix": "/r/"},
                                    "route_action": {"service": service, "request_timeout_s": 1}}]}]}


def run(*argv: str) -> int:
    return operator_cli.main(list(argv))


def test_a_configuration_is_checked_applied_patched_and_read_back(core, tmp_path, capsys) -> None:
    file, patch = tmp_path / "c.json", tmp_path / "p.json"
    file.write_text(json.dumps(configuration(3, 0)))
    assert run("apply", str(file), "--core", core, "--dry-run") == operator_cli.DONE
    assert "+ routes r" in capsys.readouterr().out
    assert run("apply", str(file), "--core", core) == operator_cli.DONE
    patch.write_text(json.dumps({"version": 5, "base_version": 3, "remove": {"routes": ["r"]}, "upsert": {}}))
    assert run("patch", str(patch), "--core", core, "--dry-run") == operator_cli.DONE
    assert "- routes r" in capsys.readouterr().out
    # the first is not there
    assert run("patch", str(patch), "--core", "127.0.0.1:1", "--core", core) == operator_cli.DONE
    capsys.readouterr()
    assert run("get", "--core", core) == operator_cli.DONE
    held = json.loads(capsys.readouterr().out)
    assert held["version"] == 5 and held["listener_table"] == []
    assert run("evacuate", "za", "--core", core) == operator_cli.DONE
    assert run("status", "--core", core) == operator_cli.DONE
    assert "evacuated: za" in capsys.readouterr().out


def test_what_is_so_is_explained_and_what_is_new_is_watched(core, tmp_path, capsys) -> None:
    file = tmp_path / "c.json"
    value = configuration(3, 0)
    value["tenants"] = [{"name": "t1", "api_keys": ["k"], "rate_per_s": 20, "burst_size": 20}]
    file.write_text(json.dumps(value))
    assert run("apply", str(file), "--core", core) == operator_cli.DONE
    capsys.readouterr()
    assert run("explain", "route", "h", "/r/1", "--core", core, "--json") == operator_cli.DONE
    told = json.loads(capsys.readouterr().out)
    assert told["route"] == "r" and told["services"]["svc"]["may be sent to"] == ["s1", "s2"]
    assert run("evacuate", "zb", "--core", core) == operator_cli.DONE
    assert run("explain", "backend", "s2", "--core", core) == operator_cli.DONE
    assert "why not: zone zb is evacuated" in capsys.readouterr().out
    for _ in range(6):      # the duty comes and fronts ask
        assert run("explain", "tenant", "t1", "--core", core, "--json") == operator_cli.DONE
        told = json.loads(capsys.readouterr().out)
    assert told["rate_per_s"] == 20 and 0.5 < told["lent"] <= 1.0 and told["fronts"]["fa"]["part"] > 0.1
    value["version"], value["base_version"], value["tenants"][0]["rate_per_s"] = 5, 3, 3
    file.write_text(json.dumps(value))
    # thin for three fronts: nobody holds parts of it
    assert run("apply", str(file), "--core", core) == operator_cli.DONE
    for _ in range(8):
        assert run("explain", "tenant", "t1", "--core", core) == operator_cli.DONE
    assert "drawn from its pool:" in capsys.readouterr().out
    for wrong in (("route", "h", "/x/"), ("route", "nobody", "/r/"), ("tenant", "t9"), ("backend", "s9")):
        assert run("explain", *wrong, "--core", core) == operator_cli.FAULTY
    assert run("watch", "--for", "0.1", "--core", core) == operator_cli.DONE
    assert "evacuated: zb" in capsys.readouterr().out


def test_a_snapshot_founds_a_core_anew_and_nothing_else(core, tmp_path, capsys) -> None:
    file, kept = tmp_path / "c.json", tmp_path / "kept"
    file.write_text(json.dumps(configuration(3, 0)))
    assert run("snapshot", str(kept), "--core", core) == operator_cli.REFUSED      # there is nothing yet
    assert run("apply", str(file), "--core", core) == operator_cli.DONE
    assert run("evacuate", "za", "--core", core) == operator_cli.DONE
    assert run("snapshot", str(kept), "--core", core) == operator_cli.DONE
    assert run("revive", str(kept), "--core", core) == operator_cli.DONE           # it holds just that: sent again
    file.write_text(json.dumps(configuration(4, 3)))
    assert run("apply", str(file), "--core", core) == operator_cli.DONE
    assert run("revive", str(kept), "--core", core) == operator_cli.REFUSED
    assert "the core lives" in capsys.readouterr().err
    held = json.loads(kept.read_text())
    held["snapshot"]["version"] = 9
    kept.write_text(json.dumps(held))
    assert run("revive", str(kept), "--core", core) == operator_cli.FAULTY
    assert "checksum" in capsys.readouterr().err
    kept.write_text(kept.read_text()[:50])
    assert run("revive", str(kept), "--core", core) == operator_cli.FAULTY
    assert str(kept) in capsys.readouterr().err


def test_a_new_core_takes_a_snapshot_and_goes_on_from_there(tmp_path) -> None:
    old, new = World(), World(2)
    for world in (old, new):
        for line in (Path(__file__).parent / "scenarios" / "site").read_text().splitlines():
            world.do(line.split())
        world.run(2.0)
    old.put(3, 0, "a1")
    old.run(3.0)
    old.call("POST", "/api/evacuation/zb", None, "b1", "evacuate")
    old.run(4.0)
    old.call("GET", "/api/snapshot", None, "c1", "snapshot")
    old.run(5.0)
    snapshot = old.replies[id(old.asked["snapshot"][-1])].value
    assert snapshot["version"] == 3 and snapshot["evac"] == ["zb"]
    new.call("PUT", "/api/snapshot", snapshot, "b1", "revive")
    new.run(4.0)
    new.put(3, 0, "a1", "again")        # it was taken by the old core: told so
    new.put(5, 3, "c1")
    new.run(6.0)
    assert [new.status(label) for label in ("revive", "again", "put 5")] == [200, 200, 200]
    assert new.cores["a2"].registry.cluster_state["evac"] == ["zb"] and new.fronts["fa"].version == 5


def test_who_does_not_reckon_names_who_does() -> None:
    world = World()
    for line in (Path(__file__).parent / "scenarios" / "site").read_text().splitlines():
        world.do(line.split())
    world.put(3, 0, "a1")
    world.run(4.0)
    (who,) = (ip for ip, core in world.cores.items() if core.registry.allocation.allocator is not None)
    for ip in world.cores:
        world.call("GET", "/api/parts", None, ip, ip)
        reply = world.replies[id(world.asked[ip][-1])]
        assert reply.status == 200 if ip == who else ("Location", f"http://{who}:8200/api/parts") in reply.headers


def test_exit_codes_tell_a_fault_a_refusal_and_nobody_there(core, tmp_path, capsys) -> None:
    file = tmp_path / "c.json"
    file.write_text(json.dumps(configuration(3, 0, "nobody")))
    assert run("apply", str(file), "--core", core) == operator_cli.FAULTY
    assert "no service nobody" in capsys.readouterr().err
    file.write_text(json.dumps(configuration(3, 2)))
    assert run("apply", str(file), "--core", core) == operator_cli.REFUSED
    assert core in capsys.readouterr().err
    assert run("status", "--core", "127.0.0.1:1") == operator_cli.UNCLEAR
    assert "127.0.0.1:1" in capsys.readouterr().err


def test_the_catalogue_of_events_is_that_of_the_code() -> None:
    assert (Path(__file__).parents[2] / "docs" / "system-events.md").read_text() == operator_cli.catalogue()


LINES = BOOT.split("\n")
WORDS = st.sampled_from(["", "x", "true", "-1", "nan", "7600", "7600,7601", "7600,7615", "1:2:3", "10.0.0.1:0", "5",
                         "1e9"])


@given(st.integers(0, len(LINES) - 1), st.none() | WORDS)
def test_a_program_and_the_check_find_the_same_files_good(tmp_path_factory, at: int, value: str | None) -> None:
    lines = list(LINES)
    lines[at] = "" if value is None else f"{lines[at].partition('=')[0]}={value}" if "=" in lines[at] else lines[at]
    path = tmp_path_factory.mktemp("boot") / "node.conf"
    path.write_text("\n".join(lines))
    one, other = settings.read(str(path)), check_settings(str(path))
    assert isinstance(one, Ok) is isinstance(other, Ok), (lines[at], one, other)
    if isinstance(one, Err):
        assert str(path) in str(one.err_value) and "\n" not in str(one.err_value)
    else:
        assert list(one.ok_value.seed_nodes) == list(other.ok_value.seed_nodes)
        assert one.ok_value.first_start == other.ok_value.first_start
