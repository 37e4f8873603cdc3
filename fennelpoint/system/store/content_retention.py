"""Which contents a core machine's disk must not lose; the others go by age, bounded in number and bytes.

A content is named by its digest in an agreed value, or is on its way there: its proposer spreads it first, and a
round that ends elsewhere may make it the newest before we hear of that.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fennelpoint.system.store import idempotency

EACH = 4            # contents of one proposer: it tells of what was agreed before it spreads the next
SPREAD = 30.0       # s that one counts as on its way
FORMER = 10.0       # s after which nobody asks for what was the newest before


def needed(values: Iterable[Mapping], under_way: Iterable[str], lately: Iterable[tuple[str, float]],
           former: Iterable[tuple[str, float]], now: float) -> set[str]:
    """Digests that stay: named by values that are or may be agreed, of changes under way here, spread to us `lately`
    for rounds elsewhere, and of values that were the newest until a moment ago."""
    return {*(digest for value in values if value for digest in idempotency.needed(value)),
            *(digest for digest in under_way if digest),
            *(digest for digest, at in lately if now - at < SPREAD),
            *(digest for digest, at in former if now - at < FORMER)}


@dataclass(slots=True)
class Lately:
    """What was spread to us, and what was the newest before."""

    spread: dict[str, deque[tuple[str, float]]] = field(default_factory=dict)   # by proposer
    former: deque[tuple[str, float]] = field(default_factory=lambda: deque(maxlen=EACH))

    def stored(self, by: str, digest: str, now: float) -> None:
        """A proposer had us store it."""
        of = self.spread.setdefault(by, deque(maxlen=EACH))
        for old in [one for one in of if one[0] == digest]:
            of.remove(old)
        of.append((digest, now))

    def followed(self, value: Mapping, now: float) -> None:
        """This was the newest value until now."""
        self.former.append((value["digest"], now))

    def needed(self, values: Iterable[Mapping], under_way: Iterable[str], now: float) -> set[str]:
        return needed(values, under_way, [one for of in self.spread.values() for one in of], self.former, now)
