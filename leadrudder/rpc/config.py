"""The operator's file for MessagePack-RPC: TOML, checked, with errors of one line that name the field."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from leadrudder.interface import Settings
from leadrudder.rpc import errors, mapping
from leadrudder.rpc.errors import Form
from leadrudder.rpc.framing import Limits
from leadrudder.rpc.front import Bounds
from leadrudder.rpc.mapping import Defaults, Meta, Method
from leadrudder.rpc.upstream import Terms

Listen = tuple[str, int] | str
UNIX = "unix:"


class RpcConfigError(Exception):
    """A file that cannot be used; its text names the field."""


@dataclass(frozen=True, slots=True)
class RpcConfig:
    """All that the file says."""

    listen: tuple[Listen, ...]
    bounds: Bounds
    methods: tuple[Method, ...]
    meta: Meta
    defaults: Defaults
    terms: Terms | None  # None: servers speak HTTP


def read(path: str, settings: Settings) -> RpcConfig:
    """The file at this path, against the settings of the node."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except (OSError, ValueError) as error:
        raise RpcConfigError(f"{path} cannot be read: {error}") from None
    try:
        return parse(raw, settings)
    except RpcConfigError as error:
        raise RpcConfigError(f"{path}: {error}") from None


def parse(raw: Mapping[str, Any], settings: Settings) -> RpcConfig:
    _only(raw, "", {"front", "method", "meta", "defaults", "upstream", "limits", "errors"})
    limits = _limits(_table(raw, "limits"))
    front = _table(raw, "front")
    _only(front, "front.", {"listen", "connections", "open_each", "open_all", "held_bytes"})
    listen = front.get("listen", [])
    if not isinstance(listen, list):
        raise RpcConfigError("front.listen is no list of addresses")
    bounds = Bounds(
        connections=_whole(front, "front.", "connections", 128),
        open_each=_whole(front, "front.", "open_each", 64),
        open_all=_whole(front, "front.", "open_all", 1024),
        held_bytes=_whole(front, "front.", "held_bytes", 16_000_000),
        limits=limits,
    )
    return RpcConfig(
        tuple(_address(text, f"front.listen.{i}") for i, text in enumerate(listen)),
        bounds,
        _methods(raw.get("method", []), settings),
        _meta(_table(raw, "meta")),
        _defaults(_table(raw, "defaults"), settings),
        _terms(raw, limits),
    )


def _methods(raw: Any, settings: Settings) -> tuple[Method, ...]:
    if not isinstance(raw, list) or not raw:
        raise RpcConfigError("method: at least one [[method]] is needed: what is not mapped is refused")
    classes = {kind.name: i for i, kind in enumerate(settings.classes)}
    methods: list[Method] = []
    for i, item in enumerate(raw):
        where = f"method.{i}."
        if not isinstance(item, dict):
            raise RpcConfigError(f"method.{i} is no table")
        _only(item, where, {"name", "class", "target"})
        name, kind, target = (_text(item, where, key, "") for key in ("name", "class", "target"))
        if not name:
            raise RpcConfigError(f"{where}name is missing")
        if any(name == method.name for method in methods):
            raise RpcConfigError(f"{where}name is mapped twice: {name!r}")
        if kind not in classes:
            raise RpcConfigError(f"{where}class is no class of the settings: {kind!r}")
        if target and (not target.startswith("/api/") or not target.isascii() or " " in target):
            raise RpcConfigError(f"{where}target is no path below /api/: {target!r}")
        methods.append(Method(name, classes[kind], target.encode()))
    return tuple(methods)


def _meta(raw: Mapping[str, Any]) -> Meta:
    _only(raw, "meta.", {"where", *mapping.FIELDS})
    where = _text(raw, "meta.", "where", mapping.LAST)
    if where not in (mapping.FIRST, mapping.LAST, mapping.POSITIONS, mapping.NOWHERE):
        raise RpcConfigError(f"meta.where is none of first, last, positions, nowhere: {where!r}")
    if where == mapping.POSITIONS:
        positions = {name: _whole(raw, "meta.", name, 0, 0) for name in mapping.FIELDS if name in raw}
        if len(set(positions.values())) < len(positions):
            raise RpcConfigError("meta: two fields stand at one position")
        return Meta(where, dict(positions))
    return Meta(where, {name: _text(raw, "meta.", name, name) for name in mapping.FIELDS})


def _defaults(raw: Mapping[str, Any], settings: Settings) -> Defaults:
    _only(raw, "defaults.", {"tenant", "deadline_s"})
    tenant = _text(raw, "defaults.", "tenant", "")
    if tenant and tenant not in {t.name for t in settings.tenants}:
        raise RpcConfigError(f"defaults.tenant is no tenant of the settings: {tenant!r}")
    deadline = _number(raw, "defaults.", "deadline_s", 0.0)
    if deadline > mapping.LONGEST_DEADLINE_S:
        raise RpcConfigError(f"defaults.deadline_s is more than {mapping.LONGEST_DEADLINE_S:g}")
    return Defaults(tenant or None, deadline or None)


def _terms(raw: Mapping[str, Any], limits: Limits) -> Terms | None:
    if "upstream" not in raw:
        return None
    of, plain = _table(raw, "upstream"), Terms()
    numbers = ("silence_s", "idle_s", "connect_s")
    _only(of, "upstream.", {"connections", "window", "most_open", "probe", *numbers})
    form = _table(raw, "errors")
    _only(form, "errors.", {"field", "not_run", "rejected"})
    seconds = {name: _number(of, "upstream.", name, getattr(plain, name)) for name in numbers}
    for name, value in seconds.items():
        if not value:
            raise RpcConfigError(f"upstream.{name} is not above 0")
    return Terms(
        connections=_whole(of, "upstream.", "connections", plain.connections),
        window=_whole(of, "upstream.", "window", plain.window),
        most_open=_whole(of, "upstream.", "most_open", plain.most_open),
        probe=_text(of, "upstream.", "probe", ""),
        limits=limits,
        form=Form(
            _text(form, "errors.", "field", "code"),
            _names(form, "not_run", frozenset({errors.NOT_RUN, errors.REFUSED})),
            _names(form, "rejected", Form().rejected),
        ),
        **seconds,
    )


def _limits(raw: Mapping[str, Any]) -> Limits:
    _only(raw, "limits.", {"size", "depth"})
    return Limits(
        _whole(raw, "limits.", "size", Limits().size, 64), _whole(raw, "limits.", "depth", Limits().depth, 2)
    )


def _address(text: Any, where: str) -> Listen:
    if isinstance(text, str) and text.startswith(UNIX) and len(text) > len(UNIX):
        return text.removeprefix(UNIX)
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise RpcConfigError(f"{where} is neither host:port nor unix:path: {text!r}")
    return host, int(port)


def _table(raw: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    value = raw.get(name, {})
    if not isinstance(value, dict):
        raise RpcConfigError(f"{name} is no table")
    return value


def _only(raw: Mapping[str, Any], where: str, known: set[str]) -> None:
    unknown = sorted(set(raw) - known)
    if unknown:
        raise RpcConfigError(f"{where}{unknown[0]} is unknown")


def _text(raw: Mapping[str, Any], where: str, name: str, default: str) -> str:
    value = raw.get(name, default)
    if not isinstance(value, str):
        raise RpcConfigError(f"{where}{name} is no text: {value!r}")
    return value


def _whole(raw: Mapping[str, Any], where: str, name: str, default: int, least: int = 1) -> int:
    value = raw.get(name, default)
    if not isinstance(value, int) or isinstance(value, bool) or value < least:
        raise RpcConfigError(f"{where}{name} is no whole number of at least {least}: {value!r}")
    return value


def _number(raw: Mapping[str, Any], where: str, name: str, default: float) -> float:
    value = raw.get(name, default)
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < float("inf"):
        raise RpcConfigError(f"{where}{name} is no number of at least 0: {value!r}")
    return float(value)


def _names(raw: Mapping[str, Any], name: str, default: frozenset[str]) -> frozenset[str]:
    value = raw.get(name)
    if value is None:
        return default
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise RpcConfigError(f"errors.{name} is no list of texts: {value!r}")
    return frozenset(value)
