"""A whole fleet in simulated time: the real deciders of keepers and ingresses, under drawn faults.

One seed makes one run.  The register itself is one value here (`model_checker.py` and the processes show that the
keepers' one is such); what is late, lost, cut, stopped, killed and forgotten is everything round it.  Each
machine has a clock of its own, off and at a rate of its own.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from fennelpoint.fleet import state
from fennelpoint.fleet.rollout import ProcessReport, RolloutController
from fennelpoint.fleet.version_lease import (
    ActivateVersion,
    FetchContent,
    PeerReport,
    StartServing,
    StopServing,
    VersionLease,
)

RATE = 0.008        # how far a clock's rate may be off, each way
LOOK, GOSSIP = 0.1, 0.5     # s between a keeper's reads; between two words of the others


@dataclass(slots=True)
class Settings:
    """How large, and how bad."""

    ingresses: int = 9
    keepers: int = 3
    zones: int = 3
    seconds: float = 40.0
    versions: int = 4
    faults: int = 12
    licence_s: float = 1.0
    settle_s: float = 1.5
    sends: float = 8.0          # a second at each ingress
    delay_s: float = 0.01       # of a message, in the mean
    lose: float = 0.01          # of messages
    late: float = 0.0           # share of the ingresses that begin in the middle of it
    disks: bool = True          # what an ingress knows outlives it
    bad_contents: float = 0.1   # of versions, that some ingress can't take in
    bounds: dict = field(default_factory=dict)


@dataclass(slots=True)
class Machine:
    """A process and its clock; `down` while it is killed, `frozen` while it is stopped."""

    name: str
    offset: float
    rate: float
    down: bool = False
    frozen: bool = False
    queue: list = field(default_factory=list)   # what came while it was stopped

    def clock(self, now: float) -> float:
        return self.offset + now * self.rate


@dataclass(slots=True)
class KeeperNode(Machine):
    conductor: RolloutController = field(default_factory=RolloutController)
    base: tuple[float, int, state.Fleet] | None = None      # our clock when the read began, revision, state
    joining: dict[str, state.Member] = field(default_factory=dict)


@dataclass(slots=True)
class IngressNode(Machine):
    licence: VersionLease | None = None
    life: str = ""
    member: state.Member | None = None
    disk: tuple | None = None
    out: int = 0            # renewals under way
    faulty: set[str] = field(default_factory=set)   # digests it can't take in


class FleetWorld:
    """`run` plays it; `broken` holds what a check found."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.draw, self.now, self.number = settings, Random(seed), 0.0, 0
        self.queue: list[tuple] = []
        bounds = state.Bounds(settings.licence_s, settings.settle_s, ring=settings.ingresses, **settings.bounds)
        self.revision, self.fleet = 1, state.initial_state("world", bounds)
        self.cuts: set[frozenset[str]] = set()      # pairs that hear nothing of each other
        self.mute: set[str] = set()                 # they hear, and aren't heard
        self.keepers = {f"k{i}": KeeperNode(f"k{i}", *self._clock()) for i in range(settings.keepers)}
        self.ingresses = {}
        for i in range(settings.ingresses):
            node = self.ingresses[f"n{i}"] = IngressNode(f"n{i}", *self._clock())
            node.member = state.Member(i, f"z{i % settings.zones}", f"n{i}:1")
            self._begin(node)
        self.broken: list[str] = []
        self.sent: dict[str, int] = {}              # by ingress: the newest version it sent by
        self.most = 0                               # the newest version that anybody sent by
        self.numbers: list[int] = [0]               # of versions that were agreed
        self.forced: list[tuple[float, int]] = []   # when each was in force
        self.offered: dict[int, float] = {}
        self.acted: dict[int, dict[str, float]] = {}    # by version: when each ingress first went by it
        self.counts = {"sends": 0, "refused": 0, "messages": 0, "calls": 0, "shut": 0, "halted": 0, "most out": 0}
        self.shut: set[str] = set()

    def _clock(self) -> tuple[float, float]:
        return self.draw.uniform(0.0, 1e5), 1.0 + self.draw.uniform(-RATE, RATE)

    # The machine of events

    def later(self, delay: float, act: Callable, *values: object) -> None:
        self.number += 1
        heapq.heappush(self.queue, (self.now + delay, self.number, act, values))

    def run(self) -> list[str]:
        s = self.settings
        for keeper in self.keepers.values():
            self.later(self.draw.uniform(0.0, LOOK), self._look, keeper)
            self.later(self.draw.uniform(0.0, GOSSIP), self._gossip, keeper)
        for node in self.ingresses.values():
            self.later(self.draw.uniform(0.0, 0.3), self._renew, node, node.life)
            self.later(self.draw.uniform(0.0, 1.0), self._send, node)
        for node in self.draw.sample(list(self.ingresses.values()), int(s.late * len(self.ingresses))):
            node.down = True
            self.later(self.draw.uniform(1.0, s.seconds / 2), self._back, node, False)
        for i in range(s.versions):
            self.later(3.0 + (s.seconds - 8.0) * i / s.versions, self._publish)
        for _ in range(s.faults):
            self.later(self.draw.uniform(2.0, s.seconds - 4.0), self._fault)
        while self.queue and self.queue[0][0] <= s.seconds and not self.broken:
            self.now, _, act, values = heapq.heappop(self.queue)
            act(*values)
        return self.broken

    def _hears(self, one: str, other: str) -> bool:
        """Whether what `other` says comes to `one`."""
        return frozenset((one, other)) not in self.cuts and other not in self.mute

    def message(self, sender: Machine, to: Machine, act: Callable, *values: object) -> None:
        """One way, late or never; what comes to a stopped process waits for it."""
        self.counts["messages"] += 1
        if self.draw.random() < self.settings.lose or not self._hears(to.name, sender.name):
            return
        slow = 20.0 if self.draw.random() < 0.02 else 1.0
        self.later(self.draw.expovariate(1.0 / (slow * self.settings.delay_s)), self._arrive, to, act, values)

    def _arrive(self, to: Machine, act: Callable, values: tuple) -> None:
        if to.frozen:
            to.queue.append((act, values))
        elif not to.down:
            act(*values)

    # Keepers

    def _majority(self, keeper: KeeperNode) -> bool:
        """Whether it can read and change the record now."""
        heard = [k for k in self.keepers.values() if k is keeper or (
            not k.down and not k.frozen and self._hears(k.name, keeper.name) and self._hears(keeper.name, k.name))]
        return len(heard) > len(self.keepers) // 2

    def _look(self, keeper: KeeperNode) -> None:
        self.later(LOOK * self.draw.uniform(0.8, 1.2), self._look, keeper)
        if keeper.down or keeper.frozen or not self._majority(keeper):
            return
        begun = keeper.clock(self.now)
        # The read ends a while after it began; what it found is the record at some moment between.
        self.later(self.draw.expovariate(1.0 / (2 * self.settings.delay_s)), self._read, keeper, begun)

    def _read(self, keeper: KeeperNode, begun: float) -> None:
        if keeper.down or keeper.frozen:
            return
        if keeper.base is None or self.revision >= keeper.base[1]:
            keeper.base = begun, self.revision, self.fleet
        if keeper.joining:
            joining, keeper.joining = keeper.joining, {}
            self._change(keeper, lambda fleet: state.join(fleet, joining))
        step = keeper.conductor.next_step(keeper.base[2], keeper.base[1], keeper.clock(self.now))
        if step is not None:
            take = {"close": lambda f: state.close(f, step.number), "level": state.confirm_members,
                    "enforce": lambda f: state.enforce(f, step.number),
                    "halt": lambda f: state.halt(f, step.number, step.reason)}[step.kind]
            # It takes a while until it is made; meanwhile anything may happen.
            self.later(self.draw.expovariate(1.0 / (4 * self.settings.delay_s)), self._change, keeper, take,
                       keeper.base[1])

    def _change(self, keeper: KeeperNode, step: Callable, expect: int | None = None) -> None:
        if (expect is not None and expect != self.revision) or not self._majority(keeper):
            return
        before = self.fleet
        try:
            fleet = step(before)
        except state.StepRefused:
            return
        if fleet == before:
            return
        self.fleet, self.revision = fleet, self.revision + 1
        if fleet.least != before.least and fleet.members == before.members and not before.coming:
            self._after_level()
        if before.coming is not None and fleet.coming is None:
            if fleet.version.number == before.coming.number:
                self.forced.append((self.now, fleet.version.number))
            else:
                self.counts["halted"] += 1
        elif fleet.coming is not None and fleet.coming.state == state.CLOSING and not before.is_mixed:
            self.numbers.append(fleet.coming.number)

    def _gossip(self, keeper: KeeperNode) -> None:
        self.later(GOSSIP, self._gossip, keeper)
        if keeper.down or keeper.frozen or keeper.base is None:
            return
        now, licence_s = keeper.clock(self.now), self.fleet.bounds.licence_s
        for other in self.keepers.values():
            if other is not keeper and not other.down and not other.frozen:
                words = [(w, now - w.sent_at) for lives in keeper.conductor.reports.values() for w in lives.values()]
                self.message(keeper, other, self._told, other, words, licence_s)

    def _told(self, keeper: KeeperNode, words: list, licence_s: float) -> None:
        now = keeper.clock(self.now)
        for word, age in words:
            keeper.conductor.reported(ProcessReport(
                word.name, word.incarnation, word.origin, word.member, word.active_version, word.prepared_digest,
                word.error, now - age, word.revision, word.sibling_count), licence_s)

    def _publish(self) -> None:
        if self.fleet.coming is None:
            kind = self.draw.choice((state.LOOSENING, state.TIGHTENING))
            digest = f"content {self.fleet.last + 1}"
            if self.draw.random() < self.settings.bad_contents:
                some = min(len(self.ingresses), self.draw.choice((1, 1, 4)))
                for name in self.draw.sample(sorted(self.ingresses), some):
                    self.ingresses[name].faulty.add(digest)
            self.fleet = state.offer(self.fleet, digest, kind, "world", "")
            self.offered[self.fleet.last] = self.now
            self.revision += 1

    # Ingresses

    def _begin(self, node: IngressNode) -> None:
        node.life, node.licence, node.out = f"{self.draw.random()}", VersionLease(node.name), 0
        if node.disk is not None:
            fleet, revision, acting, ready = node.disk
            node.licence.restore(fleet, revision, acting)
            for digest in ready:
                self._do(node, node.licence.content_ready(digest, node.clock(self.now)))

    def _keep(self, node: IngressNode) -> None:
        licence = node.licence
        if self.settings.disks and licence.fleet is not None:
            node.disk = licence.fleet, licence.revision, licence.active_version, list(licence.ready_contents)

    def _renew(self, node: IngressNode, life: str) -> None:
        if node.life != life:
            return
        licence = node.licence
        every = self.settings.licence_s / 4
        self.later(every * self.draw.uniform(0.7, 1.0), self._renew, node, life)
        if node.down or node.frozen:
            return
        now = node.clock(self.now)
        self._do(node, licence.update(now))
        keeper = self.keepers[self.draw.choice(sorted(self.keepers))]
        coming = licence.fleet.coming.digest if licence.fleet and licence.fleet.coming else ""
        word = (node.life, licence.active_version, coming if coming in licence.ready_contents else "",
                licence.fetch_error, licence.revision)
        self.message(node, keeper, self._asked, keeper, node, node.life, word, now)
        if now > licence.expires_at - self.settings.licence_s / 2:
            for peer in self.ingresses.values():
                if peer is not node:
                    self.message(node, peer, self._peer_asked, peer, node, node.life, now)

    def _asked(self, keeper: KeeperNode, node: IngressNode, life: str, said: tuple, asked: float) -> None:
        now = keeper.clock(self.now)
        self.counts["calls"] += 1
        if keeper.base is None:
            return
        at, revision, fleet = keeper.base
        word = ProcessReport(node.name, said[0], node.name, node.member, said[1], said[2], said[3], now, said[4])
        refused = keeper.conductor.reported(word, fleet.bounds.licence_s)
        left = at + fleet.bounds.licence_s - now
        if fleet.members.get(node.name) != node.member:
            keeper.joining[node.name] = node.member
            left = 0.0
        self.message(keeper, node, self._granted, node, life, keeper.name, fleet, revision,
                     0.0 if refused else left, asked)

    def _granted(self, node: IngressNode, life: str, keeper: str, fleet: state.Fleet, revision: int, left: float,
                 asked: float) -> None:
        if node.life != life:
            return
        now = node.clock(self.now)
        if now - asked < self.settings.licence_s:   # else the call has timed out
            self._do(node, node.licence.granted(keeper, fleet, revision, left, asked, now))
            self._keep(node)

    def _peer_asked(self, peer: IngressNode, node: IngressNode, life: str, asked: float) -> None:
        licence, now = peer.licence, peer.clock(self.now)
        word = PeerReport(peer.name, licence.active_version, licence.expires_at - now, licence.is_history_known,
                          licence.revision, licence.fleet)
        self.message(peer, node, self._peer_said, node, life, word, asked)

    def _peer_said(self, node: IngressNode, life: str, word: PeerReport, asked: float) -> None:
        now = node.clock(self.now)
        if node.life == life and now - asked < self.settings.licence_s:
            self._do(node, node.licence.peer_reported(word, asked, now))
            self._keep(node)

    def _do(self, node: IngressNode, actions: list) -> None:
        for action in actions:
            if isinstance(action, FetchContent):
                self.later(self.draw.expovariate(1.0 / 0.05), self._fetched, node, node.life, action.digest)
            elif isinstance(action, ActivateVersion):
                self.acted.setdefault(action.number, {}).setdefault(node.name, self.now)
            elif isinstance(action, StopServing):
                self.counts["shut"] += 1
                self.shut.add(node.name)
                self.counts["most out"] = max(self.counts["most out"], len(self.shut))
            elif isinstance(action, StartServing):
                self.shut.discard(node.name)

    def _fetched(self, node: IngressNode, life: str, digest: str) -> None:
        if node.life != life or node.down:
            return
        if node.frozen:
            node.queue.append((self._fetched, (node, life, digest)))
            return
        now = node.clock(self.now)
        self._do(node, node.licence.fetch_failed(digest, "it has a fault", now) if digest in node.faulty
                 else node.licence.content_ready(digest, now))
        self._keep(node)

    def _send(self, node: IngressNode) -> None:
        self.later(self.draw.expovariate(self.settings.sends), self._send, node)
        if node.frozen:
            if len(node.queue) < 50:
                node.queue.insert(0, (self._try, (node, node.life)))    # already in its socket
        elif not node.down:
            self._try(node, node.life)

    def _try(self, node: IngressNode, life: str) -> None:
        if node.life != life:
            return
        licence, name = node.licence, node.name
        if licence.active_version < 0 or not licence.is_valid(node.clock(self.now)):
            self.counts["refused"] += 1
            return
        self.counts["sends"] += 1
        version = licence.active_version
        force = self.forced[-1][1] if self.forced else 0
        if version < force:
            self.broken.append(f"{name} sent by {version} at {self.now:.3f}, {force} in force "
                               f"since {self.forced[-1][0]:.3f}")
        if version not in self.numbers:
            self.broken.append(f"{name} sent by {version}, which was never agreed")
        elif self.numbers.index(version) < self.numbers.index(self.most) - 1:
            self.broken.append(f"{name} sent by {version} after {self.most} was acted on")
        if version < self.sent.get(name, 0):
            self.broken.append(f"{name} went back from {self.sent[name]} to {version}")
        self.sent[name] = version
        if version in self.numbers:
            self.most = max(self.most, version)

    # Faults

    def _fault(self) -> None:
        draw, names = self.draw, sorted(self.ingresses)
        kind = draw.choice(("cut off", "cut off", "cut from keepers", "split", "mute", "frozen", "frozen", "killed",
                            "killed cold", "keeper killed", "keeper frozen", "keepers killed", "keepers cut"))
        some = draw.sample(names, draw.choice((1, 1, 2, 2, 3, len(names) // 2)))
        length = draw.uniform(0.2, 4.0) * self.settings.licence_s
        every = [*names, *self.keepers]
        if kind in ("cut off", "cut from keepers", "split", "keepers cut"):
            if kind == "keepers cut":
                some = [draw.choice(sorted(self.keepers))]
            elif kind == "split":
                some = [n for n in every if draw.random() < 0.5]
            others = [n for n in (self.keepers if kind == "cut from keepers" else every) if n not in some]
            pairs = {frozenset((a, b)) for a in some for b in others} - self.cuts
            self.cuts |= pairs
            self.later(length, self._heal, pairs)
        elif kind == "mute":
            self.mute |= set(some)
            self.later(length, self.mute.difference_update, set(some))
        else:
            if kind.startswith("keeper"):
                some = sorted(self.keepers) if kind == "keepers killed" else [draw.choice(sorted(self.keepers))]
            for name in some:
                node = self.ingresses.get(name) or self.keepers[name]
                if node.down or node.frozen:
                    continue
                if "frozen" in kind:
                    node.frozen = True
                    self.later(length, self._thaw, node)
                else:
                    node.down = True
                    self.later(length, self._back, node, kind == "killed cold")

    def _after_level(self) -> None:
        """A moment that matters and that few draws meet: one is cut off before it hears of it, a version comes."""
        if self.draw.random() < 0.5 * self.settings.late:
            name = self.draw.choice(sorted(self.ingresses))
            pairs = {frozenset((name, other)) for other in (*self.ingresses, *self.keepers) if other != name}
            pairs -= self.cuts
            self.cuts |= pairs
            self.later(6.0 * self.settings.licence_s, self._heal, pairs)
            self.later(0.05, self._publish)

    def _heal(self, pairs: set) -> None:
        self.cuts -= pairs

    def _thaw(self, node: Machine) -> None:
        node.frozen = False
        queue, node.queue = node.queue, []
        for act, values in queue:
            act(*values)

    def _back(self, node: Machine, cold: bool) -> None:
        node.down, node.queue = False, []
        if isinstance(node, KeeperNode):
            node.conductor, node.base, node.joining = RolloutController(), None, {}
        else:
            self.shut.discard(node.name)
            if cold:
                node.disk = None
            self._begin(node)
            self.later(0.1, self._renew, node, node.life)
