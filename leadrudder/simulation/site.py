"""The simulated site: request classes, settings and sizes, drawn from the seed within realistic ranges."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from leadrudder.simulation.oracle import OracleSettings

REQUEST_CLASSES = ("haku", "siirto", "varaus")  # safe, keyed and unsafe
TENANTS = (("kampaamo", 0.5), ("hierojat", 0.3), ("korjaamo", 0.2))
ZONES = ("sali-1", "sali-2")
MACHINE_TYPES = ("vakio", "hidas")


@dataclass(frozen=True, slots=True)
class Site:
    """The parameters of one world."""

    tiers: int
    nodes: int  # in the front tier
    servers: tuple[int, ...]  # in each tier
    lists_pushed: bool
    may_duplicate: bool
    dedup_group: str
    dedup_window_ms: float
    max_attempts: int
    cold_start_ms: float
    conn_idle_ms: float
    requests_per_s: float  # of all callers
    mean_work_ms: float  # on one core of a machine of the usual type
    queue_limit: int  # calls that may wait in a server
    load_reports: str = "off"  # sent with responses: off, honest, or mixed with bad ones

    @classmethod
    def draw(cls, seed: str, nodes: int, *, heavy: bool = False) -> Site:
        """Draws a site with this many nodes in the front tier.

        heavy: load near the limit of a cold fleet, to test rule 4: one tier, much work per request, a long
        cold start, most of the capacity in use.
        """
        rng = random.Random(f"{seed}/site")
        tiers = rng.choices((1, 2, 3), (0.6, 0.3, 0.1))[0]
        first = rng.randint(3, 8) if tiers == 1 else rng.randint(2, 4)
        servers = tuple(first + rng.randint(0, 2) * tier for tier in range(tiers))
        work = rng.uniform(10.0, 40.0)
        load = rng.uniform(0.2, 0.7)
        if heavy:
            tiers, servers = 1, servers[:1]
            work, load = 2.0 * work, 0.6 + 0.4 * load
        return cls(
            tiers=tiers,
            nodes=nodes,
            servers=servers,
            lists_pushed=rng.random() < 0.3,
            may_duplicate=rng.random() < 0.7,
            dedup_group=rng.choices(("all", "zone", "cell"), (0.6, 0.2, 0.2))[0],
            dedup_window_ms=rng.choice((7500.0, 7500.0, 1500.0)),
            max_attempts=rng.randint(2, 5),
            cold_start_ms=max(rng.choice((1000.0, 4000.0, 8800.0)), 4000.0 * heavy),
            conn_idle_ms=rng.choice((1000.0, 5000.0, 15000.0)),
            requests_per_s=load * first * 1000.0 / work / tiers,
            mean_work_ms=work,
            queue_limit=rng.choice((4, 20, 60)),
            # A separate random source, so that load reports do not change the other draws.
            load_reports=random.Random(f"{seed}/reports").choices(
                ("off", "honest", "mixed"), (0.5, 0.2, 0.3)
            )[0],
        )

    def profiles(self) -> list[dict[str, Any]]:
        """The request classes in the form of the settings."""
        return [
            {"name": "haku", "effect": "safe", "aimMs": 1000.0, "deadlineMs": 3000.0, "worth": 1.0},
            {
                "name": "siirto",
                "effect": "keyed",
                "aimMs": 2000.0,
                "deadlineMs": 5000.0,
                "worth": 3.0,
                "group": self.dedup_group,
                "windowMs": self.dedup_window_ms,
            },
            {"name": "varaus", "effect": "unsafe", "aimMs": 1500.0, "deadlineMs": 4000.0, "worth": 9.0},
        ]

    def settings(self, tier: int, ordinal: int) -> dict[str, Any]:
        """A node's settings in the form of its configuration file."""
        load_info = {"columns": ["utilization", "outstanding"], "how": "inline"}
        return {
            "azs": list(ZONES),
            "balancers": self.nodes if tier == 0 else self.servers[tier - 1],
            "ordinal": ordinal,
            "stage": tier,
            "layers": [f"tier-{i}" for i in range(self.tiers)],
            "models": list(MACHINE_TYPES),
            "loadInfo": {"columns": [], "how": "off"} if self.load_reports == "off" else load_info,
            "guarantees": {
                "answerSlackMs": 20.0,
                "coldMs": self.cold_start_ms,
                "fallMultiple": 4.0,
                "mustAskInMs": 2000.0,
                "overloadForMs": 1000.0,
                "startCapacity": 0.3,
                "stopSendingWithinMs": 250.0,
            },
            "policyLimits": {
                "cancel": True,
                "connIdleMs": self.conn_idle_ms,
                "connectTimeoutMs": 250.0,
                "maxRetryAfterMs": 1000.0,
                "mayDuplicate": self.may_duplicate,
                "probes": True,
                "retryAfter": True,
                "tryLimit": self.max_attempts,
            },
            "profiles": self.profiles(),
            "registryMode": "pushed" if self.lists_pushed else "on_request",
            "tenants": [{"name": n, "fraction": f, "quotaPerS": f * self.requests_per_s} for n, f in TENANTS],
            "overShareWorth": 0.05,
            "tickMs": 1.0,
            "weights": "nominal",
        }

    def oracle_settings(self) -> OracleSettings:
        """The part of the settings that the oracle needs."""
        profiles = self.profiles()
        return OracleSettings(
            effects={p["name"]: p["effect"] for p in profiles},
            dedup_groups={p["name"]: p.get("group", "all") for p in profiles},
            dedup_windows_us={p["name"]: int(1000 * p.get("windowMs", 0.0)) for p in profiles},
            drain_grace_us=250_000,
            max_poll_interval_us=0 if self.lists_pushed else 2_000_000,
            max_attempts=self.max_attempts,
            may_duplicate=self.may_duplicate,
        )
