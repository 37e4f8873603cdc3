"""A description and the hand-written configuration give the module the same events and get the same actions.

The same seeded requests go through a whole ingress twice: once by a description, with class and units left
out, once as they are written by hand.  Time stands still but for what the test and the stand-ins let pass,
and the counter answers one call at a time, so that both plays can be compared event by event.
"""

from __future__ import annotations

import asyncio
import heapq
import json
from dataclasses import replace
from random import Random

import pytest
from describing import GRADES, HEAD
from plays import HEAD_30, OTHER, PLAYS, described

from fennelpoint import interface as api
from fennelpoint.net import controller_host as host_module
from fennelpoint.operator_config import Operator, Routes
from fennelpoint.testing import Backend, Count, ok, read_message, run, until, world
from fennelpoint.testing.settings import SETTINGS

REQUESTS = 70
# Small quotas, so that some are held and some refused; a sparse plan whose tries ask the counter one by one.
CONTRACTS = [{"name": "basic", "pays": 1.0, "quota_rate": 8.0, "store_size": 10.0, "overrun_cost": 1.0},
             {"name": "volume", "pays": 2.0, "quota_rate": 40.0, "store_size": 60.0, "extra_worth": 0.2},
             {"name": "thin", "pays": 1.0, "quota_rate": 0.5, "store_size": 2.0, "overrun_cost": 1.0}]


class StepCount(Count):
    """A counter that answers one call each time it is let."""

    def __init__(self) -> None:
        super().__init__()
        self.turns = asyncio.Semaphore(0)

    async def _handle(self, reader, writer) -> None:
        while line := await reader.readline():
            await self.turns.acquire()
            _, name, amount, _ = line.split()
            self.totals[name] = self.totals.get(name, 0.0) + float(amount)
            writer.write(b"ok %f\r\n" % self.totals[name])


class Play:
    """One play of the requests, with all that passed the module's edge."""

    def __init__(self, seed: int) -> None:
        self.now, self.timers, self.record, self.draw = 1e9, [], [], Random(seed)
        self.fates, self.replies = Random(seed + 1), 0
        self.made = None

    def answer(self, line, fields, body):
        """A booking server's fate: time passes, and one in five goes wrong in one of the protocol's ways."""
        self.now += self.fates.uniform(0.005, 0.05)
        fate = self.fates.random()
        if fate < 0.06:
            return ok(b"", "503 Service Unavailable", "X-Turned-Away: 1\r\n")
        if fate < 0.12:
            return ok(b"", "500 Internal Server Error")
        return b"" if fate < 0.18 else ok(b"yes")     # b"" breaks the connection

    def watch(self, made) -> None:
        """Record what the module is given and answers, and keep its timers to be rung by the test."""
        self.made, host = made, made.ingress.host
        handle = host.controller.handle

        def recorded(event, now):
            if isinstance(event, api.CounterReply):
                event = replace(event, latency=0.0)     # of the sockets' clock
                self.replies += 1
            actions = handle(event, now)
            self.record.append((event, round(now, 6), list(actions)))
            return actions

        host.controller.handle = recorded
        host._action_handlers[api.SetTimer] = lambda timer: heapq.heappush(
            self.timers, (self.now + timer.delay, timer.token))

    def quiet(self) -> bool:
        """Nothing is out at a backend, and nothing waits to be told."""
        host = self.made.ingress.host
        return not any(t.exchanges for t in host.open_requests.values()) and not host._events

    def calls(self) -> int:
        return sum(call.on_reply is not None for call in self.made.ingress.counter.open_calls)

    async def request(self, data: bytes) -> bytes:
        """One request to its answer: counter calls end and timers ring one by one, when all is quiet."""
        host, before = self.made.ingress.host, self.made.ingress.host.last_id
        reader, writer = await self.made.connect()
        writer.write(data)
        answer = asyncio.ensure_future(read_message(reader))
        await until(lambda: answer.done() or host.last_id > before)
        while True:
            await until(self.quiet)
            if self.calls():    # the answer of one may cause another at once
                replies = self.replies
                self.made.count.turns.release()
                await until(lambda replies=replies: self.replies != replies)
            elif not host.unanswered_count:
                break
            else:
                self.ring(self.timers[0][0])
        first, _, _ = await answer
        writer.close()
        await until(lambda: not self.made.ingress.server.connections)
        return first

    def ring(self, until_time: float) -> None:
        while self.timers and self.timers[0][0] <= until_time:
            at, token = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            self.made.ingress.host.post(api.TimerDue(token))

    async def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while self.timers and self.timers[0][0] <= end:
            self.ring(self.timers[0][0])
            await until(lambda: self.quiet())
        self.now = end


def written(draw: Random, kinds: list[tuple], number: int, by_hand: bool) -> bytes:
    """The request of this number; class and units are said by hand or left out."""
    method, target, cls, units, *more = draw.choice(kinds)
    plan, customer = draw.choice([("basic", 1), ("basic", 2), ("volume", 3), ("thin", 4)])
    terms = f"units={units:g},spread=2,first=0" if by_hand else "spread=2,first=0"
    lines = [f"{method} {target} HTTP/1.1", "Host: app.svc", f"X-Txn: t{number}", f"Api-Plan: {plan}",
             f"Cookie: account={customer:016x}", "X-Remaining-Ms: 25000", f"Api-Terms: {terms}",
             *(more[0] if more else ())]
    lines += [f"X-Lane: {cls}"] if by_hand else []
    lines += ["Content-Length: 0"] if method != "GET" else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def play(kinds: list[tuple], operator: Operator | None, seed: int, monkeypatch) -> Play:
    made_play = Play(seed)
    monkeypatch.setattr(host_module, "Clock", lambda: lambda: made_play.now)

    async def inner() -> None:
        # No time-out of the wall clock: that of a connect is as long as a request may take.
        settings = {"grades": GRADES, "contracts": CONTRACTS,
                    "bounds": {**SETTINGS["bounds"], "connect_timeout_s": 25.0},
                    "extra": {"has_counter": True, "count_wait_s": 25.0, "units_top": 3}}
        backends = [Backend(made_play.answer) for _ in range(3)]
        async with world(*backends, operator=operator, count=StepCount(), **settings) as made:
            made_play.watch(made)
            for number in range(REQUESTS):
                data = written(made_play.draw, kinds, number, operator is None)
                await made_play.request(data)
                await made_play.pass_time(made_play.draw.expovariate(12.0))

    run(inner())
    return made_play


@pytest.mark.parametrize("name", PLAYS)
def test_description_and_hand_written_configuration_decide_alike(tmp_path, monkeypatch, name):
    body, kinds = PLAYS[name]
    path = tmp_path / "d.yaml"
    path.write_text(described(body, HEAD_30 if "3.0" in name else HEAD))
    (tmp_path / "other.yaml").write_text(OTHER)
    seed = 100 + list(PLAYS).index(name)
    by_table = play(kinds, Operator(routes=Routes(str(path))), seed, monkeypatch)
    by_hand = play(kinds, None, seed, monkeypatch)
    for one, two in zip(by_table.record, by_hand.record, strict=False):
        assert one == two
    assert len(by_table.record) == len(by_hand.record)
    events = [event for event, _, _ in by_hand.record]
    actions = [type(action) for _, _, taken in by_hand.record for action in taken]
    # The play must have something to tell: sends, refusals, counter calls, and attempts that failed.
    assert sum(isinstance(e, api.Request) for e in events) == REQUESTS
    assert actions.count(api.Send) > REQUESTS / 4 and actions.count(api.Refuse) + actions.count(api.Fail) > 3
    assert api.Count in actions and any(isinstance(e, api.CounterReply) for e in events)
    assert sum(isinstance(e, api.Outcome) and e.status is not api.Status.OK for e in events) > 3


def test_there_are_twelve_of_them_and_json_is_read_alike(tmp_path):
    import yaml

    from fennelpoint.routes.description import load

    assert len(PLAYS) >= 12
    for number, (body, _) in enumerate(PLAYS.values()):
        (tmp_path / "other.yaml").write_text(OTHER)
        (tmp_path / "d.yaml").write_text(described(body))
        (tmp_path / "d.json").write_text(json.dumps(yaml.safe_load(described(body)), indent=number % 3))
        one, two = (load(tmp_path / name) for name in ("d.yaml", "d.json"))
        assert not one.faults and not two.faults
        assert [r[:7] for r in one.routes] == [r[:7] for r in two.routes]
