"""Which core machines a front turns to: near ones that answer, and others while none of these does.

A connection that is up proves nothing: a core machine that is cut off from a majority takes asks and can't answer.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from math import inf

from fennelpoint.system.rendezvous_hashing import preference

USUAL = 3  # machines that are held: the nearest, and one in each of two other regions
SILENT = 0.9  # s that an answer is owed, or a connection missing, until a machine counts as silent
ANSWERS = 1.2  # s since its last answer in which a machine counts as one that answers: two asks
NEXT_STAND_IN = 0.35  # s between two further machines that are tried while none answers
STAND_IN_KEPT = 5.0  # s that a further machine is held once a usual one answers again
START_GRACE = 1.0  # s more for the first answer: hundreds of fronts may start together
FORGIVEN = 4.0  # s after which a silent machine that is no longer held is worth another try


@dataclass(slots=True)
class CoreChoice:
    """The choice of one front.  Machines are IP addresses, `zones` has those that are known, with their zones."""

    me: str
    zone: str
    region: str
    regions: dict[str, str]
    owing: dict[str, float] = field(default_factory=dict)  # since when each has owed an answer or a connection
    answers: dict[str, float] = field(default_factory=dict)  # when each last answered
    answered_at: float = -inf  # when any of them did, or when the first were known
    stand_ins: dict[str, float] = field(default_factory=dict)  # further machines, and until when each is held
    tried: dict[str, float] = field(default_factory=dict)  # when each was last taken as one
    ordered: dict[str, str] = field(default_factory=dict)  # of whom the next two are kept
    nearest: list[str] = field(default_factory=list)
    always: list[str] = field(default_factory=list)

    def order(self, zones: dict[str, str]) -> list[str]:
        """All of them, the nearest first, equals in an order of this front's own."""
        self._arrange(zones)
        return self.nearest

    def usual(self, zones: dict[str, str]) -> list[str]:
        """Those that are held whether they answer or not."""
        self._arrange(zones)
        return self.always

    def _arrange(self, zones: dict[str, str]) -> None:
        if zones == self.ordered:
            return

        def distance(ip: str) -> tuple:
            zone = zones[ip]
            return (zone != self.zone, self.regions.get(zone) != self.region, preference(self.me, ip))

        self.ordered, self.nearest = zones, sorted(zones, key=distance)
        chosen, regions = [], set()
        for ip in self.nearest:
            region = self.regions.get(zones[ip], ip)
            if region not in regions or ip == self.nearest[0]:
                regions.add(region)
                chosen.append(ip)
        self.always = chosen[:USUAL]
        for remembered in (self.owing, self.answers, self.tried):
            for ip in remembered.keys() - zones.keys():
                del remembered[ip]

    def by_answers(self, zones: dict[str, str], now: float) -> list[str]:
        """All of them, those that are silent last, else the nearest first."""
        return sorted(self.order(zones), key=lambda ip: self.silent(ip, now))

    def held(self, zones: dict[str, str]) -> list[str]:
        """Those to hold connections to."""
        return list(dict.fromkeys([*self.usual(zones), *self.stand_ins]))

    def silent(self, ip: str, now: float) -> bool:
        """Whether it has not answered for long, or not been in reach."""
        return now - self.owing.get(ip, now) > SILENT

    def asked(self, ip: str, now: float) -> None:
        """It owes an answer from now on."""
        self.owing.setdefault(ip, now)

    def answered(self, ip: str, now: float) -> None:
        """It has answered an ask."""
        self.owing.pop(ip, None)
        self.answers[ip] = self.answered_at = now

    def renew(self, zones: dict[str, str], reached: Container[str], now: float) -> None:
        """Take further machines while none answers, and let go of them once the usual ones do."""
        if self.answered_at == -inf:
            self.answered_at = now + START_GRACE
        usual = self.usual(zones)
        for ip in self.held(zones):
            if ip not in reached:
                self.owing.setdefault(ip, now)
        if now - self.answered_at > SILENT:
            self._try_another(zones, usual, now)
        elif not any(now - self.answers.get(ip, -inf) <= ANSWERS for ip in usual):
            self.stand_ins = dict.fromkeys(self.stand_ins, now + STAND_IN_KEPT)
        self.stand_ins = {ip: until for ip, until in self.stand_ins.items() if now < until and ip in zones}
        held = self.held(zones)
        for ip in [ip for ip, since in self.owing.items() if ip not in held and now - since > FORGIVEN]:
            del self.owing[ip]

    def _try_another(self, zones: dict[str, str], usual: list[str], now: float) -> None:
        self.stand_ins = {ip: until for ip, until in self.stand_ins.items() if not self.silent(ip, now)}
        if now - max(self.tried.values(), default=-inf) < NEXT_STAND_IN:
            return
        taken = {*usual, *self.stand_ins}
        left = [ip for ip in self.order(zones) if ip not in taken and not self.silent(ip, now)]
        if left:
            another = min(left, key=lambda ip: self.tried.get(ip, -inf))  # of equals the nearest
            self.tried[another] = now
            self.stand_ins[another] = now + STAND_IN_KEPT
