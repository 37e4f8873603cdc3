"""Overload regulation: latency fit, regions and order of cuts, outdated decisions, return of capacity."""

import pytest
from conftest import HARD, SOFT, Harness, make_settings

from fennelpoint import regulation
from fennelpoint.regulation import LatencyFit
from fennelpoint.state import Cut


def fit_of(*points: tuple[float, float], memory: float = regulation.FIT_MEMORY) -> LatencyFit:
    fit = LatencyFit()
    for x, y in points:
        fit.add(x, y, memory)
    return fit


LINE = ((1.0, 2.0), (2.0, 3.0), (3.0, 5.0), (4.0, 6.0))


def test_fit_against_hand_computed_values():
    fit = fit_of(*LINE, memory=1.0)
    # means 2.5 and 4, sum of squares about the mean 5, of products 7: slope 1.4, intercept 0.5
    assert fit.predict(0.0)[0] == pytest.approx(0.5)
    # residuals 0.1, -0.3, 0.3, -0.1: their squares add to 0.2, S = sqrt(0.2 / 2)
    # S_p at 5 = sqrt(0.1 * (1 + 1/4 + 2.5**2 / 5)) = sqrt(0.25)
    assert fit.predict(5.0) == (pytest.approx(7.5), pytest.approx(2.0))


def test_confidence_falls_with_the_distance_from_the_data():
    fit = fit_of(*LINE)
    assert fit.predict(2.5)[1] > fit.predict(6.0)[1] > fit.predict(20.0)[1] > 0.0


def test_no_confidence_without_two_rates():
    assert fit_of(*[(3.0, 0.4)] * 5).predict(9.0) == (pytest.approx(0.4), 0.0)
    assert LatencyFit().predict(1.0) == (0.0, 0.0)


def customer(harness: Harness, key: int, plan: int, rate: float, ratio: float, worth: float):
    """A customer with these values at the end of a period."""
    harness.request(plan=plan, customer=key)
    c = harness.control.customers[key]
    harness.control.regulation.active[key] = c
    c.rate, c.sent_units, c.ratio, c.ratios, c.worth = rate, rate * regulation.PERIOD_S, ratio, [ratio], worth
    return c


@pytest.fixture
def idle() -> Harness:
    return Harness(make_settings())  # without backends only the regulation changes state


def regulate(harness: Harness) -> None:
    harness.control.regulation.regulate(harness.now, regulation.PERIOD_S)


def cut_keys(harness: Harness) -> list[int]:
    return [c.key for c, _ in harness.control.regulation.cut.takes]


def test_no_customer_is_cut_while_none_fails(idle):
    customer(idle, 1, SOFT, rate=50.0, ratio=0.5, worth=1.0)
    customer(idle, 2, HARD, rate=50.0, ratio=2.0, worth=1.0)  # exceeded: over quota and late
    regulate(idle)
    assert idle.control.regulation.cut is None


def test_cuts_take_lucky_then_exceeded_by_least_worth_and_not_meet(idle):
    customer(idle, 1, HARD, rate=1.0, ratio=2.0, worth=1.0)    # failed
    customer(idle, 2, SOFT, rate=5.0, ratio=0.5, worth=4.0)    # lucky, of more worth
    customer(idle, 3, SOFT, rate=4.0, ratio=0.5, worth=2.0)    # lucky, of less worth
    customer(idle, 4, HARD, rate=3.0, ratio=2.0, worth=1.0)    # exceeded
    customer(idle, 5, HARD, rate=1.9, ratio=0.5, worth=0.1)    # meet
    customer(idle, 6, HARD, rate=200.0, ratio=2.0, worth=9.0)  # exceeded: makes the step large
    regulate(idle)
    assert cut_keys(idle) == [3, 2, 4, 6]


def test_meet_is_cut_only_while_customers_of_several_plans_miss_their_aim(idle):
    customer(idle, 1, HARD, rate=1.0, ratio=2.0, worth=1.0)
    meet = customer(idle, 5, HARD, rate=1.9, ratio=0.5, worth=0.1)
    regulate(idle)
    assert cut_keys(idle) == [] and meet.cap is None
    idle.control.regulation.cut = None
    customer(idle, 2, SOFT, rate=1.0, ratio=2.0, worth=2.0)
    customer(idle, 1, HARD, rate=1.0, ratio=2.0, worth=1.0)
    customer(idle, 5, HARD, rate=1.9, ratio=0.5, worth=0.1)
    regulate(idle)
    assert cut_keys(idle) == [5] and meet.cap < 1.9


def test_a_step_takes_its_share_of_the_rate(idle):
    customer(idle, 1, HARD, rate=10.0 / 6, ratio=2.0, worth=1.0)
    lucky = customer(idle, 2, SOFT, rate=50.0 / 6, ratio=0.5, worth=2.0)
    total = 10.0  # units per second
    regulate(idle)
    assert idle.control.regulation.cut.takes[0][1] == pytest.approx(regulation.STEP * total)
    assert lucky.cap == pytest.approx(lucky.rate - regulation.STEP * total)


def test_steps_scale_with_confidence(idle):
    for i in range(40):
        idle.control.regulation.fit.add(10.0 + i % 5, 0.2 + 0.01 * (i % 5), regulation.FIT_MEMORY)  # a precise fit
    idle.control.regulation.work = 12.0 * regulation.PERIOD_S
    customer(idle, 1, HARD, rate=10.0 / 6, ratio=2.0, worth=1.0)
    customer(idle, 2, SOFT, rate=50.0 / 6, ratio=0.5, worth=2.0)
    regulate(idle)
    assert idle.control.regulation.cut.takes[0][1] == pytest.approx(regulation.FULL_STEP * regulation.STEP * 10.0)


def regions_of(harness: Harness, **groups):
    return {"lucky": [], "exceeded": [], "meet": [], "failed": [], **groups}


def test_reasons_that_outdate_a_decision(idle):
    c = customer(idle, 1, SOFT, rate=2.0, ratio=0.5, worth=1.0)
    made = Cut([], worst=1.5, rates={1: 2.0}, lucky={1}, predicted=0.5)
    idle.control.regulation.cut = made
    afresh = idle.control.regulation.is_outdated
    steady = regions_of(idle, lucky=[c])
    assert not afresh(steady, worst=1.4, latency=0.5)
    assert afresh(steady, worst=1.6, latency=0.5)          # the latency of the failing customer rose
    made.lucky.clear()
    assert afresh(steady, worst=1.4, latency=0.5)          # another customer became lucky
    made.lucky.add(1)
    c.rate = 4.2
    assert afresh(steady, worst=1.4, latency=0.5)          # a rate doubled
    c.rate = 2.0
    assert afresh(steady, worst=1.4, latency=1.2)          # the measured latency is twice the predicted one


def test_decision_holds_for_m_steps(idle):
    first = None
    for step in range(regulation.STEPS):
        customer(idle, 1, HARD, rate=1.0, ratio=2.0 + step, worth=1.0)
        customer(idle, 2, SOFT, rate=5.0, ratio=0.5, worth=2.0)
        regulate(idle)
        first = first or idle.control.regulation.cut
        if step < regulation.STEPS - 1:
            assert idle.control.regulation.cut is first
    customer(idle, 1, HARD, rate=1.0, ratio=9.0, worth=1.0)
    regulate(idle)
    assert idle.control.regulation.cut is not first


def test_capacity_is_returned_by_worth_and_caps_stay_above_the_average_rate(idle):
    dear = customer(idle, 1, SOFT, rate=0.5, ratio=0.5, worth=4.0)
    cheap = customer(idle, 2, HARD, rate=1.5, ratio=0.5, worth=1.0)
    dear.cap, cheap.cap = 0.1, 0.1
    regulate(idle)
    assert dear.cap > dear.rate and cheap.cap >= cheap.rate
    for _ in range(40):
        regulate(idle)
    assert dear.cap is None and cheap.cap is None  # both are back at their shares


def test_cut_customer_recovers_within_seconds_once_none_fails(idle):
    """The pace of recovery must not depend on the rate that a cut has reduced to zero (incident i82d844)."""
    c = customer(idle, 1, HARD, rate=0.0, ratio=0.5, worth=1.0)
    c.cap = 0.0
    for _ in range(int(10.0 / regulation.PERIOD_S)):
        regulate(idle)
    assert c.cap is None
