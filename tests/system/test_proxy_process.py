"""A whole proxy process on loopback; the tests send it the messages of a core machine."""

import asyncio
import json
import time
import zlib
from collections.abc import Callable
from copy import deepcopy

import pytest

from fennelpoint.system.proxy.events import RetryRule
from fennelpoint.system.proxy.program import Program
from fennelpoint.system.registry.grants import GRANT_TTL_S
from fennelpoint.testing.proxy_program import CONFIGURATION, CORE, settings_of, start_proxy

LARGE_BODY = bytes(400_000)     # large enough to be streamed


class Booking:
    """A backend that answers once `may_answer` is set; `attempt_ids` are those of the requests that it ran."""

    def __init__(self) -> None:
        self.attempt_ids, self.arrived, self.may_answer = [], asyncio.Event(), asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        await reader.readexactly(int(fields.get("content-length", 0)))
        self.attempt_ids.append(fields["x-attempt-id"])
        self.arrived.set()
        await self.may_answer.wait()
        writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {fields['x-attempt-id']}\r\nX-Server-Seal: s\r\n"
                     f"Content-Length: 6\r\n\r\nbooked".encode())


async def started(grace: float = 1.0, bounds: str = "") -> tuple[Program, Booking, int, int]:
    """A proxy with a lease, its backend, and its ports for clients and for readiness."""
    booking = Booking()
    proxy = await start_proxy(booking.serve, grace=grace, bounds=bounds)
    return proxy.program, booking, proxy.public, proxy.readiness


async def post(port: int, attempt_id: str, left_ms: int = 4000, path: str = "/r/1", body: bytes = b"x",
               key: str = "") -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    authorization = f"Authorization: Token {key}\r\n" if key else ""
    writer.write(f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {attempt_id}\r\n{authorization}"
                 f"X-Deadline-Remaining: {left_ms}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    length = next(int(line.split(b":")[1]) for line in lines if line.startswith(b"content-length"))
    answer = head + await reader.readexactly(length)
    writer.close()
    return answer


async def is_ready(port: int) -> bool:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: h\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return b" 200 " in head


def test_a_stopping_proxy_answers_pending_bookings_and_accepts_new_ones() -> None:
    async def play() -> None:
        program, booking, public, readiness = await started()
        assert await is_ready(readiness)
        pending = asyncio.ensure_future(post(public, "b1"))
        await booking.arrived.wait()
        program.stop()
        assert not await is_ready(readiness)
        late = asyncio.ensure_future(post(public, "b2"))    # from a client that still has the address
        while len(booking.attempt_ids) < 2:
            booking.arrived.clear()
            await booking.arrived.wait()
        booking.may_answer.set()
        for answer in (await pending, await late):
            assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"booked")
            assert b"connection: close" in answer
        assert booking.attempt_ids == ["b1", "b2"]
        async with asyncio.timeout(3.0):
            await program.stopped
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


# Guards against proxies that never end after a stop signal.
@pytest.mark.parametrize("failing", ["notification of the core", "closing of idle connections"])
def test_a_stopping_proxy_ends_whatever_step_fails(failing: str) -> None:
    async def play() -> None:
        program, _, _, _ = await started()

        def fail(*arguments: object) -> None:
            raise RuntimeError("write to a broken connection")

        if failing == "notification of the core":
            program.carry_out = fail
        else:
            program.server.close_idle = fail
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        asyncio.get_running_loop().call_soon(program.stop)      # as a signal handler does
        async with asyncio.timeout(3.0):
            await program.stopped
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def test_a_proxy_late_in_its_grace_period_accepts_only_requests_that_end_in_time() -> None:
    async def play() -> None:
        program, booking, public, _ = await started(grace=6.0)
        program.stop()
        program.life_cycle.entered_at -= 3.5   # as if 3.5 s had passed: 2.08 s are left
        late = await post(public, "b1")     # has a deadline of 4 s
        assert late.startswith(b"HTTP/1.1 503") and b"retry-after" in late and b"connection: close" in late
        booking.may_answer.set()
        assert (await post(public, "b2", 2000)).startswith(b"HTTP/1.1 200") and booking.attempt_ids == ["b2"]
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def test_a_proxy_whose_lease_expires_refuses_at_once_and_forwards_nothing() -> None:
    async def play() -> None:
        program, booking, public, readiness = await started()
        program.session.lease_expires_at = time.monotonic()     # as if no answer came for seconds
        answer = await post(public, "b1")
        assert answer.startswith(b"HTTP/1.1 503") and b"retry-after" in answer
        assert not await is_ready(readiness) and not booking.attempt_ids
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def test_the_controller_gets_the_retry_rule_its_share_of_the_slack_and_its_expiry() -> None:
    async def play() -> None:
        program, _, _, _ = await started(bounds="rule_bounds.retry_budget_ratio=0.3\nrule_bounds.budget_window_s=12\n"
                                                "rule_bounds.budget_slack=100")
        controller, session = program.host.controller, program.session
        assert controller.retry_rule == RetryRule(0.3, 12.0)
        grant = [[9, "a"], 1, [{}, {}, 500]]
        program.handle_message(CORE, ["lend", session._next_request_number(time.monotonic()), *grant])
        assert controller.slack_share == 100 * 0.9 * 0.5
        first_expiry = controller.shares_expire_at
        assert 0.0 < first_expiry - program.host.clock() <= GRANT_TTL_S
        await asyncio.sleep(0)
        program.handle_message(CORE, ["lend", session._next_request_number(time.monotonic() + 0.5), *grant[:2], None])
        assert controller.shares_expire_at - first_expiry > 0.4
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def with_other_timeout(value: dict) -> None:
    value["listener_table"][0]["rule_set"][0]["route_action"]["request_timeout_s"] = 0.2


def with_other_service(value: dict) -> None:
    value["clusters"] = [{"name": "other"}]
    value["listener_table"][0]["rule_set"][0]["route_action"]["service"] = "other"


def without_route(value: dict) -> None:
    value["listener_table"][0]["rule_set"][0]["match_criteria"]["path_prefix"] = "/else/"


def without_host(value: dict) -> None:
    value["listener_table"][0]["host"] = "elsewhere"


def with_api_keys(value: dict) -> None:
    value["tenants"] = [{"name": "t", "api_keys": ["k"], "rate_per_s": 1, "burst_size": 1}]


CHANGES = [with_other_timeout, with_other_service, without_route, without_host, with_api_keys]


@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)
def test_pending_bookings_are_answered_whatever_a_configuration_changes(change: Callable[[dict], None]) -> None:
    """Also if the new version would refuse them; later requests are judged by the new version."""
    async def play() -> None:
        program, booking, public, _ = await started()
        pending = asyncio.ensure_future(post(public, "b1"))
        await booking.arrived.wait()
        value = deepcopy(CONFIGURATION) | {"version": 7, "base_version": 3}
        change(value)
        program.handle_message(
            CORE, ["lease", program.session._next_request_number(time.monotonic()), 2, 7, "e", [], 1])
        program.handle_message(CORE, ["content", "e", zlib.compress(json.dumps(value).encode())])
        assert program.session.applied_version == 7
        if change in (without_route, without_host, with_api_keys):
            later = await post(public, "b2")
            assert later.startswith(b"HTTP/1.1 401" if change is with_api_keys else b"HTTP/1.1 404")
        await asyncio.sleep(0.3)
        booking.may_answer.set()
        answer = await pending
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"booked") and booking.attempt_ids == ["b1"]
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def test_bookings_before_and_after_a_reload_of_the_settings_file_are_answered() -> None:
    async def play() -> None:
        program, booking, public, readiness = await started()
        pending = asyncio.ensure_future(post(public, "b1"))
        await booking.arrived.wait()
        program.reload(settings_of(public, readiness, seed="127.0.0.8:8200"))
        assert program.session.seeds == ["127.0.0.8"]
        later = asyncio.ensure_future(post(public, "b2"))
        while len(booking.attempt_ids) < 2:
            booking.arrived.clear()
            await booking.arrived.wait()
        booking.may_answer.set()
        assert (await pending).endswith(b"booked") and (await later).endswith(b"booked")
        assert await is_ready(readiness)
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def expire_lease(program: Program) -> None:
    """Expire the lease before any timer of the proxy runs."""
    program.session.lease_expires_at = time.monotonic()


# Guards the rules CONFIG and UNASKED: when the only tenant loses its last key, that must not open the routes to all.
def test_booking_with_the_last_key_is_refused_once_that_key_is_taken_away() -> None:
    async def play() -> None:
        booking = Booking()
        booking.may_answer.set()
        value = deepcopy(CONFIGURATION) | {"tenants": [{"name": "t", "api_keys": ["k"]}]}
        proxy = await start_proxy(booking.serve, configuration=value)
        assert (await post(proxy.public, "b1", key="k")).startswith(b"HTTP/1.1 200")
        value["tenants"][0]["api_keys"] = []
        proxy.agree(value | {"version": 7, "base_version": 3}, 2)
        for key in ("k", "another", ""):
            assert (await post(proxy.public, "b2", key=key)).startswith(b"HTTP/1.1 401")
        assert booking.attempt_ids == ["b1"]
        proxy.program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


# Guards the rule CONFIG: a lease on a version that isn't in force here would keep the older one serving for good.
def test_a_version_that_cannot_be_compiled_extends_no_lease_and_gives_way_to_the_next() -> None:
    async def play() -> None:
        booking = Booking()
        booking.may_answer.set()
        proxy = await start_proxy(booking.serve)
        session, expires_at = proxy.program.session, proxy.program.session.lease_expires_at
        unusable = deepcopy(CONFIGURATION) | {"version": 7, "base_version": 3}
        del unusable["listener_table"][0]["rule_set"]
        for _ in range(3):
            proxy.agree(unusable, 2)
        assert session.applied_version == 3 and session.lease_expires_at == expires_at
        assert not session.awaiting_content     # it is not requested for ever
        assert "version 7 cannot be used" in session._lapse_reason(time.monotonic())
        proxy.expire_lease()
        assert (await post(proxy.public, "b1")).startswith(b"HTTP/1.1 503") and not await is_ready(proxy.readiness)
        proxy.agree(deepcopy(CONFIGURATION) | {"version": 9, "base_version": 7}, 3)
        assert session.applied_version == 9
        assert (await post(proxy.public, "b2")).startswith(b"HTTP/1.1 200") and booking.attempt_ids == ["b2"]
        proxy.program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


# Guards the rule CONFIG: no request is answered by an older version later than `config_apply_s` after the
# acknowledgement of its successor.
def test_a_lease_expires_before_a_change_must_be_in_force() -> None:
    async def play() -> None:
        for bound in (2.0, 3.0, 4.0, 9.0):
            program, _, _, _ = await started(bounds=f"rule_bounds.config_apply_s={bound}\n")
            requested_by = time.monotonic()
            assert program.session.has_valid_lease(requested_by)
            assert not program.session.has_valid_lease(requested_by + bound), bound
            program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


# Guards the rule CONFIG: a proxy without a lease must not answer 404, 401 or 413 by a version that may be superseded.
def test_a_proxy_without_a_lease_judges_no_request_by_its_last_version() -> None:
    async def play() -> None:
        program, booking, public, _ = await started()
        value = deepcopy(CONFIGURATION) | {"version": 7, "base_version": 3}
        with_api_keys(value)
        program.handle_message(
            CORE, ["lease", program.session._next_request_number(time.monotonic()), 2, 7, "e", [], 1])
        program.handle_message(CORE, ["content", "e", zlib.compress(json.dumps(value).encode())])
        assert (await post(public, "b1", path="/none/1")).startswith(b"HTTP/1.1 404")
        assert (await post(public, "b2")).startswith(b"HTTP/1.1 401")
        expire_lease(program)
        for path, body in (("/none/1", b"x"), ("/r/1", b"x"), ("/none/1", LARGE_BODY), ("/r/1", LARGE_BODY)):
            answer = await post(public, "b3", path=path, body=body)
            assert answer.startswith(b"HTTP/1.1 503") and b"retry-after" in answer, (path, len(body), answer)
        assert not booking.attempt_ids
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def test_a_large_body_that_is_refused_while_streaming_leaves_the_connection_usable() -> None:
    async def play() -> None:
        program, _, public, _ = await started()
        expire_lease(program)
        reader, writer = await asyncio.open_connection("127.0.0.1", public)
        for attempt_id in ("b1", "b2"):
            writer.write(f"POST /r/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {attempt_id}\r\n"
                         f"Content-Length: {len(LARGE_BODY)}\r\n\r\n".encode() + LARGE_BODY[:-1])
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503") and b"connection: close" not in head
            await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
            writer.write(LARGE_BODY[-1:])
        writer.close()
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))
