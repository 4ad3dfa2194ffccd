"""One client connection: each request gets exactly one answer, in the order of the requests."""

from __future__ import annotations

import asyncio
import math
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

from leadrudder.configuration.items import Limits
from leadrudder.node.http import HttpMessage, HttpMessageError
from leadrudder.transport.body_stream import PART_BYTES
from leadrudder.transport.http import RETRY_AFTER_HEADER, BufferedHttpMessage, HttpReader, render_response
from leadrudder.transport.large_body import LargeBody
from leadrudder.transport.paced_input import PacedInput

if TYPE_CHECKING:
    from leadrudder.data_plane.outbound import OutboundProxy

MAX_PIPELINED_REQUESTS = 64  # open on one connection; beyond that it is not read
UNREAD_ANSWER_TIMEOUT_S = 10.0  # after which a client that does not read its answer is disconnected
CLOSE_LINGER_S = 0.5  # wait for the client to close after the last answer


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
            budget=outbound.connection_share(limits.max_body_bytes),
            bodies=outbound.received_bodies,
            owner=self,
        )
        self._input = PacedInput(self._reader, self, outbound.input_turns)
        self._transport: asyncio.Transport | None = None
        self._slots: deque[AnswerSlot] = deque()
        self._last_activity_at = 0.0  # connection opened, request started or answer written
        self._reading_paused = False
        self._writing_paused = False
        self._large_answer: LargeAnswer | None = None  # being written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_activity_at = self._outbound.now()
        self._outbound.client_connected(self)

    def data_received(self, data: bytes) -> None:
        if not self._input.partial:
            self._last_activity_at = self._outbound.now()
        self._input.feed(data)

    def takes_input(self) -> bool:
        return not self._writing_paused and len(self._slots) < MAX_PIPELINED_REQUESTS

    def on_invalid_input(self, error: HttpMessageError) -> None:
        self._reject(error.status, str(error), RETRY_AFTER_HEADER if error.status == 503 else b"")

    def shed_input(self) -> None:
        self._reject(503, "no memory for the request now", RETRY_AFTER_HEADER)

    def after_input(self) -> None:
        held_bytes = self._input.held_bytes if self._transport is not None else 0
        self._outbound.input_memory.hold(self, held_bytes)
        self._update_reading()

    def _reject(self, status: int, text: str, fields: bytes = b"") -> None:
        """Answer invalid or excess input once and read nothing more."""
        self._outbound.input_memory.hold(self, 0)
        self._reader.abandon()
        data = render_response(status, fields, text.encode() + b"\n", close=True)
        slot = AnswerSlot(RenderedAnswer(data), close=True)
        self._input.end()
        self._slots.append(slot)
        self._write_ready_answers()
        self._update_reading()

    def eof_received(self) -> bool:
        """The client has closed its connection: its open requests are abandoned."""
        is_waiting = bool(self._slots) or self._large_answer is not None
        self._input.end()
        self._outbound.input_memory.hold(self, 0)
        self._notify_client_left()
        return is_waiting  # keep the transport open for the answers that are still due

    def _notify_client_left(self) -> None:
        for slot in list(self._slots):
            if slot.rendered_answer is None and slot.on_client_left is not None:
                slot.on_client_left()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._input.end()
        self._reader.abandon()
        self._outbound.input_memory.hold(self, 0)
        self._outbound.hold_unsent(self, 0)
        self._outbound.client_closed(self)
        self._notify_client_left()
        if self._large_answer is not None:
            self._large_answer.body.release()
            self._large_answer = None
        for slot in self._slots:
            if slot.rendered_answer is not None and slot.rendered_answer.large_body is not None:
                slot.rendered_answer.large_body.release()

    def _on_request(self, message: HttpMessage) -> None:
        if self._input.ended:
            return
        slot = AnswerSlot(close=not message.keep_alive)
        if slot.close:
            self._input.end()
            self._reader.stop()
        self._slots.append(slot)
        self._outbound.input_memory.hold(self, 0)  # from here on it is counted by handle_request
        self._outbound.connection_limit.message_came(self)
        slot.on_client_left = self._outbound.handle_request(
            cast(BufferedHttpMessage, message), lambda render_answer: self._set_answer(slot, render_answer)
        )

    def _update_reading(self) -> None:
        """Read only while input is parsed as it comes, and answers are read."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        most = MAX_PIPELINED_REQUESTS // 2 if self._reading_paused else MAX_PIPELINED_REQUESTS
        may_read = not self._writing_paused and len(self._slots) < most and not self._input.waits
        if may_read and self._reading_paused:
            transport.resume_reading()
        elif not may_read and not self._reading_paused:
            transport.pause_reading()
        self._reading_paused = not may_read

    def _set_answer(self, slot: AnswerSlot, render_answer: RenderAnswer) -> None:
        if self._outbound.closing and self._slots and self._slots[-1] is slot:
            slot.close = True
        if slot.close:
            self._input.end()
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
        if self.takes_input():
            self._input.resume()
        self._update_reading()

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
        self._input.end()
        if transport.can_write_eof():
            transport.write_eof()

    def pause_writing(self) -> None:
        """The client does not read its answers: no further requests are read."""
        self._writing_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        self._writing_paused = False
        if self._large_answer is not None and self._transport is not None:
            self._write_large_answer(self._large_answer, self._transport)
        self._write_ready_answers()

    def busy(self) -> bool:
        return (
            bool(self._slots) or (self._input.partial and not self._input.ended) or self._has_unsent_bytes()
        )

    def is_idle(self) -> bool:
        return not self._input.ended and not self.busy()

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
        if self._input.ended:
            if elapsed_ms > 1000.0 * (
                UNREAD_ANSWER_TIMEOUT_S if self._has_unsent_bytes() else CLOSE_LINGER_S
            ):
                self.force_close()
            return
        if self._has_unsent_bytes():
            if elapsed_ms > 1000.0 * UNREAD_ANSWER_TIMEOUT_S:
                self.force_close()
        elif self._input.partial:
            if elapsed_ms > max(
                limits.header_timeout_ms, limits.idle_timeout_ms if self._reader.in_message else 0.0
            ):
                self._reject(408, "the request did not come in whole")
        elif elapsed_ms > limits.idle_timeout_ms:
            self._transport.close()

    def force_close(self) -> None:
        if self._transport is not None:
            self._transport.abort()
