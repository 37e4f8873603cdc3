"""Faulty files: each is refused before load, with its line, and no socket is taken."""

import json
import os
import re
import subprocess
import sys

import pytest
import uvloop
from describing import GRADES, HEAD, PLANS, loaded, text, write

from fennelpoint import __main__ as program
from fennelpoint.testing import SETTINGS

LOOK = "x-larchwing: {class: look}\n"


def paths(*lines: str, top: str = LOOK) -> str:
    """A description's body with these lines under `paths`, from line 5 on (4 without a top)."""
    return top + "paths:\n" + "".join(f"  {line}\n" for line in lines)


ID = "parameters: [{name: id, in: path, required: true, schema: {}}]"
GET = "get: {!ANSWER}"
KEY = "parameters: [{name: Key, in: header, required: true, schema: {}}]"
OP = "/a: {%s: {x-larchwing: {%s}, !ANSWER}}"

# body, the line that must be named, what must be said
FAULTY = {
    "no openapi": ("{}\n", 1, "is no OpenAPI description|is not read here"),
    "swagger": ("swagger: '2.0'\n", 1, "is not read here"),
    "a list": ("- a\n", 1, "it is no OpenAPI description"),
    "no paths": (HEAD + LOOK, 0, "there is no path"),
    "empty paths": (HEAD + LOOK + "paths: {}\n", 4, "there is no path"),
    "path without operations": (HEAD + paths("/a: {summary: s}"), 5, "it has no operation"),
    "safe booking": (HEAD + paths(OP % ("post", "class: book, effect: safe")), 5,
                     "the settings call the class 'book' unsafe"),
    "keyed booking": (HEAD + paths(OP % ("post", "class: book, effect: keyed")), 5, "say effect: unsafe"),
    "booking safe by the root": (HEAD + paths(OP % ("post", "class: book"),
                                              top="x-larchwing: {class: look, effect: safe}\n"), 3,
                                 "it says effect: safe \\(root\\)"),
    "booking safe by its path": (HEAD + paths("/a:", "  x-larchwing: {effect: safe}",
                                              "  post: {x-larchwing: {class: book}, !ANSWER}"), 6,
                                 "it says effect: safe \\(path\\)"),
    "booking safe by a reference": (HEAD + paths(
        "/a: {post: {x-larchwing: {$ref: '#/components/x-s'}, !ANSWER}}") +
        "components: {x-s: {class: book, effect: safe}}\n", 6, "it says effect: safe"),
    "POST that inherits a safe class": (HEAD + paths("/a: {post: {!ANSWER}}"), 3,
                                        "a POST is taken for safe to repeat by what its root says"),
    "DELETE that inherits a safe effect": (HEAD + paths(
        "/a: {delete: {x-larchwing: {class: look}, !ANSWER}}", top="x-larchwing: {effect: safe}\n"), 3,
        "a DELETE is taken for safe"),
    "look-up said unsafe": (HEAD + paths(OP % ("get", "effect: unsafe")), 5, "say effect: safe"),
    "GET of an unsafe class": (HEAD + paths(OP % ("get", "class: book")), 5, "GET is safe by RFC 9110"),
    "GET that inherits an unsafe class": (HEAD + paths(
        "/a: {get: {!ANSWER}}", top="x-larchwing: {class: book}\n"), 3, "GET is safe by RFC 9110"),
    "unknown class": (HEAD + paths(OP % ("get", "class: peek")), 5, "the settings know no class 'peek'"),
    "unknown plan": (HEAD + paths(OP % ("get", "plans: [basic, gold]")), 5,
                     "the settings know no plan 'gold'"),
    "no class": (HEAD + paths("/a: {get: {!ANSWER}}", top=""), 4, "it has no class"),
    "too many units": (HEAD + paths(OP % ("get", "units: 4")), 5, "4 is over the settings' most, 3"),
    "no units": (HEAD + paths(OP % ("get", "units: 0")), 5, "units are a number over 0"),
    "negative units": (HEAD + paths(OP % ("get", "units: -1")), 5, "units are a number over 0"),
    "infinite units": (HEAD + paths(OP % ("get", "units: 1e999")), 5, "units"),
    "units by nothing described": (HEAD + paths(OP % (
        "get", "units: {in: query, name: n, default: 1, minimum: 1, maximum: 2}")), 5,
        "which is not described"),
    "units with a default out of bounds": (HEAD + paths(
        "/a:", "  get:", "    x-larchwing: {units: {in: query, name: n, default: 3, minimum: 1, maximum: 2}}",
        "    parameters: [{name: n, in: query, schema: {}}]", "    !ANSWER"), 7,
        "units.default: 3 is not between"),
    "units over the most by their maximum": (HEAD + paths(
        "/a:", "  get:", "    x-larchwing: {units: {in: query, name: n, default: 1, minimum: 1, maximum: 9}}",
        "    parameters: [{name: n, in: query, schema: {}}]", "    !ANSWER"), 7, "units.maximum: 9 is over"),
    "units without bounds": (HEAD + paths(OP % ("get", "units: {in: query, name: n}")), 5,
                             "units are a number"),
    "unknown key": (HEAD + paths(OP % ("get", "clas: look")), 5,
                    "the key 'clas' is unknown: those known are"),
    "unknown effect": (HEAD + paths(OP % ("get", "effect: pure")), 5, "one of safe, keyed and unsafe"),
    "extension that is no object": (HEAD + paths("/a: {x-larchwing: look, get: {!ANSWER}}"), 5,
                                    "x-larchwing is not an object"),
    "keyed without a key": (HEAD + paths(OP % ("put", "class: hold")), 5, "says not where the key is"),
    "keyed by a key that is not described": (HEAD + paths(OP % (
        "put", "class: hold, key: {in: header, name: Key}")), 5, "no parameter 'Key' in header is described"),
    "keyed by a key that may be left out": (HEAD + paths(
        "/a:", "  put:", "    x-larchwing: {class: hold, key: {in: header, name: Key}}",
        "    parameters: [{name: key, in: header, schema: {}}]", "    !ANSWER"), 7, "say required: true"),
    "keyed without a window": (HEAD + paths(
        "/a:", "  put:", "    x-larchwing: {class: lost, key: {in: header, name: Key}}", f"    {KEY}",
        "    !ANSWER"), 7, "the class 'lost' is keyed and has no window"),
    "key of a booking": (HEAD + paths(OP % ("post", "class: book, key: {in: header, name: Key}")), 5,
                         "it has a key and is unsafe"),
    "templates of one shape": (HEAD + paths(f"/a/{{id}}: {{{GET}, {ID}}}",
                                            f"/a/{{x}}: {{{GET}, {ID.replace('id', 'x')}}}"), 6,
                               "/a/{x} can't be told from /a/{id}"),
    "templates that meet": (HEAD + paths(
        f"/a/{{x}}-b: {{{GET}, {ID.replace('id', 'x')}}}", f"/a/b-{{x}}: {{{GET}, {ID.replace('id', 'x')}}}"),
        6, "for some paths"),
    "paths that are one when unescaped": (HEAD + paths(f"/a%62: {{{GET}}}", f"/ab: {{{GET}}}"), 6,
                                          "/ab can't be told from /a%62"),
    "paths that are one by their servers": (HEAD + paths(
        f"/a: {{servers: [{{url: /v}}], {GET}}}", f"/v/a: {{{GET}}}"), 6, "can't be told from"),
    "the ingress's own path": (HEAD + paths(f"/ready: {{{GET}}}"), 5, "/ready is the ingress's own"),
    "operationId twice": (HEAD + paths("/a: {get: {operationId: o, !ANSWER}}", "/b: {get: {operationId: o, "
                                       "!ANSWER}}"), 6, "the operationId 'o' is /a GET's too"),
    "parameter that is not described": (HEAD + paths(f"/a/{{id}}: {{{GET}}}"), 5, "{id} is not described"),
    "parameter that the path lacks": (HEAD + paths(f"/a: {{{GET}, {ID}}}"), 5, "the path has no {id}"),
    "braces": (HEAD + paths(f"/a/{{id: {{{GET}}}"), 5, "the braces of"),
    "dot segments": (HEAD + paths(f"/a/../b: {{{GET}}}"), 5, "a dot segment"),
    "a query in a path": (HEAD + paths(f"/a?b=1: {{{GET}}}"), 5, "neither a query nor a fragment"),
    "TRACE": (HEAD + paths("/a: {trace: {!ANSWER}}"), 5, "TRACE is not served"),
    "HEAD alone": (HEAD + paths("/a: {head: {!ANSWER}}"), 5, "a HEAD is asked of the GET"),
    "unknown method": (HEAD + paths("/a:", "  get: {!ANSWER}", "  fetch: {!ANSWER}"), 5,
                       "'fetch' was unexpected"),
    "no responses' code": (HEAD + paths("/a: {get: {responses: {ok: {description: d}}}}"), 5,
                           "'ok' was unexpected"),
    "reference over the network": (HEAD + paths("/a: {$ref: 'https://x.example/a.yaml#/a'}"), 5,
                                   "leads over the network"),
    "reference out of the folder": (HEAD + paths("/a: {$ref: '../../../etc/passwd#/a'}"), 5,
                                    "leads out of the description's folder"),
    "absolute reference": (HEAD + paths("/a: {$ref: '/etc/passwd'}"), 5,
                           "leads out of the description's folder"),
    "reference in a circle": (HEAD + paths("/a: {$ref: '#/paths/~1b'}", "/b: {$ref: '#/paths/~1a'}"), 5,
                              "leads round in a circle"),
    "reference to nothing": (HEAD + paths("/a: {$ref: '#/components/x'}"), 5, "names nothing that is there"),
    "reference to a file that is not there": (HEAD + paths("/a: {$ref: 'none.yaml#/a'}"), 5, "can't be used"),
    "method beside a reference": (HEAD + paths(f"/a: {{$ref: '#/paths/~1b', {GET}}}", f"/b: {{{GET}}}"), 5,
                                  "it stands beside a \\$ref"),
    "server with an unknown variable": (HEAD + "servers: [{url: '/{v}'}]\n" + paths(f"/a: {{{GET}}}"), 3,
                                        "the variable 'v' has no default"),
    "key twice": (HEAD + paths(f"/a: {{{GET}}}", f"/a: {{{GET}}}"), 6, "the key '/a' is here twice"),
}


@pytest.mark.parametrize("name", FAULTY)
def test_faulty_description_is_refused_with_its_line(tmp_path, name):
    body, line, says = FAULTY[name]
    result = loaded(tmp_path, body, head="")
    assert not result.routes
    hits = [f for f in result.faults if re.search(says, f.text)]
    assert hits, "\n".join(map(str, result.faults))
    assert all(f.line > 0 for f in hits)
    assert (line or 1) in [f.line for f in hits], "\n".join(map(str, hits))
    assert str(hits[0]).startswith(f"{tmp_path}/d.yaml:")


def test_fault_names_file_line_path_method_and_what_would_be_right(tmp_path):
    body, _, _ = FAULTY["safe booking"]
    (fault,) = loaded(tmp_path, body, head="").faults
    assert str(fault) == (
        f"{tmp_path}/d.yaml:5: /a POST: it says effect: safe (operation), but the settings call the class "
        "'book' unsafe: say effect: unsafe, or give it another class")


def test_link_that_leads_out_of_the_folder_is_not_followed(tmp_path):
    (tmp_path / "in").mkdir()
    (tmp_path / "out.yaml").write_text("a: {}\n")
    (tmp_path / "in/link.yaml").symlink_to(tmp_path / "out.yaml")
    result = loaded(tmp_path / "in", paths("/a: {$ref: 'link.yaml#/a'}"))
    assert any("leads out of the description's folder" in f.text and f.line == 5 for f in result.faults)


def test_all_faults_are_found_in_one_pass(tmp_path):
    result = loaded(tmp_path, paths(
        OP % ("post", "class: book, effect: safe"), "/b: {get: {x-larchwing: {units: 9}, !ANSWER}}",
        "/c: {get: {x-larchwing: {class: peek}, !ANSWER}}", "/d: {$ref: 'none.yaml'}",
        "/e/{: {get: {!ANSWER}}"))
    assert [f.line for f in result.faults if f.file.endswith("d.yaml")] == [5, 6, 7, 8, 9]


def run_program(monkeypatch, tmp_path, description) -> int:
    """The program's start with this description; a loop that runs would be the first to take a socket."""
    operator, config = tmp_path / "operator.toml", tmp_path / "config.json"
    operator.write_text(f"schema = 1\n[routes]\ndescription = {json.dumps(str(description))}\n")
    config.write_text(json.dumps({
        "name": "n0", "listen": "127.0.0.1:9", "discovery": "127.0.0.1:9", "counter": "127.0.0.1:9",
        "seed": "7",
        "settings": {**SETTINGS, "grades": GRADES, "contracts": PLANS}}))
    monkeypatch.setenv("BALANCER_CONFIG", str(config))
    monkeypatch.setenv("LARCHWING_OPERATOR", str(operator))
    started = []

    def instead(coroutine):
        coroutine.close()
        started.append(True)

    monkeypatch.setattr(uvloop, "run", instead)
    code = program.main()
    assert bool(started) == (code == 0)
    return code


@pytest.mark.parametrize("name", FAULTY)
def test_ingress_does_not_start_by_a_faulty_description(tmp_path, monkeypatch, capsys, name):
    body, _, _ = FAULTY[name]
    assert run_program(monkeypatch, tmp_path, write(tmp_path, body, head="")) == 2
    assert f"fennelpoint: {tmp_path}/d.yaml" in capsys.readouterr().err


def test_ingress_starts_by_a_sound_one(tmp_path, monkeypatch):
    assert run_program(monkeypatch, tmp_path, write(tmp_path, paths("/a: {get: {!ANSWER}}"))) == 0


@pytest.mark.parametrize("name", FAULTY)
def test_check_of_faulty_files_opens_no_socket(tmp_path, monkeypatch, name):
    import socket

    def forbidden(*args, **kwargs):
        raise AssertionError("a socket was taken")

    monkeypatch.setattr(socket.socket, "__init__", forbidden)
    assert loaded(tmp_path, FAULTY[name][0], head="").faults


@pytest.mark.parametrize("name, data", [
    ("bomb.yaml", "a0: &a0 [x,x,x,x,x,x,x,x,x,x]\n" + "".join(
        f"a{i}: &a{i} [{','.join([f'*a{i - 1}'] * 10)}]\n" for i in range(1, 14))),
    ("deep.json", "[" * 200_000), ("utf16.yaml", text("paths: {}").encode("utf-16")),
    ("empty.yaml", ""), ("null.json", "null"), ("binary.yaml", bytes(range(256)) * 100)],
    ids=["bomb", "deep", "utf16", "empty", "null", "binary"])
def test_hostile_file_ends_in_a_report_within_bounds(tmp_path, name, data):
    """As the ingress would read it: in a process of its own, with 200 MB for its data on top of the code."""
    path = tmp_path / name
    path.write_bytes(data if isinstance(data, bytes) else data.encode())
    code = ("import resource, sys, time; from fennelpoint.routes.description import load\n"
            "begun, before = time.process_time(), resource.getrusage(resource.RUSAGE_SELF).ru_maxrss\n"
            "faults = load(sys.argv[1]).faults\n"
            "took = time.process_time() - begun\n"
            "grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before\n"
            "print(len(faults)); assert faults and took < 2.0 and grown < 200 * 1024, (took, grown)\n")
    done = subprocess.run([sys.executable, "-c", code, str(path)], capture_output=True, text=True, timeout=60,
                          env={**os.environ})
    assert done.returncode == 0, done.stderr
