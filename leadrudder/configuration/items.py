"""Items of the configuration as they are sent, read and checked by marshmallow, and the keys they go by."""

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
VOTER_COUNT_KEY = "core"  # how many seats the control state is to have
CONTRACT_PREFIX = "contracts/"  # with tenants: when their machines may be taken out
WINDOW_PREFIX = "windows/"  # of maintenance
USAGE_PREFIX = "used/"  # slots of a service that were in use, by the hour of the week
SEQUENTIAL_PREFIXES = (
    EVACUATION_PREFIX,
    VOTER_COUNT_KEY,
    WINDOW_PREFIX,
    USAGE_PREFIX,
)  # items that count on from the one before: they have no version of the operator's
MAX_VOTERS = 15


class VersionField(fields.Field[int]):
    """Hexadecimal digits."""

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
    """Which requests go where: of a host, by the longest prefix."""

    name: str
    host: str
    path_prefix: str
    at_most_once: bool  # may run at most once
    timeout_ms: float
    target_ms: float
    priority: int
    service_shares: tuple[tuple[str, float], ...]  # services and their shares
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
    """What a client may send, and how long it may take."""

    max_header_bytes: int = 16384  # bytes
    max_body_bytes: int = 67108864
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0
    version: int = 0


def read_route(name: str, raw: Any) -> Route:
    """ValidationError where it cannot be read."""
    read = cast(dict[str, Any], _ROUTE_SCHEMA.load(raw))
    shares: tuple[tuple[str, float], ...]
    if read["service_shares"] is not None:
        shares = tuple((s["service"], s["share"]) for s in read["service_shares"])
    elif read["service"] is not None:
        shares = ((read["service"], 1.0),)
    else:
        raise ValidationError({"service": ["names no service"]})
    if not math.fsum(share for _, share in shares) > 0:
        raise ValidationError({"splitTo": ["the shares add up to 0"]})
    return Route(
        name=name,
        host=read["host"].lower(),
        path_prefix=read["path_prefix"],
        at_most_once=read["kind"] != "safe",
        timeout_ms=read["timeout_ms"],
        target_ms=read["target_ms"] or read["timeout_ms"],
        priority=read["priority"],
        service_shares=shares,
        max_attempts=read["tries"],
        version=read["version"],
    )


def read_service(name: str, raw: Any) -> Service:
    return Service(name=name, **cast(dict[str, Any], _SERVICE_SCHEMA.load(raw)))


def read_limits(raw: Any) -> Limits:
    return Limits(**cast(dict[str, Any], _LIMITS_SCHEMA.load(raw)))


def read_voter_count(item: Item | None) -> int:
    """How many seats an item asks for; 0 where there is none, or none that can be read."""
    if item is None or item.dropped or not item.value.isdigit():
        return 0
    return min(MAX_VOTERS, int(item.value))


def read_version(raw: Any) -> int:
    """ValidationError where it is none."""
    return int(VersionField().deserialize(raw))


def encode_item(raw: Mapping[str, Any]) -> bytes:
    """An item as it is kept: its fields in a fixed order, so that equal items have equal bytes."""
    return json.dumps(raw, sort_keys=True, separators=(",", ":")).encode()
