"""Leadership of the allocation: the holder of the lease gets a leading term, and no other request overtakes it."""

from dataclasses import dataclass, field
from types import SimpleNamespace

from fennelpoint.system.actions import LogEvent, Send
from fennelpoint.system.registry.allocation_leader import AllocationLeader
from fennelpoint.system.registry.allocation_parameters import ColdBackends
from fennelpoint.system.registry.backend_table import BackendTable
from fennelpoint.system.registry.leader_lease import LeaderLease
from fennelpoint.system.settings import Bounds

BOUNDS = SimpleNamespace(quota_slack=20.0, cold_overshoot=1.5, cold_slack=10)
ZONES_BY_VOTER = {"a": "za", "b": "zb", "c": "zc"}


@dataclass(eq=False)
class Registry:
    """A registry as the allocation sees it; records what is sent."""

    node_ip: str = "a"
    store_peer: str = "writ@a"
    seeds: list[str] = field(default_factory=lambda: list(ZONES_BY_VOTER))
    last_token: int = 0
    cluster_state: dict = field(
        default_factory=lambda: {"voters": ZONES_BY_VOTER, "term": 4, "fronts": ["f1"], "digest": ""}
    )
    linked_registries: set[str] = field(default_factory=lambda: {"b", "c"})
    connected_proxies: dict[str, int] = field(default_factory=lambda: {"span@f1": 0})
    backends: BackendTable = field(default_factory=BackendTable)
    bounds: Bounds = field(default_factory=lambda: BOUNDS)
    state_confirmed_at: float = 0.0
    actions: list = field(default_factory=list)
    other_registries: tuple[str, ...] = ("roll@b", "roll@c")

    def is_majority(self, holders: set[str]) -> bool:
        return len(holders & ZONES_BY_VOTER.keys()) > 1

    def send(self, to: str, message: list) -> None:
        self.actions.append(Send(to, message))

    def request_read(self, now: float) -> None:
        self.state_confirmed_at = now

    def sent(self, kind: str) -> list[list]:
        """Return the messages of a kind that were sent so far."""
        return [action.message for action in self.actions if isinstance(action, Send) and action.message[0] == kind]

    def term_requests(self) -> list[int]:
        """Return the tokens of the requests for a term."""
        return [message[1] for message in self.sent("change") if message[2] == "lead"]

    def led_terms(self) -> list[int]:
        return [
            action.fields["term"]
            for action in self.actions
            if isinstance(action, LogEvent) and action.event == "LEADS"
        ]


class LeaderHarness:
    """One machine's allocation leadership; the others grant its claims while `others_grant` is set."""

    def __init__(self) -> None:
        self.registry = Registry()
        cold = ColdBackends(self.registry.bounds, {})
        self.leader = AllocationLeader(self.registry, LeaderLease("a", 0.0), cold)
        self.now, self.others_grant, self.handled_claims = 10.0, True, 0

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.leader.tick(self.now, claims=True)
            for _, term, _, number in self.registry.sent("claim")[self.handled_claims :]:
                for voter in ("b", "c") if self.others_grant else ():
                    self.leader.on_granted(f"roll@{voter}", self.now, term, number, True)
            self.handled_claims = len(self.registry.sent("claim"))

    def assign_term(self, term: int) -> None:
        """Answer the newest request for a term with this number, as the store does."""
        world = {**self.registry.cluster_state, "term": term}
        self.overtake(term)
        self.leader.term_numbered(200, world, self.now)

    def overtake(self, term: int) -> None:
        """Give that term to another machine's request."""
        if term > self.registry.cluster_state["term"]:
            self.registry.cluster_state = {**self.registry.cluster_state, "term": term}
            self.leader.on_world(term, self.now)


def started_leader() -> LeaderHarness:
    harness = LeaderHarness()
    harness.run(0.2)
    harness.assign_term(5)
    assert harness.registry.led_terms() == [5]
    return harness


def test_holder_overtaken_by_a_term_without_a_leader_requests_another_term() -> None:
    """The requester of that term lost the lease before it was numbered: nothing would be granted until its expiry."""
    harness = started_leader()
    harness.overtake(6)
    assert harness.leader.allocator is None
    harness.run(0.6)
    assert len(harness.registry.term_requests()) == 2
    harness.assign_term(7)
    assert harness.registry.led_terms() == [5, 7]


def test_holder_whose_term_was_overtaken_before_the_answer_arrived_requests_another_term() -> None:
    harness = LeaderHarness()
    harness.run(0.2)
    harness.overtake(6)
    harness.assign_term(5)
    assert harness.registry.led_terms() == []
    harness.run(0.6)
    assert len(harness.registry.term_requests()) == 2
    harness.assign_term(7)
    assert harness.registry.led_terms() == [7]


def test_holder_drops_the_lease_when_another_machine_leads_a_later_term() -> None:
    """Voters change, so that two machines may hold the lease by majorities that don't intersect."""
    harness = started_leader()
    harness.overtake(6)
    harness.leader.on_leads("roll@b", harness.now, [6, "b"])
    assert not harness.leader.lease.holds(harness.now)
    harness.others_grant = False
    harness.run(0.4)
    assert len(harness.registry.term_requests()) == 1


def test_late_announcement_of_an_earlier_leader_does_not_displace_the_holder() -> None:
    harness = started_leader()
    harness.leader.on_leads("roll@b", harness.now, [4, "b"])
    assert harness.leader.lease.holds(harness.now) and harness.leader.allocator is not None


def test_request_for_a_term_is_withdrawn_when_its_lease_is_lost() -> None:
    """Numbered later, its term would overtake that of the holder at that time."""
    harness = LeaderHarness()
    harness.run(0.2)
    (token,) = harness.registry.term_requests()
    harness.others_grant = False
    harness.run(1.5)
    assert not harness.leader.lease.holds(harness.now)
    assert harness.registry.sent("withdraw") == [["withdraw", token]]
