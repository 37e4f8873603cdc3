"""A model checker of the register: every order in which messages can be lost, doubled and come late.

The states are the real decider's own values (`fleet/register.py`).  The network is a set to which messages to
keepers are added and from which none is taken: each may be delivered at any time, again, or never.  An answer is
heard when it is given, or never: one that comes late is the same as a proposer whose next messages are late.
Refusals only end rounds early, and are left out.  A proposer may stop at any point by never being heard again; a
keeper may lose all it knew and rejoin.

Where members change, a value names a content, too.  A keeper gets the content of what it is to accept, from whoever
brings it or holds it, in the same step: with that as few hold it as may be.  A keeper that no agreed list names any
more may be taken away for good, with all that it holds.
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
    """A change that puts one id behind those that are there, once."""

    id: str

    def __call__(self, held: object) -> object:
        held = held or ()
        return held if self.id in held else (*held, self.id)


@dataclass(frozen=True)
class Membered:
    """A value that names its voters, those before them while they change, and the ids of its changes."""

    members: frozenset[str]
    before: frozenset[str]
    ids: tuple[str, ...]
    content: str = ""


def joint(value: Membered | None) -> Groups:
    """Whose majorities a value needs."""
    return tuple(g for g in (value.members, value.before) if g) if value is not None else ()


@dataclass(frozen=True)
class Become:
    """A change that names other voters, or puts its id behind the others."""

    id: str
    members: frozenset[str] | None = None
    content: str = ""

    def __call__(self, held: Membered) -> Membered:
        if self.id in held.ids:
            return held
        members = self.members or held.members
        return Membered(members, held.members if members != held.members else frozenset(), (*held.ids, self.id),
                        self.content or held.content)


def _ids(value: object) -> tuple[str, ...]:
    return value.ids if isinstance(value, Membered) else value or ()


@dataclass(frozen=True)
class World:
    keepers: tuple[Acceptor, ...]
    rounds: tuple[Round, ...]           # one a ballot that a proposer may try
    begun: frozenset[int]               # of these, whose prepares went out
    net: frozenset                      # to which keeper, the message, and whose: a round, or who rejoins
    done: frozenset                     # values that a proposer knows to be agreed
    rejoins: tuple[Rejoin | None, ...]  # by keeper
    losses: int                         # keepers that may still lose what they knew
    held: frozenset[tuple[str, str]] = frozenset()  # contents on disk, by keeper
    away: frozenset[str] = frozenset()  # keepers that were taken away for good

    def key(self) -> tuple:
        return (tuple((k.incarnation, k.can_vote, tuple(sorted(k.incarnations.items())), k.registers.get(KEY))
                      for k in self.keepers),
                tuple((frozenset(r.promises), r.accept, r.votes) for r in self.rounds), self.begun, self.net,
                self.done, tuple(r and (r.incarnation, _names(r.discovery_replies), _names(r.state_replies or {}),
                                              r.state_replies is None) for r in self.rejoins),
                self.losses, self.held, self.away)


def _names(known: dict) -> tuple:
    return tuple(sorted((name, k.incarnations, k.registers) for name, k in known.items()))


def begin(keepers: int, tries: list[tuple[str, int]], losses: int) -> World:
    """`tries` are (proposer, round): each changes the register by its own name, in that ballot."""
    names = [f"k{i}" for i in range(keepers)]
    made = tuple(Acceptor(name, 1, True, {}, {}) for name in names)
    rounds = tuple(Round(KEY, (number, who), Append(who), keepers) for who, number in tries)
    return World(made, rounds, frozenset(), frozenset(), frozenset(), (None,) * keepers, losses)


def begin_members(keepers: int, founders: int, tries: list[tuple[str, int, int]],
                  groups_of: Callable[[Membered | None], Groups] = joint, losses: int = 0,
                  content: str = "") -> World:
    """`tries` are (proposer, round, voters to be): the last so many keepers are the voters then; 0: as they are.

    Every proposer goes by the founders, and so by an older list once there is a newer one.  With a content, the
    founders hold it, and each proposer that leaves the voters as they are brings one of its own.
    """
    names = [f"k{i}" for i in range(keepers)]
    first = frozenset(names[:founders])
    cell = RegisterState((0, "founded"), (0, "founded"), Membered(first, frozenset(), (), content))
    made = tuple(Acceptor(n, 1, True, {}, {KEY: cell} if n in first else {}) for n in names)
    rounds = tuple(Round(KEY, (number, who), Become(who, frozenset(names[-voters:]) if voters else None,
                                                    who if content and not voters else ""), keepers,
                         groups=(first,), groups_of=groups_of) for who, number, voters in tries)
    held = frozenset((name, content) for name in first if content)
    return World(made, rounds, frozenset(), frozenset(), frozenset(), (None,) * keepers, losses, held)


def obtains(world: World, name: str, value: object, brought: bool) -> World | None:
    """The world in which a keeper has a value's content, `brought` to it or held by another; none: nobody has it."""
    content = getattr(value, "content", "")
    if not content or (name, content) in world.held:
        return world
    if brought or any(c == content for _, c in world.held):
        return replace(world, held=world.held | {(name, content)})
    return None


Obtain = Callable[[World, str, object, bool], World | None]


def _repaired(world: World) -> bool:
    """Whether all that are there vote: a loss that comes sooner is one of two at once."""
    return all(keeper.can_vote or keeper.name in world.away for keeper in world.keepers)


def steps(world: World, answer: Callable = handle, obtain: Obtain = obtains) -> list[World]:
    """Every world that can follow."""
    out = []
    index = {keeper.name: i for i, keeper in enumerate(world.keepers)}
    for i, one in enumerate(world.rounds):
        if i not in world.begun:
            net = world.net | {(k.name, one.prepare, i) for k in world.keepers}
            out.append(replace(world, begun=world.begun | {i}, net=net))
    for to, message, whose in world.net:
        if to in world.away:
            continue
        i, there = index[to], world
        if isinstance(message, Accept):
            brings = getattr(world.rounds[whose].change, "content", "")
            there = obtain(world, to, message.value, brings == getattr(message.value, "content", ""))
            if there is None:
                continue
        keeper, told = answer(world.keepers[i], message)
        made = world if keeper == world.keepers[i] else replace(
            there, keepers=_put(world.keepers, i, keeper))
        if made is not world:
            out.append(made)    # its answer is lost
        if (after := _hear(made, told, whose, index, obtain)) is not made:
            out.append(after)
    whole = _repaired(world)
    if whole and (lists := [v for v in world.done if isinstance(v, Membered)]):
        newest = max(lists, key=lambda value: len(value.ids))
        for keeper in world.keepers:    # it was replaced, and never comes back
            if keeper.name not in newest.members | world.away and keeper.registers:
                out.append(replace(world, away=world.away | {keeper.name}, held=_without(world.held, keeper.name)))
    if world.losses and whole:
        groups_of = world.rounds[0].groups_of
        for i, keeper in enumerate(world.keepers):
            if keeper.name not in world.away and (groups_of is None or keeper.registers):
                state = Rejoin(keeper.name, len(world.keepers), {}, groups_of=groups_of)
                # What it had sent before is still under way; its answers to others, too.
                net = world.net | {(k.name, state.request, keeper.name) for k in world.keepers
                                   if k.name != keeper.name}
                out.append(replace(
                    world, keepers=_put(world.keepers, i, Acceptor(keeper.name, 0, False, {}, {})),
                    rejoins=_put(world.rejoins, i, state), losses=world.losses - 1, net=net,
                    held=_without(world.held, keeper.name)))
    return out


def _without(held: frozenset[tuple[str, str]], name: str) -> frozenset[tuple[str, str]]:
    return frozenset(one for one in held if one[0] != name)


def _hear(world: World, told: Answer, whose: int | str, index: dict[str, int], obtain: Obtain) -> World:
    """The world once an answer was heard; the same where it changes nothing, as a refusal does."""
    if isinstance(told, RejoinReply):
        i = index[whose]
        if (state := world.rejoins[i]) is None or (new := state.with_reply(told)) == state:
            return world
        made = replace(world, rejoins=_put(world.rejoins, i, new))
        if new.request != state.request:
            made = replace(made, net=made.net | {
                (k.name, new.request, whose) for k in made.keepers if k.name != whose})
        if (keeper := new.acceptor) is not None:
            value = keeper.registers[KEY].value if keeper.registers else None
            if (there := obtain(made, whose, value, False)) is None:
                return world    # it waits for the content
            made = replace(there, keepers=_put(made.keepers, i, keeper), rejoins=_put(made.rejoins, i, None))
        return made
    one = world.rounds[whose]
    if not told.ok or (new := one.with_answer(told)) == one:
        return world
    made = replace(world, rounds=_put(world.rounds, whose, new))
    if new.accept is not None and one.accept is None:
        made = replace(made, net=made.net | {(name, new.accept, whose) for name in new.promised_by})
    return replace(made, done=made.done | {new.accept.value}) if new.is_agreed else made


def _put(items: tuple, i: int, one: object) -> tuple:
    return (*items[:i], one, *items[i + 1:])


def fault(world: World) -> str:
    """What is wrong in a world; empty where nothing is.

    Values that were agreed are one chain: each has in it all that was agreed before.  And what a majority of
    those that vote holds alike, which a read takes for the newest, has in it all that is known to be agreed.
    """
    chain = sorted({_ids(value) for value in world.done}, key=len)
    for shorter, longer in zip(chain, chain[1:], strict=False):
        if longer[:len(shorter)] != shorter:
            return f"{shorter} and {longer} were both agreed"
    if world.rounds and (groups_of := world.rounds[0].groups_of) is not None:
        newest = max(world.done, key=lambda value: len(value.ids), default=None)
        if newest is not None and newest.content and all(c != newest.content for _, c in world.held):
            return f"nobody holds the content of {newest}"
        for cell in {k.registers[KEY] for k in world.keepers
                     if k.registers.get(KEY, RegisterState()).value is not None}:
            alike = frozenset(k.name for k in world.keepers if k.name not in world.away
                              and k.registers.get(KEY, RegisterState()).accepted == cell.accepted)
            if chain and is_quorum(alike, groups_of(cell.value)) and _ids(cell.value)[:len(chain[-1])] != chain[-1]:
                return f"a read finds {cell.value}, and {chain[-1]} was agreed"
        return ""
    voting = [k.registers.get(KEY, RegisterState()) for k in world.keepers if k.can_vote]
    for group in combinations(voting, majority(len(world.keepers))):
        if len({cell.accepted for cell in group}) == 1 and chain:
            value = group[0].value or ()
            if value[:len(chain[-1])] != chain[-1]:
                return f"a read finds {value}, and {chain[-1]} was agreed"
    return ""


def explore(world: World, most: int, answer: Callable = handle, obtain: Obtain = obtains,
            deep: bool = False) -> tuple[int, str, bool]:
    """How many worlds there are, the first fault, and whether all were seen.

    `deep` goes on from the newest world: a fault of many steps is found sooner, and by more of them.
    """
    seen, queue = {world.key()}, deque([world])
    while queue:
        one = queue.pop() if deep else queue.popleft()
        if why := fault(one):
            return len(seen), why, False
        for new in steps(one, answer, obtain):
            if (key := new.key()) not in seen:
                if len(seen) >= most:
                    return len(seen), "", False
                seen.add(key)
                queue.append(new)
    return len(seen), "", True
