"""leadrudder demo."""

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

from leadrudder.demo.parts import HOST, Discovery, Server, call
from leadrudder.demo.record import Record
from leadrudder.tool.check import Checked, check_sources
from leadrudder.tool.render import Rendered, render
from leadrudder.tool.source import parse
from leadrudder.tool.template import template

SERVERS = 5
CALLERS = 24
KILL_AT, DRAIN_AT, GONE_AT = 0.3, 0.5, 0.7  # parts of the whole time
LAST_S = 4.0  # for what is on its way at the end


def _rendered(port: int, discovery: str) -> Rendered:
    """The node of the file that `leadrudder init` writes."""
    done = Checked()
    check_sources(
        [parse("demo.toml", template("demo.toml", "demo", "palvelu", f"{HOST}:{port}", discovery))], done
    )
    return render(done.files[0])[0]


def _free_port() -> int:
    with socket.socket() as one:
        one.bind((HOST, 0))
        return int(one.getsockname()[1])


async def _ready(port: int, process: asyncio.subprocess.Process) -> None:
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


async def _events(servers: list[Server], discovery: Discovery, seconds: float) -> None:
    """One server is killed, another drains and goes."""
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def at(part: float) -> None:
        await asyncio.sleep(max(0.0, began + part * seconds - loop.time()))

    await at(KILL_AT)
    print(f"{KILL_AT * seconds:5.1f} s  server {servers[0].name} is killed", flush=True)
    servers[0].kill()
    await at(DRAIN_AT)
    print(f"{DRAIN_AT * seconds:5.1f} s  server {servers[1].name} drains", flush=True)
    discovery.change(servers[0].row("DELETED"))
    discovery.change(servers[1].row("DRAINING"))
    await at(GONE_AT)
    servers[1].draining = True
    discovery.change(servers[1].row("DELETED"))


async def _progress(record: Record, seconds: float) -> None:
    for second in range(1, int(seconds) + 1):
        await asyncio.sleep(1.0)
        print(f"{second:5.1f} s  {record.line()}", flush=True)


async def _play(seconds: float) -> Record:
    record, keys = Record(), set[str]()
    servers = [Server(f"palvelin-{i + 1}", record, keys) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    rows = [server.row() for server in servers]
    by_name = {server.name: server for server in servers}

    def told(name: str) -> None:
        server = by_name[name]
        server.told_s = server.told_s or asyncio.get_running_loop().time()

    discovery = Discovery(rows, told)
    await discovery.start()
    port = _free_port()
    node = _rendered(port, discovery.address)
    with tempfile.TemporaryDirectory(prefix="leadrudder-") as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps({**node.config, "known": discovery.listing(rows, whole=True)}))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "leadrudder",
            env={**node.environment, "NODE_CONFIG": str(path)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            await _ready(port, process)
            await discovery.watched.wait()  # what changes from here on is told to the node
            until = asyncio.get_running_loop().time() + seconds
            callers = [call(port, record, number, until) for number in range(CALLERS)]
            await asyncio.wait_for(
                asyncio.gather(*callers, _events(servers, discovery, seconds), _progress(record, seconds)),
                seconds + LAST_S,
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

    A server is killed and one drains meanwhile. Exit code 0 only if no request was lost, no effect happened
    twice, and the drain was kept.
    """
    record = asyncio.run(_play(seconds))
    print(record.table())
    broken = record.broken()
    print("the rules held" if not broken else f"broken: {'; '.join(broken)}")
    return 1 if broken else 0
