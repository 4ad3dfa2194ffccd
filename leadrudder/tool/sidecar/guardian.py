"""python -m leadrudder.tool.sidecar.guardian: stops the processes that a killed sidecar leaves behind.

It reads process groups from standard input, `+GROUP` when one starts and `-GROUP` when it has ended. The end
of the input means that the sidecar is gone, for whatever reason: the groups that remain get SIGTERM, and
SIGKILL after a grace period (in seconds, the only argument). It needs no privileges and ignores the signals
that are meant for the sidecar.
"""

from __future__ import annotations

import contextlib
import os
import signal
import sys
import time
from collections.abc import Iterable

POLL_INTERVAL_S = 0.05


def groups_alive(groups: Iterable[int]) -> list[int]:
    """The groups that still have a process."""
    alive = []
    for group in groups:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(group, 0)
            alive.append(group)
    return alive


def stop_groups(groups: Iterable[int], grace_s: float) -> None:
    """Send SIGTERM to all groups, and SIGKILL to those that remain after the grace period."""
    remaining = groups_alive(groups)
    for group in remaining:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(group, signal.SIGTERM)
    deadline_s = time.monotonic() + grace_s
    while (remaining := groups_alive(remaining)) and time.monotonic() < deadline_s:
        time.sleep(POLL_INTERVAL_S)
    for group in remaining:
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
    stop_groups(groups, float(sys.argv[1]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
