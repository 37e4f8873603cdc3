"""By what right an ingress acts on a version, and when it must not.

Pure: events with the time in (seconds of a clock that counts while the process is stopped), actions out.

A *licence* is for one version, until a time.  It comes from a keeper that has read the record from a majority:
its end counts from when we asked.  A peer that has one may pass on what is left of it.  Who hears neither keepers
nor such a peer goes on while it hears so many peers in the same state that all of them may not be out at once
(`overreach`): then no tightening can be in force.  Who has nothing of this sends nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from fennelpoint.fleet.state import Fleet, overreach

MOST_READY = 4      # contents at hand


@dataclass(frozen=True, slots=True)
class Act:
    """Go by this version from now on; `mixed`: others may still act on the one before."""

    number: int
    digest: str
    mixed: bool
    why: str


@dataclass(frozen=True, slots=True)
class Fetch:
    """Get this content, check it whole, and say `prepared` or `failed`."""

    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class Shut:
    """Send nothing more."""

    why: str


@dataclass(frozen=True, slots=True)
class Admit:
    """Serve again."""

    why: str


@dataclass(frozen=True, slots=True)
class Told:
    """One line for the log."""

    text: str
    loud: bool = False


Action = Act | Fetch | Shut | Admit | Told


@dataclass(frozen=True, slots=True)
class PeerWord:
    """What a peer said when it was asked."""

    name: str
    acting: int
    left: float         # s that are left of a licence that came from keepers; 0 or less: none
    firm: bool          # it knows all that it ever said: it was licensed in this life, or has it on disk
    revision: int = 0   # of the state it goes by
    fleet: Fleet | None = None  # that state, where ours is older


@dataclass(slots=True)
class Licence:
    """One process's licence; `name` is the ingress's."""

    name: str
    fleet: Fleet | None = None
    revision: int = 0
    acting: int = -1            # the version; -1: none yet
    floor: int = 0              # never back behind this one
    digest: str = ""
    mixed: bool = False
    until: float = 0.0          # of a licence by keepers
    static_until: float = 0.0   # of what peers in the same state allow
    firm: bool = False
    open: bool = False          # admitted
    ready: dict[str, str] = field(default_factory=dict)     # digests that could be gone over to at once
    fetching: str = ""
    fault: str = ""             # why the version that is coming can't be taken in
    peers: dict[str, tuple[float, PeerWord]] = field(default_factory=dict)  # when asked, and what was said
    source: str = ""            # where the licence comes from, for people
    foreign: str = ""           # another record that was heard of

    def valid(self, now: float) -> bool:
        """Whether something may be sent: to be asked right before each send."""
        return now < self.until or now < self.static_until

    def restored(self, fleet: Fleet, revision: int, acting: int, firm: bool = True) -> None:
        """What was on disk from the life before: never back a version, but no licence.

        It is `firm` unless the machine may have lost what was written last."""
        self.fleet, self.revision, self.firm, self.floor = fleet, revision, firm, acting

    # Events

    def granted(self, keeper: str, fleet: Fleet, revision: int, left: float, asked: float,
                now: float) -> list[Action]:
        """A keeper's answer: the state as it was read, and how long a licence by it holds from when we asked."""
        out = self._learn(fleet, revision, f"keeper {keeper}")
        if self.fleet is not None and fleet.record == self.fleet.record and revision >= self.revision:
            self._extend(fleet, asked + left, f"keeper {keeper}")
            self.firm = self.firm or left > 0.0
        return out + self.look(now)

    def heard(self, word: PeerWord, asked: float, now: float) -> list[Action]:
        """A peer's answer."""
        out = self._learn(word.fleet, word.revision, f"peer {word.name}") if word.fleet is not None else []
        self.peers[word.name] = asked, word
        if word.left > 0.0 and word.revision >= self.revision and self.fleet is not None:
            self._extend(self.fleet, asked + word.left, f"peer {word.name}")
        return out + self.look(now)

    def prepared(self, digest: str, now: float) -> list[Action]:
        """A content was fetched, checked and is at hand."""
        self.ready[digest] = ""
        fleet = self.fleet
        used = {self.digest} | ({v.digest for v in (fleet.version, fleet.coming) if v} if fleet else set())
        for old in [d for d in self.ready if d not in used][:max(0, len(self.ready) - MOST_READY)]:
            del self.ready[old]
        self.fetching, self.fault = "", ""
        return self.look(now)

    def failed(self, digest: str, fault: str, now: float) -> list[Action]:
        """It could not be fetched, or is not what it should be; tried again with the next answer."""
        self.fetching, before, self.fault = "", self.fault, fault
        return [Told(f"a version can't be taken in: {fault}", True)] if fault != before else []

    def look(self, now: float) -> list[Action]:
        """What is due."""
        out: list[Action] = []
        if self.fleet is not None:
            target, coming = self.fleet.target, self.fleet.coming
            if self._has(target.digest) or target.number == self.acting:
                out += self._act(target.number, target.digest, self.fleet.mixed)
            for wanted in (target, coming):
                if wanted is not None and not self.fetching and wanted.number != self.acting and (
                        not self._has(wanted.digest)):
                    self.fetching = wanted.digest
                    out.append(Fetch(wanted.number, wanted.digest))
        self._static(now)
        if not self.valid(now) and self.open:
            self.open = False
            out.append(Shut(self.reason(now)))
        elif self.valid(now) and not self.open and self.acting >= 0:
            self.open = True
            out.append(Admit(self.source))
        return out

    # What follows

    def _has(self, digest: str) -> bool:
        return digest == "" or digest in self.ready

    def _learn(self, fleet: Fleet, revision: int, whom: str) -> list[Action]:
        """A state that is newer than ours, of the same record; another record counts only if it goes on."""
        if self.fleet is None:
            self.fleet, self.revision = fleet, revision
            return []
        if fleet.record != self.fleet.record:
            known = max(self.fleet.target.number, self.acting, self.floor)
            if fleet.version.number < known:
                text = (f"{whom} holds record {fleet.record} with version {fleet.version.number}, and we go by "
                        f"{self.fleet.record} with {known}: nothing is taken from there")
                said, self.foreign = self.foreign, text
                return [Told(text, True)] if text != said else []
            text = f"record {fleet.record} goes on after {self.fleet.record}, by {whom}"
            self.fleet, self.revision, self.foreign = fleet, revision, ""
            self.peers.clear()
            return [Told(text, True)]
        if revision > self.revision:
            self.fleet, self.revision = fleet, revision
        return []

    def _act(self, number: int, digest: str, mixed: bool) -> list[Action]:
        if (number, mixed) == (self.acting, self.mixed) or number < max(self.acting, self.floor):
            return []
        why = f"version {number} is agreed" if mixed else f"version {number} is in force"
        if number != self.acting:
            # What was licensed was the version before: the next answer of a keeper is for this one.
            self.static_until = 0.0
            self.digest = digest    # else what it holds stays: one number is one content
        self.acting, self.mixed = number, mixed
        return [Act(number, self.digest, mixed, why)]

    def _extend(self, fleet: Fleet, until: float, source: str) -> None:
        """A licence is for the target of the state that it was given by, and for nothing else."""
        target = fleet.target
        has = self._has(target.digest) or target.number == self.acting
        if has and target.number >= self.acting and until > self.until:
            self.until, self.source = until, source

    def _static(self, now: float) -> None:
        """How long the peers that are in the same state let us go on."""
        if self.fleet is None or self.acting < 0 or not self.firm or self.acting != self.fleet.target.number:
            return
        life = self.fleet.bounds.licence_s
        self.peers = {name: said for name, said in self.peers.items() if said[0] > now - life}
        # By the roster that we know, and no smaller one: keepers reckon with every roster that one may know.
        fleet = replace(self.fleet, least={})
        group = {self.name}
        if overreach(fleet, group):    # we may not be out at all: no tightening is in force without us
            self.static_until, self.source = now + life, "our own place: we may not be out"
            return
        for asked, word in sorted(self.peers.values(), key=lambda pair: -pair[0]):
            if not (word.firm and word.acting == self.acting and word.revision <= self.revision):
                continue
            group.add(word.name)
            if overreach(fleet, group):
                until = asked + life
                if until > self.static_until:
                    self.static_until = until
                    if now >= self.until:
                        self.source = f"{len(group) - 1} peers that hear no keeper either"
                return

    def reason(self, now: float) -> str:
        """Why nothing may be sent, for people."""
        if self.fleet is None:
            return "nothing of the fleet's record was heard yet"
        target = self.fleet.target
        if not self._has(target.digest) and target.number != self.acting:
            return f"version {target.number} is not at hand" + (f": {self.fault}" if self.fault else "")
        names = ", ".join(sorted(self.peers)) or "no peer"
        return f"no licence for {now - max(self.until, self.static_until):.1f} s: no keeper is heard, and {names}"
