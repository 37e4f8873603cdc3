"""Remote procedure calls between the processes of the fleet: JSON objects over TCP, one per line.

Each call carries an id, which its answer repeats.  This module only transports calls.  Line length is limited,
each call has a timeout, and an invalid call closes its connection.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

from fennelpoint.rate_limited_log import warn_limited

MAX_LINE_BYTES = 6 << 20    # the largest message carries a version's content in base64
MAX_CONNECTIONS = 1024
MAX_PENDING_CALLS = 64      # per connection


class CallFailed(Exception):
    """A call got no answer, or its answer is an error; the message is one line of text."""


class CallRefused(CallFailed):
    """The call was refused, and every other server would refuse it as well."""


Handler = Callable[[dict], Awaitable[dict]]


class RpcServer:
    """Answers calls with `handler`, whose ValueError refuses a call; after CallFailed another server may succeed."""

    def __init__(self, kind: str, handler: Handler) -> None:
        self.kind, self.handler = kind, handler
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()

    async def listen(self, host: str, port: int, reuse_port: bool = False) -> tuple[str, int]:
        """Start listening; returns the address that is bound."""
        self.server = await asyncio.start_server(self._serve, host, port, limit=MAX_LINE_BYTES,
                                                 reuse_port=reuse_port or None)
        return self.server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.connections) >= MAX_CONNECTIONS:
            return writer.close()
        self.connections.add(writer)
        pending_calls: set[asyncio.Task] = set()
        try:
            while line := await reader.readline():
                call = json.loads(line)
                if not isinstance(call, dict) or not isinstance(call.get("do"), str):
                    raise ValueError("the line is not a call")
                while len(pending_calls) >= MAX_PENDING_CALLS:
                    await asyncio.wait(pending_calls, return_when=asyncio.FIRST_COMPLETED)
                task = asyncio.ensure_future(self._answer(call, writer))
                for tasks in (pending_calls, self.tasks):
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
        except (ValueError, RecursionError, asyncio.LimitOverrunError) as error:
            warn_limited(self.kind, "%s sent an invalid call: %s", writer.get_extra_info("peername"),
                         str(error)[:100])
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, call: dict, writer: asyncio.StreamWriter) -> None:
        try:
            answer = await self.handler(call)
        except (ValueError, KeyError, TypeError, AttributeError, CallFailed) as error:
            text = (str(error) if isinstance(error, ValueError | CallFailed)
                    else f"error in the call's fields: {error!r}")
            answer = {"error": text.splitlines()[0][:500] if text else type(error).__name__,
                      "refused": not isinstance(error, CallFailed)}
        try:
            if not writer.is_closing():
                writer.write(json.dumps({**answer, "id": call.get("id")}, separators=(",", ":")).encode() + b"\n")
                await writer.drain()
        except OSError:
            pass

    def close(self) -> None:
        """Stop listening, abort all connections and cancel the calls in progress."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class RpcClient:
    """Calls to one address over one connection, which is reopened after it breaks or a call times out."""

    def __init__(self, host: str, port: int) -> None:
        self.address = host, port
        self.writer: asyncio.StreamWriter | None = None
        self.read_task: asyncio.Task | None = None
        self.pending: dict[int, asyncio.Future] = {}    # by call id
        self.last_id = 0
        self.connect_lock = asyncio.Lock()

    async def call(self, command: str, timeout_s: float, /, **fields: object) -> dict:
        """Send a call and return its answer; raises CallFailed on a timeout, a broken connection or an error."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(command, fields)
        except TimeoutError:
            self.reset()
            raise CallFailed("{}:{} did not answer in time".format(*self.address)) from None
        except (OSError, ValueError) as error:
            self.reset()
            raise CallFailed("{}:{}: {}".format(*self.address, str(error) or "connection lost")) from None

    async def _call(self, command: str, fields: dict) -> dict:
        async with self.connect_lock:
            if self.writer is None or self.writer.is_closing():
                reader, self.writer = await asyncio.open_connection(*self.address, limit=MAX_LINE_BYTES)
                self.read_task = asyncio.ensure_future(self._read(reader, self.writer))
        self.last_id += 1
        call_id = self.last_id
        future = self.pending[call_id] = asyncio.get_running_loop().create_future()
        try:
            self.writer.write(json.dumps({"do": command, "id": call_id, **fields}, separators=(",", ":")).encode()
                              + b"\n")
            await self.writer.drain()
            answer = await future
        finally:
            self.pending.pop(call_id, None)
        if "error" in answer:
            raise (CallRefused if answer.get("refused") else CallFailed)(str(answer["error"]))
        return answer

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                answer = json.loads(line)
                future = self.pending.get(answer.get("id"))
                if future is not None and not future.done():
                    future.set_result(answer)
        except (OSError, ValueError, AttributeError, TypeError):
            pass
        finally:
            writer.close()
            for future in self.pending.values():
                if not future.done():
                    future.set_exception(OSError("connection lost"))

    def reset(self) -> None:
        """Abort the connection; the next call opens a new one."""
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None
        if self.read_task is not None:
            self.read_task.cancel()
            self.read_task = None

    close = reset


async def call_once(address: tuple[str, int], command: str, timeout_s: float, /, **fields: object) -> dict:
    """Make one call over a connection of its own; raises CallFailed as `RpcClient.call` does."""
    client = RpcClient(*address)
    try:
        return await client.call(command, timeout_s, **fields)
    finally:
        client.close()
