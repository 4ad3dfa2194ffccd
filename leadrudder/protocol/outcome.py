"""The verdict on a request that was not served: whether it may have run, and why.

Carried over links and through every layer; what a client may be told follows from it alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from returns.result import Result


class Ran(IntEnum):
    """Whether a server has run a request, as far as is known for certain."""

    NEVER = 0  # it did not and it never will
    MAYBE = 1
    YES = 2


@dataclass(frozen=True, slots=True)
class Verdict:
    """Why there is no answer of a server's.  retry_ms: when to come back, 0 where nothing is known."""

    ran: Ran
    why: str
    retry_ms: float = 0.0

    def status(self) -> int:
        """What the client is told: 503 promises that it never ran, 504 and 502 promise nothing."""
        if self.ran is Ran.NEVER:
            return 503
        return 504 if self.why == "time" else 502


@dataclass(frozen=True, slots=True)
class Reply:
    """A server's whole answer; fields are header lines as they go to the client."""

    status: int
    fields: bytes
    body: bytes


Outcome = Result[Reply, Verdict]


def worst(verdicts: list[Verdict], why: str) -> Verdict:
    """What all attempts of a request say together: it never ran only where none of them may have."""
    ran = max((v.ran for v in verdicts), default=Ran.NEVER)
    retry = min((v.retry_ms for v in verdicts if v.retry_ms), default=0.0)
    return Verdict(ran, why, retry)
