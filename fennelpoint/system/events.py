"""Numbered log events; `docs/system-events.md` is generated from this table."""

from __future__ import annotations

import sys
from enum import Enum

from logbook import Logger, StreamHandler

_log = Logger("larchwing")


class Event(Enum):
    """Number, level, text with named fields, and an explanation for the operator on call."""

    START = (100, "info", "{role} starts on {node}", "A process has started.")
    READY = (101, "info", "{node} is ready", "A proxy has a lease, a backend list and a configuration.")
    STOP = (102, "info", "{node} stops", "The process received SIGTERM and shuts down gracefully.")
    BAD_SETTINGS = (110, "error", "{reason}", "The settings file is invalid; a process that starts with it exits, a "
                    "running one keeps its settings.")
    CRASHED = (111, "error", "{where}: {reason}", "A defect: a message or request was dropped, the process runs on.")
    FOUNDED = (200, "notice", "the core is founded by {voters}", "First start of the whole system.")
    REJOINING = (201, "notice", "{node} has no vote and rejoins through {peers}", "Its disk is empty: it votes only "
                 "after a majority of the others has answered.")
    REJOINED = (202, "notice", "{node} votes again, incarnation {life}", "The core is complete again.")
    VOTERS = (203, "notice", "voters are {voters}", "Membership of the core changed.")
    SET_ASIDE = (204, "error", "{path} is set aside: {reason}", "A damaged file, or one of another machine; a rejoin "
                 "follows.")
    DISK = (205, "error", "{step} failed: {reason}", "The disk refuses writes: this machine stops voting.")
    DISK_WELL = (206, "notice", "disk of {node} accepts writes again", "All pending state was written; the machine "
                 "votes again.")
    DECIDED = (210, "info", "version {version} is agreed, revision {rev}", "A change is acknowledged.")
    REFUSED = (211, "info", "a change is refused: {reason}", "The operator gets a 4xx response.")
    EVACUATED = (212, "notice", "evacuated zones: {zones}", "No requests are sent to these zones.")
    LEADS = (300, "info", "{node} allocates quota shares, term {term}", "It holds the allocation lease, granted by a "
             "majority.")
    YIELDS = (301, "info", "{node} stops allocating quota shares: {reason}", "The allocation lease ended.")
    CUT_OFF = (302, "warning", "{node} has lost contact with a majority", "Messages do not arrive in one direction "
               "or both: it acknowledges no heartbeats, and its backends report to other machines.")
    IN_TOUCH = (303, "notice", "{node} has contact with a majority", "It acknowledges heartbeats.")
    DISMISSED = (304, "info", "proxies {fronts} hold no quota shares any more", "They were silent for long; a proxy "
                 "that sends requests again is enrolled anew.")
    DRAINS = (310, "info", "{id} drains, requested by {by}", "Proxies stop sending to it.")
    GONE = (311, "info", "{id} is gone", "A backend left gracefully.")
    LOST = (312, "warning", "no heartbeats from {ids}", "Backends from which no core machine has received several "
            "heartbeats in a row.")
    FOUND = (313, "info", "heartbeats from {ids} again", "Proxies send to these backends again.")
    BEYOND_REGION = (314, "warning", "the directory of {node} named proxies beyond {region}: {answers} answers in "
                     "{span} s, the last with {ready} ready, {silent} silent and {unready} not ready of the region, "
                     "the registry {age} s old", "Clients were sent to other regions, as their own had no proxies.")
    LAPSED = (400, "warning", "{node} holds no lease: {reason}", "It forwards nothing until a core machine answers.")
    APPLIED = (401, "info", "{node} applies version {version}", "Requests follow this version from now on.")
    CUTS = (402, "notice", "{node} cuts {cut}: {failing} over its target latency, confidence {confidence}",
            "Admission control reduces the rate of these tenants, first of those over their quota that meet their "
            "target latency, until the tenants within their quota meet theirs.")
    RESTORES = (403, "info", "{node} cuts no tenant any more", "All tenants within their quota meet their target "
                "latency.")
    CLIENTS_LEFT = (404, "info", "{node}: {clients} clients left with attempts out; {ended} attempts were ended, "
                    "{running} run on", "Work for them is cancelled where that is allowed; requests that must not "
                    "run twice run to their end.")
    UNUSABLE = (405, "error", "{node} cannot use version {version}: {reason}", "A version that was agreed cannot be "
                "compiled: the proxy holds no lease until a newer one arrives.")
    VIOLATED = (500, "error", "{node}: {invariant} is violated, {count} so far: {detail}", "A defect of this "
                "program: an invariant did not hold. Service continues; report it with the log.")


def log_event(event: Event, **fields: object) -> None:
    """Logs one line: number, name and text of the event."""
    number, level, text, _ = event.value
    getattr(_log, level)("{} {} {}", number, event.name, text.format(**fields))


def log_to_stderr(level: str = "INFO") -> None:
    """Sends the log of the whole process to standard error, each line with its level."""
    StreamHandler(sys.stderr, level=level, format_string="{record.level_name} {record.message}").push_application()
