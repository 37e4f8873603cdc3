"""Each component of the decision module by itself: with its context, without a controller."""

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


def make_context(**changes) -> Context:
    settings = make_settings(has_counter=False, **changes)
    return Context(settings, Random(7), 100.0, Timers(settings.tick))


def new_pending(context: Context, quotas: Quotas, request: int = 1, cls: int = SAFE) -> PendingRequest:
    posted = api.Request(request, cls, HARD, 1, 4.0, 1.0, 2.0, 0.0)
    pending = PendingRequest(posted, quotas.customer(posted, context.started_at), context.started_at + 1.0,
                             context.started_at + 4.0, 1.0, None, arrived_at=context.started_at)
    context.requests.open[request] = pending
    return pending


def test_a_local_quota_is_a_share_of_the_burst_and_refills_at_a_share_of_the_rate():
    quotas = Quotas(context := make_context())
    charged = 0
    for request in range(10):
        pending = new_pending(context, quotas, request)
        if quotas.has_room(pending, 100.0):
            quotas.charge(pending, True, 100.0)
            charged += 1
    assert charged == 4     # of a burst of 8, shared by two ingresses
    assert not quotas.has_room(pending, 100.0)
    quotas.fill(pending.customer, 100.6)      # rate 4, of which 2 are this ingress's
    assert quotas.has_room(pending, 100.6) and context.actions == []


def test_a_backend_whose_clients_leave_before_it_answers_counts_as_slow_and_not_as_idle():
    selection = Selection(context := make_context())
    selection.update_roster(api.Roster(api.RosterKind.FULL, 1, [api.BackendEntry(n, READY) for n in "ab"]), 100.0)
    pending = new_pending(context, Quotas(context))
    backend, slowness = selection.fleet.backends["a"], []
    for _ in range(4):
        selection.record_outcome(backend, api.Outcome(1, 0, "a", api.Status.CANCELLED, 1.0, True), None, pending,
                                 100.0)
        slowness.append(selection.slowness(backend, 100.0))
    assert slowness == sorted(slowness) and slowness[-1] > 3.0 and backend.fails == 0
    selection.record_outcome(backend, api.Outcome(1, 0, "a", api.Status.CANCELLED, 0.001, True), None, pending, 100.0)
    assert selection.slowness(backend, 100.0) == slowness[-1]  # a client that left at once says nothing of it


@pytest.mark.parametrize("slow, chosen", [("a", "b"), ("b", "a")])
def test_a_choice_depends_on_failures_and_on_attempts_that_may_have_run(slow, chosen):
    quotas, selection = Quotas(context := make_context()), Selection(context)
    selection.update_roster(api.Roster(api.RosterKind.FULL, 1, [api.BackendEntry(n, READY) for n in "ab"]), 100.0)
    selection.penalize(selection.fleet.backends[slow], 100.0)
    pending = new_pending(context, quotas)
    pending.limiter = selection.limiter
    assert selection.choose(pending, 100.0).entry.backend == chosen
    pending.ran_at = 99.0   # a read may be retried, a write may not
    assert selection.choose(pending, 100.0) is not None
    write = new_pending(context, quotas, 2, UNSAFE)
    write.limiter, write.ran_at = selection.limiter, 99.0
    assert selection.choose(write, 100.0) is None


def test_regulation_caps_a_customer_above_its_quota_when_another_fails():
    quotas = Quotas(context := make_context())
    regulation = Regulation(context, quotas.local_rate)
    failing = quotas.customer(api.Request(1, SAFE, HARD, 1, 4.0, 1.0, 2.0, 0.0), 100.0)
    above_quota = quotas.customer(api.Request(2, SAFE, HARD, 2, 4.0, 1.0, 2.0, 0.0), 100.0)
    regulation.record_sent(failing, 0.5, 0.1, 100.0)
    regulation.record_sent(above_quota, 10.0, 0.1, 100.0)
    failing.ratios, above_quota.ratios = [9.0], [0.5]
    regulation.run_period(100.5, False)
    assert regulation.is_overloaded and above_quota.cap is not None and failing.cap is None
    for period in range(8):
        failing.ratios = [0.1]
        regulation.record_sent(failing, 0.5, 0.1, 101.0 + period)
        regulation.run_period(101.0 + period, False)
    assert not regulation.is_overloaded and above_quota.cap is None     # there is spare capacity again


def test_waiting_requests_are_sent_by_worth_and_refused_when_their_target_is_out_of_reach():
    quotas, selection = Quotas(context := make_context()), Selection(context)
    regulation = Regulation(context, quotas.local_rate)
    sent, is_full = [], True

    def try_send(pending: PendingRequest, now: float) -> bool:
        if is_full:
            return False
        context.requests.dequeue(pending)
        sent.append(pending.request.request)
        return True

    waiting = WaitQueue(context, quotas, selection, regulation, try_send)
    selection.limiter.window = 4.0
    for request, worth in ((1, 1.0), (2, 3.0), (3, 2.0)):
        pending = new_pending(context, quotas, request)
        pending.worth, pending.limiter = worth, selection.limiter
        waiting.enqueue(pending, 100.0)
    assert CHECK_TOKEN in context.timers.due_at and set(context.requests.waiting) == {1, 2, 3}
    waiting.dispatch(100.1)
    assert set(context.requests.waiting) == {1, 2, 3}
    is_full = False
    context.requests.waiting[1].not_before = 200.0
    waiting.dispatch(100.2)
    assert sent == [2, 3]
    waiting.dispatch(context.requests.waiting[1].wait_until)
    assert [a.request for a in context.actions if isinstance(a, api.Refuse)] == [1] and not context.requests.waiting
