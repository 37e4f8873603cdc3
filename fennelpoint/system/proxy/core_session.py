"""The decider of a front's ties to the core: its lease, what it was told, and by whom.

The lease is counted on this machine's steady clock from the sending of the ask.  It is extended only once what was
newest at the ask is in force here: so a front that can't hear stops before a bound of the rules ends.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from fennelpoint.system.actions import Send
from fennelpoint.system.incarnation import first_number
from fennelpoint.system.mesh import ip_of, name
from fennelpoint.system.proxy.config_fetch import ContentRequests
from fennelpoint.system.proxy.core_choice import CoreChoice
from fennelpoint.system.proxy.session_actions import Apply, Extend, Hold, Lend, Parts, Refresh, Units
from fennelpoint.system.registry.backend_table import BackendReport, BackendTable
from fennelpoint.system.registry.grants import GRANT_TTL_S, POOL_UNIT_TTL_S
from fennelpoint.system.rendezvous_hashing import preference
from fennelpoint.system.settings import Bounds

RENEW = 0.5         # s between asks
PATIENCE = 0.4      # s without an answer after which another core machine is asked, too
CUT, HELPERS = 0.9, 2   # s without an answer after which other fronts are asked to pass words on; how many
NEXT_SEED = 0.15    # s without the core's members after which one more seed is dialled


@dataclass(slots=True)
class CoreSession:
    """What one front holds."""

    me: str
    zone: str
    region: str
    regions: dict[str, str]
    seeds: list[str]
    about: dict             # what each ask tells of us: address, zone, region, life
    born: float
    lease_s: float = Bounds().lease_s   # that a lease lasts, from the sending of its ask
    backends: BackendTable = field(default_factory=BackendTable)
    rev: int = -1
    version: int = 0
    digest: str = ""
    evac: frozenset = frozenset()
    core: dict[str, str] = field(default_factory=dict)  # zones by IP address
    core_rev: int = -1      # of the value that names them
    applied: str = ""       # digest of the configuration in force here
    goes_by: int = 0        # its version
    proven_at: float = -1e9     # when the newest ask was sent that proved what is in force here to be the newest
    until: float = 0.0      # end of the lease
    held: bool = False
    ready: bool = False
    parts: Parts = field(default_factory=Parts)
    fence: list = field(default_factory=lambda: [0, ""])   # the newest term that we told what we hold
    lent: bool = False      # the parts are in force
    holds: bool = False     # whoever reckons has to be told what we hold
    asked: Callable[[], dict[str, int]] = dict    # what was asked here by tenant, since it was last taken
    number: int = 0         # of the list's newest change that was heard
    lists: set[str] = field(default_factory=set)    # core machines whose whole list came
    up: set[str] = field(default_factory=set)
    others: list[str] = field(default_factory=list)     # fronts that are ready, by IP address
    helper: str = ""        # who passes our words on
    helper_at: float = -1e9
    turn: int = 0
    asked_at: float = -1e9
    answered_at: float = -1e9
    helped: bool = False    # the second one was asked, too
    helped_at: float = -1e9
    direct_at: float = -1e9     # when a core machine last answered without a helper
    seen: bool = False      # we have held a lease
    cut: bool = False       # no core machine answers
    numbers: int = 0        # of the newest of our asks and draws
    asks: dict[int, float] = field(default_factory=dict)    # those whose answers count, and when each was sent
    pending: dict[str, list[float]] = field(default_factory=dict)   # sendings of asks whose content is awaited
    requests: ContentRequests = field(default_factory=ContentRequests)
    out: list = field(default_factory=list)
    choice: CoreChoice = field(init=False)

    def __post_init__(self) -> None:
        self.choice = CoreChoice(self.me, self.zone, self.region, self.regions)
        self.numbers = first_number(self.about.get("life", 0))

    def _number(self, now: float) -> int:
        """The number of an ask or a draw that is sent now."""
        while self.asks and now - next(iter(self.asks.values())) > max(GRANT_TTL_S, self.lease_s):
            del self.asks[next(iter(self.asks))]
        self.numbers += 1
        self.asks[self.numbers] = now
        return self.numbers

    # Whom to hear

    @property
    def _zones(self) -> dict[str, str]:
        """Zones of the core machines that are known, and of the seeds."""
        return dict.fromkeys(self.seeds, "") | self.core

    def order(self) -> list[str]:
        """Core machines, the nearest first; the seeds, while nothing is known."""
        return self.choice.order(self._zones)

    def peers(self, now: float) -> set[str]:
        """Those to hold connections to.

        While no core machine is known, one seed after the other: hundreds of fronts may start together.
        """
        if self.core:
            held = self.choice.held(self._zones)
        else:
            held = self.order()[:1 + int((now - self.born) / NEXT_SEED)]
        return {name("roll", ip) for ip in held} | self.helping()

    def _reached(self, now: float) -> list[str]:
        """Core machines that are connected, those that answer first."""
        return [p for p in (name("roll", ip) for ip in self.choice.by_answers(self._zones, now)) if p in self.up]

    def helping(self) -> set[str]:
        """Other fronts, while no core machine is heard: some of them may still reach one."""
        if not self.cut or not self.others:
            return set()
        # A ring of our own: fronts that are cut off together would all ask the same few, or one another.
        ring = sorted((ip for ip in self.others if ip != self.me), key=lambda ip: preference(self.me, ip))
        return {name("span", ring[(self.turn + i) % len(ring)]) for i in range(min(HELPERS, len(ring)))}

    def holding(self, now: float) -> list | None:
        """What we hold by the word of a reckoner before, for the one that has begun: whose term fences it, s left."""
        parts = self.parts
        if not self.holds or not parts.number:
            return None
        return [parts.quotas, parts.cold, parts.slack, self.fence, max(0.0, parts.until - now)]

    # Events

    def linked(self, peer: str, up: bool, now: float) -> list:
        if peer.startswith("span@"):
            if up and self.cut and peer in self.helping() and not self.helper:
                self._by(peer, now)
            elif not up and peer == self.helper:
                self.helper = ""
            return self._done()
        if up:
            self.up.add(peer)
            self._send(peer, ["front", self.about, self._known(now)])
            if now - self.answered_at > PATIENCE:
                self._ask([peer], now)
        else:
            self.up.discard(peer)
            self.lists.discard(peer)
        return self._done()

    def heard(self, peer: str, message: list, now: float) -> list:
        kind, *rest = message
        do = getattr(self, f"_on_{kind}", None)
        if do is not None:
            do(peer, now, *rest)
        return self._done()

    def _by(self, peer: str, now: float) -> None:
        """Speak to the core by way of another front from now on."""
        self.helper, self.helper_at = peer, now
        self._send(peer, ["pass", ["front", self.about, self._known(now)]])
        self._ask_by_helper(now)

    def _known(self, now: float) -> list:
        """The list as it is here, and which of them count as lost."""
        return [[*b.current_report(now).pack(), b.is_lost] for b in self.backends.by_id.values()]

    def _ask_by_helper(self, now: float) -> None:
        self._send(self.helper, ["pass", ["ask", self._number(now), self.ready, self.number, self._wants(now),
                                          self.goes_by]])

    def _wants(self, now: float) -> list:
        """Of parts: which we go by, what was asked here, and to a reckoner that asked for it what they are."""
        return [[self.parts.term, self.parts.number], self.asked(), self.holding(now)]

    def _on_pass(self, peer: str, now: float, message: list) -> None:
        """Another front asks us to pass a word on: we add no trust, as it carries its own number."""
        reached = self._reached(now)
        if reached and not self.cut and message[0] in ("front", "ask", "need", "draw"):
            self._send(reached[0], ["pass", ip_of(peer), message])

    def _on_passed(self, peer: str, now: float, ip: str, message: list) -> None:
        """A core machine's word: for us by way of `peer`, or for another front by way of us."""
        if ip != self.me:
            return self._send(name("span", ip), ["passed", ip, message])
        if peer == self.helper:
            self.out += self.heard(peer, message, now) if message[0] != "passed" else []

    def tick(self, now: float) -> list:
        self.cut = self.seen and now - self.direct_at > CUT
        if not self.cut:
            self.helper = ""
        if self.helper and now - self.answered_at > 2.0 * CUT and now - self.helper_at > CUT:
            self.helper, self.turn = "", self.turn + HELPERS
        if self.helper and now - self.helped_at >= RENEW:
            self.helped_at = now
            self._ask_by_helper(now)
        if self.core:
            self.choice.renew(self._zones, {ip_of(peer) for peer in self.up}, now)
        reached = self._reached(now)
        if now - self.asked_at >= RENEW and reached:
            self._ask(reached[:1], now)
            self._probe([peer for peer in reached[1:] if self.choice.silent(ip_of(peer), now)], now)
            self.helped = False
        elif not self.helped and len(reached) > 1 and self.answered_at < self.asked_at < now - PATIENCE:
            self.helped = True
            self._ask(reached[1:], now, again=True)
        if self.pending and self.requests.due(now):
            self._want(now)
        if self.lent and now >= self.parts.until:
            self.lent = False
            self.parts = Parts(self.parts.term)
            self.out.append(Lend())
        if self.held and now >= self.until:
            self.held = False
            self.out.append(Hold(False, self._why_lapsed(now)))
        return self._done()

    def _why_lapsed(self, now: float) -> str:
        """Tells a core that is not heard from one that is, but whose newest configuration did not come."""
        last = f"the last ask that was answered is {now - self.answered_at:.2f} s old"
        if self.pending:
            return f"version {self.version} has not come, {last}"
        return f"no core machine answers, {last}"

    def draw(self, needs: dict[str, int], now: float) -> list:
        """Ask for units of tenants that have no part here."""
        if self.helper and self.cut:
            self._send(self.helper, ["pass", ["draw", self._number(now), needs]])
        elif reached := self._reached(now):
            self._send(reached[0], ["draw", self._number(now), needs])
        return self._done()

    def _on_units(self, peer: str, now: float, number: int, term: list, given: dict, denied: dict,
                  soon: list) -> None:
        """Units of the pool, for a draw of ours; one that is answered twice brings them once."""
        if (sent := self.asks.pop(number, None)) is not None and tuple(term) >= tuple(self.fence):
            self.out.append(Units(given, denied, soon, sent + POOL_UNIT_TTL_S))

    def say(self, now: float) -> list:
        """Tell at once that something of ours has changed."""
        self._ask(self._reached(now)[:2], now)
        return self._done()

    def _done(self) -> list:
        out, self.out = self.out, []
        return out

    def _send(self, to: str, message: list) -> None:
        self.out.append(Send(to, message))

    def _ask(self, peers: list[str], now: float, again: bool = False) -> None:
        if not again:
            self.asked_at = now
        number, want = self._number(now), self._wants(now)
        for i, peer in enumerate(peers):
            self.choice.asked(ip_of(peer), now)
            self._send(peer, ["ask", number, self.ready, self.number, want if i == 0 else [], self.goes_by])

    def _probe(self, peers: list[str], now: float) -> None:
        """Ask silent core machines, too: one that answers again is turned to again."""
        for peer in peers:
            self._send(peer, ["ask", self._number(now), self.ready, self.number, [], self.goes_by])

    # What is told

    def _on_list(self, peer: str, now: float, life: int, number: int, items: list, whole: bool) -> None:
        changed = False
        for *item, lost in items:
            told = BackendReport(*item)
            changed = self.backends.merge(told, now) or changed
            b = self.backends.by_id[told.id]
            if lost is not None and b.is_lost is not lost and told.age_s < 3600 and (
                    lost is False or now - b.heard_at > 2.0):
                b.is_lost, changed = lost, True
        self.number = number
        if whole:
            self.lists.add(peer)
        if changed or whole:
            self.out.append(Refresh())

    def _on_fronts(self, peer: str, now: float, fronts: list) -> None:
        self.others = fronts

    def _on_who(self, peer: str, now: float) -> None:
        """A core machine does not know us yet, or any more."""
        front = ["front", self.about, self._known(now)]
        self._send(peer, ["pass", front] if peer == self.helper else front)

    def _on_core(self, peer: str, now: float, core: dict, rev: int) -> None:
        """Guards against the members of long ago, told by a machine that is cut off."""
        if rev >= self.core_rev:
            self.core, self.core_rev = core, rev

    def _on_tell(self, peer: str, now: float, term: list) -> None:
        """Who reckons has just begun: it has to hear what we hold, and no word of those before counts any more."""
        if tuple(term) >= max(tuple(self.parts.term), tuple(self.fence)):
            self.holds, self.fence = True, term
            if not self.parts.number:
                self.parts.term = term
            if peer == self.helper:
                self._ask_by_helper(now)
            else:
                self._ask([peer], now)

    def _on_lend(self, peer: str, now: float, ask: int, term: list, number: int, parts: list | None) -> None:
        """Parts, by that ask of ours; none: those that we go by are ours for longer."""
        if (sent := self.asks.get(ask)) is None:
            return
        ours = (tuple(self.parts.term), self.parts.number)
        said = (tuple(term), number)
        if tuple(term) < tuple(self.fence) or said < ours or parts is None and said != ours:
            return
        self.holds = False
        if parts is None:
            self.parts.until = max(self.parts.until, sent + GRANT_TTL_S)
            self.out.append(Extend())
            return
        quotas, cold, slack = parts
        self.parts = Parts(term, number, quotas, cold, slack, sent + GRANT_TTL_S)
        self.lent = now < self.parts.until
        self.out.append(Lend())

    def _on_world(self, peer: str, now: float, rev: int, version: int, digest: str, evac: list, _: int) -> None:
        self._newest(peer, rev, version, digest, evac, now)

    def _newest(self, peer: str, rev: int, version: int, digest: str, evac: list, now: float) -> None:
        if rev >= self.rev:
            self.requests.named(peer, first=rev > self.rev)
        if rev <= self.rev:
            return
        self.rev, self.version, self.digest = rev, version, digest
        if frozenset(evac) != self.evac:
            self.evac = frozenset(evac)
            self.out.append(Refresh())
        if digest and digest != self.applied:
            self.pending.setdefault(digest, [])
            self._want(now)

    def _want(self, now: float) -> None:
        """Ask for the newest configuration."""
        for peer in self.requests.whom(self.digest, self._reached(now), now):
            self._send(peer, ["need", self.digest])
        if self.helper:
            self._send(self.helper, ["pass", ["need", self.digest]])

    def _on_content(self, peer: str, now: float, digest: str, data: bytes) -> None:
        if digest != self.digest or digest == self.applied:
            return
        self.applied, self.goes_by = digest, self.version
        self.out.append(Apply(self.version, data))
        waits = self.pending.get(digest, [])
        self.pending.clear()
        self._extend(max(waits, default=self.proven_at), now)

    def _on_lease(self, peer: str, now: float, ask: int, rev: int, version: int, digest: str,
                  evac: list, term: int) -> None:
        """The newest there was when we sent that ask.  Guards the lease: a former life's ask says nothing of now."""
        if (sent := self.asks.get(ask)) is None:
            return
        if term > self.fence[0]:
            # Guards parts: whoever reckons now may know of us by a former life of ours only.
            self.fence = [term, ""]
            if not self.seen and self.parts.number and self.parts.term[0] < term:
                self.parts, self.lent = Parts(), False
                self.out.append(Lend())
        self.answered_at = max(self.answered_at, sent)
        if peer.startswith("roll@"):
            self.direct_at = now
            self.choice.answered(ip_of(peer), now)
        self._newest(peer, rev, version, digest, evac, now)
        if rev > self.rev or not self.digest:
            return
        if self.applied == self.digest:
            self._extend(sent, now)
        elif rev == self.rev:
            self.pending.setdefault(self.digest, []).append(sent)

    def _extend(self, sent: float, now: float) -> None:
        """What is in force here was the newest when that ask was sent."""
        self.proven_at = max(self.proven_at, sent)
        self.until = max(self.until, self.proven_at + self.lease_s)
        if not self.held and now < self.until and self.lists:
            self.held = self.seen = True
            self.out.append(Hold(True))

    def allows(self, now: float) -> bool:
        """Whether anything may be sent on."""
        return self.held and now < self.until

