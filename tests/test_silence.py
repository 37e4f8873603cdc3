"""Outages of the shared counter: the estimated bucket levels after one, and the backoff of calls to it."""

import pytest
from conftest import HARD, SOFT, Harness, many_backends

from fennelpoint import interface as api


def use_quota(harness: Harness, seconds: int, status: api.Status = api.Status.OK, totals: dict | None = None,
        others: float = 0.0, **ask) -> None:
    """Use one unit a second here and `others` at the other ingress; the counter is called each second."""
    for _ in range(seconds):
        sent = harness.request(**ask)
        for action in sent:
            if isinstance(action, api.Send):
                harness.answer(action.request, action.backend)
        harness.advance(1.0)
        harness.count_replies(status=status, totals=totals, others=others)


@pytest.fixture
def after_outage() -> tuple[Harness, dict]:
    """Three of four units a second are used, two of them at the other ingress, during a counter outage of 10 s."""
    harness, totals = many_backends(), {}
    use_quota(harness, 6, totals=totals, others=2.0)
    use_quota(harness, 10, status=api.Status.FULL)
    harness.advance(8.0)     # longer than any backoff after a failed call
    return harness, totals


def test_usage_during_an_outage_is_taken_from_the_refill_of_that_time(after_outage):
    harness, totals = after_outage
    use_quota(harness, 1, totals=totals, others=0.0)    # the call reports the usage of this ingress first
    assert harness.control.customers[1].store > 6.0


def test_outage_is_recognized_for_a_customer_that_sent_no_request_during_it():
    harness, totals = many_backends(), {}
    for customer in (1, 2):
        use_quota(harness, 6, totals=totals, others=2.0, customer=customer)
    use_quota(harness, 10, status=api.Status.FULL, customer=2)
    use_quota(harness, 1, totals=totals, others=0.0, customer=2)
    use_quota(harness, 1, totals=totals, others=20.0, customer=1)   # its usage at the other ingress
    assert harness.control.customers[1].store > 6.0


def count_rejected_calls(harness: Harness, rounds: int) -> int:
    """Send a request of customer 1 each half second, reject every counter call, and return the number of calls."""
    calls = 0
    for _ in range(rounds):
        harness.request(customer=1)
        harness.advance(0.5)
        calls += len(harness.counts)
        harness.count_replies(status=api.Status.FULL)
    return calls


def answer_other_customers(harness: Harness, first: int, count: int) -> None:
    """Answer the counter calls of `count` new customers, all within little more than a second."""
    for _ in range(2):
        for customer in range(first, first + count):
            harness.request(customer=customer)
        harness.advance(1.1)
    harness.count_replies(totals={})


def test_backoff_after_failed_calls_ends_once_other_customers_are_answered():
    harness = many_backends()
    count_rejected_calls(harness, 40)
    customer = harness.control.customers[1]
    customer.count_at = harness.now + 8.0     # the longest backoff
    answer_other_customers(harness, 10, 2)
    harness.request(customer=1)
    assert harness.counts == []               # two answers are not enough evidence
    answer_other_customers(harness, 20, 1)
    harness.request(customer=1)
    assert [call.name for call in harness.counts] == [1]


def test_calls_to_a_failed_part_of_the_counter_stay_below_the_answered_ones():
    """Calls for keys of the failed part are rejected while the others are answered."""
    harness, answered, turned_away = many_backends(), 0, 0
    for _ in range(60):
        for customer in range(1, 17):
            harness.request(customer=customer)
        harness.advance(0.25)
        calls, harness.counts = harness.counts, []
        for call in calls:
            down = call.name % 2 == 1
            answered, turned_away = answered + (not down), turned_away + down
            harness.deliver(api.CounterReply(call.name, api.Status.FULL if down else api.Status.OK, 1.0, 0.001))
    assert answered >= 150 and turned_away <= 0.75 * answered    # without the limit, more than are answered


def test_backoff_lasts_while_no_call_is_answered():
    assert count_rejected_calls(many_backends(), 40) <= 10


@pytest.mark.parametrize(("plan", "lowest", "highest"), [(HARD, 1.9, 2.1), (SOFT, 5.9, 8.0)])
def test_reported_usage_is_deducted_by_the_cost_of_a_wrong_estimate(plan, lowest, highest):
    """Six units reported after 2 s with a refill of eight: used after the bucket was full, or while it filled."""
    harness, totals = many_backends(), {}
    use_quota(harness, 2, totals=totals, plan=plan)
    harness.advance(3.0)
    harness.control.customers[1].store = 8.0
    harness.control.customers[1].total_at = harness.now - 2.0
    harness.request(plan=plan)
    harness.count_replies(totals=totals, others=5.0)
    assert lowest <= harness.control.customers[1].store <= highest
