"""The retry budget of a service, kept by each node without a shared counter.

The limit applies to the attempts that reach a service beyond the first of each request, over all nodes: a
ratio of its requests plus a constant extra. Each node uses a fraction of the ratio for the requests it sends,
and its own share of the extra. The rest is left for calls that servers repeat when their own request is
retried.
"""

from __future__ import annotations

from dataclasses import dataclass, field

RATIO_FRACTION = 0.5
EXTRA_FRACTION = 0.45


@dataclass(slots=True)
class RetryBudget:
    """Token bucket of one node for one service; a token allows one retry."""

    ratio: float
    extra: float
    node_count: int
    tokens: float = field(init=False)

    def __post_init__(self) -> None:
        self.tokens = self.max_tokens

    @property
    def max_tokens(self) -> float:
        return max(1.0, EXTRA_FRACTION * self.extra / max(1, self.node_count))

    def deposit(self) -> None:
        """Credit a new request for the service."""
        self.tokens = min(self.max_tokens, self.tokens + RATIO_FRACTION * self.ratio)

    def try_spend(self) -> bool:
        """Take a token for a retry; False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
