"""The codec against hand-written bytes, and the process against invalid input."""

import struct
import subprocess
import sys

import pytest

from fennelpoint import adapter
from fennelpoint import interface as api
from fennelpoint.settings import from_lines

ENV = """balancers=2
bounds.max_attempts=4
bounds.retry_after=true
contracts.count=1
contracts.0.name=plan
contracts.0.pays=1.5
contracts.0.quota_rate=4.0
contracts.0.store_size=8.0
extra.has_counter=false
extra.units_top=2
grades.count=1
grades.0.aim_s=1.0
grades.0.give_up_s=4.0
grades.0.name=read
grades.0.repeat=pure
grades.0.worth=2.0
me=1
rules.answer_slack_s=0.016
rules.cold_share=0.2
rules.drain_grace_s=1.0
rules.fall_s=2.0
rules.ramp_time_s=10.0
rules.tip_multiple=2.0
something.new=ignored
tick_s=0.004
zone=0
"""
BACKEND = bytes.fromhex("0a124a072bc3")


def batch(*records: bytes, now: float = 8.413) -> bytes:
    body = b"".join(records)
    return struct.pack(">IdI", len(body), now, len(records)) + body


def record(code: int, fields: bytes, instance: int = 3) -> bytes:
    return struct.pack(">BII", code, 4 + len(fields), instance) + fields


def spawn(env: str = ENV, instance: int = 3) -> bytes:
    data = env.encode()
    return record(30, struct.pack(">QI", 5, len(data)) + data, instance)


def request(cls: int = 0, plan: int = 0, left: float = 2.0, units: float = 1.0) -> bytes:
    return record(80, struct.pack(">IBIQdfffB", 7, cls, plan, 9, left, units, 2.0, 0.0, 0))


def outcome(latency: float = 0.1, report: tuple[float, ...] = ()) -> bytes:
    return record(100, struct.pack(">IB6sdHHHHB", 7, 1, BACKEND, latency, 100, 0, 0, 0, len(report))
                  + struct.pack(f">{len(report)}f", *report))


def roster(instance: int = 3) -> bytes:
    entry = struct.pack(">HdBH", 0, 0.0, 0, 0) + BACKEND + struct.pack(">Bf", 1, 1.0)
    return record(50, struct.pack(">BQI", 2, 41, 1) + entry, instance)


def run(data: bytes) -> subprocess.CompletedProcess:
    return subprocess.run([sys.executable, "-m", "fennelpoint.adapter"], input=data, capture_output=True)


def raw_request(instance: int = 3) -> bytes:
    return bytes.fromhex("500000002a") + struct.pack(">I", instance) + bytes.fromhex(
        "5d3a91c4 00 00000000 0000000055d20a64 4010000000000000 3f800000 40000000 3f800000 02")


def event(data: bytes) -> api.Event:
    code, _ = adapter.RECORD_HEADER.unpack_from(data)
    reader = adapter.Reader(data[adapter.RECORD_HEADER.size + 4:], "here")
    decoded = adapter.EVENTS[code](reader)
    reader.finish()
    return decoded


@pytest.mark.parametrize("text, expected", [
    ("50 0000002a 00000003 5d3a91c4 00 00000000 91f03b7c55d20a64 3fceb851eb851eb8 40000000 40400000 3f800000"
     "02",
     api.Request(0x5D3A91C4, 0, 0, 0x91F03B7C55D20A64, 0.24, 2.0, 3.0, 1.0, is_repeat=True)),
    ("64 00000020 00000003 5d3a91c4 01 0a124a07 2bc3 3f92f1a9fbe76c8b 0064 0000 0056 0003 00",
     api.Outcome(0x5D3A91C4, 0, BACKEND, api.Status.OK, 0.0185, True, 0x56, 3, [])),
    ("28 0000001d 00000003 0a124a07 2bc3 0130 3f56f0068db8bac7 02 4040000040e00000",
     api.ProbeResult(BACKEND, api.Status.CONNECT_FAILED, 0.0014, [3.0, 7.0])),
    ("3c 00000018 00000003 5d3a91c4 0002 0a124a07 2bc3 3f82f1a9fbe76c8b",
     api.StreamStarted(0x5D3A91C4, 2, BACKEND, 0.00925)),
    ("14 00000008 00000005 0e6f2b19", api.ClientGone(0x0E6F2B19)),
    ("6e 00000008 00000003 0000004d", api.TimerDue(77)),
    ("0a 0000000c 00000003 0002 0004 68692037", api.PeerMessage(2, b"hi 7")),
    ("5a 0000001a 00000003 000000000089f690 0064 42180000 3f619ce075f6fd22",
     api.CounterReply(9041552, api.Status.OK, 38.0, 0.00215)),
    ("32 00000029 00000003 00 0000000000000029 00000001 0001 4018666666666666 01 0007 0a124a07 2bc3 03"
     "3fc00000",
     api.Roster(api.RosterKind.CHANGES, 41,
                [api.BackendEntry(BACKEND, api.BackendState.DRAINING, 6.1, 1, 7, 1, 1.5)])),
])
def test_events_are_decoded(text, expected):
    decoded = event(bytes.fromhex(text))
    if hasattr(decoded, "latency"):
        assert decoded.latency == pytest.approx(expected.latency, rel=0.01)
        decoded.latency = expected.latency
    if hasattr(decoded, "time_left"):
        assert decoded.time_left == pytest.approx(expected.time_left, rel=0.01)
        decoded.time_left = expected.time_left
    assert decoded == expected


@pytest.mark.parametrize("action, text", [
    (api.Send(0x5D3A91C4, BACKEND, 0.08), "0a 00000016 00000003 5d3a91c4 0a124a07 2bc3 3fb47ae147ae147b"),
    (api.Refuse(0x0E6F2B19, 0.3125), "14 00000010 00000003 0e6f2b19 3fd4000000000000"),
    (api.Fail(0x0E6F2B19), "1e 00000008 00000003 0e6f2b19"),
    (api.CancelAttempt(0x5D3A91C4, 1), "28 0000000a 00000003 5d3a91c4 0001"),
    (api.SetTimer(0.5, 77), "32 00000010 00000003 3fe0000000000000 0000004d"),
    (api.Probe(BACKEND), "3c 0000000a 00000003 0a124a07 2bc3"),
    (api.CloseIdle(BACKEND), "46 0000000a 00000003 0a124a07 2bc3"),
    (api.Tell(b"hi 7"), "50 0000000e 00000003 ffffffff 0004 68692037"),
    (api.Log("two servers known"), "5a 00000017 00000003 0011 74776f2073657276657273206b6e6f776e"),
    (api.Subscribe(), "6e 00000005 00000003 01"),
    (api.FetchRoster(), "78 00000004 00000003"),
    (api.Count(9041552, 4.0, 3.0), "82 00000018 00000003 000000000089f690 40800000 4008000000000000"),
])
def test_actions_are_encoded(action, text):
    assert adapter.encode(3, *adapter.ACTIONS[type(action)](action)) == bytes.fromhex(text)


def test_settings_ignore_unknown_keys_and_leave_absent_ones_empty():
    settings = from_lines(ENV)
    assert (settings.me, settings.ingresses, settings.has_counter, settings.may_probe) == (1, 2, False, False)
    assert settings.classes[0].aim_stretch == 0.0 and settings.plans[0].ceiling_rate == 0.0
    assert from_lines(ENV + "grades.0.aim_stretch=1.5\n").classes[0].aim_stretch == 1.5


def test_process_forwards_a_request_and_ends_with_its_input():
    done = run(batch() + batch(spawn(), roster()) + batch(raw_request()))
    assert done.returncode == 0 and done.stderr == b""
    assert done.stdout.startswith(bytes(8))
    assert b"\x0a\x00\x00\x00\x16\x00\x00\x00\x03\x5d\x3a\x91\xc4" + BACKEND in done.stdout


def test_stop_and_start_in_one_batch_create_a_new_instance():
    host = adapter.Host()
    host.batch(*take(batch(spawn(), roster())), 0)
    first = host.instances[3]
    host.batch(*take(batch(record(70, b""), spawn())), 1)
    assert host.instances[3] is not first and not host.instances[3].fleet.backends


def test_event_for_a_stopped_instance_is_ignored():
    host = adapter.Host()
    assert host.batch(*take(batch(record(20, struct.pack(">I", 9)))), 0) == bytes(8)


def take(frame: bytes) -> tuple[bytes, int, float]:
    _, now, count = adapter.BATCH_HEADER.unpack_from(frame)
    return frame[adapter.BATCH_HEADER.size:], count, now


def test_frames_are_reassembled_from_partial_reads():
    class SlowStream:
        def __init__(self, data):
            self.data = data

        def read(self, size):
            part, self.data = self.data[:min(3, size)], self.data[min(3, size):]
            return part

    assert adapter.read_exactly(SlowStream(b"0123456789"), 8) == b"01234567"


@pytest.mark.parametrize("data, says", [
    (batch(spawn())[:-5], "batch 0: the input ends after"),
    (batch()[:7], "batch 0: the input ends inside its header"),
    (batch() + batch(record(99, b"")), "batch 1, record 0: unknown event code 99"),
    (struct.pack(">IdIBI", 5, 0.0, 1, 20, 400), "record 0: length 400 passes the end of the batch"),
    (batch(record(20, b"\0\0")), "record 0: fields need 8 bytes"),
    (batch(record(20, bytes(9))), "record 0: fields end at"),
    (struct.pack(">IdI", 3, 0.0, 0) + b"abc", "batch 0: 3 bytes after its last record"),
    (batch(spawn(ENV.replace("me=1\n", ""))), "record 0: setting me is missing"),
    (batch(spawn(ENV.replace("aim_s=1.0", "aim_s=soon"))), "setting grades.0.aim_s: could not convert"),
    (batch(record(100, bytes(27) + struct.pack(">HHHB", 0, 0, 0, 0))), "unknown status 0"),
    (batch(spawn(), roster(), request(cls=1)), "record 2: class 1 is not among the 1 of the settings"),
    (batch(spawn(), roster(), request(plan=4)), "record 2: plan 4 is not among the 1 of the settings"),
    (batch(spawn(), request(left=float("nan"))), "record 1: time left nan is not a finite number"),
    (batch(spawn(), request(units=-1.0)), "record 1: units -1.0 is not a finite number"),
    (batch(spawn(), outcome(latency=-0.5)), "record 1: latency -0.5 is not a finite number"),
    (batch(spawn(), outcome(report=(float("inf"),))), "record 1: a load report of [inf] is not finite"),
    (batch(spawn(), record(90, struct.pack(">QHfd", 9, 100, float("nan"), 0.1))), "total nan is not finite"),
    (batch(spawn(ENV.replace("aim_s=1.0", "aim_s=9.0"))), "record 0: classes[0].aim: 9.0 is not between 0"),
    (batch(spawn(ENV.replace("quota_rate=4.0", "quota_rate=-4.0"))), "plans[0].rate: -4.0 is not a finite"),
    (batch(spawn(ENV.replace("grades.count=1", "grades.count=0"))), "classes: at least one is required"),
])
def test_invalid_input_ends_the_process_with_a_one_line_message(data, says):
    done = run(data)
    lines = done.stderr.decode().splitlines()
    assert done.returncode == 1 and len(lines) == 1 and says in lines[0]
    assert "Traceback" not in lines[0]


def test_exception_in_the_decision_module_is_reported(monkeypatch):
    host = adapter.Host()
    host.batch(*take(batch(spawn())), 0)

    def broken(event, now):
        raise KeyError("lost")

    monkeypatch.setattr(host.instances[3], "handle", broken)
    reply = host.batch(*take(batch(record(20, struct.pack(">I", 9)))), 1)
    assert reply[8] == 100 and b"KeyError: 'lost'" in reply
