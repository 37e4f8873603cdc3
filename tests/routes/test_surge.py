"""50 reloads in a surge of 5,000 requests: each try charged once, answered once, no booking run twice.

The descriptions differ in units, classes, effects and routes, so a request may be held, out, or retried by
its client while its route becomes another one, or goes.
"""

from __future__ import annotations

import asyncio
from collections import Counter as Tally
from random import Random

from describing import GRADES, HEAD, text

from fennelpoint import interface as api
from fennelpoint.operator_config import Operator, Routes
from fennelpoint.quotas import REFUSED_NAMES
from fennelpoint.testing import Backend, ok, read_message, run, until, world

RELOADS, REQUESTS, CLIENTS = 50, 5000, 24
BODIES = [f"""
    paths:
      /slots: {{get: {{x-larchwing: {{class: look, units: {units}}}, !ANSWER}}}}
      /mixed: {{post: {{x-larchwing: {{class: {cls}, effect: {effect}, units: {other}}}, !ANSWER}}}}
      {path}: {{post: {{x-larchwing: {{class: book, units: {units}}}, !ANSWER}}}}
    """ for units, cls, effect, other, path in (
        (1, "look", "safe", 1, "/book"), (2, "book", "unsafe", 3, "/book"),
        (0.5, "book", "unsafe", 0.5, "/gone"), (3, "look", "safe", 2, "/book"))]
CONTRACTS = [{"name": "basic", "pays": 1.0, "quota_rate": 400.0, "store_size": 800.0, "overrun_cost": 1.0},
             {"name": "volume", "pays": 2.0, "quota_rate": 1e5, "store_size": 1e6, "overrun_cost": 1.0}]
GRADES_LONG = [{**grade, "aim_s": 5.0, "give_up_s": 10.0} for grade in GRADES]


class Surge:
    """Clients that ask without a pause, and a ledger of all that came of it."""

    def __init__(self) -> None:
        self.statuses: dict[str, list[int]] = {}
        self.ran: Tally[str] = Tally()      # attempts at backends that may have had an effect
        self.came: set[str] = set()         # tries that came whole to a backend
        self.fates, self.draw, self.number = Random(5), Random(6), 0
        self.asked: dict[int, object] = {}
        self.charged: dict[int, float] = {}
        self.stop = False
        self.met_out = self.met_held = 0

    def answer(self, line: str, fields: dict, body: bytes) -> bytes:
        txn, fate = fields["x-txn"], self.fates.random()
        self.came.add(txn)
        if fate < 0.05:
            return ok(b"", "503 Service Unavailable", "X-Turned-Away: 1\r\n")
        self.ran[txn] += 1
        if fate < 0.08:
            return ok(b"", "500 Internal Server Error")
        return b"" if fate < 0.1 else ok(b"yes")

    def watch(self, made) -> None:
        host = made.ingress.host
        admit, handle = host.admit, host.controller.handle

        def admitted(client, asked):
            self.asked[host.last_id + 1] = asked
            return admit(client, asked)

        def handled(event, now):
            actions = handle(event, now)
            for action in actions:
                if isinstance(action, api.Send):
                    self.charged.setdefault(action.request, self.asked[action.request].units)
            return actions

        host.admit, host.controller.handle = admitted, handled

    async def client(self, made) -> None:
        reader, writer = await made.connect()
        while not self.stop:
            method, path = self.draw.choice([("GET", "/slots"), ("POST", "/mixed"), ("POST", "/book"),
                                             ("POST", "/gone")])
            plan, customer = self.draw.choice([("basic", 1), ("volume", 2), ("volume", 3), ("volume", 4)])
            for resent in range(3):     # a client's retry is a new try, with a new id
                self.number += 1
                txn = f"t{self.number}"
                writer.write((f"{method} {path} HTTP/1.1\r\nHost: a\r\nX-Txn: {txn}\r\nApi-Plan: {plan}\r\n"
                              f"Cookie: account={customer:016x}\r\nX-Remaining-Ms: 10000\r\n"
                              f"Api-Terms: spread=2,first=0\r\nX-Resent: {int(resent > 0)}\r\n"
                              + ("Content-Length: 0\r\n" if method == "POST" else "") + "\r\n").encode())
                self.statuses[txn] = []
                first, fields, _ = await read_message(reader)
                self.statuses[txn].append(int(first.split()[1]))
                if fields.get("connection") == "close":
                    writer.close()
                    reader, writer = await made.connect()
                if self.statuses[txn][0] not in (502, 503):
                    break
                await asyncio.sleep(min(0.02, float(fields.get("retry-after", 0))))
        writer.write_eof()      # anything more than one answer would be read here
        assert await reader.read() == b""
        writer.close()


def test_reloads_in_a_surge_charge_no_try_twice_and_lose_none(tmp_path):
    surge, path = Surge(), tmp_path / "d.yaml"
    path.write_text(text(BODIES[0], HEAD))

    async def play() -> None:
        backends = [Backend(surge.answer, delay=0.002) for _ in range(4)]
        operator = Operator(routes=Routes(str(path)))
        extra = {"has_counter": True, "count_wait_s": 0.5, "units_top": 3}
        async with world(*backends, operator=operator, grades=GRADES_LONG, contracts=CONTRACTS,
                         extra=extra) as made:
            surge.watch(made)
            follower, host = made.ingress.components["routes"].follower, made.ingress.host
            clients = [asyncio.create_task(surge.client(made)) for _ in range(CLIENTS)]
            for number in range(1, RELOADS + 1):
                path.write_text(text(BODIES[number % len(BODIES)], HEAD))
                made.ingress.reload()
                await until(lambda number=number: follower.changes.version == number + 1, 20.0)
                tickets = host.open_requests.values()     # those that the change has met
                surge.met_out += sum(bool(t.exchanges) for t in tickets)
                surge.met_held += sum(t.client is not None and not t.exchanges for t in tickets)
            await until(lambda: surge.number >= REQUESTS, 60.0)
            surge.stop = True
            await asyncio.gather(*clients)
            await until(lambda: not host.open_requests and not any(
                c.on_reply for c in made.ingress.counter.open_calls))
            customers = host.controller.customers.values()
            untold = sum(c.fresh + (c.reporting or 0.0) for c in customers)
            told = sum(total for name, total in made.count.totals.items() if int(name) < REFUSED_NAMES)
            assert abs(told + untold - sum(surge.charged.values())) < 1e-3

    run(play(), 120.0)
    assert surge.number >= REQUESTS and all(len(s) == 1 for s in surge.statuses.values())
    by_txn = {asked.request_id.decode(): (request, asked) for request, asked in surge.asked.items()}
    # What was charged is what came to a backend, at the units that its request was read with.
    assert {by_txn[txn][0] for txn in surge.came} == set(surge.charged)
    assert {0.5, 1.0, 2.0, 3.0} == {asked.units for _, asked in by_txn.values()}
    for txn, (_, asked) in by_txn.items():
        if GRADES[asked.cls]["repeat"] == "side_effect":
            assert surge.ran[txn] <= 1, "an unsafe request ran twice"
    statuses = Tally(status for (status,) in surge.statuses.values())
    assert set(statuses) <= {200, 404, 502, 503} and statuses[200] > REQUESTS / 4 and statuses[404] > 10
    assert surge.met_out > 50 and surge.met_held > 10, (surge.met_out, surge.met_held)
    assert any(n > 1 for n in surge.ran.values()), "nothing was retried, so nothing was shown"
