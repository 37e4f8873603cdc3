"""A client of the whole system: finds fronts, keeps to deadlines and promises, and never doubles a write.

    client = Client(["10.1.0.11:8209"], zone="mapo", region="seoul", key="...")
    answer = await client.request("POST", "bookings.example", "/book/1", b"{}", deadline=2.5, repeatable=False)

What may be sent again is told by the answer: 408, 421, 429 and 503 promise that the request has not run and never
will; anything else may have run, so only a repeatable request is sent again.  Each try has an id of its own.
"""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import time
from dataclasses import dataclass, field
from urllib.parse import urlencode

import httptools
from result import Err, Ok, Result

from fennelpoint.system.failure import Failure
from fennelpoint.system.settings import parse_address

PROMISES = frozenset((408, 421, 429, 503))      # it has not run and never will
FINAL = frozenset((400, 401, 404, 413, 431))
RESOLVE, CONNECT = 1.0, 1.0     # s for a directory, for a connection
DIRECTORIES = 3     # that are asked for one answer
TRIES = 4           # of one request
HONOURED = 1 / 3    # of the time left, that an advice to wait is followed for at most
PAUSE = 0.05        # s, at least, before a further try; drawn up to three times that, so that clients spread
KEPT = 8            # idle connections a front


@dataclass(slots=True)
class Answer:
    """`headers` by lower-case name; `tries` is how many it took."""

    status: int
    headers: dict[str, str]
    body: bytes
    tries: int = 1


@dataclass(eq=False)
class _Line(asyncio.Protocol):
    """One connection to one front; one request at a time."""

    at: str
    answer: asyncio.Future | None = None
    transport: asyncio.Transport | None = None
    until: float = 0.0      # idle no longer than this
    heard: bool = False     # something of the answer has come
    body: list[bytes] = field(default_factory=list)
    headers: dict[str, str] = field(default_factory=dict)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.parser = transport, httptools.HttpResponseParser(self)

    def data_received(self, data: bytes) -> None:
        self.heard = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status >= 200 and self.answer is not None and not self.answer.done():
            if not self.parser.should_keep_alive():
                self.transport.close()
            self.answer.set_result(Answer(status, dict(self.headers), b"".join(self.body)))

    def connection_lost(self, error: Exception | None) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionError("the connection ended"))


class Client:
    """`directories` are addresses of core machines that serve the directory, near ones first."""

    def __init__(self, directories: list[str], zone: str = "", region: str = "", key: str = "") -> None:
        self.directories, self.zone, self.region, self.key = directories, zone, region, key
        self.known: dict[str, tuple[list[str], float]] = {}     # fronts by host, and until when
        self.failed: dict[str, float] = {}                      # fronts that failed, and until when they are left out
        self.idle: dict[str, list[_Line]] = {}

    async def request(self, method: str, host: str, path: str, body: bytes = b"", *, deadline: float,
                      repeatable: bool, headers: dict[str, str] | None = None) -> Result[Answer, Failure]:
        """The answer of a front, or why there is none by the deadline (s from now).

        An answer of any status is Ok: the caller sees what it was told last.  Err tells step and peer; its `status`
        is 503 where nothing has run, 504 where it may have.
        """
        ends, last = time.monotonic() + deadline, Failure("resolve", "", "no front is known", 503)
        answer = None
        for tries in range(1, TRIES + 1):
            if (left := ends - time.monotonic()) <= 0.0:
                break
            fronts = await self._fronts(host)
            if isinstance(fronts, Err):
                last = fronts.err_value
                await self._pause(None, ends)
                continue
            at = random.choice(fronts.ok_value)
            told = await self._try(at, method, host, path, body, left, headers or {})
            if isinstance(told, Err):
                last = told.err_value
                self.failed[at] = time.monotonic() + 1.0
                if last.status != 503 and not repeatable:
                    return Err(last)    # it may have run: whoever asked has to find out
                await self._pause(None, ends)
                continue
            answer = told.ok_value
            answer.tries = tries
            again = answer.status in PROMISES or repeatable and answer.status >= 500
            if answer.status < 300 or answer.status in FINAL or not again:
                return Ok(answer)
            await self._pause(answer.headers.get("retry-after"), ends)
        return Ok(answer) if answer is not None else Err(last)

    async def _pause(self, advice: str | None, ends: float) -> None:
        left = max(0.0, ends - time.monotonic())
        try:
            wait = float(advice) if advice else 0.0
        except ValueError:
            wait = 0.0
        await asyncio.sleep(min(left, max(min(wait, HONOURED * left), PAUSE * random.uniform(1.0, 3.0))))

    async def _fronts(self, host: str) -> Result[list[str], Failure]:
        """Fronts for new connections; the last answer goes on while no directory answers."""
        now = time.monotonic()
        fronts, until = self.known.get(host, ([], 0.0))
        failure = Failure("resolve", "", "no directory is known", 503)
        if now >= until:
            query = urlencode({"name": host, "region": self.region, "availability_zone": self.zone})
            for at in self.directories[:DIRECTORIES]:
                told = await self._try(at, "GET", at, f"/api/resolve?{query}", b"", RESOLVE, {}, keyed=False)
                try:
                    value = json.loads(told.unwrap().body) if isinstance(told, Ok) else {}
                    fronts, ttl = [str(a) for a in value["addresses"]], float(value["ttl_s"])
                except (ValueError, KeyError, TypeError):
                    failure = Failure("resolve", at, str(told.err_value) if isinstance(told, Err) else "no addresses")
                    continue
                self.known[host] = (fronts, now + ttl)
                self._leave(fronts)
                break
        good = [at for at in fronts if self.failed.get(at, 0.0) <= now]
        return Ok(good or fronts) if fronts else Err(failure)

    def _leave(self, fronts: list[str]) -> None:
        """Close what is idle at fronts that are in no answer any more."""
        held = {at for addresses, _ in self.known.values() for at in addresses} | set(fronts)
        for at in [at for at in self.idle if at not in held and at not in self.directories]:
            for line in self.idle.pop(at):
                line.transport.close()

    async def _try(self, at: str, method: str, host: str, path: str, body: bytes, left: float,
                   headers: dict[str, str], keyed: bool = True) -> Result[Answer, Failure]:
        """One try on one connection; an error's status tells whether it may have run."""
        try:
            line = await self._line(at)
        except (OSError, ValueError, TimeoutError) as error:
            return Err(Failure("connect", at, str(error) or "it takes too long", 503))
        fields = {**headers, "Host": host, "X-Attempt-Id": secrets.token_hex(8),
                  "X-Deadline-Remaining": str(max(1, int(left * 1000)))}
        if keyed and self.key:
            fields["Authorization"] = f"Token {self.key}"
        if body or method not in ("GET", "HEAD"):
            fields["Content-Length"] = str(len(body))
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        line.answer, line.heard = asyncio.get_running_loop().create_future(), False
        line.body, line.headers = [], {}
        line.transport.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode("latin-1") + body)
        try:
            async with asyncio.timeout(left):
                answer = await line.answer
        except (OSError, TimeoutError) as error:
            line.transport.abort()
            return Err(Failure(f"{method} {path}", at, str(error) or "no answer in time", 504))
        except asyncio.CancelledError:
            line.transport.abort()  # so that the proxy sees that nobody waits any more
            raise
        if not line.transport.is_closing():
            self._keep(line, answer)
        return Ok(answer)

    def _keep(self, line: _Line, answer: Answer) -> None:
        kept = 5.0
        for part in answer.headers.get("keep-alive", "").split(","):
            word, _, number = part.strip().partition("=")
            if word.lower() == "timeout" and number.isdigit():
                kept = float(number)
        line.until = time.monotonic() + 0.6 * kept
        if len(lines := self.idle.setdefault(line.at, [])) < KEPT:
            lines.append(line)
        else:
            line.transport.close()

    async def _line(self, at: str) -> _Line:
        lines = self.idle.get(at, [])
        while lines:
            line = lines.pop()
            if time.monotonic() < line.until and not line.transport.is_closing():
                return line
            line.transport.close()
        host, port = parse_address(at)
        async with asyncio.timeout(CONNECT):
            _, line = await asyncio.get_running_loop().create_connection(lambda: _Line(at), host, port)
        return line

    def close(self) -> None:
        for lines in self.idle.values():
            for line in lines:
                line.transport.close()
        self.idle.clear()
