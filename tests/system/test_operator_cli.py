"""The command line for operators against the real registries behind the real HTTP server, on loopback."""

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
from fennelpoint.testing.core_simulation import CoreSimulation

SETTINGS_TEXT = """node_name=n\nnode_role=r\nip_address=10.1.0.8\navailability_zone=za\nregion=ra\nzones.za=ra\n
internal_ports=7600,7615\nseed_nodes=10.1.0.11:8200,10.2.0.5:8200\nfirst_start=true\nlimits.memory_mb=300\n
listen_addresses.public_http=10.1.0.8:8206\nrule_bounds.ttl_max_s=5\nrule_bounds.revocation_complete=true\nnew.one=1\n"""


@pytest.fixture
def core():
    """A founded core in simulated time; a thread serves its API over a socket and advances the time at each call."""
    world = CoreSimulation()
    for line in (Path(__file__).parent / "scenarios" / "site").read_text().splitlines():
        world.execute(line.split())
    world.run(4.0)
    loop, ready, address = asyncio.new_event_loop(), threading.Event(), []

    def handle(request) -> None:
        world.calls_by_label.setdefault("", []).append(request)   # replies are found by the identity of the request
        leaders = (core for core in world.cores.values() if core.registry.allocation.allocator is not None)
        core = next((core for core in leaders if request.call.name == "parts"), world.cores["a1"])
        world._run_registry_actions(core, core.registry.on_call(request, world.now))
        world.run(world.now + 0.5)
        if (reply := world.replies.get(id(request))) is not None:
            request.answer(reply)

    async def serve() -> None:
        server = HttpServer(loop, handle)
        await server.listen("control_plane", ("127.0.0.1", 0))
        address.append("127.0.0.1:%d" % server.listeners[0].sockets[0].getsockname()[1])   # noqa: UP031
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
    assert run("apply", str(file), "--core", core, "--dry-run") == operator_cli.EXIT_OK
    assert "+ routes r" in capsys.readouterr().out
    assert run("apply", str(file), "--core", core) == operator_cli.EXIT_OK
    patch.write_text(json.dumps({"version": 5, "base_version": 3, "remove": {"routes": ["r"]}, "upsert": {}}))
    assert run("patch", str(patch), "--core", core, "--dry-run") == operator_cli.EXIT_OK
    assert "- routes r" in capsys.readouterr().out
    # the first is not there
    assert run("patch", str(patch), "--core", "127.0.0.1:1", "--core", core) == operator_cli.EXIT_OK
    capsys.readouterr()
    assert run("get", "--core", core) == operator_cli.EXIT_OK
    state = json.loads(capsys.readouterr().out)
    assert state["version"] == 5 and state["listener_table"] == []
    assert run("evacuate", "za", "--core", core) == operator_cli.EXIT_OK
    assert run("status", "--core", core) == operator_cli.EXIT_OK
    assert "evacuated: za" in capsys.readouterr().out


def test_explain_gives_reasons_and_watch_prints_changes(core, tmp_path, capsys) -> None:
    file = tmp_path / "c.json"
    value = configuration(3, 0)
    value["tenants"] = [{"name": "t1", "api_keys": ["k"], "rate_per_s": 20, "burst_size": 20}]
    file.write_text(json.dumps(value))
    assert run("apply", str(file), "--core", core) == operator_cli.EXIT_OK
    capsys.readouterr()
    assert run("explain", "route", "h", "/r/1", "--core", core, "--json") == operator_cli.EXIT_OK
    explanation = json.loads(capsys.readouterr().out)
    assert explanation["route"] == "r" and explanation["services"]["svc"]["may be sent to"] == ["s1", "s2"]
    assert run("evacuate", "zb", "--core", core) == operator_cli.EXIT_OK
    assert run("explain", "backend", "s2", "--core", core) == operator_cli.EXIT_OK
    assert "why not: zone zb is evacuated" in capsys.readouterr().out
    for _ in range(6):      # a leader takes over the allocation and proxies request shares
        assert run("explain", "tenant", "t1", "--core", core, "--json") == operator_cli.EXIT_OK
        explanation = json.loads(capsys.readouterr().out)
    assert explanation["rate_per_s"] == 20 and 0.5 < explanation["lent"] <= 1.0 and (
        explanation["fronts"]["fa"]["part"] > 0.1)
    value["version"], value["base_version"], value["tenants"][0]["rate_per_s"] = 5, 3, 3
    file.write_text(json.dumps(value))
    # too small a rate for three proxies: no proxy holds a share of it
    assert run("apply", str(file), "--core", core) == operator_cli.EXIT_OK
    for _ in range(8):
        assert run("explain", "tenant", "t1", "--core", core) == operator_cli.EXIT_OK
    assert "drawn from its pool:" in capsys.readouterr().out
    for wrong in (("route", "h", "/x/"), ("route", "nobody", "/r/"), ("tenant", "t9"), ("backend", "s9")):
        assert run("explain", *wrong, "--core", core) == operator_cli.EXIT_INVALID_INPUT
    assert run("watch", "--for", "0.1", "--core", core) == operator_cli.EXIT_OK
    assert "evacuated: zb" in capsys.readouterr().out


def test_a_snapshot_is_refused_by_a_running_core_with_other_state_and_when_damaged(core, tmp_path, capsys) -> None:
    file, saved = tmp_path / "c.json", tmp_path / "saved"
    file.write_text(json.dumps(configuration(3, 0)))
    assert run("snapshot", str(saved), "--core", core) == operator_cli.EXIT_REFUSED  # there is no configuration
    assert run("apply", str(file), "--core", core) == operator_cli.EXIT_OK
    assert run("evacuate", "za", "--core", core) == operator_cli.EXIT_OK
    assert run("snapshot", str(saved), "--core", core) == operator_cli.EXIT_OK
    assert run("revive", str(saved), "--core", core) == operator_cli.EXIT_OK  # the state is the same
    file.write_text(json.dumps(configuration(4, 3)))
    assert run("apply", str(file), "--core", core) == operator_cli.EXIT_OK
    assert run("revive", str(saved), "--core", core) == operator_cli.EXIT_REFUSED
    assert "the core is in use" in capsys.readouterr().err
    state = json.loads(saved.read_text())
    state["snapshot"]["version"] = 9
    saved.write_text(json.dumps(state))
    assert run("revive", str(saved), "--core", core) == operator_cli.EXIT_INVALID_INPUT
    assert "checksum" in capsys.readouterr().err
    saved.write_text(saved.read_text()[:50])
    assert run("revive", str(saved), "--core", core) == operator_cli.EXIT_INVALID_INPUT
    assert str(saved) in capsys.readouterr().err


def test_a_new_core_restores_a_snapshot_and_continues_from_it(tmp_path) -> None:
    old, new = CoreSimulation(), CoreSimulation(2)
    for world in (old, new):
        for line in (Path(__file__).parent / "scenarios" / "site").read_text().splitlines():
            world.execute(line.split())
        world.run(2.0)
    old.put(3, 0, "a1")
    old.run(3.0)
    old.call("POST", "/api/evacuation/zb", None, "b1", "evacuate")
    old.run(4.0)
    old.call("GET", "/api/snapshot", None, "c1", "snapshot")
    old.run(5.0)
    snapshot = old.replies[id(old.calls_by_label["snapshot"][-1])].value
    assert snapshot["version"] == 3 and snapshot["evac"] == ["zb"]
    new.call("PUT", "/api/snapshot", snapshot, "b1", "revive")
    new.run(4.0)
    new.put(3, 0, "a1", "again")        # the old core accepted it already
    new.put(5, 3, "c1")
    new.run(6.0)
    assert [new.status(label) for label in ("revive", "again", "put 5")] == [200, 200, 200]
    assert new.cores["a2"].registry.cluster_state["evac"] == ["zb"] and new.proxies["fa"].version == 5


def test_a_machine_that_does_not_allocate_redirects_to_the_one_that_does() -> None:
    world = CoreSimulation()
    for line in (Path(__file__).parent / "scenarios" / "site").read_text().splitlines():
        world.execute(line.split())
    world.put(3, 0, "a1")
    world.run(4.0)
    (leader,) = (ip for ip, core in world.cores.items() if core.registry.allocation.allocator is not None)
    for ip in world.cores:
        world.call("GET", "/api/parts", None, ip, ip)
        reply = world.replies[id(world.calls_by_label[ip][-1])]
        assert reply.status == 200 if ip == leader else (
            "Location", f"http://{leader}:8200/api/parts") in reply.headers


def test_exit_codes_distinguish_invalid_input_refusal_and_unreachable_core(core, tmp_path, capsys) -> None:
    file = tmp_path / "c.json"
    file.write_text(json.dumps(configuration(3, 0, "nobody")))
    assert run("apply", str(file), "--core", core) == operator_cli.EXIT_INVALID_INPUT
    assert "no service nobody" in capsys.readouterr().err
    file.write_text(json.dumps(configuration(3, 2)))
    assert run("apply", str(file), "--core", core) == operator_cli.EXIT_REFUSED
    assert core in capsys.readouterr().err
    assert run("status", "--core", "127.0.0.1:1") == operator_cli.EXIT_INCONCLUSIVE
    assert "127.0.0.1:1" in capsys.readouterr().err


def test_the_page_of_log_events_matches_the_code() -> None:
    assert (Path(__file__).parents[2] / "docs" / "system-events.md").read_text() == operator_cli.event_table()


LINES = SETTINGS_TEXT.split("\n")
FIELD_VALUES = st.sampled_from(["", "x", "true", "-1", "nan", "7600", "7600,7601", "7600,7615", "1:2:3",
                                "10.0.0.1:0", "5", "1e9"])


@given(st.integers(0, len(LINES) - 1), st.none() | FIELD_VALUES)
def test_a_program_and_the_check_accept_the_same_settings_files(
        tmp_path_factory, index: int, value: str | None) -> None:
    lines = list(LINES)
    lines[index] = ("" if value is None else f"{lines[index].partition('=')[0]}={value}" if "=" in lines[index]
                    else lines[index])
    path = tmp_path_factory.mktemp("settings") / "node.conf"
    path.write_text("\n".join(lines))
    parsed, validated = settings.read(str(path)), check_settings(str(path))
    assert isinstance(parsed, Ok) is isinstance(validated, Ok), (lines[index], parsed, validated)
    if isinstance(parsed, Err):
        assert str(path) in str(parsed.err_value) and "\n" not in str(parsed.err_value)
    else:
        assert list(parsed.ok_value.seed_nodes) == list(validated.ok_value.seed_nodes)
        assert parsed.ok_value.first_start == validated.ok_value.first_start
