"""The life of a program between its start and its end, as signals ask for them."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any


async def serve_until_stopped(
    start: Coroutine[Any, Any, None],
    stopped: asyncio.Event,
    *,
    terminate: Callable[[], None],
    reload: Callable[[], None],
) -> bool:
    """Start a program, and wait until it has stopped.  False if it was terminated before it had started.

    terminate: called at SIGTERM or SIGINT, must lead to stopped; reload: called at SIGHUP.
    """
    loop = asyncio.get_running_loop()
    starting = asyncio.ensure_future(start)

    def on_sigterm() -> None:
        if starting.done():
            terminate()
        else:
            starting.cancel()

    loop.add_signal_handler(signal.SIGTERM, on_sigterm)
    loop.add_signal_handler(signal.SIGINT, on_sigterm)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await asyncio.wait([starting])
    if starting.cancelled():
        return False
    starting.result()  # raises what made the start fail
    await stopped.wait()
    return True
