"""The lease is taken soon after all machines have come back, whoever comes first, and whoever stays away."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import combinations
from random import Random

import pytest

from fennelpoint.system.registry.leader_lease import LEASE_S, RANK_DELAY_S, LeaderLease

STEP = 0.01  # s between two turns of a machine
LINE = ("a", "b", "c", "d", "e")


@dataclass(eq=False)
class Machine:
    """One machine: it hears others once it is up, and may claim once it knows who votes."""

    name: str
    up_at: float
    votes_known_at: float
    lease: LeaderLease = field(init=False)

    def __post_init__(self) -> None:
        self.lease = LeaderLease(self.name, self.up_at + LEASE_S)


class Machines:
    """Machines that start anew at about the same time, and messages between them that take a while."""

    def __init__(self, random: Random, absent: frozenset[str] = frozenset(), linking: float = 0.0) -> None:
        """Two machines that are up hear each other after at most so many s, `linking`."""
        self.random = random
        self.linking = linking
        self.now = 0.0
        self.mail: list[tuple[float, str, str, tuple]] = []
        self.all: dict[str, Machine] = {}
        for name in LINE:
            if name not in absent:
                up_at = random.uniform(0.0, 0.3)
                self.all[name] = Machine(name, up_at, max(0.3, up_at) + random.uniform(0.0, 0.1))
        self.linked_at = {
            frozenset((one, other)): max(self.all[one].up_at, self.all[other].up_at) + linking * random.random()
            for one, other in combinations(self.all, 2)
        }

    def up(self) -> set[str]:
        return {name for name, machine in self.all.items() if self.now >= machine.up_at}

    def linked(self, name: str) -> set[str]:
        """Itself and the machines that it hears."""
        return {name} | {
            other for other in self.all if other != name and self.now >= self.linked_at[frozenset((name, other))]
        }

    def tell(self, sender: str, to: str, kind: str, *what: object) -> None:
        if to in self.linked(sender):
            self.mail.append((self.now + self.random.uniform(0.001, 0.03), sender, to, (kind, *what)))

    def run(self, until: float) -> float | None:
        """When a machine holds the lease; none: none does by then."""
        while self.now < until:
            self.now += STEP
            due = sorted((one for one in self.mail if one[0] <= self.now), key=lambda one: one[0])
            self.mail = [one for one in self.mail if one[0] > self.now]
            for _, sender, to, message in due:
                if self.hear(self.all[to].lease, sender, *message):
                    return self.now
            for name in sorted(self.up()):
                self.turn(self.all[name])
        return None

    def hear(self, lease: LeaderLease, sender: str, kind: str, *what: object) -> bool:
        if kind == "claim":
            term, number = what
            if (firm := lease.handle_claim(term, False, number, self.now)) is not None:
                self.tell(lease.me, sender, "granted", term, number, firm)
        elif kind == "granted":
            term, number, firm = what
            if term != lease.term:
                self.tell(lease.me, sender, "released", term, number)
            return lease.handle_grant(term, number, sender, firm, LINE, self.now)
        else:
            lease.handle_release(*what, self.now)
        return False

    def turn(self, machine: Machine) -> None:
        lease = machine.lease
        if (
            self.now >= machine.votes_known_at
            and (term := lease.next_claim(self.now, LINE.index(lease.me), len(self.linked(lease.me)) > len(LINE) // 2))
            is not None
        ):
            for other in sorted(self.all.keys() - {lease.me}):
                self.tell(lease.me, other, "claim", term, lease.last_claim)
            if (firm := lease.handle_claim(term, False, lease.last_claim, self.now)) is not None:
                lease.handle_grant(term, lease.last_claim, lease.me, firm, LINE, self.now)
        if lease.released_term is not None:
            for other in sorted(self.all.keys() - {lease.me}):
                self.tell(lease.me, other, "released", lease.released_term, lease.last_claim)
            lease.handle_release(lease.released_term, lease.last_claim, self.now)
            lease.released_term = None


def test_machines_that_all_come_back_at_once_agree_on_one_without_waiting_for_grants_to_end() -> None:
    """Claims at once split the votes; those whose turn it was not claimed as soon as one was given up."""
    took = [Machines(Random(seed)).run(5.0) for seed in range(200)]
    late = [(seed, at) for seed, at in enumerate(took) if at is None or at > 0.6]
    assert late == []


def test_one_that_claimed_before_it_heard_of_the_first_in_line_makes_room_for_it() -> None:
    """Links come up one by one: a claim that was not heard is answered by a rival one, and neither has all votes."""
    took = [Machines(Random(seed), linking=0.35).run(5.0) for seed in range(200)]
    late = [(seed, at) for seed, at in enumerate(took) if at is None or at > 1.0]
    assert late == []


@pytest.mark.parametrize("absent", [frozenset("a"), frozenset("ab"), frozenset("e")])
def test_machines_that_come_back_without_some_agree_once_what_was_granted_before_has_ended(
    absent: frozenset[str],
) -> None:
    took = [Machines(Random(seed), absent).run(10.0) for seed in range(200)]
    late = [(seed, at) for seed, at in enumerate(took) if at is None or at > 0.6 + LEASE_S]
    assert late == []


def voter_of(holder: str, claimed_at: float) -> LeaderLease:
    """One that has granted the lease to a holder, which holds it by all."""
    voter = LeaderLease("e", -LEASE_S)
    assert voter.handle_claim((7, holder), True, 1, claimed_at)
    return voter


def test_a_holder_whose_process_has_ended_makes_room_at_once() -> None:
    """Its machine refuses connections: whoever held the lease is no more, and nobody waits for the lease to end."""
    voter = voter_of("a", 10.0)
    assert voter.next_claim(10.05, 1, True) is None
    voter.handle_refused_connection("a", 10.1, 10.1)
    assert voter.next_claim(10.11, 1, True) is None  # the first in line has its turn
    assert voter.next_claim(10.1 + RANK_DELAY_S + 0.01, 1, True) == (8, "e")
    another = voter_of("a", 10.0)
    another.handle_refused_connection("a", 10.1, 10.1)
    assert another.handle_claim((8, "b"), False, 1, 10.15)


@pytest.mark.parametrize("refused_by, dialled_at", [("b", 10.1), ("a", 9.95)])
def test_a_refusal_of_another_or_from_before_the_grant_releases_nothing(refused_by: str, dialled_at: float) -> None:
    """The holder's next life was granted the lease after the dialling that its former life's end refused."""
    voter = voter_of("a", 10.0)
    voter.handle_refused_connection(refused_by, dialled_at, 10.1)
    assert voter.handle_claim((8, "c"), False, 1, 10.2) is None
    assert voter.next_claim(10.1 + 2 * RANK_DELAY_S, 1, True) is None
