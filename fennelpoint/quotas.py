"""Quotas: each customer's token bucket here, its share of the quota, and the counter that ingresses share."""

from __future__ import annotations

from collections import deque
from math import inf

from fennelpoint import interface as api
from fennelpoint import shared_counter
from fennelpoint.bookkeeping import (
    CHECK_S,
    CHECK_TOKEN,
    EWMA,
    FORGET_AFTER_S,
    Context,
    Policy,
    ceiling_part,
    evict_idle,
    refill,
    settle,
    used_since,
)
from fennelpoint.state import Customer, PendingRequest, StoreCall

COUNT_PERIOD_S = 1.0  # each counter call has a price
SILENT_AFTER_S, SILENT_CALLS, COUNT_TTL_S = 1.0, 3, 60.0  # of a silent counter: s, lost calls
BACKOFF_S, MAX_BACKOFF_S = 0.25, 8.0  # half of the first pause after a lost call; longest pause
SHORT_FOR_S, MIN_READ_S = 6.0, 0.15  # a customer counts as short after units were missing; between two reads
READ_FILLS, LOW_FILLS = 0.25, 0.1  # read interval in fill times: when short; on a low grant
OTHERS_MARGIN, MAX_DEBT, REPAYMENT = 1.5, 0.1, 0.5  # most debt is of the burst; repaid at a read
RESERVE = 0.6  # of the bucket, reserved for requests of more worth
LOW, CARRY_OVER = 0.5, 0.35  # low grant, of the last one; carried over a read, of the even part of the burst
REFUSED_NAMES = 1 << 40    # above all keys: key + this is the counter's name for refused units
DEMAND_HALF_LIFE_S = 2.0    # of demand in a share
SPARSE_S, SPARSE_MANY_S = 10.0, 1.5  # each request asks if its even share fills slower; many ingresses
EVEN_ODDS, SLOW_REPLY = 0.5, 0.6  # lower odds: reads first; part of the time-out: a slow reply
ASK_GAIN, ASK_SLOW, ASK_LOSS, MIN_ASKING = 0.05, 0.9, 0.6, 0.1  # asking share after a quick, slow, lost reply
ASK_REGAIN = 0.05  # regained per second: with few calls, few replies show that the counter is back
EVICTION_SCAN = 2   # customers checked for eviction at each request


class Quotas(Policy):
    """The customers of one ingress and their token buckets."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.customers: dict[int, Customer] = {}  # least recently seen first
        self.mixed, self.stamp, self.asking = False, 0, 1.0     # plans differ; their tag; share that asks
        self.answers, self.silent_at = 0, -inf  # replies in a row (negative: lost calls); counter last silent
        self.store_calls: dict[int, deque[StoreCall]] = {}  # store calls in flight, by name, in order
        self.odds = [[EVEN_ODDS] * len(self.settings.classes) for _ in self.settings.plans]  # of room
        self.usual_worth, self.asked_at = 1.0, context.started_at  # `asked_at`: last sparse request

    def customer(self, request: api.Request, now: float) -> Customer:
        plan, me = self.settings.plans[request.plan], self.settings.me
        width = max(1.0, request.width) * self.context.processes
        # An ingress outside the set that the request names takes the least part, for the ceiling's sake.
        if plan.ceiling_rate and (me - request.first) % self.settings.ingresses >= request.width:
            width = self.settings.ingresses * self.context.processes
        if (c := self.customers.pop(request.customer, None)) is None:
            c = Customer(request.customer, request.plan, 0.0, 1.0 / width,
                         max(plan.burst / width, request.units), store=plan.burst, filled_at=now,
                         total_at=now, count_at=now + self.random.uniform(0.3, 1.0) * COUNT_PERIOD_S)
            # This ingress has sent nothing for it since the process started, or since it was evicted.
            self.set_width(c, width)
            c.ceiling = ceiling_part(c, plan)[1] * min(now - self.context.started_at, FORGET_AFTER_S)
        elif width > c.width or c.plan != request.plan:
            # If requests contradict each other, the smaller part and the plan with a ceiling hold.
            gains_ceiling = plan.ceiling_rate and not self.settings.plans[c.plan].ceiling_rate
            c.plan = request.plan if gains_ceiling else c.plan
            self.set_width(c, max(width, c.width))
        self.customers[request.customer], c.seen_at = c, now
        evict_idle(self.customers, EVICTION_SCAN, now - FORGET_AFTER_S)
        return c

    def set_width(self, c: Customer, width: float) -> None:
        """Set how many ingresses share the customer; decides whether its requests ask the counter."""
        plan, c.width = self.settings.plans[c.plan], width
        least = SPARSE_MANY_S if self.context.peer_uncertainty > 0.5 else SPARSE_S
        largest = self.settings.most_units * width / self.context.processes
        c.asks = self.settings.has_counter and 0.0 < plan.rate * least < largest
        # An even split of the ceiling works only if each part holds the largest request.
        c.held = c.asks and (plan.ceiling_burst - plan.burst >= largest or plan.ceiling_burst < largest)

    def depth(self, c: Customer) -> float:
        burst = self.settings.plans[c.plan].burst
        return max(burst * c.share, min(burst, self.settings.most_units))

    def fill(self, c: Customer, now: float) -> None:
        plan, most = self.settings.plans[c.plan], self.settings.most_units
        refill(c, plan, self.depth(c), max(c.cap or 0.0, most), now)

    def count(self, c: Customer, now: float) -> None:
        """Report use to the counter once a period, sooner if units were refused or half the grant is used.

        The reply tells what all ingresses took.  Refused units have another name: shares follow demand."""
        if not self.settings.has_counter or c.reporting is not None:
            return
        plan, period = self.settings.plans[c.plan], COUNT_PERIOD_S
        fill_s = plan.burst / plan.rate if plan.rate else inf
        low = c.level < LOW * c.granted and not c.fails
        # Ends backoff once the counter answers; each call spends a reply, as one shard may still be down.
        if c.fails and now < c.count_at and self.answers >= SILENT_CALLS:
            c.count_at, self.answers = now, self.answers - 1
        if now < (min(c.count_at, c.total_at + max(MIN_READ_S, LOW_FILLS * fill_s)) if low else c.count_at):
            return
        if short := plan.rate > 0.0 and now - c.short_at < SHORT_FOR_S:
            period = min(period, max(MIN_READ_S, READ_FILLS * fill_s))
        c.reporting, c.fresh, c.count_at = c.fresh, 0.0, now + period
        self.actions.append(api.Count(c.key, c.reporting, COUNT_TTL_S))
        if short and c.reporting_refused is None and now >= c.report_refused_at:
            c.reporting_refused, c.refused, c.report_refused_at = c.refused, 0.0, now + 2.0 * COUNT_PERIOD_S
            self.actions.append(api.Count(c.key + REFUSED_NAMES, c.reporting_refused, COUNT_TTL_S))
        elif not short:
            c.refused, c.refused_total = 0.0, None

    def counter_replied(self, reply: api.CounterReply, now: float) -> PendingRequest | None:
        """Process a counter reply; returns the request that waited for it, to be sent or queued now."""
        ok = reply.status is api.Status.OK and abs(reply.total) < inf
        if reply.name in self.store_calls:     # a total may be negative: a refund to a name that was lost
            return self._answered(reply, ok, now)
        ok = ok and reply.total >= 0.0
        if reply.name >= REFUSED_NAMES:
            return self._apply_refused_total(reply, ok)
        if (c := self.customers.get(reply.name)) is None:
            return None
        added, c.reporting, c.fails = c.reporting or 0.0, None, 0 if ok else c.fails + 1
        self.answers = max(0, self.answers) + 1 if ok else min(0, self.answers) - 1
        self.silent_at = now if self.answers <= -SILENT_CALLS else self.silent_at
        if c.queued:  # the grant changes: check the waiting requests again
            self.actions += self.timers.schedule(CHECK_TOKEN, now + CHECK_S, now)
        if not ok:
            c.count_at = now + self.random.uniform(0.5, 1.0) * min(MAX_BACKOFF_S, BACKOFF_S * 2**c.fails)
            c.fresh += added if reply.status is not api.Status.TIMEOUT else 0.0  # else it may count
            if now - c.total_at > SILENT_AFTER_S:  # even shares while the counter is silent
                c.share, c.ours, c.alls, c.spans = 1.0 / c.width, 0.0, 0.0, 0.0
            return None
        counted = c.total is not None
        plan, (own, total, span) = self.settings.plans[c.plan], used_since(c, reply.total, added, now)
        self.fill(c, now)
        if total is None:    # the first total, or the counter lost its count
            # Estimates the others' use, which can't be seen after an outage: the store must not look full.
            total = own / max(c.share, 1.0 / c.width) if counted else min(reply.total, own * c.width)
            c.share, c.ours, c.alls, c.spans = 1.0 / c.width, 0.0, 0.0, 0.0
        else:
            decay, spared = 0.5 ** (span / DEMAND_HALF_LIFE_S), c.reporting_refused or 0.0
            c.ours, c.alls = c.ours * decay + own + spared, c.alls * decay + total + spared
            c.spans = c.spans * decay + span
            self._update_share(c)
        c.store = max(-MAX_DEBT * plan.burst, settle(c.store, plan, total, span, self.silent_at > now - span))
        # Limited, as stores are small beside a request: each ingress kept one, which made up a burst.
        carried = min(c.level, self.settings.most_units, CARRY_OVER * plan.burst / c.width)
        carried += min(0.0, c.store) * c.share * REPAYMENT
        c.granted = c.level = max(0.0, carried, self._grant(c))
        return None

    def _apply_refused_total(self, reply: api.CounterReply, ok: bool) -> None:
        """Count the refused demand of all ingresses in the shares."""
        if (c := self.customers.get(reply.name - REFUSED_NAMES)) is None or c.reporting_refused is None:
            return
        added, c.reporting_refused = c.reporting_refused, None
        if not ok:
            c.refused += added if reply.status is not api.Status.TIMEOUT else 0.0
            return
        before, c.refused_total = c.refused_total, reply.total
        if c.spans and before is not None and reply.total >= before:
            c.alls += max(0.0, reply.total - before - added)
            self._update_share(c)

    def _update_share(self, c: Customer) -> None:
        """The larger of: an even part of the unused quota; the local part of the demand."""
        rate = self.settings.plans[c.plan].rate
        unused = max(0.0, 1.0 - c.alls / c.spans / rate) / c.width if rate else 0.0
        c.share = max(unused, c.ours / c.alls if c.alls else 1.0 / c.width)

    def _grant(self, c: Customer) -> float:
        """Units that may be taken until the next read: the share, or what others are unlikely to use."""
        if not c.spans:
            return c.store * c.share
        span = max(MIN_READ_S, c.count_at - c.total_at)     # the total may be late
        return max(c.store * c.share, c.store - OTHERS_MARGIN * (c.alls - c.ours) / c.spans * span)

    def consult_counter(self, req: PendingRequest, now: float, overloaded: bool) -> bool:
        """Ask the counter for a sparse customer's request, fewer if it is slow; True: the request waits."""
        c, units, plan = req.customer, req.request.units, self.settings.plans[req.customer.plan]
        if self.mixed:  # local shares only: others may use other plan figures for the store
            return False
        self.asking, self.asked_at = min(1.0, self.asking + ASK_REGAIN * (now - self.asked_at)), now
        chance = self.asking * req.worth * units / self.usual_worth  # the most valuable first
        self.usual_worth += EWMA / 4 * (req.worth * units - self.usual_worth)
        if plan.over_worth > 0.0 >= plan.over_cost and not plan.ceiling_rate and not overloaded:
            req.within_quota = True     # admitted whatever the reply
        elif c.left + plan.rate * (now - c.left_at) < units:  # short even if no other ingress takes any
            req.within_quota = False
        elif self.asking >= 1.0 or self.random.random() < chance:
            own = units if c.odds >= EVEN_ODDS else shared_counter.READ_MARK_UNITS   # likely short: read
            use, c.untold = self._record_untold(c, now), 0.0
            self._report(c, own + use, now, req=req, own=own, use=use)
            req.not_before = req.counted_until = now + 2 * self.settings.counter_timeout   # if no reply comes
            return True
        else:  # does not ask: goes by the replies to other requests
            odds = min(c.odds, self.odds[req.request.plan][req.request.cls])
            req.within_quota = None if odds >= (1.0 - odds) * plan.over_cost else False
        return False

    def _record_untold(self, c: Customer, now: float, more: float = 0.0) -> float:
        """Add to the units that the counter does not know of; drops those old enough to have refilled."""
        plan = self.settings.plans[c.plan]
        c.untold = (c.untold if (now - c.untold_at) * plan.rate < plan.burst else 0.0) + more
        c.untold_at = now
        return c.untold

    def _report(self, c: Customer, amount: float, now: float, last: bool = False, **values: object) -> None:
        name, start = shared_counter.name_of(c.key, now - shared_counter.EPOCH_S * last)
        name += self.stamp * shared_counter.STAMP
        self.store_calls.setdefault(name, deque()).append(StoreCall(c, start, now, last=last, **values))
        self.actions.append(api.Count(name, amount, shared_counter.COUNT_LIFETIME_S))

    def refund(self, req: PendingRequest, now: float) -> None:
        """Return the units of a request that the counter counted and that was never sent."""
        if req.is_counted and not req.charged:
            self._report(req.customer, -req.request.units, now, use=-req.request.units)

    def _answered(self, reply: api.CounterReply, ok: bool, now: float) -> PendingRequest | None:
        call = self.store_calls[reply.name].popleft()
        if not self.store_calls[reply.name]:
            del self.store_calls[reply.name]
        quick = ok and reply.latency <= SLOW_REPLY * self.settings.counter_timeout
        asking = self.asking + ASK_GAIN if quick else self.asking * (ASK_SLOW if ok else ASK_LOSS)
        self.asking = min(1.0, max(MIN_ASKING, asking))
        req, plan = call.req, self.settings.plans[call.customer.plan]
        if not ok and reply.status is not api.Status.TIMEOUT:   # after a time-out it may count
            self._record_untold(call.customer, now, call.use)
        elif ok and call.last and (due := shared_counter.owed(plan, call.at - call.start, reply.total)) > 0.0:
            self._report(call.customer, due, now)
        elif ok and req is not None and self._apply_total(call, plan, reply.total - call.own - call.fix, now):
            return None     # it waits for another reply
        if req is None or not self.requests.dequeue(req):
            return None
        req.not_before = now
        return req

    def _apply_total(self, call: StoreCall, plan: api.Plan, total: float, now: float) -> bool:
        """Decide on a request by its store; `total` excludes this call.  True: it waits for another reply."""
        c, req, units, age = call.customer, call.req, call.req.request.units, now - call.start
        waits = req.request.request in self.requests.waiting     # else its client has gone
        found, back = False, 0.0
        if call.fix:
            found = not shared_counter.is_initialised(plan, age, total)
            back = call.fix * shared_counter.corrected_twice(plan, age, total, call.fix)
            total += call.fix - back
        lost = c.left_at >= call.start   # a lost name starts from the level known here
        fresh = min(plan.burst, c.left + plan.rate * (now - c.left_at) if lost else plan.burst)
        fix, level = shared_counter.correction(plan, age, total, fresh)
        if waits and (fix or call.own < units <= level) and not call.fix:     # also if only read so far
            req.not_before = req.counted_until = now + 2 * self.settings.counter_timeout
            self._report(c, fix + units - call.own, now, req=req, own=units, fix=fix)
            return True
        if found and not back and not lost:     # else each epoch would begin with an extra burst
            self._report(c, 0.0, now, last=True)
        req.within_quota = req.is_counted = waits and not fix and level >= units
        # Counts may have been lost: unproven units come from the local part of the ceiling.
        if plan.ceiling_rate and level - shared_counter.unproven(plan, age, total) < units:
            req.counted_until = 0.0
        if fix or plan.ceiling_rate and level < -shared_counter.DEEP_DEBT * plan.burst:
            req.within_quota = None     # unknown
        took = units * req.is_counted
        if abs(change := took - call.own - back) > 2.0 * shared_counter.READ_MARK_UNITS:
            self._report(c, change, now, use=took - call.own)
        c.left, c.left_at, c.short_at = max(0.0, level - took), now, c.short_at if req.within_quota else now
        c.odds += EWMA * (req.is_counted - c.odds)
        self.odds[c.plan][req.request.cls] += EWMA / 2 * (req.is_counted - self.odds[c.plan][req.request.cls])
        c.level = 0.0 if req.within_quota is False else c.level     # used while the counter is silent
        # Concurrent corrections or late reports must not lock a customer out: no true store has such a debt.
        # Not under a ceiling, which several corrections at once would exceed.
        deep = level < -shared_counter.DEEP_DEBT * plan.burst and not plan.ceiling_rate
        if deep and self.random.random() < shared_counter.DEEP_DEBT_FIX_ODDS:
            self._report(c, level, now)
        return False

    def reserved_units(self, req: PendingRequest, now: float) -> float:
        """Units left for requests of more worth, if short: a part of the bucket, or others would starve."""
        c, lately = req.customer, now - SHORT_FOR_S
        if req.worth >= c.top or c.top_at < lately or c.short_at < lately:
            return 0.0
        return min(self.settings.most_units, RESERVE * max(0.0, self.depth(c) - req.request.units))

    def has_room(self, req: PendingRequest, now: float) -> bool:
        """Whether the customer's quota has room for an uncharged request."""
        c, plan = req.customer, self.settings.plans[req.customer.plan]
        if plan.rate and not (c.level >= req.request.units + self.reserved_units(req, now)
                              if req.within_quota is None else req.within_quota):
            return False
        return not (plan.open_limit and c.open >= max(1, round(plan.open_limit * c.share)))

    def charge(self, req: PendingRequest, within: bool, now: float) -> None:
        """Charge a request that is sent: to the quota if it is within it, else to the refused demand."""
        c, units, plan = req.customer, req.request.units, self.settings.plans[req.customer.plan]
        c.level -= min(c.level, units) if within and plan.rate else 0.0
        c.fresh, c.taken = c.fresh + units * within, c.taken + units * within
        c.refused += units * (not within)
        if c.asks and req.within_quota is None and within:
            self._record_untold(c, now, units)

    def wait_s(self, req: PendingRequest, ahead: float, now: float) -> float:
        """Seconds until the bucket holds its units and `ahead`, those of the requests before it."""
        c, plan, need = req.customer, self.settings.plans[req.customer.plan], req.request.units + ahead
        rate = plan.rate * max(c.share, 0.01) if req.within_quota is None and plan.rate else inf
        wait = (need + self.reserved_units(req, now) - c.level) / rate
        if plan.ceiling_rate and not self.counter_covers(req, now):
            wait = max(wait, (need - c.ceiling) / max(ceiling_part(c, plan)[1], 1e-9))
        return wait

    def local_rate(self, c: Customer, now: float) -> float:
        return self.settings.plans[c.plan].rate * c.share

    def counter_covers(self, req: PendingRequest, now: float) -> bool:
        """Whether the counter's reply covers its ceiling units; expires, as waiting ones leave together."""
        return req.is_counted and req.customer.held and now <= req.counted_until
