"""The `demo` command of the tool."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import sys
import tempfile
from pathlib import Path

import click

from leadrudder.demo.parts import HOST, StandInDiscovery, StandInServer, run_caller
from leadrudder.demo.record import Record
from leadrudder.tool.check import CheckResult, check_sources
from leadrudder.tool.render import RenderedNode, render_nodes
from leadrudder.tool.source import parse_source
from leadrudder.tool.template import new_file_text

SERVER_COUNT = 5
CALLER_COUNT = 24
KILL_AT_FRACTION, DRAIN_AT_FRACTION, REMOVE_AT_FRACTION = 0.3, 0.5, 0.7  # of the run time
COMPLETION_GRACE_S = 4.0  # for requests still in progress at the end


def _render_node(port: int, discovery: str) -> RenderedNode:
    """The node described by the file that `leadrudder init` writes."""
    checked = CheckResult()
    check_sources(
        [
            parse_source(
                "demo.toml", new_file_text("demo.toml", "demo", "palvelu", f"{HOST}:{port}", discovery)
            )
        ],
        checked,
    )
    return render_nodes(checked.files[0])[0]


def _free_port() -> int:
    with socket.socket() as probe_socket:
        probe_socket.bind((HOST, 0))
        return int(probe_socket.getsockname()[1])


async def _wait_until_ready(port: int, process: asyncio.subprocess.Process) -> None:
    while process.returncode is None:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n")
            ready = (await reader.readline()).startswith(b"HTTP/1.1 200")
            writer.close()
            if ready:
                return
        await asyncio.sleep(0.02)
    raise click.ClickException("the node ended before it was ready")


async def _run_events(servers: list[StandInServer], discovery: StandInDiscovery, seconds: float) -> None:
    """Kill one server; drain another one and remove it."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()

    async def wait_until(fraction: float) -> None:
        await asyncio.sleep(max(0.0, started_s + fraction * seconds - loop.time()))

    await wait_until(KILL_AT_FRACTION)
    print(f"{KILL_AT_FRACTION * seconds:5.1f} s  server {servers[0].name} is killed", flush=True)
    servers[0].kill()
    await wait_until(DRAIN_AT_FRACTION)
    print(f"{DRAIN_AT_FRACTION * seconds:5.1f} s  server {servers[1].name} drains", flush=True)
    discovery.publish(servers[0].instance("DELETED"))
    discovery.publish(servers[1].instance("DRAINING"))
    await wait_until(REMOVE_AT_FRACTION)
    servers[1].draining = True
    discovery.publish(servers[1].instance("DELETED"))


async def _print_progress(record: Record, seconds: float) -> None:
    for second in range(1, int(seconds) + 1):
        await asyncio.sleep(1.0)
        print(f"{second:5.1f} s  {record.progress_line()}", flush=True)


async def _run_demo(seconds: float) -> Record:
    record, executed_keys = Record(), set[str]()
    servers = [StandInServer(f"palvelin-{i + 1}", record, executed_keys) for i in range(SERVER_COUNT)]
    for server in servers:
        await server.start()
    instances = [server.instance() for server in servers]
    by_name = {server.name: server for server in servers}

    def drain_announced(name: str) -> None:
        server = by_name[name]
        server.drain_announced_s = server.drain_announced_s or asyncio.get_running_loop().time()

    discovery = StandInDiscovery(instances, drain_announced)
    await discovery.start()
    port = _free_port()
    node = _render_node(port, discovery.address)
    with tempfile.TemporaryDirectory(prefix="leadrudder-") as directory:
        path = Path(directory) / "config.json"
        path.write_text(json.dumps({**node.config, "known": discovery.listing(instances, reset=True)}))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "leadrudder",
            env={**node.environment, "NODE_CONFIG": str(path)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            await _wait_until_ready(port, process)
            await discovery.watched.wait()  # from here on the node receives every update
            until_s = asyncio.get_running_loop().time() + seconds
            callers = [run_caller(port, record, number, until_s) for number in range(CALLER_COUNT)]
            await asyncio.wait_for(
                asyncio.gather(
                    *callers, _run_events(servers, discovery, seconds), _print_progress(record, seconds)
                ),
                seconds + COMPLETION_GRACE_S,
            )
        finally:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
            await process.wait()
            discovery.close()
            for server in servers:
                server.kill()
    return record


@click.command()
@click.option("--seconds", type=click.FloatRange(1.0, 600.0), default=10.0, show_default=True)
def demo(seconds: float) -> int:
    """Run a real node between stand-in servers, discovery and callers on loopback, and check the rules.

    A server is killed and another drains meanwhile. Exit code 0 only if no request was lost, no effect
    happened twice, and the drain was kept.
    """
    record = asyncio.run(_run_demo(seconds))
    print(record.table())
    violations = record.violations()
    print("the rules held" if not violations else f"broken: {'; '.join(violations)}")
    return 1 if violations else 0
