"""What one draw of a server has in view.  A record: it decides nothing."""

from __future__ import annotations

from dataclasses import dataclass, field

from leadrudder.interface import ServerId
from leadrudder.policy.attempts import Request


@dataclass(slots=True)
class Look:
    """What is the same for all servers while one is drawn for a request."""

    request: Request
    mean: float  # of all averages
    calm: float  # the calmest mean latency
    total: int  # calls out
    late: float  # what an attempt may take before it is late
    flow: float | None = None  # to a warm server; counted once, and only if a server is cold
    risky: bool = field(init=False)
    tried: set[ServerId] = field(init=False)

    def __post_init__(self) -> None:
        self.risky = self.request.risky() is not None
        self.tried = {a.entry.server for a in self.request.attempts}
