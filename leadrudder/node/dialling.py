"""Opens connections with a timeout, without leaving a protocol attached to a connection that is gone.

In an overloaded process the timeout can pass in the same iteration of the event loop in which the connection
is established. The protocol then has been told of the connection, or is about to be, and uvloop closes it
without calling connection_lost: it would count as open for ever, and every write would fail.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol, TypeVar


class DialedProtocol(Protocol):
    """A protocol for outgoing connections."""

    def on_connect_failed(self) -> None:
        """Handle a failed connect: an established connection is gone, and a later one must be closed."""


ProtocolT = TypeVar("ProtocolT", bound="DialedProtocol")


async def open_connection(
    create_protocol: Callable[[], ProtocolT], host: str, port: int, timeout_s: float
) -> ProtocolT:
    """Connect and return the protocol; raises OSError or TimeoutError if that fails or takes too long."""
    protocols: list[ProtocolT] = []

    def create_and_record() -> ProtocolT:
        protocols.append(create_protocol())
        return protocols[-1]

    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().create_connection(create_and_record, host, port)  # type: ignore[type-var]
    except BaseException:
        for protocol in protocols:
            protocol.on_connect_failed()
        raise
    return protocols[-1]


def share_local_port(transport: asyncio.BaseTransport) -> None:
    """Let a program listen at the local port of an outgoing connection, while that is open and after it.

    The kernel chooses the port, and may choose one at which a program on this machine listens next.
    """
    connected_socket = transport.get_extra_info("socket")
    if connected_socket is not None:
        connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
