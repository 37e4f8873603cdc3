"""SIGHUP while a program starts: it is held until it can be followed, and ends no process."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path

import pytest

from fennelpoint.system.mesh import ROLES
from fennelpoint.testing.process import free_port, free_ports

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """node_name=n
node_role=r
ip_address=127.0.0.1
availability_zone=za
region=ra
zones.za=ra
internal_ports={first},{last}
seed_nodes=127.0.0.1:{control}
first_start=true
data_directory={folder}
listen_addresses.public_http=127.0.0.1:{public}
listen_addresses.readiness=127.0.0.1:{readiness}
listen_addresses.control_plane=127.0.0.1:{control}
listen_addresses.directory_service=127.0.0.1:{directory}
"""
START_TIMEOUT_S = 20.0


def write_settings(folder: Path) -> Path:
    first = free_ports(len(ROLES))
    ports = {name: free_port() for name in ("control", "public", "readiness", "directory")}
    path = folder / "node.conf"
    path.write_text(SETTINGS.format(first=first, last=first + len(ROLES) - 1, folder=folder, **ports))
    return path


def has_reload_in(process: subprocess.Popen, field: str) -> bool:
    """Whether SIGHUP is in a set of signals of a process, by the field's name in its status."""
    signals = Path(f"/proc/{process.pid}/status").read_text().split(f"{field}:")[1].split()[0]
    return bool(int(signals, 16) >> (signal.SIGHUP - 1) & 1)


def wait_until(process: subprocess.Popen, log: Path, condition: Callable[[], bool]) -> None:
    ends_at = time.monotonic() + START_TIMEOUT_S
    while not condition():
        assert process.poll() is None, f"it ended with {process.returncode}: {log.read_text()}"
        assert time.monotonic() < ends_at, log.read_text()
        time.sleep(0.001)


def holds_or_runs(process: subprocess.Popen, log: Path) -> bool:
    return has_reload_in(process, "SigBlk") or "starts on n" in log.read_text()


@contextmanager
def stopped_while_it_starts(role: str, path: Path, log: Path) -> Iterator[subprocess.Popen]:
    """A program that is stopped while it holds signals back; started anew if it was too quick to be stopped then."""
    for _ in range(20):
        with log.open("w") as output:
            command = [sys.executable, "-m", "fennelpoint.system", role, "--settings", str(path)]
            process = subprocess.Popen(command, cwd=ROOT, stdout=output, stderr=output, env=os.environ)
        try:
            wait_until(process, log, partial(holds_or_runs, process, log))
            process.send_signal(signal.SIGSTOP)
            if has_reload_in(process, "SigBlk"):
                yield process
                return
        finally:
            process.kill()
            process.wait()
    raise AssertionError("no start was slow enough")


# Guards against a process that a reload ends in its first moments, and against a reload that is lost.
@pytest.mark.parametrize("role", ROLES)
def test_reload_of_a_program_that_starts_is_followed_once_it_runs(tmp_path: Path, role: str) -> None:
    path, log = write_settings(tmp_path), tmp_path / "log"
    with stopped_while_it_starts(role, path, log) as process:
        process.send_signal(signal.SIGHUP)
        assert has_reload_in(process, "ShdPnd")
        process.send_signal(signal.SIGCONT)
        wait_until(process, log, lambda: "starts on n" in log.read_text())
        assert not has_reload_in(process, "ShdPnd") and not has_reload_in(process, "SigBlk")
        path.write_text("node_name=\n")
        process.send_signal(signal.SIGHUP)
        wait_until(process, log, lambda: "110" in log.read_text())  # the changed file was read and is invalid
