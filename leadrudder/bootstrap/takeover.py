"""Waits for what a program needs and cannot have yet: addresses and its disk.

A process that is being replaced holds its addresses and its disk until it has ended. A port may also be the
local port of somebody's outgoing connection, a machine may get its address late, and a disk may report errors
for a while.
"""

from __future__ import annotations

import asyncio
import errno
import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

from leadrudder.storage.store import DiskError, DiskInUseError, UnusableDiskError
from leadrudder.transport.api_server import ApiRequest, ApiResponse
from leadrudder.transport.http import RETRY_AFTER_HEADER

TAKEOVER_TIMEOUT_S = (
    75.0  # longer than a grace period, and than the 60 s for which a closed connection's port is kept
)
RETRY_INTERVAL_S = 0.1
LOG_INTERVAL_S = 5.0
_ABSENT_ADDRESS_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)

ResultT = TypeVar("ResultT")


def address_unavailable(error: Exception) -> bool:
    """Whether an address could not be bound because it is in use, or not there yet."""
    return isinstance(error, OSError) and error.errno in _ABSENT_ADDRESS_ERRORS


def disk_in_trouble(error: Exception) -> bool:
    """Whether the disk reports errors, which may pass."""
    return isinstance(error, DiskError) and not isinstance(error, DiskInUseError | UnusableDiskError)


def describe(error: Exception) -> str:
    """What has to happen before something can be had."""
    if isinstance(error, DiskInUseError) or (isinstance(error, OSError) and error.errno == errno.EADDRINUSE):
        return f"another process: {error}"
    return f"the {'disk' if isinstance(error, DiskError) else 'address'}: {error}"


class Startup:
    """What a program waits for while it starts, in its log and for those who ask whether it is ready."""

    def __init__(self, log: Callable[[str], None]) -> None:
        self.finished = False
        self._log = log
        self._waiting_for = ""
        self._logged_at = -math.inf

    def waiting(self, reason: str) -> None:
        """Something cannot be had yet; logged at first and then every LOG_INTERVAL_S."""
        now = asyncio.get_running_loop().time()
        text = f"waiting for {reason}"
        if text != self._waiting_for or now - self._logged_at >= LOG_INTERVAL_S:
            self._waiting_for, self._logged_at = text, now
            self._log(text)

    def obtained(self, after_s: float) -> None:
        """What was waited for is there."""
        self._waiting_for = ""
        self._log(f"free after {after_s:.1f} s")

    def respond(self, request: ApiRequest) -> ApiResponse:
        """The response to any API request during the start."""
        text = f"starting{', ' if self._waiting_for else ''}{self._waiting_for}\n"
        return ApiResponse(503, text.encode(), RETRY_AFTER_HEADER)

    async def listen(self, listen: Callable[[], Awaitable[ResultT]]) -> ResultT:
        """Listen at an address as soon as it can be had; raises OSError after TAKEOVER_TIMEOUT_S."""
        return await self.retry_while(address_unavailable, listen, TAKEOVER_TIMEOUT_S)

    async def open_disk(self, open_disk: Callable[[], Awaitable[ResultT]]) -> ResultT:
        """Open the disk as soon as it is free and reports no errors.

        Raises DiskInUseError after TAKEOVER_TIMEOUT_S, UnusableDiskError at once.
        """

        async def open_when_free() -> ResultT:
            return await self.retry_while(
                lambda error: isinstance(error, DiskInUseError), open_disk, TAKEOVER_TIMEOUT_S
            )

        return await self.retry_while(disk_in_trouble, open_when_free)

    async def retry_while(
        self,
        is_passing: Callable[[Exception], bool],
        take: Callable[[], Awaitable[ResultT]],
        timeout_s: float = math.inf,
    ) -> ResultT:
        """Try to take something until that succeeds; raises the last error after the timeout.

        is_passing: whether an error may go away by itself; any other error is raised at once.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        is_waiting = False
        while True:
            try:
                taken = await take()
            except Exception as error:
                if not is_passing(error) or loop.time() - started_at >= timeout_s:
                    raise
                is_waiting = True
                self.waiting(describe(error))
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            if is_waiting:
                self.obtained(loop.time() - started_at)
            return taken
