"""Ten thousand mixed calls, HTTP and RPC, through nodes before servers that misbehave: how each one ended.

Six stand-in servers on each side drop connections, fall silent, answer out of order, turn calls away, fail,
and are started anew; every one keeps a log of what ran. Used by the tests and by bench/rpc.py.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgpack

from tests.rpc.stubs import RpcCaller, RpcPeer, RpcServer, RpcWorld, rpc_world
from tests.stubs import StubClient, row

CLASSES = ("look", "move", "book")
SERVERS = 6


@dataclass
class Tally:
    """How calls ended, by their id; and what ran."""

    ended: dict[str, list[str]] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    restarts: int = 0

    def end(self, name: str, how: str) -> None:
        self.ended.setdefault(name, []).append(how)

    def count(self, how: str) -> int:
        return sum(1 for ends in self.ended.values() if ends == [how])

    def lost(self, names: set[str]) -> int:
        return len(names - set(self.ended))

    def twice(self) -> int:
        return sum(1 for ends in self.ended.values() if len(ends) > 1)

    def doubled(self) -> int:
        """Bookings, which may not be repeated, that ran more than once."""
        return sum(1 for name, n in self.runs.items() if name.startswith("book") and n > 1)

    def served_unrun(self) -> int:
        """Calls that were served and that no server has run."""
        return sum(1 for name, ends in self.ended.items() if ends == ["served"] and not self.runs[name])


class Rough(RpcServer):
    """A server that does what a draw says with each call."""

    def __init__(self, rng: random.Random, tally: Tally, name: str) -> None:
        super().__init__(self._rough, name)
        self._rng = rng
        self._tally = tally
        self._held: list[tuple[RpcPeer, list[Any]]] = []

    def run(self, params: list[Any]) -> None:
        self._tally.runs[str(params[-1]["id"])] += 1

    async def _rough(self, server: RpcServer, peer: RpcPeer, message: list[Any]) -> None:
        x = self._rng.random()
        if x < 0.01:  # a drop before it ran, with whatever else is out
            peer.close()
        elif x < 0.02:  # and one after
            self.run(message[3])
            peer.close()
        elif x < 0.03:  # half an answer
            self.run(message[3])
            if not peer.writer.transport.is_closing():
                peer.writer.write(msgpack.packb([1, message[1], None, "x" * 40])[:9])
                peer.writer.transport.close()
        elif x < 0.035:
            self.run(message[3])  # silence
        elif x < 0.05:
            peer.send(1, message[1], {"code": "not_run"}, None)
        elif x < 0.07:
            self.run(message[3])
            peer.send(1, message[1], "broken", None)
        else:
            self.run(message[3])
            self._held.append((peer, message))
            if len(self._held) >= 4 or x < 0.6:
                self._rng.shuffle(self._held)
                for to, held in self._held:
                    to.send(1, held[1], None, held[3][-1]["id"])
                self._held.clear()


async def _restarts(servers: list[Rough], tally: Tally, rng: random.Random) -> None:
    """Now and then a server's process ends, and another starts at its address."""
    while True:
        before = sum(tally.runs.values())
        while sum(tally.runs.values()) < before + 400:
            await asyncio.sleep(0.005)
        server = rng.choice(servers)
        port = int(server.address.rpartition(":")[2])
        await server.stop()
        server.peers.clear()
        await server.start(port)
        tally.restarts += 1


async def _rpc_caller(w: RpcWorld, names: list[str], tally: Tally, out: int) -> None:
    """One connection with so many calls out at a time."""
    caller = await RpcCaller.connect(w.address)
    open_calls: dict[int, str] = {}
    left = list(names)
    while left or open_calls:
        while left and len(open_calls) < out:
            name = left.pop()
            open_calls[caller.ask(name.partition("-")[0], "x", name=name, deadline=1.5)] = name
        msgid, error, result = await caller.answer()
        name = open_calls.pop(msgid)
        if error is None:
            assert result == name, "an answer of another call"
            tally.end(name, "served")
        else:
            tally.end(name, {"refused": "refused", "failed": "failed"}[error["code"]])
    caller.close()


async def _http_caller(w: RpcWorld, names: list[str], tally: Tally) -> None:
    assert w.node._listener._server is not None
    address = w.node._listener._server.sockets[0].getsockname()[:2]
    caller = await StubClient.connect(address)
    for name in names:
        answer = await caller.ask(name.partition("-")[0], request_id=name, deadline="1.5")
        how = {200: "served", 503: "refused", 502: "failed"}[answer.status]
        if how == "served":
            assert answer.body == msgpack.packb(name)
        tally.end(name, how)
    caller.close()


async def play(calls: int, seed: int = 1) -> tuple[Tally, set[str]]:
    """Half of the calls over RPC, half over HTTP, all to the same RPC servers."""
    rng, tally = random.Random(seed), Tally()
    servers = [Rough(random.Random(seed * 100 + i), tally, f"s{i}") for i in range(SERVERS)]
    for server in servers:
        await server.start()
    names = [f"{rng.choice(CLASSES)}-{i}" for i in range(calls)]
    rows = [row(server.name, server.address) for server in servers]
    async with rpc_world(*rows, upstream={"connections": 2, "window": 8, "silence_s": 1.0}) as w:
        restarting = asyncio.ensure_future(_restarts(servers, tally, rng))
        half = calls // 2
        callers = [_rpc_caller(w, names[i:half:8], tally, out=6) for i in range(8)]
        callers += [_http_caller(w, names[half + i :: 24], tally) for i in range(24)]
        await asyncio.gather(*callers)
        restarting.cancel()
        assert not w.node._requests and w.front._calls == 0 and w.front._bytes == 0
    for server in servers:
        await server.stop()
    return tally, set(names)
