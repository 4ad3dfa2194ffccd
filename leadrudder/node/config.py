"""A node's configuration, read from the environment and the configuration file; errors name the field."""

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
# With fewer sockets no request can be served.  Otherwise tight limits do not prevent a start: a minimum of
# 64 MB kept nodes from starting on a machine with 48 MB.
_MIN_SOCKETS = 16
_SEED_MASK = 2**64 - 1


class ConfigError(Exception):
    """An unusable configuration; the message names the field."""


@dataclass(frozen=True, slots=True)
class Limits:
    """The resources that the platform allows one node."""

    memory_mb: int
    sockets: int


@dataclass(frozen=True, slots=True)
class Config:
    """Everything a node is configured with at startup."""

    path: str  # of the configuration file, which is read again on SIGHUP
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: Limits
    settings: Settings
    decoder: DiscoveryDecoder
    initial_endpoints: EndpointUpdate | None
    conn_idle_ms: float
    routes: tuple[Route, ...] = ()  # empty: requests carry their class in a header


def load_config(environment: Mapping[str, str], platform: Platform = SYSTEM) -> Config:
    """Load and validate the configuration of this process."""
    path = _required_variable(environment, "NODE_CONFIG")
    raw = _read_json_file(path, platform)
    settings_raw = _required_member(raw, "settings", dict)
    values = dict(flatten(settings_raw))
    try:
        settings = read_settings(values)
    except (SettingsError, ImpossibleSettings) as error:
        raise ConfigError(str(error)) from None
    decoder = DiscoveryDecoder(_read_names(settings_raw, "azs"), _read_names(settings_raw, "models"))
    limits = _required_member(raw, "limits", dict)
    return Config(
        path=path,
        name=environment.get("NODE_NAME") or _required_member(raw, "name", str),
        listen=_read_address(environment, raw, "NODE_LISTEN", "listen"),
        discovery=_read_address(environment, raw, "NODE_DISCOVERY", "discovery"),
        seed=_parse_seed(_required_member(raw, "seed", str)),
        limits=Limits(_read_limit(limits, "memory_mb", 1), _read_limit(limits, "sockets", _MIN_SOCKETS)),
        settings=settings,
        decoder=decoder,
        initial_endpoints=_decode_initial_endpoints(raw.get("known"), decoder),
        conn_idle_ms=_read_conn_idle_ms(values),
        routes=_read_routes(raw.get("routes", []), settings),
    )


def read_discovery_address(path: str, platform: Platform = SYSTEM) -> tuple[str, int]:
    """Discovery's address in the file as it is now; the environment applies only at startup."""
    return _read_address({}, _read_json_file(path, platform), "discovery", "discovery")


def _required_variable(environment: Mapping[str, str], name: str) -> str:
    value = environment.get(name, "")
    if not value:
        raise ConfigError(f"{name} is not set")
    return value


def _read_json_file(path: str, platform: Platform) -> dict[str, Any]:
    try:
        raw = json.loads(platform.read_text(path))
    except (OSError, ValueError) as error:
        raise ConfigError(f"NODE_CONFIG: {path} cannot be read: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"NODE_CONFIG: {path} holds no object")
    return raw


def _required_member(raw: Mapping[str, Any], name: str, expected_type: type) -> Any:
    value = raw.get(name)
    if not isinstance(value, expected_type):
        raise ConfigError(f"{name} is missing or not of type {expected_type.__name__}: {value!r}")
    return value


def _read_limit(raw: Mapping[str, Any], name: str, minimum: int) -> int:
    value: object = raw.get(name)
    if not isinstance(value, int | float) or isinstance(value, bool) or not minimum <= value < float("inf"):
        raise ConfigError(f"limits.{name} is not a number of at least {minimum}: {value!r}")
    return int(value)


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16) & _SEED_MASK
    except ValueError:
        raise ConfigError(f"seed is not a hexadecimal number: {text!r}") from None


def _read_address(
    environment: Mapping[str, str], raw: Mapping[str, Any], variable: str, member: str
) -> tuple[str, int]:
    text = environment.get(variable) or _required_member(raw, member, str)
    try:
        return parse_address(text)
    except ValueError:
        raise ConfigError(f"{variable} is not an address and a port: {text!r}") from None


def parse_address(text: str) -> tuple[str, int]:
    """Host and port of 'host:port'; raises ValueError for any other text."""
    host, _, port = text.rpartition(":")
    number = int(port)
    if not host or not 0 <= number < 65536:
        raise ValueError(text)
    return host, number


def _decode_initial_endpoints(raw: Any, decoder: DiscoveryDecoder) -> EndpointUpdate | None:
    if raw is None:
        return None
    try:
        return decoder.decode(raw)
    except EndpointListError as error:
        raise ConfigError(f"known: {error}") from None


def _read_routes(raw: Any, settings: Settings) -> tuple[Route, ...]:
    """The routes of a sidecar's node, which give requests their class by method and path."""
    if not isinstance(raw, list):
        raise ConfigError(f"routes is not a list: {raw!r}")
    class_indices = {request_class.name: i for i, request_class in enumerate(settings.classes)}
    routes = []
    for i, item in enumerate(raw):
        if not isinstance(item, dict):
            raise ConfigError(f"routes.{i} is not an object: {item!r}")
        method, path, name = (_required_member(item, key, str) for key in ("method", "path", "class"))
        if name not in class_indices:
            raise ConfigError(f"routes.{i}.class is no class of the settings: {name!r}")
        routes.append(Route(method, path, class_indices[name]))
    return tuple(routes)


def _read_conn_idle_ms(values: Mapping[str, str]) -> float:
    text = values.get("policyLimits.connIdleMs", str(_DEFAULT_CONN_IDLE_MS))
    try:
        idle_ms = float(text)
    except ValueError:
        idle_ms = -1.0
    if not 0 < idle_ms < float("inf"):
        raise ConfigError(f"settings: policyLimits.connIdleMs is out of range: {text}")
    return idle_ms


def _read_names(settings: Mapping[str, Any], key: str) -> tuple[str, ...]:
    value = settings.get(key, [])
    if not isinstance(value, list):
        raise ConfigError(f"settings: {key} is not a list: {value!r}")
    return tuple(str(name) for name in value)


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Flatten nested JSON into pairs of dotted path and value, as in the simulator's first message."""
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
