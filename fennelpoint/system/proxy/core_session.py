"""The state machine of a proxy's session with the core: its lease, its configuration revision and its grant.

The lease runs on this machine's monotonic clock, from the moment at which its request was sent.  It is extended only
once the configuration that was newest at that moment is applied here, so a proxy that cannot receive messages stops
serving before a bound of the rules is exceeded.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from fennelpoint.system.actions import Send
from fennelpoint.system.incarnation import first_number
from fennelpoint.system.mesh import ip_of, peer_name
from fennelpoint.system.proxy.config_fetch import ContentRequests
from fennelpoint.system.proxy.core_choice import CoreChoice
from fennelpoint.system.proxy.session_actions import (
    ApplyConfig,
    GrantChanged,
    GrantExtended,
    LeaseChanged,
    ProxyGrant,
    RefreshBackends,
    UnitsReceived,
)
from fennelpoint.system.registry.backend_table import BackendReport, BackendTable
from fennelpoint.system.registry.grants import GRANT_TTL_S, POOL_UNIT_TTL_S
from fennelpoint.system.rendezvous_hashing import preference
from fennelpoint.system.settings import Bounds

RENEWAL_INTERVAL_S = 0.5
HEDGE_AFTER_S = 0.4     # without an answer, the request also goes to another core machine
CUT_OFF_AFTER_S, RELAYS = 0.9, 2    # without an answer, this many other proxies are asked to relay messages
NEXT_SEED_AFTER_S = 0.15    # one more seed is dialled while the core's members are unknown


@dataclass(slots=True)
class CoreSession:
    """The session state of one proxy; each event returns the actions for the program to carry out.

    Moments are seconds on the monotonic clock.
    """

    own_ip: str
    zone: str
    region: str
    regions: dict[str, str]
    seeds: list[str]
    registration: dict      # sent to core machines: address, zone, region, life (the incarnation)
    started_at: float
    lease_s: float = Bounds().lease_s   # counted from the sending of the request
    backends: BackendTable = field(default_factory=BackendTable)
    revision: int = -1
    latest_version: int = 0
    latest_digest: str = ""
    evacuated_zones: frozenset = frozenset()
    core_zones: dict[str, str] = field(default_factory=dict)    # zone by IP address of each core machine
    core_revision: int = -1     # revision of `core_zones`
    applied_digest: str = ""    # of the configuration in force here
    applied_version: int = 0
    unusable_digest: str = ""   # of a configuration that cannot be compiled here
    confirmed_at: float = -1e9  # when the newest request was sent that confirmed the applied configuration as newest
    lease_expires_at: float = 0.0
    has_lease: bool = False
    is_ready: bool = False
    grant: ProxyGrant = field(default_factory=ProxyGrant)
    fencing_term: list = field(default_factory=lambda: [0, ""])     # newest allocator term to which we reported
    has_grant: bool = False     # the grant is in force
    must_report_grant: bool = False     # the allocator has to be sent the grant that this proxy holds
    take_request_counts: Callable[[], dict[str, int]] = dict    # requests by tenant since the last call
    list_change: int = 0    # number of the last change of the backend list that was received
    full_list_sources: set[str] = field(default_factory=set)    # core machines that sent their full list
    connected: set[str] = field(default_factory=set)    # names of core machines
    other_proxies: list[str] = field(default_factory=list)  # IP addresses of those that are ready
    relay: str = ""         # name of the proxy that relays messages to the core
    relay_chosen_at: float = -1e9
    relay_offset: int = 0
    renewal_sent_at: float = -1e9
    answered_at: float = -1e9   # when the newest request that was answered was sent
    has_hedged: bool = False    # the latest renewal also went to further core machines
    relay_renewal_at: float = -1e9
    direct_answer_at: float = -1e9  # when a core machine last answered without a relay
    had_lease: bool = False     # a lease was held at some time since the start
    is_cut_off: bool = False    # no core machine answers
    last_request_number: int = 0    # shared by renewals and requests for units
    requests: dict[int, float] = field(default_factory=dict)    # sending times of requests whose answers still count
    awaiting_content: dict[str, list[float]] = field(default_factory=dict)  # sending times of requests, by digest
    content_requests: ContentRequests = field(default_factory=ContentRequests)
    actions: list = field(default_factory=list)
    choice: CoreChoice = field(init=False)

    def __post_init__(self) -> None:
        self.choice = CoreChoice(self.own_ip, self.zone, self.region, self.regions)
        self.last_request_number = first_number(self.registration.get("life", 0))

    def _next_request_number(self, now: float) -> int:
        """Register a request that is sent now and return its number."""
        while self.requests and now - next(iter(self.requests.values())) > max(GRANT_TTL_S, self.lease_s):
            del self.requests[next(iter(self.requests))]
        self.last_request_number += 1
        self.requests[self.last_request_number] = now
        return self.last_request_number

    # Choice of peers

    @property
    def _zones(self) -> dict[str, str]:
        """Zones by IP address of the known core machines and of the seeds, whose zones are unknown."""
        return dict.fromkeys(self.seeds, "") | self.core_zones

    def by_distance(self) -> list[str]:
        """IP addresses of core machines, nearest first; the seeds while no core machine is known."""
        return self.choice.by_distance(self._zones)

    def peers(self, now: float) -> set[str]:
        """Names of the peers to keep connections to.

        While no core machine is known, the seeds are added one by one, since hundreds of proxies may start together.
        """
        if self.core_zones:
            targets = self.choice.connection_targets(self._zones)
        else:
            targets = self.by_distance()[:1 + int((now - self.started_at) / NEXT_SEED_AFTER_S)]
        return {peer_name("roll", ip) for ip in targets} | self.relay_candidates()

    def _connected_core(self, now: float) -> list[str]:
        """Names of connected core machines, the silent ones last."""
        return [p for p in (peer_name("roll", ip) for ip in self.choice.by_responsiveness(self._zones, now))
                if p in self.connected]

    def relay_candidates(self) -> set[str]:
        """Other proxies to connect to while no core machine answers: some of them may still reach one."""
        if not self.is_cut_off or not self.other_proxies:
            return set()
        # Each proxy has its own order: else proxies that are cut off together would ask the same few, or each other.
        ring = sorted((ip for ip in self.other_proxies if ip != self.own_ip),
                      key=lambda ip: preference(self.own_ip, ip))
        return {peer_name("span", ring[(self.relay_offset + i) % len(ring)]) for i in range(min(RELAYS, len(ring)))}

    def grant_to_report(self, now: float) -> list | None:
        """The grant of an earlier allocator, for the new one: its figures, the fencing term and the seconds left."""
        grant = self.grant
        if not self.must_report_grant or not grant.number:
            return None
        return [grant.quotas, grant.cold_rates, grant.slack, self.fencing_term, max(0.0, grant.expires_at - now)]

    # Events

    def handle_connection(self, peer: str, is_up: bool, now: float) -> list:
        """A connection to a core machine or to another proxy was established or lost."""
        if peer.startswith("span@"):
            if is_up and self.is_cut_off and peer in self.relay_candidates() and not self.relay:
                self._use_relay(peer, now)
            elif not is_up and peer == self.relay:
                self.relay = ""
            return self._take_actions()
        if is_up:
            self.connected.add(peer)
            self._send(peer, ["front", self.registration, self._backend_list(now)])
            if now - self.answered_at > HEDGE_AFTER_S:
                self._request_renewal([peer], now)
        else:
            self.connected.discard(peer)
            self.full_list_sources.discard(peer)
        return self._take_actions()

    def handle_message(self, peer: str, message: list, now: float) -> list:
        """Dispatch a message to the `_on_<kind>` method of its kind; unknown kinds are ignored."""
        kind, *rest = message
        handler = getattr(self, f"_on_{kind}", None)
        if handler is not None:
            handler(peer, now, *rest)
        return self._take_actions()

    def _use_relay(self, peer: str, now: float) -> None:
        """Send messages to the core through another proxy from now on."""
        self.relay, self.relay_chosen_at = peer, now
        self._send(peer, ["pass", ["front", self.registration, self._backend_list(now)]])
        self._renew_via_relay(now)

    def _backend_list(self, now: float) -> list:
        """The packed backend list of this proxy, with each backend's `lost` flag."""
        return [[*b.current_report(now).pack(), b.is_lost] for b in self.backends.by_id.values()]

    def _renew_via_relay(self, now: float) -> None:
        self._send(self.relay, ["pass", ["ask", self._next_request_number(now), self.is_ready, self.list_change,
                                         self._grant_request(now), self.applied_version]])

    def _grant_request(self, now: float) -> list:
        """The grant in use, the demand by tenant, and the grant's content if a new allocator asked for it."""
        return [[self.grant.term, self.grant.number], self.take_request_counts(), self.grant_to_report(now)]

    def _on_pass(self, peer: str, now: float, message: list) -> None:
        """Relay a message for another proxy.

        That needs no trust in the relay, as the message carries the request number of its sender.
        """
        connected = self._connected_core(now)
        if connected and not self.is_cut_off and message[0] in ("front", "ask", "need", "draw"):
            self._send(connected[0], ["pass", ip_of(peer), message])

    def _on_passed(self, peer: str, now: float, ip: str, message: list) -> None:
        """A relayed message of a core machine: to this proxy through `peer`, or to another one through this."""
        if ip != self.own_ip:
            return self._send(peer_name("span", ip), ["passed", ip, message])
        if peer == self.relay:
            self.actions += self.handle_message(peer, message, now) if message[0] != "passed" else []

    def tick(self, now: float) -> list:
        """Run what is due: renewals, hedged requests, content requests, and the ends of the grant and the lease."""
        self.is_cut_off = self.had_lease and now - self.direct_answer_at > CUT_OFF_AFTER_S
        if not self.is_cut_off:
            self.relay = ""
        if (self.relay and now - self.answered_at > 2.0 * CUT_OFF_AFTER_S
                and now - self.relay_chosen_at > CUT_OFF_AFTER_S):
            self.relay, self.relay_offset = "", self.relay_offset + RELAYS
        if self.relay and now - self.relay_renewal_at >= RENEWAL_INTERVAL_S:
            self.relay_renewal_at = now
            self._renew_via_relay(now)
        if self.core_zones:
            self.choice.update_fallbacks(self._zones, {ip_of(peer) for peer in self.connected}, now)
        connected = self._connected_core(now)
        if now - self.renewal_sent_at >= RENEWAL_INTERVAL_S and connected:
            self._request_renewal(connected[:1], now)
            self._probe([peer for peer in connected[1:] if self.choice.is_silent(ip_of(peer), now)], now)
            self.has_hedged = False
        elif (not self.has_hedged and len(connected) > 1
              and self.answered_at < self.renewal_sent_at < now - HEDGE_AFTER_S):
            self.has_hedged = True
            self._request_renewal(connected[1:], now, is_hedge=True)
        if self.awaiting_content and self.content_requests.is_due(now):
            self._request_content(now)
        if self.has_grant and now >= self.grant.expires_at:
            self.has_grant = False
            self.grant = ProxyGrant(self.grant.term)
            self.actions.append(GrantChanged())
        if self.has_lease and now >= self.lease_expires_at:
            self.has_lease = False
            self.actions.append(LeaseChanged(False, self._lapse_reason(now)))
        return self._take_actions()

    def _lapse_reason(self, now: float) -> str:
        """Distinguishes an unreachable core from one that answers while its newest configuration has not arrived."""
        last = f"the last answered renewal was sent {now - self.answered_at:.2f} s ago"
        if self.awaiting_content:
            return f"configuration version {self.latest_version} has not arrived; {last}"
        if self.latest_digest and self.latest_digest == self.unusable_digest:
            return f"configuration version {self.latest_version} cannot be used; {last}"
        return f"no core machine answers; {last}"

    def request_units(self, needs: dict[str, int], now: float) -> list:
        """Request units of pooled quotas, by tenant."""
        if self.relay and self.is_cut_off:
            self._send(self.relay, ["pass", ["draw", self._next_request_number(now), needs]])
        elif connected := self._connected_core(now):
            self._send(connected[0], ["draw", self._next_request_number(now), needs])
        return self._take_actions()

    def _on_units(self, peer: str, now: float, number: int, term: list, granted: dict, denied: dict,
                  briefly_short: list) -> None:
        """Units of pooled quotas; a duplicate answer to a request is ignored."""
        if (sent_at := self.requests.pop(number, None)) is not None and tuple(term) >= tuple(self.fencing_term):
            self.actions.append(UnitsReceived(granted, denied, briefly_short, sent_at + POOL_UNIT_TTL_S))

    def renew_now(self, now: float) -> list:
        """Send a renewal at once, as the state that it reports has changed."""
        self._request_renewal(self._connected_core(now)[:2], now)
        return self._take_actions()

    def _take_actions(self) -> list:
        actions, self.actions = self.actions, []
        return actions

    def _send(self, to: str, message: list) -> None:
        self.actions.append(Send(to, message))

    def _request_renewal(self, peers: list[str], now: float, is_hedge: bool = False) -> None:
        if not is_hedge:
            self.renewal_sent_at = now
        number, grant_request = self._next_request_number(now), self._grant_request(now)
        for i, peer in enumerate(peers):
            self.choice.note_request(ip_of(peer), now)
            self._send(peer, ["ask", number, self.is_ready, self.list_change, grant_request if i == 0 else [],
                              self.applied_version])

    def _probe(self, peers: list[str], now: float) -> None:
        """Send renewals to silent core machines, too, so that one that answers again is used again."""
        for peer in peers:
            self._send(peer, ["ask", self._next_request_number(now), self.is_ready, self.list_change, [],
                              self.applied_version])

    # Messages of core machines

    def _on_list(self, peer: str, now: float, incarnation: int, number: int, items: list, is_full: bool) -> None:
        """Changes of the backend list up to that number, or the full list; each item ends in its `lost` flag."""
        changed = False
        for *item, lost in items:
            record = BackendReport(*item)
            changed = self.backends.merge(record, now) or changed
            backend = self.backends.by_id[record.id]
            if (lost is not None and backend.is_lost is not lost and record.age_s < 3600
                    and (lost is False or now - backend.heard_at > 2.0)):
                backend.is_lost, changed = lost, True
        self.list_change = number
        if is_full:
            self.full_list_sources.add(peer)
        if changed or is_full:
            self.actions.append(RefreshBackends())

    def _on_fronts(self, peer: str, now: float, proxies: list) -> None:
        """IP addresses of the proxies that are ready."""
        self.other_proxies = proxies

    def _on_who(self, peer: str, now: float) -> None:
        """A core machine does not know this proxy yet, or has forgotten it."""
        registration = ["front", self.registration, self._backend_list(now)]
        self._send(peer, ["pass", registration] if peer == self.relay else registration)

    def _on_core(self, peer: str, now: float, zones: dict, revision: int) -> None:
        """Guards against an outdated member list from a core machine that is cut off."""
        if revision >= self.core_revision:
            self.core_zones, self.core_revision = zones, revision

    def _on_tell(self, peer: str, now: float, term: list) -> None:
        """A new allocator has taken over: it needs the current grant, and messages of earlier terms are void."""
        if tuple(term) >= max(tuple(self.grant.term), tuple(self.fencing_term)):
            self.must_report_grant, self.fencing_term = True, term
            if not self.grant.number:
                self.grant.term = term
            if peer == self.relay:
                self._renew_via_relay(now)
            else:
                self._request_renewal([peer], now)

    def _on_lend(self, peer: str, now: float, request: int, term: list, number: int, shares: list | None) -> None:
        """A grant for that request; without `shares` the current grant is extended."""
        if (sent_at := self.requests.get(request)) is None:
            return
        current = (tuple(self.grant.term), self.grant.number)
        received = (tuple(term), number)
        if tuple(term) < tuple(self.fencing_term) or received < current or shares is None and received != current:
            return
        self.must_report_grant = False
        if shares is None:
            self.grant.expires_at = max(self.grant.expires_at, sent_at + GRANT_TTL_S)
            self.actions.append(GrantExtended())
            return
        quotas, cold_rates, slack = shares
        self.grant = ProxyGrant(term, number, quotas, cold_rates, slack, sent_at + GRANT_TTL_S)
        self.has_grant = now < self.grant.expires_at
        self.actions.append(GrantChanged())

    def _on_world(self, peer: str, now: float, revision: int, version: int, digest: str, evacuated: list,
                  _: int) -> None:
        self._learn_revision(peer, revision, version, digest, evacuated, now)

    def _learn_revision(self, peer: str, revision: int, version: int, digest: str, evacuated: list,
                        now: float) -> None:
        if revision >= self.revision:
            self.content_requests.note_announcement(peer, is_first=revision > self.revision)
        if revision <= self.revision:
            return
        self.revision, self.latest_version, self.latest_digest = revision, version, digest
        if frozenset(evacuated) != self.evacuated_zones:
            self.evacuated_zones = frozenset(evacuated)
            self.actions.append(RefreshBackends())
        if digest and digest not in (self.applied_digest, self.unusable_digest):
            self.awaiting_content.setdefault(digest, [])
            self._request_content(now)

    def _request_content(self, now: float) -> None:
        """Request the content of the newest configuration."""
        for peer in self.content_requests.peers_to_ask(self.latest_digest, self._connected_core(now), now):
            self._send(peer, ["need", self.latest_digest])
        if self.relay:
            self._send(self.relay, ["pass", ["need", self.latest_digest]])

    def _on_content(self, peer: str, now: float, digest: str, data: bytes) -> None:
        if digest == self.latest_digest and digest not in (self.applied_digest, self.unusable_digest):
            self.actions.append(ApplyConfig(self.latest_version, digest, data))

    def handle_applied(self, version: int, digest: str, now: float) -> list:
        """The configuration of an `ApplyConfig` is in force here: the lease counts from now on."""
        self.applied_digest, self.applied_version = digest, version
        sending_times = self.awaiting_content.get(digest, [])
        self.awaiting_content.clear()
        self._extend_lease(max(sending_times, default=self.confirmed_at), now)
        return self._take_actions()

    def handle_unusable(self, digest: str) -> None:
        """The configuration of an `ApplyConfig` cannot be compiled here: no lease until a newer one arrives."""
        self.unusable_digest = digest
        self.awaiting_content.clear()

    def _on_lease(self, peer: str, now: float, request: int, revision: int, version: int, digest: str,
                  evacuated: list, term: int) -> None:
        """The newest revision at the time of that request.

        Guards the lease: an answer to a request of an earlier incarnation says nothing about the present state.
        """
        if (sent_at := self.requests.get(request)) is None:
            return
        if term > self.fencing_term[0]:
            # Guards the grant: the present allocator may know only an earlier incarnation of this proxy.
            self.fencing_term = [term, ""]
            if not self.had_lease and self.grant.number and self.grant.term[0] < term:
                self.grant, self.has_grant = ProxyGrant(), False
                self.actions.append(GrantChanged())
        self.answered_at = max(self.answered_at, sent_at)
        if peer.startswith("roll@"):
            self.direct_answer_at = now
            self.choice.note_answer(ip_of(peer), now)
        self._learn_revision(peer, revision, version, digest, evacuated, now)
        if revision > self.revision or not self.latest_digest:
            return
        if self.applied_digest == self.latest_digest:
            self._extend_lease(sent_at, now)
        elif revision == self.revision and self.latest_digest != self.unusable_digest:
            self.awaiting_content.setdefault(self.latest_digest, []).append(sent_at)

    def _extend_lease(self, sent_at: float, now: float) -> None:
        """The applied configuration was the newest one when the request of that time was sent."""
        self.confirmed_at = max(self.confirmed_at, sent_at)
        self.lease_expires_at = max(self.lease_expires_at, self.confirmed_at + self.lease_s)
        if not self.has_lease and now < self.lease_expires_at and self.full_list_sources:
            self.has_lease = self.had_lease = True
            self.actions.append(LeaseChanged(True))

    def has_valid_lease(self, now: float) -> bool:
        """Whether requests may be forwarded now, even if the timer that ends the lease has not run yet."""
        return self.has_lease and now < self.lease_expires_at
