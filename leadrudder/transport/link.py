"""A link: frames in both directions over one connection, aborted when the peer falls silent.

Times are seconds on the loop's clock. A link never retransmits a frame and never stores one for later: a
frame sent on a link that broke may or may not have arrived.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Protocol, cast

from google.protobuf.message import DecodeError

from leadrudder.node.dialling import open_connection, share_local_port
from leadrudder.protocol.mesh_pb2 import Frame
from leadrudder.transport.connection_limit import ConnectionLimit
from leadrudder.transport.input_memory import InputMemory

MAX_FRAME_BYTES = 80 * 1024 * 1024  # a larger length is malformed
MAX_UNSENT_BYTES = MAX_FRAME_BYTES + 16 * 1024 * 1024  # a link with more unread by the peer is aborted
CONNECT_TIMEOUT_S = 0.7
PING_INTERVAL_S = 0.3
# Ping intervals while the peer does not check liveness; they are long to save traffic. The dialing side
# detects a dead machine by its own unacknowledged pings (TCP_USER_TIMEOUT); the accepting side may notice a
# dead link late.
IDLE_DIALER_PING_INTERVAL_S, IDLE_ACCEPTOR_PING_INTERVAL_S = 1.5, 10.0
_LENGTH = struct.Struct(">I")


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its length prefix."""
    body = frame.SerializeToString()
    return _LENGTH.pack(len(body)) + body


ENCODED_PING = encode_frame(Frame(ping={}))


class LinkHandler(Protocol):
    """The user of a link."""

    def on_frame(self, link: Link, frame: Frame) -> None:
        """Handle a complete frame."""

    def on_up(self, link: Link) -> None:
        """Handle an established connection."""

    def on_down(self, link: Link) -> None:
        """Handle the end of the link; called once for each on_up."""


class Link(asyncio.Protocol):
    """One connection.

    check_interval_s: interval of liveness checks, and of pings unless changed.
    silence_timeout_s: the link is aborted after so long without a frame.
    input_memory: for frames that have not come in whole yet; limit: of a listener, on its accepted links.
    """

    def __init__(
        self,
        handler: LinkHandler,
        check_interval_s: float = PING_INTERVAL_S,
        silence_timeout_s: float = 1.0,
        peer: str = "",
        input_memory: InputMemory | None = None,
        limit: ConnectionLimit | None = None,
    ) -> None:
        self.peer = peer  # the dialed address, or the one that the peer reports
        self.up = False
        self.checks_liveness = True  # whether the link is aborted when the peer is silent
        self.ping_interval_s = check_interval_s  # long while the peer does not check liveness
        self._handler = handler
        self._input_memory, self._limit = input_memory or InputMemory(), limit
        self._has_frame = False  # a complete frame has come
        self._check_interval_s, self._silence_timeout_s = check_interval_s, silence_timeout_s
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._buffer = bytearray()
        self._last_received_at = self._loop.time()
        self._last_sent_at = 0.0
        self._abandoned = False
        self._timer: asyncio.TimerHandle | None = None

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._abandoned:
            self._transport.abort()
            return
        share_local_port(transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(2000 * self._silence_timeout_s))
        self.up = True
        self._last_received_at = self._loop.time()
        self._handler.on_up(self)
        self._check_liveness()
        if self._limit is not None and self.up:
            self._limit.opened(self)

    def data_received(self, data: bytes) -> None:
        self._last_received_at = self._loop.time()
        buffer = self._buffer
        buffer += data
        offset = 0
        while self.up and len(buffer) - offset >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, offset)
            if length > MAX_FRAME_BYTES:
                self.abort()
                return
            if len(buffer) - offset - _LENGTH.size < length:
                break
            offset += _LENGTH.size
            frame = Frame()
            try:
                frame.ParseFromString(bytes(memoryview(buffer)[offset : offset + length]))
            except DecodeError:
                self.abort()
                return
            offset += length
            self._count_frame()
            if frame.WhichOneof("body") != "ping":
                self._handler.on_frame(self, frame)
        del buffer[:offset]
        self._input_memory.hold(self, len(buffer))

    def _count_frame(self) -> None:
        if not self._has_frame:
            self._has_frame = True
            if self._limit is not None:
                self._limit.message_came(self)

    def shed_input(self) -> None:
        self.abort()

    def is_idle(self) -> bool:
        """A link on which a frame has come is not closed for another."""
        return False

    def force_close(self) -> None:
        self.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._on_closed()

    # Called by the user of the link.

    def send(self, frame: Frame) -> bool:
        """Write a frame to the connection; returns False if it has ended and nothing was sent."""
        return self.send_encoded(encode_frame(frame))

    def send_encoded(self, data: bytes) -> bool:
        if not self.up or self._transport is None or self._transport.is_closing():
            return False
        try:
            self._transport.write(data)
        except RuntimeError:  # raised by uvloop before it reports a handle that it has closed
            self._on_closed()
            return False
        self._last_sent_at = self._loop.time()
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()
        return True

    def unsent_bytes(self) -> int:
        """Bytes buffered until the peer reads."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def is_flushed(self) -> bool:
        """Whether nothing is buffered."""
        return not self.unsent_bytes()

    def abort(self) -> None:
        """Close the connection at once, discarding buffered data."""
        if self._transport is not None:
            self._transport.abort()
        self._on_closed()

    def on_connect_failed(self) -> None:
        """Handle a failed dial: the link never comes up, or it ends now."""
        self._abandoned = True
        self.abort()

    def close(self) -> None:
        """Close the connection after buffered data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def start_liveness_checks(self) -> None:
        """Check liveness from now on; the silence timeout starts now."""
        if not self.checks_liveness:
            self.checks_liveness = True
            self._last_received_at = self._loop.time()
            if self._timer is None and self.up:
                self._check_liveness()

    def silent_for_s(self) -> float:
        """Seconds since anything was received."""
        return self._loop.time() - self._last_received_at

    def _on_closed(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.up:
            self.up = False
            self._buffer.clear()
            self._input_memory.hold(self, 0)
            if self._limit is not None:
                self._limit.closed(self)
            self._handler.on_down(self)

    def _check_liveness(self) -> None:
        self._timer = None
        if not self.up:
            return
        now = self._loop.time()
        if self.checks_liveness and now - self._last_received_at > self._silence_timeout_s:
            self.abort()
            return
        if now - self._last_sent_at >= 0.9 * self.ping_interval_s:
            self.send_encoded(ENCODED_PING)
        if self.up:
            self._timer = self._loop.call_later(self._check_interval_s, self._check_liveness)


async def dial(address: str, create_link: Callable[[], Link]) -> Link | None:
    """Open a link to an address IP:PORT; None if it does not come up in time."""
    host, _, port = address.rpartition(":")
    try:
        return await open_connection(create_link, host, int(port), CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError, ValueError):
        return None
