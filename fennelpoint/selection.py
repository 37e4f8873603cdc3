"""Which backend takes a try, how crowded backends are, and what their answers tell; no quota, no held try."""

from __future__ import annotations

from math import inf

from fennelpoint import interface as api
from fennelpoint.bookkeeping import LEARN, PERIOD, PUMP, Concern, Fleet, Ground, allowed, same_group
from fennelpoint.slow_start import cold_odds, cold_share
from fennelpoint.state import Backend, Crowd, Try

LATE_MARGIN = 3.0   # usual latencies between release and aim
FIRST_GUESS, FASTER, SLOWER = 0.12, 0.1, 0.03   # of the aim: a first latency; an answer's weights
FAILED, SLOWEST, SLOW_HALF = 4.0, 6.0, 1.0  # a failure looks so much slower, at most; s to fade by half
REST_MOST, TARGET = 3.0, 0.25  # s, longest rest after failures; of the aim, used behind: the rest to wait in
EVIDENCE, STUCK = 8, 1.0    # answers between two cuts of the window; aims after which an attempt is stuck
FIRST_OUT, WINDOW_CUT, LEAST_OUT = 12.0, 0.85, 0.1  # own attempts out: a backend at first, of all; cut; least
NEAR_TIE, CANDIDATES = 1.15, 16  # how much better another zone must be; an own part of a large fleet
PROBES, PROBE_WAIT = 2, 0.05  # backends probed for a try by those who see little, and s that it waits
PROBE_WORTH = 0.02  # of the result: what one probe a try brings at most; a dearer one is left
REPORT_HALF = 1.0   # s for a report to count half
PAUSE_FULL = 0.03   # s of rest of one that is full


class Selection(Concern):
    """The backends of one ingress."""

    def __init__(self, ground: Ground) -> None:
        super().__init__(ground)
        settings = ground.settings
        self.blind = ground.blind   # to others' work
        self.fleet, self.health = Fleet(), {}   # told of backends not listed yet
        self.typical = [FIRST_GUESS * c.aim for c in settings.classes]  # latency of a class, uncrowded
        self.usual = list(self.typical)  # and as it is now
        self.crowd = Crowd(ground.born, ground.born)    # of all backends
        self.cells: dict[str, Crowd] = {}   # by name; none: there are no cells
        self.usual_held = 0.0   # requests a backend reports
        self.probes = (settings.may_probe and settings.report_via != "none" and self.blind > 0.5
                       and settings.probe_price <= PROBE_WORTH)

    def roster(self, roster: api.Roster, now: float) -> None:
        if roster.kind is api.RosterKind.FAILED:
            return self.out.append(api.Subscribe())
        self.fleet.follow(roster, self.random, now)
        self.first_windows()
        for b in self.fleet.known.values() if self.health else ():
            b.recall(self.health.pop(b.entry.backend, None), now)

    def first_windows(self) -> None:
        for crowd in (self.crowd, *self.cells.values()):
            crowd.ready = None
            if not crowd.window and (size := len(self.ready(crowd))):
                crowd.window = max(1.0, FIRST_OUT * size / self.settings.ingresses / self.ground.parts)

    def ready(self, crowd: Crowd) -> list[Backend]:
        """The backends of a cell that something may be sent to, in our order."""
        if crowd.ready is None:
            every, members = self.fleet.ready, crowd.members
            crowd.ready = every if members is None else [b for b in every if b.entry.backend in members]
        return crowd.ready

    def route(self, t: Try, now: float) -> bool:
        return True     # where backends are in cells, others may not serve it

    def choose(self, t: Try, now: float) -> Backend | None:
        """The backend with the least expected wait that may take this try; or some are `picked` first."""
        cls, able = self.settings.classes[t.ask.cls], []
        ready = self.ready(t.crowd) if allowed(t, self.settings, now) else []
        if t.ran_at is not None and cls.effect is api.Effect.KEYED and cls.group is not api.Group.ALL:
            ready = same_group(ready, t.ran_on, "zone" if cls.group is api.Group.ZONE else "cell")
        for pool in (t.picked or (), ready[:CANDIDATES], ready):  # our part of the fleet: few connections
            able = able or [b for b in pool if b.usable and now >= b.rest_until]
        lots = sorted((self.random.expovariate(max(b.entry.weight, 1e-3)), i) for i, b in enumerate(able))
        # Guards against pushing over cold backends, as a sum over all ingresses: a cold one is sent a try
        # only by a draw by weight, won as seldom as it is cold, and once in half an aim for each try.
        first = able[lots[0][1]].entry if lots and now >= t.draw_at else None
        if first is not None and (share := cold_share(first, self.settings, now)) < 1.0:
            t.draw_at = now + cls.aim / 2
            if self.random.random() < cold_odds(share):
                return able[lots[0][1]]
        costs = sorted((self.cost(able[i], lot, t, now), i) for lot, i in lots
                       if cold_share(able[i].entry, self.settings, now) >= 1.0)
        if not self.probes or t.picked is not None or not costs:
            return able[costs[0][1]] if costs else None
        t.picked, t.not_before = [able[i] for _, i in costs[:PROBES]], now + PROBE_WAIT
        for b in t.picked:
            self.fleet.probing.setdefault(b.entry.backend, []).append(t)
            self.out.append(api.Probe(b.entry.backend))
        return None

    def cost(self, b: Backend, lot: float, t: Try, now: float) -> float:
        """The work before a new try at this backend, by what is known, over what it can do."""
        weight, work, held = max(b.entry.weight, 1e-3), self.typical[t.ask.cls], self.usual_held
        held += (b.reported - held) * 0.5 ** ((now - b.reported_at) / REPORT_HALF)
        luck = 1.0 if t.picked else 1.0 + self.blind * (lot * weight - 1.0)
        luck *= NEAR_TIE if b.entry.zone != self.settings.zone else 1.0
        return luck * self.slowness(b, now) * (b.load + work * (1.0 + held)) / weight

    def slowness(self, b: Backend, now: float) -> float:
        return 1.0 + (b.slow - 1.0) * 0.5 ** ((now - b.slow_at) / SLOW_HALF)

    def fail(self, b: Backend, now: float) -> None:
        b.slow, b.slow_at = min(SLOWEST, max(1.0, self.slowness(b, now)) * FAILED), now

    def probed(self, probe: api.ProbeResult, now: float) -> list[Try]:
        """Take in a probe's answer; the tries that waited for it."""
        if (b := self.fleet.known.get(probe.backend)) is not None:
            self.report(b, probe.report, now) if probe.status is api.Status.OK else self.fail(b, now)
        return self.fleet.probed(probe.backend)

    def report(self, b: Backend, values: list[float], now: float) -> None:
        """Take in a backend's own word on the requests it holds."""
        told = {k: v for k, v in zip(self.settings.report_fields, values, strict=False) if 0.0 <= v < inf}
        # Guards against flocking: util tells how busy the cores are, not how many wait; a report grows old.
        held = max(told.get("inflight", 0.0), told.get("queue", 0.0), min(1.0, told.get("util", 0.0)))
        self.usual_held += LEARN / 4 * (held - self.usual_held) if told else 0.0
        # Where nothing is told: guards against reports that stop just from the busy ones.
        b.reported, b.reported_at = held if told else max(b.reported, 2.0 * self.usual_held), now

    def learn(self, b: Backend, o: api.Outcome, t: Try | None, sent: Try, now: float) -> None:
        self.report(b, o.report, now) if o.report else None
        if o.status is api.Status.FULL:
            b.rest_until = now + 2 * PAUSE_FULL
            # Guards against a stop of all for a few that were turned away: it takes most of them to cut.
            self.press(sent.crowd, 2.0 * TARGET, max(self.usual), now)
        elif o.status is api.Status.OK and t is not None and 0.0 <= o.latency < inf:
            cls, slow, b.fails = t.ask.cls, self.slowness(b, now), 0
            aim = self.settings.classes[cls].aim
            gap = o.latency - self.typical[cls]
            if cold_share(b.entry, self.settings, now) >= 1.0:
                self.typical[cls] += gap * (SLOWER if gap > 0 else FASTER)
            self.usual[cls] += LEARN * (min(o.latency, aim / 2 / LATE_MARGIN) - self.usual[cls])
            b.slow, b.slow_at = slow + LEARN * (o.latency / self.typical[cls] - slow), now
            self.press(sent.crowd, o.latency / aim - min(TARGET, self.typical[cls] / aim), o.latency, now)
        elif o.status is api.Status.CANCELLED:
            # Guards against a slow backend that looks idle, as clients leave before it answers.
            least, slow = o.latency / self.typical[sent.ask.cls], self.slowness(b, now)
            b.slow, b.slow_at = max(slow, slow + LEARN * (least - slow)), now
        elif o.status not in (api.Status.OK, api.Status.MOOT):
            # Guards against blaming one event, as a break of all connections, for each attempt it ended.
            if now - o.latency >= b.failed_at:
                self.fail(b, now)
                b.fails, b.rest_until = b.fails + 1, now + min(REST_MOST, 2 * PUMP * 2.0 ** b.fails)
                b.failed_at = now

    def press(self, crowd: Crowd, ratio: float, latency: float, now: float) -> None:
        """More attempts may be out while little of the aim is lost to crowding; under one, we rest."""
        # Counts what comes very late as one aim: guards against a few stalled backends that stop us all.
        # Guards an ingress with few answers, which is cut by chance sooner than those grow it again.
        crowd.pressure += LEARN * (min(1.0, ratio) - crowd.pressure)
        crowd.evidence += 1
        if crowd.pressure <= TARGET and crowd.out + 1 >= crowd.window:
            crowd.window += min(crowd.window, 1.0 / crowd.window)
        elif crowd.pressure > TARGET and now - crowd.cut_at > latency and crowd.evidence >= EVIDENCE:
            crowd.window, crowd.cut_at, crowd.evidence = max(LEAST_OUT, crowd.window * WINDOW_CUT), now, 0
        crowd.rest_until = now + min(REST_MOST, latency * max(0.0, 1.0 / crowd.window - 1.0))

    def age(self, now: float) -> None:
        """Guards against a back end that slows or stalls: its answers tell only once they come."""
        by_crowd = self.fleet.ages(now)
        for crowd in (self.crowd, *self.cells.values()):
            ages = sorted(by_crowd.get(crowd, ()))
            crowd.stuck = sum(age > STUCK for age in ages)
            if ages and (age := ages[len(ages) // 2]) > max(TARGET, crowd.pressure):
                crowd.evidence += len(ages)
                self.press(crowd, age, PERIOD, now)
