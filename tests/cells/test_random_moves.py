"""Random moves under load in simulated time: three controllers, failing nodes, delayed and outdated plans.

Checks at the simulated nodes that each request is answered once, that no booking runs twice, that a move admits
no request again, and that no new request of an agency goes to a cell that it has left.
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

INGRESSES, AGENCIES, MOVE_COUNT, DURATION_S = 3, 12, 50, 30.0
REQUEST_RATE = 12.0     # requests per second of an agency; its quota is 8, so that some queue
CELLS = {"east": ["s-0", "s-1", "s-2"], "west": ["s-3", "s-4", "s-5"], "north": ["s-6", "s-7", "s-8"]}
CAPPED_PLAN = api.Plan("dear", 2.0, rate=8.0, burst=16.0, over_cost=1.0, ceiling_rate=16.0, ceiling_burst=32.0,
                       ceiling_slack=3.2)


def make_plan(version: int, cell_by_agency: dict[int, str]) -> Plan:
    return Plan(version=version, cells=[
        CellSpec(name, nodes=nodes, agencies=[f"{a:016x}" for a, cell in cell_by_agency.items() if cell == name])
        for name, nodes in CELLS.items()])


class Ingress:
    """A controller with its move tracker and assignment, wired as in CellsService."""

    def __init__(self, index: int, plan: Plan, now: float) -> None:
        settings = make_settings(
            me=index, ingresses=INGRESSES, plans=[CAPPED_PLAN], most_units=1.0, has_counter=False)
        self.controller, self.moves, self.assignment = (
            CellController(settings, index, now), MoveTracker(), Assignment(plan))
        self.nodes: set[str] = set()

    def members(self) -> dict[str, frozenset[str]]:
        return self.assignment.members(Node(n) for n in sorted(self.nodes))

    def cells_event(self, moved: dict[int, str]) -> api.Cells:
        return api.Cells({name: api.Cell(m, "", 0.0) for name, m in self.members().items()}, moved)

    def apply_plan(self, plan: Plan) -> api.Cells | None:
        """Apply a plan, unless it is older; return the event for the controller."""
        if plan.version <= self.assignment.plan.version:
            return None
        previous, self.assignment = self.assignment, Assignment(plan)
        changes = {a: (previous.cell_of(a), self.assignment.cell_of(a)) for a in range(1, AGENCIES + 1)
                   if previous.cell_of(a) != self.assignment.cell_of(a)}
        return self.cells_event(self.moves.apply_plan_changes(changes, plan.version, self.members()))


class Simulation:
    def __init__(self, seed: int) -> None:
        self.rng, self.now, self.sequence = Random(seed), 1000.0, 0
        self.queue: list[tuple] = []
        self.cell_by_agency = {a: self.rng.choice(sorted(CELLS)) for a in range(1, AGENCIES + 1)}
        self.plans = [make_plan(1, self.cell_by_agency)]
        self.ingresses = [Ingress(i, self.plans[0], self.now) for i in range(INGRESSES)]
        self.live_nodes = {n for nodes in CELLS.values() for n in nodes}
        self.requests: dict[tuple[int, int], tuple[int, int]] = {}  # by ingress and request: agency, class
        self.answer_counts: Counter[tuple[int, int]] = Counter()
        self.run_counts: Counter[tuple[int, int]] = Counter()       # complete runs at a node, by request
        self.in_flight: dict[tuple[int, int], tuple[str, int]] = {}     # attempt in flight: node, number
        self.attempt_counts: Counter[tuple[int, int]] = Counter()
        self.misrouted: list[tuple] = []
        self.ceilings = {a: Exact(CAPPED_PLAN.ceiling_rate, CAPPED_PLAN.ceiling_burst, CAPPED_PLAN.ceiling_slack)
                         for a in self.cell_by_agency}
        self.moved = 0
        for i in range(INGRESSES):
            self.update_roster(i)
        for a in self.cell_by_agency:
            self.schedule(self.rng.expovariate(REQUEST_RATE), self.arrive, a)
        for _ in range(MOVE_COUNT):
            self.schedule(self.rng.uniform(1.0, DURATION_S - 5.0), self.move)
        for _ in range(10):
            self.schedule(self.rng.uniform(1.0, DURATION_S - 8.0), self.fail_node)

    def run(self) -> Simulation:
        while self.queue:
            self.now, _, callback, args = heapq.heappop(self.queue)
            callback(*args)
        return self

    def schedule(self, delay: float, callback, *args) -> None:
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + delay, self.sequence, callback, args))

    def move(self) -> None:
        """Publish a plan that ingresses get late, out of order or never; also deliver outdated plans again."""
        self.cell_by_agency[self.rng.randint(1, AGENCIES)] = self.rng.choice(sorted(CELLS))
        self.plans.append(make_plan(len(self.plans) + 1, dict(self.cell_by_agency)))
        for i in range(INGRESSES):
            if self.rng.random() < 0.8:
                self.schedule(self.rng.uniform(0.0, 3.0), self.deliver_plan, i, self.plans[-1])
            if self.rng.random() < 0.2:
                self.schedule(self.rng.uniform(0.0, 3.0), self.deliver_plan, i, self.rng.choice(self.plans))

    def deliver_plan(self, i: int, plan: Plan) -> None:
        ingress = self.ingresses[i]
        version = ingress.assignment.plan.version
        if (cells := ingress.apply_plan(plan)) is not None:
            self.moved += len(cells.moved)
            self.deliver(i, cells)
        assert ingress.assignment.plan.version >= version

    def fail_node(self) -> None:
        """Fail a node with its attempts in flight; it leaves the rosters shortly after and returns later."""
        if not self.live_nodes:
            return
        node = self.rng.choice(sorted(self.live_nodes))
        self.live_nodes.discard(node)
        for key in [key for key, (attempt_node, _) in self.in_flight.items() if attempt_node == node]:
            self.end(*key, api.Status.RESET)
        for i in range(INGRESSES):
            self.schedule(self.rng.uniform(0.2, 1.0), self.update_roster, i)
            self.schedule(self.rng.uniform(4.0, 5.0), self.update_roster, i)
        self.schedule(3.0, self.live_nodes.add, node)

    def update_roster(self, i: int) -> None:
        ingress = self.ingresses[i]
        ingress.nodes = set(self.live_nodes)
        started = ingress.moves.update_members(ingress.members())
        self.deliver(i, ingress.cells_event(started))
        self.deliver(i, api.Roster(api.RosterKind.FULL, 1, [
            api.BackendEntry(n, api.BackendState.READY) for n in sorted(self.live_nodes)]))

    def arrive(self, agency: int) -> None:
        if self.now < 1000.0 + DURATION_S - 10.0:
            self.schedule(self.rng.expovariate(REQUEST_RATE), self.arrive, agency)
        i, cls = self.rng.randrange(INGRESSES), self.rng.randrange(2)
        self.sequence += 1
        self.requests[i, self.sequence] = agency, cls
        ingress = self.ingresses[i]
        cell = ingress.moves.cell_of(agency, ingress.assignment.cell_of(agency))
        self.deliver(i, api.Request(self.sequence, cls, 0, agency, (4.0, 6.0)[cls], 1.0, float(INGRESSES), 0.0,
                                 cell=cell))

    def deliver(self, i: int, event: api.Event) -> None:
        for action in self.ingresses[i].controller.handle(event, self.now):
            match action:
                case api.SetTimer():
                    self.schedule(action.delay, self.deliver, i, api.TimerDue(action.token))
                case api.Send():
                    self.send(i, action)
                case api.Refuse() | api.Fail():
                    self.answer_counts[i, action.request] += 1

    def send(self, i: int, send: api.Send) -> None:
        key, ingress = (i, send.request), self.ingresses[i]
        agency, _ = self.requests[key]
        cell = ingress.moves.cell_of(agency, ingress.assignment.cell_of(agency))
        if send.backend not in CELLS[cell] and not self.attempt_counts[key]:
            self.misrouted.append((self.now, key, send.backend, cell))
        assert key not in self.in_flight
        ingress.moves.attempt_sent(agency, send.backend)
        self.in_flight[key] = send.backend, self.attempt_counts[key]
        self.attempt_counts[key] += 1
        if send.backend not in self.live_nodes:
            return self.schedule(0.01, self.end, *key, api.Status.CONNECT_FAILED, self.attempt_counts[key])
        if not self.run_counts[key]:
            self.ceilings[agency].take(self.now, 1.0)
        self.run_counts[key] += 1
        self.schedule(self.rng.uniform(0.05, 0.5), self.end, *key, api.Status.OK, self.attempt_counts[key])

    def end(self, i: int, request: int, status: api.Status, number: int = 0) -> None:
        key = i, request
        if key not in self.in_flight or number and number != self.attempt_counts[key]:
            return      # it already ended when its node failed
        node, attempt = self.in_flight.pop(key)
        self.ingresses[i].moves.attempt_ended(self.requests[key][0], node)
        self.answer_counts[key] += status is api.Status.OK
        self.deliver(i, api.Outcome(request, attempt, node, status, 0.1, status is api.Status.OK))


@pytest.mark.parametrize("seed", range(4))
def test_fifty_random_moves_lose_no_request_and_run_no_booking_twice(seed):
    simulation = Simulation(seed).run()
    assert simulation.moved >= 50 and len(simulation.requests) > 800
    assert {key for key in simulation.requests if simulation.answer_counts[key] != 1} == set()
    bookings = [key for key, (_, cls) in simulation.requests.items() if cls == 1]
    assert len(bookings) > 300 and max(simulation.run_counts[key] for key in bookings) == 1
    assert simulation.misrouted == []
    assert max(ceiling.nearness for ceiling in simulation.ceilings.values()) <= 1.0
    for ingress in simulation.ingresses:   # no attempt or request is left, and no move is draining
        assert not ingress.moves.in_flight and not ingress.controller.requests.open
        assert all(m.state.value == "planned" for m in ingress.moves.open.values())
