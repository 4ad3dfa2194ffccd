"""Clients that do not behave, beside all others: small crowds that come again when they are closed."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from bench.misbehaving import (
    Crowd,
    Payload,
    chunked_body,
    declared_body,
    long_trailer,
    many_trailers,
    nested_json,
    nothing,
    repeated_name,
    short_names,
    unfinished_frame,
)
from bench.soak.world import World

CROWD_SIZES = (5, 40)  # from, to
STAY_S = (0.5, 3.0)  # from, to
PAUSE_S = (0.2, 1.5)  # between two crowds
HTTP_PAYLOADS: Sequence[Payload] = (
    short_names,
    repeated_name,
    declared_body(16_000),
    declared_body(6_000_000),
    chunked_body(16_000, 2),
    chunked_body(60_000, 1),
    chunked_body(6_000_000, 3_000_000),
    many_trailers,
    long_trailer,
    nested_json(b"PATCH", b"/config", 40_000),
    nothing,
)
LINK_PAYLOADS: Sequence[Payload] = (unfinished_frame, nothing)


@dataclass(eq=False)
class MisbehavingClients:
    """One crowd after the other, each at an address that is drawn."""

    world: World
    rng: Random
    crowds: int = 0

    async def play_until(self, end: float) -> None:
        """Play crowds until a time of the loop's clock."""
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            crowd = self._draw()
            self.crowds += 1
            arrival = asyncio.ensure_future(crowd.arrive())
            await asyncio.sleep(self.rng.uniform(*STAY_S))
            arrival.cancel()
            await crowd.leave()
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))

    def _draw(self) -> Crowd:
        """A crowd at the clients' address, control port, readiness address or link port of a machine."""
        machine = self.rng.choice(self.world.machines)
        base_port = self.world.base_port
        is_node = machine in self.world.node_machines
        link_port = base_port + (5 if is_node else 4)
        node_ports = [base_port + 2, base_port + 2, base_port + 3] if is_node else []  # clients, readiness
        port = self.rng.choice([base_port, link_port, *node_ports])
        payload = self.rng.choice(LINK_PAYLOADS if port == link_port else HTTP_PAYLOADS)
        size = self.rng.randint(*CROWD_SIZES)
        return Crowd((machine.host, port), size, payload, comes_again=True)
