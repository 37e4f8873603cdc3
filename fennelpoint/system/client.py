"""Client library of the system: finds proxies, keeps deadlines, and retries without running a write twice.

    client = Client(["10.1.0.11:8209"], zone="mapo", region="seoul", key="...")
    answer = await client.request("POST", "bookings.example", "/book/1", b"{}", deadline=2.5, repeatable=False)

The status decides whether a request may be retried: 408, 421, 429 and 503 promise that it has not run and never will.
After any other failure it may have run, so only a repeatable request is retried.  Each attempt has its own id, and a
promise is about one attempt: `Answer.may_have_run` tells of all of them.
"""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import time
from dataclasses import dataclass, field, replace
from urllib.parse import urlencode

import httptools
from result import Err, Ok, Result

from fennelpoint.system.failure import Failure
from fennelpoint.system.settings import parse_address

NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))     # the request has not run and never will
FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))
RESOLVE_TIMEOUT_S, CONNECT_TIMEOUT_S = 1.0, 1.0
MAX_DIRECTORIES = 3     # queried in turn for one lookup
MAX_ATTEMPTS = 4        # of one request
MAX_RETRY_AFTER_FRACTION = 1 / 3    # of the remaining time: a longer Retry-After is cut to this
MIN_RETRY_DELAY_S = 0.05    # multiplied by a random factor from 1 to 3, so that retries of many clients spread out
MAX_IDLE_CONNECTIONS = 8    # to each proxy


@dataclass(slots=True)
class Answer:
    """A response; `headers` are by lower-case name, and `tries` is the number of attempts that were made.

    `may_have_run` tells whether any of these attempts may have run, whatever the last one's status promises.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    tries: int = 1
    may_have_run: bool = True


@dataclass(eq=False)
class _Connection(asyncio.Protocol):
    """A connection to one proxy or directory; it carries one request at a time."""

    address: str
    answer: asyncio.Future | None = None
    transport: asyncio.Transport | None = None
    reusable_until: float = 0.0
    has_received: bool = False
    body: list[bytes] = field(default_factory=list)
    headers: dict[str, str] = field(default_factory=dict)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.parser = transport, httptools.HttpResponseParser(self)

    def data_received(self, data: bytes) -> None:
        self.has_received = True
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
            self.answer.set_exception(ConnectionError("connection closed before the response was complete"))


class Client:
    """Sends requests to the proxies; `directories` are core machines that serve the directory, the nearest first."""

    def __init__(self, directories: list[str], zone: str = "", region: str = "", key: str = "") -> None:
        self.directories, self.zone, self.region, self.key = directories, zone, region, key
        self.resolved: dict[str, tuple[list[str], float]] = {}  # by host: proxies, and until when they are valid
        self.excluded_until: dict[str, float] = {}      # proxies that failed
        self.idle: dict[str, list[_Connection]] = {}    # by address

    async def request(self, method: str, host: str, path: str, body: bytes = b"", *, deadline: float,
                      repeatable: bool, headers: dict[str, str] | None = None) -> Result[Answer, Failure]:
        """Returns the response of a proxy, or why there is none before the deadline (s from now).

        A response of any status is Ok: the caller gets the last one that arrived.  Err names the step and the peer;
        its `status` is 503 if the request has not run in any attempt, and 504 if it may have.
        """
        ends_at, failure = time.monotonic() + deadline, Failure("resolve", "", "no proxy is known", 503)
        answer, may_have_run = None, False
        for attempt in range(1, MAX_ATTEMPTS + 1):
            if (time_left := ends_at - time.monotonic()) <= 0.0:
                break
            proxies = await self._resolve(host)
            if isinstance(proxies, Err):
                failure = proxies.err_value
                await self._wait_to_retry(None, ends_at)
                continue
            address = random.choice(proxies.ok_value)
            result = await self._attempt(address, method, host, path, body, time_left, headers or {})
            if isinstance(result, Err):
                failure = result.err_value
                may_have_run = may_have_run or failure.status != 503
                self.excluded_until[address] = time.monotonic() + 1.0
                if may_have_run and not repeatable:
                    return Err(failure)     # it may have run: only the caller can find out
                await self._wait_to_retry(None, ends_at)
                continue
            answer = result.ok_value
            may_have_run = may_have_run or answer.status not in NOT_EXECUTED_STATUSES
            answer.tries, answer.may_have_run = attempt, may_have_run
            may_retry = answer.status in NOT_EXECUTED_STATUSES or repeatable and answer.status >= 500
            if answer.status < 300 or answer.status in FINAL_STATUSES or not may_retry:
                return Ok(answer)
            await self._wait_to_retry(answer.headers.get("retry-after"), ends_at)
        if answer is not None:
            return Ok(answer)
        return Err(replace(failure, status=504) if may_have_run else failure)

    async def _wait_to_retry(self, retry_after: str | None, ends_at: float) -> None:
        """Waits before the next attempt; `retry_after` is the header of the last response."""
        time_left = max(0.0, ends_at - time.monotonic())
        try:
            advised_s = float(retry_after) if retry_after else 0.0
        except ValueError:
            advised_s = 0.0
        await asyncio.sleep(min(time_left, max(min(advised_s, MAX_RETRY_AFTER_FRACTION * time_left),
                                       MIN_RETRY_DELAY_S * random.uniform(1.0, 3.0))))

    async def _resolve(self, host: str) -> Result[list[str], Failure]:
        """Returns proxies for new connections; the last result stays valid while no directory answers."""
        now = time.monotonic()
        proxies, valid_until = self.resolved.get(host, ([], 0.0))
        failure = Failure("resolve", "", "no directory is configured", 503)
        if now >= valid_until:
            query = urlencode({"name": host, "region": self.region, "availability_zone": self.zone})
            for address in self.directories[:MAX_DIRECTORIES]:
                result = await self._attempt(address, "GET", address, f"/api/resolve?{query}", b"", RESOLVE_TIMEOUT_S,
                                             {}, with_key=False)
                try:
                    value = json.loads(result.unwrap().body) if isinstance(result, Ok) else {}
                    proxies, ttl_s = [str(proxy) for proxy in value["addresses"]], float(value["ttl_s"])
                except (ValueError, KeyError, TypeError):
                    failure = Failure("resolve", address,
                                      str(result.err_value) if isinstance(result, Err) else "invalid response")
                    continue
                self.resolved[host] = (proxies, now + ttl_s)
                self._close_unlisted(proxies)
                break
        usable = [proxy for proxy in proxies if self.excluded_until.get(proxy, 0.0) <= now]
        return Ok(usable or proxies) if proxies else Err(failure)

    def _close_unlisted(self, proxies: list[str]) -> None:
        """Closes idle connections to proxies that the directory no longer lists."""
        listed = {address for addresses, _ in self.resolved.values() for address in addresses} | set(proxies)
        for address in [
                address for address in self.idle if address not in listed and address not in self.directories]:
            for connection in self.idle.pop(address):
                connection.transport.close()

    async def _attempt(self, address: str, method: str, host: str, path: str, body: bytes, time_left: float,
                       headers: dict[str, str], with_key: bool = True) -> Result[Answer, Failure]:
        """Makes one attempt on one connection; the status of a failure says whether the request may have run."""
        try:
            connection = await self._get_connection(address)
        except (OSError, ValueError, TimeoutError) as error:
            return Err(Failure("connect", address, str(error) or "connect timed out", 503))
        fields = {**headers, "Host": host, "X-Attempt-Id": secrets.token_hex(8),
                  "X-Deadline-Remaining": str(max(1, int(time_left * 1000)))}
        if with_key and self.key:
            fields["Authorization"] = f"Token {self.key}"
        if body or method not in ("GET", "HEAD"):
            fields["Content-Length"] = str(len(body))
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        connection.answer, connection.has_received = asyncio.get_running_loop().create_future(), False
        connection.body, connection.headers = [], {}
        connection.transport.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode("latin-1") + body)
        try:
            async with asyncio.timeout(time_left):
                answer = await connection.answer
        except (OSError, TimeoutError) as error:
            connection.transport.abort()
            return Err(Failure(f"{method} {path}", address, str(error) or "no response before the deadline", 504))
        except asyncio.CancelledError:
            connection.transport.abort()  # so that the proxy sees that the client has left
            raise
        if not connection.transport.is_closing():
            self._release(connection, answer)
        return Ok(answer)

    def _release(self, connection: _Connection, answer: Answer) -> None:
        """Returns a connection to the pool, for less time than the server keeps it open."""
        keep_alive_s = 5.0
        for parameter in answer.headers.get("keep-alive", "").split(","):
            name, _, number = parameter.strip().partition("=")
            if name.lower() == "timeout" and number.isdigit():
                keep_alive_s = float(number)
        connection.reusable_until = time.monotonic() + 0.6 * keep_alive_s
        if len(connections := self.idle.setdefault(connection.address, [])) < MAX_IDLE_CONNECTIONS:
            connections.append(connection)
        else:
            connection.transport.close()

    async def _get_connection(self, address: str) -> _Connection:
        """Returns an idle connection to this address, or a new one."""
        connections = self.idle.get(address, [])
        while connections:
            connection = connections.pop()
            if time.monotonic() < connection.reusable_until and not connection.transport.is_closing():
                return connection
            connection.transport.close()
        host, port = parse_address(address)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: _Connection(address), host, port)
        return connection

    def close(self) -> None:
        """Closes all idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.transport.close()
        self.idle.clear()
