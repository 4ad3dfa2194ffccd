"""Exponential backoff between restarts of a node, reset once the node has run for a while."""

from __future__ import annotations

from dataclasses import dataclass

INITIAL_DELAY_S = 0.1
DELAY_MULTIPLIER = 2.0
MAX_DELAY_S = 5.0
RESET_AFTER_S = 10.0  # a node that ran this long did not fail at startup


@dataclass
class RestartBackoff:
    """The restart backoff of one node."""

    delay_s: float = INITIAL_DELAY_S

    def next_delay_s(self, ran_s: float) -> float:
        """Seconds to wait before the next start, given how long the node last ran."""
        if ran_s >= RESET_AFTER_S:
            self.delay_s = INITIAL_DELAY_S
        delay_s = self.delay_s
        self.delay_s = min(MAX_DELAY_S, DELAY_MULTIPLIER * delay_s)
        return delay_s
