"""What an optional part of a running ingress is, and what it may use of the ingress that carries it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from fennelpoint import interface as api
from fennelpoint.lifecycle import LifeCycle


class Carrier(Protocol):
    """The ingress, as its parts see it."""

    loop: asyncio.AbstractEventLoop
    config: Any             # what the ingress was started with, checked
    host: Any               # drives the module: `post`, `controller`, `may_send`, `cells`
    server: Any             # the client side: `listen`, `reader`, `room`, `connections`
    backends: Any           # the upstream pools
    discovery: Any          # the list of backends: `known_addresses`
    life: LifeCycle
    parts: dict[str, Part]  # those that are on, by name
    look: Callable[[], None]    # look again whether it may end
    listed: bool            # there is a list to go by
    operator_path: str

    def word(self) -> tuple[str, bool]:
        """How it stands, and whether the counter that quotas are kept by is heard."""

    def set_ready(self) -> None:
        """Clients may come, if nothing holds them back."""


class Part:
    """What the ingress calls; a part overrides what it needs."""

    holds = False       # clients are not to come yet
    relieved = False    # another process serves at our address

    async def start(self) -> None:
        """After the ingress's own listener, before discovery."""

    def follow(self, roster: api.Roster) -> None:
        """A list of backends or its changes, before the module hears of it."""

    def reload(self) -> None:
        """SIGHUP; what can't be used changes nothing."""

    def sweep(self) -> None:
        """Each quarter of a second."""

    def finish(self) -> None:
        """All is answered; the process ends next."""

    def close(self) -> None:
        """Leave every socket."""
