"""The compiled route table: which route a request is, and what the route says of it.

Nothing is decided here that the decision module decides: a route only tells a request's class, units and
effect.  A look-up is one dictionary look-up for a concrete path and one walk down a tree of segments for a
templated one, so it depends on the number of segments and hardly on the number of routes.

Precedence is OpenAPI's (3.1.0, section 4.8.8.2: concrete paths before templated ones), carried on segment by
segment from the left: concrete, then part literal (the more literal characters first), then an expression
alone.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple
from urllib.parse import parse_qsl, unquote_to_bytes

from fennelpoint.interface import Effect
from fennelpoint.routes.paths import Template, match_segment, normal_path

FIGURE = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,6})?")


class ValueFault(ValueError):
    """A request's parameter can't be read or is out of its bounds; the text names it."""


class Parameter(NamedTuple):
    """Where a value stands in a request: `within` is path, query or header (OpenAPI's `in`)."""

    within: str
    name: str


class Units(NamedTuple):
    """Units that a request takes from its quota: `amount`, or by a parameter within bounds."""

    amount: float
    parameter: Parameter | None = None
    minimum: float = 0.0
    maximum: float = math.inf


class Route(NamedTuple):
    """One operation under one base path; `cls` and `plans` are indexes in the settings (-1: unknown)."""

    method: str             # in capitals
    template: Template
    cls: int
    cls_name: str
    effect: Effect | None
    units: Units
    key: Parameter | None = None
    plans: frozenset[int] | None = None     # those that may use it; none: all
    plan_names: tuple[str, ...] = ()
    operation: str = ""
    source: str = ""        # FILE:LINE
    why: tuple[tuple[str, str], ...] = ()   # each key of x-larchwing and where it was said

    def units_of(self, path: bytes, query: bytes, headers: Iterable[tuple[bytes, bytes]]) -> float:
        """The units of one request; raises ValueFault.  Names of `headers` are in small letters."""
        rule = self.units
        if rule.parameter is None:
            return rule.amount
        found = self.values(rule.parameter, path, query, headers)
        if not found:
            return rule.amount
        name = rule.parameter.name
        if len(found) > 1:
            raise ValueFault(f"{name} is given twice")
        if FIGURE.fullmatch(found[0]) is None:
            raise ValueFault(f"{name} is not a plain number")
        value = float(found[0])
        if not rule.minimum <= value <= rule.maximum:
            raise ValueFault(f"{name} is not between {rule.minimum:g} and {rule.maximum:g}")
        return value

    def values(self, parameter: Parameter, path: bytes, query: bytes,
               headers: Iterable[tuple[bytes, bytes]]) -> list[bytes]:
        """All values that a request gives a parameter."""
        if parameter.within == "header":
            name = parameter.name.lower().encode()
            return [value.strip() for key, value in headers if key == name]
        if parameter.within == "query":
            pairs = parse_qsl(query.decode("latin-1"), keep_blank_values=True, encoding="latin-1")
            return [value.encode("latin-1") for name, value in pairs if name == parameter.name]
        for segment, text in zip(self.template.segments, path[1:].split(b"/"), strict=True):
            if parameter.name in segment.names:
                taken = match_segment(segment.encoded(), text)
                return [unquote_to_bytes(taken[segment.names.index(parameter.name)])] if taken else []
        return []


@dataclass(slots=True)
class PathItem:
    """The routes of one path, by method."""

    shape: str
    methods: dict[bytes, Route] = field(default_factory=dict)
    allow: bytes = b""

    def add(self, route: Route) -> None:
        self.methods[route.method.encode()] = route
        names = {m.decode() for m in self.methods} | {"OPTIONS"}
        names |= {"HEAD"} if "GET" in names else set()
        self.allow = ", ".join(sorted(names)).encode()

    def get(self, method: bytes) -> Route | None:
        """The route of a method; a HEAD that is not described is asked of the GET (RFC 9110, 9.3.2)."""
        route = self.methods.get(method)
        return self.methods.get(b"GET") if route is None and method == b"HEAD" else route


class _Node:
    """What may follow after some segments."""

    __slots__ = ("concrete", "partial", "whole", "item")

    def __init__(self) -> None:
        self.concrete: dict[bytes, _Node] = {}
        self.partial: list[tuple[tuple[bytes, ...], _Node, int, str]] = []
        self.whole: _Node | None = None
        self.item: PathItem | None = None


class RouteTable:
    """All routes of a description.  Once it is gone by it is never changed: a new one takes its place."""

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self.routes: list[Route] = []
        self.exact: dict[bytes, PathItem] = {}
        self.root = _Node()
        self.lengths: set[int] = set()
        self.keys: frozenset[bytes] = frozenset()   # header fields that must reach the backend
        self.items: dict[str, PathItem] = {}
        self.add(routes)

    def add(self, routes: Iterable[Route]) -> None:
        """Some more routes, while the table is made and not yet gone by: a large one is made in parts."""
        for route in routes:
            shape = route.template.shape
            if (item := self.items.get(shape)) is None:
                item = self.items[shape] = self._place(route.template, shape)
            item.add(route)
            self.routes.append(route)
            if route.key is not None and route.key.within == "header":
                self.keys |= {route.key.name.lower().encode()}

    def _place(self, template: Template, shape: str) -> PathItem:
        item = PathItem(shape)
        if template.concrete:
            self.exact[shape.encode()] = item
            return item
        node = self.root
        self.lengths.add(len(template.segments))
        for segment in template.segments:
            if segment.concrete:
                node = node.concrete.setdefault(segment.literals[0].encode(), _Node())
            elif segment.whole:
                node.whole = node.whole or _Node()
                node = node.whole
            else:
                text = "{}".join(segment.literals)
                known = next((n for _, n, _, t in node.partial if t == text), None)
                if known is None:
                    known = _Node()
                    node.partial.append((segment.encoded(), known, segment.weight, text))
                    node.partial.sort(key=lambda entry: (-entry[2], entry[3]))
                node = known
        node.item = item
        return item

    def ordered(self) -> list[Route]:
        """The routes in an order in which the first that matches a request is its route."""
        def rank(route: Route) -> tuple:
            segments = route.template.segments
            return (not route.template.concrete, [
                (0, 0, "") if s.concrete else (2, 0, "") if s.whole else (1, -s.weight, "{}".join(s.literals))
                for s in segments], route.template.shape, route.method)

        return sorted(self.routes, key=rank)

    def look_up(self, path: bytes) -> tuple[bytes, PathItem | None]:
        """A request's path in its normal form, and what it belongs to; raises PathError."""
        if (item := self.exact.get(path)) is not None:
            return path, item       # concrete paths stand there in their normal form, so this is one
        path = normal_path(path)
        return path, self.find(path)

    def find(self, path: bytes) -> PathItem | None:
        """The path item that a path in normal form belongs to."""
        if (item := self.exact.get(path)) is not None:
            return item
        segments = path.split(b"/")
        if (count := len(segments) - 1) not in self.lengths:
            return None
        node = self.root
        for segment in segments[1:]:
            following, whole = node.concrete.get(segment), node.whole
            if node.partial or (following is not None and whole is not None):
                return _walk(self.root, segments, 1, count)     # a choice, which may have to be undone
            if following is None:
                if whole is None or not segment:
                    return None
                following = whole
            node = following
        return node.item


def _walk(node: _Node, segments: list[bytes], at: int, last: int) -> PathItem | None:
    segment = segments[at]
    for following in _following(node, segment):
        found = following.item if at == last else _walk(following, segments, at + 1, last)
        if found is not None:
            return found
    return None


def _following(node: _Node, segment: bytes) -> list[_Node]:
    """Where a segment leads, the best first."""
    concrete = node.concrete.get(segment)
    out = [concrete] if concrete is not None else []
    if node.partial:
        out += [n for literals, n, _, _ in node.partial if match_segment(literals, segment) is not None]
    if node.whole is not None and segment:
        out.append(node.whole)
    return out
