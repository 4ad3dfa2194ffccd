"""Starts the nodes of a file and the application beside them, and ends with the application's exit code.

In this order: the nodes, until each has answered /ready; the application; its end, or a signal. A node that
dies is
started again after a pause that grows. On SIGTERM or SIGINT the file's `stop` says who goes first: the
application, so that its last calls find a node, or the nodes, so that they drain while it still answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
import signal
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from leadrudder.tool.model import File
from leadrudder.tool.render import RenderedNode, render_nodes
from leadrudder.tool.sidecar.backoff import RestartBackoff
from leadrudder.tool.sidecar.processes import ChildProcess, GuardianProcess

READY_POLL_S = 0.05
NOT_READY_EXIT_CODE = 3  # exit code: a node was not ready in time
NOT_STARTED_EXIT_CODE = 127  # exit code, as a shell's: the command cannot be started


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Seconds. ready_s: for the nodes' start; stop_s: that a child has after SIGTERM."""

    ready_s: float = 30.0
    stop_s: float = 5.0


def shell_exit_code(code: int) -> int:
    """A child's exit code as a shell tells it: 128 and the signal's number where one killed it."""
    return 128 - code if code < 0 else code


class Supervisor:
    """One sidecar."""

    def __init__(self, file: File, command: Sequence[str], terms: Timeouts) -> None:
        self._file = file
        self._command = command
        self._terms = terms
        self._stopping = asyncio.Event()
        self._nodes: dict[str, ChildProcess] = {}
        self._application: ChildProcess | None = None

    async def run(self) -> int:
        """The application's exit code, or why it was not started."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        guard = await GuardianProcess.start(self._terms.stop_s)
        try:
            with tempfile.TemporaryDirectory(prefix="leadrudder-") as folder:
                return await self._serve(Path(folder), guard)
        finally:
            await guard.close()

    def _reload(self) -> None:
        """SIGHUP goes on to all: nodes look at their configuration again, applications do as they do."""
        for child in (*self._nodes.values(), self._application):
            if child is not None:
                child.signal(signal.SIGHUP)

    async def _serve(self, folder: Path, guard: GuardianProcess) -> int:
        rendered = render_nodes(self._file)
        keepers = [asyncio.create_task(self._keep(node, folder, guard)) for node in rendered]
        code = 0
        try:
            if not await self._all_ready(rendered):
                return NOT_READY_EXIT_CODE if not self._stopping.is_set() else 0
            code = await self._run_application(guard, keepers)
        finally:
            await self._end_nodes(keepers)
        return code

    # ------------------------------------------------------------ nodes

    async def _keep(self, node: RenderedNode, folder: Path, guard: GuardianProcess) -> None:
        """Start a node, and again whenever it dies."""
        path = folder / f"{node.name}.json"
        pauses = RestartBackoff()
        while True:
            # A new seed for each start, as the platform gives it.
            path.write_text(json.dumps({**node.config, "seed": secrets.token_hex(8)}))
            began = time.monotonic()
            environment = {**node.environment, "NODE_CONFIG": str(path)}
            child = await ChildProcess.start((sys.executable, "-m", "leadrudder"), environment, guard)
            self._nodes[node.name] = child
            code = await child.wait()
            del self._nodes[node.name]
            pause = pauses.next_delay_s(time.monotonic() - began)
            print(
                f"leadrudder: node {node.name} ended with {shell_exit_code(code)},"
                f" starts again in {pause:g} s",
                file=sys.stderr,
            )
            await asyncio.sleep(pause)

    async def _all_ready(self, rendered: Sequence[RenderedNode]) -> bool:
        """Wait for /ready of each node; False when the time is over, or at a signal."""
        ready = asyncio.gather(*(self._ready(node) for node in rendered))
        stopping = asyncio.ensure_future(self._stopping.wait())
        done, _ = await asyncio.wait(
            (ready, stopping), timeout=self._terms.ready_s, return_when=asyncio.FIRST_COMPLETED
        )
        stopping.cancel()
        if ready in done:
            return True
        ready.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await ready
        if not self._stopping.is_set():
            print(
                f"leadrudder: not ready after {self._terms.ready_s:g} s; is discovery there?", file=sys.stderr
            )
        return False

    async def _ready(self, node: RenderedNode) -> None:
        host, _, port = node.environment["NODE_LISTEN"].rpartition(":")
        while not await self._answers(host.strip("[]"), int(port)):
            await asyncio.sleep(READY_POLL_S)

    @staticmethod
    async def _answers(host: str, port: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n\r\n")
            return (await reader.readline()).startswith(b"HTTP/1.1 200")
        except OSError:
            return False
        finally:
            writer.close()

    # ------------------------------------------------------------ the application

    async def _run_application(self, guard: GuardianProcess, keepers: list[asyncio.Task[None]]) -> int:
        try:
            child = self._application = await ChildProcess.start(self._command, {}, guard)
        except OSError as error:
            print(f"leadrudder: {self._command[0]} cannot be started: {error.strerror}", file=sys.stderr)
            return NOT_STARTED_EXIT_CODE
        ended = asyncio.ensure_future(child.wait())
        stopping = asyncio.ensure_future(self._stopping.wait())
        await asyncio.wait((ended, stopping), return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()
        if not ended.done():
            if self._file.application.stop == "nodes-first":
                await self._end_nodes(keepers)
            child.signal(signal.SIGTERM)
            done, _ = await asyncio.wait((ended,), timeout=self._terms.stop_s)
            if not done:
                print("leadrudder: the application ignores SIGTERM and is killed", file=sys.stderr)
                child.signal(signal.SIGKILL)
        return shell_exit_code(await ended)

    async def _end_nodes(self, keepers: list[asyncio.Task[None]]) -> None:
        """No node is started again; those that are there drain, and are killed where they do not."""
        for keeper in keepers:
            keeper.cancel()
        await asyncio.gather(*keepers, return_exceptions=True)
        nodes, self._nodes = list(self._nodes.values()), {}
        await asyncio.gather(*(node.stop(self._terms.stop_s) for node in nodes))
