"""The seam to the machine: what a node needs of it beside asyncio's event loop.

Timers, connections, listening and signals come from the running loop. Its interface has no fine clock, no
calendar, no way to look at what waits unread on a connection, and no files; those come from here. The
simulation gives a node a loop and a platform of its own, and nothing in the node knows the difference.
"""

from __future__ import annotations

import asyncio
import select
import time
from typing import Protocol


class Platform(Protocol):
    """What a node asks its machine for."""

    def monotonic(self) -> float:
        """Seconds that only advance, finer than the loop's own time."""

    def wall(self) -> float:
        """Unix time in seconds."""

    def has_unread_input(self, transport: asyncio.Transport) -> bool:
        """Whether bytes, or the peer's end, have come in on a connection and were not handed on yet."""

    def read_text(self, path: str) -> str:
        """The contents of a file in UTF-8; OSError or ValueError where there is none."""


class SystemPlatform:
    """The machine itself."""

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
