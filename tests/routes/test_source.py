"""Files as they come: lines, YAML 1.2, JSON, and what is too much."""

import json

import pytest
from describing import write

from fennelpoint.routes import source
from fennelpoint.routes.source import read, scalar
from fennelpoint.validation_errors import FaultyFile


def fault(path) -> str:
    with pytest.raises(FaultyFile) as caught:
        read(path, path.name)
    (one,) = caught.value.faults
    return str(one)


def make(folder, data: bytes | str, name: str = "d.yaml"):
    path = folder / name
    path.write_bytes(data if isinstance(data, bytes) else data.encode())
    return path


@pytest.mark.parametrize("text, value", [
    ("no", "no"), ("on", "on"), ("12:30", "12:30"), ("2026-12-01", "2026-12-01"), ("0x1f", 31), ("0o17", 15),
    ("017", 17), ("1e3", 1000.0), ("-.5", -0.5), ("~", None), ("True", True), ("1_000", "1_000"),
    (".inf", ".inf"),
    ("+7", 7), ("-", "-"), ("1.", 1.0)])
def test_scalars_are_those_of_yaml_1_2(text, value):
    found = scalar(text)
    assert found == value and type(found) is type(value)


def test_values_know_their_lines(tmp_path):
    document = read(make(tmp_path, "a: 1\nb:\n  - x\n  - {c: 'yes'}\n"), "d.yaml")
    assert document.root == {"a": 1, "b": ["x", {"c": "yes"}]}
    assert document.line_at(["a"]) == 1 and document.line_at(["b", 1, "c"]) == 4
    assert document.line_at(["b", 7]) == 3


def test_json_is_read_with_its_lines_and_escapes(tmp_path):
    value = {"a": ["\U0001f600", "x/y", "\\ud83d", 1.5e3, None, True], "b": {"c": "é\t"}}
    document = read(make(tmp_path, json.dumps(value, indent=1), "d.json"), "d.json")
    assert document.root == value and document.line_at(["b", "c"]) == 11
    dense = json.dumps(value, separators=(",", ":")).replace("x/y", "x\\/y")
    assert read(make(tmp_path, dense, "e.json"), "e.json").root == value


@pytest.mark.parametrize("name, data, says", [
    ("d.yaml", b"a: 1\nb: \xff\n", "d.yaml:2: byte 0xff is no UTF-8"),
    ("d.yaml", "a: 1\nb: 2\na: 3\n", "d.yaml:3: the key 'a' is here twice, first on line 1"),
    ("d.json", '{"a": 1,\n "a": 2}', "d.json:2: the key 'a' is here twice"),
    ("d.yaml", "a: [1\nb: 2", "d.yaml:2: it is not YAML"),
    ("d.yaml", "a:\n\tb: 1", "d.yaml:2: it is not YAML"),
    ("d.json", '{"a":\n 1,}', "d.json:2: it is not JSON"),
    ("d.json", "a: 1", "d.json:1: it is not JSON"),
    ("d.json", '{"a": "\\ud800"}', "d.json:1: it "),
    ("d.yaml", "a: 1\n---\nb: 2", "d.yaml:2: a second document"),
    ("d.yaml", "a: !!python/object:os.system {}", "d.yaml:1: the tag"),
    ("d.yaml", "a: 1\nb: !secret x", "d.yaml:2: the tag"),
    ("d.yaml", "? [a]\n: 1", "d.yaml:1: a key that is no text"),
    ("d.yaml", "a: &x {b: 1}\nc:\n  <<: *x", "d.yaml:3: a merge key"),
    ("d.yaml", "a: &x [*x]", "d.yaml:1: the alias *x"),
    ("d.yaml", "a: *x", "d.yaml:1: the alias *x"),
    ("d.yaml", "a: &x 1\n*x : 2", "d.yaml:2: an alias can't be a key"),
    ("d.yaml", "[" * 500, "d.yaml:1: more than 64 values within one another"),
    ("d.json", "[" * 100_000 + "]" * 100_000, "d.json:1: more than 64 values within one another"),
    ("d.yaml", "a: \x01", "d.yaml:1: it is not YAML"),
    ("d.yaml", "a: " + "x" * (source.MOST_SCALAR + 1), "d.yaml:1: a text of"),
])
def test_file_that_cannot_be_read_is_told_with_its_line(tmp_path, name, data, says):
    assert fault(make(tmp_path, data, name)).startswith(says)


def test_bomb_of_aliases_is_found_before_it_is_written_out(tmp_path):
    lines = ["a0: &a0 [x, x, x, x, x, x, x, x, x, x]"]
    lines += [f"a{i}: &a{i} [{', '.join([f'*a{i - 1}'] * 10)}]" for i in range(1, 12)]
    assert "it holds more than" in fault(make(tmp_path, "\n".join(lines)))


def test_file_of_50_mb_is_not_read(tmp_path):
    path = tmp_path / "d.yaml"
    with path.open("wb") as file:
        file.truncate(50 * 1024 * 1024)
    assert "it is larger than 12 MiB" in fault(path)


def test_file_that_is_not_there(tmp_path):
    assert "No such file" in fault(tmp_path / "none.yaml")
    assert "directory" in fault(tmp_path)


def test_alias_is_read_where_it_is_small(tmp_path):
    path = write(tmp_path, "x: &a {b: 1}\ny: [*a, *a]\n", head="")
    assert read(path, "d.yaml").root == {"x": {"b": 1}, "y": [{"b": 1}, {"b": 1}]}
