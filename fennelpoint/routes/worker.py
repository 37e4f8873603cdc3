"""Reads one description in a process of its own: `python -m fennelpoint.routes.worker PATH MEMORY_MB CPU_S`.

The settings come pickled on standard input, the end goes pickled to standard output.  Guards the ingress: its
one thread serves on while a large description is read, none of the libraries for it are loaded there, and a
file that takes all memory takes this process's alone.
"""

from __future__ import annotations

import gc
import os
import pickle
import resource
import subprocess
import sys
from typing import NamedTuple

from fennelpoint.interface import Settings
from fennelpoint.routes.file_fingerprint import Stamp
from fennelpoint.routes.table import RouteTable
from fennelpoint.validation_errors import Fault

NICE = 10   # the ingress has the core first
CHUNK = 50  # routes


class End(NamedTuple):
    """How a reading ended: faults, or the routes in pickled lists that are each unpacked in a few ms."""

    chunks: list[bytes]
    faults: tuple[Fault, ...]
    files: dict[str, Stamp]

    def table(self) -> RouteTable:
        """All of it at once, where nobody waits meanwhile."""
        table = RouteTable()
        for chunk in self.chunks:
            table.add(pickle.loads(chunk))
        return table


def main() -> int:
    path, memory_mb, cpu_s = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    settings: Settings | None = pickle.load(sys.stdin.buffer)
    resource.setrlimit(resource.RLIMIT_AS, (memory_mb << 20, memory_mb << 20))
    resource.setrlimit(resource.RLIMIT_CPU, (cpu_s, cpu_s))
    os.nice(NICE)
    gc.disable()    # what is read lives until the end: there is nothing to collect
    from fennelpoint.routes.description import Loaded, Site, load

    try:
        loaded = load(path, Site.of(settings) if settings is not None else None)
    except MemoryError:
        loaded = Loaded([], [Fault(path, 0, "", f"it takes more than {memory_mb} MB to read")], {})
    chunks = [loaded.routes[i:i + CHUNK] for i in range(0, len(loaded.routes), CHUNK)]
    chunks = [pickle.dumps(chunk, protocol=5) for chunk in chunks]
    # A plain tuple: this module is `__main__` here and has its name where the tuple is read.
    pickle.dump((chunks, tuple(loaded.faults), loaded.files), sys.stdout.buffer, protocol=5)
    return 0


def command(path: str, memory_mb: int, timeout_s: float) -> list[str]:
    """What runs this for a description."""
    return [sys.executable, "-m", "fennelpoint.routes.worker", path, str(memory_mb), str(int(timeout_s) + 1)]


def outcome(path: str, status: int, output: bytes, errors: bytes) -> End:
    """What the process left."""
    if status == 0:
        return End(*pickle.loads(output))
    lines = errors.decode("utf-8", "replace").strip().splitlines()
    text = f"the process that read it ended with {status}" + (f": {lines[-1][:200]}" if lines else "")
    return End([], (Fault(path, 0, "", text),), {})


def read_now(path: str, settings: Settings | None, memory_mb: int, timeout_s: float) -> End:
    """Read a description and wait for it: at a start, before there is anything to serve."""
    try:
        done = subprocess.run(command(path, memory_mb, timeout_s), input=pickle.dumps(settings),
                              capture_output=True, timeout=timeout_s)
    except subprocess.TimeoutExpired:
        return End([], (Fault(path, 0, "", f"it could not be read within {timeout_s:g} s"),), {})
    return outcome(path, done.returncode, done.stdout, done.stderr)


if __name__ == "__main__":
    sys.exit(main())
