"""Reads one YAML or JSON file into plain values that remember their lines, within bounds.

PyYAML's C parser gives events; they are put together here, for three reasons: OpenAPI wants the JSON schema
of YAML 1.2 (OpenAPI 3.1.0, section 4.3), while PyYAML resolves by 1.1 (`no` is false, `12:30` is 750);
every fault must name its line; and aliases, depth and duplicate keys must be bounded before memory is spent.
JSON is read the same way, being YAML's flow style, once the standard library has found it to be JSON.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from pathlib import Path

import yaml

from fennelpoint.validation_errors import Fault, FaultyFile

MOST_BYTES = 12 * 1024 * 1024   # of one file; 10,000 operations take about 4 MB
MOST_NODES = 600_000            # values of one file, aliases counted as often as they are used
MOST_DEPTH = 64                 # values within one another
MOST_SCALAR = 256 * 1024        # bytes of one text

INTEGER = re.compile(r"[-+]?[0-9]{1,300}|0o[0-7]{1,100}|0x[0-9a-fA-F]{1,100}")
NUMBER = re.compile(r"[-+]?(\.[0-9]+|[0-9]+(\.[0-9]*)?)([eE][-+]?[0-9]{1,4})?")
WORDS = {"": None, "~": None, "null": None, "Null": None, "NULL": None, "true": True, "True": True,
         "TRUE": True, "false": False, "False": False, "FALSE": False}
ESCAPE = re.compile(r"\\u([dD][89abAB][0-9a-fA-F]{2})\\u([dD][c-fC-F][0-9a-fA-F]{2})|\\.", re.DOTALL)
PLAIN_TAGS = {None, "!", "tag:yaml.org,2002:str", "tag:yaml.org,2002:map", "tag:yaml.org,2002:seq"}


@dataclass(slots=True)
class Document:
    """A file's value; `lines` has, by the id of a container, its line and those of what is in it."""

    name: str       # as faults name it
    path: Path
    root: object = None
    lines: dict[int, tuple[int, dict]] = field(default_factory=dict)

    def line(self, container: object, key: object = None) -> int:
        """The line of a mapping or list, or of what it has under a key; 0 where that is not known."""
        own, inner = self.lines.get(id(container), (0, {}))
        return inner.get(key, own) if key is not None else own

    def line_at(self, path: list, start: object = None) -> int:
        """The line of the deepest value on a path of keys that is there, from the root or from a value."""
        value = self.root if start is None else start
        line = self.line(value)
        for key in path:
            if not isinstance(value, dict | list):
                break
            line = self.line(value, key)
            try:
                value = value[key]
            except (KeyError, IndexError, TypeError):
                break
        return line


def scalar(text: str) -> object:
    """A plain scalar by the core schema of YAML 1.2.2, section 10.3.2, without its infinities."""
    if text in WORDS:
        return WORDS[text]
    first = text[0]
    if first in "-+.0123456789":
        if INTEGER.fullmatch(text):
            return int(text, 0) if text[:2] in ("0o", "0x") else int(text)
        if NUMBER.fullmatch(text):
            return float(text)
    return text


class _Open:
    """A container that is being read."""

    __slots__ = ("value", "lines", "key", "key_line", "anchor", "size", "at")

    def __init__(self, value: dict | list, at: int, anchor: str | None) -> None:
        self.value, self.lines, self.at, self.anchor = value, {}, at, anchor
        self.key: str | None = None
        self.key_line, self.size = at, 1


class _Builder:
    """Puts a document together from events, without recursion."""

    def __init__(self, document: Document) -> None:
        self.document = document
        self.anchors: dict[str, tuple[object, int]] = {}    # name -> value, its size
        self.stack: list[_Open] = []
        self.nodes = 0

    def fail(self, line: int, text: str) -> FaultyFile:
        return FaultyFile([Fault(self.document.name, line, "", text)])

    def build(self, text: str) -> None:
        loader = yaml.CSafeLoader(text)
        documents = 0
        try:
            while (event := loader.get_event()) is not None:
                kind = type(event)
                if kind is yaml.ScalarEvent:
                    self._scalar(event)
                elif kind is yaml.MappingStartEvent or kind is yaml.SequenceStartEvent:
                    self._start(event, {} if kind is yaml.MappingStartEvent else [])
                elif kind is yaml.MappingEndEvent or kind is yaml.SequenceEndEvent:
                    self._end()
                elif kind is yaml.AliasEvent:
                    self._alias(event)
                elif kind is yaml.DocumentStartEvent:
                    documents += 1
                    if documents > 1:
                        raise self.fail(event.start_mark.line + 1, "a second document begins here; "
                                        "a description is one")
        except yaml.YAMLError as error:
            mark = getattr(error, "problem_mark", None)
            problem = getattr(error, "problem", None) or getattr(error, "reason", None) or "it can't be read"
            raise self.fail(mark.line + 1 if mark else 1, f"it is not YAML: {problem}") from None
        finally:
            loader.dispose()

    def _scalar(self, event: yaml.ScalarEvent) -> None:
        line, text = event.start_mark.line + 1, event.value
        if len(text) > MOST_SCALAR:
            raise self.fail(line, f"a text of {len(text)} characters; {MOST_SCALAR} are the most")
        frame = self.stack[-1] if self.stack else None
        if frame is not None and type(frame.value) is dict and frame.key is None:
            if text == "<<" and event.implicit[0]:
                raise self.fail(line, "a merge key (<<) is not YAML 1.2: repeat the values, or use $ref")
            if text in frame.value:
                raise self.fail(line, f"the key {text!r} is here twice, first on line "
                                      f"{frame.lines.get(text, frame.at)}: keep one of them")
            frame.key, frame.key_line = text, line
            self._count(line, 1)
            return
        if event.tag not in PLAIN_TAGS:
            raise self.fail(line, f"the tag {event.tag} is not read here: write the value plainly")
        plain = event.implicit[0] and event.style is None or event.style == ""
        self._add(scalar(text) if plain and event.tag is None else text, line, 1, event.anchor)

    def _start(self, event: yaml.Event, value: dict | list) -> None:
        line = event.start_mark.line + 1
        if len(self.stack) >= MOST_DEPTH:
            raise self.fail(line, f"more than {MOST_DEPTH} values within one another")
        if event.tag not in PLAIN_TAGS:
            raise self.fail(line, f"the tag {event.tag} is not read here: write the value plainly")
        if self.stack and type(self.stack[-1].value) is dict and self.stack[-1].key is None:
            raise self.fail(line, "a key that is no text: keys are texts")
        self.stack.append(_Open(value, line, event.anchor))

    def _end(self) -> None:
        frame = self.stack.pop()
        self.document.lines[id(frame.value)] = (frame.at, frame.lines)
        self._add(frame.value, frame.at, frame.size, frame.anchor, counted=True)

    def _alias(self, event: yaml.AliasEvent) -> None:
        line = event.start_mark.line + 1
        if event.anchor not in self.anchors:
            raise self.fail(line, f"the alias *{event.anchor} names nothing that is complete before it")
        if self.stack and type(self.stack[-1].value) is dict and self.stack[-1].key is None:
            raise self.fail(line, "an alias can't be a key here")
        value, size = self.anchors[event.anchor]
        self._add(value, line, size, None)

    def _count(self, line: int, size: int) -> None:
        self.nodes += size
        if self.nodes > MOST_NODES:
            raise self.fail(line, f"it holds more than {MOST_NODES} values, its aliases written out: "
                                  "split it, or use $ref in place of aliases")

    def _add(self, value: object, line: int, size: int, anchor: str | None, counted: bool = False) -> None:
        self._count(line, 1 if counted else size)
        if anchor is not None:
            self.anchors[anchor] = (value, size)
        if not self.stack:
            self.document.root = value
            return
        frame = self.stack[-1]
        frame.size += size
        if type(frame.value) is dict:
            frame.value[frame.key], frame.lines[frame.key] = value, frame.key_line
            frame.key = None
        else:
            frame.lines[len(frame.value)] = line
            frame.value.append(value)


def _joined(match: re.Match) -> str:
    """JSON writes what is past U+FFFF as a pair of escapes, YAML as one."""
    high, low = match.groups()
    if high is None:
        return match[0]
    return "\\U%08x" % (0x10000 + ((int(high, 16) & 0x3FF) << 10) + (int(low, 16) & 0x3FF))


def read(path: Path, name: str) -> Document:
    """A file's value with its lines.

    Raises `FaultyFile` with one fault where it can't be read, is no UTF-8, YAML or JSON, or passes a bound.
    """
    def fail(line: int, text: str) -> FaultyFile:
        return FaultyFile([Fault(name, line, "", text)])

    try:
        with path.open("rb") as file:
            data = file.read(MOST_BYTES + 1)
    except (OSError, ValueError) as error:
        raise fail(0, f"it can't be read: {getattr(error, 'strerror', None) or error}") from None
    if len(data) > MOST_BYTES:
        raise fail(0, f"it is larger than {MOST_BYTES // 1024 // 1024} MiB: split it with $ref")
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        raise fail(data.count(b"\n", 0, error.start) + 1,
                   f"byte 0x{data[error.start]:02x} is no UTF-8: save the file as UTF-8") from None
    del data
    document = Document(name, path)
    if path.suffix.lower() == ".json":
        try:
            json.loads(text)
        except json.JSONDecodeError as error:
            raise fail(error.lineno, f"it is not JSON: {error.msg}") from None
        except RecursionError:
            raise fail(1, f"more than {MOST_DEPTH} values within one another") from None
        except ValueError as error:
            raise fail(1, f"it is not JSON: {error}") from None
        text = ESCAPE.sub(_joined, text)
    try:
        _Builder(document).build(text)
    except UnicodeError:
        raise fail(1, "it holds half a surrogate pair, which is no text") from None
    return document
