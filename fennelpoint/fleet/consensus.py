"""The replicated register that stores the fleet's state, and its embedded implementation.

Other modules depend on the `Register` protocol only.  `EmbeddedRegister` runs the algorithm of `register.py` among
the coordinators (keepers): it sends the messages and persists each promise and vote before it answers.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from fennelpoint.fleet.register import (
    ZERO,
    Accept,
    Acceptor,
    AcceptReply,
    Answer,
    Change,
    Message,
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
    majority,
    majority_value,
    no_change,
)
from fennelpoint.fleet.rpc import CallFailed, RpcClient
from fennelpoint.fleet.store import Store
from fennelpoint.rate_limited_log import log

CALL_TIMEOUT_S = 0.5        # for an acceptor to answer a message
MAX_ROUNDS = 12             # attempts per change
MAX_VALUE_BYTES = 256 * 1024    # of a value as JSON


@dataclass(frozen=True, slots=True)
class VersionedValue:
    """The value of a key at a revision; revision 0 means that the key has no value yet."""

    revision: int
    data: object
    change_ids: frozenset[str] = frozenset()   # of the latest changes that led to this value


class UnknownOutcome(CallFailed):
    """The outcome of a change is unknown: retry it with the same change id."""


class Register(Protocol):
    """Small values by key, each changed by compare-and-set on its revision; reads and changes are linearizable."""

    async def read(self, key: str) -> VersionedValue:
        """Returns the newest value agreed before this call; raises CallFailed if it cannot be determined."""

    async def change(self, key: str, expected_revision: int, data: object, change_id: str) -> int | None:
        """Applies a compare-and-set, at most once per change id, however often it is retried.

        Returns the revision that it made, now or in an earlier attempt with this id, or None if another change came
        first.  Raises UnknownOutcome if the change may or may not have been made.
        """

    def read_local(self, key: str) -> VersionedValue:
        """Returns the locally known value, which may be outdated."""


# Conversion of messages to and from JSON

def encode_answer(answer: Answer) -> dict:
    """Converts an answer to the JSON object that is sent."""
    if isinstance(answer, PromiseReply):
        return {"seen": [answer.name, answer.incarnation, answer.ok, answer.promised, answer.accepted, answer.value]}
    if isinstance(answer, AcceptReply):
        return {"voted": [answer.name, answer.incarnation, answer.ok, answer.promised]}
    return {"known": [answer.name, answer.can_vote, answer.incarnations,
                      [[key, [c.promised, c.accepted, c.value]] for key, c in answer.registers]]}


def decode_answer(fields: Mapping) -> Answer:
    """Converts a received JSON object to an answer; raises ValueError, TypeError or KeyError if it is invalid."""
    if "seen" in fields:
        name, incarnation, ok, promised, accepted, value = fields["seen"]
        return PromiseReply(name, incarnation, ok, ballot_of(promised), ballot_of(accepted), value)
    if "voted" in fields:
        name, incarnation, ok, promised = fields["voted"]
        return AcceptReply(name, incarnation, ok, ballot_of(promised))
    name, can_vote, incarnations, registers = fields["known"]
    return RejoinReply(
        name, can_vote, tuple((other, int(incarnation)) for other, incarnation in incarnations),
        tuple((key, RegisterState(ballot_of(promised), ballot_of(accepted), value))
              for key, (promised, accepted, value) in registers))


def encode_message(message: Message) -> dict:
    """Converts a message to the fields of a call."""
    match message:
        case Peek():
            return {"do": "peek", "key": message.key}
        case Prepare():
            return {"do": "prepare", "key": message.key, "ballot": message.ballot}
        case Accept():
            return {"do": "accept", "key": message.key, "ballot": message.ballot, "value": message.value,
                    "lives": message.incarnations}
        case RejoinRequest():
            return {"do": "hello", "name": message.name, "life": message.incarnation}


def decode_message(call: Mapping) -> Message | None:
    """Returns the message that a call carries, or None if the call is not a message between acceptors."""
    match call["do"]:
        case "peek":
            return Peek(str(call["key"]))
        case "prepare":
            return Prepare(str(call["key"]), ballot_of(call["ballot"]))
        case "accept":
            return Accept(str(call["key"]), ballot_of(call["ballot"]), call["value"],
                          tuple((str(name), int(incarnation)) for name, incarnation in call["lives"]))
        case "hello":
            return RejoinRequest(str(call["name"]), int(call["life"]))
    return None


class EmbeddedRegister:
    """One acceptor and proposer among the coordinators of a fleet."""

    def __init__(self, store: Store, peers: Mapping[str, tuple[str, int]]) -> None:
        """`peers` maps the names of the other acceptors to their addresses."""
        self.store, self.name = store, store.name
        self.connections = {name: RpcClient(*address) for name, address in peers.items()}
        self.acceptor_count = 1 + len(peers)
        self.proposer = f"{self.name}.{secrets.token_hex(4)}"
        self.round_number = 0
        # Serializes local changes: concurrent rounds of one proposer would outbid each other.
        self.change_lock = asyncio.Lock()

    @property
    def can_vote(self) -> bool:
        """Whether this acceptor may vote."""
        return self.store.acceptor.can_vote

    def handle_message(self, message: Message) -> Answer:
        """Handles a message of any proposer, including the local one.

        The new state is on disk before this returns.
        """
        acceptor, answer = handle(self.store.acceptor, message)
        self.store.save(acceptor, getattr(message, "key", None))
        return answer

    async def _request(self, name: str, message: Message) -> Answer | None:
        """Sends a message to one acceptor; returns None if it does not answer validly."""
        if name == self.name:
            return self.handle_message(message)
        fields = encode_message(message)
        try:
            return decode_answer(await self.connections[name].call(fields.pop("do"), CALL_TIMEOUT_S, **fields))
        except (CallFailed, ValueError, TypeError, KeyError):
            return None

    async def _broadcast(self, names: list[str], message: Message, on_answer: Callable[[Answer], bool]) -> None:
        """Sends a message to all names; returns once `on_answer` returns true, or when every request has ended."""
        tasks = [asyncio.ensure_future(self._request(name, message)) for name in names]
        try:
            for task in asyncio.as_completed(tasks):
                answer = await task
                if answer is not None and on_answer(answer):
                    return
        finally:
            for task in tasks:      # the rest are left to finish: cancelling one would break its connection
                task.add_done_callback(lambda task: task.cancelled() or task.exception())

    @property
    def acceptor_names(self) -> list[str]:
        """The names of all acceptors, the local one first."""
        return [self.name, *self.connections]

    async def read(self, key: str) -> VersionedValue:
        """Returns the newest agreed value, by one round trip if a majority answers alike, else by a round."""
        answers: dict[str, PromiseReply] = {}
        agreed_answers: list[PromiseReply] = []

        def on_answer(answer: Answer) -> bool:
            answers[answer.name] = answer
            if (agreed := majority_value(answers, self.acceptor_count)) is not None:
                agreed_answers.append(agreed)
            return bool(agreed_answers)

        await self._broadcast(self.acceptor_names, Peek(key), on_answer)
        if agreed_answers:
            return _versioned_value(agreed_answers[0].value)
        if sum(answer.ok for answer in answers.values()) < majority(self.acceptor_count):
            raise CallFailed(f"keeper {self.name} gets no answer from a majority of {self.acceptor_count} "
                             "voting keepers")
        async with self.change_lock:
            return _versioned_value(await self._run_rounds(key, no_change))

    async def change(self, key: str, expected_revision: int, data: object, change_id: str) -> int | None:
        """See `Register.change`."""
        change = Change(expected_revision, data, change_id)
        async with self.change_lock:
            return change.made_revision(await self._run_rounds(key, change))

    async def _run_rounds(self, key: str, change: Callable[[object], object]) -> object:
        """Runs rounds until one succeeds and returns the agreed value; raises UnknownOutcome if none does."""
        for attempt in range(MAX_ROUNDS):
            self.round_number += 1
            first = Round(key, (self.round_number, self.proposer), change, self.acceptor_count)
            current = [first]

            def on_answer(answer: Answer, current: list[Round] = current) -> bool:
                current[0] = current[0].with_answer(answer)
                return current[0].accept is not None or current[0].is_lost

            await self._broadcast(self.acceptor_names, first.prepare, on_answer)
            if current[0].accept is not None:
                await self._broadcast(
                    sorted(current[0].promised_by), current[0].accept, lambda answer, current=current: (
                        current.__setitem__(0, current[0].with_answer(answer))
                        or current[0].is_agreed or current[0].is_lost))
                if current[0].is_agreed:
                    return current[0].accept.value
            self.round_number = max(self.round_number, current[0].highest_ballot[0])
            await asyncio.sleep(random.uniform(0.0, 0.02 * 2 ** min(attempt, 5)))
        raise UnknownOutcome(f"keeper {self.name} completed no round in {MAX_ROUNDS} attempts")

    def read_local(self, key: str) -> VersionedValue:
        """Returns this acceptor's own value, which may be outdated or not agreed."""
        register = self.store.acceptor.registers.get(key)
        return _versioned_value(register.value if register is not None else None)

    # Founding and rejoining

    async def found_record(self) -> str:
        """Founds a new record: requires that every acceptor answers and that none has accepted a value.

        Returns the reason why it is not possible yet, or an empty string on success.
        """
        if self.store.acceptor.incarnation:
            return ""
        replies: dict[str, RejoinReply] = {}
        await self._broadcast(list(self.connections), RejoinRequest(self.name, 0),
                              lambda reply: replies.setdefault(reply.name, reply) is None)
        if any(register.accepted > ZERO for reply in replies.values() for _, register in reply.registers):
            return await self.rejoin()      # a record exists: this acceptor missed its founding
        if missing := sorted(set(self.connections) - set(replies)):
            return f"{', '.join(missing)} did not answer: cannot rule out that a record exists"
        self.store.replace_state(Acceptor(self.name, 1, True, {}, {}))
        return ""

    async def rejoin(self) -> str:
        """Restores the vote under an unused incarnation, with the state of the other acceptors.

        Returns the reason why it is not possible yet, or an empty string on success.
        """
        state = Rejoin(self.name, self.acceptor_count, {})
        for _ in range(2):
            current = [state]
            request = current[0].request

            def on_answer(answer: Answer, current: list[Rejoin] = current, request: RejoinRequest = request) -> bool:
                current[0] = current[0].with_reply(answer)
                return current[0].request != request or current[0].acceptor is not None

            await self._broadcast(list(self.connections), state.request, on_answer)
            state = current[0]
        if (acceptor := state.acceptor) is None:
            return (f"it needs {majority(self.acceptor_count)} other voting keepers, "
                    f"and {len(state.discovery_replies)} answered")
        self.store.replace_state(acceptor)
        log.warning("keeper %s has caught up and votes again, with incarnation %d", self.name, acceptor.incarnation)
        return ""

    def close(self) -> None:
        """Closes the connections to the other acceptors."""
        for connection in self.connections.values():
            connection.close()


def _versioned_value(value: object) -> VersionedValue:
    if not value:
        return VersionedValue(0, None)
    return VersionedValue(value["rev"], value["data"], frozenset(change_id for change_id, _ in value["ids"]))
