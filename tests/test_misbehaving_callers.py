"""Crowds of clients that do not behave, at the single node as a real process with a low memory limit.

Guards against the fault of issue 82: such clients ended a process by its memory.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import sys
from pathlib import Path

import pytest

from bench.misbehaving import Crowd, Payload, chunked_body, declared_body, repeated_name, short_names
from bench.peak_memory import peak_memory_mb
from tests.stubs import (
    HOST,
    WAIT_TIMEOUT_S,
    StubClient,
    StubDiscovery,
    StubServer,
    listing,
    reply,
    row,
    run,
    settings,
)

MEMORY_LIMIT_MB = 100
MEMORY_BOUND_MIB = MEMORY_LIMIT_MB * 1_000_000 // 2**20
SOCKETS = 1024
CROWD = 300


@pytest.mark.parametrize(
    "payload",
    [short_names, repeated_name, chunked_body(16_000, 2), declared_body(64_000)],
    ids=["short names", "one name", "two-byte chunks", "bodies one byte short"],
)
def test_a_crowd_leaves_the_node_within_its_memory_and_answering(tmp_path: Path, payload: Payload) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"served")]) as server, StubDiscovery() as discovery:
            config = tmp_path / "config.json"
            limits = {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKETS}
            known = listing(1, row("a", server.address))
            raw = {"seed": "1", "limits": limits, "known": known, "settings": settings()}
            config.write_text(json.dumps(raw))
            environment = {
                **os.environ,
                "NODE_NAME": "n0",
                "NODE_LISTEN": f"{HOST}:0",
                "NODE_DISCOVERY": discovery.address,
                "NODE_CONFIG": str(config),
            }
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "leadrudder", env=environment, stderr=asyncio.subprocess.PIPE
            )
            assert process.stderr is not None
            line = (await asyncio.wait_for(process.stderr.readline(), WAIT_TIMEOUT_S)).decode()
            found = re.search(r"listens on ([\d.]+):(\d+)", line)
            assert found, line
            address = (found[1], int(found[2]))
            crowd = Crowd(address, CROWD, payload)
            try:
                await crowd.arrive()
                client = await StubClient.connect(address)
                assert (await client.ask("look")).body == b"served"
            finally:
                await crowd.leave()
            assert (await client.ask("look")).body == b"served"
            assert 0 < peak_memory_mb(process.pid) < MEMORY_BOUND_MIB
            process.send_signal(signal.SIGTERM)
            _, log = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
            assert process.returncode == 0, log.decode()

    run(main())
