"""Histories of proxies that send retries, drawn from a seed or given step by step, and played in simulated time."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fennelpoint.system.proxy.controller import ProxyController
from fennelpoint.testing.retry_simulation import FAILURES, SERVICES, RetryWorld

RESTS = (5.0, 30.0, 60.0, 600.0, 3600.0)  # s
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
    """One thing that happens: its kind, and its figures (s and a rate, a share and a failure, a lot, a service)."""

    kind: str
    first: float | int | str
    second: float | str | None = None


def draw_step(random: Random) -> Step:
    """One thing that happens, drawn."""
    kind = random.choice(KINDS)
    match kind:
        case "serve":
            return Step(kind, random.choice((0.5, 1.0, 3.0, 6.0)), random.choice((15.0, 30.0, 60.0)))
        case "rest":
            return Step(kind, random.choice(RESTS))
        case "fail":
            return Step(kind, random.choice((0.1, 0.5, 1.0)), random.choice(list(FAILURES)))
        case "route":
            return Step(kind, random.choice(SERVICES))
        case _:
            return Step(kind, random.randrange(100))


def drawn(number: int, decider: type[ProxyController] = ProxyController) -> RetryWorld:
    """The history of that number, played to its end."""
    random = Random(number)
    proxies, slack = random.randint(2, 9), random.choice((5.0, 20.0, 60.0))
    return play(proxies, slack, number, [draw_step(random) for _ in range(random.randint(3, 10))], decider)


def play(
    proxies: int, slack: float, seed: int, steps: list[Step], decider: type[ProxyController] = ProxyController
) -> RetryWorld:
    """A history from the start; at its end all backends of both services fail for a while."""
    world = RetryWorld(proxies, slack, seed, decider)
    world.serve(6.0, 20.0)
    for step in steps:
        _do(world, step)
    for service in SERVICES:
        world.fail(service, 1.0)
    world.serve(4.0, 60.0)
    return world


def _do(world: RetryWorld, step: Step) -> None:
    ips = list(world.proxies)
    match step.kind:
        case "serve":
            world.serve(step.first, step.second)
        case "rest":
            world.rest(step.first)
        case "fail":
            for service in SERVICES:
                world.fail(service, step.first, step.second)
        case "heal":
            for service in SERVICES:
                world.fail(service, 0.0)
        case "kill" | "freeze" | "thaw":
            getattr(world, step.kind)(ips[step.first % len(ips)])
        case "cut" | "join":
            world.cut(ips[step.first % len(ips)], step.kind == "cut")
        case "term":
            world.another_term()
        case "route":
            world.move_route(step.first)
