"""What the listed servers bear together, and what a cold one may get of it (rule 4).

One owner for how warm a server is: the cold budget and the limit of calls out both go by it.
"""

from __future__ import annotations

import math

from leadrudder.interface import Settings
from leadrudder.state.estimators import DecayingRate
from leadrudder.state.records import EventContext, Server

WARM_UP_STEPS = 8  # looks at how warm a cold server has become
MAX_EJECTED_SHARE = 0.34  # part of the fleet that may be out at once


def can_eject_another(out: int, servers: int, most: float = MAX_EJECTED_SHARE) -> bool:
    """Whether one more of these servers may be left out beside those that are."""
    return out + 1 <= max(1.0, most * servers)


class FleetCapacity:
    """Kept by change: whoever changes a listed server notes it here."""

    def __init__(self, settings: Settings, turn: EventContext) -> None:
        self._settings = settings
        self._turn = turn
        self._flow = DecayingRate(settings.cold_ms or 1000.0)  # units sent
        self._arms = 0  # servers that are counted
        self._cold = 0
        self._total = 0.0

    def total(self) -> float:
        """Warm servers that would bear as much as those that are listed and take calls.

        Never less than if all were cold: where most are out of use, health is no guide.
        """
        return max(self._total, self._settings.cold_start_share * self._arms)

    def cold_until(self, server: Server) -> float:
        """When it is warm for certain, ms; the start of time if it was started long ago."""
        start = server.entry.started_ms
        return start + self._settings.cold_ms if start > 0 else -math.inf

    def slow_start_factor(self, server: Server) -> float:
        """What a server bears for certain, as a part of what it will when it is warm."""
        if self._turn.now >= self.cold_until(server):
            return 1.0
        low, age = self._settings.cold_start_share, self._turn.now - server.entry.started_ms
        return low + (1.0 - low) * max(age, 0.0) / self._settings.cold_ms

    def add_server(self, server: Server) -> None:
        self._arms += 1
        server.counted_capacity = 0.0

    def remove_server(self, server: Server) -> None:
        self._arms -= 1
        self._cold -= server.cold
        self._total = self._total - server.counted_capacity if self._arms else 0.0  # and rounding with it
        server.cold, server.counted_capacity = False, 0.0

    def update(self, server: Server, in_use: bool) -> float | None:
        """A server has changed or is due; the time to look at it again, if time alone will change it."""
        warmth = self.slow_start_factor(server)
        cold = warmth < 1.0
        self._cold += cold - server.cold
        server.cold = cold
        bears = warmth if in_use else 0.0
        self._total += bears - server.counted_capacity
        server.counted_capacity = bears
        if not cold or server.next_warm_up_step_at > self._turn.now:
            return None
        step = self._settings.cold_ms / WARM_UP_STEPS
        server.next_warm_up_step_at = min(self.cold_until(server), self._turn.now + step)
        return server.next_warm_up_step_at

    def record_send(self, server: Server, units: float) -> None:
        """Work goes out to a server, in calls of mean work."""
        server.cold_start_tokens -= units
        self._flow.add(units, self._turn.now)

    def warm_send_rate(self) -> float:
        """Units a millisecond that this node sends a warm server; over all servers while none is warm."""
        return self._flow.per_ms(self._turn.now) / ((self._arms - self._cold) or self._arms)

    def cold_budget_allows(self, server: Server, units: float, flow: float) -> bool:
        """Rule 4: a cold server gets the rising part of what this node sends a warm one.

        Together all nodes then send it its part of what warm servers bear, and the multiple that the rule
        allows is left as a margin for chance and for heavy requests.
        """
        ramp = self.slow_start_factor(server)
        most = max(1.0, ramp * flow * self._settings.fall_window_ms)
        server.cold_start_tokens = min(
            most, server.cold_start_tokens + ramp * flow * (self._turn.now - server.cold_start_tokens_at)
        )
        server.cold_start_tokens_at = self._turn.now
        return server.cold_start_tokens >= min(units, most)
