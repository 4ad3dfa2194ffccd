"""The connections to the server on this machine: the node's pool, with answers tied to their request.

A surplus answer may come late, in the place where the next one is due: the id that each carries tells. One
that carries another id than the request that is out belongs to nobody; the connection is not used again.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from leadrudder.interface import Outcome, Readiness, ServerEntry
from leadrudder.node.http import Message, MessageError, Reader
from leadrudder.node.lists import Address, Listing
from leadrudder.node.platform import SYSTEM, Platform
from leadrudder.node.servers import Call, Connection, Peer, Servers
from leadrudder.transport.http import BufferedHttpMessage, HttpReader

ATTEMPT_ID = b"attempt-id"
SEAL = b"server-seal"
NOT_RUN = b"not-run"
CONNECT_S = 0.5
IDLE_S = 8.0
ANSWER_MOST = 80 * 1024 * 1024

Ended = Callable[[Outcome, BufferedHttpMessage | None], None]


@dataclass(frozen=True, slots=True)
class Going:
    """A request as it goes to the server."""

    attempt_id: bytes  # empty: a health call, whose answers carry none
    head: bytes  # all but the time left
    body: bytes

    def __call__(self, seconds: float) -> bytes:
        left = max(1, math.floor(1000.0 * seconds))
        return b"%sTime-Left: %d\r\n\r\n%s" % (self.head, left, self.body)


class OwnConnection(Connection):
    """One connection to the server."""

    def __init__(self, peer: Peer, servers: Servers) -> None:
        self._tainted = False
        self._wanted = b""
        super().__init__(peer, servers)

    def reader(self) -> Reader:
        return HttpReader(self._on_answer, requests=False, max_body_bytes=ANSWER_MOST)

    def carry(self, call: Call) -> None:
        assert isinstance(call.render, Going)
        self._wanted = call.render.attempt_id
        super().carry(call)

    def _on_answer(self, message: Message) -> None:
        told = message.headers.get(ATTEMPT_ID)
        if self._wanted and told != self._wanted:
            if told is None:
                raise MessageError(400, "an answer without an id")
            self._tainted = True  # it answers an earlier request; ours may still come
            return
        if self._tainted:
            message.keep_alive = False
        super()._on_answer(message)


class OwnServer(Servers):
    """The server beside this station: at most one life of it at a time."""

    connection = OwnConnection

    def __init__(self, address: Address, most_open: int, platform: Platform = SYSTEM) -> None:
        super().__init__(connect_s=CONNECT_S, idle_s=IDLE_S, most_open=most_open, platform=platform)
        self._address = address

    def is_now(self, server: str) -> None:
        """Another life of it: connections of the one before are not used any more."""
        entry = ServerEntry(server.encode(), Readiness.READY)
        self.update(Listing(0, True, (entry,), {entry.server: self._address}))

    def is_gone(self) -> None:
        self.update(Listing(0, True, (), {}))

    def run(self, server: str, going: Going, timeout_s: float, ended: Ended) -> Call:
        """One request; its end is told once, at the earliest after this returns."""

        def done(outcome: Outcome, message: Message | None) -> None:
            assert message is None or isinstance(message, BufferedHttpMessage)
            ended(outcome, message)

        return self.call(server.encode(), going, timeout_s, done)
