"""Opening connections within a time, so that no protocol is left believing in a connection that is not there.

Where a process is behind, the time for a connection can run out in the same turn of the event loop in which
it comes up. The protocol has been told of it then, or is about to be, and uvloop closes the connection
without telling the protocol: it would count as up for ever, and every write would fail.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeVar


class DialedProtocol(Protocol):
    """A protocol whose connection is opened by us."""

    def on_connect_failed(self) -> None:
        """The dial has failed: a connection that came up has ended, and one that still does is closed."""


ProtocolT = TypeVar("ProtocolT", bound="DialedProtocol")


async def open_connection(make: Callable[[], ProtocolT], host: str, port: int, within_s: float) -> ProtocolT:
    """The protocol of a connection that stands.  OSError or TimeoutError where none comes up in time."""
    made: list[ProtocolT] = []

    def remembered() -> ProtocolT:
        made.append(make())
        return made[-1]

    try:
        async with asyncio.timeout(within_s):
            await asyncio.get_running_loop().create_connection(remembered, host, port)  # type: ignore[type-var]
    except BaseException:
        for each in made:
            each.on_connect_failed()
        raise
    return made[-1]
