"""The memory of orders: what was taken is never refused, what was refused never taken, and all of it is bounded."""

import asyncio
import socket
import time

from hypothesis import given, settings
from hypothesis import strategies as st

from fennelpoint.system.config_versions import digest, encode
from fennelpoint.system.http_server import HttpServer, Reply
from fennelpoint.system.store import idempotency
from fennelpoint.system.store.replicated_state import configure, empty, put_orders_away, revive

STEP = st.tuples(st.sampled_from(["new", "new", "new", "old base", "again", "other bytes", "away", "deaf"]),
                 st.integers(0, 10**6))


class Machines:
    """One agreed value; each order is made by a machine that holds all contents, or lacks some."""

    def __init__(self) -> None:
        self.world, self.contents, self.lacks = empty({"a": "za"}), {}, False
        self.taken: dict[int, tuple] = {}       # orders by version
        self.refused: set[tuple] = set()

    def content(self, name: str) -> bytes | None:
        return None if self.lacks else self.contents.get(name)

    def order(self, version: int, base: int, mark: str) -> int:
        order = (version, base, digest(f"{version} {base} {mark}".encode()))
        change = configure(*order, "d", self.content)
        made = change(self.world)
        status, was = change.outcome.status, self.taken.get(version) == order
        if made is not self.world:
            assert status == 200 and version not in self.taken and order not in self.refused
            assert base == self.world["version"] < version
            self.taken[version] = order
        elif was:
            assert status in (200, 503)
            assert status == 200 or self.lacks or version <= made["floor"]
        else:
            assert status in (400, 412, 503)
            assert status != 503 or self.lacks or version <= made["floor"]
        if change.outcome.final and made is self.world:
            self.refused |= {order} if status != 200 else set()
            assert status in (200, 400, 412)
        assert change.outcome.final or status not in (400, 412) or base > made["version"]
        self.world = made
        return status

    def away(self) -> None:
        if (made := idempotency.next_segment(self.world, self.content)) is not None:
            moved, replaces, data = made
            self.contents[digest(data)] = data
            change = put_orders_away(moved, self.world["log"][-1:], [moved[-1][0], digest(data)], replaces)
            after = change(self.world)
            assert change(after) is after       # another machine was as quick
            self.world = after


@settings(max_examples=60, deadline=None)
@given(steps=st.lists(STEP, min_size=60, max_size=400), segment=st.integers(16, 40), segments=st.integers(1, 4))
def test_what_was_taken_is_never_refused_and_the_reverse(steps: list, segment: int, segments: int) -> None:
    """Small segments, so that some are let go; orders come again in any order, some where contents are missing."""
    kept = idempotency.IN_SEGMENT, idempotency.SEGMENTS
    idempotency.IN_SEGMENT, idempotency.SEGMENTS = segment, segments
    try:
        m = Machines()
        for kind, number in steps:
            now = m.world["version"]
            some = list(m.taken.values())[number % len(m.taken)] if m.taken else (1, 0, "")
            match kind:
                case "new":
                    assert m.order(now + 1 + number % 3, now, "x") == 200
                case "old base":
                    m.order(now + number % 3 - 1, max(0, now - 1 - number % 50), "y")
                case "again":
                    m.order(some[0], some[1], "x")
                case "other bytes":
                    m.order(some[0], some[1], "z")
                case "away":
                    m.lacks = False
                    m.away()
                case "deaf":
                    m.lacks = not m.lacks
            assert len(m.world["past"]) <= idempotency.MOST and len(m.world["log"]) <= segments
    finally:
        idempotency.IN_SEGMENT, idempotency.SEGMENTS = kept


def test_thousands_of_orders_are_told_apart_and_the_value_stays_small() -> None:
    m, sizes = Machines(), []
    for version in range(1, 5001):
        assert m.order(version, version - 1, "x") == 200
        m.away()
        sizes.append(len(encode(m.world)))
    assert max(sizes) < 1900
    assert len(idempotency.needed(m.world)) <= 1 + idempotency.SEGMENTS
    assert sum(len(m.contents[d]) for _, d in m.world["log"]) < 120_000
    began = time.perf_counter()
    oldest = 5000 - idempotency.IN_SEGMENT * (idempotency.SEGMENTS - 1)
    assert m.world["floor"] < oldest
    for version in range(oldest, 5001, 50):
        assert m.order(version, version - 1, "x") == 200
        assert m.order(version, version - 1, "y") == 412
    assert (time.perf_counter() - began) / 144 < 0.02
    assert {m.order(v, v - 1, "x") for v in range(1, m.world["floor"])} == {503}
    assert m.order(4, 4, "x") == 412 and m.order(5001, 4000, "x") == 412 and m.order(9, 5000, "x") == 400


def test_where_no_segment_can_be_written_the_oldest_are_let_go_and_left_open() -> None:
    m = Machines()
    for version in range(1, 101):
        m.order(version, version - 1, "x")
    assert len(m.world["past"]) == idempotency.MOST and m.world["floor"] == 100 - idempotency.MOST
    assert [m.order(v, v - 1, "x") for v in (36, 37)] == [503, 200]


def test_snapshots_hold_the_newest_and_leave_the_others_open() -> None:
    m = Machines()
    for version in range(1, 101):
        m.order(version, version - 1, "x")
        m.away()
    snapshot = m.world["past"], m.world["evac"], idempotency.floor_of(m.world)
    m.world = revive(100, "d", *snapshot)(empty({"a": "za"}))
    assert m.order(100, 99, "x") == 200 and m.order(4, 3, "x") == 503 and m.order(4, 3, "y") == 503
    # One of before there were floors, and a value on a disk of then.
    assert revive(100, "d", m.world["past"], [], None)(empty({}))["floor"] == 0
    old = {k: v for k, v in m.world.items() if k not in ("log", "floor")}
    old["past"] = [[v, "s"] for v in range(53, 101)]
    assert configure(30, 29, "s", "d", {}.get)(old) is old
    after = configure(101, 100, "s", "d", {}.get)(old)
    assert after["floor"] == 52 and after["log"] == [] and len(after["past"]) == 49


def test_a_call_whose_caller_hung_up_while_we_stood_still_is_known_as_such() -> None:
    """Guards an evacuation's end: the begin lies in a socket's buffer as long as this process is frozen."""
    loop = asyncio.new_event_loop()
    seen: list[bool] = []
    web = HttpServer(loop, lambda asking: (seen.append(asking.is_abandoned), asking.answer(Reply(503))))
    loop.run_until_complete(web.listen("control_plane", ("127.0.0.1", 0)))
    at = web.listeners[0].sockets[0].getsockname()
    for leaves in (True, False):
        with socket.create_connection(at) as caller:
            caller.sendall(b"POST /api/evacuation/za HTTP/1.1\r\nHost: h\r\n\r\n")
            if leaves:
                caller.close()
            while len(seen) < (1 if leaves else 2):
                loop.run_until_complete(asyncio.sleep(0))
    assert seen == [True, False]
    web.close()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
