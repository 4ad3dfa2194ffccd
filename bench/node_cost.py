"""What a request costs a node in service, now against another revision: python -m bench.node_cost --against
REV.

Two nodes, one from this tree and one from a checkout of REV, and a bare relay (bench/relay.py) take the same
load in turn over loopback, A B C A B C; in front of each a plain client, behind each a plain server of this
file. Counted is the processor time that the kernel charged to the node's process, so that the load's own cost
and the machine's other work do not enter. The last line gives the median microseconds a request of each, the
ratio of the nodes in pairs, what the node serves for a processor second against the relay (1 would be as
much), and the nodes' peak memories.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import statistics
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from bench.revision import ROOT, unpack

HOST = "127.0.0.1"
CLIENTS = 16
WARM_UP = 2000
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n" + b"x" * 64


class _Server(asyncio.Protocol):
    """Answers every head with the same bytes."""

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.write(ANSWER * data.count(b"\r\n\r\n"))


class _Discovery(asyncio.Protocol):
    """A watch in which nothing changes."""

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        empty = json.dumps({"generation": 1, "reset": False, "instances": []}).encode() + b"\n"
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(empty), empty)
        )


class _Client(asyncio.Protocol):
    """Asks again as soon as it has its answer, so many times in all."""

    def __init__(self, left: list[int], done: asyncio.Future[None]) -> None:
        self._left = left
        self._done = done
        self._number = 0

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
        self._transport.write(
            b"GET /api/haku HTTP/1.1\r\nHost: x\r\nX-Class: haku\r\nX-Deadline: 3.0\r\n"
            b"X-Request-Id: %x-%x\r\n\r\n" % (id(self), self._number)
        )

    def data_received(self, data: bytes) -> None:
        if not data.startswith(b"HTTP/1.1 200") and not self._done.done():
            self._done.set_exception(RuntimeError(f"an answer that is none: {data[:60]!r}"))
            return
        self._ask()


@dataclass
class _Node:
    """A node's process and where it listens."""

    process: asyncio.subprocess.Process
    port: int

    def cpu_s(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def peak_mb(self) -> float:
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+)", text)
        return int(found[1]) / 1024 if found else 0.0


def _config(servers: list[int]) -> dict[str, Any]:
    rows = [
        {
            "instanceId": f"s{port}",
            "hostPort": f"{HOST}:{port}",
            "zone": "a",
            "machineType": "m",
            "cell": 0,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for port in servers
    ]
    return {
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": rows},
        "settings": {
            "profiles": [{"name": "haku", "effect": "safe", "aimMs": 1000.0, "deadlineMs": 3000.0}],
            "registryMode": "pushed",
            "policyLimits": {"tryLimit": 3, "retryAfter": True, "cancel": True},
        },
    }


async def _start(tree: Path, words: list[str], config: Path, discovery: int) -> _Node:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *words,
        cwd=tree,
        env={
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(tree),
            "NODE_NAME": "n",
            "NODE_LISTEN": f"{HOST}:0",
            "NODE_DISCOVERY": f"{HOST}:{discovery}",
            "NODE_CONFIG": str(config),
        },
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    line = (await process.stderr.readline()).decode()
    found = re.search(r"listens on [\d.]+:(\d+)", line)
    if found is None:
        raise RuntimeError(f"the node of {tree.name} does not listen: {line}")
    return _Node(process, int(found[1]))


async def _load(node: _Node, requests: int) -> float:
    """Microseconds of the node's processor time a request."""
    loop = asyncio.get_running_loop()
    before = node.cpu_s()
    done: asyncio.Future[None] = loop.create_future()
    left = [requests]
    for _ in range(CLIENTS):
        await loop.create_connection(lambda: _Client(left, done), HOST, node.port)
    await done
    return 1e6 * (node.cpu_s() - before) / requests


async def _measure(
    trees: list[tuple[Path, str]], requests: int, rounds: int
) -> list[tuple[list[float], float]]:
    loop = asyncio.get_running_loop()
    listeners = [await loop.create_server(_Server, HOST, 0) for _ in range(4)]
    discovery = await loop.create_server(_Discovery, HOST, 0)
    ports = [server.sockets[0].getsockname()[1] for server in listeners]
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(_config(ports), file)
        file.flush()
        agent = discovery.sockets[0].getsockname()[1]
        nodes = [await _start(tree, [package], Path(file.name), agent) for tree, package in trees]
        relay = ["bench.relay", *map(str, ports)]
        nodes.append(await _start(ROOT, relay, Path(file.name), agent))
        costs: list[list[float]] = [[] for _ in nodes]
        try:
            for node in nodes:
                await _load(node, WARM_UP)
            for turn in range(rounds):
                for node, found in zip(nodes, costs, strict=True):
                    found.append(await _load(node, requests))
                pair = ", ".join(f"{found[-1]:.1f}" for found in costs)
                print(f"round {turn + 1} of {rounds}: {pair} us a request", file=sys.stderr)
            return [(found, node.peak_mb()) for node, found in zip(nodes, costs, strict=True)]
        finally:
            for node in nodes:
                node.process.kill()
                await node.process.communicate()


def main() -> int:
    """Exit code 0 when both were measured."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--against", default="HEAD", help="a revision of this repository")
    parser.add_argument("--requests", type=int, default=10_000, help="of each round")
    parser.add_argument("--rounds", type=int, default=7)
    chosen = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        (now, now_mb), (then, then_mb), (relay, _) = uvloop.run(
            _measure(
                [(ROOT, "leadrudder"), unpack(chosen.against, Path(folder))], chosen.requests, chosen.rounds
            )
        )
    ratio = statistics.median(a / b for a, b in zip(now, then, strict=True))
    of_relay = statistics.median(a / b for a, b in zip(relay, now, strict=True))
    print(
        f"now_us={statistics.median(now):.1f} against_us={statistics.median(then):.1f} ratio={ratio:.3f}"
        f" relay_us={statistics.median(relay):.1f} node_of_relay={of_relay:.3f}"
        f" now_mb={now_mb:.1f} against_mb={then_mb:.1f} against={chosen.against} rounds={chosen.rounds}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
