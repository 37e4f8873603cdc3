"""Wire codec and event loop: `python -m fennelpoint.adapter` runs instances of the decision module.

Reads batches of events from standard input and writes one reply per batch to standard output.  Translates between
the wire format and `fennelpoint.interface`, and makes no decisions.
"""

from __future__ import annotations

import math
import struct
import sys
from collections.abc import Callable
from typing import BinaryIO

from fennelpoint import interface as api
from fennelpoint.control import Controller
from fennelpoint.settings import from_lines

BATCH_HEADER = struct.Struct(">IdI")
REPLY_HEADER = struct.Struct(">II")
RECORD_HEADER = struct.Struct(">BI")
ENTRY = struct.Struct(">HdBH6sBf")
EVERY_PEER = 0xFFFFFFFF

STATUSES = {100: api.Status.OK, 301: api.Status.ERROR, 302: api.Status.FULL, 303: api.Status.TIMEOUT,
            304: api.Status.CONNECT_FAILED, 305: api.Status.RESET, 306: api.Status.CANCELLED,
            307: api.Status.MOOT}
STATES = {0: api.BackendState.GONE, 1: api.BackendState.READY, 3: api.BackendState.DRAINING}
ROSTER_KINDS = {0: api.RosterKind.CHANGES, 1: api.RosterKind.FULL, 2: api.RosterKind.CACHED,
                3: api.RosterKind.FAILED}
FLAG_REPEAT, FLAG_WRITE = 2, 4


class WireError(Exception):
    """The input violates the wire format; the text names the fault and its place."""


# Decoding of events


class Reader:
    """Reads the fields of one record and checks that they fill it exactly."""

    def __init__(self, data: bytes, where: str) -> None:
        self.data, self.where, self.at = data, where, 0

    def take(self, layout: str) -> tuple:
        size = struct.calcsize(">" + layout)
        return struct.unpack(">" + layout, self.raw(size))

    def raw(self, size: int) -> bytes:
        end = self.at + size
        if end > len(self.data):
            raise WireError(f"{self.where}: fields need {end} bytes, the record has {len(self.data)}")
        field = self.data[self.at:end]
        self.at = end
        return field

    def report(self) -> list[float]:
        (count,) = self.take("B")
        values = list(self.take(f"{count}f"))
        if not all(map(math.isfinite, values)):
            raise WireError(f"{self.where}: a load report of {values} is not finite")
        return values

    def lookup(self, table: dict, code: int, what: str):
        if code not in table:
            raise WireError(f"{self.where}: unknown {what} {code}")
        return table[code]

    def amount(self, value: float, what: str) -> float:
        """Return the value if it is finite and not negative; else raise WireError."""
        if not 0.0 <= value < math.inf:
            raise WireError(f"{self.where}: {what} {value} is not a finite number of 0 or more")
        return value

    def finish(self) -> None:
        if self.at != len(self.data):
            raise WireError(f"{self.where}: fields end at {self.at} of {len(self.data)} bytes")


def _roster(r: Reader) -> api.Roster:
    kind, version, count = r.take("BQI")
    entries = []
    for _ in range(count):
        shape, started, zone, cell, backend, state, weight = ENTRY.unpack(r.raw(ENTRY.size))
        entries.append(api.BackendEntry(backend, r.lookup(STATES, state, "backend state"), started, zone,
                                        cell, shape, weight))
    return api.Roster(r.lookup(ROSTER_KINDS, kind, "list form"), version, entries)


def _request(r: Reader) -> api.Request:
    request, cls, plan, customer, left, units, width, first, bits = r.take("IBIQdfffB")
    for value, what in ((left, "time left"), (units, "units"), (width, "spread"), (first, "first ingress")):
        r.amount(value, what)
    return api.Request(request, cls, plan, customer, left, units, width, first,
                       bool(bits & FLAG_REPEAT), bool(bits & FLAG_WRITE))


def _outcome(r: Reader) -> api.Outcome:
    request, ended, backend, latency, code, attempt, used, units = r.take("IB6sdHHHH")
    return api.Outcome(request, attempt, backend, r.lookup(STATUSES, code, "status"),
                       r.amount(latency, "latency"), bool(ended), used, units, r.report())


def _stream_started(r: Reader) -> api.StreamStarted:
    return api.StreamStarted(*r.take("IH6sd"))


def _client_gone(r: Reader) -> api.ClientGone:
    return api.ClientGone(*r.take("I"))


def _timer_due(r: Reader) -> api.TimerDue:
    return api.TimerDue(*r.take("I"))


def _probe_result(r: Reader) -> api.ProbeResult:
    backend, code, latency = r.take("6sHd")
    status = r.lookup(STATUSES, code, "status")
    return api.ProbeResult(backend, status, r.amount(latency, "latency"), r.report())


def _peer_message(r: Reader) -> api.PeerMessage:
    sender, size = r.take("HH")
    return api.PeerMessage(sender, r.raw(size))


def _counter_reply(r: Reader) -> api.CounterReply:
    name, code, total, latency = r.take("QHfd")
    status = r.lookup(STATUSES, code, "status")
    if not math.isfinite(total):
        raise WireError(f"{r.where}: total {total} is not finite")
    return api.CounterReply(name, status, total, r.amount(latency, "latency"))


SPAWN, DETACH = 30, 70
EVENTS = {10: _peer_message, 20: _client_gone, 40: _probe_result, 50: _roster, 60: _stream_started,
          80: _request, 90: _counter_reply, 100: _outcome, 110: _timer_due}


# Encoding of actions


def _text(text: str) -> bytes:
    data = text.encode()[:0xFFFF]
    return struct.pack(">H", len(data)) + data


def _tell(a: api.Tell) -> tuple[int, bytes]:
    peer = EVERY_PEER if a.peer is None else a.peer
    return 80, struct.pack(">IH", peer, len(a.body)) + a.body


ACTIONS: dict[type, Callable[..., tuple[int, bytes]]] = {
    api.Send: lambda a: (10, struct.pack(">I6sd", a.request, a.backend, a.timeout)),
    api.Refuse: lambda a: (20, struct.pack(">Id", a.request, a.retry_after)),
    api.Fail: lambda a: (30, struct.pack(">I", a.request)),
    api.CancelAttempt: lambda a: (40, struct.pack(">IH", a.request, a.attempt)),
    api.SetTimer: lambda a: (50, struct.pack(">dI", a.delay, a.token)),
    api.Probe: lambda a: (60, a.backend),
    api.CloseIdle: lambda a: (70, a.backend),
    api.Tell: _tell,
    api.Log: lambda a: (90, _text(a.text)),
    api.Subscribe: lambda a: (110, struct.pack(">B", a.on)),
    api.FetchRoster: lambda a: (120, b""),
    api.Count: lambda a: (130, struct.pack(">Qfd", a.name, a.amount, a.forget_after)),
}
DIE = 100


def encode(instance: int, code: int, fields: bytes) -> bytes:
    return RECORD_HEADER.pack(code, 4 + len(fields)) + struct.pack(">I", instance) + fields


class Host:
    """The controller instances of this process; they share only the event loop."""

    def __init__(self) -> None:
        self.instances: dict[int, Controller] = {}

    def record(self, code: int, data: bytes, now: float, where: str) -> list[bytes]:
        """Pass one event to its instance; returns the encoded actions."""
        reader = Reader(data, where)
        (instance,) = reader.take("I")
        if code == SPAWN:
            seed, size = reader.take("QI")
            try:
                settings = from_lines(reader.raw(size).decode())
            except ValueError as error:
                raise WireError(f"{where}: {error}") from None
            run = lambda: self.start(instance, settings, seed, now)  # noqa: E731
        elif code == DETACH:
            run = lambda: self.instances.pop(instance, None) and []  # noqa: E731
        elif code in EVENTS:
            event = EVENTS[code](reader)
            if isinstance(event, api.Request):
                self.check(instance, event, where)
            run = lambda: self.handle(instance, event, now)  # noqa: E731
        else:
            raise WireError(f"{where}: unknown event code {code}")
        reader.finish()
        try:
            return [encode(instance, *ACTIONS[type(action)](action)) for action in run() or []]
        except Exception as error:  # a bug in the decision module: report it to the peer
            return [encode(instance, DIE, _text(f"{type(error).__name__}: {error}"))]

    def check(self, instance: int, ask: api.Request, where: str) -> None:
        """Raise WireError for a request whose class or plan is not in the instance's settings."""
        if (controller := self.instances.get(instance)) is None:
            return
        for index, known, what in ((ask.cls, controller.settings.classes, "class"),
                                   (ask.plan, controller.settings.plans, "plan")):
            if index >= len(known):
                raise WireError(f"{where}: {what} {index} is not among the {len(known)} of the settings")

    def start(self, instance: int, settings: api.Settings, seed: int, now: float) -> list[api.Action]:
        self.instances[instance] = Controller(settings, seed, now)
        return self.instances[instance].start(now)

    def handle(self, instance: int, event: api.Event, now: float) -> list[api.Action]:
        controller = self.instances.get(instance)
        return controller.handle(event, now) if controller else []  # a stopped instance ignores events

    def batch(self, body: bytes, count: int, now: float, number: int) -> bytes:
        """Process one batch; returns the encoded reply."""
        out, offset = [], 0
        for index in range(count):
            where = f"batch {number}, record {index}"
            if offset + RECORD_HEADER.size > len(body):
                raise WireError(f"{where}: the batch ends at byte {len(body)}")
            code, size = RECORD_HEADER.unpack_from(body, offset)
            offset += RECORD_HEADER.size
            if offset + size > len(body):
                raise WireError(f"{where}: length {size} passes the end of the batch")
            out += self.record(code, body[offset:offset + size], now, where)
            offset += size
        if offset != len(body):
            raise WireError(f"batch {number}: {len(body) - offset} bytes after its last record")
        reply = b"".join(out)
        return REPLY_HEADER.pack(len(reply), len(out)) + reply


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, in as many reads as needed; fewer only at the end of the stream."""
    chunks, missing = [], size
    while missing and (chunk := stream.read(missing)):
        chunks.append(chunk)
        missing -= len(chunk)
    return b"".join(chunks)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Process batches until the input ends."""
    host, number = Host(), 0
    while header := read_exactly(source, BATCH_HEADER.size):
        if len(header) < BATCH_HEADER.size:
            raise WireError(f"batch {number}: the input ends inside its header")
        size, now, count = BATCH_HEADER.unpack(header)
        body = read_exactly(source, size)
        if len(body) < size:
            raise WireError(f"batch {number}: the input ends after {len(body)} of {size} bytes")
        sink.write(host.batch(body, count, now, number))
        sink.flush()
        number += 1


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"fennelpoint: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
