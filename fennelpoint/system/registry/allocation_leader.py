"""Leadership of the allocation: one core machine at a time allocates, by a majority's lease and by an agreed term.

A part of the registry's state machine.  The holder of the leader lease asks the store for a term: a number agreed by
consensus, since no registry remembers one.  It allocates in that term until another term is known to have begun.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from fennelpoint.system.actions import LogEvent
from fennelpoint.system.mesh import ip_of, peer_name
from fennelpoint.system.registry.allocation_parameters import AllocationParameters, ColdBackends
from fennelpoint.system.registry.allocator import READ_VALIDITY_S, Allocator
from fennelpoint.system.registry.backend_table import BackendTable
from fennelpoint.system.registry.leader_lease import LeaderLease
from fennelpoint.system.registry.proxy_enrollment import ProxyEnrollment
from fennelpoint.system.settings import Bounds

TERM_REQUEST_TIMEOUT_S = 3.8  # for the store to number a term: it answers earlier, unless its process has ended
LEADER_ANNOUNCEMENT_TIMEOUT_S = 0.4  # after which a new term without an announced leader counts as having none
OUTDATED_PARAMETERS_S = 2.0  # for which pool units are granted by an older configuration while the newest is fetched


# Messages from core machines and proxies that are handled here, each by a method `on_...`.
ALLOCATION_MESSAGES = frozenset(
    ("claim", "released", "granted", "leads", "want", "draw", "drawn", "units", "lend", "tell")
)


class Registry(Protocol):
    """What the allocation needs of the registry that it is a part of."""

    node_ip: str
    store_peer: str
    seeds: list[str]
    last_token: int
    cluster_state: dict
    linked_registries: set[str]
    connected_proxies: dict[str, int]
    backends: BackendTable
    bounds: Bounds
    state_confirmed_at: float
    actions: list

    @property
    def other_registries(self) -> list[str]: ...
    def is_majority(self, holders: set[str]) -> bool: ...
    def send(self, to: str, message: list) -> None: ...
    def request_read(self, now: float) -> None: ...


class AllocationLeader:
    """One core machine's part in the election of the allocator, and the allocator while this machine leads."""

    def __init__(self, registry: Registry, lease: LeaderLease, cold: ColdBackends) -> None:
        self.registry = registry
        self.lease = lease
        self.cold = cold
        self.allocator: Allocator | None = None  # while this machine holds the lease and its term has begun
        self.term_request: tuple[int, float] | None = None  # its token, and when to repeat it
        self.wait_until = -1e9  # until then, the machine of a term that overtook ours may announce that it leads
        self.enrollment = ProxyEnrollment()  # of this machine's term
        self.parameters = AllocationParameters()
        self.outdated_since = 0.0  # since when the parameters are not those of the newest configuration

    # The lease and the term

    def tick(self, now: float, claims: bool) -> None:
        """Do what is due; `claims`: this machine may claim the lease."""
        if self.allocator is not None and not self.lease.holds(now):
            self.lease.drop()
            self._step_down("no majority grants the lease any more")
        self._claim_lease(now, claims)
        self._announce_release(now)
        if self.allocator is not None and now - self.registry.state_confirmed_at > READ_VALIDITY_S / 3:
            self.registry.request_read(now)
        self._maintain_term(now)
        self._update_enrollment(now)

    def _maintain_term(self, now: float) -> None:
        """Ensure that only the holder of the lease has a leading term or a pending request for a term."""
        if not self.lease.holds(now):
            if self.term_request is not None:
                # Protects the current holder: a term numbered for this machine now would overtake the holder's term.
                self.registry.send(self.registry.store_peer, ["withdraw", self.term_request[0]])
                self.term_request = None
        elif self.term_request is not None:
            if now >= self.term_request[1]:
                self.request_term(now)
        elif self.allocator is None and now >= self.wait_until:
            self.request_term(now)

    def resign(self) -> None:
        """Give up the lease as this machine shuts down: the next one need not wait for the lease to expire."""
        if self.allocator is not None:
            self._log("YIELDS", reason="this machine shuts down")
        self.allocator = None
        self.lease.resign()

    def store_restarted(self, now: float) -> None:
        """Repeat what was requested of the store, which has lost it."""
        self.term_request = (0, now) if self.term_request is not None else None
        self.enrollment.store_restarted()

    def _step_down(self, reason: str) -> None:
        self.allocator = None
        self._log("YIELDS", reason=reason)

    def _claim_lease(self, now: float, claims: bool) -> None:
        registry = self.registry
        candidates = sorted(registry.cluster_state["voters"]) if registry.cluster_state else []
        if not claims or registry.node_ip not in candidates:
            return
        hears_majority = registry.is_majority({registry.node_ip, *registry.linked_registries})
        if (term := self.lease.next_claim(now, candidates.index(registry.node_ip), hears_majority)) is None:
            return
        is_holder = self.lease.holds(now)
        self._broadcast(["claim", list(term), is_holder, self.lease.last_claim])
        if (is_firm := self.lease.handle_claim(term, is_holder, self.lease.last_claim, now)) is not None:
            self._count_grant(term, self.lease.last_claim, registry.node_ip, is_firm, now)

    def _announce_release(self, now: float) -> None:
        if self.lease.released_term is None:
            return
        self._broadcast(["released", list(self.lease.released_term), self.lease.last_claim])
        self.lease.handle_release(self.lease.released_term, self.lease.last_claim, now)
        self.lease.released_term = None

    def on_claim(self, peer: str, now: float, term: list, is_holder: bool, claim: int) -> None:
        """Handle another machine's claim of the lease."""
        if (is_firm := self.lease.handle_claim(tuple(term), is_holder, claim, now)) is not None:
            self.registry.send(peer, ["granted", term, claim, is_firm])

    def on_released(self, peer: str, now: float, term: list, claim: int) -> None:
        """Handle another machine's release of the lease, or of claims that failed."""
        self.lease.handle_release(tuple(term), claim, now)

    def on_granted(self, peer: str, now: float, term: list, claim: int, is_firm: bool) -> None:
        """Handle a voter's grant of a claim of this machine."""
        if tuple(term) != self.lease.term:  # the voter received our release before that claim, or not at all
            return self.registry.send(peer, ["released", term, claim])
        self._count_grant(tuple(term), claim, ip_of(peer), is_firm, now)

    def _count_grant(self, term: tuple, claim: int, voter: str, is_firm: bool, now: float) -> None:
        voters: Collection[str] = (
            self.registry.cluster_state["voters"] if self.registry.cluster_state else self.registry.seeds
        )
        if self.lease.handle_grant(term, claim, voter, is_firm, voters, now):
            self.request_term(now)

    def request_term(self, now: float) -> None:
        """Ask the store for a term, as the holder of the lease."""
        self.term_request = (self._propose("lead", []), now + TERM_REQUEST_TIMEOUT_S)

    def term_numbered(self, status: int, world: dict | None, now: float) -> None:
        """Handle the store's answer to the request for a term."""
        requested_at = self.term_request[1] - TERM_REQUEST_TIMEOUT_S
        if status != 200:
            self.term_request = (0, now)
            return
        self.term_request = None
        if not self.lease.holds(now):
            return
        if world["term"] != self.registry.cluster_state["term"]:
            self.wait_until = now + LEADER_ANNOUNCEMENT_TIMEOUT_S
            return
        # The term was the newest at some time after the request, which may be long before this answer.
        self.allocator = Allocator([world["term"], self.registry.node_ip], world["fronts"], now)
        self.registry.state_confirmed_at = requested_at
        self.enrollment = ProxyEnrollment()
        self._log("LEADS", term=world["term"])
        self._call_fronts(now)

    def on_world(self, term: int, now: float) -> None:
        """Handle the term number of the newest agreed value.

        The term may belong to a machine that has lost the lease since its request; one that leads announces it.
        """
        if self.allocator is not None and term > self.allocator.term[0]:
            self._step_down(f"term {term} has begun")
            self.wait_until = now + LEADER_ANNOUNCEMENT_TIMEOUT_S

    def on_leads(self, peer: str, now: float, term: list) -> None:
        """Handle the announcement of a term's leader: the proxies connected here are to send requests at once."""
        number, leader = term
        if (
            leader != self.registry.node_ip
            and number >= self.registry.cluster_state.get("term", 0)
            and self.lease.holds(now)
        ):
            self.lease.drop()  # it was granted by voters that are no longer the voters
        if self.lease.holder is None or self.lease.holder[1] != leader:
            self.lease.holder, self.lease.holder_seen_at = (self.lease.highest_term, leader), now
        for proxy in self.registry.connected_proxies:
            self.registry.send(proxy, ["tell", term])

    def _call_fronts(self, now: float) -> None:
        """Ask all proxies for requests now: the term has begun, or all outstanding grants have become known."""
        self._broadcast(["leads", self.allocator.term])
        self.on_leads(self.registry.node_ip, now, self.allocator.term)

    def _update_enrollment(self, now: float) -> None:
        if self.allocator is None:
            return
        token = self.registry.last_token + 1
        if (
            change := self.enrollment.next_change(self.allocator, self.registry.cluster_state["fronts"], token, now)
        ) is None:
            return
        self._propose(*change)
        if change[0] == "dismiss":
            self.registry.actions.append(LogEvent("DISMISSED", {"fronts": ", ".join(change[1][0])}))

    # Grants for proxies

    def may_grant(self, now: float) -> bool:
        """Return whether this machine may grant shares now.

        The recent read prevents grants by an allocator that another has replaced: voters change, so that two machines
        may hold the lease.
        """
        return (
            self.allocator is not None
            and self.lease.holds(now)
            and now - self.registry.state_confirmed_at <= READ_VALIDITY_S
        )

    def forward_request(self, now: float, request: list) -> None:
        """Pass the request for shares of a proxy connected here to the allocator."""
        if self.allocator is not None:
            self.on_want(peer_name("roll", self.registry.node_ip), now, *request)
        elif self.lease.holder is not None:
            self.registry.send(peer_name("roll", self.lease.holder[1]), ["want", *request])

    def on_want(
        self,
        peer: str,
        now: float,
        ip: str,
        incarnation: int,
        region: str,
        number: int,
        in_use: list,
        demand: dict,
        holds: list | None,
    ) -> None:
        """Handle a proxy's request for shares, which the registry `peer` passes on."""
        if not self.may_grant(now) or not self.enrollment.admits(ip, self.registry.cluster_state["fronts"]):
            return
        self.allocator.enrol([ip], now)
        all_known_before = self.allocator.all_grants_known(now)
        cold = self.cold.rates(self.registry.backends.by_id, self.parameters, now)
        grant = self.allocator.request_grant(
            ip, incarnation, region, in_use, demand, holds, self.parameters.rates, cold, now
        )
        self._report_violations()
        term = self.allocator.term
        if grant is None:
            self._reply(peer, ["tell", ip, term])
        else:
            content = None if [term, grant.number] == in_use else grant.pack()
            self._reply(peer, ["lend", ip, number, term, grant.number, content])
        if not all_known_before and self.allocator.all_grants_known(now):
            self._call_fronts(now)

    def _report_violations(self) -> None:
        if violations := self.allocator.violations:
            self.registry.actions += violations
            violations.clear()

    def on_draw(self, peer: str, now: float, number: int, needs: dict) -> None:
        """Handle the request of a proxy connected here for units of tenants of whose quota it holds no shares."""
        if self.allocator is not None:
            self.on_drawn(peer_name("roll", self.registry.node_ip), now, ip_of(peer), number, needs)
        elif self.lease.holder is not None:
            self.registry.send(peer_name("roll", self.lease.holder[1]), ["drawn", ip_of(peer), number, needs])

    def on_drawn(self, peer: str, now: float, ip: str, number: int, needs: dict) -> None:
        """Handle a proxy's request for units, which the registry `peer` passes on."""
        if not self.may_grant(now):
            return
        # Enforces a lowered limit: units by the previous limit may be granted for a short time only.
        is_outdated = self.parameters.digest != self.registry.cluster_state["digest"]
        if is_outdated and now - self.outdated_since > OUTDATED_PARAMETERS_S:
            return
        slack = self.registry.bounds.quota_slack
        taken = self.allocator.take_from_pools(ip, needs, self.parameters.rates, self.parameters.bursts, slack, now)
        if taken is not None:
            self._reply(peer, ["units", ip, number, self.allocator.term, *taken])

    def on_units(self, peer: str, now: float, *rest: object) -> None:
        """Pass the allocator's answer on to the proxy."""
        self._forward_to_proxy(["units", *rest])

    def on_lend(self, peer: str, now: float, *rest: object) -> None:
        """Pass the allocator's answer on to the proxy."""
        self._forward_to_proxy(["lend", *rest])

    def on_tell(self, peer: str, now: float, *rest: object) -> None:
        """Pass the allocator's answer on to the proxy."""
        self._forward_to_proxy(["tell", *rest])

    def _reply(self, peer: str, answer: list) -> None:
        if ip_of(peer) == self.registry.node_ip:
            self._forward_to_proxy(answer)
        else:
            self.registry.send(peer, answer)

    def _forward_to_proxy(self, answer: list) -> None:
        kind, ip, *rest = answer
        self.registry.send(peer_name("span", ip), [kind, *rest])

    # Output

    def _broadcast(self, message: list) -> None:
        for peer in self.registry.other_registries:
            self.registry.send(peer, message)

    def _propose(self, kind: str, arguments: list) -> int:
        """Propose a change to the store on this machine; return the token that its answer bears."""
        self.registry.last_token += 1
        self.registry.send(self.registry.store_peer, ["change", self.registry.last_token, kind, arguments, b""])
        return self.registry.last_token

    def _log(self, event: str, **fields: object) -> None:
        self.registry.actions.append(LogEvent(event, {"node": self.registry.node_ip, **fields}))
