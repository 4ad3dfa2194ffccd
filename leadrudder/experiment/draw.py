"""Samples an experiment file for a seed: each range becomes a number, from a random stream of its own."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import Any, TypeVar

from pydantic import BaseModel

from leadrudder.experiment.spec import File, Kind, RequestClass, Tier

SectionT = TypeVar("SectionT", bound=BaseModel)


def sample_ranges(section: SectionT, seed: str) -> SectionT:
    """Return a copy in which each pair [low, high] is replaced by a number sampled between the two.

    The number depends only on the seed and the field's path, so changing one field does not change another.
    """
    update: dict[str, Any] = {}
    for name in type(section).model_fields:
        value = getattr(section, name)
        path = f"{seed}/{name}"
        if isinstance(value, BaseModel):
            update[name] = sample_ranges(value, path)
        elif is_range(value):
            low, high = value
            rng = random.Random(path)
            is_integer = isinstance(low, int) and isinstance(high, int)
            update[name] = rng.randint(low, high) if is_integer else rng.uniform(low, high)
        elif isinstance(value, list) and value and isinstance(value[0], BaseModel):
            update[name] = [sample_ranges(item, f"{path}/{i}") for i, item in enumerate(value)]
    return section.model_copy(update=update)


def is_range(value: object) -> bool:
    """Return whether a field holds a pair [low, high]."""
    return (
        isinstance(value, list)
        and len(value) == 2
        and all(isinstance(x, int | float) and not isinstance(x, bool) for x in value)
    )


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """Placement of one server: its kind, zone, cell and individual speed."""

    kind: Kind
    kind_index: int
    zone: int
    cell: int
    speed: float


def plan_servers(tier: Tier, count: int, zones: int, seed: str) -> list[ServerPlan]:
    """Plan the servers of a tier: kinds in proportion to `part`, zones in rotation, cells within zones."""
    rng = random.Random(f"{seed}/servers")
    total = sum(kind.part for kind in tier.kind) or 1.0
    exact = [count * kind.part / total for kind in tier.kind]
    counts = [int(x) for x in exact]
    by_remainder = sorted(range(len(exact)), key=lambda i: counts[i] - exact[i])
    for i in by_remainder[: count - sum(counts)]:
        counts[i] += 1
    kinds = [i for i, n in enumerate(counts) for _ in range(n)]
    rng.shuffle(kinds)
    plans = []
    for i, k in enumerate(kinds):
        kind = tier.kind[k]
        spread = as_float(kind.speed_spread)
        speed = as_float(kind.speed) * (sample_unit_mean(rng, "lognormal", spread) if spread else 1.0)
        zone = i % zones
        plans.append(
            ServerPlan(kind, k, zone, zones * (i // zones // int(as_float(tier.cell))) + zone, speed)
        )
    return plans


def as_float(value: Any) -> float:
    """Return a sampled field as a float; its static type still admits a range."""
    return float(value)


def sample_unit_mean(rng: random.Random, form: str, variation: float) -> float:
    """Sample a positive value of mean 1 with this coefficient of variation (exponential: always 1)."""
    if form == "fixed" or variation <= 0.0:
        return 1.0
    if form == "exponential":
        return rng.expovariate(1.0)
    if form == "lognormal":
        sigma2 = math.log1p(variation * variation)
        return math.exp(rng.gauss(-0.5 * sigma2, math.sqrt(sigma2)))
    # Pareto: the shape parameter above 2 that gives this variation, cv^2 = 1 / (shape (shape - 2)).
    shape = 1.0 + math.sqrt(1.0 + 1.0 / (variation * variation))
    return (shape - 1.0) / shape * rng.paretovariate(shape)


def sample_work_ms(rng: random.Random, request_class: RequestClass) -> float:
    """Sample the work of a request over all tiers, in ms on a core of speed 1."""
    return as_float(request_class.work_ms) * sample_unit_mean(
        rng, request_class.spread, as_float(request_class.variation)
    )


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Sizes derived from a sampled file."""

    servers_per_tier: tuple[int, ...]
    calls_per_request: tuple[float, ...]  # mean calls to each tier per request to the first
    work_shares: tuple[float, ...]  # fraction of a request's work done by each call to a tier
    mean_work_ms: float
    capacity_per_s: float  # requests per second of the bottleneck tier, all its servers warm


def fleet_shape_of(file: File) -> FleetShape:
    """Compute the sizes of a sampled file."""
    tiers = file.fleet.tier
    servers: list[int] = []
    calls: list[float] = []
    for i, tier in enumerate(tiers):
        preceding = servers[i - 1] if i else 1
        count = tier.servers if tier.servers is not None else round(preceding * as_float(tier.servers_each))
        servers.append(max(1, int(as_float(count))))
        calls.append(1.0 if i == 0 else calls[i - 1] * as_float(tier.calls))
    total = sum(as_float(t.work) for t in tiers)
    work_shares = tuple(as_float(t.work) / total for t in tiers)
    parts = sum(c.part for c in file.request_class) or 1.0
    mean = sum(c.part * as_float(c.work_ms) for c in file.request_class) / parts
    capacity = math.inf
    for tier, count, call, work in zip(tiers, servers, calls, work_shares, strict=True):
        kinds = sum(k.part for k in tier.kind) or 1.0
        speed = sum(k.part * as_float(k.speed) * k.cores for k in tier.kind) / kinds
        capacity = min(capacity, 1000.0 * count * speed / (mean * work * call))
    return FleetShape(tuple(servers), tuple(calls), work_shares, mean, capacity)
