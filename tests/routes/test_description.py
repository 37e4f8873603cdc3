"""Descriptions that are right: what becomes of them."""

import json
from pathlib import Path

import jsonschema_rs
import pytest
from describing import SITE, loaded, rows, text, write

from fennelpoint.interface import Effect
from fennelpoint.routes.description import load
from fennelpoint.routes.extension import SCHEMA
from fennelpoint.routes.table import RouteTable, ValueFault

ROOT = Path(__file__).parents[2]
TWO = """
    x-larchwing: {class: look, units: 2}
    paths:
      /a:
        x-larchwing: {units: 1.5}
        get: {!ANSWER}
        post: {x-larchwing: {class: book}, !ANSWER}
      /b:
        get: {!ANSWER}
    """


def test_nearer_one_wins_key_by_key(tmp_path):
    result = loaded(tmp_path, TWO)
    assert rows(result) == [("GET", "/a", "look", 1.5), ("POST", "/a", "book", 1.5),
                            ("GET", "/b", "look", 2.0)]
    assert [r.effect for r in result.routes] == [Effect.SAFE, Effect.UNSAFE, Effect.SAFE]
    assert dict(result.routes[1].why) == {"class": f"operation ({tmp_path}/d.yaml:8)",
                                          "units": f"path ({tmp_path}/d.yaml:6)"}
    assert result.routes[1].source == f"{tmp_path}/d.yaml:8"


@pytest.mark.parametrize("version", ["3.0.0", "3.0.3", "3.1.0", "3.1.1"])
@pytest.mark.parametrize("form", ["yaml", "json"])
def test_both_versions_in_both_forms_give_the_same_table(tmp_path, version, form):
    head = f'openapi: "{version}"\ninfo: {{title: t, version: "1"}}\n'
    path = write(tmp_path, TWO, head=head)
    if form == "json":
        import yaml
        path = tmp_path / "d.json"
        path.write_text(json.dumps(yaml.safe_load(text(TWO, head))))
    assert rows(load(path, SITE)) == rows(loaded(tmp_path, TWO, name="e.yaml"))


def test_servers_give_base_paths_and_the_nearer_list_counts(tmp_path):
    result = loaded(tmp_path, """
        servers:
          - {url: "https://a.example/v1/"}
          - {url: "https://b.example/v1"}
          - url: "https://{host}.example/{stage}/x"
            variables: {host: {default: c, enum: [c, d]}, stage: {default: live, enum: [live, test]}}
        x-larchwing: {class: look}
        paths:
          /a:
            get: {!ANSWER}
          /b:
            servers: [{url: /v2}]
            get: {!ANSWER}
            post: {x-larchwing: {class: book}, servers: [{url: /}], !ANSWER}
        """)
    assert [row[:2] for row in rows(result)] == [
        ("GET", "/v1/a"), ("GET", "/live/x/a"), ("GET", "/test/x/a"), ("GET", "/v2/b"), ("POST", "/b")]


def test_references_within_the_file_and_to_neighbours(tmp_path):
    (tmp_path / "parts").mkdir()
    (tmp_path / "parts/items.yaml").write_text(text("""
        slot:
          parameters: [{$ref: "../d.yaml#/components/parameters/id"}]
          get: {!ANSWER}
          post: {x-larchwing: {$ref: "#/booking"}, !ANSWER}
        booking: {class: book, units: 3}
        """, head=""))
    result = loaded(tmp_path, """
        x-larchwing: {$ref: "#/components/x-common"}
        paths:
          /s/{id}: {$ref: "parts/items.yaml#/slot"}
          /t/{id}:
            $ref: "parts/items.yaml#/slot"
            x-larchwing: {units: 2}
          /~w:
            get:
              parameters: [{$ref: "#/paths/~1s~1%7Bid%7D/x"}]
              !ANSWER
        components:
          x-common: {class: look}
          parameters:
            id: {name: id, in: path, required: true, schema: {$ref: "#/components/schemas/loop"}}
          schemas:
            loop: {type: object, properties: {again: {$ref: "#/components/schemas/loop"}}}
        """)
    assert [str(f) for f in result.faults] == [
        f"{tmp_path}/d.yaml:11: $ref '#/paths/~1s~1%7Bid%7D/x' names nothing that is there ('x' is missing)"]
    lines = (tmp_path / "d.yaml").read_text().splitlines(keepends=True)
    (tmp_path / "d.yaml").write_text("".join(lines[:10] + lines[11:]))
    result = load(tmp_path / "d.yaml", SITE)
    assert rows(result) == [("GET", "/s/{id}", "look", 1.0), ("POST", "/s/{id}", "book", 3.0),
                            ("GET", "/t/{id}", "look", 2.0), ("POST", "/t/{id}", "book", 3.0),
                            ("GET", "/~w", "look", 1.0)]
    assert result.routes[1].source == f"{tmp_path}/parts/items.yaml:4"
    assert sorted(Path(f).name for f in result.files) == ["d.yaml", "items.yaml"]


def test_units_by_a_parameter(tmp_path):
    rule = "units: {in: %s, name: n, default: 1, minimum: 0.5, maximum: 3}"
    result = loaded(tmp_path, f"""
        x-larchwing: {{class: look}}
        paths:
          /q:
            get:
              x-larchwing: {{{rule % "query"}}}
              parameters: [{{name: n, in: query, schema: {{}}}}]
              !ANSWER
          /h:
            get:
              x-larchwing: {{{rule % "header"}}}
              parameters: [{{name: N, in: header, schema: {{}}}}]
              !ANSWER
          "/p/x{{n}}.j":
            get:
              x-larchwing: {{{rule % "path"}}}
              parameters: [{{name: n, in: path, required: true, schema: {{}}}}]
              !ANSWER
        """)
    rows(result)
    query, header, path = result.routes
    asked = (b"", b"n=2", b"m=9&n=2.5", b"n=%32")
    assert [query.units_of(b"/q", q, ()) for q in asked] == [1.0, 2.0, 2.5, 2.0]
    assert header.units_of(b"/h", b"n=2", [(b"n", b" 3 ")]) == 3.0
    assert path.units_of(b"/p/x2.j", b"", ()) == 2.0
    for bad in (b"n=", b"n=4", b"n=0", b"n=x", b"n=1&n=1", b"n=1e0", b"n=-1", b"n=nan", b"n=%D9%A1",
                b"n=1_0"):
        with pytest.raises(ValueFault):
            query.units_of(b"/q", bad, ())


def test_part_literal_templates_that_do_not_meet_stand_side_by_side(tmp_path):
    body = """
        x-larchwing: {class: look}
        paths:
          "/{f}.xml": {get: {parameters: [{name: f, in: path, required: true, schema: {}}], !ANSWER}}
          "/{f}.csv": {get: {parameters: [{name: f, in: path, required: true, schema: {}}], !ANSWER}}
          "/{f}": {get: {parameters: [{name: f, in: path, required: true, schema: {}}], !ANSWER}}
        """
    table = RouteTable(loaded(tmp_path, body).routes)
    assert [table.find(p).shape for p in (b"/a.xml", b"/a.csv", b"/a.txt")] == ["/{}.xml", "/{}.csv", "/{}"]


def test_without_settings_classes_are_taken_as_they_are_said(tmp_path):
    result = loaded(tmp_path, TWO.replace("book", "whatever"), site=None)
    assert [r.cls for r in result.routes] == [-1, -1, -1]


def test_published_schema_is_the_one_that_is_used():
    published = json.loads((ROOT / "docs/x-larchwing.schema.json").read_text())
    assert published == SCHEMA
    jsonschema_rs.meta.validate(published)


def test_example_of_the_demo_is_right():
    from fennelpoint.demo import EXAMPLE, SETTINGS
    from fennelpoint.routes.description import Site
    from fennelpoint.settings import from_json

    assert len(rows(load(EXAMPLE, Site.of(from_json(SETTINGS))))) == 5
