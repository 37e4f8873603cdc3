"""The `larchwing` command as an operator meets it."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from fennelpoint.cli import main
from fennelpoint.demo import EXAMPLE, SETTINGS

ROOT = Path(__file__).parent.parent


def larchwing(*words: object):
    return CliRunner().invoke(main, [str(word) for word in words])


@pytest.fixture
def config(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"settings": SETTINGS}))
    return path


def test_check_of_sound_files_ends_with_0(tmp_path, config):
    operator = tmp_path / "operator.toml"
    operator.write_text(f"[routes]\ndescription = {json.dumps(str(EXAMPLE))}\n")
    done = larchwing("check", EXAMPLE, operator, ROOT / "deploy/operator.toml", "--config", config)
    assert (done.exit_code, done.stderr) == (0, "") and done.stdout.startswith("no fault in")
    assert json.loads(larchwing("check", EXAMPLE, "--json").stdout) == {"faults": []}


def test_check_of_faulty_files_ends_with_2_and_tells_all(tmp_path, config):
    faulty, operator = tmp_path / "d.yaml", tmp_path / "operator.toml"
    sound = EXAMPLE.read_text()
    faulty.write_text(sound.replace("effect: unsafe", "effect: safe").replace("class: look", "class: x"))
    operator.write_text("[routes]\ndescription = 'd.yaml'\n")
    done = larchwing("check", operator, tmp_path / "x.txt", "--config", config)
    assert done.exit_code == 2 and not done.stdout
    assert f"{faulty}:41: /appointments POST: it says effect: safe" in done.stderr
    assert f"{faulty}:8: /slots GET: the settings know no class 'x'" in done.stderr
    assert "x.txt: an operator file ends in .toml" in done.stderr
    told = json.loads(larchwing("check", faulty, "--config", config, "--json").stdout)["faults"]
    assert {"file": str(faulty), "line": 41} == {k: told[-1][k] for k in ("file", "line")}


def test_check_by_a_configuration_that_cannot_be_read(tmp_path):
    done = larchwing("check", EXAMPLE, "--config", tmp_path / "none.json")
    assert done.exit_code == 2 and "none.json" in done.stderr


def test_routes_prints_the_table(config):
    lines = larchwing("routes", EXAMPLE, "--config", config).stdout.splitlines()
    assert len(lines) == 6 and lines[4].split()[:4] == ["POST", "/v1/appointments", "book", "unsafe"]
    rows = json.loads(larchwing("routes", EXAMPLE, "--config", config, "--json").stdout)
    rule = {"in": "query", "name": "seats", "default": 1.0, "minimum": 1.0, "maximum": 3.0}
    assert rows[3]["units"] == rule
    assert rows[2]["key"] == {"in": "header", "name": "Idempotency-Key"} and rows[0]["effect"] == "safe"


@pytest.mark.parametrize("method, url, code, says", [
    ("GET", "/v1/slots?day=1", 0, "route   GET /v1/slots"),
    ("post", "/v1/appointments?seats=2", 0, "units   2 (query seats, 1 to 3, else 1): said at the operation"),
    ("HEAD", "/v1/slots", 0, "a HEAD that is not described is asked of the GET"),
    ("GET", "https://booking.example.org/v1/slots?day=1", 0, "route   GET /v1/slots"),
    ("GET", "/v1/slots?a#b", 1, "400: the target holds a fragment"),
    ("GET", "/v1/%73lots", 0, "the path is read as /v1/slots"),
    ("POST", "/v1/appointments?seats=9", 1, "400: seats is not between 1 and 3"),
    ("GET", "/none", 1, "404"), ("DELETE", "/v1/slots", 1, "405: the path has other methods: Allow: GET"),
    ("OPTIONS", "/v1/slots", 1, "Allow: GET, HEAD, OPTIONS"),
    ("GET", "/a/../b", 1, "400: the path holds a dot")])
def test_explain_tells_the_route_and_why(config, method, url, code, says):
    done = larchwing("explain", EXAMPLE, method, url, "--config", config)
    assert done.exit_code == code and says in done.stdout


def test_routes_of_a_faulty_description_end_with_2(tmp_path):
    path = tmp_path / "d.yaml"
    path.write_text("openapi: 3.1.0")
    assert larchwing("routes", path).exit_code == 2 and larchwing("explain", path, "GET", "/").exit_code == 2


def test_demo_serves_agencies_and_ends_by_itself():
    done = subprocess.run([sys.executable, "-m", "fennelpoint.cli", "demo", "--seconds", "2"], cwd=ROOT,
                          capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
    rows = [line.split() for line in done.stdout.splitlines() if line.startswith(("Ashgrove", "Dover"))]
    assert int(rows[-1][-6]) > 10 and "0 of them failed" in done.stdout
    assert "Over their quota: none" in done.stdout
    assert not done.stderr


def test_demo_ends_cleanly_by_an_interrupt():
    # A shell starts what runs in its background with interrupts ignored, and so do we where CI is run like that.
    process = subprocess.Popen([sys.executable, "-m", "fennelpoint.cli", "demo", "--seconds", "600"],
                               cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
                               preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL))
    try:
        for line in process.stdout:
            if line.startswith("Dover"):
                break
        process.send_signal(signal.SIGINT)
        out, err = process.communicate(timeout=30)
    finally:
        process.kill()
        process.wait()
    assert process.returncode == 0 and "ended early" in out and not err


def test_ingress_with_the_part_off_loads_none_of_it():
    code = ("import sys, fennelpoint.__main__\n"
            "parts = ('fennelpoint.routes', 'fennelpoint.operator_config', 'fennelpoint.net.route_matching',\n"
            "         'fennelpoint.testing', 'fennelpoint.cli', 'fennelpoint.xds', 'fennelpoint.bgp',\n"
            "         'fennelpoint.net.heartbeat', 'fennelpoint.fleet', 'fennelpoint.net.process_group')\n"
            "libraries = ('yaml', 'jsonschema_rs', 'openapi_spec_validator', 'click', 'tomllib', 'grpc',\n"
            "             'structlog', 'aetcd', 'sqlite3')\n"
            "print([m for m in sys.modules if m.startswith(parts) or m.split('.')[0] in libraries])\n")
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.stdout.strip() == "[]", done.stderr


def test_ingress_with_a_description_loads_no_yaml_and_no_validator(tmp_path, config):
    """They are the business of the process that reads it."""
    operator = tmp_path / "operator.toml"
    operator.write_text(f"[routes]\ndescription = {json.dumps(str(EXAMPLE))}\n")
    code = ("import asyncio, sys, fennelpoint.__main__ as program\n"
            "from fennelpoint.settings import from_json\n"
            "import json\n"
            "settings = from_json(json.load(open(sys.argv[2]))['settings'])\n"
            "nine = ('127.0.0.1', 9)\n"
            "config = program.Config('n0', nine, nine, nine, 1, 1024, settings, None)\n"
            "program.load_operator_file(config, sys.argv[1])\n"
            "async def make(): return len(program.Ingress(asyncio.get_running_loop(), config)"
            ".server.reader.table.routes)\n"
            "routes = asyncio.run(make())\n"
            "libraries = ('yaml', 'jsonschema_rs', 'openapi_spec_validator', 'click')\n"
            "print(routes, [m for m in sys.modules if m.split('.')[0] in libraries])\n")
    done = subprocess.run([sys.executable, "-c", code, str(operator), str(config)], cwd=ROOT,
                          capture_output=True, text=True, timeout=60, env={**os.environ})
    assert done.stdout.strip() == "5 []", done.stderr


def test_program_goes_by_a_description_from_its_start(tmp_path):
    """The whole program, its own process: the example, SIGHUP, and a clean end."""
    import asyncio

    from fennelpoint.testing import Backend, Count, List, member, read_message
    from fennelpoint.testing.process import IngressProcess

    async def play() -> int:
        backend, count = Backend(), Count()
        discovery = List([member("s-0", await backend.start())])
        path = tmp_path / "d.yaml"
        path.write_text(EXAMPLE.read_text())
        ingress = IngressProcess(SETTINGS, await discovery.start(), await count.start(), path)
        try:
            await ingress.start()

            async def status(target: str) -> str:
                reader, writer = await asyncio.open_connection(*ingress.address)
                writer.write((f"GET {target} HTTP/1.1\r\nHost: a\r\nX-Txn: {time.monotonic_ns()}\r\n"
                              "Api-Plan: basic\r\nCookie: account=0000000000000001\r\n"
                              "X-Remaining-Ms: 1500\r\n\r\n").encode())
                first, _, _ = await read_message(reader)
                writer.close()
                return first.split()[1]

            assert [await status("/v1/slots"), await status("/v1/none")] == ["200", "404"]
            path.write_text(EXAMPLE.read_text().replace("/slots:", "/none:"))
            ingress.reload()
            end = time.monotonic() + 20.0
            while await status("/v1/none") != "200" and time.monotonic() < end:
                await asyncio.sleep(0.02)
            assert [await status("/v1/slots"), await status("/v1/none")] == ["404", "200"]
        finally:
            code = await ingress.stop()
            for fake in (backend, count, discovery):
                fake.stop()
        return code

    assert asyncio.run(play()) == 0
