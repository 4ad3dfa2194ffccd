"""Whether the caller of an API request still waits for its response.

A request may be read long after it was sent: its process stood still, or the network held it back.  Its
caller has given up then, and may have made later requests elsewhere.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

CALLER_TIMEOUT_S = 0.9  # callers give up a second after they sent a request without an answer


def _always() -> bool:
    return True


@dataclass(frozen=True, slots=True)
class Caller:
    """The caller of one request.  sent_after: a time before the request was sent, in seconds of monotonic().

    is_connected: whether the connection to the caller is open.
    """

    sent_after: float = field(default_factory=time.monotonic)
    is_connected: Callable[[], bool] = _always
    monotonic: Callable[[], float] = time.monotonic

    def max_age_s(self) -> float:
        """The longest that the request can have been on its way, or in progress, until now."""
        return self.monotonic() - self.sent_after

    def still_waits(self) -> bool:
        """Whether the caller cannot have given up."""
        return self.is_connected() and self.max_age_s() <= CALLER_TIMEOUT_S
