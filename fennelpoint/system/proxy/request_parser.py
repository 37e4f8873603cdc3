"""Parses a client's request by the configuration in force: its route, tenant, service and home regions.

Requests that are answered without a backend end in a `Reply`.  One reader serves all connections; `apply_version`
replaces the configuration between two requests.  No request is judged by a version without a lease on it, not even
to refuse it.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random

from fennelpoint import interface as api
from fennelpoint.body_buffering import Upload
from fennelpoint.net.controller_host import ParsedRequest
from fennelpoint.net.exchange import HOP_BY_HOP
from fennelpoint.net.request_parser import BadRequest, LocalReply, RequestReader, body_framing_field
from fennelpoint.system.config_versions import ConfigVersion, Route, Tenant
from fennelpoint.system.proxy.queue_timeout import MAX_RETRY_AFTER_S

ATTEMPT_ID = re.compile(rb"[!-~]{1,128}")
MAX_DEADLINE_MS = 3_600_000
SINGLE_HEADERS = frozenset((b"x-attempt-id", b"host", b"x-deadline-remaining", b"authorization", b"content-length",
                            b"transfer-encoding"))
NOT_FORWARDED = HOP_BY_HOP | {b"expect", b"x-deadline-remaining", b"x-tenant-name", b"x-expected-instance"}
NEVER_HOP_BY_HOP = frozenset((b"x-attempt-id", b"host", b"authorization"))  # whatever the Connection header names
SCHEME = b"token "
PUBLIC_CUSTOMER = -1    # of requests without a tenant
RETRY_AFTER_S = b"%.3f" % MAX_RETRY_AFTER_S     # for requests that arrive while there is no lease


def _seconds(remaining: bytes) -> float:
    """Seconds of a valid X-Deadline-Remaining, else 0."""
    is_valid = remaining.isdigit() and len(remaining) <= 9 and int(remaining) <= MAX_DEADLINE_MS
    return int(remaining) / 1000.0 if is_valid else 0.0


@dataclass(slots=True)
class ForwardedRequest(ParsedRequest):
    """A request as it is sent to a backend: it names the backend's identity, so that no other instance runs it."""

    def render(self, left_s: float, backend: object = None) -> bytes:
        return b"%bX-Deadline-Remaining: %d\r\nX-Expected-Instance: %b\r\n\r\n%b" % (
            self.head, max(1, int(left_s * 1000)), str(backend).encode(), self.body)


class ProxyReader(RequestReader):
    """Reads requests by a configuration version.  Classes and plans are only added, so that their numbers stay.

    `is_leased` tells whether the version is confirmed as the newest, as of a time within the bound of the settings.
    """

    READY_PATH = None   # readiness has an address of its own

    def __init__(self, on_growth: Callable[[], None], random: Random, is_leased: Callable[[], bool]) -> None:
        self.is_leased = is_leased
        self.version: ConfigVersion | None = None
        self.classes: dict[tuple, int] = {}
        self.request_classes: list[api.RequestClass] = []
        self.plans: dict[str, int] = {}
        self.tenants: list[Tenant | None] = []
        self.cells: dict[str, tuple[str, frozenset[str] | None]] = {}   # service and regions, by name
        self.on_growth, self.random = on_growth, random     # called for a new class or cell, before it is used
        self.request_counts: dict[str, int] = {}    # by tenant, since `take_request_counts`

    def apply_version(self, version: ConfigVersion) -> None:
        """Use this version for every request that is read from now on."""
        self.version = version
        for tenant in version.tenants:
            if tenant.name not in self.plans:
                self.plans[tenant.name] = len(self.tenants)
                self.tenants.append(tenant)
            else:
                self.tenants[self.plans[tenant.name]] = tenant

    def max_body_bytes(self) -> int:
        """Return the configuration's bound; without a lease none, as the request is refused for that later."""
        return self.version.limits.body_bytes if self.version is not None and self.is_leased() else sys.maxsize

    def client_wait_s(self, headers: list[tuple[bytes, bytes]]) -> float:
        """Return for how long the client waits from the head of its request on; inf if it does not say so validly."""
        given = [value for name, value in headers if name == b"x-deadline-remaining"]
        return _seconds(given[0]) or inf if len(given) == 1 else inf

    def take_request_counts(self) -> dict[str, int]:
        """Requests by tenant since the last call, including refused ones."""
        counts, self.request_counts = self.request_counts, {}
        return counts

    def read(self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes,
             upload: Upload | None = None) -> ParsedRequest:
        """Parse one request; raises `BadRequest`, or `Reply` with the answer to a request that is not forwarded."""
        single_headers: dict[bytes, bytes] = {}
        options: set[bytes] = set()
        for name, value in headers:
            if name in SINGLE_HEADERS:
                if name in single_headers:
                    raise BadRequest(f"{name.decode()} is given twice")
                single_headers[name] = value
            elif name == b"connection":
                options.update(option.strip().lower() for option in value.split(b","))
        if not (host := single_headers.get(b"host")):
            raise BadRequest("host is missing")
        if ATTEMPT_ID.fullmatch(attempt_id := single_headers.get(b"x-attempt-id", b"")) is None:
            raise BadRequest("x-attempt-id is not an id")
        if (version := self.version) is None:
            raise self._not_leased()
        path = url.partition(b"?")[0]
        if not path.startswith(b"/"):
            raise BadRequest("the target is no path")
        is_head = method == b"HEAD"
        route = version.find(host.decode("latin-1"), path.decode("latin-1"))
        if route is None:
            raise self._if_leased(LocalReply(404, body=b"there is no such route\n", is_head_request=is_head))
        tenant = self._tenant(version, route, single_headers.get(b"authorization"), is_head)
        time_left = min(self._remaining_s(single_headers, route), route.timeout_s)
        lines = [method + b" " + url + b" HTTP/1.1"]
        options -= NEVER_HOP_BY_HOP
        key_header = b"authorization" if version.requires_keys else b""
        lines += [name + b": " + value for name, value in headers
                  if name not in NOT_FORWARDED and name not in options and name != key_header]
        if tenant is not None:
            lines.append(b"X-Tenant-Name: " + tenant.name.encode())
        if (body or upload is not None or b"content-length" in single_headers
                or b"transfer-encoding" in single_headers):
            lines.append(body_framing_field(body, upload))
        customer = self.plans[tenant.name] if tenant is not None else PUBLIC_CUSTOMER
        if tenant is not None:
            self.request_counts[tenant.name] = self.request_counts.get(tenant.name, 0) + 1
        if not self.is_leased():
            raise self._not_leased(is_head)
        return ForwardedRequest(attempt_id, self._class_number(route), customer + 1, customer, time_left, 1.0, 1.0,
                                0.0, False, not route.is_idempotent, b"\r\n".join(lines) + b"\r\n", body, is_head,
                                upload, cell=self._cell_name(route, tenant), attempts=route.max_attempts)

    def _tenant(self, version: ConfigVersion, route: Route, authorization: bytes | None,
                is_head: bool) -> Tenant | None:
        """The tenant of the request's key; none on a public route, or if the configuration has no tenants."""
        tenant = None
        if authorization is not None and authorization[:6].lower() == SCHEME:
            tenant = version.tenant_by_key.get(authorization[6:].strip().decode("latin-1"))
        if tenant is None and version.requires_keys and not route.is_public:
            raise self._if_leased(
                LocalReply(401, ((b"www-authenticate", b"Token"),), b"the key is not known\n", is_head)
            )
        return tenant

    def _if_leased(self, reply: LocalReply) -> LocalReply:
        """A refusal by the version that is applied here, if it is leased."""
        return reply if self.is_leased() else self._not_leased(reply.is_head_request)

    @staticmethod
    def _not_leased(is_head: bool = False) -> LocalReply:
        """The answer to a request while there is no lease: it has not run and may be sent again."""
        return LocalReply(503, ((b"retry-after", RETRY_AFTER_S),), b"refused: trying again is harmless\n", is_head)

    def _remaining_s(self, single_headers: dict[bytes, bytes], route: Route) -> float:
        """Seconds that the client still waits; the route's timeout if it does not say."""
        remaining = single_headers.get(b"x-deadline-remaining")
        if remaining is None:
            return route.timeout_s
        if not (seconds := _seconds(remaining)):
            raise BadRequest("x-deadline-remaining is not a number of milliseconds")
        return seconds

    def _class_number(self, route: Route) -> int:
        key = (route.services[0][0], route.is_idempotent, route.target_latency_s, route.priority)
        if (number := self.classes.get(key)) is None:
            number = self.classes[key] = len(self.request_classes)
            self.request_classes.append(api.RequestClass(
                f"{route.name}", route.target_latency_s, max(route.target_latency_s, route.timeout_s),
                2.0 ** -min(route.priority, 20), api.Effect.SAFE if route.is_idempotent else api.Effect.UNSAFE))
            self.on_growth()
        return number

    def _cell_name(self, route: Route, tenant: Tenant | None) -> str:
        """Names the service and the regions that are home to both route and tenant."""
        services = route.services
        if len(services) == 1:
            service = services[0][0]
        else:
            service = self.random.choices([s for s, _ in services], [w for _, w in services])[0] if any(
                w for _, w in services) else services[0][0]
        homes = route.home_regions
        if tenant is not None and tenant.home_regions:
            homes = homes & tenant.home_regions if homes else tenant.home_regions
            if not homes:
                homes = frozenset(("",))
        cell = service if not homes else f"{service}|{','.join(sorted(homes))}"
        if cell not in self.cells:
            self.cells[cell] = (service, homes or None)
            self.on_growth()
        return cell
