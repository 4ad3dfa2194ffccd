"""Requests for the server beside this station: through the gate, to the server, and the answer back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadrudder.data_plane.admission_control import Gate
from leadrudder.data_plane.server_connections import NOT_RUN, SEAL, Going, OwnServer
from leadrudder.interface import Outcome
from leadrudder.node.servers import Call
from leadrudder.protocol.mesh_pb2 import Delivery, Waybill
from leadrudder.protocol.outcome import Ran, Verdict
from leadrudder.transport.http import BufferedHttpMessage

OVER_S = 0.1  # a server ends at the time it is given, and says so: that answer is waited for
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)

Deliver = Callable[[Delivery], None]
Withdraw = Callable[[bool], None]  # the argument: whether it is because the client has left


def nothing_to_withdraw(client_left: bool) -> None:
    """For a request that has been answered."""


def passed_on(message: BufferedHttpMessage, without: frozenset[bytes] = frozenset()) -> bytes:
    """Header lines as they came, but those that concern one connection only, or that are set anew."""
    named = message.headers.get(b"connection", b"").lower()
    dropped = {part.strip() for part in named.split(b",")} | HOP_BY_HOP | without
    return b"".join(b"%s: %s\r\n" % (n, v) for n, v in message.fields if n.lower() not in dropped)


class Inbound:
    """What the gate admits is run; every waybill is delivered once."""

    def __init__(
        self,
        gate: Gate,
        own: OwnServer,
        note: Callable[[str], None],
        lent: Callable[[Waybill], bool] = lambda waybill: False,
        ran: Callable[[int], None] | None = None,
    ) -> None:
        """lent: whether this machine is out of a waybill's traffic just now.

        ran: an unsafe request of an epoch has run.
        """
        self.gate, self._own, self._note, self._lent, self._ran = gate, own, note, lent, ran
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def take(self, waybill: Waybill, deliver: Deliver) -> Withdraw:
        """Returns what withdraws it: while it has not been started, or if its client has left.

        A run that may be repeated is broken off then; one that may not goes on to its end.
        """
        call: Call | None = None

        def refuse(verdict: Verdict) -> None:
            deliver(
                Delivery(
                    number=waybill.number, ran=int(verdict.ran), why=verdict.why, retry_ms=verdict.retry_ms
                )
            )

        def start() -> None:
            nonlocal call
            call = self._run(waybill, deliver)

        def withdraw(client_left: bool) -> None:
            if queued is not None:
                self.gate.withdraw(queued)
            if call is not None and client_left and not waybill.once:
                call.give_up(Outcome.CANCELLED)

        if self._lent(waybill):
            refuse(Verdict(Ran.NEVER, "lent"))
            return nothing_to_withdraw
        queued = self.gate.admit(waybill, self._loop.time(), start, refuse)
        if queued is not None:
            self._look_again()
        return withdraw

    def _run(self, waybill: Waybill, deliver: Deliver) -> Call:
        began = self._loop.time()
        length = b""
        if waybill.body or waybill.method not in (b"GET", b"HEAD", b"DELETE"):
            length = b"Content-Length: %d\r\n" % len(waybill.body)
        head = b"%s %s HTTP/1.1\r\n%s%sTarget-Server: %s\r\n" % (
            waybill.method,
            waybill.target,
            waybill.fields,
            length,
            waybill.server.encode("latin-1"),
        )

        def ended(outcome: Outcome, message: BufferedHttpMessage | None) -> None:
            now = self._loop.time()
            delivery = self._delivery(waybill, outcome, message)
            if outcome is Outcome.CONNECT_FAILED:
                self.gate.no_connection(waybill.server, now)
            deliver(delivery)
            elapsed_ms = None if outcome is Outcome.CANCELLED else 1000.0 * (now - began)
            self.gate.ended(elapsed_ms, now, waybill.target_ms)
            self._look_again()

        going = Going(waybill.attempt_id, head, waybill.body)
        return self._own.run(waybill.server, going, waybill.left_ms / 1000.0 + OVER_S, ended)

    def _delivery(self, waybill: Waybill, outcome: Outcome, message: BufferedHttpMessage | None) -> Delivery:
        delivery = Delivery(number=waybill.number)
        if message is None:
            if outcome in (Outcome.CONNECT_FAILED, Outcome.MOOT):
                delivery.ran, delivery.why = Ran.NEVER, "down"
            else:
                delivery.ran = Ran.MAYBE
                delivery.why = "time" if outcome is Outcome.TIMEOUT else outcome.value
            return delivery
        status = message.status
        if NOT_RUN in message.headers or status == 421:
            delivery.ran, delivery.why = Ran.NEVER, "turned away"
            return delivery
        if 200 <= status < 300 and (SEAL not in message.headers or b"content-encoding" in message.headers):
            delivery.ran, delivery.why = Ran.MAYBE, "spoilt"
            return delivery
        if self._ran is not None and waybill.once:
            self._ran(waybill.epoch)
        delivery.ran, delivery.status = Ran.YES, status
        delivery.fields, delivery.body = passed_on(message), message.body
        return delivery

    def _look_again(self) -> None:
        """The gate's queue: when something in it is due."""
        due = self.gate.advance(self._loop.time())
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due is not None:
            self._timer = self._loop.call_later(max(0.001, due - self._loop.time()), self._look_again)

    def advance(self) -> None:
        """Something about the server has changed."""
        self._look_again()
