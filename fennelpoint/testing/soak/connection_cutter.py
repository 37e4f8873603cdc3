"""A program of the system whose held connections can be cut.

`python -m fennelpoint.testing.soak.connection_cutter ROLE ...`

The file that the environment names holds the addresses that this process does not hear.  What they say while they are
cut off is held, as packets that a network sends again; a connection that is silent for long is left by the program
itself, and what was held goes with it.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import sys
from pathlib import Path

from fennelpoint.system import __main__ as system
from fennelpoint.system import mesh
from fennelpoint.system.settings import Settings

VARIABLE = "LARCHWING_SOAK_CUTS"
LOOK = 0.05  # s between two looks at the file
PR_SET_PDEATHSIG, SIGKILL = 1, 9


class Cuts:
    """The addresses that are not heard, as the file has them."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.addresses: frozenset[str] = frozenset()
        self.wires: set[CuttableWire] = set()

    def watch(self) -> None:
        """Read the file now and from then on, and hand on what was held for those that are heard again."""
        asyncio.get_running_loop().call_later(LOOK, self.watch)
        try:
            self.addresses = frozenset(self.path.read_text().split())
        except FileNotFoundError:
            self.addresses = frozenset()
        for wire in list(self.wires):
            wire.hand_on()


cuts = Cuts(Path(os.environ.get(VARIABLE, os.devnull)))


class CuttableWire(mesh.PeerConnection):
    """A held connection that holds what comes from an address that is cut off."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self.held: list[list] = []
        cuts.wires.add(self)

    @property
    def cut(self) -> bool:
        return self.peer is not None and mesh.ip_of(self.peer) in cuts.addresses

    def data_received(self, data: bytes) -> None:
        before = self.last_received_at
        super().data_received(data)
        if self.cut:
            self.last_received_at = before

    def handle_message(self, message: list) -> None:
        if self.held or self.cut:
            self.held.append(message)
        else:
            super().handle_message(message)

    def hand_on(self) -> None:
        """What was held, in order, once the peer is heard again."""
        if not self.cut:
            held, self.held = self.held, []
            for message in held:
                super().handle_message(message)

    def connection_lost(self, error: Exception | None) -> None:
        cuts.wires.discard(self)
        super().connection_lost(error)


def install() -> None:
    """Into the programs of this process."""
    serve = system.serve

    async def cuttable(role: str, settings: Settings, path: str, applied_stamp: tuple) -> None:
        cuts.watch()
        await serve(role, settings, path, applied_stamp)

    mesh.PeerConnection, system.serve = CuttableWire, cuttable


if __name__ == "__main__":
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, SIGKILL)  # it ends with whoever started it
    install()
    sys.exit(system.main(sys.argv[1:]))
