"""An exchange: one request to one backend and its whole response, from the decision to send it until its outcome.

It ends exactly once, with one of the outcomes (`interface.Status`) of the protocol, and is never retried here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fennelpoint.body_buffering import Upload
from fennelpoint.interface import Status

HOP_BY_HOP = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate",
                        b"te", b"trailer", b"transfer-encoding", b"upgrade", b"content-length"))


@dataclass(slots=True)
class Response:
    """A backend's response: whole, or the head of one whose body is streamed."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    content_length: int | None = None   # of a streamed body, if the backend declares it


class BodyReceiver(Protocol):
    """Receives the body of a streamed response as it arrives."""

    def write_body(self, data: bytes) -> None: ...


class Source(Protocol):
    """The connection that a streamed response is read from."""

    def pause(self) -> None: ...
    def resume(self) -> None: ...


class Carrier(Protocol):
    """The connection that carries an exchange."""

    exchange: Exchange | None

    @property
    def may_have_run(self) -> bool: ...
    def write_body(self) -> None: ...
    def close(self) -> None: ...


class Exchange:
    """One request to one backend, from the decision to send it until its outcome."""

    __slots__ = ("render", "on_end", "on_stream_start", "upload", "on_body_written", "may_send", "connection",
                 "connect_task", "ended", "request_id", "at_most_once", "has_written")

    def __init__(self, render: Callable[[], bytes], on_end: Callable[[Status, Response | None], None],
                 on_stream_start: Callable[[Response, Source], BodyReceiver | None]
                 = lambda response, source: None,
                 upload: Upload | None = None, on_body_written: Callable[[], None] = lambda: None) -> None:
        self.render = render    # returns the bytes to send, called at the moment when they can be written
        self.on_end = on_end    # called once, with the outcome
        self.on_stream_start = on_stream_start  # called with a streamed response; returns its receiver, if any
        self.upload = upload    # the request body, if it is streamed
        self.on_body_written = on_body_written  # called when a piece of the upload has been written
        self.may_send: Callable[[], bool] | None = None     # whether it may still be sent; None: always
        self.request_id = b""   # for a pool that checks which request a response belongs to
        self.at_most_once = False   # the request must not run twice
        self.has_written = False    # some of the request has been written to the backend
        self.connection: Carrier | None = None
        self.connect_task: asyncio.Task | None = None
        self.ended = False

    @property
    def may_have_run(self) -> bool:
        """Whether the backend may have begun to work on the request, by what has been written until now."""
        return self.connection is not None and self.connection.may_have_run

    def end(self, status: Status, response: Response | None = None) -> None:
        """Report the outcome, unless the exchange has ended already."""
        if not self.ended:
            self.ended = True
            self.connection = self.connect_task = None
            self.on_end(status, response)

    def write_body(self) -> None:
        """Write what has been added to the upload, if there is a connection yet."""
        if self.connection is not None:
            self.connection.write_body()

    def give_up(self, status: Status) -> None:
        """Stop waiting: close the connection, so that the backend notices and no late response is read.

        A request that cannot have run ends so, whatever the reason for stopping; and if it is cancelled, that is no
        failure of the backend.
        """
        connection, connect_task = self.connection, self.connect_task
        if connect_task is not None:
            connect_task.cancel()
        if not self.may_have_run:
            status = Status.MOOT if status is Status.CANCELLED else Status.CONNECT_FAILED
        if connection is not None:
            connection.exchange = None
            connection.close()
        self.end(status)
