"""Drawn days of a simulated core: a deployment of any shape, under troubles that overlap.

The rules of `core_rules` hold at each step.  What it is for is shapes that no page names: uneven zones, a region of
one zone, more fronts than scenarios have.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from fennelpoint.testing.core_machines import Broken
from fennelpoint.testing.core_simulation import World

FIRST_ORDER, BEGIN = 2.0, 7.0  # s: the first configuration, the first trouble
PAUSE = (0.3, 2.5)  # s between two troubles
LENGTH = (0.3, 6.0)  # s that a trouble lasts
SETTLE = 14.0  # s after the last trouble in which all must be well again
ORDER_EVERY = 4.0  # s between two orders
RESEND = 1.0  # s after which an order without a clear answer is sent again as it was, elsewhere
TAKEN_WITHIN = 3.0  # s in which an order is taken once all is well
COLD_PER_TROUBLE = 0.3  # chance that a trouble comes with a backend that starts cold


@dataclass(frozen=True, slots=True)
class Deployment:
    """Machines by zone; a zone's region is the part of its name before the dash."""

    cores: dict[str, int]
    fronts: dict[str, int]
    backends: int = 24

    def build(self, seed: int) -> World:
        """The whole system, just started on empty disks."""
        world = World(seed)
        for kind, count in (("core", self.cores), ("front", self.fronts)):
            for zone, machines in count.items():
                for number in range(machines):
                    asked = ["t1=4", "t2=1"] if kind == "front" else []
                    world.do([kind, f"{kind[0]}{number}.{zone}", zone, zone.partition("-")[0], *asked])
        for number in range(self.backends):
            world.do(["backend", f"s{number}", "svc", list(self.fronts)[number % len(self.fronts)]])
        world.start()
        return world

    def zones(self) -> list[str]:
        return list(self.fronts)


class DrawnDay:
    """One day: troubles from `BEGIN` for so many seconds, each of which ends, and then all must be well."""

    def __init__(self, deployment: Deployment, seed: int, seconds: float) -> None:
        self.deployment = deployment
        self.random = Random(seed)
        self.world = deployment.build(seed)
        self.ends = BEGIN + seconds
        self.version, self.base = 0, 0  # of the newest order
        self.ordered_at, self.sent_at = -ORDER_EVERY, -RESEND
        self.backends = deployment.backends
        self.down: set[str] = set()  # core machines that are dead, frozen or cut off
        self.most_down = (len(self.world.cores) - 1) // 4
        self.due: list[tuple[float, Callable[[], None]]] = []  # what ends a trouble, and when
        self.troubles: list[str] = []  # what happened, for a failure's message

    def play(self) -> None:
        """Raises Broken, with all that happened, where a rule does not hold or the end is not well."""
        try:
            self._play()
        except Broken as error:
            raise Broken(f"{error}\n" + "\n".join(self.troubles)) from error

    def _play(self) -> None:
        self.world.run(FIRST_ORDER)
        self._order()
        self.world.run(BEGIN)
        trouble_at = BEGIN
        while self.world.now < self.ends:
            self._order()
            if self.world.now >= trouble_at:
                self._trouble()
                trouble_at += self.random.uniform(*PAUSE)
            self._end_what_is_due()
            self.world.run(self.world.now + 0.1)
        self._end_what_is_due(everything=True)
        self.world.run(self.world.now + SETTLE)
        self._check_well()

    # Orders, of one operator

    def _order(self) -> None:
        """The next version on the one before, once that was taken; until then that is sent again as it was."""
        now, taken = self.world.now, self._taken()
        if taken and now - self.ordered_at >= ORDER_EVERY:
            self.base, self.version, self.ordered_at = self.version, self.version + 1, now
            self._send_order()
        elif not taken and now - self.sent_at >= RESEND:
            self._send_order()

    def _send_order(self) -> None:
        self.sent_at = self.world.now
        up = [ip for ip, core in self.world.cores.items() if core.up and ip not in self.down]
        self.world.put(self.version, self.base, self.random.choice(up))

    def _taken(self) -> bool:
        """Whether the newest order is; nobody else gives any, so that none may be refused."""
        status = self.world.status(f"put {self.version}")
        if 400 <= status < 500:
            raise Broken(f"{self.world.now:.2f}: order {self.version} on {self.base} is answered {status}")
        return self.version == 0 or status == 200

    def _trouble(self) -> None:
        kinds = [self._kill_core, self._freeze_core, self._cut_core, self._kill_fronts, self._freeze_front,
                 self._cut_front, self._lose_zone, self._kill_allocator, self._restart_registry]  # fmt: skip
        if self.random.random() < COLD_PER_TROUBLE:
            self._cold_backend()
        self.random.choice(kinds)()

    def _until_later(self, what: str, end: Callable[[], None]) -> None:
        span = self.random.uniform(*LENGTH)
        self.troubles.append(f"{self.world.now:.1f}: {what} for {span:.1f} s")
        self.due.append((self.world.now + span, end))

    def _end_what_is_due(self, everything: bool = False) -> None:
        over = [end for at, end in self.due if everything or at <= self.world.now]
        self.due = [(at, end) for at, end in self.due if not everything and at > self.world.now]
        for end in over:
            end()

    # Core machines

    def _take_core(self, chosen: str | None = None) -> str | None:
        """A core machine to trouble; none where that would be more than is borne."""
        free = [ip for ip in self.world.cores if ip not in self.down]
        if len(self.down) >= self.most_down or (chosen is not None and chosen not in free):
            return None
        ip = chosen or self.random.choice(free)
        self.down.add(ip)
        return ip

    def _kill_core(self, chosen: str | None = None) -> None:
        if (ip := self._take_core(chosen)) is not None:
            self.world.do(["kill", ip])
            self._until_later(f"kill {ip}", lambda: self._back(ip))

    def _back(self, ip: str) -> None:
        self.down.discard(ip)
        self.world.do(["boot", ip])

    def _kill_allocator(self) -> None:
        holders = [ip for ip, core in self.world.cores.items() if core.up and core.registry.allocation.allocator]
        if holders:
            self._kill_core(holders[0])

    def _freeze_core(self) -> None:
        if (ip := self._take_core()) is not None:
            self.world.do(["freeze", ip])
            self._until_later(f"freeze {ip}", lambda: self._thaw(ip))

    def _thaw(self, ip: str) -> None:
        self.down.discard(ip)
        self.world.do(["thaw", ip])

    def _restart_registry(self) -> None:
        up = [ip for ip, core in self.world.cores.items() if core.up and ip not in self.down]
        ip = self.random.choice(up)
        self.troubles.append(f"{self.world.now:.1f}: restart roll {ip}")
        self.world.do(["restart", "roll", ip])

    def _cut_core(self) -> None:
        if (ip := self._take_core()) is not None:
            self._cut(ip, [other for other in (*self.world.cores, *self.world.fronts) if other != ip])

    def _cut(self, ip: str, others: list[str]) -> None:
        pairs = {frozenset((ip, other)) for other in others} - self.world.cuts
        self.world.cuts |= pairs
        self._until_later(f"cut {ip} from {len(others)} others", lambda: self._join(ip, pairs))

    def _join(self, ip: str, pairs: set[frozenset[str]]) -> None:
        self.down.discard(ip)
        self.world.cuts -= pairs

    # Fronts, zones, backends

    def _running_fronts(self) -> list[str]:
        return [front.ip for front in self.world.fronts.values() if front.up and front.ip not in self.world.frozen]

    def _front(self) -> str:
        return self.random.choice(self._running_fronts())

    def _kill_front(self, ip: str) -> None:
        self.world.do(["kill", ip])
        self._until_later(f"kill {ip}", lambda: self.world.do(["boot", ip]))

    def _kill_fronts(self) -> None:
        for ip in sorted({self._front() for _ in range(self.random.randint(1, 3))}):
            self._kill_front(ip)

    def _freeze_front(self) -> None:
        ip = self._front()
        self.world.do(["freeze", ip])
        self._until_later(f"freeze {ip}", lambda: self.world.do(["thaw", ip]))

    def _cut_front(self) -> None:
        self._cut(self._front(), list(self.world.cores))

    def _lose_zone(self) -> None:
        """All machines of a zone lose power, where that leaves enough of the core."""
        zone = self.random.choice(self.deployment.zones())
        cores = [ip for ip, core in self.world.cores.items() if core.zone == zone]
        fronts = [ip for ip in self._running_fronts() if self.world.fronts[ip].zone == zone]
        if self.down or len(cores) > self.most_down:
            return
        for ip in cores:
            self._kill_core(ip)
        for ip in fronts:
            self._kill_front(ip)

    def _cold_backend(self) -> None:
        self.backends += 1
        zone = self.random.choice(self.deployment.zones())
        self.world.do(["backend", f"s{self.backends}", "svc", zone, "cold"])

    # The end

    def _check_well(self) -> None:
        world = self.world
        newest = max(world.acked, default=0)
        lack = [f.ip for f in world.fronts.values() if not world.allows(f) or f.version < newest]
        if lack:
            raise Broken(f"{world.now:.2f}: without a lease or version {newest} at the end: {', '.join(lack)}")
        if world.losses:
            raise Broken(f"counted as lost while they live: {', '.join(world.losses)}")
        self.ordered_at = -ORDER_EVERY
        until = world.now + TAKEN_WITHIN
        self._order()
        while world.now < until:
            world.run(world.now + 0.1)
            self._order()
        if not self._taken():
            raise Broken(f"{world.now:.2f}: an order at the end is not taken")
