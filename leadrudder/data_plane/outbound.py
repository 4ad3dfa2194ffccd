"""Client connections: each request gets exactly one answer, in the order of the requests on a connection."""

from __future__ import annotations

import asyncio
import math
import re
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from leadrudder.configuration.items import Limits, Route
from leadrudder.data_plane.client_patience import ClientPatience
from leadrudder.data_plane.inbound import forwarded_headers
from leadrudder.data_plane.load_balancer import MIN_RETRY_AFTER_MS, ProxiedRequest
from leadrudder.data_plane.shutdown import ShutdownSchedule
from leadrudder.node.http import HttpMessage, HttpMessageError
from leadrudder.observability.loop_lag import OVERLOAD_LAG_S
from leadrudder.protocol.outcome import RequestFailure, ServerResponse
from leadrudder.transport.body_stream import PART_BYTES
from leadrudder.transport.http import (
    RETRY_AFTER_HEADER,
    BufferedHttpMessage,
    HttpReader,
    render_response,
    render_response_head,
)
from leadrudder.transport.large_body import LargeBody
from leadrudder.transport.memory_budget import MemoryBudget

MAX_PIPELINED_REQUESTS = 64  # open on one connection; beyond that it is not read
UNREAD_ANSWER_TIMEOUT_S = 10.0  # after which a client that does not read its answer is disconnected
SWEEP_INTERVAL_S = 0.25
CLOSE_LINGER_S = 0.5  # wait for the client to close after the last answer
_ATTEMPT_ID = re.compile(rb"[!-~]{1,200}")
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
_REPLACED_HEADERS = frozenset((b"time-left", b"target-server", b"calling-service", b"expect"))

FindRoute = Callable[[str, str], Route | None]
# Returns a function to call when the client disconnects.
SubmitRequest = Callable[[Route, ProxiedRequest], Callable[[], None]]


@dataclass(frozen=True, slots=True)
class RenderedAnswer:
    """An answer as it is sent: its head, its body if that is small, and then its large body."""

    data: bytes
    large_body: LargeBody | None = None


# Renders an answer; the argument: whether it closes its connection.
RenderAnswer = Callable[[bool], RenderedAnswer]


@dataclass(slots=True)
class AnswerSlot:
    """One pending answer of a connection; answers are written in the order of their requests."""

    rendered_answer: RenderedAnswer | None = None
    close: bool = False
    on_client_left: Callable[[], None] | None = None  # called if the client disconnects before its answer


@dataclass(slots=True)
class LargeAnswer:
    """The large body of an answer that is being written.  close: the answer closes its connection."""

    body: LargeBody
    close: bool
    offset: int = 0
    written_at: float = math.inf


class ClientConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, outbound: OutboundProxy) -> None:
        self._outbound = outbound
        limits = outbound.limits()
        self._reader = HttpReader(
            self._on_request,
            requests=True,
            max_head_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            budget=outbound.request_memory,
        )
        self._transport: asyncio.Transport | None = None
        self._slots: deque[AnswerSlot] = deque()
        self._last_activity_at = 0.0  # connection opened, request started or answer written
        self._input_ended = False  # no further input is read
        self._reading_paused = False
        self._writing_paused = False
        self._large_answer: LargeAnswer | None = None  # being written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_activity_at = self._outbound.now()
        self._outbound.clients[self] = None

    def data_received(self, data: bytes) -> None:
        if self._input_ended:
            return
        if not self._reader.partial:
            self._last_activity_at = self._outbound.now()
        try:
            self._reader.feed(data)
        except HttpMessageError as error:
            self._reject(error.status, str(error), RETRY_AFTER_HEADER if error.status == 503 else b"")
        held_bytes = 0 if self._input_ended else self._reader.held_bytes
        if not self._outbound.hold_input(self, held_bytes):
            self._reject(503, "no memory for the body now", RETRY_AFTER_HEADER)

    def _reject(self, status: int, text: str, fields: bytes = b"") -> None:
        """Answer invalid or excess input once and read nothing more."""
        self._outbound.hold_input(self, 0)
        self._reader.abandon()
        data = render_response(status, fields, text.encode() + b"\n", close=True)
        slot = AnswerSlot(RenderedAnswer(data), close=True)
        self._input_ended = True
        self._slots.append(slot)
        self._write_ready_answers()

    def eof_received(self) -> bool:
        """The client has closed its connection: its open requests are abandoned."""
        is_waiting = bool(self._slots) or self._large_answer is not None
        self._input_ended = True
        self._notify_client_left()
        return is_waiting  # keep the transport open for the answers that are still due

    def _notify_client_left(self) -> None:
        for slot in list(self._slots):
            if slot.rendered_answer is None and slot.on_client_left is not None:
                slot.on_client_left()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._outbound.hold_input(self, 0)
        self._outbound.hold_unsent(self, 0)
        self._reader.abandon()
        self._outbound.clients.pop(self, None)
        self._notify_client_left()
        if self._large_answer is not None:
            self._large_answer.body.release()
            self._large_answer = None
        for slot in self._slots:
            if slot.rendered_answer is not None and slot.rendered_answer.large_body is not None:
                slot.rendered_answer.large_body.release()

    def _on_request(self, message: HttpMessage) -> None:
        if self._input_ended:
            return
        slot = AnswerSlot(close=not message.keep_alive)
        if slot.close:
            self._input_ended = True
            self._reader.stop()
        self._slots.append(slot)
        if len(self._slots) >= MAX_PIPELINED_REQUESTS:
            self._pause_reading()
        self._outbound.hold_input(self, 0)  # from here on its body is counted by handle_request
        slot.on_client_left = self._outbound.handle_request(
            cast(BufferedHttpMessage, message), lambda render_answer: self._set_answer(slot, render_answer)
        )

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._reading_paused:
            self._transport.pause_reading()
            self._reading_paused = True

    def _set_answer(self, slot: AnswerSlot, render_answer: RenderAnswer) -> None:
        if self._outbound.closing and self._slots and self._slots[-1] is slot:
            slot.close = True
        if slot.close:
            self._input_ended = True
        slot.rendered_answer = render_answer(slot.close)
        if self._transport is None and slot.rendered_answer.large_body is not None:
            slot.rendered_answer.large_body.release()
        self._write_ready_answers()

    def _write_ready_answers(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        while self._large_answer is None and self._slots and self._slots[0].rendered_answer is not None:
            slot = self._slots.popleft()
            assert slot.rendered_answer is not None
            transport.write(slot.rendered_answer.data)
            self._last_activity_at = self._outbound.now()
            if slot.rendered_answer.large_body is not None:
                self._large_answer = LargeAnswer(slot.rendered_answer.large_body, slot.close)
                self._write_large_answer(self._large_answer, transport)
            elif slot.close:
                self._end_output(transport)
            if slot.close:
                return
        self._outbound.hold_unsent(self, transport.get_write_buffer_size())
        may_read = not self._writing_paused and len(self._slots) < MAX_PIPELINED_REQUESTS // 2
        if self._reading_paused and may_read:
            transport.resume_reading()
            self._reading_paused = False

    def _write_large_answer(self, answer: LargeAnswer, transport: asyncio.Transport) -> None:
        """Write as much of a large body as the client reads now."""
        while answer.offset < answer.body.size and not self._writing_paused:
            part = answer.body.read(answer.offset, PART_BYTES)
            answer.offset += len(part)
            transport.write(part)
            answer.written_at = self._last_activity_at = self._outbound.now()
        if answer.offset < answer.body.size:
            return
        self._large_answer = None
        answer.body.release()
        if answer.close:
            self._end_output(transport)

    def _end_output(self, transport: asyncio.Transport) -> None:
        # Closing with unread input would reset the connection and could lose this answer.
        self._input_ended = True
        if transport.can_write_eof():
            transport.write_eof()

    def pause_writing(self) -> None:
        """The client does not read its answers: no further requests are read."""
        self._writing_paused = True
        self._pause_reading()

    def resume_writing(self) -> None:
        self._writing_paused = False
        if self._large_answer is not None and self._transport is not None:
            self._write_large_answer(self._large_answer, self._transport)
        self._write_ready_answers()

    def busy(self) -> bool:
        return (
            bool(self._slots) or (self._reader.partial and not self._input_ended) or self._has_unsent_bytes()
        )

    def _has_unsent_bytes(self) -> bool:
        return self._large_answer is not None or (
            self._transport is not None and self._transport.get_write_buffer_size() > 0
        )

    def check_timeouts(self, now: float, limits: Limits) -> None:
        """Enforce the time limits of this connection."""
        elapsed_ms = 1000.0 * (now - self._last_activity_at)
        if self._transport is None:
            return
        self._outbound.hold_unsent(self, self._transport.get_write_buffer_size())
        if self._large_answer is not None and now - self._large_answer.written_at > UNREAD_ANSWER_TIMEOUT_S:
            self.force_close()
            return
        if self._slots:
            return
        if self._input_ended:
            if elapsed_ms > 1000.0 * (
                UNREAD_ANSWER_TIMEOUT_S if self._has_unsent_bytes() else CLOSE_LINGER_S
            ):
                self.force_close()
            return
        if self._has_unsent_bytes():
            if elapsed_ms > 1000.0 * UNREAD_ANSWER_TIMEOUT_S:
                self.force_close()
        elif self._reader.partial:
            if elapsed_ms > max(
                limits.header_timeout_ms, limits.idle_timeout_ms if self._reader.in_message else 0.0
            ):
                self._reject(408, "the request did not come in whole")
        elif elapsed_ms > limits.idle_timeout_ms:
            self._transport.close()

    def force_close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class OutboundProxy:
    """Accepts client connections and forwards their requests.

    find_route: the route of a host and path; submit: starts a request; has_room: whether another request may
    be open; request_memory: for the bodies of requests, which are refused with Retry-After if there is no
    room; answer_memory: for answers that clients have not read; lag_s: delay of the event loop, above
    OVERLOAD_LAG_S of which requests are refused likewise.
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
    ) -> None:
        self._lag_s = lag_s
        self.request_memory = request_memory or MemoryBudget()
        self._answer_memory = answer_memory or MemoryBudget()
        self._patience = ClientPatience()
        self.requests_shed = 0  # refused because of event loop lag, since process start
        self._input_bytes: dict[ClientConnection, int] = {}  # of small bodies that are being read
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
        self._server = await self._loop.create_server(make, *address, backlog=1024, family=socket.AF_INET)

    def _sweep(self) -> None:
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now, limits = self.now(), self.limits()
        for client in list(self.clients):
            client.check_timeouts(now, limits)

    def hold_input(self, client: ClientConnection, size: int) -> bool:
        """Set the size of the small body that a client is sending; False if there is no memory for it."""
        before = self._input_bytes.pop(client, 0)
        if size:
            self._input_bytes[client] = size
            self.request_memory.take(size)
        self.request_memory.give_back(before)
        return not size or not self.request_memory.is_full()

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
        inline_bytes, large_body = len(message.body), message.large_body
        if not self._has_room() or (large_body is None and self.request_memory.is_full()):
            return self._answer_status(write, 503, RETRY_AFTER_HEADER)
        self.request_memory.take(inline_bytes)

        def answered(result: ServerResponse | RequestFailure) -> None:
            self._open_requests.pop(client_request, None)
            self.request_memory.give_back(inline_bytes)
            if large_body is not None:
                large_body.release()
            write(lambda close: _render_result(result, attempt_id, close))

        client_request = ProxiedRequest(
            method=message.method,
            target=message.target,
            fields=forwarded_headers(message, _REPLACED_HEADERS) + self._calling_service_header,
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
