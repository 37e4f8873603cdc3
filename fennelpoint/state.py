"""The state of one ingress: plain records that the parts of the decision module read and write."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from fennelpoint.interface import BackendEntry, BackendState, Request

SLOWNESS_CAP, FAILS_CAP, REST_CAP_S = 10.0, 60, 5.0    # on the handed-over health of a backend

@dataclass(slots=True, eq=False)
class ConcurrencyLimiter:
    """Adaptive limit on the attempts in flight to the backends of a cell; one for all without cells."""

    cut_at: float           # when the window was last cut
    rest_until: float       # nothing is sent before
    members: frozenset | None = None  # keys of the cell's backends; None: all
    spill_to: str = ""      # the cell that serves its requests while this one is lost, if it has room
    spill_share: float = 0.0  # of that cell's window
    window: float = 0.0     # most attempts in flight from this ingress
    pressure: float = 0.0   # average part of the aim lost to queueing
    evidence: int = 0       # responses since the last cut
    stuck: int = 0          # attempts in flight beyond their aim
    in_flight: int = 0      # attempts in flight
    spilled_in: int = 0     # of these, of other, lost cells
    ready: list[Backend] | None = None  # its ready backends; None: not computed

    def live_in_flight(self) -> int:
        """Attempts in flight without stuck ones: what a silent backend holds delays no other request."""
        return self.in_flight - min(self.stuck, self.in_flight // 2)


@dataclass(slots=True, eq=False)
class Backend:
    entry: BackendEntry
    rank: float             # random sort key: each ingress has its own order of backends
    slow_at: float          # when `slow` was last updated
    in_flight: dict[int, tuple[float, float, float, PendingRequest]] = field(default_factory=dict)
    # attempts in flight, by request id: work, time sent, aim, request
    streams:   dict[int, PendingRequest] = field(default_factory=dict)  # responses under way, by request id
    load: float = 0.0       # sum of the work in flight
    slow: float = 1.0       # latency over the class's typical one; failures raise it
    reported: float = 0.0   # requests it holds, by its last report
    reported_at: float = -1e9
    fails: int = 0          # failed attempts in a row
    failed_at: float = -1e9  # when the last one ended; attempts sent before it don't count again
    rest_until: float = 0.0  # nothing is sent before

    @property
    def is_usable(self) -> bool:
        return self.entry.state is BackendState.READY

    def restore_health(self, record: list[float] | None, now: float) -> None:
        """Take over the previous process's record, unless the backend has restarted since."""
        if record is not None and record[0] == self.entry.started_at:
            slow, slow_at, fails, failed_at, rest_until = record[1:]
            self.slow, self.slow_at = min(SLOWNESS_CAP, max(1 / SLOWNESS_CAP, slow)), min(now, slow_at)
            self.fails, self.failed_at = int(min(FAILS_CAP, max(0, fails))), min(now, failed_at)
            self.rest_until = min(now + REST_CAP_S, rest_until)


@dataclass(slots=True, eq=False)
class Customer:
    key: int
    plan: int
    width: float                # ingresses that its requests come through
    share: float                # of the quota, for this ingress
    level: float                # units in the bucket
    store: float                # units in the bucket of all ingresses together, by the counter
    filled_at: float            # when the buckets were last refilled
    total_at: float             # when the last total arrived
    count_at: float             # when the counter may be called next
    seen_at: float = 0.0
    total: float | None = None  # the counter's last total
    asks: bool = False          # whether each of its requests asks the counter
    left: float = inf           # units in its shared store (`shared_counter.py`) after the last reply
    left_at: float = 0.0        # when that was
    odds: float = 1.0           # that a request finds room there
    untold: float = 0.0         # taken from it and not reported to the counter
    untold_at: float = 0.0      # when it last was
    held: bool = False          # whether counter replies enforce its ceiling
    fails: int = 0              # lost counter calls in a row
    fresh: float = 0.0          # taken from the quota since the last call
    taken: float = 0.0          # taken since the last total
    granted: float = 0.0        # units in the bucket at the last total
    refused: float = 0.0        # demand refused since the last call
    reporting_refused: float | None = None  # refused units in the call in flight, if any
    report_refused_at: float = 0.0  # when they may be reported next
    refused_total: float | None = None  # all ingresses' total of them
    short_at: float = -1e9      # when units were last missing
    top: float = 0.0            # greatest worth requested lately
    top_at: float = -1e9        # when that was
    ours: float = 0.0           # demand here, decaying
    alls: float = 0.0           # demand at all ingresses, decaying
    reporting: float | None = None  # units in the call in flight, if any
    spans: float = 0.0          # seconds over which `ours` and `alls` accrued, decaying
    ceiling: float = 0.0        # units in the bucket of the local part of the ceiling
    open: int = 0               # attempts in flight or streaming
    queued: dict[float, float] = field(default_factory=dict)  # waiting, by worth; no zeros
    sent_units: float = 0.0     # this period
    rate: float = 0.0           # average units per second sent
    ratio: float = 0.0          # average latency over aim
    ratios: list[float] = field(default_factory=list)  # latencies over aim this period
    worth: float = 0.0
    cap: float | None = None    # units per second while it is capped
    cap_level: float = 0.0

    def ahead(self, worth: float) -> float:
        """Units waiting that are sent before a new request of this worth."""
        return sum(units for other, units in self.queued.items() if other >= worth)


@dataclass(slots=True, eq=False)
class PendingRequest:
    request: Request
    customer: Customer
    aim_at: float                   # when its latency aim ends
    ends_at: float                  # when a response is too late
    worth: float
    limiter: ConcurrencyLimiter
    half_time_at: float = inf       # half of its time is up
    attempts: int = 0
    reached: bool = False           # an attempt reached a backend
    charged: bool = False           # its units were taken from the quota
    within_quota: bool | None = None  # by the reply to its own counter call
    is_counted: bool = False        # the counter has counted its units
    counted_until: float = 0.0      # how long that covers its part of the ceiling
    ceiling_units: float = 0.0      # taken from the local ceiling until a backend has it
    ran_at: float | None = None     # send time of the first attempt that may have run
    ran_on: BackendEntry | None = None
    body_released: bool = False     # its body is not buffered any more: no retry
    arrived_at: float = 0.0         # when its last byte arrived, or is expected
    not_before: float = 0.0
    wait_until: float = 0.0         # when it is ended if it still waits
    probed: list[Backend] | None = None  # backends probed for it
    cold_draw_at: float = 0.0       # when it may be sent to a cold backend
    is_spilling: bool = False       # it goes to another cell, as its own is lost
    previous_backend: object = None  # the one of the last attempt


@dataclass(slots=True, eq=False)
class Cut:
    """A decision to cut: rate that each step takes off each customer, and the conditions at the time."""

    takes: list[tuple[Customer, float]]
    worst: float
    rates: dict[int, float]
    lucky: set[int]
    predicted: float
    steps: int = 0


@dataclass(slots=True)
class StoreCall:
    """A call in flight about a customer's store; without a request it only reports use."""

    customer: Customer
    start: float            # of the epoch
    at: float = 0.0         # time of the call
    req: PendingRequest | None = None  # the request that waits for it
    own: float = 0.0        # of the amount, that request's units
    fix: float = 0.0        # of the amount, the correction of the store
    use: float = 0.0        # of the amount, earlier use: reported again if the call fails
    last: bool = False      # about the previous epoch
