"""The budget of further tries, without a common counter.

The rule counts what a service gets beyond the first arrival of each request, over all nodes: a ratio of the
requests for it and an extra. Each node spends a part of the ratio of what it carried itself and its own
part of the extra; the rest is left to calls that servers make again when their own request is run again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

RATIO_PART = 0.5
EXTRA_PART = 0.45


@dataclass(slots=True)
class RetryBudget:
    """One node's, for one service.  Tokens are tries."""

    ratio: float
    extra: float
    nodes: int
    tokens: float = field(init=False)

    def __post_init__(self) -> None:
        self.tokens = self.max_tokens

    @property
    def max_tokens(self) -> float:
        return max(1.0, EXTRA_PART * self.extra / max(1, self.nodes))

    def deposit(self) -> None:
        """A request for the service begins here."""
        self.tokens = min(self.max_tokens, self.tokens + RATIO_PART * self.ratio)

    def try_spend(self) -> bool:
        """Whether one more arrival of a request that has arrived before may be had."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
