"""One peer: its connections, their state machines and timers, collisions, and what it has been told.

Pure: give it what happens on the connections, with the time (s of one clock), and carry out the actions that
it returns, in order.  RFC 4271 sections 6.8 (collisions), 8 (states) and 10 (timers); RFC 2918 (refresh).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import groupby
from math import inf
from random import Random

from fennelpoint.bgp.fsm import TABLE, UNEXPECTED, Do, Event, State
from fennelpoint.bgp.messages import (
    BgpError,
    Capabilities,
    Cease,
    Error,
    Family,
    Framer,
    Keepalive,
    Kind,
    Notification,
    Open,
    RouteRefresh,
    decode_open,
    decode_other,
    encode,
    shutdown,
)
from fennelpoint.bgp.updates import Network, Path, Terms, announce, decode, end_of_rib, family, withdraw

LARGE_HOLD = 240.0      # s (RFC 4271, section 8.2.2)
RETRY, RETRY_MOST = 1.0, 60.0   # s between tries to connect; doubling with each that failed, up to
JITTER = 0.75           # timers are drawn from this part of theirs to the whole (RFC 4271, section 10)


@dataclass(frozen=True, slots=True)
class Neighbor:
    """How a peer is spoken to.  `hold` in s, 0 or 3 and more; `remote_asn` is checked in its OPEN."""

    asn: int
    remote_asn: int
    identifier: int
    hold: int = 9
    passive: bool = False
    families: frozenset[Family] = frozenset({(1, 1)})
    next_hops: frozenset[tuple[int, int, int]] = frozenset()


# Actions


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a TCP connection to the peer; `link` is its number from now on."""

    link: int


@dataclass(frozen=True, slots=True)
class Close:
    link: int


@dataclass(frozen=True, slots=True)
class Send:
    link: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Went:
    """The session is up, or down with the reason."""

    up: bool
    why: str = ""


Action = Connect | Close | Send | Went


@dataclass(slots=True, eq=False)
class Link:
    """One connection, or the tries to make one, with its state machine."""

    number: int
    state: State = State.IDLE
    incoming: bool = False
    framer: Framer = field(default_factory=Framer)
    connected: bool = False
    peer: Open | None = None
    hold: float = 0.0       # s, agreed
    retry_at: float = inf
    hold_at: float = inf
    keepalive_at: float = inf


class Peer:
    """The state of all that is had with one peer."""

    def __init__(self, neighbor: Neighbor, seed: int = 0) -> None:
        self.neighbor, self.draw = neighbor, Random(seed)
        self.links: dict[int, Link] = {}
        self.last = 0
        self.failures = 0       # tries in a row that came to nothing
        self.running = False
        self.restart_at = inf   # when the tries begin anew
        self.wanted: dict[Network, Path] = {}
        self.told: dict[Network, Path] = {}
        self.terms = Terms()
        self.dropped = 0        # routes of the peer's that were counted and not kept
        self.faults = 0         # of its UPDATEs that were treated as withdrawals
        self.error = ""         # why the last session ended

    @property
    def established(self) -> Link | None:
        return next((link for link in self.links.values() if link.state is State.ESTABLISHED), None)

    @property
    def state(self) -> State:
        """The furthest of its connections'."""
        return max((link.state for link in self.links.values()), key=list(State).index, default=State.IDLE)

    def due(self) -> float:
        """When `tick` is to be called next; infinite: not by time."""
        return min([self.restart_at] + [t for link in self.links.values()
                                        for t in (link.retry_at, link.hold_at, link.keepalive_at)])

    # Events

    def start(self, now: float) -> list[Action]:
        if self.running:
            return []
        self.running, self.restart_at = True, inf
        link = self._new()
        return self._run(link, Event.AUTOMATIC_START_PASSIVE if self.neighbor.passive
                         else Event.AUTOMATIC_START, now)

    def stop(self, now: float, notice: Notification | None = None) -> list[Action]:
        """End all that is had with the peer; `notice` is what it is told, a shutdown where none is given."""
        self.running, self.restart_at = False, inf
        out: list[Action] = []
        for link in list(self.links.values()):
            out += self._run(link, Event.MANUAL_STOP, now, notice or shutdown(Cease.SHUTDOWN))
        return out

    def connected(self, number: int, now: float) -> list[Action]:
        """The connection that was asked for has come up."""
        if (link := self.links.get(number)) is None:
            return [Close(number)]
        link.connected = True
        return self._run(link, Event.TCP_ACKED, now)

    def accepted(self, now: float) -> tuple[int, list[Action]]:
        """The peer has connected: the connection's number."""
        if not self.running or any(link.incoming for link in self.links.values()):
            self.last += 1
            return self.last, [Send(self.last, encode(Notification(Error.CEASE, Cease.REJECTED))),
                               Close(self.last)]
        link = self._new()
        link.state, link.incoming, link.connected = State.ACTIVE, True, True
        return link.number, self._run(link, Event.TCP_CONFIRMED, now)

    def lost(self, number: int, now: float) -> list[Action]:
        """The connection has ended, or could not be made."""
        if (link := self.links.get(number)) is None:
            return []
        link.connected = False
        return self._run(link, Event.TCP_FAILS, now, why="the connection ended")

    def received(self, number: int, data: bytes, now: float) -> list[Action]:
        if (link := self.links.get(number)) is None:
            return []
        out: list[Action] = []
        try:
            messages = link.framer.receive(data)
        except BgpError as error:
            return self._run(link, Event.HEADER_ERROR, now, error.notification, str(error))
        for kind, body in messages:
            if self.links.get(number) is not link:
                break       # it has ended meanwhile
            out += self._message(link, kind, body, now)
        return out

    def tick(self, now: float) -> list[Action]:
        """Timers that are due."""
        out: list[Action] = []
        for link in list(self.links.values()):
            if now >= link.retry_at:
                link.retry_at = inf
                out += self._run(link, Event.CONNECT_RETRY, now)
            if now >= link.keepalive_at:
                link.keepalive_at = inf
                out += self._run(link, Event.KEEPALIVE_DUE, now)
            if now >= link.hold_at:
                link.hold_at = inf
                out += self._run(link, Event.HOLD, now, Notification(Error.HOLD), "the hold timer expired")
        if now >= self.restart_at and self.running:
            self.running = False
            out += self.start(now)
        return out

    def tell(self, wanted: Mapping[Network, Path]) -> list[Action]:
        """What the peer is to be told from now on: withdrawals first, then what is new."""
        self.wanted = dict(wanted)
        link = self.established
        return [Send(link.number, data) for data in self._changes()] if link is not None else []

    # Messages

    def _message(self, link: Link, kind: Kind, body: bytes, now: float) -> list[Action]:
        try:
            if kind is Kind.OPEN:
                return self._opened(link, decode_open(body), now)
            if kind is Kind.UPDATE:
                update = decode(body, self.terms) if link.state is State.ESTABLISHED else None
                if update is not None:
                    self.dropped += len(update.announced)
                    self.faults += bool(update.fault)
                return self._run(link, Event.UPDATE, now)
            message = decode_other(kind, body)
        except BgpError as error:
            event = Event.OPEN_ERROR if kind is Kind.OPEN else Event.UPDATE_ERROR
            return self._run(link, event, now, error.notification, str(error))
        if isinstance(message, Notification):
            version = (message.code, message.subcode) == (Error.OPEN, 1)
            why = f"the peer says {message.code}.{message.subcode} {message.words()}".rstrip()
            event = Event.NOTIFICATION_VERSION if version else Event.NOTIFICATION
            return self._run(link, event, now, why=why)
        if isinstance(message, RouteRefresh):
            return self._refresh(link, message)
        return self._run(link, Event.KEEPALIVE, now)

    def _opened(self, link: Link, message: Open, now: float) -> list[Action]:
        """Check an OPEN against what is known of the peer, then look for a collision (section 6.8)."""
        own = self.neighbor
        if message.asn != own.remote_asn:
            raise BgpError(Error.OPEN, 2, b"", f"the AS number is {message.asn}, not {own.remote_asn}")
        if message.identifier == own.identifier and message.asn == own.asn:
            raise BgpError(Error.OPEN, 3, b"", "the identifier is our own")
        link.peer, link.hold = message, float(min(own.hold, message.hold))
        if link.state is not State.OPEN_SENT:
            return self._run(link, Event.OPEN, now)
        out: list[Action] = []
        for other in [o for o in self.links.values() if o is not link]:
            if other.state not in (State.OPEN_CONFIRM, State.ESTABLISHED):
                continue
            # The connection of the speaker with the higher identifier is kept; an established one always is.
            keeps_ours = own.identifier > message.identifier
            new_stays = other.state is not State.ESTABLISHED and link.incoming is not keeps_ours
            loser = other if new_stays else link
            out += self._run(loser, Event.COLLISION_DUMP, now, Notification(Error.CEASE, Cease.COLLISION),
                             "two connections collided")
            if loser is link:
                return out
        return out + self._run(link, Event.OPEN, now)

    def _refresh(self, link: Link, message: RouteRefresh) -> list[Action]:
        if link.state is not State.ESTABLISHED:
            return []
        for network in [n for n in self.told if family(n) == message.family]:
            del self.told[network]
        return [Send(link.number, data) for data in self._changes()]

    # State machine

    def _new(self) -> Link:
        self.last += 1
        link = self.links[self.last] = Link(self.last)
        return link

    def _run(self, link: Link, event: Event, now: float, notice: Notification | None = None,
             why: str = "") -> list[Action]:
        """One transition of the table, and what follows from it."""
        before = link.state
        does, link.state = TABLE[before, event]
        if Do.NOTIFY in does and notice is None:
            # Not told by anyone: the event was out of place (RFC 6608).
            notice = Notification(Error.FSM, UNEXPECTED.get(before, 0))
            why = why or f"{event.name} in {before.value}"
        out: list[Action] = []
        for do in does:
            out += self._do(link, do, now, notice, why or event.name)
        if link.state is State.ESTABLISHED and before is not State.ESTABLISHED:
            for other in [o for o in self.links.values() if o is not link]:     # the tries are over
                out += self._end(other)
        if link.state is State.IDLE:
            # The table counts no connection that could not be made; the back-off here does.
            self.failures += (before, event) == (State.CONNECT, Event.TCP_FAILS)
            out += self._end(link)
            self.error = why or self.error
            if self.running and not self.links and self.restart_at == inf:
                self.restart_at = now + self._wait()
        return out

    def _wait(self) -> float:
        most = min(RETRY_MOST, RETRY * 2.0 ** min(self.failures, 10))
        return most * self.draw.uniform(JITTER, 1.0)

    def _end(self, link: Link) -> list[Action]:
        self.links.pop(link.number, None)
        return [Close(link.number)]     # also one that is still being made

    def _do(self, link: Link, do: Do, now: float, notice: Notification | None, why: str) -> list[Action]:
        if do is Do.START_RETRY:
            link.retry_at = now + self._wait() if not link.incoming else inf
        elif do is Do.STOP_RETRY:
            link.retry_at = inf
        elif do is Do.LARGE_HOLD:
            link.hold_at = now + LARGE_HOLD
        elif do is Do.START_HOLD:
            link.hold_at = now + link.hold if link.hold else inf
        elif do is Do.STOP_HOLD:
            link.hold_at = inf
        elif do is Do.START_KEEPALIVE:
            link.keepalive_at = now + link.hold / 3.0 * self.draw.uniform(JITTER, 1.0) if link.hold else inf
        elif do is Do.STOP_KEEPALIVE:
            link.keepalive_at = inf
        elif do is Do.COUNT:
            self.failures += 1
        elif do is Do.FORGET:
            self.failures = self.failures if self.running else 0
        elif do is Do.CONNECT:
            return [Connect(link.number)]
        elif do is Do.DROP:
            return self._drop(link)
        elif do is Do.SEND_OPEN:
            return [Send(link.number, encode(self._open()))]
        elif do is Do.SEND_KEEPALIVE:
            return [Send(link.number, encode(Keepalive()))]
        elif do is Do.NOTIFY:
            return [Send(link.number, encode(notice))] if link.connected else []
        elif do is Do.UP:
            return self._up(link)
        elif do is Do.DOWN:
            self.told = {}
            return [Went(False, why)]
        return []

    def _drop(self, link: Link) -> list[Action]:
        """The connection goes; the next try has a number of its own, so that no late word is taken for it."""
        was, link.connected, link.framer = link.number, False, Framer()
        self.links.pop(was, None)
        self.last += 1
        link.number = self.last
        self.links[link.number] = link
        return [Close(was)]

    def _open(self) -> Open:
        own = self.neighbor
        return Open(own.asn, own.hold, own.identifier,
                    Capabilities(own.families, own.asn, True, own.next_hops))

    def _up(self, link: Link) -> list[Action]:
        """Tell all, then that this was all (RFC 4724's marker, which needs no graceful restart)."""
        own, peer = self.neighbor, link.peer.capabilities
        families = own.families & (peer.families or frozenset({(1, 1)}))
        self.terms = Terms(peer.four_octets is not None, families, own.next_hops & peer.next_hops)
        self.failures, self.told, self.error = 0, {}, ""
        out: list[Action] = [Went(True)]
        out += [Send(link.number, data) for data in self._changes()]
        return out + [Send(link.number, end_of_rib(fam)) for fam in sorted(families)]

    def _changes(self) -> list[bytes]:
        """UPDATEs from what was told to what is wanted, of the families that the peer takes."""
        wanted = {n: p for n, p in self.wanted.items() if self._takes(n, p)}
        out = withdraw(n for n in self.told if n not in wanted)
        new = [(p, n) for n, p in wanted.items() if self.told.get(n) != p]
        for path, group in groupby(sorted(new, key=_order), key=lambda pair: pair[0]):
            out += announce([n for _, n in group], path, self.terms)
        self.told = wanted
        return out

    def _takes(self, network: Network, path: Path) -> bool:
        fam = family(network)
        same = network.version == path.next_hop.version
        return fam in self.terms.families and (
            same or (*fam, 2 if path.next_hop.version == 6 else 1) in self.terms.next_hops)


def _order(pair: tuple[Path, Network]) -> tuple:
    path, network = pair
    return (repr(path), network.version, network)


