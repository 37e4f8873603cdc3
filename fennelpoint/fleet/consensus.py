"""The seam by which the fleet's state is agreed, and the embedded keepers behind it.

`Register` is all that the rest goes by.  `EmbeddedRegister` carries out what `register.py` decides: messages to
the other keepers, each vote on disk before it is told.
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

WAIT = 0.5          # s for a keeper to answer a message
ROUNDS = 12         # tries of a change
MOST_VALUE = 256 * 1024     # bytes of a value as JSON


@dataclass(frozen=True, slots=True)
class Held:
    """A key's value; revision 0 is none yet."""

    revision: int
    data: object
    ids: frozenset[str] = frozenset()   # of the changes that made it, the last ones


class Unknown(CallFailed):
    """Whether a change was made is not known: try it again under its id."""


class Register(Protocol):
    """Small keyed values, each changed by compare-and-set on its revision, in one order that all see."""

    async def read(self, key: str) -> Held:
        """The newest value there was when this was called; raises CallFailed where that can't be told."""

    async def change(self, key: str, expect: int, data: object, change_id: str) -> int | None:
        """The revision it made, or made before under that id; none where another came first.

        Raises Unknown where it may have been made."""

    def glance(self, key: str) -> Held:
        """What is at hand, which may be old."""


# Messages as JSON and back

def encode_answer(answer: Answer) -> dict:
    if isinstance(answer, PromiseReply):
        return {"seen": [answer.name, answer.incarnation, answer.ok, answer.promised, answer.accepted, answer.value]}
    if isinstance(answer, AcceptReply):
        return {"voted": [answer.name, answer.incarnation, answer.ok, answer.promised]}
    return {"known": [answer.name, answer.can_vote, answer.incarnations,
                      [[key, [c.promised, c.accepted, c.value]] for key, c in answer.registers]]}


def decode_answer(value: Mapping) -> Answer:
    """Raises ValueError, TypeError or KeyError where it is none."""
    if "seen" in value:
        name, life, ok, promised, accepted, held = value["seen"]
        return PromiseReply(name, life, ok, ballot_of(promised), ballot_of(accepted), held)
    if "voted" in value:
        name, life, ok, promised = value["voted"]
        return AcceptReply(name, life, ok, ballot_of(promised))
    name, votes, lives, cells = value["known"]
    return RejoinReply(name, votes, tuple((n, int(life)) for n, life in lives),
                       tuple((key, RegisterState(ballot_of(p), ballot_of(a), held)) for key, (p, a, held) in cells))


def encode_message(message: Message) -> dict:
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
    """The message that a call is; none where it is no message between keepers."""
    match call["do"]:
        case "peek":
            return Peek(str(call["key"]))
        case "prepare":
            return Prepare(str(call["key"]), ballot_of(call["ballot"]))
        case "accept":
            return Accept(str(call["key"]), ballot_of(call["ballot"]), call["value"],
                          tuple((str(name), int(life)) for name, life in call["lives"]))
        case "hello":
            return RejoinRequest(str(call["name"]), int(call["life"]))
    return None


class EmbeddedRegister:
    """One keeper among those of its fleet."""

    def __init__(self, store: Store, peers: Mapping[str, tuple[str, int]]) -> None:
        """`peers` are the other keepers."""
        self.store, self.name = store, store.name
        self.lines = {name: RpcClient(*address) for name, address in peers.items()}
        self.keepers = 1 + len(peers)
        self.proposer = f"{self.name}.{secrets.token_hex(4)}"
        self.round = 0
        self.turn = asyncio.Lock()      # our own changes one after the other: they would only outbid each other

    @property
    def votes(self) -> bool:
        return self.store.keeper.can_vote

    def answer(self, message: Message) -> Answer:
        """A message of another keeper, or our own to ourselves; on disk before it is told."""
        keeper, answer = handle(self.store.keeper, message)
        self.store.keep(keeper, getattr(message, "key", None))
        return answer

    async def _ask(self, name: str, message: Message) -> Answer | None:
        if name == self.name:
            return self.answer(message)
        fields = encode_message(message)
        try:
            return decode_answer(await self.lines[name].call(fields.pop("do"), WAIT, **fields))
        except (CallFailed, ValueError, TypeError, KeyError):
            return None

    async def _gather(self, names: list[str], message: Message, take: Callable[[Answer], bool]) -> None:
        """Ask them all; ends when `take` says that it has enough, or all have answered or can't."""
        tasks = [asyncio.ensure_future(self._ask(name, message)) for name in names]
        try:
            for task in asyncio.as_completed(tasks):
                answer = await task
                if answer is not None and take(answer):
                    return
        finally:
            for task in tasks:      # those that are still out end by themselves: cancelled, a line would break
                task.add_done_callback(lambda task: task.cancelled() or task.exception())

    @property
    def names(self) -> list[str]:
        return [self.name, *self.lines]

    async def read(self, key: str) -> Held:
        seen: dict[str, PromiseReply] = {}
        found: list[PromiseReply] = []

        def take(answer: Answer) -> bool:
            seen[answer.name] = answer
            if (one := majority_value(seen, self.keepers)) is not None:
                found.append(one)
            return bool(found)

        await self._gather(self.names, Peek(key), take)
        if found:
            return _held(found[0].value)
        if sum(answer.ok for answer in seen.values()) < majority(self.keepers):
            raise CallFailed(f"keeper {self.name} does not hear a majority of {self.keepers} keepers that vote")
        async with self.turn:
            return _held(await self._agree(key, no_change))

    async def change(self, key: str, expect: int, data: object, change_id: str) -> int | None:
        change = Change(expect, data, change_id)
        async with self.turn:
            return change.made_revision(await self._agree(key, change))

    async def _agree(self, key: str, change: Callable[[object], object]) -> object:
        """What is held once a round went through; raises Unknown where none did."""
        for attempt in range(ROUNDS):
            self.round += 1
            state = Round(key, (self.round, self.proposer), change, self.keepers)
            box = [state]

            def take(answer: Answer, box: list[Round] = box) -> bool:
                box[0] = box[0].with_answer(answer)
                return box[0].accept is not None or box[0].is_lost

            await self._gather(self.names, state.prepare, take)
            if box[0].accept is not None:
                await self._gather(sorted(box[0].promised_by), box[0].accept, lambda answer, box=box: (
                    box.__setitem__(0, box[0].with_answer(answer)) or box[0].is_agreed or box[0].is_lost))
                if box[0].is_agreed:
                    return box[0].accept.value
            self.round = max(self.round, box[0].highest_ballot[0])
            await asyncio.sleep(random.uniform(0.0, 0.02 * 2 ** min(attempt, 5)))
        raise Unknown(f"keeper {self.name} got no round through in {ROUNDS} tries")

    def glance(self, key: str) -> Held:
        cell = self.store.keeper.registers.get(key)
        return _held(cell.value if cell is not None else None)

    # Beginnings

    async def found(self) -> str:
        """Begin a record that was never there: every keeper has to be here, and none may hold anything.

        Why that can't be; empty once it is done."""
        if self.store.keeper.incarnation:
            return ""
        heard: dict[str, RejoinReply] = {}
        await self._gather(list(self.lines), RejoinRequest(self.name, 0),
                           lambda a: heard.setdefault(a.name, a) is None)
        if any(cell.accepted > ZERO for known in heard.values() for _, cell in known.registers):
            return await self.rejoin()      # there is one: this one only missed its beginning
        if missing := sorted(set(self.lines) - set(heard)):
            return f"{', '.join(missing)} can't be asked whether there is a record"
        self.store.begin(Acceptor(self.name, 1, True, {}, {}))
        return ""

    async def rejoin(self) -> str:
        """Catch up with the others, with a life that was never used; why that can't be yet, or empty."""
        state = Rejoin(self.name, self.keepers, {})
        for _ in range(2):
            box = [state]
            before = box[0].request

            def take(answer: Answer, box: list[Rejoin] = box, before: RejoinRequest = before) -> bool:
                box[0] = box[0].with_reply(answer)
                return box[0].request != before or box[0].acceptor is not None

            await self._gather(list(self.lines), state.request, take)
            state = box[0]
        if (keeper := state.acceptor) is None:
            return (f"it takes {majority(self.keepers)} other keepers that vote, "
                    f"and {len(state.discovery_replies)} answer")
        self.store.begin(keeper)
        log.warning("keeper %s has caught up and votes again, in life %d", self.name, keeper.incarnation)
        return ""

    def close(self) -> None:
        for line in self.lines.values():
            line.close()


def _held(value: object) -> Held:
    if not value:
        return Held(0, None)
    return Held(value["rev"], value["data"], frozenset(made for made, _ in value["ids"]))
