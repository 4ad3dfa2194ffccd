"""python -m leadrudder.tool.sidecar.guardian: ends what a sidecar leaves behind when it is killed outright.

It reads process groups from standard input, `+GROUP` when one begins and `-GROUP` when it is over. The end
of the
input means that the sidecar is gone, however it went: groups that are left get SIGTERM, and SIGKILL after a
grace
(seconds, the one argument). It needs no privileges, and outlives signals that are meant for the sidecar.
"""

from __future__ import annotations

import contextlib
import os
import signal
import sys
import time
from collections.abc import Iterable

LOOK_S = 0.05


def alive(groups: Iterable[int]) -> list[int]:
    """Those groups that have a process."""
    found = []
    for group in groups:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(group, 0)
            found.append(group)
    return found


def end(groups: Iterable[int], grace_s: float) -> None:
    """SIGTERM, and SIGKILL for what is left after the grace."""
    left = alive(groups)
    for group in left:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(group, signal.SIGTERM)
    until = time.monotonic() + grace_s
    while (left := alive(left)) and time.monotonic() < until:
        time.sleep(LOOK_S)
    for group in left:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(group, signal.SIGKILL)


def main() -> int:
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    groups: dict[int, None] = {}
    for line in sys.stdin:
        group = int(line[1:])
        if line[0] == "+":
            groups[group] = None
        else:
            groups.pop(group, None)
    end(groups, float(sys.argv[1]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
