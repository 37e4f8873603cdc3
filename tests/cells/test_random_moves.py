"""200 drawn moves under load, in simulated time: three deciders, nodes that die, plans that come late or old.

What happened is read at the stand-in nodes, record by record: each request is answered once, no booking runs
twice, none is taken anew by a move, and nothing new of an agency goes to a cell it has left.
"""

from __future__ import annotations

import heapq
from collections import Counter
from random import Random

import pytest
from conftest import make_settings

from fennelpoint import interface as api
from fennelpoint.cells.assign import Assignment, Node
from fennelpoint.cells.cell_controller import CellController
from fennelpoint.cells.moves import MoveTracker
from fennelpoint.cells.plan import CellSpec, Plan
from fennelpoint.testing.ceilings import Exact

INGRESSES, AGENCIES, MOVES, SECONDS = 3, 12, 50, 30.0
ASKED = 12.0    # tries a second of an agency, whose quota is 8: some wait
CELLS = {"east": ["s-0", "s-1", "s-2"], "west": ["s-3", "s-4", "s-5"], "north": ["s-6", "s-7", "s-8"]}
DEAR = api.Plan("dear", 2.0, rate=8.0, burst=16.0, over_cost=1.0, ceiling_rate=16.0, ceiling_burst=32.0,
                ceiling_slack=3.2)


def plan_of(version: int, at: dict[int, str]) -> Plan:
    return Plan(version=version, cells=[
        CellSpec(name, nodes=nodes, agencies=[f"{a:016x}" for a, cell in at.items() if cell == name])
        for name, nodes in CELLS.items()])


class Ingress:
    """A decider with the cells' deciders round it, as the service has them."""

    def __init__(self, me: int, plan: Plan, now: float) -> None:
        settings = make_settings(me=me, ingresses=INGRESSES, plans=[DEAR], most_units=1.0, has_counter=False)
        self.decider, self.moves, self.assignment = (
            CellController(settings, me, now), MoveTracker(), Assignment(plan))
        self.nodes: set[str] = set()

    def members(self) -> dict[str, frozenset[str]]:
        return self.assignment.members(Node(n) for n in sorted(self.nodes))

    def cells(self, moved: dict[int, str]) -> api.Cells:
        return api.Cells({name: api.Cell(m, "", 0.0) for name, m in self.members().items()}, moved)

    def hear(self, plan: Plan) -> api.Cells | None:
        """A plan; an older one changes nothing."""
        if plan.version <= self.assignment.plan.version:
            return None
        before, self.assignment = self.assignment, Assignment(plan)
        changes = {a: (before.cell_of(a), self.assignment.cell_of(a)) for a in range(1, AGENCIES + 1)
                   if before.cell_of(a) != self.assignment.cell_of(a)}
        return self.cells(self.moves.apply_plan_changes(changes, plan.version, self.members()))


class Play:
    def __init__(self, seed: int) -> None:
        self.draw, self.now, self.number = Random(seed), 1000.0, 0
        self.queue: list[tuple] = []
        self.at = {a: self.draw.choice(sorted(CELLS)) for a in range(1, AGENCIES + 1)}
        self.plans = [plan_of(1, self.at)]
        self.ingresses = [Ingress(i, self.plans[0], self.now) for i in range(INGRESSES)]
        self.up = {n for nodes in CELLS.values() for n in nodes}
        self.asked: dict[tuple[int, int], tuple[int, int]] = {}     # by ingress and request: agency, class
        self.answers: Counter[tuple[int, int]] = Counter()
        self.ran: Counter[tuple[int, int]] = Counter()              # whole at a node, by request
        self.out: dict[tuple[int, int], tuple[str, int]] = {}       # the attempt that is out: node, number
        self.tries: Counter[tuple[int, int]] = Counter()
        self.astray: list[tuple] = []
        self.rules = {a: Exact(DEAR.ceiling_rate, DEAR.ceiling_burst, DEAR.ceiling_slack) for a in self.at}
        self.moved = 0
        for i in range(INGRESSES):
            self.roster(i)
        for a in self.at:
            self.later(self.draw.expovariate(ASKED), self.arrive, a)
        for _ in range(MOVES):
            self.later(self.draw.uniform(1.0, SECONDS - 5.0), self.move)
        for _ in range(10):
            self.later(self.draw.uniform(1.0, SECONDS - 8.0), self.kill)

    def play(self) -> Play:
        while self.queue:
            self.now, _, do, args = heapq.heappop(self.queue)
            do(*args)
        return self

    def later(self, delay: float, do, *args) -> None:
        self.number += 1
        heapq.heappush(self.queue, (self.now + delay, self.number, do, args))

    def move(self) -> None:
        """A plan that reaches each ingress late, or not before the next one; or an older one comes again."""
        self.at[self.draw.randint(1, AGENCIES)] = self.draw.choice(sorted(CELLS))
        self.plans.append(plan_of(len(self.plans) + 1, dict(self.at)))
        for i in range(INGRESSES):
            if self.draw.random() < 0.8:
                self.later(self.draw.uniform(0.0, 3.0), self.hear, i, self.plans[-1])
            if self.draw.random() < 0.2:
                self.later(self.draw.uniform(0.0, 3.0), self.hear, i, self.draw.choice(self.plans))

    def hear(self, i: int, plan: Plan) -> None:
        made = self.ingresses[i]
        version = made.assignment.plan.version
        if (cells := made.hear(plan)) is not None:
            self.moved += len(cells.moved)
            self.give(i, cells)
        assert made.assignment.plan.version >= version

    def kill(self) -> None:
        """A node dies with what it holds, is off the lists soon, and comes back."""
        if not self.up:
            return
        node = self.draw.choice(sorted(self.up))
        self.up.discard(node)
        for key in [key for key, (at, _) in self.out.items() if at == node]:
            self.end(*key, api.Status.RESET)
        for i in range(INGRESSES):
            self.later(self.draw.uniform(0.2, 1.0), self.roster, i)
            self.later(self.draw.uniform(4.0, 5.0), self.roster, i)
        self.later(3.0, self.up.add, node)

    def roster(self, i: int) -> None:
        made = self.ingresses[i]
        made.nodes = set(self.up)
        begun = made.moves.update_members(made.members())
        self.give(i, made.cells(begun))
        self.give(i, api.Roster(api.RosterKind.FULL, 1, [
            api.BackendEntry(n, api.BackendState.READY) for n in sorted(self.up)]))

    def arrive(self, agency: int) -> None:
        if self.now < 1000.0 + SECONDS - 10.0:
            self.later(self.draw.expovariate(ASKED), self.arrive, agency)
        i, cls = self.draw.randrange(INGRESSES), self.draw.randrange(2)
        self.number += 1
        self.asked[i, self.number] = agency, cls
        made = self.ingresses[i]
        cell = made.moves.cell_of(agency, made.assignment.cell_of(agency))
        self.give(i, api.Request(self.number, cls, 0, agency, (4.0, 6.0)[cls], 1.0, float(INGRESSES), 0.0,
                                 cell=cell))

    def give(self, i: int, event: api.Event) -> None:
        for action in self.ingresses[i].decider.handle(event, self.now):
            match action:
                case api.SetTimer():
                    self.later(action.delay, self.give, i, api.TimerDue(action.token))
                case api.Send():
                    self.send(i, action)
                case api.Refuse() | api.Fail():
                    self.answers[i, action.request] += 1

    def send(self, i: int, send: api.Send) -> None:
        key, made = (i, send.request), self.ingresses[i]
        agency, _ = self.asked[key]
        cell = made.moves.cell_of(agency, made.assignment.cell_of(agency))
        if send.backend not in CELLS[cell] and not self.tries[key]:
            self.astray.append((self.now, key, send.backend, cell))
        assert key not in self.out
        made.moves.attempt_sent(agency, send.backend)
        self.out[key] = send.backend, self.tries[key]
        self.tries[key] += 1
        if send.backend not in self.up:
            return self.later(0.01, self.end, *key, api.Status.CONNECT_FAILED, self.tries[key])
        if not self.ran[key]:
            self.rules[agency].take(self.now, 1.0)
        self.ran[key] += 1
        self.later(self.draw.uniform(0.05, 0.5), self.end, *key, api.Status.OK, self.tries[key])

    def end(self, i: int, request: int, status: api.Status, number: int = 0) -> None:
        key = i, request
        if key not in self.out or number and number != self.tries[key]:
            return      # it had ended with its node
        node, attempt = self.out.pop(key)
        self.ingresses[i].moves.attempt_ended(self.asked[key][0], node)
        self.answers[key] += status is api.Status.OK
        self.give(i, api.Outcome(request, attempt, node, status, 0.1, status is api.Status.OK))


@pytest.mark.parametrize("seed", range(4))
def test_fifty_drawn_moves_lose_nothing_and_run_no_booking_twice(seed):
    made = Play(seed).play()
    assert made.moved >= 50 and len(made.asked) > 800
    assert {key for key in made.asked if made.answers[key] != 1} == set()
    bookings = [key for key, (_, cls) in made.asked.items() if cls == 1]
    assert len(bookings) > 300 and max(made.ran[key] for key in bookings) == 1
    assert made.astray == []
    assert max(rule.nearness for rule in made.rules.values()) <= 1.0
    for ingress in made.ingresses:      # nothing is left open, and all know the newest plan they heard of
        assert not ingress.moves.in_flight and not ingress.decider.requests.open
        assert all(m.state.value == "planned" for m in ingress.moves.open.values())
