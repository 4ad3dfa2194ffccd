"""Links to the gates of other stations: waybills out, deliveries back, each answered once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadrudder.data_plane.inbound import Withdraw
from leadrudder.protocol.mesh_pb2 import Delivery, Frame, Waybill, Withdrawal
from leadrudder.protocol.outcome import Ran
from leadrudder.transport.link import IDLE_DIALER_PING_INTERVAL_S, Link, dial

SILENCE_S = 1.5  # a gate that gives no sign of life for so long while calls are out is not waited for
PING_S = 0.4
IDLE_S = 30.0  # a link that carried nothing for so long is closed

Deliver = Callable[[Delivery], None]


class Way:
    """The link to one station, dialled when it is needed."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.used = 0.0
        self._loop = asyncio.get_running_loop()
        self._link: Link | None = None
        self._dialling: asyncio.Task[None] | None = None
        self._waiting: list[tuple[Waybill, Deliver]] = []
        self._out: dict[int, Deliver] = {}
        self._last = 0

    def send(self, waybill: Waybill, deliver: Deliver) -> Withdraw:
        """deliver is called once, also where the link breaks; returns what withdraws the waybill."""
        self.used = self._loop.time()
        self._last += 1
        number = waybill.number = self._last
        if self._link is not None and self._link.up:
            self._write(self._link, waybill, deliver)
        else:
            self._waiting.append((waybill, deliver))
            if self._dialling is None:
                self._dialling = self._loop.create_task(self._dial())
        return lambda client_left: self._withdraw(number, client_left)

    def _write(self, link: Link, waybill: Waybill, deliver: Deliver) -> None:
        if not link.send(Frame(waybill=waybill)):
            deliver(Delivery(number=waybill.number, ran=Ran.NEVER, why="unreachable"))
            return
        self._out[waybill.number] = deliver
        link.start_liveness_checks()

    def _withdraw(self, number: int, client_left: bool) -> None:
        if self._out.pop(number, None) is not None and self._link is not None:
            self._link.send(Frame(withdrawal=Withdrawal(number=number, client_left=client_left)))
        self._waiting = [(w, d) for w, d in self._waiting if w.number != number]

    async def _dial(self) -> None:
        link = await dial(self.address, lambda: Link(self, PING_S, SILENCE_S, peer=self.address))
        self._dialling = None
        waiting, self._waiting = self._waiting, []
        for waybill, deliver in waiting:
            if link is not None and link.up:
                self._write(link, waybill, deliver)
            else:
                deliver(Delivery(number=waybill.number, ran=Ran.NEVER, why="unreachable"))

    def on_up(self, link: Link) -> None:
        link.checks_liveness, link.ping_interval_s = (
            False,
            IDLE_DIALER_PING_INTERVAL_S,
        )  # the gate does not wait for us
        self._link = link

    def on_frame(self, link: Link, frame: Frame) -> None:
        if frame.WhichOneof("body") != "delivery":
            return
        deliver = self._out.pop(frame.delivery.number, None)
        if not self._out:
            link.checks_liveness = False
        if deliver is not None:
            deliver(frame.delivery)

    def on_down(self, link: Link) -> None:
        if self._link is link:
            self._link = None
            out, self._out = self._out, {}
            for number, deliver in out.items():
                deliver(Delivery(number=number, ran=Ran.MAYBE, why="link"))

    def idle(self, now: float) -> bool:
        return not self._out and not self._waiting and now - self.used > IDLE_S

    def close(self) -> None:
        if self._link is not None:
            self._link.abort()


class Gates:
    """All of them, by address."""

    def __init__(self) -> None:
        self._ways: dict[str, Way] = {}
        self._loop = asyncio.get_running_loop()

    def send(self, address: str, waybill: Waybill, deliver: Deliver) -> Withdraw:
        way = self._ways.get(address)
        if way is None:
            way = self._ways[address] = Way(address)
        return way.send(waybill, deliver)

    def sweep(self) -> None:
        """Close what is not used any more."""
        now = self._loop.time()
        for address, way in list(self._ways.items()):
            if way.idle(now):
                way.close()
                del self._ways[address]

    def close(self) -> None:
        for way in self._ways.values():
            way.close()
