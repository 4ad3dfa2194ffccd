"""What a node is told at its start: the environment and the configuration file, checked, with errors that
name the field."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from leadrudder.interface import ImpossibleSettings, Settings
from leadrudder.node.lists import DiscoveryDecoder, EndpointListError, EndpointUpdate
from leadrudder.node.platform import SYSTEM, Platform
from leadrudder.node.routes import Route
from leadrudder.settings import SettingsError, read_settings

_DEFAULT_CONN_IDLE_MS = 15_000.0
# With fewer no request can be served.  A tight limit is the platform's to set, and no reason not to start:
# a node that wanted 64 MB at the least did not come up on a machine of 48.
_LEAST_SOCKETS = 16
_SEED_MASK = 2**64 - 1


class ConfigError(Exception):
    """A configuration that cannot be used; its text names the field."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What the platform allows one node."""

    memory_mb: int
    sockets: int


@dataclass(frozen=True, slots=True)
class Config:
    """All that a node knows when it starts."""

    path: str  # of the file, which is read again at SIGHUP
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: Limits
    settings: Settings
    decoder: DiscoveryDecoder
    known: EndpointUpdate | None
    conn_idle_ms: float
    routes: tuple[Route, ...] = ()  # none: requests name their class themselves


def load_config(environment: Mapping[str, str], platform: Platform = SYSTEM) -> Config:
    """The configuration of this process."""
    path = _variable(environment, "NODE_CONFIG")
    raw = _read_file(path, platform)
    settings_raw = _member(raw, "settings", dict)
    values = dict(flatten(settings_raw))
    try:
        settings = read_settings(values)
    except (SettingsError, ImpossibleSettings) as error:
        raise ConfigError(str(error)) from None
    decoder = DiscoveryDecoder(_names(settings_raw, "azs"), _names(settings_raw, "models"))
    limits = _member(raw, "limits", dict)
    return Config(
        path=path,
        name=environment.get("NODE_NAME") or _member(raw, "name", str),
        listen=_address(environment, raw, "NODE_LISTEN", "listen"),
        discovery=_address(environment, raw, "NODE_DISCOVERY", "discovery"),
        seed=_seed(_member(raw, "seed", str)),
        limits=Limits(_limit(limits, "memory_mb", 1), _limit(limits, "sockets", _LEAST_SOCKETS)),
        settings=settings,
        decoder=decoder,
        known=_known(raw.get("known"), decoder),
        conn_idle_ms=_conn_idle(values),
        routes=_routes(raw.get("routes", []), settings),
    )


def read_discovery_address(path: str, platform: Platform = SYSTEM) -> tuple[str, int]:
    """Where discovery is by the file as it stands now; the environment names the address of the start."""
    return _address({}, _read_file(path, platform), "discovery", "discovery")


def _variable(environment: Mapping[str, str], name: str) -> str:
    value = environment.get(name, "")
    if not value:
        raise ConfigError(f"{name} is not set")
    return value


def _read_file(path: str, platform: Platform) -> dict[str, Any]:
    try:
        raw = json.loads(platform.read_text(path))
    except (OSError, ValueError) as error:
        raise ConfigError(f"NODE_CONFIG: {path} cannot be read: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"NODE_CONFIG: {path} holds no object")
    return raw


def _member(raw: Mapping[str, Any], name: str, kind: type) -> Any:
    value = raw.get(name)
    if not isinstance(value, kind):
        raise ConfigError(f"{name} is missing or not of type {kind.__name__}: {value!r}")
    return value


def _limit(raw: Mapping[str, Any], name: str, least: int) -> int:
    value: object = raw.get(name)
    if not isinstance(value, int | float) or isinstance(value, bool) or not least <= value < float("inf"):
        raise ConfigError(f"limits.{name} is not a number of at least {least}: {value!r}")
    return int(value)


def _seed(text: str) -> int:
    try:
        return int(text, 16) & _SEED_MASK
    except ValueError:
        raise ConfigError(f"seed is not a hexadecimal number: {text!r}") from None


def _address(
    environment: Mapping[str, str], raw: Mapping[str, Any], variable: str, member: str
) -> tuple[str, int]:
    text = environment.get(variable) or _member(raw, member, str)
    try:
        return parse_address(text)
    except ValueError:
        raise ConfigError(f"{variable} is not an address and a port: {text!r}") from None


def parse_address(text: str) -> tuple[str, int]:
    """Host and port of 'host:port'; ValueError where there is none."""
    host, _, port = text.rpartition(":")
    number = int(port)
    if not host or not 0 <= number < 65536:
        raise ValueError(text)
    return host, number


def _known(raw: Any, decoder: DiscoveryDecoder) -> EndpointUpdate | None:
    if raw is None:
        return None
    try:
        return decoder.decode(raw)
    except EndpointListError as error:
        raise ConfigError(f"known: {error}") from None


def _routes(raw: Any, settings: Settings) -> tuple[Route, ...]:
    """Of a sidecar's node: which class a request is of by its method and path."""
    if not isinstance(raw, list):
        raise ConfigError(f"routes is not a list: {raw!r}")
    classes = {kind.name: i for i, kind in enumerate(settings.classes)}
    routes = []
    for i, item in enumerate(raw):
        if not isinstance(item, dict):
            raise ConfigError(f"routes.{i} is not an object: {item!r}")
        method, path, name = (_member(item, key, str) for key in ("method", "path", "class"))
        if name not in classes:
            raise ConfigError(f"routes.{i}.class is no class of the settings: {name!r}")
        routes.append(Route(method, path, classes[name]))
    return tuple(routes)


def _conn_idle(values: Mapping[str, str]) -> float:
    text = values.get("policyLimits.connIdleMs", str(_DEFAULT_CONN_IDLE_MS))
    try:
        idle = float(text)
    except ValueError:
        idle = -1.0
    if not 0 < idle < float("inf"):
        raise ConfigError(f"settings: policyLimits.connIdleMs is out of range: {text}")
    return idle


def _names(settings: Mapping[str, Any], key: str) -> tuple[str, ...]:
    value = settings.get(key, [])
    if not isinstance(value, list):
        raise ConfigError(f"settings: {key} is not a list: {value!r}")
    return tuple(str(name) for name in value)


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the path to value pairs of the simulator's first message."""
    if isinstance(value, dict):
        for name, member in value.items():
            yield from flatten(member, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for i, item in enumerate(value):
            yield from flatten(item, f"{path}.{i}")
    elif isinstance(value, list):
        yield path, ",".join(str(item).replace(",", "_") for item in value)
    elif isinstance(value, bool):
        yield path, "true" if value else "false"
    elif value is not None:
        yield path, str(value)
