"""The ingress host and its connection pools, for the HTTP protocol of the distributed system."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from fennelpoint import interface as api
from fennelpoint.net.backends import Backends
from fennelpoint.net.controller_host import ControllerHost, OpenRequest
from fennelpoint.net.exchange import Exchange, Response
from fennelpoint.net.upstream_connection import UpstreamConnection
from fennelpoint.system.proxy.events import UnitsNeeded

KEEP_ALIVE_FRACTION = 0.6   # of the time for which a backend keeps an idle connection open
TOO_MANY_REQUESTS = 429
NOT_EXECUTED = frozenset((408, 421, 429, 503))  # promise the client that the request has not run, and never will


class ProxyBackends(Backends):
    """Judges answers by the attempt id, the backend's seal and its statement that it has not run the request."""

    STARTS_AT_LAST_BYTE = False
    RESPONSE_STALL_TIMEOUT_S = inf  # a silence is no reason to end an answer before its deadline

    def judge(self, exchange: Exchange, status: int, headers: list[tuple[bytes, bytes]]) -> api.Status | None:
        has_id = has_seal = is_not_executed = False
        for name, value in headers:
            if name == b"x-attempt-id":
                if value != exchange.request_id:
                    return None     # a late answer to another request
                has_id = True
            elif name == b"x-server-seal":
                has_seal = True
            elif name == b"x-not-executed":
                is_not_executed = True
        if status == 421:
            return api.Status.ELSEWHERE
        if is_not_executed:
            return api.Status.FULL
        if 200 <= status < 300:
            return api.Status.OK if has_id and has_seal else None
        return api.Status.ERROR if has_id and status >= 300 else None

    def has_id(self, exchange: Exchange, headers: list[tuple[bytes, bytes]]) -> bool:
        return (b"x-attempt-id", exchange.request_id) in headers

    def can_match(self, exchange: Exchange, connection: UpstreamConnection) -> bool:
        """Guards requests that may run once: a late copy of an earlier refusal would deny that a request has run.

        Such a copy bears the id of the connection's previous request, which may be an earlier attempt of the same
        request and so share its id, or it bears no id.
        """
        return not exchange.at_most_once or not (
            connection.last_lacked_id or connection.last_request_id == exchange.request_id)

    def keep_alive_s(self, headers: list[tuple[bytes, bytes]]) -> float:
        for name, value in headers:
            if name == b"keep-alive":
                for parameter in value.split(b","):
                    key, _, number = parameter.strip().partition(b"=")
                    if key.lower() == b"timeout" and number.isdigit():
                        return KEEP_ALIVE_FRACTION * int(number)
        return super().keep_alive_s(headers)


class ProxyHost(ControllerHost):
    """Returns a backend's own refusal or failure to the client unchanged if no better answer arrives."""

    def __init__(self, *arguments: object) -> None:
        self.request_units: Callable[[int, float], None] = lambda customer, units: None
        super().__init__(*arguments)
        self._action_handlers[UnitsNeeded] = lambda action: self.request_units(action.customer, action.units)

    @staticmethod
    def _backend_failure(open_request: OpenRequest) -> Response | None:
        """A backend's own failure, for the client; none if its status would promise that a write has not run."""
        last = open_request.last_failure
        return None if last is not None and open_request.parsed.is_write and last.status in NOT_EXECUTED else last

    def _refuse(self, refuse: api.Refuse) -> None:
        if (open_request := self.open_requests.get(refuse.request)) is not None:
            if (last := self._backend_failure(open_request)) is not None:
                return self._finish(open_request, lambda client: client.send_response(last))
            status = TOO_MANY_REQUESTS if refuse.over else 503
            self._finish(open_request, lambda client: client.send_refusal(refuse.retry_after, status))

    def _fail(self, fail: api.Fail) -> None:
        if (open_request := self.open_requests.get(fail.request)) is not None:
            if (last := self._backend_failure(open_request)) is not None:
                return self._finish(open_request, lambda client: client.send_response(last))
            self._finish(open_request, lambda client: client.send_failure())
