"""An in-memory network: listeners, connections and their segments.

A connection is two transports and two pipes. A pipe carries segments in order, each with its arrival time;
writes may be split at any byte, and segments that arrive together are merged into one read. Delays and
failures come from NetworkConditions: latency tails, silent hosts, connections cut at a chosen byte.

The model is TCP as a program sees it, from RFC 9293 and the sockets interface:

- a closed port refuses after a round trip; a silent host does not answer at all;
- closing with unread input, or receiving data after the close, resets the connection;
- a reset leaves data that was read untouched and discards data that was not;
- a host that vanished and returned resets connections that it does not know when it next receives a segment.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol, cast

from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.scheduler import US_PER_S, Scheduler

Address = tuple[str, int]

HIGH_WATER_BYTES = 64 * 1024  # unsent bytes above which the writer is paused
LOW_WATER_BYTES = 16 * 1024
WINDOW_BYTES = 128 * 1024  # in flight or unread in one direction of a connection
FIRST_EPHEMERAL_PORT = 20_000
RETURN_RESET_US = 200_000  # a returned host learns of an old connection by a retransmission


class NetworkObserver(Protocol):
    """Observes network events in the order in which they happen, as the oracle does."""

    def connection_requested(self, loop: VirtualLoop, address: Address) -> None:
        """A process starts to connect."""

    def connection_accepted(self, client: VirtualTransport) -> None:
        """The listening host has accepted a connection."""

    def bytes_sent(self, source: VirtualTransport, data: bytes) -> None:
        """The writer's process has handed these bytes to its host."""

    def bytes_received(self, target: VirtualTransport, data: bytes) -> None:
        """These bytes were delivered to the reading process."""

    def connection_ended(self, transport: VirtualTransport, reason: str) -> None:
        """This end is over: 'closed' by its process, 'reset' by the peer or the network, or 'killed'."""


class NullObserver:
    """Ignores all events."""

    def connection_requested(self, loop: VirtualLoop, address: Address) -> None: ...

    def connection_accepted(self, client: VirtualTransport) -> None: ...

    def bytes_sent(self, source: VirtualTransport, data: bytes) -> None: ...

    def bytes_received(self, target: VirtualTransport, data: bytes) -> None: ...

    def connection_ended(self, transport: VirtualTransport, reason: str) -> None: ...


@dataclass(slots=True)
class ConnectionCut:
    """Resets the next connection from one host to another on which data is written.

    delivered_share: the share of that data that still arrives, in [0, 1]. remaining: connections to cut.
    """

    source: str
    target: str
    delivered_share: float
    remaining: int = 1


@dataclass
class NetworkConditions:
    """Latencies and failures of the network, for all hosts and for single ones."""

    base_latency_us: int = 300
    latency_spread_us: int = 400
    tail_share: float = 0.01  # of the segments that get tail latency
    tail_latency_us: int = 20_000
    arrival_grain_us: int = 1  # arrival times are multiples of this; a coarse grain makes them coincide
    split_share: float = 0.1  # of the writes that are split
    silent_hosts: set[str] = field(default_factory=set)  # never iterated: its order is not deterministic
    extra_latency_us: dict[str, int] = field(default_factory=dict)  # by host, in both directions
    cuts: list[ConnectionCut] = field(default_factory=list)


class Network:
    """All listeners and connections of one world."""

    def __init__(self, scheduler: Scheduler, seed: str, observer: NetworkObserver) -> None:
        self.scheduler = scheduler
        self.conditions = NetworkConditions()
        self.observer = observer
        self.open_transports: dict[VirtualTransport, None] = {}
        self._seed = seed
        self._listeners: dict[Address, VirtualServer] = {}
        self._connection_count = 0
        self._ports: dict[str, int] = {}
        # Keeps them alive as a kernel does: no other reference exists while the peer is silent.
        self._pending_connections: dict[_PendingConnection, None] = {}

    def listen(
        self, loop: VirtualLoop, factory: Callable[[], asyncio.BaseProtocol], address: Address
    ) -> VirtualServer:
        """Listens at an address; port 0 takes the host's next port. OSError if it is in use."""
        host, port = address
        port = port or self._next_port(host)
        if (host, port) in self._listeners:
            raise OSError(98, f"address in use: {host}:{port}")
        server = VirtualServer(self, loop, factory, (host, port))
        self._listeners[host, port] = server
        return server

    def unlisten(self, server: VirtualServer) -> None:
        if self._listeners.get(server.address) is server:
            del self._listeners[server.address]

    def listener_at(self, address: Address) -> VirtualServer | None:
        return self._listeners.get(address)

    def _next_port(self, host: str) -> int:
        port = self._ports.get(host, FIRST_EPHEMERAL_PORT)
        self._ports[host] = port + 1
        return port

    async def connect(
        self, loop: VirtualLoop, factory: Callable[[], asyncio.BaseProtocol], address: Address
    ) -> tuple[VirtualTransport, asyncio.BaseProtocol]:
        """Connects to a listener; ConnectionRefusedError if there is none. Waits forever on a silent host."""
        self._connection_count += 1
        rng = random.Random(f"{self._seed}/connection/{self._connection_count}")
        pending = _PendingConnection(self, loop, address, rng)
        self._pending_connections[pending] = None
        try:
            await pending.established
        except asyncio.CancelledError:
            pending.cancel()
            raise
        finally:
            self._pending_connections.pop(pending, None)
        protocol = factory()
        client_side = pending.sides[0]
        if client_side.ended:
            raise ConnectionResetError(104, "reset while it came up")
        client_side.protocol = protocol
        protocol.connection_made(client_side)
        client_side.start()
        return client_side, protocol

    def latency(self, rng: random.Random, one: str, other: str) -> int:
        """The latency of one segment between two hosts, in microseconds."""
        conditions = self.conditions
        wait = conditions.base_latency_us + rng.random() * conditions.latency_spread_us
        if rng.random() < conditions.tail_share:
            wait += conditions.tail_latency_us * rng.random() ** 2
        return int(wait) + conditions.extra_latency_us.get(one, 0) + conditions.extra_latency_us.get(other, 0)

    def arrival_at(self, latency_us: int) -> int:
        """The arrival time after this latency, rounded up to the arrival grain."""
        grain_us = self.conditions.arrival_grain_us
        return -(-(self.scheduler.now + latency_us) // grain_us) * grain_us

    def reachable(self, one: str, other: str) -> bool:
        """Whether segments pass between two hosts."""
        silent = self.conditions.silent_hosts
        return not silent or (one not in silent and other not in silent)

    def take_cut(self, source: str, target: str) -> ConnectionCut | None:
        """Consumes the cut that is due on this link, if any."""
        for cut in self.conditions.cuts:
            if cut.source == source and cut.target == target:
                cut.remaining -= 1
                if not cut.remaining:
                    self.conditions.cuts.remove(cut)
                return cut
        return None

    def process_died(self, loop: VirtualLoop) -> None:
        """Drops the pending connections of a process."""
        for pending in [pending for pending in self._pending_connections if pending.loop is loop]:
            del self._pending_connections[pending]

    def host_returned(self, host: str) -> None:
        """Brings a vanished host back, which has forgotten its connections."""
        for transport in list(self.open_transports):
            if transport.host == host and transport.blackholed:
                transport.connection_forgotten()


class _PendingConnection:
    """A connection being established; the listener's end exists half a round trip before the caller's."""

    def __init__(self, network: Network, loop: VirtualLoop, address: Address, rng: random.Random) -> None:
        self._network = network
        self.loop = loop
        self._address = address
        self._rng = rng
        self.established: asyncio.Future[None] = loop.create_future()
        self.sides: tuple[VirtualTransport, VirtualTransport]
        self._accepted = False
        network.observer.connection_requested(loop, address)
        if network.reachable(loop.host, address[0]):
            wait = network.latency(rng, loop.host, address[0])
            network.scheduler.schedule_delivery(network.arrival_at(wait), None, "knock", self._reach_listener)

    def _reach_listener(self) -> None:
        network, (host, port) = self._network, self._address
        if not self.loop.alive or not network.reachable(self.loop.host, host):
            return
        server = network.listener_at(self._address)
        wait = network.arrival_at(network.latency(self._rng, host, self.loop.host))
        if server is None:
            network.scheduler.schedule_delivery(wait, self.loop, "refused", self._refused)
            return
        source = (self.loop.host, network._next_port(self.loop.host))
        client_side = VirtualTransport(network, self.loop, source, (host, port), self._rng)
        server_side = VirtualTransport(network, server.loop, (host, port), source, self._rng)
        client_side.attach_peer(server_side)
        self.sides, self._accepted = (client_side, server_side), True
        network.observer.connection_accepted(client_side)
        network.scheduler.schedule_delivery(
            network.scheduler.now, server.loop, "accept", server.accept, server_side
        )
        network.scheduler.schedule_delivery(wait, self.loop, "connected", self._connected)

    def _connected(self) -> None:
        client_side = self.sides[0]
        if not self._network.reachable(self.loop.host, self._address[0]):
            client_side.blackholed = True
            return
        if not self.established.done():
            self.established.set_result(None)

    def _refused(self) -> None:
        if not self.established.done():
            self.established.set_exception(ConnectionRefusedError(111, "refused"))

    def cancel(self) -> None:
        """Closes the connection if it was accepted, since the caller has stopped waiting."""
        if self._accepted:
            self.sides[0].abort()


class VirtualServer:
    """A listening socket with the interface of asyncio's Server."""

    def __init__(
        self,
        network: Network,
        loop: VirtualLoop,
        factory: Callable[[], asyncio.BaseProtocol],
        address: Address,
    ) -> None:
        self.network = network
        self.loop = loop
        self.address = address
        self._factory = factory
        self._serving = True
        self.sockets = (_Socket(address),)
        loop.servers[self] = None

    def is_serving(self) -> bool:
        return self._serving

    def close(self) -> None:
        self._serving = False
        self.loop.servers.pop(self, None)
        self.network.unlisten(self)

    def accept(self, transport: VirtualTransport) -> None:
        """Hands a connection to the process; resets it if the process has stopped listening."""
        if not self._serving:
            transport.abort()
            return
        if transport.ended:
            return
        transport.protocol = self._factory()
        transport.protocol.connection_made(transport)
        transport.start()


class _Socket:
    """The only part of a listening socket that is used."""

    def __init__(self, address: Address) -> None:
        self._address = address

    def getsockname(self) -> Address:
        return self._address


class _Pipe:
    """One direction of a connection."""

    __slots__ = ("last_due_us", "segments", "severed", "size_bytes", "target")

    def __init__(self, target: VirtualTransport) -> None:
        self.target = target
        self.segments: deque[tuple[int, bytes | None]] = (
            deque()
        )  # due time and data; None is the end of stream
        self.last_due_us = 0
        self.size_bytes = 0
        self.severed = False  # later segments are dropped


class VirtualTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(
        self, network: Network, loop: VirtualLoop, local: Address, remote: Address, rng: random.Random
    ) -> None:
        super().__init__()
        self.network = network
        self.loop = loop
        self.host = loop.host
        self.local, self.remote = local, remote
        self.protocol: asyncio.BaseProtocol | None = None
        self.ended = False  # connection_lost was or will be called
        self.blackholed = False  # segments were lost for good: only a reset ends this connection
        self.peer: VirtualTransport
        self._pipe: _Pipe
        self._rng = rng
        self._buffer = bytearray()
        self._received: list[bytes] = []
        self._received_bytes = 0
        self._eof_received = False  # by this host
        self._eof_delivered = False
        self._started = False
        self._reading = True
        self._closing = False
        self._eof_requested = False  # write_eof was called
        self._eof_sent = False
        self._writing_paused = False

    def attach_peer(self, other: VirtualTransport) -> None:
        """Connects two ends with each other."""
        self.peer, other.peer = other, self
        self._pipe, other._pipe = _Pipe(other), _Pipe(self)
        for side in (self, other):
            self.network.open_transports[side] = None
            side.loop.transports[side] = None

    def start(self) -> None:
        """Starts reading, once the process knows the connection."""
        self._started = True
        self._schedule_delivery()

    # ------------------------------------------------------------ asyncio's interface

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"peername": self.remote, "sockname": self.local}.get(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        assert self.protocol is not None
        return self.protocol

    def is_closing(self) -> bool:
        return self._closing or self.ended

    def is_reading(self) -> bool:
        return self._reading and not self.is_closing()

    def pause_reading(self) -> None:
        self._reading = False

    def resume_reading(self) -> None:
        if not self._reading:
            self._reading = True
            self._schedule_delivery()

    def get_write_buffer_size(self) -> int:
        return len(self._buffer)

    def can_write_eof(self) -> bool:
        return True

    def write(self, data: bytes | bytearray | memoryview[Any]) -> None:
        if self.is_closing() or self._eof_requested:
            return
        self._buffer += data
        self._transmit()
        if len(self._buffer) > HIGH_WATER_BYTES and not self._writing_paused:
            self._writing_paused = True
            self._protocol_call("pause_writing")

    def write_eof(self) -> None:
        if not self.is_closing():
            self._eof_requested = True
            self._transmit()

    def close(self) -> None:
        if self.is_closing():
            return
        self._closing = True
        if not self._buffer:
            self._end("closed", None)

    def abort(self) -> None:
        if self.ended:
            return
        self._buffer.clear()
        self._end("closed", None)

    # ------------------------------------------------------------ sending

    def _transmit(self) -> None:
        """Hands as much of the write buffer to the host as the window permits."""
        pipe = self._pipe
        room = WINDOW_BYTES - pipe.size_bytes - pipe.target._received_bytes
        if self._buffer and room > 0:
            data = bytes(self._buffer[:room])
            del self._buffer[:room]
            self.network.scheduler.mix_into_digest(data)
            self.network.observer.bytes_sent(self, data)
            self._split_into_segments(data)
        if self._writing_paused and len(self._buffer) <= LOW_WATER_BYTES:
            self._writing_paused = False
            self._protocol_call("resume_writing")
        if self._buffer:
            return
        if self._eof_requested and not self._eof_sent:
            self._eof_sent = True
            self._send_segment(None)
        if self._closing and not self.ended:
            self._end("closed", None)

    def _split_into_segments(self, data: bytes) -> None:
        cut = self.network.take_cut(self.host, self.peer.host) if self.network.conditions.cuts else None
        if cut is not None:
            keep = round(cut.delivered_share * len(data))
            if keep:
                self._send_segment(data[:keep])
            self._sever()
            return
        if len(data) > 1 and self._rng.random() < self.network.conditions.split_share:
            for _ in range(1 + int(self._rng.random() * 3)):
                if len(data) > 1:
                    at = 1 + int(self._rng.random() * (len(data) - 1))
                    self._send_segment(data[:at])
                    data = data[at:]
        self._send_segment(data)

    def _send_segment(self, data: bytes | None) -> None:
        pipe, network = self._pipe, self.network
        if pipe.severed:
            return
        if not network.reachable(self.host, self.peer.host):
            self.blackholed = self.peer.blackholed = True
        if self.blackholed:
            return
        due = max(pipe.last_due_us, network.arrival_at(network.latency(self._rng, self.host, self.peer.host)))
        pipe.last_due_us = due
        pipe.segments.append((due, data))
        pipe.size_bytes += len(data) if data else 0
        network.scheduler.schedule_delivery(due, None, "piece", self.peer._receive_segments)

    def _sever(self) -> None:
        """The network resets the connection, after the segments in flight in this direction."""
        pipe = self._pipe
        pipe.severed = self.peer._pipe.severed = True
        due = max(pipe.last_due_us, self.network.scheduler.now + 1)
        self.network.scheduler.schedule_delivery(due, None, "cut", self.peer.reset)
        back = self.network.arrival_at(self.network.latency(self._rng, self.host, self.peer.host))
        self.network.scheduler.schedule_delivery(max(back, due), None, "cut", self.reset)

    # ------------------------------------------------------------ receiving

    def _receive_segments(self) -> None:
        """Takes all segments that have reached this host by now."""
        pipe = self.peer._pipe
        now = self.network.scheduler.now
        received_any = False
        while pipe.segments and pipe.segments[0][0] <= now:
            _, data = pipe.segments.popleft()
            received_any = True
            if data is not None:
                pipe.size_bytes -= len(data)
            if not self.network.reachable(self.host, self.peer.host):
                self.blackholed = self.peer.blackholed = True
            if self.blackholed:
                continue
            if data is None:
                self._eof_received = True
            elif self.ended or not self.loop.alive:
                self._send_reset()
                return
            else:
                self._received.append(data)
                self._received_bytes += len(data)
        if received_any and not self.ended:
            self._schedule_delivery()

    def _send_reset(self) -> None:
        """Resets the peer, because this end closed with unread input or gets data after its close."""
        wait = self.network.arrival_at(self.network.latency(self._rng, self.host, self.peer.host))
        wait = self._pipe.last_due_us = max(wait, self._pipe.last_due_us)
        self.network.scheduler.schedule_delivery(wait, None, "reset", self.peer.reset)

    def _schedule_delivery(self) -> None:
        if self._started and not self.ended:
            self.network.scheduler.schedule_delivery(
                self.network.scheduler.now, self.loop, "read", self._deliver
            )

    def _deliver(self) -> None:
        """Delivers all received data to the process, as one read of a socket does."""
        if self.ended or not self._reading or self._closing or not self._started:
            return
        protocol = cast(asyncio.Protocol, self.protocol)
        if self._received:
            data = b"".join(self._received)
            self._received.clear()
            self._received_bytes = 0
            self.network.observer.bytes_received(self, data)
            if self.peer._buffer:  # window updates take no time in this model
                self.network.scheduler.schedule_delivery(
                    self.network.scheduler.now, self.peer.loop, "window", self.peer._transmit
                )
            protocol.data_received(data)
        if (
            self._eof_received
            and not self._received
            and not self._eof_delivered
            and not self.ended
            and self._reading
        ):
            self._eof_delivered = True
            if not protocol.eof_received():
                self.close()

    def has_unread_input(self) -> bool:
        """What poll() reports for the socket: data, end of stream or a reset is there."""
        segments = self.peer._pipe.segments
        arrived = bool(segments) and segments[0][0] <= self.network.scheduler.now and not self.blackholed
        return bool(self._received) or self._eof_received or arrived or self.ended

    # ------------------------------------------------------------ the end

    def _end(self, reason: str, error: Exception | None) -> None:
        """Ends this side; the peer gets the end of stream or a reset, the process connection_lost."""
        if self.ended:
            return
        unread = self._received_bytes > 0
        self.ended = True
        self._deregister(reason)
        if reason == "closed":
            if unread:
                self._send_reset()
            elif not self._eof_sent:
                self._eof_sent = True
                self._send_segment(None)
        self._notify_lost(error)

    def _notify_lost(self, error: Exception | None) -> None:
        # The peer may stay half-open forever and must not keep this protocol alive.
        protocol, self.protocol = self.protocol, None
        if self.loop.alive and protocol is not None:
            self.network.scheduler.schedule_soon(
                self.loop, "connection_lost", protocol.connection_lost, error
            )

    def _deregister(self, reason: str) -> None:
        self._received.clear()
        self._received_bytes = 0
        self._buffer.clear()
        self.network.open_transports.pop(self, None)
        self.loop.transports.pop(self, None)
        self.network.observer.connection_ended(self, reason)

    def reset(self) -> None:
        """The peer or the network resets the connection; unread data is lost."""
        if self.ended or not self.network.reachable(self.host, self.peer.host):
            return
        self._end("reset", ConnectionResetError(104, "reset by peer"))

    def process_died(self) -> None:
        """Closes the connection as the host does when its process dies."""
        if self.ended:
            return
        self.ended = True
        self.protocol = None
        self._deregister("killed")
        if not self.blackholed:
            self._send_reset()

    def connection_forgotten(self) -> None:
        """Ends a connection that this returned host has forgotten; the peer is reset when it retransmits."""
        self._end("killed", ConnectionResetError(104, "forgotten"))
        wait = RETURN_RESET_US + int(self._rng.random() * 4 * RETURN_RESET_US)
        self.network.scheduler.schedule_delivery(
            self.network.scheduler.now + wait, None, "reset", self.peer.reset
        )

    def _protocol_call(self, name: str) -> None:
        if self.protocol is not None and not self.ended:
            getattr(self.protocol, name)()


def seconds(microseconds: int) -> float:
    """Converts microseconds of virtual time to seconds."""
    return microseconds / US_PER_S
