"""Both programs on loopback: three control-plane and two data-plane nodes, a stub server beside each of the
latter, and one client.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from leadrudder.backup import snapshot
from leadrudder.emulation.standins import encoded_request, http_call
from leadrudder.maintenance.contract import WEEKDAYS
from leadrudder.mesh import snapshots
from leadrudder.transport.http import BufferedHttpMessage, HttpReader, render_response

CONTROL_PLANE_NODES, DATA_PLANE_NODES = 3, 2
TIMEOUT_S = 20.0  # for the whole demo, and more with --drill or --window
_SETTINGS = """nodeName = "{name}"
zone = "z{zone}"
ip = "{ip}"
sparePorts = [{port}, {last}]
seedNodes = [{seeds}]
firstRun = {first}
dataFolder = "{folder}"
beatEvery = "500ms"
ruleBounds = ["grace=3s"]
appAddress = "{ip}:{app}"
service = "palvelu"
[addresses]
controlPort = "{ip}:{control}"
{extra_settings}
[limits]
ramMb = {memory_limit_mb}
openFiles = {open_files}
[withstand]
machineLosses = 1
"""


class _StubServer(asyncio.Protocol):
    """A stub server that answers with its own name."""

    def __init__(self, name: bytes) -> None:
        self._name = name
        self._reader = HttpReader(self._answer, requests=True)
        self._transport: asyncio.BaseTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)

    def _answer(self, message: object) -> None:
        assert isinstance(message, BufferedHttpMessage) and isinstance(self._transport, asyncio.Transport)
        attempt_id = message.headers.get(b"attempt-id", b"")
        fields = b"Attempt-Id: %s\r\nServer-Seal: %s\r\n" % (attempt_id, self._name)
        self._transport.write(
            render_response(200, fields, b"served by %s for %s\n" % (self._name, message.target))
        )


CALL_TIMEOUT_S = 2.0


async def _call(address: tuple[str, int], text: bytes) -> BufferedHttpMessage | None:
    """Sends one request on its own connection; returns None if there is no complete response."""
    return await http_call(address, text, CALL_TIMEOUT_S)


def _render_request(method: str, path: str, body: bytes = b"", fields: str = "") -> bytes:
    return encoded_request(method, path, "demo.example", fields, body)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return min(int(probe.getsockname()[1]), 65000)


CONFIGURATION = {
    "addOrReplace": {
        "routes": {
            "haku": {
                "host": "demo.example",
                "pathStart": "/haku/",
                "kind": "safe",
                "giveUp": "2s",
                "target": "300ms",
                "priority": 1,
                "service": "palvelu",
                "tries": 2,
                "version": "00000001",
            }
        },
        "services": {"palvelu": {"healthPath": "/health", "maxConnections": 100, "version": "00000001"}},
    },
    "remove": {"routes": []},
}


async def _call_until(
    label: str, request_bytes: bytes, addresses: list[tuple[str, int]], status: int = 200
) -> BufferedHttpMessage:
    """Calls each address in turn until one returns the status; the caller sets the timeout."""
    while True:
        for address in addresses:
            answer = await _call(address, request_bytes)
            if answer is not None and answer.status == status:
                print(f"{label}: {status} from {address[0]}:{address[1]}", flush=True)
                return answer
        await asyncio.sleep(0.05)


@dataclass(slots=True)
class LoopbackFleet:
    """The processes on loopback and the ports they listen on."""

    base_port: int
    folder: Path
    maintenance_windows: bool = False
    control_plane_ips: tuple[str, ...] = tuple(f"127.0.1.{i + 1}" for i in range(CONTROL_PLANE_NODES))
    data_plane_ips: tuple[str, ...] = tuple(f"127.0.2.{i + 1}" for i in range(DATA_PLANE_NODES))
    processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)
    memory_limit_mb: int = 300  # of each process
    open_files: int = 4096

    @property
    def app_port(self) -> int:
        """The port of the stub servers."""
        return self.base_port + 1

    @property
    def outbound_port(self) -> int:
        return self.base_port + 2

    async def start(self, ips: Sequence[str] = (), *, first_run: bool = True) -> None:
        """Starts all processes, or those of the given addresses, each with its own settings file."""
        seeds = ", ".join(f'"{ip}:{self.base_port}"' for ip in self.control_plane_ips)
        for i, ip in enumerate([*self.control_plane_ips, *self.data_plane_ips]):
            if ips and ip not in ips:
                continue
            is_data_plane = ip in self.data_plane_ips
            extra_settings = (
                f'outboundPort = "{ip}:{self.outbound_port}"\nreadiness = "{ip}:{self.base_port + 3}"'
                if is_data_plane
                else ""
            )
            path = self.folder / f"node-{i}.toml"
            path.write_text(
                _SETTINGS.format(
                    name=f"{'station' if is_data_plane else 'signalbox'}-{i}",
                    zone=i % 3,
                    ip=ip,
                    port=self.base_port + 4,
                    last=self.base_port + 9,
                    seeds=seeds,
                    folder="" if is_data_plane else self.folder / f"disk-{i}",
                    app=self.app_port,
                    control=self.base_port,
                    first="true" if first_run else "false",
                    extra_settings=extra_settings,
                    memory_limit_mb=self.memory_limit_mb,
                    open_files=self.open_files,
                )
            )
            self.processes[ip] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "leadrudder.data_plane" if is_data_plane else "leadrudder.control_plane",
                *(["--possession"] if self.maintenance_windows else []),
                env={**os.environ, "LEADRUDDER_NODE_FILE": str(path)},
                stderr=asyncio.subprocess.DEVNULL,
            )

    async def configure(self) -> None:
        """Writes the initial configuration to the first control-plane node that accepts it."""
        patch = _render_request("PATCH", "/config", json.dumps(CONFIGURATION).encode())
        await _call_until(
            "configuration taken", patch, [(ip, self.base_port) for ip in self.control_plane_ips]
        )

    async def send_heartbeat(self, ip: str, count: int = 1, *, quiet: bool = False) -> None:
        """Sends a server's heartbeat to the data-plane node on its machine."""
        heartbeat = {
            "address": f"{ip}:{self.app_port}",
            "details": {"service": "palvelu", "zone": "z0", "capacity": 64},
            "status": {"state": "ready", "callCount": count, "coldLeft": "0ms"},
        }
        put = _render_request("PUT", f"/servers/i-{ip}", json.dumps(heartbeat).encode())
        if quiet:
            await _call((ip, self.base_port), put)
        else:
            await _call_until("beat acknowledged", put, [(ip, self.base_port)])

    async def wait_ready(self) -> None:
        for ip in self.data_plane_ips:
            await _call_until("ready", _render_request("GET", "/ready"), [(ip, self.base_port + 3)])

    async def stop(self) -> list[int]:
        return await _terminate(list(self.processes.values()))


async def _restore_drill(fleet: LoopbackFleet, folder: Path, configuration: bytes) -> None:
    """Deletes the disks of all control-plane nodes and restores their state from a snapshot."""
    control_addresses = [(ip, fleet.base_port) for ip in fleet.control_plane_ips]
    downloaded = await _call_until("snapshot", _render_request("GET", "/snapshot"), control_addresses)
    path = snapshot.save_snapshot(str(folder / "kept"), downloaded.body, time.time(), 1)
    codes = await _terminate([fleet.processes[ip] for ip in fleet.control_plane_ips])
    for disk in folder.glob("disk-*"):
        shutil.rmtree(disk)
    print(f"signalboxes ended {codes}, their disks are gone", flush=True)
    holders = [f"{ip}:{fleet.base_port + 4}" for ip in fleet.control_plane_ips]
    if snapshots.restore_disks([path], holders, str(folder / "new")):
        raise TimeoutError
    for i, holder in enumerate(holders):
        (folder / "new" / holder.replace(":", "-")).rename(folder / f"disk-{i}")
    await fleet.start(fleet.control_plane_ips, first_run=False)
    restored = await _call_until(
        "configuration read back", _render_request("GET", "/config"), control_addresses
    )
    if json.loads(restored.body) != json.loads(configuration):
        raise TimeoutError
    # Two of three can answer a read; SIGTERM would end the third at once if it is still starting.
    for ip in fleet.control_plane_ips:
        await _call_until("started", _render_request("GET", "/ring"), [(ip, fleet.base_port)])
    print("it is what stood before", flush=True)


async def _maintenance_window(fleet: LoopbackFleet) -> None:
    """Takes the first machine out of the tenant's traffic for a while, under continuous requests."""
    control_addresses = [(ip, fleet.base_port) for ip in fleet.control_plane_ips]
    contract = {"hosts": ["demo.example"], "timeZone": "Europe/Helsinki", "capacityLeft": 0.5, "version": "1"}
    contract["approved"] = [{"days": list(WEEKDAYS), "from": "00:00", "to": "24:00"}]
    body = json.dumps({"addOrReplace": {"contracts": {"kampaamo": contract}}}).encode()
    await _call_until("contract taken", _render_request("PATCH", "/contracts", body), control_addresses)
    order = {"from": time.time(), "to": time.time() + 60.0, "machines": ["station-3"], "works": "2s"}
    body = json.dumps({**order, "return": "2s"}).encode()
    await _call_until(
        "window planned", _render_request("POST", "/maintenance/huolto", body), control_addresses
    )
    served: dict[str, Counter[str]] = {}
    batch: Counter[str] = Counter()
    stage, asked = "waiting", 0
    while stage != "back":
        asked += 1
        request_bytes = _render_request(
            "GET", "/haku/lauantai", fields=f"Attempt-Id: w{asked}\r\nTime-Left: 1500\r\n"
        )
        answer = await _call(
            (fleet.data_plane_ips[asked % DATA_PLANE_NODES], fleet.outbound_port), request_bytes
        )
        if answer is None or answer.status != 200:
            print(f"a look-up was answered {answer and answer.status} while the window ran", file=sys.stderr)
            raise TimeoutError
        batch[answer.body.split()[2].decode()] += 1
        if asked % 20 == 0:
            for ip in fleet.data_plane_ips:
                await fleet.send_heartbeat(ip, 1 + asked, quiet=True)
            progress = await _call(control_addresses[0], _render_request("GET", "/maintenance/huolto"))
            if progress is not None and progress.status == 200:
                before, stage = stage, json.loads(progress.body)["machines"][0]["stage"]
                if before == stage:  # otherwise the batch spans two stages
                    served.setdefault(stage, Counter()).update(batch)
                batch.clear()
        await asyncio.sleep(0.02)
    for name, counts in served.items():
        print(f"{name}: {', '.join(f'{by} served {n}' for by, n in sorted(counts.items()))}")
    if fleet.data_plane_ips[0] in served.get("out", Counter([fleet.data_plane_ips[0]])):
        raise TimeoutError
    print(f"{asked} look-ups were served, none by the machine while it was out", flush=True)


async def _run(base_port: int, folder: Path, drill: bool, window: bool) -> int:
    loop = asyncio.get_running_loop()
    fleet = LoopbackFleet(base_port, folder, maintenance_windows=window)
    try:
        async with asyncio.timeout(TIMEOUT_S * (1 + drill + 2 * window)):
            await fleet.start()
            for ip in fleet.data_plane_ips:
                await loop.create_server(lambda ip=ip: _StubServer(ip.encode()), ip, fleet.app_port)  # type: ignore[misc]
            await fleet.configure()
            for ip in fleet.data_plane_ips:
                await fleet.send_heartbeat(ip)
            await fleet.wait_ready()
            request_bytes = _render_request(
                "GET", "/haku/lauantai", fields="Attempt-Id: a1\r\nTime-Left: 1500\r\n"
            )
            answer = await _call_until(
                "request served", request_bytes, [(ip, fleet.outbound_port) for ip in fleet.data_plane_ips]
            )
            print(answer.body.decode(), end="")
            control_addresses = [(ip, fleet.base_port) for ip in fleet.control_plane_ips]
            configuration = await _call_until(
                "configuration read back", _render_request("GET", "/config"), control_addresses
            )
            if window:
                await _maintenance_window(fleet)
            if drill:
                await _restore_drill(fleet, folder, configuration.body)
                for ip in fleet.data_plane_ips:  # servers without heartbeats for so long count as gone
                    await fleet.send_heartbeat(ip, 2)
                await _call_until(
                    "request served",
                    request_bytes,
                    [(ip, fleet.outbound_port) for ip in fleet.data_plane_ips],
                )
    except TimeoutError:
        print("leadrudder: the demo was not served in time", file=sys.stderr)
        return 1
    finally:
        codes = await fleet.stop()
    print(f"ended: {codes}")
    return 0 if not any(codes) else 1


async def _terminate(processes: list[asyncio.subprocess.Process]) -> list[int]:
    """Sends SIGTERM, kills what does not exit, and returns the exit codes."""
    for process in processes:
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
    codes = []
    for process in processes:
        try:
            codes.append(await asyncio.wait_for(process.wait(), 8.0))
        except TimeoutError:
            process.kill()
            codes.append(await process.wait())
    return codes


def run(port: int, drill: bool = False, window: bool = False) -> int:
    """Returns 0 if a request was served and all processes exited cleanly.

    drill: also after all disks were lost and restored.  window: also while a machine was out for maintenance.
    """
    with tempfile.TemporaryDirectory(prefix="leadrudder-mesh-") as folder:
        return asyncio.run(_run(port or free_port(), Path(folder), drill, window))
