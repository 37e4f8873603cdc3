"""An answer counts only for the request whose number it carries, so that no answer to an earlier incarnation counts.

Each test also runs with the fencing of incarnations removed, and must then fail: the planted fault is that an answer
to an older incarnation is accepted.
"""

from pathlib import Path
from random import Random

import pytest

from fennelpoint.fleet.register import Acceptor, RegisterState, RejoinRequest, handle
from fennelpoint.system.incarnation import first_number, same_incarnation
from fennelpoint.system.proxy import core_session
from fennelpoint.system.proxy.core_session import CoreSession
from fennelpoint.system.proxy.session_actions import LeaseChanged
from fennelpoint.system.registry import leader_lease, state_machine
from fennelpoint.system.registry.allocator import Allocator
from fennelpoint.system.registry.grants import GRANT_TTL_S, TOTAL_SHARES
from fennelpoint.system.registry.leader_lease import LEASE_S, LeaderLease
from fennelpoint.system.store import replica
from fennelpoint.system.store.replica import FOUNDING_BALLOT, KEY, Replica, Send
from fennelpoint.system.store.replicated_state import initial_state
from fennelpoint.testing.core_machines import CheckFailed
from fennelpoint.testing.core_simulation import run_scenario

SCENARIOS = Path(__file__).parent / "scenarios"


@pytest.fixture(params=["fenced", "planted"])
def fenced(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> bool:
    """Whether incarnations use separate ranges of request numbers; if not, all start at the same number."""
    if request.param == "planted":
        for module in (state_machine, replica, core_session):
            monkeypatch.setattr(module, "first_number", lambda incarnation: 0)
        monkeypatch.setattr(leader_lease, "same_incarnation", lambda one, other: True)
    return request.param == "fenced"


def test_request_numbers_of_two_incarnations_never_overlap() -> None:
    incarnations = [Random(seed).getrandbits(40) for seed in range(1000)]
    starts = sorted(first_number(incarnation) for incarnation in incarnations)
    assert all(b - a >= 1 << 22 for a, b in zip(starts, starts[1:], strict=False)) and starts[-1] < 1 << 63
    assert same_incarnation(first_number(7) + 1, first_number(7) + 4_000_000) and not same_incarnation(
        first_number(7) + 1, first_number(8) + 1)


@pytest.mark.parametrize("name", ["answer_to_former_registry", "answer_to_former_store", "draw_of_former_front"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_scenarios_detect_that_an_answer_to_an_older_incarnation_counts(name: str, seed: int, fenced: bool) -> None:
    text = (SCENARIOS / "site").read_text() + (SCENARIOS / name).with_suffix(".txt").read_text()
    if fenced:
        run_scenario(text, seed)
    else:
        with pytest.raises(CheckFailed):
            run_scenario(text, seed)


def test_a_drain_is_not_acknowledged_by_replicas_of_a_drain_at_an_earlier_incarnation(fenced: bool) -> None:
    world = run_scenario((SCENARIOS / "site").read_text() + "at 4 late 0.4 hold\nrestart roll a1")

    def drain(id: str) -> None:
        body = {"address": "9.9.9.9:80", "status": {"state": "draining", "sequence": 1},
                "information": {"service": "svc", "free_slots": 2, "availability_zone": "za"}}
        world.call("PUT", f"/api/instances/{id}", body, "a1", id)

    def first_token() -> int:
        return state_machine.first_number(world.cores["a1"].registry.incarnation)

    world.run(4.3)      # the registry has reconnected: without connections it answers 503 at once
    requests_made = world.cores["a1"].registry.last_token - first_token()
    drain("x1")
    world.run(4.34)
    for line in ("late 5 backends", "restart roll a1"):     # the second drain does not reach the others in time
        world.execute(line.split())
    world.run(4.64)
    # The new incarnation has made as many requests as the earlier one had.
    world.cores["a1"].registry.last_token = first_token() + requests_made
    drain("x2")
    world.run(5.7)
    assert world.status("x2") == (503 if fenced else 200)
    assert not any("x2" in core.registry.backends.by_id for core in world.cores.values() if core.ip != "a1")


def test_a_lease_requested_by_an_earlier_incarnation_is_ignored(fenced: bool) -> None:
    """The steady clock restarted with the machine: by the old clock's stamp the lease would last for an hour."""
    requests = []
    for incarnation, started_at in ((11, 3600.0), (12, 2.0)):
        proxy = CoreSession("f", "za", "ra", {"za": "ra"}, ["a"], {"life": incarnation}, started_at)
        proxy.handle_connection("roll@a", True, started_at)
        requests.append([a.message for a in proxy.tick(started_at + 1.0) + proxy.actions if a.message[0] == "ask"] or
                        [a.message for a in proxy.renew_now(started_at + 1.0)])
        proxy.full_list_sources.add("roll@a")
        proxy.applied_digest = "d"
    number = requests[0][0][1]
    actions = proxy.handle_message("roll@a", ["lease", number, 1, 3, "d", [], 1], 4.0)
    assert any(isinstance(a, LeaseChanged) and a.has_lease for a in actions) is not fenced


def two_hold_the_lease(restarted: LeaderLease) -> bool:
    """Whether two hold the lease after a claimant died while grants were on their way to it.

    The two would be its next incarnation and another machine.
    """
    first, other = LeaderLease("a", 0.0, first_number(1)), LeaderLease("b", 0.0, first_number(3))
    voters = {ip: LeaderLease(ip, 0.0) for ip in "cde"}
    term, delayed_grants = first.next_claim(0.2, 0, True), []
    for ip, voter in voters.items():
        delayed_grants.append((term, first.last_claim, ip, voter.handle_claim(term, False, first.last_claim, 0.2)))
    new_term = restarted.next_claim(1.1, 0, True)
    assert other.next_claim(1.1, 1, True) is None      # second in line: it may claim from now on, after its delay
    for _, claim, ip, firm in delayed_grants:
        restarted.handle_grant(new_term, claim, ip, firm, "abcde", 1.15)
    now = 0.2 + LEASE_S + 0.3
    other.highest_term = 5
    other_term = other.next_claim(now, 1, True)
    for ip, voter in voters.items():
        if (firm := voter.handle_claim(other_term, False, other.last_claim, now)) is not None:
            other.handle_grant(other_term, other.last_claim, ip, firm, "abcde", now)
    assert other.holds(now)
    return restarted.holds(now)


def test_a_grant_to_an_earlier_incarnation_does_not_count_for_the_next_claim() -> None:
    assert not two_hold_the_lease(LeaderLease("a", 0.9 + LEASE_S, first_number(2)))
    # Planted fault: the claims carry the same numbers as those of the earlier incarnation.
    assert two_hold_the_lease(LeaderLease("a", 0.9 + LEASE_S, first_number(1)))


def test_a_release_by_one_incarnation_does_not_release_the_claim_of_another(fenced: bool) -> None:
    voter = LeaderLease("v", 0.0)
    voter.handle_claim((1, "a"), False, first_number(2) + 1, 5.0)
    voter.handle_release((1, "a"), first_number(3) + 9, 5.05)
    assert (voter.handle_claim((2, "b"), False, 1, 5.1) is None) is fenced


def test_a_stored_answer_to_an_earlier_incarnation_does_not_count_as_a_copy(fenced: bool) -> None:
    """The sender may have lost its disk since then; a configuration must be on a majority before it is agreed."""
    def started(seed: int) -> tuple[Replica, int]:
        cell = RegisterState(FOUNDING_BALLOT, FOUNDING_BALLOT, initial_state(dict.fromkeys(("v1", "v2", "v3"), "z")))
        replica_store = Replica("v3", "z", {}, ["v1", "v2", "v3"], Acceptor("v3", 1, True, {}, {KEY: cell}), False,
                              {}.get, Random(seed), 0.0)
        actions = replica_store.receive("roll", ["change", 1, "put", [3, 0, "s", "d"], b"data"], 0.0)
        return replica_store, next(a.message[1] for a in actions if isinstance(a, Send) and a.message[0] == "store")

    (_, old_number), (store, number) = sorted((started(1), started(2)), key=lambda pair: -pair[1])
    actions = store.receive("v1", ["stored", old_number, "v1", "d"], 0.1)
    assert any(isinstance(a, Send) and a.message[0] == "prepare" for a in actions) is not fenced
    actions += store.receive("v1", ["stored", number, "v1", "d"], 0.2)
    assert any(isinstance(a, Send) and a.message[0] == "prepare" for a in actions)


def test_an_answer_of_a_voter_from_before_its_disk_was_wiped_is_not_part_of_a_majority() -> None:
    """V1 answers, loses its disk and comes back without the value; then V2 accepts it.  Only V2 stores it then."""
    value, newer = initial_state(dict.fromkeys(("v1", "v2", "v3"), "z")), None
    newer = {**value, "rev": 2, "version": 7}
    old, new = RegisterState(FOUNDING_BALLOT, FOUNDING_BALLOT, value), RegisterState((5, "p"), (5, "p"), newer)
    disks = {n: Acceptor(n, 1, True, {}, {KEY: old}) for n in ("v1", "v2", "v3")}
    reader = Replica("v3", "z", {}, ["v1", "v2", "v3"], disks["v3"], False, {}.get, Random(1), 0.0)
    requests = {a.to: a.message for a in reader.receive("roll", ["read", 9], 0.0) + reader.tick(0.2)
            if isinstance(a, Send) and a.message[0] == "peek"}

    def store(name: str, keeper: Acceptor) -> Replica:
        return Replica(name, "z", {}, ["v1", "v2", "v3"], keeper, False, {}.get, Random(1), 0.0)

    def answer(replica: Replica) -> list:
        (message,) = [a.message for a in replica.receive("v3", requests[replica.me], 0.1) if isinstance(a, Send)]
        return message

    first = answer(store("v1", Acceptor("v1", 1, True, {}, {KEY: new})))
    disks["v2"], _ = handle(disks["v2"], RejoinRequest("v1", 2))
    second = answer(store("v2", Acceptor("v2", 1, True, disks["v2"].incarnations, {KEY: new})))
    actions = reader.receive("v1", first, 0.2) + reader.receive("v2", second, 0.2)
    assert not [a for a in actions if isinstance(a, Send) and a.message[0] == "newest"]
    # Once V1 stores the value in its new incarnation as well, the two are a majority.
    again = answer(store("v1", Acceptor("v1", 2, True, {}, {KEY: new})))
    actions = reader.receive("v1", again, 0.25)
    assert [a.message[2]["version"] for a in actions if isinstance(a, Send) and a.message[0] == "newest"] == [7]


def test_a_delayed_request_of_a_dead_proxy_does_not_count_for_its_next_incarnation() -> None:
    """The next incarnation holds shares of the previous allocator; the delayed request claims that it holds none.

    Believing it, the new allocator would grant those shares a second time.
    """
    allocator = Allocator([2, "b"], ["f", "g"], 10.0)
    delayed = allocator.request_grant("f", 1, "ra", [[0, ""], 0], {}, None, {"t": 20.0}, {}, 10.1)
    other_grant = allocator.request_grant("g", 5, "ra", [[2, "b"], 0], {"t": 50}, None, {"t": 20.0}, {}, 10.2)
    assert delayed is None and (other_grant is None or not other_grant.quotas)
    held_shares = [{"t": 900}, {}, 0, [2, "b"], GRANT_TTL_S]
    allocator.request_grant("f", 2, "ra", [[1, "a"], 7], {"t": 1}, held_shares, {"t": 20.0}, {}, 10.3)
    other_grant = allocator.request_grant("g", 5, "ra", [[2, "b"], 0], {"t": 50}, None, {"t": 20.0}, {}, 10.4)
    assert 0 < other_grant.quotas["t"] <= TOTAL_SHARES - 900
    # Nor does a request that was made to the previous allocator.
    new_allocator = Allocator([3, "c"], ["f", "g"], 20.0)
    assert new_allocator.request_grant("f", 2, "ra", [[1, "a"], 7], {}, held_shares, {"t": 20.0}, {}, 20.1) is None


def test_a_delayed_request_of_an_earlier_incarnation_takes_nothing_from_the_live_one() -> None:
    allocator, rates = Allocator([2, "b"], ["f", "g"], 10.0), {"t": 20.0}
    allocator.request_grant("g", 5, "ra", [[2, "b"], 0], {}, None, rates, {}, 10.1)
    grant = allocator.request_grant("f", 2, "ra", [[2, "b"], 0], {"t": 50}, None, rates, {}, 10.2)
    assert grant.quotas["t"] > 600
    # delayed: that incarnation has ended
    allocator.request_grant("f", 1, "ra", [[2, "b"], 0], {}, None, rates, {}, 10.3)
    other_grant = allocator.request_grant("g", 5, "ra", [[2, "b"], 0], {"t": 50}, None, rates, {}, 10.4)
    assert other_grant.quotas["t"] <= TOTAL_SHARES - grant.quotas["t"]
    assert (
        allocator.request_grant("f", 2, "ra", [[2, "b"], grant.number], {"t": 50}, None, rates, {}, 10.5) is not None
    )


def test_a_restarted_proxy_takes_no_shares_of_an_allocator_that_was_replaced() -> None:
    """The new allocator knows only the proxy's earlier incarnation: the old one's last grants are in no sum of it."""
    proxy = CoreSession("f", "za", "ra", {"za": "ra"}, ["a"], {"life": 2}, 0.0, applied_digest="d")
    proxy.full_list_sources.add("roll@a")
    number = proxy._next_request_number(0.0)
    proxy.handle_message("roll@a", ["lend", number, [1, "a"], 7, [{"t": 900}, {}, 0]], 0.1)
    actions = proxy.handle_message("roll@a", ["lease", number, 1, 3, "d", [], 2], 0.2)
    assert any(isinstance(a, LeaseChanged) and a.has_lease for a in actions) and not proxy.grant.quotas
    proxy.handle_message("roll@a", ["lend", number, [1, "a"], 8, [{"t": 900}, {}, 0]], 0.3)
    assert not proxy.grant.quotas
    proxy.handle_message("roll@b", ["lend", number, [2, "b"], 1, [{"t": 300}, {}, 0]], 0.4)
    assert proxy.grant.quotas == {"t": 300}
