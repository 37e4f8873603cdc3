"""Figures of plans that change under a running module (`api.PlansChanged`)."""

from __future__ import annotations

from dataclasses import replace

from fennelpoint import interface as api
from fennelpoint.bookkeeping import ceiling_part
from fennelpoint.control import Controller


def attach(control: Controller) -> None:
    """Let a decision module go by other figures from now on."""
    control.handlers[api.PlansChanged] = lambda event, now: take(control, event, now)


def take(control: Controller, event: api.PlansChanged, now: float) -> None:
    """Other figures: no store holds more than they allow, and no word by those before counts."""
    quotas, settings = control.quotas, control.settings
    for c in quotas.customers.values():
        quotas.fill(c, now)
        c.left, c.left_at = c.left + settings.plans[c.plan].rate * (now - c.left_at), now
    control.context.settings = settings = replace(settings, plans=event.plans)
    quotas.stamp, quotas.mixed = event.stamp, event.mixed
    for c in quotas.customers.values():
        plan = settings.plans[c.plan]
        quotas.set_width(c, c.width)
        c.store, c.left = min(c.store, plan.burst), min(c.left, plan.burst)
        c.level, c.ceiling = min(c.level, quotas.depth(c)), min(c.ceiling, ceiling_part(c, plan)[0])
    for req in control.requests.open.values():   # a word of the counter was by the figures before
        req.counted_until = 0.0
    control.wait_queue.dispatch(now)
