"""Which service addresses are announced, and with what preference: health events and time in, paths out.

Pure.  Going down is never delayed: a missed beat, a closed pipe, a self-check without an answer, a drain.
Coming up again is: health must have lasted, some time must have passed since the last rise, and a penalty
that each fall adds to must have decayed (in the spirit of RFC 2439, ours being the origin).  So the number of
changes is bounded whatever the health does.

Loss of the quota word lowers the preference and does not withdraw, unless the operator says so: where one
ingress has lost it, routers go to the others; where all have, all are alike again and the service stays.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import IntEnum
from math import inf, log2

from fennelpoint.bgp.updates import GRACEFUL_SHUTDOWN, Network, Path

PENALTY = 1000.0        # that a fall adds
SUPPRESS, REUSE = 3000.0, 1000.0    # over it nothing rises until it is under this
MOST_PENALTY = 6000.0   # so that the longest wait is known: half_life x log2(6)


class Level(IntEnum):
    """How an address stands; higher is better."""

    DOWN = 0        # withdrawn
    LEAVING = 1     # announced with the graceful shutdown community (RFC 8326)
    DEGRADED = 2    # announced with a higher MED and a longer AS path
    UP = 3


@dataclass(frozen=True, slots=True)
class Rules:
    """Times in s."""

    beat_timeout: float = 0.6   # without a beat of the ingress's loop
    check_timeout: float = 0.7  # without an answer to the self-check through the listener
    steady: float = 2.0         # of good health before a rise
    gap: float = 5.0            # between two rises of an address
    half_life: float = 30.0     # of the penalty
    leaving: float = 2.0        # announced as leaving before a planned withdrawal
    quota_loss: str = "degrade"     # or "withdraw"
    degraded_med: int = 1000    # added to the MED
    degraded_prepend: int = 2   # times our AS number is put before the path once more


@dataclass(frozen=True, slots=True)
class Address:
    """One service address.  `needs` are of "listener" and "quotas"; the loop's beat is always needed."""

    network: Network
    path: Path
    needs: frozenset[str] = frozenset({"listener", "quotas"})


@dataclass(slots=True, eq=False)
class _Stand:
    """What is announced of one address, and since when."""

    address: Address
    level: Level = Level.DOWN
    why: str = "not started"
    good_since: float = inf     # since when its health allows more than it has
    risen_at: float = -inf
    penalty: float = 0.0
    penalty_at: float = 0.0
    changes: list[tuple[float, str, str]] = field(default_factory=list)     # the last ones: when, level, why

    def penalty_now(self, now: float, half_life: float) -> float:
        return self.penalty * 0.5 ** ((now - self.penalty_at) / half_life)


MOST_CHANGES = 20       # remembered for the status, of each address


class Announcer:
    """Give it events, then ask for `wanted`; `due` says when `tick` is to be called next."""

    def __init__(self, rules: Rules, addresses: list[Address], now: float) -> None:
        self.rules = rules
        self.stands = {a.network: _Stand(a) for a in addresses}
        self.beat_at = self.checked_at = -inf
        self.ready = self.quotas = self.held = False
        self.leaving_until = inf    # a planned end: all are withdrawn then
        self.ended = False
        self.tick(now)

    # Events

    def beat(self, now: float, ready: bool, quotas: bool) -> None:
        """The ingress's own loop has said that it goes on, and what it can keep."""
        self.beat_at, self.ready, self.quotas = now, ready, quotas
        self.tick(now)

    def answered(self, now: float) -> None:
        """The self-check through the listener was answered."""
        self.checked_at = now
        self.tick(now)

    def lost(self, now: float) -> None:
        """The pipe to the ingress is closed, or its process is another one: what was heard counts no more."""
        self.beat_at = self.checked_at = -inf
        self.ready = self.quotas = False
        self.tick(now)

    def drain(self, now: float) -> None:
        """A planned end: routers are told first, then all is withdrawn."""
        self.leaving_until = min(self.leaving_until, now + self.rules.leaving)
        self.tick(now)

    def resume(self, now: float) -> None:
        """The planned end was called off."""
        self.leaving_until = inf
        self.tick(now)

    def hold(self, on: bool, now: float) -> None:
        """The operator's own hold: nothing is announced while it lasts."""
        self.held = on
        self.tick(now)

    def change(self, rules: Rules, addresses: list[Address], now: float) -> None:
        """Other addresses or rules; those that stay keep their stand."""
        self.rules, old = rules, self.stands
        self.stands = {}
        for address in addresses:
            stand = self.stands[address.network] = old.get(address.network) or _Stand(address)
            stand.address = address
        self.tick(now)

    # Decisions

    def tick(self, now: float) -> None:
        for stand in self.stands.values():
            allowed, why = self._allowed(stand.address, now)
            if allowed < stand.level:
                self._fall(stand, allowed, why, now)
            if allowed <= stand.level:
                stand.good_since, stand.why = inf, why if allowed < Level.UP else ""
                continue
            if stand.good_since == inf:
                stand.good_since = now
            if (wait := self._rises_at(stand, now)) <= now:
                self._set(stand, allowed, why or "all is well", now)
                stand.risen_at, stand.good_since, stand.why = now, inf, why
            else:
                stand.why = f"well again, waits {wait - now:.1f} s"

    def _allowed(self, address: Address, now: float) -> tuple[Level, str]:
        """The best that its health allows, and why it is no better."""
        rules = self.rules
        if self.held:
            return Level.DOWN, "held by the operator"
        if now >= self.leaving_until:
            return Level.DOWN, "drained"
        if now - self.beat_at >= rules.beat_timeout:
            return Level.DOWN, "the ingress's loop does not beat"
        if not self.ready:
            return Level.DOWN, "the ingress is not ready"
        if "listener" in address.needs and now - self.checked_at >= rules.check_timeout:
            return Level.DOWN, "the listener does not answer"
        lost = "quotas" in address.needs and not self.quotas
        if lost and rules.quota_loss == "withdraw":
            return Level.DOWN, "quotas can't be kept"
        if self.leaving_until < inf:
            return Level.LEAVING, "drains"
        return (Level.DEGRADED, "quotas can't be kept") if lost else (Level.UP, "")

    def _fall(self, stand: _Stand, level: Level, why: str, now: float) -> None:
        """At once.  A planned end is no fault and costs nothing."""
        planned = self.held or self.leaving_until < inf
        stand.penalty = min(MOST_PENALTY, stand.penalty_now(now, self.rules.half_life)
                            + (0.0 if planned else PENALTY))
        stand.penalty_at = now
        self._set(stand, level, why, now)

    def _set(self, stand: _Stand, level: Level, why: str, now: float) -> None:
        stand.level = level
        stand.changes = [*stand.changes, (now, level.name.lower(), why)][-MOST_CHANGES:]

    def _rises_at(self, stand: _Stand, now: float) -> float:
        """When it may rise, if its health stays as it is."""
        rules, penalty = self.rules, stand.penalty_now(now, self.rules.half_life)
        at = max(stand.good_since + rules.steady, stand.risen_at + rules.gap)
        if stand.penalty >= SUPPRESS and penalty > REUSE:
            at = max(at, now + rules.half_life * log2(penalty / REUSE))
        return at

    def wanted(self) -> dict[Network, Path]:
        """What the peers are to be told."""
        return {network: self._path(stand) for network, stand in self.stands.items()
                if stand.level is not Level.DOWN}

    def _path(self, stand: _Stand) -> Path:
        path, rules = stand.address.path, self.rules
        if stand.level is Level.LEAVING:
            return replace(path, communities=(*path.communities, GRACEFUL_SHUTDOWN))
        if stand.level is Level.DEGRADED:
            return replace(path, med=(path.med or 0) + rules.degraded_med,
                           as_path=path.as_path[:1] * rules.degraded_prepend + path.as_path)
        return path

    def due(self, now: float) -> float:
        """When time alone may change something; infinite: never."""
        rules, times = self.rules, []
        if self.beat_at > -inf:
            times += [self.beat_at + rules.beat_timeout, self.checked_at + rules.check_timeout]
        times += [self.leaving_until]
        times += [self._rises_at(s, now) for s in self.stands.values() if s.good_since < inf]
        return min((t for t in times if t > now), default=inf)


def most_changes(rules: Rules, seconds: float) -> int:
    """Changes of one address in any span of so many seconds, whatever the health does.

    Rises are `gap` apart, and between two of them an address can fall three times at most, a level at a time;
    before the first of the span it may fall as often.
    """
    rises = int(seconds / rules.gap) + 1
    return rises + 3 * (rises + 1)
