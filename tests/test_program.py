"""The program as it is started: its configuration, its signals, its exit."""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest

from fennelpoint.testing import SETTINGS, member
from fennelpoint.testing.process import free_port

ROOT = Path(__file__).parent.parent


def config(**changes) -> dict:
    return {"name": "n0", "listen": f"127.0.0.1:{free_port()}", "discovery": "127.0.0.1:1",
            "counter": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 1, "complete": True, "members": [member("s-0", "127.0.0.1:1")]},
            "settings": SETTINGS, **changes}


def start(path: Path, value: object) -> subprocess.Popen:
    path.write_text(value if isinstance(value, str) else json.dumps(value))
    return subprocess.Popen([sys.executable, "-m", "fennelpoint"], cwd=ROOT, stderr=subprocess.PIPE,
                            env={**os.environ, "BALANCER_CONFIG": str(path)})


def without(settings: dict, name: str) -> dict:
    return {key: value for key, value in settings.items() if key != name}


@pytest.mark.parametrize("changes, says", [
    (dict(listen="here"), "listen"),
    (dict(discovery=None), "discovery"),
    (dict(counter=None), "counter"),
    (dict(seed="xyz"), "seed"),
    (dict(limits={"sockets": "many"}), "limits.sockets"),
    (dict(known={"revision": 1}), "known.complete"),
    (dict(settings=without(SETTINGS, "me")), "setting me is missing"),
    (dict(settings={**SETTINGS, "tick_s": "often"}), "setting tick_s"),
    (dict(settings={**SETTINGS, "grades": []}), "setting grades.count"),
    (dict(settings={**SETTINGS, "contracts": [{"name": "x", "pays": True}]}), "contracts.0.pays"),
])
def test_bad_configuration_ends_with_one_line_that_names_the_field(tmp_path, changes, says):
    process = start(tmp_path / "config.json", config(**changes))
    _, errors = process.communicate(timeout=30)
    lines = errors.decode().splitlines()
    assert process.returncode != 0 and len(lines) == 1 and says in lines[0]


def test_program_starts_by_what_it_knew_reloads_on_sighup_and_stops_on_sigterm(tmp_path):
    value = config()
    process = start(tmp_path / "config.json", value)
    try:
        for line in process.stderr:
            if b"is ready" in line:
                break
        host, port = value["listen"].split(":")
        with socket.create_connection((host, port), timeout=10) as client:
            client.sendall(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
            assert client.recv(4096).startswith(b"HTTP/1.1 200 OK")
            process.send_signal(signal.SIGHUP)
            for line in process.stderr:
                if b"configuration anew" in line:
                    break
            assert process.poll() is None
            process.send_signal(signal.SIGTERM)
            assert process.wait(timeout=30) == 0
    finally:
        if process.poll() is None:
            process.kill()
        process.communicate()


def ready_again(host: str, port: int) -> bool:
    """Whether it says yes within 20 s; connections may be closed unheard until then."""
    end = time.monotonic() + 20.0
    while time.monotonic() < end:
        try:
            with socket.create_connection((host, port), timeout=10) as client:
                client.sendall(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                if client.recv(4096).startswith(b"HTTP/1.1 200 OK"):
                    return True
        except OSError:
            pass
        time.sleep(0.05)
    return False


def with_descriptors(most: int, path: Path, told: int) -> tuple[subprocess.Popen, str, int]:
    """The program with so many descriptors, once it is ready; `told` is what its limits say."""
    value = config(limits={"sockets": told})
    path.write_text(json.dumps(value))
    process = subprocess.Popen(
        [sys.executable, "-m", "fennelpoint"], cwd=ROOT, stderr=subprocess.PIPE,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (most, most)))
    for line in process.stderr:
        if b"is ready" in line:
            break
    host, port = value["listen"].split(":")
    return process, host, int(port)


def test_program_survives_running_out_of_descriptors(tmp_path):
    """A crowd of connections must not take along those that come once it has left."""
    process, host, port = with_descriptors(64, tmp_path / "config.json", told=64)
    crowd = []
    try:
        for _ in range(150):
            client = socket.create_connection((host, port), timeout=10)
            client.sendall(b"GET /api HTTP/1.1\r\nX-Txn: ")  # begun, so not idle: none may be closed for it
            crowd.append(client)
        for client in crowd:
            client.close()
        assert ready_again(host, port) and process.poll() is None
    finally:
        process.kill()
        process.communicate()


def test_deploy_file_names_what_is_there():
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert all((ROOT / path).exists() for path in deploy["policy"] + deploy["node"])
    assert deploy["run"].endswith("-m fennelpoint") and deploy["sim"].endswith("-m fennelpoint.adapter")


def test_a_restart_goes_by_the_list_it_knew_at_once_where_asking_is_put_off(tmp_path):
    """Discovery is asked at a time of our own there; waiting for it left clients without an ingress."""
    settings = {**SETTINGS, "discovery": "ask", "balancers": 40}
    process = start(tmp_path / "config.json", config(settings=settings))
    try:
        lines = [process.stderr.readline() for _ in range(1)]
        while b"is ready" not in lines[-1]:
            lines.append(process.stderr.readline())
        assert not any(b"discovery" in line for line in lines)
    finally:
        process.kill()
        process.communicate()


def test_accepting_does_not_spin_while_there_is_no_descriptor_left(tmp_path):
    """The kernel goes on telling of connections that can't be accepted; the loop must not just ask again."""
    # It believes that it has more, so it closes nobody for room.
    process, host, port = with_descriptors(48, tmp_path / "config.json", told=4096)
    crowd = []
    try:
        for _ in range(120):
            crowd.append(socket.create_connection((host, port), timeout=10))

        def cpu() -> float:
            fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

        began = cpu()
        time.sleep(1.5)     # less than silent ones are left to stand
        assert cpu() - began < 0.45 and process.poll() is None
        for client in crowd:
            client.close()
        assert ready_again(host, port) and process.poll() is None
    finally:
        process.kill()
        process.communicate()
