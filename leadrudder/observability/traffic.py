"""Counters of the calls that a data-plane node sends, of refusals, and of the answers to its clients.

They distinguish a service without free slots from one whose calls are lost on the way: in the latter case
refusals per answer rise while slots of servers elsewhere are idle.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from leadrudder.observability.metrics import Metrics


class AnswerClass(StrEnum):
    """How a client request was answered."""

    IN_TARGET = "in_target"  # success within the route's target time
    LATE = "late"  # success after it
    REFUSED = "refused"  # never ran
    FAILED = "failed"  # ran without success, or may have run


@dataclass(slots=True)
class TrafficCounters:
    """Counters since the start of the process.  refused: calls without a response of a server, by reason."""

    calls: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    answered: Counter[str] = field(default_factory=Counter)

    def register_metrics(self, metrics: Metrics) -> None:
        metrics.add("calls_total", lambda: self.calls)
        metrics.add_labelled("calls_refused_total", "why", lambda: self.refused)
        metrics.add_labelled("requests_answered_total", "how", lambda: self.answered)
