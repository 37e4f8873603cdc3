"""The table of HTTP API calls for backends, operators and clients, with the listener that serves each of them.

A `{}` in a path is one path segment, which is passed to the handler of the call.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import unquote


@dataclass(frozen=True, slots=True)
class Call:
    """One API call; `listener` is the name of the listen address in the settings that serves it."""

    name: str
    method: str
    path: str
    listener: str
    max_body_bytes: int = 64 * 1024


CALLS = (
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
_PATTERNS = [(call, re.compile(re.escape(call.path).replace(r"\{\}", "([^/]+)"))) for call in CALLS]


def find_call(listener: str, method: str, path: str) -> tuple[Call | None, str, bool]:
    """Returns the call, its decoded path segment, and whether the path exists, if only with another method."""
    path_exists = False
    for call, pattern in _PATTERNS:
        if call.listener == listener and (match := pattern.fullmatch(path)) is not None:
            if call.method == method:
                return call, unquote(match[1]) if match.groups() else "", True
            path_exists = True
    return None, "", path_exists
