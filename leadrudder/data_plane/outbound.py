"""Requests of clients: validated, bounded and submitted, and their answers rendered."""

from __future__ import annotations

import asyncio
import math
import re
import socket
from collections.abc import Callable

from leadrudder.configuration.items import Limits, Route
from leadrudder.data_plane.client_connection import ClientConnection, RenderAnswer, RenderedAnswer
from leadrudder.data_plane.client_patience import ClientPatience
from leadrudder.data_plane.inbound import forwarded_headers
from leadrudder.data_plane.load_balancer import MIN_RETRY_AFTER_MS, ProxiedRequest
from leadrudder.data_plane.shutdown import ShutdownSchedule
from leadrudder.observability.loop_lag import OVERLOAD_LAG_S
from leadrudder.protocol.outcome import RequestFailure, ServerResponse
from leadrudder.transport.connection_limit import ConnectionLimit
from leadrudder.transport.http import (
    RETRY_AFTER_HEADER,
    BufferedHttpMessage,
    render_response,
    render_response_head,
)
from leadrudder.transport.input_memory import InputMemory, ReceivedBodies
from leadrudder.transport.memory_budget import MemoryBudget
from leadrudder.transport.paced_input import InputTurns

SWEEP_INTERVAL_S = 0.25
MAX_BACKLOG = 1024  # connections that wait to be accepted
CONNECTION_SHARE = 0.5  # of the memory for large bodies
OPEN_REQUEST_BYTES = 4096  # memory of a request without an answer, besides its text
_ATTEMPT_ID = re.compile(rb"[!-~]{1,200}")
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
_REPLACED_HEADERS = frozenset((b"time-left", b"target-server", b"calling-service", b"expect"))

FindRoute = Callable[[str, str], Route | None]
# Returns a function to call when the client disconnects.
SubmitRequest = Callable[[Route, ProxiedRequest], Callable[[], None]]


class OutboundProxy:
    """Accepts client connections and forwards their requests.

    find_route: the route of a host and path; submit: starts a request; has_room: whether another request may
    be open; request_memory: for the large bodies of requests, which are refused with Retry-After if there is
    no room; small_request_memory: for all other requests, likewise; input_memory: for requests that are being
    received; answer_memory: for answers that clients have not read; lag_s: delay of the event loop, above
    OVERLOAD_LAG_S of which requests are refused likewise; max_connections: how many clients may be connected.
    """

    def __init__(
        self,
        service: str,
        find_route: FindRoute,
        submit: SubmitRequest,
        limits: Callable[[], Limits],
        has_room: Callable[[], bool],
        request_memory: MemoryBudget | None = None,
        lag_s: Callable[[], float] = lambda: 0.0,
        answer_memory: MemoryBudget | None = None,
        small_request_memory: MemoryBudget | None = None,
        input_memory: InputMemory | None = None,
        max_connections: float = math.inf,
    ) -> None:
        self._lag_s = lag_s
        self.request_memory = request_memory or MemoryBudget()
        self._answer_memory = answer_memory or MemoryBudget()
        self._small_request_memory = small_request_memory or self.request_memory
        self.input_memory = input_memory or InputMemory()
        self.connection_limit = ConnectionLimit(max_connections)
        self.input_turns = InputTurns()
        self.received_bodies = ReceivedBodies(self.now)
        self._patience = ClientPatience()
        self.requests_shed = 0  # refused because of event loop lag, since process start
        self._unsent_bytes: dict[ClientConnection, int] = {}  # of answers
        self.limits = limits
        self.clients: dict[ClientConnection, None] = {}
        self.closing = False  # the last answer of each connection closes it
        # After this time only requests whose deadline is before answers_due_by are accepted.
        self.unrestricted_until = math.inf
        self.answers_due_by = math.inf  # when the last answer must have been written
        self.has_configuration = False  # until then a missing route is answered by 503, not by 404
        self.last_request_at = 0.0
        self._open_requests: dict[ProxiedRequest, None] = {}  # not yet answered, oldest first
        self._calling_service_header = b"Calling-Service: %s\r\n" % service.encode("latin-1", "replace")
        self._find_route, self._submit, self._has_room = find_route, submit, has_room
        self._loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def open_requests(self) -> int:
        """The number of requests that have no answer yet."""
        return len(self._open_requests)

    def now(self) -> float:
        return self._loop.time()

    async def listen(self, address: tuple[str, int]) -> None:
        make = lambda: ClientConnection(self)  # noqa: E731
        # Whole backlogs are accepted at once, before any connection beyond the limit is closed.
        backlog = int(min(MAX_BACKLOG, self.connection_limit.most))
        self._server = await self._loop.create_server(make, *address, backlog=backlog, family=socket.AF_INET)

    def _sweep(self) -> None:
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now, limits = self.now(), self.limits()
        for client in list(self.clients):
            client.check_timeouts(now, limits)

    def connection_share(self, max_body_bytes: int) -> MemoryBudget:
        """What one connection may hold of the memory for large bodies: any single one that is allowed."""
        share = max(CONNECTION_SHARE * self.request_memory.limit_bytes, max_body_bytes)
        return MemoryBudget(share, self.request_memory)

    def client_connected(self, client: ClientConnection) -> None:
        self.clients[client] = None
        self.connection_limit.opened(client)

    def client_closed(self, client: ClientConnection) -> None:
        self.clients.pop(client, None)
        self.connection_limit.closed(client)

    def hold_unsent(self, client: ClientConnection, size: int) -> None:
        """Set the bytes of answers that wait for a client to read them."""
        before = self._unsent_bytes.pop(client, 0)
        if size:
            self._unsent_bytes[client] = size
        if size > before:
            self._answer_memory.take(size - before)
        elif size < before:
            self._answer_memory.give_back(before - size)

    def busy(self) -> bool:
        return self.open_requests > 0 or any(client.busy() for client in self.clients)

    def begin_shutdown(self, schedule: ShutdownSchedule) -> None:
        """Close each connection with its next answer, and refuse requests that could not end in time.

        Idle connections stay open: a request may be on its way on any of them.
        """
        self.closing = True
        self.unrestricted_until, self.answers_due_by = schedule.unrestricted_until, schedule.answers_due_by

    def refuse_waiting(self) -> None:
        """Answer the open requests of which no attempt is in flight."""
        for client_request in list(self._open_requests):
            client_request.refuse_if_waiting()

    def stop_accepting(self) -> None:
        """Accept no further connection, and refuse every request on the open ones."""
        if self._server is not None:
            self._server.close()
        self.unrestricted_until = self.answers_due_by = -math.inf

    def close(self) -> None:
        """Close all connections at once."""
        self.stop_accepting()
        for client in list(self.clients):
            client.force_close()

    # ------------------------------------------------------------ requests

    def handle_request(
        self, message: BufferedHttpMessage, write: Callable[[RenderAnswer], None]
    ) -> Callable[[], None] | None:
        """Handle a complete request; write is called once, with a function that renders the answer.

        Returns a function to call if the client disconnects first; None if the answer was already written.
        """
        self.last_request_at = self.now()
        headers = message.headers
        path, _, _ = message.target.partition(b"?")
        host = headers.get(b"host", b"")
        attempt_id = headers.get(b"attempt-id", b"")
        if not host or b"host" in message.repeated_headers or not message.target.startswith(b"/"):
            return self._answer_status(write, 400)
        if not _ATTEMPT_ID.fullmatch(attempt_id) or b"attempt-id" in message.repeated_headers:
            return self._answer_status(write, 400)
        route = self._find_route(host.decode("latin-1"), path.decode("latin-1"))
        if route is None:
            return (
                self._answer_status(write, 404)
                if self.has_configuration
                else self._answer_status(write, 503, RETRY_AFTER_HEADER)
            )
        time_left = headers.get(b"time-left")
        if time_left is not None and (
            not _DECIMAL.fullmatch(time_left) or b"time-left" in message.repeated_headers
        ):
            return self._answer_status(write, 400)
        lag_s = self._lag_s()
        left_ms = min(route.timeout_ms, float(time_left) if time_left is not None else route.timeout_ms)
        waited_ms = self._patience.estimate_waited_ms(route.name, left_ms, self.now())
        left_ms -= 1000.0 * lag_s
        if lag_s > OVERLOAD_LAG_S or (lag_s > 0.0 and left_ms <= 0.0):
            self.requests_shed += 1
            return self._answer_status(write, 503, RETRY_AFTER_HEADER)
        if self.now() > self.unrestricted_until and self.now() + left_ms / 1000.0 > self.answers_due_by:
            return self._answer_status(write, 503, RETRY_AFTER_HEADER)
        large_body = message.large_body
        if not self._has_room() or (large_body is None and self._small_request_memory.is_full()):
            return self._answer_status(write, 503, RETRY_AFTER_HEADER)
        fields = forwarded_headers(message, _REPLACED_HEADERS) + self._calling_service_header
        small_bytes = OPEN_REQUEST_BYTES + len(message.target) + len(fields) + len(message.body)
        self._small_request_memory.take(small_bytes)

        def answered(result: ServerResponse | RequestFailure) -> None:
            self._open_requests.pop(client_request, None)
            self._small_request_memory.give_back(small_bytes)
            if large_body is not None:
                large_body.release()
            write(lambda close: _render_result(result, attempt_id, close))

        client_request = ProxiedRequest(
            method=message.method,
            target=message.target,
            fields=fields,
            body=message.body,
            large_body=large_body,
            attempt_id=attempt_id,
            deadline=self.now() + left_ms / 1000.0,
            on_answer=answered,
            waited_ms=waited_ms,
        )
        self._open_requests[client_request] = None
        return self._submit(route, client_request)

    @staticmethod
    def _answer_status(write: Callable[[RenderAnswer], None], status: int, fields: bytes = b"") -> None:
        write(lambda close: RenderedAnswer(render_response(status, fields, b"", close=close)))


def _render_result(result: ServerResponse | RequestFailure, attempt_id: bytes, close: bool) -> RenderedAnswer:
    if isinstance(result, ServerResponse):
        head = render_response_head(result.status, result.fields, result.body_bytes, close=close)
        return RenderedAnswer(head + result.body, result.large_body)
    status, fields = result.status(), b"Attempt-Id: %s\r\n" % attempt_id
    if status == 503:
        fields += b"Retry-After: %.3f\r\n" % (max(MIN_RETRY_AFTER_MS, result.retry_ms) / 1000.0)
    return RenderedAnswer(render_response(status, fields, b"", close=close))
