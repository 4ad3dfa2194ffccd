"""Stubs for the tests of the simulation."""

from __future__ import annotations

import asyncio
from typing import cast

from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import Network, NullObserver, VirtualTransport
from leadrudder.simulation.scheduler import Scheduler


class RecordingProtocol(asyncio.Protocol):
    """A protocol that records its callbacks."""

    def __init__(self) -> None:
        self.transport: VirtualTransport
        self.data = b""
        self.read_count = 0
        self.connected = self.eof = False
        self.lost_errors: list[Exception | None] = []
        self.pause_count = 0
        self.resume_count = 0
        self.keep_open = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(VirtualTransport, transport)
        self.connected = True

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.read_count += 1

    def eof_received(self) -> bool:
        self.eof = True
        return self.keep_open

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost_errors.append(exc)

    def pause_writing(self) -> None:
        self.pause_count += 1

    def resume_writing(self) -> None:
        self.resume_count += 1


class ConnectedPair:
    """Two processes on two hosts, and a connection between them."""

    def __init__(self, seed: str = "1") -> None:
        self.scheduler = Scheduler(seed)
        self.network = Network(self.scheduler, seed, NullObserver())
        self.errors: list[str] = []
        self.local = self.process("here", "10.0.0.1")
        self.remote = self.process("there", "10.0.0.2")
        self.client, self.server = RecordingProtocol(), RecordingProtocol()
        self.accepted = 0
        self.error: BaseException | None = None
        self.listener = self.network.listen(self.remote, self._accept, ("10.0.0.2", 80))

    def process(self, name: str, host: str) -> VirtualLoop:
        return VirtualLoop(  # type: ignore[abstract]
            name, host, self.scheduler, self.network, lambda _, text: self.errors.append(text)
        )

    def _accept(self) -> RecordingProtocol:
        self.accepted += 1
        return self.server

    def connect(self, *, run: bool = True) -> asyncio.Task[None]:
        """Starts a connection and, with run, runs until no step is left."""

        async def main() -> None:
            try:
                await self.local.create_connection(lambda: self.client, "10.0.0.2", 80)
            except OSError as error:
                self.error = error

        task = self.local.spawn(main())
        if run:
            self.run()
        return task

    def run(self, until_us: int | None = None) -> None:
        """Runs until an instant, or until no step is left."""
        while (due := self.scheduler.next_due()) is not None:
            if until_us is not None and due > until_us:
                break
            self.scheduler.run_one()
        assert not self.errors, self.errors
