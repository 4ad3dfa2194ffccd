"""How long a node's loop is held up by a long list: python -m bench.long_list [--against REV] [--servers N].

A node in this process watches a discovery that writes a whole list of N servers: the first one, the same
again, one in which half of the servers are others, and one in which all are. Meanwhile a callback runs at
every turn of the loop; the longest time between two of them is what a request would have waited. Counted in
wall time, each list ROUNDS times with the median told, the bytes of the list ready before. The last line
gives milliseconds for each list; with --against the same of another revision (before_...).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

HOST = "127.0.0.1"
ROUNDS = 5
LISTS = ("first", "same", "half", "all")


class _Discovery(asyncio.Protocol):
    """Writes the lists that it is told to, on the one watch."""

    def __init__(self, opened: asyncio.Future[_Discovery]) -> None:
        self._opened = opened

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if not self._opened.done():
            self._opened.set_result(self)


def _line(version: int, names: range) -> bytes:
    rows = [
        {
            "instanceId": f"s-{n:08x}",
            "hostPort": f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}:8000",
            "zone": "a",
            "machineType": "m1" if n % 2 else "m2",
            "cell": n % 7,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for n in names
    ]
    text = json.dumps({"generation": version, "reset": True, "instances": rows}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(text), text)


def _config(folder: Path, discovery: int) -> dict[str, str]:
    path = folder / "node.json"
    config = {
        "name": "n",
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:{discovery}",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "profiles": [{"name": "haku", "effect": "safe", "aimMs": 1000.0, "deadlineMs": 3000.0}],
            "guarantees": {"mustAskInMs": 60000.0},
            "registryMode": "pushed",
            "azs": ["a"],
            "models": ["m1", "m2"],
            "policyLimits": {"tryLimit": 3, "retryAfter": True, "cancel": True},
        },
    }
    path.write_text(json.dumps(config))
    return {"NODE_CONFIG": str(path)}


async def _gap(node: Any, watch: _Discovery, line: bytes, version: int) -> float:
    """Milliseconds: the longest time between two turns of the loop until the node has followed the list."""
    worst, last = 0.0, time.perf_counter()
    watch.transport.write(line)
    last = time.perf_counter()
    while node._discovery._version != version:
        await asyncio.sleep(0)
        now = time.perf_counter()
        worst, last = max(worst, now - last), now
    return 1e3 * worst


async def measure(servers: int) -> dict[str, float]:
    from leadrudder.node.config import load_config
    from leadrudder.node.node import Node

    loop = asyncio.get_running_loop()
    found: dict[str, list[float]] = {name: [] for name in LISTS}
    for _ in range(ROUNDS):
        opened: asyncio.Future[_Discovery] = loop.create_future()
        server = await loop.create_server(lambda opened=opened: _Discovery(opened), HOST, 0)  # type: ignore[misc]
        with tempfile.TemporaryDirectory() as folder:
            node = Node(load_config(_config(Path(folder), server.sockets[0].getsockname()[1])))
        await node.start()
        watch = await opened
        halves = servers // 2
        starts = {"first": 0, "same": 0, "half": halves, "all": halves + servers}
        for version, name in enumerate(LISTS, 1):
            line = _line(version, range(starts[name], starts[name] + servers))
            found[name].append(await _gap(node, watch, line, version))
        node.stop()
        await node.wait()
        server.close()
    return {name: statistics.median(gaps) for name, gaps in found.items()}


def main() -> int:
    """Exit code 0 when all lists were followed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--servers", type=int, default=10_000)
    parser.add_argument("--against", help="a revision of this repository")
    parser.add_argument("--plain", action="store_true", help="this tree alone, as JSON")
    chosen = parser.parse_args()
    now = uvloop.run(measure(chosen.servers))
    if chosen.plain:
        print(json.dumps(now))
        return 0
    words = [f"servers={chosen.servers}", *(f"{name}_ms={ms:.1f}" for name, ms in now.items())]
    print(" ".join(words), file=sys.stderr)
    if chosen.against:
        from bench.revision import unpack

        with tempfile.TemporaryDirectory() as folder:
            tree, _ = unpack(chosen.against, Path(folder))
            command = [sys.executable, __file__, "--plain", "--servers", str(chosen.servers)]
            environment = {**os.environ, "PYTHONPATH": str(tree)}
            done = subprocess.run(
                command, cwd=tree, env=environment, capture_output=True, text=True, check=True
            )
        words += [f"before_{name}_ms={ms:.1f}" for name, ms in json.loads(done.stdout).items()]
        words.append(f"against={chosen.against}")
    print(" ".join(words))
    return 0


if __name__ == "__main__":
    sys.exit(main())
