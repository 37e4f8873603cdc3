"""The life cycle: the allowed transitions, no others, and the steps that are due in each phase."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fennelpoint.lifecycle import (
    ENDING_PHASES,
    SETTLE_S,
    STOP_TIMEOUT_S,
    TRANSITIONS,
    Event,
    IllegalTransition,
    LifeCycle,
    Phase,
    Step,
)


def after(*events: Event, now: float = 0.0) -> LifeCycle:
    """Return a life cycle that has handled these events."""
    life = LifeCycle(now)
    for event in events:
        life.handle(event, now)
    return life


@pytest.mark.parametrize("event", [Event.DRAIN, Event.RESUME, Event.LISTED, Event.TERM, Event.RELIEVED])
@pytest.mark.parametrize("before", [(), (Event.LISTED,), (Event.LISTED, Event.DRAIN)])
def test_a_repeated_event_changes_nothing(before, event):
    once, twice = after(*before, event), after(*before, event, event)
    assert once.phase is twice.phase and once.is_ready == twice.is_ready


@pytest.mark.parametrize("phase", list(Phase))
@pytest.mark.parametrize("event", list(Event))
def test_a_transition_that_is_not_allowed_raises_and_changes_nothing(phase, event):
    life = LifeCycle(0.0)
    life.phase, life.has_list = phase, True
    if (phase, event) in TRANSITIONS:
        life.handle(event, 1.0)
        assert life.phase is TRANSITIONS[phase, event]
    else:
        with pytest.raises(IllegalTransition, match=f"{event.value} while {phase.value}"):
            life.handle(event, 1.0)
        assert life.phase is phase and life.entered_at == 0.0


def test_resume_without_a_backend_list_does_not_make_it_ready():
    life = after(Event.DRAIN, Event.RESUME)
    assert life.phase is Phase.STARTING and not life.is_ready
    life.handle(Event.LISTED, 1.0)
    assert life.is_ready


def test_a_list_that_arrives_during_a_drain_counts_after_it():
    life = after(Event.DRAIN, Event.LISTED)
    assert not life.is_ready
    life.handle(Event.RESUME, 1.0)
    assert life.is_ready


def test_idle_connections_stay_open_until_the_front_proxy_has_learnt_of_the_drain():
    life = after(Event.LISTED, Event.DRAIN)
    assert not life.is_ready and not life.keeps_connections
    assert life.due_steps(SETTLE_S - 0.01, 5, 2) == []
    assert life.due_steps(SETTLE_S, 5, 2) == [Step.CLOSE_IDLE] and life.phase is Phase.DRAINING
    life.due_steps(SETTLE_S + 1.0, 0, 0)
    assert life.phase is Phase.DRAINED
    assert life.due_steps(60.0, 1, 0) == [Step.CLOSE_IDLE]   # later clients are served and disconnected, too


def test_a_stop_accepts_requests_for_a_moment_and_answers_the_open_ones_before_the_end():
    life = after(Event.LISTED, Event.TERM)
    assert life.due_steps(SETTLE_S - 0.01, 3, 1) == []
    assert life.due_steps(SETTLE_S, 3, 1) == [Step.STOP_ACCEPTING, Step.CLOSE_IDLE]
    assert Step.EXIT not in life.due_steps(STOP_TIMEOUT_S - 0.01, 1, 1)
    assert life.due_steps(STOP_TIMEOUT_S, 1, 1)[-2:] == [Step.FAIL_OPEN, Step.EXIT]
    assert life.phase is Phase.STOPPED


def test_a_process_with_a_successor_stops_accepting_and_leaves_its_address_ready():
    life = after(Event.LISTED, Event.RELIEVED)
    assert life.is_ready and not life.keeps_connections
    assert life.due_steps(0.0, 3, 1) == [Step.STOP_ACCEPTING]
    assert life.due_steps(SETTLE_S, 0, 0)[-1] is Step.EXIT


class LifeCycleMachine(RuleBasedStateMachine):
    """Events and checks in any order: an end is final, and no clients are sent to a process that does not serve."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.life, self.open, self.handled = 0.0, LifeCycle(0.0), 3, []

    @rule(event=st.sampled_from([e for e in Event if e not in (Event.OVER, Event.EMPTIED)]),
          wait=st.floats(0.0, 5.0))
    def handle(self, event: Event, wait: float) -> None:
        self.now += wait
        was_ending = self.life.is_ending
        try:
            self.life.handle(event, self.now)
        except IllegalTransition:
            assert (self.life.phase, event) not in TRANSITIONS
        else:
            self.handled.append(event)
        assert not was_ending or self.life.is_ending

    @rule(wait=st.floats(0.0, 5.0), connections=st.integers(0, 3), unanswered=st.integers(0, 2))
    def due_steps(self, wait: float, connections: int, unanswered: int) -> None:
        self.now += wait
        before, entered_at = self.life.phase, self.life.entered_at
        steps = self.life.due_steps(self.now, connections, min(unanswered, connections))
        if Step.EXIT in steps:
            assert before in ENDING_PHASES and (not connections or self.now - entered_at >= STOP_TIMEOUT_S)
            assert Step.FAIL_OPEN in steps or not min(unanswered, connections) or not connections
        if Step.CLOSE_IDLE in steps:
            assert not self.life.keeps_connections and (self.now - entered_at >= SETTLE_S or before is Phase.DRAINED)

    @precondition(lambda self: not self.life.is_ending)
    @rule(wait=st.floats(0.0, 5.0))
    def resume(self, wait: float) -> None:
        self.now += wait
        self.life.handle(Event.RESUME, self.now)
        assert self.life.is_ready == (self.life.has_list and not self.life.is_barred)
        assert self.life.keeps_connections == (self.life.is_ready or not self.life.has_list)

    @invariant()
    def ready_only_with_a_list_or_a_successor(self) -> None:
        assert not self.life.is_ready or self.life.has_list or Event.RELIEVED in self.handled
        assert self.life.has_list == (Event.LISTED in self.handled)
        lease_events = [event for event in self.handled if event in (Event.BAR, Event.ADMIT)]
        assert self.life.is_barred == (lease_events[-1:] == [Event.BAR])
        assert not (self.life.is_barred and self.life.phase is Phase.SERVING)


TestLifeCycle = LifeCycleMachine.TestCase


@given(st.lists(st.sampled_from([Event.DRAIN, Event.RESUME]), max_size=8))
def test_the_last_call_of_the_operators_counts(calls):
    life = after(Event.LISTED, *calls)
    assert life.is_ready == (not calls or calls[-1] is Event.RESUME)
