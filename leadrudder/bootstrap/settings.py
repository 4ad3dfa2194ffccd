"""The settings file (TOML) of a proxy or a control-plane node, validated by marshmallow.

Unknown fields are ignored, since later releases may add some. An invalid field ends the program with one
line.
"""

from __future__ import annotations

import os
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, cast

from marshmallow import EXCLUDE, Schema, ValidationError, fields
from returns.result import Failure, Result, Success

RESERVED_DESCRIPTORS = 200  # of openFiles, for files outside of the data folder
MIN_CONNECTION_DESCRIPTORS = 64
FILE_VARIABLE = "LEADRUDDER_NODE_FILE"
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")


def parse_duration_ms(text: object) -> float | None:
    """The milliseconds of a duration such as `1500ms` or `2.5s`; None for any other text."""
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        return None
    return float(match[1]) * (1000.0 if match[2] == "s" else 1.0)


class DurationField(fields.Field[float]):
    """A duration in text form, loaded as milliseconds."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> float:
        duration_ms = parse_duration_ms(value)
        if duration_ms is None:
            raise ValidationError("not a time such as 1500ms or 2.5s")
        return duration_ms


class AddressField(fields.Field[tuple[str, int]]):
    """An address of the form IP:PORT."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> tuple[str, int]:
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValidationError("not an address such as 10.1.0.8:8306")
        return host, int(port)


class _AddressesSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    inbound = AddressField(data_key="inboundPort", load_default=None)
    outbound = AddressField(data_key="outboundPort", load_default=None)
    readiness = AddressField(load_default=None)
    control = AddressField(data_key="controlPort", load_default=None)


class _LimitsSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    ram_mb = fields.Float(data_key="ramMb", load_default=256.0)
    open_files = fields.Integer(data_key="openFiles", load_default=1024)


class _WithstandSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    machines = fields.Integer(data_key="machineLosses", load_default=0)


class _SettingsSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    name = fields.String(data_key="nodeName", required=True)
    zone = fields.String(required=True)
    ip = fields.String(required=True)
    ports = fields.List(fields.Integer(), data_key="sparePorts", required=True)
    seeds = fields.List(AddressField(), data_key="seedNodes", required=True)
    first_run = fields.Boolean(data_key="firstRun", load_default=False)
    data_folder = fields.String(data_key="dataFolder", load_default="")
    beat_ms = DurationField(data_key="beatEvery", load_default=1500.0)
    bounds = fields.List(fields.String(), data_key="ruleBounds", load_default=list)
    app = AddressField(data_key="appAddress", load_default=None)
    service = fields.String(load_default="")
    zones = fields.Dict(keys=fields.String(), values=fields.String(), load_default=dict)
    addresses = fields.Nested(_AddressesSchema, load_default=dict)
    limits = fields.Nested(_LimitsSchema, load_default=dict)
    withstand = fields.Nested(_WithstandSchema, load_default=dict)


@dataclass(frozen=True, slots=True)
class RuleBounds:
    """The bounds in effect: durations in milliseconds, other values as plain numbers."""

    drain: float = 2500.0
    grace: float = 6000.0
    apply: float = 2500.0
    ack: float = 5000.0
    contact: float = 3000.0
    empty_zone: float = 5000.0
    retry_ratio: float = 0.2
    retry_window: float = 10_000.0
    retry_extra: float = 50.0
    cold_excess: float = 1.5
    cold_extra: float = 5.0


_BOUND_FIELDS = {
    "drain": "drain",
    "grace": "grace",
    "apply": "apply",
    "ack": "ack",
    "contact": "contact",
    "emptyZone": "empty_zone",
    "retryRatio": "retry_ratio",
    "retryWindow": "retry_window",
    "retryExtra": "retry_extra",
    "coldExcess": "cold_excess",
    "coldExtra": "cold_extra",
}


@dataclass(frozen=True, slots=True)
class Settings:
    """The validated settings of a process."""

    name: str
    zone: str
    ip: str
    ports: tuple[int, int]  # first and last port for links between the mesh processes
    seeds: tuple[tuple[str, int], ...]
    first_run: bool
    data_directory: str
    heartbeat_interval_ms: float
    bounds: RuleBounds
    application_address: tuple[str, int] | None
    service: str
    inbound: tuple[str, int] | None
    outbound: tuple[str, int] | None
    readiness: tuple[str, int] | None
    control: tuple[str, int] | None
    memory_limit_mb: float
    open_files: int
    tolerated_machine_losses: int  # machines with a disk that may be lost at the same time

    @property
    def connection_descriptors(self) -> int:
        """The descriptors that are left for connections."""
        return max(MIN_CONNECTION_DESCRIPTORS, self.open_files - RESERVED_DESCRIPTORS)

    @property
    def control_link_port(self) -> int:
        """The port on which control-plane nodes accept links, the same on all machines."""
        return self.ports[0]

    @property
    def proxy_link_port(self) -> int:
        """The port on which proxies accept links."""
        return min(self.ports[0] + 1, self.ports[1])

    @property
    def seed_link_addresses(self) -> tuple[str, ...]:
        """The link addresses of the seed nodes."""
        return tuple(f"{host}:{self.control_link_port}" for host, _ in self.seeds)


def _parse_bounds(texts: list[str]) -> Result[RuleBounds, str]:
    values: dict[str, float] = {}
    for text in texts:
        name, _, raw = text.partition("=")
        field = _BOUND_FIELDS.get(name.strip())
        if field is None:
            continue
        value = parse_duration_ms(raw.strip())
        try:
            values[field] = float(raw) if value is None else value
        except ValueError:
            return Failure(f"ruleBounds: {name} is neither a time nor a number: {raw!r}")
    return Success(RuleBounds(**values))


def _first_error(messages: Any, path: str = "") -> str:
    if isinstance(messages, dict) and messages:
        key, value = next(iter(messages.items()))
        return _first_error(value, f"{path}.{key}" if path else str(key))
    return f"{path}: {messages[0] if isinstance(messages, list) and messages else messages}"


def parse_settings(raw: Mapping[str, Any]) -> Result[Settings, str]:
    """The settings of a parsed file; the error is one line that names the field."""
    try:
        file = cast(dict[str, Any], _SettingsSchema().load(raw))
    except ValidationError as error:
        return Failure(_first_error(error.messages))
    if len(file["ports"]) != 2 or not 0 < file["ports"][0] <= file["ports"][1] < 65536:
        return Failure("sparePorts: not a first and a last port")
    empty_addresses = {"inbound": None, "outbound": None, "readiness": None, "control": None}
    addresses = {**empty_addresses, **file["addresses"]}
    limits = {"ram_mb": 256.0, "open_files": 1024, **file["limits"]}
    return _parse_bounds(file["bounds"]).map(
        lambda bounds: Settings(
            name=file["name"],
            zone=file["zone"],
            ip=file["ip"],
            ports=(file["ports"][0], file["ports"][1]),
            seeds=tuple(file["seeds"]),
            first_run=file["first_run"],
            data_directory=file["data_folder"],
            heartbeat_interval_ms=file["beat_ms"],
            bounds=bounds,
            application_address=file["app"],
            service=file["service"],
            memory_limit_mb=limits["ram_mb"],
            open_files=limits["open_files"],
            tolerated_machine_losses=file["withstand"].get("machines", 0),
            **addresses,
        )
    )


def load_settings(environment: Mapping[str, str] = os.environ) -> Result[Settings, str]:
    """The settings of the file that the environment variable names."""
    path = environment.get(FILE_VARIABLE)
    if not path:
        return Failure(f"{FILE_VARIABLE} is not set: it must hold the path of the settings file")
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except (OSError, ValueError) as error:
        return Failure(f"{path}: {error}")
    return parse_settings(raw).alt(lambda text: f"{path}: {text}")
