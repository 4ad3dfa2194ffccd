"""A small deployment that is ready to serve: three core machines, and machines with a server each."""

from __future__ import annotations

import threading
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from small_mesh.deployment import (
    APPLICATION,
    BEAT_INTERVAL_S,
    CONTROL,
    READINESS,
    Deployment,
    Machine,
    wait_until,
)
from small_mesh.operator import Operator, call_once
from small_mesh.record import Record
from small_mesh.server import Server

START_TIMEOUT_S = 30.0


@dataclass
class Fleet:
    """side_names: machines with a server each, all in zones of their own; services: those that they run."""

    mesh: Deployment
    record: Record
    prefix: str  # of the loopback addresses, such as 127.84
    side_names: Sequence[str]
    services: Sequence[str] = ()  # "service" on each machine if left out
    core: list[Machine] = field(default_factory=list)
    sides: list[Machine] = field(default_factory=list)
    servers: list[Server] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._stopped = threading.Event()
        self.core = [
            self.mesh.add(f"core-{i}", "signalbox", f"{self.prefix}.{i}.1", "zone-a") for i in range(1, 4)
        ]
        self.mesh.seed_ips = tuple(machine.ip for machine in self.core)
        self.sides = [
            self.mesh.add(f"side-{name}", "station", f"{self.prefix}.1{i}.1", f"zone-{name}", service)
            for i, (name, service) in enumerate(
                zip(self.side_names, self.services or ("service",) * len(self.side_names), strict=True)
            )
        ]
        self.operator = Operator([self.mesh.address(m, CONTROL) for m in self.core], self.record)

    def start(self, items: dict[str, Any]) -> bool:
        """Start all machines and servers; whether they serve."""
        for machine in [*self.core, *self.sides]:
            self.mesh.start(machine)
        if self.operator.order("PATCH", "/config", items, START_TIMEOUT_S).status != 200:
            return False
        return self.start_servers() and self.is_ready()

    def start_servers(self) -> bool:
        """Start a server on each machine that has one; whether all are known to their nodes."""
        self.servers = [self.new_server(machine, f"i-{machine.name}") for machine in self.sides]
        return all(server.register() for server in self.servers)

    def new_server(self, machine: Machine, server_id: str, **figures: Any) -> Server:
        """A server at the application address of a machine."""
        address, node = self.mesh.address(machine, APPLICATION), self.mesh.address(machine, CONTROL)
        return Server(server_id, machine.service, machine.zone, address, node, self.record, **figures)

    def is_ready(self) -> bool:
        ready = [self.mesh.address(machine, READINESS) for machine in self.sides]
        return wait_until(
            lambda: all(call_once(each, "GET", "/ready").status == 200 for each in ready), START_TIMEOUT_S
        )

    def beat(self, servers: Sequence[Server]) -> None:
        """Send the beats of these servers on time from now on."""

        def send() -> None:
            while not self._stopped.wait(BEAT_INTERVAL_S):
                for server in servers:
                    server.send_beat(server.compose_beat())

        threading.Thread(target=send, daemon=True).start()

    def stop(self) -> None:
        self._stopped.set()
