"""Calls from other data-plane nodes: one response to each, over the link that it came from."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from leadrudder.data_plane.admission_queue import CallOrigin
from leadrudder.data_plane.body_frames import receive_body, send_body
from leadrudder.data_plane.endpoint_discovery import EndpointDiscovery
from leadrudder.data_plane.inbound import InboundProxy, Withdraw, no_withdrawal
from leadrudder.observability.loop_lag import OVERLOAD_LAG_S, LoopLag
from leadrudder.protocol.mesh_pb2 import (
    BodyCredit,
    ForwardRequest,
    ForwardResponse,
    Frame,
    PartsAccepted,
    StopNotice,
)
from leadrudder.protocol.outcome import Executed
from leadrudder.transport.body_stream import BodyReceiver, BodySender
from leadrudder.transport.large_body import LargeBody
from leadrudder.transport.link import IDLE_ACCEPTOR_PING_INTERVAL_S, PING_INTERVAL_S, Link

REFUSED_OVERLOADED = "behind"  # refusal reason: this process is overloaded


@dataclass(frozen=True, slots=True)
class LargeResponse:
    """The large body of a response that is being sent."""

    body: LargeBody
    sender: BodySender


@dataclass(slots=True)
class OpenCalls:
    """The calls of one link that have no complete response yet, by their number on the link."""

    origin: CallOrigin = field(default_factory=CallOrigin)
    withdrawals: dict[int, Withdraw] = field(default_factory=dict)
    uploads: dict[int, BodyReceiver] = field(default_factory=dict)  # large bodies of calls
    large_responses: dict[int, LargeResponse] = field(default_factory=dict)

    def end_streams(self, number: int) -> None:
        """A call has been withdrawn: neither its body nor that of its response is wanted any more."""
        upload = self.uploads.pop(number, None)
        if upload is not None:
            upload.break_off()
        large_response = self.large_responses.pop(number, None)
        if large_response is not None:
            large_response.sender.stop()
            large_response.body.release()


class IncomingCalls:
    """Handles the links that other data-plane nodes dial.  lag: the delay of the event loop."""

    def __init__(self, inbound: InboundProxy, discovery: EndpointDiscovery, lag: LoopLag) -> None:
        self.calls_shed = 0  # refused because this process was overloaded, since it started
        self._inbound, self._discovery, self._lag = inbound, discovery, lag
        self._open_calls: dict[Link, OpenCalls] = {}
        self._loop = asyncio.get_running_loop()

    def on_up(self, link: Link) -> None:
        self._open_calls[link] = OpenCalls()
        link.send(Frame(parts_accepted=PartsAccepted()))
        link.ping_interval_s = IDLE_ACCEPTOR_PING_INTERVAL_S

    def on_down(self, link: Link) -> None:
        """The origin is gone: its queued calls are dropped."""
        self._discovery.unsubscribe(link)
        open_calls = self._open_calls.pop(link, None)
        if open_calls is not None:
            for withdraw in list(open_calls.withdrawals.values()):
                withdraw(False)
            for number in [*open_calls.uploads, *open_calls.large_responses]:
                open_calls.end_streams(number)

    def on_frame(self, link: Link, frame: Frame) -> None:
        open_calls = self._open_calls.get(link)
        if open_calls is None:
            return
        kind = frame.WhichOneof("body")
        if kind == "waybill":
            self._on_call(link, open_calls, frame.waybill)
        elif kind == "subscribe":
            link.ping_interval_s = PING_INTERVAL_S
            self._discovery.subscribe(link, frozenset(frame.subscribe.services))
        elif kind == "withdrawal":
            withdraw = open_calls.withdrawals.pop(frame.withdrawal.number, no_withdrawal)
            withdraw(frame.withdrawal.client_left)
            open_calls.end_streams(frame.withdrawal.number)
        elif kind == "body_part":
            upload = open_calls.uploads.get(frame.body_part.number)
            if upload is not None:
                upload.on_part(frame.body_part.data)
        elif kind == "body_credit":
            self._send_response_body(open_calls, frame.body_credit)
        elif kind == "stopping":
            self._on_origin_stopping(open_calls.origin, frame.stopping)

    def _on_call(self, link: Link, open_calls: OpenCalls, forward_request: ForwardRequest) -> None:
        number, withdrawals = forward_request.number, open_calls.withdrawals
        upload = None
        if forward_request.body_bytes:
            upload = open_calls.uploads[number] = receive_body(link, number, forward_request.body_bytes)

        def deliver(response: ForwardResponse, large_body: LargeBody | None = None) -> None:
            is_awaited = withdrawals.pop(number, None) is not None
            open_calls.uploads.pop(number, None)
            if not withdrawals and not self._discovery.has_subscriber(link):
                link.ping_interval_s = IDLE_ACCEPTOR_PING_INTERVAL_S
            response.number = number
            if large_body is not None and not is_awaited:
                large_body.release()  # the origin has withdrawn the call and asks for nothing more
            elif large_body is not None:
                self._announce_body(link, open_calls, forward_request, response, large_body)
            link.send(Frame(delivery=response))

        late_s = self._lag.seconds()
        if late_s > OVERLOAD_LAG_S:
            self.calls_shed += 1
            deliver(ForwardResponse(ran=Executed.NEVER, why=REFUSED_OVERLOADED, retry_ms=1000.0 * late_s))
            return
        forward_request.left_ms -= 1000.0 * late_s  # time already spent waiting for the event loop
        withdrawals[number] = no_withdrawal
        link.ping_interval_s = PING_INTERVAL_S  # the caller waits for a response and checks liveness
        withdraw = self._inbound.handle(forward_request, deliver, open_calls.origin, upload)
        if number in withdrawals:
            withdrawals[number] = withdraw

    def _announce_body(
        self,
        link: Link,
        open_calls: OpenCalls,
        forward_request: ForwardRequest,
        response: ForwardResponse,
        body: LargeBody,
    ) -> None:
        """Prepare the response for its large body: in parts, if the origin takes these and is still there."""
        number = forward_request.number
        if not forward_request.accepts_parts:
            response.body = body.read_all()
            body.release()
        elif self._open_calls.get(link) is open_calls:
            response.body_bytes = body.size
            open_calls.large_responses[number] = LargeResponse(body, send_body(link, number, body))
        else:
            body.release()

    def _send_response_body(self, open_calls: OpenCalls, credit: BodyCredit) -> None:
        large_response = open_calls.large_responses.get(credit.number)
        if large_response is None:
            return
        large_response.sender.on_credit(credit.bytes)
        if large_response.sender.complete:
            open_calls.end_streams(credit.number)

    def _on_origin_stopping(self, origin: CallOrigin, notice: StopNotice) -> None:
        """Queued calls of a node that shuts down are refused while it can still answer its clients."""
        origin.stops_at = self._loop.time() - self._lag.seconds() + notice.left_ms / 1000.0
        self._inbound.process_queue()
