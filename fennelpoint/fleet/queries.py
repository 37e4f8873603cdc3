"""Client of the fleet's coordinators for operators and tools, and the answers formatted as lines of text.

Configuration files and messages call a coordinator a keeper.  Any coordinator can serve a call; a change carries
an id, so that it is made once even if it is sent to several coordinators.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from fennelpoint.fleet import audit, state
from fennelpoint.fleet.rpc import CallFailed, CallRefused, call_once

COORDINATOR_TIMEOUT_S = 8.0     # for an answer to an operator's command
CHANGE_ATTEMPTS = 3             # rounds over all coordinators


@dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet as seen by the coordinators that answered."""

    fleet: state.Fleet | None
    revision: int
    reports: tuple[dict, ...]       # the latest report of each process
    coordinators: dict[str, dict]   # by name: its status, or {"error": why there is none}
    hold_reason: str                # why the coming version does not proceed; empty if nothing holds it

    @property
    def now(self) -> float:
        return max((status["clock"] for status in self.coordinators.values() if "clock" in status), default=0.0)


class FleetClient:
    """Calls the coordinators, given by name and address."""

    def __init__(self, coordinators: Mapping[str, tuple[str, int]],
                 timeout_s: float = COORDINATOR_TIMEOUT_S) -> None:
        self.coordinators, self.timeout_s = dict(coordinators), timeout_s

    async def change(self, command: str, **fields: object) -> dict:
        """Make a change once and return the answer of the first coordinator that has it.

        Raises CallRefused if a coordinator refuses it, else CallFailed with the reason of the last failure.
        """
        change_id, why = secrets.token_hex(8), "no keeper is configured"
        for attempt in range(CHANGE_ATTEMPTS):
            for name, address in self.coordinators.items():
                try:
                    return await call_once(address, command, self.timeout_s, change=change_id, **fields)
                except CallRefused as error:
                    raise CallRefused(f"keeper {name}: {error}") from None
                except CallFailed as error:
                    why = f"keeper {name}: {error}"
            await asyncio.sleep(0.2 * (attempt + 1))
        raise CallFailed(why)

    async def view(self) -> FleetView:
        """The status of all coordinators, with the newest record and process reports among them."""
        answers = await asyncio.gather(*(call_once(a, "status", self.timeout_s) for a in self.coordinators.values()),
                                       return_exceptions=True)
        coordinators = {name: {"error": str(answer)} if isinstance(answer, BaseException) else answer
                        for name, answer in zip(self.coordinators, answers, strict=True)}
        latest = max((status for status in coordinators.values() if "fleet" in status),
                     key=lambda status: status["revision"], default=None)
        reports: dict[tuple[str, str], dict] = {}
        for status in coordinators.values():
            for report in status.get("words", ()):
                old = reports.get((report["name"], report["life"]))
                if old is None or report["age"] < old["age"]:
                    reports[report["name"], report["life"]] = report
        return FleetView(state.parse(latest["fleet"]) if latest is not None else None,
                         latest["revision"] if latest is not None else 0, tuple(reports.values()), coordinators,
                         latest["held"] if latest is not None else "")

    async def spans(self, ingress: str | None = None) -> list[audit.Span]:
        """The audit spans of all coordinators that answer; raises CallFailed if none does."""
        return (await self.spans_and_summaries(ingress))[0]

    async def spans_and_summaries(
            self, ingress: str | None = None) -> tuple[list[audit.Span], list[audit.SpanSummary]]:
        """The audit spans and the summaries of discarded spans; raises CallFailed if no coordinator answers."""
        results = await asyncio.gather(*(call_once(a, "spans", self.timeout_s, ingress=ingress)
                                         for a in self.coordinators.values()), return_exceptions=True)
        answers = [result for result in results if not isinstance(result, BaseException)]
        if not answers:
            raise CallFailed(f"no keeper answers: {results[0] if results else 'none is configured'}")
        summaries: dict[tuple[str, int], audit.SpanSummary] = {}
        for answer in answers:
            for row in answer.get("rolled", ()):
                new = audit.SpanSummary(**{**row, "first": tuple(row["first"]), "last": tuple(row["last"])})
                old = summaries.get((new.ingress, new.version), new)
                summaries[new.ingress, new.version] = audit.SpanSummary(
                    new.ingress, new.version, min(old.first, new.first), max(old.last, new.last),
                    max(old.spans, new.spans))
        return (audit.latest_spans(audit.parse_span(value) for answer in answers for value in answer["spans"]),
                list(summaries.values()))


# Formatting

OK, BEHIND, OUT, UNKNOWN = "ok", "behind", "out", "unknown"


def process_status(report: Mapping, fleet: state.Fleet) -> str:
    """The status of an ingress process by its last report: OK, BEHIND, OUT or UNKNOWN."""
    if report["age"] > 2 * fleet.bounds.licence_s:
        return UNKNOWN
    if report["phase"] == "shut out" or report["acting"] < 0:
        return OUT
    return OK if report["acting"] == fleet.target.number else BEHIND


def status_lines(view: FleetView) -> list[str]:
    """A line for each coordinator, for the version and for each ingress process; the worst status first."""
    lines = []
    for name, answer in view.coordinators.items():
        if "error" in answer:
            lines.append(f"keeper {name}: no answer: {answer['error']}")
        else:
            age = f", record read {answer['age']:.1f} s ago" if "age" in answer else ""
            lines.append(f"keeper {name}: {'votes' if answer['votes'] else 'has no vote'}, life {answer['life']}{age}"
                         + (f": {answer['trouble']}" if answer["trouble"] else ""))
            lines += [f"keeper {name}: {text}" for text in answer["taken"].values()]
    if (fleet := view.fleet) is None:
        return [*lines, "there is no record yet"]
    version, coming = fleet.version, fleet.coming
    lines.append(f"record {fleet.record}, revision {view.revision}: version {version.number} in force"
                 + (f" ({version.kind}, {version.who}: {version.why})" if version.number else ""))
    if coming is not None:
        lines.append(f"version {coming.number} is {coming.state} ({coming.kind}, {coming.who}: {coming.why})"
                     + (f"; held: {view.hold_reason}" if view.hold_reason else ""))
    rows = []
    for report in view.reports:
        if report["name"] in fleet.members:
            rows.append((process_status(report, fleet), report))
    reporting = {report["name"] for _, report in rows}
    order = {OUT: 0, BEHIND: 1, UNKNOWN: 2, OK: 3}
    for name in sorted(set(fleet.members) - reporting):
        lines.append(f"{name:<12} unknown   no report at any keeper that answers")
    for status, report in sorted(rows, key=lambda row: (order[row[0]], row[1]["name"], row[1]["life"])):
        acting = f"version {report['acting']}" if report["acting"] >= 0 else "no version"
        fault = f"; {report['fault']}" if report["fault"] else ""
        lines.append(f"{report['name']:<12} {status:<9} {acting} for {report.get('since', 0.0):.0f} s, "
                     f"{report['phase']}, zone {report['zone']}, heard {report['age']:.1f} s ago{fault}")
    return lines


def status_value(view: FleetView) -> dict:
    """The same information as `status_lines`, as a JSON value."""
    fleet = view.fleet
    return {"revision": view.revision, "fleet": fleet.to_dict() if fleet else None, "held": view.hold_reason,
            "keepers": view.coordinators, "ingresses": [
                {**report, "stand": process_status(report, fleet)} for report in view.reports] if fleet else []}


def worst_status(view: FleetView) -> str:
    """The worst status of any member; OUT is the worst, then BEHIND and UNKNOWN."""
    if view.fleet is None:
        return UNKNOWN
    statuses = [process_status(report, view.fleet) for report in view.reports
                if report["name"] in view.fleet.members]
    statuses += [UNKNOWN] * len(set(view.fleet.members) - {report["name"] for report in view.reports})
    return next((status for status in (OUT, BEHIND, UNKNOWN) if status in statuses), OK)


def explain_lines(view: FleetView, name: str, own_status: Mapping | None) -> list[str]:
    """Why an ingress is behind or out, and what happens next.

    `own_status` is what the ingress itself answers; None if it does not answer.
    """
    if (fleet := view.fleet) is None:
        return ["no keeper that answers has read the record"]
    if name not in fleet.members:
        return [f"{name} is not a member; members: {', '.join(sorted(fleet.members)) or 'none'}"]
    lease_s, lines = fleet.bounds.licence_s, []
    reports = [report for report in view.reports if report["name"] == name]
    for report in reports:
        status = process_status(report, fleet)
        lines.append(f"{name} is {status}: it reported {report['age']:.1f} s ago that it acts on "
                     + (f"version {report['acting']}" if report["acting"] >= 0 else "no version"))
        if report["fault"]:
            lines.append(f"it can't switch to the coming version: {report['fault']}")
    if not reports:
        lines.append(f"{name} has sent no report to a keeper that answers")
    if own_status is None:
        lines.append("the ingress itself does not answer")
    else:
        if own_status["open"]:
            remaining_s = max(own_status["left"], own_status["static_left"])
            lines.append(f"it may send for another {remaining_s:.1f} s without renewal, by {own_status['source']}")
        else:
            lines.append(f"it sends nothing: {own_status['reason']}")
        for key in ("trouble", "refused", "foreign"):
            if own_status[key]:
                lines.append(str(own_status[key]))
    coming = fleet.coming
    if coming is not None and coming.state == state.OFFERED:
        lines.append(f"version {coming.number} is offered: it closes once all have it, or after "
                     f"{fleet.bounds.settle_s:g} s without those that may be shut out; it is halted after "
                     f"{2 * fleet.bounds.settle_s:g} s if they may not be shut out")
    elif coming is not None:
        lines.append(f"version {coming.number} is closing: an ingress that has not switched to it is shut out "
                     f"{lease_s:g} s after its last lease, unless so many are cut off that they may not all be "
                     "out at once")
    lines.append(f"without a lease it is shut out; the first answer of a keeper, or of a peer that holds a lease, "
                 f"admits it again; a lease lasts {lease_s:g} s")
    return lines


def answer_lines(answers: Sequence[audit.Answer]) -> list[str]:
    """One line for each ingress: the versions it may have acted on."""
    lines = []
    for answer in answers:
        versions = [f"version {version}" if version >= 0 else "nothing (shut out)" for version in answer.versions]
        text = " or ".join(versions) or "not known"
        lines.append(f"{answer.ingress:<12} {text}" + (f"; unknown: {answer.unknown}" if answer.unknown else ""))
    return lines


def span_lines(spans: Sequence[audit.Span], format_time) -> list[str]:
    """One line for each span; `format_time` turns a Unix time into text."""
    lines = []
    for span in spans:
        until = (f"to {format_time(span.end[1])}" if span.end is not None
                 else f"at least to {format_time(span.mark[0])}")
        acted = f"version {span.version}" if span.version >= 0 else "shut out"
        lines.append(f"{span.ingress:<12} {span.life} {acted:<11} from {format_time(span.begin[0])} {until}: "
                     f"{span.why}")
    return lines
