"""What the core of a node, its fronts and its upstreams owe each other, whatever protocol they speak.

A front reads a caller's request, says what it is (Ask), and gives the core a place for its one answer
(Exchange). The core decides by the decision module alone, and hands each attempt to the node's upstream,
which says once how it ended (Done): an Outcome, which tells whether the request was written and whether it
may have run, and for one that was served what the server answered. Nobody else keeps a table of requests,
answers a caller, or repeats anything.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from leadrudder.interface import Outcome, ServerId
from leadrudder.node.lists import EndpointUpdate
from leadrudder.node.reports import LoadReport


class DuplicateRequestId(Exception):  # noqa: N818 - it names what is wrong with a request
    """A request with this id is open, or an attempt of it is out: servers could not tell the two apart."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request of an HTTP caller's, as it is passed on."""

    method: bytes
    target: bytes
    key: bytes | None = None  # its Idempotency-Key
    content_type: bytes | None = None
    body: bytes = b""

    @property
    def size(self) -> int:
        """Bytes that are held while it is open."""
        return len(self.body)


@dataclass(frozen=True, slots=True)
class RpcCall:
    """A MessagePack-RPC call, as it is passed on: the parameters in the bytes in which they came."""

    method: str
    params: bytes  # one MessagePack array
    notification: bool = False
    key: str | None = None  # what its caller told as the key, for servers that take it elsewhere

    @property
    def size(self) -> int:
        return len(self.params)


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A valid request in the terms of the settings."""

    id: bytes  # the caller's, passed on unchanged
    class_index: int
    tenant: int
    key: int  # what it is about, 0 for nothing
    budget_ms: float  # what its caller will wait
    cost_hint_ms: float | None
    is_repeat: bool
    call: HttpRequest | RpcCall


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """What a server answered to a request that it served."""

    body: bytes
    content_type: bytes | None = None
    packed: bool = False  # the body is one MessagePack value, as an RPC server gave it


class Exchange(Protocol):
    """The place of a request's one answer.  A second one, and one to a caller that has left, goes nowhere."""

    on_disconnect: Callable[[], None] | None  # called once if the caller leaves before its answer

    def complete(self, answer: UpstreamResponse) -> None:
        """A server's answer, unchanged."""

    def refuse(self, retry_after_ms: float) -> None:
        """Not served, and trying again is harmless; 0: no time is told."""

    def fail(self) -> None:
        """Not served, and nothing is promised."""

    def fail_internally(self) -> None:
        """The node itself could not deal with it."""


class Frontend(Protocol):
    """A side towards callers beside the HTTP one."""

    last_activity: float  # when a connection or a call last came, on the loop's clock

    def drain(self) -> None:
        """The node is ending: take nothing new, and close what is idle."""

    def busy(self) -> bool:
        """Whether a caller is still owed something."""

    def close(self) -> None:
        """Leave nothing open."""


class Attempt(Protocol):
    """An attempt, or a probe, that is out."""

    def cancel(self, outcome: Outcome) -> None:
        """Stop waiting: it ends now, with this outcome, unless it has ended."""


class AttemptCallback(Protocol):
    """Called once with how an attempt or a probe ended; report: what the server told of its load with it."""

    def __call__(
        self, outcome: Outcome, answer: UpstreamResponse | None, report: LoadReport = (), /
    ) -> None: ...


class Upstream(Protocol):
    """The connections to all servers.  Nothing is ever sent twice by one."""

    def update(self, listing: EndpointUpdate) -> list[ServerId]:
        """Follow a list; returns the servers whose address is another's now."""

    def has_endpoints(self) -> bool: ...

    def open_connection_count(self) -> int:
        """How many connections to servers are open."""

    def attempt(
        self, server: ServerId, ask: ClientRequest, timeout_s: float, done: AttemptCallback
    ) -> Attempt:
        """Start one attempt; its outcome comes by done, once, at the earliest after this returns.

        CONNECT_FAILED, MOOT and FULL: the server never ran it.  OK comes with an answer.  All others: it was
        written, at least in part, and may have run.
        """

    def probe(self, server: ServerId, timeout_s: float, done: AttemptCallback) -> Attempt: ...

    def close_idle(self, server: ServerId) -> None:
        """Close connections to a server on which nothing is out."""

    def close(self) -> None:
        """Leave nothing open."""
