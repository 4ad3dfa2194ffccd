"""The outcome of a request that was not served: whether it may have run, and why.

Carried over links and through every layer; the response to the client follows from it alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from returns.result import Result

from leadrudder.transport.large_body import LargeBody


class Executed(IntEnum):
    """Whether a server has run a request, as far as is certain."""

    NEVER = 0  # it has not run and never will
    MAYBE = 1
    YES = 2


@dataclass(frozen=True, slots=True)
class RequestFailure:
    """Why there is no response of a server.  retry_ms: when to retry, 0 if unknown."""

    ran: Executed
    why: str
    retry_ms: float = 0.0

    def status(self) -> int:
        """The HTTP status for the client: 503 guarantees that it never ran, 504 and 502 do not."""
        if self.ran is Executed.NEVER:
            return 503
        return 504 if self.why == "time" else 502


@dataclass(frozen=True, slots=True)
class ServerResponse:
    """A server's complete response; fields are header lines as sent to the client.

    large_body: the body if it is too large to be copied; body is empty then.
    """

    status: int
    fields: bytes
    body: bytes
    large_body: LargeBody | None = None

    @property
    def body_bytes(self) -> int:
        return len(self.body) if self.large_body is None else self.large_body.size


Outcome = Result[ServerResponse, RequestFailure]


def combined_failure(failures: list[RequestFailure], why: str) -> RequestFailure:
    """The combined failure of all attempts of a request: it never ran only if no attempt may have run."""
    ran = max((f.ran for f in failures), default=Executed.NEVER)
    retry = min((f.retry_ms for f in failures if f.retry_ms), default=0.0)
    return RequestFailure(ran, why, retry)
