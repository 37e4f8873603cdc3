"""Hands the controller's state from one process of an ingress to the next, while both may run.

Makes no decisions about requests: it reads and writes the records of `state.py`.  Token buckets are split, never
copied: the sender gives up what it hands over first, so that a lost message loses capacity and exceeds no quota.
All values are validated when they are restored; an invalid one discards its entry."""

from __future__ import annotations

from math import isfinite

from fennelpoint import interface as api
from fennelpoint.control import Controller
from fennelpoint.handover_record import entries, finite, same_shape
from fennelpoint.state import ConcurrencyLimiter, Customer

MAX_CUSTOMERS = 8000    # the most recently seen ones
COUNTED = ("total", "total_at", "ours", "alls", "spans", "store", "left", "left_at", "odds", "short_at",
           "top", "top_at", "rate", "ratio", "worth")
SPLIT = ("level", "ceiling")                # buckets, split between the processes
OWED = ("fresh", "untold", "untold_at")     # use that is not yet reported to the counter
HEALTH = ("slow", "slow_at", "fails", "failed_at", "rest_until")
LIMITER = {"window": (1.0, 1e5), "pressure": (0.0, 1.0)}
QUOTAS = {"usual_worth": (1e-3, 1e6), "asking": (0.1, 1.0), "answers": (-1000, 1000), "silent_at": (-1e12, 1e12)}


def attach(control: Controller) -> None:
    """Make a controller handle `api.PredecessorState` and `api.ProcessCount`."""
    def restore_state(event: api.PredecessorState, now: float) -> None:
        if bad := restore(control, event.state, now):
            control.actions.append(api.Log(f"{bad} entries of the previous process's state are invalid: ignored"))

    control.handlers |= {api.PredecessorState: restore_state,
                         api.ProcessCount: lambda event, now: set_processes(control, event.parts)}


def set_processes(control: Controller, count: int) -> None:
    """Set how many processes share this ingress; for the quotas each counts as one ingress."""
    factor, control.context.processes = count / control.context.processes, count
    for c in control.customers.values():
        c.width, c.share = c.width * factor, min(1.0, c.share / factor)
        if factor > 1.0:
            c.level, c.ceiling = c.level / factor, c.ceiling / factor
    for limiter in _limiters(control).values():
        limiter.window = max(1.0, limiter.window / factor) if limiter.window else 0.0


def _limiters(control: Controller) -> dict[str, ConcurrencyLimiter]:
    return {"": control.limiter, **control.selection.cells}


def _own(control: Controller) -> list[tuple[object, str, tuple]]:
    """Values of the ingress itself: (owner, attribute, (least, greatest))."""
    return [(control, "retries", (0.0, 10.0)), (control.selection, "usual_held", (0.0, 1e5)),
            *((control.quotas, name, bounds) for name, bounds in QUOTAS.items())]


def snapshot(control: Controller, processes: int) -> dict:
    """State for a process that becomes one of `processes`: all that is known, and its part of the buckets.

    Give up the same part here with `api.ProcessCount` at once, or it would exist twice."""
    customers = []
    for c in list(reversed(control.customers.values()))[:MAX_CUSTOMERS]:
        known = {n: getattr(c, n) for n in COUNTED if getattr(c, n) is not None and isfinite(getattr(c, n))}
        customers.append({"key": c.key, "plan": c.plan, "width": c.width / control.context.processes, "asks": c.asks,
                          "held": c.held, "share": c.share * control.context.processes / processes, **known,
                          **{n: getattr(c, n) * control.context.processes / processes for n in SPLIT}})
    backends = {b.entry.backend: [b.entry.started_at, *(getattr(b, n) for n in HEALTH)]
                for b in control.fleet.backends.values() if b.fails or b.slow != 1.0}
    return {"customers": customers, "backends": backends, "typical": control.selection.typical,
            "usual": control.selection.usual, "odds": control.quotas.odds, "crowds": {
                name: [getattr(limiter, n) for n in LIMITER] for name, limiter in _limiters(control).items()},
            **{n: getattr(owner, n) for owner, n, _ in _own(control) if isfinite(getattr(owner, n))}}


def final_snapshot(control: Controller) -> dict:
    """Last state of a process that ends: the content of its buckets and the use not reported to the counter."""
    return {"rest": [[c.key, c.plan, *(getattr(c, n) for n in (*SPLIT, *OWED))]
                     for c in list(reversed(control.customers.values()))[:MAX_CUSTOMERS]]}


def restore(control: Controller, state: dict, now: float) -> int:
    """Restore a predecessor's state; returns the number of invalid entries."""
    bad = 0
    for entry in entries(state.get("customers")):
        bad += not _restore_customer(control, entry, now)
    for entry in entries(state.get("rest")):
        bad += not _restore_final(control, entry)
    for owner, name, (low, high) in _own(control):
        if finite([value := state.get(name)]):
            setattr(owner, name, type(low)(min(high, max(low, value))))
    crowds = state.get("crowds") if isinstance(state.get("crowds"), dict) else {}
    for name, limiter in _limiters(control).items():
        values = crowds.get(name)
        if isinstance(values, list) and len(values) == len(LIMITER) and finite(values):
            for (own, (low, high)), value in zip(LIMITER.items(), values, strict=True):
                setattr(limiter, own, min(high, max(low, value)))
            limiter.window = max(1.0, limiter.window / control.context.processes)
    for name in ("typical", "usual"):
        values, own = state.get(name), getattr(control.selection, name)
        if isinstance(values, list) and len(values) == len(own) and finite(values) and min(values) > 0.0:
            setattr(control.selection, name, [float(v) for v in values])
    if same_shape(state.get("odds"), control.quotas.odds):
        control.quotas.odds = state["odds"]
    if isinstance(health := state.get("backends"), dict):
        control.selection.health.update({
            key: values for key, values in health.items()
            if isinstance(values, list) and len(values) == 1 + len(HEALTH) and finite(values)})
        for b in control.fleet.backends.values():
            b.restore_health(control.selection.health.pop(b.entry.backend, None), now)
    return bad


def _restore_customer(control: Controller, entry: object, now: float) -> bool:
    if not isinstance(entry, dict):
        return False
    figures = {n: entry[n] for n in COUNTED if n in entry}
    key, plan, width = entry.get("key"), entry.get("plan"), entry.get("width")
    stores, share = [entry.get(n) for n in SPLIT], entry.get("share")
    if (type(key) is not int or type(plan) is not int or not 0 <= plan < len(control.settings.plans)
            or not finite([width, share, *stores, *figures.values()]) or not 1.0 <= width
            or not 0.0 <= share <= 1.0):
        return False
    if key in control.customers:
        return True     # already served here: the current state counts, not this late one
    p = control.settings.plans[plan]
    c = Customer(key, plan, width * control.context.processes, share, min(stores[0], p.burst), store=p.burst,
                 filled_at=now, total_at=now, count_at=now)
    for name, value in figures.items():
        setattr(c, name, float(value))
    c.ceiling = min(stores[1], p.ceiling_burst)
    c.asks, c.held = entry.get("asks") is True, entry.get("held") is True
    c.seen_at = c.filled_at = now
    control.customers[key] = c
    return True


def _restore_final(control: Controller, entry: object) -> bool:
    """Add a predecessor's remaining units and unreported use, as both had parts of one bucket."""
    if not isinstance(entry, list) or len(entry) != 2 + len(SPLIT) + len(OWED) or not finite(entry):
        return False
    key, plan, level, ceiling, fresh, untold, untold_at = entry
    if (c := control.customers.get(key)) is None or c.plan != plan or min(fresh, untold) < 0.0:
        return True     # not seen here since the takeover: it starts anew
    p = control.settings.plans[plan]
    c.level, c.ceiling = min(p.burst, c.level + level), min(p.ceiling_burst, c.ceiling + ceiling)
    c.fresh, c.untold, c.untold_at = c.fresh + fresh, c.untold + untold, max(c.untold_at, untold_at)
    return True
