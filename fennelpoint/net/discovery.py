"""The list of backends: the whole of it first, then watches back to back.

Silence is not an empty list: while discovery can't be reached or read, what was told last stays.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from fennelpoint import interface as api
from fennelpoint.rate_limited_log import complain

HOLD = 2.0              # s that a watch may wait: short, so that a dead connection is noticed soon
HOLD_ASKED = 20.0       # s where each watch may cost the service a call
SLACK = 1.0             # s over that until the answer is given up
LINE_WAIT = 2.5         # s for a whole list, which may stand in line: giving up wastes its turn
BACKOFF, BACKOFF_MOST = 0.1, 1.0  # s before asking again after a failure, doubling up to
TURNED_EACH, TURNED_MOST = 0.2, 20.0  # s an ingress of the fleet that all ask again in, once it is overbooked
MOST_LIST = 8 * 1024 * 1024  # bytes of a list
STATES = {"up": api.BackendState.READY, "draining": api.BackendState.DRAINING,
          "removed": api.BackendState.GONE}

Address = tuple[str, int]


class ListError(ValueError):
    """A list that can't be read; the text names the field."""


@dataclass(slots=True)
class Listing:
    """One answer of discovery."""

    roster: api.Roster
    addresses: dict[str, Address]


def parse_address(text: object, where: str) -> Address:
    """HOST:PORT as an address to connect to; there is no DNS, so the host is one of numbers."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    parts = host.split(".")
    if len(parts) != 4 or not all(p.isascii() and p.isdigit() and int(p) < 256 for p in parts):
        raise ListError(f"{where}: {text!r} is not an IPv4 address with a port")
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ListError(f"{where}: {text!r} has no port")
    return host, int(port)


def _figure(value: object, where: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 <= value < math.inf:
        raise ListError(f"{where}: {value!r} is not a finite figure of 0 or more")
    return float(value)


def _index(names: list[str], value: object) -> int:
    """A zone or kind by its place in the settings; one that they don't name is past their end."""
    return names.index(value) if value in names else len(names)


def parse_member(value: object, settings: api.Settings,
                 where: str) -> tuple[api.BackendEntry, Address | None]:
    """One backend of a list."""
    if not isinstance(value, dict):
        raise ListError(f"{where} is not an object")
    name, phase = value.get("id"), value.get("phase")
    if not isinstance(name, str) or not name:
        raise ListError(f"{where}.id: {name!r} is not a name")
    if not isinstance(phase, str) or phase not in STATES:
        raise ListError(f"{where}.phase: {phase!r} is none of {', '.join(STATES)}")
    state = STATES[phase]
    gone = state is api.BackendState.GONE   # its other fields are of no use any more
    address = None if gone else parse_address(value.get("host_port"), f"{where}.host_port")
    started = 0.0 if gone else _figure(value.get("up_since_ms", 0), f"{where}.up_since_ms") / 1000.0
    weight = 1.0 if gone else _figure(value.get("size", 1.0), f"{where}.size")
    cell = 0 if gone else int(_figure(value.get("cell", 0), f"{where}.cell"))
    return api.BackendEntry(name, state, started, _index(settings.zones, value.get("locality")), cell,
                            _index(settings.kinds, value.get("flavor")), weight), address


def parse_list(value: object, settings: api.Settings, known: dict[str, Address] | None = None,
               where: str = "list") -> Listing:
    """A list or its changes; a member that can't be read leaves the backend as it was known."""
    if not isinstance(value, dict):
        raise ListError(f"{where} is not an object")
    revision, complete, members = value.get("revision"), value.get("complete"), value.get("members")
    if isinstance(revision, bool) or not isinstance(revision, int) or revision < 0:
        raise ListError(f"{where}.revision: {revision!r} is not a version")
    if not isinstance(complete, bool):
        raise ListError(f"{where}.complete: {complete!r} is neither true nor false")
    if not isinstance(members, list):
        raise ListError(f"{where}.members is not a list")
    entries, addresses = {}, {}
    for index, member in enumerate(members):
        try:
            entry, address = parse_member(member, settings, f"{where}.members[{index}]")
        except ListError as error:
            name = member.get("id") if isinstance(member, dict) else None
            if complete and isinstance(name, str) and name in (known or {}):
                raise   # dropped from a whole list it would count as gone
            complain("discovery", "left out: %s", error)
            continue
        entries[entry.backend] = entry
        if address is not None:
            addresses[entry.backend] = address
    kind = api.RosterKind.FULL if complete else api.RosterKind.CHANGES
    return Listing(api.Roster(kind, revision, list(entries.values())), addresses)


class Discovery(asyncio.Protocol):
    """The watch on discovery, over one connection at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, settings: api.Settings,
                 follow: Callable[[api.Roster, dict[str, Address]], None]) -> None:
        self.loop, self.address, self.settings, self.follow = loop, address, settings, follow
        self.heard: Callable[[int], None] = lambda revision: None   # told of each answer, with news or none
        self.known: dict[str, Address] = {}
        self.revision: int | None = None    # of the last list from discovery itself
        self.known_revision: int | None = None  # of a list known from before: a watch is one call, not two
        self.backoff, self.hold = BACKOFF, HOLD_ASKED if settings.discovery == "ask" else HOLD
        self.stopped = False
        self.transport: asyncio.Transport | None = None
        self.connecting: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.body: list[bytes] = []
        self.size = 0
        self.complete = self.keep = False

    def start(self) -> None:
        """Ask at once; where asking costs and a list is known, at a time of our own, for what is newer.

        Guards discovery against a fleet that comes back at once: calls that all arrive together wait past
        their time, fail, and have taken the service's time all the same.
        """
        if self.late:
            self.revision = self.known_revision
            self.timer = self.loop.call_later(random.uniform(0.0, self._spread()), self._ask)
        else:
            self._ask()

    @property
    def late(self) -> bool:
        """Whether the first answer is not to be waited for: a list is known, and asking is put off."""
        return self.settings.discovery == "ask" and self.known_revision is not None

    def _spread(self) -> float:
        """Seconds over which all ingresses' calls are spread, so that a small service can answer each."""
        return min(TURNED_MOST, TURNED_EACH * self.settings.ingresses)

    def stop(self) -> None:
        self.stopped = True
        self._drop()

    def take(self, listing: Listing) -> None:
        """Keep to a list, and tell of it."""
        if listing.roster.kind is not api.RosterKind.CHANGES:
            self.known = {}
        if listing.roster.kind is api.RosterKind.CACHED:
            self.known_revision = listing.roster.version
        for entry in listing.roster.entries:
            self.known.pop(entry.backend, None)
        self.known.update(listing.addresses)
        self.follow(listing.roster, listing.addresses)

    def _drop(self) -> None:
        """Leave the connection, whatever state it is in."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        if self.transport is not None:
            transport, self.transport = self.transport, None
            transport.abort()

    def _ask(self) -> None:
        """The next call: on the open connection, or on a new one."""
        if self.stopped:
            return
        if self.timer is not None:
            self.timer.cancel()
        wait = self.hold + SLACK if self.revision is not None else LINE_WAIT
        self.timer = self.loop.call_later(wait, self._failed, "does not answer")
        if self.transport is None:
            task = self.connecting = self.loop.create_task(
                self.loop.create_connection(lambda: self, *self.address))
            task.add_done_callback(self._connected)
            return
        self.body, self.size, self.complete = [], 0, False
        self.parser = httptools.HttpResponseParser(self)
        query = f"?from={self.revision}&hold_ms={self.hold * 1000:.0f}" if self.revision is not None else ""
        self.transport.write(f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def _connected(self, task: asyncio.Task) -> None:
        if task.cancelled() or self.connecting is not task:
            return
        self.connecting = None
        if (error := task.exception()) is not None:
            self._failed(f"can't be reached ({error})")

    def _failed(self, what: str, turned_away: bool = False) -> None:
        """Keep the list that there is and ask again a little later.

        Guards discovery against the fleet: what it turns away costs it something too, so ingresses that all
        ask again within a second keep it overbooked, and most of them never hear of a change.
        """
        if self.stopped:
            return
        complain("discovery", "%s", what)
        self._drop()
        if turned_away:
            self.backoff = max(self.backoff, self._spread())
            self.revision = self.revision if self.revision is not None else self.known_revision
        self.timer = self.loop.call_later(self.backoff * random.uniform(0.3, 1.0), self._ask)
        self.backoff = min(TURNED_MOST if turned_away else BACKOFF_MOST, 2 * self.backoff)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.connecting, self.transport = None, transport
        self._ask()

    def data_received(self, data: bytes) -> None:
        if self.transport is None:
            return
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            return self._failed(f"an answer can't be read ({error})")
        if self.size > MOST_LIST:
            return self._failed("an answer has no end")
        if self.complete:
            self._answered()

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        self.complete, self.keep = True, self.parser.should_keep_alive()

    def _answered(self) -> None:
        status = self.parser.get_status_code()
        if status != 200:
            return self._failed(f"answers {status}", turned_away=status in (429, 503))
        try:
            listing = parse_list(json.loads(b"".join(self.body)), self.settings, self.known)
        except (ValueError, RecursionError) as error:
            return self._failed(f"an answer can't be read ({error})")
        if listing.roster.kind is api.RosterKind.CHANGES and self.revision is None:
            return self._failed("told changes where the whole list was asked for")
        if self.revision is not None and listing.roster.version < self.revision:
            # Guards against a discovery that began anew: a watch from a version yet to come is told nothing.
            self.revision = self.known_revision = None
            return self._failed("tells an older version: its whole list is asked for")
        news = listing.roster.kind is api.RosterKind.FULL or listing.roster.entries
        self.revision, self.backoff = listing.roster.version, BACKOFF
        self.heard(self.revision)
        if not self.keep:
            transport, self.transport = self.transport, None
            transport.abort()
        self._ask()     # first: a watch lapses when the next call is late
        if news:
            self.take(listing)

    def connection_lost(self, error: Exception | None) -> None:
        if self.transport is not None:      # else it was left on purpose
            self.transport = None
            self._failed("closed the connection")
