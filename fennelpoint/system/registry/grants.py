"""A grant: the parts of what is scarce that one front may use for the time of a lease."""

from __future__ import annotations

from dataclasses import dataclass, field

GRANT_LIFE = 4.2  # s of a grant at the front, from the sending of its ask
DRAW_LIFE = 0.5  # s that units of the pool are good at the front, from the sending of its ask
WHOLE = 1000  # parts of a quota or of the budget's slack
COLD_AFTER = 1.2  # s more that rates of cold backends count once they are gone: what was sent by them is in the
# window of a second that the rules count


@dataclass(slots=True)
class Grant:
    """What one front may use: thousandths of quotas by tenant, tries a second by cold backend, of the slack."""

    number: int = 0
    quotas: dict[str, int] = field(default_factory=dict)
    cold: dict[str, int] = field(default_factory=dict)
    slack: int = 0
    ends: float = 0.0

    def pack(self) -> list:
        return [self.quotas, self.cold, self.slack]
