"""What may be taken here of each customer's quota, by its shares and by the counter's word."""

from __future__ import annotations

from collections import deque
from math import inf

from fennelpoint import interface as api
from fennelpoint import shared_counter
from fennelpoint.bookkeeping import (
    FORGET,
    LEARN,
    PUMP,
    PUMP_TOKEN,
    Concern,
    Ground,
    fill,
    forget,
    new_total,
    part,
    settled,
)
from fennelpoint.state import Ask, Customer, Try

COUNT_PERIOD = 1.0  # s; a counter call has a price
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
SWEEP = 2   # customers that are looked at a try, whether they are to be forgotten


class Quotas(Concern):
    """The customers of one ingress and their stores."""

    def __init__(self, ground: Ground) -> None:
        super().__init__(ground)
        self.customers: dict[int, Customer] = {}  # the longest unseen first
        self.mixed, self.stamp, self.asking = False, 0, 1.0     # of two kinds; of thin tries, those that ask
        self.answers, self.silent_at = 0, -inf  # in a row, below 0 calls lost; when several were
        self.asks: dict[int, deque[Ask]] = {}  # calls about stores that are out, by name, in their order
        self.odds = [[EVEN] * len(self.settings.classes) for _ in self.settings.plans]  # that one finds room
        self.usual_worth, self.asked_at = 1.0, ground.born  # of a try; when one of a thin customer last came

    def customer(self, ask: api.Request, now: float) -> Customer:
        plan, me = self.settings.plans[ask.plan], self.settings.me
        width = max(1.0, ask.width) * self.ground.parts
        # Guards the sum over all: who is not of the set that a request names takes the least part there is.
        if plan.ceiling_rate and (me - ask.first) % self.settings.ingresses >= ask.width:
            width = self.settings.ingresses * self.ground.parts
        if (c := self.customers.pop(ask.customer, None)) is None:
            c = Customer(ask.customer, ask.plan, 0.0, 1.0 / width, max(plan.burst / width, ask.units),
                         store=plan.burst, filled=now, total_at=now,
                         count_at=now + self.random.uniform(0.3, 1.0) * COUNT_PERIOD)
            # Nothing was sent for it from here since this process began, or since it was forgotten.
            self.part_of(c, width)
            c.ceiling = part(c, plan)[1] * min(now - self.ground.born, FORGET)
        elif width > c.width or c.plan != ask.plan:
            # Guards the sum against requests that contradict each other: the smaller part and the ceiling.
            unbound = plan.ceiling_rate and not self.settings.plans[c.plan].ceiling_rate
            c.plan = ask.plan if unbound else c.plan
            self.part_of(c, max(width, c.width))
        self.customers[ask.customer], c.seen = c, now
        forget(self.customers, SWEEP, now - FORGET)
        return c

    def part_of(self, c: Customer, width: float) -> None:
        """So many hold a part of a customer's stores: whether its tries ask, and what holds its ceiling."""
        plan, c.width = self.settings.plans[c.plan], width
        least = ASK_EACH if self.ground.blind > 0.5 else SPARSE
        largest = self.settings.most_units * width / self.ground.parts
        c.asks = self.settings.has_counter and 0.0 < plan.rate * least < largest
        # Guards shares under one request: a ceiling is split evenly where its parts hold the largest.
        c.held = c.asks and (plan.ceiling_burst - plan.burst >= largest or plan.ceiling_burst < largest)

    def depth(self, c: Customer) -> float:
        burst = self.settings.plans[c.plan].burst
        return max(burst * c.share, min(burst, self.settings.most_units))

    def fill(self, c: Customer, now: float) -> None:
        plan, most = self.settings.plans[c.plan], self.settings.most_units
        fill(c, plan, self.depth(c), max(c.cap or 0.0, most), now)

    def count(self, c: Customer, now: float) -> None:
        """Tell the counter what was taken from the quota, once a period, and learn what all ingresses took.

        What is refused is told to a name of its own, as shares go by all that is asked.  Then, and once half
        of what a read granted is gone, the next read does not wait for the period."""
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

    def counted(self, reply: api.CounterReply, now: float) -> Try | None:
        """Take in a word of the counter; the try that waited for it, which may be sent or held now."""
        ok = reply.status is api.Status.OK and abs(reply.total) < inf
        if reply.name in self.asks:     # may be below nothing: units given back to a name that was lost
            return self._answered(reply, ok, now)
        ok = ok and reply.total >= 0.0
        if reply.name >= SPARED:
            return self._spared(reply, ok)
        if (c := self.customers.get(reply.name)) is None:
            return None
        added, c.calling, c.fails = c.calling or 0.0, None, 0 if ok else c.fails + 1
        self.answers = max(0, self.answers) + 1 if ok else min(0, self.answers) - 1
        self.silent_at = now if self.answers <= -SILENT_CALLS else self.silent_at
        if c.waits:  # what it may do is told anew: look again at what waits
            self.out += self.timers.wake(PUMP_TOKEN, now + PUMP, now)
        if not ok:
            c.count_at = now + self.random.uniform(0.5, 1.0) * min(BACK_OFF_MOST, BACK_OFF * 2 ** c.fails)
            c.fresh += added if reply.status is not api.Status.TIMEOUT else 0.0  # it may have been added
            if now - c.total_at > SILENT_AFTER:  # the even share while the counter is silent
                c.share, c.ours, c.alls, c.spans = 1.0 / c.width, 0.0, 0.0, 0.0
            return None
        counted = c.total is not None
        plan, (own, everyone, span) = self.settings.plans[c.plan], new_total(c, reply.total, added, now)
        self.fill(c, now)
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
        return None

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

    def ask(self, t: Try, now: float, pressed: bool) -> bool:
        """Ask for a try of a thin customer, in trouble for fewer; whether it waits for its store's word."""
        c, units, plan = t.customer, t.ask.units, self.settings.plans[t.customer.plan]
        if self.mixed:  # our own parts only: others may take from a store by other figures
            return False
        self.asking, self.asked_at = min(1.0, self.asking + ASK_BACK * (now - self.asked_at)), now
        part = self.asking * t.worth * units / self.usual_worth  # the dear ones first
        self.usual_worth += LEARN / 4 * (t.worth * units - self.usual_worth)
        if plan.over_worth > 0.0 >= plan.over_cost and not plan.ceiling_rate and not pressed:
            t.inside = True     # let in whatever the answer
        elif c.left + plan.rate * (now - c.left_at) < units:  # whatever the others do
            t.inside = False
        elif self.asking >= 1.0 or self.random.random() < part:
            own = units if c.odds >= EVEN else shared_counter.MARK   # likely short: it only reads at first
            use, c.untold = self._untold(c, now), 0.0
            self._tell(c, own + use, now, t=t, own=own, use=use)
            t.not_before = t.good_until = now + 2 * self.settings.counter_timeout   # no answer may come
            return True
        else:  # unasked: by what the others were told
            odds = min(c.odds, self.odds[t.ask.plan][t.ask.cls])
            t.inside = None if odds >= (1.0 - odds) * plan.over_cost else False
        return False

    def _untold(self, c: Customer, now: float, more: float = 0.0) -> float:
        """Units taken that the counter does not know of, and these; what is older has come in again."""
        plan = self.settings.plans[c.plan]
        c.untold = (c.untold if (now - c.untold_at) * plan.rate < plan.burst else 0.0) + more
        c.untold_at = now
        return c.untold

    def _tell(self, c: Customer, amount: float, now: float, last: bool = False, **values: object) -> None:
        name, start = shared_counter.name_of(c.key, now - shared_counter.EPOCH * last)
        name += self.stamp * shared_counter.STAMP
        self.asks.setdefault(name, deque()).append(Ask(c, start, now, last=last, **values))
        self.out.append(api.Count(name, amount, shared_counter.LIFE))

    def give_back(self, t: Try, now: float) -> None:
        """Units that the counter was told of and that nothing was sent for."""
        if t.told and not t.charged:
            self._tell(t.customer, -t.ask.units, now, use=-t.ask.units)

    def _answered(self, reply: api.CounterReply, ok: bool, now: float) -> Try | None:
        ask = self.asks[reply.name].popleft()
        if not self.asks[reply.name]:
            del self.asks[reply.name]
        quick = ok and reply.latency <= CROWDED * self.settings.counter_timeout
        asking = self.asking + ASK_GAIN if quick else self.asking * (ASK_EASE if ok else ASK_LOSS)
        self.asking = min(1.0, max(LEAST_ASKING, asking))
        t, plan = ask.t, self.settings.plans[ask.customer.plan]
        if not ok and reply.status is not api.Status.TIMEOUT:   # else it may have been added
            self._untold(ask.customer, now, ask.use)
        elif ok and ask.last and (debt := shared_counter.owed(plan, ask.at - ask.start, reply.total)) > 0.0:
            self._tell(ask.customer, debt, now)
        elif ok and t is not None and self._judge(ask, plan, reply.total - ask.own - ask.fix, now):
            return None     # it waits for one more answer
        if t is None or not self.line.release(t):
            return None
        t.not_before = now
        return t

    def _judge(self, ask: Ask, plan: api.Plan, total: float, now: float) -> bool:
        """Let a try in if its customer's store holds it; `total` is without what this call told."""
        c, t, units, age = ask.customer, ask.t, ask.t.ask.units, now - ask.start
        waits = t.ask.request in self.line.held     # else its client left
        found, back = False, 0.0
        if ask.fix:
            found = not shared_counter.known(plan, age, total)
            back = ask.fix * shared_counter.twice(plan, age, total, ask.fix)
            total += ask.fix - back
        lost = c.left_at >= ask.start   # if it is new: it goes by what it told here
        fresh = min(plan.burst, c.left + plan.rate * (now - c.left_at) if lost else plan.burst)
        fix, level = shared_counter.lacks(plan, age, total, fresh)
        if waits and (fix or ask.own < units <= level) and not ask.fix:     # guards reads that met, too
            t.not_before = t.good_until = now + 2 * self.settings.counter_timeout
            self._tell(c, fix + units - ask.own, now, t=t, own=units, fix=fix)
            return True
        if found and not back and not lost:     # guards against a burst more at each epoch's turn
            self._tell(c, 0.0, now, last=True)
        t.inside = t.told = waits and not fix and level >= units
        # Guards the ceiling against counts that were lost: what is not proven comes from our own part.
        if plan.ceiling_rate and level - shared_counter.unproven(plan, age, total) < units:
            t.good_until = 0.0
        if fix or plan.ceiling_rate and level < -shared_counter.DEEP * plan.burst:
            t.inside = None     # nobody can tell
        took = units * t.told
        if abs(change := took - ask.own - back) > 2.0 * shared_counter.MARK:
            self._tell(c, change, now, use=took - ask.own)
        c.left, c.left_at, c.short_at = max(0.0, level - took), now, c.short_at if t.inside else now
        c.odds += LEARN * (t.told - c.odds)
        self.odds[c.plan][t.ask.cls] += LEARN / 2 * (t.told - self.odds[c.plan][t.ask.cls])
        c.level = 0.0 if t.inside is False else c.level     # to go by while the counter is silent
        # Guards against a customer kept out by corrections that met, or by use told late: no true store is
        # below nothing.  Not under a ceiling: what several put right at once would pass it.
        deep = level < -shared_counter.DEEP * plan.burst and not plan.ceiling_rate
        if deep and self.random.random() < shared_counter.DEEP_FIX:
            self._tell(c, level, now)
        return False

    def kept(self, t: Try, now: float) -> float:
        """Units of a short customer's bucket that its cheap tries, being more, leave to the dear ones.

        Part of the bucket at most: a try must find it full enough."""
        c, lately = t.customer, now - SHORT_FOR
        if t.worth >= c.top or c.top_at < lately or c.short_at < lately:
            return 0.0
        return min(self.settings.most_units, KEEP * max(0.0, self.depth(c) - t.ask.units))

    def room(self, t: Try, now: float) -> bool:
        """Whether its customer's quota has room for a try that has not been charged."""
        c, plan = t.customer, self.settings.plans[t.customer.plan]
        if plan.rate and not (c.level >= t.ask.units + self.kept(t, now) if t.inside is None else t.inside):
            return False
        return not (plan.open_limit and c.open >= max(1, round(plan.open_limit * c.share)))

    def take(self, t: Try, inside: bool, now: float) -> None:
        """Charge a try that goes out: to its customer's quota where it is inside."""
        c, units, plan = t.customer, t.ask.units, self.settings.plans[t.customer.plan]
        c.level -= min(c.level, units) if inside and plan.rate else 0.0
        c.fresh, c.own = c.fresh + units * inside, c.own + units * inside
        c.spared += units * (not inside)
        if c.asks and t.inside is None and inside:
            self._untold(c, now, units)

    def wait(self, t: Try, ahead: float, now: float) -> float:
        """Seconds until its customer's bucket holds its units and those that wait before it."""
        c, plan, need = t.customer, self.settings.plans[t.customer.plan], t.ask.units + ahead
        rate = plan.rate * max(c.share, 0.01) if t.inside is None and plan.rate else inf
        wait = (need + self.kept(t, now) - c.level) / rate
        if plan.ceiling_rate and not self.stands(t, now):
            wait = max(wait, (need - c.ceiling) / max(part(c, plan)[1], 1e-9))
        return wait

    def own_rate(self, c: Customer, now: float) -> float:
        return self.settings.plans[c.plan].rate * c.share

    def stands(self, t: Try, now: float) -> bool:
        """Whether the counter's word stands for its part of the ceiling; waiting tries go out all at once."""
        return t.told and t.customer.held and now <= t.good_until
