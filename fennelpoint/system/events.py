"""Numbered log events; `docs/system-events.md` is made from this table."""

from __future__ import annotations

import sys
from enum import Enum

from logbook import Logger, StreamHandler

_log = Logger("larchwing")


class Event(Enum):
    """Number, level, text with named fields, and what it means to whoever is on call."""

    START = (100, "info", "{role} starts on {node}", "A process is up.")
    READY = (101, "info", "{node} is ready", "A front holds a lease, a list and a configuration.")
    STOP = (102, "info", "{node} stops", "SIGTERM came; it leaves in order.")
    BAD_SETTINGS = (110, "error", "{reason}", "The settings file can't be used; the process ends.")
    CRASHED = (111, "error", "{where}: {reason}", "A defect: a message or request was dropped, the process lives.")
    FOUNDED = (200, "notice", "the core is founded by {voters}", "First start of the whole system.")
    REJOINING = (201, "notice", "{node} has no vote and asks {peers}", "Its disk is empty: it votes only once it "
                 "has heard a majority of the others.")
    REJOINED = (202, "notice", "{node} votes again, life {life}", "The core is whole again.")
    VOTERS = (203, "notice", "voters are {voters}", "Membership of the core changed.")
    SET_ASIDE = (204, "error", "{path} is not believed: {reason}", "A torn or foreign file; a rejoin follows.")
    DISK = (205, "error", "{step} failed: {reason}", "The disk refuses writes: this machine stops voting.")
    DISK_WELL = (206, "notice", "{node} has a disk again", "All that it should hold was written; it votes.")
    DECIDED = (210, "info", "version {version} is agreed, revision {rev}", "A change is acknowledged.")
    REFUSED = (211, "info", "a change is refused: {reason}", "Told to the operator with a 4xx.")
    EVACUATED = (212, "notice", "evacuated zones: {zones}", "Nothing more is sent to them.")
    LEADS = (300, "info", "{node} reckons parts, term {term}", "The duty is held by a lease that a majority gave.")
    YIELDS = (301, "info", "{node} reckons parts no more: {reason}", "The duty's lease ended.")
    CUT_OFF = (302, "warning", "{node} is out of touch with a majority", "Its words or theirs don't come through: it "
               "acknowledges no beats, and its backends go on elsewhere.")
    IN_TOUCH = (303, "notice", "{node} is in touch with a majority", "It acknowledges beats.")
    DISMISSED = (304, "info", "fronts {fronts} hold no parts any more", "They were silent for long; one that asks "
                 "again is enrolled anew.")
    DRAINS = (310, "info", "{id} drains, told by {by}", "Fronts stop sending to it.")
    GONE = (311, "info", "{id} is gone", "A backend left in order.")
    LOST = (312, "warning", "{ids} say nothing any more", "Backends that no core machine has heard for some beats.")
    FOUND = (313, "info", "{ids} speak again", "They are sent to again.")
    BEYOND_REGION = (314, "warning", "the directory of {node} named proxies beyond {region}: {answers} answers in "
                     "{span} s, the last with {ready} ready, {silent} silent and {unready} not ready of the region, "
                     "the registry {age} s old", "Clients were led to other regions, for want of proxies in theirs.")
    LAPSED = (400, "warning", "{node} holds no lease: {reason}", "Nothing is sent on until a core machine answers.")
    APPLIED = (401, "info", "{node} goes by version {version}", "From now on requests go by it.")
    CUTS = (402, "notice", "{node} cuts {cut}: {failing} over its aim, confidence {confidence}",
            "Admission takes rate off these, lucky ones first, until those within their quota meet their aims.")
    RESTORES = (403, "info", "{node} cuts nobody any more", "No tenant within its quota misses its aim.")
    CLIENTS_LEFT = (404, "info", "{node}: {clients} clients left with attempts out; {ended} attempts were ended, "
                    "{running} run on", "Work for them is ended where it may be; what may run once only runs on.")
    VIOLATED = (500, "error", "{node}: {invariant} is violated, {count} so far: {detail}", "A defect of this "
                "program: what must always hold did not. Service goes on; report it with the log.")


def say(event: Event, **fields: object) -> None:
    """One line: number, name, text."""
    number, level, text, _ = event.value
    getattr(_log, level)("{} {} {}", number, event.name, text.format(**fields))


def to_stderr(level: str = "INFO") -> None:
    """Lines with level and number on standard error, for the whole process."""
    StreamHandler(sys.stderr, level=level, format_string="{record.level_name} {record.message}").push_application()
