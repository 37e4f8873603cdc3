"""The one table of calls: what backends, operators and clients may ask of us, on which door.

A path's `{}` is one segment, handed to whoever carries the call out.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import unquote


@dataclass(frozen=True, slots=True)
class Call:
    """`door` is the served address; `most` the largest body in bytes."""

    name: str
    method: str
    path: str
    door: str
    most: int = 64 * 1024


TABLE = (
    Call("ready", "GET", "/api/readiness", "readiness"),
    Call("resolve", "GET", "/api/resolve", "directory_service"),
    Call("beat", "PUT", "/api/instances/{}", "control_plane"),
    Call("leave", "DELETE", "/api/instances/{}", "control_plane"),
    Call("put", "PUT", "/api/configuration", "control_plane", 16 * 1024 * 1024),
    Call("patch", "PATCH", "/api/configuration", "control_plane", 16 * 1024 * 1024),
    Call("get", "GET", "/api/configuration", "control_plane"),
    Call("evacuate", "POST", "/api/evacuation/{}", "control_plane"),
    Call("restore", "DELETE", "/api/evacuation/{}", "control_plane"),
    Call("status", "GET", "/api/status", "control_plane"),
    Call("parts", "GET", "/api/parts", "control_plane"),
    Call("snapshot", "GET", "/api/snapshot", "control_plane"),
    Call("revive", "PUT", "/api/snapshot", "control_plane", 16 * 1024 * 1024),
)
_PATTERNS = [(call, re.compile(re.escape(call.path).replace(r"\{\}", "([^/]+)"))) for call in TABLE]


def find(door: str, method: str, path: str) -> tuple[Call | None, str, bool]:
    """The call, its segment, and whether the path is known by another method."""
    known = False
    for call, pattern in _PATTERNS:
        if call.door == door and (match := pattern.fullmatch(path)) is not None:
            if call.method == method:
                return call, unquote(match[1]) if match.groups() else "", True
            known = True
    return None, "", known
