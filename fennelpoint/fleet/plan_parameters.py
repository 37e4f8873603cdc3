"""Figures of plans that change under a running module (`api.Figures`)."""

from __future__ import annotations

from dataclasses import replace

from fennelpoint import interface as api
from fennelpoint.bookkeeping import part
from fennelpoint.control import Controller


def attach(control: Controller) -> None:
    """Let a decision module go by other figures from now on."""
    control.on[api.Figures] = lambda event, now: take(control, event, now)


def take(control: Controller, event: api.Figures, now: float) -> None:
    """Other figures: no store holds more than they allow, and no word by those before counts."""
    quotas, settings = control.quotas, control.settings
    for c in quotas.customers.values():
        quotas.fill(c, now)
        c.left, c.left_at = c.left + settings.plans[c.plan].rate * (now - c.left_at), now
    control.ground.settings = settings = replace(settings, plans=event.plans)
    quotas.stamp, quotas.mixed = event.stamp, event.mixed
    for c in quotas.customers.values():
        plan = settings.plans[c.plan]
        quotas.part_of(c, c.width)
        c.store, c.left = min(c.store, plan.burst), min(c.left, plan.burst)
        c.level, c.ceiling = min(c.level, quotas.depth(c)), min(c.ceiling, part(c, plan)[0])
    for t in control.line.open.values():   # a word of the counter was by the figures before
        t.good_until = 0.0
    control.waiting.pump(now)
