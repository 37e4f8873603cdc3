"""The present host and pools, for the protocol of the whole system."""

from __future__ import annotations

from collections.abc import Callable

from fennelpoint import interface as api
from fennelpoint.net.backends import Answer, Backends, Exchange, UpstreamConnection
from fennelpoint.net.controller_host import Host, Ticket
from fennelpoint.system.proxy.events import UnitsNeeded

KEPT_PART = 0.6     # of the time that a backend keeps an idle connection
OVER = 429
PROMISES = frozenset((408, 421, 429, 503))  # to a client: it has not run, and never will


class SystemBackends(Backends):
    """Answers are told apart by the request's id, the backend's seal, and its word that it has not run it."""

    def judge(self, exchange: Exchange, status: int, headers: list[tuple[bytes, bytes]]) -> api.Status | None:
        named = sealed = turned_away = False
        for name, value in headers:
            if name == b"x-attempt-id":
                if value != exchange.txn:
                    return None     # another request's, come late
                named = True
            elif name == b"x-server-seal":
                sealed = True
            elif name == b"x-not-executed":
                turned_away = True
        if status == 421:
            return api.Status.ELSEWHERE
        if turned_away:
            return api.Status.FULL
        if 200 <= status < 300:
            return api.Status.OK if named and sealed else None
        return api.Status.ERROR if named and status >= 300 else None

    def names(self, exchange: Exchange, headers: list[tuple[bytes, bytes]]) -> bool:
        return (b"x-attempt-id", exchange.txn) in headers

    def tells(self, exchange: Exchange, connection: UpstreamConnection) -> bool:
        """Guards what may run once: a late copy of an earlier refusal says of a request at work that it never ran.

        A copy bears the id of the request before, which an earlier attempt of the very same one shares, or none.
        """
        return not exchange.once or not (connection.nameless or connection.last_txn == exchange.txn)

    def keeps_for(self, headers: list[tuple[bytes, bytes]]) -> float:
        for name, value in headers:
            if name == b"keep-alive":
                for part in value.split(b","):
                    word, _, number = part.strip().partition(b"=")
                    if word.lower() == b"timeout" and number.isdigit():
                        return KEPT_PART * int(number)
        return super().keeps_for(headers)


class SystemHost(Host):
    """Gives a backend's own refusal or failure back unchanged where nothing better comes."""

    def __init__(self, *arguments: object) -> None:
        self.need: Callable[[int, float], None] = lambda customer, units: None
        super().__init__(*arguments)
        self._do[UnitsNeeded] = lambda a: self.need(a.customer, a.units)

    @staticmethod
    def _passed_on(ticket: Ticket) -> Answer | None:
        """A backend's own failure, for the client; none where its status would promise what nobody has said."""
        last = ticket.last
        return None if last is not None and ticket.asked.is_write and last.status in PROMISES else last

    def _refuse(self, refuse: api.Refuse) -> None:
        if (ticket := self.tickets.get(refuse.request)) is not None:
            if (last := self._passed_on(ticket)) is not None:
                return self._finish(ticket, lambda client: client.served(last))
            status = OVER if refuse.over else 503
            self._finish(ticket, lambda client: client.refused(refuse.retry_after, status))

    def _fail(self, fail: api.Fail) -> None:
        if (ticket := self.tickets.get(fail.request)) is not None:
            if (last := self._passed_on(ticket)) is not None:
                return self._finish(ticket, lambda client: client.served(last))
            self._finish(ticket, lambda client: client.failed())
