"""The decision module inside cells: outside by spill only, windows of their own, moves free of charge."""

from conftest import HARD, READY, SAFE, UNSAFE, Harness, make_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fennelpoint import interface as api

EAST, WEST = frozenset({"a", "b"}), frozenset({"c", "d", "e", "f"})
PLENTY = [api.Plan("hard", price=1.0, rate=1e6, burst=1e6, over_cost=1.0)]


def made(spill: float = 0.0, **changes) -> Harness:
    harness = Harness(make_settings(plans=PLENTY, **changes))
    harness.deliver(api.Cells({"east": api.Cell(EAST, "west" if spill else "", spill), "west": api.Cell(WEST)}))
    harness.backends(*sorted(EAST | WEST))
    return harness


def ask(harness: Harness, cell: str, customer: int = 1, cls: int = SAFE) -> list:
    harness.ids += 1
    return harness.deliver(api.Request(harness.ids, cls, HARD, customer, 4.0, 1.0, 2.0, 0.0, cell=cell))


def sent(actions: list) -> list[str]:
    return [a.backend for a in actions if isinstance(a, api.Send)]


def lose(harness: Harness, members: frozenset) -> None:
    """Every node of a cell fails the next attempts."""
    for name in members:
        b = harness.control.fleet.backends[name]
        b.fails, b.rest_until = 3, harness.now + 30.0


def test_a_try_goes_to_its_own_cell_only():
    harness = made()
    for _ in range(6):
        assert set(sent(ask(harness, "east"))) <= EAST
        assert set(sent(ask(harness, "west"))) <= WEST


def test_a_cell_that_is_crowded_cuts_its_own_window():
    harness = made()
    east, west = harness.control.selection.cells["east"], harness.control.selection.cells["west"]
    before = west.window
    for _ in range(60):
        for name in sent(ask(harness, "east")):
            harness.answer(harness.ids, name, latency=3.0)
        for name in sent(ask(harness, "west")):
            harness.answer(harness.ids, name, latency=0.05)
        harness.advance(0.5)
    assert east.window < 0.5 * before and west.window >= before
    assert sent(ask(harness, "west"))


def test_a_flood_of_one_cell_leaves_the_others_window_free():
    harness = made()
    for _ in range(200):
        ask(harness, "east")
    assert harness.control.selection.cells["east"].in_flight == round(harness.control.selection.cells["east"].window)
    assert sent(ask(harness, "west"))


def test_a_lost_cell_without_spill_is_refused_at_once_with_a_time():
    harness = made()
    lose(harness, EAST)
    (refuse,) = ask(harness, "east")
    assert isinstance(refuse, api.Refuse) and refuse.retry_after > 0.0
    assert sent(ask(harness, "west"))


def test_a_cell_without_a_node_is_refused_at_once():
    harness = made()
    harness.backends(*sorted(WEST))
    assert [type(a) for a in ask(harness, "east")] == [api.Refuse]


def test_spill_is_bounded_and_comes_after_the_targets_own():
    harness = made(spill=0.25)
    lose(harness, EAST)
    west = harness.control.selection.cells["west"]
    spilt = sum(bool(sent(ask(harness, "east"))) for _ in range(50))
    assert spilt == west.spilled_in == max(1, int(0.25 * west.window))
    own = sum(bool(sent(ask(harness, "west"))) for _ in range(200))
    assert own + spilt >= int(west.window)      # the rest is the target's own
    assert not sent(ask(harness, "east"))


def test_a_target_that_is_full_takes_no_spill():
    harness = made(spill=1.0)
    lose(harness, EAST)
    while sent(ask(harness, "west")):
        pass
    assert [type(a) for a in ask(harness, "east")] == [api.Refuse]


def test_what_spills_never_spills_on():
    harness = Harness(make_settings(plans=PLENTY))
    harness.deliver(api.Cells({"east": api.Cell(EAST, "west", 0.5), "west": api.Cell(WEST, "north", 0.5),
                          "north": api.Cell(frozenset({"g", "h"}))}))
    harness.backends(*"abcdefgh")
    lose(harness, EAST | WEST)
    assert [type(a) for a in ask(harness, "east")] == [api.Refuse]
    assert set(sent(ask(harness, "west"))) <= {"g", "h"}


def test_a_cell_that_is_back_is_gone_to_again():
    harness = made(spill=0.5)
    lose(harness, EAST)
    assert set(sent(ask(harness, "east"))) <= WEST
    harness.advance(31.0)
    for name in EAST:
        harness.control.fleet.backends[name].fails = 0
    assert set(sent(ask(harness, "east"))) <= EAST


def test_a_move_takes_quota_and_debt_along_and_charges_nothing_twice():
    harness = Harness(make_settings())
    harness.deliver(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}))
    harness.backends(*sorted(EAST | WEST))
    assert sent(ask(harness, "east", customer=9))
    level = harness.control.customers[9].level
    harness.deliver(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}, {9: "west"}))
    assert harness.control.customers[9].level == level
    took = 0
    for _ in range(20):
        took += bool(sent(ask(harness, "west", customer=9)))
    assert took <= level + 1.0      # no fresh bucket


def test_a_waiting_try_goes_with_its_agency_and_one_that_may_have_run_stays():
    harness = made()
    harness.control.selection.cells["east"].window = harness.control.selection.cells["east"].in_flight = 1
    ask(harness, "east", customer=9)      # waits: the cell is full
    waiting = harness.ids
    assert waiting in harness.control.requests.waiting
    moved = harness.deliver(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}, {9: "west"}))
    (send,) = [a for a in moved if isinstance(a, api.Send)]
    assert send.request == waiting and send.backend in WEST
    again = harness.answer(waiting, send.backend, api.Status.RESET)
    harness.deliver(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}, {9: "east"}))
    assert set(sent(again + harness.advance(0.5))) <= WEST


class Cells(RuleBasedStateMachine):
    """Rosters, moves, deaths and answers in any order: nothing leaves its cell but by bounded spill."""

    SHARE = 0.25

    def __init__(self) -> None:
        super().__init__()
        self.harness = made(spill=self.SHARE)
        self.home: dict[int, str] = {}
        self.open: dict[int, tuple[str, str]] = {}      # request: where it is, its cell

    def note(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                t = self.harness.control.requests.open[action.request]
                where = "east" if action.backend in EAST else "west"
                assert where == t.request.cell or (t.is_spilling and (t.request.cell, where) == ("east", "west"))
                self.open[action.request] = (action.backend, t.request.cell)

    @rule(customer=st.integers(0, 3), cls=st.sampled_from([SAFE, UNSAFE]))
    def ask(self, customer: int, cls: int) -> None:
        self.note(ask(self.harness, self.home.get(customer, "east" if customer < 2 else "west"), customer, cls))

    @rule(customer=st.integers(0, 3), cell=st.sampled_from(["east", "west"]))
    def move(self, customer: int, cell: str) -> None:
        self.home[customer] = cell
        self.note(self.harness.deliver(api.Cells({"east": api.Cell(EAST, "west", self.SHARE),
                                             "west": api.Cell(WEST)}, {customer: cell})))

    @rule(data=st.data(), status=st.sampled_from([api.Status.OK, api.Status.RESET, api.Status.FULL]))
    def answer(self, data, status: api.Status) -> None:
        if self.open:
            request = data.draw(st.sampled_from(sorted(self.open)))
            backend, _ = self.open.pop(request)
            t = self.harness.control.requests.open.get(request)
            self.note(self.harness.answer(request, backend, status, attempt=t.attempts - 1 if t else 0))

    @rule(names=st.sets(st.sampled_from(sorted(EAST | WEST))))
    def roster(self, names: set[str]) -> None:
        self.note(self.harness.roster(*(api.BackendEntry(name, READY) for name in sorted(names))))

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds: float) -> None:
        self.note(self.harness.advance(seconds))

    @invariant()
    def spill_within_its_bound_and_sums_right(self) -> None:
        cells = self.harness.control.selection.cells
        assert cells["east"].spilled_in == 0 and cells["west"].spilled_in >= 0
        assert (sum(cell.in_flight for cell in cells.values())
                == self.harness.control.fleet.in_flight == len(self.open))


TestCells = Cells.TestCase


def test_a_try_that_was_probed_for_in_its_old_cell_is_not_sent_there_once_moved():
    """Its picks of that cell went first, whatever the cell."""
    harness = made(ingresses=40, may_probe=True, probe_price=0.001, report_via="probe", report_fields=["util"])
    probes = [a.backend for a in ask(harness, "east", customer=9) if isinstance(a, api.Probe)]
    assert set(probes) <= EAST and len(probes) == 2
    actions = harness.deliver(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}, {9: "west"}))
    for name in probes:
        actions += harness.deliver(api.ProbeResult(name, api.Status.OK, 0.001, [0.1]))
    for _ in range(10):
        actions += harness.advance(0.05)
        for name in [a.backend for a in actions if isinstance(a, api.Probe) and a.backend in WEST]:
            actions += harness.deliver(api.ProbeResult(name, api.Status.OK, 0.001, [0.1]))
        if sent(actions):
            break
    assert sent(actions) and set(sent(actions)) <= WEST
