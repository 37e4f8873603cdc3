"""After a restart of all machines, one of them soon holds the lease, in any start order and with machines missing."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import combinations
from random import Random

import pytest

from fennelpoint.system.registry.leader_lease import LEASE_S, RANK_DELAY_S, LeaderLease

TICK_S = 0.01  # between two ticks of a machine
RANKED = ("a", "b", "c", "d", "e")


@dataclass(eq=False)
class Machine:
    """One machine: it receives messages once it has started, and may claim once it knows the voters."""

    name: str
    started_at: float
    voters_known_at: float
    lease: LeaderLease = field(init=False)

    def __post_init__(self) -> None:
        self.lease = LeaderLease(self.name, self.started_at + LEASE_S)


class Cluster:
    """Machines that restart at about the same time, and delayed messages between them."""

    def __init__(self, random: Random, absent: frozenset[str] = frozenset(), max_link_delay_s: float = 0.0) -> None:
        """Connect each two running machines after at most `max_link_delay_s`."""
        self.random = random
        self.max_link_delay_s = max_link_delay_s
        self.now = 0.0
        self.messages: list[tuple[float, str, str, tuple]] = []
        self.machines: dict[str, Machine] = {}
        for name in RANKED:
            if name not in absent:
                started_at = random.uniform(0.0, 0.3)
                self.machines[name] = Machine(name, started_at, max(0.3, started_at) + random.uniform(0.0, 0.1))
        self.linked_at = {
            frozenset((one, other)): max(self.machines[one].started_at, self.machines[other].started_at)
            + max_link_delay_s * random.random()
            for one, other in combinations(self.machines, 2)
        }

    def running(self) -> set[str]:
        return {name for name, machine in self.machines.items() if self.now >= machine.started_at}

    def linked(self, name: str) -> set[str]:
        """Return the machine and those that it is connected to."""
        return {name} | {
            other for other in self.machines if other != name and self.now >= self.linked_at[frozenset((name, other))]
        }

    def send(self, sender: str, to: str, kind: str, *fields: object) -> None:
        if to in self.linked(sender):
            self.messages.append((self.now + self.random.uniform(0.001, 0.03), sender, to, (kind, *fields)))

    def run(self, until: float) -> float | None:
        """Return the time at which a machine first holds the lease, or None if none does before `until`."""
        while self.now < until:
            self.now += TICK_S
            arrived = sorted(
                (message for message in self.messages if message[0] <= self.now), key=lambda message: message[0]
            )
            self.messages = [message for message in self.messages if message[0] > self.now]
            for _, sender, to, message in arrived:
                if self.deliver(self.machines[to].lease, sender, *message):
                    return self.now
            for name in sorted(self.running()):
                self.tick(self.machines[name])
        return None

    def deliver(self, lease: LeaderLease, sender: str, kind: str, *fields: object) -> bool:
        if kind == "claim":
            term, number = fields
            if (is_firm := lease.handle_claim(term, False, number, self.now)) is not None:
                self.send(lease.me, sender, "granted", term, number, is_firm)
        elif kind == "granted":
            term, number, is_firm = fields
            if term != lease.term:
                self.send(lease.me, sender, "released", term, number)
            return lease.handle_grant(term, number, sender, is_firm, RANKED, self.now)
        else:
            lease.handle_release(*fields, self.now)
        return False

    def tick(self, machine: Machine) -> None:
        lease = machine.lease
        if (
            self.now >= machine.voters_known_at
            and (
                term := lease.next_claim(
                    self.now, RANKED.index(lease.me), len(self.linked(lease.me)) > len(RANKED) // 2
                )
            )
            is not None
        ):
            for other in sorted(self.machines.keys() - {lease.me}):
                self.send(lease.me, other, "claim", term, lease.last_claim)
            if (is_firm := lease.handle_claim(term, False, lease.last_claim, self.now)) is not None:
                lease.handle_grant(term, lease.last_claim, lease.me, is_firm, RANKED, self.now)
        if lease.released_term is not None:
            for other in sorted(self.machines.keys() - {lease.me}):
                self.send(lease.me, other, "released", lease.released_term, lease.last_claim)
            lease.handle_release(lease.released_term, lease.last_claim, self.now)
            lease.released_term = None


def test_machines_that_all_restart_at_once_elect_one_without_waiting_for_grants_to_expire() -> None:
    """Simultaneous claims split the votes, and machines out of rank order claimed as soon as one claim failed."""
    elected_at = [Cluster(Random(seed)).run(5.0) for seed in range(200)]
    late = [(seed, at) for seed, at in enumerate(elected_at) if at is None or at > 0.6]
    assert late == []


def test_machine_that_claimed_before_it_heard_of_the_first_in_rank_yields_to_it() -> None:
    """Links come up one by one: a claim that was not received meets a rival one, and neither gets all votes."""
    elected_at = [Cluster(Random(seed), max_link_delay_s=0.35).run(5.0) for seed in range(200)]
    late = [(seed, at) for seed, at in enumerate(elected_at) if at is None or at > 1.0]
    assert late == []


@pytest.mark.parametrize("absent", [frozenset("a"), frozenset("ab"), frozenset("e")])
def test_machines_that_restart_with_some_absent_elect_one_once_earlier_grants_have_expired(
    absent: frozenset[str],
) -> None:
    elected_at = [Cluster(Random(seed), absent).run(10.0) for seed in range(200)]
    late = [(seed, at) for seed, at in enumerate(elected_at) if at is None or at > 0.6 + LEASE_S]
    assert late == []


def voter_for(holder: str, claimed_at: float) -> LeaderLease:
    """Return a voter that has granted its vote to a holder, which holds the lease by all votes."""
    voter = LeaderLease("e", -LEASE_S)
    assert voter.handle_claim((7, holder), True, 1, claimed_at)
    return voter


def test_lease_of_a_holder_whose_process_has_ended_is_free_at_once() -> None:
    """Its machine refuses connections: the holding process has ended, so no machine waits for the lease to expire."""
    voter = voter_for("a", 10.0)
    assert voter.next_claim(10.05, 1, True) is None
    voter.handle_refused_connection("a", 10.1, 10.1)
    assert voter.next_claim(10.11, 1, True) is None  # the first in rank may claim before it
    assert voter.next_claim(10.1 + RANK_DELAY_S + 0.01, 1, True) == (8, "e")
    another = voter_for("a", 10.0)
    another.handle_refused_connection("a", 10.1, 10.1)
    assert another.handle_claim((8, "b"), False, 1, 10.15)


@pytest.mark.parametrize("refused_by, dialled_at", [("b", 10.1), ("a", 9.95)])
def test_refused_connection_of_another_machine_or_dialled_before_the_grant_frees_nothing(
    refused_by: str, dialled_at: float
) -> None:
    """The holder's next incarnation got its grant after the dialling that was refused between incarnations."""
    voter = voter_for("a", 10.0)
    voter.handle_refused_connection(refused_by, dialled_at, 10.1)
    assert voter.handle_claim((8, "c"), False, 1, 10.2) is None
    assert voter.next_claim(10.1 + 2 * RANK_DELAY_S, 1, True) is None
