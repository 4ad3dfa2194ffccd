"""Signals in the time between the first line of a program and the handlers of its event loop.

Only modules that load quickly are imported here: until `handle_early_signals` is called, a SIGTERM or a
SIGHUP has its default action.
"""

from __future__ import annotations

import os
import signal
from types import FrameType

_STANDARD_ERROR = 2
TERMINATED_LINE = b"leadrudder: terminated while starting\n"


def handle_early_signals() -> None:
    """Ignore SIGHUP, and end the process with exit code 0 at a SIGTERM or SIGINT: nothing is started yet."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _end_process)
    signal.signal(signal.SIGINT, _end_process)


def _end_process(signal_number: int, frame: FrameType | None) -> None:
    # Not by an exception, which an import that is under way could suppress.
    try:
        os.write(_STANDARD_ERROR, TERMINATED_LINE)
    finally:
        os._exit(0)
