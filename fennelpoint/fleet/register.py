"""One register per key, replicated among acceptors without a log or a leader (CASPaxos, Rystsov 2018).

The module is pure and keeps no state: an acceptor is a frozen value and each message yields a new one, so that the
model checker of the tests explores the very code that serves.  Messages are tuples of plain values, for the wire.
A ballot is (round number, proposer).

Beyond the paper: an acceptor that lost its file comes back with a new *incarnation* and without a vote.  Votes are
bound to incarnations: an accept names the incarnations that promised it, and an acceptor that knows of a newer
incarnation refuses it, so that neither a promise nor a vote of a lost incarnation counts.  See
docs/design/fleet-record.md.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

Ballot = tuple[int, str]
ZERO: Ballot = (0, "")


def ballot_of(value: object) -> Ballot:
    """Validates a ballot received from the network; raises ValueError or TypeError."""
    number, name = value
    if type(number) is not int or not isinstance(name, str) or not 0 <= number < 1 << 62:
        raise ValueError("not a ballot: expected (round number from 0 to 2^62 - 1, proposer name)")
    return number, name


@dataclass(frozen=True, slots=True)
class RegisterState:
    """An acceptor's state for one key."""

    promised: Ballot = ZERO
    accepted: Ballot = ZERO
    value: object = None


@dataclass(frozen=True, slots=True)
class Acceptor:
    """The whole state of one acceptor; a change must be on disk before any answer reveals it."""

    name: str
    incarnation: int        # 0: no state yet
    can_vote: bool          # false after a loss of state, until the acceptor has caught up
    incarnations: Mapping[str, int]     # the newest known incarnation of each other acceptor
    registers: Mapping[str, RegisterState]   # by key


# Messages to an acceptor

@dataclass(frozen=True, slots=True)
class Peek:
    """Asks for the accepted value; changes nothing."""

    key: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks for a promise to refuse lower ballots, and for the accepted value."""

    key: str
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks to accept a value under a ballot that a quorum has promised."""

    key: str
    ballot: Ballot
    value: object
    incarnations: tuple[tuple[str, int], ...]   # of the acceptors that promised


@dataclass(frozen=True, slots=True)
class RejoinRequest:
    """An acceptor that lost its state announces its new incarnation and asks for all state; 0 only asks."""

    name: str
    incarnation: int


# Answers

@dataclass(frozen=True, slots=True)
class PromiseReply:
    """Answer to Peek and Prepare: the accepted value; `ok` says whether the acceptor promised (Peek: may vote)."""

    name: str
    incarnation: int
    ok: bool
    promised: Ballot
    accepted: Ballot
    value: object = None


@dataclass(frozen=True, slots=True)
class AcceptReply:
    """Answer to Accept; `promised` is the acceptor's highest ballot, which a refused proposer must exceed."""

    name: str
    incarnation: int
    ok: bool
    promised: Ballot


@dataclass(frozen=True, slots=True)
class RejoinReply:
    """Answer to RejoinRequest: the known incarnations and every register."""

    name: str
    can_vote: bool
    incarnations: tuple[tuple[str, int], ...]
    registers: tuple[tuple[str, RegisterState], ...]


Message = Peek | Prepare | Accept | RejoinRequest
Answer = PromiseReply | AcceptReply | RejoinReply


def handle(acceptor: Acceptor, message: Message) -> tuple[Acceptor, Answer]:
    """Returns the acceptor after the message, the same object if nothing changed, and its answer."""
    if isinstance(message, RejoinRequest):
        if message.incarnation > acceptor.incarnations.get(message.name, 0):
            acceptor = replace(acceptor, incarnations={**acceptor.incarnations, message.name: message.incarnation})
        return acceptor, RejoinReply(acceptor.name, acceptor.can_vote, tuple(sorted(acceptor.incarnations.items())),
                                     tuple(sorted(acceptor.registers.items())))
    register = acceptor.registers.get(message.key, RegisterState())
    if isinstance(message, Peek):
        return acceptor, PromiseReply(acceptor.name, acceptor.incarnation, acceptor.can_vote, register.promised,
                                      register.accepted, register.value)
    if isinstance(message, Prepare):
        ok = acceptor.can_vote and message.ballot > register.promised
        if ok:
            register = replace(register, promised=message.ballot)
            acceptor = replace(acceptor, registers={**acceptor.registers, message.key: register})
        return acceptor, PromiseReply(acceptor.name, acceptor.incarnation, ok, register.promised,
                                      register.accepted, register.value)
    is_outdated = any(incarnation < acceptor.incarnations.get(name, 0)
                      for name, incarnation in message.incarnations if name != acceptor.name)
    is_named = (acceptor.name, acceptor.incarnation) in message.incarnations
    ok = acceptor.can_vote and is_named and not is_outdated and message.ballot >= register.promised
    if ok:
        register = RegisterState(message.ballot, message.ballot, message.value)
        acceptor = replace(acceptor, registers={**acceptor.registers, message.key: register})
    return acceptor, AcceptReply(acceptor.name, acceptor.incarnation, ok, register.promised)


def majority(acceptors: int) -> int:
    """The size of the smallest majority of this many acceptors."""
    return acceptors // 2 + 1


Groups = tuple[frozenset[str], ...]     # sets of acceptor names; a quorum is a majority of each set


def is_quorum(names: frozenset[str], groups: Groups) -> bool:
    """Whether these names include a majority of each group."""
    return all(len(names & group) >= majority(len(group)) for group in groups)


@dataclass(frozen=True, slots=True)
class Round:
    """One proposer's round for a key: prepare, change, accept.  Each answer yields a new round.

    `change` maps the current value to the next; returning the same value makes the round a read.
    """

    key: str
    ballot: Ballot
    change: Callable[[object], object]
    acceptor_count: int
    promises: tuple[PromiseReply, ...] = ()
    accept: Accept | None = None    # set once a quorum has promised
    votes: frozenset[str] = frozenset()
    refused: frozenset[str] = frozenset()
    highest_ballot: Ballot = ZERO   # seen in refusals: the next round must be above it
    is_unread: bool = False         # the change itself could not be computed
    groups: Groups = ()         # with changing members: the groups known so far; none: `acceptor_count` acceptors
    groups_of: Callable[[object], Groups] | None = None     # the groups whose majorities a value needs

    def _is_quorum(self, names: frozenset[str]) -> bool:
        return (len(names) >= majority(self.acceptor_count) if self.groups_of is None
                else is_quorum(names, self.groups))

    @property
    def prepare_recipients(self) -> frozenset[str]:
        """Recipients of the prepare, with changing members."""
        return frozenset().union(*self.groups)

    @property
    def prepare(self) -> Prepare:
        """The message that begins the round."""
        return Prepare(self.key, self.ballot)

    @property
    def is_agreed(self) -> bool:
        """Whether a quorum has accepted the value."""
        return self._is_quorum(self.votes) and self.accept is not None

    @property
    def is_lost(self) -> bool:
        """Whether this round can no longer reach a majority."""
        if self.is_agreed:
            return False
        if self.groups_of is None:
            return len(self.refused) > self.acceptor_count - majority(self.acceptor_count)
        return any(len(self.refused & group) > len(group) - majority(len(group)) for group in self.groups)

    @property
    def promised_by(self) -> frozenset[str]:
        """Recipients of the accept: the acceptors that promised, since it names their incarnations."""
        return frozenset(promise.name for promise in self.promises)

    def with_answer(self, answer: Answer) -> Round:
        """The round after an answer to its prepare or accept; late and duplicate answers change nothing."""
        if answer.name in self.refused:
            return self
        if not answer.ok:
            if isinstance(answer, PromiseReply) and self.accept is not None:
                return self     # a late refusal to promise: the accept does not need that promise
            return replace(self, refused=self.refused | {answer.name},
                           highest_ballot=max(self.highest_ballot, answer.promised))
        if isinstance(answer, PromiseReply):
            if self.accept is not None or answer.promised != self.ballot or answer.name in self.promised_by:
                return self
            updated = replace(self, promises=(*self.promises, answer))
            if not updated._is_quorum(updated.promised_by):
                return updated
            newest = max(updated.promises, key=lambda promise: promise.accepted)
            if self.groups_of is not None and newest.value is None:
                # Guards against a second founding: with changing members, all recipients may be new, and a
                # majority of them without a value proves nothing.
                return updated
            value = self.change(newest.value)
            if self.groups_of is not None:
                # Guards a change of members: the current value and the proposed one each name their own groups,
                # so a proposer with an outdated member list finds out here.
                groups = (*self.groups, *self.groups_of(newest.value), *self.groups_of(value))
                updated = replace(updated, groups=tuple(dict.fromkeys(groups)))
                if not updated._is_quorum(updated.promised_by):
                    return updated
            incarnations = tuple(sorted((promise.name, promise.incarnation) for promise in updated.promises))
            return replace(updated, accept=Accept(self.key, self.ballot, value, incarnations))
        if self.accept is None or answer.promised != self.ballot or (
                (answer.name, answer.incarnation) not in self.accept.incarnations):
            return self
        return replace(self, votes=self.votes | {answer.name})


def majority_value(answers: Mapping[str, PromiseReply], acceptors: int) -> PromiseReply | None:
    """An answer that a majority gives alike: its value is at least as new as any agreed before the first request.

    Only answers of voting acceptors count.  None if a round has to decide.
    """
    voting = [answer for answer in answers.values() if answer.ok]
    for answer in voting:
        if sum(other.accepted == answer.accepted for other in voting) >= majority(acceptors):
            return answer
    return None


@dataclass(frozen=True, slots=True)
class Rejoin:
    """How an acceptor that lost its file regains its vote: an unused incarnation, and the state of the others.

    It needs replies from as many others as form a majority without it, so that every value ever agreed, even by a
    majority that included its lost incarnation, is among the replies.  With changing members, the values in the
    replies name them: each change of members is agreed with a majority of the members before it, so that an
    outdated list leads to the newer one.
    """

    name: str
    acceptor_count: int
    discovery_replies: Mapping[str, RejoinReply]    # to the request with incarnation 0
    incarnation: int = 0
    state_replies: Mapping[str, RejoinReply] | None = None  # to the request with the new incarnation
    groups: Groups = ()         # with changing members: the groups known in advance
    groups_of: Callable[[object], Groups] | None = None

    def _is_enough(self, replies: Mapping[str, RejoinReply]) -> bool:
        if self.groups_of is None:
            return len(replies) >= majority(self.acceptor_count)
        registers = [register for reply in replies.values() for _, register in reply.registers]
        newest = max(registers, key=lambda register: register.accepted, default=RegisterState())
        if newest.value is None:
            return False    # every voter of a founded core has a value: the members to ask are not known yet
        for group in (*self.groups, *self.groups_of(newest.value)):
            # A majority may have included its own lost vote and thus one fewer of the others: one more must reply.
            if len(group & replies.keys() - {self.name}) < majority(len(group)):
                return False
        return True

    @property
    def request(self) -> RejoinRequest:
        """The request to send to the others in the current phase."""
        return RejoinRequest(self.name, self.incarnation)

    def with_reply(self, reply: RejoinReply) -> Rejoin:
        """The state after a reply; replies of acceptors without a vote and duplicates change nothing."""
        if not reply.can_vote or reply.name == self.name:
            return self     # another acceptor that lost its state
        if self.state_replies is not None:
            is_current = dict(reply.incarnations).get(self.name, 0) == self.incarnation
            return replace(self, state_replies={**self.state_replies, reply.name: reply}) if is_current else self
        updated = replace(self, discovery_replies={**self.discovery_replies, reply.name: reply})
        if not self._is_enough(updated.discovery_replies):
            return updated
        # Every acceptor's first incarnation is 1, which it announces to no other acceptor.
        newest = max(dict(known.incarnations).get(self.name, 1) for known in updated.discovery_replies.values())
        return replace(updated, incarnation=newest + 1, state_replies={})

    @property
    def acceptor(self) -> Acceptor | None:
        """The acceptor with its vote restored; None until enough others have replied."""
        if self.state_replies is None or not self._is_enough(self.state_replies):
            return None
        registers: dict[str, RegisterState] = {}
        incarnations: dict[str, int] = {}
        for reply in self.state_replies.values():
            for name, incarnation in reply.incarnations:
                incarnations[name] = max(incarnation, incarnations.get(name, 0))
            for key, register in reply.registers:
                old = registers.get(key, RegisterState())
                newest = max(old, register, key=lambda candidate: candidate.accepted)
                registers[key] = RegisterState(max(old.promised, register.promised), newest.accepted, newest.value)
        incarnations.pop(self.name, None)
        return Acceptor(self.name, self.incarnation, True, incarnations, registers)


# Values with revisions

MAX_REMEMBERED_IDS = 64     # ids of the latest changes, kept in the value


@dataclass(frozen=True, slots=True)
class Change:
    """A compare-and-set: replaces the data of revision `expected_revision`, once, however often it is retried."""

    expected_revision: int
    data: object
    id: str

    def __call__(self, value: object) -> object:
        """The next value {rev, data, ids}; unchanged if the change was made already or its revision has passed."""
        value = value or {"rev": 0, "data": None, "ids": []}
        if any(made == self.id for made, _ in value["ids"]) or value["rev"] != self.expected_revision:
            return value
        rev = value["rev"] + 1
        return {"rev": rev, "data": self.data, "ids": [*value["ids"], [self.id, rev]][-MAX_REMEMBERED_IDS:]}

    def made_revision(self, value: object) -> int | None:
        """The revision that this change made, according to the current value; None if another came first."""
        return next((rev for made, rev in (value or {"ids": []})["ids"] if made == self.id), None)


def no_change(value: object) -> object:
    """The change of a round that only reads."""
    return value
