"""When a node that died is started again: pauses that grow, and fall back once it has lived for a while."""

from __future__ import annotations

from dataclasses import dataclass

INITIAL_DELAY_S = 0.1
DELAY_MULTIPLIER = 2.0
MAX_DELAY_S = 5.0
RESET_AFTER_S = 10.0  # a node that lived so long did not die of its start


@dataclass
class RestartBackoff:
    """Of one node."""

    delay_s: float = INITIAL_DELAY_S

    def next_delay_s(self, lived_s: float) -> float:
        """Seconds to wait before the next start, given how long the last one lived."""
        if lived_s >= RESET_AFTER_S:
            self.delay_s = INITIAL_DELAY_S
        pause = self.delay_s
        self.delay_s = min(MAX_DELAY_S, DELAY_MULTIPLIER * pause)
        return pause
