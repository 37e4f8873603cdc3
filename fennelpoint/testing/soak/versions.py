"""Checks that proxies use the newest configuration: each version adds a route and removes an older one."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from fennelpoint.testing.servers import read_message
from fennelpoint.testing.system_demo import KEY

HOST = "bookings.example"
ROUTE_LIFETIME_VERSIONS = 8  # a route exists in the version that adds it and in the next ones
REQUESTED_VERSIONS = 12  # clients request routes of so many newest versions
NO_REPLY_ERRORS = (
    OSError,
    TimeoutError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
    IndexError,
    ValueError,
)
REPLY_TIMEOUT_S, CONNECT_TIMEOUT_S = 3.0, 1.0


def route_prefix(version: int) -> str:
    """The path prefix of the route that this version adds."""
    return f"/at-{version}/"


def route_prefixes(version: int) -> list[str]:
    """The path prefixes of all such routes that exist in a version."""
    return [
        route_prefix(introduced) for introduced in range(max(1, version - ROUTE_LIFETIME_VERSIONS + 1), version + 1)
    ]


@dataclass(frozen=True, slots=True)
class VersionReply:
    """A proxy's reply to a request for the route of one version; times on this process's monotonic clock (s)."""

    proxy: str
    version: int
    sent_at: float
    received_at: float
    status: int


@dataclass
class VersionHistory:
    """When versions were sent and acknowledged, and the proxies' replies to requests for their routes."""

    propagation_limit_s: float  # after an acknowledgment: no proxy may still use an older version
    sent_at: dict[int, float] = field(default_factory=dict)  # by version
    acknowledged_at: dict[int, float] = field(default_factory=dict)  # by version
    replies: list[VersionReply] = field(default_factory=list)

    def violations(self) -> list[str]:
        """One sentence for each reply from a version that was superseded too long ago.

        Delays of this process cannot make a correct reply look wrong: `sent_at` of a request is taken before it is
        sent, and a version counts as acknowledged only after it was.
        """
        return [
            f"{reply.proxy} answers {reply.status} for the route of version {reply.version}, which no version of "
            f"{min(possible)} to {max(possible)} allows"
            for reply in self.replies
            if (possible := self._possible_versions(reply))
            and not any(self._is_consistent(reply, v) for v in possible)
        ]

    def _possible_versions(self, reply: VersionReply) -> list[int]:
        """The versions that a proxy may use: none older than the newest one acknowledged for long enough."""
        oldest = max(
            (v for v, at in self.acknowledged_at.items() if reply.sent_at > at + self.propagation_limit_s), default=0
        )
        return [v for v, at in self.sent_at.items() if v >= oldest and at < reply.received_at]

    @staticmethod
    def _is_consistent(reply: VersionReply, version: int) -> bool:
        has_route = reply.version <= version < reply.version + ROUTE_LIFETIME_VERSIONS
        refused, served = reply.status == 404, 200 <= reply.status < 300
        return not (refused and has_route) and not (served and not has_route)


class VersionClient:
    """Requests routes of newer and older versions from one proxy, on one connection as long as it lasts."""

    numbers = itertools.count(1)

    def __init__(self, proxy: str, address: str, versions: VersionHistory, newest: Callable[[], int]) -> None:
        self.proxy, self.versions, self.newest = proxy, versions, newest
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, interval_s: float) -> None:
        """Send requests one after the other until cancelled."""
        while True:
            await self._send_request()
            await asyncio.sleep(interval_s * random.uniform(0.5, 1.5))

    async def _send_request(self) -> None:
        version = max(1, self.newest() - random.randrange(REQUESTED_VERSIONS))
        try:
            if self.streams is None:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    self.streams = await asyncio.open_connection(self.host, self.port)
            reader, writer = self.streams
            sent_at = time.monotonic()
            writer.write(
                f"GET {route_prefix(version)}short/ HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Attempt-Id: v{next(self.numbers)}\r\n"
                f"X-Deadline-Remaining: 2000\r\nAuthorization: Token {KEY}\r\n\r\n".encode()
            )
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                line, fields, _ = await read_message(reader)
            status = int(line.split()[1])
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            IndexError,
            ValueError,
        ):
            return self._disconnect()
        self.versions.replies.append(VersionReply(self.proxy, version, sent_at, time.monotonic(), status))
        if fields.get("connection") == "close":
            self._disconnect()

    def _disconnect(self) -> None:
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None
