"""Many deciders in one simulated time, with a counter that all share: no sockets, no clock of the machine."""

from __future__ import annotations

import heapq
import time
from random import Random

from fennelpoint import Controller
from fennelpoint import interface as api

ANSWER, LATE = 0.2, 0.05    # s of a backend's answer; of the counter's time-out


class Fleet:
    """Deciders and what is about them: a counter that may be silent, lose its counts or refuse all."""

    def __init__(self, settings: list[api.Settings], width: float, backends: int = 60) -> None:
        self.width, self.draw, self.now, self.number = width, Random(5), 100.0, 0
        self.queue: list[tuple] = []
        self.totals: dict[int, tuple[float, float]] = {}    # by name: the total, and when it is forgotten
        self.state = "up"
        self.sent: list[tuple[float, int, float]] = []      # when, customer, units
        self.asked: dict[tuple[int, int], tuple[int, float]] = {}
        self.calls = self.refused = 0
        self.busy = 0.0         # s of processor in the deciders
        self.to: dict[object, int] = {}
        self.nodes = [Controller(s, seed=i, now=self.now) for i, s in enumerate(settings)]
        for i, _ in enumerate(self.nodes):
            self.give(i, api.Roster(api.RosterKind.FULL, 1, [
                api.BackendEntry(f"s{b:02}", api.BackendState.READY) for b in range(backends)]))

    def later(self, delay: float, node: int, event: api.Event) -> None:
        self.number += 1
        heapq.heappush(self.queue, (self.now + delay, self.number, node, event))

    def give(self, node: int, event: api.Event) -> None:
        began = time.perf_counter()
        actions = self.nodes[node].handle(event, self.now)
        self.busy += time.perf_counter() - began
        for action in actions:
            match action:
                case api.SetTimer():
                    self.later(action.delay, node, api.TimerDue(action.token))
                case api.Count():
                    self.count(node, action)
                case api.Send():
                    key = (node, action.request)
                    self.to[action.backend] = self.to.get(action.backend, 0) + 1
                    self.sent.append((self.now, *self.asked.pop(key)))
                    self.later(ANSWER, node, api.Outcome(action.request, 0, action.backend, api.Status.OK,
                                                         ANSWER, True))
                case api.Refuse() | api.Fail():
                    self.refused += 1

    def count(self, node: int, call: api.Count) -> None:
        self.calls += 1
        if self.state == "silent":
            return self.later(LATE, node, api.CounterReply(call.name, api.Status.TIMEOUT, 0.0, LATE))
        if self.state == "full":
            return self.later(0.002, node, api.CounterReply(call.name, api.Status.FULL, 0.0, 0.002))
        total, ends = self.totals.get(call.name, (0.0, 0.0))
        if self.now >= ends:
            total, ends = 0.0, self.now + call.forget_after
        self.totals[call.name] = total + call.amount, ends
        self.later(0.005, node, api.CounterReply(call.name, api.Status.OK, total + call.amount, 0.005))

    def play(self, seconds: float, plan: int, customers: range, rate: float) -> None:
        """Tries of each customer, so many a second in the mean, each at a random one of its ingresses."""
        end = self.now + seconds
        for customer in customers:
            at = self.now
            while (at := at + self.draw.expovariate(rate)) < end:
                self.number += 1
                node = (customer + self.draw.randrange(int(self.width))) % len(self.nodes)
                heapq.heappush(self.queue, (at, self.number, node, api.Request(
                    self.number, 0, plan, customer, 4.0, 1.0, self.width, float(customer))))
        while self.queue and self.queue[0][0] <= end:
            self.now, _, node, event = heapq.heappop(self.queue)
            if isinstance(event, api.Request):
                self.asked[(node, event.request)] = (event.customer, event.units)
            self.give(node, event)
        self.now = end

    def units(self, customers: range, since: float) -> float:
        return sum(units for at, c, units in self.sent if c in customers and at >= since)
