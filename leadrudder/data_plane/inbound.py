"""Calls to the local server: admitted, sent to the server, and answered to the node they came from."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from leadrudder.data_plane.admission_control import LASTING_ORIGIN, AdmissionController
from leadrudder.data_plane.admission_queue import CallOrigin
from leadrudder.data_plane.server_connections import (
    NOT_RUN_HEADER,
    SERVER_SEAL_HEADER,
    LocalServer,
    ServerRequest,
)
from leadrudder.interface import Outcome
from leadrudder.node.servers import UpstreamCall
from leadrudder.protocol.mesh_pb2 import ForwardRequest, ForwardResponse
from leadrudder.protocol.outcome import Executed, RequestFailure
from leadrudder.transport.body_stream import BodyReceiver
from leadrudder.transport.http import BufferedHttpMessage
from leadrudder.transport.large_body import LargeBody

SERVER_TIMEOUT_GRACE_S = 0.1  # a server reports that its time is over; wait for that answer
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


class Deliver(Protocol):
    """Takes the response to a call, which comes once.

    large_body: the response's body if it is too large to be copied; the taker releases it.
    """

    def __call__(self, response: ForwardResponse, large_body: LargeBody | None = None, /) -> None: ...


# Gives up a call; the argument: whether the client has disconnected.  NEVER: it had not started.
Withdraw = Callable[[bool], Executed]


def no_withdrawal(client_left: bool) -> Executed:
    """Does nothing: the call has been answered already."""
    return Executed.MAYBE


def forwarded_headers(message: BufferedHttpMessage, excluded: frozenset[bytes] = frozenset()) -> bytes:
    """Header lines to forward: without hop-by-hop headers and those in excluded."""
    connection_headers = message.headers.get(b"connection", b"").lower()
    dropped = {part.strip() for part in connection_headers.split(b",")} | HOP_BY_HOP | excluded
    return b"".join(b"%s: %s\r\n" % (n, v) for n, v in message.fields if n.lower() not in dropped)


class InboundProxy:
    """Sends admitted calls to the local server; each forwarded request gets exactly one response."""

    def __init__(
        self,
        admission: AdmissionController,
        local_server: LocalServer,
        log: Callable[[str], None],
        is_drained: Callable[[ForwardRequest], bool] = lambda forward_request: False,
        on_unsafe_run: Callable[[int], None] | None = None,
    ) -> None:
        """is_drained: whether this machine is now excluded from the traffic of a forwarded request.

        on_unsafe_run: called with the ledger epoch when an unsafe request has run.
        """
        self.admission, self._local_server, self._log, self._is_drained, self._on_unsafe_run = (
            admission,
            local_server,
            log,
            is_drained,
            on_unsafe_run,
        )
        self._loop = asyncio.get_running_loop()
        self._queue_timer: asyncio.TimerHandle | None = None

    def handle(
        self,
        forward_request: ForwardRequest,
        deliver: Deliver,
        origin: CallOrigin = LASTING_ORIGIN,
        upload: BodyReceiver | None = None,
    ) -> Withdraw:
        """Admit a call; returns a function that withdraws it.  upload: its body if that is a large one.

        A queued call is dropped. A running call is cancelled only if its body has not arrived yet, or if the
        client has disconnected and the request is safe to repeat; an unsafe one runs to its end.
        """
        call: UpstreamCall | None = None

        def refuse(verdict: RequestFailure) -> None:
            deliver(
                ForwardResponse(
                    number=forward_request.number,
                    ran=int(verdict.ran),
                    why=verdict.why,
                    retry_ms=verdict.retry_ms,
                )
            )

        def start() -> None:
            nonlocal call
            call = self._run(forward_request, deliver, upload)

        def withdraw(client_left: bool) -> Executed:
            if call is None:
                if queued is not None:
                    self.admission.withdraw(queued)
                return Executed.NEVER
            is_incomplete = upload is not None and not upload.complete
            if is_incomplete or (client_left and not forward_request.once):
                call.cancel(Outcome.CANCELLED)
            return Executed.MAYBE

        if self._is_drained(forward_request):
            refuse(RequestFailure(Executed.NEVER, "lent"))
            return no_withdrawal
        queued = self.admission.admit(forward_request, self._loop.time(), start, refuse, origin)
        if queued is not None:
            self._process_queue()
        return withdraw

    def _run(
        self, forward_request: ForwardRequest, deliver: Deliver, upload: BodyReceiver | None
    ) -> UpstreamCall:
        started_at = self._loop.time()
        content_length = b""
        body_bytes = len(forward_request.body) if upload is None else upload.size
        if body_bytes or forward_request.method not in (b"GET", b"HEAD", b"DELETE"):
            content_length = b"Content-Length: %d\r\n" % body_bytes
        head = b"%s %s HTTP/1.1\r\n%s%sTarget-Server: %s\r\n" % (
            forward_request.method,
            forward_request.target,
            forward_request.fields,
            content_length,
            forward_request.server.encode("latin-1"),
        )

        def ended(outcome: Outcome, message: BufferedHttpMessage | None) -> None:
            now = self._loop.time()
            response = self._make_response(forward_request, outcome, message)
            if outcome is Outcome.CONNECT_FAILED:
                self.admission.on_connect_failure(forward_request.server, now)
            if response.ran == Executed.NEVER:
                self.admission.on_call_not_run(forward_request)
            large_body = message.large_body if message is not None else None
            if large_body is None:
                deliver(response)
            elif response.status:
                deliver(response, large_body)
            else:
                large_body.release()
                deliver(response)
            elapsed_ms = None if outcome is Outcome.CANCELLED else 1000.0 * (now - started_at)
            self.admission.on_call_ended(elapsed_ms, now, forward_request.target_ms)
            self._process_queue()

        request = ServerRequest(forward_request.attempt_id, head, forward_request.body, upload)
        return self._local_server.run(
            forward_request.server, request, forward_request.left_ms / 1000.0 + SERVER_TIMEOUT_GRACE_S, ended
        )

    def _make_response(
        self, forward_request: ForwardRequest, outcome: Outcome, message: BufferedHttpMessage | None
    ) -> ForwardResponse:
        response = ForwardResponse(number=forward_request.number)
        if message is None:
            if outcome in (Outcome.CONNECT_FAILED, Outcome.MOOT):
                response.ran, response.why = Executed.NEVER, "down"
            else:
                response.ran = Executed.MAYBE
                response.why = "time" if outcome is Outcome.TIMEOUT else outcome.value
            return response
        status = message.status
        if NOT_RUN_HEADER in message.headers or status == 421:
            response.ran, response.why = Executed.NEVER, "turned away"
            return response
        if 200 <= status < 300 and (
            SERVER_SEAL_HEADER not in message.headers or b"content-encoding" in message.headers
        ):
            response.ran, response.why = Executed.MAYBE, "spoilt"
            return response
        if self._on_unsafe_run is not None and forward_request.once:
            self._on_unsafe_run(forward_request.epoch)
        response.ran, response.status = Executed.YES, status
        response.fields, response.body = forwarded_headers(message), message.body
        return response

    def _process_queue(self) -> None:
        """Process the admission queue and schedule the next time."""
        next_check_at = self.admission.process_queue(self._loop.time())
        if self._queue_timer is not None:
            self._queue_timer.cancel()
            self._queue_timer = None
        if next_check_at is not None:
            self._queue_timer = self._loop.call_later(
                max(0.001, next_check_at - self._loop.time()), self._process_queue
            )

    def process_queue(self) -> None:
        """Process the admission queue after a change of the server or of the configuration."""
        self._process_queue()
