"""From an OpenAPI 3.0 or 3.1 description to routes, with every fault found on the way.

The description may claim a route's effect, but the settings' class is what the decision module goes by: a
claim that differs is a fault, never a choice.  All faults are gathered in one pass, and a description with
one of them gives no table.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from importlib.util import find_spec
from itertools import product
from pathlib import Path
from urllib.parse import urlsplit

import jsonschema_rs

from fennelpoint.interface import Effect, Settings
from fennelpoint.routes.extension import NAME, SCHEMA, Reader, Said, short
from fennelpoint.routes.file_fingerprint import Stamp, stamp
from fennelpoint.routes.paths import PathError, Segment, Template, overlap, parse_template
from fennelpoint.routes.refs import At, Library, RefError
from fennelpoint.routes.table import Parameter, Route, Units
from fennelpoint.validation_errors import MAX_FAULTS, Fault, FaultyFile

METHODS = ("get", "put", "post", "delete", "options", "head", "patch", "trace")
SAFE_METHODS = frozenset(("get", "head", "options"))    # RFC 9110, section 9.2.1
MOST_BASES, MOST_ROUTES = 64, 50_000
VARIABLE = re.compile(r"\{([^{}]*)\}")
OWN_PATHS = frozenset(("/ready",))     # the ingress answers these itself
RESERVED_HEADERS = frozenset(("x-txn", "x-lane", "api-plan", "x-remaining-ms", "api-terms", "cookie", "host",
                              "content-length", "transfer-encoding", "connection", "x-resent"))


@dataclass(frozen=True, slots=True)
class Site:
    """What the settings know that a description must agree with."""

    classes: dict[str, tuple[int, Effect, float]]   # name -> index, effect, window (s)
    plans: dict[str, int]
    most_units: float       # 0: no bound

    @classmethod
    def of(cls, settings: Settings) -> Site:
        return cls({c.name: (i, c.effect, c.window) for i, c in enumerate(settings.classes)},
                   {p.name: i for i, p in enumerate(settings.plans)}, settings.most_units)


@dataclass(slots=True)
class Loaded:
    """A description as it was read: its routes, or none of them and the faults; its files either way."""

    routes: list[Route]
    faults: list[Fault]
    files: dict[str, Stamp]     # as they were when they were opened


def load(path: str | Path, site: Site | None = None) -> Loaded:
    """Read a description.  Without a site, what the settings would have to say is left unchecked.

    Never raises for what a file holds: that ends in `faults`.
    """
    path = Path(path)
    try:
        library = Library(path)
    except FaultyFile as error:
        return Loaded([], error.faults, {str(path.resolve()): stamp(path)})
    compiler = _Compiler(library, site)
    compiler.run()
    faults = sorted(set(compiler.faults + compiler.reader.faults), key=lambda f: (f.file, f.line, f.text))
    return Loaded([] if faults else compiler.routes, faults[:MAX_FAULTS], library.stamps)


@cache
def _published(version: str) -> object:
    """A validator of OpenAPI's own JSON Schema (3.0 or 3.1), as openapi-spec-validator brings it along.

    The package itself is not imported: that took 0.38 s, at every reading; jsonschema-rs checks 10,000
    operations in 0.02 s (3.0) and 0.09 s (3.1) by the same schemas.
    """
    folder = Path(find_spec("openapi_spec_validator").submodule_search_locations[0])
    schema = json.loads((folder / f"resources/schemas/v{version}/schema.json").read_text())
    return jsonschema_rs.validator_for(schema)


class _Compiler:
    """One pass over one description."""

    def __init__(self, library: Library, site: Site | None) -> None:
        self.library, self.site, self.faults, self.routes = library, site, [], []
        self.reader = Reader(library, jsonschema_rs.Draft202012Validator(SCHEMA))
        self.main = At(library.main, library.main.root)
        self.schema: object = None
        self.operations: dict[str, str] = {}
        self.shapes: dict[str, tuple[str, str, At]] = {}    # shape -> path, its text, where
        self.taken: set[tuple[str, str]] = set()            # shape and method
        self.partials: dict[str, list[tuple[Segment, str, At, str]]] = {}

    def fault(self, at: At, key: object, place: str, text: str) -> None:
        self.faults.append(Fault(at.document.name, at.line(key), place, text))

    def run(self) -> None:
        root = self.main.value
        if not isinstance(root, dict):
            return self.fault(self.main, None, "", "it is no OpenAPI description: an object is expected")
        version = root.get("openapi")
        if not isinstance(version, str) or not re.fullmatch(r"3\.[01]\.\d{1,3}", version):
            return self.fault(self.main, "openapi" if "openapi" in root else None, "openapi",
                              f"{short(repr(version), 40)} is not read here: descriptions are of OpenAPI 3.0 "
                              "or 3.1, the version a text such as \"3.1.0\"")
        self.schema = _published(version[:3])
        # What stands beside a path's $ref is looked at where it is followed: the schema allows nothing there,
        # the specification (3.1.0, section 4.8.9) leaves it open.
        paths = root.get("paths")
        whole = root if not isinstance(paths, dict) else {**root, "paths": {
            text: {"$ref": item["$ref"]} if isinstance(item, dict) and "$ref" in item else item
            for text, item in paths.items()}}
        sound = self._validate(whole, self.main, [])
        self.faults += self.library.check()
        above = self.reader.read(self.main, "root", NAME)
        servers = self._bases(self.main, "servers") or [""]
        if paths is None or paths == {}:
            return self.fault(self.main, "paths" if "paths" in root else None, "paths",
                              "there is no path: nothing could be served")
        if not isinstance(paths, dict):
            return
        at = At(self.main.document, paths)
        for text, item in paths.items():
            if text.startswith("/") and isinstance(item, dict) and len(self.routes) <= MOST_ROUTES:
                self._path(at, text, item, above, servers, sound)
        if len(self.routes) > MOST_ROUTES:
            self.fault(self.main, "paths", "paths", f"more than {MOST_ROUTES} routes")

    def _validate(self, value: object, at: At, prefix: list) -> bool:
        """Check a value against OpenAPI's own schema; whether it kept to it."""
        sound = True
        for error in self.schema.iter_errors(value):
            path = list(error.instance_path)
            sound = False
            if path[:len(prefix)] != prefix:
                continue
            path = path[len(prefix):]
            place = _place([*prefix, *path])
            line = at.document.line_at(path, at.value)
            self.faults.append(Fault(at.document.name, line, place, short(str(error.message))))
            if len(self.faults) > MAX_FAULTS:
                break
        return sound

    def _bases(self, holder: At, key: str) -> list[str] | None:
        """The base paths of a `servers` list; none where there is no list."""
        servers = holder.value.get(key)
        if not isinstance(servers, list) or not servers:
            return None
        out: list[str] = []
        for server in servers:
            at = At(holder.document, server)
            if not isinstance(server, dict) or not isinstance(url := server.get("url"), str):
                continue    # the schema has told
            for full in self._expanded(at, url, server.get("variables")):
                try:
                    base = urlsplit(full).path.rstrip("/")
                    parse_template(base or "/")
                except (PathError, ValueError) as error:
                    self.fault(at, "url", "servers", f"the path of {url!r} can't be used: {error}")
                    continue
                if base not in out:
                    out.append(base)
        return out

    def _expanded(self, at: At, url: str, variables: object) -> Iterator[str]:
        """A server's URL with each variable's values put in."""
        names = list(dict.fromkeys(VARIABLE.findall(url)))
        variables = variables if isinstance(variables, dict) else {}
        choices = []
        for name in names:
            variable = variables.get(name)
            if not isinstance(variable, dict) or not isinstance(default := variable.get("default"), str):
                self.fault(at, "url", "servers", f"the variable {name!r} has no default: describe it under "
                           "variables")
                return
            enum = variable.get("enum")
            choices.append([v for v in enum if isinstance(v, str)] if isinstance(enum, list) else [default])
        if len(names) > 8 or _size(choices) > MOST_BASES:
            self.fault(at, "url", "servers", f"it stands for more than {MOST_BASES} addresses")
            return
        for values in product(*choices):
            given = dict(zip(names, values, strict=True))
            yield VARIABLE.sub(lambda m, given=given: given[m[1]], url)

    def _path(self, paths: At, text: str, item: dict, above: dict[str, Said], servers: list[str],
              sound: bool) -> None:
        try:
            template = parse_template(text)
        except PathError as error:
            return self.fault(paths, text, text, f"{error}")
        local = At(paths.document, item)
        try:
            at = self.library.follow(local)
        except RefError:
            return      # told by the check of all references
        if not isinstance(at.value, dict):
            return self.fault(paths, text, text, "its $ref names no path item")
        if at.document is not self.main.document or at.value is not item:
            whole = {"openapi": self.main.value["openapi"], "info": {"title": "-", "version": "-"},
                     "paths": {text: at.value}}
            if at.document is not self.main.document and sound:
                self._validate(whole, at, ["paths", text])
            for key in item:
                if key not in ("$ref", "summary", "description") and not key.startswith("x-"):
                    self.fault(local, key, text, "it stands beside a $ref: put it where the $ref leads")
        said = above | self.reader.read(at, "path", text)
        if at.value is not item:
            said |= self.reader.read(local, "path", text)
        bases = self._bases(at, "servers")
        bases = servers if bases is None else bases
        shared = self._parameters(at, text)
        found = False
        for method in METHODS:
            operation = at.value.get(method)
            if isinstance(operation, dict):
                found = True
                if method == "head" and not isinstance(at.value.get("get"), dict):
                    self.fault(at, method, f"{text} HEAD", "a HEAD is asked of the GET, and there is "
                               "none: describe the GET, or take the HEAD out")
                    continue
                self._operation(At(at.document, operation), at, template, method, said, bases, shared)
        if not found and sound:
            self.fault(paths, text, text, "it has no operation: describe one, or take the path out")

    def _parameters(self, holder: At, place: str) -> dict[tuple[str, str], At]:
        """The parameters of a path item or an operation, by where and what."""
        out = {}
        listed = holder.value.get("parameters")
        for i, value in enumerate(listed if isinstance(listed, list) else ()):
            try:
                at = self.library.follow(At(holder.document, value))
            except RefError:
                continue
            if isinstance(at.value, dict) and isinstance(at.value.get("in"), str) and isinstance(
                    at.value.get("name"), str):
                if (where := (at.value["in"], at.value["name"])) in out:
                    self.fault(At(holder.document, listed), i, place,
                               f"the parameter {where[1]!r} in {where[0]} is described twice: keep one")
                out[where] = at
        return out

    def _operation(self, at: At, item: At, template: Template, method: str, above: dict[str, Said],
                   bases: list[str], shared: dict[tuple[str, str], At]) -> None:
        place = f"{template.text} {method.upper()}"
        if method == "trace":
            return self.fault(item, method, place, "TRACE is not served here: take it out")
        if isinstance(name := at.value.get("operationId"), str):
            if name in self.operations:
                self.fault(at, "operationId", place,
                           f"the operationId {name!r} is {self.operations[name]}'s too: give it another")
            else:
                self.operations[name] = place
        said = above | self.reader.read(at, "operation", place)
        parameters = shared | self._parameters(at, place)
        for parameter in template.names():
            if ("path", parameter) not in parameters:
                self.fault(item, method, place, f"the path's {{{parameter}}} is not described: add a "
                           "parameter with in: path")
        for where, parameter in parameters.items():
            if where[0] == "path" and where[1] not in template.names():
                self.faults.append(Fault(parameter.document.name, parameter.line("name"), place,
                                         f"the path has no {{{where[1]}}}: take the parameter out"))
        cls, effect = self._class(item, method, place, said)
        key = self._key(item, method, place, said, effect, parameters)
        units = self._units(place, said, parameters)
        plans, names = self._plans(place, said)
        own = self._bases(at, "servers")
        why = tuple((k, f"{s.level} ({s.where()})") for k, s in sorted(said.items()))
        cls_name = str(said["class"].value) if "class" in said else ""
        route = Route(method.upper(), template, cls, cls_name, effect, units, key, plans, names,
                      name if isinstance(name, str) else "", f"{item.document.name}:{item.line(method)}", why)
        for base in bases if own is None else own:
            self._add(route, base, item, method, place)

    def _add(self, route: Route, base: str, item: At, method: str, place: str) -> None:
        """Put a route under one base path, unless another one can't be told from it."""
        full = parse_template(base + route.template.text)
        shape = full.shape
        if shape in OWN_PATHS:
            return self.fault(item, method, place, f"{shape} is the ingress's own: give it another path")
        text = route.template.text
        known = self.shapes.setdefault(shape, (text, full.text, item))
        if known[0] != text:
            return self.fault(item, method, place, f"{full.text} can't be told from {known[1]} "
                              f"({known[2].document.name}:{known[2].line()}): keep one of the two")
        if (shape, route.method) in self.taken:
            return self.fault(item, method, place, f"{route.method} {full.text} is described twice by its "
                              "servers: keep one")
        if (shape, "") not in self.taken:
            self._tell_apart(full, item, method, place)
            self.taken.add((shape, ""))
        self.taken.add((shape, route.method))
        self.routes.append(route._replace(template=full))

    def _tell_apart(self, full: Template, item: At, method: str, place: str) -> None:
        """Two part literal segments at one place, as near to concrete as one another, must not overlap."""
        prefix = ""
        for segment in full.segments:
            if not segment.concrete and not segment.whole:
                line = self.partials.setdefault(prefix, [])
                for other, text, where, shape in line:
                    if shape != (mine := "{}".join(segment.literals)) and other.weight == segment.weight and (
                            overlap(other, segment)):
                        self.fault(item, method, place, f"{full.text} can't be told from {text} "
                                   f"({where.document.name}:{where.line()}) for some paths ({mine}, "
                                   f"{shape}): make one of them longer, or put a segment between")
                        break
                else:
                    if len(line) < 100:
                        line.append((segment, full.text, item, "{}".join(segment.literals)))
            prefix += "/" + "{}".join(segment.literals)

    def _class(self, item: At, method: str, place: str,
               said: dict[str, Said]) -> tuple[int, Effect | None]:
        """The route's class by its index, and its effect, which must be the class's."""
        effect = Effect(said["effect"].value) if "effect" in said else None
        if "class" not in said:
            self.fault(item, method, place, f"it has no class: say {NAME}: class at the operation, its path "
                       "or the root")
            return -1, effect
        name, index = said["class"].value, -1
        if self.site is not None:
            if name not in self.site.classes:
                self._fault(said["class"], place, f"the settings know no class {name!r}: those known are "
                            f"{', '.join(self.site.classes)}")
                return -1, effect
            index, true, window = self.site.classes[name]
            if effect is not None and effect is not true:
                self._fault(said["effect"], place, f"it says effect: {effect.value} "
                            f"({said['effect'].level}), but the settings call the class {name!r} "
                            f"{true.value}: say effect: {true.value}, or give it another class")
            effect = true
            if true is Effect.KEYED and window <= 0.0:
                self._fault(said["class"], place, f"the class {name!r} is keyed and has no window in the "
                            "settings: no backend would drop a repeat, so give it a window or another class")
        source = said.get("effect") or said["class"]
        if method in SAFE_METHODS and effect not in (None, Effect.SAFE):
            self._fault(source, place, f"{method.upper()} is safe by RFC 9110, 9.2.1, and this one is "
                        f"{effect.value}: make it a POST, or give it a class that is safe")
        elif method not in SAFE_METHODS and effect is Effect.SAFE and (
                "effect" not in said or said["effect"].level != "operation"):
            # Guards rule two: a booking that is described below a root or path of look-ups takes their class
            # by inheritance, unseen.  Who means it says so where the method is.
            self._fault(source, place, f"a {method.upper()} is taken for safe to repeat by what its "
                        f"{source.level} says: give it an unsafe class, or say effect: safe at the operation "
                        "itself if it really changes nothing")
        return index, effect

    def _fault(self, said: Said, place: str, text: str) -> None:
        self.faults.append(Fault(said.at.document.name, said.line(), place, text))

    def _key(self, item: At, method: str, place: str, said: dict[str, Said], effect: Effect | None,
             parameters: dict[tuple[str, str], At]) -> Parameter | None:
        if effect is not Effect.KEYED:
            if "key" in said and said["key"].level == "operation" and effect is not None:
                self._fault(said["key"], place, f"it has a key and is {effect.value}: take the key out, or "
                            "say effect: keyed")
            return None
        if "key" not in said:
            self.fault(item, method, place, "it is keyed and says not where the key is: add "
                       f"{NAME}: key with in and name")
            return None
        key = Parameter(said["key"].value["in"], said["key"].value["name"])
        if (told := self._described(key, parameters)) is None:
            self._fault(said["key"], place, f"no parameter {key.name!r} in {key.within} is described: "
                        "agencies must be told of the key, add it to parameters")
        elif told.value.get("required") is not True:
            self._fault(said["key"], place, f"the parameter {key.name!r} is the key and not required: say "
                        "required: true")
        return key

    def _described(self, parameter: Parameter, parameters: dict[tuple[str, str], At]) -> At | None:
        if parameter.within != "header":
            return parameters.get((parameter.within, parameter.name))
        return next((at for (within, name), at in parameters.items()
                     if within == "header" and name.lower() == parameter.name.lower()), None)

    def _units(self, place: str, said: dict[str, Said], parameters: dict[tuple[str, str], At]) -> Units:
        """The route's units; one where nothing is said."""
        if (told := said.get("units")) is None:
            return Units(1.0)
        most = self.site.most_units if self.site is not None else 0.0
        rule = told.value if isinstance(told.value, dict) else None
        figures = {"units": told.value} if rule is None else {
            f"units.{name}": rule[name] for name in ("default", "minimum", "maximum")}
        for name, figure in figures.items():
            if most and figure > most:
                self._fault(told, place, f"{name}: {figure:g} is over the settings' most, {most:g}: say at "
                            "most that")
        if rule is None:
            return Units(float(told.value))
        if not rule["minimum"] <= rule["default"] <= rule["maximum"]:
            self._fault(told, place, f"units.default: {rule['default']:g} is not between the minimum "
                        f"{rule['minimum']:g} and the maximum {rule['maximum']:g}")
        parameter = Parameter(rule["in"], rule["name"])
        if self._described(parameter, parameters) is None:
            self._fault(told, place, f"units go by the parameter {parameter.name!r} in {parameter.within}, "
                        "which is not described: add it to parameters")
        if parameter.within == "header" and parameter.name.lower() in RESERVED_HEADERS:
            self._fault(told, place, f"the header {parameter.name!r} is the ingress's own: use another")
        return Units(float(rule["default"]), parameter, float(rule["minimum"]), float(rule["maximum"]))

    def _plans(self, place: str, said: dict[str, Said]) -> tuple[frozenset[int] | None, tuple[str, ...]]:
        if (told := said.get("plans")) is None:
            return None, ()
        names = tuple(told.value)
        if self.site is None:
            return None, names
        for name in names:
            if name not in self.site.plans:
                self._fault(told, place, f"the settings know no plan {name!r}: those known are "
                            f"{', '.join(self.site.plans)}")
        return frozenset(self.site.plans[n] for n in names if n in self.site.plans), names


def _size(choices: list[list[str]]) -> int:
    size = 1
    for values in choices:
        size *= max(1, len(values))
    return size


def _place(path: list) -> str:
    """A place in a description as a reader says it: the path and the method first."""
    if len(path) > 1 and path[0] == "paths":
        rest = [str(p) for p in path[2:]]
        if rest and rest[0] in METHODS:
            rest[0] = rest[0].upper()
        return " ".join([str(path[1]), *rest[:1], *([".".join(rest[1:])] if rest[1:] else [])])
    return ".".join(map(str, path))
