"""The operator's file for MessagePack-RPC: TOML, validated, with one-line errors that name the field."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from leadrudder.interface import Settings
from leadrudder.rpc import errors, mapping
from leadrudder.rpc.errors import ErrorFormat
from leadrudder.rpc.framing import MessageLimits
from leadrudder.rpc.front import FrontLimits
from leadrudder.rpc.mapping import Defaults, MetadataLayout, Method
from leadrudder.rpc.upstream import UpstreamConfig

ListenAddress = tuple[str, int] | str
UNIX_PREFIX = "unix:"


class RpcConfigError(Exception):
    """The file cannot be used; the text names the field."""


@dataclass(frozen=True, slots=True)
class RpcConfig:
    """The contents of the operator's file."""

    listen: tuple[ListenAddress, ...]
    front_limits: FrontLimits
    methods: tuple[Method, ...]
    metadata: MetadataLayout
    defaults: Defaults
    upstream: UpstreamConfig | None  # None: servers speak HTTP


def read_rpc_config(path: str, settings: Settings) -> RpcConfig:
    """Read and validate the file at this path against the settings of the node."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except (OSError, ValueError) as error:
        raise RpcConfigError(f"{path} cannot be read: {error}") from None
    try:
        return parse_rpc_config(raw, settings)
    except RpcConfigError as error:
        raise RpcConfigError(f"{path}: {error}") from None


def parse_rpc_config(raw: Mapping[str, Any], settings: Settings) -> RpcConfig:
    _reject_unknown_keys(raw, "", {"front", "method", "meta", "defaults", "upstream", "limits", "errors"})
    limits = _limits(_table(raw, "limits"))
    front = _table(raw, "front")
    _reject_unknown_keys(front, "front.", {"listen", "connections", "open_each", "open_all", "held_bytes"})
    listen = front.get("listen", [])
    if not isinstance(listen, list):
        raise RpcConfigError("front.listen is not a list of addresses")
    front_limits = FrontLimits(
        connections=_integer(front, "front.", "connections", 128),
        open_each=_integer(front, "front.", "open_each", 64),
        open_all=_integer(front, "front.", "open_all", 1024),
        held_bytes=_integer(front, "front.", "held_bytes", 16_000_000),
        message=limits,
    )
    return RpcConfig(
        tuple(_parse_address(text, f"front.listen.{i}") for i, text in enumerate(listen)),
        front_limits,
        _methods(raw.get("method", []), settings),
        _metadata(_table(raw, "meta")),
        _defaults(_table(raw, "defaults"), settings),
        _upstream(raw, limits),
    )


def _methods(raw: Any, settings: Settings) -> tuple[Method, ...]:
    if not isinstance(raw, list) or not raw:
        raise RpcConfigError(
            "method: at least one [[method]] is required: a call of an unmapped method is refused"
        )
    classes = {request_class.name: i for i, request_class in enumerate(settings.classes)}
    methods: list[Method] = []
    for i, item in enumerate(raw):
        prefix = f"method.{i}."
        if not isinstance(item, dict):
            raise RpcConfigError(f"method.{i} is not a table")
        _reject_unknown_keys(item, prefix, {"name", "class", "target"})
        name, class_name, target = (_string(item, prefix, key, "") for key in ("name", "class", "target"))
        if not name:
            raise RpcConfigError(f"{prefix}name is missing")
        if any(name == method.name for method in methods):
            raise RpcConfigError(f"{prefix}name is mapped twice: {name!r}")
        if class_name not in classes:
            raise RpcConfigError(f"{prefix}class is not a class of the settings: {class_name!r}")
        if target and (not target.startswith("/api/") or not target.isascii() or " " in target):
            raise RpcConfigError(f"{prefix}target is not a path below /api/: {target!r}")
        methods.append(Method(name, classes[class_name], target.encode()))
    return tuple(methods)


def _metadata(raw: Mapping[str, Any]) -> MetadataLayout:
    _reject_unknown_keys(raw, "meta.", {"where", *mapping.METADATA_FIELDS})
    location = _string(raw, "meta.", "where", mapping.LAST)
    if location not in (mapping.FIRST, mapping.LAST, mapping.POSITIONS, mapping.NOWHERE):
        raise RpcConfigError(f"meta.where is not one of first, last, positions, nowhere: {location!r}")
    if location == mapping.POSITIONS:
        positions = {
            name: _integer(raw, "meta.", name, 0, 0) for name in mapping.METADATA_FIELDS if name in raw
        }
        if len(set(positions.values())) < len(positions):
            raise RpcConfigError("meta: two fields have the same position")
        return MetadataLayout(location, dict(positions))
    return MetadataLayout(
        location, {name: _string(raw, "meta.", name, name) for name in mapping.METADATA_FIELDS}
    )


def _defaults(raw: Mapping[str, Any], settings: Settings) -> Defaults:
    _reject_unknown_keys(raw, "defaults.", {"tenant", "deadline_s"})
    tenant = _string(raw, "defaults.", "tenant", "")
    if tenant and tenant not in {t.name for t in settings.tenants}:
        raise RpcConfigError(f"defaults.tenant is not a tenant of the settings: {tenant!r}")
    deadline = _number(raw, "defaults.", "deadline_s", 0.0)
    if deadline > mapping.MAX_DEADLINE_S:
        raise RpcConfigError(f"defaults.deadline_s is more than {mapping.MAX_DEADLINE_S:g}")
    return Defaults(tenant or None, deadline or None)


def _upstream(raw: Mapping[str, Any], limits: MessageLimits) -> UpstreamConfig | None:
    if "upstream" not in raw:
        return None
    table, default_config = _table(raw, "upstream"), UpstreamConfig()
    duration_keys = ("silence_s", "idle_s", "connect_s")
    _reject_unknown_keys(table, "upstream.", {"connections", "window", "most_open", "probe", *duration_keys})
    error_table = _table(raw, "errors")
    _reject_unknown_keys(error_table, "errors.", {"field", "not_run", "rejected"})
    seconds = {
        name: _number(table, "upstream.", name, getattr(default_config, name)) for name in duration_keys
    }
    for name, value in seconds.items():
        if not value:
            raise RpcConfigError(f"upstream.{name} is not above 0")
    return UpstreamConfig(
        connections=_integer(table, "upstream.", "connections", default_config.connections),
        window=_integer(table, "upstream.", "window", default_config.window),
        most_open=_integer(table, "upstream.", "most_open", default_config.most_open),
        probe=_string(table, "upstream.", "probe", ""),
        limits=limits,
        error_format=ErrorFormat(
            _string(error_table, "errors.", "field", "code"),
            _string_set(error_table, "not_run", frozenset({errors.NOT_RUN, errors.REFUSED})),
            _string_set(error_table, "rejected", ErrorFormat().rejected),
        ),
        **seconds,
    )


def _limits(raw: Mapping[str, Any]) -> MessageLimits:
    _reject_unknown_keys(raw, "limits.", {"size", "depth"})
    return MessageLimits(
        _integer(raw, "limits.", "size", MessageLimits().size, 64),
        _integer(raw, "limits.", "depth", MessageLimits().depth, 2),
    )


def _parse_address(text: Any, field_name: str) -> ListenAddress:
    if isinstance(text, str) and text.startswith(UNIX_PREFIX) and len(text) > len(UNIX_PREFIX):
        return text.removeprefix(UNIX_PREFIX)
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise RpcConfigError(f"{field_name} is neither host:port nor unix:path: {text!r}")
    return host, int(port)


def _table(raw: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    value = raw.get(name, {})
    if not isinstance(value, dict):
        raise RpcConfigError(f"{name} is not a table")
    return value


def _reject_unknown_keys(raw: Mapping[str, Any], prefix: str, known_keys: set[str]) -> None:
    unknown_keys = sorted(set(raw) - known_keys)
    if unknown_keys:
        raise RpcConfigError(f"{prefix}{unknown_keys[0]} is unknown")


def _string(raw: Mapping[str, Any], prefix: str, name: str, default: str) -> str:
    value = raw.get(name, default)
    if not isinstance(value, str):
        raise RpcConfigError(f"{prefix}{name} is not a string: {value!r}")
    return value


def _integer(raw: Mapping[str, Any], prefix: str, name: str, default: int, minimum: int = 1) -> int:
    value = raw.get(name, default)
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise RpcConfigError(f"{prefix}{name} is not an integer of at least {minimum}: {value!r}")
    return value


def _number(raw: Mapping[str, Any], prefix: str, name: str, default: float) -> float:
    value = raw.get(name, default)
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < float("inf"):
        raise RpcConfigError(f"{prefix}{name} is not a number of at least 0: {value!r}")
    return float(value)


def _string_set(raw: Mapping[str, Any], name: str, default: frozenset[str]) -> frozenset[str]:
    value = raw.get(name)
    if value is None:
        return default
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise RpcConfigError(f"errors.{name} is not a list of strings: {value!r}")
    return frozenset(value)
