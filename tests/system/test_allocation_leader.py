"""The duty of allocating parts: whoever holds it has a term that leads, and nobody else's call stands in its way."""

from dataclasses import dataclass, field
from types import SimpleNamespace

from fennelpoint.system.actions import Note, Send
from fennelpoint.system.registry.allocation_leader import AllocationLeader
from fennelpoint.system.registry.allocation_parameters import ColdBackends
from fennelpoint.system.registry.backend_table import Backends
from fennelpoint.system.registry.leader_lease import LeaderLease
from fennelpoint.system.settings import Bounds

BOUNDS = SimpleNamespace(quota_slack=20.0, cold_overshoot=1.5, cold_slack=10)
VOTERS = {"a": "za", "b": "zb", "c": "zc"}


@dataclass(eq=False)
class Registry:
    """What the duty sees of its registry; what it sends is kept."""

    me: str = "a"
    store: str = "writ@a"
    seeds: list[str] = field(default_factory=lambda: list(VOTERS))
    tokens: int = 0
    world: dict = field(default_factory=lambda: {"voters": VOTERS, "term": 4, "fronts": ["f1"], "digest": ""})
    links: set[str] = field(default_factory=lambda: {"b", "c"})
    fronts: dict[str, int] = field(default_factory=lambda: {"span@f1": 0})
    backends: Backends = field(default_factory=Backends)
    bounds: Bounds = field(default_factory=lambda: BOUNDS)
    read_at: float = 0.0
    out: list = field(default_factory=list)
    others: tuple[str, ...] = ("roll@b", "roll@c")

    def majority(self, holders: set[str]) -> bool:
        return len(holders & VOTERS.keys()) > 1

    def send(self, to: str, message: list) -> None:
        self.out.append(Send(to, message))

    def read_for_itself(self, now: float) -> None:
        self.read_at = now

    def sent(self, kind: str) -> list[list]:
        """Messages of a kind that were sent so far."""
        return [one.message for one in self.out if isinstance(one, Send) and one.message[0] == kind]

    def calls(self) -> list[int]:
        """Tokens of the calls for a term."""
        return [message[1] for message in self.sent("change") if message[2] == "lead"]

    def led(self) -> list[int]:
        return [one.fields["term"] for one in self.out if isinstance(one, Note) and one.event == "LEADS"]


class Played:
    """One machine's duty, whose claims the others grant as long as they are asked to."""

    def __init__(self) -> None:
        self.registry = Registry()
        cold = ColdBackends(self.registry.bounds, {})
        self.leader = AllocationLeader(self.registry, LeaderLease("a", 0.0), cold)
        self.now, self.granting, self.heard = 10.0, True, 0

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.leader.tick(self.now, claims=True)
            for _, term, _, number in self.registry.sent("claim")[self.heard :]:
                for voter in ("b", "c") if self.granting else ():
                    self.leader.on_granted(f"roll@{voter}", self.now, term, number, True)
            self.heard = len(self.registry.sent("claim"))

    def numbered(self, term: int) -> None:
        """The store has given the newest call this term."""
        world = {**self.registry.world, "term": term}
        self.passed_by(term)
        self.leader.term_numbered(200, world, self.now)

    def passed_by(self, term: int) -> None:
        """Another's call was given that term."""
        if term > self.registry.world["term"]:
            self.registry.world = {**self.registry.world, "term": term}
            self.leader.on_world(term, self.now)


def leading() -> Played:
    played = Played()
    played.run(0.2)
    played.numbered(5)
    assert played.registry.led() == [5]
    return played


def test_a_holder_that_is_passed_by_a_term_without_a_leader_calls_for_another() -> None:
    """Who called for it has lost the duty before it was numbered: nobody would lend until that lease's end."""
    played = leading()
    played.passed_by(6)
    assert played.leader.allocator is None
    played.run(0.6)
    assert len(played.registry.calls()) == 2
    played.numbered(7)
    assert played.registry.led() == [5, 7]


def test_a_holder_whose_own_term_was_passed_before_it_was_told_calls_for_another() -> None:
    played = Played()
    played.run(0.2)
    played.passed_by(6)
    played.numbered(5)
    assert played.registry.led() == []
    played.run(0.6)
    assert len(played.registry.calls()) == 2
    played.numbered(7)
    assert played.registry.led() == [7]


def test_a_holder_leaves_the_duty_to_another_that_leads_a_later_term() -> None:
    """Voters change, so that two may hold it by majorities that don't meet."""
    played = leading()
    played.passed_by(6)
    played.leader.on_leads("roll@b", played.now, [6, "b"])
    assert not played.leader.lease.holds(played.now)
    played.granting = False
    played.run(0.4)
    assert len(played.registry.calls()) == 1


def test_word_of_an_earlier_leader_that_comes_late_moves_no_holder() -> None:
    played = leading()
    played.leader.on_leads("roll@b", played.now, [4, "b"])
    assert played.leader.lease.holds(played.now) and played.leader.allocator is not None


def test_a_call_for_a_term_is_withdrawn_with_the_lease_that_it_was_made_by() -> None:
    """Numbered later, its term would pass that of whoever holds the duty by then."""
    played = Played()
    played.run(0.2)
    (token,) = played.registry.calls()
    played.granting = False
    played.run(1.5)
    assert not played.leader.lease.holds(played.now)
    assert played.registry.sent("withdraw") == [["withdraw", token]]
