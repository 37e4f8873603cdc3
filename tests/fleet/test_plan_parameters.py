"""Plans whose figures change under load: in the module, and over several processes through the mixture."""

import asyncio
import time
from dataclasses import replace

import pytest
from conftest import CAPPED, HARD, Harness, make_settings, many_backends

from fennelpoint import interface as api
from fennelpoint.fleet import version_contents
from fennelpoint.fleet.state import LOOSENING, TIGHTENING
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.observer import faults, passed
from fennelpoint.testing.process_cluster import Rig, Shape, content_of, figures
from fennelpoint.validation_errors import FaultyFile


def sent(harness: Harness, count: int, **ask) -> int:
    return sum(isinstance(a, api.Send) for _ in range(count) for a in harness.request(**ask))


def test_smaller_figures_hold_at_once_and_larger_ones_give_no_more_than_time_does():
    harness = many_backends(has_counter=False)
    plans = list(harness.settings.plans)
    assert sent(harness, 1, plan=HARD) == 1
    smaller = [replace(plan, rate=1.0, burst=2.0) if i == HARD else plan for i, plan in enumerate(plans)]
    harness.deliver(api.PlansChanged(smaller, 1, True))
    assert sent(harness, 6, plan=HARD) <= 2
    harness.deliver(api.PlansChanged(plans, 2, False))
    assert sent(harness, 6, plan=HARD) == 0
    harness.advance(1.0)
    assert 1 <= sent(harness, 6, plan=HARD) <= 3     # rate 4 over two ingresses, for a second


def test_no_word_of_the_counter_counts_while_figures_are_mixed_and_its_stores_are_kept_apart():
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


def test_what_waits_is_answered_at_once_when_nothing_may_be_sent_and_nothing_is_until_then():
    harness = Harness(make_settings())
    assert harness.request() == []       # no backend: it waits
    (refusal,) = harness.deliver(api.Barred(True))
    assert isinstance(refusal, api.Refuse) and refusal.retry_after > 0.0
    harness.backends("a", "b")
    (refusal,) = harness.request()
    assert isinstance(refusal, api.Refuse) and refusal.retry_after > 0.0
    assert harness.advance(1.0) == []
    harness.deliver(api.Barred(False))
    assert any(isinstance(a, api.Send) for a in harness.request())


def test_an_attempt_that_fails_while_barred_is_not_tried_again():
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
def test_faults_of_a_content_are_named_with_file_line_and_place(files, text):
    with pytest.raises(FaultyFile) as caught:
        version_contents.parse_files(files)
    assert text in str(caught.value)


@pytest.mark.parametrize("data, text", [
    (b"{}", "is not a set of files"), (b"\xff", "is not a set of files"), (b"[]", "is not a set of files"),
    (b'{"schema":2,"files":{}}', "schema"), (b'{"schema":1,"files":{"plans.toml":3}}', "is not a set of files")])
def test_a_content_that_is_not_one_is_not_taken(data, text):
    with pytest.raises(FaultyFile, match=text):
        version_contents.unpack(data, version_contents.digest_of(data))
    with pytest.raises(FaultyFile, match="does not match its digest"):
        version_contents.unpack(data + b" ", version_contents.digest_of(data))


def test_what_a_change_takes_away_makes_it_a_tightening():
    settings = make_settings().plans
    old = version_contents.parse_files(GOOD)
    for rate, burst, kind in ((4, 8, LOOSENING), (5, 8, LOOSENING), (3, 8, TIGHTENING), (9, 7, TIGHTENING),
                              (0, 8, LOOSENING)):
        text = f'[[plans]]\nname = "hard"\nquota_rate = {rate}\nstore_size = {burst}\n'
        new = version_contents.parse_files({"plans.toml": text})
        assert version_contents.change_kind(settings, old, new) == kind, (rate, burst)
        if rate:
            assert version_contents.change_kind(None, old, new) == kind
    assert version_contents.change_kind(
        settings, old, version_contents.parse_files({**GOOD, **content_of(1)})) == TIGHTENING
    assert version_contents.change_kind(None, version_contents.EMPTY, old) == TIGHTENING
    unknown = version_contents.parse_files(
        {"plans.toml": '[[plans]]\nname = "none"\nquota_rate = 4\nstore_size = 8\n'})
    with pytest.raises(FaultyFile, match="the settings have no such plan"):
        version_contents.apply_limits(settings, unknown)
    one, other = version_contents.apply_limits(settings, old), version_contents.apply_limits(
        settings, version_contents.parse_files(
            {"plans.toml": '[[plans]]\nname = "hard"\nquota_rate = 2\nstore_size = 20\n'}))
    least = version_contents.minimum_limits(one, other)
    assert (least[HARD].rate, least[HARD].burst) == (2.0, 8.0)


# Processes

def test_a_ceiling_that_is_lowered_is_kept_from_its_force_on_and_the_older_one_until_then():
    """One agency asks for far more through all ingresses, with cuts and a stopped process about the change."""
    async def test() -> None:
        shape = Shape(ingresses=6, quota=(30.0, 30.0), ceiling=(40.0, 40.0, 4.0))
        async with Rig(shape, 31) as rig:
            rig.load(30.0, agencies=1, book=0.0)
            begun = time.monotonic()
            await asyncio.sleep(2.5)
            number = await rig.publish(figures(9.0, 6.0, 12.0, 12.0))
            await asyncio.sleep(0.3)
            rig.stop("n1")
            rig.cut("n2", "k0", "k1")
            await rig.until_forced(number)
            forced = time.monotonic()
            rig.go_on("n1")
            rig.heal()
            await asyncio.sleep(4.0)
            slack = 4.0 + 0.15 * 40.0
            assert passed(rig.seen, 0x100, 40.0, 40.0, begun - 5.0, slack) == []
            assert passed(rig.seen, 0x100, 12.0, 12.0, forced, 4.0 + 0.15 * 12.0) == []
            since = [a for a in rig.seen.arrivals if a.at > forced + 1.5]
            assert len(since) > 10      # and it is served
            assert faults(rig.seen) == {}

    run(test(), 60.0)


def test_a_build_that_does_not_go_by_the_new_figures_is_found():
    async def test() -> None:
        shape = Shape(ingresses=6, quota=(30.0, 30.0), ceiling=(40.0, 40.0, 4.0), broken="figures")
        async with Rig(shape, 31) as rig:
            rig.load(30.0, agencies=1, book=0.0)
            await asyncio.sleep(1.0)
            await rig.until_forced(await rig.publish(figures(9.0, 6.0, 12.0, 12.0)))
            forced = time.monotonic()
            await asyncio.sleep(3.0)
            assert passed(rig.seen, 0x100, 12.0, 12.0, forced, 4.0 + 0.15 * 12.0)

    run(test(), 60.0)
