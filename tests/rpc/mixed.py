"""Mixed load over HTTP and RPC to servers that misbehave, with a tally of how each call ended.

Six stand-in servers drop connections, stay silent, answer out of order, reject calls, fail and restart; each
execution is counted. Used by the tests and by bench/rpc.py.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgpack

from tests.rpc.stubs import RpcCaller, RpcEnvironment, RpcServer, RpcStream, rpc_environment
from tests.stubs import StubClient, row

CLASSES = ("look", "move", "book")
SERVERS = 6


@dataclass
class Tally:
    """How each call ended, by request id, and how often it was executed."""

    ended: dict[str, list[str]] = field(default_factory=dict)
    executions: Counter[str] = field(default_factory=Counter)
    restarts: int = 0

    def add_end(self, name: str, ending: str) -> None:
        self.ended.setdefault(name, []).append(ending)

    def count_ended(self, ending: str) -> int:
        return sum(1 for ends in self.ended.values() if ends == [ending])

    def unanswered(self, names: set[str]) -> int:
        return len(names - set(self.ended))

    def ended_repeatedly(self) -> int:
        return sum(1 for ends in self.ended.values() if len(ends) > 1)

    def bookings_executed_twice(self) -> int:
        """Number of bookings, which must not be repeated, that were executed more than once."""
        return sum(1 for name, n in self.executions.items() if name.startswith("book") and n > 1)

    def served_unexecuted(self) -> int:
        """Number of calls that were served although no server executed them."""
        return sum(1 for name, ends in self.ended.items() if ends == ["served"] and not self.executions[name])


class MisbehavingServer(RpcServer):
    """A server whose random generator decides what happens to each call."""

    def __init__(self, rng: random.Random, tally: Tally, name: str) -> None:
        super().__init__(self._misbehave, name)
        self._rng = rng
        self._tally = tally
        self._held: list[tuple[RpcStream, list[Any]]] = []

    def execute(self, params: list[Any]) -> None:
        self._tally.executions[str(params[-1]["id"])] += 1

    async def _misbehave(self, server: RpcServer, peer: RpcStream, message: list[Any]) -> None:
        draw = self._rng.random()
        if draw < 0.01:  # drop the connection, with all its open calls, before execution
            peer.close()
        elif draw < 0.02:  # drop it after execution
            self.execute(message[3])
            peer.close()
        elif draw < 0.03:  # send half of an answer
            self.execute(message[3])
            if not peer.writer.transport.is_closing():
                peer.writer.write(msgpack.packb([1, message[1], None, "x" * 40])[:9])
                peer.writer.transport.close()
        elif draw < 0.035:
            self.execute(message[3])  # execute, but never answer
        elif draw < 0.05:
            peer.send(1, message[1], {"code": "not_run"}, None)
        elif draw < 0.07:
            self.execute(message[3])
            peer.send(1, message[1], "broken", None)
        else:
            self.execute(message[3])
            self._held.append((peer, message))
            if len(self._held) >= 4 or draw < 0.6:
                self._rng.shuffle(self._held)
                for to, held in self._held:
                    to.send(1, held[1], None, held[3][-1]["id"])
                self._held.clear()


async def _restart_servers(servers: list[MisbehavingServer], tally: Tally, rng: random.Random) -> None:
    """Restart a random server at its address after every 400 executions."""
    while True:
        before = sum(tally.executions.values())
        while sum(tally.executions.values()) < before + 400:
            await asyncio.sleep(0.005)
        server = rng.choice(servers)
        port = int(server.address.rpartition(":")[2])
        await server.stop()
        server.peers.clear()
        await server.start(port)
        tally.restarts += 1


async def _rpc_caller(env: RpcEnvironment, names: list[str], tally: Tally, max_open: int) -> None:
    """One connection with up to max_open concurrent calls."""
    caller = await RpcCaller.connect(env.address)
    open_calls: dict[int, str] = {}
    left = list(names)
    while left or open_calls:
        while left and len(open_calls) < max_open:
            name = left.pop()
            open_calls[caller.ask(name.partition("-")[0], "x", name=name, deadline=1.5)] = name
        msgid, error, result = await caller.answer()
        name = open_calls.pop(msgid)
        if error is None:
            assert result == name, "received the answer of another call"
            tally.add_end(name, "served")
        else:
            tally.add_end(name, {"refused": "refused", "failed": "failed"}[error["code"]])
    caller.close()


async def _http_caller(env: RpcEnvironment, names: list[str], tally: Tally) -> None:
    assert env.node._listener._server is not None
    address = env.node._listener._server.sockets[0].getsockname()[:2]
    caller = await StubClient.connect(address)
    for name in names:
        answer = await caller.ask(name.partition("-")[0], request_id=name, deadline="1.5")
        ending = {200: "served", 503: "refused", 502: "failed"}[answer.status]
        if ending == "served":
            assert answer.body == msgpack.packb(name)
        tally.add_end(name, ending)
    caller.close()


async def play(calls: int, seed: int = 1) -> tuple[Tally, set[str]]:
    """Send half of the calls over RPC and half over HTTP, all to the same RPC servers."""
    rng, tally = random.Random(seed), Tally()
    servers = [MisbehavingServer(random.Random(seed * 100 + i), tally, f"s{i}") for i in range(SERVERS)]
    for server in servers:
        await server.start()
    names = [f"{rng.choice(CLASSES)}-{i}" for i in range(calls)]
    rows = [row(server.name, server.address) for server in servers]
    async with rpc_environment(*rows, upstream={"connections": 2, "window": 8, "silence_s": 1.0}) as env:
        restarting = asyncio.ensure_future(_restart_servers(servers, tally, rng))
        half = calls // 2
        callers = [_rpc_caller(env, names[i:half:8], tally, max_open=6) for i in range(8)]
        callers += [_http_caller(env, names[half + i :: 24], tally) for i in range(24)]
        await asyncio.gather(*callers)
        restarting.cancel()
        assert not env.node._requests and env.front._open_calls == 0 and env.front._held_bytes == 0
    for server in servers:
        await server.stop()
    return tally, set(names)
