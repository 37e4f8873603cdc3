"""The decision module inside cells: outside by spill only, windows of their own, moves free of charge."""

from conftest import HARD, READY, SAFE, UNSAFE, World, make_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fennelpoint import interface as api

EAST, WEST = frozenset({"a", "b"}), frozenset({"c", "d", "e", "f"})
PLENTY = [api.Plan("hard", price=1.0, rate=1e6, burst=1e6, over_cost=1.0)]


def made(spill: float = 0.0, **changes) -> World:
    world = World(make_settings(plans=PLENTY, **changes))
    world.give(api.Cells({"east": api.Cell(EAST, "west" if spill else "", spill), "west": api.Cell(WEST)}))
    world.backends(*sorted(EAST | WEST))
    return world


def ask(world: World, cell: str, customer: int = 1, cls: int = SAFE) -> list:
    world.ids += 1
    return world.give(api.Request(world.ids, cls, HARD, customer, 4.0, 1.0, 2.0, 0.0, cell=cell))


def sent(actions: list) -> list[str]:
    return [a.backend for a in actions if isinstance(a, api.Send)]


def lose(world: World, members: frozenset) -> None:
    """Every node of a cell fails the next attempts."""
    for name in members:
        b = world.control.fleet.backends[name]
        b.fails, b.rest_until = 3, world.now + 30.0


def test_a_try_goes_to_its_own_cell_only():
    world = made()
    for _ in range(6):
        assert set(sent(ask(world, "east"))) <= EAST
        assert set(sent(ask(world, "west"))) <= WEST


def test_a_cell_that_is_crowded_cuts_its_own_window():
    world = made()
    east, west = world.control.selection.cells["east"], world.control.selection.cells["west"]
    before = west.window
    for _ in range(60):
        for name in sent(ask(world, "east")):
            world.answer(world.ids, name, latency=3.0)
        for name in sent(ask(world, "west")):
            world.answer(world.ids, name, latency=0.05)
        world.wait(0.5)
    assert east.window < 0.5 * before and west.window >= before
    assert sent(ask(world, "west"))


def test_a_flood_of_one_cell_leaves_the_others_window_free():
    world = made()
    for _ in range(200):
        ask(world, "east")
    assert world.control.selection.cells["east"].in_flight == round(world.control.selection.cells["east"].window)
    assert sent(ask(world, "west"))


def test_a_lost_cell_without_spill_is_refused_at_once_with_a_time():
    world = made()
    lose(world, EAST)
    (refuse,) = ask(world, "east")
    assert isinstance(refuse, api.Refuse) and refuse.retry_after > 0.0
    assert sent(ask(world, "west"))


def test_a_cell_without_a_node_is_refused_at_once():
    world = made()
    world.backends(*sorted(WEST))
    assert [type(a) for a in ask(world, "east")] == [api.Refuse]


def test_spill_is_bounded_and_comes_after_the_targets_own():
    world = made(spill=0.25)
    lose(world, EAST)
    west = world.control.selection.cells["west"]
    spilt = sum(bool(sent(ask(world, "east"))) for _ in range(50))
    assert spilt == west.spilled_in == max(1, int(0.25 * west.window))
    own = sum(bool(sent(ask(world, "west"))) for _ in range(200))
    assert own + spilt >= int(west.window)      # the rest is the target's own
    assert not sent(ask(world, "east"))


def test_a_target_that_is_full_takes_no_spill():
    world = made(spill=1.0)
    lose(world, EAST)
    while sent(ask(world, "west")):
        pass
    assert [type(a) for a in ask(world, "east")] == [api.Refuse]


def test_what_spills_never_spills_on():
    world = World(make_settings(plans=PLENTY))
    world.give(api.Cells({"east": api.Cell(EAST, "west", 0.5), "west": api.Cell(WEST, "north", 0.5),
                          "north": api.Cell(frozenset({"g", "h"}))}))
    world.backends(*"abcdefgh")
    lose(world, EAST | WEST)
    assert [type(a) for a in ask(world, "east")] == [api.Refuse]
    assert set(sent(ask(world, "west"))) <= {"g", "h"}


def test_a_cell_that_is_back_is_gone_to_again():
    world = made(spill=0.5)
    lose(world, EAST)
    assert set(sent(ask(world, "east"))) <= WEST
    world.wait(31.0)
    for name in EAST:
        world.control.fleet.backends[name].fails = 0
    assert set(sent(ask(world, "east"))) <= EAST


def test_a_move_takes_quota_and_debt_along_and_charges_nothing_twice():
    world = World(make_settings())
    world.give(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}))
    world.backends(*sorted(EAST | WEST))
    assert sent(ask(world, "east", customer=9))
    level = world.control.customers[9].level
    world.give(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}, {9: "west"}))
    assert world.control.customers[9].level == level
    took = 0
    for _ in range(20):
        took += bool(sent(ask(world, "west", customer=9)))
    assert took <= level + 1.0      # no fresh bucket


def test_a_waiting_try_goes_with_its_agency_and_one_that_may_have_run_stays():
    world = made()
    world.control.selection.cells["east"].window = world.control.selection.cells["east"].in_flight = 1
    ask(world, "east", customer=9)      # waits: the cell is full
    waiting = world.ids
    assert waiting in world.control.requests.waiting
    moved = world.give(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}, {9: "west"}))
    (send,) = [a for a in moved if isinstance(a, api.Send)]
    assert send.request == waiting and send.backend in WEST
    again = world.answer(waiting, send.backend, api.Status.RESET)
    world.give(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}, {9: "east"}))
    assert set(sent(again + world.wait(0.5))) <= WEST


class Cells(RuleBasedStateMachine):
    """Rosters, moves, deaths and answers in any order: nothing leaves its cell but by bounded spill."""

    SHARE = 0.25

    def __init__(self) -> None:
        super().__init__()
        self.world = made(spill=self.SHARE)
        self.home: dict[int, str] = {}
        self.open: dict[int, tuple[str, str]] = {}      # request: where it is, its cell

    def note(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                t = self.world.control.requests.open[action.request]
                where = "east" if action.backend in EAST else "west"
                assert where == t.request.cell or (t.is_spilling and (t.request.cell, where) == ("east", "west"))
                self.open[action.request] = (action.backend, t.request.cell)

    @rule(customer=st.integers(0, 3), cls=st.sampled_from([SAFE, UNSAFE]))
    def ask(self, customer: int, cls: int) -> None:
        self.note(ask(self.world, self.home.get(customer, "east" if customer < 2 else "west"), customer, cls))

    @rule(customer=st.integers(0, 3), cell=st.sampled_from(["east", "west"]))
    def move(self, customer: int, cell: str) -> None:
        self.home[customer] = cell
        self.note(self.world.give(api.Cells({"east": api.Cell(EAST, "west", self.SHARE),
                                             "west": api.Cell(WEST)}, {customer: cell})))

    @rule(data=st.data(), status=st.sampled_from([api.Status.OK, api.Status.RESET, api.Status.FULL]))
    def answer(self, data, status: api.Status) -> None:
        if self.open:
            request = data.draw(st.sampled_from(sorted(self.open)))
            backend, _ = self.open.pop(request)
            t = self.world.control.requests.open.get(request)
            self.note(self.world.answer(request, backend, status, attempt=t.attempts - 1 if t else 0))

    @rule(names=st.sets(st.sampled_from(sorted(EAST | WEST))))
    def roster(self, names: set[str]) -> None:
        self.note(self.world.roster(*(api.BackendEntry(name, READY) for name in sorted(names))))

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds: float) -> None:
        self.note(self.world.wait(seconds))

    @invariant()
    def spill_within_its_bound_and_sums_right(self) -> None:
        cells = self.world.control.selection.cells
        assert cells["east"].spilled_in == 0 and cells["west"].spilled_in >= 0
        assert sum(cell.in_flight for cell in cells.values()) == self.world.control.fleet.in_flight == len(self.open)


TestCells = Cells.TestCase


def test_a_try_that_was_probed_for_in_its_old_cell_is_not_sent_there_once_moved():
    """Its picks of that cell went first, whatever the cell."""
    world = made(ingresses=40, may_probe=True, probe_price=0.001, report_via="probe", report_fields=["util"])
    probes = [a.backend for a in ask(world, "east", customer=9) if isinstance(a, api.Probe)]
    assert set(probes) <= EAST and len(probes) == 2
    actions = world.give(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}, {9: "west"}))
    for name in probes:
        actions += world.give(api.ProbeResult(name, api.Status.OK, 0.001, [0.1]))
    for _ in range(10):
        actions += world.wait(0.05)
        for name in [a.backend for a in actions if isinstance(a, api.Probe) and a.backend in WEST]:
            actions += world.give(api.ProbeResult(name, api.Status.OK, 0.001, [0.1]))
        if sent(actions):
            break
    assert sent(actions) and set(sent(actions)) <= WEST
