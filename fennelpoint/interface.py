"""Types of the decision module's interface: settings, events and actions.

A host creates a `fennelpoint.control.Controller` from `Settings`, passes it each event with the time of the event,
and carries out the returned actions in order.  Times are in seconds; ids are opaque and only compared.  A setting
of zero or an empty one means that the site does not have the feature.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum
from math import inf


class Effect(Enum):
    """Whether a request of this class may run more than once; `KEYED`: backends drop repeats by a key."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The backends among which repeats of a keyed request are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    ELSEWHERE = "elsewhere"     # another backend answered at its address and did not run the request

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the request did not run."""
        return self in (Status.FULL, Status.CONNECT_FAILED, Status.MOOT, Status.ELSEWHERE)


class BackendState(Enum):
    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class RosterKind(Enum):
    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True)
class RequestClass:
    name: str
    aim: float
    deadline: float
    worth: float
    effect: Effect
    group: Group = Group.ALL
    window: float = 0.0
    late_worth: float = 0.0
    aim_stretch: float = 0.0
    streamed: bool = False


@dataclass(slots=True)
class Plan:
    """Quota of each customer of the plan, over all ingresses together; a rate of 0 means no quota."""

    name: str
    price: float
    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(slots=True)
class Settings:
    me: int
    ingresses: int
    zone: int
    classes: list[RequestClass]
    plans: list[Plan]
    max_attempts: int
    drain_grace: float
    cold_share: float
    ramp_time: float
    tip_multiple: float
    fall_span: float
    answer_slack: float
    tick: float
    report_fields: list[str] = field(default_factory=list)
    report_via: str = "none"
    discovery: str = "push"
    ask_every: float = 0.0
    weights: str = "none"
    has_counter: bool = False
    counter_timeout: float = 0.0
    counter_fee: float = 0.0
    meter_period: float = 0.0
    trued_up: bool = False
    most_units: float = 0.0
    may_probe: bool = False
    probe_price: float = 0.0    # cost to the site's result of one probe per request
    may_message: bool = False
    may_cancel: bool = False
    may_copy: bool = False
    may_advise: bool = False
    max_advice: float = 0.0
    connect_timeout: float = 0.0
    idle_close: float = 0.0     # seconds after which a backend closes an idle connection
    zones: list[str] = field(default_factory=list)  # names; elsewhere a zone or kind is an index into these
    kinds: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Reject invalid settings; the ValueError names the field."""
        if not self.classes:
            raise ValueError("classes: at least one is required")
        if not self.plans:
            raise ValueError("plans: at least one is required")
        for name in ("ingresses", "max_attempts"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: {getattr(self, name)} is less than 1")
        sections = [("", self), *((f"classes[{i}].", c) for i, c in enumerate(self.classes)),
                 *((f"plans[{i}].", p) for i, p in enumerate(self.plans))]
        for prefix, section in sections:
            for item in fields(section):
                value = getattr(section, item.name)
                if isinstance(value, int | float) and not 0.0 <= value < inf:
                    raise ValueError(f"{prefix}{item.name}: {value} is not a finite number of 0 or more")
        for i, c in enumerate(self.classes):
            if not 0.0 < c.aim <= c.deadline:
                raise ValueError(f"classes[{i}].aim: {c.aim} is not between 0 and the deadline {c.deadline}")


@dataclass(slots=True)
class BackendEntry:
    backend: object
    state: BackendState
    started_at: float = 0.0
    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0


# Events


@dataclass(slots=True)
class Roster:
    kind: RosterKind
    version: int
    entries: list[BackendEntry]


@dataclass(slots=True)
class Request:
    request: int
    cls: int
    plan: int
    customer: int
    time_left: float
    units: float
    width: float
    first: float
    is_repeat: bool = False
    is_write: bool = False
    coming: float = 0.0     # seconds until its last byte is expected; its times count from then
    cell: str = ""          # the cell whose backends may serve it; empty: all
    attempts: int = 0       # most attempts; 0: as in the settings


@dataclass(slots=True)
class BodyReceived:
    """The last byte of a request has arrived that was admitted during its upload."""

    request: int


@dataclass(slots=True)
class BodyReleased:
    """A part of the request's body is no longer buffered: it can't be retried, whatever the outcome."""

    request: int


@dataclass(slots=True)
class Cell:
    """A subset of the backends, and the cell that its requests may use while none of them is left."""

    members: frozenset
    spill_to: str = ""
    spill_share: float = 0.0    # of that cell's window of attempts


@dataclass(slots=True)
class Cells:
    """All cells by name, and the cells of customers that were moved; their waiting requests move too."""

    cells: dict[str, Cell]
    moved: dict[int, str] = field(default_factory=dict)


@dataclass(slots=True)
class ProcessCount:
    """How many processes share this ingress; each has an equal part of what an ingress may take."""

    parts: int


@dataclass(slots=True)
class Barred:
    """Whether sending is barred: waiting and new requests are refused at once."""

    barred: bool


@dataclass(slots=True)
class PlansChanged:
    """New values of the plans, in the same order and with the same names.

    `stamp` identifies this version of the plans and separates its stores on the counter.  `mixed`: other ingresses
    may still use another version, so that counter replies are ignored.
    """

    plans: list[Plan]
    stamp: int = 0
    mixed: bool = False


@dataclass(slots=True)
class PredecessorState:
    """State handed over by the previous process of this ingress (`handover.py`)."""

    state: dict


@dataclass(slots=True)
class Outcome:
    request: int
    attempt: int
    backend: object
    status: Status
    latency: float
    ended: bool
    metered: int = 0
    true_units: float = 0.0
    report: list[float] = field(default_factory=list)
    wrote: bool = False     # partly written: a backend may count it as received, whatever the status proves


@dataclass(slots=True)
class StreamStarted:
    """The client has begun to receive this attempt's response; a later `Outcome` tells how it ends."""

    request: int
    attempt: int
    backend: object
    latency: float


@dataclass(slots=True)
class ClientGone:
    request: int


@dataclass(slots=True)
class TimerDue:
    token: int


@dataclass(slots=True)
class ProbeResult:
    backend: object
    status: Status
    latency: float
    report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class PeerMessage:
    sender: int
    body: bytes


@dataclass(slots=True)
class CounterReply:
    name: int
    status: Status
    total: float
    latency: float


Event = (Roster | Request | BodyReceived | BodyReleased | Cells | Barred | PlansChanged | ProcessCount
         | PredecessorState | Outcome | StreamStarted | ClientGone | TimerDue | ProbeResult | PeerMessage
         | CounterReply)


# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt; with a time-out of 0 it may last until the client stops waiting."""

    request: int
    backend: object
    timeout: float = 0.0


@dataclass(slots=True)
class Refuse:
    request: int
    retry_after: float = 0.0
    over: bool = False      # refused for its quota, not for lack of capacity


@dataclass(slots=True)
class Fail:
    request: int


@dataclass(slots=True)
class CancelAttempt:
    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    delay: float
    token: int


@dataclass(slots=True)
class Probe:
    backend: object


@dataclass(slots=True)
class CloseIdle:
    backend: object


@dataclass(slots=True)
class Tell:
    """A message to one peer, or to every peer when `peer` is None."""

    body: bytes
    peer: int | None = None


@dataclass(slots=True)
class Log:
    text: str


@dataclass(slots=True)
class Subscribe:
    on: bool = True


@dataclass(slots=True)
class FetchRoster:
    pass


@dataclass(slots=True)
class Count:
    """Add an amount to a named counter that the ingresses share."""

    name: int
    amount: float
    forget_after: float


Action = (Send | Refuse | Fail | CancelAttempt | SetTimer | Probe | CloseIdle | Tell | Log | Subscribe
          | FetchRoster | Count)
