"""Rate-limited warnings about what other machines send, so that malformed input cannot fill the log."""

from __future__ import annotations

import logging
import time

MIN_INTERVAL_S = 5.0    # between two lines of one kind
_logged_at: dict[str, float] = {}
log = logging.getLogger("fennelpoint")


def warn_limited(kind: str, text: str, *args: object) -> None:
    """Log a warning unless one of its kind was logged just now; `kind` is one of a fixed few."""
    now = time.monotonic()
    if now - _logged_at.get(kind, -MIN_INTERVAL_S) >= MIN_INTERVAL_S:
        _logged_at[kind] = now
        log.warning(f"{kind}: {text}", *args)
