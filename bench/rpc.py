"""MessagePack-RPC through a node, compared with HTTP: python -m bench.rpc [--calls N].

Four parts. Mixed: --calls calls, half over HTTP and half over RPC, to six emulated servers that drop
connections, stop responding, respond out of order and restart (tests/rpc/mixed.py), counted by their outcome.
Cost: processor time that the kernel charges to a node's process for a request over HTTP to HTTP servers, and
for a call over RPC to RPC servers; the two nodes are measured in turn with the same number of clients.
Memory: growth of a node's resident size with 10,000 open calls. Head-of-line blocking: the 99th percentile of
fast calls on one connection, with and without slow calls open on the servers' connections. The last line has
all figures.
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

from bench.closed_loop import ClosedLoopClient
from bench.node_cost import (
    CLIENT_COUNT,
    HOST,
    WARM_UP_REQUESTS,
    _cpu_us_per_request,
    _Discovery,
    _Node,
    _node_config,
    _Server,
)
from bench.revision import ROOT
from tests.rpc.mixed import play

OPEN_CALLS = 10_000
SLOW_CALL = b"slow"
RPC_SETTINGS = """
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
    """Answers every call with 64 bytes, but never one whose first parameter is SLOW_CALL."""

    slow_calls: list[tuple[Any, int]] = []  # noqa: RUF012 - shared by all connections of this process

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._unpacker = msgpack.Unpacker(strict_map_key=False, raw=True)

    def data_received(self, data: bytes) -> None:
        self._unpacker.feed(data)
        responses = []
        for _, msgid, _, params in self._unpacker:
            if params[0] == SLOW_CALL:
                self.slow_calls.append((self._transport, msgid))
            else:
                responses.append(msgpack.packb([1, msgid, None, b"x" * 64]))
        self._transport.write(b"".join(responses))


class _RpcClient(ClosedLoopClient):
    """Sends RPC calls, and times each."""

    def __init__(self, remaining: list[int], done: asyncio.Future[None], durations_s: list[float]) -> None:
        super().__init__(remaining, done)
        self._durations_s = durations_s
        self._sent_at = 0.0
        self._unpacker = msgpack.Unpacker(strict_map_key=False)

    def render(self, number: int) -> bytes:
        metadata = {"id": f"{id(self):x}-{number:x}", "deadline": 3.0}
        self._sent_at = time.perf_counter()
        call: bytes = msgpack.packb([0, number, "haku", ["x", metadata]])
        return call

    def data_received(self, data: bytes) -> None:
        self._unpacker.feed(data)
        for _, _, error, _ in self._unpacker:
            if error is not None:
                self.fail(f"not served: {error}")
                return
            self._durations_s.append(time.perf_counter() - self._sent_at)
            self.send_next()


async def _start(config: Path, discovery: int, rpc: Path | None) -> _Node:
    """Start a node; the port is that of its HTTP or RPC listener, whichever is measured."""
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
    listen_pattern = r"rpc listens on [\d.]+:(\d+)" if rpc else r"node n listens on [\d.]+:(\d+)"
    while True:
        line = (await process.stderr.readline()).decode()
        match = re.search(listen_pattern, line)
        if match is not None:
            return _Node(process, int(match[1]))
        if not line:
            raise RuntimeError("the node does not listen")


async def _rpc_cpu_us_per_call(
    node: _Node, calls: int, durations_s: list[float], clients: int = CLIENT_COUNT
) -> float:
    """Microseconds of the node's processor time per call."""
    loop = asyncio.get_running_loop()
    before, done, remaining = node.cpu_s(), loop.create_future(), [calls]
    for _ in range(clients):
        await loop.create_connection(lambda: _RpcClient(remaining, done, durations_s), HOST, node.port)
    await done
    return 1e6 * (node.cpu_s() - before) / calls


def _resident_mb(node: _Node) -> float:
    status_text = Path(f"/proc/{node.process.pid}/status").read_text()
    match = re.search(r"VmRSS:\s+(\d+)", status_text)
    return int(match[1]) / 1024 if match else 0.0


async def _open_calls(node: _Node, calls: int) -> tuple[int, float]:
    """Open so many slow calls over ten connections.

    Returns how many of them reached the servers, and the growth of the node's resident size in MB.
    """
    before, writers = _resident_mb(node), []
    for connection_index in range(10):
        _, writer = await asyncio.open_connection(HOST, node.port)
        writers.append(writer)
        for i in range(calls // 10):
            writer.write(
                msgpack.packb(
                    [0, i, "haku", [SLOW_CALL, {"id": f"o{connection_index}-{i}", "deadline": 50.0}]]
                )
            )
        await writer.drain()
    started_at = time.perf_counter()
    while len(_RpcServer.slow_calls) < calls and time.perf_counter() - started_at < 40.0:
        await asyncio.sleep(0.05)
    growth_mb = _resident_mb(node) - before
    for writer in writers:
        writer.close()
    return len(_RpcServer.slow_calls), growth_mb


async def _measure(requests: int, rounds: int) -> dict[str, float]:
    loop = asyncio.get_running_loop()
    http_servers = [await loop.create_server(_Server, HOST, 0) for _ in range(4)]
    rpc_servers = [await loop.create_server(_RpcServer, HOST, 0) for _ in range(4)]
    discovery = await loop.create_server(_Discovery, HOST, 0)
    discovery_port = discovery.sockets[0].getsockname()[1]
    costs_us: dict[str, list[float]] = {"http": [], "rpc": []}
    with tempfile.TemporaryDirectory() as folder:
        paths = {}
        for name, servers in (("http", http_servers), ("rpc", rpc_servers)):
            paths[name] = Path(folder) / f"{name}.json"
            config = _node_config([server.sockets[0].getsockname()[1] for server in servers])
            # With a long target latency, the node's limit does not refuse the ten thousand open calls.
            config["settings"]["profiles"][0].update(aimMs=60_000.0, deadlineMs=120_000.0)
            paths[name].write_text(json.dumps(config))
        rpc_path = Path(folder) / "rpc.toml"
        rpc_path.write_text(RPC_SETTINGS)
        http_node = await _start(paths["http"], discovery_port, None)
        rpc_node = await _start(paths["rpc"], discovery_port, rpc_path)
        nodes = [http_node, rpc_node]
        try:
            await _cpu_us_per_request(http_node, WARM_UP_REQUESTS)
            await _rpc_cpu_us_per_call(rpc_node, WARM_UP_REQUESTS, [])
            for round_number in range(rounds):
                costs_us["http"].append(await _cpu_us_per_request(http_node, requests))
                costs_us["rpc"].append(await _rpc_cpu_us_per_call(rpc_node, requests, []))
                round_costs = f"{costs_us['http'][-1]:.1f}, {costs_us['rpc'][-1]:.1f}"
                print(
                    f"round {round_number + 1} of {rounds}: {round_costs} us a call over HTTP, RPC",
                    file=sys.stderr,
                )
            unblocked_s: list[float] = []
            await _rpc_cpu_us_per_call(rpc_node, 2000, unblocked_s, clients=1)
            _, slow_writer = await asyncio.open_connection(HOST, rpc_node.port)
            for i in range(8):  # one for each connection to each of the four servers
                slow_writer.write(
                    msgpack.packb([0, i, "haku", [SLOW_CALL, {"id": f"s{i}", "deadline": 50.0}]])
                )
            blocked_s: list[float] = []
            await _rpc_cpu_us_per_call(rpc_node, 2000, blocked_s, clients=1)
            slow_writer.close()
            _RpcServer.slow_calls.clear()
            idle_mb = _resident_mb(rpc_node)
            # The initial limit of a node allows six calls to each server, so that many servers are needed.
            many_servers = [await loop.create_server(_RpcServer, HOST, 0) for _ in range(OPEN_CALLS // 5)]
            config = _node_config([server.sockets[0].getsockname()[1] for server in many_servers])
            config["settings"]["profiles"][0].update(aimMs=60_000.0, deadlineMs=120_000.0)
            paths["http"].write_text(json.dumps(config))
            memory_node = await _start(paths["http"], discovery_port, rpc_path)
            nodes.append(memory_node)
            open_count, growth_mb = await _open_calls(memory_node, OPEN_CALLS)
        finally:
            for node in nodes:
                node.process.kill()
                await node.process.communicate()
    http_us, rpc_us = statistics.median(costs_us["http"]), statistics.median(costs_us["rpc"])
    return {
        "http_us": http_us,
        "rpc_us": rpc_us,
        "rpc_of_http": http_us / rpc_us,
        "open_calls": open_count,
        "open_mb": growth_mb,
        "idle_mb": idle_mb,
        "p99_free_ms": 1e3 * statistics.quantiles(unblocked_s, n=100)[98],
        "p99_beside_slow_ms": 1e3 * statistics.quantiles(blocked_s, n=100)[98],
    }


def main() -> int:
    """Exit code 0 if no call was lost or answered twice, and no unsafe call ran twice."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--calls", type=int, default=10_000, help="number of mixed calls")
    parser.add_argument(
        "--requests", type=int, default=10_000, help="requests of each round of the cost part"
    )
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    tally, call_ids = uvloop.run(play(options.calls))
    print(f"mixed: {len(call_ids)} calls, {tally.restarts} restarts", file=sys.stderr)
    cost = uvloop.run(_measure(options.requests, options.rounds))
    outcomes = " ".join(
        f"{outcome}={tally.count_ended(outcome)}" for outcome in ("served", "refused", "failed")
    )
    lost, doubled = tally.unanswered(call_ids), tally.bookings_executed_twice()
    figures = " ".join(f"{name}={value:.2f}" for name, value in cost.items())
    print(
        f"calls={len(call_ids)} {outcomes} lost={lost} doubled={doubled} twice={tally.ended_repeatedly()}"
        f" served_unrun={tally.served_unexecuted()} restarts={tally.restarts} {figures}"
    )
    return 1 if lost or doubled or tally.ended_repeatedly() or tally.served_unexecuted() else 0


if __name__ == "__main__":
    sys.exit(main())
