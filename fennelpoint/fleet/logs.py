"""Structured log of the fleet's events: one JSON object per line on standard error."""

from __future__ import annotations

import sys

import structlog


def configure() -> None:
    """Configures structlog for this process."""
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso"),
                    structlog.processors.JSONRenderer()],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr))
