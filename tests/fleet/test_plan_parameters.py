"""Plan parameters that change under load: in the decision module, and across processes during the transition."""

import asyncio
import time
from dataclasses import replace

import pytest
from conftest import CAPPED, HARD, Harness, make_settings, many_backends

from fennelpoint import interface as api
from fennelpoint.fleet import version_contents
from fennelpoint.fleet.state import LOOSENING, TIGHTENING
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.observer import bucket_excess, faults
from fennelpoint.testing.process_cluster import Rig, Shape, content_of, figures
from fennelpoint.validation_errors import FaultyFile


def count_sends(harness: Harness, count: int, **request) -> int:
    return sum(isinstance(a, api.Send) for _ in range(count) for a in harness.request(**request))


def test_smaller_limits_apply_at_once_and_larger_ones_only_refill_over_time():
    harness = many_backends(has_counter=False)
    plans = list(harness.settings.plans)
    assert count_sends(harness, 1, plan=HARD) == 1
    smaller = [replace(plan, rate=1.0, burst=2.0) if i == HARD else plan for i, plan in enumerate(plans)]
    harness.deliver(api.PlansChanged(smaller, 1, True))
    assert count_sends(harness, 6, plan=HARD) <= 2
    harness.deliver(api.PlansChanged(plans, 2, False))
    assert count_sends(harness, 6, plan=HARD) == 0
    harness.advance(1.0)
    assert 1 <= count_sends(harness, 6, plan=HARD) <= 3     # rate 4 over two ingresses, for a second


def test_counter_replies_are_ignored_while_plans_are_mixed_and_each_version_has_its_own_counter():
    harness = Harness(make_settings(ingresses=40, most_units=1.0))
    harness.backends(*(f"s{i}" for i in range(40)))
    harness.request(plan=CAPPED, width=40.0)
    (before,) = {call.name for call in harness.counts}
    harness.count_replies(totals={})
    harness.counts.clear()
    harness.deliver(api.PlansChanged(list(harness.settings.plans), 7, True))
    harness.request(plan=CAPPED, width=40.0)
    assert not [call for call in harness.counts if call.amount > 0.5]
    harness.deliver(api.PlansChanged(list(harness.settings.plans), 7, False))
    harness.request(plan=CAPPED, width=40.0)
    assert before not in {call.name for call in harness.counts} and harness.counts


def test_queued_requests_are_refused_at_once_when_barred_and_nothing_is_sent_until_readmission():
    harness = Harness(make_settings())
    assert harness.request() == []       # no backend, so the request is queued
    (refusal,) = harness.deliver(api.Barred(True))
    assert isinstance(refusal, api.Refuse) and refusal.retry_after > 0.0
    harness.backends("a", "b")
    (refusal,) = harness.request()
    assert isinstance(refusal, api.Refuse) and refusal.retry_after > 0.0
    assert harness.advance(1.0) == []
    harness.deliver(api.Barred(False))
    assert any(isinstance(a, api.Send) for a in harness.request())


def test_an_attempt_that_fails_while_barred_is_not_retried():
    harness = Harness(make_settings())
    harness.backends("a", "b")
    (send,) = [a for a in harness.request() if isinstance(a, api.Send)]
    harness.deliver(api.Barred(True))
    actions = harness.answer(send.request, send.backend, api.Status.CONNECT_FAILED)
    assert [type(a) for a in actions] == [api.Refuse]


# Contents

GOOD = {"plans.toml": '[[plans]]\nname = "hard"\nquota_rate = 4\nstore_size = 8\n'}


@pytest.mark.parametrize("files, text", [
    ({"other.toml": ""}, "other.toml: it is not a file of a version"),
    ({}, "a version needs at least one file"),
    ({"plans.toml": "[[plans]]\nname = 3\n"}, "plans.toml:2: plans.0.name: 3 is not a text"),
    ({"plans.toml": "[[plans]]\nquota = 3\n"}, "is quota_rate meant?"),
    ({"plans.toml": "schema = 1\n"}, "it has no [[plans]]"),
    ({"plans.toml": '[[plans]]\nname = "a"\n[[plans]]\nname = "a"\n'}, "plans.1.name: 'a' appears twice"),
    ({"plans.toml": '[[plans]]\nname = "a"\nquota_rate = 1\nstore_size = 0\n'}, "admits nothing"),
    ({"cells.toml": "version = 1\n"}, "cells.toml: it has neither"),
])
def test_invalid_contents_are_reported_with_file_line_and_field(files, text):
    with pytest.raises(FaultyFile) as caught:
        version_contents.parse_files(files)
    assert text in str(caught.value)


@pytest.mark.parametrize("data, text", [
    (b"{}", "is not a set of files"), (b"\xff", "is not a set of files"), (b"[]", "is not a set of files"),
    (b'{"schema":2,"files":{}}', "schema"), (b'{"schema":1,"files":{"plans.toml":3}}', "is not a set of files")])
def test_malformed_contents_are_rejected(data, text):
    with pytest.raises(FaultyFile, match=text):
        version_contents.unpack(data, version_contents.digest_of(data))
    with pytest.raises(FaultyFile, match="does not match its digest"):
        version_contents.unpack(data + b" ", version_contents.digest_of(data))


def test_a_change_that_reduces_a_limit_is_a_tightening():
    settings = make_settings().plans
    old = version_contents.parse_files(GOOD)
    for rate, burst, kind in ((4, 8, LOOSENING), (5, 8, LOOSENING), (3, 8, TIGHTENING), (9, 7, TIGHTENING),
                              (0, 8, LOOSENING)):
        text = f'[[plans]]\nname = "hard"\nquota_rate = {rate}\nstore_size = {burst}\n'
        new = version_contents.parse_files({"plans.toml": text})
        assert version_contents.change_kind(settings, old, new) == kind, (rate, burst)
        if rate:
            assert version_contents.change_kind(None, old, new) == kind
    assert (
        version_contents.change_kind(settings, old, version_contents.parse_files({**GOOD, **content_of(1)}))
        == TIGHTENING
    )
    assert version_contents.change_kind(None, version_contents.EMPTY, old) == TIGHTENING
    unknown = version_contents.parse_files(
        {"plans.toml": '[[plans]]\nname = "none"\nquota_rate = 4\nstore_size = 8\n'}
    )
    with pytest.raises(FaultyFile, match="the settings have no such plan"):
        version_contents.apply_limits(settings, unknown)
    old_plans, new_plans = version_contents.apply_limits(settings, old), version_contents.apply_limits(
        settings, version_contents.parse_files(
            {"plans.toml": '[[plans]]\nname = "hard"\nquota_rate = 2\nstore_size = 20\n'}))
    combined = version_contents.minimum_limits(old_plans, new_plans)
    assert (combined[HARD].rate, combined[HARD].burst) == (2.0, 8.0)


# Processes

def test_a_lowered_ceiling_holds_once_in_force_and_the_previous_one_holds_until_then():
    """One agency sends far more than its ceiling through all ingresses, with a partition and a stopped process during
    the change."""
    async def test() -> None:
        shape = Shape(ingresses=6, quota=(30.0, 30.0), ceiling=(40.0, 40.0, 4.0))
        async with Rig(shape, 31) as rig:
            rig.load(30.0, agencies=1, book=0.0)
            started_at = time.monotonic()
            await asyncio.sleep(2.5)
            number = await rig.publish(figures(9.0, 6.0, 12.0, 12.0))
            await asyncio.sleep(0.3)
            rig.stop("n1")
            rig.cut("n2", "k0", "k1")
            await rig.until_forced(number)
            in_force_at = time.monotonic()
            rig.go_on("n1")
            rig.heal()
            await asyncio.sleep(4.0)
            slack = 4.0 + 0.15 * 40.0
            assert bucket_excess(rig.seen, 0x100, 40.0, 40.0, started_at - 5.0, slack) == []
            assert bucket_excess(rig.seen, 0x100, 12.0, 12.0, in_force_at, 4.0 + 0.15 * 12.0) == []
            later_arrivals = [a for a in rig.seen.arrivals if a.at > in_force_at + 1.5]
            assert len(later_arrivals) > 10      # the agency is still served
            assert faults(rig.seen) == {}

    run(test(), 60.0)


def test_a_build_that_ignores_the_new_limits_is_detected():
    async def test() -> None:
        shape = Shape(ingresses=6, quota=(30.0, 30.0), ceiling=(40.0, 40.0, 4.0), broken="figures")
        async with Rig(shape, 31) as rig:
            rig.load(30.0, agencies=1, book=0.0)
            await asyncio.sleep(1.0)
            await rig.until_forced(await rig.publish(figures(9.0, 6.0, 12.0, 12.0)))
            in_force_at = time.monotonic()
            await asyncio.sleep(3.0)
            assert bucket_excess(rig.seen, 0x100, 12.0, 12.0, in_force_at, 4.0 + 0.15 * 12.0)

    run(test(), 60.0)
