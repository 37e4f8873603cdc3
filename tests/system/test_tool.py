"""The operators' command against the real programs' deciders behind their real HTTP door, on loopback."""

import asyncio
import json
import threading
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from fennelpoint.standins.core_world import World
from fennelpoint.system import settings, tool
from fennelpoint.system.checks import check_settings
from fennelpoint.system.web import Web

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
        world._roll(world.cores["a1"], world.cores["a1"].desk.call(asking, world.now))
        world.run(world.now + 0.5)
        if (reply := world.replies.get(id(asking))) is not None:
            asking.answer(reply)

    async def serve() -> None:
        web = Web(loop, take)
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
    return tool.main(list(argv))


def test_a_configuration_is_checked_applied_patched_and_read_back(core, tmp_path, capsys) -> None:
    file, patch = tmp_path / "c.json", tmp_path / "p.json"
    file.write_text(json.dumps(configuration(3, 0)))
    assert run("apply", str(file), "--core", core, "--dry-run") == tool.DONE
    assert "+ routes r" in capsys.readouterr().out
    assert run("apply", str(file), "--core", core) == tool.DONE
    patch.write_text(json.dumps({"version": 5, "base_version": 3, "remove": {"routes": ["r"]}, "upsert": {}}))
    assert run("patch", str(patch), "--core", core, "--dry-run") == tool.DONE
    assert "- routes r" in capsys.readouterr().out
    assert run("patch", str(patch), "--core", "127.0.0.1:1", "--core", core) == tool.DONE     # the first is not there
    capsys.readouterr()
    assert run("get", "--core", core) == tool.DONE
    held = json.loads(capsys.readouterr().out)
    assert held["version"] == 5 and held["listener_table"] == []
    assert run("evacuate", "za", "--core", core) == tool.DONE
    assert run("status", "--core", core) == tool.DONE
    assert "evacuated: za" in capsys.readouterr().out


def test_exit_codes_tell_a_fault_a_refusal_and_nobody_there(core, tmp_path, capsys) -> None:
    file = tmp_path / "c.json"
    file.write_text(json.dumps(configuration(3, 0, "nobody")))
    assert run("apply", str(file), "--core", core) == tool.FAULTY
    assert "no service nobody" in capsys.readouterr().err
    file.write_text(json.dumps(configuration(3, 2)))
    assert run("apply", str(file), "--core", core) == tool.REFUSED
    assert core in capsys.readouterr().err
    assert run("status", "--core", "127.0.0.1:1") == tool.UNCLEAR
    assert "127.0.0.1:1" in capsys.readouterr().err


def test_the_catalogue_of_events_is_that_of_the_code() -> None:
    assert (Path(__file__).parents[2] / "docs" / "system-events.md").read_text() == tool.catalogue()


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
