"""Per-server state and the context of the current event.  Records only: no decisions are made here."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random

from leadrudder.interface import Action, Log, RequestId, ServerEntry

MIN_WEIGHT, MAX_WEIGHT = 1e-3, 1e3  # bounds of a listed capacity hint; NaN counts as the minimum


@dataclass(slots=True)
class EventContext:
    """Set by the balancer for each event; the actions are executed in order.  Times are in ms."""

    rng: Random
    now: float = 0.0
    actions: list[Action] = field(default_factory=list)

    def log(self, text: str) -> None:
        self.actions.append(Log(text))


@dataclass(slots=True)
class ClassHealth:
    """Health of a server for one class of requests."""

    failure_rate: float = 0.0
    long_term_failure_rate: float = 0.0  # over more answers, malformed ones included
    served: bool = False
    blocked_until: float = -math.inf
    on_probation: bool = False  # it was blocked, and no call has succeeded since
    backoff_exponent: int = 0
    outstanding: int = 0

    def accepts_calls(self, now: float) -> bool:
        return now >= self.blocked_until and not (self.on_probation and self.outstanding)


_NO_CALLS: dict[tuple[RequestId, int], float] = {}


def _shared_no_calls() -> dict[tuple[RequestId, int], float]:
    return _NO_CALLS


@dataclass(slots=True)
class Server:
    """One server that is listed or still has outstanding calls of this node.

    Until their first call, servers share the objects that hold calls and class health (allocate_call_state):
    a node never calls most servers of a long list, and these objects were a third of its memory for them.
    """

    entry: ServerEntry
    class_health: list[ClassHealth]  # modified by calls only
    listed: bool = True
    # Send times by request and attempt number, oldest first.
    outstanding: dict[tuple[RequestId, int], float] = field(default_factory=_shared_no_calls)
    last_heard_at: float = -math.inf
    failure_rate: float = 0.0
    ejected: bool = False
    on_probation: bool = False
    backoff_exponent: int = 0
    paused_until: float = -math.inf
    consecutive_refusals: int = 0  # since the last call that it served
    max_outstanding: float = math.inf  # estimated once it has refused a call
    position: int = -1  # its index among the listed servers; -1 if not listed
    needs_check: bool = False  # not warm, healthy and idle: checked before a call is sent to it
    cold: bool = False
    next_warm_up_step_at: float = -math.inf  # when the capacity of a cold server is updated next
    counted_capacity: float = 0.0  # its part of the fleet's capacity, in warm servers
    restricted_until: float = -math.inf  # paused, cold or blocked until then
    cold_start_tokens: float = 0.0  # its cold budget, in calls of mean work
    cold_start_tokens_at: float = 0.0
    load_report: tuple[float, ...] = ()  # the latest, while it is fresh
    load_reported_at: float = 0.0
    outstanding_at_report: int = 0  # calls of this node that were outstanding at that time

    def weight(self, use_capacity_hint: bool) -> float:
        """Weight relative to the mean server; use_capacity_hint: whether the listed capacity counts."""
        return min(max(MIN_WEIGHT, self.entry.capacity_hint if use_capacity_hint else 1.0), MAX_WEIGHT)

    def allocate_call_state(self) -> None:
        """Give the server call state of its own; called before each call that is sent to it."""
        if self.outstanding is _NO_CALLS:
            self.outstanding = {}
            self.class_health = [ClassHealth() for _ in self.class_health]

    def reset_after_restart(self, now: float, cold_start_token: float) -> None:
        """Discard the failures of the previous process; the new one is cold again."""
        self.failure_rate, self.backoff_exponent, self.ejected, self.on_probation = 0.0, 0, False, False
        if self.outstanding is not _NO_CALLS:
            self.class_health = [ClassHealth(outstanding=health.outstanding) for health in self.class_health]
        self.cold_start_tokens, self.cold_start_tokens_at = cold_start_token, now
