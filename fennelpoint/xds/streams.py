"""The state of each discovery stream, without gRPC: requests in, the one response that is due out.

Follows the xDS protocol (envoyproxy.io, "xDS REST and gRPC protocol"): Aggregated Discovery, state of the
world and incremental.  Nothing is queued for a stream: `pull` makes the next response from the newest
snapshot when the stream can take one, so one that does not read delays nobody and skips what it missed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fennelpoint.xds.version_labels import Label, Stand, digest, read_label

_BASE = "type.googleapis.com/envoy.config."
CDS, EDS = _BASE + "cluster.v3.Cluster", _BASE + "endpoint.v3.ClusterLoadAssignment"
LDS, RDS = _BASE + "listener.v3.Listener", _BASE + "route.v3.RouteConfiguration"
LEDS = _BASE + "endpoint.v3.LbEndpoint"     # by collections, incremental streams only
ORDER = (CDS, EDS, LEDS, LDS, RDS)  # make before break: what routes point to comes before the routes
BY_CHANGE = frozenset((EDS, LEDS))  # types of which a stream looks at what has changed only
WILD = frozenset((CDS, LDS))    # types in which an empty first subscription is to all
MOST_NAMES = 10_000             # subscriptions of one stream and type
MOST_PAST = 100                 # clusters that are gone and remembered
MOST_ERROR = 2_000              # characters of a NACK that are kept


class Misuse(Exception):
    """The peer breaks the protocol or its bounds: its stream ends, nothing else."""


@dataclass(frozen=True, slots=True)
class Resource:
    name: str
    label: Label
    body: bytes
    version: str = field(init=False)    # the label as text, made once for all streams

    def __post_init__(self) -> None:
        object.__setattr__(self, "version", str(self.label))


@dataclass(frozen=True, slots=True)
class Change:
    """What differs in one type between two snapshots."""

    before: Mapping[str, Resource]
    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All resources of one view at one stand: whole, never changed."""

    stand: Stand = Stand()
    types: Mapping[str, Mapping[str, Resource]] = field(default_factory=dict)
    changes: Mapping[str, Change] = field(default_factory=dict)     # since the snapshot before
    past: Mapping[str, Resource] = field(default_factory=dict)      # clusters that are gone, the last ones

    def follow(self, stand: Stand, bodies: Mapping[str, Mapping[str, bytes]]) -> Snapshot:
        """The next snapshot: what has not changed keeps its label, and its mapping."""
        types, changes = {}, {}
        for kind, named in bodies.items():
            before, now = self.types.get(kind, {}), {}
            for name, body in named.items():
                old = before.get(name)
                now[name] = old if old is not None and old.body == body else Resource(
                    name, Label(stand, digest(body)), body)
            names = frozenset(n for n in before.keys() | now.keys() if before.get(n) is not now.get(n))
            types[kind] = now if names or kind not in self.types else before
            if names:
                changes[kind] = Change(before, names)
        clusters = types.get(CDS, {})
        past = {n: r for n, r in {**self.past, **self.types.get(CDS, {})}.items() if n not in clusters}
        return Snapshot(stand, types, changes, dict(list(past.items())[-MOST_PAST:]))


def collection(name: str) -> str:
    """The glob collection that a resource belongs to (xDS, "xdstp:// glob collections")."""
    return name.rpartition("/")[0] + "/*"


@dataclass(frozen=True, slots=True)
class Response:
    """What is to be sent; `removed` is for incremental streams only."""

    kind: str
    version: str
    nonce: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Held:
    """One resource as a proxy has it: synced, stale, not sent, error, or does not exist."""

    kind: str
    name: str
    state: str
    version: str    # accepted last; empty: none
    error: str = ""


@dataclass(slots=True)
class Subscription:
    """One type on one stream."""

    wildcard: bool = False
    names: set[str] = field(default_factory=set)
    sent: dict[str, str] = field(default_factory=dict)      # name -> version, as last sent
    acked: dict[str, str] = field(default_factory=dict)     # as last accepted
    asked: set[str] = field(default_factory=set)            # incremental: must be answered, be it by absence
    nonce: str = ""
    pending: dict[str, str | None] = field(default_factory=dict)    # what that has; none: removed
    waiting: bool = False       # a response is out and neither accepted nor refused
    answered: bool = False      # some response was sent
    refused: dict[str, str] | None = None   # what the proxy would not take
    error: str = ""             # and its words
    brought: bool = False       # state of the world: the proxy has some already, and does not say which
    seen: Mapping[str, Resource] | None = None  # incremental: all there was when it was looked at last

    def wants(self, name: str) -> bool:
        return self.wildcard or name in self.names or collection(name) in self.names


class Stream:
    """One aggregated stream of one proxy."""

    def __init__(self, incremental: bool) -> None:
        self.incremental = incremental
        self.kinds: dict[str, Subscription] = {}
        self.floor: Stand | None = None     # the newest roster that the proxy says it holds, or was sent
        self.count = 0

    # Requests

    def request(self, kind: str, version: str, nonce: str, names: Iterable[str], error: str | None) -> None:
        """A state-of-the-world request (DiscoveryRequest); raises Misuse."""
        names = set(names)
        s, first = self._subscription(kind, len(names))
        if not nonce:
            self._holds([version])
            s.brought = s.brought or bool(version)
        elif nonce != s.nonce:
            return      # of an answer that a newer one has overtaken
        else:
            self._judge(s, error)
        if first or nonce or names:
            wildcard = "*" in names or (kind in WILD and not names and (first or s.wildcard))
            new = names - {"*"}
            if not new <= s.names and new:
                s.asked |= new - s.names
            s.wildcard, s.names = wildcard, new

    def delta(self, kind: str, nonce: str, subscribe: Iterable[str], unsubscribe: Iterable[str],
              initial: Mapping[str, str], error: str | None) -> None:
        """An incremental request (DeltaDiscoveryRequest); raises Misuse."""
        subscribe, unsubscribe = set(subscribe), set(unsubscribe)
        s, first = self._subscription(kind, len(subscribe) + len(initial))
        if nonce and nonce == s.nonce:
            self._judge(s, error)
        if first:
            self._holds(initial.values())
            s.sent.update(initial)
            s.acked.update(initial)
            s.wildcard = kind in WILD and not subscribe
        if "*" in subscribe:
            s.wildcard = True
        if subscribe or unsubscribe:
            s.seen = None
        s.names |= subscribe - {"*"}
        s.asked |= subscribe - {"*"}
        if not first:   # whoever subscribes again is owed it again
            for name in subscribe:
                s.sent.pop(name, None)
        if len(s.names) > MOST_NAMES:
            raise Misuse(f"more than {MOST_NAMES} subscriptions to one type")
        if "*" in unsubscribe:
            s.wildcard = False
        s.names -= unsubscribe
        s.asked -= unsubscribe
        for name in [n for n in s.sent if not s.wants(n)] if first or unsubscribe else ():
            del s.sent[name]
            s.acked.pop(name, None)

    def _subscription(self, kind: str, count: int) -> tuple[Subscription, bool]:
        if kind not in ORDER:
            raise Misuse(f"the type {kind[:100]!r} is not served here")
        if count > MOST_NAMES:
            raise Misuse(f"more than {MOST_NAMES} names in one request")
        first = kind not in self.kinds
        if kind == LEDS and not self.incremental:
            raise Misuse("endpoints by collections are for incremental streams")
        return self.kinds.setdefault(kind, Subscription()), first

    def _holds(self, versions: Iterable[str]) -> None:
        """What a proxy brings from an earlier stream, here or elsewhere."""
        for text in versions:
            label = read_label(text)
            if label is not None and (self.floor is None or label.stand > self.floor):
                self.floor = label.stand

    def _judge(self, s: Subscription, error: str | None) -> None:
        """An ACK or a NACK of the response that is out."""
        if not s.waiting:
            return      # a mere change of subscription
        s.waiting = False
        if error is not None:
            s.refused, s.error = dict(s.sent), error[:MOST_ERROR]
            return
        s.refused, s.error = None, ""
        if not self.incremental:
            s.acked = {}
        for name, version in s.pending.items():
            if version is None:
                s.acked.pop(name, None)
            elif s.wants(name):
                s.acked[name] = version

    # Responses

    def pull(self, snapshot: Snapshot, fresh: bool = True) -> Response | None:
        """The response that is due now, if any; it counts as sent.

        Nothing is sent of a roster older than one that the proxy has had, nor of one that is not `fresh` to a
        proxy that has none.
        """
        if self.floor is None and not fresh or self.floor is not None and snapshot.stand < self.floor:
            return None
        for kind in ORDER:
            s = self.kinds.get(kind)
            if s is None or s.waiting or self._must_wait(kind):
                continue
            response = self._delta(kind, s, snapshot) if self.incremental else self._world(kind, s, snapshot)
            if response is not None:
                s.nonce, s.waiting, s.answered = response.nonce, True, True
                s.pending = {r.name: r.version for r in response.resources}
                s.pending |= dict.fromkeys(response.removed)
                self.floor = max(self.floor or snapshot.stand, snapshot.stand)
                return response
        return None

    def _must_wait(self, kind: str) -> bool:
        """Routes wait until the clusters that they may point to are accepted; endpoints wait for nobody.

        Clusters come first in the order: where none is due, out or refused, all are accepted.
        """
        if kind not in (LDS, RDS) or (clusters := self.kinds.get(CDS)) is None:
            return False
        # Refused ones: it goes on with the routes that it has.
        return clusters.waiting or (clusters.refused is not None and self.kinds[kind].answered)

    def _kept(self, kind: str, s: Subscription, snapshot: Snapshot) -> set[str]:
        """Clusters that are gone, but which the routes that the proxy has may still point to.

        One that comes back and speaks the state of the world does not say which it has: all that are gone
        since this service runs may be among them.  (What went before that, it can't be given again.)
        """
        routes = self.kinds.get(RDS)
        if kind != CDS or routes is None:
            return set()
        there = snapshot.types.get(RDS, {})
        current = all(routes.acked.get(n) == r.version for n, r in there.items() if routes.wants(n))
        gone = s.sent.keys() - snapshot.types.get(CDS, {}).keys()
        return set() if current else gone | (snapshot.past.keys() if s.brought else set())

    def _next(self) -> str:
        self.count += 1
        return str(self.count)

    def _world(self, kind: str, s: Subscription, snapshot: Snapshot) -> Response | None:
        there = snapshot.types.get(kind, {})
        wanted = {n: r for n, r in there.items() if s.wants(n)}
        kept = self._kept(kind, s, snapshot)
        wanted |= {n: r for n, r in snapshot.past.items() if n in kept and s.wants(n)}
        versions = {n: r.version for n, r in wanted.items()}
        asked, s.asked = s.asked, set()
        news = versions != s.sent or bool(asked & versions.keys())
        if not (news or (s.wildcard and not s.answered)):   # what was refused was sent, too: not again
            return None
        if not versions and not s.wildcard:
            return None     # nothing of what is subscribed to is there; its absence is not told this way
        s.sent = versions
        newest = max((r.label for r in wanted.values()), default=Label(snapshot.stand, "0" * 12))
        whole = digest("".join(f"{n}={v};" for n, v in sorted(versions.items())).encode())
        return Response(kind, str(Label(newest.stand, whole)), self._next(),
                        tuple(wanted[n] for n in sorted(wanted)))

    def _delta(self, kind: str, s: Subscription, snapshot: Snapshot) -> Response | None:
        there, kept = snapshot.types.get(kind, {}), self._kept(kind, s, snapshot)
        # Guards the time of a drain: a thousand streams need not each look at a thousand endpoints.
        change = snapshot.changes.get(kind)
        if kind in BY_CHANGE and s.seen is there:
            names: Iterable[str] = ()
        elif kind in BY_CHANGE and change is not None and change.before is s.seen:
            names = change.names
        else:
            names = there.keys() | s.sent.keys()
        s.seen = there
        changed = [there[n] for n in sorted(names) if n in there and s.wants(n) and (
            s.sent.get(n) != there[n].version or (n in s.asked and n not in s.sent))]
        removed = sorted({n for n in names if n in s.sent and n not in there and n not in kept}
                         | {n for n in s.asked if n not in there and not n.endswith("/*")})
        s.asked = set()
        if not changed and not removed and (s.answered or not s.wildcard):
            return None
        for r in changed:
            s.sent[r.name] = r.version
        for name in removed:
            s.sent.pop(name, None)
        version = str(Label(snapshot.stand, "0" * 12))     # for people: proxies go by each resource's own
        return Response(kind, version, self._next(), tuple(changed), tuple(removed))

    def status(self, snapshot: Snapshot) -> list[Held]:
        """What the proxy has of each resource that it wants, by type and name."""
        out = []
        for kind in ORDER:
            if (s := self.kinds.get(kind)) is None:
                continue
            there = snapshot.types.get(kind, {})
            if kind == LEDS:
                out += self._collections(s, there)
                continue
            for name in sorted({n for n in there if s.wants(n)} | s.names | set(s.acked)):
                held, newest = s.acked.get(name, ""), there[name].version if name in there else ""
                if s.refused is not None and s.refused.get(name, held) != held:
                    state = "error"
                elif not newest:
                    state = "stale" if held else "does not exist"
                else:
                    state = "synced" if held == newest else "stale" if held else "not sent"
                out.append(Held(kind, name, state, held, s.error if state == "error" else ""))
        return out

    def _collections(self, s: Subscription, there: Mapping[str, Resource]) -> list[Held]:
        """One line a collection: its members are too many to tell one by one."""
        out = []
        for name in sorted(s.names):
            newest = {n: r.version for n, r in there.items() if collection(n) == name}
            held = {n: v for n, v in s.acked.items() if collection(n) == name}
            state = "error" if s.refused is not None else "synced" if held == newest else (
                "stale" if held else "not sent")
            out.append(Held(LEDS, name, state, f"{len(held)} endpoints" if held else "", s.error))
        return out

    def behind(self, snapshot: Snapshot) -> dict[str, list[str]]:
        """By type, the names whose newest version the proxy has not accepted."""
        out = {}
        for kind, s in self.kinds.items():
            there = snapshot.types.get(kind, {})
            late = sorted(n for n, r in there.items() if s.wants(n) and s.acked.get(n) != r.version)
            late += sorted(n for n in s.acked if n not in there)
            if late:
                out[kind] = late
        return out
