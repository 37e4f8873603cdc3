"""Histories for `retry_simulation`: random ones from a seed, or given step by step."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fennelpoint.system.proxy.controller import ProxyController
from fennelpoint.testing.retry_simulation import FAILURES, SERVICES, RetrySimulation

IDLE_TIMES_S = (5.0, 30.0, 60.0, 600.0, 3600.0)
KINDS = (
    "serve",
    "serve",
    "serve",
    "rest",
    "fail",
    "fail",
    "heal",
    "kill",
    "freeze",
    "thaw",
    "cut",
    "join",
    "term",
    "route",
)


@dataclass(frozen=True, slots=True)
class Step:
    """One event: its kind, and its parameters.

    serve: seconds, requests per second; rest: seconds; fail: share of requests, kind of failure; route: service;
    otherwise a number that selects the proxy.
    """

    kind: str
    first: float | int | str
    second: float | str | None = None


def random_step(random: Random) -> Step:
    """A random event."""
    kind = random.choice(KINDS)
    match kind:
        case "serve":
            return Step(kind, random.choice((0.5, 1.0, 3.0, 6.0)), random.choice((15.0, 30.0, 60.0)))
        case "rest":
            return Step(kind, random.choice(IDLE_TIMES_S))
        case "fail":
            return Step(kind, random.choice((0.1, 0.5, 1.0)), random.choice(list(FAILURES)))
        case "route":
            return Step(kind, random.choice(SERVICES))
        case _:
            return Step(kind, random.randrange(100))


def run_random_history(number: int, controller_type: type[ProxyController] = ProxyController) -> RetrySimulation:
    """Run the random history with that number to its end."""
    random = Random(number)
    proxy_count, slack = random.randint(2, 9), random.choice((5.0, 20.0, 60.0))
    return run_history(
        proxy_count, slack, number, [random_step(random) for _ in range(random.randint(3, 10))], controller_type
    )


def run_history(
    proxy_count: int,
    slack: float,
    seed: int,
    steps: list[Step],
    controller_type: type[ProxyController] = ProxyController,
) -> RetrySimulation:
    """Run a history from the start; at its end all backends of both services fail for a while."""
    simulation = RetrySimulation(proxy_count, slack, seed, controller_type)
    simulation.serve(6.0, 20.0)
    for step in steps:
        _run_step(simulation, step)
    for service in SERVICES:
        simulation.fail(service, 1.0)
    simulation.serve(4.0, 60.0)
    return simulation


def _run_step(simulation: RetrySimulation, step: Step) -> None:
    ips = list(simulation.proxies)
    match step.kind:
        case "serve":
            simulation.serve(step.first, step.second)
        case "rest":
            simulation.idle(step.first)
        case "fail":
            for service in SERVICES:
                simulation.fail(service, step.first, step.second)
        case "heal":
            for service in SERVICES:
                simulation.fail(service, 0.0)
        case "kill" | "freeze" | "thaw":
            getattr(simulation, step.kind)(ips[step.first % len(ips)])
        case "cut" | "join":
            simulation.cut(ips[step.first % len(ips)], step.kind == "cut")
        case "term":
            simulation.start_term()
        case "route":
            simulation.move_route(step.first)
