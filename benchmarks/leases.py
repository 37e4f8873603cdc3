"""What a usage report costs, and what of a quota leases give: `python benchmarks/leases.py`.

In one process, no sockets, a counter that answers at once.  The first table: each customer is reported by two
proxies in turn, and asked for once by a single decision.  The second: one ingress and two proxies share one
customer's quota of 20 a second for 60 s of simulated time, each asked for a third.
"""

from __future__ import annotations

import os
import platform
import time

from fennelpoint import Controller
from fennelpoint import interface as api
from fennelpoint.settings import from_json
from fennelpoint.testing import SETTINGS
from fennelpoint.testing.proxies import Tokens
from fennelpoint.xds.leases import Assign, Bank, Spec
from fennelpoint.xds.quota_checker import Verdict

REPORT, DELIVERY, RATE, SECONDS, STEP = 0.5, 0.25, 20.0, 60.0, 0.05


def settings(burst: float, ingresses: int = 2) -> api.Settings:
    plan = {"name": "basic", "pays": 1.0, "quota_rate": RATE, "store_size": burst, "overrun_cost": 0.5}
    return from_json({**SETTINGS, "contracts": [plan], "balancers": ingresses})


class Driver:
    """A bank whose timers ring and whose counter answers."""

    def __init__(self, made: api.Settings, totals: dict[int, float]) -> None:
        self.bank, self.totals, self.now = Bank(made, 7, 100.0, REPORT, DELIVERY), totals, 100.0
        self.timers: list[tuple[float, int]] = []
        self.assigned: list[Assign] = []
        self.granted = 0

    def take(self, acts: list) -> None:
        for act in acts:
            if isinstance(act, api.SetTimer):
                self.timers.append((self.now + act.delay, act.token))
            elif isinstance(act, api.Count):
                self.totals[act.name] = self.totals.get(act.name, 0.0) + act.amount
                reply = api.CounterReply(act.name, api.Status.OK, self.totals[act.name], 0.001)
                self.take(self.bank.handle(reply, self.now))
            elif isinstance(act, Assign):
                self.assigned.append(act)
            elif isinstance(act, Verdict):
                self.granted += act.granted

    def to(self, at: float) -> None:
        while due := sorted(t for t in self.timers if t[0] <= at):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.take(self.bank.handle(api.TimerDue(due[0][1]), self.now))
        self.now = max(self.now, at)


def bucket(customer: int):
    return (("customer", f"{customer:016x}"), ("plan", "basic"), ("units", "1"))


def cost(customers: int) -> tuple[float, float]:
    """Microseconds of a report, and of a single decision."""
    driver = Driver(settings(100.0), {})
    driver.to(driver.bank.open_at + 1.0)
    rounds = max(2, 20_000 // customers)
    spent = 0.0
    for turn in range(rounds):
        begun = time.perf_counter()
        for customer in range(customers):
            driver.take(driver.bank.report(turn % 2, bucket(customer), 3, 1, REPORT, driver.now))
        spent += time.perf_counter() - begun
        driver.to(driver.now + REPORT / 2)
    begun = time.perf_counter()
    for customer in range(customers):
        driver.take(driver.bank.ask(Spec(customer, 0, 0, 1.0), 0.02, driver.now)[1])
    single = time.perf_counter() - begun
    assert driver.assigned and driver.granted
    return spent / rounds / customers * 1e6, single / customers * 1e6


def shared(load: float, burst: float) -> tuple[int, int]:
    """Requests that passed at all three, and those asked."""
    made, totals = settings(burst), {}
    driver = Driver(made, totals)
    driver.to(driver.bank.open_at + 1.0)
    ingress, timers = Controller(made, 3, driver.now), []
    only = api.BackendEntry("a", api.BackendState.READY)
    ingress.handle(api.Roster(api.RosterKind.FULL, 1, [only]), driver.now)
    proxies, told, due = {1: Tokens(), 2: Tokens()}, {1: [0, 0], 2: [0, 0]}, [0.0, 0.0, 0.0]
    passed = asked = 0

    def carry_out(actions: list) -> None:
        nonlocal passed
        for action in actions:
            if isinstance(action, api.SetTimer):
                timers.append((driver.now + action.delay, action.token))
            elif isinstance(action, api.Count):
                totals[action.name] = totals.get(action.name, 0.0) + action.amount
                carry_out(ingress.handle(api.CounterReply(
                    action.name, api.Status.OK, totals[action.name], 0.001), driver.now))
            elif isinstance(action, api.Send):
                passed += 1
                carry_out(ingress.handle(api.Outcome(
                    action.request, 0, "a", api.Status.OK, 0.02, True), driver.now))

    for i in range(int(SECONDS / STEP)):
        driver.to(driver.now + STEP)
        for timer in [t for t in timers if t[0] <= driver.now]:
            timers.remove(timer)
            carry_out(ingress.handle(api.TimerDue(timer[1]), driver.now))
        for who in range(3):
            due[who] += load * RATE / 3 * STEP
            while due[who] >= 1.0:
                due[who], asked = due[who] - 1.0, asked + 1
                if who == 0:
                    carry_out(ingress.handle(api.Request(asked, 0, 0, 1, 0.1, 1.0, 2.0, 0.0), driver.now))
                else:
                    passes = proxies[who].use(driver.now)
                    told[who][not passes], passed = told[who][not passes] + 1, passed + passes
        for who in (1, 2):
            if i % 10 == 5 * (who - 1):
                driver.take(driver.bank.report(who, bucket(1), *told[who], REPORT, driver.now))
                told[who] = [0, 0]
        for act in driver.assigned:
            proxies[act.stream].take(act.tokens, act.rate, act.life, driver.now)
        driver.assigned.clear()
    return passed, asked


def main() -> None:
    print(f"{platform.machine()}, {os.cpu_count()} processors, Python {platform.python_version()}")
    print(f"{'customers':>9}{'report us':>11}{'ratio':>7}{'decision us':>13}{'ratio':>7}")
    first = None
    for customers in (10, 1000, 10_000):
        report, single = cost(customers)
        first = first or (report, single)
        print(f"{customers:>9}{report:>11.1f}{report / first[0]:>7.2f}"
              f"{single:>13.1f}{single / first[1]:>7.2f}")
    print(f"\n{'asked/quota':>11}{'burst s':>9}{'passed of the lesser':>22}{'of quota and burst':>20}")
    for load in (0.5, 0.8, 3.0):
        for seconds in (1.0, 2.0, 5.0):
            passed, asked = shared(load, seconds * RATE)
            print(f"{load:>11}{seconds:>9}{passed / min(asked, RATE * SECONDS):>22.2f}"
                  f"{passed / (RATE * (SECONDS + seconds)):>20.2f}")


if __name__ == "__main__":
    main()
