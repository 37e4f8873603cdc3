"""A whole front on loopback, told by this test what a core machine would tell it."""

import asyncio
import json
import time
import zlib
from collections.abc import Callable
from copy import deepcopy

import pytest

from fennelpoint.system import settings
from fennelpoint.system.proxy.events import RetryRule
from fennelpoint.system.proxy.program import Program
from fennelpoint.system.registry.grants import GRANT_LIFE
from fennelpoint.testing.process import free_port

CONFIGURATION = {"version": 3, "clusters": [{"name": "svc"}], "listener_table": [{"host": "h", "rule_set": [
    {"name": "r", "kind": "non_idempotent", "match_criteria": {"path_prefix": "/r/"},
     "route_action": {"service": "svc", "request_timeout_s": 5, "max_attempts": 2}}]}]}
CORE = "roll@127.0.0.9"
LARGE_BODY = bytes(400_000)     # is passed on as it comes


class Booking:
    """A backend that answers when it is told to; `seen` are the ids that it ran."""

    def __init__(self) -> None:
        self.seen, self.came, self.may = [], asyncio.Event(), asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        await reader.readexactly(int(fields.get("content-length", 0)))
        self.seen.append(fields["x-attempt-id"])
        self.came.set()
        await self.may.wait()
        writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {fields['x-attempt-id']}\r\nX-Server-Seal: s\r\n"
                     f"Content-Length: 6\r\n\r\nbooked".encode())


def settings_of(public: int, readiness: int, grace: float = 1.0, bounds: str = "",
                seed: str = "127.0.0.9:8200") -> settings.Settings:
    inner = free_port()
    return settings.build(settings.parse(
        f"node_name=f\nnode_role=r\nip_address=127.0.0.1\navailability_zone=za\nregion=ra\nzones.za=ra\n"
        f"internal_ports={inner},{inner + 5}\nseed_nodes={seed}\n"
        f"listen_addresses.public_http=127.0.0.1:{public}\n"
        f"listen_addresses.readiness=127.0.0.1:{readiness}\nrule_bounds.grace_period_s={grace}\n{bounds}"))


async def started(grace: float = 1.0, bounds: str = "") -> tuple[Program, Booking, int, int]:
    """A front that serves, its backend, and its ports for clients and for readiness."""
    public, readiness = free_port(), free_port()
    program = Program(asyncio.get_running_loop(), settings_of(public, readiness, grace, bounds))
    await program.start()
    booking = Booking()
    server = await asyncio.start_server(booking.serve, "127.0.0.1", 0)
    at = server.sockets[0].getsockname()
    data = zlib.compress(json.dumps(CONFIGURATION).encode())
    backend = ["i-1", f"{at[0]}:{at[1]}", "svc", "za", 2, "v1", "ready", 1, 0.0, 0.0, False]
    program.handle_message(CORE, ["list", 1, 1, [backend], True])
    program.handle_message(CORE, ["lease", program.session._next_request_number(time.monotonic()), 1, 3, "d", [], 1])
    program.handle_message(CORE, ["content", "d", data])
    return program, booking, public, readiness


async def post(port: int, id: str, left_ms: int = 4000, path: str = "/r/1", body: bytes = b"x") -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\nX-Deadline-Remaining: {left_ms}\r\n"
                 f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    length = next(int(line.split(b":")[1]) for line in lines if line.startswith(b"content-length"))
    answer = head + await reader.readexactly(length)
    writer.close()
    return answer


async def ready(port: int) -> bool:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: h\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return b" 200 " in head


def test_a_front_told_to_end_answers_the_bookings_under_way_and_takes_what_still_comes() -> None:
    async def play() -> None:
        program, booking, public, readiness = await started()
        assert await ready(readiness)
        under_way = asyncio.ensure_future(post(public, "b1"))
        await booking.came.wait()
        program.stop()
        assert not await ready(readiness)
        late = asyncio.ensure_future(post(public, "b2"))    # a client that holds the address still
        while len(booking.seen) < 2:
            booking.came.clear()
            await booking.came.wait()
        booking.may.set()
        for answer in (await under_way, await late):
            assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"booked")
            assert b"connection: close" in answer
        assert booking.seen == ["b1", "b2"]
        async with asyncio.timeout(3.0):
            await program.stopped
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


# Guards against fronts that are told to end and never do.
@pytest.mark.parametrize("failing", ["word to the core", "look at idle connections"])
def test_a_front_told_to_end_does_so_whatever_fails_on_the_way(failing: str) -> None:
    async def play() -> None:
        program, _, _, _ = await started()

        def fail(*arguments: object) -> None:
            raise RuntimeError("a write to a connection that is dead")

        if failing == "word to the core":
            program.carry_out = fail
        else:
            program.server.close_idle = fail
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        asyncio.get_running_loop().call_soon(program.stop)      # as a signal does
        async with asyncio.timeout(3.0):
            await program.stopped
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def test_a_front_near_its_end_takes_only_what_surely_ends_in_time() -> None:
    async def play() -> None:
        program, booking, public, _ = await started(grace=6.0)
        program.stop()
        program.life_cycle.since -= 3.5   # as 3.5 s later: 2.08 s are left
        late = await post(public, "b1")     # it may take 4 s
        assert late.startswith(b"HTTP/1.1 503") and b"retry-after" in late and b"connection: close" in late
        booking.may.set()
        assert (await post(public, "b2", 2000)).startswith(b"HTTP/1.1 200") and booking.seen == ["b2"]
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def test_a_front_whose_lease_ends_refuses_at_once_and_sends_nothing_on() -> None:
    async def play() -> None:
        program, booking, public, readiness = await started()
        program.session.lease_expires_at = time.monotonic()     # as after seconds without a word
        answer = await post(public, "b1")
        assert answer.startswith(b"HTTP/1.1 503") and b"retry-after" in answer
        assert not await ready(readiness) and not booking.seen
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def test_the_decider_hears_the_rule_of_retries_its_share_of_the_slack_and_for_how_long_it_is_good() -> None:
    async def play() -> None:
        program, _, _, _ = await started(bounds="rule_bounds.retry_budget_ratio=0.3\nrule_bounds.budget_window_s=12\n"
                                                "rule_bounds.budget_slack=100")
        decider, session = program.host.controller, program.session
        assert decider.retry_rule == RetryRule(0.3, 12.0)
        grant = [[9, "a"], 1, [{}, {}, 500]]
        program.handle_message(CORE, ["lend", session._next_request_number(time.monotonic()), *grant])
        assert decider.slack_share == 100 * 0.9 * 0.5
        first = decider.shares_expire_at
        assert 0.0 < first - program.host.clock() <= GRANT_LIFE
        await asyncio.sleep(0)
        program.handle_message(CORE, ["lend", session._next_request_number(time.monotonic() + 0.5), *grant[:2], None])
        assert decider.shares_expire_at - first > 0.4
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def with_other_time(value: dict) -> None:
    value["listener_table"][0]["rule_set"][0]["route_action"]["request_timeout_s"] = 0.2


def with_other_service(value: dict) -> None:
    value["clusters"] = [{"name": "other"}]
    value["listener_table"][0]["rule_set"][0]["route_action"]["service"] = "other"


def without_its_route(value: dict) -> None:
    value["listener_table"][0]["rule_set"][0]["match_criteria"]["path_prefix"] = "/else/"


def without_its_host(value: dict) -> None:
    value["listener_table"][0]["host"] = "elsewhere"


def with_keys(value: dict) -> None:
    value["tenants"] = [{"name": "t", "api_keys": ["k"], "rate_per_s": 1, "burst_size": 1}]


CHANGES = [with_other_time, with_other_service, without_its_route, without_its_host, with_keys]


@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)
def test_bookings_under_way_are_answered_whatever_a_configuration_changes(change: Callable[[dict], None]) -> None:
    """Also where the change would not let them in any more, and those that come later are judged by it."""
    async def play() -> None:
        program, booking, public, _ = await started()
        under_way = asyncio.ensure_future(post(public, "b1"))
        await booking.came.wait()
        value = deepcopy(CONFIGURATION) | {"version": 7, "base_version": 3}
        change(value)
        number = program.session._next_request_number(time.monotonic())
        program.handle_message(CORE, ["lease", number, 2, 7, "e", [], 1])
        program.handle_message(CORE, ["content", "e", zlib.compress(json.dumps(value).encode())])
        assert program.session.applied_version == 7
        if change in (without_its_route, without_its_host, with_keys):
            later = await post(public, "b2")
            assert later.startswith(b"HTTP/1.1 401" if change is with_keys else b"HTTP/1.1 404")
        await asyncio.sleep(0.3)
        booking.may.set()
        answer = await under_way
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"booked") and booking.seen == ["b1"]
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def test_bookings_under_way_and_after_it_are_answered_over_a_change_of_the_settings_file() -> None:
    async def play() -> None:
        program, booking, public, readiness = await started()
        under_way = asyncio.ensure_future(post(public, "b1"))
        await booking.came.wait()
        program.reload(settings_of(public, readiness, seed="127.0.0.8:8200"))
        assert program.session.seeds == ["127.0.0.8"]
        later = asyncio.ensure_future(post(public, "b2"))
        while len(booking.seen) < 2:
            booking.came.clear()
            await booking.came.wait()
        booking.may.set()
        assert (await under_way).endswith(b"booked") and (await later).endswith(b"booked")
        assert await ready(readiness)
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def without_lease(program: Program) -> None:
    """As once the time of its lease is up, before any timer of the front runs."""
    program.session.lease_expires_at = time.monotonic()


# Guards against CONFIG: requests answered by an older version later than `config_apply_s` after its successor's ack.
def test_a_lease_ends_before_a_change_must_be_in_force() -> None:
    async def play() -> None:
        for bound in (2.0, 3.0, 4.0, 9.0):
            program, _, _, _ = await started(bounds=f"rule_bounds.config_apply_s={bound}\n")
            asked_by = time.monotonic()
            assert program.session.has_valid_lease(asked_by)
            assert not program.session.has_valid_lease(asked_by + bound), bound
            program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


# Guards against CONFIG: 404, 401 or 413 by a version that may be superseded, from a front that holds no lease.
def test_a_front_without_a_lease_judges_no_request_by_the_version_that_it_had() -> None:
    async def play() -> None:
        program, booking, public, _ = await started()
        value = deepcopy(CONFIGURATION) | {"version": 7, "base_version": 3}
        with_keys(value)
        number = program.session._next_request_number(time.monotonic())
        program.handle_message(CORE, ["lease", number, 2, 7, "e", [], 1])
        program.handle_message(CORE, ["content", "e", zlib.compress(json.dumps(value).encode())])
        assert (await post(public, "b1", path="/none/1")).startswith(b"HTTP/1.1 404")
        assert (await post(public, "b2")).startswith(b"HTTP/1.1 401")
        without_lease(program)
        for path, body in (("/none/1", b"x"), ("/r/1", b"x"), ("/none/1", LARGE_BODY), ("/r/1", LARGE_BODY)):
            answer = await post(public, "b3", path=path, body=body)
            assert answer.startswith(b"HTTP/1.1 503") and b"retry-after" in answer, (path, len(body), answer)
        assert not booking.seen
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def test_a_large_body_that_is_refused_as_it_comes_leaves_its_connection_to_the_next_request() -> None:
    async def play() -> None:
        program, _, public, _ = await started()
        without_lease(program)
        reader, writer = await asyncio.open_connection("127.0.0.1", public)
        for id in ("b1", "b2"):
            writer.write(f"POST /r/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\n"
                         f"Content-Length: {len(LARGE_BODY)}\r\n\r\n".encode() + LARGE_BODY[:-1])
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503") and b"connection: close" not in head
            await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
            writer.write(LARGE_BODY[-1:])
        writer.close()
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))
