"""Renders the environment and configuration of each node of a sidecar from a checked file."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from leadrudder.tool.model import File, Listener, RequestClass, Tier

MAX_RETRY_AFTER_MS = 2000.0
MUST_ASK_WITHIN_MS = 10_000.0
DRAIN_GRACE_MS = 250.0
ANSWER_SLACK_MS = 20.0


@dataclass(frozen=True, slots=True)
class RenderedNode:
    """One node's environment and configuration; NODE_CONFIG, a path, is added when the node is started."""

    name: str
    environment: dict[str, str]
    config: dict[str, Any]


def render_nodes(file: File) -> list[RenderedNode]:
    """The nodes of a file that passed the checks, one for each listener."""
    return [_render_node(file, listener) for listener in file.listener]


def _render_node(file: File, listener: Listener) -> RenderedNode:
    tier = next(tier for tier in file.tier if tier.name == listener.tier)
    name = f"{file.application.name}-{listener.name}"
    config = {
        "name": name,
        "listen": listener.address,
        "discovery": tier.discovery,
        # The supervisor replaces this seed at each start.
        "seed": blake2b(name.encode(), digest_size=8).hexdigest(),
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
        "settings": _render_settings(file, listener, tier),
    }
    environment = {
        "NODE_NAME": name,
        "NODE_LISTEN": listener.address,
        "NODE_DISCOVERY": tier.discovery,
    }
    return RenderedNode(name, environment, config)


def tiers_in_front(file: File, tier: Tier) -> list[Tier]:
    """The tiers in front of a tier, outermost first."""
    by_name = {item.name: item for item in file.tier}
    chain = [tier]
    while chain[0].behind is not None:
        chain.insert(0, by_name[chain[0].behind])
    return chain[:-1]


def _render_settings(file: File, listener: Listener, tier: Tier) -> dict[str, Any]:
    front_tiers = tiers_in_front(file, tier)
    depth = max(len(tiers_in_front(file, item)) for item in file.tier) + 1
    return {
        "azs": [file.application.zone] if file.application.zone else [],
        "balancers": tier.nodes,
        "stage": len(front_tiers),
        "layers": [f"tier-{i}" for i in range(depth)],
        "guarantees": {
            "answerSlackMs": ANSWER_SLACK_MS,
            "coldMs": tier.cold_ms,
            "mustAskInMs": MUST_ASK_WITHIN_MS,
            "stopSendingWithinMs": DRAIN_GRACE_MS,
        },
        "policyLimits": {
            "cancel": True,
            "connIdleMs": tier.idle_ms,
            "connectTimeoutMs": tier.connect_ms,
            "maxRetryAfterMs": MAX_RETRY_AFTER_MS,
            "mayDuplicate": tier.copies,
            "probes": False,
            "retryAfter": True,
            "tryLimit": file.attempts_for(tier),
        },
        "profiles": [
            _render_profile(file, listener, request_class)
            for request_class in _listener_classes(file, listener)
        ],
        "registryMode": "pushed" if tier.list == "pushed" else "on_request",
        "tenants": [
            {"name": tenant.name, "fraction": tenant.share, "quotaPerS": tenant.quota_per_s}
            for tenant in file.tenant
        ],
        "weights": "nominal",
    }


def _listener_classes(file: File, listener: Listener) -> list[RequestClass]:
    """The classes that routes send to this listener; all of them if none does, so that its node can start."""
    routed_classes = {route.request_class for route in file.route if route.listener == listener.name}
    return [
        request_class for request_class in file.request_class if request_class.name in routed_classes
    ] or list(file.request_class)


def _render_profile(file: File, listener: Listener, request_class: RequestClass) -> dict[str, Any]:
    repeat = any(
        file.allows_repeat(route)
        for route in file.route
        if route.listener == listener.name and route.request_class == request_class.name
    )
    profile: dict[str, Any] = {
        "name": request_class.name,
        "effect": request_class.effect,
        "aimMs": request_class.aim_ms,
        "deadlineMs": request_class.deadline_ms,
        "worth": request_class.worth,
        "lateShare": request_class.late_share,
        "repeat": repeat and request_class.effect != "unsafe",
    }
    if request_class.effect == "keyed":
        profile |= {"group": request_class.group, "windowMs": request_class.window_ms}
    return profile
