"""The protocol-independent contract between a node's core, its frontends and its upstream.

A frontend reads a request, describes it (ClientRequest) and passes the core a slot for its single response
(Exchange). The core follows the balancer's decisions and passes each attempt to the node's upstream, which
reports once how it ended (AttemptCallback): an Outcome, which tells whether the request was written and may
have run, and the response if the request was served. Only the core keeps a table of requests, responds to
clients and retries.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from leadrudder.interface import Outcome, ServerId
from leadrudder.node.lists import EndpointUpdate
from leadrudder.node.reports import LoadReport


class DuplicateRequestId(Exception):  # noqa: N818 - named for what is wrong with the request
    """The id belongs to an open request or an in-flight attempt; servers could not tell the two apart."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP client's request, as it is forwarded."""

    method: bytes
    target: bytes
    key: bytes | None = None  # the Idempotency-Key header
    content_type: bytes | None = None
    body: bytes = b""

    @property
    def size(self) -> int:
        """Bytes that it occupies while it is open."""
        return len(self.body)


@dataclass(frozen=True, slots=True)
class RpcCall:
    """A MessagePack-RPC call, as it is forwarded, with the parameters in their original encoding."""

    method: str
    params: bytes  # one MessagePack array
    notification: bool = False
    key: str | None = None  # the client's idempotency key, for servers that expect it elsewhere

    @property
    def size(self) -> int:
        return len(self.params)


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A validated request, in the terms of the settings."""

    id: bytes  # the client's, forwarded unchanged
    class_index: int
    tenant: int
    key: int  # hash of the item it addresses; 0 for none
    budget_ms: float  # how long the client will wait
    cost_hint_ms: float | None
    is_repeat: bool
    call: HttpRequest | RpcCall


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A server's response to a request that it served."""

    body: bytes
    content_type: bytes | None = None
    packed: bool = False  # the body is one MessagePack value from an RPC server


class Exchange(Protocol):
    """The slot for a request's single response.  Later ones, and any after a disconnect, are discarded."""

    on_disconnect: Callable[[], None] | None  # called once if the client leaves before its response

    def complete(self, response: UpstreamResponse) -> None:
        """Respond with a server's response, unchanged."""

    def refuse(self, retry_after_ms: float) -> None:
        """Respond that the request never ran and may be retried; 0: without a retry time."""

    def fail(self) -> None:
        """Respond that the request was not served and may have run."""

    def fail_internally(self) -> None:
        """Respond that the node itself failed to handle the request."""


class Frontend(Protocol):
    """A client-facing protocol in addition to the HTTP listener."""

    last_activity: float  # when a connection or a call last arrived, on the loop's clock

    def drain(self) -> None:
        """Prepare for shutdown: accept nothing new and close idle connections."""

    def busy(self) -> bool:
        """Whether a client is still owed a response."""

    def close(self) -> None:
        """Close every connection."""


class Attempt(Protocol):
    """An attempt or a probe in flight."""

    def cancel(self, outcome: Outcome) -> None:
        """Stop waiting: end it now with this outcome, unless it has already ended."""


class AttemptCallback(Protocol):
    """Called once when an attempt or a probe ends.  report: the load that the server reported with it."""

    def __call__(
        self, outcome: Outcome, response: UpstreamResponse | None, report: LoadReport = (), /
    ) -> None: ...


class Upstream(Protocol):
    """The connections to all servers.  An upstream never resends anything by itself."""

    def update(self, update: EndpointUpdate) -> list[ServerId]:
        """Apply an endpoint update; returns the servers whose address now belongs to another server."""

    def has_endpoints(self) -> bool: ...

    def open_connection_count(self) -> int:
        """How many connections to servers are open."""

    def attempt(
        self, server: ServerId, client_request: ClientRequest, timeout_s: float, done: AttemptCallback
    ) -> Attempt:
        """Start one attempt; done is called once with its outcome, never before this returns.

        CONNECT_FAILED, MOOT and FULL: the server never ran it.  OK comes with a response.  All others: it was
        written, at least in part, and may have run.
        """

    def probe(self, server: ServerId, timeout_s: float, done: AttemptCallback) -> Attempt: ...

    def close_idle(self, server: ServerId) -> None:
        """Close a server's connections that carry no request."""

    def close(self) -> None:
        """Close every connection."""
