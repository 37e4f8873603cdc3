"""The life cycle of one ingress process, and what the sockets have to do because of it.

Pure: events with the time in, steps out.  The admin socket, `GET /ready`, signals, the heartbeat to the announcer and
the control service all consult it; none of them keeps a flag of its own.
"""

from __future__ import annotations

from enum import Enum
from math import inf

SETTLE_S = 0.5          # after a drain or SIGTERM, in which the front proxy has not learnt of it and still sends here
STOP_TIMEOUT_S = 3.4    # after SIGTERM, by which all requests are answered and the process ends


class Phase(Enum):
    STARTING = "starting"   # no backend list yet
    SERVING = "serving"
    DRAINING = "draining"   # not ready; connections are still open
    DRAINED = "drained"     # no connection is open; the process stays
    SHUT = "shut out"       # may send nothing, as its configuration may no longer be in force
    STOPPING = "stopping"   # ends
    LEAVING = "leaving"     # ends while a successor serves at the same address
    STOPPED = "stopped"


class Event(Enum):
    LISTED = "listed"       # there is a list of backends
    DRAIN = "drain"
    RESUME = "resume"
    EMPTIED = "emptied"     # no client connection is open
    BAR = "bar"             # nothing may be sent to backends
    ADMIT = "admit"         # requests may be sent again
    TERM = "term"
    RELIEVED = "relieved"   # SIGTERM, and a successor serves
    OVER = "over"           # all requests are answered, or the time for that is up


class Step(Enum):
    """What the sockets have to do."""

    STOP_ACCEPTING = "stop accepting"
    CLOSE_IDLE = "close idle"       # connections without a request; repeated while due
    FAIL_OPEN = "fail open"         # answer all open requests now
    EXIT = "exit"


class IllegalTransition(Exception):
    """An event that is not allowed in this phase."""

    def __init__(self, phase: Phase, event: Event) -> None:
        super().__init__(f"{event.value} while {phase.value}")
        self.phase, self.event = phase, event


P, E = Phase, Event
ENDING_PHASES = (P.STOPPING, P.LEAVING)
READY_PHASES, KEEP_ALIVE_PHASES = (P.SERVING, P.LEAVING), (P.SERVING, P.STARTING)
TRANSITIONS: dict[tuple[Phase, Event], Phase] = {
    (P.STARTING, E.LISTED): P.SERVING, (P.SERVING, E.LISTED): P.SERVING,
    (P.DRAINING, E.LISTED): P.DRAINING, (P.DRAINED, E.LISTED): P.DRAINED,
    (P.STOPPING, E.LISTED): P.STOPPING, (P.LEAVING, E.LISTED): P.LEAVING,
    (P.STARTING, E.DRAIN): P.DRAINING, (P.SERVING, E.DRAIN): P.DRAINING,
    (P.DRAINING, E.DRAIN): P.DRAINING, (P.DRAINED, E.DRAIN): P.DRAINED,
    (P.STOPPING, E.DRAIN): P.STOPPING, (P.LEAVING, E.DRAIN): P.LEAVING,     # its connections are closing anyway
    (P.STARTING, E.RESUME): P.STARTING, (P.SERVING, E.RESUME): P.SERVING,
    (P.DRAINING, E.RESUME): P.SERVING, (P.DRAINED, E.RESUME): P.SERVING,
    (P.DRAINING, E.EMPTIED): P.DRAINED, (P.DRAINED, E.EMPTIED): P.DRAINED,
    (P.SERVING, E.BAR): P.SHUT, (P.SHUT, E.ADMIT): P.SERVING, (P.SERVING, E.ADMIT): P.SERVING,
    **{(p, e): p for p in (P.STARTING, P.DRAINING, P.DRAINED, P.STOPPING, P.LEAVING, P.STOPPED)
       for e in (E.BAR, E.ADMIT)},
    (P.SHUT, E.BAR): P.SHUT, (P.SHUT, E.LISTED): P.SERVING, (P.SHUT, E.DRAIN): P.DRAINING,
    (P.SHUT, E.RESUME): P.SERVING,      # `handle` keeps it in SHUT while it is barred
    **{(p, E.TERM): P.STOPPING for p in (P.STARTING, P.SERVING, P.DRAINING, P.DRAINED, P.SHUT, P.STOPPING)},
    **{(p, E.RELIEVED): P.LEAVING for p in (P.STARTING, P.SERVING, P.DRAINING, P.DRAINED, P.SHUT, P.LEAVING)},
    (P.LEAVING, E.TERM): P.LEAVING, (P.STOPPING, E.RELIEVED): P.STOPPING,
    (P.STOPPING, E.OVER): P.STOPPED, (P.LEAVING, E.OVER): P.STOPPED,
}


class LifeCycle:
    """The phase of an ingress.  `handle` applies events; `due_steps` returns what is due at a time.

    `settle_s` and `stop_timeout_s` replace the usual times.  From `accept_any_s` seconds after SIGTERM on, only
    requests that are certain to end in time are accepted.
    """

    def __init__(self, now: float, settle_s: float = SETTLE_S, stop_timeout_s: float = STOP_TIMEOUT_S,
                 accept_any_s: float = inf) -> None:
        self.phase, self.entered_at = Phase.STARTING, now
        self.settle_s, self.stop_timeout_s = settle_s, stop_timeout_s
        self.accept_any_s = accept_any_s
        self.has_list = False
        self.is_barred = False      # the lease that allows sending is not held

    def handle(self, event: Event, now: float) -> None:
        """Apply an event; raises IllegalTransition, which leaves the phase unchanged."""
        if (phase := TRANSITIONS.get((self.phase, event))) is None:
            raise IllegalTransition(self.phase, event)
        self.has_list = self.has_list or event is Event.LISTED
        self.is_barred = event is Event.BAR or self.is_barred and event is not Event.ADMIT
        if phase is Phase.SERVING and not self.has_list:
            phase = Phase.STARTING
        elif phase is Phase.SERVING and self.is_barred:
            phase = Phase.SHUT
        if phase is not self.phase:
            self.phase, self.entered_at = phase, now

    @property
    def is_ready(self) -> bool:
        """Whether new clients should be sent to this address."""
        return self.phase in READY_PHASES

    @property
    def keeps_connections(self) -> bool:
        """Whether a client's connection stays open after a response."""
        return self.phase in KEEP_ALIVE_PHASES

    def may_outlast_process(self, time_left: float, now: float) -> bool:
        """Whether a request that arrives now, with so many seconds left, may still run when the process ends."""
        age = now - self.entered_at
        return self.phase in ENDING_PHASES and age >= self.accept_any_s and age + time_left > self.stop_timeout_s

    @property
    def is_ending(self) -> bool:
        return self.phase in (*ENDING_PHASES, Phase.STOPPED)

    def due_steps(self, now: float, connections: int, unanswered: int) -> list[Step]:
        """Return the steps that are due, given the numbers of open connections and unanswered requests."""
        age = now - self.entered_at
        if self.phase is Phase.DRAINING and age >= self.settle_s and not connections:
            self.handle(Event.EMPTIED, now)
        if self.phase in (Phase.DRAINING, Phase.DRAINED, Phase.SHUT):
            return [Step.CLOSE_IDLE] if age >= self.settle_s or self.phase is Phase.DRAINED else []
        if self.phase not in ENDING_PHASES:
            return []
        steps = [Step.STOP_ACCEPTING] if age >= self.settle_s or self.phase is Phase.LEAVING else []
        if age < self.settle_s:
            return steps
        steps.append(Step.CLOSE_IDLE)
        if is_overdue := age >= self.stop_timeout_s and unanswered > 0:
            steps.append(Step.FAIL_OPEN)
        if is_overdue or not connections or age >= self.stop_timeout_s:
            self.handle(Event.OVER, now)
            steps.append(Step.EXIT)
        return steps
