"""The soak in its short form, and its judge: records with a planted fault of each kind are found wrong."""

import asyncio
from collections import Counter

import pytest

from fennelpoint.testing.soak.plan import ON_CORE, Trouble, draw
from fennelpoint.testing.soak.records import Departure, Lookup, Records, Run, Span
from fennelpoint.testing.soak.runner import play
from fennelpoint.testing.soak.versions import Answer, Versions

SEED, GROUPS = 11, 1  # LEAVING_CLIENTS, ROLL_FRONTS and PAUSE_CORE


def test_the_system_keeps_its_promises_under_overlapping_troubles() -> None:
    result = asyncio.run(asyncio.wait_for(play(SEED, GROUPS), 90.0))
    assert result.wrong == [], result
    assert result.departures > 5 and result.lookups > 20 and result.served > 0.7 * result.requests, result
    assert result.versions > 5 and result.version_answers > 100, result


def test_a_plan_has_overlapping_troubles_and_one_of_the_core_at_a_time() -> None:
    for seed in range(50):
        entries = draw(seed, 4)
        assert entries == draw(seed, 4) and Trouble.LEAVING_CLIENTS in {entry.trouble for entry in entries}
        core = sorted((entry.at, entry.ends) for entry in entries if entry.trouble in ON_CORE)
        assert all(ends < begins for (_, ends), (begins, _) in zip(core, core[1:], strict=False))
    assert any(a.ends > b.at for a, b in zip(entries, entries[1:], strict=False))


def calm_records() -> Records:
    """Two fronts of one region and one of each other, all ready for long, and nothing wrong."""
    records = Records(
        ("c1", "c2"), {"f1": "ra", "f2": "ra", "f3": "rb", "f4": "rc"}, {"homes": frozenset(("ra", "rb"))}
    )
    for at in (0.0, 30.0):
        for front in records.regions:
            records.probed(front, True, at)
    records.runs = {"a1": [Run("a1", 10.0, 10.3)], "a2": [Run("a2", 10.0, 12.0)]}
    records.departures = [Departure("a1", "f1", True, 10.1), Departure("a2", "f1", False, 10.1)]
    records.lookups = [Lookup(20.0, "c1", "any", "ra", ["f1"]), Lookup(20.0, "c1", "homes", "ra", ["f1", "f3"])]
    records.writes = Counter({"m1": 1})
    records.confirmed = {"m1"}
    return records


def worked_on(records: Records) -> None:
    records.runs["a1"][0].ended = 11.2


def begun_late(records: Records) -> None:
    records.runs["a1"].append(Run("a1", 11.0, 11.1))


def led_astray(records: Records) -> None:
    records.lookups[0].named.append("f3")


def led_astray_from_a_restart(records: Records) -> None:
    records.ready.clear()
    records.planned["f1"] = [Span(18.0, 22.0)]
    records.lookups = [Lookup(20.0, "c1", "homes", "ra", ["f4"])]


def ran_twice(records: Records) -> None:
    records.writes["m1"] += 1


def lost_a_write(records: Records) -> None:
    records.confirmed.add("m2")


def broke_a_promise(records: Records) -> None:
    records.promised["m1"] = "f1"


def logged(records: Records) -> None:
    records.logged.append("f1 logged: ERROR 500 VIOLATED")


@pytest.mark.parametrize(
    "plant",
    [worked_on, begun_late, led_astray, led_astray_from_a_restart, ran_twice, lost_a_write, broke_a_promise, logged],
)
def test_a_planted_fault_is_found_and_calm_records_are_not_wrong(plant) -> None:
    records = calm_records()
    assert records.wrong() == []
    plant(records)
    assert len(records.wrong()) == 1


def test_a_core_machine_in_trouble_excuses_nothing_for_a_host_with_homes() -> None:
    for host, found in (("homes", 1), ("any", 0)):
        records = calm_records()
        records.homes["homes"] = frozenset(("ra",))
        records.lookups = [Lookup(20.0, "c1", host, "ra", ["f1", "f3"])]
        records.trouble("c2", 18.0).ends = 19.0
        assert len(records.wrong()) == found


def test_what_a_trouble_or_a_late_judge_may_have_done_is_not_judged() -> None:
    for spare in (
        lambda records: setattr(records.trouble("f1", 9.5), "ends", 10.0),
        lambda records: records.lags.append(Span(10.2, 10.6)),
    ):
        records = calm_records()
        worked_on(records)
        spare(records)
        assert records.wrong() == [] and records.judged_departures() == []
    for machine, found in (("f1", 0), ("c2", 0), ("f2", 1)):
        records = calm_records()
        led_astray_from_a_restart(records)
        records.trouble(machine, 18.5).ends = 19.0
        assert len(records.wrong()) == found
    records = calm_records()
    led_astray(records)
    for front in ("f1", "f2"):  # none of the region has been ready all the time
        records.ready[front].clear()
        records.said_ready[front] = False
        for at, ready in ((0.0, True), (18.0, True), (19.0, False), (19.5, True), (30.0, True)):
            records.probed(front, ready, at)
    assert records.wrong() == []


@pytest.mark.parametrize(
    "version, asked, status, found",
    [
        (10, 13.1, 404, 1),  # by a version before, too late
        (10, 12.9, 404, 0),
        (2, 13.1, 200, 1),  # by a version that was superseded, too late
        (2, 12.9, 200, 0),
        (2, 13.1, 404, 0),
        (10, 13.1, 200, 0),
        (10, 13.1, 503, 0),
        (3, 13.1, 404, 1),
        (3, 20.1, 404, 0),  # a newer one without it was sent, and may be in force
        (10, 20.1, 404, 1),  # the newer one has it, too
    ],
)
def test_an_answer_by_a_version_that_was_superseded_too_long_ago_is_found(
    version: int, asked: float, status: int, found: int
) -> None:
    versions = Versions(3.0, {9: 1.0, 10: 9.5, 11: 20.0}, {9: 2.0, 10: 10.0})
    versions.answers.append(Answer("f", version, asked, asked + 0.1, status))
    assert len(versions.wrong()) == found
