"""Every decision of the gateway; its types, events and actions stand in `interface.py`, read that first.

A request is counted and placed (`_admit`), held while it is short of units, of an answer or of a backend
(`_pump`), sent (`_choose`), ended by its outcome (`_outcome`); each period cuts or gives (`_regulate`)."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from math import inf
from random import Random

from fennelpoint import interface as api
from fennelpoint import tally
from fennelpoint.choice import cold_odds, cold_share
from fennelpoint.state import Ask, Backend, Crowd, Customer, Cut, Try
from fennelpoint.upkeep import Fleet, Line, Timers, fill, forget, new_total, part, same_group, settled

PERIOD, COUNT_PERIOD = 0.5, 1.0  # s; short against bursts of seconds; a counter call has a price
STEPS, STEP = 3, 0.05   # m, and the share of the rate sent that one constant step takes off
MOST_CUT, RETURN = 2.0, 2.0  # most steps taken off one customer at a time; steps given back: no idle room
CONFIDENT, FULL_STEP, CHANGE = 2.0, 3.0, 2.0  # 1 / S_p (1 / aims) trusted; most steps it is worth; the 2x
FIT_MEMORY, FIT_LEAST = 0.98, 2.0  # past's weight a period (about 25 s); points that a line must pass
RATE_MEMORY, IDLE_RATE = 0.7, 0.05  # past's weight in averages, a period; units a second that count as none
PUMP, LATE_MARGIN = 0.02, 3.0  # s between looks at what waits; usual latencies between release and aim
SILENT_AFTER, SILENT_CALLS, FORGET_COUNT = 1.0, 3, 60.0  # the counter is silent: s, calls; a count's life, s
BACK_OFF, BACK_OFF_MOST = 0.25, 8.0  # s of pause after a lost call, half of the first; at most
SHORT_FOR, READ_LEAST = 6.0, 0.15  # s after units were missing; s between two reads
READ_PART, LOW_PART = 0.25, 0.1  # of the s in which a store fills, between reads: while short; when low
OTHERS, DEBT, REPAY = 1.5, 0.1, 0.5  # what others may take over the expected; of the burst; paid at a read
KEEP = 0.6  # of a bucket, left to dear tries
LOW, KEPT = 0.5, 0.35  # of what a read granted: read anew below; of the even part of a burst, kept at a read
SPARED = 1 << 40    # over all keys; a key and this is the counter's name for what was asked and not taken
ASKED_HALF = 2.0        # s: asks count half in a share
SPARSE, ASK_EACH = 10.0, 1.5  # s in which an even share fills one request, past which each try asks; of many
EVEN, CROWDED = 0.5, 0.6  # odds under which a try reads first; of the time-out: it stood in line
ASK_GAIN, ASK_EASE, ASK_LOSS, LEAST_ASKING = 0.05, 0.9, 0.6, 0.1  # asking share: quick, crowded, none; least
ASK_BACK = 0.05  # of that share, that comes back in a s: who asks little hears late that the counter answers
FIRST_GUESS, FASTER, SLOWER, LEARN = 0.12, 0.1, 0.03, 0.2  # of the aim: a first latency; an answer's weights
FAILED, SLOWEST, SLOW_HALF = 4.0, 6.0, 1.0  # a failure looks so much slower, at most; s to fade by half
REST_MOST, TARGET = 3.0, 0.25  # s, longest rest after failures; of the aim, used behind: the rest to wait in
EVIDENCE, STUCK = 8, 1.0    # answers between two cuts of the window; aims after which an attempt is stuck
FIRST_OUT, WINDOW_CUT, LEAST_OUT = 12.0, 0.85, 0.1  # own attempts out: a backend at first, of all; cut; least
NEAR_TIE, CANDIDATES = 1.15, 16  # how much better another zone must be; an own part of a large fleet
SPARE = 0.25    # of a window, that tries of other cells leave free
HERD, SEES = 0.2, 4.0   # least random part of a wait; ingresses up to which own work out tells most of it
PROBES, PROBE_WAIT = 2, 0.05  # backends probed for a try by those who see little, and s that it waits
PROBE_WORTH = 0.02  # of the result: what one probe a try brings at most; a dearer one is left
REPORT_HALF = 1.0   # s for a report to count half
RETRY_SHARE, RETRY_BURST, PAUSE_FULL = 0.1, 10.0, 0.03  # further attempts a first one, saved up; s if full
FORGET, SWEEP = 15.0, 2  # s after which an idle customer is forgotten, and how many are looked at a try
TOKEN_PERIOD, TOKEN_PUMP = 1, 2
REGIONS = (("meet", "failed"), ("lucky", "exceeded"))  # within quota or over it; within aim or over it


class Fit:
    """Running least squares of latency against rate sent, with forgetting."""

    def __init__(self) -> None:
        self.n = self.x = self.y = self.xx = self.xy = self.yy = 0.0

    def add(self, x: float, y: float, memory: float) -> None:
        """One more point; `memory` is the weight of those before."""
        for name, value in (("n", 1.0), ("x", x), ("y", y), ("xx", x * x), ("xy", x * y), ("yy", y * y)):
            setattr(self, name, getattr(self, name) * memory + value)

    def at(self, x: float) -> tuple[float, float]:
        """The latency predicted there and its 1 / S_p (paper 4.4); 0 for too few or equal points."""
        n = max(self.n, 1e-9)
        mean, spread = self.x / n, self.xx - self.x * self.x / n
        slope = (self.xy - self.y * mean) / spread if spread > 1e-9 else 0.0
        residue = max(1e-9, self.yy - self.y * self.y / n - slope * slope * spread)
        if n <= FIT_LEAST or spread <= 1e-9:
            return self.y / n + slope * (x - mean), 0.0
        error = residue / (n - 2.0) * (1.0 + 1.0 / n + (x - mean) ** 2 / spread)
        return self.y / n + slope * (x - mean), error ** -0.5


class Controller:
    """The decisions of one ingress: give it events, carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings, self.random, self.out = settings, Random(seed), []
        self.fleet, self.line, self.timers = Fleet(), Line(), Timers(settings.tick)
        self.customers: dict[int, Customer] = {}  # the longest unseen first
        self.barred, self.mixed, self.stamp = False, False, 0   # nothing may go out; figures of two kinds
        self.parts, self.health = 1, {}  # processes that are this ingress; told of backends not listed yet
        self.active: dict[int, Customer] = {}  # those that the period looks at
        self.typical = [FIRST_GUESS * c.aim for c in settings.classes]  # latency of a class, uncrowded
        self.usual = list(self.typical)  # and as it is now
        self.fit, self.work, self.period_at, self.born = Fit(), 0.0, now, now
        self.crowd = Crowd(now, now)    # of all backends
        self.cells: dict[str, Crowd] = {}   # by name; none: there are no cells
        self.retries, self.cut, self.pressed = RETRY_BURST, None, False
        self.answers, self.silent_at = 0, -inf  # in a row, below 0 calls lost; when several were
        self.asking, self.usual_held = 1.0, 0.0  # share of sparse tries that ask; requests a backend reports
        self.asks: dict[int, deque[Ask]] = {}  # calls about stores that are out, by name, in their order
        self.odds = [[EVEN] * len(settings.classes) for _ in settings.plans]  # that a try finds room
        self.usual_worth, self.asked_at = 1.0, now  # of a try; when one of a thin customer last came
        self.blind = HERD + (1.0 - HERD) * max(0.0, 1.0 - SEES / settings.ingresses)  # to others' work
        self.probes = (settings.may_probe and settings.report_via != "none" and self.blind > 0.5
                       and settings.probe_price <= PROBE_WORTH)
        self.on = {api.Request: self._admit, api.Outcome: self._outcome, api.Roster: self._roster,
                   api.ProbeResult: self._probed, api.TimerDue: self._timer, api.CounterReply: self._counted,
                   api.ClientGone: self._gone, api.StreamStarted: self._began, api.Arrived: self._arrived,
                   api.Spent: self._spent, api.Cells: self._cells,
                   api.Twins: self._twins, api.Barred: self._barred, api.Figures: self._figures}

    def start(self, now: float) -> list[api.Action]:
        return [api.Subscribe()] if self.settings.discovery == "ask" else []

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self.out = []
        self.on.get(type(event), lambda event, now: None)(event, now)
        return self.out

    def _timer(self, due: api.TimerDue, now: float) -> None:
        if self.timers.due(due.token, now):
            self._period(now) if due.token == TOKEN_PERIOD else self._pump(now)

    def _customer(self, ask: api.Request, now: float) -> Customer:
        plan, me = self.settings.plans[ask.plan], self.settings.me
        width = max(1.0, ask.width) * self.parts
        # Guards the sum over all: who is not of the set that a request names takes the least part there is.
        if plan.ceiling_rate and (me - ask.first) % self.settings.ingresses >= ask.width:
            width = self.settings.ingresses * self.parts
        if (c := self.customers.pop(ask.customer, None)) is None:
            c = Customer(ask.customer, ask.plan, 0.0, 1.0 / width, max(plan.burst / width, ask.units),
                         store=plan.burst, filled=now, total_at=now,
                         count_at=now + self.random.uniform(0.3, 1.0) * COUNT_PERIOD)
            # Nothing was sent for it from here since this process began, or since it was forgotten.
            self._part(c, width)
            c.ceiling = part(c, plan)[1] * min(now - self.born, FORGET)
        elif width > c.width or c.plan != ask.plan:
            # Guards the sum against requests that contradict each other: the smaller part and the ceiling.
            unbound = plan.ceiling_rate and not self.settings.plans[c.plan].ceiling_rate
            c.plan = ask.plan if unbound else c.plan
            self._part(c, max(width, c.width))
        self.customers[ask.customer], c.seen = c, now
        forget(self.customers, SWEEP, now - FORGET)
        return c

    def _part(self, c: Customer, width: float) -> None:
        """So many hold a part of a customer's stores: whether its tries ask, and what holds its ceiling."""
        plan, c.width = self.settings.plans[c.plan], width
        least = ASK_EACH if self.blind > 0.5 else SPARSE
        largest = self.settings.most_units * width / self.parts
        c.asks = self.settings.has_counter and 0.0 < plan.rate * least < largest
        # Guards shares under one request: a ceiling is split evenly where its parts hold the largest.
        c.held = c.asks and (plan.ceiling_burst - plan.burst >= largest or plan.ceiling_burst < largest)

    def _depth(self, c: Customer) -> float:
        burst = self.settings.plans[c.plan].burst
        return max(burst * c.share, min(burst, self.settings.most_units))

    def _fill(self, c: Customer, now: float) -> None:
        plan, most = self.settings.plans[c.plan], self.settings.most_units
        fill(c, plan, self._depth(c), max(c.cap or 0.0, most), now)

    def _count(self, c: Customer, now: float) -> None:
        """Tell the counter what was taken from the quota, once a period, and learn what all ingresses took.

        What is refused takes nothing: told as taken, it emptied stores that no one had used.  It is told to a
        name of its own, as the shares go by all that is asked, while the customer is short here.  Then, and
        once half of what a read granted is gone, the next read does not wait for the period.  It would hurt
        where many are short at once and the counter can't bear three calls for one."""
        if not self.settings.has_counter or c.calling is not None:
            return
        plan, period = self.settings.plans[c.plan], COUNT_PERIOD
        fills = plan.burst / plan.rate if plan.rate else inf
        low = c.level < LOW * c.granted and not c.fails
        # Guards against a pause that outlives the silence.  Each costs one of the answers that allow it:
        # with a part of the counter down and another up, the lost part would be asked as if it answered.
        if c.fails and now < c.count_at and self.answers >= SILENT_CALLS:
            c.count_at, self.answers = now, self.answers - 1
        if now < (min(c.count_at, c.total_at + max(READ_LEAST, LOW_PART * fills)) if low else c.count_at):
            return
        if short := plan.rate > 0.0 and now - c.short_at < SHORT_FOR:
            period = min(period, max(READ_LEAST, READ_PART * fills))
        c.calling, c.fresh, c.count_at = c.fresh, 0.0, now + period
        self.out.append(api.Count(c.key, c.calling, FORGET_COUNT))
        if short and c.sparing is None and now >= c.spare_at:
            c.sparing, c.spared, c.spare_at = c.spared, 0.0, now + 2.0 * COUNT_PERIOD
            self.out.append(api.Count(c.key + SPARED, c.sparing, FORGET_COUNT))
        elif not short:
            c.spared, c.spared_total = 0.0, None

    def _counted(self, reply: api.CounterReply, now: float) -> None:
        ok = reply.status is api.Status.OK and abs(reply.total) < inf
        if reply.name in self.asks:     # may be below nothing: units given back to a name that was lost
            return self._answered(reply, ok, now)
        ok = ok and reply.total >= 0.0
        if reply.name >= SPARED:
            return self._spared(reply, ok)
        if (c := self.customers.get(reply.name)) is None:
            return
        added, c.calling, c.fails = c.calling or 0.0, None, 0 if ok else c.fails + 1
        self.answers = max(0, self.answers) + 1 if ok else min(0, self.answers) - 1
        self.silent_at = now if self.answers <= -SILENT_CALLS else self.silent_at
        if c.waits:  # what it may do is told anew: look again at what waits
            self.out += self.timers.wake(TOKEN_PUMP, now + PUMP, now)
        if not ok:
            c.count_at = now + self.random.uniform(0.5, 1.0) * min(BACK_OFF_MOST, BACK_OFF * 2 ** c.fails)
            c.fresh += added if reply.status is not api.Status.TIMEOUT else 0.0  # it may have been added
            if now - c.total_at > SILENT_AFTER:  # the even share while the counter is silent
                c.share, c.ours, c.alls, c.spans = 1.0 / c.width, 0.0, 0.0, 0.0
            return
        counted = c.total is not None
        plan, (own, everyone, span) = self.settings.plans[c.plan], new_total(c, reply.total, added, now)
        self._fill(c, now)
        if everyone is None:    # the first total, or the counter lost its count
            # Guards against a store that looks full after an outage: what the others took can't be seen then.
            everyone = own / max(c.share, 1.0 / c.width) if counted else min(reply.total, own * c.width)
            c.share, c.ours, c.alls, c.spans = 1.0 / c.width, 0.0, 0.0, 0.0
        else:
            keep, spared = 0.5 ** (span / ASKED_HALF), c.sparing or 0.0
            c.ours, c.alls = c.ours * keep + own + spared, c.alls * keep + everyone + spared
            c.spans = c.spans * keep + span
            self._share(c)
        c.store = max(-DEBT * plan.burst, settled(c.store, plan, everyone, span, self.silent_at > now - span))
        # Guards against stores that are small beside a request: each ingress kept one, which made up a burst.
        kept = min(c.level, self.settings.most_units, KEPT * plan.burst / c.width)
        kept += min(0.0, c.store) * c.share * REPAY
        c.granted = c.level = max(0.0, kept, self._slice(c))

    def _spared(self, reply: api.CounterReply, ok: bool) -> None:
        """What was asked everywhere and not taken counts for the shares."""
        if (c := self.customers.get(reply.name - SPARED)) is None or c.sparing is None:
            return
        added, c.sparing = c.sparing, None
        if not ok:
            c.spared += added if reply.status is not api.Status.TIMEOUT else 0.0
            return
        before, c.spared_total = c.spared_total, reply.total
        if c.spans and before is not None and reply.total >= before:
            c.alls += max(0.0, reply.total - before - added)
            self._share(c)

    def _share(self, c: Customer) -> None:
        """The larger of the even share of what is not asked for, and of the own part of what is."""
        rate = self.settings.plans[c.plan].rate
        unused = max(0.0, 1.0 - c.alls / c.spans / rate) / c.width if rate else 0.0
        c.share = max(unused, c.ours / c.alls if c.alls else 1.0 / c.width)

    def _slice(self, c: Customer) -> float:
        """What may be taken of the store until the next read: the share, or what others hardly need."""
        if not c.spans:
            return c.store * c.share
        span = max(READ_LEAST, c.count_at - c.total_at)     # the total may have come late
        return max(c.store * c.share, c.store - OTHERS * (c.alls - c.ours) / c.spans * span)

    def _ask_counter(self, t: Try, now: float) -> None:
        """A try of a customer that few come from here waits for its store's word; in trouble fewer ask."""
        c, units, plan = t.customer, t.ask.units, self.settings.plans[t.customer.plan]
        if self.mixed:  # our own parts only: others may take from a store by other figures
            return self._enter(t, now)
        self.asking, self.asked_at = min(1.0, self.asking + ASK_BACK * (now - self.asked_at)), now
        part = self.asking * t.worth * units / self.usual_worth  # the dear ones first
        self.usual_worth += LEARN / 4 * (t.worth * units - self.usual_worth)
        if plan.over_worth > 0.0 >= plan.over_cost and not plan.ceiling_rate and not self.pressed:
            t.inside = True     # let in whatever the answer
        elif c.left + plan.rate * (now - c.left_at) < units:  # whatever the others do
            t.inside = False
        elif self.asking >= 1.0 or self.random.random() < part:
            own = units if c.odds >= EVEN else tally.MARK   # likely short: it only reads at first
            use, c.untold = self._untold(c, now), 0.0
            self._tell(c, own + use, now, t=t, own=own, use=use)
            t.not_before = t.good_until = now + 2 * self.settings.counter_timeout   # no answer may come
            return self._hold(t, now)
        else:  # unasked: by what the others were told
            odds = min(c.odds, self.odds[t.ask.plan][t.ask.cls])
            t.inside = None if odds >= (1.0 - odds) * plan.over_cost else False
        self._enter(t, now)

    def _untold(self, c: Customer, now: float, more: float = 0.0) -> float:
        """Units taken that the counter does not know of, and these; what is older has come in again."""
        plan = self.settings.plans[c.plan]
        c.untold = (c.untold if (now - c.untold_at) * plan.rate < plan.burst else 0.0) + more
        c.untold_at = now
        return c.untold

    def _tell(self, c: Customer, amount: float, now: float, last: bool = False, **values: object) -> None:
        name, start = tally.name_of(c.key, now - tally.EPOCH * last)
        name += self.stamp * tally.STAMP
        self.asks.setdefault(name, deque()).append(Ask(c, start, now, last=last, **values))
        self.out.append(api.Count(name, amount, tally.LIFE))

    def _give_back(self, t: Try, now: float) -> None:
        """Units that the counter was told of and that nothing was sent for."""
        if t.told and not t.charged:
            self._tell(t.customer, -t.ask.units, now, use=-t.ask.units)

    def _gone(self, event: api.ClientGone, now: float) -> None:
        if (t := self.line.open.get(event.request)) is not None:
            self._give_back(t, now)
            self.line.end(event.request)

    def _answered(self, reply: api.CounterReply, ok: bool, now: float) -> None:
        ask = self.asks[reply.name].popleft()
        if not self.asks[reply.name]:
            del self.asks[reply.name]
        quick = ok and reply.latency <= CROWDED * self.settings.counter_timeout
        asking = self.asking + ASK_GAIN if quick else self.asking * (ASK_EASE if ok else ASK_LOSS)
        self.asking = min(1.0, max(LEAST_ASKING, asking))
        t, plan = ask.t, self.settings.plans[ask.customer.plan]
        if not ok and reply.status is not api.Status.TIMEOUT:   # else it may have been added
            self._untold(ask.customer, now, ask.use)
        elif ok and ask.last and (debt := tally.owed(plan, ask.at - ask.start, reply.total)) > 0.0:
            self._tell(ask.customer, debt, now)
        elif ok and t is not None and self._judge(ask, plan, reply.total - ask.own - ask.fix, now):
            return  # it waits for one more answer
        if t is not None and self.line.release(t):
            t.not_before = now
            self._enter(t, now)

    def _judge(self, ask: Ask, plan: api.Plan, total: float, now: float) -> bool:
        """Let a try in if its customer's store holds it; `total` is without what this call told."""
        c, t, units, age = ask.customer, ask.t, ask.t.ask.units, now - ask.start
        waits = t.ask.request in self.line.held     # else its client left
        found, back = False, 0.0
        if ask.fix:
            found = not tally.known(plan, age, total)
            back = ask.fix * tally.twice(plan, age, total, ask.fix)
            total += ask.fix - back
        lost = c.left_at >= ask.start   # if it is new: it goes by what it told here
        fresh = min(plan.burst, c.left + plan.rate * (now - c.left_at) if lost else plan.burst)
        fix, level = tally.lacks(plan, age, total, fresh)
        if waits and (fix or ask.own < units <= level) and not ask.fix:     # guards reads that met, too
            t.not_before = t.good_until = now + 2 * self.settings.counter_timeout
            self._tell(c, fix + units - ask.own, now, t=t, own=units, fix=fix)
            return True
        if found and not back and not lost:     # guards against a burst more at each epoch's turn
            self._tell(c, 0.0, now, last=True)
        t.inside = t.told = waits and not fix and level >= units
        # Guards the ceiling against counts that were lost: what is not proven comes from our own part.
        if plan.ceiling_rate and level - tally.unproven(plan, age, total) < units:
            t.good_until = 0.0
        if fix or plan.ceiling_rate and level < -tally.DEEP * plan.burst:
            t.inside = None     # nobody can tell
        took = units * t.told
        if abs(change := took - ask.own - back) > 2.0 * tally.MARK:
            self._tell(c, change, now, use=took - ask.own)
        c.left, c.left_at, c.short_at = max(0.0, level - took), now, c.short_at if t.inside else now
        c.odds += LEARN * (t.told - c.odds)
        self.odds[c.plan][t.ask.cls] += LEARN / 2 * (t.told - self.odds[c.plan][t.ask.cls])
        c.level = 0.0 if t.inside is False else c.level     # to go by while the counter is silent
        # Guards against a customer kept out by corrections that met, or by use told late: no true store is
        # below nothing.  Not under a ceiling: what several put right at once would pass it.
        deep = level < -tally.DEEP * plan.burst and not plan.ceiling_rate
        if deep and self.random.random() < tally.DEEP_FIX:
            self._tell(c, level, now)
        return False

    def _barred(self, event: api.Barred, now: float) -> None:
        """What waits is ended at once; what is out may still be answered."""
        self.barred = event.barred
        for t in list(self.line.held.values()) if self.barred else ():
            self._refuse(t, now, REST_MOST)

    def _figures(self, event: api.Figures, now: float) -> None:
        """Other figures: no store holds more than they allow, and no word by those before counts."""
        for c in self.customers.values():
            self._fill(c, now)
            c.left, c.left_at = c.left + self.settings.plans[c.plan].rate * (now - c.left_at), now
        self.settings = replace(self.settings, plans=event.plans)
        self.stamp, self.mixed = event.stamp, event.mixed
        for c in self.customers.values():
            plan = self.settings.plans[c.plan]
            self._part(c, c.width)
            c.store, c.left = min(c.store, plan.burst), min(c.left, plan.burst)
            c.level, c.ceiling = min(c.level, self._depth(c)), min(c.ceiling, part(c, plan)[0])
        for t in self.line.open.values():   # a word of the counter was by the figures before
            t.good_until = 0.0
        self._pump(now)

    def _admit(self, ask: api.Request, now: float) -> None:
        if self.barred:
            advice = min(self.settings.max_advice, REST_MOST) if self.settings.may_advise else 0.0
            return self.out.append(api.Refuse(ask.request, advice))
        c, cls, plan = self._customer(ask, now), self.settings.classes[ask.cls], self.settings.plans[ask.plan]
        came = now + ask.coming
        ends = came + ask.time_left - 2 * PUMP - self.settings.tick  # the last answer that is surely in time
        half = came + ask.time_left / 2 - 2 * PUMP - self.settings.tick
        t = Try(ask, c, came + min(cls.aim, ask.time_left), ends, cls.worth * plan.price,
                self.cells.get(ask.cell, self.crowd), half, came_at=came)
        self.line.open[ask.request], c.worth = t, max(c.worth, t.worth)
        if t.worth >= c.top or now - c.top_at > SHORT_FOR:
            c.top, c.top_at = t.worth, now
        self._fill(c, now)
        if c.asks:
            return self._ask_counter(t, now)
        self._enter(t, now)
        self._count(c, now)

    def _enter(self, t: Try, now: float) -> None:
        """Send a new try, hold it while its aim can be met, or refuse it at once."""
        c, ask, plan = t.customer, t.ask, self.settings.plans[t.customer.plan]
        if self.cells and not self._route(t, now):
            return self._refuse(t, now, REST_MOST)
        # Guards dear tries that are wanted soon: the line is kept by worth, and cheap ones come after.
        ahead = c.ahead(t.worth)
        queued = t.inside is None and ahead > 0.0 and c.level < ahead + ask.units
        if not queued and (self._place(t, now) or ask.request in self.line.held):
            return
        need = ask.units + ahead  # and the s until the bucket holds its units and those that wait before it
        rate = plan.rate * max(c.share, 0.01) if t.inside is None and plan.rate else inf
        wait = (need + self._kept(t, now) - c.level) / rate
        if plan.ceiling_rate and not self._stands(t, now):
            wait = max(wait, (need - c.ceiling) / max(part(c, plan)[1], 1e-9))
        late = t.inside is False or now + max(0.0, wait) + LATE_MARGIN * self.usual[ask.cls] > t.aim_at
        if t.inside is False and plan.rate:
            wait = max(wait, (ask.units - min(c.left, ask.units / 2)) / plan.rate)
        self._refuse(t, now, wait) if late else self._hold(t, now)

    def _place(self, t: Try, now: float) -> bool:
        """Send the try now if its quota, its cut and a backend allow it."""
        c, units, plan, inside = t.customer, t.ask.units, self.settings.plans[t.customer.plan], True
        draws = plan.ceiling_rate > 0.0 and not t.reached and not self._stands(t, now)
        if draws or not t.charged:
            self._fill(c, now)
        if draws and c.ceiling < units:
            return False
        if not t.charged:
            if c.cap is not None and c.cap_level < min(units, max(c.cap, self.settings.most_units)):
                return False
            room = not plan.rate or (c.level >= units + self._kept(t, now) if t.inside is None else t.inside)
            inside = room and not (plan.open_limit and c.open >= max(1, round(plan.open_limit * c.share)))
            if not inside and (plan.over_worth <= 0.0 or self.pressed):
                c.short_at = now
                return False
        crowd, most = t.crowd, t.crowd.window if inside else t.crowd.window / 2
        full = now < crowd.rest_until or crowd.quiet() >= max(1.0, most)
        if full or (b := self._choose(t, now)) is None:
            return False
        t.drawn = units * draws
        c.ceiling -= t.drawn
        if not t.charged:
            c.cap_level, c.sent = c.cap_level - units, c.sent + units
            c.level -= min(c.level, units) if inside and plan.rate else 0.0
            c.fresh, c.own = c.fresh + units * inside, c.own + units * inside
            c.spared += units * (not inside)
            if c.asks and t.inside is None and inside:
                self._untold(c, now, units)
            self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        self.line.release(t)
        t.charged, t.picked, t.attempts, work = True, None, t.attempts + 1, self.typical[t.ask.cls]
        self.fleet.send(b, t, work, self.settings.classes[t.ask.cls].aim, now)
        self.work += work
        self._activate(c, now)
        self.out.append(api.Send(t.ask.request, b.entry.backend))
        return True

    def _stands(self, t: Try, now: float) -> bool:
        """Whether the counter's word stands for its part of the ceiling; waiting tries go out all at once."""
        return t.told and t.customer.held and now <= t.good_until

    def _kept(self, t: Try, now: float) -> float:
        """Units of a short customer's bucket that its cheap tries, being more, leave to the dear ones.

        Part of the bucket at most: a try must find it full enough."""
        c, lately = t.customer, now - SHORT_FOR
        if t.worth >= c.top or c.top_at < lately or c.short_at < lately:
            return 0.0
        return min(self.settings.most_units, KEEP * max(0.0, self._depth(c) - t.ask.units))

    def _hold(self, t: Try, now: float) -> None:
        """Keep it until it may be sent, or until its aim or its client can't be met any more.

        What no backend has had is ended before half of its time is up: its client may try elsewhere."""
        t.last = min(t.aim_at - LATE_MARGIN * self.usual[t.ask.cls], t.ends, inf if t.reached else t.half)
        self.line.hold(t)
        self.out += self.timers.wake(TOKEN_PUMP, min(self._due(t, now), t.last), now)

    def _due(self, t: Try, now: float) -> float:
        """When to look at a held try again: not before its bucket, filled by time alone, can hold its units.

        Guards the CPU: looking every PUMP at what only waits for its quota was half of all events."""
        c, plan, soon = t.customer, self.settings.plans[t.customer.plan], max(now + PUMP, t.not_before)
        if t.charged or t.inside is not None or not plan.rate or plan.over_worth > 0.0:
            return soon
        missing = t.ask.units + self._kept(t, now) - c.level
        return max(soon, c.filled + missing / (plan.rate * max(c.share, 0.01)))

    def _pump(self, now: float) -> None:
        """Release held tries, the highest worth first; end those that can't make it any more."""
        soonest = inf
        for t in self.line.by_worth():
            if self.cells and not self._route(t, now):
                self._refuse(t, now, REST_MOST)
                continue
            # Once as much is out as may be, the rest needn't ask: guards the CPU with a long line.
            if now >= t.not_before and t.crowd.quiet() < max(1.0, t.crowd.window) and self._place(t, now):
                continue
            if now >= t.last:
                t.customer.ratios.append(1.0)
                self._activate(t.customer, now)
                self._refuse(t, now, 0.0)
            else:
                soonest = min(soonest, max(now + PUMP, min(self._due(t, now), t.last)))
        self.out += self.timers.wake(TOKEN_PUMP, soonest, now)

    def _refuse(self, t: Try, now: float, wait: float) -> None:
        """End a try that has nothing out: refused where that promise is true, else failed."""
        cls = self.settings.classes[t.ask.cls]
        harmless = self._allowed(t, now) and (t.ran_at is None or cls.effect is api.Effect.SAFE
                                              or cls.group is api.Group.ALL)
        t.customer.spared += t.ask.units * (not t.charged)
        self._give_back(t, now)
        advice = min(self.settings.max_advice, wait) if self.settings.may_advise else 0.0
        self.out.append(api.Refuse(t.ask.request, advice) if harmless else api.Fail(t.ask.request))
        self.line.end(t.ask.request)

    def _allowed(self, t: Try, now: float) -> bool:
        """Whether the effect lets this try be sent now; time undoes that while a keyed one waits."""
        cls = self.settings.classes[t.ask.cls]
        keyed = cls.effect is api.Effect.KEYED and t.ran_at is not None and now < t.ran_at + cls.window
        return t.ran_at is None or cls.effect is api.Effect.SAFE or keyed

    def _spent(self, event: api.Spent, now: float) -> None:
        if (t := self.line.open.get(event.request)) is not None:
            t.spent = True

    def _twins(self, event: api.Twins, now: float) -> None:
        """So many processes are this ingress from now on: each is to quotas what an ingress is."""
        factor, self.parts = event.parts / self.parts, event.parts
        for c in self.customers.values():
            c.width, c.share = c.width * factor, min(1.0, c.share / factor)
            if factor > 1.0:
                c.level, c.ceiling = c.level / factor, c.ceiling / factor
        for crowd in (self.crowd, *self.cells.values()):
            crowd.window = max(1.0, crowd.window / factor) if crowd.window else 0.0

    def _arrived(self, event: api.Arrived, now: float) -> None:
        """A request that came slowly: its times count from its last byte, and a backend begins it there."""
        if (t := self.line.open.get(event.request)) is None:
            return
        later, t.came_at = now - t.came_at, now
        t.aim_at, t.ends, t.half, t.last = t.aim_at + later, t.ends + later, t.half + later, t.last + later
        for b in self.fleet.busy.values():
            if t.ask.request in b.out:
                work, _, aim, _ = b.out[t.ask.request]
                b.out[t.ask.request] = (work, now, aim, t)
        if t.ask.request in self.line.held:
            self._hold(t, now)

    def _began(self, event: api.StreamStarted, now: float) -> None:
        """An answer has begun to go out: the try is the client's from here, and is never sent again."""
        b, t = self.fleet.known.get(event.backend), self.line.open.get(event.request)
        if b is not None and event.request in b.out:
            o = api.Outcome(event.request, event.attempt, event.backend, api.Status.OK, event.latency, False)
            crowd = b.out[event.request][3].crowd
            self.fleet.begin(b, event.request)
            self._learn(b, o, t, crowd, now)
        if t is not None:
            aim = self.settings.classes[t.ask.cls].aim
            t.customer.ratios.append((now - (t.aim_at - aim)) / aim)
            self._activate(t.customer, now)
            self.line.end(event.request)
        self._pump(now)

    def _outcome(self, o: api.Outcome, now: float) -> None:
        backend, t = self.fleet.known.get(o.backend), self.line.open.get(o.request)
        if backend is not None and o.request in backend.out:
            crowd = backend.out[o.request][3].crowd
            self.fleet.answer(backend, o.request)
            self._learn(backend, o, t, crowd, now)
        elif backend is not None and o.request in backend.begun:
            self.fleet.answer(backend, o.request)
            if o.status in (api.Status.RESET, api.Status.ERROR):    # its answer broke
                self._fail(backend, now)
        if t is not None and (o.status is api.Status.OK or o.ended):
            aim = self.settings.classes[t.ask.cls].aim
            t.customer.ratios.append((now - (t.aim_at - aim)) / aim)
            t.customer.level -= o.true_units - t.ask.units if o.true_units else 0.0  # where units are settled
            self._activate(t.customer, now)
            self.line.end(o.request)
        elif t is not None:
            if not o.status.never_ran and t.ran_at is None:
                t.ran_at, t.ran_on = now - o.latency, backend.entry if backend else None
            t.reached = t.reached or o.status not in (api.Status.CONNECT_FAILED, api.Status.MOOT)
            if not t.reached:   # what never came took nothing: it draws again when it is sent again
                t.customer.ceiling, t.drawn = t.customer.ceiling + t.drawn, 0.0
            t.not_before = now + PAUSE_FULL * t.attempts * (o.status in (api.Status.FULL, api.Status.MOOT))
            if self.barred or t.spent or now >= t.ends or not self._again(t, o, now):
                self._refuse(t, now, 0.0)
            elif now < t.not_before or not self._place(t, now):
                self._hold(t, now)
        self._pump(now)

    def _again(self, t: Try, o: api.Outcome, now: float) -> bool:
        """Whether it may be sent once more, by effect and a budget against retry storms; takes of that."""
        again = t.ran_at is not None
        barred = o.status is api.Status.TIMEOUT or self.retries < 1.0 or not self._allowed(t, now)
        if t.attempts >= (t.ask.attempts or self.settings.max_attempts) or again and barred:
            return False
        self.retries -= again
        return True

    def _roster(self, roster: api.Roster, now: float) -> None:
        if roster.kind is api.RosterKind.FAILED:
            return self.out.append(api.Subscribe())
        self.fleet.follow(roster, self.random, now)
        self._first_windows()
        for b in self.fleet.known.values() if self.health else ():
            b.recall(self.health.pop(b.entry.backend, None), now)

    def _first_windows(self) -> None:
        for crowd in (self.crowd, *self.cells.values()):
            crowd.ready = None
            if not crowd.window and (size := len(self._ready(crowd))):
                crowd.window = max(1.0, FIRST_OUT * size / self.settings.ingresses / self.parts)

    def _ready(self, crowd: Crowd) -> list[Backend]:
        """The backends of a cell that something may be sent to, in our order."""
        if crowd.ready is None:
            every, members = self.fleet.ready, crowd.members
            crowd.ready = every if members is None else [b for b in every if b.entry.backend in members]
        return crowd.ready

    def _cells(self, event: api.Cells, now: float) -> None:
        """New cells: what is out stays where it is, what waits goes with its customer."""
        before, self.cells = self.cells, {}
        for name, cell in event.cells.items():
            crowd = self.cells[name] = before.get(name) or Crowd(now, now)
            crowd.members, crowd.ready = cell.members, None
            crowd.spill_to, crowd.spill_share = cell.spill_to, cell.spill_share
        self._first_windows()
        for t in self.line.held.values():
            if t.ran_at is None:    # else it is tried again where it may have run, or nowhere
                t.ask.cell = event.moved.get(t.customer.key, t.ask.cell)
        self._pump(now)

    def _lost(self, crowd: Crowd, now: float) -> bool:
        """Whether none of a cell's backends is listed, or each one failed and rests."""
        return all(b.fails and now < b.rest_until for b in self._ready(crowd))

    def _route(self, t: Try, now: float) -> bool:
        """Whether a try's cell, or for a few the one that this spills to, may serve it."""
        if t.ran_at is not None:
            return True     # where it may have run, or nowhere
        home = self.cells.get(t.ask.cell, self.crowd)
        lost = self._lost(home, now)
        t.spills = lost and self._spills(home, now)
        crowd = self.cells[home.spill_to] if t.spills else home
        if crowd is not t.crowd:
            t.crowd, t.picked = crowd, None     # those picked were probed in the other cell
        return t.spills or not lost

    def _spills(self, home: Crowd, now: float) -> bool:
        """Whether the cell that a lost one spills to takes one more: after its own, with room to spare."""
        if (other := self.cells.get(home.spill_to)) is None or self._lost(other, now):
            return False
        return (other.quiet() + 1 <= max(1.0, (1.0 - SPARE) * other.window)
                and other.spilt + 1 <= max(1.0, home.spill_share * other.window))

    def _choose(self, t: Try, now: float) -> Backend | None:
        """The backend with the least expected wait, among some at random, that may take this try."""
        cls, able = self.settings.classes[t.ask.cls], []
        ready = self._ready(t.crowd) if self._allowed(t, now) else []
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
        costs = sorted((self._cost(able[i], lot, t, now), i) for lot, i in lots
                       if cold_share(able[i].entry, self.settings, now) >= 1.0)
        if not self.probes or t.picked is not None or not costs:
            return able[costs[0][1]] if costs else None
        t.picked, t.not_before = [able[i] for _, i in costs[:PROBES]], now + PROBE_WAIT
        for b in t.picked:
            self.fleet.probing.setdefault(b.entry.backend, []).append(t)
            self.out.append(api.Probe(b.entry.backend))
        return self._hold(t, now)

    def _cost(self, b: Backend, lot: float, t: Try, now: float) -> float:
        """The work before a new try at this backend, by what is known, over what it can do."""
        weight, work, held = max(b.entry.weight, 1e-3), self.typical[t.ask.cls], self.usual_held
        held += (b.reported - held) * 0.5 ** ((now - b.reported_at) / REPORT_HALF)
        luck = 1.0 if t.picked else 1.0 + self.blind * (lot * weight - 1.0)
        luck *= NEAR_TIE if b.entry.zone != self.settings.zone else 1.0
        return luck * self._slow(b, now) * (b.load + work * (1.0 + held)) / weight

    def _slow(self, b: Backend, now: float) -> float:
        return 1.0 + (b.slow - 1.0) * 0.5 ** ((now - b.slow_at) / SLOW_HALF)

    def _fail(self, b: Backend, now: float) -> None:
        b.slow, b.slow_at = min(SLOWEST, max(1.0, self._slow(b, now)) * FAILED), now

    def _probed(self, probe: api.ProbeResult, now: float) -> None:
        if (b := self.fleet.known.get(probe.backend)) is not None:
            self._report(b, probe.report, now) if probe.status is api.Status.OK else self._fail(b, now)
        for t in self.fleet.probed(probe.backend):
            t.not_before = now
            if t.ask.request in self.line.held and not self._place(t, now):
                self._hold(t, now)

    def _report(self, b: Backend, values: list[float], now: float) -> None:
        """Take in a backend's own word on the requests it holds."""
        told = {k: v for k, v in zip(self.settings.report_fields, values, strict=False) if 0.0 <= v < inf}
        # Guards against flocking: util tells how busy the cores are, not how many wait.  Taken for a line
        # without bound, one old report of a busy moment kept all ingresses away from an idle server.
        held = max(told.get("inflight", 0.0), told.get("queue", 0.0), min(1.0, told.get("util", 0.0)))
        self.usual_held += LEARN / 4 * (held - self.usual_held) if told else 0.0
        # Where nothing is told: guards against reports that stop just from the busy ones.
        b.reported, b.reported_at = held if told else max(b.reported, 2.0 * self.usual_held), now

    def _learn(self, b: Backend, o: api.Outcome, t: Try | None, crowd: Crowd, now: float) -> None:
        self._report(b, o.report, now) if o.report else None
        if o.status is api.Status.FULL:
            b.rest_until = now + 2 * PAUSE_FULL
            # Guards against a stop of all for a few that were turned away: no latency tells of a crowd here,
            # so it takes most of them to cut, and no sooner than an answer would show the last cut.
            self._press(crowd, 2.0 * TARGET, max(self.usual), now)
        elif o.status is api.Status.OK and t is not None and 0.0 <= o.latency < inf:
            cls, aim, slow, b.fails = t.ask.cls, self.settings.classes[t.ask.cls].aim, self._slow(b, now), 0
            gap = o.latency - self.typical[cls]
            if cold_share(b.entry, self.settings, now) >= 1.0:
                self.typical[cls] += gap * (SLOWER if gap > 0 else FASTER)
            self.usual[cls] += LEARN * (min(o.latency, aim / 2 / LATE_MARGIN) - self.usual[cls])
            b.slow, b.slow_at = slow + LEARN * (o.latency / self.typical[cls] - slow), now
            self._press(crowd, o.latency / aim - min(TARGET, self.typical[cls] / aim), o.latency, now)
        elif o.status not in (api.Status.OK, api.Status.CANCELLED, api.Status.MOOT):
            # Guards against blaming one event for each attempt that it ended: when all connections break at
            # once, a backend that is well again would be shunned for many seconds.
            if now - o.latency >= b.failed_at:
                self._fail(b, now)
                b.fails, b.rest_until = b.fails + 1, now + min(REST_MOST, 2 * PUMP * 2.0 ** b.fails)
                b.failed_at = now

    def _press(self, crowd: Crowd, ratio: float, latency: float, now: float) -> None:
        """More attempts may be out while little of the aim is lost to crowding; under one, we rest."""
        # Counts what comes very late as one aim: guards against a few stalled backends that stop us all.
        # Guards an ingress with few answers: cut once in the time one takes, by the mean of five, it is cut
        # by chance sooner than its few answers grow it, though most of the fleet is idle.
        crowd.pressure += LEARN * (min(1.0, ratio) - crowd.pressure)
        crowd.evidence += 1
        if crowd.pressure <= TARGET and crowd.out + 1 >= crowd.window:
            crowd.window += min(crowd.window, 1.0 / crowd.window)
        elif crowd.pressure > TARGET and now - crowd.cut_at > latency and crowd.evidence >= EVIDENCE:
            crowd.window, crowd.cut_at, crowd.evidence = max(LEAST_OUT, crowd.window * WINDOW_CUT), now, 0
        crowd.rest_until = now + min(REST_MOST, latency * max(0.0, 1.0 / crowd.window - 1.0))

    def _activate(self, c: Customer, now: float) -> None:
        self.active[c.key] = c
        if TOKEN_PERIOD not in self.timers.at:
            self.period_at = now
            self.out += self.timers.wake(TOKEN_PERIOD, now + PERIOD, now)

    def _period(self, now: float) -> None:
        span, self.period_at = max(1e-6, now - self.period_at), now
        # Guards against a back end that slows or stalls: its answers tell only once they come.
        by_crowd = self.fleet.ages(now)
        for crowd in (self.crowd, *self.cells.values()):
            ages = sorted(by_crowd.get(crowd, ()))
            crowd.stuck = sum(age > STUCK for age in ages)
            if ages and (age := ages[len(ages) // 2]) > max(TARGET, crowd.pressure):
                crowd.evidence += len(ages)
                self._press(crowd, age, PERIOD, now)
        self._regulate(now, span)
        for c in [c for c in self.active.values() if c.cap is not None and c.seen < now - FORGET]:
            c.cap = None    # guards the memory: one that is cut is not forgotten, and this one is gone
        self.active = {k: c for k, c in self.active.items() if c.cap is not None or c.rate > IDLE_RATE}
        if self.active or self.fleet.busy:
            self.out += self.timers.wake(TOKEN_PERIOD, now + PERIOD, now)

    def _regulate(self, now: float, span: float) -> None:
        """Place the customers, take a step of the cut while one fails, else give room back."""
        rate, self.work, ratios = self.work / span, 0.0, []
        regions: dict[str, list[Customer]] = {name: [] for pair in REGIONS for name in pair}
        for c in sorted(self.active.values(), key=lambda c: (c.worth, c.key)):
            if c.ratios:
                c.ratio = RATE_MEMORY * c.ratio + (1 - RATE_MEMORY) * sum(c.ratios) / len(c.ratios)
            c.rate = RATE_MEMORY * c.rate + (1 - RATE_MEMORY) * c.sent / span
            if c.ratios or c.sent:
                over = c.rate > self.settings.plans[c.plan].rate * c.share + 1e-9
                regions[REGIONS[over][c.ratio > 1.0]].append(c)
            ratios += c.ratios
            c.ratios, c.sent = [], 0.0
        seen = sum(ratios) / len(ratios) if ratios else 0.0
        # Steps scale with the confidence in the fit when it is high enough; else they are constant.
        step = STEP * min(FULL_STEP, max(1.0, self.fit.at(rate)[1] / CONFIDENT))
        worst = max((c.ratio for c in regions["failed"]), default=0.0)
        self.pressed = bool(regions["failed"])
        if not self.pressed:
            self.cut = None
            self._return(step)
        elif self.cut is None or (self.cut.steps + 1 >= STEPS and self._afresh(regions, worst, seen)):
            self.cut = self._decide(regions, worst, rate, step)
        else:
            self.cut.steps += 1
        for c, amount in self.cut.takes if self.cut else ():
            c.cap = max(0.0, (c.rate if c.cap is None else min(c.cap, c.rate)) - amount)
        self.fit.add(rate, seen, FIT_MEMORY) if ratios else None

    def _afresh(self, regions: dict[str, list[Customer]], worst: float, seen: float) -> bool:
        """The paper's four reasons to leave a decision after m steps."""
        cut, active = self.cut, [c for group in regions.values() for c in group]
        changes = [(c.rate, cut.rates[c.key]) for c in active if c.key in cut.rates] + [(seen, cut.predicted)]
        return (worst > cut.worst or any(c.key not in cut.lucky for c in regions["lucky"])
                or any(not 1 / CHANGE <= (a + 0.01) / (b + 0.01) <= CHANGE for a, b in changes))

    def _decide(self, regions: dict[str, list[Customer]], worst: float, rate: float, step: float) -> Cut:
        """Whom to cut: lucky, then exceeded, then meet while several plans fail; the least worth first."""
        missing, takes = step * sum(c.rate for c in self.active.values()), []
        several = len({c.plan for c in regions["failed"]}) > 1
        for c in regions["lucky"] + regions["exceeded"] + (regions["meet"] if several else []):
            take = min(missing, MOST_CUT * step * c.rate)
            missing -= take
            takes.append((c, take))
            if missing <= 0.0:
                break
        return Cut(takes, worst, {c.key: c.rate for c in self.active.values()},
                   {c.key for c in regions["lucky"]}, self.fit.at(rate * (1.0 - step))[0])

    def _return(self, step: float) -> None:
        """Give unused room back by worth; no rate falls below its average."""
        cut = [c for c in self.active.values() if c.cap is not None]
        room = RETURN * step * sum(self.settings.plans[c.plan].rate * c.share for c in cut)
        for c in sorted(cut, key=lambda c: (-c.worth, c.key)):
            rate = self.settings.plans[c.plan].rate * c.share
            give = min(room, MOST_CUT * RETURN * step * rate)
            c.cap, room = max(c.cap, c.rate) + give, room - give
            c.cap = c.cap if c.cap < rate else None
