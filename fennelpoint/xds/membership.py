"""The roster of the control service: what discovery told, how new that is, and who is dead.

Pure: told of discovery's answers with the time.  Three guards against a stale roster:

- A dead id stays dead until a newer start of it is told, whoever tells it.
- Discovery's revision going back marks a new life of discovery: the epoch grows, so that the new life's low
  revisions are newer than the old one's high ones.
- Epochs have no common source but the proxies, who carry them in version labels.  One that is ahead of ours
  is adopted after discovery has answered us without a gap for `lag` seconds since we heard of it: by then our
  own agent must have been told of that life.  Until then the proxy that named it keeps what it has.
"""

from __future__ import annotations

from dataclasses import replace

from fennelpoint import interface as api
from fennelpoint.xds.version_labels import Stand

GAP = 4.0           # s between two answers of a watch that goes on; a call holds for 2 s
MOST_DEAD = 50_000  # ids remembered; the longest dead are forgotten first

Address = tuple[str, int]


class Membership:
    """Backends by id, with their addresses; `stand` says how new, `fresh_at` when discovery last answered."""

    def __init__(self, lag: float) -> None:
        self.lag = lag
        self.entries: dict[str, api.BackendEntry] = {}
        self.addresses: dict[str, Address] = {}
        self.dead: dict[str, float] = {}        # id -> the start that ended
        self.stand = Stand(0, 0)
        self.fresh_at = self.steady_since = -1e18   # last answer; since when they come without a gap
        self.told_once = False
        self.claimed: tuple[int, float] | None = None   # an epoch that a proxy named, and when

    def answered(self, revision: int, now: float) -> None:
        """Discovery has answered, with news or without."""
        if now - self.fresh_at > GAP:
            self.steady_since = now
        self.fresh_at = now
        if revision < self.stand.revision:
            self.stand = Stand(max(self.stand.epoch + 1, int(now)), revision)
        else:
            self.stand = Stand(self.stand.epoch, revision)
        self._adopt(now)

    def told(self, roster: api.Roster, addresses: dict[str, Address]) -> None:
        """A list or its changes, after `answered`."""
        self.told_once = True
        if roster.kind is not api.RosterKind.CHANGES:
            named = {e.backend for e in roster.entries}
            for key in [k for k in self.entries if k not in named]:
                self._bury(key)
        for entry in roster.entries:
            key = entry.backend
            if entry.state is api.BackendState.GONE:
                self._bury(key, entry.started_at)
            elif key in self.dead and entry.started_at <= self.dead[key]:
                continue    # guards against a revival by an old list
            elif key not in addresses:
                continue
            else:
                self.dead.pop(key, None)
                self.entries[key], self.addresses[key] = replace(entry), addresses[key]

    def _bury(self, key: str, started: float = 0.0) -> None:
        entry = self.entries.pop(key, None)
        self.addresses.pop(key, None)
        ended = max(started, entry.started_at if entry is not None else 0.0, self.dead.pop(key, 0.0))
        self.dead[key] = ended
        if len(self.dead) > MOST_DEAD:
            del self.dead[next(iter(self.dead))]

    def heard(self, stand: Stand, now: float) -> None:
        """A proxy holds a roster of this stand, from us or from another control service."""
        if stand.epoch > self.stand.epoch and (self.claimed is None or stand.epoch > self.claimed[0]):
            self.claimed = (stand.epoch, now)

    def _adopt(self, now: float) -> None:
        if self.claimed is not None:
            epoch, since = self.claimed
            if epoch <= self.stand.epoch:
                self.claimed = None
            elif now - max(since, self.steady_since) >= self.lag:
                self.claimed, self.stand = None, Stand(epoch, self.stand.revision)

    def ready(self) -> list[tuple[api.BackendEntry, Address]]:
        """Those that may be sent to, by id."""
        return [(e, self.addresses[k]) for k, e in sorted(self.entries.items())
                if e.state is api.BackendState.READY]

    def age(self, now: float) -> float:
        """Seconds since discovery confirmed the roster."""
        return now - self.fresh_at
