"""Operators at a core in trouble, in simulated time: what they send, what they see, and what must hold after it.

A `Plan` is drawn; `play` plays it on the deciders of `core_world` and gives the history that callers saw.  Operators
do as the protocol says: any machine, the next one after a failure, a 5xx or a second of silence, with a pause that
grows; the same order again as it was.  Troubles are windows that may overlap; disks are lost one at a time, with the
time to catch up between.  Once all troubles are over, the core has to answer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop
from random import Random

from fennelpoint.system.http_server import ApiRequest
from fennelpoint.system.mesh import ip_of, peer_name
from fennelpoint.system.settings import Bounds
from fennelpoint.testing.core_machines import Broken, Core
from fennelpoint.testing.core_simulation import SILENT, World
from fennelpoint.testing.linearizable import Op, fault
from fennelpoint.testing.operator_calls import CHANGES, Flow, OperatorCalls
from fennelpoint.testing.operator_plans import Plan, Trouble

STEP = 0.04  # s; the deciders' own ticks are 0.02 and 0.05
LINKED = 0.06  # s until a connection stands, or one to a process that has ended is seen to break


@dataclass(eq=False)
class Day(OperatorCalls, World):
    """A plan under way."""

    plan: Plan
    history: list[Op] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__init__(self.plan.seed)
        self.dice = Random(self.plan.seed)
        self.bounds = Bounds()
        self.flows: list[Flow] = []
        self.open: dict[int, tuple[Flow, ApiRequest, str]] = {}
        self.kept: list[ApiRequest] = []  # so that no other gets the same id
        self.known = [0, 0]  # newest version that each operator has seen
        self.orders = 0
        self.bodies: dict[int, bytes] = {}  # of orders
        self.windows: list[tuple[Trouble, frozenset[str], float]] = []  # troubles under way, whom, until when
        self.deaf: set[tuple[str, str]] = set()  # who can't be heard by whom
        self.asleep: dict[str, list[Callable[[], None]]] = {}
        self.removed: set[str] = set()
        self.traps: list[Trouble] = []
        self.losing: float | None = None  # how long all has been well since a disk was lost
        self.between: dict[tuple[str, str], tuple[bool, float]] = {}  # whether connected, and since when it fits
        self.peace = False
        for _ in range(self.plan.cores):
            self._new()

    def _new(self) -> str:
        i = len(self.cores)
        self.cores[f"c{i}"] = Core(f"c{i}", f"z{i}", f"r{i % 3}")
        return f"c{i}"

    # Time

    def run(self, until: float) -> None:
        while self.now < until - 1e-9:
            step = min(until, self.now + STEP)
            while self.queue and self.queue[0][0] <= step:
                self.now, _, do = heappop(self.queue)
                do()
            self.now = step
            self._tick()

    def _tick(self) -> None:
        self._relink()
        for core in self.cores.values():
            if core.up and core.ip not in self.asleep:
                self._writ(core, core.store.tick(self.now))
                self._roll(core, core.registry.tick(self.now))
        if self.losing is not None:
            well = not self.windows and all(c.up for c in self.cores.values() if c.ip not in self.removed)
            self.losing = self.losing + STEP if well else 0.0
            if self.losing > self.bounds.catch_up_s:
                self.losing = None

    # Links and messages

    def _joined(self, a: str, b: str) -> bool:
        return super()._joined(a, b) and (a, b) not in self.deaf

    def _relink(self) -> None:
        """As in any world, with one state for all connections between two machines."""
        for one in self.cores.values():
            for other in self.cores.values():
                a, b, up = one.ip, other.ip, one.up and other.up
                # Who is not heard, or does not answer, is left and dialled anew: a connection needs both ways.
                joined = up and (
                    a == b
                    or not (
                        self.windows
                        and (
                            frozenset((a, b)) in self.cuts
                            or (a, b) in self.deaf
                            or (b, a) in self.deaf
                            or a in self.asleep
                            or b in self.asleep
                        )
                    )
                )
                was, since = self.between.get((a, b), (False, -9.0))
                if joined == was:
                    self.between[a, b] = (was, self.now)
                elif self.now - since >= (LINKED if joined or not up else SILENT):
                    self.between[a, b] = (joined, self.now)
                    if one.up and a == b:
                        self._linked(peer_name("roll", a), peer_name("writ", a), joined)
                    elif one.up:
                        self._linked(peer_name("roll", a), peer_name("roll", b), joined)
                        self._linked(peer_name("writ", a), peer_name("writ", b), joined)

    def _deliver(self, source: str, to: str, message: list) -> None:
        if (waiting := self.asleep.get(ip_of(to))) is not None:
            return waiting.append(lambda: super(Day, self)._deliver(source, to, message))
        super()._deliver(source, to, message)

    # Troubles

    def trouble(self, one: Trouble) -> None:
        ips = [ip for ip in self.cores if ip not in self.removed]
        span = one.span / 10
        chosen = frozenset(ip for i, ip in enumerate(ips) if one.whom >> i & 1) or frozenset(ips[:1])
        single = sorted(chosen)[0]
        match one.kind:
            case "acker":
                return self.traps.append(one)
            case "add" | "swap" if len(self.cores) >= self.plan.cores + 2:
                return
            case "add":
                return self.boot(self._new())
            case "wipe" | "swap" if self.losing is not None:
                return  # one at a time
            case "swap":
                self.losing = 0.0
                self.kill(single, wipe=True)
                self.removed.add(single)
                return self.boot(self._new())
            case "wipe":
                chosen, self.losing = frozenset([single]), 0.0
                self.kill(single, wipe=True)
            case "kill":
                for ip in chosen:
                    self.kill(ip)
            case "full" | "freeze":
                chosen = frozenset([single])
        self._window(one, chosen, span)

    def _window(self, one: Trouble, whom: frozenset[str], span: float) -> None:
        until = self.now + span
        window = (one, whom, until)
        self.windows.append(window)
        self._apply()
        self._later(span, lambda: self._over(window))

    def _over(self, window: tuple) -> None:
        self.windows.remove(window)
        self._apply()

    def _apply(self) -> None:
        """Make the world as the windows that are open want it."""
        self.cuts, self.slow, self.deaf = set(), {}, set()
        down, full, frozen = set(self.removed), set(), set()
        for one, whom, _ in self.windows:
            pairs = [(a, b) for a in whom for b in self.cores if b not in whom]
            match one.kind:
                case "cut":
                    self.cuts |= {frozenset(pair) for pair in pairs}
                case "deaf":
                    self.deaf |= set(pairs)
                case "mute":
                    self.deaf |= {(b, a) for a, b in pairs}
                case "slow":
                    self.slow |= {frozenset(pair): 0.02 * (1 + one.at % 20) for pair in pairs}
                case "kill" | "wipe" | "acker":
                    down |= whom
                case "full":
                    full |= whom
                case "freeze":
                    frozen |= whom
        for core in self.cores.values():
            core.full = core.ip in full
            if not core.up and core.ip not in down:
                self.boot(core.ip)
            if core.ip in frozen and core.up:
                self.asleep.setdefault(core.ip, [])
            elif core.ip in self.asleep:
                for do in self.asleep.pop(core.ip):
                    do()

    def kill(self, ip: str, wipe: bool = False) -> None:
        super().kill(ip, wipe)
        self.asleep.pop(ip, None)
        for flow, asking, via in list(self.open.values()):
            if via == ip:
                del self.open[id(asking)]
                self._later(self._way(), lambda f=flow, a=asking: self._failed(f, a))

    def _acked(self, ip: str) -> None:
        """A change was acknowledged there: whoever waits for that strikes."""
        if not self.traps:
            return
        one = self.traps.pop(0)
        ips = [i for i in self.cores if i not in self.removed]
        at = ips.index(ip)
        whom = frozenset(other for i, other in enumerate(ips) if one.whom >> (i - at) % len(ips) & 1 or other == ip)
        wipe = bool(one.span % 2) and self.losing is None

        def strike() -> None:
            for other in whom:
                self.kill(other, wipe=wipe and other == ip)
            self._window(one, whom, one.span / 10)

        if wipe:
            self.losing = 0.0
        self._later(self.dice.uniform(0.0, 0.004), strike)


def play(plan: Plan) -> Day:
    """Play it to its end; raises Broken with what a caller saw that no register shows, or did not see in calm."""
    day = Day(plan)
    day.start()
    day.run(1.0)
    for errand in plan.errands:
        day._later(errand.at / 10, lambda e=errand: day.errand(e))
    for trouble in plan.troubles:
        day._later(trouble.at / 10, lambda t=trouble: day.trouble(t))
    last = max([e.at for e in plan.errands] + [t.at + 1 for t in plan.troubles], default=0)
    day.run(1.0 + last / 10 + 0.1)
    day.traps.clear()
    while day.windows:
        day.run(max(until for *_, until in day.windows) + 0.1)
    day.run(day.now + day.bounds.contact_s)
    day.peace = True
    try:
        _calm(day)
    except Broken as broken:  # what callers saw before tells more, if it is wrong
        raise Broken(_whole(day) or str(broken)) from broken
    if wrong := _whole(day):
        raise Broken(wrong)
    return day


def _whole(day: Day) -> str:
    unanswered = [flow.op for flow in day.flows if flow.op["kind"] in CHANGES]
    return fault([*day.history, *(Op(**{k: v for k, v in op.items() if k != "who"}) for op in unanswered)])


def _calm(day: Day) -> None:
    """All is well again: each machine reads back, an order is taken at once, and one that is sent again is known."""
    there = [ip for ip in day.cores if ip not in day.removed]
    acknowledge = day.bounds.acknowledge_s

    def everywhere() -> None:
        for ip in there:
            for kind in ("get", "snapshot"):
                day.read(kind, only=ip, patience=day.bounds.contact_s)

    day.wait(everywhere, day.bounds.contact_s, "reading back at each machine")
    (made,) = day.wait(lambda: day.change("put", max(day.known) + 1, max(day.known)), acknowledge, "a change")
    (gone,) = day.wait(lambda: day.evacuation("evacuate", "z1"), acknowledge, "an evacuation")
    for op in (made, gone):
        if op.status != 200:
            raise Broken(f"{day.now:.2f}: a proper order is refused in calm: {op}")
    taken = {op.order: op for op in day.history if op.status == 200 and op.kind in ("put", "patch")}
    again = day.wait(lambda: [day.repeat(op) for op in taken.values()], acknowledge, "orders that are sent again")
    for op in again:
        if op.status != 200:
            raise Broken(f"{day.now:.2f}: an order that was taken is refused: {op}")
    day.wait(everywhere, day.bounds.contact_s, "reading back at each machine")
