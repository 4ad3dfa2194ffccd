"""The event loop of a program, whose signal handlers leave no moment in which a signal would end the process.

An event loop gives its signals their default action back when it is closed, while the interpreter still has
to end: a SIGHUP would end the process then. This one leaves them ignored.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import uvloop

ResultT = TypeVar("ResultT")


class ProcessLoop(uvloop.Loop):
    """An event loop that lasts as long as its process, in the main thread."""

    def __init__(self) -> None:
        super().__init__()
        self._handled_signals: set[int] = set()

    def add_signal_handler(  # type: ignore[override]  # without the types of variadic arguments
        self, sig: int, callback: Callable[..., object], *arguments: Any
    ) -> None:
        """Call a function in this loop at each signal; the signal is ignored once the loop is closed."""
        self._handled_signals.add(sig)
        signal.signal(sig, lambda number, frame: self.call_soon_threadsafe(callback, *arguments))

    def remove_signal_handler(self, sig: int) -> bool:
        """Ignore a signal from now on; returns whether it was handled."""
        if sig not in self._handled_signals:
            return False
        self._handled_signals.remove(sig)
        signal.signal(sig, signal.SIG_IGN)
        return True

    def close(self) -> None:
        for sig in list(self._handled_signals):
            self.remove_signal_handler(sig)
        super().close()


def run(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run the main coroutine of a program in a ProcessLoop."""
    try:
        with asyncio.Runner(loop_factory=ProcessLoop) as runner:
            return runner.run(main)
    finally:
        main.close()  # if there was no loop to run it
