"""The counter goes silent and comes back: what the stores are held to have, and when it is asked again."""

import pytest
from conftest import HARD, SOFT, World, wide

from fennelpoint import interface as api


def use(world: World, seconds: int, status: api.Status = api.Status.OK, totals: dict | None = None,
        others: float = 0.0, **ask) -> None:
    """One unit a second here, and `others` by the other ingress, with a chance to tell it each second."""
    for _ in range(seconds):
        sent = world.ask(**ask)
        for action in sent:
            if isinstance(action, api.Send):
                world.answer(action.request, action.backend)
        world.wait(1.0)
        world.count_replies(status=status, totals=totals, others=others)


@pytest.fixture
def after_silence() -> tuple[World, dict]:
    """Three of four units a second are used, two of them elsewhere, through a silence of 10 s."""
    world, totals = wide(), {}
    use(world, 6, totals=totals, others=2.0)
    use(world, 10, status=api.Status.FULL)
    world.wait(8.0)     # longer than any pause after a lost call
    return world, totals


def test_use_in_a_silence_takes_from_what_came_in_meanwhile(after_silence):
    world, totals = after_silence
    use(world, 1, totals=totals, others=0.0)    # our own use is told first
    assert world.control.customers[1].store > 6.0


def test_a_customer_that_did_not_ask_in_the_silence_is_seen_by_the_silence_of_the_others():
    world, totals = wide(), {}
    for customer in (1, 2):
        use(world, 6, totals=totals, others=2.0, customer=customer)
    use(world, 10, status=api.Status.FULL, customer=2)
    use(world, 1, totals=totals, others=0.0, customer=2)
    use(world, 1, totals=totals, others=20.0, customer=1)   # what it used elsewhere
    assert world.control.customers[1].store > 6.0


def lost(world: World, rounds: int) -> int:
    """Customer 1 asks each half second and every call is turned away; how many calls that were."""
    calls = 0
    for _ in range(rounds):
        world.ask(customer=1)
        world.wait(0.5)
        calls += len(world.counts)
        world.count_replies(status=api.Status.FULL)
    return calls


def others_are_answered(world: World, first: int, count: int) -> None:
    """So many customers that were not seen before are answered, all within little more than a second."""
    for _ in range(2):
        for customer in range(first, first + count):
            world.ask(customer=customer)
        world.wait(1.1)
    world.count_replies(totals={})


def test_the_pause_after_lost_calls_ends_once_others_are_answered():
    world = wide()
    lost(world, 40)
    customer = world.control.customers[1]
    customer.count_at = world.now + 8.0     # as long as a pause gets
    others_are_answered(world, 10, 2)
    world.ask(customer=1)
    assert world.counts == []               # two answers may be chance
    others_are_answered(world, 20, 1)
    world.ask(customer=1)
    assert [call.name for call in world.counts] == [1]


def test_a_lost_part_of_the_counter_is_asked_no_more_than_the_other_part_answers():
    """Names of a part that is down are lost while the others are answered."""
    world, answered, turned_away = wide(), 0, 0
    for _ in range(60):
        for customer in range(1, 17):
            world.ask(customer=customer)
        world.wait(0.25)
        calls, world.counts = world.counts, []
        for call in calls:
            down = call.name % 2 == 1
            answered, turned_away = answered + (not down), turned_away + down
            world.give(api.CounterReply(call.name, api.Status.FULL if down else api.Status.OK, 1.0, 0.001))
    assert answered >= 150 and turned_away <= 0.75 * answered    # unguarded: more than are answered


def test_the_pause_lasts_while_nobody_is_answered():
    assert lost(wide(), 40) <= 10


@pytest.mark.parametrize(("plan", "least", "most"), [(HARD, 1.9, 2.1), (SOFT, 5.9, 8.0)])
def test_use_is_taken_off_by_what_a_wrong_belief_costs(plan, least, most):
    """Six units told after 2 s in which eight came in: used after it was full, or while it filled."""
    world, totals = wide(), {}
    use(world, 2, totals=totals, plan=plan)
    world.wait(3.0)
    world.control.customers[1].store = 8.0
    world.control.customers[1].total_at = world.now - 2.0
    world.ask(plan=plan)
    world.count_replies(totals=totals, others=5.0)
    assert least <= world.control.customers[1].store <= most
