"""Capacity of the listed servers together, and the share of it that a cold server may get (rule 4).

The slow-start factor of a server is kept here alone; the cold budget and the concurrency limit both use it.
"""

from __future__ import annotations

import math

from leadrudder.interface import Settings
from leadrudder.state.estimators import DecayingRate
from leadrudder.state.records import EventContext, Server

WARM_UP_STEPS = 8  # times that the capacity of a cold server is updated until it is warm
MAX_EJECTED_SHARE = 0.34  # share of the servers that may be ejected at once


def can_eject_another(ejected: int, servers: int, max_share: float = MAX_EJECTED_SHARE) -> bool:
    """Whether one more server may be ejected; the first always may."""
    return ejected + 1 <= max(1.0, max_share * servers)


class FleetCapacity:
    """Kept incrementally: every change of a listed server is reported by a call of update()."""

    def __init__(self, settings: Settings, context: EventContext) -> None:
        self._settings = settings
        self._context = context
        self._send_rate = DecayingRate(settings.cold_ms or 1000.0)  # units of work sent
        self._servers = 0
        self._cold_servers = 0
        self._total = 0.0

    def total(self) -> float:
        """Capacity of the listed servers in use, as a number of warm servers.

        Never less than if all servers were cold: with most of them ejected, health is no reliable signal.
        """
        return max(self._total, self._settings.cold_start_share * self._servers)

    def cold_until(self, server: Server) -> float:
        """Time, ms, from which the server is certainly warm; -inf if no start time is known."""
        start = server.entry.started_ms
        return start + self._settings.cold_ms if start > 0 else -math.inf

    def slow_start_factor(self, server: Server) -> float:
        """The capacity that a server has for certain, as a share of its capacity when warm."""
        if self._context.now >= self.cold_until(server):
            return 1.0
        min_factor, age = self._settings.cold_start_share, self._context.now - server.entry.started_ms
        return min_factor + (1.0 - min_factor) * max(age, 0.0) / self._settings.cold_ms

    def add_server(self, server: Server) -> None:
        self._servers += 1
        server.counted_capacity = 0.0

    def remove_server(self, server: Server) -> None:
        self._servers -= 1
        self._cold_servers -= server.cold
        # Without servers the total is exactly 0, which also drops rounding errors.
        self._total = self._total - server.counted_capacity if self._servers else 0.0
        server.cold, server.counted_capacity = False, 0.0

    def update(self, server: Server, in_use: bool) -> float | None:
        """Update a changed server; returns the time of the next update if time alone will change it."""
        factor = self.slow_start_factor(server)
        cold = factor < 1.0
        self._cold_servers += cold - server.cold
        server.cold = cold
        capacity = factor if in_use else 0.0
        self._total += capacity - server.counted_capacity
        server.counted_capacity = capacity
        if not cold or server.next_warm_up_step_at > self._context.now:
            return None
        step = self._settings.cold_ms / WARM_UP_STEPS
        server.next_warm_up_step_at = min(self.cold_until(server), self._context.now + step)
        return server.next_warm_up_step_at

    def record_send(self, server: Server, units: float) -> None:
        """Charge a call to the server's cold budget; units: its work as a multiple of the mean call's."""
        server.cold_start_tokens -= units
        self._send_rate.add(units, self._context.now)

    def warm_send_rate(self) -> float:
        """Units a millisecond sent to each warm server; the mean over all servers while none is warm."""
        return self._send_rate.per_ms(self._context.now) / (
            (self._servers - self._cold_servers) or self._servers
        )

    def cold_budget_allows(self, server: Server, units: float, warm_rate: float) -> bool:
        """Rule 4: a cold server gets a rising share of what this node sends to a warm one.

        All nodes together then send it that share of a warm server's load, and the multiple that the rule
        allows is left as a margin for chance and for heavy requests.
        """
        ramp = self.slow_start_factor(server)
        max_tokens = max(1.0, ramp * warm_rate * self._settings.fall_window_ms)
        server.cold_start_tokens = min(
            max_tokens,
            server.cold_start_tokens + ramp * warm_rate * (self._context.now - server.cold_start_tokens_at),
        )
        server.cold_start_tokens_at = self._context.now
        return server.cold_start_tokens >= min(units, max_tokens)
