"""The settings file as a pydantic model: what `larchwing-system check` goes by.

A program that starts reads the same by `settings.py`, without pydantic; a test holds the two equal.
"""

from __future__ import annotations

from dataclasses import fields
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError, create_model, field_validator, model_validator
from result import Err, Ok, Result

from fennelpoint.system.failure import Failure
from fennelpoint.system.settings import Bounds, Limits, Tolerance, address, parse


class _Form(BaseModel):
    model_config = ConfigDict(extra="ignore", allow_inf_nan=False)


class ListenForm(_Form):
    public_http: tuple[str, int] | None = None
    readiness: tuple[str, int] | None = None
    control_plane: tuple[str, int] | None = None
    directory_service: tuple[str, int] | None = None

    @field_validator("*", mode="before")
    @classmethod
    def _read(cls, value: object) -> object:
        return address(value) if isinstance(value, str) else value


def _figures(kind: type) -> type[BaseModel]:
    """A form of the figures that a program knows: each of 0 or more."""
    return create_model(f"{kind.__name__}Form", __base__=_Form, **{
        f.name: (float, Field(f.default, ge=0)) for f in fields(kind)})


LimitsForm, ToleranceForm = _figures(Limits), _figures(Tolerance)


class BoundsForm(_figures(Bounds)):
    """The figures of the rules, which together must be such that they can be kept."""

    @model_validator(mode="after")
    def _can_be_kept(self) -> BoundsForm:
        Bounds(**self.model_dump()).check()
        return self


class SettingsForm(_Form):
    """The fields that a program needs, and those with a figure that it goes by."""

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
    def _seeds(cls, value: object) -> object:
        return [address(v) if isinstance(v, str) else v for v in value]

    @field_validator("internal_ports")
    @classmethod
    def _three(cls, value: tuple[int, int]) -> tuple[int, int]:
        if not 0 < value[0] <= value[1] < 65536 or value[1] - value[0] < 2:
            raise ValueError("they are not three ports")
        return value


def check_settings(path: str) -> Result[SettingsForm, Failure]:
    """The settings of a file, or the first thing that is wrong with it: file, field and reason."""
    try:
        return Ok(SettingsForm.model_validate(parse(Path(path).read_text())))
    except ValidationError as error:
        first = error.errors()[0]
        return Err(Failure("settings", path, f"{'.'.join(map(str, first['loc']))}: {first['msg']}"))
    except (OSError, ValueError) as error:
        return Err(Failure("settings", path, str(error)))
