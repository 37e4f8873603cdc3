"""Flow control of large bodies: the process's byte budget, high-water marks and minimum transfer rates.

Pure: byte counts and times in, limits and decisions out.  The sockets in `net/` apply them.  Whether an attempt may
be retried is decided by the decision module, which learns of it from the `BodyReleased` and `BodyReceived` events.
"""

from __future__ import annotations

from dataclasses import dataclass, field

KIB = 1024
MAX_BUFFERED_BYTES = 64 * KIB   # of a response that is buffered whole, so that its request can still be retried
COMMIT_BYTES = 16 * KIB     # buffered of a larger response before any is sent on: malformed ones show by then
MAX_BODY_BYTES = 40 * KIB * KIB     # of one request or response body
BASE_MEMORY_MB, BODY_MEMORY_FRACTION = 28, 0.6  # of the process without bodies; of the rest, what bodies may use
MIN_BUDGET_BYTES = 4 * KIB * KIB
MIN_HIGH_WATER_BYTES, MAX_HIGH_WATER_BYTES = 16 * KIB, 128 * KIB
MIN_UPLOAD_BUFFER_BYTES, MAX_UPLOAD_BUFFER_BYTES = 16 * KIB, 256 * KIB
READ_BYTES = 64 * KIB       # read from a socket at a time
PRESSURE_FRACTION = 0.5     # of the budget; above it, high-water marks and reads have their minimum size
PACE_GRACE_S, MIN_BYTES_PER_S = 2.0, 32_000.0   # a sender has this time, and then this rate, for its body
BODY_STALL_TIMEOUT_S = 10.0     # without a byte, after which a streamed body counts as broken off


def budget_of(memory_mb: float) -> int:
    """Return the bytes that bodies may use in a process with this memory limit."""
    return max(MIN_BUDGET_BYTES, int((memory_mb - BASE_MEMORY_MB) * BODY_MEMORY_FRACTION * KIB * KIB))


class Budget:
    """The bytes that bodies use in this process, and the limits for each of them that follow."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes, self.used_bytes, self.streams = max_bytes, 0, 0

    @property
    def is_under_pressure(self) -> bool:
        return self.used_bytes > PRESSURE_FRACTION * self.max_bytes

    @property
    def high_water_bytes(self) -> int:
        """Unsent bytes of one response at which reading from its backend pauses, until half of them are sent."""
        if self.is_under_pressure:
            return MIN_HIGH_WATER_BYTES
        return max(MIN_HIGH_WATER_BYTES, min(MAX_HIGH_WATER_BYTES, self.max_bytes // 2 // max(1, self.streams)))

    @property
    def upload_buffer_bytes(self) -> int:
        """Bytes of a request body that are buffered before the request is sent to a backend."""
        return MIN_UPLOAD_BUFFER_BYTES if self.is_under_pressure else MAX_UPLOAD_BUFFER_BYTES

    @property
    def read_bytes(self) -> int:
        return MIN_HIGH_WATER_BYTES if self.is_under_pressure else READ_BYTES


@dataclass(slots=True)
class Account:
    """One body's use of the budget; `close` returns it and may be called repeatedly."""

    budget: Budget
    used_bytes: int = 0
    is_streaming: bool = False

    def set_used(self, amount: int) -> None:
        """Set the bytes that the body uses now."""
        self.budget.used_bytes += amount - self.used_bytes
        self.used_bytes = amount

    def start_stream(self) -> None:
        """Count the body as one that is forwarded while it arrives."""
        if not self.is_streaming:
            self.is_streaming = True
            self.budget.streams += 1

    def close(self) -> None:
        self.set_used(0)
        if self.is_streaming:
            self.is_streaming = False
            self.budget.streams -= 1


@dataclass(slots=True)
class Pace:
    """Checks that a body arrives fast enough; time in which this side does not read does not count."""

    started_at: float
    received_bytes: int = 0
    paused_s: float = 0.0   # in which reading was paused
    paused_at: float | None = None

    def pause(self, now: float) -> None:
        if self.paused_at is None:
            self.paused_at = now

    def resume(self, now: float) -> None:
        if self.paused_at is not None:
            self.paused_s += now - self.paused_at
            self.paused_at = None

    def is_too_slow(self, now: float) -> bool:
        return self.paused_at is None and now - self.started_at - self.paused_s > (
            PACE_GRACE_S + self.received_bytes / MIN_BYTES_PER_S)

    def expected_s(self, now: float, missing_bytes: int | None) -> float:
        """Return the seconds in which the rest should arrive at the rate so far; 0 if its length is unknown."""
        if missing_bytes is None or missing_bytes <= 0:
            return 0.0
        elapsed_s = max(1e-3, now - self.started_at - self.paused_s)
        return min(missing_bytes / max(self.received_bytes / elapsed_s, MIN_BYTES_PER_S),
                   PACE_GRACE_S + missing_bytes / MIN_BYTES_PER_S)


@dataclass(slots=True)
class Upload:
    """A request body that is forwarded while it arrives, with the bytes that are still to be written.

    `content_length` is the declared length; None for chunked transfer coding.
    """

    content_length: int | None
    received_bytes: int = 0     # from the client
    is_complete: bool = False   # the last byte has arrived
    is_sent: bool = False       # the last byte was handed out for writing
    is_consumed: bool = False   # some bytes were handed out and are not kept, so the body cannot be sent again
    is_discarded: bool = False  # the request has been answered: the rest is read and dropped
    pending: list[bytes] = field(default_factory=list)  # to be written, in order
    pending_bytes: int = 0

    @property
    def missing_bytes(self) -> int | None:
        return None if self.content_length is None else self.content_length - self.received_bytes

    def add(self, data: bytes) -> None:
        self.received_bytes += len(data)
        if not self.is_discarded:
            self.pending_bytes += len(data)
            self.pending.append(data)

    def discard(self) -> None:
        """Drop the pending bytes and all that arrive later."""
        self.is_discarded, self.pending, self.pending_bytes = True, [], 0

    def take_pending(self) -> bytes:
        """Remove and return the pending bytes, framed for the backend; empty if there are none."""
        data, self.pending, self.pending_bytes = b"".join(self.pending), [], 0
        self.is_consumed, self.is_sent = True, self.is_complete
        if self.content_length is not None:
            return data
        framed = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return framed + b"0\r\n\r\n" if self.is_complete else framed

    @property
    def has_pending(self) -> bool:
        """Whether there is something to write: bytes, or the end of the body."""
        return bool(self.pending) or self.is_complete and not self.is_sent
