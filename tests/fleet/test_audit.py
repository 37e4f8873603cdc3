"""The audit: what is on record is what was acted on, and what is not known is told as unknown."""

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
from fennelpoint.fleet.audit import OUT, Book, FleetTime, Span, at_time, newest
from fennelpoint.fleet.disk_ring_buffer import Ring
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.observer import faults
from fennelpoint.testing.process_cluster import Rig, Shape

# s from an ingress's send until the observer, which shares a busy machine, has read it: 6.5 ms were seen.
IN_FLIGHT = 0.05


def moment(at: float) -> tuple[float, float]:
    return at, at


def sent_within(asked: float, arrived: float, offset: float) -> tuple[float, float]:
    """When an ingress sent a request: after its client had asked, and shortly before it arrived."""
    return max(asked, arrived - IN_FLIGHT) + offset, arrived + offset


def test_a_request_in_flight_while_its_ingress_turns_is_not_held_against_the_audit():
    book = Book("n0", "a", 0, "z0")
    book.turn(1, "why", moment(10.0))
    book.turn(2, "why", moment(20.0))
    book.mark(moment(30.0))
    spans = list(book.spans.values())

    def answered(asked: float, arrived: float) -> tuple[int, ...]:
        return at_time(spans, "n0", sent_within(asked, arrived, 0.0)).versions

    assert answered(19.99, 20.01) == (1, 2)
    assert answered(20.001, 20.01) == (2,), "asked after the turn: the version before is wrong"
    assert answered(19.0, 20.06) == (2,), "longer on its way than any request is"


@given(st.lists(st.tuples(st.floats(0.1, 5.0), st.sampled_from([OUT, 1, 2, 3])), min_size=1, max_size=12),
       st.integers(0, 11), st.floats(0.0, 60.0))
def test_the_answer_holds_what_was_acted_on_or_says_that_it_does_not_know(turns, killed_after, asked):
    """One process, then a kill, then another that finds itself alone."""
    truth, spans, now = [], [], 100.0
    for number, part in enumerate((turns[:killed_after + 1], turns[killed_after + 1:])):
        book = Book("n0", f"life {number}", 0, "z0")
        book.alone = True
        for length, version in part:
            book.turn(version, "why", moment(now))
            truth.append((now, now + length, version))
            now += length
        book.mark(moment(now - 0.05))      # the last mark is from just before the kill
        spans += book.spans.values()
        truth.append((now, now + 3.0, OUT))
        now += 3.0
    when = 100.0 + asked
    answer = at_time(spans, "n0", moment(when))
    acted = next((v for begin, end, v in truth if begin <= when < end), OUT)
    assert acted in answer.versions or answer.unknown or acted == OUT
    assert not answer.sure or answer.versions == (acted,) or when < 100.0 or acted == OUT


def test_a_span_without_an_end_is_unknown_after_its_last_mark_until_a_next_life_begins_alone():
    book = Book("n0", "a", 0, "z0")
    book.turn(1, "in force", moment(10.0))
    book.mark(moment(20.0))
    first = list(book.spans.values())
    assert at_time(first, "n0", moment(15.0)).sure
    late = at_time(first, "n0", moment(21.0))
    assert late.versions == (1,) and "after 20.000" in late.unknown and not late.sure
    other = Book("n0", "b", 0, "z0")
    other.alone = True
    other.turn(2, "in force", moment(30.0))
    other.mark(moment(40.0))
    both = [*first, *other.spans.values()]
    assert at_time(both, "n0", moment(25.0)).unknown and at_time(both, "n0", moment(35.0)).sure
    twin = Book("n0", "c", 0, "z0")
    twin.turn(2, "a twin", moment(30.0))
    twin.mark(moment(40.0))
    assert at_time([*first, *twin.spans.values()], "n0", moment(35.0)).versions == (1, 2)
    assert at_time(first, "n1", moment(15.0)).unknown


def test_spans_that_were_lost_on_the_way_are_told():
    book = Book("n0", "a", 0, "z0", most=3)
    for at in range(10):
        book.turn(at % 3, "why", moment(float(at)))
    assert len(book.spans) == 3 and "earlier spans" in at_time(book.spans.values(), "n0", moment(2.5)).unknown
    some = [s for s in book.spans.values() if s.seq != 9]
    assert "spans 9 to 9" in at_time(some, "n0", moment(8.5)).unknown


def test_old_spans_are_rolled_up_and_tell_what_may_have_been(tmp_path, monkeypatch):
    monkeypatch.setattr(store, "MAX_SPANS_PER_INGRESS", 20)
    kept = store.Store(tmp_path, "k0")
    book = Book("n0", "a", 0, "z0")
    for at in range(50):
        book.turn(at // 10, "why", moment(float(at)))
        kept.add_spans({("n0", "a", s.seq): json.dumps(s.value()) for s in book.due("k0")})
        book.took("k0", book.due("k0"))
    spans = [audit.span_of(json.loads(text)) for text in kept.spans("n0")]
    kept_rows = kept.rolled("n0")
    rolled = [audit.Rolled(**{**row, "first": tuple(row["first"]), "last": tuple(row["last"])})
              for row in kept_rows]
    assert len(spans) <= 20 and sum(row.spans for row in rolled) + len(spans) == 50
    assert at_time(spans, "n0", moment(48.5)).versions == (4,)
    old = audit.rolled_at(rolled, "n0", moment(5.5))
    assert old.versions == (0,) and not old.sure and "rolled up" in old.unknown
    assert audit.rolled_at(rolled, "n0", moment(48.5)) is None
    assert audit.rolled_at(rolled, "n1", moment(5.5)) is None
    kept.close()
    assert store.Store(tmp_path, "k0").rolled() == kept_rows


def test_a_book_sends_each_keeper_what_that_has_not():
    book = Book("n0", "a", 0, "z0")
    book.turn(1, "why", moment(1.0))
    book.took("k0", book.due("k0"))
    assert [s.version for s in book.due("k0")] == [1] and [s.version for s in book.due("k1")] == [1]
    book.turn(2, "why", moment(2.0))
    due = book.due("k0")
    assert [(s.version, s.end) for s in due] == [(1, (2.0, 2.0)), (2, None)]
    book.took("k0", due)
    assert [s.version for s in book.due("k0")] == [2] and [s.version for s in book.due("k1")] == [1, 2]


@given(st.floats(-100.0, 100.0),
       st.lists(st.tuples(st.floats(0.0, 0.2), st.floats(0.0, 0.2)), min_size=1, max_size=20))
def test_the_fleets_time_surely_holds_the_moment(offset, delays):
    clock, now = FleetTime(), 1000.0
    for there, back in delays:
        clock.read(now, now + there + offset, now + there + back)
        now += there + back + 0.25
    low, high = clock.at(now)
    assert low - 1e-6 <= now + offset <= high + 1e-6
    assert high - low <= 2 * min(a + b for a, b in delays[-12:]) + 0.01


def test_clocks_that_contradict_make_the_time_wide_and_none_makes_it_unknown():
    clock = FleetTime()
    assert clock.at(5.0) == (-inf, inf)
    clock.read(10.0, 110.0, 10.01)
    clock.read(11.0, 116.0, 11.01)
    low, high = clock.at(12.0)
    assert low <= 112.0 and high >= 117.0 - 0.02


@pytest.mark.parametrize("value", [None, {}, {"ingress": "n0"}, {"version": "x"}, [1]])
def test_no_span_is_read_from_garbage(value):
    with pytest.raises(ValueError, match="no span"):
        audit.span_of(value)


def test_a_span_comes_back_as_it_was():
    span = Span("n0", "a", 1, 3, "why", (1.0, 2.0), (3.0, 4.0), None, 5, "z1", True, 2)
    assert audit.span_of(json.loads(json.dumps(span.value()))) == span
    assert newest([span, audit.replace(span, end=(9.0, 9.0))])[0].end == (9.0, 9.0)


def test_a_ring_outlives_a_kill_is_bounded_and_tells_what_is_torn(tmp_path):
    path = tmp_path / "n0.audit"
    code = ("import os, signal, sys\nfrom pathlib import Path\nfrom fennelpoint.fleet.disk_ring_buffer import Ring\n"
            "ring = Ring(Path(sys.argv[1]), 2000)\n"
            "for i in range(500): ring.add(b'line %d' % i)\n"
            "os.kill(os.getpid(), signal.SIGKILL)\n")
    subprocess.run([sys.executable, "-c", code, str(path)], timeout=30)
    lines, gap = Ring(path).read()
    assert lines[-1] == b"line 499" and gap == "" and 90 < len(lines) < 300
    assert lines == [b"line %d" % i for i in range(500 - len(lines), 500)]
    data = path.read_bytes()
    path.write_bytes(data[:-7] + b"\xff" + data[-6:])
    lines, gap = Ring(path).read()
    assert "torn" in gap and lines[-1] == b"line 498"


def test_a_full_disk_is_told_once_and_changes_nothing(tmp_path, caplog):
    ring = Ring(tmp_path / "is-a-folder")
    (tmp_path / "is-a-folder").mkdir()
    assert not ring.add(b"one") and not ring.add(b"two")
    assert caplog.text.count("takes no more of the audit") == 1


def test_the_audit_names_what_the_observer_saw_and_is_rarely_unknown():
    """Ingresses with clocks that are off, versions, one shut out, one restarted: for every request that came."""
    async def test() -> None:
        shape = Shape(ingresses=6, wall_off=(("n1", 5.0), ("n2", -5.0)))
        async with Rig(shape, 21) as rig:
            rig.load(25.0)
            offset = time.time() - time.monotonic()
            for turn in range(3):
                await rig.until_forced(await rig.publish())
                if turn == 0:
                    rig.cut_off("n3")
                    await asyncio.sleep(1.3)
                    rig.heal()
                    await rig.until_ready("n3")
                if turn == 1:
                    await rig.members["n4"].process.stop_only()
                    await rig.restart("n4")
            await asyncio.sleep(1.5)
            until = time.monotonic() - 0.8
            spans = await rig.fleet.spans()
            asked = {ask.txn: ask.sent for ask in rig.seen.asks}
            wrong, unknown, count = [], 0, 0
            for arrival in rig.seen.arrivals:
                if arrival.at < until:
                    count += 1
                    unknown += not at_time(spans, arrival.ingress, moment(arrival.at + offset)).sure
                    sent = sent_within(asked.get(arrival.txn, 0.0), arrival.at, offset)
                    answer = at_time(spans, arrival.ingress, sent)
                    version = rig.seen.version(arrival)
                    if version not in answer.versions and not answer.unknown:
                        wrong.append((arrival.ingress, version, answer, sent))
            assert wrong == [] and count > 800
            assert unknown <= max(3, 0.01 * count), (unknown, count)
            assert faults(rig.seen) == {}

    run(test(), 60.0)
