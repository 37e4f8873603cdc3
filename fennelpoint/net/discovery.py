"""Client of discovery: fetches the whole list of backends first, then long-polls for its changes.

A failure of discovery does not empty the list: while it cannot be reached or parsed, the last list stays in use.
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
from fennelpoint.rate_limited_log import warn_limited

WATCH_HOLD_S = 2.0      # that discovery may hold a watch: short, so that a dead connection is noticed soon
COSTLY_WATCH_HOLD_S = 20.0  # if each watch may cost the service a call
ANSWER_SLACK_S = 1.0    # beyond the hold, until a watch is given up
LIST_TIMEOUT_S = 2.5    # for a whole list, whose call may be queued: giving up early would waste its turn
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 1.0     # before the retry after a failure, doubling in between
# For each ingress of the fleet, the time over which all retry after discovery has rejected calls as overloaded.
REJECTED_BACKOFF_PER_INGRESS_S, MAX_REJECTED_BACKOFF_S = 0.2, 20.0
MAX_LIST_BYTES = 8 * 1024 * 1024
STATE_BY_PHASE = {"up": api.BackendState.READY, "draining": api.BackendState.DRAINING,
                  "removed": api.BackendState.GONE}

Address = tuple[str, int]


class ListError(ValueError):
    """A list that cannot be parsed; the text names the field."""


@dataclass(slots=True)
class Listing:
    """One answer of discovery."""

    roster: api.Roster
    addresses: dict[str, Address]


def parse_address(text: object, where: str) -> Address:
    """Parse HOST:PORT; as there is no DNS, the host is an IPv4 address.  `where` names the field in errors."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    octets = host.split(".")
    if len(octets) != 4 or not all(p.isascii() and p.isdigit() and int(p) < 256 for p in octets):
        raise ListError(f"{where}: {text!r} is not an IPv4 address with a port")
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ListError(f"{where}: {text!r} has no valid port")
    return host, int(port)


def _number(value: object, where: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 <= value < math.inf:
        raise ListError(f"{where}: {value!r} is not a finite number of 0 or more")
    return float(value)


def _index(names: list[str], value: object) -> int:
    """Return a zone's or kind's index in the settings; for one that they do not name, the number of names."""
    return names.index(value) if value in names else len(names)


def parse_member(value: object, settings: api.Settings,
                 where: str) -> tuple[api.BackendEntry, Address | None]:
    """Parse one backend of a list; raises ListError."""
    if not isinstance(value, dict):
        raise ListError(f"{where} is not an object")
    name, phase = value.get("id"), value.get("phase")
    if not isinstance(name, str) or not name:
        raise ListError(f"{where}.id: {name!r} is not a name")
    if not isinstance(phase, str) or phase not in STATE_BY_PHASE:
        raise ListError(f"{where}.phase: {phase!r} is not one of {', '.join(STATE_BY_PHASE)}")
    state = STATE_BY_PHASE[phase]
    is_gone = state is api.BackendState.GONE    # its other fields are not used
    address = None if is_gone else parse_address(value.get("host_port"), f"{where}.host_port")
    started_at = 0.0 if is_gone else _number(value.get("up_since_ms", 0), f"{where}.up_since_ms") / 1000.0
    weight = 1.0 if is_gone else _number(value.get("size", 1.0), f"{where}.size")
    cell = 0 if is_gone else int(_number(value.get("cell", 0), f"{where}.cell"))
    return api.BackendEntry(name, state, started_at, _index(settings.zones, value.get("locality")), cell,
                            _index(settings.kinds, value.get("flavor")), weight), address


def parse_list(value: object, settings: api.Settings, known: dict[str, Address] | None = None,
               where: str = "list") -> Listing:
    """Parse a list or its changes; raises ListError.

    A member that cannot be parsed is skipped, so that the backend stays as it was.  But a whole list without a
    backend that is `known` would mark it as removed, so such a list is rejected.
    """
    if not isinstance(value, dict):
        raise ListError(f"{where} is not an object")
    revision, complete, members = value.get("revision"), value.get("complete"), value.get("members")
    if isinstance(revision, bool) or not isinstance(revision, int) or revision < 0:
        raise ListError(f"{where}.revision: {revision!r} is not a revision number")
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
                raise   # left out of a whole list it would count as removed
            warn_limited("discovery", "skipping a backend: %s", error)
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
        self.on_answer: Callable[[int], None] = lambda revision: None   # for each answer, with changes or without
        self.known_addresses: dict[str, Address] = {}
        self.revision: int | None = None    # of the last list from discovery itself
        self.cached_revision: int | None = None     # of a cached list: with it, one call gets what is newer
        self.backoff_s, self.hold_s = MIN_BACKOFF_S, (
            COSTLY_WATCH_HOLD_S if settings.discovery == "ask" else WATCH_HOLD_S)
        self.is_stopped = False
        self.transport: asyncio.Transport | None = None
        self.connect_task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.body: list[bytes] = []
        self.received_bytes = 0
        self.is_complete = self.keep_alive = False

    def start(self) -> None:
        """Send the first request at once; or, if calls are costly and a list is cached, after a random delay.

        Otherwise a fleet that starts at one time would overload discovery: calls that arrive together wait until they
        time out, and use up the service's capacity nevertheless.
        """
        if self.defers_first_request:
            self.revision = self.cached_revision
            self.timer = self.loop.call_later(random.uniform(0.0, self._fleet_spread_s()), self._request)
        else:
            self._request()

    @property
    def defers_first_request(self) -> bool:
        """Whether there is no point in waiting for the first answer: a list is cached, and the request is delayed."""
        return self.settings.discovery == "ask" and self.cached_revision is not None

    def _fleet_spread_s(self) -> float:
        """Seconds over which the calls of all ingresses are spread, so that a small service can answer each."""
        return min(MAX_REJECTED_BACKOFF_S, REJECTED_BACKOFF_PER_INGRESS_S * self.settings.ingresses)

    def stop(self) -> None:
        self.is_stopped = True
        self._disconnect()

    def apply(self, listing: Listing) -> None:
        """Remember the addresses of a list, and pass it on to `follow`."""
        if listing.roster.kind is not api.RosterKind.CHANGES:
            self.known_addresses = {}
        if listing.roster.kind is api.RosterKind.CACHED:
            self.cached_revision = listing.roster.version
        for entry in listing.roster.entries:
            self.known_addresses.pop(entry.backend, None)
        self.known_addresses.update(listing.addresses)
        self.follow(listing.roster, listing.addresses)

    def _disconnect(self) -> None:
        """Close the connection in whatever state it is, and cancel the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.connect_task is not None:
            self.connect_task.cancel()
            self.connect_task = None
        if self.transport is not None:
            transport, self.transport = self.transport, None
            transport.abort()

    def _request(self) -> None:
        """Send the next request, on the open connection or on a new one."""
        if self.is_stopped:
            return
        if self.timer is not None:
            self.timer.cancel()
        timeout_s = self.hold_s + ANSWER_SLACK_S if self.revision is not None else LIST_TIMEOUT_S
        self.timer = self.loop.call_later(timeout_s, self._retry_later, "does not answer")
        if self.transport is None:
            task = self.connect_task = self.loop.create_task(
                self.loop.create_connection(lambda: self, *self.address))
            task.add_done_callback(self._connected)
            return
        self.body, self.received_bytes, self.is_complete = [], 0, False
        self.parser = httptools.HttpResponseParser(self)
        query = f"?from={self.revision}&hold_ms={self.hold_s * 1000:.0f}" if self.revision is not None else ""
        self.transport.write(f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def _connected(self, task: asyncio.Task) -> None:
        if task.cancelled() or self.connect_task is not task:
            return
        self.connect_task = None
        if (error := task.exception()) is not None:
            self._retry_later(f"cannot be reached ({error})")

    def _retry_later(self, reason: str, is_rejected: bool = False) -> None:
        """Keep the present list and retry after a backoff, which depends on the fleet if the call was rejected.

        Rejecting a call costs discovery something, too: ingresses that all retry within a second keep it overloaded,
        and most of them never learn of a change.
        """
        if self.is_stopped:
            return
        warn_limited("discovery", "%s", reason)
        self._disconnect()
        if is_rejected:
            self.backoff_s = max(self.backoff_s, self._fleet_spread_s())
            self.revision = self.revision if self.revision is not None else self.cached_revision
        self.timer = self.loop.call_later(self.backoff_s * random.uniform(0.3, 1.0), self._request)
        self.backoff_s = min(MAX_REJECTED_BACKOFF_S if is_rejected else MAX_BACKOFF_S, 2 * self.backoff_s)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.connect_task, self.transport = None, transport
        self._request()

    def data_received(self, data: bytes) -> None:
        if self.transport is None:
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            return self._retry_later(f"sent an answer that cannot be parsed ({error})")
        if self.received_bytes > MAX_LIST_BYTES:
            return self._retry_later("sent an answer that is too large")
        if self.is_complete:
            self._handle_answer()

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        self.is_complete, self.keep_alive = True, self.parser.should_keep_alive()

    def _handle_answer(self) -> None:
        status = self.parser.get_status_code()
        if status != 200:
            return self._retry_later(f"answers {status}", is_rejected=status in (429, 503))
        try:
            listing = parse_list(json.loads(b"".join(self.body)), self.settings, self.known_addresses)
        except (ValueError, RecursionError) as error:
            return self._retry_later(f"sent an answer that cannot be parsed ({error})")
        if listing.roster.kind is api.RosterKind.CHANGES and self.revision is None:
            return self._retry_later("sent changes in answer to a request for the whole list")
        if self.revision is not None and listing.roster.version < self.revision:
            # Discovery has restarted with lower revisions: a watch from a future one would get no changes.
            self.revision = self.cached_revision = None
            return self._retry_later("sent an older revision; requesting the whole list")
        has_changes = listing.roster.kind is api.RosterKind.FULL or listing.roster.entries
        self.revision, self.backoff_s = listing.roster.version, MIN_BACKOFF_S
        self.on_answer(self.revision)
        if not self.keep_alive:
            transport, self.transport = self.transport, None
            transport.abort()
        self._request()     # before the list is applied, as a watch lapses if the next request is late
        if has_changes:
            self.apply(listing)

    def connection_lost(self, error: Exception | None) -> None:
        if self.transport is not None:      # else this side closed it
            self.transport = None
            self._retry_later("closed the connection")
