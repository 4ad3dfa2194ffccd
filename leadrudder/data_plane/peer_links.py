"""Links to other nodes: requests out, responses back, exactly one response for each request."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial

from leadrudder.data_plane.body_frames import receive_body, send_body
from leadrudder.data_plane.inbound import Deliver, Withdraw
from leadrudder.protocol.mesh_pb2 import (
    CancelRequest,
    ForwardRequest,
    ForwardResponse,
    Frame,
    StopNotice,
)
from leadrudder.protocol.outcome import Executed
from leadrudder.transport.body_stream import BodyReceiver, BodySender
from leadrudder.transport.input_memory import InputMemory
from leadrudder.transport.large_body import LargeBody
from leadrudder.transport.link import IDLE_DIALER_PING_INTERVAL_S, Link, dial
from leadrudder.transport.memory_budget import MemoryBudget

SILENCE_TIMEOUT_S = 1.5  # without frames from a peer while calls are in flight
PING_INTERVAL_S = 0.4
IDLE_TIMEOUT_S = 30.0  # after which an unused link is closed

# After a link has come up, for its peer to say that it takes bodies in parts. One of a release that does not
# gets them inside the request.
PARTS_ACCEPTED_TIMEOUT_S = 0.5


@dataclass(slots=True, eq=False)
class OutgoingCall:
    """A call without a complete response."""

    forward_request: ForwardRequest
    deliver: Deliver
    body: LargeBody | None  # of the request, if it is too large to be copied
    upload: BodySender | None = None
    response: ForwardResponse | None = None  # whose large body is being received
    response_body: LargeBody | None = None
    download: BodyReceiver | None = None

    @property
    def number(self) -> int:
        return self.forward_request.number

    def end_streams(self) -> None:
        """The call has ended without a complete response."""
        if self.upload is not None:
            self.upload.stop()
        if self.download is not None:
            self.download.stop()
        if self.response_body is not None:
            self.response_body.release()


class PeerLink:
    """The link to one node, dialled on demand.  memory: for large bodies of responses."""

    def __init__(self, address: str, memory: MemoryBudget, input_memory: InputMemory | None = None) -> None:
        self.address = address
        self._memory, self._input_memory = memory, input_memory
        self._parts_accepted = False  # by the peer of the present link
        self._parts_timer: asyncio.TimerHandle | None = None
        self.last_used = 0.0
        self._loop = asyncio.get_running_loop()
        self._link: Link | None = None
        self._dial_task: asyncio.Task[None] | None = None
        self._unsent: list[OutgoingCall] = []
        self._in_flight: dict[int, OutgoingCall] = {}
        self._last_number = 0
        self._stops_at: float | None = None  # when this process ends, once that is known

    def send(
        self, forward_request: ForwardRequest, deliver: Deliver, body: LargeBody | None = None
    ) -> Withdraw:
        """deliver is called once, also if the link fails; returns a function to withdraw the request.

        body: of the request, if it is too large to be copied.
        """
        self.last_used = self._loop.time()
        self._last_number += 1
        number = forward_request.number = self._last_number
        forward_request.accepts_parts = True
        call = OutgoingCall(forward_request, deliver, body)
        if self._link is not None and self._link.up and self._may_write(call):
            self._write(self._link, call)
        else:
            self._unsent.append(call)
            if self._dial_task is None and (self._link is None or not self._link.up):
                self._dial_task = self._loop.create_task(self._dial())
        return lambda client_left: self._withdraw(number, client_left)

    def _may_write(self, call: OutgoingCall) -> bool:
        """Whether it is known how the peer takes the body of a call."""
        return call.body is None or self._parts_accepted or self._parts_timer is None

    def _write(self, link: Link, call: OutgoingCall) -> None:
        number = call.number
        if call.body is not None and self._parts_accepted:
            call.forward_request.body_bytes = call.body.size
            call.upload = send_body(link, number, call.body)
        elif call.body is not None:
            call.forward_request.body = call.body.read_all()
        if not link.send(Frame(waybill=call.forward_request)):
            call.deliver(ForwardResponse(number=number, ran=Executed.NEVER, why="unreachable"))
            return
        self._in_flight[number] = call
        link.start_liveness_checks()

    def _write_unsent(self) -> None:
        """Send the calls that have waited for the link, or for the peer to say how it takes bodies."""
        unsent, self._unsent = self._unsent, []
        for call in unsent:
            if self._link is not None and self._link.up and self._may_write(call):
                self._write(self._link, call)
            else:
                self._unsent.append(call)

    def _withdraw(self, number: int, client_left: bool) -> Executed:
        still_unsent = [call for call in self._unsent if call.number != number]
        if len(still_unsent) < len(self._unsent):
            self._unsent = still_unsent
            return Executed.NEVER
        call = self._in_flight.pop(number, None)
        if call is not None:
            call.end_streams()
            if self._link is not None:
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
            self.address,
            lambda: Link(
                self,
                PING_INTERVAL_S,
                SILENCE_TIMEOUT_S,
                peer=self.address,
                input_memory=self._input_memory,
            ),
        )
        self._dial_task = None
        if link is None or not link.up:
            self.fail_unsent()
            return
        self._write_unsent()

    def on_up(self, link: Link) -> None:
        link.checks_liveness, link.ping_interval_s = (
            False,
            IDLE_DIALER_PING_INTERVAL_S,
        )  # the peer does not wait for this node
        self._link = link
        self._parts_accepted = False
        self._parts_timer = self._loop.call_later(PARTS_ACCEPTED_TIMEOUT_S, self._stop_waiting_for_parts)
        if self._stops_at is not None:
            self.announce_stop(self._stops_at)

    def _stop_waiting_for_parts(self) -> None:
        if self._parts_timer is not None:
            self._parts_timer.cancel()
            self._parts_timer = None
            self._write_unsent()

    def on_frame(self, link: Link, frame: Frame) -> None:
        kind = frame.WhichOneof("body")
        if kind == "delivery":
            self._on_response(link, frame.delivery)
        elif kind == "body_part":
            call = self._in_flight.get(frame.body_part.number)
            if call is not None and call.download is not None:
                call.download.on_part(frame.body_part.data)
        elif kind == "body_credit":
            call = self._in_flight.get(frame.body_credit.number)
            if call is not None and call.upload is not None:
                call.upload.on_credit(frame.body_credit.bytes)
        elif kind == "parts_accepted":
            self._parts_accepted = True
            self._stop_waiting_for_parts()

    def _on_response(self, link: Link, response: ForwardResponse) -> None:
        call = self._in_flight.get(response.number)
        if call is None or not response.body_bytes:
            self._end_call(link, response)
        elif not self._memory.can_ever_hold(response.body_bytes):
            link.send(Frame(withdrawal=CancelRequest(number=call.number)))
            self._end_call(
                link, ForwardResponse(number=call.number, ran=Executed.MAYBE, why="answer too large")
            )
        else:
            call.response = response
            call.response_body = LargeBody(self._memory, response.body_bytes)
            if call.response_body.reserve(response.body_bytes):
                self._receive_body(link, call)
            else:
                call.response_body.reserve_later(response.body_bytes, partial(self._receive_body, link, call))

    def _receive_body(self, link: Link, call: OutgoingCall) -> None:
        """Ask for the large body of a response, for which there is memory now."""
        body, response = call.response_body, call.response
        assert body is not None and response is not None
        download = call.download = receive_body(link, call.number, response.body_bytes)

        def on_data(data: bytes) -> None:
            body.append(data)
            download.consumed(len(data))
            if download.complete:
                self._end_call(link, response, body)

        def on_broken() -> None:
            body.release()
            self._end_call(link, ForwardResponse(number=call.number, ran=Executed.MAYBE, why="link"))

        download.start(on_data, on_broken)

    def _end_call(self, link: Link, response: ForwardResponse, large_body: LargeBody | None = None) -> None:
        call = self._in_flight.pop(response.number, None)
        if not self._in_flight:
            link.checks_liveness = False
        if call is None:
            return
        if large_body is None:
            call.deliver(response)
        else:
            call.deliver(response, large_body)

    def on_down(self, link: Link) -> None:
        if self._link is link:
            self._link = None
            if self._parts_timer is not None:
                self._parts_timer.cancel()
                self._parts_timer = None
            in_flight, self._in_flight = self._in_flight, {}
            for number, call in in_flight.items():
                call.end_streams()
                call.deliver(ForwardResponse(number=number, ran=Executed.MAYBE, why="link"))
            if self._dial_task is None:
                self.fail_unsent()

    def fail_unsent(self) -> None:
        """End the calls that wait for the link to come up: they have not been sent."""
        unsent, self._unsent = self._unsent, []
        for call in unsent:
            call.deliver(ForwardResponse(number=call.number, ran=Executed.NEVER, why="unreachable"))

    def is_idle(self, now: float) -> bool:
        return not self._in_flight and not self._unsent and now - self.last_used > IDLE_TIMEOUT_S

    def close(self) -> None:
        if self._link is not None:
            self._link.abort()


class PeerLinks:
    """The links to all other nodes, by address.

    memory: for large bodies of responses; input_memory: for frames that have not come in whole yet.
    """

    def __init__(self, memory: MemoryBudget | None = None, input_memory: InputMemory | None = None) -> None:
        self._memory, self._input_memory = memory or MemoryBudget(), input_memory
        self._links: dict[str, PeerLink] = {}
        self._stops_at: float | None = None
        self._loop = asyncio.get_running_loop()

    def send(
        self,
        address: str,
        forward_request: ForwardRequest,
        deliver: Deliver,
        body: LargeBody | None = None,
    ) -> Withdraw:
        peer_link = self._links.get(address)
        if peer_link is None:
            peer_link = self._links[address] = PeerLink(address, self._memory, self._input_memory)
            if self._stops_at is not None:
                peer_link.announce_stop(self._stops_at)
        return peer_link.send(forward_request, deliver, body)

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
