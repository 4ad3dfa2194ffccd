"""The settings of an instance, read from path to value pairs with errors that name the key.

The simulator's wire and a real node's configuration hold the same object, so both are read here.
"""

from __future__ import annotations

from collections.abc import Mapping

from leadrudder.interface import Effect, RepeatGroup, RequestClass, Settings, Tenant


class SettingsError(Exception):
    """A setting that is missing or cannot be read; its text names the key."""


class _Setup:
    """Typed, checked look-ups in path to value pairs; errors name the key."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values

    def text(self, key: str, default: str | None = None) -> str:
        value = self.values.get(key, default)
        if value is None:
            raise SettingsError(f"settings: {key} is missing")
        return value

    def number(self, key: str, default: float | None = None, low: float = 0.0) -> float:
        raw = self.values.get(key, "")
        if raw == "":
            if default is None:
                raise SettingsError(f"settings: {key} is missing")
            return default
        try:
            value = float(raw)
        except ValueError:
            raise SettingsError(f"settings: {key} is not a number: {raw!r}") from None
        if not low <= value < float("inf"):
            raise SettingsError(f"settings: {key} is out of range: {raw}")
        return value

    def whole(self, key: str, default: int | None = None, low: int = 0) -> int:
        value = self.number(key, default, low)
        if value != int(value):
            raise SettingsError(f"settings: {key} is not a whole number: {value}")
        return int(value)

    def flag(self, key: str, default: bool) -> bool:
        raw = self.values.get(key, "")
        if raw == "":
            return default
        if raw not in ("true", "false"):
            raise SettingsError(f"settings: {key} is neither true nor false: {raw!r}")
        return raw == "true"

    def names(self, key: str) -> tuple[str, ...]:
        raw = self.values.get(key, "")
        return tuple(raw.split(",")) if raw else ()


def _effect(setup: _Setup, key: str) -> Effect:
    raw = setup.text(key)
    try:
        return Effect(raw)
    except ValueError:
        raise SettingsError(f"settings: {key} is an unknown effect: {raw!r}") from None


def _group(setup: _Setup, key: str) -> RepeatGroup:
    raw = setup.text(key, "all")
    try:
        return RepeatGroup(raw)
    except ValueError:
        raise SettingsError(f"settings: {key} is an unknown group: {raw!r}") from None


def _request_class(setup: _Setup, at: str) -> RequestClass:
    effect = _effect(setup, f"{at}.effect")
    keyed = effect is Effect.KEYED
    return RequestClass(
        name=setup.text(f"{at}.name", ""),
        aim_ms=setup.number(f"{at}.aimMs", low=1e-6),
        deadline_ms=setup.number(f"{at}.deadlineMs", low=1e-6),
        worth=setup.number(f"{at}.worth", 1.0),
        late_share=setup.number(f"{at}.lateShare", 0.0),
        effect=effect,
        group=_group(setup, f"{at}.group"),
        window_ms=setup.number(f"{at}.windowMs", None if keyed else 0.0),
        stream=setup.flag(f"{at}.stream", False),
        aim_stretch=setup.number(f"{at}.aimStretch", 0.0),
        repeat=setup.flag(f"{at}.repeat", True),
    )


def read_settings(values: Mapping[str, str]) -> Settings:
    """Settings from path to value pairs; unknown keys are ignored."""
    setup = _Setup(values)
    count = setup.whole("profiles.count")
    if count < 1:
        raise SettingsError("settings: profiles.count must be at least 1")
    classes = tuple(_request_class(setup, f"profiles.{i}") for i in range(count))
    tenants = tuple(
        Tenant(
            name=setup.text(f"tenants.{i}.name", ""),
            fraction=setup.number(f"tenants.{i}.fraction"),
            quota_per_s=setup.number(f"tenants.{i}.quotaPerS", 0.0),
        )
        for i in range(setup.whole("tenants.count", 0))
    )
    return Settings(
        classes=classes,
        tenants=tenants,
        balancers=setup.whole("balancers", 1, 1),
        ordinal=setup.whole("ordinal", 0),
        stage=setup.whole("stage", 0),
        stages=max(1, len(setup.names("layers"))),
        zone=setup.whole("locality", 0),
        zones=max(1, len(setup.names("azs"))),
        max_attempts=setup.whole("policyLimits.tryLimit", 1, 1),
        may_duplicate=setup.flag("policyLimits.mayDuplicate", False),
        may_cancel=setup.flag("policyLimits.cancel", False),
        may_probe=setup.flag("policyLimits.probes", False),
        retry_after=setup.flag("policyLimits.retryAfter", False),
        max_retry_after_ms=setup.number("policyLimits.maxRetryAfterMs", 0.0),
        worth_by_work=setup.text("worthBy", "request") == "work",
        over_share_worth=setup.number("overShareWorth", 1.0),
        ask_for_list=setup.text("registryMode", "pushed") == "on_request",
        must_ask_ms=setup.number("guarantees.mustAskInMs", 10_000.0, 1.0),
        capacity_hints=setup.text("weights", "off") != "off",
        passes_deadline=setup.flag("familyInfo.passesDeadline", True),
        answer_slack_ms=setup.number("guarantees.answerSlackMs", 0.0),
        drain_grace_ms=setup.number("guarantees.stopSendingWithinMs", 0.0),
        cold_start_share=setup.number("guarantees.startCapacity", 0.3),
        cold_ms=setup.number("guarantees.coldMs", 0.0),
        fall_multiple=setup.number("guarantees.fallMultiple", 3.0),
        fall_window_ms=setup.number("guarantees.overloadForMs", 1000.0),
        connect_timeout_ms=setup.number("policyLimits.connectTimeoutMs", 250.0),
        tick_ms=setup.number("tickMs", 1.0),
        cross_zone_price=setup.number("tariffs.crossZone", 0.0),
        load_columns=setup.names("loadInfo.columns"),
    )
