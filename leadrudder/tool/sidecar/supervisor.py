"""Runs the nodes of a file and the application beside them; its result is the application's exit code.

It starts the nodes, waits until each answers /ready, starts the application, and waits for its end or a
signal. A node that dies is restarted with exponential backoff. On SIGTERM or SIGINT the file's `stop` says
which side stops first: the application, so that its last calls still reach a node, or the nodes, so that they
drain while the application still responds.
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
NOT_READY_EXIT_CODE = 3  # a node was not ready in time
NOT_STARTED_EXIT_CODE = 127  # the command cannot be started, as in a shell


@dataclass(frozen=True, slots=True)
class Timeouts:
    """ready_s: until all nodes must be ready; stop_s: between SIGTERM and SIGKILL for each child."""

    ready_s: float = 30.0
    stop_s: float = 5.0


def shell_exit_code(code: int) -> int:
    """A child's exit code as a shell reports it: 128 plus the signal's number if a signal killed it."""
    return 128 - code if code < 0 else code


class Supervisor:
    """Runs one sidecar."""

    def __init__(self, file: File, command: Sequence[str], timeouts: Timeouts) -> None:
        self._file = file
        self._command = command
        self._timeouts = timeouts
        self._stopping = asyncio.Event()
        self._nodes: dict[str, ChildProcess] = {}
        self._application: ChildProcess | None = None

    async def run(self) -> int:
        """Run until the application ends or a signal arrives.

        Returns the application's exit code; NOT_READY_EXIT_CODE or NOT_STARTED_EXIT_CODE if it could not be
        started; 0 if a signal came before its start.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        guardian = await GuardianProcess.start(self._timeouts.stop_s)
        try:
            with tempfile.TemporaryDirectory(prefix="leadrudder-") as folder:
                return await self._serve(Path(folder), guardian)
        finally:
            await guardian.close()

    def _reload(self) -> None:
        """Forward SIGHUP to all children: nodes reload their configuration."""
        for child in (*self._nodes.values(), self._application):
            if child is not None:
                child.signal(signal.SIGHUP)

    async def _serve(self, folder: Path, guardian: GuardianProcess) -> int:
        rendered = render_nodes(self._file)
        node_tasks = [asyncio.create_task(self._run_node(node, folder, guardian)) for node in rendered]
        code = 0
        try:
            if not await self._wait_until_all_ready(rendered):
                return NOT_READY_EXIT_CODE if not self._stopping.is_set() else 0
            code = await self._run_application(guardian, node_tasks)
        finally:
            await self._stop_nodes(node_tasks)
        return code

    # ------------------------------------------------------------ nodes

    async def _run_node(self, node: RenderedNode, folder: Path, guardian: GuardianProcess) -> None:
        """Start a node, and restart it whenever it dies."""
        path = folder / f"{node.name}.json"
        backoff = RestartBackoff()
        while True:
            # Each start gets a new random seed from the operating system.
            path.write_text(json.dumps({**node.config, "seed": secrets.token_hex(8)}))
            started_s = time.monotonic()
            environment = {**node.environment, "NODE_CONFIG": str(path)}
            child = await ChildProcess.start((sys.executable, "-m", "leadrudder"), environment, guardian)
            self._nodes[node.name] = child
            code = await child.wait()
            del self._nodes[node.name]
            delay_s = backoff.next_delay_s(time.monotonic() - started_s)
            print(
                f"leadrudder: node {node.name} exited with code {shell_exit_code(code)};"
                f" restarting in {delay_s:g} s",
                file=sys.stderr,
            )
            await asyncio.sleep(delay_s)

    async def _wait_until_all_ready(self, rendered: Sequence[RenderedNode]) -> bool:
        """Wait until every node is ready; False on a timeout or a signal."""
        ready = asyncio.gather(*(self._wait_until_ready(node) for node in rendered))
        stopping = asyncio.ensure_future(self._stopping.wait())
        done, _ = await asyncio.wait(
            (ready, stopping), timeout=self._timeouts.ready_s, return_when=asyncio.FIRST_COMPLETED
        )
        stopping.cancel()
        if ready in done:
            return True
        ready.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await ready
        if not self._stopping.is_set():
            print(
                f"leadrudder: nodes not ready after {self._timeouts.ready_s:g} s;"
                " is the discovery service reachable?",
                file=sys.stderr,
            )
        return False

    async def _wait_until_ready(self, node: RenderedNode) -> None:
        host, _, port = node.environment["NODE_LISTEN"].rpartition(":")
        while not await self._is_ready(host.strip("[]"), int(port)):
            await asyncio.sleep(READY_POLL_S)

    @staticmethod
    async def _is_ready(host: str, port: int) -> bool:
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

    async def _run_application(self, guardian: GuardianProcess, node_tasks: list[asyncio.Task[None]]) -> int:
        try:
            child = self._application = await ChildProcess.start(self._command, {}, guardian)
        except OSError as error:
            print(f"leadrudder: {self._command[0]} cannot be started: {error.strerror}", file=sys.stderr)
            return NOT_STARTED_EXIT_CODE
        exited = asyncio.ensure_future(child.wait())
        stopping = asyncio.ensure_future(self._stopping.wait())
        await asyncio.wait((exited, stopping), return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()
        if not exited.done():
            if self._file.application.stop == "nodes-first":
                await self._stop_nodes(node_tasks)
            child.signal(signal.SIGTERM)
            done, _ = await asyncio.wait((exited,), timeout=self._timeouts.stop_s)
            if not done:
                print("leadrudder: the application did not exit after SIGTERM; killing it", file=sys.stderr)
                child.signal(signal.SIGKILL)
        return shell_exit_code(await exited)

    async def _stop_nodes(self, node_tasks: list[asyncio.Task[None]]) -> None:
        """Stop restarting nodes; those that run drain, and are killed if they do not end in time."""
        for node_task in node_tasks:
            node_task.cancel()
        await asyncio.gather(*node_tasks, return_exceptions=True)
        nodes, self._nodes = list(self._nodes.values()), {}
        await asyncio.gather(*(node.stop(self._timeouts.stop_s) for node in nodes))
