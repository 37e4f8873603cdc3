"""`x-larchwing`: what an OpenAPI description says to the ingress, its JSON Schema, and how it is inherited.

The object may stand at the root, at a path item and at an operation; the nearer one wins key by key.  The
schema here is the authority; `docs/x-larchwing.schema.json` is its published copy.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelpoint.routes.refs import At, Library, RefError
from fennelpoint.validation_errors import Fault

NAME = "x-larchwing"
_FIGURE = {"type": "number", "exclusiveMinimum": 0}
_PARAMETER = {"in": {"enum": ["path", "query", "header"]}, "name": {"type": "string", "minLength": 1}}

SCHEMA: dict = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "title": NAME,
    "description": "What the ingress is told of a route. Allowed at the root of an OpenAPI description, at a "
                   "path item and at an operation; the nearer one wins, key by key.",
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "class": {"type": "string", "minLength": 1,
                  "description": "The request's class, as the settings name it."},
        "effect": {"enum": ["safe", "keyed", "unsafe"],
                   "description": "May a request run more than once? It must be what the class says; left "
                                  "out, the class tells."},
        "units": {
            "description": "What a request takes from its quota, in units.",
            "oneOf": [
                _FIGURE,
                {"type": "object", "additionalProperties": False,
                 "required": ["in", "name", "default", "minimum", "maximum"],
                 "properties": {**_PARAMETER,
                                "default": {**_FIGURE, "description": "Where the request leaves it out."},
                                "minimum": _FIGURE, "maximum": _FIGURE}}]},
        "key": {
            "description": "Where a keyed request carries its idempotency key.",
            "type": "object", "additionalProperties": False, "required": ["in", "name"],
            "properties": {"in": {"enum": ["query", "header"]}, "name": _PARAMETER["name"]}},
        "plans": {
            "description": "The plans that may use the route; left out, all may.",
            "type": "array", "minItems": 1, "uniqueItems": True, "items": {"type": "string"}}}}

KEYS = tuple(SCHEMA["properties"])


@dataclass(frozen=True, slots=True)
class Said:
    """One key's value, where it stands, and at which level it was said: root, path or operation."""

    value: object
    at: At      # the object that holds the key
    key: str
    level: str

    def line(self) -> int:
        return self.at.line(self.key)

    def where(self) -> str:
        return f"{self.at.document.name}:{self.line()}"


@dataclass(slots=True)
class Reader:
    """Reads the extension objects of a description; `faults` gathers what is wrong with them."""

    library: Library
    validator: object       # of SCHEMA
    faults: list[Fault] = field(default_factory=list)

    def read(self, holder: At, level: str, place: str) -> dict[str, Said]:
        """What an object's `x-larchwing` says; nothing for one that has none or a faulty one."""
        if not isinstance(holder.value, dict) or NAME not in holder.value:
            return {}
        try:
            at = self.library.follow(At(holder.document, holder.value[NAME]))
        except RefError as error:
            self.faults.append(Fault(holder.document.name, holder.line(NAME), place, f"{NAME}: {error}"))
            return {}
        if not isinstance(at.value, dict):
            self.faults.append(Fault(holder.document.name, holder.line(NAME), place,
                                     f"{NAME} is not an object: write its keys under it"))
            return {}
        wrong = set()
        for error in self.validator.iter_errors(at.value):
            path = list(error.instance_path)
            unknown = sorted(k for k in at.value if k not in KEYS) if not path else []
            for key in unknown or (path[:1] or [None]):
                text = (f"{NAME}: the key {key!r} is unknown: those known are {', '.join(KEYS)}" if unknown
                        else f"{'.'.join([NAME, *map(str, path)])}: {_said(error, path)}")
                self.faults.append(Fault(at.document.name, at.line(key), place, text))
                wrong.add(key)
        return {key: Said(value, at, key, level) for key, value in at.value.items()
                if key in KEYS and key not in wrong}


WORDS = {"units": "units are a number over 0, or an object with in, name, default, minimum and maximum "
                  "(numbers over 0)",
         "effect": "the effect is one of safe, keyed and unsafe",
         "class": "a class is named by a text",
         "key": "a key is an object with in (header or query) and name",
         "plans": "plans are a list of different names"}


def _said(error: object, path: list) -> str:
    return WORDS.get(str(path[0]) if path else "", short(str(error.message)))


def short(text: str, most: int = 160) -> str:
    """A message of the schema's validator without the whole value in it."""
    text = " ".join(text.split())
    return text if len(text) <= most else text[:most // 2] + " ... " + text[-most // 2:]
