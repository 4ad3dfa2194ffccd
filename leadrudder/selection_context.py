"""The inputs of one server selection.  A plain record without logic."""

from __future__ import annotations

from dataclasses import dataclass, field

from leadrudder.interface import ServerId
from leadrudder.policy.attempts import Request


@dataclass(slots=True)
class DrawContext:
    """Values shared by all servers while one is selected for a request."""

    request: Request
    mean_latency_ms: float  # of the latency averages of all servers
    calm_latency_ms: float  # lowest mean latency, without queueing
    in_flight: int  # calls to all servers
    late_after_ms: float  # age after which an attempt is late
    warm_server_flow: float | None = None  # work per ms; computed once, and only if a server is cold
    may_have_run: bool = field(init=False)
    tried_servers: set[ServerId] = field(init=False)

    def __post_init__(self) -> None:
        self.may_have_run = self.request.first_possible_run() is not None
        self.tried_servers = {a.entry.server for a in self.request.attempts}
