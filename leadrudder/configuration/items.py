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

GIVE_UP_MOST_MS = 600_000.0
_VERSION = re.compile(r"[0-9a-fA-F]{1,16}")

ROUTE, SERVICE, LIMITS, EVACUATION = "routes/", "services/", "limits", "evacuations/"
CORE = "core"  # how many seats the control state is to have
CONTRACT = "contracts/"  # with tenants: when their machines may be taken out
WINDOW = "windows/"  # of maintenance
USED = "used/"  # slots of a service that were in use, by the hour of the week
ORDERS = (
    EVACUATION,
    CORE,
    WINDOW,
    USED,
)  # items that count on from the one before: they have no version of the operator's
SEATS_MOST = 15


class Version(fields.Field[int]):
    """Hexadecimal digits."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> int:
        if not isinstance(value, str) or not _VERSION.fullmatch(value):
            raise ValidationError("not a version of hexadecimal digits such as 0000000c")
        return int(value, 16)


class _Split(Schema):
    class Meta:
        unknown = EXCLUDE

    service = fields.String(required=True)
    share = fields.Float(required=True, allow_nan=False, validate=validate.Range(min=0))


class _Route(Schema):
    class Meta:
        unknown = EXCLUDE

    host = fields.String(required=True)
    path_start = fields.String(
        data_key="pathStart",
        required=True,
        validate=validate.Regexp(r"/.*", error="does not begin with a slash"),
    )
    kind = fields.String(required=True, validate=validate.OneOf(["safe", "unsafe"]))
    give_up_ms = DurationField(
        data_key="giveUp",
        required=True,
        validate=validate.Range(min=0, min_inclusive=False, max=GIVE_UP_MOST_MS),
    )
    target_ms = DurationField(data_key="target", load_default=None)
    priority = fields.Integer(load_default=1)
    service = fields.String(load_default=None)
    split_to = fields.List(fields.Nested(_Split), data_key="splitTo", load_default=None)
    tries = fields.Integer(load_default=1, validate=validate.Range(min=1))
    version = Version(required=True)


class _Service(Schema):
    class Meta:
        unknown = EXCLUDE

    health_path = fields.String(data_key="healthPath", load_default="/health")
    max_connections = fields.Integer(data_key="maxConnections", load_default=100)
    cold_ms = DurationField(data_key="coldStart", load_default=0.0)
    cold_per_s = fields.Float(data_key="coldPerS", load_default=0.0)
    version = Version(required=True)


class _Limits(Schema):
    class Meta:
        unknown = EXCLUDE

    head_most = fields.Integer(data_key="maxHeaderBytes", load_default=16384)
    body_most = fields.Integer(data_key="maxBodyBytes", load_default=67108864)
    head_wait_ms = DurationField(data_key="headerWait", load_default=3000.0)
    idle_ms = DurationField(data_key="idle", load_default=15000.0)
    version = Version(required=True)


_ROUTE, _SERVICE, _LIMITS = _Route(), _Service(), _Limits()


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests go where: of a host, by the longest prefix."""

    name: str
    host: str
    path_start: str
    once: bool  # may run at most once
    give_up_ms: float
    target_ms: float
    priority: int
    split: tuple[tuple[str, float], ...]  # services and their shares
    tries: int
    version: int


@dataclass(frozen=True, slots=True)
class Service:
    name: str
    health_path: str
    max_connections: int
    cold_ms: float
    cold_per_s: float
    version: int


@dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send, and how long it may take."""

    head_most: int = 16384  # bytes
    body_most: int = 67108864
    head_wait_ms: float = 3000.0
    idle_ms: float = 15000.0
    version: int = 0


def read_route(name: str, raw: Any) -> Route:
    """ValidationError where it cannot be read."""
    read = cast(dict[str, Any], _ROUTE.load(raw))
    split: tuple[tuple[str, float], ...]
    if read["split_to"] is not None:
        split = tuple((s["service"], s["share"]) for s in read["split_to"])
    elif read["service"] is not None:
        split = ((read["service"], 1.0),)
    else:
        raise ValidationError({"service": ["names no service"]})
    if not math.fsum(share for _, share in split) > 0:
        raise ValidationError({"splitTo": ["the shares add up to 0"]})
    return Route(
        name=name,
        host=read["host"].lower(),
        path_start=read["path_start"],
        once=read["kind"] != "safe",
        give_up_ms=read["give_up_ms"],
        target_ms=read["target_ms"] or read["give_up_ms"],
        priority=read["priority"],
        split=split,
        tries=read["tries"],
        version=read["version"],
    )


def read_service(name: str, raw: Any) -> Service:
    return Service(name=name, **cast(dict[str, Any], _SERVICE.load(raw)))


def read_limits(raw: Any) -> Limits:
    return Limits(**cast(dict[str, Any], _LIMITS.load(raw)))


def read_core(item: Item | None) -> int:
    """How many seats an item asks for; 0 where there is none, or none that can be read."""
    if item is None or item.dropped or not item.value.isdigit():
        return 0
    return min(SEATS_MOST, int(item.value))


def read_version(raw: Any) -> int:
    """ValidationError where it is none."""
    return int(Version().deserialize(raw))


def packed(raw: Mapping[str, Any]) -> bytes:
    """An item as it is kept: its fields in a fixed order, so that equal items have equal bytes."""
    return json.dumps(raw, sort_keys=True, separators=(",", ":")).encode()
