"""What each node of the sidecar is told: its environment and its configuration, from a checked file."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from leadrudder.tool.model import File, Listener, RequestClass, Tier

MOST_RETRY_AFTER_MS = 2000.0
MUST_ASK_MS = 10_000.0
DRAIN_GRACE_MS = 250.0
ANSWER_SLACK_MS = 20.0


@dataclass(frozen=True, slots=True)
class RenderedNode:
    """One node: NODE_CONFIG is a path, which whoever starts the node adds."""

    name: str
    environment: dict[str, str]
    config: dict[str, Any]


def render_nodes(file: File) -> list[RenderedNode]:
    """The nodes of a file that check has passed, one for each listener."""
    return [_node(file, listener) for listener in file.listener]


def _node(file: File, listener: Listener) -> RenderedNode:
    tier = next(tier for tier in file.tier if tier.name == listener.tier)
    name = f"{file.application.name}-{listener.name}"
    config = {
        "name": name,
        "listen": listener.address,
        "discovery": tier.discovery,
        "seed": blake2b(name.encode(), digest_size=8).hexdigest(),  # a start puts a new one in its place
        "limits": {
            "cores": 1.0,
            "memory_mb": file.limits.memory_mb,
            "sockets": file.limits.descriptors,
        },
        "routes": [
            {"method": route.method, "path": route.path, "class": route.request_class}
            for route in file.route
            if route.listener == listener.name
        ],
        "settings": _settings(file, listener, tier),
    }
    environment = {
        "NODE_NAME": name,
        "NODE_LISTEN": listener.address,
        "NODE_DISCOVERY": tier.discovery,
    }
    return RenderedNode(name, environment, config)


def tiers_before(file: File, tier: Tier) -> list[Tier]:
    """The tiers that stand before one, the outermost first."""
    by_name = {x.name: x for x in file.tier}
    chain = [tier]
    while chain[0].behind is not None:
        chain.insert(0, by_name[chain[0].behind])
    return chain[:-1]


def _settings(file: File, listener: Listener, tier: Tier) -> dict[str, Any]:
    before = tiers_before(file, tier)
    depth = max(len(tiers_before(file, x)) for x in file.tier) + 1
    return {
        "azs": [file.application.zone] if file.application.zone else [],
        "balancers": tier.nodes,
        "stage": len(before),
        "layers": [f"tier-{i}" for i in range(depth)],
        "guarantees": {
            "answerSlackMs": ANSWER_SLACK_MS,
            "coldMs": tier.cold_ms,
            "mustAskInMs": MUST_ASK_MS,
            "stopSendingWithinMs": DRAIN_GRACE_MS,
        },
        "policyLimits": {
            "cancel": True,
            "connIdleMs": tier.idle_ms,
            "connectTimeoutMs": tier.connect_ms,
            "maxRetryAfterMs": MOST_RETRY_AFTER_MS,
            "mayDuplicate": tier.copies,
            "probes": False,
            "retryAfter": True,
            "tryLimit": file.attempts_for(tier),
        },
        "profiles": [_profile(file, listener, kind) for kind in _classes(file, listener)],
        "registryMode": "pushed" if tier.list == "pushed" else "on_request",
        "tenants": [{"name": x.name, "fraction": x.share, "quotaPerS": x.quota_per_s} for x in file.tenant],
        "weights": "nominal",
    }


def _classes(file: File, listener: Listener) -> list[RequestClass]:
    """Those that a route brings to this listener; all of them where none does, so that its node can start."""
    routed = {route.request_class for route in file.route if route.listener == listener.name}
    return [kind for kind in file.request_class if kind.name in routed] or list(file.request_class)


def _profile(file: File, listener: Listener, kind: RequestClass) -> dict[str, Any]:
    repeat = any(
        file.allows_repeat(route)
        for route in file.route
        if route.listener == listener.name and route.request_class == kind.name
    )
    profile: dict[str, Any] = {
        "name": kind.name,
        "effect": kind.effect,
        "aimMs": kind.aim_ms,
        "deadlineMs": kind.deadline_ms,
        "worth": kind.worth,
        "lateShare": kind.late_share,
        "repeat": repeat and kind.effect != "unsafe",
    }
    if kind.effect == "keyed":
        profile |= {"group": kind.group, "windowMs": kind.window_ms}
    return profile
