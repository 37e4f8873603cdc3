"""The client side of a route table: which route a request is, and what is answered where it is none.

On only where the operator file names a description.  The table tells class and units; what the client says of
them may be left out and may not differ.
"""

from __future__ import annotations

from functools import lru_cache

from fennelpoint import interface as api
from fennelpoint.body_buffering import Upload
from fennelpoint.component import Component, IngressContext
from fennelpoint.net.controller_host import ParsedRequest
from fennelpoint.net.request_parser import BadRequest, Reader, Reply, framing
from fennelpoint.operator_config import Routes, read_operator
from fennelpoint.rate_limited_log import log
from fennelpoint.routes.description_watcher import Follower
from fennelpoint.routes.paths import PathError, split_target
from fennelpoint.routes.table import RouteTable, ValueFault
from fennelpoint.validation_errors import FaultyFile

MOST_KEY = 256      # bytes of an idempotency key


class RoutedReader(Reader):
    """Reads requests by a route table.  `table` may be replaced between any two requests."""

    def __init__(self, settings: api.Settings, table: RouteTable) -> None:
        super().__init__(settings)
        self.table = table
        self.lanes = [c.name.encode() for c in settings.classes]
        self.set_terms = lru_cache(1024)(lambda text: self._terms(text, needs_units=False))
        self.whole_set = (None, float(settings.ingresses), 0.0)     # for one that names no set: any ingress

    def take(self, table: RouteTable) -> None:
        """Go by this table for every request that is read from now on."""
        self.table = table

    def read(self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes,
             upload: Upload | None = None) -> ParsedRequest:
        if url == b"*" and method == b"OPTIONS":
            raise Reply(200)
        try:
            authority, path, query = split_target(url)
            path, item = self.table.look_up(path)
        except PathError as error:
            raise BadRequest(str(error)) from None
        bare = method == b"HEAD"
        if item is None:
            raise Reply(404, body=b"there is no such path\n", bare=bare)
        if (route := item.get(method)) is None:
            if method == b"OPTIONS":
                raise Reply(200, ((b"allow", item.allow),))
            raise Reply(405, ((b"allow", item.allow),), b"the path has no such method\n", bare)
        if bare:
            method = b"GET"     # the backend's answer to it has the same head (RFC 9110, section 9.3.2)
        found, lines = self.fields(method, path + b"?" + query if query else path, headers, self.table.keys)
        self.host_and_id(found)
        if authority is not None and authority != found[b"host"]:
            raise BadRequest("the target's host is not the Host field's")
        if (lane := found.get(b"x-lane")) is not None and lane != self.lanes[route.cls]:
            raise BadRequest(f"x-lane is not the route's class, {route.cls_name}")
        if method == b"GET" and (body or upload is not None):
            raise BadRequest("a GET has no body here")
        plan = self._known(found, b"api-plan", self.plans)
        if route.plans is not None and plan not in route.plans:
            raise Reply(403, body=b"the plan does not hold this route\n", bare=bare)
        left = self.time_left(found)
        terms = found.get(b"api-terms")
        said, width, first = self.set_terms(terms) if terms else self.whole_set
        try:
            units = route.units_of(path, query, headers)
        except ValueFault as error:
            raise BadRequest(str(error)) from None
        if said is not None and said != units:
            raise BadRequest(f"api-terms: units are not the route's, {units:g}")
        if route.key is not None:
            keys = route.values(route.key, path, query, headers)
            if len(keys) != 1 or not 0 < len(keys[0]) <= MOST_KEY:
                raise BadRequest(f"{route.key.name} must hold one key: the route is keyed")
        customer = self._customer(self._needed(found, b"cookie"))
        if method != b"GET":
            lines.append(framing(body, upload))
        safe = self.settings.classes[route.cls].effect is api.Effect.SAFE
        return ParsedRequest(found[b"x-txn"], route.cls, plan, customer, left, units, width, first,
                     found.get(b"x-resent") == b"1", not safe, b"\r\n".join(lines) + b"\r\n", body,
                     bare, upload)


class RoutesPart(Component):
    """Requests read by a description that is followed; turning it on or off takes a restart."""

    def __init__(self, ingress: IngressContext, routes: Routes) -> None:
        config, self.ingress, self.routes = ingress.config, ingress, routes
        reader = ingress.server.reader = RoutedReader(config.settings, config.description.table())
        self.follower = Follower(ingress.loop, reader, config.settings, routes, config.description.files)
        config.description = None      # its bytes are of no more use
        self.ruled = False      # the fleet's version holds the description

    async def start(self) -> None:
        self.follower.start()

    def reload(self) -> None:
        if self.ruled:
            return log.info("the description stays as it is: the fleet's version has one")
        path, name = self.ingress.operator_path, self.ingress.config.name
        try:
            routes = read_operator(path).routes if path else self.routes
        except FaultyFile as error:
            return log.error("%s keeps its operator file: %s", name, error.faults[0])
        if routes is not None:
            self.follower.reload(routes)

    def close(self) -> None:
        self.follower.close()
