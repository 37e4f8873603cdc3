"""Follows `$ref` within a description's folder: never over the network, out of the folder, or round."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from urllib.parse import unquote

from fennelpoint.routes.file_fingerprint import Stamp, stamp
from fennelpoint.routes.source import Document, read
from fennelpoint.validation_errors import Fault, FaultyFile

MOST_FILES, MOST_STEPS = 200, 32    # files of one description; references that lead on to references
LITERAL = frozenset(("example", "examples", "default", "enum", "const"))   # a $ref in there is data


@dataclass(frozen=True, slots=True)
class At:
    """A value and the document that it stands in."""

    document: Document
    value: object

    def line(self, key: object = None) -> int:
        return self.document.line(self.value, key)


class RefError(ValueError):
    """A reference that leads nowhere; the text says why."""


class Library:
    """The files of one description, each read once."""

    def __init__(self, path: Path) -> None:
        self.folder, self.base = path.resolve().parent, path.parent
        self.documents: dict[Path, Document] = {}
        self.broken: dict[Path, Fault] = {}
        self.stamps: dict[str, Stamp] = {}  # taken before the file is read: a later change is seen as one
        self.main = self._open(path.resolve(), str(path))

    def _open(self, path: Path, name: str) -> Document:
        if path in self.broken:
            raise RefError(f"{name} can't be used")
        if (document := self.documents.get(path)) is None:
            if len(self.documents) >= MOST_FILES:
                raise RefError(f"more than {MOST_FILES} files belong to it")
            self.stamps[str(path)] = stamp(path)
            document = self.documents[path] = read(path, name)
        return document

    def target(self, document: Document, ref: str) -> At:
        """What one reference names; raises RefError."""
        file, _, pointer = ref.partition("#")
        if "://" in file or file.startswith("//"):
            raise RefError(f"$ref {ref!r} leads over the network: copy the file beside the description")
        other = document
        if file:
            try:
                path = (document.path.parent / unquote(file)).resolve()
                inside = path.is_relative_to(self.folder)
            except (OSError, ValueError, RuntimeError):
                raise RefError(f"$ref {ref!r} names no file") from None
            if not inside:
                raise RefError(f"$ref {ref!r} leads out of the description's folder: move the file into it")
            name = str(self.base / path.relative_to(self.folder))
            if path != document.path:
                try:
                    other = self._open(path, name)
                except FaultyFile as error:
                    self.documents.pop(path, None)
                    self.broken[path] = error.faults[0]
                    raise RefError(f"$ref {ref!r}: {name} can't be used") from None
        value = other.root
        if pointer and not pointer.startswith("/"):
            raise RefError(f"$ref {ref!r}: only JSON pointers (#/a/b) are followed")
        for part in pointer.split("/")[1:]:
            part = unquote(part).replace("~1", "/").replace("~0", "~")
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isascii() and part.isdigit() and len(part) < 7 and (
                    int(part) < len(value)):
                value = value[int(part)]
            else:
                raise RefError(f"$ref {ref!r} names nothing that is there ({part!r} is missing)")
        return At(other, value)

    def follow(self, at: At) -> At:
        """The value that a chain of references ends at; raises RefError, also where it leads round."""
        for _ in range(MOST_STEPS):
            if not (isinstance(at.value, dict) and isinstance(ref := at.value.get("$ref"), str)):
                return at
            at = self.target(at.document, ref)
        raise RefError(f"$ref {ref!r} leads round in a circle")

    def check(self) -> list[Fault]:
        """Every reference in every file that is reached, tried once."""
        faults, todo, seen = [], [self.main], set()
        while todo:
            document = todo.pop()
            if id(document) in seen:
                continue
            seen.add(id(document))
            for holder, ref in _references(document.root):
                try:
                    other = self.target(document, ref)
                    self.follow(other)
                    todo.append(other.document)
                except RefError as error:
                    faults.append(Fault(document.name, document.line(holder, "$ref"), "", str(error)))
        return faults + list(self.broken.values())


def _references(root: object) -> list[tuple[dict, str]]:
    """The objects with a `$ref` in a value; each container is looked at once, however often it is aliased."""
    out, todo, seen = [], [root], set()
    while todo:
        value = todo.pop()
        if not isinstance(value, dict | list) or id(value) in seen:
            continue
        seen.add(id(value))
        if isinstance(value, list):
            todo += value
            continue
        if isinstance(ref := value.get("$ref"), str):
            out.append((value, ref))
        todo += [item for key, item in value.items() if key not in LITERAL]
    return out
