"""What the decisions remember of servers, and of the event at hand.  Records: they decide nothing."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random

from leadrudder.interface import Action, Log, RequestId, ServerEntry

MIN_WEIGHT, MAX_WEIGHT = 1e-3, 1e3  # of a listed capacity; one that is no number counts as the least


@dataclass(slots=True)
class EventContext:
    """Set by the balancer at each event; the actions are carried out in their order."""

    rng: Random
    now: float = 0.0
    actions: list[Action] = field(default_factory=list)

    def log(self, text: str) -> None:
        self.actions.append(Log(text))


@dataclass(slots=True)
class ClassHealth:
    """How a server does with one class of requests."""

    failure_rate: float = 0.0
    long_term_failure_rate: float = 0.0  # the same over more answers, spoilt ones among them
    served: bool = False
    blocked_until: float = -math.inf
    on_probation: bool = False  # barred until lately, and not proven since
    backoff_exponent: int = 0
    outstanding: int = 0

    def accepts_calls(self, now: float) -> bool:
        return now >= self.blocked_until and not (self.on_probation and self.outstanding)


_NO_CALLS: dict[tuple[RequestId, int], float] = {}


def _no_calls() -> dict[tuple[RequestId, int], float]:
    return _NO_CALLS


@dataclass(slots=True)
class Server:
    """One server, listed or with calls of ours still out.

    Until the first call those of a list share what they have of calls and classes (engage): most servers of
    a long list are never called by this node, and that was a third of what it kept of them.
    """

    entry: ServerEntry
    class_health: list[ClassHealth]  # changed by calls only
    listed: bool = True
    outstanding: dict[tuple[RequestId, int], float] = field(default_factory=_no_calls)  # oldest first
    last_heard_at: float = -math.inf
    failure_rate: float = 0.0
    ejected: bool = False
    on_probation: bool = False
    backoff_exponent: int = 0
    paused_until: float = -math.inf
    consecutive_refusals: int = 0  # calls, since it last served one
    max_outstanding: float = math.inf  # calls of ours that it is known to bear, once it has turned one away
    position: int = -1  # its index among the arms
    needs_check: bool = False  # anything but warm, healthy and idle: it is looked at before it is sent to
    cold: bool = False
    next_warm_up_step_at: float = -math.inf  # when a cold one is looked at again
    counted_capacity: float = 0.0  # what it counts for in the fleet's capacity, in warm servers
    restricted_until: float = -math.inf  # until then it rests, is cold or barred
    cold_start_tokens: float = 0.0  # cold budget, in calls of mean work
    cold_start_tokens_at: float = 0.0
    load_report: tuple[float, ...] = ()  # its latest report, while that is fresh
    load_reported_at: float = 0.0
    outstanding_at_report: int = 0  # calls of ours that were out then

    def weight(self, hinted: bool) -> float:
        """What it counts against the mean server; hinted: the list's capacities are to be believed."""
        return min(max(MIN_WEIGHT, self.entry.capacity_hint if hinted else 1.0), MAX_WEIGHT)

    def allocate_call_state(self) -> None:
        """To be called before each call that goes out to it."""
        if self.outstanding is _NO_CALLS:
            self.outstanding = {}
            self.class_health = [ClassHealth() for _ in self.class_health]

    def reset_after_restart(self, now: float, token: float) -> None:
        """A new process: what was held against an old one is void; it is cold again."""
        self.failure_rate, self.backoff_exponent, self.ejected, self.on_probation = 0.0, 0, False, False
        if self.outstanding is not _NO_CALLS:
            self.class_health = [ClassHealth(outstanding=health.outstanding) for health in self.class_health]
        self.cold_start_tokens, self.cold_start_tokens_at = token, now
