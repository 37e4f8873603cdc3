"""State machine of one core machine's replica: promises, votes, its own rounds, reads, and rejoining without a disk.

It takes events with their time and returns actions.  Peers are core machines by IP address; `REGISTRY` is the
registry process on the same machine.  A message is sent only after what it reveals is on disk: `Save` precedes `Send`
in the list of actions.
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
    Acceptor,
    AcceptReply,
    Ballot,
    Groups,
    Peek,
    Prepare,
    PromiseReply,
    RegisterState,
    Rejoin,
    RejoinReply,
    RejoinRequest,
    Round,
    ballot_of,
    handle,
    is_quorum,
)
from fennelpoint.system.actions import LogEvent, Send
from fennelpoint.system.config_versions import digest as digest_of
from fennelpoint.system.graceful_shutdown import GracefulShutdown
from fennelpoint.system.incarnation import first_number
from fennelpoint.system.registry.quorum_check import BACKLOG_S, PAUSE_THRESHOLD_S
from fennelpoint.system.store import idempotency
from fennelpoint.system.store.content_retention import RecentContents
from fennelpoint.system.store.failure_detector import FailureDetector, Report
from fennelpoint.system.store.replicated_state import (
    Change,
    add_proxies,
    add_standby,
    archive_requests,
    begin_term,
    configure,
    evacuate,
    finish_member_change,
    groups_of,
    initial_state,
    no_change,
    remove_proxies,
    restore_snapshot,
)

KEY = "world"
FOUNDING_BALLOT: Ballot = (0, "founded")
READ_ESCALATION_S = 0.12    # after which a read asks all voters, if the nearest majority has not answered
ROUND_TIMEOUT_S, READ_TIMEOUT_S, SPREAD_TIMEOUT_S = 0.5, 0.35, 0.8  # for answers to a round, a read, a content
REFUSED_ROUND_TIMEOUT_S = (0.08, 0.16)  # range of the round's timeout after the first refusal
CHANGE_TIMEOUT_S = 3.5      # after which a change ends with an unknown outcome
READ_DEADLINE_S = 2.0       # after which a read fails
ROUND_BACKOFF_S = (0.015, 0.09)     # range of the pause after conflicting rounds; doubles with each conflict
MAX_BACKOFF_DOUBLINGS = 4
PEEK_RETRY_S, MAX_PEEKS = 0.04, 3   # pause after a peek without a matching majority; peeks before a round may decide
EXPECTED_REPAIRERS = 2.0    # of all readers, that complete a change at a time whose own round has not ended
REJOIN_RETRY_S = 0.4
STANDBY_RETRY_S = 0.5       # between attempts to become a voter
REPORT_WAIT_S = 0.25        # for the other members' reports on an unreachable member
FETCH_EXPIRY_S = 5.0        # after which a content that is no longer asked for is not fetched any more
DISK_RETRY_S = 1.0          # between attempts to write to a disk that refused
DISK_BACKED_KINDS = ("prepare", "peek", "accept", "hail", "store")  # answered by what is on disk, or not at all


@dataclass(slots=True)
class Save:
    """Write the acceptor to disk before any later action; `is_full`: all of it, else only what changed."""

    acceptor: Acceptor
    is_full: bool = False
    has_register: bool = True   # whether the register changed


@dataclass(slots=True)
class SaveContent:
    """Write a content to disk, like `Save`; the oldest contents that are not `retained` are evicted."""

    digest: str
    data: bytes
    retained: set[str]


@dataclass(slots=True)
class DiskSynced:
    """Reached only if the disk took all writes before it."""


Action = Send | Save | SaveContent | DiskSynced | LogEvent
REGISTRY = "roll"


@dataclass(slots=True)
class PendingChange:
    """A change under way: its requester, its timeouts, and its current round."""

    change: Change
    token: object           # of the request; None: begun by this replica
    started_at: float
    data: bytes = b""
    round: Round | None = None
    number: int = 0         # of the round, in messages
    expires_at: float = 0.0     # of the round, or of the attempt to distribute the content
    holders: frozenset[str] = frozenset()   # machines that have stored the content
    prepare_sent_to: frozenset[str] = frozenset()
    not_before: float = 0.0
    conflicts: int = 0      # rounds lost to other proposers
    first_spread_number: int = 0    # number of the first request to store its content
    read_tokens: list = field(default_factory=list)     # of reads that this change answers

    @property
    def is_internal(self) -> bool:
        """Whether no request waits for it."""
        return self.token is None and not self.read_tokens


def checksum(incarnations: list[tuple[str, int]]) -> int:
    """A checksum of known incarnations: an answer includes them only if the reader's checksum differs."""
    return crc32(repr(incarnations).encode())


class Replica:
    """One core machine's replica of the agreed state."""

    def __init__(self, me: str, zone: str, regions: dict[str, str], seeds: list[str], acceptor: Acceptor,
                 is_founder: bool, content: Callable[[str], bytes | None], random: Random, now: float) -> None:
        self.me, self.zone, self.regions, self.seeds, self.random = me, zone, regions, seeds, random
        self.acceptor, self.content = acceptor, content
        self.peers: set[str] = set(seeds) - {me}
        self.state: dict = {}       # the newest that is known to be agreed
        self.state_ballot: Ballot = ZERO
        self.unconfirmed_state: dict = {}   # the newest seen, agreed or not: names members to ask
        self.previous_round: tuple[int, Round] | None = None    # for promises that arrive late
        self.pending_changes: deque[PendingChange] = deque()
        self.highest_round = acceptor.registers.get(KEY, RegisterState()).promised[0]
        self.last_number = first_number(random.getrandbits(40))     # of this replica's requests
        self.last_number += 1
        self.rejoin_number = self.last_number   # of all requests of a rejoin
        self.announced_revision = 0     # the latest that was sent to all peers
        self.reading: dict | None = None    # the read under way
        self.known_incarnations: dict[str, int] = {}    # the newest heard of, by acceptor
        self.unmatched_peeks, self.next_peek_at = 0, now    # peeks in a row without a matching majority
        self.waiting_reads: list[tuple[object, float]] = []     # for the next read: token, time of the request
        self.rejoin: Rejoin | None = None
        self.next_rejoin_at = self.next_member_check_at = now
        self.fetch_retry_at: dict[str, float] = {}  # by digest of a missing content
        self.local_digests: frozenset[str] = frozenset()    # contents of the agreed state that are on disk
        self.deferred_accept: tuple[str, int, Accept] | None = None     # waits here for its state's contents
        self.recent_contents = RecentContents()
        self.actions: list[Action] = []
        self.started_at = now
        self.connected: set[str] = set()    # core machines whose replica is connected
        self.failure_detector = FailureDetector(me)
        self.leaving = GracefulShutdown()
        # Until `stale_input_until`, messages may date from before a pause of this process.
        self.last_event_at = self.stale_input_until = now
        self.disk_error = ""    # if set, no answer reveals stored data until the disk has taken all of it
        self.next_disk_retry_at = now
        if not acceptor.can_vote:
            if is_founder:
                # All founders write the same state, so that it is agreed from the start and every voter has a value.
                register = RegisterState(FOUNDING_BALLOT, FOUNDING_BALLOT, initial_state({ip: "" for ip in seeds}))
                self.acceptor = Acceptor(me, 1, True, {}, {KEY: register})
                self.actions.append(Save(self.acceptor, is_full=True))
                self.actions.append(LogEvent("FOUNDED", {"voters": ", ".join(sorted(seeds))}))
            else:
                self.rejoin = Rejoin(me, 0, {}, groups_of=groups_of)
                self.actions.append(LogEvent("REJOINING", {"node": me, "peers": ", ".join(sorted(self.peers))}))
        self._update_peers()

    # Members

    def groups(self) -> Groups:
        """The groups whose majorities to ask, by the newest state known here."""
        accepted = self.acceptor.registers.get(KEY, RegisterState()).value
        newest = max((state for state in (accepted, self.state, self.unconfirmed_state) if state),
                     key=lambda state: state["rev"], default=None)
        return groups_of(newest) or (frozenset(self.seeds),)

    def _update_peers(self) -> None:
        accepted = self.acceptor.registers.get(KEY, RegisterState()).value
        for state in (accepted, self.state, self.unconfirmed_state):
            for role in ("voters", "before", "ready") if state else ():
                self.peers.update(state[role])
        self.peers.discard(self.me)

    # Events

    def receive(self, peer: str, message: list, now: float) -> list[Action]:
        """Handles a message of another core machine's replica, or of the local registry."""
        self._record_event(now)
        kind, *arguments = message
        if peer == REGISTRY or kind == "hail":
            # The local registry leaves first; a replica that lost its disk asks again, and may need this one's reply.
            self.leaving.mark_busy(now + (REJOIN_RETRY_S if kind == "hail" else 0.0))
        self._expire_changes(now)
        handler = getattr(self, f"_on_{kind}", None)
        # Guards against data that a power loss would take back: with a disk that refuses writes, memory is ahead of
        # it, and a majority must not count on memory.
        if handler is not None and not (self.disk_error and kind in DISK_BACKED_KINDS):
            handler(peer, now, *arguments)
        return self._take_actions()

    def connection_changed(self, peer: str, is_connected: bool, now: float) -> list[Action]:
        """Handles a connection to another core machine's replica that came up or went down.

        A connected peer is sent the requests under way that it has missed.
        """
        self._record_event(now)
        (self.connected.add if is_connected else self.connected.discard)(peer)
        if self.state:
            self.failure_detector.observe(self.state, self.connected, now)
        if is_connected:    # either machine may have missed a change of members
            self._send(peer, ["at", self.state.get("rev", -1)])
        if is_connected and (reading := self.reading) is not None and (
                peer in reading["voters"] - reading["answers"].keys()):
            reading["asked"] |= {peer}
            self._send(peer, self._peek_message())
        pending = self.pending_changes[0] if self.pending_changes else None
        if (is_connected and pending is not None and pending.round is not None and pending.round.accept is None
                and peer in pending.prepare_sent_to):
            self._send(peer, ["prepare", pending.number, pending.round.ballot])
        return self._take_actions()

    def tick(self, now: float) -> list[Action]:
        """Runs the timers; called every few hundredths of a second."""
        self._record_event(now)
        if self.disk_error and now >= self.next_disk_retry_at:
            self.next_disk_retry_at = now + DISK_RETRY_S
            self.actions += [Save(self.acceptor, is_full=True)] if self.acceptor.can_vote else []
            self.actions.append(DiskSynced())
        self._run_first(now)
        if self.reading is not None and now >= self.reading["escalate_at"] and (
                self.reading["asked"] != self.reading["voters"]):
            self._peek_remaining()
        if self.reading is not None and now >= self.reading["expires_at"]:
            voting = frozenset(reply.name for reply in self.reading["answers"].values() if reply.ok)
            if is_quorum(voting, self.groups()) and not self.pending_changes:
                self._read_by_round(now)
            else:
                retried, self.reading = self.reading["tokens"], None
                self.waiting_reads = retried + self.waiting_reads
                self._begin_read(now)
        self._begin_read(now)
        for token, requested_at in [read for read in self.waiting_reads if now - read[1] > READ_DEADLINE_S]:
            self.waiting_reads.remove((token, requested_at))
            self._send(REGISTRY, ["newest", token, None])
        if self.rejoin is not None and now >= self.next_rejoin_at:
            self.next_rejoin_at = now + REJOIN_RETRY_S
            request = self.rejoin.request
            for peer in sorted(self.peers):
                self._send(peer, ["hail", self.rejoin_number, request.name, request.incarnation])
            self._finish_rejoin(now)
        elif self.rejoin is None and self.state and now >= self.next_member_check_at and not self.leaving:
            self.next_member_check_at = now + STANDBY_RETRY_S * self.random.uniform(0.8, 1.6)
            voters = self.state["voters"]
            self.failure_detector.observe(self.state, self.connected, now)
            if any(pending.is_internal for pending in self.pending_changes):
                pass    # an internal change is already under way
            elif voters.get(self.me) != self.zone and (self.me in voters or self.me not in self.state["ready"]):
                if not self._missing_contents(self.state):
                    self._add_change(PendingChange(
                        add_standby(self.me, self.zone, self.regions, self._missing_contents), None, now), now)
            elif self.state["before"] and self.failure_detector.is_first_voter(self.state):
                self._add_change(PendingChange(finish_member_change(), None, now), now)
            elif self.failure_detector.is_first_voter(self.state) and (
                    self.failure_detector.needs_reports(self.state, self.regions, now)):
                if (change := self.failure_detector.next_change(self.state, self.regions, now)) is not None:
                    self._add_change(PendingChange(change, None, now), now)
                else:   # the reports have arrived by then
                    self.next_member_check_at = now + REPORT_WAIT_S
                for peer in sorted(self.connected & {*voters, *self.state["ready"]}):
                    self._send(peer, ["miss"])
        self._fetch_missing(now)
        self._retry_deferred_accept(now)
        return self._take_actions()

    def leave(self, now: float) -> list[Action]:
        """Begins shutdown on SIGTERM: rounds under way are completed, and no internal change is begun."""
        if not self.leaving:
            self.leaving.begin(now)
            self.actions.append(LogEvent("STOP", {"node": self.me}))
        return self._take_actions()

    def can_exit(self, now: float) -> bool:
        """Whether this process has no work left and may exit."""
        if self.pending_changes:
            self.leaving.mark_busy(now)
        return self.leaving.is_complete(now)

    def _record_event(self, now: float) -> None:
        if now - self.last_event_at > PAUSE_THRESHOLD_S:
            self.stale_input_until = now + BACKLOG_S
        self.last_event_at = now

    def _take_actions(self) -> list[Action]:
        actions, self.actions = self.actions, []
        return actions

    def _send(self, to: str, message: list) -> None:
        self.actions.append(Send(to, message))

    def disk_failed(self, reason: str) -> None:
        """The disk refused a write: until it recovers, no message may reveal what it should hold."""
        self.disk_error = reason
        for pending in self.pending_changes:
            pending.holders -= {self.me}    # whether the content is stored here is checked again
            # Its own promise or vote may not be on disk, so no round may count it: another one begins later.
            pending.round, pending.expires_at = None, 0.0
        if self.reading is not None:
            self.reading["answers"].pop(self.me, None)

    def disk_recovered(self) -> None:
        """The disk holds everything that memory does."""
        if self.disk_error:
            self.disk_error = ""
            self.actions.append(LogEvent("DISK_WELL", {"node": self.me}))

    # Acceptor: requests of other proposers

    def _handle(self, message) -> object:
        acceptor, answer = handle(self.acceptor, message)
        if acceptor is not self.acceptor:
            self.acceptor = acceptor
            self.actions.append(Save(acceptor, has_register=not isinstance(message, RejoinRequest)))
        return answer

    def _on_prepare(self, peer: str, now: float, number: int, ballot: list) -> None:
        reply = self._handle(Prepare(KEY, ballot_of(ballot)))
        self.highest_round = max(self.highest_round, ballot[0])
        self._send(peer, ["seen", number, reply.name, reply.incarnation, reply.ok, reply.promised, reply.accepted,
                          reply.value])

    def _later_incarnations(self) -> list[tuple[str, int]]:
        """Known incarnations after the first, including this replica's own."""
        for name, incarnation in (*self.acceptor.incarnations.items(), (self.me, self.acceptor.incarnation)):
            self.known_incarnations[name] = max(incarnation, self.known_incarnations.get(name, 0))
        return sorted((name, incarnation) for name, incarnation in self.known_incarnations.items()
                      if incarnation > 1)

    def _on_peek(self, peer: str, now: float, number: int, known_ballot: list, known_checksum: int) -> None:
        """Answers a read; leaves out the value and the incarnations that the reader already knows."""
        reply = self._handle(Peek(KEY))
        value = None if reply.accepted == ballot_of(known_ballot) else reply.value
        incarnations = self._later_incarnations()
        incarnations = [] if checksum(incarnations) == known_checksum else incarnations
        self._send(peer, ["peeked", number, reply.name, reply.incarnation, reply.ok, reply.promised, reply.accepted,
                          incarnations, value])

    def _on_accept(self, peer: str, now: float, number: int, ballot: list, value: dict, incarnations: list) -> None:
        self._vote(peer, number, Accept(KEY, ballot_of(ballot), value, tuple(
            (name, incarnation) for name, incarnation in incarnations)), now)

    def _vote(self, peer: str, number: int, accept: Accept, now: float) -> None:
        """Guards the agreed state against loss of contents: a voter must hold every content that the state names."""
        if missing := self._missing_contents(accept.value):
            if self.deferred_accept is None or accept.ballot >= self.deferred_accept[2].ballot:
                self.deferred_accept = (peer, number, accept)
            return self._fetch(missing, now, peer)
        reply = self._handle(accept)
        if peer != self.me:
            self._send(peer, ["voted", number, reply.name, reply.incarnation, reply.ok, reply.promised])
        elif self.pending_changes and self.pending_changes[0].number == number and (
                self.pending_changes[0].round is not None):
            self._handle_answer(reply, now)
        self._update_peers()

    def _retry_deferred_accept(self, now: float) -> None:
        """Votes on the accept that waits for contents, once they are on disk."""
        if self.deferred_accept is not None and not self.disk_error:
            self.deferred_accept, (peer, number, accept) = None, self.deferred_accept
            if accept.value["rev"] >= self.state.get("rev", -1):    # else a newer state has been agreed
                self._vote(peer, number, accept, now)

    def _on_hail(self, peer: str, now: float, number: int, name: str, incarnation: int) -> None:
        reply = self._handle(RejoinRequest(name, incarnation))
        registers = [[r.promised, r.accepted, r.value] for key, r in reply.registers if key == KEY]
        self._send(peer, ["known", number, reply.name, reply.can_vote, reply.incarnations, registers, self.state,
                          self.state_ballot])
        self.peers.add(name)
        self.peers.discard(self.me)

    # Reports on unreachable members

    def _on_miss(self, peer: str, now: float) -> None:
        if self.state:
            self.failure_detector.observe(self.state, self.connected, now)
            digest = self.state["digest"]
            self._send(peer, ["missed", None if self._missing_contents(self.state) else digest,
                              self.failure_detector.unreachable_s(now)])

    def _on_missed(self, peer: str, now: float, digest: str | None, unreachable_s: dict) -> None:
        self.failure_detector.reports[peer] = Report(now, digest, unreachable_s)

    # Contents

    def _missing_contents(self, state: dict) -> list[str]:
        """Digests of contents that a state refers to and that are not on disk here."""
        return [digest for digest in idempotency.referenced_digests(state)
                if digest not in self.local_digests and self.content(digest) is None]

    def _on_store(self, peer: str, now: float, number: int, digest: str, data: bytes) -> None:
        self.recent_contents.record_received(peer, digest, now)
        self._save_content(digest, data, now)
        self._send(peer, ["stored", number, self.me, digest])

    def _save_content(self, digest: str, data: bytes, now: float) -> None:
        if self.content(digest) is None:
            deferred = self.deferred_accept[2].value if self.deferred_accept is not None else None
            states = (self.state, self.acceptor.registers.get(KEY, RegisterState()).value, self.unconfirmed_state,
                      deferred)
            under_way = [pending.change.digest for pending in self.pending_changes]
            self.actions.append(SaveContent(digest, data,
                                            self.recent_contents.retained_digests(states, under_way, now)))
            segments = [segment for _, segment in self.state.get("log", ())]    # only the replicas use these
            if self.fetch_retry_at.pop(digest, None) is not None and digest not in segments:
                self._send(REGISTRY, ["content", digest, data])

    def _on_fetch(self, peer: str, now: float, digest: str) -> None:
        if (data := self.content(digest)) is not None:
            self._send(peer, ["content", digest, data])

    def _on_content(self, peer: str, now: float, digest: str, data: bytes) -> None:
        if digest in self.fetch_retry_at:
            self._save_content(digest, data, now)

    def _fetch_missing(self, now: float) -> None:
        """Fetches missing contents: each machine holds all contents that the newest state refers to."""
        referenced = frozenset(idempotency.referenced_digests(self.state)) if self.state else frozenset()
        if referenced != self.local_digests:
            self.local_digests = frozenset(digest for digest in referenced
                                           if digest in self.local_digests or self.content(digest) is not None)
            self._fetch(sorted(referenced - self.local_digests), now)

    def _fetch(self, digests: list[str], now: float, likely_holder: str = "") -> None:
        """Asks two peers for each content, among them the likely holder, and others if it does not arrive."""
        self.fetch_retry_at = {d: at for d, at in self.fetch_retry_at.items() if now < at + FETCH_EXPIRY_S}
        for digest in digests:
            if now >= self.fetch_retry_at.get(digest, 0.0):
                self.fetch_retry_at[digest] = now + 0.5
                others = sorted((self.peers & self.connected or self.peers) - {likely_holder})
                first = [likely_holder] if likely_holder in self.peers else []
                for peer in [*first, *self.random.sample(others, min(2 - len(first), len(others)))]:
                    self._send(peer, ["fetch", digest])

    # Rejoining after the loss of the disk

    def _on_known(self, peer: str, now: float, number: int, name: str, can_vote: bool, incarnations: list,
                  registers: list, state: dict, state_ballot: list) -> None:
        if state:
            self._adopt(ballot_of(state_ballot), state, now)
        if self.rejoin is None or number != self.rejoin_number:
            return
        for _, _, value in registers:
            for role in ("voters", "before", "ready") if value else ():
                self.peers.update(set(value[role]) - {self.me})
        reply = RejoinReply(name, can_vote, tuple((n, int(incarnation)) for n, incarnation in incarnations),
                            tuple((KEY, RegisterState(ballot_of(promised), ballot_of(accepted), value))
                                  for promised, accepted, value in registers))
        before, self.rejoin = self.rejoin, self.rejoin.with_reply(reply)
        if self.rejoin.request != before.request:
            self.next_rejoin_at = now   # the new incarnation is announced at once
        self._finish_rejoin(now)

    def _finish_rejoin(self, now: float) -> None:
        """Votes again with the state of the others, once that state's contents are here, too."""
        if (acceptor := self.rejoin.acceptor) is None:
            return
        register = acceptor.registers[KEY]
        if missing := self._missing_contents(register.value):
            # An acceptor that replied with the newest state has voted for it, and so holds all of its contents.
            holders = [reply.name for reply in self.rejoin.state_replies.values()
                       if any(r.accepted == register.accepted for _, r in reply.registers)]
            return self._fetch(missing, now, self.random.choice(holders))
        self.acceptor, self.rejoin = acceptor, None
        self.highest_round = max(self.highest_round, register.promised[0])
        self.actions.append(Save(acceptor, is_full=True))
        self.actions.append(LogEvent("REJOINED", {"node": self.me, "life": acceptor.incarnation}))
        self._update_peers()

    # Proposer: changes of this replica and of the local registry

    def _add_change(self, pending: PendingChange, now: float) -> None:
        first = self.pending_changes[0] if self.pending_changes else None
        if first is not None and first.is_internal and not pending.is_internal and first.round is None and (
                now >= first.expires_at):
            self.pending_changes.appendleft(pending)    # the internal change only waits for its next attempt
        else:
            self.pending_changes.append(pending)
        self._run_first(now)

    def _expire_changes(self, now: float) -> None:
        """Guards newer changes: an expired change is not continued, even after a pause of this process."""
        while self.pending_changes and now - self.pending_changes[0].started_at > CHANGE_TIMEOUT_S:
            self._complete(self.pending_changes.popleft(), None, now)

    def _on_withdraw(self, peer: str, now: float, token: int) -> None:
        """The local registry has answered its caller: the change is not continued."""
        self.pending_changes = deque(pending for pending in self.pending_changes if pending.token != token)
        self._run_first(now)

    def _run_first(self, now: float) -> None:
        """Continues the first pending change."""
        self._expire_changes(now)
        if not self.pending_changes or self.rejoin is not None or self.disk_error:
            return
        pending = self.pending_changes[0]
        if now < pending.not_before or now < pending.expires_at:
            return
        if pending.round is not None and pending.round.refused:
            return self._back_off(pending, now)
        if pending.change.digest and not is_quorum(pending.holders, self.groups()):
            return self._spread_content(pending, now)
        self.highest_round += 1
        self.last_number += 1
        ballot = (self.highest_round, self.me)
        pending.round = Round(KEY, ballot, pending.change, 0, groups=self.groups(), groups_of=groups_of)
        pending.number, pending.expires_at, pending.prepare_sent_to = (
            self.last_number, now + ROUND_TIMEOUT_S, frozenset())
        self._send_prepares(pending, now)

    def _send_prepares(self, pending: PendingChange, now: float) -> None:
        new = pending.round.prepare_recipients - pending.prepare_sent_to
        pending.prepare_sent_to = pending.prepare_sent_to | new
        for name in sorted(new):
            if name != self.me:
                self._send(name, ["prepare", pending.number, pending.round.ballot])
        if self.me in new:
            self._handle_answer(self._handle(pending.round.prepare), now)

    def _spread_content(self, pending: PendingChange, now: float) -> None:
        """Distributes the content of a change to the voters."""
        self.last_number += 1
        pending.number, pending.expires_at, pending.round = self.last_number, now + SPREAD_TIMEOUT_S, None
        pending.first_spread_number = pending.first_spread_number or pending.number
        self._save_content(pending.change.digest, pending.data, now)
        pending.holders |= {self.me}
        for name in sorted(frozenset().union(*self.groups()) - pending.holders):
            self._send(name, ["store", pending.number, pending.change.digest, pending.data])
        if is_quorum(pending.holders, self.groups()):
            pending.expires_at = 0.0
            self._run_first(now)

    def _on_want(self, peer: str, now: float, digest: str) -> None:
        """The local registry needs a content."""
        if (data := self.content(digest)) is not None:
            self._send(REGISTRY, ["content", digest, data])
        else:
            self._fetch([digest], now)

    def _on_change(self, peer: str, now: float, token: object, kind: str, arguments: list, data: bytes) -> None:
        # Guards against an old request: its caller has asked elsewhere, and may have made newer requests since.
        if now < self.stale_input_until:
            return self._send(REGISTRY, ["changed", token, 503, "this process was suspended", None])
        make = {"put": lambda *request: configure(*request, self.content), "evacuate": evacuate,
                "enrol": add_proxies, "dismiss": remove_proxies, "lead": begin_term,
                "revive": restore_snapshot}[kind]
        change = make(*arguments)
        if kind == "put" and self.state:
            change(self.state)
            if change.outcome.is_final:     # needs neither a round nor its content on other machines
                return self._send(REGISTRY, ["changed", token, change.outcome.status, change.outcome.reason,
                                             self.state])
        self._add_change(PendingChange(change, token, now, data), now)

    def _on_stored(self, peer: str, now: float, number: int, name: str, digest: str) -> None:
        if self.pending_changes and 0 < (pending := self.pending_changes[0]).first_spread_number <= number <= (
                self.last_number) and pending.change.digest == digest:
            pending.holders |= {name}
            if pending.round is None and is_quorum(pending.holders, self.groups()):
                pending.expires_at = 0.0
                self._run_first(now)

    def _on_seen(self, peer: str, now: float, number: int, name: str, incarnation: int, ok: bool, promised: list,
                 accepted: list, value: object) -> None:
        reply = PromiseReply(name, incarnation, ok, ballot_of(promised), ballot_of(accepted), value)
        is_current = self.pending_changes and self.pending_changes[0].number == number and (
            self.pending_changes[0].round is not None)
        round_ = self.pending_changes[0].round if is_current else (
            self.previous_round[1] if self.previous_round and self.previous_round[0] == number else None)
        if round_ is None:
            return
        if ok and round_.accept is not None and reply.promised == round_.ballot and name not in round_.promised_by:
            # Too late for the quorum, but not for the value: this voter should hold what the others do.
            incarnations = tuple(sorted({*round_.accept.incarnations, (name, incarnation)}))
            self._send(name, ["accept", number, round_.ballot, round_.accept.value, incarnations])
        elif is_current:
            self._handle_answer(reply, now)

    def _on_voted(self, peer: str, now: float, number: int, name: str, incarnation: int, ok: bool,
                  promised: list) -> None:
        if self.pending_changes and self.pending_changes[0].number == number and (
                self.pending_changes[0].round is not None):
            self._handle_answer(AcceptReply(name, incarnation, ok, ballot_of(promised)), now)

    def _handle_answer(self, answer: PromiseReply | AcceptReply, now: float) -> None:
        pending = self.pending_changes[0]
        before = pending.round
        pending.round = before.with_answer(answer)
        self.highest_round = max(self.highest_round, pending.round.highest_ballot[0])
        if pending.round.refused and not before.refused:
            # Another round conflicts: do not wait the full timeout for a partitioned acceptor to refuse, too.
            pending.expires_at = min(pending.expires_at, now + self.random.uniform(*REFUSED_ROUND_TIMEOUT_S))
        if pending.round.accept is None:
            return self._back_off(pending, now) if pending.round.is_lost else self._send_prepares(pending, now) if (
                pending.round.prepare_recipients - pending.prepare_sent_to) else None
        if before.accept is None:
            accept = pending.round.accept
            for name in sorted(pending.round.promised_by - {self.me}):
                self._send(name, ["accept", pending.number, accept.ballot, accept.value, accept.incarnations])
            if self.me in pending.round.promised_by:
                return self._vote(self.me, pending.number, accept, now)
        if pending.round.is_agreed:
            self.previous_round = (pending.number, pending.round)
            self.pending_changes.popleft()
            self._complete(pending, pending.round.accept, now)
            self._update_peers()
            self._archive_requests(pending.round.accept.value, now)
            self._run_first(now)
        elif pending.round.is_lost:
            self._back_off(pending, now)

    def _back_off(self, pending: PendingChange, now: float) -> None:
        """Guards against proposers that obstruct each other forever: a round takes two round trips."""
        pending.round, pending.expires_at = None, 0.0
        pending.not_before = now + self.random.uniform(*ROUND_BACKOFF_S) * 2 ** min(
            pending.conflicts, MAX_BACKOFF_DOUBLINGS)
        pending.conflicts += 1
        if pending.is_internal:
            # Keeps requests from waiting behind it.  An archiving change is dropped: the replica that agrees the
            # next change archives the requests.
            self.pending_changes.popleft()
            if not pending.change.digest:
                self.pending_changes.append(pending)

    def _complete(self, pending: PendingChange, accept: Accept | None, now: float) -> None:
        """Reports the outcome of a change; `accept` is None if the outcome is unknown."""
        if accept is not None:
            self._adopt(accept.ballot, accept.value, now)
            if accept.value["rev"] > self.announced_revision:
                self.announced_revision = accept.value["rev"]
                for peer in sorted(self.peers):
                    self._send(peer, ["learn", accept.ballot, accept.value])
            for token, _ in pending.read_tokens:
                self._send(REGISTRY, ["newest", token, accept.value])
        else:
            self.waiting_reads = pending.read_tokens + self.waiting_reads
        if pending.token is not None:
            outcome = pending.change.outcome
            status, reason = (outcome.status, outcome.reason) if accept is not None else (503, "no majority answers")
            self._send(REGISTRY, ["changed", pending.token, status, reason,
                                  accept.value if accept is not None else None])

    def _archive_requests(self, state: dict, now: float) -> None:
        """Moves the oldest requests of a full state into a segment, in a change of its own.

        The replica that agreed the full state does so.
        """
        state = idempotency.upgrade(state)
        is_under_way = any(pending.is_internal and pending.change.digest for pending in self.pending_changes)
        if is_under_way or (next_segment := idempotency.next_segment(state, self.content)) is None:
            return
        moved, replaces, data = next_segment
        segment = [moved[-1][0], digest_of(data)]
        self.pending_changes.append(PendingChange(
            archive_requests(moved, state["log"][-1:], segment, replaces), None, now, data))

    def _on_at(self, peer: str, now: float, rev: int) -> None:
        if self.state and self.state["rev"] > rev:
            self._send(peer, ["learn", self.state_ballot, self.state])

    def _on_learn(self, peer: str, now: float, ballot: list, value: dict) -> None:
        self.announced_revision = max(self.announced_revision, value["rev"])
        self._adopt(ballot_of(ballot), value, now)

    def _adopt(self, ballot: Ballot, state: dict, now: float) -> None:
        """Takes over a state that is known to be agreed, if it is newer."""
        self.highest_round = max(self.highest_round, ballot[0])     # a non-voter learns others' ballots only here
        if not self.state or state["rev"] > self.state["rev"]:
            if self.state and state["voters"].keys() != self.state["voters"].keys():
                self.actions.append(LogEvent("VOTERS", {"voters": ", ".join(sorted(state["voters"]))}))
            if not self.state or state["version"] != self.state["version"]:
                self.actions.append(LogEvent("DECIDED", {"version": state["version"], "rev": state["rev"]}))
            if self.state and state["evac"] != self.state["evac"]:
                self.actions.append(LogEvent("EVACUATED", {"zones": ", ".join(state["evac"]) or "none"}))
            if self.state:
                self.recent_contents.record_superseded(self.state, now)
            self.state, self.state_ballot = state, ballot
            if state["before"]:
                self.next_member_check_at = self.started_at     # the change of members is to be ended at once
            self._update_peers()
            self._send(REGISTRY, ["world", state])
        elif state["rev"] == self.state["rev"]:
            self.state_ballot = max(self.state_ballot, ballot)

    # Reads: linearizable, at least as new as any state agreed before the request

    def _on_read(self, peer: str, now: float, token: object) -> None:
        self.waiting_reads.append((token, now))
        self._begin_read(now)

    def _begin_read(self, now: float) -> None:
        if self.reading is not None or not self.waiting_reads or self.rejoin is not None and not self.peers:
            return
        if now < self.next_peek_at:
            return
        tokens, self.waiting_reads = self.waiting_reads, []
        self.last_number += 1
        groups = self.groups()
        voters = frozenset().union(*groups)
        # Saves bytes between regions: the nearest majority is asked first, the others only if that is not enough.
        # Voters without a connection come last: else each read would first wait for one that is down.
        nearest = frozenset((self.me,)) & voters
        for name in sorted(voters - nearest, key=lambda ip: (ip not in self.connected, self._distance(ip))):
            if not is_quorum(nearest, groups):
                nearest |= {name}
        self.reading = {"number": self.last_number, "tokens": tokens, "expires_at": now + READ_TIMEOUT_S,
                        "escalate_at": now + READ_ESCALATION_S, "answers": {}, "voters": voters, "asked": nearest,
                        "known_register": self._newest_register(),
                        "incarnations": dict(self._later_incarnations()),
                        "checksum": checksum(self._later_incarnations())}
        for name in sorted(nearest - {self.me}):
            self._send(name, self._peek_message())
        if self.me in voters and not self.disk_error:
            self._handle_peek_reply(self._handle(Peek(KEY)), now)

    def _newest_register(self) -> RegisterState:
        """The newest value known here, which answers may leave out; a non-voter has only learnt the agreed state."""
        register = self.acceptor.registers.get(KEY, RegisterState())
        return RegisterState(ZERO, self.state_ballot, self.state) if (
            self.state and self.state_ballot > register.accepted) else register

    def _distance(self, ip: str) -> tuple:
        """Sort key: machines in the same zone first, then those in the same region."""
        zones = {**self.state.get("ready", {}), **self.state.get("voters", {})}
        zone = zones.get(ip, "")
        return (zone != self.zone, self.regions.get(zone) != self.regions.get(self.zone), ip)

    def _peek_message(self) -> list:
        reading = self.reading
        return ["peek", reading["number"], reading["known_register"].accepted, reading["checksum"]]

    def _peek_remaining(self) -> None:
        """Asks the remaining voters."""
        reading = self.reading
        for name in sorted(reading["voters"] - reading["asked"] - {self.me}):
            self._send(name, self._peek_message())
        reading["asked"] = reading["voters"]

    def _on_peeked(self, peer: str, now: float, number: int, name: str, incarnation: int, ok: bool, promised: list,
                   accepted: list, incarnations: list, value: object) -> None:
        if self.reading is None or self.reading["number"] != number:
            return
        self._update_incarnations(incarnations)
        register = self.reading["known_register"]
        value = register.value if ballot_of(accepted) == register.accepted else value
        self._handle_peek_reply(
            PromiseReply(name, incarnation, ok, ballot_of(promised), ballot_of(accepted), value), now)

    def _update_incarnations(self, incarnations: Iterable[tuple[str, int]]) -> None:
        """Guards reads against lost votes: no acceptor may hold any more what one held in a former incarnation.

        If a majority that includes such a vote holds a value alike, another acceptor of that majority accepted the
        value after it had learnt of the new incarnation; so its answer names that incarnation.
        """
        newest, answers = self.reading["incarnations"], self.reading["answers"]
        for name, incarnation in incarnations:
            newest[name] = self.known_incarnations[name] = max(
                incarnation, newest.get(name, 0), self.known_incarnations.get(name, 0))
            if name in answers and answers[name].incarnation < newest[name]:
                del answers[name]

    def _handle_peek_reply(self, reply: PromiseReply, now: float) -> None:
        reading = self.reading
        answers = reading["answers"]
        if reply.incarnation < reading["incarnations"].get(reply.name, 0):
            return
        answers[reply.name] = reply
        newest = max((answer for answer in answers.values() if answer.ok and answer.value),
                     key=lambda answer: answer.accepted, default=None)
        if newest is None:
            return
        if newest.value["rev"] > max(self.unconfirmed_state.get("rev", -1), self.state.get("rev", -1)):
            self.unconfirmed_state = newest.value
            self._update_peers()
        matching = frozenset(answer.name for answer in answers.values()
                             if answer.ok and answer.accepted == newest.accepted)
        groups = groups_of(newest.value)
        if is_quorum(matching, groups):
            self.reading, self.unmatched_peeks = None, 0
            self._adopt(newest.accepted, newest.value, now)
            for token, _ in reading["tokens"]:
                self._send(REGISTRY, ["newest", token, newest.value])
            return self._begin_read(now)
        voting = frozenset(answer.name for answer in answers.values() if answer.ok)
        if reading["asked"] != reading["voters"] and reading["asked"] <= answers.keys():
            return self._peek_remaining()
        if all(reading["voters"] & group <= answers.keys() for group in groups) and is_quorum(voting, groups):
            # All answered, and no majority holds the same value: a change is under way.  Usually its own round
            # ends it.
            self.unmatched_peeks += 1
            if self.unmatched_peeks >= MAX_PEEKS and (
                    self.random.random() < EXPECTED_REPAIRERS / max(1, len(self.peers))):
                return self._read_by_round(now)
            self.waiting_reads, self.reading = reading["tokens"] + self.waiting_reads, None
            self.next_peek_at = now + PEEK_RETRY_S

    def _read_by_round(self, now: float) -> None:
        reading, self.reading, self.unmatched_peeks = self.reading, None, 0
        self._add_change(PendingChange(no_change(), None, now, read_tokens=reading["tokens"]), now)
        self._begin_read(now)
