"""A link: frames in both directions, cut when the other side falls silent.

Times are seconds on the loop's clock. A link never sends anything twice and never keeps a frame for later:
what was handed to one that broke may or may not have arrived.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Protocol, cast

from google.protobuf.message import DecodeError

from leadrudder.node.dialling import connect
from leadrudder.protocol.mesh_pb2 import Frame

MAX_FRAME_BYTES = 80 * 1024 * 1024  # bytes; more is no frame of ours
MAX_UNSENT_BYTES = (
    MAX_FRAME_BYTES + 16 * 1024 * 1024
)  # bytes that a peer does not read before the link is cut
CONNECT_TIMEOUT_S = 0.7
PING_S = 0.3
# Between signs of life where nobody waits for them. Who dialled finds a dead machine by its own that are not
# acknowledged; the other side has only to know some time that the link is of use no more.
IDLE_DIALER_PING_S, IDLE_ACCEPTOR_PING_S = 1.5, 10.0
_LENGTH = struct.Struct(">I")


def encode_frame(frame: Frame) -> bytes:
    """A frame as it goes on the wire."""
    body = frame.SerializeToString()
    return _LENGTH.pack(len(body)) + body


PING = encode_frame(Frame(ping={}))


class LinkHandler(Protocol):
    """Who uses a link."""

    def on_frame(self, link: Link, frame: Frame) -> None:
        """A frame has come in whole."""

    def on_up(self, link: Link) -> None:
        """The connection stands."""

    def on_down(self, link: Link) -> None:
        """It has ended; called once for each on_up."""


class Link(asyncio.Protocol):
    """A connection.  ping_s: ping interval; silence_timeout_s: abort after this long without a frame."""

    def __init__(
        self, handler: LinkHandler, ping_s: float = PING_S, silence_timeout_s: float = 1.0, peer: str = ""
    ) -> None:
        self.peer = peer  # the address that was dialled, or what the other side says it is
        self.up = False
        self.checks_liveness = True  # whether signs of life are asked for just now
        self.ping_interval_s = (
            ping_s  # how often we give ours: seldom where nobody waits for them, as bytes are dear
        )
        self._handler = handler
        self._ping_s, self._silence_timeout_s = ping_s, silence_timeout_s
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._buffer = bytearray()
        self._heard = self._loop.time()
        self._sent = 0.0
        self._given_up = False
        self._timer: asyncio.TimerHandle | None = None

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._given_up:
            self._transport.abort()
            return
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(2000 * self._silence_timeout_s))
        self.up = True
        self._heard = self._loop.time()
        self._handler.on_up(self)
        self._beat()

    def data_received(self, data: bytes) -> None:
        self._heard = self._loop.time()
        buffer = self._buffer
        buffer += data
        at = 0
        while self.up and len(buffer) - at >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, at)
            if length > MAX_FRAME_BYTES:
                self.abort()
                return
            if len(buffer) - at - _LENGTH.size < length:
                break
            at += _LENGTH.size
            frame = Frame()
            try:
                frame.ParseFromString(bytes(memoryview(buffer)[at : at + length]))
            except DecodeError:
                self.abort()
                return
            at += length
            if frame.WhichOneof("body") != "ping":
                self._handler.on_frame(self, frame)
        del buffer[:at]

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._over()

    # What its user calls.

    def send(self, frame: Frame) -> bool:
        """Hand a frame to the connection; False where it has ended: then nothing was sent."""
        return self.send_encoded(encode_frame(frame))

    def send_encoded(self, data: bytes) -> bool:
        if not self.up or self._transport is None or self._transport.is_closing():
            return False
        try:
            self._transport.write(data)
        except RuntimeError:  # uvloop's, for a handle that it has closed and not told of yet
            self._over()
            return False
        self._sent = self._loop.time()
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()
        return True

    def unsent_bytes(self) -> int:
        """Bytes that wait here for the peer to read."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def is_drained(self) -> bool:
        """Whether nothing waits here for the peer to read."""
        return not self.unsent_bytes()

    def abort(self) -> None:
        """End it at once."""
        if self._transport is not None:
            self._transport.abort()
        self._over()

    def give_up_dial(self) -> None:
        """Nobody waits for it to come up any more: it never does, or it handler now."""
        self._given_up = True
        self.abort()

    def close(self) -> None:
        """End it when what was written has gone out."""
        if self._transport is not None:
            self._transport.close()

    def start_liveness_checks(self) -> None:
        """Ask for signs of life from now on; what was heard before counts as heard now."""
        if not self.checks_liveness:
            self.checks_liveness = True
            self._heard = self._loop.time()
            if self._timer is None and self.up:
                self._beat()

    def silent_for_s(self) -> float:
        """Seconds since anything was heard."""
        return self._loop.time() - self._heard

    def _over(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.up:
            self.up = False
            self._buffer.clear()
            self._handler.on_down(self)

    def _beat(self) -> None:
        self._timer = None
        if not self.up:
            return
        now = self._loop.time()
        if self.checks_liveness and now - self._heard > self._silence_timeout_s:
            self.abort()
            return
        if now - self._sent >= 0.9 * self.ping_interval_s:
            self.send_encoded(PING)
        if self.up:
            self._timer = self._loop.call_later(self._ping_s, self._beat)


async def dial(address: str, make: Callable[[], Link]) -> Link | None:
    """A link to an address IP:PORT; None where it does not come up in time."""
    host, _, port = address.rpartition(":")
    try:
        return await connect(make, host, int(port), CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError, ValueError):
        return None
