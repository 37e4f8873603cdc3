"""What one process of an ingress tells the next, and two processes that are one ingress meanwhile.

Decides nothing about a try: it reads and fills what `state.py` holds.  Stores are split, never copied: what
is told is taken off here first, so a word that is lost loses room and passes no quota.  All figures are
checked when they are taken in; one that makes no sense costs its entry."""

from __future__ import annotations

from math import isfinite

from fennelpoint import interface as api
from fennelpoint.control import Controller
from fennelpoint.handover_record import entries, finite, same_shape
from fennelpoint.state import Crowd, Customer

MOST_TOLD = 8000    # customers, the last seen first
COUNTED = ("total", "total_at", "ours", "alls", "spans", "store", "left", "left_at", "odds", "short_at",
           "top", "top_at", "rate", "ratio", "worth")
SPLIT = ("level", "ceiling")                # of a customer's stores, to each its part
OWED = ("fresh", "untold", "untold_at")     # taken, and not yet told to the counter
HEALTH = ("slow", "slow_at", "fails", "failed_at", "rest_until")
CROWD = {"window": (1.0, 1e5), "pressure": (0.0, 1.0)}
QUOTAS = {"usual_worth": (1e-3, 1e6), "asking": (0.1, 1.0), "answers": (-1000, 1000), "silent_at": (-1e12, 1e12)}


def attach(control: Controller) -> None:
    """Let a decision module take in what the process before tells (`api.Told`) and that two are one (`api.Twins`)."""
    def told(event: api.Told, now: float) -> None:
        if bad := take(control, event.state, now):
            control.out.append(api.Log(f"{bad} entries of what the process before told can't be used"))

    control.on |= {api.Told: told, api.Twins: lambda event, now: part_with(control, event.parts)}


def part_with(control: Controller, parts: int) -> None:
    """So many processes are this ingress from now on: each is to quotas what an ingress is."""
    factor, control.ground.parts = parts / control.ground.parts, parts
    for c in control.customers.values():
        c.width, c.share = c.width * factor, min(1.0, c.share / factor)
        if factor > 1.0:
            c.level, c.ceiling = c.level / factor, c.ceiling / factor
    for crowd in _crowds(control).values():
        crowd.window = max(1.0, crowd.window / factor) if crowd.window else 0.0


def _crowds(control: Controller) -> dict[str, Crowd]:
    return {"": control.crowd, **control.selection.cells}


def _own(control: Controller) -> list[tuple[object, str, tuple]]:
    """Figures of the ingress itself: where each stands, its name, and what it may be."""
    return [(control, "retries", (0.0, 10.0)), (control.selection, "usual_held", (0.0, 1e5)),
            *((control.quotas, name, bounds) for name, bounds in QUOTAS.items())]


def tell(control: Controller, parts: int) -> dict:
    """For a process that is to be one of `parts`: all that is known, and its part of the stores.

    Take the same part off here with `api.Twins` at once: told and kept, it would be there twice."""
    customers = []
    for c in list(reversed(control.customers.values()))[:MOST_TOLD]:
        known = {n: getattr(c, n) for n in COUNTED if getattr(c, n) is not None and isfinite(getattr(c, n))}
        customers.append({"key": c.key, "plan": c.plan, "width": c.width / control.ground.parts, "asks": c.asks,
                          "held": c.held, "share": c.share * control.ground.parts / parts, **known,
                          **{n: getattr(c, n) * control.ground.parts / parts for n in SPLIT}})
    backends = {b.entry.backend: [b.entry.started_at, *(getattr(b, n) for n in HEALTH)]
                for b in control.fleet.known.values() if b.fails or b.slow != 1.0}
    return {"customers": customers, "backends": backends, "typical": control.selection.typical,
            "usual": control.selection.usual, "odds": control.quotas.odds, "crowds": {
                name: [getattr(crowd, n) for n in CROWD] for name, crowd in _crowds(control).items()},
            **{n: getattr(place, n) for place, n, _ in _own(control) if isfinite(getattr(place, n))}}


def tell_rest(control: Controller) -> dict:
    """The last word of a process that ends: what its stores hold, and what the counter has not heard."""
    return {"rest": [[c.key, c.plan, *(getattr(c, n) for n in (*SPLIT, *OWED))]
                     for c in list(reversed(control.customers.values()))[:MOST_TOLD]]}


def take(control: Controller, told: dict, now: float) -> int:
    """Go on from there; how many entries could not be used."""
    bad = 0
    for entry in entries(told.get("customers")):
        bad += not _take_customer(control, entry, now)
    for entry in entries(told.get("rest")):
        bad += not _take_rest(control, entry)
    for place, name, (low, high) in _own(control):
        if finite([value := told.get(name)]):
            setattr(place, name, type(low)(min(high, max(low, value))))
    crowds = told.get("crowds") if isinstance(told.get("crowds"), dict) else {}
    for name, crowd in _crowds(control).items():
        values = crowds.get(name)
        if isinstance(values, list) and len(values) == len(CROWD) and finite(values):
            for (own, (low, high)), value in zip(CROWD.items(), values, strict=True):
                setattr(crowd, own, min(high, max(low, value)))
            crowd.window = max(1.0, crowd.window / control.ground.parts)
    for name in ("typical", "usual"):
        values, own = told.get(name), getattr(control.selection, name)
        if isinstance(values, list) and len(values) == len(own) and finite(values) and min(values) > 0.0:
            setattr(control.selection, name, [float(v) for v in values])
    if same_shape(told.get("odds"), control.quotas.odds):
        control.quotas.odds = told["odds"]
    if isinstance(health := told.get("backends"), dict):
        control.selection.health.update({key: values for key, values in health.items() if isinstance(values, list)
                               and len(values) == 1 + len(HEALTH) and finite(values)})
        for b in control.fleet.known.values():
            b.recall(control.selection.health.pop(b.entry.backend, None), now)
    return bad


def _take_customer(control: Controller, entry: object, now: float) -> bool:
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
        return True     # served here already: what is out and was taken since counts, not this late word
    p = control.settings.plans[plan]
    c = Customer(key, plan, width * control.ground.parts, share, min(stores[0], p.burst), store=p.burst, filled=now,
                 total_at=now, count_at=now)
    for name, value in figures.items():
        setattr(c, name, float(value))
    c.ceiling = min(stores[1], p.ceiling_burst)
    c.asks, c.held = entry.get("asks") is True, entry.get("held") is True
    c.seen = c.filled = now
    control.customers[key] = c
    return True


def _take_rest(control: Controller, entry: object) -> bool:
    """Added to what there is: the two were parts of one store."""
    if not isinstance(entry, list) or len(entry) != 2 + len(SPLIT) + len(OWED) or not finite(entry):
        return False
    key, plan, level, ceiling, fresh, untold, untold_at = entry
    if (c := control.customers.get(key)) is None or c.plan != plan or min(fresh, untold) < 0.0:
        return True     # nobody asked for it here since: a cold start for it
    p = control.settings.plans[plan]
    c.level, c.ceiling = min(p.burst, c.level + level), min(p.ceiling_burst, c.ceiling + ceiling)
    c.fresh, c.untold, c.untold_at = c.fresh + fresh, c.untold + untold, max(c.untold_at, untold_at)
    return True
