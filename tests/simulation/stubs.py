"""Small parts for the simulation's own tests."""

from __future__ import annotations

import asyncio
from typing import cast

from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import Network, NullObserver, VirtualTransport
from leadrudder.simulation.scheduler import Scheduler


class Side(asyncio.Protocol):
    """Remembers what happens to it; news is called with each."""

    def __init__(self) -> None:
        self.transport: VirtualTransport
        self.data = b""
        self.reads = 0
        self.made = self.end = False
        self.lost: list[Exception | None] = []
        self.paused = 0
        self.resumed = 0
        self.keep_open = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(VirtualTransport, transport)
        self.made = True

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.reads += 1

    def eof_received(self) -> bool:
        self.end = True
        return self.keep_open

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.append(exc)

    def pause_writing(self) -> None:
        self.paused += 1

    def resume_writing(self) -> None:
        self.resumed += 1


class Pair:
    """Two processes on two machines, and a connection between them."""

    def __init__(self, seed: str = "1") -> None:
        self.scheduler = Scheduler(seed)
        self.network = Network(self.scheduler, seed, NullObserver())
        self.faults: list[str] = []
        self.here = self.process("here", "10.0.0.1")
        self.there = self.process("there", "10.0.0.2")
        self.client, self.server = Side(), Side()
        self.accepted = 0
        self.error: BaseException | None = None
        self.listener = self.network.listen(self.there, self._accept, ("10.0.0.2", 80))

    def process(self, name: str, host: str) -> VirtualLoop:
        return VirtualLoop(  # type: ignore[abstract]
            name, host, self.scheduler, self.network, lambda _, text: self.faults.append(text)
        )

    def _accept(self) -> Side:
        self.accepted += 1
        return self.server

    def connect(self, *, run: bool = True) -> asyncio.Task[None]:
        """Begin a connection, and play until nothing is left to do."""

        async def main() -> None:
            try:
                await self.here.create_connection(lambda: self.client, "10.0.0.2", 80)
            except OSError as error:
                self.error = error

        task = self.here.spawn(main())
        if run:
            self.run()
        return task

    def run(self, until_us: int | None = None) -> None:
        """Play to an instant, or until nothing is left to do."""
        while (due := self.scheduler.next_due()) is not None:
            if until_us is not None and due > until_us:
                break
            self.scheduler.run_one()
        assert not self.faults, self.faults
