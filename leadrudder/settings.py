"""Reads the settings of an instance from a flat mapping of paths to values.

The simulator's protocol and the configuration of a real node use the same paths, so both are read here.
"""

from __future__ import annotations

from collections.abc import Mapping

from leadrudder.interface import Effect, RepeatGroup, RequestClass, Settings, Tenant


class SettingsError(Exception):
    """A setting that is missing or invalid; the message names the key."""


class _ValueReader:
    """Typed and validated look-ups by path; errors name the key."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values

    def text(self, key: str, default: str | None = None) -> str:
        value = self.values.get(key, default)
        if value is None:
            raise SettingsError(f"settings: {key} is missing")
        return value

    def number(self, key: str, default: float | None = None, minimum: float = 0.0) -> float:
        raw = self.values.get(key, "")
        if raw == "":
            if default is None:
                raise SettingsError(f"settings: {key} is missing")
            return default
        try:
            value = float(raw)
        except ValueError:
            raise SettingsError(f"settings: {key} is not a number: {raw!r}") from None
        if not minimum <= value < float("inf"):
            raise SettingsError(f"settings: {key} is out of range: {raw}")
        return value

    def integer(self, key: str, default: int | None = None, minimum: int = 0) -> int:
        value = self.number(key, default, minimum)
        if value != int(value):
            raise SettingsError(f"settings: {key} is not a whole number: {value}")
        return int(value)

    def boolean(self, key: str, default: bool) -> bool:
        raw = self.values.get(key, "")
        if raw == "":
            return default
        if raw not in ("true", "false"):
            raise SettingsError(f"settings: {key} is neither true nor false: {raw!r}")
        return raw == "true"

    def names(self, key: str) -> tuple[str, ...]:
        raw = self.values.get(key, "")
        return tuple(raw.split(",")) if raw else ()


def _read_effect(reader: _ValueReader, key: str) -> Effect:
    raw = reader.text(key)
    try:
        return Effect(raw)
    except ValueError:
        raise SettingsError(f"settings: {key} is an unknown effect: {raw!r}") from None


def _read_group(reader: _ValueReader, key: str) -> RepeatGroup:
    raw = reader.text(key, "all")
    try:
        return RepeatGroup(raw)
    except ValueError:
        raise SettingsError(f"settings: {key} is an unknown group: {raw!r}") from None


def _read_request_class(reader: _ValueReader, prefix: str) -> RequestClass:
    effect = _read_effect(reader, f"{prefix}.effect")
    keyed = effect is Effect.KEYED
    return RequestClass(
        name=reader.text(f"{prefix}.name", ""),
        aim_ms=reader.number(f"{prefix}.aimMs", minimum=1e-6),
        deadline_ms=reader.number(f"{prefix}.deadlineMs", minimum=1e-6),
        worth=reader.number(f"{prefix}.worth", 1.0),
        late_share=reader.number(f"{prefix}.lateShare", 0.0),
        effect=effect,
        group=_read_group(reader, f"{prefix}.group"),
        window_ms=reader.number(f"{prefix}.windowMs", None if keyed else 0.0),
        stream=reader.boolean(f"{prefix}.stream", False),
        aim_stretch=reader.number(f"{prefix}.aimStretch", 0.0),
        repeat=reader.boolean(f"{prefix}.repeat", True),
    )


def read_settings(values: Mapping[str, str]) -> Settings:
    """Builds Settings from a mapping of paths to values; unknown keys are ignored."""
    reader = _ValueReader(values)
    count = reader.integer("profiles.count")
    if count < 1:
        raise SettingsError("settings: profiles.count must be at least 1")
    classes = tuple(_read_request_class(reader, f"profiles.{i}") for i in range(count))
    tenants = tuple(
        Tenant(
            name=reader.text(f"tenants.{i}.name", ""),
            fraction=reader.number(f"tenants.{i}.fraction"),
            quota_per_s=reader.number(f"tenants.{i}.quotaPerS", 0.0),
        )
        for i in range(reader.integer("tenants.count", 0))
    )
    return Settings(
        classes=classes,
        tenants=tenants,
        balancers=reader.integer("balancers", 1, 1),
        ordinal=reader.integer("ordinal", 0),
        stage=reader.integer("stage", 0),
        stages=max(1, len(reader.names("layers"))),
        zone=reader.integer("locality", 0),
        zones=max(1, len(reader.names("azs"))),
        max_attempts=reader.integer("policyLimits.tryLimit", 1, 1),
        may_duplicate=reader.boolean("policyLimits.mayDuplicate", False),
        may_cancel=reader.boolean("policyLimits.cancel", False),
        may_probe=reader.boolean("policyLimits.probes", False),
        retry_after=reader.boolean("policyLimits.retryAfter", False),
        max_retry_after_ms=reader.number("policyLimits.maxRetryAfterMs", 0.0),
        worth_by_work=reader.text("worthBy", "request") == "work",
        over_share_worth=reader.number("overShareWorth", 1.0),
        ask_for_list=reader.text("registryMode", "pushed") == "on_request",
        must_ask_ms=reader.number("guarantees.mustAskInMs", 10_000.0, 1.0),
        capacity_hints=reader.text("weights", "off") != "off",
        passes_deadline=reader.boolean("familyInfo.passesDeadline", True),
        answer_slack_ms=reader.number("guarantees.answerSlackMs", 0.0),
        drain_grace_ms=reader.number("guarantees.stopSendingWithinMs", 0.0),
        cold_start_share=reader.number("guarantees.startCapacity", 0.3),
        cold_ms=reader.number("guarantees.coldMs", 0.0),
        fall_multiple=reader.number("guarantees.fallMultiple", 3.0),
        fall_window_ms=reader.number("guarantees.overloadForMs", 1000.0),
        connect_timeout_ms=reader.number("policyLimits.connectTimeoutMs", 250.0),
        tick_ms=reader.number("tickMs", 1.0),
        cross_zone_price=reader.number("tariffs.crossZone", 0.0),
        load_columns=reader.names("loadInfo.columns"),
    )
