"""MessagePack-RPC on the core of a node, against HTTP on the same: python -m bench.rpc [--calls N].
N].

Four parts. Mixed: so many calls, half over HTTP and half over RPC, to six stand-in servers that drop, fall
silent, answer out of order and start anew (tests/rpc/mixed.py): how they ended. Cost: processor time that the
kernel charges to a node's process for a request over HTTP to HTTP servers, and for a call over RPC to RPC
servers, the two nodes in turn under the same number of callers, in the same run. Memory: a node's resident
size with 10,000 calls open against the same node before. Waiting: the 99th percentile of quick calls on one
connection to a server with a slow call out on it, and without. The last line gives all figures.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import os
import re
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgpack
import uvloop

from bench.node_cost import CLIENTS, HOST, WARM_UP, _config, _Discovery, _load, _Node, _Server
from bench.revision import ROOT
from tests.rpc.mixed import play

OPEN = 10_000
SLOW = b"slow"
RPC_FILE = """
[front]
listen = ["127.0.0.1:0"]
open_each = 2000
open_all = 20000
held_bytes = 100_000_000
[[method]]
name = "haku"
class = "haku"
[defaults]
deadline_s = 60.0
[upstream]
connections = 2
window = 64
most_open = 8000
"""


class _RpcServer(asyncio.Protocol):
    """Answers every call with 64 bytes; keeps those whose first parameter is SLOW until told."""

    held: list[tuple[Any, int]] = []  # noqa: RUF012 - shared by all connections of this process

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._unpacker = msgpack.Unpacker(strict_map_key=False, raw=True)

    def data_received(self, data: bytes) -> None:
        self._unpacker.feed(data)
        answers = []
        for _, msgid, _, params in self._unpacker:
            if params[0] == SLOW:
                self.held.append((self._transport, msgid))
            else:
                answers.append(msgpack.packb([1, msgid, None, b"x" * 64]))
        self._transport.write(b"".join(answers))


class _RpcClient(asyncio.Protocol):
    """Asks again as soon as it has its answer, so many times in all; times each call."""

    def __init__(self, left: list[int], done: asyncio.Future[None], took: list[float]) -> None:
        self._left, self._done, self._took = left, done, took
        self._number = 0
        self._asked = 0.0
        self._unpacker = msgpack.Unpacker(strict_map_key=False)

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._ask()

    def _ask(self) -> None:
        if self._left[0] <= 0:
            self._transport.close()
            if not self._done.done():
                self._done.set_result(None)
            return
        self._left[0] -= 1
        self._number += 1
        told = {"id": f"{id(self):x}-{self._number:x}", "deadline": 3.0}
        self._asked = time.perf_counter()
        self._transport.write(msgpack.packb([0, self._number, "haku", ["x", told]]))

    def data_received(self, data: bytes) -> None:
        self._unpacker.feed(data)
        for _, _, error, _ in self._unpacker:
            if error is not None and not self._done.done():
                self._done.set_exception(RuntimeError(f"not served: {error}"))
                return
            self._took.append(time.perf_counter() - self._asked)
            self._ask()


async def _start(config: Path, discovery: int, rpc: Path | None) -> _Node:
    """A node; its port is that of the front that is measured."""
    environment = {
        "PATH": os.environ.get("PATH", ""),
        "NODE_NAME": "n",
        "NODE_LISTEN": f"{HOST}:0",
        "NODE_DISCOVERY": f"{HOST}:{discovery}",
        "NODE_CONFIG": str(config),
        **({"NODE_RPC": str(rpc)} if rpc else {}),
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "leadrudder", cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
    )
    assert process.stderr is not None
    wanted = r"rpc listens on [\d.]+:(\d+)" if rpc else r"node n listens on [\d.]+:(\d+)"
    while True:
        line = (await process.stderr.readline()).decode()
        found = re.search(wanted, line)
        if found is not None:
            return _Node(process, int(found[1]))
        if not line:
            raise RuntimeError("the node does not listen")


async def _rpc_load(node: _Node, calls: int, took: list[float], clients: int = CLIENTS) -> float:
    """Microseconds of the node's processor time a call."""
    loop = asyncio.get_running_loop()
    before, done, left = node.cpu_s(), loop.create_future(), [calls]
    for _ in range(clients):
        await loop.create_connection(lambda: _RpcClient(left, done, took), HOST, node.port)
    await done
    return 1e6 * (node.cpu_s() - before) / calls


def _resident_mb(node: _Node) -> float:
    text = Path(f"/proc/{node.process.pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+)", text)
    return int(found[1]) / 1024 if found else 0.0


async def _open_calls(node: _Node, calls: int) -> tuple[int, float]:
    """Hold so many calls open over ten connections: how many servers have of them, and the node's growth in
    MB."""
    before, writers = _resident_mb(node), []
    for c in range(10):
        _, writer = await asyncio.open_connection(HOST, node.port)
        writers.append(writer)
        for i in range(calls // 10):
            writer.write(msgpack.packb([0, i, "haku", [SLOW, {"id": f"o{c}-{i}", "deadline": 50.0}]]))
        await writer.drain()
    began = time.perf_counter()
    while len(_RpcServer.held) < calls and time.perf_counter() - began < 40.0:
        await asyncio.sleep(0.05)
    grown = _resident_mb(node) - before
    for writer in writers:
        writer.close()
    return len(_RpcServer.held), grown


async def _measure(requests: int, rounds: int) -> dict[str, float]:
    loop = asyncio.get_running_loop()
    http = [await loop.create_server(_Server, HOST, 0) for _ in range(4)]
    rpc = [await loop.create_server(_RpcServer, HOST, 0) for _ in range(4)]
    discovery = await loop.create_server(_Discovery, HOST, 0)
    agent = discovery.sockets[0].getsockname()[1]
    found: dict[str, list[float]] = {"http": [], "rpc": []}
    with tempfile.TemporaryDirectory() as folder:
        paths = {}
        for name, servers in (("http", http), ("rpc", rpc)):
            paths[name] = Path(folder) / f"{name}.json"
            config = _config([server.sockets[0].getsockname()[1] for server in servers])
            # Ten thousand calls out are to be held by the node, not refused by its limit: far aims say so.
            config["settings"]["profiles"][0].update(aimMs=60_000.0, deadlineMs=120_000.0)
            paths[name].write_text(json.dumps(config))
        file = Path(folder) / "rpc.toml"
        file.write_text(RPC_FILE)
        by_http = await _start(paths["http"], agent, None)
        by_rpc = await _start(paths["rpc"], agent, file)
        nodes = [by_http, by_rpc]
        try:
            await _load(by_http, WARM_UP)
            await _rpc_load(by_rpc, WARM_UP, [])
            for turn in range(rounds):
                found["http"].append(await _load(by_http, requests))
                found["rpc"].append(await _rpc_load(by_rpc, requests, []))
                pair = f"{found['http'][-1]:.1f}, {found['rpc'][-1]:.1f}"
                print(f"round {turn + 1} of {rounds}: {pair} us a call over HTTP, RPC", file=sys.stderr)
            free: list[float] = []
            await _rpc_load(by_rpc, 2000, free, clients=1)
            _, slow = await asyncio.open_connection(HOST, by_rpc.port)
            for i in range(8):  # at every server, on each of its connections
                slow.write(msgpack.packb([0, i, "haku", [SLOW, {"id": f"s{i}", "deadline": 50.0}]]))
            shared: list[float] = []
            await _rpc_load(by_rpc, 2000, shared, clients=1)
            slow.close()
            _RpcServer.held.clear()
            idle_mb = _resident_mb(by_rpc)
            # A node that starts lets six calls out to each server: so many are needed for them all.
            many = [await loop.create_server(_RpcServer, HOST, 0) for _ in range(OPEN // 5)]
            config = _config([server.sockets[0].getsockname()[1] for server in many])
            config["settings"]["profiles"][0].update(aimMs=60_000.0, deadlineMs=120_000.0)
            paths["http"].write_text(json.dumps(config))
            of_many = await _start(paths["http"], agent, file)
            nodes.append(of_many)
            still_open, grown_mb = await _open_calls(of_many, OPEN)
        finally:
            for node in nodes:
                node.process.kill()
                await node.process.communicate()
    http_us, rpc_us = statistics.median(found["http"]), statistics.median(found["rpc"])
    return {
        "http_us": http_us,
        "rpc_us": rpc_us,
        "rpc_of_http": http_us / rpc_us,
        "open_calls": still_open,
        "open_mb": grown_mb,
        "idle_mb": idle_mb,
        "p99_free_ms": 1e3 * statistics.quantiles(free, n=100)[98],
        "p99_beside_slow_ms": 1e3 * statistics.quantiles(shared, n=100)[98],
    }


def main() -> int:
    """Exit code 0 when all was measured, and no call was lost, answered twice or run twice that must not."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--calls", type=int, default=10_000, help="mixed calls")
    parser.add_argument("--requests", type=int, default=10_000, help="of each round of the cost")
    parser.add_argument("--rounds", type=int, default=5)
    chosen = parser.parse_args()
    logging.disable(logging.CRITICAL)
    tally, names = uvloop.run(play(chosen.calls))
    print(f"mixed: {len(names)} calls, {tally.restarts} restarts", file=sys.stderr)
    cost = uvloop.run(_measure(chosen.requests, chosen.rounds))
    ends = " ".join(f"{how}={tally.count_ended(how)}" for how in ("served", "refused", "failed"))
    lost, doubled = tally.unanswered(names), tally.bookings_executed_twice()
    figures = " ".join(f"{name}={value:.2f}" for name, value in cost.items())
    print(
        f"calls={len(names)} {ends} lost={lost} doubled={doubled} twice={tally.ended_repeatedly()}"
        f" served_unrun={tally.served_unexecuted()} restarts={tally.restarts} {figures}"
    )
    return 1 if lost or doubled or tally.ended_repeatedly() or tally.served_unexecuted() else 0


if __name__ == "__main__":
    sys.exit(main())
