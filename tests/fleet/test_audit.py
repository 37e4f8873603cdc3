"""The audit trail: recorded versions are those that were acted on, and what is not known is reported as unknown."""

import asyncio
import json
import subprocess
import sys
import time
from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.fleet import audit, store
from fennelpoint.fleet.audit import NO_VERSION, CoordinatorClock, Span, SpanLog, latest_spans, versions_at
from fennelpoint.fleet.disk_ring_buffer import DiskRingBuffer
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.observer import faults
from fennelpoint.testing.process_cluster import Rig, Shape

# Between an ingress's send and the observer's read, on a busy machine that they share: up to 6.5 ms was measured.
MAX_IN_FLIGHT_S = 0.05


def exactly(at: float) -> tuple[float, float]:
    return at, at


def send_interval(client_sent_at: float, arrived_at: float, offset: float) -> tuple[float, float]:
    """When an ingress forwarded a request: after its client sent it, and shortly before it arrived at the node."""
    return max(client_sent_at, arrived_at - MAX_IN_FLIGHT_S) + offset, arrived_at + offset


def test_request_in_flight_during_a_version_switch_may_count_for_either_version():
    log = SpanLog("n0", "a", 0, "z0")
    log.begin_span(1, "why", exactly(10.0))
    log.begin_span(2, "why", exactly(20.0))
    log.update_mark(exactly(30.0))
    spans = list(log.spans.values())

    def possible_versions(client_sent_at: float, arrived_at: float) -> tuple[int, ...]:
        return versions_at(spans, "n0", send_interval(client_sent_at, arrived_at, 0.0)).versions

    assert possible_versions(19.99, 20.01) == (1, 2)
    assert possible_versions(20.001, 20.01) == (2,), "sent after the switch: the previous version is wrong"
    assert possible_versions(19.0, 20.06) == (2,), "in flight for longer than any request can be"


@given(st.lists(st.tuples(st.floats(0.1, 5.0), st.sampled_from([NO_VERSION, 1, 2, 3])), min_size=1, max_size=12),
       st.integers(0, 11), st.floats(0.0, 60.0))
def test_the_answer_contains_the_true_version_or_says_that_it_may_be_incomplete(periods, killed_after, asked_after_s):
    """A process runs and is killed; then another one runs as the only process of the ingress."""
    true_versions, spans, now = [], [], 100.0
    for number, incarnation in enumerate((periods[:killed_after + 1], periods[killed_after + 1:])):
        log = SpanLog("n0", f"life {number}", 0, "z0")
        log.is_alone = True
        for duration_s, version in incarnation:
            log.begin_span(version, "why", exactly(now))
            true_versions.append((now, now + duration_s, version))
            now += duration_s
        log.update_mark(exactly(now - 0.05))      # the last mark is from just before the kill
        spans += log.spans.values()
        true_versions.append((now, now + 3.0, NO_VERSION))
        now += 3.0
    when = 100.0 + asked_after_s
    answer = versions_at(spans, "n0", exactly(when))
    actual = next((version for begin, end, version in true_versions if begin <= when < end), NO_VERSION)
    assert actual in answer.versions or answer.unknown or actual == NO_VERSION
    assert not answer.is_certain or answer.versions == (actual,) or when < 100.0 or actual == NO_VERSION


def test_a_span_without_an_end_is_unknown_after_its_last_mark_until_a_lone_successor_begins():
    log = SpanLog("n0", "a", 0, "z0")
    log.begin_span(1, "in force", exactly(10.0))
    log.update_mark(exactly(20.0))
    first = list(log.spans.values())
    assert versions_at(first, "n0", exactly(15.0)).is_certain
    after_mark = versions_at(first, "n0", exactly(21.0))
    assert after_mark.versions == (1,) and "after 20.000" in after_mark.unknown and not after_mark.is_certain
    successor = SpanLog("n0", "b", 0, "z0")
    successor.is_alone = True
    successor.begin_span(2, "in force", exactly(30.0))
    successor.update_mark(exactly(40.0))
    both = [*first, *successor.spans.values()]
    assert versions_at(both, "n0", exactly(25.0)).unknown and versions_at(both, "n0", exactly(35.0)).is_certain
    concurrent = SpanLog("n0", "c", 0, "z0")
    concurrent.begin_span(2, "a second process", exactly(30.0))
    concurrent.update_mark(exactly(40.0))
    assert versions_at([*first, *concurrent.spans.values()], "n0", exactly(35.0)).versions == (1, 2)
    assert versions_at(first, "n1", exactly(15.0)).unknown


def test_missing_spans_are_reported():
    log = SpanLog("n0", "a", 0, "z0", max_spans=3)
    for second in range(10):
        log.begin_span(second % 3, "why", exactly(float(second)))
    assert len(log.spans) == 3 and "earlier spans" in versions_at(log.spans.values(), "n0", exactly(2.5)).unknown
    incomplete = [s for s in log.spans.values() if s.seq != 9]
    assert "spans 9 to 9" in versions_at(incomplete, "n0", exactly(8.5)).unknown


def test_old_spans_are_summarized_into_the_versions_that_are_possible(tmp_path, monkeypatch):
    monkeypatch.setattr(store, "MAX_SPANS_PER_INGRESS", 20)
    coordinator_store = store.Store(tmp_path, "k0")
    log = SpanLog("n0", "a", 0, "z0")
    for second in range(50):
        log.begin_span(second // 10, "why", exactly(float(second)))
        coordinator_store.add_spans({("n0", "a", s.seq): json.dumps(s.value()) for s in log.undelivered("k0")})
        log.mark_delivered("k0", log.undelivered("k0"))
    spans = [audit.parse_span(json.loads(text)) for text in coordinator_store.spans("n0")]
    summary_rows = coordinator_store.rolled("n0")
    summaries = [audit.SpanSummary(**{**row, "first": tuple(row["first"]), "last": tuple(row["last"])})
                 for row in summary_rows]
    assert len(spans) <= 20 and sum(row.spans for row in summaries) + len(spans) == 50
    assert versions_at(spans, "n0", exactly(48.5)).versions == (4,)
    old = audit.summarized_versions_at(summaries, "n0", exactly(5.5))
    assert old.versions == (0,) and not old.is_certain and "summarized" in old.unknown
    assert audit.summarized_versions_at(summaries, "n0", exactly(48.5)) is None
    assert audit.summarized_versions_at(summaries, "n1", exactly(5.5)) is None
    coordinator_store.close()
    assert store.Store(tmp_path, "k0").rolled() == summary_rows


def test_each_coordinator_is_sent_the_spans_that_it_does_not_have():
    log = SpanLog("n0", "a", 0, "z0")
    log.begin_span(1, "why", exactly(1.0))
    log.mark_delivered("k0", log.undelivered("k0"))
    assert [s.version for s in log.undelivered("k0")] == [1] and [s.version for s in log.undelivered("k1")] == [1]
    log.begin_span(2, "why", exactly(2.0))
    pending = log.undelivered("k0")
    assert [(s.version, s.end) for s in pending] == [(1, (2.0, 2.0)), (2, None)]
    log.mark_delivered("k0", pending)
    assert [s.version for s in log.undelivered("k0")] == [2] and [s.version for s in log.undelivered("k1")] == [1, 2]


@given(st.floats(-100.0, 100.0),
       st.lists(st.tuples(st.floats(0.0, 0.2), st.floats(0.0, 0.2)), min_size=1, max_size=20))
def test_the_time_estimate_always_contains_the_coordinators_clock(offset, delays):
    clock, now = CoordinatorClock(), 1000.0
    for request_s, response_s in delays:
        clock.add_reading(now, now + request_s + offset, now + request_s + response_s)
        now += request_s + response_s + 0.25
    low, high = clock.estimate(now)
    assert low - 1e-6 <= now + offset <= high + 1e-6
    assert high - low <= 2 * min(a + b for a, b in delays[-12:]) + 0.01


def test_contradicting_clocks_widen_the_estimate_and_without_readings_it_is_unbounded():
    clock = CoordinatorClock()
    assert clock.estimate(5.0) == (-inf, inf)
    clock.add_reading(10.0, 110.0, 10.01)
    clock.add_reading(11.0, 116.0, 11.01)
    low, high = clock.estimate(12.0)
    assert low <= 112.0 and high >= 117.0 - 0.02


@pytest.mark.parametrize("value", [None, {}, {"ingress": "n0"}, {"version": "x"}, [1]])
def test_malformed_spans_are_rejected(value):
    with pytest.raises(ValueError, match="malformed audit span"):
        audit.parse_span(value)


def test_a_span_survives_encoding_and_parsing():
    span = Span("n0", "a", 1, 3, "why", (1.0, 2.0), (3.0, 4.0), None, 5, "z1", True, 2)
    assert audit.parse_span(json.loads(json.dumps(span.value()))) == span
    assert latest_spans([span, audit.replace(span, end=(9.0, 9.0))])[0].end == (9.0, 9.0)


def test_the_ring_buffer_survives_a_kill_is_bounded_and_reports_a_torn_line(tmp_path):
    path = tmp_path / "n0.audit"
    code = ("import os, signal, sys\nfrom pathlib import Path\n"
            "from fennelpoint.fleet.disk_ring_buffer import DiskRingBuffer\n"
            "ring = DiskRingBuffer(Path(sys.argv[1]), 2000)\n"
            "for i in range(500): ring.append(b'line %d' % i)\n"
            "os.kill(os.getpid(), signal.SIGKILL)\n")
    subprocess.run([sys.executable, "-c", code, str(path)], timeout=30)
    lines, gap = DiskRingBuffer(path).read()
    assert lines[-1] == b"line 499" and gap == "" and 90 < len(lines) < 300
    assert lines == [b"line %d" % i for i in range(500 - len(lines), 500)]
    data = path.read_bytes()
    path.write_bytes(data[:-7] + b"\xff" + data[-6:])
    lines, gap = DiskRingBuffer(path).read()
    assert "torn" in gap and lines[-1] == b"line 498"


def test_a_disk_error_is_logged_once_and_raises_nothing(tmp_path, caplog):
    ring = DiskRingBuffer(tmp_path / "is-a-folder")
    (tmp_path / "is-a-folder").mkdir()
    assert not ring.append(b"one") and not ring.append(b"two")
    assert caplog.text.count("cannot append to the audit file") == 1


def test_the_audit_agrees_with_the_observer_and_is_rarely_unknown():
    """Check every request that arrived, with skewed clocks, new versions, an isolated and a restarted ingress."""
    async def test() -> None:
        shape = Shape(ingresses=6, wall_off=(("n1", 5.0), ("n2", -5.0)))
        async with Rig(shape, 21) as rig:
            rig.load(25.0)
            offset = time.time() - time.monotonic()
            for round_number in range(3):
                await rig.until_forced(await rig.publish())
                if round_number == 0:
                    rig.cut_off("n3")
                    await asyncio.sleep(1.3)
                    rig.heal()
                    await rig.until_ready("n3")
                if round_number == 1:
                    await rig.members["n4"].process.stop_only()
                    await rig.restart("n4")
            await asyncio.sleep(1.5)
            until = time.monotonic() - 0.8
            spans = await rig.fleet.spans()
            client_sent_at = {request.txn: request.sent_at for request in rig.seen.client_requests}
            wrong, unknown, count = [], 0, 0
            for arrival in rig.seen.arrivals:
                if arrival.at < until:
                    count += 1
                    unknown += not versions_at(spans, arrival.ingress, exactly(arrival.at + offset)).is_certain
                    sent = send_interval(client_sent_at.get(arrival.txn, 0.0), arrival.at, offset)
                    answer = versions_at(spans, arrival.ingress, sent)
                    version = rig.seen.version(arrival)
                    if version not in answer.versions and not answer.unknown:
                        wrong.append((arrival.ingress, version, answer, sent))
            assert wrong == [] and count > 800
            assert unknown <= max(3, 0.01 * count), (unknown, count)
            assert faults(rig.seen) == {}

    run(test(), 60.0)
