"""Licences, versions and bounds under drawn faults in simulated time: the real deciders of a whole fleet."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.fleet import rollout, state, version_lease
from fennelpoint.fleet.rollout import Conductor, Step, Word
from fennelpoint.fleet.version_lease import Act, Admit, Fetch, Licence, PeerWord, Shut
from fennelpoint.testing.fleet_simulation import FleetWorld, Settings


def play(seed: int, **changes) -> FleetWorld:
    values = {"ingresses": (3, 5, 9, 12)[seed % 4], "faults": (0, 4, 12, 25)[seed // 4 % 4],
              "keepers": (3, 5)[seed // 16 % 2], "versions": 8, "late": (0.0, 0.4)[seed // 32 % 2], **changes}
    world = FleetWorld(Settings(**values), seed)
    world.run()
    return world


def test_no_version_out_of_force_is_acted_on_and_never_three_at_once():
    worlds = [play(seed) for seed in range(160)]
    assert [w.broken for w in worlds if w.broken] == []
    forced, sends = sum(len(w.forced) for w in worlds), sum(w.counts["sends"] for w in worlds)
    assert forced > 700 and sends > 250_000     # else nothing was tried
    assert sum(w.counts["halted"] for w in worlds) > 20 and sum(w.counts["shut"] for w in worlds) > 300


def always_valid(patch):
    patch.setattr(Licence, "valid", lambda self, now: True)


def enforced_early(patch):
    patch.setattr(rollout, "DRIFT", -0.5)


def whoever_is_behind(patch):
    patch.setattr(rollout, "overreach", lambda fleet, out: "" if len(out) < len(fleet.members) else "all")


def peers_answers_last_longer(patch):
    before = Licence.heard
    patch.setattr(Licence, "heard", lambda self, word, asked, now: before(self, word, now + 0.5, now))


def static_by_a_smaller_roster(patch):
    """As it was: who had not heard that the roster is levelled went by the fewest members there had ever been."""
    patch.setattr(version_lease, "replace", lambda fleet, **changes: fleet)


def licences_for_any_version(patch):
    def extend(self, fleet, until, source):
        self.until = max(self.until, until)
    patch.setattr(Licence, "_extend", extend)


@pytest.mark.parametrize("planted", [always_valid, enforced_early, whoever_is_behind, peers_answers_last_longer,
                                     licences_for_any_version, static_by_a_smaller_roster])
def test_planted_faults_are_found(planted, monkeypatch):
    planted(monkeypatch)
    assert any(play(seed, versions=4).broken for seed in range(800))


def test_a_calm_fleet_shuts_nobody_out_and_takes_each_version_in_little_time():
    world = play(3, faults=0, versions=6, ingresses=40, bad_contents=0.0, seconds=60.0)
    assert world.counts["shut"] == 0 and len(world.forced) == 6
    for at, number in world.forced:
        assert len(world.acted[number]) == 40
        assert at - world.offered[number] < 3.5 * world.settings.licence_s


# Bounds

FLEETS = st.builds(
    lambda size, zones, share, zone_share, width: state.join(
        state.found("r", state.Bounds(1.0, 1.0, share, zone_share, width, size)),
        {f"n{i}": state.Member(i, f"z{i % zones}", "a:1") for i in range(size)}),
    st.integers(1, 14), st.integers(1, 4), st.floats(0.0, 0.5), st.floats(0.0, 1.0), st.integers(1, 4))


@given(FLEETS, st.sets(st.integers(0, 13)), st.sets(st.integers(0, 13)))
def test_what_may_not_be_out_may_not_with_others_either(fleet, some, more):
    """The whole argument rests on it: a group that goes on by itself keeps a tightening out of force."""
    names, all_names = {f"n{i}" for i in some}, {f"n{i}" for i in some | more}
    if state.overreach(fleet, names):
        assert state.overreach(fleet, all_names)


@given(FLEETS, st.sets(st.integers(0, 13), min_size=1), st.integers(0, 13))
def test_a_roster_that_grew_or_shrank_lets_no_more_be_out(fleet, some, gone):
    """Who knows an older roster goes on by that: the fewest members there were count."""
    names = {f"n{i}" for i in some}
    if not state.overreach(fleet, names):
        return
    grown = state.join(fleet, {f"m{i}": state.Member(100 + i, f"z{i % 3}", "a:1") for i in range(40)})
    assert state.overreach(grown, names)
    other = f"n{gone}"
    if other in fleet.members and other not in names:
        assert state.overreach(state.forget(grown, other), names)


def test_steps_out_of_turn_are_refused_and_say_how_things_stand():
    fleet = state.found("r", state.Bounds())
    with pytest.raises(state.Refused, match="version 1 is not offered: none is coming"):
        state.close(fleet, 1)
    offered = state.offer(fleet, "d1", state.TIGHTENING, "me", "why")
    with pytest.raises(state.Refused, match="version 1 is offered: wait for it, or halt it"):
        state.offer(offered, "d2", state.TIGHTENING, "me", "why")
    with pytest.raises(state.Refused, match="version 1 is not closing: 1 is offered"):
        state.enforce(offered, 1)
    halted = state.halt(offered, 1, "no")
    assert halted.coming is None and state.offer(halted, "d1", state.LOOSENING, "me", "again").coming.number == 2
    closing = state.close(offered, 1)
    with pytest.raises(state.Refused, match="version 1 is not offered"):
        state.halt(closing, 1, "too late")
    forced = state.enforce(closing, 1)
    assert forced.version.number == 1 and forced.history[-1].number == 0
    with pytest.raises(state.Refused, match="version 1 holds the same"):
        state.offer(forced, "d1", state.LOOSENING, "me", "why")
    assert state.read(forced.value()) == forced
    with pytest.raises(state.Refused, match="n1 and n0 both are ingress 0"):
        state.join(fleet, {"n0": state.Member(0, "z", "a:1"), "n1": state.Member(0, "z", "b:1")})


@given(st.recursive(st.none() | st.integers() | st.text(max_size=4), lambda inner: st.lists(inner, max_size=3)
                    | st.dictionaries(st.sampled_from(("schema", "record", "version", "members", "last")), inner),
                    max_leaves=8))
def test_no_state_is_read_from_garbage(value):
    with pytest.raises(state.Refused):
        state.read(value)


# One conductor, one licence

def fleet_of(size: int, **bounds) -> state.Fleet:
    values = {"licence_s": 1.0, "settle_s": 2.0, "ring": size, **bounds}
    return state.join(state.found("r", state.Bounds(**values)),
                      {f"n{i}": state.Member(i, f"z{i % 3}", "a:1") for i in range(size)})


def word(i: int, at: float, acting: int = 0, prepared: str = "", **changes) -> Word:
    values = {"name": f"n{i}", "life": "1", "origin": f"o{i}", "member": state.Member(i, f"z{i % 3}", "a:1"),
              "acting": acting, "prepared": prepared, "fault": "", "at": at, "revision": 9, **changes}
    return Word(**values)


def test_a_version_closes_with_all_waits_for_a_few_and_is_halted_for_many():
    offered = state.offer(fleet_of(8), "d", state.TIGHTENING, "me", "why")
    for ready, soon, late, at_last in ((8, "close", None, None), (7, None, "close", None), (4, None, None, "halt")):
        one = Conductor()
        found = []
        for at in (10.0, 12.5, 14.5):
            for i in range(8):
                said = {"prepared": "d"} if i < ready else {"fault": "no cells here"}
                one.heard(word(i, at, **said), 1.0)
            found.append(one.look(offered, 9, at))
        assert [step and step.what for step in found][:1 + bool(late) + 2 * bool(at_last)] == [
            soon, late, at_last][:1 + bool(late) + 2 * bool(at_last)]
        if at_last:
            assert "no cells here" in found[-1].why and "n4, n5, n6, n7" in found[-1].why


def test_in_force_takes_a_licences_life_after_enough_have_gone_over():
    closing = state.close(state.offer(fleet_of(8), "d", state.TIGHTENING, "me", "why"), 1)
    one = Conductor()

    def look(at: float, over: int) -> Step | None:
        for i in range(8):
            one.heard(word(i, at, acting=int(i < over)), 1.0)
        return one.look(closing, 9, at)

    assert look(10.0, 4) is None and "may still act on version 0" in one.held(closing, 10.0)
    assert look(11.5, 7) is None and look(12.4, 7) is None     # enough since 11.5
    assert look(12.45, 4) is None                               # one that fell back: it begins anew
    assert look(12.5, 7) is None and look(13.5, 7) is None
    assert look(13.6, 7) == Step("enforce", 1)


def test_a_name_that_two_machines_have_is_given_to_the_first():
    one = Conductor()
    assert one.heard(word(1, 10.0), 1.0) == ""
    assert "n1 is taken" in one.heard(word(1, 10.5, origin="other", life="2"), 1.0)
    assert one.heard(word(1, 10.6), 1.0) == ""
    assert one.heard(word(1, 13.0, origin="other", life="2"), 1.0) == ""     # the first is silent for long


def test_of_two_processes_of_an_ingress_both_count():
    fleet = state.close(state.offer(fleet_of(8), "d", state.TIGHTENING, "me", "why"), 1)
    one = Conductor()
    one.heard(word(1, 10.0, acting=0, life="old", others=1), 1.0)
    one.heard(word(1, 10.1, acting=1, life="new", others=1), 1.0)
    assert "n1" in one.behind(fleet, 10.2, 1)
    one.heard(word(1, 15.0, acting=1, life="new", others=1), 1.0)
    assert "n1" in one.behind(fleet, 15.1, 1)       # the old one says nothing, and lives
    one.heard(word(1, 15.2, acting=1, life="new", others=0), 1.0)
    assert "n1" not in one.behind(fleet, 15.3, 1)
    alone = Conductor()
    alone.heard(word(1, 10.0, acting=1, life="new", others=1), 1.0)
    assert "n1" in alone.behind(fleet, 10.1, 1)     # a keeper that was restarted has not heard of the old one


def admitted(fleet: state.Fleet, now: float = 10.0) -> Licence:
    made = Licence("n0")
    actions = made.granted("k0", fleet, 5, 1.0, now, now)
    assert [type(a) for a in actions] == [Act, Admit]
    return made


def test_a_licence_counts_from_the_asking_and_ends():
    made = Licence("n0")
    made.granted("k0", fleet_of(8), 5, 0.8, 10.0, 10.5)
    assert made.valid(10.79) and not made.valid(10.81)
    assert [type(a) for a in made.look(10.81)] == [Shut] and made.look(10.9) == []
    assert [type(a) for a in made.granted("k1", fleet_of(8), 5, 0.9, 11.0, 11.0)] == [Admit]


def test_an_older_answer_a_refusal_and_another_record_give_no_licence():
    made = admitted(fleet_of(8))
    made.granted("k1", fleet_of(8), 4, 5.0, 10.1, 10.1)
    assert made.until == 11.0
    made.granted("k1", fleet_of(8), 5, 0.0, 10.5, 10.5)
    assert made.until == 11.0
    lower = state.found("other", state.Bounds(licence_s=1.0))
    made.acting = 3
    (told,) = made.granted("k1", lower, 50, 5.0, 10.6, 10.6)
    assert told.loud and "nothing is taken from there" in told.text and made.until == 11.0
    higher = state.found("other", state.Bounds(licence_s=1.0), 7)
    actions = made.granted("k1", higher, 2, 1.0, 10.7, 10.7)
    assert made.fleet.record == "other" and [a.digest for a in actions if isinstance(a, Fetch)] == [state.LOST]
    # What its version held is lost: only who acts on it already goes on.
    assert not [a for a in actions if isinstance(a, Act)] and made.until == 11.0
    made.acting = 7
    made.granted("k1", higher, 2, 1.0, 10.8, 10.8)
    assert made.valid(11.7)


def test_a_version_is_fetched_when_offered_and_acted_on_when_it_closes():
    made = admitted(fleet_of(8))
    offered = state.offer(fleet_of(8), "d", state.TIGHTENING, "me", "why")
    assert made.granted("k0", offered, 6, 1.0, 10.2, 10.2) == [Fetch(1, "d")]
    assert made.prepared("d", 10.3) == [] and made.acting == 0
    (act,) = made.granted("k0", state.close(offered, 1), 7, 1.0, 10.5, 10.5)
    assert act == Act(1, "d", True, "version 1 is agreed") and made.valid(11.4)
    (act,) = made.granted("k0", state.enforce(state.close(offered, 1), 1), 8, 1.0, 10.9, 10.9)
    assert not act.mixed


def test_who_can_not_take_a_version_in_keeps_its_old_licence_to_its_end_and_no_longer():
    made = admitted(fleet_of(8))
    offered = state.offer(fleet_of(8), "d", state.TIGHTENING, "me", "why")
    made.granted("k0", offered, 6, 1.0, 10.2, 10.2)
    (told,) = made.failed("d", "cells are off here", 10.3)
    assert told.loud
    made.granted("k0", state.close(offered, 1), 7, 1.0, 10.5, 10.5)
    assert made.acting == 0 and made.valid(11.1) and not made.valid(11.3)
    shut = [a for a in made.look(11.3) if isinstance(a, Shut)]
    assert "version 1 is not at hand: cells are off here" in shut[0].why


def peer(i: int, acting: int = 0, left: float = -1.0, firm: bool = True, revision: int = 5) -> PeerWord:
    return PeerWord(f"n{i}", acting, left, firm, revision)


def test_many_that_hear_no_keeper_go_on_and_few_are_shut_out():
    fleet = fleet_of(8)     # 2 of 8 may be out
    for others, goes_on in ((1, False), (2, False), (5, True)):
        made = admitted(fleet)
        for i in range(others):
            made.heard(peer(2 + i if others < 3 else 1 + i), 11.5, 11.6)
        assert made.valid(11.9) is (goes_on or others == 2)
    made = admitted(fleet)
    made.heard(peer(1), 11.5, 11.6)     # with n0 all of an agency's set
    assert made.valid(12.4) and not made.valid(12.6)


def test_who_has_not_heard_that_the_roster_is_levelled_goes_by_no_smaller_one():
    """Found between processes: one that knew all six members went on alone, as there had once been one."""
    grown = state.join(fleet_of(1, ring=8), {f"n{i}": state.Member(i, f"z{i % 3}", "a:1") for i in range(1, 8)})
    assert grown.least[""] == 1 and state.overreach(grown, {"n0"}) and not state.overreach(
        state.level(grown), {"n0"})
    made = admitted(grown)
    made.look(11.5)
    assert not made.valid(11.5)


@pytest.mark.parametrize("change", [{"firm": False}, {"acting": 1}, {"revision": 6}])
def test_peers_in_another_state_are_no_reason_to_go_on(change):
    made = admitted(fleet_of(8))
    for i in range(1, 8):
        made.heard(peer(i, **change), 11.5, 11.6)
    assert not made.valid(11.7)


def test_a_peer_passes_on_what_is_left_of_its_licence():
    made = admitted(fleet_of(8))
    made.heard(peer(4, left=0.6), 11.5, 11.9)
    assert made.valid(12.05) and not made.valid(12.15)


def test_after_a_restart_it_never_goes_back_behind_its_version():
    fleet = state.enforce(state.close(state.offer(fleet_of(8), "d", state.LOOSENING, "a", "b"), 1), 1)
    made = Licence("n0")
    made.restored(fleet, 9, 1)
    assert not made.valid(10.0) and made.prepared("d", 10.0)[0].number == 1
    assert made.granted("k0", fleet_of(8), 5, 1.0, 10.1, 10.1) == [] and not made.valid(10.2)
    other = Licence("n0")
    other.restored(fleet, 9, 4)     # its version was lost from the record
    assert not [a for a in other.look(10.0) if isinstance(a, Act)]
