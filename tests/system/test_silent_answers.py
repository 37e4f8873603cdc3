"""A backend's silence within its answer is no reason to end the answer sooner than its request's time is up.

Guards the rule LOST: a payment that had run got 502 because its answer paused for more than half a second.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from copy import deepcopy

import pytest

from fennelpoint.testing.proxy_program import CONFIGURATION, RunningProxy, start_proxy

HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: 6\r\n\r\n"
PAUSE_S = 0.9
PIECES: dict[str, tuple[str, ...]] = {
    "half of the body": (HEAD + "pai", "d 1"),
    "an interim answer": ("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", HEAD + "paid 1"),
    "half of the head": (HEAD[:30], HEAD[30:] + "paid 1"),
}


def answering(*pieces: str) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
    """A backend that pauses between the pieces of its answer, and stays silent after the last one."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := (await reader.readuntil(b"\r\n\r\n")).decode().lower():
            attempt = head.split("x-attempt-id: ")[1].split("\r\n")[0]
            for number, piece in enumerate(pieces):
                await asyncio.sleep(PAUSE_S if number else 0.0)
                writer.write(piece.replace("{id}", attempt).encode())

    return serve


async def post(proxy: RunningProxy, left_ms: int) -> bytes:
    """Status and body of a write's answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.public)
    writer.write(
        f"POST /r/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: b1\r\nX-Deadline-Remaining: {left_ms}\r\n"
        f"Content-Length: 0\r\n\r\n".encode()
    )
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    body = await reader.readexactly(length)
    writer.close()
    return head.split()[1] + b" " + body


def play(scenario: Callable[[RunningProxy], Awaitable[None]], kind: str, *pieces: str) -> None:
    async def run() -> None:
        configuration = deepcopy(CONFIGURATION)
        configuration["listener_table"][0]["rule_set"][0]["kind"] = kind
        proxy = await start_proxy(answering(*pieces), answering(*pieces), configuration=configuration)
        try:
            await asyncio.wait_for(scenario(proxy), 10.0)
        finally:
            proxy.program.close()

    asyncio.run(run())


@pytest.mark.parametrize("kind", ["non_idempotent", "idempotent"])
@pytest.mark.parametrize("form", PIECES)
def test_answer_that_pauses_is_passed_on_whole(form: str, kind: str) -> None:
    async def scenario(proxy: RunningProxy) -> None:
        assert await post(proxy, 4000) == b"200 paid 1"

    play(scenario, kind, *PIECES[form])


def test_answer_that_stays_incomplete_holds_its_request_to_the_deadline_only() -> None:
    async def scenario(proxy: RunningProxy) -> None:
        began = time.monotonic()
        assert (await post(proxy, 1200)).startswith(b"502")
        assert 1.1 < time.monotonic() - began < 2.0

    play(scenario, "non_idempotent", HEAD + "pai")
