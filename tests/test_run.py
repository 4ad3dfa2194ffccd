"""The run command of deploy/balancer.toml, started as the platform does."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import re
import signal
import tomllib
from pathlib import Path

from leadrudder.__main__ import _LogRateLimit
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

ROOT = Path(__file__).parent.parent


async def _start(environment: dict[str, str]) -> asyncio.subprocess.Process:
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        command,
        cwd=ROOT,
        env={**os.environ, **environment},
        stderr=asyncio.subprocess.PIPE,
    )


def test_run_command_serves_follows_sighup_and_exits_with_0_on_sigterm(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"served")]) as server, StubDiscovery() as discovery:
            config = tmp_path / "config.json"
            raw = {
                "seed": "1",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": listing(1, row("a", server.address)),
                "settings": settings(),
            }
            config.write_text(json.dumps(raw))
            process = await _start(
                {
                    "NODE_NAME": "n0",
                    "NODE_LISTEN": f"{HOST}:0",
                    "NODE_DISCOVERY": discovery.address,
                    "NODE_CONFIG": str(config),
                }
            )
            assert process.stderr is not None
            line = (await asyncio.wait_for(process.stderr.readline(), WAIT_TIMEOUT_S)).decode()
            found = re.search(r"listens on ([\d.]+):(\d+)", line)
            assert found, line
            client = await StubClient.connect((found[1], int(found[2])))
            assert (await client.ask(target="/ready")).status == 200
            assert (await client.ask("look")).body == b"served"
            async with StubDiscovery() as moved:
                await discovery.watch()
                config.write_text(json.dumps({**raw, "discovery": moved.address}))
                process.send_signal(signal.SIGHUP)
                await moved.watch()
                assert (await client.ask("look")).body == b"served"
            process.send_signal(signal.SIGTERM)
            _, log = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
            assert process.returncode == 0, log.decode()

    run(main())


def test_invalid_configuration_prints_one_line_and_exits_with_2(tmp_path: Path) -> None:
    async def main() -> None:
        config = tmp_path / "config.json"
        config.write_text("{}")
        process = await _start({"NODE_NAME": "n0", "NODE_CONFIG": str(config)})
        _, error = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
        assert process.returncode == 2
        assert error.decode() == "leadrudder: settings is missing or not of type dict: None\n"

    run(main())


def test_log_rate_limit_suppresses_and_counts_lines() -> None:
    limit = _LogRateLimit(lines_per_s=0.0, burst=3.0)

    def record() -> logging.LogRecord:
        return logging.LogRecord("x", logging.WARNING, "", 0, "server %s", ("a",), None)

    assert [limit.filter(record()) for _ in range(5)] == [True, True, True, False, False]
    limit._tokens = 1.0
    last = record()
    assert limit.filter(last) and last.getMessage() == "(2 lines left out) server a"
