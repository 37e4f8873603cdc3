"""A customer that exceeds its quota: its requests of more worth go before those of less worth."""

from conftest import HARD, KEYED, SAFE, SOFT, Harness, kinds, make_settings, many_backends
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint import interface as api

VALUABLE = KEYED    # worth 2 in these settings; a read is worth 1


def sent(actions: list) -> int:
    return kinds(actions).count(api.Send)


def answered(harness: Harness, actions: list) -> list[int]:
    """The ids of the requests sent; each is answered at once, which may release others."""
    done = []
    while sends := [a for a in actions if isinstance(a, api.Send)]:
        done += [a.request for a in sends]
        actions = [b for a in sends for b in harness.answer(a.request, a.backend, latency=0.02)]
    return done


def level(harness: Harness) -> float:
    """Units in the bucket at the current time."""
    harness.control.quotas.fill(harness.control.customers[1], harness.now)
    return harness.control.customers[1].level


def short_of_units(harness: Harness, **ask) -> None:
    """Spend the even share of the burst, four units."""
    for _ in range(4):
        assert sent(harness.request(**ask)) == 1


def test_request_of_more_worth_does_not_wait_behind_others():
    """An urgent request of more worth was refused because it was queued behind all waiting ones."""
    read, valuable = make_settings().classes[SAFE], make_settings().classes[VALUABLE]
    read.aim, valuable.aim = 4.0, 1.2
    harness = many_backends(classes=[read, make_settings().classes[1], valuable])
    short_of_units(harness, left=8.0)
    for _ in range(3):          # refills at 2 units per second: 1.5 s of waiting
        assert harness.request(left=8.0) == []
    assert harness.request(VALUABLE) == []        # half a second if it were alone
    first = [a.request for a in harness.advance(0.6) if isinstance(a, api.Send)]
    assert first == [harness.ids]


def test_request_of_less_worth_waits_behind_those_of_more():
    harness = many_backends()
    short_of_units(harness)
    assert harness.request(VALUABLE) == []
    harness.advance(0.3)
    harness.request(SAFE)
    out = harness.advance(0.25)      # one unit is there, for the request of more worth
    assert [a.request for a in out if isinstance(a, api.Send)] == [5]


def test_short_customer_reserves_units_for_requests_of_more_worth():
    harness = many_backends()
    short_of_units(harness)
    harness.request(VALUABLE)             # has demand of more worth too
    harness.advance(1.5)             # short, with some units refilled
    assert level(harness) >= 1.0
    assert sent(harness.request(SAFE)) == 0
    assert sent(harness.request(VALUABLE)) == 1


def test_reserved_units_do_not_starve_requests_of_less_worth():
    """Only a part of the bucket is reserved: given time it holds enough for any request."""
    harness, cheap, done = many_backends(most_units=4.0), set(), []    # the whole bucket could be reserved
    for _ in range(40):         # refills at 2 units per second; demand is 2.1 units per half second
        done += answered(harness, harness.request(VALUABLE, units=0.1))
        done += answered(harness, harness.request(SAFE, units=2.0))
        cheap.add(harness.ids)
        done += answered(harness, harness.advance(0.5))
    assert 15 <= len(cheap & set(done)) <= 20   # 44 units, 4 of them for requests of more worth


def test_customer_with_one_class_reserves_nothing():
    harness = many_backends()
    short_of_units(harness)
    harness.request()
    harness.advance(1.2)
    assert level(harness) >= 1.0
    assert sent(harness.request()) == 1


def test_customer_that_is_not_short_reserves_nothing():
    harness = many_backends()
    assert sent(harness.request(VALUABLE)) == 1
    assert [sent(harness.request(SAFE)) for _ in range(3)] == [1, 1, 1]


def test_no_units_count_as_queued_once_all_requests_are_released():
    """A rounding remainder of queued units kept a customer from ever being evicted."""
    harness = many_backends()
    short_of_units(harness)
    for units in (0.1, 0.2, 0.3):
        assert harness.request(units=units) == []
    harness.advance(5.0)
    assert not harness.control.requests.waiting and not harness.control.customers[1].queued


@given(st.lists(st.tuples(st.sampled_from([SAFE, VALUABLE]), st.sampled_from([HARD, SOFT]), st.integers(1, 2),
                          st.floats(0.0, 0.6)), max_size=40))
def test_queued_units_by_worth_match_the_waiting_requests(steps):
    harness = many_backends()
    for cls, plan, units, pause in steps:
        harness.request(cls, plan=plan, customer=plan, units=float(units))
        harness.advance(pause)
        for customer in harness.control.customers.values():
            queued = [t for t in harness.control.requests.waiting.values() if t.customer is customer]
            for worth in {t.worth for t in queued} | set(customer.queued):
                queued_units = sum(t.request.units for t in queued if t.worth >= worth)
                assert abs(customer.ahead(worth) - queued_units) < 1e-6


def test_request_is_checked_when_its_bucket_also_holds_the_reserved_units():
    harness = many_backends()
    short_of_units(harness)
    harness.request(VALUABLE, units=0.1)
    harness.advance(0.9)             # its unit is there, the reserved ones are not
    assert level(harness) >= 1.0
    assert harness.request(SAFE) == []
    checks, handle = [], harness.control.handle
    harness.control.handle = lambda event, now: checks.append(event) or handle(event, now)
    harness.advance(0.4)
    assert len(checks) <= 6      # 20 if checked every 20 ms
