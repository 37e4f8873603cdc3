"""Drawn days for the rule on ceilings: real deciders, one late and faulty counter, and a checker apart.

One seed gives one day: 2 to 40 ingresses, customers of a plan with a ceiling whose tries come through 1 to 6
of them, at up to 8 times their quota.  The counter is late, loses calls or answers, counts late, is silent,
turns away, or is emptied; ingresses are killed and come back with nothing, or are replaced under load;
backends are gone for a while, so that much waits and goes out at once; epochs of the stores turn.

`Exact` shares nothing with the decision module: it is the rule as the protocol words it.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from fennelpoint import Controller, handover
from fennelpoint import interface as api

TIMEOUT = 0.05      # s of a counter call
KINDS = ("silent", "full", "crowded", "lossy", "late", "emptied", "killed", "upgrade", "away", "replaced")


@dataclass(slots=True)
class Exact:
    """One customer's ceiling: a bucket that each try's units are taken from when it comes to a backend."""

    rate: float
    burst: float
    slack: float
    level: float = 0.0
    at: float = -1e9
    lowest: float = 0.0
    units: float = 0.0

    def __post_init__(self) -> None:
        self.level = self.lowest = self.burst

    def take(self, now: float, units: float) -> None:
        filled = self.level + self.rate * (now - self.at)
        self.level, self.at = (filled if filled < self.burst else self.burst) - units, now
        self.lowest, self.units = min(self.lowest, self.level), self.units + units

    @property
    def nearness(self) -> float:
        """The most that was out of it, over what the rule allows: over 1 it is broken."""
        return (self.burst - self.lowest) / (self.burst + self.slack)


@dataclass(slots=True)
class Flow:
    """A customer of the day."""

    key: int
    width: int
    first: int
    rate: float         # tries a second
    unit: float         # units of a try, at most


@dataclass(slots=True, order=True)
class Fault:
    at: float
    kind: str = field(compare=False)
    length: float = field(compare=False)
    node: int = field(compare=False, default=0)


class Day:
    """A day by its seed; `make` builds a decider, so that one broken on purpose can be played."""

    def __init__(self, seed: int, make: Callable[[api.Settings, int, float], Controller] = Controller,
                 seconds: float = 12.0, quiet: bool = False) -> None:
        draw = self.draw = Random(seed)
        self.make, self.seed, self.start = make, seed, 1e6 + draw.uniform(0.0, 1e5)
        self.now, self.end, self.number = self.start, self.start + seconds, 0
        ingresses = draw.choice((2, 3, 8, 14, 24, 40))
        rate, most = draw.uniform(5.0, 14.0), float(draw.choice((2, 3, 4)))
        burst, over = rate * draw.uniform(1.0, 2.9), draw.uniform(1.7, 2.4)
        self.plan = api.Plan("dear", 1.8, rate=rate, burst=max(burst, most), over_cost=0.8,
                             ceiling_rate=rate * over, ceiling_burst=max(burst, most) * over,
                             ceiling_slack=max(most, 0.1 * max(burst, most) * over))
        self.settings = [api.Settings(
            me=i, ingresses=ingresses, zone=0, classes=[
                api.RequestClass("look", 0.8, 2.0, 1.0, api.Effect.SAFE),
                api.RequestClass("book", 1.5, 7.5, 3.0, api.Effect.UNSAFE)],
            plans=[self.plan], max_attempts=4, drain_grace=0.5, cold_share=0.2, ramp_time=10.0,
            tip_multiple=2.0, fall_span=2.0, answer_slack=0.016, tick=0.001, has_counter=True,
            counter_timeout=TIMEOUT, counter_fee=0.02, most_units=most, report_via="none")
            for i in range(ingresses)]
        self.nodes: list[list[Controller]] = [[] for _ in self.settings]    # two while one is replaced
        self.names: dict[int, tuple[float, float]] = {}
        self.exact: dict[int, Exact] = {}
        self.tries: dict[tuple[int, int], list] = {}    # customer, units, whether it came, attempts
        self.calls = self.asked = 0
        self.offered = 0.0
        self.queue: list[tuple] = []
        self.state: dict[str, float] = {}   # what goes on, and until when
        self.answer_s = draw.uniform(0.002, 0.02)
        self.backends = [f"b{i}" for i in range(60)]
        self.version = 0
        for node in range(ingresses):
            self._begin(node)
        asked = rate * 2 / (1 + most)   # tries a second that make up the quota
        self.flows = [Flow(draw.randrange(1 << 33), min(draw.randint(1, 6), ingresses),
                           draw.randrange(ingresses), asked * draw.choice((0.5, 1.0, 2.5, 8.0)), most)
                      for _ in range(draw.randint(1, 3))]
        faults = [] if quiet else [Fault(
            self.start + draw.uniform(0.0, seconds), draw.choice(KINDS), draw.uniform(0.2, 3.0),
            draw.randrange(ingresses)) for _ in range(draw.randint(2, 8))]
        if not quiet and draw.random() < 0.5:   # all find their names new at once, and few hear of it
            kind = draw.choice(("crowded", "lossy", "late"))
            faults.append(Fault(self.start, kind, draw.uniform(0.5, 3.0)))
        self.kinds = tuple(fault.kind for fault in faults)
        for fault in faults:
            self._push(fault.at, self._strike, fault)
        for flow in self.flows:
            self._push(self.start + draw.expovariate(flow.rate), self._arrive, flow)

    # The day

    def play(self) -> Day:
        while self.queue and self.queue[0][0] <= self.end:
            self.now, _, do, args = heapq.heappop(self.queue)
            do(*args)
        return self

    @property
    def nearness(self) -> float:
        return max((e.nearness for e in self.exact.values()), default=0.0)

    @property
    def overshoot(self) -> float:
        """Units beyond what the rule allows, of the customer with the most."""
        return max((-e.lowest - e.slack for e in self.exact.values()), default=0.0)

    def _push(self, at: float, do: Callable, *args: object) -> None:
        self.number += 1
        heapq.heappush(self.queue, (at, self.number, do, args))

    def _is(self, what: str) -> bool:
        return self.state.get(what, 0.0) > self.now

    def _begin(self, node: int) -> Controller:
        self.number += 1
        made = self.make(self.settings[node], self.seed * 1000 + self.number, self.now)
        handover.attach(made)
        self.nodes[node].append(made)
        self._roster(node, made)
        return made

    def _roster(self, node: int, to: Controller) -> None:
        self.version += 1
        self._give(node, to, api.Roster(api.RosterKind.FULL, self.version, [
            api.BackendEntry(b, api.BackendState.READY) for b in self.backends]))

    def _strike(self, fault: Fault) -> None:
        node, there = fault.node, self.nodes[fault.node]
        match fault.kind:
            case "emptied":     # on odd days one of its two parts, in which a customer's epochs take turns
                for name in [n for n in self.names if self.seed % 2 == 0 or (n >> 41 ^ n) % 2]:
                    del self.names[name]
            case "killed" if there:
                self.nodes[node] = []
                self._push(self.now + fault.length, self._back, node)
            case "upgrade" if len(there) == 1:
                old = there[0]
                told = handover.snapshot(old, 2)
                self._give(node, old, api.ProcessCount(2))
                new = self._begin(node)
                self._give(node, new, api.ProcessCount(2))
                self._give(node, new, api.PredecessorState(told))
                self._push(self.now + fault.length, self._end_old, node, old, new)
            case "replaced":
                self.backends = [f"b{self.number}.{i}" for i in range(60)]
                self.state["away"] = self.now + fault.length / 2     # nobody knows yet
                self._push(self.now + fault.length / 2, self._told_of_new)
            case kind:
                self.state[kind] = self.now + fault.length

    def _told_of_new(self) -> None:
        for node, there in enumerate(self.nodes):
            for one in there:
                self._roster(node, one)

    def _back(self, node: int) -> None:
        if not self.nodes[node]:
            self._begin(node)

    def _end_old(self, node: int, old: Controller, new: Controller) -> None:
        if self.nodes[node] != [old, new]:
            return
        self.nodes[node] = [new]
        rest = handover.final_snapshot(old)
        self._give(node, new, api.ProcessCount(1))
        if self.draw.random() < 0.7:    # else it was killed
            self._give(node, new, api.PredecessorState(rest))

    def _arrive(self, flow: Flow) -> None:
        self._push(self.now + self.draw.expovariate(flow.rate), self._arrive, flow)
        node = (flow.first + self.draw.randrange(flow.width)) % len(self.nodes)
        units = float(self.draw.randint(1, int(flow.unit)))
        self.asked, self.offered = self.asked + 1, self.offered + units
        if not (there := self.nodes[node]):
            return
        to, cls = self.draw.choice(there), self.draw.randrange(2)
        self.number += 1
        self.tries[id(to), self.number] = [flow.key, units, False, 0]
        self._give(node, to, api.Request(self.number, cls, 0, flow.key, (2.0, 7.5)[cls], units, flow.width,
                                         flow.first))

    # What a decider asks for

    def _give(self, node: int, to: Controller, event: api.Event) -> None:
        if to not in self.nodes[node]:
            return      # it has ended
        for action in to.handle(event, self.now):
            match action:
                case api.SetTimer():
                    self._push(self.now + action.delay, self._give, node, to, api.TimerDue(action.token))
                case api.Count():
                    self._count(node, to, action)
                case api.Send():
                    self._send(node, to, action)
                case api.Refuse() | api.Fail():
                    self.tries.pop((id(to), action.request), None)

    def _send(self, node: int, to: Controller, send: api.Send) -> None:
        one = self.tries[id(to), send.request]
        number, one[3] = one[3], one[3] + 1
        if self._is("away") or send.backend not in self.backends:
            delay = self.draw.choice((0.002, 0.25))
            return self._push(self.now + delay, self._give, node, to, api.Outcome(
                send.request, number, send.backend, api.Status.CONNECT_FAILED, delay, False))
        if not one[2]:
            one[2], plan = True, self.plan
            rule = self.exact.setdefault(one[0], Exact(
                plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack))
            rule.take(self.now, one[1])
        delay, full = self.draw.uniform(0.02, 0.2), self.draw.random() < 0.01
        status = api.Status.FULL if full else api.Status.OK
        self._push(self.now + delay, self._give, node, to, api.Outcome(
            send.request, number, send.backend, status, delay, not full))

    def _count(self, node: int, to: Controller, call: api.Count) -> None:
        self.calls += 1
        draw, delay = self.draw, self.answer_s * self.draw.uniform(0.5, 2.0)
        if self._is("full") and draw.random() < 0.7:
            return self._push(self.now + delay, self._give, node, to, api.CounterReply(
                call.name, api.Status.FULL, 0.0, delay))
        lost = self._is("silent") or self._is("lossy") and draw.random() < 0.4
        if self._is("crowded"):
            delay += draw.expovariate(1.0 / TIMEOUT)
        if lost and (self._is("silent") or draw.random() < 0.5):    # else it is counted, and the answer lost
            if self._is("late"):
                self._push(self.now + draw.uniform(0.05, 1.0), self._add, call)
            return self._push(self.now + TIMEOUT, self._give, node, to, api.CounterReply(
                call.name, api.Status.TIMEOUT, 0.0, TIMEOUT))
        self._push(self.now + delay / 2, self._counted, node, to, call, self.now, delay, lost)

    def _add(self, call: api.Count) -> float:
        total, ends = self.names.get(call.name, (0.0, 0.0))
        if self.now >= ends:
            total, ends = 0.0, self.now + min(60.0, call.forget_after)
        self.names[call.name] = total + call.amount, ends
        return total + call.amount

    def _counted(self, node: int, to: Controller, call: api.Count, at: float, delay: float,
                 lost: bool) -> None:
        total, late = self._add(call), lost or delay > TIMEOUT
        reply = api.CounterReply(call.name, api.Status.TIMEOUT if late else api.Status.OK,
                                 0.0 if late else total, min(delay, TIMEOUT))
        self._push(at + min(delay, TIMEOUT) if not lost else at + TIMEOUT, self._give, node, to, reply)
