"""The life-cycle of one ingress process, and what follows from it for the sockets.

Pure: events with the time in, steps out.  The operators' door, `GET /ready`, signals, the word to the
announcer and the control service ask it; none of them keeps a flag of its own.
"""

from __future__ import annotations

from enum import Enum
from math import inf

SETTLE = 0.5        # s after a drain or SIGTERM that the front still sends here: it learns late
STOP_WITHIN = 3.4   # s after SIGTERM by which all is answered and the process gone


class Phase(Enum):
    STARTING = "starting"   # no list to go by yet
    SERVING = "serving"
    DRAINING = "draining"   # sends clients away; something is still open
    DRAINED = "drained"     # nothing is open; the process stays
    SHUT = "shut out"       # may send nothing: it goes by what may be out of force
    STOPPING = "stopping"   # told to end
    LEAVING = "leaving"     # told to end while a successor serves at the same address
    STOPPED = "stopped"


class Event(Enum):
    LISTED = "listed"       # there is a list of backends to go by
    DRAIN = "drain"
    RESUME = "resume"
    EMPTIED = "emptied"     # no client's connection is open
    BAR = "bar"             # nothing may be sent
    ADMIT = "admit"         # it may again
    TERM = "term"
    RELIEVED = "relieved"   # told to end, and a successor serves
    OVER = "over"           # all is answered, or the time to do so is up


class Step(Enum):
    """What the sockets are to do."""

    STOP_ACCEPTING = "stop accepting"
    CLOSE_IDLE = "close idle"       # those that are owed nothing; again at each look
    FAIL_OPEN = "fail open"         # what is open gets its answer now
    EXIT = "exit"


class IllegalMove(Exception):
    """An event that makes no sense in this phase."""

    def __init__(self, phase: Phase, event: Event) -> None:
        super().__init__(f"{event.value} while {phase.value}")
        self.phase, self.event = phase, event


P, E = Phase, Event
ENDING = (P.STOPPING, P.LEAVING)
READY, KEEPING = (P.SERVING, P.LEAVING), (P.SERVING, P.STARTING)
MOVES: dict[tuple[Phase, Event], Phase] = {
    (P.STARTING, E.LISTED): P.SERVING, (P.SERVING, E.LISTED): P.SERVING,
    (P.DRAINING, E.LISTED): P.DRAINING, (P.DRAINED, E.LISTED): P.DRAINED,
    (P.STOPPING, E.LISTED): P.STOPPING, (P.LEAVING, E.LISTED): P.LEAVING,
    (P.STARTING, E.DRAIN): P.DRAINING, (P.SERVING, E.DRAIN): P.DRAINING,
    (P.DRAINING, E.DRAIN): P.DRAINING, (P.DRAINED, E.DRAIN): P.DRAINED,
    (P.STOPPING, E.DRAIN): P.STOPPING, (P.LEAVING, E.DRAIN): P.LEAVING,     # it is being emptied anyway
    (P.STARTING, E.RESUME): P.STARTING, (P.SERVING, E.RESUME): P.SERVING,
    (P.DRAINING, E.RESUME): P.SERVING, (P.DRAINED, E.RESUME): P.SERVING,
    (P.DRAINING, E.EMPTIED): P.DRAINED, (P.DRAINED, E.EMPTIED): P.DRAINED,
    (P.SERVING, E.BAR): P.SHUT, (P.SHUT, E.ADMIT): P.SERVING, (P.SERVING, E.ADMIT): P.SERVING,
    **{(p, e): p for p in (P.STARTING, P.DRAINING, P.DRAINED, P.STOPPING, P.LEAVING, P.STOPPED)
       for e in (E.BAR, E.ADMIT)},
    (P.SHUT, E.BAR): P.SHUT, (P.SHUT, E.LISTED): P.SERVING, (P.SHUT, E.DRAIN): P.DRAINING,
    (P.SHUT, E.RESUME): P.SERVING,      # which it is only once it is admitted
    **{(p, E.TERM): P.STOPPING for p in (P.STARTING, P.SERVING, P.DRAINING, P.DRAINED, P.SHUT, P.STOPPING)},
    **{(p, E.RELIEVED): P.LEAVING for p in (P.STARTING, P.SERVING, P.DRAINING, P.DRAINED, P.SHUT, P.LEAVING)},
    (P.LEAVING, E.TERM): P.LEAVING, (P.STOPPING, E.RELIEVED): P.STOPPING,
    (P.STOPPING, E.OVER): P.STOPPED, (P.LEAVING, E.OVER): P.STOPPED,
}


class LifeCycle:
    """Where an ingress stands.  `handle` takes events; `look` tells what is due at a time."""

    def __init__(self, now: float, settle: float = SETTLE, stop_within: float = STOP_WITHIN,
                 takes_any: float = inf) -> None:
        self.phase, self.since = Phase.STARTING, now
        self.settle, self.stop_within = settle, stop_within
        self.takes_any = takes_any  # s after SIGTERM from which only what surely ends in time is taken
        self.listed = False
        self.barred = False     # whoever asks by what right it acts has said no

    def handle(self, event: Event, now: float) -> None:
        """Move; raises IllegalMove and stays where it is."""
        if (phase := MOVES.get((self.phase, event))) is None:
            raise IllegalMove(self.phase, event)
        self.listed = self.listed or event is Event.LISTED
        self.barred = event is Event.BAR or self.barred and event is not Event.ADMIT
        if phase is Phase.SERVING and not self.listed:
            phase = Phase.STARTING
        elif phase is Phase.SERVING and self.barred:
            phase = Phase.SHUT
        if phase is not self.phase:
            self.phase, self.since = phase, now

    @property
    def ready(self) -> bool:
        """Whether new clients are to come to this address."""
        return self.phase in READY

    @property
    def keeps(self) -> bool:
        """Whether a client's connection outlives its answer."""
        return self.phase in KEEPING

    def too_late(self, time_left: float, now: float) -> bool:
        """Whether a request that comes now, and has so many s left, may still be at work when the process ends."""
        age = now - self.since
        return self.phase in ENDING and age >= self.takes_any and age + time_left > self.stop_within

    @property
    def ending(self) -> bool:
        return self.phase in (*ENDING, Phase.STOPPED)

    def look(self, now: float, connections: int, unanswered: int) -> list[Step]:
        """What is due, by how many connections are open and how many requests have no answer yet."""
        age = now - self.since
        if self.phase is Phase.DRAINING and age >= self.settle and not connections:
            self.handle(Event.EMPTIED, now)
        if self.phase in (Phase.DRAINING, Phase.DRAINED, Phase.SHUT):
            return [Step.CLOSE_IDLE] if age >= self.settle or self.phase is Phase.DRAINED else []
        if self.phase not in ENDING:
            return []
        steps = [Step.STOP_ACCEPTING] if age >= self.settle or self.phase is Phase.LEAVING else []
        if age < self.settle:
            return steps
        steps.append(Step.CLOSE_IDLE)
        if late := age >= self.stop_within and unanswered > 0:
            steps.append(Step.FAIL_OPEN)
        if late or not connections or age >= self.stop_within:
            self.handle(Event.OVER, now)
            steps.append(Step.EXIT)
        return steps
