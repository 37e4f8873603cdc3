"""What one ingress remembers: plain records, which the module's concerns fill and read."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from fennelpoint.interface import BackendEntry, BackendState, Request

MOST_SLOW, MOST_FAILS, MOST_REST = 10.0, 60, 5.0    # that is believed of a backend; s

@dataclass(slots=True, eq=False)
class Crowd:
    """What tells how crowded the backends of a cell are; one for all where there are no cells."""

    cut_at: float           # when the window was last cut
    rest_until: float       # nothing is sent before
    members: frozenset | None = None    # the backends; none: all
    spill_to: str = ""      # the cell that may take what this one can't, while that has room
    spill_share: float = 0.0    # of that one's window, out at a time
    window: float = 0.0     # own attempts out
    pressure: float = 0.0
    evidence: int = 0       # answers since the last cut
    stuck: int = 0          # attempts out that are late by far
    out: int = 0            # attempts out
    spilt: int = 0          # of these, of cells that have nothing left
    ready: list[Backend] | None = None  # of its backends those that something may be sent to

    def quiet(self) -> int:
        """Attempts out that tell of a crowd: what a silent backend holds is in nobody's way."""
        return self.out - min(self.stuck, self.out // 2)


@dataclass(slots=True, eq=False)
class Backend:
    entry: BackendEntry
    rank: float             # its place in the order of this ingress: each has another one
    slow_at: float          # when its slowness was last brought up to date
    out: dict[int, tuple[float, float, float, Try]] = field(default_factory=dict)
    # attempts out, by request: work, sent at, aim, and whose
    begun: dict[int, Try] = field(default_factory=dict)   # answers under way, by request
    load: float = 0.0       # work out
    slow: float = 1.0       # latency over the class's typical one; failures add to it
    reported: float = 0.0   # requests it holds, by its own word
    reported_at: float = -1e9
    fails: int = 0          # attempts in a row that failed
    failed_at: float = -1e9  # when the last of them ended; what was sent before tells no more
    rest_until: float = 0.0 # nothing is sent before

    @property
    def usable(self) -> bool:
        return self.entry.state is BackendState.READY

    def recall(self, told: list[float] | None, now: float) -> None:
        """What the process before knew of it, if this is the same start of it."""
        if told is not None and told[0] == self.entry.started_at:
            slow, slow_at, fails, failed_at, rest_until = told[1:]
            self.slow, self.slow_at = min(MOST_SLOW, max(1 / MOST_SLOW, slow)), min(now, slow_at)
            self.fails, self.failed_at = int(min(MOST_FAILS, max(0, fails))), min(now, failed_at)
            self.rest_until = min(now + MOST_REST, rest_until)


@dataclass(slots=True, eq=False)
class Customer:
    key: int
    plan: int
    width: float            # ingresses that its requests come through
    share: float            # of the quota, held here
    level: float            # units in the bucket
    store: float            # units in the quota's store of all ingresses, as far as the counter tells
    filled: float
    total_at: float         # when the last total came
    count_at: float         # when the counter may be called next
    seen: float = 0.0
    total: float | None = None
    asks: bool = False      # whether each of its tries asks the counter for its store
    left: float = inf       # units in that store after the last answer
    left_at: float = 0.0    # when that was
    odds: float = 1.0       # that a try finds room there
    untold: float = 0.0     # taken from it without the counter's knowledge
    untold_at: float = 0.0  # when it last was
    held: bool = False      # its ceiling holds by the counter's word, where there is one
    fails: int = 0          # calls in a row without an answer
    fresh: float = 0.0      # taken from the quota since the last call
    own: float = 0.0        # taken since the last total
    granted: float = 0.0    # units in the bucket at the last total
    spared: float = 0.0     # asked and not taken since the last call
    sparing: float | None = None    # told of that by the call that is out, if one is
    spare_at: float = 0.0   # when that may be told next
    spared_total: float | None = None   # what all ingresses have told of it
    short_at: float = -1e9  # when units were last missing
    top: float = 0.0        # the greatest worth asked for lately
    top_at: float = -1e9    # when that was
    ours: float = 0.0       # asked here, fading
    alls: float = 0.0       # asked everywhere, fading
    calling: float | None = None    # told by the call that is out, if one is
    spans: float = 0.0      # s that these were asked in, fading alike
    ceiling: float = 0.0    # units of this ingress's own part of what the ceiling leaves above the quota
    open: int = 0           # attempts out
    waits: dict[float, float] = field(default_factory=dict)     # units waiting, by worth; none that are 0
    sent: float = 0.0       # units this period
    rate: float = 0.0       # average units a second sent
    ratio: float = 0.0      # average latency over aim
    ratios: list[float] = field(default_factory=list)  # latencies over aim this period
    worth: float = 0.0
    cap: float | None = None    # units a second while it is cut
    cap_level: float = 0.0

    def ahead(self, worth: float) -> float:
        """Units that wait and are released before a new try of this worth."""
        return sum(units for other, units in self.waits.items() if other >= worth)


@dataclass(slots=True, eq=False)
class Try:
    ask: Request
    customer: Customer
    aim_at: float
    ends: float
    worth: float
    crowd: Crowd
    half: float = inf       # when half of its time is up
    attempts: int = 0
    reached: bool = False           # an attempt came to a backend
    charged: bool = False           # its units were taken
    inside: bool | None = None      # the quota, by the answer of its own counter call
    told: bool = False              # the counter knows that it took its units
    good_until: float = 0.0         # when that word is too old to stand for its part of the ceiling
    drawn: float = 0.0              # units taken from that part here, until a backend had it
    ran_at: float | None = None     # send time of the first attempt that may have run
    ran_on: BackendEntry | None = None
    spent: bool = False             # its body is not held any more
    came_at: float = 0.0            # when its last byte came, or should
    not_before: float = 0.0
    last: float = 0.0               # when it is ended if it still waits
    picked: list[Backend] | None = None  # backends probed for it
    draw_at: float = 0.0            # when it may draw a cold backend again
    spills: bool = False            # its own cell has nothing left: it goes to another
    avoid: object = None            # the backend that had it last


@dataclass(slots=True, eq=False)
class Cut:
    """A decision: what each step takes off whom, and how things stood when it was made."""

    takes: list[tuple[Customer, float]]
    worst: float
    rates: dict[int, float]
    lucky: set[int]
    predicted: float
    steps: int = 0


@dataclass(slots=True)
class Ask:
    """A call about a customer's store that is out; it may only tell."""

    customer: Customer
    start: float            # of the epoch
    at: float = 0.0         # when it was called
    t: Try | None = None    # the try that waits for it
    own: float = 0.0        # of the total, what is that try's own
    fix: float = 0.0        # of the amount, what puts the store right
    use: float = 0.0        # of the amount, what was taken before: told anew if it did not come through
    last: bool = False      # about the epoch before this one
