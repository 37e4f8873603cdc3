"""A description's routes as Envoy's route configuration, written in slices: a drain never waits for it.

What a proxy may repeat is decided by the class's effect alone: a safe class gets a retry policy, a keyed one
only where repeats are dropped for as long as a request may last, an unsafe one gets none, in words.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

from envoy.config.route.v3 import route_components_pb2, route_pb2

from fennelpoint import interface as api
from fennelpoint.routes.table import Route, RouteTable
from fennelpoint.xds.protobuf import inner, packed_bytes, seconds
from fennelpoint.xds.rate_limit_filters import Limits

ROUTES = "larchwing"            # name of the one route configuration
KIND = "larchwing"              # of route metadata: what the class says, in words
SAFE_ON = {"envoy": "connect-failure,refused-stream,reset,5xx", "grpc": "unavailable,internal"}
SLICE = 100                     # routes written at a time, some ms

Weights = dict[str, int]        # of cells or zones, by a name like `cell.3`


def repeats(cls: api.RequestClass) -> bool:
    """Whether a proxy may send a request of this class again after it may have run.

    A keyed one only within the group of backends that drops repeats: its cluster holds no others.
    """
    return cls.effect is api.Effect.SAFE or (
        cls.effect is api.Effect.KEYED and cls.window >= cls.deadline > 0.0)


def part_of(cls: api.RequestClass) -> str:
    """By what a class's backends are parted into clusters of their own: cell, zone, or nothing."""
    grouped = cls.effect is api.Effect.KEYED and cls.group is not api.Group.ALL
    return cls.group.value if grouped and repeats(cls) else ""


def template_regex(route: Route) -> str:
    """A template as RE2: an expression takes a byte or more of one segment, as our own table has it."""
    return "/" + "/".join("[^/]+".join(map(re.escape, s.literals)) for s in route.template.segments)


def route_entry(route: Route, settings: api.Settings, view: str, limits: Limits | None = None,
                parted: bool = False) -> route_components_pb2.Route:
    """One route; `view` is envoy or grpc.  A `parted` one has no cluster yet: those of its cells follow."""
    cls = settings.classes[route.cls]
    made = route_components_pb2.Route(name=f"{route.method} {route.template.text}")
    if route.template.concrete:
        made.match.path = route.template.shape
    else:
        made.match.safe_regex.regex = template_regex(route)
    if view != "grpc":      # every gRPC call is a POST, and its clients see no method to match
        header = made.match.headers.add(name=":method")
        header.string_match.exact = route.method
    if not parted:
        made.route.cluster = f"class.{cls.name}"
    made.route.timeout.CopyFrom(seconds(cls.deadline))
    # Where no cell or zone is known yet its requests go to all, and are not repeated.
    may, policy = repeats(cls) and parted == bool(part_of(cls)), made.route.retry_policy
    if view != "grpc" or not may:
        # gRPC (1.85.3) at times ends a call that it retries at once as past its deadline where both are set:
        # seen in 4 of 38 plays, in none of 24 without.  Its callers' own deadlines bound those calls.
        made.route.max_stream_duration.max_stream_duration.CopyFrom(seconds(cls.deadline))
    if may:
        policy.retry_on = SAFE_ON[view]
        policy.num_retries.value = max(1, settings.max_attempts - 1)
        policy.retry_back_off.base_interval.CopyFrom(seconds(0.025))
        policy.retry_back_off.max_interval.CopyFrom(seconds(0.25))
    elif view != "grpc":    # gRPC refuses a policy of no retries; none at all says the same to it
        policy.retry_on, policy.num_retries.value = "", 0
    else:
        made.route.ClearField("retry_policy")
    words = made.metadata.filter_metadata[KIND]
    words.update({"class": cls.name, "effect": cls.effect.value, "retries": "by policy" if may else "none"})
    if limits is not None and view != "grpc":
        limits.add_to(made, route)
    return made


class Parted(NamedTuple):
    """A route of a class that goes by cells: all but its action, and the action without its clusters."""

    cls: int
    rest: bytes
    action: bytes


class Routing:
    """All routes of one view in the order of their precedence, as bytes that are put together at need."""

    def __init__(self, table: RouteTable, settings: api.Settings, view: str,
                 limits: Limits | None = None) -> None:
        self.table, self.settings, self.view, self.limits = table, settings, view, limits
        used = {route.cls for route in table.routes}
        self.parts = {i: part for i in used if (part := part_of(settings.classes[i]))}
        self.plain: list[bytes] = []    # each as a field of the virtual host
        self.parted: dict[int, Parted] = {}     # by place

    def write(self) -> Iterator[None]:
        """Write them; a pause after each slice."""
        ordered = [r for r in self.table.ordered() if self.view != "grpc" or r.method == "POST"]
        for place, route in enumerate(ordered):
            made = route_entry(route, self.settings, self.view, self.limits)
            self.plain.append(inner(route_components_pb2.VirtualHost, "routes", made))
            if route.cls in self.parts:
                made = route_entry(route, self.settings, self.view, self.limits, parted=True)
                action = made.route.SerializeToString(deterministic=True)
                made.ClearField("route")
                self.parted[place] = Parted(route.cls, made.SerializeToString(deterministic=True), action)
            if place % SLICE == SLICE - 1:
                yield

    def body(self, weights: Weights) -> bytes:
        """The resource, packed; `weights` of the cells or zones that are there."""
        shares = {i: self._shares(i, weights) for i in self.parts}
        lines = list(self.plain)
        for place, (cls, rest, action) in self.parted.items():
            if shares[cls]:
                lines[place] = inner(route_components_pb2.VirtualHost, "routes", rest + inner(
                    route_components_pb2.Route, "route", action + shares[cls]))
        host = route_components_pb2.VirtualHost(name=ROUTES, domains=["*"]).SerializeToString()
        whole = route_pb2.RouteConfiguration(name=ROUTES).SerializeToString()
        return packed_bytes(route_pb2.RouteConfiguration, whole + inner(
            route_pb2.RouteConfiguration, "virtual_hosts", host + b"".join(lines)))

    def _shares(self, cls: int, weights: Weights) -> bytes:
        """The clusters of a class's cells with their weights, as a field of its routes' actions."""
        made, own = route_components_pb2.WeightedCluster(), self.settings.classes[cls].name
        for name, weight in weights.items():
            if name.startswith(f"{self.parts[cls]}."):
                made.clusters.add(name=f"class.{own}.{name}").weight.value = weight
        return inner(route_components_pb2.RouteAction, "weighted_clusters", made) if made.clusters else b""
