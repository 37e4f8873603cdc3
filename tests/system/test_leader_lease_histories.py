"""Leader lease as a state machine: never two holders, with lost and delayed messages and with restarts."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from fennelpoint.system.incarnation import first_number
from fennelpoint.system.registry.leader_lease import LEASE_S, LeaderLease


class LeaseMachine(RuleBasedStateMachine):
    """Five machines that compete for one lease, with lost and delayed messages and restarts that lose all state.

    A message in transit outlives its sender and its receiver.
    """

    @initialize()
    def begin(self) -> None:
        self.now, self.names = 0.0, [f"m{i}" for i in range(5)]
        self.incarnations = 5
        self.machines = {n: LeaderLease(n, 0.0, first_number(i)) for i, n in enumerate(self.names)}
        self.messages: list[tuple] = []

    @rule(who=st.integers(0, 4))
    def claim(self, who: int) -> None:
        name = self.names[who]
        lease = self.machines[name]
        is_holder = lease.holds(self.now)
        if (term := lease.next_claim(self.now, who, True)) is not None:
            for other in self.names:
                self.messages.append(("claim", other, name, term, is_holder, lease.last_claim))
        self._announce_release(lease)

    def _announce_release(self, lease: LeaderLease) -> None:
        if lease.released_term is not None:
            lease.handle_release(lease.released_term, lease.last_claim, self.now)
            self.messages += [
                ("released", other, lease.me, lease.released_term, None, lease.last_claim) for other in self.names
            ]
            lease.released_term = None

    @rule(who=st.integers(0, 4))
    def resign(self, who: int) -> None:
        lease = self.machines[self.names[who]]
        lease.resign()
        self._announce_release(lease)

    @rule(who=st.integers(0, 4), reached=st.sets(st.integers(0, 4), min_size=3), delayed=st.booleans())
    def claim_and_deliver(self, who: int, reached: set, delayed: bool) -> None:
        """Claim the lease; some machines receive the claim at once, and their grants arrive at once or delayed."""
        self.claim(who)
        name = self.names[who]
        for message in [m for m in self.messages if m[0] == "claim" and m[2] == name]:
            self.messages.remove(message)
            _, to, source, term, is_holder, number = message
            if (
                self.names.index(to) in reached
                and (is_firm := self.machines[to].handle_claim(term, is_holder, number, self.now)) is not None
            ):
                grant = ("granted", source, to, term, is_firm, number)
                self.messages.append(grant) if delayed else self._deliver_grant(grant)

    @precondition(lambda self: self.messages)
    @rule(which=st.integers(0, 30), answered=st.booleans())
    def deliver(self, which: int, answered: bool) -> None:
        kind, to, source, term, flag, number = self.messages.pop(which % len(self.messages))
        lease = self.machines[to]
        if kind == "claim":
            if (is_firm := lease.handle_claim(term, flag, number, self.now)) is not None:
                message = ("granted", source, to, term, is_firm, number)
                self._deliver_grant(message) if answered else self.messages.append(message)
        elif kind == "released":
            lease.handle_release(term, number, self.now)
        else:
            self._deliver_grant((kind, to, source, term, flag, number))

    def _deliver_grant(self, message: tuple) -> None:
        _, to, source, term, is_firm, number = message
        if term != self.machines[to].term:
            self.messages.append(("released", source, to, term, None, number))
        self.machines[to].handle_grant(term, number, source, is_firm, self.names, self.now)

    @rule(duration_s=st.sampled_from([0.05, 0.12, 0.3, 0.6, LEASE_S]))
    def wait(self, duration_s: float) -> None:
        self.now += duration_s

    @rule(which=st.sets(st.integers(0, 4), max_size=3))
    def restart(self, which: set) -> None:
        for name in (self.names[who] for who in sorted(which)):
            self.machines[name] = LeaderLease(name, self.now + LEASE_S, first_number(self.incarnations))
            self.incarnations += 1

    @rule()
    def deliver_all_grants(self) -> None:
        """Deliver all grants in transit."""
        for message in [m for m in self.messages if m[0] == "granted"]:
            self.messages.remove(message)
            self._deliver_grant(message)

    @invariant()
    def at_most_one_holds(self) -> None:
        assert sum(lease.holds(self.now) for lease in self.machines.values()) <= 1


LeaseMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=50)
TestLeaseMachine = LeaseMachine.TestCase


def test_late_grant_does_not_count_for_the_next_claim() -> None:
    candidate, voters = LeaderLease("a", 0.0), ["a", "b", "c"]
    term = candidate.next_claim(0.0, 0, True)
    # The grants of the first claim are still in transit.
    assert candidate.next_claim(0.3, 0, True) == term and candidate.last_claim == 2
    assert any([candidate.handle_grant(term, 1, ip, True, voters, 0.4) for ip in voters])
    assert candidate.holds(0.4) and not candidate.holds(LEASE_S - 0.1)  # counted from the first claim
    candidate.handle_grant(term, 2, "b", True, voters, 0.5)
    assert not candidate.holds(LEASE_S - 0.1)
    candidate.handle_grant(term, 2, "c", True, voters, 0.5)
    assert candidate.holds(0.3 + LEASE_S - 0.2) and not candidate.holds(0.3 + LEASE_S)


def test_machine_that_renews_is_the_holder_whatever_its_term_number() -> None:
    lease = LeaderLease("m", 0.0)
    lease.handle_claim((2, "b"), True, 1, 0.0)
    lease.handle_claim((1, "a"), True, 1, 0.1)
    assert lease.holder == (2, "b")  # it has just renewed
    lease.handle_claim((1, "a"), True, 2, 0.9)
    assert lease.holder == (1, "a")


def test_holder_keeps_the_lease_when_grants_take_longer_than_its_renewal_interval() -> None:
    """Observed after a restart of all machines: grants took 0.4 s, so they never answered the last claim."""
    lease, claims, now, ticks_without_lease = LeaderLease("a", 0.0), [], 10.0, 0
    for tick in range(200):
        now = 10.0 + 0.05 * tick
        if (term := lease.next_claim(now, 0, True)) is not None:
            claims.append((now + 0.4, term, lease.last_claim))
        for message in [m for m in claims if m[0] <= now]:
            claims.remove(message)
            for voter in "abc":
                lease.handle_grant(message[1], message[2], voter, True, "abc", now)
        ticks_without_lease += tick > 40 and not lease.holds(now)
    assert ticks_without_lease == 0
