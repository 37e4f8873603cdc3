"""Takeover by a new allocator: what proxies sent by grants of its predecessor still counts in the rules' windows."""

from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.invariants import Invariant
from fennelpoint.system.registry.allocator import Allocator
from fennelpoint.system.registry.grants import COLD_RATE_TAIL_S, GRANT_TTL_S, Grant

TERM = [2, "b"]
HOLDER, OTHER = "f1", "f2"
MAX_RATE = 11  # attempts per second that the cold backend can bear
COLD = {"s1": (MAX_RATE, "ra")}
TERM_BEGAN_AT = 100.0


def request(
    allocator: Allocator, ip: str, now: float, holds: list | None = None, in_use: list | None = None
) -> Grant | None:
    """Send a proxy's request to an allocator that has announced its term to the proxy."""
    report = holds or [{}, {}, 0, TERM, 0.0]
    return allocator.request_grant(ip, 1, "ra", in_use or [[0, ""], 0], {}, report, {}, COLD, now)


def take_over(now: float) -> Allocator:
    """Return an allocator with one proxy that may hold shares from before and one that is enrolled in this term."""
    allocator = Allocator(TERM, [HOLDER], TERM_BEGAN_AT)
    allocator.enrol([OTHER], now)
    request(allocator, OTHER, now)  # it is alive, so that the holder is not granted everything
    return allocator


def test_cold_rate_of_a_just_expired_grant_is_not_granted_to_another_proxy_within_its_window() -> None:
    """The holder's grant of the previous term expires at this moment, so that the holder has nothing to report."""
    now = TERM_BEGAN_AT + GRANT_TTL_S
    allocator = take_over(now)
    request(allocator, HOLDER, now)
    assert request(allocator, OTHER, now).cold_rates == {}


def test_cold_rate_lowered_in_the_previous_term_counts_at_its_old_value_for_its_window() -> None:
    now = TERM_BEGAN_AT + COLD_RATE_TAIL_S + 0.1
    allocator = take_over(now)
    request(allocator, HOLDER, now, [{}, {"s1": 2}, 0, TERM, GRANT_TTL_S], [[1, "a"], 7])
    assert request(allocator, OTHER, now).cold_rates == {}


@given(reported_after_s=st.floats(0.0, GRANT_TTL_S), granted_after_s=st.floats(0.0, GRANT_TTL_S))
def test_cold_rates_are_granted_one_window_after_the_last_report_and_not_earlier(
    reported_after_s: float, granted_after_s: float
) -> None:
    reported_at, now = (
        TERM_BEGAN_AT + COLD_RATE_TAIL_S + 0.01 + reported_after_s,
        TERM_BEGAN_AT + COLD_RATE_TAIL_S + 0.01 + reported_after_s + granted_after_s,
    )
    allocator = take_over(reported_at)
    request(allocator, HOLDER, reported_at)
    granted = request(allocator, OTHER, now).cold_rates
    if granted_after_s < COLD_RATE_TAIL_S and not allocator.earlier_grants_expired(now - COLD_RATE_TAIL_S):
        assert granted == {}
    elif granted_after_s > COLD_RATE_TAIL_S:
        assert sum(granted.values()) > 0


def test_invariant_detects_a_cold_rate_granted_within_the_window_after_the_last_report() -> None:
    """Plants the fault: an allocator that checks only whether outstanding grants are unknown at this moment."""
    now = TERM_BEGAN_AT + GRANT_TTL_S
    allocator = take_over(now)
    allocator.all_grants_known_for = lambda duration_s, now: allocator.all_grants_known(now)
    request(allocator, HOLDER, now)
    request(allocator, OTHER, now)
    assert {violation.invariant for violation in allocator.violations} == {Invariant.COLD_RATES_REST}
