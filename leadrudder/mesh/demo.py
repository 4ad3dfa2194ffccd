"""Both programs on loopback: three signalboxes, two stations, a stand-in server beside each, one client."""

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
from leadrudder.maintenance.contract import DAYS
from leadrudder.mesh import snapshots
from leadrudder.transport.http import WholeMessage, WholeReader, rendered

CORES, SIDES = 3, 2
WHOLE_S = 20.0  # in which all must be served
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
{more}
[limits]
ramMb = 300
[withstand]
machineLosses = 1
"""


class _Server(asyncio.Protocol):
    """A stand-in server: answers with its own name."""

    def __init__(self, name: bytes) -> None:
        self._name = name
        self._reader = WholeReader(self._answer, requests=True)
        self._transport: asyncio.BaseTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)

    def _answer(self, message: object) -> None:
        assert isinstance(message, WholeMessage) and isinstance(self._transport, asyncio.Transport)
        told = message.headers.get(b"attempt-id", b"")
        fields = b"Attempt-Id: %s\r\nServer-Seal: %s\r\n" % (told, self._name)
        self._transport.write(rendered(200, fields, b"served by %s for %s\n" % (self._name, message.target)))


CALL_S = 2.0


async def _call(address: tuple[str, int], text: bytes) -> WholeMessage | None:
    """One call on a connection of its own; None where there is no whole answer."""
    return await http_call(address, text, CALL_S)


def _http(method: str, path: str, body: bytes = b"", fields: str = "") -> bytes:
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


async def _until(what: str, ask: bytes, addresses: list[tuple[str, int]], status: int = 200) -> WholeMessage:
    """Ask each in turn until one answers so; TimeoutError is the caller's."""
    while True:
        for address in addresses:
            answer = await _call(address, ask)
            if answer is not None and answer.status == status:
                print(f"{what}: {status} from {address[0]}:{address[1]}", flush=True)
                return answer
        await asyncio.sleep(0.05)


@dataclass(slots=True)
class Fleet:
    """The processes on loopback, and where they listen."""

    base: int
    folder: Path
    possession: bool = False
    cores: tuple[str, ...] = tuple(f"127.0.1.{i + 1}" for i in range(CORES))
    sides: tuple[str, ...] = tuple(f"127.0.2.{i + 1}" for i in range(SIDES))
    processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)

    @property
    def app(self) -> int:
        """The port of the stand-in servers."""
        return self.base + 1

    @property
    def outbound(self) -> int:
        return self.base + 2

    async def start(self, ips: Sequence[str] = (), *, first_run: bool = True) -> None:
        """Start all processes, or those of some addresses; each is told by a settings file of its own."""
        seeds = ", ".join(f'"{ip}:{self.base}"' for ip in self.cores)
        for i, ip in enumerate([*self.cores, *self.sides]):
            if ips and ip not in ips:
                continue
            side = ip in self.sides
            more = (
                f'outboundPort = "{ip}:{self.outbound}"\nreadiness = "{ip}:{self.base + 3}"' if side else ""
            )
            path = self.folder / f"node-{i}.toml"
            path.write_text(
                _SETTINGS.format(
                    name=f"{'station' if side else 'signalbox'}-{i}",
                    zone=i % 3,
                    ip=ip,
                    port=self.base + 4,
                    last=self.base + 9,
                    seeds=seeds,
                    folder="" if side else self.folder / f"disk-{i}",
                    app=self.app,
                    control=self.base,
                    first="true" if first_run else "false",
                    more=more,
                )
            )
            self.processes[ip] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "leadrudder.data_plane" if side else "leadrudder.control_plane",
                *(["--possession"] if self.possession else []),
                env={**os.environ, "LEADRUDDER_NODE_FILE": str(path)},
                stderr=asyncio.subprocess.DEVNULL,
            )

    async def configure(self) -> None:
        """The first configuration, from whichever signalbox takes it."""
        patch = _http("PATCH", "/config", json.dumps(CONFIGURATION).encode())
        await _until("configuration taken", patch, [(ip, self.base) for ip in self.cores])

    async def beat(self, ip: str, count: int = 1, *, quiet: bool = False) -> None:
        """What a server says of itself to the station beside it."""
        beat = {
            "address": f"{ip}:{self.app}",
            "details": {"service": "palvelu", "zone": "z0", "capacity": 64},
            "status": {"state": "ready", "callCount": count, "coldLeft": "0ms"},
        }
        put = _http("PUT", f"/servers/i-{ip}", json.dumps(beat).encode())
        if quiet:
            await _call((ip, self.base), put)
        else:
            await _until("beat acknowledged", put, [(ip, self.base)])

    async def ready(self) -> None:
        for ip in self.sides:
            await _until("ready", _http("GET", "/ready"), [(ip, self.base + 3)])

    async def end(self) -> list[int]:
        return await _end(list(self.processes.values()))


async def _drill(fleet: Fleet, folder: Path, stands: bytes) -> None:
    """Every signalbox loses its disk; they begin anew from a snapshot, and all that stood stands."""
    cores = [(ip, fleet.base) for ip in fleet.cores]
    taken = await _until("snapshot", _http("GET", "/snapshot"), cores)
    path = snapshot.keep(str(folder / "kept"), taken.body, time.time(), 1)
    codes = await _end([fleet.processes[ip] for ip in fleet.cores])
    for disk in folder.glob("disk-*"):
        shutil.rmtree(disk)
    print(f"signalboxes ended {codes}, their disks are gone", flush=True)
    holders = [f"{ip}:{fleet.base + 4}" for ip in fleet.cores]
    if snapshots.restore([path], holders, str(folder / "new")):
        raise TimeoutError
    for i, holder in enumerate(holders):
        (folder / "new" / holder.replace(":", "-")).rename(folder / f"disk-{i}")
    await fleet.start(fleet.cores, first_run=False)
    again = await _until("configuration read back", _http("GET", "/config"), cores)
    if json.loads(again.body) != json.loads(stands):
        raise TimeoutError
    print("it is what stood before", flush=True)


async def _window(fleet: Fleet) -> None:
    """The first machine is out of the tenant's traffic for a while, while clients go on asking."""
    cores = [(ip, fleet.base) for ip in fleet.cores]
    contract = {"hosts": ["demo.example"], "timeZone": "Europe/Helsinki", "capacityLeft": 0.5, "version": "1"}
    contract["approved"] = [{"days": list(DAYS), "from": "00:00", "to": "24:00"}]
    body = json.dumps({"addOrReplace": {"contracts": {"kampaamo": contract}}}).encode()
    await _until("contract taken", _http("PATCH", "/contracts", body), cores)
    order = {"from": time.time(), "to": time.time() + 60.0, "machines": ["station-3"], "works": "2s"}
    body = json.dumps({**order, "return": "2s"}).encode()
    await _until("window planned", _http("POST", "/maintenance/huolto", body), cores)
    served: dict[str, Counter[str]] = {}
    batch: Counter[str] = Counter()
    stage, asked = "waiting", 0
    while stage != "back":
        asked += 1
        ask = _http("GET", "/haku/lauantai", fields=f"Attempt-Id: w{asked}\r\nTime-Left: 1500\r\n")
        answer = await _call((fleet.sides[asked % SIDES], fleet.outbound), ask)
        if answer is None or answer.status != 200:
            print(f"a look-up was answered {answer and answer.status} while the window ran", file=sys.stderr)
            raise TimeoutError
        batch[answer.body.split()[2].decode()] += 1
        if asked % 20 == 0:
            for ip in fleet.sides:
                await fleet.beat(ip, 1 + asked, quiet=True)
            looked = await _call(cores[0], _http("GET", "/maintenance/huolto"))
            if looked is not None and looked.status == 200:
                before, stage = stage, json.loads(looked.body)["machines"][0]["stage"]
                if before == stage:  # else some were served before it changed, some after
                    served.setdefault(stage, Counter()).update(batch)
                batch.clear()
        await asyncio.sleep(0.02)
    for name, counts in served.items():
        print(f"{name}: {', '.join(f'{by} served {n}' for by, n in sorted(counts.items()))}")
    if fleet.sides[0] in served.get("out", Counter([fleet.sides[0]])):
        raise TimeoutError
    print(f"{asked} look-ups were served, none by the machine while it was out", flush=True)


async def _play(base: int, folder: Path, drill: bool, window: bool) -> int:
    loop = asyncio.get_running_loop()
    fleet = Fleet(base, folder, possession=window)
    try:
        async with asyncio.timeout(WHOLE_S * (1 + drill + 2 * window)):
            await fleet.start()
            for ip in fleet.sides:
                await loop.create_server(lambda ip=ip: _Server(ip.encode()), ip, fleet.app)  # type: ignore[misc]
            await fleet.configure()
            for ip in fleet.sides:
                await fleet.beat(ip)
            await fleet.ready()
            ask = _http("GET", "/haku/lauantai", fields="Attempt-Id: a1\r\nTime-Left: 1500\r\n")
            answer = await _until("request served", ask, [(ip, fleet.outbound) for ip in fleet.sides])
            print(answer.body.decode(), end="")
            cores = [(ip, fleet.base) for ip in fleet.cores]
            stands = await _until("configuration read back", _http("GET", "/config"), cores)
            if window:
                await _window(fleet)
            if drill:
                await _drill(fleet, folder, stands.body)
                for ip in fleet.sides:  # they were silent for long enough to count as gone
                    await fleet.beat(ip, 2)
                await _until("request served", ask, [(ip, fleet.outbound) for ip in fleet.sides])
    except TimeoutError:
        print("leadrudder: the demo was not served in time", file=sys.stderr)
        return 1
    finally:
        codes = await fleet.end()
    print(f"ended: {codes}")
    return 0 if not any(codes) else 1


async def _end(processes: list[asyncio.subprocess.Process]) -> list[int]:
    """SIGTERM, and the exit codes; nothing is left."""
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
    """0: a request was served, and all ended well.

    drill: also after all disks were lost and restored; window: also while a machine was out for maintenance.
    """
    with tempfile.TemporaryDirectory(prefix="leadrudder-mesh-") as folder:
        return asyncio.run(_play(port or free_port(), Path(folder), drill, window))
