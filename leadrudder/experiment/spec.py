"""Typed model of an experiment file: fleet, load, callers, troubles, swept fields and compared sides.

Field names carry their units. A field that also accepts a pair [low, high] is sampled from that range for
each seed. Class names, docstrings and descriptions are part of the published JSON Schema.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from leadrudder.tool.model import Identifier, StrictModel

FORMAT_VERSION = 1

Amount = Annotated[float, Field(ge=0, le=1e6, allow_inf_nan=False)]
Positive = Annotated[float, Field(gt=0, le=1e6, allow_inf_nan=False)]
Fraction = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]


Count = Annotated[int, Field(ge=1, le=20_000)]
Factor = Annotated[float, Field(ge=1, le=1000, allow_inf_nan=False)]

# A single value, or the pair [low, high] that each seed samples from.
AmountOrRange = Amount | Annotated[list[Amount], Field(min_length=2, max_length=2)]
PositiveOrRange = Positive | Annotated[list[Positive], Field(min_length=2, max_length=2)]
FractionOrRange = Fraction | Annotated[list[Fraction], Field(min_length=2, max_length=2)]
CountOrRange = Count | Annotated[list[Count], Field(min_length=2, max_length=2)]
FactorOrRange = Factor | Annotated[list[Factor], Field(min_length=2, max_length=2)]
LoadOrRange = (
    Annotated[float, Field(gt=0, le=10, allow_inf_nan=False)]
    | Annotated[
        list[Annotated[float, Field(gt=0, le=10, allow_inf_nan=False)]], Field(min_length=2, max_length=2)
    ]
)

Distribution = Literal["fixed", "exponential", "lognormal", "pareto"]


class Slowing(StrictModel):
    """Servers that turn slow once crowded and stay so until they are nearly idle: what makes jams last."""

    part: Fraction = Field(default=1.0, description="of all seeds have such servers")
    above: AmountOrRange = Field(description="requests held beyond the cores, in roots of the cores")
    counts: Literal["working", "held"] = Field(
        default="working", description="those on cores or in the queue, or all that it holds"
    )
    most_part: Fraction = Field(
        default=1.0, description="of slots and queue that need to be taken at the most, however many cores"
    )
    for_s: PositiveOrRange = Field(description="of which the mean over so long must be above that")
    times: FactorOrRange = Field(description="slower, from then on")
    busy_below: FractionOrRange = Field(
        description="part of its cores that is busy at most while it recovers"
    )
    rest_s: PositiveOrRange = Field(description="for so long on end")
    most_s: PositiveOrRange = Field(default=1e6, description="and it recovers after this long at the latest")


class Kind(StrictModel):
    """Servers that are alike."""

    name: Identifier
    part: Fraction = Field(default=1.0, description="of the tier's servers; parts are scaled to sum to 1")
    cores: int = Field(default=1, ge=1, le=1024)
    speed: PositiveOrRange = Field(default=1.0, description="of a core; 1 does a millisecond of work in one")
    speed_spread: AmountOrRange = Field(default=0.0, description="coefficient of variation over servers")
    slots: CountOrRange = Field(default=1, description="requests in service, for each core")
    queue: AmountOrRange = Field(default=1000.0, description="requests that may wait, for each core")
    thrash: AmountOrRange = Field(default=0.0, description="longer by this part, for each further thrash_at")
    thrash_at: PositiveOrRange = Field(default=1000.0, description="requests in service for each core")
    cold_from: FractionOrRange = Field(default=1.0, description="part of its speed that a server starts with")
    cold_s: AmountOrRange = Field(default=0.0, description="until it is warm")
    errors: FractionOrRange = Field(default=0.0, description="part of the requests that end in an error")
    pause_every_s: AmountOrRange = Field(default=0.0, description="mean between pauses; 0: none")
    pause_ms: AmountOrRange = 0.0
    cancels: Literal["none", "queued", "all"] = Field(
        default="none", description="which requests stop when their node gives them up"
    )


class Reports(StrictModel):
    """Load that servers tell in their answers."""

    period_ms: PositiveOrRange = 1000.0
    delay_ms: AmountOrRange = 0.0
    noise: FractionOrRange = 0.0


class Tier(StrictModel):
    """Servers of one tier, and how the tier before calls it."""

    name: Identifier
    servers: CountOrRange | None = Field(default=None, description="left out: by servers_each")
    servers_each: PositiveOrRange = Field(default=1.0, description="servers for each one of the tier before")
    work: PositiveOrRange = Field(default=1.0, description="part of a request's work; scaled to sum to 1")
    calls: AmountOrRange = Field(default=1.0, description="mean calls of a request of the tier before")
    cell: CountOrRange = Field(default=4, description="servers that form a cell")
    connections: AmountOrRange = Field(
        default=0.0, description="that a server holds, for each core; 0: any number"
    )
    handshake_ms: AmountOrRange = Field(default=0.0, description="work of a new connection")
    idle_s: Positive = Field(default=30.0, description="after which a server closes an idle one")
    kind: list[Kind] = Field(min_length=1)
    slowing: Slowing | None = None
    reports: Reports | None = None


class RequestClass(StrictModel):
    """Requests that are alike, and what an answer to one is worth."""

    name: Identifier
    part: Fraction = Field(default=1.0, description="of the requests; parts are scaled to sum to 1")
    work_ms: PositiveOrRange = Field(description="mean, over all tiers, on a core of speed 1")
    spread: Distribution = "exponential"
    variation: AmountOrRange = Field(default=1.0, description="coefficient of variation of the work")
    wait_ms: AmountOrRange = Field(default=0.0, description="mean time on other services; a slot, no core")
    noise: AmountOrRange = Field(default=0.0, description="coefficient of variation from attempt to attempt")
    aim_ms: Positive
    deadline_ms: Positive
    worth: Amount = 1.0
    late_share: Fraction = 0.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["cell", "zone", "all"] = "all"
    window_ms: Amount = 0.0


class Tenant(StrictModel):
    """One of those who share the service."""

    name: Identifier
    share: Fraction
    usage: PositiveOrRange = Field(default=1.0, description="of its share; scaled to the load over all")


class Load(StrictModel):
    """What is asked of the fleet."""

    form: Literal["open", "closed", "trace"] = "open"
    of_capacity: LoadOrRange | None = Field(
        default=None, description="work asked, as a part of what the narrowest tier can do"
    )
    per_s: Annotated[float, Field(gt=0, le=200_000)] | None = Field(
        default=None, description="requests a second, instead of of_capacity"
    )
    callers: int = Field(default=0, ge=0, le=100_000, description="of a closed loop")
    think_ms: Amount = Field(default=0.0, description="mean between a closed loop's requests")
    trace: str = Field(default="", max_length=4096, description="a CSV of at_ms,class,work_ms,tenant")
    shape: Literal["steady", "wave", "bursty"] = "steady"
    swing: FractionOrRange = Field(default=0.0, description="of a wave or of bursts, about the mean")
    period_s: Positive = 20.0
    hints: Literal["none", "rough", "good"] = "none"
    worth_by_work: bool = False
    over_share_worth: Fraction = 1.0
    quota_of_capacity: FractionOrRange = 1.0


class Callers(StrictModel):
    """What callers do who are refused or get no answer."""

    tries: AmountOrRange = Field(default=0.0, description="more after the first; a fraction is a chance")
    patience: FractionOrRange = Field(default=1.0, description="part of the deadline that a try waits")
    back_off_ms: AmountOrRange = 100.0
    doubles: bool = Field(default=True, description="whether the wait doubles from try to try")
    honour: FractionOrRange = Field(default=1.0, description="part of them that honours the time told")
    notice_s: AmountOrRange = Field(default=0.0, description="until callers notice a node that is gone")


class Network(StrictModel):
    zones: list[str] = Field(default=["zone-1"], min_length=1, max_length=64)
    same_ms: AmountOrRange = Field(default=0.2, description="one way within a zone")
    cross_ms: AmountOrRange = Field(default=2.0, description="one way between zones")
    client_ms: AmountOrRange = 0.5
    jitter: FractionOrRange = Field(default=0.0, description="of each way, up to this part longer")


class Lists(StrictModel):
    """How the list of servers lags."""

    asked: bool = False
    notice_s: AmountOrRange = Field(default=0.0, description="from a change to the list")
    silent_notice_s: AmountOrRange = Field(default=5.0, description="the same for servers that vanish")
    add_s: AmountOrRange = Field(default=0.0, description="more for a server that is new")
    period_ms: AmountOrRange = Field(default=0.0, description="the list is renewed so often")
    spread_ms: AmountOrRange = Field(default=0.0, description="from node to node")


class Node(StrictModel):
    """What the nodes are told and may do; the rules they are held to."""

    attempts: int = Field(default=3, ge=1, le=10)
    copies: bool = True
    cancel: bool = True
    probes: bool = False
    retry_after: bool = True
    most_retry_after_ms: Amount = 2000.0
    passes_deadline: bool = True
    capacity_hints: bool = Field(default=False, description="whether the list tells kinds' capacities")
    drain_grace_ms: Amount = 250.0
    fall_times: Positive = 4.0
    fall_s: Positive = 1.0
    connect_ms: Positive = 150.0
    limit_each: Positive = Field(
        default=5.0,
        description="calls out for each warm server of the first tier, where policy is limit-fixed",
    )


class Fleet(StrictModel):
    nodes: CountOrRange = Field(default=1, description="before the first tier")
    hot: FractionOrRange = Field(
        default=0.0, description="part of them that callers bring more to than to the others"
    )
    hot_times: FactorOrRange = Field(default=4.0, description="so many times as much")
    tier: list[Tier] = Field(min_length=1, max_length=8)
    network: Network = Network()
    lists: Lists = Lists()
    node: Node = Node()


class Trouble(StrictModel):
    """Something that goes wrong, at a time, for a while, with some."""

    what: Literal[
        "slow", "hang", "vanish", "errors", "neighbour", "burst", "release", "replace", "zone",
        "late-reports", "node-restart",
    ]  # fmt: skip
    at_s: AmountOrRange
    length_s: AmountOrRange = 10.0
    part: FractionOrRange = Field(default=0.1, description="of the servers, nodes or zones")
    times: AmountOrRange = Field(default=2.0, description="how much slower or more")
    tier: Identifier | None = Field(default=None, description="left out: the first")
    chance: Fraction = Field(default=1.0, description="part of the seeds that have it")


class Vary(StrictModel):
    """One field takes several values; with more than one [[vary]], all of their combinations."""

    field: str = Field(pattern=r"^[a-z_]+(\.[a-z0-9_-]+)*$", description="as in load.of_capacity")
    values: list[float | int | str | bool] = Field(min_length=1, max_length=1000)


class Side(StrictModel):
    """One of what is compared: a policy, of a revision, with settings of its own."""

    name: Identifier
    policy: Literal[
        "leadrudder", "random", "round-robin", "least-outstanding", "two-choices",
        "limit-fixed", "limit-aimd", "limit-gradient", "limit-vegas", "limit-codel",
    ] = Field(default="leadrudder", description="limit-...: the module with that limit")  # fmt: skip
    ref: str = Field(default="", max_length=100, description="a git revision; left out: as it stands")
    model: Literal["policy", "whole"] = Field(
        default="policy", description="decisions alone, or whole nodes on the simulation's network"
    )
    change: dict[str, float | int | str | bool] = Field(
        default={}, description="fields of this file that are other on this side"
    )


class Runs(StrictModel):
    seeds: int = Field(default=10, ge=1, le=10_000)
    first_seed: int = Field(default=1, ge=0)
    most_runs: int = Field(default=10_000, ge=1, le=1_000_000, description="a larger grid is not begun")
    most_steps: int = Field(default=50_000_000, ge=1000, description="a run of more is stopped, and told")
    most_mb: int = Field(default=2048, ge=128, le=65_536, description="memory of one run")
    sample: int = Field(default=0, ge=0, description="combinations drawn at random; 0: all of the grid")


class File(StrictModel):
    """The whole file."""

    version: Literal[1] = Field(description="of this format")
    name: Identifier
    about: str = Field(default="", max_length=2000)
    base: str = Field(
        default="",
        max_length=1000,
        description="a shipped experiment, or a file beside this one: what is unsaid here is as there",
    )
    length_s: Annotated[float, Field(gt=0, le=86_400)] = 60.0
    warm_up_s: Amount = Field(default=0.0, description="figures are counted from then")
    fleet: Fleet
    request_class: list[RequestClass] = Field(min_length=1, max_length=64, alias="class")
    tenant: list[Tenant] = Field(default=[], max_length=256)
    load: Load
    callers: Callers = Callers()
    trouble: list[Trouble] = Field(default=[], max_length=1000)
    vary: list[Vary] = Field(default=[], max_length=6)
    side: list[Side] = Field(default=[Side(name="now")], min_length=1, max_length=16)
    runs: Runs = Runs()
