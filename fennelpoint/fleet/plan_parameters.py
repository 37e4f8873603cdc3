"""Applies changed plan parameters to a running decision module (`api.PlansChanged`)."""

from __future__ import annotations

from dataclasses import replace

from fennelpoint import interface as api
from fennelpoint.bookkeeping import ceiling_part
from fennelpoint.control import Controller


def register_handler(control: Controller) -> None:
    """Let the decision module handle `PlansChanged` events."""
    control.handlers[api.PlansChanged] = lambda event, now: apply_plans(control, event, now)


def apply_plans(control: Controller, event: api.PlansChanged, now: float) -> None:
    """Switch to the new plans.

    No bucket level exceeds what the new plans allow, and counter replies received under the old ones no longer count.
    """
    quotas, settings = control.quotas, control.settings
    for customer in quotas.customers.values():
        quotas.fill(customer, now)
        customer.left, customer.left_at = (
            customer.left + settings.plans[customer.plan].rate * (now - customer.left_at), now)
    control.context.settings = settings = replace(settings, plans=event.plans)
    quotas.stamp, quotas.mixed = event.stamp, event.mixed
    for customer in quotas.customers.values():
        plan = settings.plans[customer.plan]
        quotas.set_width(customer, customer.width)
        customer.store, customer.left = min(customer.store, plan.burst), min(customer.left, plan.burst)
        customer.level, customer.ceiling = (
            min(customer.level, quotas.depth(customer)), min(customer.ceiling, ceiling_part(customer, plan)[0]))
    for request in control.requests.open.values():   # the counter's replies were under the old plans
        request.counted_until = 0.0
    control.wait_queue.dispatch(now)
