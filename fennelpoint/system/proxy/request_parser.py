"""What a client's request is by the configuration in force: route, tenant, service, homes; or what it is answered.

One reader for all connections; `take` puts another version in place between any two requests.  Nothing is decided by
a version without a lease on it: not even a refusal.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from fennelpoint import interface as api
from fennelpoint.body_buffering import Upload
from fennelpoint.net.backends import HOP_BY_HOP
from fennelpoint.net.controller_host import Asked
from fennelpoint.net.request_parser import BadRequest, LocalReply, RequestReader, body_framing_field
from fennelpoint.system.config_versions import Holder, Route, Version
from fennelpoint.system.proxy.queue_timeout import MOST_ADVICE

ID = re.compile(rb"[!-~]{1,128}")
MOST_LEFT_MS = 3_600_000
ONCE = frozenset((b"x-attempt-id", b"host", b"x-deadline-remaining", b"authorization", b"content-length",
                  b"transfer-encoding"))
NOT_PASSED_ON = HOP_BY_HOP | {b"expect", b"x-deadline-remaining", b"x-tenant-name", b"x-expected-instance"}
KEPT = frozenset((b"x-attempt-id", b"host", b"authorization"))
SCHEME = b"token "
PUBLIC = -1         # the customer of requests without a tenant
RETRY_AFTER = b"%.3f" % MOST_ADVICE     # s, for requests that come while there is no lease


@dataclass(slots=True)
class Passed(Asked):
    """A request as it goes to one backend: its identity is named, so that no other runs it."""

    def render(self, left: float, backend: object = None) -> bytes:
        return b"%bX-Deadline-Remaining: %d\r\nX-Expected-Instance: %b\r\n\r\n%b" % (
            self.head, max(1, int(left * 1000)), str(backend).encode(), self.body)


class SystemReader(RequestReader):
    """Reads requests by a version.  Classes and plans only grow, so that their numbers stay.

    `leased` tells whether the version is proven now to be the newest, as of a time within the bound of the settings.
    """

    def __init__(self, grown: Callable[[], None], random: Random, leased: Callable[[], bool]) -> None:
        self.leased = leased
        self.version: Version | None = None
        self.classes: dict[tuple, int] = {}
        self.made: list[api.RequestClass] = []
        self.plans: dict[str, int] = {}
        self.holders: list[Holder | None] = []
        self.cells: dict[str, tuple[str, frozenset[str] | None]] = {}   # service and regions, by name
        self.grown, self.random = grown, random     # told of a new class or cell, before it is used
        self.asked: dict[str, int] = {}             # by tenant, since it was last taken

    def take(self, version: Version) -> None:
        """Go by this version for every request that is read from now on."""
        self.version = version
        for holder in version.tenants:
            if holder.name not in self.plans:
                self.plans[holder.name] = len(self.holders)
                self.holders.append(holder)
            else:
                self.holders[self.plans[holder.name]] = holder

    def take_asked(self) -> dict[str, int]:
        """Requests by tenant since this was last called, refused ones included."""
        asked, self.asked = self.asked, {}
        return asked

    def read(self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes,
             upload: Upload | None = None) -> Asked:
        found: dict[bytes, bytes] = {}
        options: set[bytes] = set()
        for name, value in headers:
            if name in ONCE:
                if name in found:
                    raise BadRequest(f"{name.decode()} is given twice")
                found[name] = value
            elif name == b"connection":
                options.update(word.strip().lower() for word in value.split(b","))
        if not (host := found.get(b"host")):
            raise BadRequest("host is missing")
        if ID.fullmatch(txn := found.get(b"x-attempt-id", b"")) is None:
            raise BadRequest("x-attempt-id is not an id")
        if (version := self.version) is None:
            raise self._not_leased()
        path = url.partition(b"?")[0]
        if not path.startswith(b"/"):
            raise BadRequest("the target is no path")
        bare = method == b"HEAD"
        route = version.find(host.decode("latin-1"), path.decode("latin-1"))
        if route is None:
            raise self._by_version(LocalReply(404, body=b"there is no such route\n", is_head_request=bare))
        holder = self._holder(version, route, found.get(b"authorization"), bare)
        left = min(self._left(found, route), route.timeout)
        lines = [method + b" " + url + b" HTTP/1.1"]
        options -= KEPT
        secret = b"authorization" if version.keys else b""
        lines += [name + b": " + value for name, value in headers
                  if name not in NOT_PASSED_ON and name not in options and name != secret]
        if holder is not None:
            lines.append(b"X-Tenant-Name: " + holder.name.encode())
        if body or upload is not None or b"content-length" in found or b"transfer-encoding" in found:
            lines.append(body_framing_field(body, upload))
        customer = self.plans[holder.name] if holder is not None else PUBLIC
        if holder is not None:
            self.asked[holder.name] = self.asked.get(holder.name, 0) + 1
        if not self.leased():
            raise self._not_leased(bare)
        return Passed(txn, self._class(route), customer + 1, customer, left, 1.0, 1.0, 0.0, False, not route.safe,
                      b"\r\n".join(lines) + b"\r\n", body, bare, upload,
                      cell=self._cell(route, holder), attempts=route.attempts)

    def _holder(self, version: Version, route: Route, given: bytes | None, bare: bool) -> Holder | None:
        holder = None
        if given is not None and given[:6].lower() == SCHEME:
            holder = version.keys.get(given[6:].strip().decode("latin-1"))
        if holder is None and version.keys and not route.public:
            raise self._by_version(
                LocalReply(401, ((b"www-authenticate", b"Token"),), b"the key is not known\n", bare))
        return holder

    def _by_version(self, reply: LocalReply) -> LocalReply:
        """A refusal by the version that is held here, if that is leased."""
        return reply if self.leased() else self._not_leased(reply.is_head_request)

    @staticmethod
    def _not_leased(bare: bool = False) -> LocalReply:
        """What a request is told that nothing is decided on: it has not run, and may be sent again."""
        return LocalReply(503, ((b"retry-after", RETRY_AFTER),), b"refused: trying again is harmless\n", bare)

    def _left(self, found: dict[bytes, bytes], route: Route) -> float:
        given = found.get(b"x-deadline-remaining")
        if given is None:
            return route.timeout
        if not given.isdigit() or len(given) > 9 or not 0 < int(given) <= MOST_LEFT_MS:
            raise BadRequest("x-deadline-remaining is not a number of milliseconds")
        return int(given) / 1000.0

    def _class(self, route: Route) -> int:
        key = (route.services[0][0], route.safe, route.aim, route.priority)
        if (index := self.classes.get(key)) is None:
            index = self.classes[key] = len(self.made)
            self.made.append(api.RequestClass(f"{route.name}", route.aim, max(route.aim, route.timeout),
                                              2.0 ** -min(route.priority, 20),
                                              api.Effect.SAFE if route.safe else api.Effect.UNSAFE))
            self.grown()
        return index

    def _cell(self, route: Route, holder: Holder | None) -> str:
        """The service, and the regions where both route and tenant are at home."""
        services = route.services
        if len(services) == 1:
            service = services[0][0]
        else:
            service = self.random.choices([s for s, _ in services], [w for _, w in services])[0] if any(
                w for _, w in services) else services[0][0]
        homes = route.homes
        if holder is not None and holder.homes:
            homes = homes & holder.homes if homes else holder.homes
            if not homes:
                homes = frozenset(("",))
        cell = service if not homes else f"{service}|{','.join(sorted(homes))}"
        if cell not in self.cells:
            self.cells[cell] = (service, homes or None)
            self.grown()
        return cell
