"""An operator's connections to control machines, through the relay: kept open, or one for each order.

A partition holds an order back as a real network does: it arrives once the partition has ended, also if its
caller has given up meanwhile.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

from bench.soak.clients import read_response
from bench.soak.machine import Machine
from bench.soak.process import ACCEPTED
from bench.soak.world import CALL_TIMEOUT_S, OPERATOR_HOST, World
from leadrudder.emulation.standins import encoded_request

NEW_CONNECTION_FRACTION = 0.5  # of orders; the others are sent on a connection that was kept open


@dataclass(slots=True)
class OperatorConnection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def is_closed(self) -> bool:
        return self.reader.at_eof() or self.writer.is_closing()


@dataclass(slots=True)
class OperatorConnections:
    """One connection to each control machine is kept open."""

    world: World
    rng: Random
    _kept: dict[str, OperatorConnection] = field(default_factory=dict)

    async def call(self, machine: Machine, method: str, path: str) -> int:
        """Send an order; returns the status, 0 without an answer in time."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._call(machine, method, path)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self._close(machine)
            return 0

    async def _call(self, machine: Machine, method: str, path: str) -> int:
        connection = self._kept.get(machine.host)
        if connection is None or connection.is_closed() or self.rng.random() < NEW_CONNECTION_FRACTION:
            self._close(machine)
            connection = self._kept[machine.host] = await self._connect(machine)
        connection.writer.write(encoded_request(method, path, "control"))
        status, connection_closes = await read_response(connection.reader)
        if connection_closes:
            self._close(machine)
        return status

    async def _connect(self, machine: Machine) -> OperatorConnection:
        relay_host, _, relay_port = self.world.relay.address.rpartition(":")
        reader, writer = await asyncio.open_connection(relay_host, int(relay_port))
        try:
            writer.write(f"{OPERATOR_HOST} {machine.host} {self.world.base_port}\n".encode())
            if await reader.readexactly(1) != ACCEPTED:
                raise ConnectionRefusedError
        except BaseException:
            writer.close()
            raise
        return OperatorConnection(reader, writer)

    def _close(self, machine: Machine) -> None:
        connection = self._kept.pop(machine.host, None)
        if connection is not None:
            connection.writer.close()
