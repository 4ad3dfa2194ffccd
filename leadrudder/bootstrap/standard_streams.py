"""Standard input, output and error that are closed when a program starts.

The next file that is opened would take their place, and the event loop aborts the process when it closes a
descriptor that belongs to a standard stream.
"""

from __future__ import annotations

import os

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_standard_streams() -> None:
    """Open the null device in the place of each closed standard stream."""
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            opened = os.open(os.devnull, os.O_RDWR)
            if opened != descriptor:
                os.dup2(opened, descriptor)
                os.close(opened)
