"""The frames of bodies in parts: the ends of a body stream, connected to a link."""

from __future__ import annotations

from leadrudder.protocol.mesh_pb2 import BodyCredit, BodyPart, Frame
from leadrudder.transport.body_stream import BodyReceiver, BodySender
from leadrudder.transport.large_body import LargeBody
from leadrudder.transport.link import Link


def send_body(link: Link, number: int, body: LargeBody) -> BodySender:
    """The sending end of the body of a call or its response, by the call's number on the link."""

    def emit(data: bytes) -> None:
        link.send(Frame(body_part=BodyPart(number=number, data=data)))

    return BodySender(body, emit)


def receive_body(link: Link, number: int, size: int) -> BodyReceiver:
    """The receiving end of the body of a call or its response, by the call's number on the link."""

    def grant(credit_bytes: int) -> None:
        link.send(Frame(body_credit=BodyCredit(number=number, bytes=credit_bytes)))

    return BodyReceiver(size, grant)
