"""A whole front on loopback, told by this test what a core machine would tell it."""

import asyncio
import json
import time
import zlib

from fennelpoint.standins.process import free_port
from fennelpoint.system import settings
from fennelpoint.system.roll.allocator import LIFE
from fennelpoint.system.span.events import RetryRule
from fennelpoint.system.span.program import Program

CONFIGURATION = {"version": 3, "clusters": [{"name": "svc"}], "listener_table": [{"host": "h", "rule_set": [
    {"name": "r", "kind": "non_idempotent", "match_criteria": {"path_prefix": "/r/"},
     "route_action": {"service": "svc", "request_timeout_s": 5, "max_attempts": 2}}]}]}
CORE = "roll@127.0.0.9"


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


async def started(grace: float = 1.0, bounds: str = "") -> tuple[Program, Booking, int, int]:
    """A front that serves, its backend, and its ports for clients and for readiness."""
    public, readiness, inner = free_port(), free_port(), free_port()
    program = Program(asyncio.get_running_loop(), settings.build(settings.parse(
        f"node_name=f\nnode_role=r\nip_address=127.0.0.1\navailability_zone=za\nregion=ra\nzones.za=ra\n"
        f"internal_ports={inner},{inner + 5}\nseed_nodes=127.0.0.9:8200\n"
        f"listen_addresses.public_http=127.0.0.1:{public}\n"
        f"listen_addresses.readiness=127.0.0.1:{readiness}\nrule_bounds.grace_period_s={grace}\n{bounds}")))
    await program.start()
    booking = Booking()
    server = await asyncio.start_server(booking.serve, "127.0.0.1", 0)
    at = server.sockets[0].getsockname()
    data = zlib.compress(json.dumps(CONFIGURATION).encode())
    backend = ["i-1", f"{at[0]}:{at[1]}", "svc", "za", 2, "v1", "ready", 1, 0.0, 0.0, False]
    program.take(CORE, ["list", 1, 1, [backend], True])
    program.take(CORE, ["lease", program.session._number(time.monotonic()), 1, 3, "d", [], 1])
    program.take(CORE, ["content", "d", data])
    return program, booking, public, readiness


async def post(port: int, id: str) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"POST /r/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\nX-Deadline-Remaining: 4000\r\n"
                 f"Content-Length: 1\r\n\r\nx".encode())
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


def test_a_front_whose_lease_ends_refuses_at_once_and_sends_nothing_on() -> None:
    async def play() -> None:
        program, booking, public, readiness = await started()
        program.session.until = time.monotonic()     # as after 4.2 s without a word
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
        program.take(CORE, ["lend", session._number(time.monotonic()), *grant])
        assert decider.slack == 100 * 0.9 * 0.5
        first = decider.leased_until
        assert 0.0 < first - program.host.clock() <= LIFE
        await asyncio.sleep(0)
        program.take(CORE, ["lend", session._number(time.monotonic() + 0.5), *grant[:2], None])
        assert decider.leased_until - first > 0.4
        program.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))
