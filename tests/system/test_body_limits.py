"""The configuration's bound on bodies is the one in force; no path at a public address is the proxy's own."""

import asyncio
from collections.abc import Awaitable, Callable
from copy import deepcopy

import pytest

from fennelpoint.testing.proxy_program import CONFIGURATION, RunningProxy, start_proxy

MIB = 1 << 20


async def count_bytes(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A backend that answers with the path and the length of the body that it got, and a body of that length."""
    while head := (await reader.readuntil(b"\r\n\r\n")).decode().lower():
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        left = length = int(fields.get("content-length", 0))
        while left:
            left -= len(await reader.read(min(left, 1 << 16)))
        answer = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {fields['x-attempt-id']}\r\nX-Server-Seal: s\r\n"
        writer.write(
            f"{answer}X-Path: {head.split()[1]}\r\nContent-Length: {length}\r\n\r\n".encode() + bytes(length)
        )
        await writer.drain()


def play(scenario: Callable[[RunningProxy], Awaitable[None]], prefix: str = "/r/", **limits: int) -> None:
    async def run() -> None:
        configuration = deepcopy(CONFIGURATION) | {"limits": limits}
        rule = configuration["listener_table"][0]["rule_set"][0]
        rule["match_criteria"]["path_prefix"] = prefix
        rule["route_action"]["request_timeout_s"] = 20
        proxy = await start_proxy(count_bytes, configuration=configuration)
        try:
            await asyncio.wait_for(scenario(proxy), 30.0)
        finally:
            proxy.program.close()

    asyncio.run(run())


async def exchange(proxy: RunningProxy, method: str, path: str, size: int = 0) -> tuple[int, dict[str, str], int]:
    """Status, header fields and length of the body of an answer to a request with a body of that size."""
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.public)
    writer.write(
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: b1\r\nContent-Length: {size}\r\n\r\n".encode()
    )
    sending = asyncio.ensure_future(send_body(writer, size))
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
    received = 0
    while received < int(fields["content-length"]):
        received += len(await reader.read(1 << 16))
    sending.cancel()
    writer.close()
    return int(head.split()[1]), fields, received


async def send_body(writer: asyncio.StreamWriter, size: int) -> None:
    while size > 0:
        writer.write(bytes(min(size, MIB)))
        await writer.drain()
        size -= MIB


# Guards against a bound of the program's own: an upload of 45 MiB got 413 where 64 MiB are allowed.
@pytest.mark.parametrize(
    "body_bytes, size, status",
    [
        (64 * MIB, 45 * MIB, 200),
        (46 * MIB, 46 * MIB, 200),
        (46 * MIB, 46 * MIB + 1, 413),
        (1000, 1000, 200),
        (1000, 1001, 413),
    ],
)
def test_body_is_bounded_by_the_configuration_in_both_directions(body_bytes: int, size: int, status: int) -> None:
    async def scenario(proxy: RunningProxy) -> None:
        answered, _, received = await exchange(proxy, "POST", "/r/1", size)
        assert answered == status
        if status == 200:
            assert received == size

    play(scenario, body_bytes=body_bytes)


def test_ready_at_the_public_address_is_a_path_like_any_other() -> None:
    async def scenario(proxy: RunningProxy) -> None:
        status, fields, _ = await exchange(proxy, "GET", "/ready")
        assert (status, fields.get("x-path")) == (200, "/ready")

    play(scenario, prefix="/")


def test_ready_without_a_route_is_not_found() -> None:
    async def scenario(proxy: RunningProxy) -> None:
        status, _, _ = await exchange(proxy, "GET", "/ready")
        assert status == 404

    play(scenario)
