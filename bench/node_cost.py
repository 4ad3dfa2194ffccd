"""The cost of a request in a node, compared with another revision: python -m bench.node_cost --against REV.

Two nodes, one from this tree and one from a checkout of REV, and a bare relay (bench/relay.py) get the same
load in turn over loopback, from a minimal client and with minimal servers of this file. Measured is the
processor time that the kernel charged to the node's process, so that the cost of the load and of other work
on the machine does not count. The last line has the median microseconds per request of each, the median
ratio of the two nodes by round, the node's requests per processor second relative to the relay's (1 would be
equal), and the peak memories of the nodes.
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

from bench.closed_loop import ClosedLoopClient
from bench.revision import ROOT, unpack

HOST = "127.0.0.1"
CLIENT_COUNT = 16
WARM_UP_REQUESTS = 2000
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n" + b"x" * 64


class _Server(asyncio.Protocol):
    """Answers every request head with the same bytes."""

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.write(RESPONSE * data.count(b"\r\n\r\n"))


class _Discovery(asyncio.Protocol):
    """A discovery watch with an empty, constant list."""

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        empty = json.dumps({"generation": 1, "reset": False, "instances": []}).encode() + b"\n"
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(empty), empty)
        )


class _Client(ClosedLoopClient):
    """Sends HTTP requests."""

    def render(self, number: int) -> bytes:
        return (
            b"GET /api/haku HTTP/1.1\r\nHost: x\r\nX-Class: haku\r\nX-Deadline: 3.0\r\n"
            b"X-Request-Id: %x-%x\r\n\r\n" % (id(self), number)
        )

    def data_received(self, data: bytes) -> None:
        if not data.startswith(b"HTTP/1.1 200"):
            self.fail(f"unexpected response: {data[:60]!r}")
            return
        self.send_next()


@dataclass
class _Node:
    """The process of a node and the port at which it listens."""

    process: asyncio.subprocess.Process
    port: int

    def cpu_s(self) -> float:
        stat_fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(stat_fields[11]) + int(stat_fields[12])) / os.sysconf("SC_CLK_TCK")

    def peak_mb(self) -> float:
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        match = re.search(r"VmHWM:\s+(\d+)", text)
        return int(match[1]) / 1024 if match else 0.0


def _node_config(servers: list[int]) -> dict[str, Any]:
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


async def _start(tree: Path, module_and_arguments: list[str], config: Path, discovery_port: int) -> _Node:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *module_and_arguments,
        cwd=tree,
        env={
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(tree),
            "NODE_NAME": "n",
            "NODE_LISTEN": f"{HOST}:0",
            "NODE_DISCOVERY": f"{HOST}:{discovery_port}",
            "NODE_CONFIG": str(config),
        },
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    line = (await process.stderr.readline()).decode()
    match = re.search(r"listens on [\d.]+:(\d+)", line)
    if match is None:
        raise RuntimeError(f"the node of {tree.name} does not listen: {line}")
    return _Node(process, int(match[1]))


async def _cpu_us_per_request(node: _Node, requests: int) -> float:
    """Microseconds of the node's processor time per request."""
    loop = asyncio.get_running_loop()
    before = node.cpu_s()
    done: asyncio.Future[None] = loop.create_future()
    remaining = [requests]
    for _ in range(CLIENT_COUNT):
        await loop.create_connection(lambda: _Client(remaining, done), HOST, node.port)
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
        json.dump(_node_config(ports), file)
        file.flush()
        discovery_port = discovery.sockets[0].getsockname()[1]
        nodes = [await _start(tree, [package], Path(file.name), discovery_port) for tree, package in trees]
        relay_arguments = ["bench.relay", *map(str, ports)]
        nodes.append(await _start(ROOT, relay_arguments, Path(file.name), discovery_port))
        costs: list[list[float]] = [[] for _ in nodes]
        try:
            for node in nodes:
                await _cpu_us_per_request(node, WARM_UP_REQUESTS)
            for round_number in range(rounds):
                for node, node_costs in zip(nodes, costs, strict=True):
                    node_costs.append(await _cpu_us_per_request(node, requests))
                round_costs = ", ".join(f"{node_costs[-1]:.1f}" for node_costs in costs)
                print(f"round {round_number + 1} of {rounds}: {round_costs} us a request", file=sys.stderr)
            return [(node_costs, node.peak_mb()) for node, node_costs in zip(nodes, costs, strict=True)]
        finally:
            for node in nodes:
                node.process.kill()
                await node.process.communicate()


def main() -> int:
    """Exit code 0 if all were measured."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--against", default="HEAD", help="a revision of this repository")
    parser.add_argument("--requests", type=int, default=10_000, help="requests of each round")
    parser.add_argument("--rounds", type=int, default=7)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        (this_us, this_mb), (other_us, other_mb), (relay_us, _) = uvloop.run(
            _measure(
                [(ROOT, "leadrudder"), unpack(options.against, Path(folder))],
                options.requests,
                options.rounds,
            )
        )
    ratio = statistics.median(a / b for a, b in zip(this_us, other_us, strict=True))
    relative_to_relay = statistics.median(a / b for a, b in zip(relay_us, this_us, strict=True))
    print(
        f"now_us={statistics.median(this_us):.1f} against_us={statistics.median(other_us):.1f} "
        f"ratio={ratio:.3f}"
        f" relay_us={statistics.median(relay_us):.1f} node_of_relay={relative_to_relay:.3f}"
        f" now_mb={this_mb:.1f} against_mb={other_mb:.1f} against={options.against} rounds={options.rounds}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
