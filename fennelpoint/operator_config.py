"""The operator file (`deploy/operator.toml`): one typed schema for all subsystems, checked first.

A section that is absent is off.  Unknown sections and keys are faults, and so is a value of another type or
out of its bounds; every figure has its unit in its name.  A new subsystem adds a dataclass to `Operator`.
"""

from __future__ import annotations

import math
import re
import tomllib
from dataclasses import MISSING, dataclass, field, fields, is_dataclass
from difflib import get_close_matches
from pathlib import Path
from typing import get_args, get_origin, get_type_hints

from fennelpoint.validation_errors import Fault, FaultyFile

SCHEMA = 1      # of the file; a file of another one is refused
MOST_BYTES = 1024 * 1024
ADDRESS = re.compile(r"[0-9A-Za-z.\-]+:([0-9]{1,5})|\[[0-9a-fA-F:.]+\]:([0-9]{1,5})")
AT_LINE = re.compile(r"\s*\(at line (\d+), column \d+\)$")


def figure(default: object, low: float, high: float) -> object:
    """A number with its bounds, both allowed."""
    return field(default=default, metadata={"low": low, "high": high})


def optional_path() -> object:
    """A path that may be left out."""
    return field(default="", metadata={"path": True})


def address_field(default: object, empty: bool = False) -> object:
    """HOST:PORT, port 0 for any; `empty` allows none."""
    return field(default=default, metadata={"address": "or nothing" if empty else "always"})


def path_field() -> object:
    """A path, by the operator file's own folder where it is relative."""
    return field(metadata={"path": True})


@dataclass(frozen=True, slots=True)
class Routes:
    """[routes]: an OpenAPI description as the source of routes, classes and units (docs/routes.md)."""

    description: str = path_field()
    watch_interval_s: float = figure(0.0, 0.0, 3600.0)  # between looks at its files; 0: on SIGHUP only
    settle_s: float = figure(0.5, 0.0, 60.0)            # a changed file must look the same for so long
    load_timeout_s: float = figure(30.0, 1.0, 600.0)
    load_memory_mb: int = figure(1024, 128, 65536)      # address space of the process that reads it


@dataclass(frozen=True, slots=True)
class Control:
    """[control]: a control service for other proxies over xDS (docs/control-service.md)."""

    settings: str = path_field()    # an ingress's configuration: its settings and its discovery are used
    listen: str = address_field("127.0.0.1:18000")
    unknown_nodes: str = field(default="refuse", metadata={"among": ("refuse", "default")})
    nodes: list[str] = field(default_factory=list)      # ids that are known; * stands for anything
    node_clusters: list[str] = field(default_factory=list)     # node clusters whose members are known
    own_zone_weight: float = figure(1.0, 1.0, 10.0)     # times a warm endpoint's weight, near a proxy
    listeners: list[str] = field(default_factory=lambda: ["larchwing"])     # names that gRPC clients dial
    envoy_listen: str = address_field("", empty=True)   # where Envoy is told to listen; none: it has its own
    endpoint_collections: bool = False  # incremental proxies, Envoy's kind: each endpoint a resource (LEDS)
    max_view_age_s: float = figure(10.0, 1.0, 3600.0)   # of a roster that a newcomer is given
    discovery_lag_s: float = figure(6.0, 0.0, 600.0)    # within which discovery's agents agree
    max_streams: int = figure(2000, 1, 100_000)
    max_message_bytes: int = figure(1 << 20, 1 << 12, 1 << 26)
    keepalive_s: float = figure(10.0, 1.0, 3600.0)      # a peer that answers no ping in so long is gone
    quotas: str = field(default="off", metadata={"among": ("off", "calls", "leases")})
    quota_domain: str = "larchwing"
    quota_cluster: str = "control"      # the proxies' own cluster by which they reach this service
    customer_header: str = "api-account"    # of a request: 16 hexadecimal digits
    plan_header: str = "api-plan"
    report_interval_s: float = figure(0.5, 0.1, 10.0)   # between a proxy's reports; a lease lives for two
    fallback_requests_s: int = figure(0, 0, 1_000_000)  # a proxy and bucket without a lease lets through
    tls_certificate: str = optional_path()  # PEM; all three or none
    tls_key: str = optional_path()
    tls_client_ca: str = optional_path()    # who signs the proxies' certificates


@dataclass(frozen=True, slots=True)
class ServiceAddress:
    """[[announce.addresses]]: one service address and what it needs."""

    prefix: str         # 192.0.2.1/32, 2001:db8::1/128
    next_hop: str
    med: int = figure(0, 0, 4294967295)
    needs: list[str] = field(default_factory=lambda: ["listener", "quotas"])
    communities: list[str] = field(default_factory=list)    # 65001:100


@dataclass(frozen=True, slots=True)
class BgpPeer:
    """[[announce.peers]]: one router."""

    address: str = address_field(MISSING)
    asn: int = figure(MISSING, 1, 4294967295)
    hold_s: int = figure(9, 3, 65535)
    passive: bool = False


@dataclass(frozen=True, slots=True)
class Announce:
    """[announce]: service addresses by BGP, a process of its own (docs/announcing.md)."""

    asn: int = figure(MISSING, 1, 4294967295)
    router_id: str = field(default=MISSING)     # an IPv4 address
    beat_listen: str = address_field("127.0.0.1:17900")     # where the ingress beats; status is asked here
    check: str = address_field("", empty=True)      # the ingress's listener; none: no self-check
    listen: str = address_field("", empty=True)     # for peers that connect; none: we connect only
    quota_loss: str = field(default="degrade", metadata={"among": ("degrade", "withdraw")})
    steady_s: float = figure(2.0, 0.0, 3600.0)
    gap_s: float = figure(5.0, 0.5, 3600.0)
    half_life_s: float = figure(30.0, 1.0, 3600.0)
    leaving_s: float = figure(2.0, 0.0, 600.0)
    addresses: list[ServiceAddress] = field(default_factory=list)
    peers: list[BgpPeer] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Cells:
    """[cells]: agencies confined to subsets of the nodes, by a plan of its own file (docs/cells.md)."""

    plan: str = path_field()


@dataclass(frozen=True, slots=True)
class Keeper:
    """[keeper]: a keeper of the fleet's record, a process of its own (docs/fleet.md)."""

    keepers: list[str] = field(metadata={"named": True})    # all 1, 3 or 5 of them: NAME=HOST:PORT
    folder: str = field(default="keepers", metadata={"folder": True})   # of its file
    etcd: str = address_field("", empty=True)   # the record is kept there instead, by its v3 API


@dataclass(frozen=True, slots=True)
class FleetSection:
    """[fleet]: an ingress acts on the fleet's version, by a licence (docs/fleet.md)."""

    keepers: list[str] = field(metadata={"named": True})    # NAME=HOST:PORT
    listen: str = address_field("127.0.0.1:17901")      # for peers, and for people who ask
    advertise: str = address_field("", empty=True)      # where peers reach that; none: `listen` itself
    folder: str = field(default="", metadata={"folder": True})  # state and audit; none: nothing outlives it
    peers: list[str] = field(default_factory=list, metadata={"named": True})    # in place of the roster's addresses


@dataclass(frozen=True, slots=True)
class Operator:
    """The whole file; a part that is None is off."""

    schema: int = SCHEMA
    routes: Routes | None = None
    control: Control | None = None
    announce: Announce | None = None
    cells: Cells | None = None
    keeper: Keeper | None = None
    fleet: FleetSection | None = None


class Faults:
    """Gathers further faults of a file that was read, at the lines of their places."""

    def __init__(self, reader: _Reader) -> None:
        self.reader = reader

    def __call__(self, place: tuple[str, ...], text: str) -> None:
        self.reader.fault(place, text)

    def end(self) -> None:
        """Raises FaultyFile where there was any."""
        if self.reader.faults:
            raise FaultyFile(sorted(self.reader.faults))


def read_operator(path: str | Path) -> Operator:
    """The operator file, checked.  Raises FaultyFile with every fault found, each with its line."""
    operator, fault = read_typed(path, Operator)
    if operator is not None and operator.schema != SCHEMA:
        fault(("schema",), f"{operator.schema} is not known here: this program reads {SCHEMA}")
    if operator is not None and operator.keeper is not None and len(operator.keeper.keepers) not in (1, 3, 5):
        fault(("keeper", "keepers"), f"{len(operator.keeper.keepers)} keepers: there are 1, 3 or 5 of them")
    if operator is not None and operator.fleet is not None and not operator.fleet.keepers:
        fault(("fleet", "keepers"), "it names no keeper")
    fault.end()
    return operator


def read_typed(path: str | Path, cls: type) -> tuple[object | None, Faults]:
    """A TOML file as a dataclass, none where it has faults, and where to add others."""
    path, name = Path(path), str(path)
    try:
        with path.open("rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise FaultyFile([Fault(name, 0, "", f"it can't be read: {error.strerror}")]) from None
    if len(data) > MOST_BYTES:
        raise FaultyFile([Fault(name, 0, "", f"it is larger than {MOST_BYTES} bytes")])
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise FaultyFile([Fault(name, line, "", "it is no UTF-8: save it as UTF-8")]) from None
    try:
        value = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        match = AT_LINE.search(str(error))
        line = int(match[1]) if match else text.count("\n") + 1
        raise FaultyFile([Fault(name, line, "", f"it is not TOML: {AT_LINE.sub('', str(error))}")]) from None
    reader = _Reader(path, name, _lines(text))
    return reader.read(cls, value, ()), Faults(reader)


def address_of(named: str) -> tuple[str, tuple[str, int]]:
    """Of NAME=HOST:PORT, which was checked: the name, and where it is."""
    name, _, address = named.partition("=")
    host, _, port = address.rpartition(":")
    return name, (host.strip("[]"), int(port))


HEADER = re.compile(r"\s*\[\[?\s*([^\[\]]+?)\s*\]\]?\s*(#.*)?$")
KEY = re.compile(r"\s*([A-Za-z0-9_.\"'-]+(?:\s*\.\s*[A-Za-z0-9_\"'-]+)*)\s*=")


def _lines(text: str) -> dict[tuple[str, ...], int]:
    """The line of each section and key, as far as the lines themselves tell."""
    out: dict[tuple[str, ...], int] = {}
    section: tuple[str, ...] = ()
    for number, line in enumerate(text.splitlines(), 1):
        if match := HEADER.match(line):
            section = _parts(match[1])
            out.setdefault(section, number)
            if line.lstrip().startswith("[["):  # one of several: by its place among them
                section = (*section, str(sum(1 for key in out if key[:-1] == section and key[-1].isdigit())))
                out[section] = number
        elif match := KEY.match(line):
            parts = section + _parts(match[1])
            for end in range(len(section) + 1, len(parts) + 1):
                out.setdefault(parts[:end], number)
    return out


def _parts(dotted: str) -> tuple[str, ...]:
    return tuple(part.strip().strip("\"'") for part in dotted.split("."))


class _Reader:
    """Turns tables into the dataclasses of the schema and gathers faults."""

    def __init__(self, path: Path, name: str, lines: dict[tuple[str, ...], int]) -> None:
        self.path, self.name, self.lines, self.faults = path, name, lines, []

    def fault(self, place: tuple[str, ...], text: str) -> None:
        ends = (place[:end] for end in range(len(place), 0, -1))
        line = next((self.lines[part] for part in ends if part in self.lines), 0)
        self.faults.append(Fault(self.name, line, ".".join(place), text))

    def read(self, cls: type, table: object, place: tuple[str, ...]) -> object | None:
        if not isinstance(table, dict):
            return self.fault(place, f"it is a section: write [{'.'.join(place)}] and its keys under it")
        hints, known = get_type_hints(cls), {f.name: f for f in fields(cls)}
        for key in table:
            if key not in known:
                near = get_close_matches(key, known, 1)
                self.fault((*place, key), "it is not known here: " + (
                    f"is {near[0]} meant?" if near else f"those known are {', '.join(known)}"))
        values, before = {}, len(self.faults)
        for key, item in known.items():
            inner, hint = (*place, key), hints[key]
            if key not in table:
                if item.default is MISSING and item.default_factory is MISSING:
                    self.fault(inner, "it is missing, and has no default")
                continue
            if get_origin(hint) is list and is_dataclass(get_args(hint)[0]):
                values[key] = self._tables(get_args(hint)[0], table[key], inner)
                continue
            section = None if get_origin(hint) is list else next(
                (t for t in get_args(hint) if isinstance(t, type) and t is not type(None)), None)
            values[key] = self.read(section, table[key], inner) if section is not None else self._value(
                table[key], hint, item.metadata, inner)
        return cls(**values) if len(self.faults) == before else None

    def _tables(self, cls: type, value: object, place: tuple[str, ...]) -> list[object] | None:
        if not isinstance(value, list):
            return self.fault(place, f"it is a list of sections: write [[{'.'.join(place)}]] before each")
        return [self.read(cls, item, (*place, str(i))) for i, item in enumerate(value)]

    def _value(self, value: object, kind: type, bounds: dict, place: tuple[str, ...]) -> object:
        if get_origin(kind) is list:
            if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
                return self.fault(place, f"{value!r} is not a list of texts")
            return self._named(value, place) if bounds.get("named") else value
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if type(value) is not kind or (kind is float and not math.isfinite(value)):
            words = {str: "a text", float: "a number", int: "a whole number", bool: "true or false"}
            return self.fault(place, f"{value!r} is not {words[kind]}")
        if "low" in bounds and not bounds["low"] <= value <= bounds["high"]:
            return self.fault(place, f"{value:g} is not between {bounds['low']:g} and {bounds['high']:g}")
        if "among" in bounds and value not in bounds["among"]:
            return self.fault(place, f"{value!r} is none of {', '.join(bounds['among'])}")
        if "address" in bounds and not (value == "" and bounds["address"] == "or nothing"):
            match = ADDRESS.fullmatch(value)
            if match is None or int(match[1] or match[2]) > 65535:
                return self.fault(place, f"{value!r} is not HOST:PORT")
        if bounds.get("folder"):
            return str(self.path.parent / value) if value else ""
        if bounds.get("path"):
            if not value:
                return self.fault(place, "it names no file")
            value = str(self.path.parent / value)
            if not Path(value).is_file():
                return self.fault(place, f"there is no file {value}")
        return value

    def _named(self, value: list[str], place: tuple[str, ...]) -> object:
        """A list of NAME=HOST:PORT, each name once."""
        names = [item.partition("=")[0] for item in value]
        for i, item in enumerate(value):
            match = ADDRESS.fullmatch(item.partition("=")[2])
            if not names[i] or match is None or int(match[1] or match[2]) > 65535:
                return self.fault(place, f"{item!r} is not NAME=HOST:PORT")
            if names[i] in names[:i]:
                return self.fault(place, f"{names[i]!r} is named twice")
        return value
