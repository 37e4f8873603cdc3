"""The counter goes silent and comes back: what the stores are held to have, and when it is asked again."""

import pytest
from conftest import HARD, SOFT, Harness, many_backends

from fennelpoint import interface as api


def use(harness: Harness, seconds: int, status: api.Status = api.Status.OK, totals: dict | None = None,
        others: float = 0.0, **ask) -> None:
    """One unit a second here, and `others` by the other ingress, with a chance to tell it each second."""
    for _ in range(seconds):
        sent = harness.request(**ask)
        for action in sent:
            if isinstance(action, api.Send):
                harness.answer(action.request, action.backend)
        harness.advance(1.0)
        harness.count_replies(status=status, totals=totals, others=others)


@pytest.fixture
def after_silence() -> tuple[Harness, dict]:
    """Three of four units a second are used, two of them elsewhere, through a silence of 10 s."""
    harness, totals = many_backends(), {}
    use(harness, 6, totals=totals, others=2.0)
    use(harness, 10, status=api.Status.FULL)
    harness.advance(8.0)     # longer than any pause after a lost call
    return harness, totals


def test_use_in_a_silence_takes_from_what_came_in_meanwhile(after_silence):
    harness, totals = after_silence
    use(harness, 1, totals=totals, others=0.0)    # our own use is told first
    assert harness.control.customers[1].store > 6.0


def test_a_customer_that_did_not_ask_in_the_silence_is_seen_by_the_silence_of_the_others():
    harness, totals = many_backends(), {}
    for customer in (1, 2):
        use(harness, 6, totals=totals, others=2.0, customer=customer)
    use(harness, 10, status=api.Status.FULL, customer=2)
    use(harness, 1, totals=totals, others=0.0, customer=2)
    use(harness, 1, totals=totals, others=20.0, customer=1)   # what it used elsewhere
    assert harness.control.customers[1].store > 6.0


def lost(harness: Harness, rounds: int) -> int:
    """Customer 1 asks each half second and every call is turned away; how many calls that were."""
    calls = 0
    for _ in range(rounds):
        harness.request(customer=1)
        harness.advance(0.5)
        calls += len(harness.counts)
        harness.count_replies(status=api.Status.FULL)
    return calls


def others_are_answered(harness: Harness, first: int, count: int) -> None:
    """So many customers that were not seen before are answered, all within little more than a second."""
    for _ in range(2):
        for customer in range(first, first + count):
            harness.request(customer=customer)
        harness.advance(1.1)
    harness.count_replies(totals={})


def test_the_pause_after_lost_calls_ends_once_others_are_answered():
    harness = many_backends()
    lost(harness, 40)
    customer = harness.control.customers[1]
    customer.count_at = harness.now + 8.0     # as long as a pause gets
    others_are_answered(harness, 10, 2)
    harness.request(customer=1)
    assert harness.counts == []               # two answers may be chance
    others_are_answered(harness, 20, 1)
    harness.request(customer=1)
    assert [call.name for call in harness.counts] == [1]


def test_a_lost_part_of_the_counter_is_asked_no_more_than_the_other_part_answers():
    """Names of a part that is down are lost while the others are answered."""
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
    assert answered >= 150 and turned_away <= 0.75 * answered    # unguarded: more than are answered


def test_the_pause_lasts_while_nobody_is_answered():
    assert lost(many_backends(), 40) <= 10


@pytest.mark.parametrize(("plan", "least", "most"), [(HARD, 1.9, 2.1), (SOFT, 5.9, 8.0)])
def test_use_is_taken_off_by_what_a_wrong_belief_costs(plan, least, most):
    """Six units told after 2 s in which eight came in: used after it was full, or while it filled."""
    harness, totals = many_backends(), {}
    use(harness, 2, totals=totals, plan=plan)
    harness.advance(3.0)
    harness.control.customers[1].store = 8.0
    harness.control.customers[1].total_at = harness.now - 2.0
    harness.request(plan=plan)
    harness.count_replies(totals=totals, others=5.0)
    assert least <= harness.control.customers[1].store <= most
