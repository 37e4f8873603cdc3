"""The controller with cells: requests leave a cell by spill only, limits are per cell, moves cost no quota."""

from conftest import HARD, READY, SAFE, UNSAFE, Harness, make_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fennelpoint import interface as api

EAST, WEST = frozenset({"a", "b"}), frozenset({"c", "d", "e", "f"})
AMPLE_PLANS = [api.Plan("hard", price=1.0, rate=1e6, burst=1e6, over_cost=1.0)]


def make_harness(spill: float = 0.0, **changes) -> Harness:
    harness = Harness(make_settings(plans=AMPLE_PLANS, **changes))
    harness.deliver(api.Cells({"east": api.Cell(EAST, "west" if spill else "", spill), "west": api.Cell(WEST)}))
    harness.backends(*sorted(EAST | WEST))
    return harness


def send_request(harness: Harness, cell: str, customer: int = 1, cls: int = SAFE) -> list:
    harness.ids += 1
    return harness.deliver(api.Request(harness.ids, cls, HARD, customer, 4.0, 1.0, 2.0, 0.0, cell=cell))


def sent_backends(actions: list) -> list[str]:
    return [a.backend for a in actions if isinstance(a, api.Send)]


def fail_all(harness: Harness, members: frozenset) -> None:
    """Put every node of a cell into backoff after failed attempts."""
    for name in members:
        b = harness.control.fleet.backends[name]
        b.fails, b.rest_until = 3, harness.now + 30.0


def test_a_request_is_sent_only_within_its_cell():
    harness = make_harness()
    for _ in range(6):
        assert set(sent_backends(send_request(harness, "east"))) <= EAST
        assert set(sent_backends(send_request(harness, "west"))) <= WEST


def test_an_overloaded_cell_reduces_only_its_own_limit():
    harness = make_harness()
    east, west = harness.control.selection.cells["east"], harness.control.selection.cells["west"]
    before = west.window
    for _ in range(60):
        for name in sent_backends(send_request(harness, "east")):
            harness.answer(harness.ids, name, latency=3.0)
        for name in sent_backends(send_request(harness, "west")):
            harness.answer(harness.ids, name, latency=0.05)
        harness.advance(0.5)
    assert east.window < 0.5 * before and west.window >= before
    assert sent_backends(send_request(harness, "west"))


def test_a_flood_of_one_cell_leaves_the_limit_of_others_free():
    harness = make_harness()
    for _ in range(200):
        send_request(harness, "east")
    assert harness.control.selection.cells["east"].in_flight == round(harness.control.selection.cells["east"].window)
    assert sent_backends(send_request(harness, "west"))


def test_requests_of_an_unavailable_cell_without_spill_are_refused_with_retry_after():
    harness = make_harness()
    fail_all(harness, EAST)
    (refuse,) = send_request(harness, "east")
    assert isinstance(refuse, api.Refuse) and refuse.retry_after > 0.0
    assert sent_backends(send_request(harness, "west"))


def test_requests_of_a_cell_without_nodes_are_refused_at_once():
    harness = make_harness()
    harness.backends(*sorted(WEST))
    assert [type(a) for a in send_request(harness, "east")] == [api.Refuse]


def test_spill_is_bounded_and_leaves_headroom_for_the_target():
    harness = make_harness(spill=0.25)
    fail_all(harness, EAST)
    west = harness.control.selection.cells["west"]
    spilled = sum(bool(sent_backends(send_request(harness, "east"))) for _ in range(50))
    assert spilled == west.spilled_in == max(1, int(0.25 * west.window))
    own = sum(bool(sent_backends(send_request(harness, "west"))) for _ in range(200))
    assert own + spilled >= int(west.window)      # the rest of the limit is left to the target's own requests
    assert not sent_backends(send_request(harness, "east"))


def test_a_full_target_takes_no_spill():
    harness = make_harness(spill=1.0)
    fail_all(harness, EAST)
    while sent_backends(send_request(harness, "west")):
        pass
    assert [type(a) for a in send_request(harness, "east")] == [api.Refuse]


def test_spilled_requests_do_not_spill_again():
    harness = Harness(make_settings(plans=AMPLE_PLANS))
    harness.deliver(api.Cells({"east": api.Cell(EAST, "west", 0.5), "west": api.Cell(WEST, "north", 0.5),
                          "north": api.Cell(frozenset({"g", "h"}))}))
    harness.backends(*"abcdefgh")
    fail_all(harness, EAST | WEST)
    assert [type(a) for a in send_request(harness, "east")] == [api.Refuse]
    assert set(sent_backends(send_request(harness, "west"))) <= {"g", "h"}


def test_a_recovered_cell_serves_its_requests_again():
    harness = make_harness(spill=0.5)
    fail_all(harness, EAST)
    assert set(sent_backends(send_request(harness, "east"))) <= WEST
    harness.advance(31.0)
    for name in EAST:
        harness.control.fleet.backends[name].fails = 0
    assert set(sent_backends(send_request(harness, "east"))) <= EAST


def test_a_move_keeps_quota_and_debt_and_charges_nothing_twice():
    harness = Harness(make_settings())
    harness.deliver(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}))
    harness.backends(*sorted(EAST | WEST))
    assert sent_backends(send_request(harness, "east", customer=9))
    level = harness.control.customers[9].level
    harness.deliver(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}, {9: "west"}))
    assert harness.control.customers[9].level == level
    accepted = 0
    for _ in range(20):
        accepted += bool(sent_backends(send_request(harness, "west", customer=9)))
    assert accepted <= level + 1.0      # no fresh bucket


def test_a_queued_request_moves_with_its_agency_and_one_that_may_have_run_stays():
    harness = make_harness()
    harness.control.selection.cells["east"].window = harness.control.selection.cells["east"].in_flight = 1
    send_request(harness, "east", customer=9)      # queued: the cell is full
    queued = harness.ids
    assert queued in harness.control.requests.waiting
    moved = harness.deliver(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}, {9: "west"}))
    (send,) = [a for a in moved if isinstance(a, api.Send)]
    assert send.request == queued and send.backend in WEST
    retries = harness.answer(queued, send.backend, api.Status.RESET)
    harness.deliver(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}, {9: "east"}))
    assert set(sent_backends(retries + harness.advance(0.5))) <= WEST


class CellMachine(RuleBasedStateMachine):
    """Rosters, moves, failures and answers in any order: requests leave their cell only by bounded spill."""

    SHARE = 0.25

    def __init__(self) -> None:
        super().__init__()
        self.harness = make_harness(spill=self.SHARE)
        self.home_cells: dict[int, str] = {}
        self.in_flight: dict[int, tuple[str, str]] = {}      # by request: its backend and its cell

    def check_actions(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                pending = self.harness.control.requests.open[action.request]
                cell = "east" if action.backend in EAST else "west"
                assert cell == pending.request.cell or (
                    pending.is_spilling and (pending.request.cell, cell) == ("east", "west"))
                self.in_flight[action.request] = (action.backend, pending.request.cell)

    @rule(customer=st.integers(0, 3), cls=st.sampled_from([SAFE, UNSAFE]))
    def request(self, customer: int, cls: int) -> None:
        self.check_actions(send_request(
            self.harness, self.home_cells.get(customer, "east" if customer < 2 else "west"), customer, cls))

    @rule(customer=st.integers(0, 3), cell=st.sampled_from(["east", "west"]))
    def move(self, customer: int, cell: str) -> None:
        self.home_cells[customer] = cell
        self.check_actions(self.harness.deliver(api.Cells({"east": api.Cell(EAST, "west", self.SHARE),
                                             "west": api.Cell(WEST)}, {customer: cell})))

    @rule(data=st.data(), status=st.sampled_from([api.Status.OK, api.Status.RESET, api.Status.FULL]))
    def answer(self, data, status: api.Status) -> None:
        if self.in_flight:
            request = data.draw(st.sampled_from(sorted(self.in_flight)))
            backend, _ = self.in_flight.pop(request)
            pending = self.harness.control.requests.open.get(request)
            self.check_actions(self.harness.answer(
                request, backend, status, attempt=pending.attempts - 1 if pending else 0))

    @rule(names=st.sets(st.sampled_from(sorted(EAST | WEST))))
    def roster(self, names: set[str]) -> None:
        self.check_actions(self.harness.roster(*(api.BackendEntry(name, READY) for name in sorted(names))))

    @rule(seconds=st.floats(0.0, 3.0))
    def advance(self, seconds: float) -> None:
        self.check_actions(self.harness.advance(seconds))

    @invariant()
    def spill_is_bounded_and_in_flight_counts_agree(self) -> None:
        cells = self.harness.control.selection.cells
        assert cells["east"].spilled_in == 0 and cells["west"].spilled_in >= 0
        assert (sum(cell.in_flight for cell in cells.values())
                == self.harness.control.fleet.in_flight == len(self.in_flight))


TestCellMachine = CellMachine.TestCase


def test_a_request_probed_in_its_old_cell_is_not_sent_there_after_a_move():
    """Guards against use of backends probed in the old cell, which were preferred in any cell."""
    harness = make_harness(
        ingresses=40, may_probe=True, probe_price=0.001, report_via="probe", report_fields=["util"])
    probes = [a.backend for a in send_request(harness, "east", customer=9) if isinstance(a, api.Probe)]
    assert set(probes) <= EAST and len(probes) == 2
    actions = harness.deliver(api.Cells({"east": api.Cell(EAST), "west": api.Cell(WEST)}, {9: "west"}))
    for name in probes:
        actions += harness.deliver(api.ProbeResult(name, api.Status.OK, 0.001, [0.1]))
    for _ in range(10):
        actions += harness.advance(0.05)
        for name in [a.backend for a in actions if isinstance(a, api.Probe) and a.backend in WEST]:
            actions += harness.deliver(api.ProbeResult(name, api.Status.OK, 0.001, [0.1]))
        if sent_backends(actions):
            break
    assert sent_backends(actions) and set(sent_backends(actions)) <= WEST
