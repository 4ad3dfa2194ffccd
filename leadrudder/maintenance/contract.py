"""Contracts: the hours that a tenant approves for maintenance, and the capacity that must stay in service.

Like the configuration, a request is validated as a whole before any of it is applied.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import date
from typing import Any, cast
from zoneinfo import ZoneInfo

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate
from returns.result import Failure, Result, Success

from leadrudder.bootstrap.settings import parse_duration_ms
from leadrudder.configuration import items
from leadrudder.configuration.items import CONTRACT_PREFIX, Route
from leadrudder.configuration.validation import Change, Finding
from leadrudder.maintenance.hours import ApprovedHours, HoursRule
from leadrudder.protocol.mesh_pb2 import Item

WEEKDAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
_TIME_OF_DAY = re.compile(r"([01][0-9]|2[0-4]):([0-5][0-9])")
_HOURS_OR_MINUTES = re.compile(r"([0-9]+(?:\.[0-9]+)?)(h|m)")


class DurationSecondsField(fields.Field[float]):
    """A duration in text form, also in hours and minutes; loaded as seconds."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> float:
        duration_ms = parse_duration_ms(value)
        if duration_ms is not None:
            return duration_ms / 1000.0
        match = _HOURS_OR_MINUTES.fullmatch(value) if isinstance(value, str) else None
        if match is None:
            raise ValidationError("not a time such as 24h, 20m, 90s or 1500ms")
        return float(match[1]) * (3600.0 if match[2] == "h" else 60.0)


class TimeOfDayField(fields.Field[int]):
    """A time of day as HH:MM, up to 24:00; loaded as minutes since midnight."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> int:
        match = _TIME_OF_DAY.fullmatch(value) if isinstance(value, str) else None
        if match is None or (match[1] == "24" and match[2] != "00"):
            raise ValidationError("not an hour such as 22:30 or 24:00")
        return 60 * int(match[1]) + int(match[2])


class DateField(fields.Field[date]):
    """A date as YYYY-MM-DD."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> date:
        try:
            return date.fromisoformat(value)
        except (TypeError, ValueError):
            raise ValidationError("not a date such as 2026-12-24") from None


class _RuleSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    days = fields.List(fields.String(validate=validate.OneOf(WEEKDAYS)), load_default=list)
    on = DateField(data_key="date", load_default=None)
    begin = TimeOfDayField(data_key="from", required=True)
    end = TimeOfDayField(data_key="to", required=True)


class _ContractSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    hosts = fields.List(fields.String(), load_default=list)
    routes = fields.List(fields.String(), load_default=list)
    zone = fields.String(data_key="timeZone", required=True)
    approved = fields.List(fields.Nested(_RuleSchema), load_default=list)
    special = fields.List(fields.Nested(_RuleSchema), load_default=list)
    busy = fields.List(fields.Nested(_RuleSchema), load_default=list)
    never = fields.List(DateField(), load_default=list)
    notice_s = DurationSecondsField(data_key="notice", load_default=0.0)
    max_machines_out = fields.Integer(data_key="mostOut", load_default=1, validate=validate.Range(min=1))
    min_capacity_left = fields.Float(
        data_key="capacityLeft", load_default=0.5, allow_nan=False, validate=validate.Range(min=0, max=1)
    )
    version = items.VersionField(required=True)


_CONTRACT_SCHEMA = _ContractSchema()


@dataclass(frozen=True, slots=True)
class Contract:
    """The contract of a tenant.  min_capacity_left: the share of a service's slots that must stay."""

    name: str
    hosts: frozenset[str]
    routes: frozenset[str]
    hours: ApprovedHours
    notice_s: float
    max_machines_out: int
    min_capacity_left: float
    version: int

    def covers(self, route: Route) -> bool:
        """Whether a route belongs to this tenant."""
        return route.name in self.routes or route.host in self.hosts


def _read_rule(raw: dict[str, Any], where: str) -> HoursRule:
    if bool(raw["days"]) == (raw["on"] is not None):
        raise ValidationError({where: ["a rule names either days or a date"]})
    if raw["begin"] == raw["end"]:
        raise ValidationError({where: ["begins when it ends: for a whole day write 00:00 to 24:00"]})
    if raw["begin"] == 24 * 60:
        raise ValidationError({where: ["24:00 is no beginning"]})
    return HoursRule(raw["begin"], raw["end"], frozenset(WEEKDAYS.index(d) for d in raw["days"]), raw["on"])


def read_contract(name: str, raw: Any) -> Contract:
    """Raises ValidationError for an invalid or ambiguous contract."""
    loaded = cast(dict[str, Any], _CONTRACT_SCHEMA.load(raw))
    try:
        zone = ZoneInfo(loaded["zone"])
    except (OSError, ValueError, KeyError):  # ZoneInfoNotFoundError is a KeyError
        raise ValidationError({"timeZone": [f"no such time zone: {loaded['zone']!r}"]}) from None
    approved = [_read_rule(r, f"approved.{i}") for i, r in enumerate(loaded["approved"])]
    special = [_read_rule(r, f"special.{i}") for i, r in enumerate(loaded["special"])]
    busy = [_read_rule(r, f"busy.{i}") for i, r in enumerate(loaded["busy"])]
    for i, rule in enumerate(special):
        if rule.on is None:
            raise ValidationError({f"special.{i}": ["is of a date, not of days"]})
        if rule.on in loaded["never"]:
            raise ValidationError({f"special.{i}": [f"{rule.on} is never approved, too"]})
    if not loaded["hosts"] and not loaded["routes"]:
        raise ValidationError({"hosts": ["names neither hosts nor routes: it would be nobody's"]})
    return Contract(
        name,
        frozenset(host.lower() for host in loaded["hosts"]),
        frozenset(loaded["routes"]),
        ApprovedHours(zone, tuple(approved + special), tuple(busy), frozenset(loaded["never"])),
        loaded["notice_s"],
        loaded["max_machines_out"],
        loaded["min_capacity_left"],
        loaded["version"],
    )


def parse(body: bytes) -> Result[tuple[Change, ...], list[Finding]]:
    """Parse the body of PATCH /contracts; on failure, all findings."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Failure([Finding("cut_short", "the body", f"cannot be read whole: {error}")])
    adding = raw.get("addOrReplace", {}) if isinstance(raw, dict) else None
    added = adding.get("contracts", {}) if isinstance(adding, dict) else None
    removing = raw.get("remove", {}) if isinstance(raw, dict) else None
    removed = removing.get("contracts", []) if isinstance(removing, dict) else None
    if not isinstance(added, dict) or not isinstance(removed, list) or not (added or removed):
        return Failure([Finding("cut_short", "the body", "holds no contracts to add, replace or remove")])
    findings: list[Finding] = []
    changes: list[Change] = []
    for name, item in added.items():
        try:
            changes.append(
                Change(CONTRACT_PREFIX + name, read_contract(name, item).version, items.encode_item(item))
            )
        except ValidationError as error:
            findings += _findings_of(error, f"contracts.{name}")
    for entry in removed:
        try:
            changes.append(
                Change(CONTRACT_PREFIX + entry["name"], items.read_version(entry["version"]), None)
            )
        except (TypeError, KeyError, ValidationError):
            findings.append(Finding("unreadable", "remove.contracts", "an entry has no name or version"))
    return Failure(findings) if findings else Success(tuple(changes))


def _findings_of(error: ValidationError, where: str) -> list[Finding]:
    messages = error.messages if isinstance(error.messages, dict) else {"": error.messages}
    return [
        Finding("contract", f"{where}.{field}", _first_message(texts)) for field, texts in messages.items()
    ]


def _first_message(texts: Any) -> str:
    while isinstance(texts, dict | list) and texts:
        texts = next(iter(texts.values())) if isinstance(texts, dict) else texts[0]
    return str(texts)


def read_contracts(contract_items: Iterable[tuple[str, Item]]) -> dict[str, Contract]:
    """Parse the contract items, by name; those that only a later release can parse are left out."""
    contracts = {}
    for name, item in contract_items:
        try:
            contracts[name] = read_contract(name, json.loads(item.value))
        except (ValueError, ValidationError):
            continue
    return contracts


def warnings(contract: Contract, now: float) -> list[Finding]:
    """Findings for what is valid but most likely a mistake."""
    where = f"contracts.{contract.name}"
    if not contract.hours.approved:
        return [Finding("never", where, "has no approved hours: its machines are never taken out")]
    if not contract.hours.intervals_between(now, now + 366 * 86400.0):
        return [Finding("never", where, "no hour of the coming year is approved: busy times take all")]
    return []
