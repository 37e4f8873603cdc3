"""Structured lines of the fleet's events: JSON on standard error, one an event."""

from __future__ import annotations

import sys

import structlog


def configure() -> None:
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso"),
                    structlog.processors.JSONRenderer()],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr))
