"""A short soak test, and its checks: records with an injected violation of each kind are found."""

import asyncio
from collections import Counter

import pytest

from fennelpoint.testing.soak.plan import CORE_FAULTS, FaultKind, random_plan
from fennelpoint.testing.soak.records import Cancellation, Execution, Interval, Lookup, Records
from fennelpoint.testing.soak.runner import run_soak
from fennelpoint.testing.soak.versions import VersionHistory, VersionReply

SEED, GROUPS = 11, 1  # LEAVING_CLIENTS, ROLL_FRONTS and PAUSE_CORE


def test_system_violates_no_rule_under_overlapping_faults() -> None:
    result = asyncio.run(asyncio.wait_for(run_soak(SEED, GROUPS), 90.0))
    assert result.violations == [], result
    assert result.cancellations > 5 and result.lookups > 20 and result.served > 0.7 * result.requests, result
    assert result.uploads > 10, result
    assert result.versions > 5 and result.version_answers > 100, result


def test_plan_has_overlapping_faults_and_one_core_fault_at_a_time() -> None:
    for seed in range(50):
        scheduled_faults = random_plan(seed, 4)
        assert scheduled_faults == random_plan(seed, 4) and FaultKind.LEAVING_CLIENTS in {
            fault.kind for fault in scheduled_faults
        }
        core = sorted((fault.starts_at, fault.ends_at) for fault in scheduled_faults if fault.kind in CORE_FAULTS)
        assert all(ends < begins for (_, ends), (begins, _) in zip(core, core[1:], strict=False))
    assert any(a.ends_at > b.starts_at for a, b in zip(scheduled_faults, scheduled_faults[1:], strict=False))


def valid_records() -> Records:
    """Two proxies in one region and one in each other, all ready for long; no violation."""
    records = Records(
        ("c1", "c2"), {"f1": "ra", "f2": "ra", "f3": "rb", "f4": "rc"}, {"homes": frozenset(("ra", "rb"))}
    )
    for at in (0.0, 30.0):
        for proxy in records.regions:
            records.record_probe(proxy, True, at)
    records.executions = {"a1": [Execution("a1", 10.0, 10.3)], "a2": [Execution("a2", 10.0, 12.0)]}
    records.cancellations = [Cancellation("a1", "f1", True, 10.1), Cancellation("a2", "f1", False, 10.1)]
    records.lookups = [Lookup(20.0, "c1", "any", "ra", ["f1"]), Lookup(20.0, "c1", "homes", "ra", ["f1", "f3"])]
    records.write_counts = Counter({"m1": 1})
    records.confirmed_writes = {"m1"}
    return records


def ran_after_cancellation(records: Records) -> None:
    records.executions["a1"][0].ended_at = 11.2


def started_after_cancellation(records: Records) -> None:
    records.executions["a1"].append(Execution("a1", 11.0, 11.1))


def misdirected(records: Records) -> None:
    records.lookups[0].proxies.append("f3")


def misdirected_during_restart(records: Records) -> None:
    records.ready_intervals.clear()
    records.planned_restarts["f1"] = [Interval(18.0, 22.0)]
    records.lookups = [Lookup(20.0, "c1", "homes", "ra", ["f4"])]


def ran_twice(records: Records) -> None:
    records.write_counts["m1"] += 1


def lost_a_write(records: Records) -> None:
    records.confirmed_writes.add("m2")


def refused_write_ran(records: Records) -> None:
    records.refused_writes["m1"] = "f1"


def ran_with_a_changed_body(records: Records) -> None:
    records.changed_bodies.append("a1")


def logged_an_error(records: Records) -> None:
    records.log_errors.append("f1 logged: ERROR 500 VIOLATED")


@pytest.mark.parametrize(
    "inject",
    [
        ran_after_cancellation,
        started_after_cancellation,
        misdirected,
        misdirected_during_restart,
        ran_twice,
        lost_a_write,
        refused_write_ran,
        ran_with_a_changed_body,
        logged_an_error,
    ],
)
def test_injected_violation_is_found_and_valid_records_have_none(inject) -> None:
    records = valid_records()
    assert records.violations() == []
    inject(records)
    assert len(records.violations()) == 1


def test_fault_of_a_core_machine_excuses_nothing_for_a_host_with_home_regions() -> None:
    for host, found in (("homes", 1), ("any", 0)):
        records = valid_records()
        records.home_regions["homes"] = frozenset(("ra",))
        records.lookups = [Lookup(20.0, "c1", host, "ra", ["f1", "f3"])]
        records.begin_fault("c2", 18.0).ends_at = 19.0
        assert len(records.violations()) == found


def test_observations_during_faults_or_own_delays_are_not_judged() -> None:
    for excuse in (
        lambda records: setattr(records.begin_fault("f1", 9.5), "ends_at", 10.0),
        lambda records: records.lag_intervals.append(Interval(10.2, 10.6)),
    ):
        records = valid_records()
        ran_after_cancellation(records)
        excuse(records)
        assert records.violations() == [] and records.judged_cancellations() == []
    for machine, found in (("f1", 0), ("c2", 0), ("f2", 1)):
        records = valid_records()
        misdirected_during_restart(records)
        records.begin_fault(machine, 18.5).ends_at = 19.0
        assert len(records.violations()) == found
    records = valid_records()
    misdirected(records)
    for proxy in ("f1", "f2"):  # none of the region has been ready all the time
        records.ready_intervals[proxy].clear()
        records.reported_ready[proxy] = False
        for at, is_ready in ((0.0, True), (18.0, True), (19.0, False), (19.5, True), (30.0, True)):
            records.record_probe(proxy, is_ready, at)
    assert records.violations() == []


@pytest.mark.parametrize(
    "version, sent_at, status, found",
    [
        (10, 13.1, 404, 1),  # from an earlier version, too late
        (10, 12.9, 404, 0),
        (2, 13.1, 200, 1),  # from a superseded version, too late
        (2, 12.9, 200, 0),
        (2, 13.1, 404, 0),
        (10, 13.1, 200, 0),
        (10, 13.1, 503, 0),
        (3, 13.1, 404, 1),
        (3, 20.1, 404, 0),  # a newer version without the route was sent and may be in force
        (10, 20.1, 404, 1),  # the newer version has the route, too
    ],
)
def test_reply_from_a_version_superseded_too_long_ago_is_found(
    version: int, sent_at: float, status: int, found: int
) -> None:
    versions = VersionHistory(3.0, {9: 1.0, 10: 9.5, 11: 20.0}, {9: 2.0, 10: 10.0})
    versions.replies.append(VersionReply("f", version, sent_at, sent_at + 0.1, status))
    assert len(versions.violations()) == found
