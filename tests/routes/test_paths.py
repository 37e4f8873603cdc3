"""Paths, templates and the table, against matchers that are slow and obviously right."""

import re
from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.interface import Effect
from fennelpoint.routes.paths import (
    PathError,
    Segment,
    match_segment,
    normal_path,
    overlap,
    parse_template,
)
from fennelpoint.routes.table import Route, RouteTable, Units


@pytest.mark.parametrize("path, normal", [
    (b"/", b"/"),
    (b"/a/b", b"/a/b"),
    (b"/a/b/", b"/a/b/"),
    (b"/%61/%7Eb", b"/a/~b"),
    (b"/caf%c3%a9", b"/caf%C3%A9"),
    (b"/a%20b", b"/a%20b"),
    (b"/a:b@c;d=e,f!$&'()*+", b"/a:b@c;d=e,f!$&'()*+"),
    (b"/a/.b/..c/d.", b"/a/.b/..c/d."),
    (b"/a//b", b"/a//b"),
    (b"/%25%36%31", b"/%2561"),     # decoded once, never twice
])
def test_path_has_one_normal_form(path, normal):
    assert normal_path(path) == normal == normal_path(normal)


@pytest.mark.parametrize("path", [
    b"", b"a", b"*", b"/a/../b", b"/a/..", b"/.", b"/a/./b", b"/%2e%2E/b", b"/a/.%2e", b"/a%2fb", b"/a%5Cb",
    b"/a\\b", b"/a%00", b"/a%", b"/a%4", b"/a%zz", b"/a b", b"/a\x7f", b"/\xc3\xa9", b"/a#b", b'/a"b',
    b"/a<b", b"/a{b}", b"/a|b", b"/a^b", b"/a`b", b"/a\tb"])
def test_path_that_could_be_read_in_two_ways_is_refused(path):
    with pytest.raises(PathError):
        normal_path(path)


@given(st.binary(max_size=40).map(lambda tail: b"/" + tail))
def test_normal_form_is_stable_whatever_comes(path):
    try:
        normal = normal_path(path)
    except PathError:
        return
    assert normal_path(normal) == normal and b"/../" not in normal and normal.isascii()


@pytest.mark.parametrize("text", ["a", "/a/{", "/a/}", "/{}", "/{a}/{a}", "/{a}{b}", "/a?b", "/a#b", "/a//b",
                                  "/a/../b", "/.", "/a%2Fb", "/a%zz", "/" + "a/" * 70])
def test_template_that_cannot_be_matched_is_refused(text):
    with pytest.raises(PathError):
        parse_template(text)


def test_shape_is_the_template_without_its_names():
    one, two = parse_template("/a/{x}/{y}.json"), parse_template("/a/{id}/{n}.json")
    assert one.shape == two.shape == "/a/{}/{}.json"
    assert parse_template("/caf\u00e9/%7e").shape == "/caf%C3%A9/~"


PART = st.text("ab-.", max_size=2)
SEGMENT = st.lists(PART, min_size=1, max_size=3).filter(lambda parts: all(parts[1:-1])).map(
    lambda parts: Segment(tuple(parts), tuple(f"p{i}" for i in range(len(parts) - 1))))


def pattern(segment: Segment) -> re.Pattern:
    """The obvious way: a regular expression."""
    return re.compile("(.+?)".join(map(re.escape, segment.literals)), re.DOTALL)


@given(SEGMENT, st.text("ab-.", max_size=8))
def test_segment_matches_as_a_regular_expression_does(segment, text):
    found = match_segment(segment.encoded(), text.encode()) if segment.names else (
        [] if text == segment.literals[0] else None)
    match = pattern(segment).fullmatch(text)
    assert (found is not None) == (match is not None)
    if segment.names and match:
        assert [v.decode() for v in found] == list(match.groups())


@given(SEGMENT, SEGMENT)
def test_overlap_is_found_where_some_text_matches_both(a, b):
    texts = ("".join(t) for n in range(6) for t in product("ab-.", repeat=n))
    both = any(pattern(a).fullmatch(t) and pattern(b).fullmatch(t) for t in texts)
    if both:
        assert overlap(a, b)
    elif a.weight + b.weight <= 3:      # longer ones may need longer texts than were tried
        assert not overlap(a, b)


def test_hostile_segment_takes_linear_time():
    segment = parse_template("/{a}-{b}-{c}.x").segments[0]
    assert match_segment(segment.encoded(), b"-" * 1_000_000) is None


def route(text: str, method: str = "GET") -> Route:
    return Route(method, parse_template(text), 0, "look", Effect.SAFE, Units(1.0))


NAMES = st.sampled_from(["a", "b", "{x}", "{x}.j", "a{x}", "{x}-b"])
TEMPLATE = st.lists(NAMES, min_size=1, max_size=3).map(
    lambda parts: "/" + "/".join(part.replace("x", f"x{i}") for i, part in enumerate(parts)))


def rank(template) -> tuple:
    """Precedence said plainly: by segment from the left, concrete, then the most literals, then none."""
    return tuple((0,) if s.concrete else (2,) if s.whole else (1, -s.weight, "{}".join(s.literals))
                 for s in template.segments)


@given(st.lists(TEMPLATE, max_size=8, unique_by=lambda t: parse_template(t).shape),
       st.lists(st.sampled_from(["a", "b", "ab", "a.j", "ac.j", "c-b", "a-b", "", "c", ".j"]), min_size=1,
                max_size=4))
def test_table_finds_what_a_slow_matcher_finds(texts, parts):
    path = "/" + "/".join(parts)
    table = RouteTable([route(text) for text in texts])
    fitting = []
    for text in texts:
        template = parse_template(text)
        if len(template.segments) == len(parts) and all(
                pattern(s).fullmatch(p) for s, p in zip(template.segments, parts, strict=True)):
            fitting.append(template)
    expected = min(fitting, key=lambda t: (not t.concrete, rank(t))).shape if fitting else None
    found = table.find(path.encode())
    assert (found.shape if found else None) == expected


def test_methods_of_a_path_and_those_that_follow_from_them():
    table = RouteTable([route("/a"), route("/a", "POST"), route("/{x}", "PUT")])
    item = table.find(b"/a")
    assert item.allow == b"GET, HEAD, OPTIONS, POST" and item.get(b"HEAD").method == "GET"
    assert item.get(b"PUT") is None     # the concrete path has the word, though another would have the method
    assert table.find(b"/b").allow == b"OPTIONS, PUT" and table.find(b"/b").get(b"HEAD") is None
    assert table.find(b"/") is None and table.find(b"/a/") is None and table.find(b"/a/b") is None
