"""Validation of change requests to the configuration, shared by the operator API and `mesh check`.

A request is checked as a whole before any of it is applied. Each finding has a code, the location and an
explanation.
"""

from __future__ import annotations

import json
from collections.abc import Collection
from dataclasses import dataclass
from typing import Any

from marshmallow import ValidationError
from returns.result import Failure, Result, Success

from leadrudder.configuration import items
from leadrudder.configuration.items import LIMITS_KEY, ROUTE_PREFIX, SERVICE_PREFIX


@dataclass(frozen=True, slots=True)
class Finding:
    """A problem: a code to search for, the location, and its effect."""

    code: str
    where: str
    text: str

    def __str__(self) -> str:
        return f"{self.code}: {self.where}: {self.text}"


@dataclass(frozen=True, slots=True)
class Change:
    """The change of one item.  value: None if the item is removed."""

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A parsed request to change the configuration."""

    changes: tuple[Change, ...]
    services: frozenset[str]  # added or replaced
    services_by_route: dict[str, frozenset[str]]  # the services that each route names


def _read_object(raw: Any, where: str, findings: list[Finding]) -> dict[str, Any]:
    if raw is None:
        return {}
    if not isinstance(raw, dict):
        findings.append(Finding("cut_short", where, "not an object"))
        return {}
    return raw


def _findings_of(error: ValidationError, where: str) -> list[Finding]:
    found = []
    messages = error.messages if isinstance(error.messages, dict) else {"": error.messages}
    for field, texts in messages.items():
        text = texts[0] if isinstance(texts, list) else str(texts)
        found.append(Finding(_finding_code(field, text), f"{where}.{field}", text))
    return found


def _finding_code(field: str, text: str) -> str:
    if field == "giveUp":
        return "time_out" if "greater" in text or "less" in text or "Must" in text else "unreadable"
    if field == "pathStart":
        return "bare_prefix"
    if field == "splitTo":
        return "no_weight" if "add up" in text else "below_zero"
    return "unreadable"


def _reject_duplicate_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    read = dict(pairs)
    if len(read) != len(pairs):
        raise ValueError("an object names a field twice")
    return read


def parse(body: bytes) -> Result[ChangeRequest, list[Finding]]:
    """Parse the body of a request; on failure, all findings that the body alone gives."""
    try:
        raw = json.loads(body, object_pairs_hook=_reject_duplicate_fields, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        return Failure([Finding("cut_short", "the body", f"cannot be read whole: {error}")])
    findings: list[Finding] = []
    changes: list[Change] = []
    services: set[str] = set()
    services_by_route: dict[str, frozenset[str]] = {}
    if not isinstance(raw, dict) or not raw.keys() & {"addOrReplace", "remove"}:
        return Failure([Finding("cut_short", "the body", "holds neither addOrReplace nor remove")])
    adding = _read_object(raw.get("addOrReplace"), "addOrReplace", findings)
    for name, item in _read_object(adding.get("routes"), "addOrReplace.routes", findings).items():
        try:
            route = items.read_route(name, item)
        except ValidationError as error:
            findings += _findings_of(error, f"routes.{name}")
            continue
        services_by_route[name] = frozenset(service for service, _ in route.service_shares)
        changes.append(Change(ROUTE_PREFIX + name, route.version, items.encode_item(item)))
    for name, item in _read_object(adding.get("services"), "addOrReplace.services", findings).items():
        try:
            service = items.read_service(name, item)
        except ValidationError as error:
            findings += _findings_of(error, f"services.{name}")
            continue
        services.add(name)
        changes.append(Change(SERVICE_PREFIX + name, service.version, items.encode_item(item)))
    if adding.get("limits") is not None:
        try:
            limits = items.read_limits(adding["limits"])
            changes.append(Change(LIMITS_KEY, limits.version, items.encode_item(adding["limits"])))
        except ValidationError as error:
            findings += _findings_of(error, "limits")
    _read_removals(_read_object(raw.get("remove"), "remove", findings), changes, findings)
    if findings:
        return Failure(findings)
    return Success(ChangeRequest(_highest_versions(changes), frozenset(services), services_by_route))


def _highest_versions(changes: list[Change]) -> tuple[Change, ...]:
    """A request may remove and set the same item: the highest version wins; at equal versions, the set."""
    best: dict[str, Change] = {}
    for change in changes:
        known = best.get(change.key)
        if known is None or (change.version, change.value is not None) > (
            known.version,
            known.value is not None,
        ):
            best[change.key] = change
    return tuple(best.values())


def _read_removals(raw: dict[str, Any], changes: list[Change], findings: list[Finding]) -> None:
    for kind, prefix in (("routes", ROUTE_PREFIX), ("services", SERVICE_PREFIX)):
        listed = raw.get(kind) or []
        if not isinstance(listed, list):
            findings.append(Finding("cut_short", f"remove.{kind}", "not a list"))
            continue
        for entry in listed:
            try:
                changes.append(Change(prefix + entry["name"], items.read_version(entry["version"]), None))
            except (TypeError, KeyError, ValidationError):
                findings.append(Finding("unreadable", f"remove.{kind}", "an entry has no name or version"))


def _reject_constant(text: str) -> None:
    raise ValueError(f"{text} is no number")


def unknown_services(request: ChangeRequest, existing: Collection[str]) -> list[Finding]:
    """Findings for routes that name a service which neither exists nor comes with the request."""
    known = set(existing) | request.services
    return [
        Finding("unknown_service", f"routes.{name}", f"goes to {service}, which is no service")
        for name, services in sorted(request.services_by_route.items())
        for service in sorted(services - known)
    ]


def warnings(request: ChangeRequest) -> list[Finding]:
    """Findings for what is valid but most likely a mistake."""
    routes = [
        items.read_route(change.key[len(ROUTE_PREFIX) :], json.loads(change.value))
        for change in request.changes
        if change.key.startswith(ROUTE_PREFIX) and change.value is not None
    ]
    found = []
    places: dict[tuple[str, str], str] = {}
    for route in sorted(routes, key=lambda r: r.name):
        where = f"routes.{route.name}"
        first = places.setdefault((route.host, route.path_prefix), route.name)
        if first != route.name:
            found.append(
                Finding("same_place", where, f"stands where {first} stands: only that gets requests")
            )
        if route.timeout_ms < route.target_ms:
            found.append(Finding("early_end", where, "giveUp is under target: late answers are cut off"))
        if route.at_most_once and route.max_attempts > 1:
            found.append(
                Finding("tries_unused", where, "unsafe: further tries go out only where nothing ran")
            )
        if not route.path_prefix.endswith("/"):
            found.append(Finding("open_prefix", where, "pathStart ends within a segment"))
    routed = {service for services in request.services_by_route.values() for service in services}
    for service in sorted(request.services - routed):
        found.append(Finding("unreached", f"services.{service}", "no route of this call goes there"))
    return found
