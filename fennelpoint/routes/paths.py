"""Paths and path templates in one normal form, so that whoever compares two of them compares the same bytes.

A request's path is brought to the normal form of RFC 3986, section 6.2.2, once, at the ingress; it is matched
in that form and goes on in it.  What two servers could read differently is refused in place of guessed at:
dot segments, an encoded slash, backslash or NUL, and bytes that no path may hold.
"""

from __future__ import annotations

import re
from functools import lru_cache
from typing import NamedTuple

MOST_SEGMENTS = 64
UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
PLAIN = bytes(code for code in range(0x21, 0x7F) if code not in b'".#%<>?[\\]^`{|}')  # needs no closer look
FORBIDDEN = re.compile(rb"[^!$%&-;=@-Z_a-z~]")
ESCAPED = re.compile(rb"%([0-9A-Fa-f]{2})?")
DOTS = (b".", b"..")
HIDDEN = frozenset(b"/\\\0")
EXPRESSION = re.compile(r"\{([^{}/]*)\}")


ABSOLUTE = re.compile(rb"https?://([^/?#]*)", re.IGNORECASE)


class PathError(ValueError):
    """A path that is not taken; the text says why."""


def _unescape(match: re.Match[bytes]) -> bytes:
    if match[1] is None:
        raise PathError("a % in the path is not followed by two hexadecimal digits")
    code = int(match[1], 16)
    if code in HIDDEN:
        raise PathError("the path hides a slash, a backslash or a NUL")
    return bytes((code,)) if code in UNRESERVED else match[0].upper()


def normal_path(path: bytes) -> bytes:
    """The path in its normal form: unreserved characters plain, other escapes in capitals.

    Raises PathError for what is no absolute path, holds dot segments, or hides a separator.
    """
    if path[:1] == b"/":
        odd = path.translate(None, PLAIN)
        if not odd or (not odd.strip(b".") and b"/." not in path):
            return path
    if path[:1] != b"/":
        raise PathError("the path does not begin with a slash")
    if FORBIDDEN.search(path):
        raise PathError("the path holds a byte that no path may hold")
    path = ESCAPED.sub(_unescape, path)
    if any(segment in DOTS for segment in path.split(b"/")):
        raise PathError("the path holds a dot segment")
    return path


def split_target(url: bytes) -> tuple[bytes | None, bytes, bytes]:
    """Authority (none in the usual form), path and query of a request's target (RFC 9112, section 3.2)."""
    authority = None
    if (match := ABSOLUTE.match(url)) is not None:
        authority, url = match[1], url[match.end():]
        url = url if url[:1] == b"/" else b"/" + url
    path, _, query = url.partition(b"?")
    if b"#" in query:
        raise PathError("the target holds a fragment")
    return authority, path, query


def normal_literal(text: str) -> str:
    """The literal part of a template as it looks in a normal path: what is not ASCII is written in UTF-8."""
    data = b"".join(b"%%%02X" % code if code >= 0x80 or code <= 0x20 or code in b'"<>^`|\\{}#?' else
                    bytes((code,)) for code in text.encode())
    return ESCAPED.sub(_unescape, data).decode()


class Segment(NamedTuple):
    """One segment of a template: literals with expressions between them; no expression makes it concrete."""

    literals: tuple[str, ...]   # one more than there are expressions, each may be empty
    names: tuple[str, ...] = ()

    @property
    def concrete(self) -> bool:
        return not self.names

    @property
    def whole(self) -> bool:
        """Whether an expression takes the whole segment."""
        return self.literals == ("", "")

    @property
    def weight(self) -> int:
        """Literal characters: the more of them, the nearer it is to concrete."""
        return sum(map(len, self.literals))

    def encoded(self) -> tuple[bytes, ...]:
        """The literals as `match_segment` takes them."""
        return tuple(x.encode() for x in self.literals)


def match_segment(literals: tuple[bytes, ...], text: bytes) -> list[bytes] | None:
    """What each expression between these literals takes of a request's segment, one byte or more; or none.

    Each takes as little as it can, from the left.  In time linear in the text: a regular expression with
    several of them would take a hostile segment's square.
    """
    first, *middle, last = literals
    end = len(text) - len(last)
    if not text.startswith(first) or not text.endswith(last):
        return None
    values, at = [], len(first)
    for literal in middle:
        found = text.find(literal, at + 1, end)
        if found < 0:
            return None
        values.append(text[at:found])
        at = found + len(literal)
    if at >= end:
        return None
    return [*values, text[at:end]]


class Template(NamedTuple):
    """A path template of OpenAPI 3.1.0, section 4.8.8 (Paths Object), with its server's base path."""

    text: str
    segments: tuple[Segment, ...]   # after the leading slash; a last empty one is a trailing slash

    @property
    def shape(self) -> str:
        """The template without the names: two with the same shape take the same paths."""
        return "/" + "/".join("{}".join(s.literals) for s in self.segments)

    @property
    def concrete(self) -> bool:
        return all(s.concrete for s in self.segments)

    def names(self) -> list[str]:
        return [name for s in self.segments for name in s.names]


@lru_cache(4096)
def _segment(part: str) -> Segment:
    pieces = EXPRESSION.split(part)
    literals, names = pieces[::2], pieces[1::2]
    if any("{" in x or "}" in x for x in literals) or "" in names:
        raise PathError(f"the braces of {part!r} don't hold a name")
    if any(x == "" for x in literals[1:-1]):
        raise PathError(f"in {part!r} two expressions touch: nothing tells where one ends")
    if part in (".", ".."):
        raise PathError("it holds a dot segment, which no request can ask for")
    return Segment(tuple(normal_literal(x) for x in literals), tuple(names))


def parse_template(text: str) -> Template:
    """A template from its text; raises PathError."""
    if not text.startswith("/"):
        raise PathError("a path begins with a slash")
    if "?" in text or "#" in text:
        raise PathError("a path holds neither a query nor a fragment: describe query parameters as such")
    parts = text[1:].split("/")
    if len(parts) > MOST_SEGMENTS:
        raise PathError(f"it has more than {MOST_SEGMENTS} segments")
    segments = []
    for i, part in enumerate(parts):
        if not part and i < len(parts) - 1:
            raise PathError("it holds an empty segment")
        segments.append(_segment(part))
    template = Template(text, tuple(segments))
    if len(set(names := template.names())) != len(names):
        raise PathError("it names one parameter twice")
    return template


def overlap(a: Segment, b: Segment) -> bool:
    """Whether some segment of a request matches both, each expression standing for one byte or more."""
    one, two = (_tokens(s) for s in (a, b))

    @lru_cache(None)
    def meet(i: int, j: int) -> bool:
        if i == len(one) or j == len(two):
            return i == len(one) and j == len(two)
        x, y = one[i], two[j]
        if x is not None and y is not None:
            return x == y and meet(i + 1, j + 1)
        # An expression takes one byte at least, then ends or goes on.
        ways = [(i + 1, j + 1)]
        ways += [(i, j + 1)] if x is None else []
        ways += [(i + 1, j)] if y is None else []
        return any(meet(*way) for way in ways)

    return meet(0, 0)


def _tokens(segment: Segment) -> list[str | None]:
    out: list[str | None] = list(segment.literals[0])
    for literal in segment.literals[1:]:
        out += [None, *literal]
    return out
