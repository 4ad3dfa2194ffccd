"""Processes that a sidecar starts: each in a group of its own, known to the guardian from start to end."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal
import sys
from collections.abc import Sequence

PR_SET_PDEATHSIG = 1  # linux/prctl.h
# Loaded before any fork: between fork and exec only a system call may be made.
_LIBC = ctypes.CDLL(None, use_errno=True)


def _die_with(parent: int) -> None:
    """In the child: be killed when the sidecar dies, also if it did so just now."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGTERM, 0, 0, 0)
    if os.getppid() != parent:
        os._exit(1)


class GuardianProcess:
    """The guardian's process, and what it is told."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process

    @classmethod
    async def start(cls, grace_s: float) -> GuardianProcess:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "leadrudder.tool.sidecar.guardian",
            str(grace_s),
            stdin=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        return cls(process)

    def send(self, sign: str, group: int) -> None:
        if self._process.stdin is not None and not self._process.stdin.is_closing():
            self._process.stdin.write(f"{sign}{group}\n".encode())

    async def close(self) -> None:
        """It ends what is left of the groups that are not over, and itself."""
        if self._process.stdin is not None:
            self._process.stdin.close()
        await self._process.wait()


class ChildProcess:
    """One child, the leader of its process group."""

    def __init__(self, process: asyncio.subprocess.Process, guard: GuardianProcess) -> None:
        self._process = process
        self._guard = guard
        self.pid = process.pid

    @classmethod
    async def start(
        cls, command: Sequence[str], environment: dict[str, str], guard: GuardianProcess
    ) -> ChildProcess:
        """OSError where the command cannot be started."""
        parent = os.getpid()
        process = await asyncio.create_subprocess_exec(
            *command,
            env={**os.environ, **environment},
            start_new_session=True,
            preexec_fn=lambda: _die_with(parent),
        )
        guard.send("+", process.pid)
        return cls(process, guard)

    def signal(self, number: int) -> None:
        """To its whole group."""
        with contextlib.suppress(ProcessLookupError):
            os.killpg(self.pid, number)

    async def wait(self) -> int:
        """Its exit code; minus the number of the signal that killed it."""
        code = await self._process.wait()
        # What it started itself and left behind in its group is ended with it.
        self.signal(signal.SIGKILL)
        self._guard.send("-", self.pid)
        return code

    async def stop(self, grace_s: float) -> int:
        """SIGTERM, and SIGKILL where that is ignored for so long."""
        self.signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.wait(), grace_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            return await self.wait()
