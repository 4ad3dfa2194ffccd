"""When a node that died is started again: pauses that grow, and fall back once it has lived for a while."""

from __future__ import annotations

from dataclasses import dataclass

FIRST_S = 0.1
TIMES = 2.0
LONGEST_S = 5.0
PROVEN_S = 10.0  # a node that lived so long did not die of its start


@dataclass
class Pauses:
    """Of one node."""

    next_s: float = FIRST_S

    def after(self, lived_s: float) -> float:
        """Seconds to wait before the next start, given how long the last one lived."""
        if lived_s >= PROVEN_S:
            self.next_s = FIRST_S
        pause = self.next_s
        self.next_s = min(LONGEST_S, TIMES * pause)
        return pause
