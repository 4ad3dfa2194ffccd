"""Runs a blocking call beside the event loop, in a thread that does not keep the process from ending."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import TypeVar

ResultT = TypeVar("ResultT")


async def run_in_daemon_thread(function: Callable[[], ResultT]) -> ResultT:
    """The result of a call that may hang, as on a disk in trouble; the event loop goes on meanwhile.

    If the awaiting task is cancelled, the call goes on until the process ends, and its result is lost.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[ResultT] = loop.create_future()

    def finish(result: ResultT | None, error: BaseException | None) -> None:
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)  # type: ignore[arg-type]  # of the call, if there is no error

    def work() -> None:
        result, failure = None, None
        try:
            result = function()
        except BaseException as error:
            failure = error
        with suppress(RuntimeError):  # the event loop has ended
            loop.call_soon_threadsafe(finish, result, failure)

    threading.Thread(target=work, name="blocking call", daemon=True).start()
    return await future
