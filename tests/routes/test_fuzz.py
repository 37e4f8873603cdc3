"""Random bytes and mutated descriptions end in a report, never a traceback, in time and memory."""

import json
import time
from pathlib import Path

from describing import SITE, text
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fennelpoint.demo import EXAMPLE
from fennelpoint.routes.description import load
from fennelpoint.routes.table import RouteTable

SOUND = [EXAMPLE.read_text(), text("""
    servers: [{url: "https://{a}.example/{b}", variables: {a: {default: x}, b: {default: y, enum: [y, z]}}}]
    x-larchwing: {class: look, units: {in: query, name: n, default: 1, minimum: 1, maximum: 2}}
    paths:
      /a/{id}.x: {$ref: "#/components/pathItems/p"}
      /b: {get: {parameters: [{name: n, in: query, schema: {type: integer}}], !ANSWER}}
    components:
      pathItems:
        p:
          parameters: [{name: id, in: path, required: true, schema: {type: string}}]
          get: {parameters: [{name: n, in: query, schema: {}}], !ANSWER}
          post: {x-larchwing: {class: book, units: 1}, !ANSWER}
    """)]
PIECES = st.sampled_from([
    "", " ", "\n", "{", "}", "[", "]", ":", "- ", "&a ", "*a", "<<: *a", "null", "1e999", "-1", "'", '"', "#",
    "$ref: '#/paths'", "$ref: '#'", "x-larchwing: {}", "x-larchwing: [1]", "class: book", "effect: safe",
    "units: {}", "units: 1e400", "units: 99999999999999999999999", "servers: 1", "paths: []",
    "parameters: {a: 1}",
    "{id}", "{a}{b}", "/../", "%zz", "\u2028", "\x00", "\ud7ff", "!!binary x", "? ", "get:", "true",
    "[[[[", "0x"])
CUT = st.tuples(st.integers(0, 2000), st.integers(0, 60), PIECES)
QUIET = settings(max_examples=150, deadline=None,
                 suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow])


def memory(name: str) -> int:
    """kB of this process, as the kernel tells them (proc(5))."""
    lines = Path("/proc/self/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(name))


def check(path) -> None:
    Path("/proc/self/clear_refs").write_text("5")   # the peak counts from here, not from an earlier test's
    before, begun = memory("VmRSS"), time.process_time()
    result = load(path, SITE)
    assert time.process_time() - begun < 2.0
    assert memory("VmHWM") - before < 200 * 1024
    assert bool(result.routes) != bool(result.faults)
    for fault in result.faults:
        assert "\n" not in str(fault) and len(str(fault)) < 1000
    RouteTable(result.routes).find(b"/v1/slots")


@QUIET
@given(data=st.binary(max_size=400), is_json=st.booleans())
def test_random_bytes(tmp_path, data, is_json):
    path = tmp_path / ("d.json" if is_json else "d.yaml")
    path.write_bytes(data)
    check(path)


@QUIET
@given(sound=st.sampled_from(SOUND), cuts=st.lists(CUT, min_size=1, max_size=4))
def test_mutated_descriptions(tmp_path, sound, cuts):
    for at, length, piece in cuts:
        at %= len(sound)
        sound = sound[:at] + piece + sound[at + length:]
    path = tmp_path / "d.yaml"
    path.write_text(sound, errors="surrogatepass")
    check(path)


VALUE = st.recursive(st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
                     lambda inner: st.lists(inner, max_size=3) | st.dictionaries(
                         st.sampled_from(["get", "post", "$ref", "x-larchwing", "class", "units", "in",
                                          "name", "parameters", "servers", "url", "/a", "/{a}", "paths",
                                          "openapi"]),
                         inner, max_size=4), max_leaves=12)


@QUIET
@given(place=st.sampled_from(["paths", "servers", "x-larchwing", "components", "info", "openapi"]),
       value=VALUE)
def test_values_of_any_shape_at_any_place(tmp_path, place, value):
    whole = {"openapi": "3.1.0", "info": {"title": "t", "version": "1"}, "x-larchwing": {"class": "look"},
             "paths": {"/a": {"get": {"responses": {"default": {"description": "d"}}}}}, place: value}
    path = tmp_path / "d.json"
    path.write_text(json.dumps(whole))
    check(path)
