"""The operator's file as a typed model: one application, its listeners, tiers, classes, routes and shares.

Every default is the safe value: a class without an effect is unsafe, a route without `repeat` may not be
repeated, a tier makes one attempt. Times are milliseconds unless a name says otherwise.

The docstrings and descriptions of the models are published in the JSON Schema and the field reference.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

FORMAT_VERSION = 1

Identifier = Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^\S+:[0-9]{1,5}$", description="host:port")]
Milliseconds = Annotated[float, Field(gt=0, le=3_600_000, allow_inf_nan=False)]
Share = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]
NonNegativeNumber = Annotated[float, Field(ge=0, le=1e9, allow_inf_nan=False)]
DeduplicationGroup = Literal["cell", "zone", "all"]


class StrictModel(BaseModel):
    """Base of all tables of the file: rejects unknown keys and converts no types implicitly."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class Application(StrictModel):
    """The application that the sidecar stands beside."""

    name: Identifier
    zone: str = Field(default="", description="the zone of its machine; empty where there is one zone")
    stop: Literal["application-first", "nodes-first"] = Field(
        default="application-first", description="who goes first when the sidecar is told to end"
    )
    calls: list[Identifier] = Field(
        default=[], description="other applications that it calls, by their names"
    )


class Limits(StrictModel):
    """What one node may use, and what the file promises to stay within."""

    memory_mb: int = Field(default=64, ge=32, le=65_536, description="of each node")
    descriptors: int = Field(default=256, ge=16, le=1_048_576, description="of each node")
    open_requests: int = Field(default=64, ge=1, le=100_000, description="that a node must hold at once")
    body_kb: int = Field(default=64, ge=1, le=64, description="the largest body of a request")
    repeat_factor: float = Field(
        default=4.0,
        ge=1,
        le=1000,
        allow_inf_nan=False,
        description="attempts over all tiers for one request, at most",
    )
    permitted: list[str] = Field(
        default=["127.0.0.0/8"], description="networks in which listeners may be, as address/length"
    )


class Defaults(StrictModel):
    """What routes and tiers inherit where they say nothing."""

    repeat: bool = Field(default=False, description="whether a route's requests may be repeated")
    attempts: int = Field(default=1, ge=1, le=10, description="that a tier's node makes for a request")


class Tier(StrictModel):
    """Servers of one kind, which one listener's node balances."""

    name: Identifier
    discovery: Address = Field(description="where the list of its servers is asked for")
    list: Literal["asked", "pushed"] = Field(
        default="asked", description="whether the list is asked for or pushed"
    )
    attempts: int | None = Field(
        default=None, ge=1, le=10, description="for a request; left out: as in [defaults]"
    )
    copies: bool = Field(default=False, description="whether a second copy may go out while the first runs")
    drops_repeats: Literal["none", "cell", "zone", "all"] = Field(
        default="none", description="the servers that together drop repeats of a keyed request"
    )
    drops_repeats_ms: float = Field(
        default=0.0,
        ge=0,
        le=86_400_000,
        allow_inf_nan=False,
        description="and for how long they remember them",
    )
    behind: Identifier | None = Field(
        default=None, description="the tier whose servers call this one; left out: the first"
    )
    deadline_ms: Milliseconds | None = Field(default=None, description="that its callers are given at most")
    cold_ms: float = Field(default=10_000.0, ge=0, le=3_600_000, allow_inf_nan=False)
    connect_ms: Milliseconds = 250.0
    idle_ms: Milliseconds = 15_000.0
    nodes: int = Field(default=1, ge=1, le=10_000, description="nodes that share its servers")


class Listener(StrictModel):
    """Where the application calls its node: one node for each."""

    name: Identifier
    address: Address
    tier: Identifier


class RequestClass(StrictModel):
    """Requests that are alike, and what an answer to one is worth."""

    name: Identifier
    effect: Literal["safe", "keyed", "unsafe"] = Field(
        default="unsafe",
        description="what a second execution does: nothing, dropped by its key, or the effect again",
    )
    aim_ms: Milliseconds
    deadline_ms: Milliseconds
    worth: NonNegativeNumber = 1.0
    late_share: Share = 0.0
    group: DeduplicationGroup | None = Field(
        default=None, description="of a keyed class: the servers that drop its repeats"
    )
    window_ms: Milliseconds | None = Field(default=None, description="of a keyed class: how long they do")


class Route(StrictModel):
    """Requests of a method and a path are of a class and go to a listener."""

    method: Literal["GET", "POST"]
    path: str = Field(pattern=r"^/[!-~]*$", max_length=1024, description="a trailing /* takes all below it")
    listener: Identifier
    request_class: Identifier = Field(alias="class")
    repeat: bool | None = Field(default=None, description="left out: as in [defaults], which is false there")


class Tenant(StrictModel):
    """One of those who share the service."""

    name: Identifier
    share: Share
    quota_per_s: NonNegativeNumber = 0.0


class File(StrictModel):
    """The whole file."""

    version: Literal[1] = Field(description="of this format")
    application: Application
    limits: Limits = Limits()
    defaults: Defaults = Defaults()
    tier: list[Tier] = Field(min_length=1)
    listener: list[Listener] = Field(min_length=1)
    request_class: list[RequestClass] = Field(min_length=1, alias="class")
    route: list[Route] = Field(min_length=1)
    tenant: list[Tenant] = []

    def attempts_for(self, tier: Tier) -> int:
        """The attempts that a tier's node may make for one request; inherited from [defaults] if not set."""
        return self.defaults.attempts if tier.attempts is None else tier.attempts

    def allows_repeat(self, route: Route) -> bool:
        """Whether a route's requests may be repeated; inherited from [defaults] if not set."""
        return self.defaults.repeat if route.repeat is None else route.repeat
