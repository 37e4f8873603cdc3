"""Leases, versions and outage limits of a whole fleet, simulated with the production logic under random faults."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.fleet import rollout, state, version_lease
from fennelpoint.fleet.rollout import ProcessReport, RolloutController, Step
from fennelpoint.fleet.version_lease import (
    ActivateVersion,
    FetchContent,
    PeerReport,
    StartServing,
    StopServing,
    VersionLease,
)
from fennelpoint.testing.fleet_simulation import FleetWorld, Settings


def play(seed: int, **changes) -> FleetWorld:
    values = {"ingresses": (3, 5, 9, 12)[seed % 4], "faults": (0, 4, 12, 25)[seed // 4 % 4],
              "keepers": (3, 5)[seed // 16 % 2], "versions": 8, "late": (0.0, 0.4)[seed // 32 % 2], **changes}
    world = FleetWorld(Settings(**values), seed)
    world.run()
    return world


def test_no_superseded_version_is_acted_on_and_at_most_two_versions_at_a_time():
    worlds = [play(seed) for seed in range(160)]
    assert [w.broken for w in worlds if w.broken] == []
    forced, sends = sum(len(w.forced) for w in worlds), sum(w.counts["sends"] for w in worlds)
    assert forced > 700 and sends > 250_000     # otherwise the run covers too little
    assert sum(w.counts["halted"] for w in worlds) > 20 and sum(w.counts["shut"] for w in worlds) > 300


def lease_never_expires(patch):
    patch.setattr(VersionLease, "is_valid", lambda self, now: True)


def version_in_force_too_early(patch):
    patch.setattr(rollout, "MAX_CLOCK_DRIFT", -0.5)


def outage_limits_ignored(patch):
    patch.setattr(rollout, "outage_violation", lambda fleet, out: "" if len(out) < len(fleet.members) else "all")


def peer_term_counts_from_receipt(patch):
    before = VersionLease.peer_reported
    patch.setattr(VersionLease, "peer_reported",
                  lambda self, report, requested_at, now: before(self, report, now + 0.5, now))


def static_term_by_fewest_members(patch):
    """An earlier fault: a process unaware that the counts were reset used the fewest members there had ever been."""
    patch.setattr(version_lease, "replace", lambda fleet, **changes: fleet)


def lease_extended_for_any_version(patch):
    def extend(self, fleet, expires_at, source):
        self.expires_at = max(self.expires_at, expires_at)
    patch.setattr(VersionLease, "_extend", extend)


@pytest.mark.parametrize("fault", [
    lease_never_expires, version_in_force_too_early, outage_limits_ignored, peer_term_counts_from_receipt,
    lease_extended_for_any_version, static_term_by_fewest_members])
def test_injected_faults_are_found(fault, monkeypatch):
    fault(monkeypatch)
    assert any(play(seed, versions=4).broken for seed in range(800))


def test_without_faults_no_ingress_stops_serving_and_each_version_is_activated_quickly():
    world = play(3, faults=0, versions=6, ingresses=40, bad_contents=0.0, seconds=60.0)
    assert world.counts["shut"] == 0 and len(world.forced) == 6
    for at, number in world.forced:
        assert len(world.acted[number]) == 40
        assert at - world.offered[number] < 3.5 * world.settings.licence_s


# Outage limits

FLEETS = st.builds(
    lambda size, zones, share, zone_share, width: state.join(
        state.initial_state("r", state.Bounds(1.0, 1.0, share, zone_share, width, size)),
        {f"n{i}": state.Member(i, f"z{i % zones}", "a:1") for i in range(size)}),
    st.integers(1, 14), st.integers(1, 4), st.floats(0.0, 0.5), st.floats(0.0, 1.0), st.integers(1, 4))


@given(FLEETS, st.sets(st.integers(0, 13)), st.sets(st.integers(0, 13)))
def test_outage_limits_are_monotone(fleet, some, more):
    """The safety argument relies on this: a group that continues without keepers prevents a tightening in force."""
    names, all_names = {f"n{i}" for i in some}, {f"n{i}" for i in some | more}
    if state.outage_violation(fleet, names):
        assert state.outage_violation(fleet, all_names)


@given(FLEETS, st.sets(st.integers(0, 13), min_size=1), st.integers(0, 13))
def test_change_of_members_does_not_relax_the_outage_limits(fleet, some, gone):
    """A process that knows an older membership uses it: the fewest members since then count."""
    names = {f"n{i}" for i in some}
    if not state.outage_violation(fleet, names):
        return
    grown = state.join(fleet, {f"m{i}": state.Member(100 + i, f"z{i % 3}", "a:1") for i in range(40)})
    assert state.outage_violation(grown, names)
    other = f"n{gone}"
    if other in fleet.members and other not in names:
        assert state.outage_violation(state.forget(grown, other), names)


def test_steps_in_the_wrong_state_are_refused_with_the_actual_state():
    fleet = state.initial_state("r", state.Bounds())
    with pytest.raises(state.StepRefused, match="version 1 is not offered: no version is coming"):
        state.close(fleet, 1)
    offered = state.offer(fleet, "d1", state.TIGHTENING, "me", "why")
    with pytest.raises(state.StepRefused, match="version 1 is offered: wait for it or halt it first"):
        state.offer(offered, "d2", state.TIGHTENING, "me", "why")
    with pytest.raises(state.StepRefused, match="version 1 is not closing: 1 is offered"):
        state.enforce(offered, 1)
    halted = state.halt(offered, 1, "no")
    assert halted.coming is None and state.offer(halted, "d1", state.LOOSENING, "me", "again").coming.number == 2
    closing = state.close(offered, 1)
    with pytest.raises(state.StepRefused, match="version 1 is not offered"):
        state.halt(closing, 1, "too late")
    forced = state.enforce(closing, 1)
    assert forced.version.number == 1 and forced.history[-1].number == 0
    with pytest.raises(state.StepRefused, match="version 1 has the same content"):
        state.offer(forced, "d1", state.LOOSENING, "me", "why")
    assert state.parse(forced.to_dict()) == forced
    with pytest.raises(state.StepRefused, match="n1 and n0 both have the number 0"):
        state.join(fleet, {"n0": state.Member(0, "z", "a:1"), "n1": state.Member(0, "z", "b:1")})


@given(st.recursive(st.none() | st.integers() | st.text(max_size=4), lambda inner: st.lists(inner, max_size=3)
                    | st.dictionaries(st.sampled_from(("schema", "record", "version", "members", "last")), inner),
                    max_leaves=8))
def test_invalid_values_are_not_parsed_as_a_state(value):
    with pytest.raises(state.StepRefused):
        state.parse(value)


# One rollout controller, one lease

def fleet_of(size: int, **bounds) -> state.Fleet:
    values = {"licence_s": 1.0, "settle_s": 2.0, "ring": size, **bounds}
    return state.join(state.initial_state("r", state.Bounds(**values)),
                      {f"n{i}": state.Member(i, f"z{i % 3}", "a:1") for i in range(size)})


def report(i: int, at: float, active_version: int = 0, prepared_digest: str = "", **changes) -> ProcessReport:
    values = {"name": f"n{i}", "incarnation": "1", "origin": f"o{i}", "member": state.Member(i, f"z{i % 3}", "a:1"),
              "active_version": active_version, "prepared_digest": prepared_digest, "error": "", "sent_at": at,
              "revision": 9, **changes}
    return ProcessReport(**values)


def test_version_closes_at_once_if_all_are_prepared_later_without_a_few_and_is_halted_without_many():
    offered = state.offer(fleet_of(8), "d", state.TIGHTENING, "me", "why")
    for prepared, at_once, after_settling, at_last in (
            (8, "close", None, None), (7, None, "close", None), (4, None, None, "halt")):
        controller = RolloutController()
        steps = []
        for at in (10.0, 12.5, 14.5):
            for i in range(8):
                fields = {"prepared_digest": "d"} if i < prepared else {"error": "no cells here"}
                controller.reported(report(i, at, **fields), 1.0)
            steps.append(controller.next_step(offered, 9, at))
        assert [step and step.kind for step in steps][:1 + bool(after_settling) + 2 * bool(at_last)] == [
            at_once, after_settling, at_last][:1 + bool(after_settling) + 2 * bool(at_last)]
        if at_last:
            assert "no cells here" in steps[-1].reason and "n4, n5, n6, n7" in steps[-1].reason


def test_version_is_in_force_one_lease_term_after_enough_members_activated_it():
    closing = state.close(state.offer(fleet_of(8), "d", state.TIGHTENING, "me", "why"), 1)
    controller = RolloutController()

    def next_step(at: float, activated: int) -> Step | None:
        for i in range(8):
            controller.reported(report(i, at, active_version=int(i < activated)), 1.0)
        return controller.next_step(closing, 9, at)

    assert next_step(10.0, 4) is None and "may still act on version 0" in controller.blocking_reason(closing, 10.0)
    assert next_step(11.5, 7) is None and next_step(12.4, 7) is None     # enough since 11.5
    assert next_step(12.45, 4) is None     # members fell back: the term starts again
    assert next_step(12.5, 7) is None and next_step(13.5, 7) is None
    assert next_step(13.6, 7) == Step("enforce", 1)


def test_name_used_by_two_machines_belongs_to_the_first():
    controller = RolloutController()
    assert controller.reported(report(1, 10.0), 1.0) == ""
    assert "n1 is taken" in controller.reported(report(1, 10.5, origin="other", incarnation="2"), 1.0)
    assert controller.reported(report(1, 10.6), 1.0) == ""
    # The first has been silent for more than two terms.
    assert controller.reported(report(1, 13.0, origin="other", incarnation="2"), 1.0) == ""


def test_both_processes_of_an_ingress_have_to_activate_a_version():
    fleet = state.close(state.offer(fleet_of(8), "d", state.TIGHTENING, "me", "why"), 1)
    controller = RolloutController()
    controller.reported(report(1, 10.0, active_version=0, incarnation="old", sibling_count=1), 1.0)
    controller.reported(report(1, 10.1, active_version=1, incarnation="new", sibling_count=1), 1.0)
    assert "n1" in controller.members_behind(fleet, 10.2, 1)
    controller.reported(report(1, 15.0, active_version=1, incarnation="new", sibling_count=1), 1.0)
    assert "n1" in controller.members_behind(fleet, 15.1, 1)     # the old one is silent, but alive
    controller.reported(report(1, 15.2, active_version=1, incarnation="new", sibling_count=0), 1.0)
    assert "n1" not in controller.members_behind(fleet, 15.3, 1)
    restarted = RolloutController()
    restarted.reported(report(1, 10.0, active_version=1, incarnation="new", sibling_count=1), 1.0)
    assert "n1" in restarted.members_behind(fleet, 10.1, 1)     # a restarted keeper has no report of the old one


def granted_lease(fleet: state.Fleet, now: float = 10.0) -> VersionLease:
    lease = VersionLease("n0")
    actions = lease.granted("k0", fleet, 5, 1.0, now, now)
    assert [type(a) for a in actions] == [ActivateVersion, StartServing]
    return lease


def test_lease_term_counts_from_the_request_and_expires():
    lease = VersionLease("n0")
    lease.granted("k0", fleet_of(8), 5, 0.8, 10.0, 10.5)
    assert lease.is_valid(10.79) and not lease.is_valid(10.81)
    assert [type(a) for a in lease.update(10.81)] == [StopServing] and lease.update(10.9) == []
    assert [type(a) for a in lease.granted("k1", fleet_of(8), 5, 0.9, 11.0, 11.0)] == [StartServing]


def test_outdated_answer_refusal_and_other_record_do_not_extend_the_lease():
    lease = granted_lease(fleet_of(8))
    lease.granted("k1", fleet_of(8), 4, 5.0, 10.1, 10.1)
    assert lease.expires_at == 11.0
    lease.granted("k1", fleet_of(8), 5, 0.0, 10.5, 10.5)
    assert lease.expires_at == 11.0
    lower = state.initial_state("other", state.Bounds(licence_s=1.0))
    lease.active_version = 3
    (line,) = lease.granted("k1", lower, 50, 5.0, 10.6, 10.6)
    assert line.is_error and "its state is ignored" in line.text and lease.expires_at == 11.0
    higher = state.initial_state("other", state.Bounds(licence_s=1.0), 7)
    actions = lease.granted("k1", higher, 2, 1.0, 10.7, 10.7)
    assert lease.fleet.record == "other" and [
        a.digest for a in actions if isinstance(a, FetchContent)] == [state.LOST_DIGEST]
    # The content of its version is lost: only processes that act on it already continue.
    assert not [a for a in actions if isinstance(a, ActivateVersion)] and lease.expires_at == 11.0
    lease.active_version = 7
    lease.granted("k1", higher, 2, 1.0, 10.8, 10.8)
    assert lease.is_valid(11.7)


def test_version_is_fetched_when_offered_and_activated_when_it_closes():
    lease = granted_lease(fleet_of(8))
    offered = state.offer(fleet_of(8), "d", state.TIGHTENING, "me", "why")
    assert lease.granted("k0", offered, 6, 1.0, 10.2, 10.2) == [FetchContent(1, "d")]
    assert lease.content_ready("d", 10.3) == [] and lease.active_version == 0
    (action,) = lease.granted("k0", state.close(offered, 1), 7, 1.0, 10.5, 10.5)
    assert action == ActivateVersion(1, "d", True, "version 1 is agreed") and lease.is_valid(11.4)
    (action,) = lease.granted("k0", state.enforce(state.close(offered, 1), 1), 8, 1.0, 10.9, 10.9)
    assert not action.is_mixed


def test_process_that_cannot_prepare_a_version_serves_until_its_previous_lease_expires():
    lease = granted_lease(fleet_of(8))
    offered = state.offer(fleet_of(8), "d", state.TIGHTENING, "me", "why")
    lease.granted("k0", offered, 6, 1.0, 10.2, 10.2)
    (line,) = lease.fetch_failed("d", "cells are off here", 10.3)
    assert line.is_error
    lease.granted("k0", state.close(offered, 1), 7, 1.0, 10.5, 10.5)
    assert lease.active_version == 0 and lease.is_valid(11.1) and not lease.is_valid(11.3)
    stops = [a for a in lease.update(11.3) if isinstance(a, StopServing)]
    assert "version 1 is not prepared: cells are off here" in stops[0].reason


def peer(i: int, active_version: int = 0, lease_left_s: float = -1.0, is_history_known: bool = True,
         revision: int = 5) -> PeerReport:
    return PeerReport(f"n{i}", active_version, lease_left_s, is_history_known, revision)


def test_many_processes_without_a_keeper_continue_and_few_stop_serving():
    fleet = fleet_of(8)     # 2 of 8 may be out
    for peers, continues in ((1, False), (2, False), (5, True)):
        lease = granted_lease(fleet)
        for i in range(peers):
            lease.peer_reported(peer(2 + i if peers < 3 else 1 + i), 11.5, 11.6)
        assert lease.is_valid(11.9) is (continues or peers == 2)
    lease = granted_lease(fleet)
    lease.peer_reported(peer(1), 11.5, 11.6)     # together with n0, the whole set of an agency
    assert lease.is_valid(12.4) and not lease.is_valid(12.6)


def test_process_unaware_of_the_reset_counts_uses_no_smaller_membership():
    """Seen with real processes: one that knew all six members continued alone, as there had once been one member."""
    grown = state.join(fleet_of(1, ring=8), {f"n{i}": state.Member(i, f"z{i % 3}", "a:1") for i in range(1, 8)})
    assert grown.least[""] == 1 and state.outage_violation(grown, {"n0"}) and not state.outage_violation(
        state.confirm_members(grown), {"n0"})
    lease = granted_lease(grown)
    lease.update(11.5)
    assert not lease.is_valid(11.5)


@pytest.mark.parametrize("change", [{"is_history_known": False}, {"active_version": 1}, {"revision": 6}])
def test_peers_in_another_state_do_not_extend_the_static_term(change):
    lease = granted_lease(fleet_of(8))
    for i in range(1, 8):
        lease.peer_reported(peer(i, **change), 11.5, 11.6)
    assert not lease.is_valid(11.7)


def test_peer_passes_on_the_rest_of_its_lease():
    lease = granted_lease(fleet_of(8))
    lease.peer_reported(peer(4, lease_left_s=0.6), 11.5, 11.9)
    assert lease.is_valid(12.05) and not lease.is_valid(12.15)


def test_restarted_process_never_activates_a_lower_version():
    fleet = state.enforce(state.close(state.offer(fleet_of(8), "d", state.LOOSENING, "a", "b"), 1), 1)
    lease = VersionLease("n0")
    lease.restore(fleet, 9, 1)
    assert not lease.is_valid(10.0) and lease.content_ready("d", 10.0)[0].number == 1
    assert lease.granted("k0", fleet_of(8), 5, 1.0, 10.1, 10.1) == [] and not lease.is_valid(10.2)
    other = VersionLease("n0")
    other.restore(fleet, 9, 4)     # a version that the record has lost
    assert not [a for a in other.update(10.0) if isinstance(a, ActivateVersion)]
