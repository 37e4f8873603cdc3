"""Each concern of the module by itself: no controller round it, only the context that it stands on."""

from random import Random

import pytest
from conftest import HARD, READY, SAFE, UNSAFE, make_settings

from fennelpoint import interface as api
from fennelpoint.bookkeeping import CHECK_TOKEN, Context, Timers
from fennelpoint.queueing import WaitQueue
from fennelpoint.quotas import Quotas
from fennelpoint.regulation import Regulation
from fennelpoint.selection import Selection
from fennelpoint.state import PendingRequest


def context(**changes) -> Context:
    settings = make_settings(has_counter=False, **changes)
    return Context(settings, Random(7), 100.0, Timers(settings.tick))


def new_try(g: Context, quotas: Quotas, request: int = 1, cls: int = SAFE) -> PendingRequest:
    ask = api.Request(request, cls, HARD, 1, 4.0, 1.0, 2.0, 0.0)
    made = PendingRequest(ask, quotas.customer(ask, g.started_at), g.started_at + 1.0, g.started_at + 4.0, 1.0, None,
                          arrived_at=g.started_at)
    g.requests.open[request] = made
    return made


def test_a_quota_is_its_share_of_the_store_and_fills_by_its_share_of_the_rate():
    quotas = Quotas(g := context())
    taken = 0
    for request in range(10):
        t = new_try(g, quotas, request)
        if quotas.has_room(t, 100.0):
            quotas.charge(t, True, 100.0)
            taken += 1
    assert taken == 4       # of a burst of 8, held by two
    assert not quotas.has_room(t, 100.0)
    quotas.fill(t.customer, 100.6)      # rate 4, of which 2 are ours
    assert quotas.has_room(t, 100.6) and g.actions == []


def test_a_backend_that_clients_leave_before_it_answers_counts_as_slow_and_not_as_idle():
    selection = Selection(g := context())
    selection.update_roster(api.Roster(api.RosterKind.FULL, 1, [api.BackendEntry(n, READY) for n in "ab"]), 100.0)
    sent = new_try(g, Quotas(g))
    left, seen = selection.fleet.backends["a"], []
    for _ in range(4):
        selection.record_outcome(left, api.Outcome(1, 0, "a", api.Status.CANCELLED, 1.0, True), None, sent, 100.0)
        seen.append(selection.slowness(left, 100.0))
    assert seen == sorted(seen) and seen[-1] > 3.0 and left.fails == 0
    selection.record_outcome(left, api.Outcome(1, 0, "a", api.Status.CANCELLED, 0.001, True), None, sent, 100.0)
    assert selection.slowness(left, 100.0) == seen[-1]  # one that left at once tells nothing


@pytest.mark.parametrize("slow, chosen", [("a", "b"), ("b", "a")])
def test_a_choice_goes_by_what_answers_told_and_by_what_is_out(slow, chosen):
    quotas, selection = Quotas(g := context()), Selection(g)
    selection.update_roster(api.Roster(api.RosterKind.FULL, 1, [api.BackendEntry(n, READY) for n in "ab"]), 100.0)
    selection.penalize(selection.fleet.backends[slow], 100.0)
    t = new_try(g, quotas)
    t.limiter = selection.limiter
    assert selection.choose(t, 100.0).entry.backend == chosen
    t.ran_at = 99.0         # a read may be sent again, a write may not
    assert selection.choose(t, 100.0) is not None
    write = new_try(g, quotas, 2, UNSAFE)
    write.limiter, write.ran_at = selection.limiter, 99.0
    assert selection.choose(write, 100.0) is None


def test_regulation_cuts_who_is_over_its_quota_when_another_fails():
    quotas = Quotas(g := context())
    regulation = Regulation(g, quotas.local_rate)
    failing = quotas.customer(api.Request(1, SAFE, HARD, 1, 4.0, 1.0, 2.0, 0.0), 100.0)
    lucky = quotas.customer(api.Request(2, SAFE, HARD, 2, 4.0, 1.0, 2.0, 0.0), 100.0)
    regulation.record_sent(failing, 0.5, 0.1, 100.0)
    regulation.record_sent(lucky, 10.0, 0.1, 100.0)
    failing.ratios, lucky.ratios = [9.0], [0.5]
    regulation.run_period(100.5, False)
    assert regulation.is_overloaded and lucky.cap is not None and failing.cap is None
    for period in range(8):
        failing.ratios = [0.1]
        regulation.record_sent(failing, 0.5, 0.1, 101.0 + period)
        regulation.run_period(101.0 + period, False)
    assert not regulation.is_overloaded and lucky.cap is None     # room came back


def test_what_waits_goes_by_worth_and_ends_when_its_aim_is_out_of_reach():
    quotas, selection = Quotas(g := context()), Selection(g)
    regulation = Regulation(g, quotas.local_rate)
    placed, full = [], True

    def try_send(t: PendingRequest, now: float) -> bool:
        if full:
            return False
        g.requests.dequeue(t)
        placed.append(t.request.request)
        return True

    waiting = WaitQueue(g, quotas, selection, regulation, try_send)
    selection.limiter.window = 4.0
    for request, worth in ((1, 1.0), (2, 3.0), (3, 2.0)):
        t = new_try(g, quotas, request)
        t.worth, t.limiter = worth, selection.limiter
        waiting.enqueue(t, 100.0)
    assert CHECK_TOKEN in g.timers.due_at and set(g.requests.waiting) == {1, 2, 3}
    waiting.dispatch(100.1)
    assert set(g.requests.waiting) == {1, 2, 3}
    full = False
    g.requests.waiting[1].not_before = 200.0
    waiting.dispatch(100.2)
    assert placed == [2, 3]
    waiting.dispatch(g.requests.waiting[1].wait_until)
    assert [a.request for a in g.actions if isinstance(a, api.Refuse)] == [1] and not g.requests.waiting
