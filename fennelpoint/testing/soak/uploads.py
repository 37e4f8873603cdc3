"""Long writes of the soak: clients that send slowly, stop half way or offer another protocol; early answers.

A backend begins to work on an upload once it has the head, so each one that reaches it counts as run.
"""

from __future__ import annotations

import asyncio
import random
from enum import Enum

PATH_PART = "/upload/"
BODY_BYTES = (50_000, 400_000)  # range: some are buffered by a proxy, some are streamed
PIECES, SEND_S = 10, 0.3  # of a body, and the time in which they are sent
STALL_SHARE, OFFER_SHARE, CHUNKED_SHARE = 0.1, 0.3, 0.5
LOSS_SHARE = 0.15  # of uploads that a backend runs and whose connection it resets
PAUSE_S = 0.7  # within an answer in pieces
OFFER = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABk\r\n"


class AnswerForm(Enum):
    """When and how a backend answers an upload."""

    EARLY = "before it reads the body"
    LATE = "after the body"
    IN_PIECES = "an interim answer and the final one in two pieces, after the body"


def body_of(attempt: str, size: int) -> bytes:
    """The body that belongs to an attempt."""
    mark = f"{attempt}.".encode()
    return (mark * (size // len(mark) + 1))[:size]


async def send(writer: asyncio.StreamWriter, attempt: str, head_lines: str) -> None:
    """Send an upload: the request line and fields in `head_lines`, and what is drawn here."""
    size, is_chunked = random.randint(*BODY_BYTES), random.random() < CHUNKED_SHARE
    body = body_of(attempt, size)
    framing = "Transfer-Encoding: chunked\r\n" if is_chunked else f"Content-Length: {size}\r\n"
    offer = OFFER if random.random() < OFFER_SHARE else ""
    stalls_after = random.randrange(PIECES) if random.random() < STALL_SHARE else PIECES
    writer.write(f"{head_lines}{offer}{framing}\r\n".encode())
    step = size // PIECES + 1
    for number in range(stalls_after):
        piece = body[number * step : (number + 1) * step]
        writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if is_chunked else piece)
        await writer.drain()
        await asyncio.sleep(SEND_S / PIECES)
    if is_chunked and stalls_after == PIECES:
        writer.write(b"0\r\n\r\n")


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """The body of a request in either framing."""
    if fields.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(fields.get("content-length", 0)))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, fields: dict[str, str], id: str
) -> tuple[bool, bool]:
    """Work on an upload whose head has been read.

    Returns whether the connection stays open, and whether the body was the one that belongs to the attempt.
    """
    attempt = fields["x-attempt-id"]
    if random.random() < LOSS_SHARE:
        await asyncio.sleep(random.uniform(0.0, SEND_S))
        writer.transport.abort()
        return False, True
    form = random.choice(list(AnswerForm))
    head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {id}\r\nContent-Length: 2\r\n\r\n"
    if form is AnswerForm.EARLY:
        writer.write(f"{head}ok".encode())
    body = await read_body(reader, fields)
    if form is AnswerForm.LATE:
        writer.write(f"{head}ok".encode())
    elif form is AnswerForm.IN_PIECES:
        writer.write(f"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{head[:30]}".encode())
        await asyncio.sleep(PAUSE_S)
        writer.write(f"{head[30:]}ok".encode())
    return True, body == body_of(attempt, len(body)) and len(body) >= BODY_BYTES[0]
