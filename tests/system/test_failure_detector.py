"""Which members count as lost, and which standby replaces a lost voter."""

from random import Random

from fennelpoint.fleet.register import Acceptor, RegisterState
from fennelpoint.system.actions import Send
from fennelpoint.system.store.failure_detector import (
    REPORT_TTL_S,
    STANDBY_TIMEOUT_S,
    SUCCESSOR_TIMEOUT_S,
    VOTER_TIMEOUT_S,
    FailureDetector,
    Report,
)
from fennelpoint.system.store.replica import FOUNDING_BALLOT, KEY, Replica
from fennelpoint.system.store.replicated_state import initial_state, replace_voter

REGIONS = {"za": "ra", "zb": "rb", "zc": "rc", "zd": "ra", "ze": "rb", "zf": "rc", "zg": "ra"}
VOTERS = {"a": "za", "b": "zb", "c": "zc", "d": "zd", "e": "ze"}


def state_with(ready: dict[str, str], **more) -> dict:
    return {**initial_state(VOTERS), "ready": ready, "digest": "new", **more}


def detector_of(state: dict, unreachable_since: dict[str, float], reports: dict[str, dict[str, float]],
                now: float) -> FailureDetector:
    """The failure detector of `a`: which members it can't reach since when, and what others report now."""
    detector = FailureDetector("a")
    for ready in ({}, state["ready"]):
        detector.observe({**state, "ready": ready}, set("bcdefgh"), 0.0)
    for at in sorted({*unreachable_since.values(), now}):
        detector.observe(state, set("bcdefgh") - {ip for ip, since in unreachable_since.items() if since <= at}, at)
    detector.reports = {ip: Report(now, "new", unreachable_s) for ip, unreachable_s in reports.items()}
    return detector


def voters_after(change, state: dict) -> set[str] | None:
    return change and set(change(state)["voters"])


def test_voter_is_replaced_only_if_a_majority_cannot_reach_it() -> None:
    state, now = state_with({"f": "zc"}), 30.0
    for silence_s, reporters, is_replaced in (
            (VOTER_TIMEOUT_S, "bd", True), (VOTER_TIMEOUT_S, "b", False), (VOTER_TIMEOUT_S - 0.1, "bde", False)):
        reports = {ip: {"c": silence_s} if ip in reporters else {} for ip in "bdef"}
        change = detector_of(state, {"c": now - silence_s}, reports, now).next_change(state, REGIONS, now)
        assert voters_after(change, state) == (set("abdef") if is_replaced else None)
    agreeing = detector_of(state, {"c": 1.0}, {ip: {"c": 9.0} for ip in "bdef"}, now)
    # One change of members at a time.
    assert agreeing.next_change({**state, "before": VOTERS}, REGIONS, now) is None
    assert agreeing.next_change(state, REGIONS, now + REPORT_TTL_S + 0.1) is None   # the reports have expired
    # The standby's zone has a voter: no round is begun that would change nothing.
    same_zone = state_with({"f": "za"})
    detector = detector_of(same_zone, {"c": 1.0}, {ip: {"c": 9.0} for ip in "bdef"}, now)
    assert detector.next_change(same_zone, REGIONS, now) is None and not (
        detector.needs_reports(same_zone, REGIONS, now))
    agreeing.reports["f"].digest = "old"
    assert agreeing.next_change(state, REGIONS, now) is None        # the standby lacks the newest content


def test_successor_that_came_after_the_loss_replaces_the_voter_sooner() -> None:
    state, now = state_with({"f": "zc"}), 10.0
    reports = {ip: {"c": SUCCESSOR_TIMEOUT_S} for ip in "bdef"}
    detector = detector_of(state, {"c": now - SUCCESSOR_TIMEOUT_S}, reports, now)
    assert detector.next_change(state, REGIONS, now) is None        # it was a standby before the loss
    detector.standby_since["f"] = now - 1.0
    assert voters_after(detector.next_change(state, REGIONS, now), state) == set("abdef")
    lost_standby = detector_of(state, {"f": 0.0}, {ip: {"f": STANDBY_TIMEOUT_S} for ip in "bcde"}, STANDBY_TIMEOUT_S)
    assert lost_standby.next_change(state, REGIONS, STANDBY_TIMEOUT_S)(state)["ready"] == {}


def test_replacement_keeps_voters_in_distinct_zones_and_spread_over_regions() -> None:
    def replaced(lost: str, ready: dict[str, str], digest: str = "new") -> set[str]:
        return set(replace_voter(lost, frozenset(ready), REGIONS, digest)(state_with(ready))["voters"])

    assert replaced("c", {"f": "zf", "g": "zc"}) == set("abdeg")    # the same zone
    assert replaced("c", {"f": "zg", "g": "zf"}) == set("abdeg")    # two of its region vote
    assert replaced("c", {"f": "zg", "g": "zb"}) == set("abcde")    # no zone has two voters
    assert replaced("a", {"f": "zg"}) == set("bcdef")
    assert replaced("c", {"f": "zc"}, "old") == set("abcde")        # a newer content has been agreed


def test_first_reachable_voter_ends_a_change_of_members() -> None:
    """Only the first of all voters did so: while it was down, no other change of members could begin."""
    state = state_with({}, before={"a": "za", "b": "zb", "c": "zc"}, rev=3, digest="")
    acceptor = Acceptor("b", 1, True, {}, {KEY: RegisterState(FOUNDING_BALLOT, (3, "a"), state)})
    replica = Replica("b", "zb", REGIONS, list("abc"), acceptor, False, {}.get, Random(1), 0.0)
    for peer in "cde":
        replica.connection_changed(peer, True, 0.0)
    replica.receive("c", ["learn", [3, "a"], state], 0.1)
    recipients = {a.to for a in replica.tick(1.0) if isinstance(a, Send) and a.message[0] == "prepare"}
    assert recipients == set("acde")
