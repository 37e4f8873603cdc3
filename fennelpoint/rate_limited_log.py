"""Log lines about what other machines send, so many a time at most: nonsense must not fill the log."""

from __future__ import annotations

import logging
import time

EVERY = 5.0  # s between two lines of one kind
_last: dict[str, float] = {}
log = logging.getLogger("fennelpoint")


def complain(kind: str, text: str, *args: object) -> None:
    """Log a line unless one of its kind came just now; `kind` is one of a fixed few."""
    now = time.monotonic()
    if now - _last.get(kind, -EVERY) >= EVERY:
        _last[kind] = now
        log.warning(f"{kind}: {text}", *args)
