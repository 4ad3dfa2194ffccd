"""Connection pool of the local server; each answer is matched to its request by the attempt id.

A server may send a surplus answer late, where the answer to a later request on the same connection is
expected. An answer whose attempt id is not that of the current request is discarded, and the connection is
not reused. The surplus answer may be the copy of a refusal, whose request may be sent again; so an attempt id
is sent at most once on each connection.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from leadrudder.interface import Outcome, Readiness, ServerEntry
from leadrudder.node.dialling import share_local_port
from leadrudder.node.http import HttpMessage, HttpMessageError, HttpParser
from leadrudder.node.lists import Address, EndpointUpdate
from leadrudder.node.platform import SYSTEM, Platform
from leadrudder.node.servers import (
    Endpoint,
    HttpUpstream,
    RequestRenderer,
    UpstreamCall,
    UpstreamConnection,
)
from leadrudder.observability.metrics import Metrics
from leadrudder.transport.body_stream import BodyReceiver
from leadrudder.transport.http import BufferedHttpMessage, HttpReader
from leadrudder.transport.memory_budget import MemoryBudget

ATTEMPT_ID_HEADER = b"attempt-id"
SERVER_SEAL_HEADER = b"server-seal"
NOT_RUN_HEADER = b"not-run"
CONNECT_TIMEOUT_S = 0.5
SERVER_IDLE_TIMEOUT_S = 8.0
MAX_REQUESTS_PER_CONNECTION = 256  # bounds the ids that a connection remembers
MAX_ANSWER_BYTES = 80 * 1024 * 1024

OnEnded = Callable[[Outcome, BufferedHttpMessage | None], None]


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """A request as it is sent to the server; called with the remaining time, it renders the message.

    upload: the source of a large body, which follows the rendered message; body is empty then.
    """

    attempt_id: bytes  # empty for a health check, whose answer has no id
    head: bytes  # without the Time-Left header
    body: bytes
    upload: BodyReceiver | None = None

    def __call__(self, left_s: float) -> bytes:
        left_ms = max(1, math.floor(1000.0 * left_s))
        return b"%sTime-Left: %d\r\n\r\n%s" % (self.head, left_ms, self.body)


@dataclass(slots=True)
class ServerAnswerCounts:
    """What arrived on the connections to the local server, since the start of the process."""

    foreign: int = 0  # answers to another request than the current one; discarded
    ambiguous: int = 0  # answers whose id had been sent on the same connection before; 0 by design

    def register_metrics(self, metrics: Metrics) -> None:
        metrics.add("server_answers_foreign_total", lambda: self.foreign)
        metrics.add("server_answers_ambiguous_total", lambda: self.ambiguous)


class LocalServerConnection(UpstreamConnection):
    """One connection to the local server."""

    def __init__(self, endpoint: Endpoint, upstream: HttpUpstream) -> None:
        self._counts = cast(LocalServer, upstream).answer_counts
        self._had_foreign_answer = False
        self._expected_id = b""
        self._sent_ids: set[bytes] = set()
        self._is_repeated = False  # the current id had been sent on this connection before
        self._upload: BodyReceiver | None = None  # the large body of the current request
        self._writing_paused = False
        self._unconfirmed_bytes = 0  # of the upload, written while the server did not read
        self._answer_memory = cast(LocalServer, upstream).answer_memory
        super().__init__(endpoint, upstream)

    def create_parser(self) -> HttpParser:
        self._reader = HttpReader(
            self._on_response,
            requests=False,
            max_body_bytes=int(min(MAX_ANSWER_BYTES, self._answer_memory.limit_bytes)),
            budget=self._answer_memory,
        )
        return self._reader

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        share_local_port(transport)

    def may_carry(self, render: RequestRenderer) -> bool:
        """Whether a surplus answer on this connection could not be taken for the answer to this request."""
        assert isinstance(render, ServerRequest)
        return render.attempt_id not in self._sent_ids

    def send(self, call: UpstreamCall) -> None:
        assert isinstance(call.render, ServerRequest)
        self._expected_id = call.render.attempt_id
        self._is_repeated = self._expected_id in self._sent_ids
        self._sent_ids.add(self._expected_id)
        super().send(call)
        if call.render.upload is not None:
            self._upload = call.render.upload
            self._upload.start(self._write_body, self._fail)

    def _write_body(self, data: bytes) -> None:
        if self._upload is None or self._transport is None or not self.is_open():
            return
        self._transport.write(data)
        if self._writing_paused:
            self._unconfirmed_bytes += len(data)
        else:
            self._upload.consumed(len(data))

    def pause_writing(self) -> None:
        self._writing_paused = True

    def resume_writing(self) -> None:
        self._writing_paused = False
        confirmed, self._unconfirmed_bytes = self._unconfirmed_bytes, 0
        if confirmed and self._upload is not None:
            self._upload.consumed(confirmed)

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if self._reader.missing_memory and self._call is not None and self._transport is not None:
            self._transport.pause_reading()
            self._reader.reserve_missing_memory(self._resume_reading)

    def _resume_reading(self) -> None:
        if self._transport is not None and self.is_open():
            self._transport.resume_reading()

    def drop(self) -> None:
        self._end_upload()
        self._reader.abandon()
        super().drop()

    def _end_upload(self) -> None:
        if self._upload is not None:
            self._upload.stop()
            self._upload = None

    def _on_response(self, message: HttpMessage) -> None:
        answer_id = message.headers.get(ATTEMPT_ID_HEADER)
        if self._expected_id and answer_id != self._expected_id:
            if answer_id is None:
                raise HttpMessageError(400, "answer without an Attempt-Id header")
            self._counts.foreign += 1
            self._had_foreign_answer = True  # answers an earlier request; ours may follow
            large_body = cast(BufferedHttpMessage, message).large_body
            if large_body is not None:
                large_body.release()
            return
        if self._is_repeated:
            self._counts.ambiguous += 1
        if self._had_foreign_answer or len(self._sent_ids) >= MAX_REQUESTS_PER_CONNECTION:
            message.keep_alive = False
        if self._upload is not None and not self._upload.complete:
            message.keep_alive = False  # the rest of the body will not come
        self._end_upload()
        super()._on_response(message)


class LocalServer(HttpUpstream):
    """The server on this machine; at most one instance of it at a time."""

    connection = LocalServerConnection

    def __init__(
        self,
        address: Address,
        max_connections: int,
        platform: Platform = SYSTEM,
        answer_memory: MemoryBudget | None = None,
    ) -> None:
        """answer_memory: for large answers, which are read as fast as there is room."""
        self.answer_memory = answer_memory or MemoryBudget()
        super().__init__(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            idle_timeout_s=SERVER_IDLE_TIMEOUT_S,
            max_connections=max_connections,
            platform=platform,
        )
        self._address = address
        self.answer_counts = ServerAnswerCounts()

    def set_instance(self, instance_id: str) -> None:
        """Switch to a new instance; connections to the former one are not reused."""
        entry = ServerEntry(instance_id.encode(), Readiness.READY)
        self.update(EndpointUpdate(0, True, (entry,), {entry.server: self._address}))

    def clear_instance(self) -> None:
        self.update(EndpointUpdate(0, True, (), {}))

    def run(self, instance_id: str, request: ServerRequest, timeout_s: float, ended: OnEnded) -> UpstreamCall:
        """Send a request; ended is called exactly once, after this returns."""

        def on_done(outcome: Outcome, message: HttpMessage | None) -> None:
            assert message is None or isinstance(message, BufferedHttpMessage)
            ended(outcome, message)

        return self.call(instance_id.encode(), request, timeout_s, on_done)
