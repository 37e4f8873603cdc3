"""The settings file as pydantic models, with which `larchwing-system check` validates it.

The programs read the same file with `settings.py`, without pydantic; a test checks that both accept the same files.
"""

from __future__ import annotations

from dataclasses import fields
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError, create_model, field_validator, model_validator
from result import Err, Ok, Result

from fennelpoint.system.failure import Failure
from fennelpoint.system.settings import Bounds, Limits, Tolerance, parse, parse_address


class _Form(BaseModel):
    """A section of the settings; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", allow_inf_nan=False)


class ListenForm(_Form):
    """Listen addresses of a process."""

    public_http: tuple[str, int] | None = None
    readiness: tuple[str, int] | None = None
    control_plane: tuple[str, int] | None = None
    directory_service: tuple[str, int] | None = None

    @field_validator("*", mode="before")
    @classmethod
    def _parse_addresses(cls, value: object) -> object:
        return parse_address(value) if isinstance(value, str) else value


def _number_form(kind: type) -> type[BaseModel]:
    """Returns a form with the fields of a section of `settings.py`, all numbers of 0 or more."""
    return create_model(f"{kind.__name__}Form", __base__=_Form, **{
        f.name: (float, Field(f.default, ge=0)) for f in fields(kind)})


LimitsForm, ToleranceForm = _number_form(Limits), _number_form(Tolerance)


class BoundsForm(_number_form(Bounds)):
    """Bounds of the service rules; a lease must be able to enforce them together."""

    @model_validator(mode="after")
    def _check_lease(self) -> BoundsForm:
        Bounds(**self.model_dump()).check()
        return self


class SettingsForm(_Form):
    """All settings that a program uses."""

    node_name: str = Field(min_length=1)
    node_role: str = Field(min_length=1)
    ip_address: str = Field(min_length=1)
    availability_zone: str = Field(min_length=1)
    region: str = Field(min_length=1)
    zones: dict[str, str]
    internal_ports: tuple[int, int]
    seed_nodes: list[tuple[str, int]]
    listen_addresses: ListenForm = ListenForm()
    first_start: bool = False
    heartbeat_s: float = Field(1.5, ge=0)
    data_directory: str | None = Field(None, min_length=1)
    limits: LimitsForm = LimitsForm()
    fault_tolerance: ToleranceForm = ToleranceForm()
    rule_bounds: BoundsForm = BoundsForm()

    @field_validator("seed_nodes", mode="before")
    @classmethod
    def _parse_seed_nodes(cls, value: object) -> object:
        return [parse_address(v) if isinstance(v, str) else v for v in value]

    @field_validator("internal_ports")
    @classmethod
    def _check_port_range(cls, value: tuple[int, int]) -> tuple[int, int]:
        if not 0 < value[0] <= value[1] < 65536 or value[1] - value[0] < 2:
            raise ValueError("not a range of at least three ports")
        return value


def check_settings(path: str) -> Result[SettingsForm, Failure]:
    """Validates a settings file; the failure names the file, the first invalid field and the reason."""
    try:
        return Ok(SettingsForm.model_validate(parse(Path(path).read_text())))
    except ValidationError as error:
        first = error.errors()[0]
        return Err(Failure("settings", path, f"{'.'.join(map(str, first['loc']))}: {first['msg']}"))
    except (OSError, ValueError) as error:
        return Err(Failure("settings", path, str(error)))
