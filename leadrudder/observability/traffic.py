"""Counts of what a data-plane process sends, what is refused, and what its clients are answered.

They tell a service without slots from one whose calls are lost on the way: refusals for each answer rise, and
slots of servers elsewhere stand idle.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from leadrudder.observability.metrics import Metrics


class AnswerClass(StrEnum):
    """What a client was answered."""

    IN_TARGET = "in_target"  # a success inside the route's target
    LATE = "late"  # a success after it
    REFUSED = "refused"  # never ran
    FAILED = "failed"  # ran without success, or may have


@dataclass(slots=True)
class TrafficCounters:
    """Since the start of the process.  refused: calls that came back without a server's answer, by reason."""

    calls: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    answered: Counter[str] = field(default_factory=Counter)

    def register_metrics(self, metrics: Metrics) -> None:
        metrics.add("calls_total", lambda: self.calls)
        metrics.add_labelled("calls_refused_total", "why", lambda: self.refused)
        metrics.add_labelled("requests_answered_total", "how", lambda: self.answered)
