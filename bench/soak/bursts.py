"""Bursts of long requests to a data-plane node shortly before its SIGTERM, and the check that none is lost.

There are more of them than slots, so that some wait in the queues of other nodes when the signal comes. Their
deadline is after the end of the grace period. Times are seconds on the event loop's clock.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Sequence, Set
from dataclasses import dataclass, field
from random import Random

from bench.soak.clients import ObservedRequest, send_observed
from bench.soak.evacuations import CONTACT_S, FaultSpan
from bench.soak.machine import InvariantError, Machine
from bench.soak.world import LONG_REQUESTS

BURST_SIZE_RANGE = (20, 40)  # requests; two servers have nine slots each
SIGTERM_DELAY_RANGE_S = (0.05, 0.6)  # from the burst to the signal
LOSS_SLACK_S = 0.2  # after its last byte, by which a request that is cut off has been read


@dataclass(frozen=True, slots=True)
class Burst:
    """The requests of one burst; machine: the one that gets SIGTERM."""

    machine: Machine
    requests: list[ObservedRequest]


@dataclass(eq=False)
class BurstClients:
    """Sends the bursts.  port: where data-plane nodes take client requests."""

    port: int
    rng: Random
    bursts: list[Burst] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def send_burst(self, machine: Machine) -> None:
        """Send a burst to a machine; returns when its process is to get SIGTERM."""
        name = f"b-{machine.host}-{len(self.bursts)}"
        loop = asyncio.get_running_loop()
        burst = Burst(machine, [])
        self.bursts.append(burst)
        for i in range(self.rng.randint(*BURST_SIZE_RANGE)):
            sent = ObservedRequest(f"{name}-{i}", LONG_REQUESTS.once, loop.time())
            burst.requests.append(sent)
            self._tasks.append(loop.create_task(self._send(machine, sent)))
        await asyncio.sleep(self.rng.uniform(*SIGTERM_DELAY_RANGE_S))

    async def _send(self, machine: Machine, sent: ObservedRequest) -> None:
        try:
            reader, writer = await asyncio.open_connection(machine.host, self.port)
        except OSError:
            return  # the process has read nothing
        try:
            await send_observed(reader, writer, LONG_REQUESTS, sent)
        finally:
            writer.close()

    async def wait_for_answers(self) -> None:
        """Returns once every request has been answered, cut off or given up."""
        await asyncio.gather(*self._tasks)


def lost_requests(
    bursts: Sequence[Burst], arrived: Set[str], faults: Collection[FaultSpan], node_hosts: Set[str]
) -> list[str]:
    """Requests that a process read, that reached no server, and whose connection ended without an answer.

    arrived: the ids that reached servers. Only requests during whose time no fault but a SIGTERM or SIGHUP
    affected a data-plane node are counted.
    """
    unplanned = [span for span in faults if span.host in node_hosts and not span.planned]
    return [
        f"{sent.id} was cut off {sent.lost_at - sent.sent_at:.2f} s after it was sent and reached no server"
        for burst in bursts
        for sent in burst.requests
        if sent.lost_at > sent.sent_at + LOSS_SLACK_S
        and sent.id not in arrived
        and not any(
            span.started_at <= sent.lost_at and sent.sent_at - CONTACT_S <= span.ended_at
            for span in unplanned
        )
    ]


def check_bursts(
    bursts: Sequence[Burst], arrived: Set[str], faults: Collection[FaultSpan], node_hosts: Set[str]
) -> None:
    """InvariantError if a request of a burst is lost."""
    lost = lost_requests(bursts, arrived, faults, node_hosts)
    if lost:
        raise InvariantError(f"LOST: {len(lost)} requests, the first: {lost[0]}")
