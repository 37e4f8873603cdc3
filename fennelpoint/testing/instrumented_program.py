"""A program of the system with a probe in it.

`python -m fennelpoint.testing.instrumented_program FILE ROLE --settings SETTINGS`

Twice a second it puts down in FILE what went over its held connections by kind, and how long its loop was held: the
processor time between two looks that are to be 5 ms apart, so that a busy machine does not count as a pause.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import sys
import time
from collections import Counter
from collections.abc import Iterator

from fennelpoint.system import __main__ as system
from fennelpoint.system import frames, mesh
from fennelpoint.system.settings import Settings

LOOK, WRITE = 0.005, 0.5    # s
HELD = (0.002, 0.0058, 0.02, 0.1)   # s: pauses above these are counted


class Probe:
    """What was seen since the start: counts only grow; `peaks` are the longest pauses, one for each writing."""

    def __init__(self, path: str) -> None:
        self.path, self.sent, self.got, self.took = path, Counter(), Counter(), Counter()
        self.bytes_out = self.bytes_in = 0
        self.held, self.longest = [0] * len(HELD), 0.0
        self.peaks: list[float] = []
        self.last, self.written = time.thread_time(), 0.0

    def look(self) -> None:
        asyncio.get_running_loop().call_later(LOOK, self.look)
        now = time.thread_time()
        spent, self.last = now - self.last, now
        self.longest = max(self.longest, spent)
        for i, least in enumerate(HELD):
            self.held[i] += spent > least
        if time.monotonic() - self.written > WRITE:
            self.written = time.monotonic()
            self.peaks.append(round(self.longest, 5))
            self.longest = 0.0
            with open(f"{self.path}.new", "w") as file:
                json.dump({"at": self.written, "sent": self.sent, "got": self.got, "bytes": self.took,
                           "out": self.bytes_out, "in": self.bytes_in, "held": self.held, "peaks": self.peaks},
                          file)
            os.replace(f"{self.path}.new", self.path)
            self.last = time.thread_time()

    def pack(self, message: list) -> bytes:
        data = frames.pack(message)
        self.sent[message[0]] += 1
        self.took[message[0]] += len(data)
        self.bytes_out += len(data)
        return data


def put_in(probe: Probe) -> None:
    """Into the programs of this process."""
    class Counted(frames.Unpacker):
        def feed(self, data: bytes) -> Iterator[list]:
            probe.bytes_in += len(data)
            for message in super().feed(data):
                probe.got[message[0]] += 1
                yield message

    serve = system.serve

    async def probed(role: str, settings: Settings, path: str, applied_stamp: tuple) -> None:
        probe.look()
        await serve(role, settings, path, applied_stamp)

    mesh.pack, mesh.Unpacker, system.serve = probe.pack, Counted, probed


if __name__ == "__main__":
    ctypes.CDLL(None).prctl(1, 9)   # it ends with whoever started it
    put_in(Probe(sys.argv[1]))
    sys.exit(system.main(sys.argv[2:]))
