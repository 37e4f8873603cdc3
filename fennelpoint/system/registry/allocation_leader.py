"""The duty of allocating parts: one core machine at a time does it, by a lease that a majority granted and by a term.

A part of `state_machine`.  Whoever is granted the duty asks the store for a term, a number that is agreed
since no registry remembers one, and allocates by that until another term is known to have begun.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from fennelpoint.system.actions import Note
from fennelpoint.system.mesh import ip_of, name
from fennelpoint.system.registry.allocation_parameters import ColdBackends, Figures
from fennelpoint.system.registry.allocator import HOLD, Allocator
from fennelpoint.system.registry.backend_table import BackendTable
from fennelpoint.system.registry.leader_lease import Duty
from fennelpoint.system.registry.proxy_enrollment import Roster
from fennelpoint.system.settings import Bounds

LEAD_AGAIN = 3.8  # s for the store to number a term: it tells before, unless it has ended
LEADER_SILENT = 0.4  # s in which whoever a term was given to says that it leads, else it does not
OUTDATED_FIGURES = 2.0  # s that draws are granted by a configuration that is not the newest, while that comes


# Messages between core machines and from fronts that are the duty's, each with a method `on_...`.
MESSAGES = frozenset(("claim", "released", "granted", "leads", "want", "draw", "drawn", "units", "lend", "tell"))


class Registry(Protocol):
    """What the duty needs of the registry that it is a part of."""

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


class AllocationDuty:
    """One core machine's part in it."""

    def __init__(self, registry: Registry, duty: Duty, cold: ColdBackends) -> None:
        self.registry = registry
        self.duty = duty
        self.cold = cold
        self.allocator: Allocator | None = None  # while the duty is ours and its term has begun
        self.leading: tuple[int, float] | None = None  # the call for our term's number, and when to call again
        self.wait_until = -1e9  # until when whoever has a term that passed ours may say that it leads
        self.roster = Roster()  # of our term
        self.figures = Figures()
        self.behind_since = 0.0  # since when the figures are not the newest configuration's

    # The lease and the term

    def tick(self, now: float, claims: bool) -> None:
        """What is due; `claims`: this machine may ask for the duty."""
        if self.allocator is not None and not self.duty.holds(now):
            self.duty.leave()
            self._yield("no majority grants it any more")
        self._claim(now, claims)
        self._release(now)
        if self.allocator is not None and now - self.registry.state_confirmed_at > HOLD / 3:
            self.registry.request_read(now)
        self._see_to_term(now)
        self._tend_roster(now)

    def _see_to_term(self, now: float) -> None:
        """Whoever holds the duty has a term that leads or a call for one out, and nobody else has."""
        if not self.duty.holds(now):
            if self.leading is not None:
                # Guards whoever holds the duty by then: a term that was numbered for us would pass its own.
                self.registry.send(self.registry.store_peer, ["withdraw", self.leading[0]])
                self.leading = None
        elif self.leading is not None:
            if now >= self.leading[1]:
                self.lead(now)
        elif self.allocator is None and now >= self.wait_until:
            self.lead(now)

    def resign(self) -> None:
        """This machine leaves: the next in line need not wait for the lease to end."""
        if self.allocator is not None:
            self._note("YIELDS", reason="it leaves")
        self.allocator = None
        self.duty.resign()

    def store_restarted(self, now: float) -> None:
        """The store has forgotten what was asked of it."""
        self.leading = (0, now) if self.leading is not None else None
        self.roster.forgotten()

    def _yield(self, reason: str) -> None:
        self.allocator = None
        self._note("YIELDS", reason=reason)

    def _claim(self, now: float, claims: bool) -> None:
        registry = self.registry
        line = sorted(registry.cluster_state["voters"]) if registry.cluster_state else []
        if not claims or registry.node_ip not in line:
            return
        whole = registry.is_majority({registry.node_ip, *registry.linked_registries})
        if (term := self.duty.due(now, line.index(registry.node_ip), whole)) is None:
            return
        held = self.duty.holds(now)
        self._tell_others(["claim", list(term), held, self.duty.claims])
        if (firm := self.duty.claimed(term, held, self.duty.claims, now)) is not None:
            self._voted(term, self.duty.claims, registry.node_ip, firm, now)

    def _release(self, now: float) -> None:
        if self.duty.left is None:
            return
        self._tell_others(["released", list(self.duty.left), self.duty.claims])
        self.duty.released(self.duty.left, self.duty.claims, now)
        self.duty.left = None

    def on_claim(self, peer: str, now: float, term: list, held: bool, number: int) -> None:
        if (firm := self.duty.claimed(tuple(term), held, number, now)) is not None:
            self.registry.send(peer, ["granted", term, number, firm])

    def on_released(self, peer: str, now: float, term: list, number: int) -> None:
        self.duty.released(tuple(term), number, now)

    def on_granted(self, peer: str, now: float, term: list, number: int, firm: bool) -> None:
        if tuple(term) != self.duty.term:  # it hears of our release before that claim, or not at all
            return self.registry.send(peer, ["released", term, number])
        self._voted(tuple(term), number, ip_of(peer), firm, now)

    def _voted(self, term: tuple, number: int, by: str, firm: bool, now: float) -> None:
        voters: Collection[str] = (
            self.registry.cluster_state["voters"] if self.registry.cluster_state else self.registry.seeds
        )
        if self.duty.voted(term, number, by, firm, voters, now):
            self.lead(now)

    def lead(self, now: float) -> None:
        """The duty is ours: ask the store for a term."""
        self.leading = (self._change("lead", []), now + LEAD_AGAIN)

    def term_numbered(self, status: int, world: dict | None, now: float) -> None:
        """The store's answer to the call for a term."""
        asked_at = self.leading[1] - LEAD_AGAIN
        if status != 200:
            self.leading = (0, now)
            return
        self.leading = None
        if not self.duty.holds(now):
            return
        if world["term"] != self.registry.cluster_state["term"]:
            self.wait_until = now + LEADER_SILENT
            return
        # The term was the newest at some time after it was asked for, which may be long before this answer.
        self.allocator = Allocator([world["term"], self.registry.node_ip], world["fronts"], now)
        self.registry.state_confirmed_at = asked_at
        self.roster = Roster()
        self._note("LEADS", term=world["term"])
        self._call_fronts(now)

    def on_world(self, term: int, now: float) -> None:
        """The newest agreed value has this term.

        It may be another's that has lost the duty since it asked; one that leads says so.
        """
        if self.allocator is not None and term > self.allocator.term[0]:
            self._yield(f"term {term} has begun")
            self.wait_until = now + LEADER_SILENT

    def on_leads(self, peer: str, now: float, term: list) -> None:
        """A term has begun: the fronts here ask at once."""
        number, leader = term
        if (
            leader != self.registry.node_ip
            and number >= self.registry.cluster_state.get("term", 0)
            and self.duty.holds(now)
        ):
            self.duty.leave()  # by voters that are not ours any more
        if self.duty.holder is None or self.duty.holder[1] != leader:
            self.duty.holder, self.duty.holder_at = (self.duty.highest, leader), now
        for front in self.registry.connected_proxies:
            self.registry.send(front, ["tell", term])

    def _call_fronts(self, now: float) -> None:
        """All fronts are to ask now: we have begun, or know by now what is lent."""
        self._tell_others(["leads", self.allocator.term])
        self.on_leads(self.registry.node_ip, now, self.allocator.term)

    def _tend_roster(self, now: float) -> None:
        if self.allocator is None:
            return
        token = self.registry.last_token + 1
        if (due := self.roster.due(self.allocator, self.registry.cluster_state["fronts"], token, now)) is None:
            return
        self._change(*due)
        if due[0] == "dismiss":
            self.registry.actions.append(Note("DISMISSED", {"fronts": ", ".join(due[1][0])}))

    # Parts for fronts

    def reckons(self, now: float) -> bool:
        """Whether parts may be lent from here now.

        Guards parts against a reckoner that another has followed: voters change, so that two may hold the duty.
        """
        return self.allocator is not None and self.duty.holds(now) and now - self.registry.state_confirmed_at <= HOLD

    def ask(self, now: float, ask: list) -> None:
        """A front here asks for parts: to whoever allocates."""
        if self.allocator is not None:
            self.on_want(name("roll", self.registry.node_ip), now, *ask)
        elif self.duty.holder is not None:
            self.registry.send(name("roll", self.duty.holder[1]), ["want", *ask])

    def on_want(
        self,
        peer: str,
        now: float,
        ip: str,
        life: int,
        region: str,
        number: int,
        seen: list,
        asked: dict,
        holds: list | None,
    ) -> None:
        """A front's ask for parts, by way of the registry that it asks."""
        if not self.reckons(now) or not self.roster.admits(ip, self.registry.cluster_state["fronts"]):
            return
        self.allocator.enrol([ip], now)
        before = self.allocator.settled(now)
        cold = self.cold.bears(self.registry.backends.by_id, self.figures, now)
        grant = self.allocator.want(ip, life, region, seen, asked, holds, self.figures.rates, cold, now)
        self._report_violations()
        term = self.allocator.term
        if grant is None:
            self._answer(peer, ["tell", ip, term])
        else:
            content = None if [term, grant.number] == seen else grant.pack()
            self._answer(peer, ["lend", ip, number, term, grant.number, content])
        if not before and self.allocator.settled(now):
            self._call_fronts(now)

    def _report_violations(self) -> None:
        if found := self.allocator.violations:
            self.registry.actions += found
            found.clear()

    def on_draw(self, peer: str, now: float, number: int, needs: dict) -> None:
        """A front asks for units of tenants that have no part there."""
        if self.allocator is not None:
            self.on_drawn(name("roll", self.registry.node_ip), now, ip_of(peer), number, needs)
        elif self.duty.holder is not None:
            self.registry.send(name("roll", self.duty.holder[1]), ["drawn", ip_of(peer), number, needs])

    def on_drawn(self, peer: str, now: float, ip: str, number: int, needs: dict) -> None:
        """The same, by way of the registry that it asks."""
        if not self.reckons(now):
            return
        # Guards a lower limit: units by the one before it are none of ours to give for long.
        outdated = self.figures.digest != self.registry.cluster_state["digest"]
        if outdated and now - self.behind_since > OUTDATED_FIGURES:
            return
        slack = self.registry.bounds.quota_slack
        drawn = self.allocator.draw(ip, needs, self.figures.rates, self.figures.bursts, slack, now)
        if drawn is not None:
            self._answer(peer, ["units", ip, number, self.allocator.term, *drawn])

    def on_units(self, peer: str, now: float, *rest: object) -> None:
        self._hand_on(["units", *rest])

    def on_lend(self, peer: str, now: float, *rest: object) -> None:
        self._hand_on(["lend", *rest])

    def on_tell(self, peer: str, now: float, *rest: object) -> None:
        self._hand_on(["tell", *rest])

    def _answer(self, peer: str, answer: list) -> None:
        if ip_of(peer) == self.registry.node_ip:
            self._hand_on(answer)
        else:
            self.registry.send(peer, answer)

    def _hand_on(self, answer: list) -> None:
        kind, ip, *rest = answer
        self.registry.send(name("span", ip), [kind, *rest])

    # Ways out

    def _tell_others(self, message: list) -> None:
        for peer in self.registry.other_registries:
            self.registry.send(peer, message)

    def _change(self, kind: str, what: list) -> int:
        """Proposes a change to the store beside; the token that its answer bears."""
        self.registry.last_token += 1
        self.registry.send(self.registry.store_peer, ["change", self.registry.last_token, kind, what, b""])
        return self.registry.last_token

    def _note(self, event: str, **what: object) -> None:
        self.registry.actions.append(Note(event, {"node": self.registry.node_ip, **what}))
