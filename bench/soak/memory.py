"""The peak memory of all processes of a soak, compared with the limit of their settings."""

from __future__ import annotations

import asyncio

from bench.peak_memory import peak_memory_mb
from bench.soak.machine import InvariantError
from bench.soak.world import MEMORY_LIMIT_MB, World

SAMPLE_INTERVAL_S = 0.3
_BYTES_PER_MB, _BYTES_PER_MIB = 1_000_000, 1024 * 1024


class MemoryWatch:
    """Reads the peak of each process from time to time, as a process that has ended tells none."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.peak_mb = 0
        self.exceeded: list[str] = []  # processes that were above their limit

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        for machine in self._world.machines:
            if machine.process is None or machine.process.returncode is not None:
                continue
            peak_mb = peak_memory_mb(machine.process.pid)
            self.peak_mb = max(self.peak_mb, peak_mb)
            if peak_mb * _BYTES_PER_MIB > MEMORY_LIMIT_MB * _BYTES_PER_MB:
                self.exceeded.append(
                    f"FAULT: {machine.role} {machine.host} used {peak_mb} MiB of {MEMORY_LIMIT_MB} MB"
                )

    def check(self) -> None:
        """InvariantError if a process was above its limit."""
        if self.exceeded:
            raise InvariantError(self.exceeded[0])
