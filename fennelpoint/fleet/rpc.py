"""Calls between the fleet's processes: a JSON object a line, over TCP, each with a number and its answer.

Thin: it decides nothing.  A line has a bound, a caller a time, and what is no call costs its connection.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

from fennelpoint.rate_limited_log import warn_limited

MOST_LINE = 6 << 20     # bytes: a content in base64 is the largest
MOST_CALLERS = 1024     # connections at a time
MOST_WAITING = 64       # calls of one connection at a time


class CallFailed(Exception):
    """Nobody answered, or the answer was no: the text says which, in one line."""


class Refusal(CallFailed):
    """The answer was no, and whoever else is asked would say the same."""


Handler = Callable[[dict], Awaitable[dict]]


class Service:
    """Answers calls by `handler`: ValueError is a refusal, CallFailed that another may know better."""

    def __init__(self, kind: str, handler: Handler) -> None:
        self.kind, self.handler = kind, handler
        self.server: asyncio.Server | None = None
        self.callers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()

    async def listen(self, host: str, port: int, reuse_port: bool = False) -> tuple[str, int]:
        """Where it listens."""
        self.server = await asyncio.start_server(self._serve, host, port, limit=MOST_LINE,
                                                 reuse_port=reuse_port or None)
        return self.server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.callers) >= MOST_CALLERS:
            return writer.close()
        self.callers.add(writer)
        open_calls: set[asyncio.Task] = set()
        try:
            while line := await reader.readline():
                call = json.loads(line)
                if not isinstance(call, dict) or not isinstance(call.get("do"), str):
                    raise ValueError("it is no call")
                while len(open_calls) >= MOST_WAITING:
                    await asyncio.wait(open_calls, return_when=asyncio.FIRST_COMPLETED)
                task = asyncio.ensure_future(self._answer(call, writer))
                for tasks in (open_calls, self.tasks):
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
        except (ValueError, RecursionError, asyncio.LimitOverrunError) as error:
            warn_limited(self.kind, "%s sent what is no call: %s", writer.get_extra_info("peername"),
                     str(error)[:100])
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.callers.discard(writer)
            writer.close()

    async def _answer(self, call: dict, writer: asyncio.StreamWriter) -> None:
        try:
            answer = await self.handler(call)
        except (ValueError, KeyError, TypeError, AttributeError, CallFailed) as error:
            text = str(error) if isinstance(error, ValueError | CallFailed) else f"the call's fields: {error!r}"
            answer = {"error": text.splitlines()[0][:500] if text else type(error).__name__,
                      "refused": not isinstance(error, CallFailed)}
        try:
            if not writer.is_closing():
                writer.write(json.dumps({**answer, "id": call.get("id")}, separators=(",", ":")).encode() + b"\n")
                await writer.drain()
        except OSError:
            pass

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.callers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Line:
    """Calls to one address over one connection, made anew when it breaks or an answer does not come in time."""

    def __init__(self, host: str, port: int) -> None:
        self.address = host, port
        self.writer: asyncio.StreamWriter | None = None
        self.reading: asyncio.Task | None = None
        self.waiting: dict[int, asyncio.Future] = {}
        self.number = 0
        self.lock = asyncio.Lock()

    async def call(self, do: str, seconds: float, /, **fields: object) -> dict:
        """The answer; raises CallFailed where none came in time, or it was a refusal."""
        try:
            async with asyncio.timeout(seconds):
                return await self._call(do, fields)
        except TimeoutError:
            self.reset()
            raise CallFailed("{}:{} does not answer".format(*self.address)) from None
        except (OSError, ValueError) as error:
            self.reset()
            raise CallFailed("{}:{}: {}".format(*self.address, str(error) or "the connection broke")) from None

    async def _call(self, do: str, fields: dict) -> dict:
        async with self.lock:
            if self.writer is None or self.writer.is_closing():
                reader, self.writer = await asyncio.open_connection(*self.address, limit=MOST_LINE)
                self.reading = asyncio.ensure_future(self._read(reader, self.writer))
        self.number += 1
        number = self.number
        future = self.waiting[number] = asyncio.get_running_loop().create_future()
        try:
            self.writer.write(json.dumps({"do": do, "id": number, **fields}, separators=(",", ":")).encode()
                              + b"\n")
            await self.writer.drain()
            answer = await future
        finally:
            self.waiting.pop(number, None)
        if "error" in answer:
            raise (Refusal if answer.get("refused") else CallFailed)(str(answer["error"]))
        return answer

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                answer = json.loads(line)
                future = self.waiting.get(answer.get("id"))
                if future is not None and not future.done():
                    future.set_result(answer)
        except (OSError, ValueError, AttributeError, TypeError):
            pass
        finally:
            writer.close()
            for future in self.waiting.values():
                if not future.done():
                    future.set_exception(OSError("the connection broke"))

    def reset(self) -> None:
        """Leave the connection: the next call makes another."""
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None
        if self.reading is not None:
            self.reading.cancel()
            self.reading = None

    close = reset


async def call_once(address: tuple[str, int], do: str, seconds: float, /, **fields: object) -> dict:
    """One call over a connection of its own."""
    line = Line(*address)
    try:
        return await line.call(do, seconds, **fields)
    finally:
        line.close()
