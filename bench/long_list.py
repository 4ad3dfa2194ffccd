"""How long a long server list blocks a node's event loop.

    python -m bench.long_list [--against REV] [--servers N]

A node in this process watches a discovery service that sends complete lists of N servers: the first, the same
again, one with half of the servers replaced, and one with all replaced. Meanwhile a coroutine runs at every
iteration of the loop; the longest time between two iterations is what a request would have waited, in wall
time. The bytes of a list are prepared beforehand. The last line has the median milliseconds of ROUND_COUNT
rounds for each list; with --against the same of another revision (before_...).
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
ROUND_COUNT = 5
LIST_NAMES = ("first", "same", "half", "all")


class _Discovery(asyncio.Protocol):
    """Accepts the watch, on which the measurement then writes the lists."""

    def __init__(self, watch_opened: asyncio.Future[_Discovery]) -> None:
        self._opened = watch_opened

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if not self._opened.done():
            self._opened.set_result(self)


def _list_chunk(version: int, indices: range) -> bytes:
    instances = [
        {
            "instanceId": f"s-{index:08x}",
            "hostPort": f"10.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}:8000",
            "zone": "a",
            "machineType": "m1" if index % 2 else "m2",
            "cell": index % 7,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for index in indices
    ]
    json_line = json.dumps({"generation": version, "reset": True, "instances": instances}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(json_line), json_line)


def _write_config(folder: Path, discovery_port: int) -> dict[str, str]:
    path = folder / "node.json"
    config = {
        "name": "n",
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:{discovery_port}",
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


async def _longest_gap_ms(node: Any, watch: _Discovery, chunk: bytes, version: int) -> float:
    """The longest milliseconds between two iterations of the loop until the node has applied the list."""
    longest_s, previous = 0.0, time.perf_counter()
    watch.transport.write(chunk)
    previous = time.perf_counter()
    while node._discovery._version != version:
        await asyncio.sleep(0)
        now = time.perf_counter()
        longest_s, previous = max(longest_s, now - previous), now
    return 1e3 * longest_s


async def measure(servers: int) -> dict[str, float]:
    from leadrudder.node.config import load_config
    from leadrudder.node.node import Node

    loop = asyncio.get_running_loop()
    gaps_by_list: dict[str, list[float]] = {name: [] for name in LIST_NAMES}
    for _ in range(ROUND_COUNT):
        watch_opened: asyncio.Future[_Discovery] = loop.create_future()
        server = await loop.create_server(lambda watch_opened=watch_opened: _Discovery(watch_opened), HOST, 0)  # type: ignore[misc]
        with tempfile.TemporaryDirectory() as folder:
            node = Node(load_config(_write_config(Path(folder), server.sockets[0].getsockname()[1])))
        await node.start()
        watch = await watch_opened
        half = servers // 2
        first_indices = {"first": 0, "same": 0, "half": half, "all": half + servers}
        for version, name in enumerate(LIST_NAMES, 1):
            chunk = _list_chunk(version, range(first_indices[name], first_indices[name] + servers))
            gaps_by_list[name].append(await _longest_gap_ms(node, watch, chunk, version))
        node.stop()
        await node.wait()
        server.close()
    return {name: statistics.median(gaps) for name, gaps in gaps_by_list.items()}


def main() -> int:
    """Exit code 0 if the node applied all lists."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--servers", type=int, default=10_000)
    parser.add_argument("--against", help="a revision of this repository")
    parser.add_argument("--plain", action="store_true", help="measure only this tree and print JSON")
    options = parser.parse_args()
    now = uvloop.run(measure(options.servers))
    if options.plain:
        print(json.dumps(now))
        return 0
    figures = [f"servers={options.servers}", *(f"{name}_ms={ms:.1f}" for name, ms in now.items())]
    print(" ".join(figures), file=sys.stderr)
    if options.against:
        from bench.revision import unpack

        with tempfile.TemporaryDirectory() as folder:
            tree, _ = unpack(options.against, Path(folder))
            command = [sys.executable, __file__, "--plain", "--servers", str(options.servers)]
            environment = {**os.environ, "PYTHONPATH": str(tree)}
            completed = subprocess.run(
                command, cwd=tree, env=environment, capture_output=True, text=True, check=True
            )
        figures += [f"before_{name}_ms={ms:.1f}" for name, ms in json.loads(completed.stdout).items()]
        figures.append(f"against={options.against}")
    print(" ".join(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
