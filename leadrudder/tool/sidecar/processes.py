"""Processes that a sidecar starts, each in its own process group, which the guardian tracks."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal
import sys
from collections.abc import Sequence

PR_SET_PDEATHSIG = 1  # linux/prctl.h
# Loaded before any fork: between fork and exec, only system calls are safe.
_LIBC = ctypes.CDLL(None, use_errno=True)


def _exit_with_parent(parent_pid: int) -> None:
    """In the child: receive SIGTERM when the sidecar dies, and exit if it has died already."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGTERM, 0, 0, 0)
    if os.getppid() != parent_pid:
        os._exit(1)


class GuardianProcess:
    """The guardian process and the pipe on which it is told of process groups."""

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

    def send(self, marker: str, group: int) -> None:
        if self._process.stdin is not None and not self._process.stdin.is_closing():
            self._process.stdin.write(f"{marker}{group}\n".encode())

    async def close(self) -> None:
        """Close the pipe, so that the guardian stops the groups that remain and exits; wait for it."""
        if self._process.stdin is not None:
            self._process.stdin.close()
        await self._process.wait()


class ChildProcess:
    """One child process, the leader of its own process group."""

    def __init__(self, process: asyncio.subprocess.Process, guardian: GuardianProcess) -> None:
        self._process = process
        self._guardian = guardian
        self.pid = process.pid

    @classmethod
    async def start(
        cls, command: Sequence[str], environment: dict[str, str], guardian: GuardianProcess
    ) -> ChildProcess:
        """Start a command in its own process group; raises OSError if it cannot be started."""
        parent_pid = os.getpid()
        process = await asyncio.create_subprocess_exec(
            *command,
            env={**os.environ, **environment},
            start_new_session=True,
            preexec_fn=lambda: _exit_with_parent(parent_pid),
        )
        guardian.send("+", process.pid)
        return cls(process, guardian)

    def signal(self, number: int) -> None:
        """Send a signal to the whole process group."""
        with contextlib.suppress(ProcessLookupError):
            os.killpg(self.pid, number)

    async def wait(self) -> int:
        """Wait for its end; its exit code, or minus the number of the signal that killed it."""
        code = await self._process.wait()
        # Kills the processes that it started and left behind in its group.
        self.signal(signal.SIGKILL)
        self._guardian.send("-", self.pid)
        return code

    async def stop(self, grace_s: float) -> int:
        """Send SIGTERM, and SIGKILL if it still runs after the grace period."""
        self.signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.wait(), grace_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            return await self.wait()
