"""One ingress as a process of its own, with its configuration in a temporary folder."""

from __future__ import annotations

import asyncio
import ctypes
import fcntl
import json
import os
import random
import signal
import socket
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

STOP_WITHIN = 10.0  # s after SIGTERM before it is killed


LOOPBACK = "127.0.0.1"
PORTS = range(12_000, 32_000)   # under those that the system gives to connections by itself
_locks: dict[int, int] = {}     # by port: descriptors of the locks of the ports that this process was given


def _lock(port: int) -> int | None:
    """Lock a port against other processes that look for ports; None if one of them has it.  It ends with us."""
    folder = Path(tempfile.gettempdir()) / "larchwing-ports"
    folder.mkdir(exist_ok=True)
    file = os.open(folder / str(port), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o666)
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        return file
    except OSError:
        os.close(file)
        return None


def _is_free(host: str, port: int) -> bool:
    """Whether nobody listens on the port of this address just now."""
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def _reserve(ports: Sequence[int]) -> bool:
    """Lock all these ports, or none of them."""
    if any(port in _locks for port in ports):
        return False
    locks: dict[int, int] = {}
    for port in ports:
        if (lock := _lock(port)) is None:
            for taken in locks.values():
                os.close(taken)
            return False
        locks[port] = lock
    _locks.update(locks)
    return True


def free_ports(count: int, hosts: Sequence[str] = (LOOPBACK,)) -> int:
    """The first of `count` consecutive ports on which nobody listens at any of the hosts.

    They are drawn by lot, as others look, too, and are reserved for this process for as long as it lives.
    """
    draw = random.SystemRandom()
    while True:
        first = draw.choice(PORTS)
        ports = range(first, first + count)
        if _reserve(ports):
            if all(_is_free(host, port) for host in hosts for port in ports):
                return first
            for port in ports:
                os.close(_locks.pop(port))


def free_port() -> int:
    """One port of loopback, as `free_ports` finds it."""
    return free_ports(1)


def die_with_parent() -> None:
    """In a process that is about to become another program: it ends when who started it has (Linux's prctl)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Command:
    """`larchwing` with these arguments as a process; it is ready once it has said a line."""

    def __init__(self, *arguments: object) -> None:
        self.arguments = [str(a) for a in arguments]
        self.process: asyncio.subprocess.Process | None = None
        self.off: float | None = None   # s that its wall clock is off
        self.broken = ""                # by `fault_injection.py`

    async def start(self, seconds: float = 30.0) -> str:
        """The line that it says; raises RuntimeError with its complaint where it says none."""
        pipe = asyncio.subprocess.PIPE
        program = ["fennelpoint.cli"] if self.off is None else ["fennelpoint.testing.clock_skew", str(self.off),
                                                                "fennelpoint.cli"]
        if self.broken:
            program = ["fennelpoint.testing.fault_injection", self.broken, "fennelpoint.cli"]
        with tempfile.TemporaryFile() as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *program, *self.arguments, stdout=pipe, stderr=log,
                preexec_fn=die_with_parent)
            line = await asyncio.wait_for(self.process.stdout.readline(), seconds)
            if not line:
                await self.process.wait()
                log.seek(0)
                raise RuntimeError(f"larchwing {self.arguments[0]} did not start: {log.read().decode()}")
        return line.decode()

    async def stop(self) -> int:
        """SIGTERM, and wait; its exit code."""
        return await ended(self.process)


async def ended(process: asyncio.subprocess.Process | None) -> int:
    """End a process that may run: SIGTERM, after a while SIGKILL; its exit code."""
    if process is None:
        return 0
    if process.returncode is None:
        process.terminate()
        try:
            await asyncio.wait_for(process.wait(), STOP_WITHIN)
        except TimeoutError:
            process.kill()
            await process.wait()
    return process.returncode


class IngressProcess:
    """`python -m fennelpoint` with its files; a context manager that leaves nothing behind."""

    def __init__(self, settings: dict, discovery: str, counter: str, description: str | Path | None = None,
                 sockets: int = 4096, operator: str = "", inherited: socket.socket | None = None,
                 common: str = "", tree: Path | None = None, cells: str = "") -> None:
        """With a socket to be inherited, `common` is the folder of all processes that inherit it.

        `tree` is another checkout of the program to run, `cells` the text of a plan of cells.
        """
        self.tree = tree
        self.folder = tempfile.TemporaryDirectory(prefix="larchwing-")
        self.inherited, self.common = inherited, common
        self.address = ("127.0.0.1", free_port()) if inherited is None else inherited.getsockname()
        self.door = ("127.0.0.1", free_port())
        root = Path(self.folder.name)
        config = {"name": "n0", "listen": f"127.0.0.1:{self.address[1]}", "discovery": discovery,
                  "counter": counter, "seed": "7", "operator": "{}:{}".format(*self.door),
                  "limits": {"sockets": sockets}, "settings": settings}
        self.config, self.operator, self.log = root / "config.json", root / "operator.toml", root / "log"
        self.config.write_text(json.dumps(config))
        self.plan, self.has_operator = root / "cells.toml", bool(description or cells)
        if cells:
            self.plan.write_text(cells)
            self.operator.write_text('schema = 1\n[cells]\nplan = "cells.toml"\n')
        if description is not None:
            path = json.dumps(str(Path(description).resolve()))     # a JSON text is a TOML one, too
            self.operator.write_text(f"schema = 1\n[routes]\ndescription = {path}\n{operator}")
        self.process: asyncio.subprocess.Process | None = None
        self.program = ["-m", "fennelpoint"]

    def add_section(self, text: str) -> None:
        """One more section of the operator file."""
        head = "" if self.has_operator else "schema = 1\n"
        with self.operator.open("a") as file:
            file.write(f"{head}{text}\n")
        self.has_operator = True

    def configure(self, **values: object) -> None:
        """Other values of the configuration."""
        self.config.write_text(json.dumps(json.loads(self.config.read_text()) | values))

    async def start(self, seconds: float = 20.0, wait: bool = True) -> None:
        """Start it and wait until it is ready; raises RuntimeError with its log where it never is."""
        env = {**os.environ, "BALANCER_CONFIG": str(self.config)}
        env.pop("LARCHWING_OPERATOR", None)
        if self.has_operator:
            env["LARCHWING_OPERATOR"] = str(self.operator)
        held = () if self.inherited is None else (self.inherited.fileno(),)
        if held:
            env.update(BALANCER_SOCKET_FD=str(held[0]), TMPDIR=self.common)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *self.program, stdout=log, stderr=log, env=env, start_new_session=True,
                pass_fds=held, cwd=self.tree, preexec_fn=die_with_parent)
        for _ in range(int(seconds / 0.05) if wait else 0):
            if self.process.returncode is not None:
                break
            if (await self.call("ready")).startswith("ACK") if held else await self._ready():
                return
            await asyncio.sleep(0.05)
        if not wait:
            return
        text = self.log.read_text(errors="replace")
        await self.stop()
        raise RuntimeError(f"the ingress did not become ready:\n{text}")

    async def call(self, line: str) -> str:
        """A call at its door; empty where nobody answers."""
        try:
            reader, writer = await asyncio.open_connection(*self.door)
        except OSError:
            return ""
        try:
            writer.write(line.encode() + b"\n")
            return (await reader.read()).decode()
        except OSError:
            return ""
        finally:
            writer.close()

    async def _ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    async def stop_only(self) -> int:
        """SIGTERM, and wait; its files stay for the next start."""
        return await ended(self.process)

    def reload(self) -> None:
        self.process.send_signal(signal.SIGHUP)

    async def stop(self) -> int:
        """SIGTERM, and wait; its exit code."""
        code = await ended(self.process)
        self.folder.cleanup()
        return code
