"""The items of the configuration: their keys, and how they are parsed and checked (with marshmallow)."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, cast

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate

from leadrudder.bootstrap.settings import DurationField
from leadrudder.protocol.mesh_pb2 import Item

MAX_ROUTE_TIMEOUT_MS = 600_000.0
_VERSION = re.compile(r"[0-9a-fA-F]{1,16}")

ROUTE_PREFIX, SERVICE_PREFIX, LIMITS_KEY, EVACUATION_PREFIX = "routes/", "services/", "limits", "evacuations/"
VOTER_COUNT_KEY = "core"  # the wanted number of voters of the control state
CONTRACT_PREFIX = "contracts/"  # maintenance contracts, one per tenant
WINDOW_PREFIX = "windows/"  # maintenance windows
USAGE_PREFIX = "used/"  # the busiest slot usage of a service, by hour of the week
# Operators give no versions for these items: each write takes the version after the known one.
SEQUENTIAL_PREFIXES = (EVACUATION_PREFIX, VOTER_COUNT_KEY, WINDOW_PREFIX, USAGE_PREFIX)
MAX_VOTERS = 15


class VersionField(fields.Field[int]):
    """A version of an item, written in hexadecimal digits."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> int:
        if not isinstance(value, str) or not _VERSION.fullmatch(value):
            raise ValidationError("not a version of hexadecimal digits such as 0000000c")
        return int(value, 16)


class _ServiceShareSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    service = fields.String(required=True)
    share = fields.Float(required=True, allow_nan=False, validate=validate.Range(min=0))


class _RouteSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    host = fields.String(required=True)
    path_prefix = fields.String(
        data_key="pathStart",
        required=True,
        validate=validate.Regexp(r"/.*", error="does not begin with a slash"),
    )
    kind = fields.String(required=True, validate=validate.OneOf(["safe", "unsafe"]))
    timeout_ms = DurationField(
        data_key="giveUp",
        required=True,
        validate=validate.Range(min=0, min_inclusive=False, max=MAX_ROUTE_TIMEOUT_MS),
    )
    target_ms = DurationField(data_key="target", load_default=None)
    priority = fields.Integer(load_default=1)
    service = fields.String(load_default=None)
    service_shares = fields.List(fields.Nested(_ServiceShareSchema), data_key="splitTo", load_default=None)
    tries = fields.Integer(load_default=1, validate=validate.Range(min=1))
    version = VersionField(required=True)


class _ServiceSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    health_path = fields.String(data_key="healthPath", load_default="/health")
    max_connections = fields.Integer(data_key="maxConnections", load_default=100)
    cold_start_ms = DurationField(data_key="coldStart", load_default=0.0)
    cold_start_requests_per_s = fields.Float(data_key="coldPerS", load_default=0.0)
    version = VersionField(required=True)


class _LimitsSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    max_header_bytes = fields.Integer(data_key="maxHeaderBytes", load_default=16384)
    max_body_bytes = fields.Integer(data_key="maxBodyBytes", load_default=67108864)
    header_timeout_ms = DurationField(data_key="headerWait", load_default=3000.0)
    idle_timeout_ms = DurationField(data_key="idle", load_default=15000.0)
    version = VersionField(required=True)


_ROUTE_SCHEMA, _SERVICE_SCHEMA, _LIMITS_SCHEMA = _RouteSchema(), _ServiceSchema(), _LimitsSchema()


@dataclass(frozen=True, slots=True)
class Route:
    """A route: the requests of one host whose path begins with a prefix."""

    name: str
    host: str
    path_prefix: str
    at_most_once: bool  # requests are unsafe: never run one twice
    timeout_ms: float
    target_ms: float
    priority: int
    service_shares: tuple[tuple[str, float], ...]  # service names with their weights
    max_attempts: int
    version: int


@dataclass(frozen=True, slots=True)
class Service:
    name: str
    health_path: str
    max_connections: int
    cold_start_ms: float
    cold_start_requests_per_s: float
    version: int


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the requests and connections of clients."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0
    version: int = 0


def read_route(name: str, raw: Any) -> Route:
    """Raises ValidationError for an invalid route."""
    loaded = cast(dict[str, Any], _ROUTE_SCHEMA.load(raw))
    shares: tuple[tuple[str, float], ...]
    if loaded["service_shares"] is not None:
        shares = tuple((entry["service"], entry["share"]) for entry in loaded["service_shares"])
    elif loaded["service"] is not None:
        shares = ((loaded["service"], 1.0),)
    else:
        raise ValidationError({"service": ["names no service"]})
    if not math.fsum(share for _, share in shares) > 0:
        raise ValidationError({"splitTo": ["the shares add up to 0"]})
    return Route(
        name=name,
        host=loaded["host"].lower(),
        path_prefix=loaded["path_prefix"],
        at_most_once=loaded["kind"] != "safe",
        timeout_ms=loaded["timeout_ms"],
        target_ms=loaded["target_ms"] or loaded["timeout_ms"],
        priority=loaded["priority"],
        service_shares=shares,
        max_attempts=loaded["tries"],
        version=loaded["version"],
    )


def read_service(name: str, raw: Any) -> Service:
    return Service(name=name, **cast(dict[str, Any], _SERVICE_SCHEMA.load(raw)))


def read_limits(raw: Any) -> Limits:
    return Limits(**cast(dict[str, Any], _LIMITS_SCHEMA.load(raw)))


def read_voter_count(item: Item | None) -> int:
    """The number of voters that an item asks for; 0 if there is no item or it is invalid."""
    if item is None or item.dropped or not item.value.isdigit():
        return 0
    return min(MAX_VOTERS, int(item.value))


def read_version(raw: Any) -> int:
    """Raises ValidationError for text that is not a version."""
    return int(VersionField().deserialize(raw))


def encode_item(raw: Mapping[str, Any]) -> bytes:
    """The stored form of an item. Keys are sorted, so that equal items have equal bytes."""
    return json.dumps(raw, sort_keys=True, separators=(",", ":")).encode()
