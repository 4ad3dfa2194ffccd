"""The platform interface: what a node needs from its machine besides asyncio's event loop.

Timers, connections, listening sockets and signals come from the running loop. The loop offers no fine-grained
clock, no wall clock, no check for unread input on a connection, and no files; those come from here. The
simulation gives a node its own loop and platform, and the node cannot tell the difference.
"""

from __future__ import annotations

import asyncio
import select
import time
from typing import Protocol


class Platform(Protocol):
    """The services that a node uses from its machine."""

    def monotonic(self) -> float:
        """Monotonic time in seconds, finer than the loop's own time."""

    def wall(self) -> float:
        """Unix time in seconds."""

    def has_unread_input(self, transport: asyncio.Transport) -> bool:
        """Whether bytes or the peer's close have arrived on a connection and were not processed yet."""

    def read_text(self, path: str) -> str:
        """The contents of a UTF-8 file; raises OSError or ValueError if it cannot be read."""


class SystemPlatform:
    """The real machine."""

    monotonic = staticmethod(time.monotonic)
    wall = staticmethod(time.time)

    @staticmethod
    def has_unread_input(transport: asyncio.Transport) -> bool:
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    @staticmethod
    def read_text(path: str) -> str:
        with open(path, encoding="utf-8") as file:
            return file.read()


SYSTEM: Platform = SystemPlatform()
