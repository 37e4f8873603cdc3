"""Parses the settings of an instance into `interface.Settings`.

Both hosts use these tables: the adapter gets flat `path=value` lines, the ingress nested JSON.  JSON is flattened
to the same paths first, so that both forms have the same names, checks and error messages.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from fennelpoint import interface as api

EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}


class SettingsError(ValueError):
    """A setting is missing or invalid; the text names it."""


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        raise ValueError(f"{value!r} is not a number")
    return float(value)


def _integer(value: object) -> int:
    number = _number(value)
    if number != number // 1:  # also rejects nan and infinities, on which int() raises other errors
        raise ValueError(f"{value!r} is not a whole number")
    return int(number)


def _flag(value: object) -> bool:
    if isinstance(value, bool):
        return value
    if value not in ("true", "false"):
        raise ValueError(f"{value!r} is neither true nor false")
    return value == "true"


def _string(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    return value


def _strings(value: object) -> list[str]:
    if isinstance(value, list):
        return [_string(item) for item in value]
    return [item for item in _string(value).split(",") if item]


def _effect(value: object) -> api.Effect:
    if (text := _string(value)) not in EFFECTS:
        raise ValueError(f"unknown effect {text!r}")
    return EFFECTS[text]


Table = dict[str, tuple[str, Callable]]

REQUIRED: Table = {
    "me": ("me", _integer), "ingresses": ("balancers", _integer), "zone": ("zone", _integer),
    "max_attempts": ("bounds.max_attempts", _integer), "drain_grace": ("rules.drain_grace_s", _number),
    "cold_share": ("rules.cold_share", _number), "ramp_time": ("rules.ramp_time_s", _number),
    "tip_multiple": ("rules.tip_multiple", _number), "fall_span": ("rules.fall_s", _number),
    "answer_slack": ("rules.answer_slack_s", _number), "tick": ("tick_s", _number),
}
OPTIONAL: Table = {
    "report_fields": ("report.fields", _strings), "report_via": ("report.via", _string),
    "discovery": ("discovery", _string), "ask_every": ("rules.ask_every_s", _number),
    "weights": ("weights", _string), "zones": ("zones", _strings), "kinds": ("shapes", _strings),
    "has_counter": ("extra.has_counter", _flag), "counter_timeout": ("extra.count_wait_s", _number),
    "counter_fee": ("extra.count_fee", _number), "meter_period": ("extra.metering_s", _number),
    "trued_up": ("extra.trued_up", _flag), "most_units": ("extra.units_top", _number),
    "may_probe": ("bounds.probes", _flag), "probe_price": ("deductions.probe", _number),
    "may_message": ("bounds.peer_messages", _flag),
    "may_cancel": ("bounds.cancel", _flag), "may_copy": ("bounds.second_copies", _flag),
    "may_advise": ("bounds.retry_after", _flag), "max_advice": ("bounds.max_retry_after_s", _number),
    "connect_timeout": ("bounds.connect_timeout_s", _number), "idle_close": ("bounds.idle_close_s", _number),
}
CLASS_REQUIRED: Table = {"name": ("name", _string), "aim": ("aim_s", _number), "deadline": ("give_up_s", _number),
                       "worth": ("worth", _number), "effect": ("repeat", _effect)}
CLASS_OPTIONAL: Table = {"group": ("group", api.Group), "window": ("window_s", _number),
                         "late_worth": ("late_worth", _number), "aim_stretch": ("aim_stretch", _number),
                         "streamed": ("stream", _flag)}
PLAN_REQUIRED: Table = {"name": ("name", _string), "price": ("pays", _number)}
PLAN_OPTIONAL: Table = {"rate": ("quota_rate", _number), "burst": ("store_size", _number),
                        "open_limit": ("concurrency", _integer), "over_worth": ("extra_worth", _number),
                        "over_cost": ("overrun_cost", _number), "ceiling_rate": ("ceiling_rate", _number),
                        "ceiling_burst": ("cap_depth", _number), "ceiling_slack": ("cap_slack", _number)}


def _fields(values: Mapping[str, object], prefix: str, required: Table, optional: Table) -> dict:
    out = {}
    for table, is_required in ((required, True), (optional, False)):
        for name, (path, convert) in table.items():
            value = values.get(prefix + path)
            if value is None:
                if is_required:
                    raise SettingsError(f"setting {prefix + path} is missing")
                continue
            try:
                out[name] = convert(value)
            except ValueError as error:
                raise SettingsError(f"setting {prefix + path}: {error}") from None
    return out


def _objects(values: Mapping[str, object], name: str, required: Table, optional: Table, make: Callable) -> list:
    count = _fields(values, "", {"count": (f"{name}.count", _integer)}, {})["count"]
    return [make(**_fields(values, f"{name}.{i}.", required, optional)) for i in range(count)]


def from_paths(values: Mapping[str, object]) -> api.Settings:
    """Build settings from `path: value` pairs; unknown paths are ignored."""
    return api.Settings(
        classes=_objects(values, "grades", CLASS_REQUIRED, CLASS_OPTIONAL, api.RequestClass),
        plans=_objects(values, "contracts", PLAN_REQUIRED, PLAN_OPTIONAL, api.Plan),
        **_fields(values, "", REQUIRED, OPTIONAL))


def from_lines(text: str) -> api.Settings:
    """Parse settings from the simulator's first message."""
    return from_paths(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))


def flatten(value: object, prefix: str = "") -> dict[str, object]:
    """Flatten nested JSON to paths; the length of a list of objects is stored under `.count`."""
    if isinstance(value, list) and all(isinstance(item, dict) for item in value):
        value = {"count": len(value), **{str(i): item for i, item in enumerate(value)}} if value else value
    if not isinstance(value, dict):
        return {prefix: value}
    out: dict[str, object] = {}
    for name, item in value.items():
        out.update(flatten(item, f"{prefix}.{name}" if prefix else name))
    return out


def from_json(value: object) -> api.Settings:
    """Build settings from the JSON value in an ingress's configuration."""
    if not isinstance(value, dict):
        raise SettingsError("settings is not an object")
    return from_paths(flatten(value))
