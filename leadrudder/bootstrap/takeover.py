"""Waits for an address or a disk that another process still holds.

A process that is being replaced holds its addresses and its disk until it has ended. A port may also be the
local port of somebody's outgoing connection.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import TypeVar

TAKEOVER_TIMEOUT_S = (
    75.0  # longer than a grace period, and than the 60 s for which a closed connection's port is kept
)
RETRY_INTERVAL_S = 0.1

ResultT = TypeVar("ResultT")


def address_in_use(error: Exception) -> bool:
    """Whether an address could not be bound because it is in use."""
    return isinstance(error, OSError) and error.errno == errno.EADDRINUSE


async def retry_while(
    in_use: Callable[[Exception], bool], take: Callable[[], Awaitable[ResultT]], log: Callable[[str], None]
) -> ResultT:
    """Try to take something until it is free; raises the last error after TAKEOVER_TIMEOUT_S.

    in_use: whether an error says that another process holds it; any other error is raised at once.
    log: called at the first failure, and when the wait is over.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    waiting = False
    while True:
        try:
            taken = await take()
        except Exception as error:
            if not in_use(error) or loop.time() - started_at >= TAKEOVER_TIMEOUT_S:
                raise
            if not waiting:
                log(f"waiting for another process: {error}")
            waiting = True
            await asyncio.sleep(RETRY_INTERVAL_S)
            continue
        if waiting:
            log(f"free after {loop.time() - started_at:.1f} s")
        return taken


async def listen_when_free(listen: Callable[[], Awaitable[ResultT]], log: Callable[[str], None]) -> ResultT:
    """Listen at an address as soon as no other process holds it."""
    return await retry_while(address_in_use, listen, log)
