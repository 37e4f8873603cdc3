"""Whether fronts go by the newest configuration: each version brings a route, and takes an older one off."""

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
KEPT = 8  # versions in which a route is there: the one that brings it, and the next ones
ASKED = 12  # newest versions for whose routes clients ask
NO_ANSWER = (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, IndexError, ValueError)
PATIENCE, CONNECT = 3.0, 1.0  # s for an answer, and for a connection


def path(version: int) -> str:
    """The prefix of the route that this version brings."""
    return f"/at-{version}/"


def routes_of(version: int) -> list[str]:
    """The prefixes of all such routes that are there in a version."""
    return [path(brought) for brought in range(max(1, version - KEPT + 1), version + 1)]


@dataclass(frozen=True, slots=True)
class Answer:
    """What a front said to a request for the route of one version, s on this process's steady clock."""

    front: str
    version: int
    asked: float
    answered: float
    status: int


@dataclass
class Versions:
    """When versions were sent and acknowledged, and what fronts answered to requests for their routes."""

    bound: float  # s after an acknowledgement from which on nobody may go by an older version
    sent: dict[int, float] = field(default_factory=dict)
    acked: dict[int, float] = field(default_factory=dict)
    answers: list[Answer] = field(default_factory=list)

    def wrong(self) -> list[str]:
        """A sentence for each answer by a version that was superseded too long ago.

        No time of ours that is late can make a good answer look bad: requests are sent after `asked`, and versions
        before they count as acknowledged.
        """
        return [
            f"{answer.front} answers {answer.status} for the route of version {answer.version}, which no version of "
            f"{min(possible)} to {max(possible)} allows"
            for answer in self.answers
            if (possible := self._in_force(answer)) and not any(self._allows(answer, v) for v in possible)
        ]

    def _in_force(self, answer: Answer) -> list[int]:
        """The versions by which a front may answer: none older than the newest that was acknowledged long enough."""
        oldest = max((v for v, at in self.acked.items() if answer.asked > at + self.bound), default=0)
        return [v for v, at in self.sent.items() if v >= oldest and at < answer.answered]

    @staticmethod
    def _allows(answer: Answer, version: int) -> bool:
        there = answer.version <= version < answer.version + KEPT
        refused, served = answer.status == 404, 200 <= answer.status < 300
        return not (refused and there) and not (served and not there)


class VersionClient:
    """Asks one front for the routes of newer and older versions, on one connection for as long as that holds."""

    numbers = itertools.count(1)

    def __init__(self, front: str, address: str, versions: Versions, newest: Callable[[], int]) -> None:
        self.front, self.versions, self.newest = front, versions, newest
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, pause: float) -> None:
        """One request after the other, until it is cancelled."""
        while True:
            await self._ask()
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))

    async def _ask(self) -> None:
        version = max(1, self.newest() - random.randrange(ASKED))
        try:
            if self.streams is None:
                async with asyncio.timeout(CONNECT):
                    self.streams = await asyncio.open_connection(self.host, self.port)
            reader, writer = self.streams
            asked = time.monotonic()
            writer.write(
                f"GET {path(version)}short/ HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: v{next(self.numbers)}\r\n"
                f"X-Deadline-Remaining: 2000\r\nAuthorization: Token {KEY}\r\n\r\n".encode()
            )
            async with asyncio.timeout(PATIENCE):
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
            return self._leave()
        self.versions.answers.append(Answer(self.front, version, asked, time.monotonic(), status))
        if fields.get("connection") == "close":
            self._leave()

    def _leave(self) -> None:
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None
