"""Which core machines a proxy connects to: near ones that answer, and fallbacks while none of them does.

An established connection is no proof: a core machine that is cut off from a majority receives requests and cannot
answer them.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from math import inf

from fennelpoint.system.rendezvous_hashing import preference

DEFAULT_MACHINES = 3  # connected at all times: the nearest, and one in each of two other regions
SILENT_AFTER_S = 0.9  # without an answer that is due, or without a connection
ANSWERING_WITHIN_S = 1.2  # of its last answer a machine counts as answering: two requests
FALLBACK_INTERVAL_S = 0.35  # between two further machines that are tried while none answers
FALLBACK_RETENTION_S = 5.0  # that a fallback stays connected once a default machine answers again
START_GRACE_S = 1.0  # more for the first answer: hundreds of proxies may start together
SILENCE_RESET_S = 4.0  # after which a silent machine that is no longer connected is eligible again


@dataclass(slots=True)
class CoreChoice:
    """The choice of one proxy.  Machines are IP addresses; `zones` maps all known machines to their zones."""

    own_ip: str
    zone: str
    region: str
    regions: dict[str, str]
    unanswered_since: dict[str, float] = field(default_factory=dict)  # also for a connection that is missing
    last_answer_at: dict[str, float] = field(default_factory=dict)  # by machine
    answered_at: float = -inf  # the last answer of any machine, or when the machines became known
    fallbacks: dict[str, float] = field(default_factory=dict)  # further machines, and until when each is retained
    fallback_chosen_at: dict[str, float] = field(default_factory=dict)  # by machine, the last time
    ordered_zones: dict[str, str] = field(default_factory=dict)  # the input that the next two were computed from
    nearest: list[str] = field(default_factory=list)
    defaults: list[str] = field(default_factory=list)

    def by_distance(self, zones: dict[str, str]) -> list[str]:
        """All machines, the nearest first; equally near ones in an order that differs from proxy to proxy."""
        self._compute_order(zones)
        return self.nearest

    def default_machines(self, zones: dict[str, str]) -> list[str]:
        """Machines to stay connected to, whether they answer or not."""
        self._compute_order(zones)
        return self.defaults

    def _compute_order(self, zones: dict[str, str]) -> None:
        if zones == self.ordered_zones:
            return

        def distance(ip: str) -> tuple:
            zone = zones[ip]
            return (zone != self.zone, self.regions.get(zone) != self.region, preference(self.own_ip, ip))

        self.ordered_zones, self.nearest = zones, sorted(zones, key=distance)
        chosen, regions = [], set()
        for ip in self.nearest:
            region = self.regions.get(zones[ip], ip)
            if region not in regions or ip == self.nearest[0]:
                regions.add(region)
                chosen.append(ip)
        self.defaults = chosen[:DEFAULT_MACHINES]
        for by_machine in (self.unanswered_since, self.last_answer_at, self.fallback_chosen_at):
            for ip in by_machine.keys() - zones.keys():
                del by_machine[ip]

    def by_responsiveness(self, zones: dict[str, str], now: float) -> list[str]:
        """All machines, the nearest first, with the silent ones last."""
        return sorted(self.by_distance(zones), key=lambda ip: self.is_silent(ip, now))

    def connection_targets(self, zones: dict[str, str]) -> list[str]:
        """Machines to keep connections to: the defaults, then the fallbacks."""
        return list(dict.fromkeys([*self.default_machines(zones), *self.fallbacks]))

    def is_silent(self, ip: str, now: float) -> bool:
        """Whether an answer is overdue, or the connection has been missing for as long."""
        return now - self.unanswered_since.get(ip, now) > SILENT_AFTER_S

    def note_request(self, ip: str, now: float) -> None:
        """A request was sent to the machine; an older one that is still unanswered counts instead."""
        self.unanswered_since.setdefault(ip, now)

    def note_answer(self, ip: str, now: float) -> None:
        """The machine answered a request."""
        self.unanswered_since.pop(ip, None)
        self.last_answer_at[ip] = self.answered_at = now

    def update_fallbacks(self, zones: dict[str, str], connected: Container[str], now: float) -> None:
        """Add fallbacks while no machine answers, and drop them once the default machines do."""
        if self.answered_at == -inf:
            self.answered_at = now + START_GRACE_S
        defaults = self.default_machines(zones)
        for ip in self.connection_targets(zones):
            if ip not in connected:
                self.unanswered_since.setdefault(ip, now)
        if now - self.answered_at > SILENT_AFTER_S:
            self._add_fallback(zones, defaults, now)
        elif not any(now - self.last_answer_at.get(ip, -inf) <= ANSWERING_WITHIN_S for ip in defaults):
            self.fallbacks = dict.fromkeys(self.fallbacks, now + FALLBACK_RETENTION_S)
        self.fallbacks = {ip: until for ip, until in self.fallbacks.items() if now < until and ip in zones}
        targets = self.connection_targets(zones)
        for ip in [
            ip for ip, since in self.unanswered_since.items() if ip not in targets and now - since > SILENCE_RESET_S
        ]:
            del self.unanswered_since[ip]

    def _add_fallback(self, zones: dict[str, str], defaults: list[str], now: float) -> None:
        self.fallbacks = {ip: until for ip, until in self.fallbacks.items() if not self.is_silent(ip, now)}
        if now - max(self.fallback_chosen_at.values(), default=-inf) < FALLBACK_INTERVAL_S:
            return
        in_use = {*defaults, *self.fallbacks}
        candidates = [ip for ip in self.by_distance(zones) if ip not in in_use and not self.is_silent(ip, now)]
        if candidates:
            fallback = min(candidates, key=lambda ip: self.fallback_chosen_at.get(ip, -inf))  # ties: the nearest
            self.fallback_chosen_at[fallback] = now
            self.fallbacks[fallback] = now + FALLBACK_RETENTION_S
