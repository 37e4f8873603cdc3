"""Matches requests against a route table, and answers those that match no route.

Loaded only if the operator file names an API description.  The table determines class and units: a client may omit
them, but may not state other ones.
"""

from __future__ import annotations

from functools import lru_cache

from fennelpoint import interface as api
from fennelpoint.body_buffering import Upload
from fennelpoint.component import Component, IngressContext
from fennelpoint.net.controller_host import ParsedRequest
from fennelpoint.net.request_parser import BadRequest, LocalReply, RequestReader, body_framing_field
from fennelpoint.operator_config import Routes, read_operator
from fennelpoint.rate_limited_log import log
from fennelpoint.routes.description_watcher import Follower
from fennelpoint.routes.paths import PathError, split_target
from fennelpoint.routes.table import RouteTable, ValueFault
from fennelpoint.validation_errors import FaultyFile

MAX_KEY_BYTES = 256     # of an idempotency key


class RoutedRequestReader(RequestReader):
    """Reads requests by a route table, which may be replaced between any two requests."""

    def __init__(self, settings: api.Settings, table: RouteTable) -> None:
        super().__init__(settings)
        self.table = table
        self.class_names = [c.name.encode() for c in settings.classes]
        self.parse_optional_terms = lru_cache(1024)(lambda text: self._parse_terms(text, needs_units=False))
        self.default_terms = (None, float(settings.ingresses), 0.0)    # without stated terms: any ingress

    def take(self, table: RouteTable) -> None:
        """Use this table for every request that is read from now on."""
        self.table = table

    def read(self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes,
             upload: Upload | None = None) -> ParsedRequest:
        if url == b"*" and method == b"OPTIONS":
            raise LocalReply(200)
        try:
            authority, path, query = split_target(url)
            path, item = self.table.look_up(path)
        except PathError as error:
            raise BadRequest(str(error)) from None
        is_head_request = method == b"HEAD"
        if item is None:
            raise LocalReply(404, body=b"there is no such path\n", is_head_request=is_head_request)
        if (route := item.get(method)) is None:
            if method == b"OPTIONS":
                raise LocalReply(200, ((b"allow", item.allow),))
            raise LocalReply(405, ((b"allow", item.allow),), b"the path has no such method\n", is_head_request)
        if is_head_request:
            method = b"GET"     # its response has the same head (RFC 9110, section 9.3.2)
        routing_fields, lines = self.split_fields(method, path + b"?" + query if query else path, headers,
                                                  self.table.keys)
        self.require_host_and_id(routing_fields)
        if authority is not None and authority != routing_fields[b"host"]:
            raise BadRequest("the target's host is not the Host field's")
        if (class_name := routing_fields.get(b"x-lane")) is not None and class_name != self.class_names[route.cls]:
            raise BadRequest(f"x-lane is not the route's class, {route.cls_name}")
        if method == b"GET" and (body or upload is not None):
            raise BadRequest("a GET has no body here")
        plan = self._require_index(routing_fields, b"api-plan", self.plans)
        if route.plans is not None and plan not in route.plans:
            raise LocalReply(403, body=b"the plan does not hold this route\n", is_head_request=is_head_request)
        time_left = self.read_time_left(routing_fields)
        terms = routing_fields.get(b"api-terms")
        stated_units, width, first = self.parse_optional_terms(terms) if terms else self.default_terms
        try:
            units = route.units_of(path, query, headers)
        except ValueFault as error:
            raise BadRequest(str(error)) from None
        if stated_units is not None and stated_units != units:
            raise BadRequest(f"api-terms: units are not the route's, {units:g}")
        if route.key is not None:
            keys = route.values(route.key, path, query, headers)
            if len(keys) != 1 or not 0 < len(keys[0]) <= MAX_KEY_BYTES:
                raise BadRequest(f"{route.key.name} must hold one key: the route is keyed")
        customer = self._read_customer(self._require(routing_fields, b"cookie"))
        if method != b"GET":
            lines.append(body_framing_field(body, upload))
        is_safe = self.settings.classes[route.cls].effect is api.Effect.SAFE
        return ParsedRequest(routing_fields[b"x-txn"], route.cls, plan, customer, time_left, units, width, first,
                     routing_fields.get(b"x-resent") == b"1", not is_safe, b"\r\n".join(lines) + b"\r\n", body,
                     is_head_request, upload)


class RoutesComponent(Component):
    """Installs the route matching and follows changes of the description; turning it on or off takes a restart."""

    def __init__(self, ingress: IngressContext, routes: Routes) -> None:
        config, self.ingress, self.routes = ingress.config, ingress, routes
        reader = ingress.server.reader = RoutedRequestReader(config.settings, config.description.table())
        self.follower = Follower(ingress.loop, reader, config.settings, routes, config.description.files)
        config.description = None      # frees its memory
        self.is_fleet_managed = False   # the fleet's version contains the description

    async def start(self) -> None:
        self.follower.start()

    def reload(self) -> None:
        if self.is_fleet_managed:
            return log.info("API description not reloaded: the fleet's version contains one")
        path, name = self.ingress.operator_path, self.ingress.config.name
        try:
            routes = read_operator(path).routes if path else self.routes
        except FaultyFile as error:
            return log.error("%s: reload failed, keeping the previous operator file: %s", name, error.faults[0])
        if routes is not None:
            self.follower.reload(routes)

    def close(self) -> None:
        self.follower.close()
