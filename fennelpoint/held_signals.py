"""Holds SIGHUP back from a program's first moments until it can be followed; imports next to nothing.

By default SIGHUP ends a process.  While it is blocked the kernel keeps it, and delivers it once it is let through.
"""

from __future__ import annotations

import signal

RELOAD_SIGNALS = (signal.SIGHUP,)


def hold() -> None:
    """Block the signals of a reload; to be called before a program's other imports, which take most of its start."""
    signal.pthread_sigmask(signal.SIG_BLOCK, RELOAD_SIGNALS)


def release() -> None:
    """Let the signals through, also those that came meanwhile; to be called once their handlers are set."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, RELOAD_SIGNALS)
