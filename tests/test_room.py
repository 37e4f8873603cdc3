"""Who makes room when the descriptors are full: by what a connection has done, never one that was taken."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelpoint import file_descriptors
from fennelpoint.file_descriptors import KEPT, YOUNG, Leaves, Plan, who_leaves
from fennelpoint.testing import Backend, ok, read_message, request, run, until, world

NOW = 100.0
MINUTE = 60.0
L = Leaves


@pytest.mark.parametrize("ages, leaves", [
    ({}, None),
    ({L.LEAVING: 0.0, L.SILENT: 9.0, L.ONCE: 9.0, L.IDLE: 9.0, L.BEGUN: 9.0}, L.LEAVING),
    ({L.SILENT: YOUNG, L.ONCE: 9.0, L.IDLE: 9.0, L.BEGUN: 9.0}, L.SILENT),
    ({L.SILENT: YOUNG / 2, L.ONCE: KEPT, L.IDLE: 9.0, L.BEGUN: 9.0}, L.ONCE),
    ({L.ONCE: KEPT / 2, L.IDLE: 9.0, L.BEGUN: KEPT}, L.BEGUN),
    ({L.ONCE: KEPT / 2, L.IDLE: KEPT, L.BEGUN: KEPT / 2}, L.IDLE),
    ({L.ONCE: 0.1, L.IDLE: 0.1, L.BEGUN: 0.1}, L.ONCE),
    ({L.SILENT: YOUNG / 2, L.IDLE: KEPT / 2, L.BEGUN: KEPT / 2}, L.BEGUN),
    ({L.SILENT: YOUNG / 2, L.IDLE: KEPT / 2}, L.IDLE),
    ({L.SILENT: YOUNG / 2}, L.SILENT),
])
def test_order_of_those_who_leave(ages, leaves):
    assert who_leaves({kind: NOW - age for kind, age in ages.items()}, NOW) is leaves


@given(st.dictionaries(st.sampled_from(list(Leaves)), st.floats(0.0, 10.0), min_size=1))
def test_somebody_leaves_wherever_somebody_is_owed_nothing(ages):
    assert who_leaves({kind: NOW - age for kind, age in ages.items()}, NOW) in ages


def test_a_slow_sender_is_served_among_those_who_asked_once_and_stay(monkeypatch):
    """Seen on a day of crowds: 189 slow requests were closed unheard while 80 connections stood idle."""
    # What is asked is who goes first of those that have not stood for long: a busy machine takes its time.
    monkeypatch.setattr(file_descriptors, "KEPT", MINUTE)

    async def play() -> None:
        async with world(Backend()) as made:
            made.ingress.server.descriptor_plan = Plan(2, 0, 20)
            made.ingress.server.head_timeout_s = MINUTE
            slow, data = await made.connect(), request(left=5000)
            slow[1].write(data[:30])
            stay = []
            for _ in range(60):
                stay.append(await made.connect())
                stay[-1][1].write(request())
                await read_message(stay[-1][0])
                await asyncio.sleep(0.02)
            assert len(made.ingress.server.connections) <= 21
            slow[1].write(data[30:])
            assert (await read_message(slow[0]))[0].endswith("200 OK")
            for _, writer in (slow, *stay):
                writer.close()

    run(play())


def test_a_request_that_was_taken_makes_no_room():
    async def play() -> None:
        backend = Backend(lambda *_: None)
        async with world(backend) as made:
            made.ingress.server.descriptor_plan = Plan(2, 0, 4)
            held = [await made.connect() for _ in range(4)]
            for _, writer in held:
                writer.write(request(left=9000))
            await until(lambda: len(backend.seen) == 4)
            crowd = [await made.connect() for _ in range(10)]
            await until(lambda: len(made.ingress.server.connections) <= 5)
            for writer in backend.writers:
                writer.write(ok(b"yes"))
            for reader, _ in held:
                assert (await read_message(reader))[2] == b"yes"
            for _, writer in (*held, *crowd):
                writer.close()

    run(play())


def test_no_more_are_closed_than_must_be():
    async def play() -> None:
        async with world(Backend()) as made:
            made.ingress.server.descriptor_plan = Plan(2, 0, 20)
            idle = []
            for i in range(32):
                idle.append(await made.connect())
                idle[-1][1].write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
                await read_message(idle[-1][0])
                assert len(made.ingress.server.connections) == min(20, i + 1)
            for _, writer in idle:
                writer.close()

    run(play())


def test_a_connection_that_is_used_again_outlasts_heads_that_never_end():
    """Seen in a replayed incident: the front's own connections were closed for half-written requests."""
    async def play() -> None:
        async with world(Backend()) as made:
            made.ingress.server.descriptor_plan = Plan(2, 0, 8)
            front = await made.connect()
            for _ in range(2):
                front[1].write(request())
                await read_message(front[0])
            halves = []
            for _ in range(24):
                halves.append(await made.connect())
                halves[-1][1].write(b"GET /api HTTP/1.1\r\nX-Txn: 1\r\n")
                await asyncio.sleep(0.02)
            front[1].write(request())
            assert (await read_message(front[0]))[0].endswith("200 OK")
            for _, writer in (front, *halves):
                writer.close()

    run(play())
