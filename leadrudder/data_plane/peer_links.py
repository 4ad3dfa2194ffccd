"""Links to other nodes: requests out, responses back, exactly one response for each request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadrudder.data_plane.inbound import Withdraw
from leadrudder.protocol.mesh_pb2 import CancelRequest, ForwardRequest, ForwardResponse, Frame, StopNotice
from leadrudder.protocol.outcome import Executed
from leadrudder.transport.link import IDLE_DIALER_PING_INTERVAL_S, Link, dial

SILENCE_TIMEOUT_S = 1.5  # without frames from a peer while calls are in flight
PING_INTERVAL_S = 0.4
IDLE_TIMEOUT_S = 30.0  # after which an unused link is closed

Deliver = Callable[[ForwardResponse], None]


class PeerLink:
    """The link to one node, dialled on demand."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.last_used = 0.0
        self._loop = asyncio.get_running_loop()
        self._link: Link | None = None
        self._dial_task: asyncio.Task[None] | None = None
        self._unsent: list[tuple[ForwardRequest, Deliver]] = []
        self._in_flight: dict[int, Deliver] = {}
        self._last_number = 0
        self._stops_at: float | None = None  # when this process ends, once that is known

    def send(self, forward_request: ForwardRequest, deliver: Deliver) -> Withdraw:
        """deliver is called once, also if the link fails; returns a function to withdraw the request."""
        self.last_used = self._loop.time()
        self._last_number += 1
        number = forward_request.number = self._last_number
        if self._link is not None and self._link.up:
            self._write(self._link, forward_request, deliver)
        else:
            self._unsent.append((forward_request, deliver))
            if self._dial_task is None:
                self._dial_task = self._loop.create_task(self._dial())
        return lambda client_left: self._withdraw(number, client_left)

    def _write(self, link: Link, forward_request: ForwardRequest, deliver: Deliver) -> None:
        if not link.send(Frame(waybill=forward_request)):
            deliver(ForwardResponse(number=forward_request.number, ran=Executed.NEVER, why="unreachable"))
            return
        self._in_flight[forward_request.number] = deliver
        link.start_liveness_checks()

    def _withdraw(self, number: int, client_left: bool) -> Executed:
        still_unsent = [(queued, deliver) for queued, deliver in self._unsent if queued.number != number]
        if len(still_unsent) < len(self._unsent):
            self._unsent = still_unsent
            return Executed.NEVER
        if self._in_flight.pop(number, None) is not None and self._link is not None:
            self._link.send(Frame(withdrawal=CancelRequest(number=number, client_left=client_left)))
        return Executed.MAYBE

    def announce_stop(self, stops_at: float) -> None:
        """Tell the peer when this process ends (loop time), on the present link and on later ones."""
        self._stops_at = stops_at
        if self._link is not None:
            left_ms = 1000.0 * (stops_at - self._loop.time())
            self._link.send(Frame(stopping=StopNotice(left_ms=left_ms)))

    async def _dial(self) -> None:
        link = await dial(
            self.address, lambda: Link(self, PING_INTERVAL_S, SILENCE_TIMEOUT_S, peer=self.address)
        )
        self._dial_task = None
        if link is None or not link.up:
            self.fail_unsent()
            return
        unsent, self._unsent = self._unsent, []
        for forward_request, deliver in unsent:
            self._write(link, forward_request, deliver)

    def on_up(self, link: Link) -> None:
        link.checks_liveness, link.ping_interval_s = (
            False,
            IDLE_DIALER_PING_INTERVAL_S,
        )  # the peer does not wait for this node
        self._link = link
        if self._stops_at is not None:
            self.announce_stop(self._stops_at)

    def on_frame(self, link: Link, frame: Frame) -> None:
        if frame.WhichOneof("body") != "delivery":
            return
        deliver = self._in_flight.pop(frame.delivery.number, None)
        if not self._in_flight:
            link.checks_liveness = False
        if deliver is not None:
            deliver(frame.delivery)

    def on_down(self, link: Link) -> None:
        if self._link is link:
            self._link = None
            in_flight, self._in_flight = self._in_flight, {}
            for number, deliver in in_flight.items():
                deliver(ForwardResponse(number=number, ran=Executed.MAYBE, why="link"))

    def fail_unsent(self) -> None:
        """End the calls that wait for the link to come up: they have not been sent."""
        unsent, self._unsent = self._unsent, []
        for forward_request, deliver in unsent:
            deliver(ForwardResponse(number=forward_request.number, ran=Executed.NEVER, why="unreachable"))

    def is_idle(self, now: float) -> bool:
        return not self._in_flight and not self._unsent and now - self.last_used > IDLE_TIMEOUT_S

    def close(self) -> None:
        if self._link is not None:
            self._link.abort()


class PeerLinks:
    """The links to all other nodes, by address."""

    def __init__(self) -> None:
        self._links: dict[str, PeerLink] = {}
        self._stops_at: float | None = None
        self._loop = asyncio.get_running_loop()

    def send(self, address: str, forward_request: ForwardRequest, deliver: Deliver) -> Withdraw:
        peer_link = self._links.get(address)
        if peer_link is None:
            peer_link = self._links[address] = PeerLink(address)
            if self._stops_at is not None:
                peer_link.announce_stop(self._stops_at)
        return peer_link.send(forward_request, deliver)

    def announce_stop(self, stops_at: float) -> None:
        """Tell all peers that calls of this process must have ended by stops_at (loop time)."""
        self._stops_at = stops_at
        for peer_link in self._links.values():
            peer_link.announce_stop(stops_at)

    def fail_unsent(self) -> None:
        """End all calls that have not been sent to their peer yet."""
        for peer_link in self._links.values():
            peer_link.fail_unsent()

    def close_idle(self) -> None:
        """Close links that have been idle for IDLE_TIMEOUT_S."""
        now = self._loop.time()
        for address, peer_link in list(self._links.items()):
            if peer_link.is_idle(now):
                peer_link.close()
                del self._links[address]

    def close(self) -> None:
        for peer_link in self._links.values():
            peer_link.close()
