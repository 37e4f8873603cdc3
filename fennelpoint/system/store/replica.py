"""The decider of one core machine's store: promises, votes, own rounds, reads, and coming back without a disk.

Events with the time in, actions out.  Peers are core machines by IP address; `roll` stands for the registry beside
it.  A message goes out only after what it says is on disk: `Save` comes before `Send` in the list.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from zlib import crc32

from fennelpoint.fleet.register import (
    ZERO,
    Accept,
    Ballot,
    Cell,
    Groups,
    Hello,
    Keeper,
    Known,
    Peek,
    Prepare,
    Rejoin,
    Round,
    Seen,
    Voted,
    ballot_of,
    handle,
    holds,
)
from fennelpoint.system.actions import LogEvent, Send
from fennelpoint.system.config_versions import digest as digest_of
from fennelpoint.system.graceful_shutdown import GracefulShutdown
from fennelpoint.system.incarnation import first_number
from fennelpoint.system.registry.quorum_check import BACKLOG_S, PAUSE_THRESHOLD_S
from fennelpoint.system.store import idempotency
from fennelpoint.system.store.content_retention import Lately
from fennelpoint.system.store.failure_detector import Said, Watch
from fennelpoint.system.store.replicated_state import (
    Change,
    configure,
    dismiss,
    empty,
    enrol,
    evacuate,
    groups_of,
    lead,
    put_orders_away,
    revive,
    same,
    settle,
    stand_by,
)

KEY = "world"
FOUNDED: Ballot = (0, "founded")
READ_FEW = 0.12         # s after which all are asked, where a few did not answer
ROUND, READ, SPREAD = 0.5, 0.35, 0.8     # s for a round's answers, a read's, a content's
REFUSED = (0.08, 0.16)  # s for a round's answers once one of them is a refusal
GIVE_UP = 3.5           # s after which a change has no clear answer
READ_LIFE = 2.0         # s that a read is tried
PAUSE = (0.015, 0.09)   # s between two rounds that got into each other's way; twice as long each time
MOST_PAUSES = 4         # times that it grows
PEEK_AGAIN, PEEKS = 0.04, 3     # s between looks that found no majority alike, and how many until a round tells
REPAIRS = 2.0           # of all readers, about so many at a time end a change that its own round has not ended
REJOIN = 0.4            # s between tries to come back
STAND_BY = 0.5          # s between tries to become a voter
ANSWERED = 0.25         # s after which it is looked at what others say of one that is silent
WANTED = 5.0            # s after which a content that nobody asks for any more is forgotten
MEND = 1.0              # s between tries to write to a disk that refused
DISK_ONLY = ("prepare", "peek", "accept", "hail", "store")  # answered by what is on disk, or not at all


@dataclass(slots=True)
class Save:
    """On disk before anything after it goes out; `whole`: all of it, else what changed."""

    keeper: Keeper
    whole: bool = False
    cell: bool = True


@dataclass(slots=True)
class SaveContent:
    """On disk, like `Save`; the oldest that are not `needed` make room."""

    digest: str
    data: bytes
    needed: set[str]


@dataclass(slots=True)
class Whole:
    """The disk took all that came before this."""


Action = Send | Save | SaveContent | Whole | LogEvent
ROLL = "roll"


@dataclass(slots=True)
class Job:
    """A change under way: for whom, until when, and the round that it is in."""

    change: Change
    token: object           # of the one who asked; None: our own
    since: float
    data: bytes = b""
    round: Round | None = None
    number: int = 0         # of the round, in messages
    until: float = 0.0      # the round, or the spreading of its content, has until then
    holders: frozenset[str] = frozenset()   # have the content
    asked: frozenset[str] = frozenset()
    not_before: float = 0.0
    lost: int = 0           # rounds that got into others' way
    spread_from: int = 0    # the number of its first request to hold its content
    tokens: list = field(default_factory=list)  # of reads that its answer is for

    @property
    def own(self) -> bool:
        """Whether nobody waits for it."""
        return self.token is None and not self.tokens


def marked(lives: list[tuple[str, int]]) -> int:
    """A checksum of known lives: an answer bears them only where it is not the reader's."""
    return crc32(repr(lives).encode())


class Store:
    """One core machine's part of the store."""

    def __init__(self, me: str, zone: str, regions: dict[str, str], seeds: list[str], keeper: Keeper,
                 founds: bool, content: Callable[[str], bytes | None], random: Random, now: float) -> None:
        self.me, self.zone, self.regions, self.seeds, self.random = me, zone, regions, seeds, random
        self.keeper, self.content = keeper, content
        self.peers: set[str] = set(seeds) - {me}
        self.world: dict = {}       # the newest that is known to be agreed
        self.at: Ballot = ZERO
        self.hint: dict = {}    # the newest that was seen, agreed or not: tells whom to ask
        self.late: tuple[int, Round] | None = None  # the round before, for promises that come late
        self.jobs: deque[Job] = deque()
        self.highest = keeper.cells.get(KEY, Cell()).promised[0]
        self.numbers = first_number(random.getrandbits(40))
        self.numbers += 1
        self.hailed = self.numbers      # of all that a rejoin asks
        self.told = 0           # revision that all were told of
        self.reading: dict | None = None
        self.lives: dict[str, int] = {}     # of other stores' disks, by what was ever heard of them
        self.peeks, self.peek_at = 0, now       # looks in a row without a majority alike; when to look again
        self.readers: list[tuple[object, float]] = []   # wait for the next read
        self.rejoin: Rejoin | None = None
        self.rejoin_at = self.stand_at = now
        self.wanted: dict[str, float] = {}  # contents that are asked for, and when again
        self.here: frozenset[str] = frozenset()     # of those that the agreed value names, the ones on disk
        self.withheld: tuple[str, int, Accept] | None = None    # whose accept waits here for its value's contents
        self.lately = Lately()
        self.out: list[Action] = []
        self.born = now
        self.up: set[str] = set()   # core machines whose store is connected
        self.watch = Watch(me)
        self.leaving = GracefulShutdown()
        self.seen = self.drained = now  # the newest event; till when what is read may be of before we stood still
        self.ill = ""           # the disk refuses: no word of what it holds until it has taken all of it
        self.mend_at = now
        if not keeper.votes:
            if founds:
                # All founders write the same, so that it is agreed from the start, and no voter holds nothing.
                cell = Cell(FOUNDED, FOUNDED, empty({ip: "" for ip in seeds}))
                self.keeper = Keeper(me, 1, True, {}, {KEY: cell})
                self.out.append(Save(self.keeper, whole=True))
                self.out.append(LogEvent("FOUNDED", {"voters": ", ".join(sorted(seeds))}))
            else:
                self.rejoin = Rejoin(me, 0, {}, groups_of=groups_of)
                self.out.append(LogEvent("REJOINING", {"node": me, "peers": ", ".join(sorted(self.peers))}))
        self._members()

    # What is known of the members

    def groups(self) -> Groups:
        """Whose majorities to ask, by all that is known here."""
        held = self.keeper.cells.get(KEY, Cell()).value
        known = max((w for w in (held, self.world, self.hint) if w), key=lambda w: w["rev"], default=None)
        return groups_of(known) or (frozenset(self.seeds),)

    def _members(self) -> None:
        held = self.keeper.cells.get(KEY, Cell()).value
        for world in (held, self.world, self.hint):
            for part in ("voters", "before", "ready") if world else ():
                self.peers.update(world[part])
        self.peers.discard(self.me)

    # Events

    def heard(self, peer: str, message: list, now: float) -> list[Action]:
        """A message of another core machine's store, or of the registry here."""
        self._woke(now)
        kind, *rest = message
        if peer == ROLL or kind == "hail":
            # The registry here leaves first; whoever lost its disk asks again, and may need our word.
            self.leaving.mark_busy(now + (REJOIN if kind == "hail" else 0.0))
        self._expire(now)
        do = getattr(self, f"_on_{kind}", None)
        # Guards what is lost with power: memory is ahead of a disk that refuses, and a majority must not count it.
        if do is not None and not (self.ill and kind in DISK_ONLY):
            do(peer, now, *rest)
        return self._done()

    def linked(self, peer: str, up: bool, now: float) -> list[Action]:
        """A connection to another core machine's store came up: it is asked what it did not hear."""
        self._woke(now)
        (self.up.add if up else self.up.discard)(peer)
        if self.world:
            self.watch.look(self.world, self.up, now)
        if up:  # one of us may have been away while members changed
            self._send(peer, ["at", self.world.get("rev", -1)])
        if up and (reading := self.reading) is not None and peer in reading["whom"] - reading["answers"].keys():
            reading["asked"] |= {peer}
            self._send(peer, self._peek())
        job = self.jobs[0] if self.jobs else None
        if up and job is not None and job.round is not None and job.round.sent is None and peer in job.asked:
            self._send(peer, ["prepare", job.number, job.round.ballot])
        return self._done()

    def tick(self, now: float) -> list[Action]:
        """Each few hundredths of a second: what is due."""
        self._woke(now)
        if self.ill and now >= self.mend_at:
            self.mend_at = now + MEND
            self.out += [Save(self.keeper, whole=True)] if self.keeper.votes else []
            self.out.append(Whole())
        self._run(now)
        if self.reading is not None and now >= self.reading["more"] and self.reading["asked"] != self.reading["whom"]:
            self._peek_more()
        if self.reading is not None and now >= self.reading["until"]:
            voting = frozenset(s.name for s in self.reading["answers"].values() if s.ok)
            if holds(voting, self.groups()) and not self.jobs:
                self._by_round(now)
            else:
                again, self.reading = self.reading["tokens"], None
                self.readers = again + self.readers
                self._begin_read(now)
        self._begin_read(now)
        for token, since in [r for r in self.readers if now - r[1] > READ_LIFE]:
            self.readers.remove((token, since))
            self._send(ROLL, ["newest", token, None])
        if self.rejoin is not None and now >= self.rejoin_at:
            self.rejoin_at = now + REJOIN
            hello = self.rejoin.message
            for peer in sorted(self.peers):
                self._send(peer, ["hail", self.hailed, hello.name, hello.life])
            self._come_back(now)
        elif self.rejoin is None and self.world and now >= self.stand_at and not self.leaving:
            self.stand_at = now + STAND_BY * self.random.uniform(0.8, 1.6)
            voters = self.world["voters"]
            self.watch.look(self.world, self.up, now)
            if any(job.own for job in self.jobs):
                pass    # one of our own is under way
            elif voters.get(self.me) != self.zone and (self.me in voters or self.me not in self.world["ready"]):
                if not self._lacks(self.world):
                    self._add(Job(stand_by(self.me, self.zone, self.regions, self._lacks), None, now), now)
            elif self.world["before"] and self.watch.first(self.world):
                self._add(Job(settle(), None, now), now)
            elif self.watch.first(self.world) and self.watch.asks(self.world, self.regions, now):
                if (change := self.watch.due(self.world, self.regions, now)) is not None:
                    self._add(Job(change, None, now), now)
                else:   # their words are there by then
                    self.stand_at = now + ANSWERED
                for peer in sorted(self.up & {*voters, *self.world["ready"]}):
                    self._send(peer, ["miss"])
        self._want_all(now)
        self._release(now)
        return self._done()

    def leave(self, now: float) -> list[Action]:
        """SIGTERM: rounds under way are ended, and none of our own is begun."""
        if not self.leaving:
            self.leaving.begin(now)
            self.out.append(LogEvent("STOP", {"node": self.me}))
        return self._done()

    def gone(self, now: float) -> bool:
        """Whether nothing keeps this process any more."""
        if self.jobs:
            self.leaving.mark_busy(now)
        return self.leaving.is_complete(now)

    def _woke(self, now: float) -> None:
        if now - self.seen > PAUSE_THRESHOLD_S:
            self.drained = now + BACKLOG_S
        self.seen = now

    def _done(self) -> list[Action]:
        out, self.out = self.out, []
        return out

    def _send(self, to: str, message: list) -> None:
        self.out.append(Send(to, message))

    def sick(self, reason: str) -> None:
        """The disk refused a write: nothing that it should hold may be said any more."""
        self.ill = reason
        for job in self.jobs:
            job.holders -= {self.me}    # whether its content is there is asked again

    def well(self) -> None:
        """The disk holds all that memory does."""
        if self.ill:
            self.ill = ""
            self.out.append(LogEvent("DISK_WELL", {"node": self.me}))

    # As a keeper: what others' rounds ask

    def _handle(self, message) -> object:
        keeper, answer = handle(self.keeper, message)
        if keeper is not self.keeper:
            self.keeper = keeper
            self.out.append(Save(keeper, cell=not isinstance(message, Hello)))
        return answer

    def _on_prepare(self, peer: str, now: float, number: int, ballot: list) -> None:
        seen = self._handle(Prepare(KEY, ballot_of(ballot)))
        self.highest = max(self.highest, ballot[0])
        self._send(peer, ["seen", number, seen.name, seen.life, seen.ok, seen.promised, seen.accepted, seen.value])

    def _lives(self) -> list[tuple[str, int]]:
        """Lives after the first that are known, our own among them."""
        for name, life in (*self.keeper.lives.items(), (self.me, self.keeper.life)):
            self.lives[name] = max(life, self.lives.get(name, 0))
        return sorted((name, life) for name, life in self.lives.items() if life > 1)

    def _on_peek(self, peer: str, now: float, number: int, known: list, mark: int) -> None:
        """`known` and `mark`: the value and the lives that the reader knows, which the answer need not bear."""
        seen = self._handle(Peek(KEY))
        value = None if seen.accepted == ballot_of(known) else seen.value
        lives = self._lives()
        lives = [] if marked(lives) == mark else lives
        self._send(peer, ["peeked", number, seen.name, seen.life, seen.ok, seen.promised, seen.accepted,
                          lives, value])

    def _on_accept(self, peer: str, now: float, number: int, ballot: list, value: dict, lives: list) -> None:
        self._vote(peer, number, Accept(KEY, ballot_of(ballot), value, tuple((n, life) for n, life in lives)), now)

    def _vote(self, peer: str, number: int, accept: Accept, now: float) -> None:
        """Guards what is agreed against the loss of contents: who votes for a value holds all that it names."""
        if lacks := self._lacks(accept.value):
            if self.withheld is None or accept.ballot >= self.withheld[2].ballot:
                self.withheld = (peer, number, accept)
            return self._want(lacks, now, peer)
        voted = self._handle(accept)
        if peer != self.me:
            self._send(peer, ["voted", number, voted.name, voted.life, voted.ok, voted.promised])
        elif self.jobs and self.jobs[0].number == number and self.jobs[0].round is not None:
            self._hear(voted, now)
        self._members()

    def _release(self, now: float) -> None:
        """The vote that waited for contents, once they are on disk."""
        if self.withheld is not None and not self.ill:
            self.withheld, (peer, number, accept) = None, self.withheld
            if accept.value["rev"] >= self.world.get("rev", -1):    # else it has been overtaken
                self._vote(peer, number, accept, now)

    def _on_hail(self, peer: str, now: float, number: int, name: str, life: int) -> None:
        known = self._handle(Hello(name, life))
        cells = [[c.promised, c.accepted, c.value] for key, c in known.cells if key == KEY]
        self._send(peer, ["known", number, known.name, known.votes, known.lives, cells, self.world, self.at])
        self.peers.add(name)
        self.peers.discard(self.me)

    # Who is gone

    def _on_miss(self, peer: str, now: float) -> None:
        if self.world:
            self.watch.look(self.world, self.up, now)
            held = self.world["digest"]
            self._send(peer, ["missed", None if self._lacks(self.world) else held, self.watch.missed(now)])

    def _on_missed(self, peer: str, now: float, digest: str | None, missed: dict) -> None:
        self.watch.said[peer] = Said(now, digest, missed)

    # Contents

    def _lacks(self, value: dict) -> list[str]:
        """Contents that a value names and that are not on disk here."""
        return [d for d in idempotency.needed(value) if d not in self.here and self.content(d) is None]

    def _on_store(self, peer: str, now: float, number: int, digest: str, data: bytes) -> None:
        self.lately.stored(peer, digest, now)
        self._keep_content(digest, data, now)
        self._send(peer, ["stored", number, self.me, digest])

    def _keep_content(self, digest: str, data: bytes, now: float) -> None:
        if self.content(digest) is None:
            withheld = self.withheld[2].value if self.withheld is not None else None
            values = (self.world, self.keeper.cells.get(KEY, Cell()).value, self.hint, withheld)
            under_way = [job.change.digest for job in self.jobs]
            self.out.append(SaveContent(digest, data, self.lately.needed(values, under_way, now)))
            segments = [one for _, one in self.world.get("log", ())]    # those are the store's own
            if self.wanted.pop(digest, None) is not None and digest not in segments:
                self._send(ROLL, ["content", digest, data])

    def _on_fetch(self, peer: str, now: float, digest: str) -> None:
        if (data := self.content(digest)) is not None:
            self._send(peer, ["content", digest, data])

    def _on_content(self, peer: str, now: float, digest: str, data: bytes) -> None:
        if digest in self.wanted:
            self._keep_content(digest, data, now)

    def _want_all(self, now: float) -> None:
        """Each machine holds all contents that the newest value names."""
        named = frozenset(idempotency.needed(self.world)) if self.world else frozenset()
        if named != self.here:
            self.here = frozenset(d for d in named if d in self.here or self.content(d) is not None)
            self._want(sorted(named - self.here), now)

    def _want(self, digests: list[str], now: float, likely: str = "") -> None:
        """Ask two peers, the likely one among them; and others if it does not come."""
        self.wanted = {d: at for d, at in self.wanted.items() if now < at + WANTED}
        for digest in digests:
            if now >= self.wanted.get(digest, 0.0):
                self.wanted[digest] = now + 0.5
                others = sorted((self.peers & self.up or self.peers) - {likely})
                asked = [likely] if likely in self.peers else []
                for peer in [*asked, *self.random.sample(others, min(2 - len(asked), len(others)))]:
                    self._send(peer, ["fetch", digest])

    # Coming back without a disk

    def _on_known(self, peer: str, now: float, number: int, name: str, votes: bool, lives: list, cells: list,
                  world: dict, at: list) -> None:
        if world:
            self._learn(ballot_of(at), world, now)
        if self.rejoin is None or number != self.hailed:
            return
        for _, _, value in cells:
            for part in ("voters", "before", "ready") if value else ():
                self.peers.update(set(value[part]) - {self.me})
        known = Known(name, votes, tuple((n, int(life)) for n, life in lives),
                      tuple((KEY, Cell(ballot_of(p), ballot_of(a), v)) for p, a, v in cells))
        before, self.rejoin = self.rejoin, self.rejoin.heard(known)
        if self.rejoin.message != before.message:
            self.rejoin_at = now    # the new life is told at once
        self._come_back(now)

    def _come_back(self, now: float) -> None:
        """Vote again, by what others know, once that value's contents are here, too."""
        if (keeper := self.rejoin.keeper) is None:
            return
        cell = keeper.cells[KEY]
        if lacks := self._lacks(cell.value):
            # Whoever told the newest value has voted for it, and so holds all that it names.
            told = [known.name for known in self.rejoin.told.values()
                    if any(c.accepted == cell.accepted for _, c in known.cells)]
            return self._want(lacks, now, self.random.choice(told))
        self.keeper, self.rejoin = keeper, None
        self.highest = max(self.highest, cell.promised[0])
        self.out.append(Save(keeper, whole=True))
        self.out.append(LogEvent("REJOINED", {"node": self.me, "life": keeper.life}))
        self._members()

    # Rounds of our own

    def _add(self, job: Job, now: float) -> None:
        first = self.jobs[0] if self.jobs else None
        if first is not None and first.own and not job.own and first.round is None and now >= first.until:
            self.jobs.appendleft(job)   # ours only waits for its next try
        else:
            self.jobs.append(job)
        self._run(now)

    def _expire(self, now: float) -> None:
        """Guards what came since: a change whose time is over goes no further, also where this process was frozen."""
        while self.jobs and now - self.jobs[0].since > GIVE_UP:
            self._finish(self.jobs.popleft(), None, now)

    def _on_withdraw(self, peer: str, now: float, token: int) -> None:
        """The registry here answered without us: nobody waits for this change, so it goes no further."""
        self.jobs = deque(job for job in self.jobs if job.token != token)
        self._run(now)

    def _run(self, now: float) -> None:
        """Go on with the change that is first in line."""
        self._expire(now)
        if not self.jobs or self.rejoin is not None or self.ill:
            return
        job = self.jobs[0]
        if now < job.not_before or now < job.until:
            return
        if job.round is not None and job.round.refused:
            return self._lost(job, now)
        if job.change.digest and not holds(job.holders, self.groups()):
            return self._spread(job, now)
        self.highest += 1
        self.numbers += 1
        ballot = (self.highest, self.me)
        job.round = Round(KEY, ballot, job.change, 0, groups=self.groups(), groups_of=groups_of)
        job.number, job.until, job.asked = self.numbers, now + ROUND, frozenset()
        self._prepare(job, now)

    def _prepare(self, job: Job, now: float) -> None:
        new = job.round.whom - job.asked
        job.asked = job.asked | new
        for name in sorted(new):
            if name != self.me:
                self._send(name, ["prepare", job.number, job.round.ballot])
        if self.me in new:
            self._hear(self._handle(job.round.first), now)

    def _spread(self, job: Job, now: float) -> None:
        self.numbers += 1
        job.number, job.until, job.round = self.numbers, now + SPREAD, None
        job.spread_from = job.spread_from or job.number
        self._keep_content(job.change.digest, job.data, now)
        job.holders |= {self.me}
        for name in sorted(frozenset().union(*self.groups()) - job.holders):
            self._send(name, ["store", job.number, job.change.digest, job.data])
        if holds(job.holders, self.groups()):
            job.until = 0.0
            self._run(now)

    def _on_want(self, peer: str, now: float, digest: str) -> None:
        """The registry here needs a content."""
        if (data := self.content(digest)) is not None:
            self._send(ROLL, ["content", digest, data])
        else:
            self._want([digest], now)

    def _on_change(self, peer: str, now: float, token: object, kind: str, args: list, data: bytes) -> None:
        # Guards against an order of long ago: its caller has asked elsewhere, and may have asked for more since.
        if now < self.drained:
            return self._send(ROLL, ["changed", token, 503, "this machine stood still", None])
        make = {"put": lambda *order: configure(*order, self.content), "evacuate": evacuate, "enrol": enrol,
                "dismiss": dismiss, "lead": lead, "revive": revive}[kind]
        made = make(*args)
        if kind == "put" and self.world:
            made(self.world)
            if made.outcome.final:      # nothing is to be agreed, nor a content to be spread
                return self._send(ROLL, ["changed", token, made.outcome.status, made.outcome.reason, self.world])
        self._add(Job(made, token, now, data), now)

    def _on_stored(self, peer: str, now: float, number: int, name: str, digest: str) -> None:
        if self.jobs and 0 < (job := self.jobs[0]).spread_from <= number <= self.numbers and (
                job.change.digest == digest):
            job.holders |= {name}
            if job.round is None and holds(job.holders, self.groups()):
                job.until = 0.0
                self._run(now)

    def _on_seen(self, peer: str, now: float, number: int, name: str, life: int, ok: bool, promised: list,
                 accepted: list, value: object) -> None:
        seen = Seen(name, life, ok, ballot_of(promised), ballot_of(accepted), value)
        current = self.jobs and self.jobs[0].number == number and self.jobs[0].round is not None
        one = self.jobs[0].round if current else self.late[1] if self.late and self.late[0] == number else None
        if one is None:
            return
        if ok and one.sent is not None and seen.promised == one.ballot and name not in one.asks:
            # Too late for the quorum, in time for the value: it is to hold what the others do.
            lives = tuple(sorted({*one.sent.lives, (name, life)}))
            self._send(name, ["accept", number, one.ballot, one.sent.value, lives])
        elif current:
            self._hear(seen, now)

    def _on_voted(self, peer: str, now: float, number: int, name: str, life: int, ok: bool, promised: list) -> None:
        if self.jobs and self.jobs[0].number == number and self.jobs[0].round is not None:
            self._hear(Voted(name, life, ok, ballot_of(promised)), now)

    def _hear(self, answer: Seen | Voted, now: float) -> None:
        job = self.jobs[0]
        before = job.round
        job.round = before.heard(answer)
        self.highest = max(self.highest, job.round.highest[0])
        if job.round.refused and not before.refused:
            # Another round is in the way: one that is cut off must not have us wait for its word on that, too.
            job.until = min(job.until, now + self.random.uniform(*REFUSED))
        if job.round.sent is None:
            return self._lost(job, now) if job.round.lost else self._prepare(job, now) if (
                job.round.whom - job.asked) else None
        if before.sent is None:
            sent = job.round.sent
            for name in sorted(job.round.asks - {self.me}):
                self._send(name, ["accept", job.number, sent.ballot, sent.value, sent.lives])
            if self.me in job.round.asks:
                return self._vote(self.me, job.number, sent, now)
        if job.round.done:
            self.late = (job.number, job.round)
            self.jobs.popleft()
            self._finish(job, job.round.sent, now)
            self._members()
            self._put_orders_away(job.round.sent.value, now)
            self._run(now)
        elif job.round.lost:
            self._lost(job, now)

    def _lost(self, job: Job, now: float) -> None:
        """Guards against many that get into each other's way for good: a round takes two ways there and back."""
        job.round, job.until = None, 0.0
        job.not_before = now + self.random.uniform(*PAUSE) * 2 ** min(job.lost, MOST_PAUSES)
        job.lost += 1
        if job.own:
            # Guards orders that wait behind it.  Orders are put away again by whoever agrees the next change.
            self.jobs.popleft()
            if not job.change.digest:
                self.jobs.append(job)

    def _finish(self, job: Job, sent: Accept | None, now: float) -> None:
        """Tell what became of a change."""
        if sent is not None:
            self._learn(sent.ballot, sent.value, now)
            if sent.value["rev"] > self.told:
                self.told = sent.value["rev"]
                for peer in sorted(self.peers):
                    self._send(peer, ["learn", sent.ballot, sent.value])
            for token, _ in job.tokens:
                self._send(ROLL, ["newest", token, sent.value])
        else:
            self.readers = job.tokens + self.readers
        if job.token is not None:
            outcome = job.change.outcome
            status, reason = (outcome.status, outcome.reason) if sent is not None else (503, "no majority answers")
            self._send(ROLL, ["changed", job.token, status, reason, sent.value if sent is not None else None])

    def _put_orders_away(self, world: dict, now: float) -> None:
        """Whoever agreed a value that is full of orders has its oldest moved into a segment, in a job of its own."""
        world = idempotency.upgrade(world)
        under_way = any(job.own and job.change.digest for job in self.jobs)
        if under_way or (made := idempotency.next_segment(world, self.content)) is None:
            return
        moved, replaces, data = made
        segment = [moved[-1][0], digest_of(data)]
        self.jobs.append(Job(put_orders_away(moved, world["log"][-1:], segment, replaces), None, now, data))

    def _on_at(self, peer: str, now: float, rev: int) -> None:
        if self.world and self.world["rev"] > rev:
            self._send(peer, ["learn", self.at, self.world])

    def _on_learn(self, peer: str, now: float, ballot: list, value: dict) -> None:
        self.told = max(self.told, value["rev"])
        self._learn(ballot_of(ballot), value, now)

    def _learn(self, ballot: Ballot, world: dict, now: float) -> None:
        self.highest = max(self.highest, ballot[0])     # who does not vote hears of no other's ballots but here
        if not self.world or world["rev"] > self.world["rev"]:
            if self.world and world["voters"].keys() != self.world["voters"].keys():
                self.out.append(LogEvent("VOTERS", {"voters": ", ".join(sorted(world["voters"]))}))
            if not self.world or world["version"] != self.world["version"]:
                self.out.append(LogEvent("DECIDED", {"version": world["version"], "rev": world["rev"]}))
            if self.world and world["evac"] != self.world["evac"]:
                self.out.append(LogEvent("EVACUATED", {"zones": ", ".join(world["evac"]) or "none"}))
            if self.world:
                self.lately.followed(self.world, now)
            self.world, self.at = world, ballot
            if world["before"]:
                self.stand_at = self.born   # its end is due at once
            self._members()
            self._send(ROLL, ["world", world])
        elif world["rev"] == self.world["rev"]:
            self.at = max(self.at, ballot)

    # Reads: the newest there was when it was asked

    def _on_read(self, peer: str, now: float, token: object) -> None:
        self.readers.append((token, now))
        self._begin_read(now)

    def _begin_read(self, now: float) -> None:
        if self.reading is not None or not self.readers or self.rejoin is not None and not self.peers:
            return
        if now < self.peek_at:
            return
        tokens, self.readers = self.readers, []
        self.numbers += 1
        groups = self.groups()
        whom = frozenset().union(*groups)
        # The nearest that are a majority are asked, the others only where these don't do: bytes between regions.
        # Those that are not connected come last: while one is down, each read would wait for it first.
        few = frozenset((self.me,)) & whom
        for name in sorted(whom - few, key=lambda ip: (ip not in self.up, self._far(ip))):
            if not holds(few, groups):
                few |= {name}
        self.reading = {"number": self.numbers, "tokens": tokens, "until": now + READ, "more": now + READ_FEW,
                        "answers": {}, "whom": whom, "asked": few, "cell": self._newest_cell(),
                        "lives": dict(self._lives()), "mark": marked(self._lives())}
        for name in sorted(few - {self.me}):
            self._send(name, self._peek())
        if self.me in whom and not self.ill:
            self._peeked(self._handle(Peek(KEY)), now)

    def _newest_cell(self) -> Cell:
        """The newest value known here, which answers need not bear; who does not vote has only learnt it."""
        held = self.keeper.cells.get(KEY, Cell())
        return Cell(ZERO, self.at, self.world) if self.world and self.at > held.accepted else held

    def _far(self, ip: str) -> tuple:
        zones = {**self.world.get("ready", {}), **self.world.get("voters", {})}
        zone = zones.get(ip, "")
        return (zone != self.zone, self.regions.get(zone) != self.regions.get(self.zone), ip)

    def _peek(self) -> list:
        reading = self.reading
        return ["peek", reading["number"], reading["cell"].accepted, reading["mark"]]

    def _peek_more(self) -> None:
        """Those asked first did not do."""
        reading = self.reading
        for name in sorted(reading["whom"] - reading["asked"] - {self.me}):
            self._send(name, self._peek())
        reading["asked"] = reading["whom"]

    def _on_peeked(self, peer: str, now: float, number: int, name: str, life: int, ok: bool, promised: list,
                   accepted: list, lives: list, value: object) -> None:
        if self.reading is None or self.reading["number"] != number:
            return
        self._newer_lives(lives)
        cell = self.reading["cell"]
        value = cell.value if ballot_of(accepted) == cell.accepted else value
        self._peeked(Seen(name, life, ok, ballot_of(promised), ballot_of(accepted), value), now)

    def _newer_lives(self, lives: Iterable[tuple[str, int]]) -> None:
        """Guards what is told as agreed: what a voter held in a life that is over may be with nobody by now.

        A value that a majority holds with such a vote in it was taken by another of them after the new life was told
        to that one; so its answer tells of it.
        """
        newest, answers = self.reading["lives"], self.reading["answers"]
        for name, life in lives:
            newest[name] = self.lives[name] = max(life, newest.get(name, 0), self.lives.get(name, 0))
            if name in answers and answers[name].life < newest[name]:
                del answers[name]

    def _peeked(self, seen: Seen, now: float) -> None:
        reading = self.reading
        answers = reading["answers"]
        if seen.life < reading["lives"].get(seen.name, 0):
            return
        answers[seen.name] = seen
        newest = max((s for s in answers.values() if s.ok and s.value), key=lambda s: s.accepted, default=None)
        if newest is None:
            return
        if newest.value["rev"] > max(self.hint.get("rev", -1), self.world.get("rev", -1)):
            self.hint = newest.value
            self._members()
        alike = frozenset(s.name for s in answers.values() if s.ok and s.accepted == newest.accepted)
        groups = groups_of(newest.value)
        if holds(alike, groups):
            self.reading, self.peeks = None, 0
            self._learn(newest.accepted, newest.value, now)
            for token, _ in reading["tokens"]:
                self._send(ROLL, ["newest", token, newest.value])
            return self._begin_read(now)
        voting = frozenset(s.name for s in answers.values() if s.ok)
        if reading["asked"] != reading["whom"] and reading["asked"] <= answers.keys():
            return self._peek_more()
        if all(reading["whom"] & g <= answers.keys() for g in groups) and holds(voting, groups):
            # All answered, and no majority holds the same: a change is under way.  Most often its own round ends it.
            self.peeks += 1
            if self.peeks >= PEEKS and self.random.random() < REPAIRS / max(1, len(self.peers)):
                return self._by_round(now)
            self.readers, self.reading = reading["tokens"] + self.readers, None
            self.peek_at = now + PEEK_AGAIN

    def _by_round(self, now: float) -> None:
        reading, self.reading, self.peeks = self.reading, None, 0
        self._add(Job(same(), None, now, tokens=reading["tokens"]), now)
        self._begin_read(now)
