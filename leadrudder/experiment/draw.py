"""What a seed makes of an experiment file: ranges become figures, each from a source of its own."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import Any, TypeVar

from pydantic import BaseModel

from leadrudder.experiment.spec import File, Kind, RequestClass, Tier

SectionT = TypeVar("SectionT", bound=BaseModel)


def sample_ranges(section: SectionT, seed: str) -> SectionT:
    """A copy in which each pair [low, high] is a figure between the two.

    A field's figure hangs on the seed and the field's path alone, so that a changed field changes no other.
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
            whole = isinstance(low, int) and isinstance(high, int)
            update[name] = rng.randint(low, high) if whole else rng.uniform(low, high)
        elif isinstance(value, list) and value and isinstance(value[0], BaseModel):
            update[name] = [sample_ranges(item, f"{path}/{i}") for i, item in enumerate(value)]
    return section.model_copy(update=update)


def is_range(value: object) -> bool:
    """Whether a field holds a pair to draw from."""
    return (
        isinstance(value, list)
        and len(value) == 2
        and all(isinstance(x, int | float) and not isinstance(x, bool) for x in value)
    )


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """One server as it is built: its kind, zone, cell and own speed."""

    kind: Kind
    kind_index: int
    zone: int
    cell: int
    speed: float


def plan_servers(tier: Tier, count: int, zones: int, seed: str) -> list[ServerPlan]:
    """The servers of a tier: kinds by their parts, zones in turn, cells within zones."""
    rng = random.Random(f"{seed}/servers")
    total = sum(kind.part for kind in tier.kind) or 1.0
    exact = [count * kind.part / total for kind in tier.kind]
    counts = [int(x) for x in exact]
    order = sorted(range(len(exact)), key=lambda i: counts[i] - exact[i])
    for i in order[: count - sum(counts)]:
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
    """A field that has been drawn, as the number that it is by now."""
    return float(value)


def sample_unit_mean(rng: random.Random, form: str, variation: float) -> float:
    """A positive draw of mean 1 with this coefficient of variation (exponential has 1, whatever is asked)."""
    if form == "fixed" or variation <= 0.0:
        return 1.0
    if form == "exponential":
        return rng.expovariate(1.0)
    if form == "lognormal":
        sigma2 = math.log1p(variation * variation)
        return math.exp(rng.gauss(-0.5 * sigma2, math.sqrt(sigma2)))
    # Pareto from its least value: the exponent a > 2 that has this variation, cv^2 = 1 / (a (a - 2)).
    a = 1.0 + math.sqrt(1.0 + 1.0 / (variation * variation))
    return (a - 1.0) / a * rng.paretovariate(a)


def sample_work_ms(rng: random.Random, kind: RequestClass) -> float:
    """Work of a request over all tiers, ms on a core of speed 1."""
    return as_float(kind.work_ms) * sample_unit_mean(rng, kind.spread, as_float(kind.variation))


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Sizes that follow from a drawn file."""

    servers_per_tier: tuple[int, ...]  # of each tier
    calls_per_request: tuple[float, ...]  # mean calls of each tier for a request of the first
    work_shares: tuple[float, ...]  # part of a request's work in each call of a tier
    mean_work_ms: float
    capacity_per_s: float  # requests a second that the narrowest tier can do, all its servers warm


def fleet_shape_of(file: File) -> FleetShape:
    """The sizes of a drawn file."""
    tiers = file.fleet.tier
    servers: list[int] = []
    calls: list[float] = []
    for i, tier in enumerate(tiers):
        before = servers[i - 1] if i else 1
        count = tier.servers if tier.servers is not None else round(before * as_float(tier.servers_each))
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
