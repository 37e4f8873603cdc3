"""Idempotent requests: accepted ones are never refused later, refused ones never accepted, memory is bounded."""

import asyncio
import socket
import time

from hypothesis import given, settings
from hypothesis import strategies as st

from fennelpoint.system.config_versions import digest, encode
from fennelpoint.system.http_server import HttpServer, Reply
from fennelpoint.system.store import idempotency
from fennelpoint.system.store.replicated_state import archive_requests, configure, initial_state, restore_snapshot

STEP = st.tuples(st.sampled_from(["new", "new", "new", "old base", "retry", "other bytes", "archive",
                                  "toggle contents"]), st.integers(0, 10**6))


class Core:
    """One agreed state; each request is handled by a machine that holds all contents, or lacks them."""

    def __init__(self) -> None:
        self.state, self.contents, self.lacks_contents = initial_state({"a": "za"}), {}, False
        self.accepted: dict[int, tuple] = {}    # requests by version
        self.refused: set[tuple] = set()

    def content(self, name: str) -> bytes | None:
        return None if self.lacks_contents else self.contents.get(name)

    def put(self, version: int, base: int, mark: str) -> int:
        """The status of a request for a configuration; `mark` stands for its bytes."""
        request = (version, base, digest(f"{version} {base} {mark}".encode()))
        change = configure(*request, "d", self.content)
        state = change(self.state)
        status, was_accepted = change.outcome.status, self.accepted.get(version) == request
        if state is not self.state:
            assert status == 200 and version not in self.accepted and request not in self.refused
            assert base == self.state["version"] < version
            self.accepted[version] = request
        elif was_accepted:
            assert status in (200, 503)
            assert status == 200 or self.lacks_contents or version <= state["floor"]
        else:
            assert status in (400, 412, 503)
            assert status != 503 or self.lacks_contents or version <= state["floor"]
        if change.outcome.is_final and state is self.state:
            self.refused |= {request} if status != 200 else set()
            assert status in (200, 400, 412)
        assert change.outcome.is_final or status not in (400, 412) or base > state["version"]
        self.state = state
        return status

    def archive(self) -> None:
        if (next_segment := idempotency.next_segment(self.state, self.content)) is not None:
            moved, replaces, data = next_segment
            self.contents[digest(data)] = data
            change = archive_requests(moved, self.state["log"][-1:], [moved[-1][0], digest(data)], replaces)
            after = change(self.state)
            assert change(after) is after       # another machine made the same change concurrently
            self.state = after


@settings(max_examples=60, deadline=None)
@given(steps=st.lists(STEP, min_size=60, max_size=400), segment=st.integers(16, 40), segments=st.integers(1, 4))
def test_accepted_requests_are_never_refused_and_the_reverse(steps: list, segment: int, segments: int) -> None:
    """Small segments, so that some are discarded; requests are retried in any order, some without contents."""
    original = idempotency.FULL_SEGMENT_REQUESTS, idempotency.MAX_SEGMENTS
    idempotency.FULL_SEGMENT_REQUESTS, idempotency.MAX_SEGMENTS = segment, segments
    try:
        core = Core()
        for kind, number in steps:
            current = core.state["version"]
            earlier = list(core.accepted.values())[number % len(core.accepted)] if core.accepted else (1, 0, "")
            match kind:
                case "new":
                    assert core.put(current + 1 + number % 3, current, "x") == 200
                case "old base":
                    core.put(current + number % 3 - 1, max(0, current - 1 - number % 50), "y")
                case "retry":
                    core.put(earlier[0], earlier[1], "x")
                case "other bytes":
                    core.put(earlier[0], earlier[1], "z")
                case "archive":
                    core.lacks_contents = False
                    core.archive()
                case "toggle contents":
                    core.lacks_contents = not core.lacks_contents
            assert len(core.state["past"]) <= idempotency.MAX_RECENT_REQUESTS and len(core.state["log"]) <= segments
    finally:
        idempotency.FULL_SEGMENT_REQUESTS, idempotency.MAX_SEGMENTS = original


def test_thousands_of_requests_are_told_apart_and_the_state_stays_small() -> None:
    core, sizes = Core(), []
    for version in range(1, 5001):
        assert core.put(version, version - 1, "x") == 200
        core.archive()
        sizes.append(len(encode(core.state)))
    assert max(sizes) < 1900
    assert len(idempotency.referenced_digests(core.state)) <= 1 + idempotency.MAX_SEGMENTS
    assert sum(len(core.contents[d]) for _, d in core.state["log"]) < 120_000
    started_at = time.perf_counter()
    oldest = 5000 - idempotency.FULL_SEGMENT_REQUESTS * (idempotency.MAX_SEGMENTS - 1)
    assert core.state["floor"] < oldest
    for version in range(oldest, 5001, 50):
        assert core.put(version, version - 1, "x") == 200
        assert core.put(version, version - 1, "y") == 412
    assert (time.perf_counter() - started_at) / 144 < 0.02
    assert {core.put(v, v - 1, "x") for v in range(1, core.state["floor"])} == {503}
    assert core.put(4, 4, "x") == 412 and core.put(5001, 4000, "x") == 412 and core.put(9, 5000, "x") == 400


def test_without_segments_the_oldest_requests_are_discarded_and_their_outcome_is_unknown() -> None:
    core = Core()
    for version in range(1, 101):
        core.put(version, version - 1, "x")
    assert len(core.state["past"]) == idempotency.MAX_RECENT_REQUESTS and (
        core.state["floor"] == 100 - idempotency.MAX_RECENT_REQUESTS)
    assert [core.put(v, v - 1, "x") for v in (36, 37)] == [503, 200]


def test_snapshot_remembers_the_newest_requests_and_leaves_the_others_unknown() -> None:
    core = Core()
    for version in range(1, 101):
        core.put(version, version - 1, "x")
        core.archive()
    snapshot = core.state["past"], core.state["evac"], idempotency.floor_of(core.state)
    core.state = restore_snapshot(100, "d", *snapshot)(initial_state({"a": "za"}))
    assert core.put(100, 99, "x") == 200 and core.put(4, 3, "x") == 503 and core.put(4, 3, "y") == 503
    # A snapshot from before floors existed, and a state that a disk holds from that time.
    assert restore_snapshot(100, "d", core.state["past"], [], None)(initial_state({}))["floor"] == 0
    old = {k: v for k, v in core.state.items() if k not in ("log", "floor")}
    old["past"] = [[v, "s"] for v in range(53, 101)]
    assert configure(30, 29, "s", "d", {}.get)(old) is old
    after = configure(101, 100, "s", "d", {}.get)(old)
    assert after["floor"] == 52 and after["log"] == [] and len(after["past"]) == 49


def test_request_whose_caller_hung_up_while_the_process_was_suspended_is_known_as_such() -> None:
    """Guards the end of an evacuation: the request to begin it waits in a socket buffer while the process is
    suspended, and must not begin it anew afterwards."""
    loop = asyncio.new_event_loop()
    hung_up: list[bool] = []
    web = HttpServer(loop, lambda request: (hung_up.append(request.is_abandoned), request.answer(Reply(503))))
    loop.run_until_complete(web.listen("control_plane", ("127.0.0.1", 0)))
    address = web.listeners[0].sockets[0].getsockname()
    for hangs_up in (True, False):
        with socket.create_connection(address) as caller:
            caller.sendall(b"POST /api/evacuation/za HTTP/1.1\r\nHost: h\r\n\r\n")
            if hangs_up:
                caller.close()
            while len(hung_up) < (1 if hangs_up else 2):
                loop.run_until_complete(asyncio.sleep(0))
    assert hung_up == [True, False]
    web.close()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
