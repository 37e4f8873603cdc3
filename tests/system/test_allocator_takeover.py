"""An allocator that takes over: what fronts used by grants of the one before still counts in the rules' windows."""

from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.invariants import Invariant
from fennelpoint.system.registry.allocator import Allocator
from fennelpoint.system.registry.grants import COLD_RATE_TAIL_S, GRANT_TTL_S, Grant

TERM = [2, "b"]
HOLDER, OTHER = "f1", "f2"
MOST = 11  # tries a second that the cold backend bears
COLD = {"s1": (MOST, "ra")}
BEGUN = 100.0


def ask(
    allocator: Allocator, ip: str, now: float, holds: list | None = None, seen: list | None = None
) -> Grant | None:
    """One front's ask of an allocator that has told it of its term."""
    said = holds or [{}, {}, 0, TERM, 0.0]
    return allocator.request_grant(ip, 1, "ra", seen or [[0, ""], 0], {}, said, {}, COLD, now)


def take_over(now: float) -> Allocator:
    """An allocator of whose fronts one may hold parts; the other is enrolled by this term."""
    allocator = Allocator(TERM, [HOLDER], BEGUN)
    allocator.enrol([OTHER], now)
    ask(allocator, OTHER, now)  # it is alive, so that the holder is not lent everything
    return allocator


def test_a_cold_rate_whose_grant_has_just_ended_is_not_lent_to_another_within_its_second() -> None:
    """The holder's grant of the term before ended at this moment, so that it has nothing to tell of."""
    now = BEGUN + GRANT_TTL_S
    allocator = take_over(now)
    ask(allocator, HOLDER, now)
    assert ask(allocator, OTHER, now).cold_rates == {}


def test_a_cold_rate_that_the_term_before_had_lowered_counts_as_it_was_for_its_second() -> None:
    now = BEGUN + COLD_RATE_TAIL_S + 0.1
    allocator = take_over(now)
    ask(allocator, HOLDER, now, [{}, {"s1": 2}, 0, TERM, GRANT_TTL_S], [[1, "a"], 7])
    assert ask(allocator, OTHER, now).cold_rates == {}


@given(told=st.floats(0.0, GRANT_TTL_S), later=st.floats(0.0, GRANT_TTL_S))
def test_cold_rates_are_lent_a_second_after_the_last_front_has_told_and_not_before(told: float, later: float) -> None:
    told_at, now = BEGUN + COLD_RATE_TAIL_S + 0.01 + told, BEGUN + COLD_RATE_TAIL_S + 0.01 + told + later
    allocator = take_over(told_at)
    ask(allocator, HOLDER, told_at)
    lent = ask(allocator, OTHER, now).cold_rates
    if later < COLD_RATE_TAIL_S and not allocator.earlier_grants_expired(now - COLD_RATE_TAIL_S):
        assert lent == {}
    elif later > COLD_RATE_TAIL_S:
        assert sum(lent.values()) > 0


def test_the_invariant_counts_a_cold_rate_that_is_lent_within_a_second_of_the_last_tell() -> None:
    """The fault itself, planted: an allocator that looks only at what is unknown now."""
    now = BEGUN + GRANT_TTL_S
    allocator = take_over(now)
    allocator.all_grants_known_for = lambda duration_s, now: allocator.all_grants_known(now)
    ask(allocator, HOLDER, now)
    ask(allocator, OTHER, now)
    assert {violation.invariant for violation in allocator.violations} == {Invariant.COLD_RATES_REST}
