"""Model checker of the register: explores every loss, duplication and delay of messages.

The states consist of the values of the real state machine (`fleet/register.py`). The network is a set to which
messages to acceptors are added and from which none is removed: each may be delivered at any time, repeatedly, or
never. A reply is delivered at once or never: a late one is equivalent to a proposer whose next messages are late.
Refusals only end rounds early and are left out. A proposer may stop at any point, as its messages may never be
delivered; an acceptor may lose all its state and rejoin.

With changes of membership, a value also refers to a content. An acceptor obtains the content of the value that it is
to accept in the same step, from the proposer or from any acceptor that has it, so that as few acceptors as possible
have it. An acceptor that no agreed membership names any more may be removed for good, with all that it stores.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import combinations

from fennelpoint.fleet.register import (
    Accept,
    Acceptor,
    Answer,
    Groups,
    RegisterState,
    Rejoin,
    RejoinReply,
    Round,
    handle,
    is_quorum,
    majority,
)

KEY = "x"


@dataclass(frozen=True)
class Append:
    """A change that appends its id to the value, once."""

    id: str

    def __call__(self, contents: object) -> object:
        contents = contents or ()
        return contents if self.id in contents else (*contents, self.id)


@dataclass(frozen=True)
class MembershipValue:
    """A value that names its voters, the previous voters during a change, and the ids of its changes."""

    members: frozenset[str]
    before: frozenset[str]
    ids: tuple[str, ...]
    content: str = ""


def joint(value: MembershipValue | None) -> Groups:
    """The groups of which a value needs a majority each: the voters and, during a change, the previous ones."""
    return tuple(g for g in (value.members, value.before) if g) if value is not None else ()


@dataclass(frozen=True)
class MembershipChange:
    """A change that names other voters, or only appends its id."""

    id: str
    members: frozenset[str] | None = None
    content: str = ""

    def __call__(self, contents: MembershipValue) -> MembershipValue:
        if self.id in contents.ids:
            return contents
        members = self.members or contents.members
        return MembershipValue(
            members, contents.members if members != contents.members else frozenset(), (*contents.ids, self.id),
            self.content or contents.content)


def _ids(value: object) -> tuple[str, ...]:
    return value.ids if isinstance(value, MembershipValue) else value or ()


@dataclass(frozen=True)
class ModelState:
    """State of all acceptors, proposers and the network."""

    acceptors: tuple[Acceptor, ...]
    rounds: tuple[Round, ...]           # one for each ballot that a proposer may attempt
    started: frozenset[int]             # indexes of the rounds whose prepares were sent
    messages: frozenset                 # (acceptor, message, sender: index of a round, or name of who rejoins)
    agreed: frozenset                   # values that a proposer knows to be agreed
    rejoins: tuple[Rejoin | None, ...]  # by index of the acceptor
    losses_left: int                    # how many acceptors may still lose their state
    contents: frozenset[tuple[str, str]] = frozenset()  # (acceptor, content) pairs on disk
    removed: frozenset[str] = frozenset()               # acceptors that were removed for good

    def key(self) -> tuple:
        """A hashable key, equal for equal states."""
        return (tuple((k.incarnation, k.can_vote, tuple(sorted(k.incarnations.items())), k.registers.get(KEY))
                      for k in self.acceptors),
                tuple((frozenset(r.promises), r.accept, r.votes) for r in self.rounds), self.started, self.messages,
                self.agreed, tuple(r and (r.incarnation, _names(r.discovery_replies), _names(r.state_replies or {}),
                                              r.state_replies is None) for r in self.rejoins),
                self.losses_left, self.contents, self.removed)


def _names(known: dict) -> tuple:
    return tuple(sorted((name, k.incarnations, k.registers) for name, k in known.items()))


def initial_state(acceptor_count: int, attempts: list[tuple[str, int]], losses: int) -> ModelState:
    """`attempts` are (proposer, round): each appends its name to the register, in that ballot."""
    names = [f"k{i}" for i in range(acceptor_count)]
    acceptors = tuple(Acceptor(name, 1, True, {}, {}) for name in names)
    rounds = tuple(Round(KEY, (number, proposer), Append(proposer), acceptor_count) for proposer, number in attempts)
    return ModelState(acceptors, rounds, frozenset(), frozenset(), frozenset(), (None,) * acceptor_count, losses)


def initial_membership_state(acceptor_count: int, founder_count: int, attempts: list[tuple[str, int, int]],
                             groups_of: Callable[[MembershipValue | None], Groups] = joint, losses: int = 0,
                             content: str = "") -> ModelState:
    """`attempts` are (proposer, round, n): makes the last n acceptors the voters; 0 leaves the voters as they are.

    Every proposer uses the list of founders, which is outdated once there is a newer one. With a content, the
    founders have it, and each proposer that leaves the voters as they are provides a content of its own.
    """
    names = [f"k{i}" for i in range(acceptor_count)]
    founders = frozenset(names[:founder_count])
    register = RegisterState((0, "founded"), (0, "founded"), MembershipValue(founders, frozenset(), (), content))
    acceptors = tuple(Acceptor(n, 1, True, {}, {KEY: register} if n in founders else {}) for n in names)
    rounds = tuple(
        Round(KEY, (number, proposer),
              MembershipChange(proposer, frozenset(names[-voters:]) if voters else None,
                               proposer if content and not voters else ""),
              acceptor_count, groups=(founders,), groups_of=groups_of) for proposer, number, voters in attempts)
    contents = frozenset((name, content) for name in founders if content)
    return ModelState(acceptors, rounds, frozenset(), frozenset(), frozenset(), (None,) * acceptor_count, losses,
                      contents)


def obtain_content(state: ModelState, name: str, value: object, is_provided: bool) -> ModelState | None:
    """The state in which an acceptor has a value's content, from the proposer or another one; None if none has it.

    `is_provided`: the proposer provides the content.
    """
    content = getattr(value, "content", "")
    if not content or (name, content) in state.contents:
        return state
    if is_provided or any(c == content for _, c in state.contents):
        return replace(state, contents=state.contents | {(name, content)})
    return None


ObtainContent = Callable[[ModelState, str, object, bool], ModelState | None]


def _is_repaired(state: ModelState) -> bool:
    """Whether all acceptors that were not removed vote; an earlier loss would be a second one at the same time."""
    return all(acceptor.can_vote or acceptor.name in state.removed for acceptor in state.acceptors)


def successors(state: ModelState, handle_message: Callable = handle,
               obtain: ObtainContent = obtain_content) -> list[ModelState]:
    """All states that can follow."""
    result = []
    index = {acceptor.name: i for i, acceptor in enumerate(state.acceptors)}
    for i, current in enumerate(state.rounds):
        if i not in state.started:
            messages = state.messages | {(k.name, current.prepare, i) for k in state.acceptors}
            result.append(replace(state, started=state.started | {i}, messages=messages))
    for to, message, sender in state.messages:
        if to in state.removed:
            continue
        i, obtained = index[to], state
        if isinstance(message, Accept):
            brings = getattr(state.rounds[sender].change, "content", "")
            obtained = obtain(state, to, message.value, brings == getattr(message.value, "content", ""))
            if obtained is None:
                continue
        acceptor, reply = handle_message(state.acceptors[i], message)
        next_state = state if acceptor == state.acceptors[i] else replace(
            obtained, acceptors=_put(state.acceptors, i, acceptor))
        if next_state is not state:
            result.append(next_state)    # the reply is lost
        if (after := _deliver_reply(next_state, reply, sender, index, obtain)) is not next_state:
            result.append(after)
    is_repaired = _is_repaired(state)
    if is_repaired and (lists := [v for v in state.agreed if isinstance(v, MembershipValue)]):
        newest = max(lists, key=lambda value: len(value.ids))
        for acceptor in state.acceptors:    # it was replaced, and never returns
            if acceptor.name not in newest.members | state.removed and acceptor.registers:
                result.append(replace(state, removed=state.removed | {acceptor.name},
                                      contents=_without(state.contents, acceptor.name)))
    if state.losses_left and is_repaired:
        groups_of = state.rounds[0].groups_of
        for i, acceptor in enumerate(state.acceptors):
            if acceptor.name not in state.removed and (groups_of is None or acceptor.registers):
                rejoin = Rejoin(acceptor.name, len(state.acceptors), {}, groups_of=groups_of)
                # Messages that it sent before, and its replies to others, are still in transit.
                messages = state.messages | {(k.name, rejoin.request, acceptor.name) for k in state.acceptors
                                   if k.name != acceptor.name}
                result.append(replace(
                    state, acceptors=_put(state.acceptors, i, Acceptor(acceptor.name, 0, False, {}, {})),
                    rejoins=_put(state.rejoins, i, rejoin), losses_left=state.losses_left - 1, messages=messages,
                    contents=_without(state.contents, acceptor.name)))
    return result


def _without(contents: frozenset[tuple[str, str]], name: str) -> frozenset[tuple[str, str]]:
    return frozenset(pair for pair in contents if pair[0] != name)


def _deliver_reply(state: ModelState, reply: Answer, sender: int | str, index: dict[str, int],
                   obtain: ObtainContent) -> ModelState:
    """The state after a reply is delivered; the same object if it changes nothing, as with a refusal."""
    if isinstance(reply, RejoinReply):
        i = index[sender]
        if (rejoin := state.rejoins[i]) is None or (new := rejoin.with_reply(reply)) == rejoin:
            return state
        next_state = replace(state, rejoins=_put(state.rejoins, i, new))
        if new.request != rejoin.request:
            next_state = replace(next_state, messages=next_state.messages | {
                (k.name, new.request, sender) for k in next_state.acceptors if k.name != sender})
        if (acceptor := new.acceptor) is not None:
            value = acceptor.registers[KEY].value if acceptor.registers else None
            if (obtained := obtain(next_state, sender, value, False)) is None:
                return state    # the acceptor waits for the content
            next_state = replace(obtained, acceptors=_put(next_state.acceptors, i, acceptor),
                                 rejoins=_put(next_state.rejoins, i, None))
        return next_state
    current = state.rounds[sender]
    if not reply.ok or (new := current.with_answer(reply)) == current:
        return state
    next_state = replace(state, rounds=_put(state.rounds, sender, new))
    if new.accept is not None and current.accept is None:
        next_state = replace(next_state, messages=next_state.messages | {
            (name, new.accept, sender) for name in new.promised_by})
    return replace(next_state, agreed=next_state.agreed | {new.accept.value}) if new.is_agreed else next_state


def _put(items: tuple, i: int, current: object) -> tuple:
    return (*items[:i], current, *items[i + 1:])


def find_violation(state: ModelState) -> str:
    """The safety violation in a state; empty if there is none.

    Agreed values form a chain: each contains everything agreed before. And a value that a majority of the voters
    store, which a read takes for the newest, contains everything that is known to be agreed.
    """
    chain = sorted({_ids(value) for value in state.agreed}, key=len)
    for shorter, longer in zip(chain, chain[1:], strict=False):
        if longer[:len(shorter)] != shorter:
            return f"{shorter} and {longer} were both agreed"
    if state.rounds and (groups_of := state.rounds[0].groups_of) is not None:
        newest = max(state.agreed, key=lambda value: len(value.ids), default=None)
        if newest is not None and newest.content and all(c != newest.content for _, c in state.contents):
            return f"nobody holds the content of {newest}"
        for register in {k.registers[KEY] for k in state.acceptors
                     if k.registers.get(KEY, RegisterState()).value is not None}:
            matching = frozenset(k.name for k in state.acceptors if k.name not in state.removed
                              and k.registers.get(KEY, RegisterState()).accepted == register.accepted)
            if chain and is_quorum(matching, groups_of(register.value)) and (
                    _ids(register.value)[:len(chain[-1])] != chain[-1]):
                return f"a read finds {register.value}, and {chain[-1]} was agreed"
        return ""
    voting = [k.registers.get(KEY, RegisterState()) for k in state.acceptors if k.can_vote]
    for group in combinations(voting, majority(len(state.acceptors))):
        if len({register.accepted for register in group}) == 1 and chain:
            value = group[0].value or ()
            if value[:len(chain[-1])] != chain[-1]:
                return f"a read finds {value}, and {chain[-1]} was agreed"
    return ""


def explore(state: ModelState, max_states: int, handle_message: Callable = handle,
            obtain: ObtainContent = obtain_content, depth_first: bool = False) -> tuple[int, str, bool]:
    """The number of states visited, the first violation found, and whether all states were visited.

    `depth_first` continues from the newest state, which finds violations of many steps sooner.
    """
    visited, queue = {state.key()}, deque([state])
    while queue:
        current = queue.pop() if depth_first else queue.popleft()
        if why := find_violation(current):
            return len(visited), why, False
        for new in successors(current, handle_message, obtain):
            if (key := new.key()) not in visited:
                if len(visited) >= max_states:
                    return len(visited), "", False
                visited.add(key)
                queue.append(new)
    return len(visited), "", True
