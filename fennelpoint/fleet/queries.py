"""What people and tools ask of a fleet: calls to its keepers, and the answers as lines.

Each call goes to any keeper that answers; a change is made once, by its id, whichever keepers were asked.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from fennelpoint.fleet import audit, state
from fennelpoint.fleet.rpc import CallFailed, Refusal, call_once

WAIT = 8.0          # s for a keeper's answer to a person
AGAIN = 3           # rounds over all keepers, for a change


@dataclass(frozen=True, slots=True)
class View:
    """The fleet as the keepers that answer see it."""

    fleet: state.Fleet | None
    revision: int
    words: tuple[dict, ...]     # of each process, the newest
    keepers: dict[str, dict]    # by name: its status, or {"error": why it has none}
    held: str

    @property
    def now(self) -> float:
        return max((k["clock"] for k in self.keepers.values() if "clock" in k), default=0.0)


class Fleet:
    """Keepers by name and address."""

    def __init__(self, keepers: Mapping[str, tuple[str, int]], wait: float = WAIT) -> None:
        self.keepers, self.wait = dict(keepers), wait

    async def change(self, do: str, **fields: object) -> dict:
        """The answer of the first keeper that makes it, or finds it made; raises CallFailed with the reason."""
        change_id, why = secrets.token_hex(8), "no keeper is named"
        for turn in range(AGAIN):
            for name, address in self.keepers.items():
                try:
                    return await call_once(address, do, self.wait, change=change_id, **fields)
                except Refusal as error:
                    raise Refusal(f"keeper {name}: {error}") from None
                except CallFailed as error:
                    why = f"keeper {name}: {error}"
            await asyncio.sleep(0.2 * (turn + 1))
        raise CallFailed(why)

    async def view(self) -> View:
        answers = await asyncio.gather(*(call_once(a, "status", self.wait) for a in self.keepers.values()),
                                       return_exceptions=True)
        keepers = {name: {"error": str(answer)} if isinstance(answer, BaseException) else answer
                   for name, answer in zip(self.keepers, answers, strict=True)}
        best = max((k for k in keepers.values() if "fleet" in k), key=lambda k: k["revision"], default=None)
        words: dict[tuple[str, str], dict] = {}
        for keeper in keepers.values():
            for word in keeper.get("words", ()):
                old = words.get((word["name"], word["life"]))
                if old is None or word["age"] < old["age"]:
                    words[word["name"], word["life"]] = word
        return View(state.parse(best["fleet"]) if best is not None else None,
                    best["revision"] if best is not None else 0, tuple(words.values()), keepers,
                    best["held"] if best is not None else "")

    async def spans(self, ingress: str | None = None) -> list[audit.Span]:
        """What all keepers that answer have on record; raises CallFailed where none does."""
        return (await self.record(ingress))[0]

    async def record(self, ingress: str | None = None) -> tuple[list[audit.Span], list[audit.Rolled]]:
        """The same, and what is rolled up."""
        answers = await asyncio.gather(*(call_once(a, "spans", self.wait, ingress=ingress)
                                         for a in self.keepers.values()), return_exceptions=True)
        good = [a for a in answers if not isinstance(a, BaseException)]
        if not good:
            raise CallFailed(f"no keeper answers: {answers[0] if answers else 'none is named'}")
        rolled: dict[tuple[str, int], audit.Rolled] = {}
        for answer in good:
            for row in answer.get("rolled", ()):
                one = audit.Rolled(**{**row, "first": tuple(row["first"]), "last": tuple(row["last"])})
                old = rolled.get((one.ingress, one.version), one)
                rolled[one.ingress, one.version] = audit.Rolled(
                    one.ingress, one.version, min(old.first, one.first), max(old.last, one.last),
                    max(old.spans, one.spans))
        return (audit.newest(audit.span_of(value) for answer in good for value in answer["spans"]),
                list(rolled.values()))


# Lines

OK, BEHIND, OUT, UNKNOWN = "ok", "behind", "out", "unknown"


def rank(word: Mapping, fleet: state.Fleet) -> str:
    """How an ingress stands, by what it last said."""
    if word["age"] > 2 * fleet.bounds.licence_s:
        return UNKNOWN
    if word["phase"] == "shut out" or word["acting"] < 0:
        return OUT
    return OK if word["acting"] == fleet.target.number else BEHIND


def status_lines(view: View) -> list[str]:
    """A line a keeper, one of the version, a line an ingress; stragglers first."""
    out = []
    for name, keeper in view.keepers.items():
        if "error" in keeper:
            out.append(f"keeper {name}: no answer: {keeper['error']}")
        else:
            age = f", record read {keeper['age']:.1f} s ago" if "age" in keeper else ""
            out.append(f"keeper {name}: {'votes' if keeper['votes'] else 'has no vote'}, life {keeper['life']}{age}"
                       + (f": {keeper['trouble']}" if keeper["trouble"] else ""))
            out += [f"keeper {name}: {text}" for text in keeper["taken"].values()]
    if (fleet := view.fleet) is None:
        return [*out, "there is no record yet"]
    version, coming = fleet.version, fleet.coming
    out.append(f"record {fleet.record}, revision {view.revision}: version {version.number} in force"
               + (f" ({version.kind}, {version.who}: {version.why})" if version.number else ""))
    if coming is not None:
        out.append(f"version {coming.number} is {coming.state} ({coming.kind}, {coming.who}: {coming.why})"
                   + (f"; held: {view.held}" if view.held else ""))
    rows = []
    for word in view.words:
        if word["name"] in fleet.members:
            rows.append((rank(word, fleet), word))
    said = {word["name"] for _, word in rows}
    order = {OUT: 0, BEHIND: 1, UNKNOWN: 2, OK: 3}
    for name in sorted(set(fleet.members) - said):
        out.append(f"{name:<12} unknown   said nothing to a keeper that answers")
    for stand, word in sorted(rows, key=lambda row: (order[row[0]], row[1]["name"], row[1]["life"])):
        acting = f"version {word['acting']}" if word["acting"] >= 0 else "no version"
        fault = f"; {word['fault']}" if word["fault"] else ""
        out.append(f"{word['name']:<12} {stand:<9} {acting} for {word.get('since', 0.0):.0f} s, {word['phase']}, "
                   f"zone {word['zone']}, heard {word['age']:.1f} s ago{fault}")
    return out


def status_value(view: View) -> dict:
    """The same for programs."""
    fleet = view.fleet
    return {"revision": view.revision, "fleet": fleet.to_dict() if fleet else None, "held": view.held,
            "keepers": view.keepers, "ingresses": [
                {**word, "stand": rank(word, fleet)} for word in view.words] if fleet else []}


def worst(view: View) -> str:
    """How the fleet stands: that of the worst of its members."""
    if view.fleet is None:
        return UNKNOWN
    stands = [rank(word, view.fleet) for word in view.words if word["name"] in view.fleet.members]
    stands += [UNKNOWN] * len(set(view.fleet.members) - {word["name"] for word in view.words})
    return next((stand for stand in (OUT, BEHIND, UNKNOWN) if stand in stands), OK)


def explain_lines(view: View, name: str, told: Mapping | None) -> list[str]:
    """Why an ingress is behind or out, and what will happen when; `told` is its own word, none: no answer."""
    if (fleet := view.fleet) is None:
        return ["no keeper that answers has read the record"]
    if name not in fleet.members:
        return [f"{name} is no member: {', '.join(sorted(fleet.members)) or 'there is none'}"]
    life_s, out = fleet.bounds.licence_s, []
    mine = [word for word in view.words if word["name"] == name]
    for word in mine:
        stand = rank(word, fleet)
        out.append(f"{name} is {stand}: it said {word['age']:.1f} s ago that it acts on "
                   + (f"version {word['acting']}" if word["acting"] >= 0 else "nothing"))
        if word["fault"]:
            out.append(f"it can't go over to the version that is coming: {word['fault']}")
    if not mine:
        out.append(f"{name} said nothing to a keeper that answers")
    if told is None:
        out.append("it does not answer us itself")
    else:
        if told["open"]:
            left = max(told["left"], told["static_left"])
            out.append(f"it may send for {left:.1f} s more without another answer, by {told['source']}")
        else:
            out.append(f"it sends nothing: {told['reason']}")
        for key in ("trouble", "refused", "foreign"):
            if told[key]:
                out.append(str(told[key]))
    coming = fleet.coming
    if coming is not None and coming.state == state.OFFERED:
        out.append(f"version {coming.number} is offered: it closes once all have it, or after "
                   f"{fleet.bounds.settle_s:g} s without those that may be out, and is halted after "
                   f"{2 * fleet.bounds.settle_s:g} s where they may not")
    elif coming is not None:
        out.append(f"version {coming.number} closes: whoever has not gone over is shut out {life_s:g} s after "
                   "its last licence, unless so many are cut off that they may not be out at once")
    out.append(f"without a licence it is shut out; it is back with the first answer of a keeper, or of a peer "
               f"that has one; a licence lives for {life_s:g} s")
    return out


def answer_lines(answers: Sequence[audit.Answer]) -> list[str]:
    out = []
    for answer in answers:
        acted = [f"version {v}" if v >= 0 else "nothing (shut out)" for v in answer.versions]
        text = " or ".join(acted) or "not known"
        out.append(f"{answer.ingress:<12} {text}" + (f"; unknown: {answer.unknown}" if answer.unknown else ""))
    return out


def span_lines(spans: Sequence[audit.Span], clock) -> list[str]:
    """A line a span; `clock` makes a time of a Unix time."""
    out = []
    for span in spans:
        until = f"to {clock(span.end[1])}" if span.end is not None else f"at least to {clock(span.mark[0])}"
        acted = f"version {span.version}" if span.version >= 0 else "shut out"
        out.append(f"{span.ingress:<12} {span.life} {acted:<11} from {clock(span.begin[0])} {until}: {span.why}")
    return out
