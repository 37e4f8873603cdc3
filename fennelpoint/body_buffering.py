"""What large bodies may take: one byte budget, marks for back-pressure, the pace that a peer has to keep.

Pure: figures and times in, figures and verdicts out.  Sockets carry them out (`net/`); whether a try may be
repeated is the decision module's, told by `Spent` and `Arrived`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

KIB = 1024
WHOLE = 64 * KIB            # bytes of an answer that is passed on whole, and may be tried again until then
COMMIT = 16 * KIB           # bytes of a larger one before the first of them go out: spoilt ones show by then
MOST = 40 * KIB * KIB       # bytes of one body, either way
BASE_MB, SHARE = 28, 0.6    # the process without bodies; of the rest, what bodies may take
LEAST_BUDGET = 4 * KIB * KIB
LEAST_MARK, MOST_MARK = 16 * KIB, 128 * KIB
LEAST_HELD, MOST_HELD = 16 * KIB, 256 * KIB
READ = 64 * KIB             # bytes taken from a socket at a time
PRESSED = 0.5               # of the budget, over which marks and reads are the least ones
GRACE, RATE = 2.0, 32_000.0     # s, and bytes a second after it, that a sender has for its body
STOPPED = 10.0              # s without a byte after which a flow has ended without its end


def budget_of(memory_mb: float) -> int:
    """Bytes for bodies, by the process's limit."""
    return max(LEAST_BUDGET, int((memory_mb - BASE_MB) * SHARE * KIB * KIB))


class Budget:
    """The bytes that bodies hold in this process, and what one more may take."""

    def __init__(self, most: int) -> None:
        self.most, self.used, self.flows = most, 0, 0

    @property
    def pressed(self) -> bool:
        return self.used > PRESSED * self.most

    @property
    def mark(self) -> int:
        """Unread bytes of one answer at which its backend is read no further; half of it to go on."""
        if self.pressed:
            return LEAST_MARK
        return max(LEAST_MARK, min(MOST_MARK, self.most // 2 // max(1, self.flows)))

    @property
    def held(self) -> int:
        """Bytes of a request's body that are waited for before it is tried."""
        return LEAST_HELD if self.pressed else MOST_HELD

    @property
    def read(self) -> int:
        return LEAST_MARK if self.pressed else READ


@dataclass(slots=True)
class Account:
    """What one body holds of the budget; given back by `close`, however often that is called."""

    budget: Budget
    bytes: int = 0
    flowing: bool = False

    def hold(self, amount: int) -> None:
        self.budget.used += amount - self.bytes
        self.bytes = amount

    def flow(self) -> None:
        """From now on it is passed on as it comes."""
        if not self.flowing:
            self.flowing = True
            self.budget.flows += 1

    def close(self) -> None:
        self.hold(0)
        if self.flowing:
            self.flowing = False
            self.budget.flows -= 1


@dataclass(slots=True)
class Pace:
    """Whether a body comes fast enough, counted only while we are ready to read it."""

    since: float
    got: int = 0
    waited: float = 0.0     # s that we did not read
    paused_at: float | None = None

    def pause(self, now: float) -> None:
        if self.paused_at is None:
            self.paused_at = now

    def resume(self, now: float) -> None:
        if self.paused_at is not None:
            self.waited += now - self.paused_at
            self.paused_at = None

    def late(self, now: float) -> bool:
        return self.paused_at is None and now - self.since - self.waited > GRACE + self.got / RATE

    def expected(self, now: float, missing: int | None) -> float:
        """Seconds in which the rest should have come, by what has."""
        if missing is None or missing <= 0:
            return 0.0
        span = max(1e-3, now - self.since - self.waited)
        return min(missing / max(self.got / span, RATE), GRACE + missing / RATE)


@dataclass(slots=True)
class Upload:
    """A request's body that is passed on as it comes: what waits to be written, and what was given up.

    `length` is the told one; none: chunked.
    """

    length: int | None
    got: int = 0            # bytes that came from the client
    whole: bool = False     # its last byte came
    ended: bool = False     # its last byte was handed out
    spent: bool = False     # some of it was written and is held no more: it can't be sent again
    dropped: bool = False   # its request has its answer: the rest is read and held no more
    parts: list[bytes] = field(default_factory=list)    # to be written, in order
    held: int = 0           # bytes of these

    @property
    def missing(self) -> int | None:
        return None if self.length is None else self.length - self.got

    def add(self, data: bytes) -> None:
        self.got += len(data)
        if not self.dropped:
            self.held += len(data)
            self.parts.append(data)

    def drop(self) -> None:
        self.dropped, self.parts, self.held = True, [], 0

    def take(self) -> bytes:
        """What is to be written next, framed; empty where nothing waits.  It is held no more."""
        data, self.parts, self.held = b"".join(self.parts), [], 0
        self.spent, self.ended = True, self.whole
        if self.length is not None:
            return data
        framed = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return framed + b"0\r\n\r\n" if self.whole else framed

    @property
    def waits(self) -> bool:
        """Whether there is something to be written."""
        return bool(self.parts) or self.whole and not self.ended
