"""The operator who evacuates zones during a soak, and the check that an evacuated zone gets no requests.

Orders come in series: some follow each other at once, so that they overlap with faults, and some stand long
enough for the rule to bind. Times are seconds on the event loop's clock of the soak's own process.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from bench.soak.machine import Arrival, InvariantError, Machine
from bench.soak.operator_connections import OperatorConnections
from bench.soak.world import World

EMPTY_ZONE_S = 5.0  # from the acknowledgement, after which the zone gets no request
STRETCH_S = 8.0  # longer, while control machines have faults
CONTACT_S = 3.0  # after a fault, until the machine or the control plane counts as undisturbed
DISTURBED_FIRST_FRACTION = 0.7  # of orders, which are sent first to a machine with an active fault, if any
MAX_ORDER_ATTEMPTS = 400
ORDER_RETRY_DELAY_S = 0.1
MAX_SERIES_LENGTH = 4  # orders that follow each other at short intervals
SHORT_HOLD_S = (0.05, 1.2)
LONG_HOLD_S = (6.0, 9.0)


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """A fault as injected.  host: empty if it affects no machine's processes or links; planned: a signal."""

    host: str
    started_at: float
    ended_at: float
    planned: bool = False


@dataclass(slots=True)
class Order:
    """An order to evacuate a zone or to take that back.  acknowledged_at: infinite until it is."""

    zone: str
    evacuate: bool
    sent_at: float
    acknowledged_at: float = float("inf")
    attempts: int = 0


@dataclass(slots=True)
class EvacuationOperator:
    """Gives one order after another, each until it is acknowledged.

    disturbed_hosts: those with an active fault, kept up to date by the fault injector.
    """

    world: World
    rng: Random
    disturbed_hosts: Collection[str] = ()
    orders: list[Order] = field(default_factory=list)
    _connections: OperatorConnections = field(init=False)

    def __post_init__(self) -> None:
        self._connections = OperatorConnections(self.world, self.rng)

    async def run_until(self, end: float) -> None:
        """Evacuate one zone at a time, so that each service keeps a server.  The last evacuation stays."""
        loop = asyncio.get_running_loop()
        zones = sorted({machine.zone_name for machine in self.world.node_machines})
        while loop.time() < end:
            zone = self.rng.choice(zones)
            for _ in range(self.rng.randint(0, MAX_SERIES_LENGTH)):
                await self._evacuate_and_take_back(zone, SHORT_HOLD_S)
                await asyncio.sleep(self.rng.uniform(*SHORT_HOLD_S))
            await self._give_order(zone, evacuate=True)
            if loop.time() < end:
                await asyncio.sleep(self.rng.uniform(*LONG_HOLD_S))
                if loop.time() < end:
                    await self._give_order(zone, evacuate=False)

    async def _evacuate_and_take_back(self, zone: str, hold_s: tuple[float, float]) -> None:
        await self._give_order(zone, evacuate=True)
        await asyncio.sleep(self.rng.uniform(*hold_s))
        await self._give_order(zone, evacuate=False)

    async def _give_order(self, zone: str, *, evacuate: bool) -> None:
        loop = asyncio.get_running_loop()
        order = Order(zone, evacuate, loop.time())
        self.orders.append(order)
        machines = self._machines_to_ask()
        method = "POST" if evacuate else "DELETE"
        for i in range(MAX_ORDER_ATTEMPTS):
            order.attempts += 1
            machine = machines[i % len(machines)]
            status = await self._connections.call(machine, method, f"/evacuate/{zone}")
            self.world.log.add(f"{method} /evacuate/{zone} at {machine.host}: {status or 'no answer'}")
            if status == 200:
                order.acknowledged_at = loop.time()
                return
            if 400 <= status < 500:
                raise InvariantError(f"a proper order was refused with {status}")
            await asyncio.sleep(ORDER_RETRY_DELAY_S)
        raise InvariantError("an order was never acknowledged")

    def _machines_to_ask(self) -> list[Machine]:
        machines = list(self.world.control_machines)
        self.rng.shuffle(machines)
        if self.rng.random() < DISTURBED_FIRST_FRACTION:
            machines.sort(key=lambda machine: machine.host not in self.disturbed_hosts)
        return machines

    def evacuated_zones(self) -> frozenset[str]:
        """The zones that are evacuated by the last acknowledged orders."""
        newest = {order.zone: order.evacuate for order in self.orders}
        return frozenset(zone for zone, evacuate in newest.items() if evacuate)


@dataclass(frozen=True, slots=True)
class Evacuation:
    """From the acknowledgement of an order to evacuate a zone until the zone may be used again."""

    zone: str
    acknowledged_at: float
    ends_at: float


def evacuations_of(orders: Sequence[Order]) -> list[Evacuation]:
    """The evacuations that the orders ask for; one ends when the next order for its zone is sent."""
    found = []
    for i, order in enumerate(orders):
        later = (each.sent_at for each in orders[i + 1 :] if each.zone == order.zone)
        if order.evacuate:
            found.append(Evacuation(order.zone, order.acknowledged_at, next(later, float("inf"))))
    return found


def late_arrivals(
    orders: Sequence[Order],
    arrivals: Iterable[tuple[Machine, Arrival]],
    faults: Sequence[FaultSpan],
    control_hosts: Collection[str],
) -> list[str]:
    """Describes the requests that reached an evacuated zone too late, from machines in touch."""
    evacuations = evacuations_of(orders)
    control_faults = [fault for fault in faults if fault.host in control_hosts]
    messages = []
    for machine, arrival in arrivals:
        sender = [fault for fault in faults if fault.host and fault.host == arrival.sender]
        if _is_disturbed(sender, arrival.at):
            continue
        bound_s = EMPTY_ZONE_S + (STRETCH_S if _is_disturbed(control_faults, arrival.at) else 0.0)
        messages += [
            f"{arrival.attempt_id} reached {machine.host} in {each.zone} "
            f"{arrival.at - each.acknowledged_at:.2f} s after its evacuation was acknowledged"
            for each in evacuations
            if each.zone == machine.zone_name and each.acknowledged_at + bound_s < arrival.at < each.ends_at
        ]
    return messages


def _is_disturbed(faults: Iterable[FaultSpan], now: float) -> bool:
    """Whether a fault is active, or ended too recently."""
    return any(fault.started_at <= now <= fault.ended_at + CONTACT_S for fault in faults)
