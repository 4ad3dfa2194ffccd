"""Peak memory of both programs by size and number of bodies: python -m bench.peak_memory [CASE ...].

Real processes on loopback: three control-plane nodes and three data-plane nodes with a limit of 300 MB, new
ones for each case. The server of the service is beside the last data-plane node only. Peak memory is the
kernel's VmHWM in MiB.
"""

from __future__ import annotations

import asyncio
import copy
import io
import json
import sys
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import redirect_stdout
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench.bulk import BulkAnswer, BulkRequest, BulkServer, describe, send
from leadrudder.emulation.standins import encoded_request, http_call
from leadrudder.mesh.demo import CONFIGURATION, LoopbackFleet, free_port

MB = 1_000_000
DATA_PLANE_IPS = ("127.0.2.1", "127.0.2.2", "127.0.2.3")
GIVE_UP_S = 40
HEARTBEAT_INTERVAL_S = 0.4
CASE_TIMEOUT_S = 90.0


class BulkFleet(LoopbackFleet):
    """A fleet whose last data-plane node has a server for large bodies beside it."""

    def __init__(self, folder: Path, *, memory_limit_mb: int = 300, open_files: int = 4096) -> None:
        super().__init__(
            free_port(),
            folder,
            data_plane_ips=DATA_PLANE_IPS,
            memory_limit_mb=memory_limit_mb,
            open_files=open_files,
        )
        self.server = BulkServer("bulk")
        self._heartbeats: asyncio.Task[None] | None = None

    @property
    def server_ip(self) -> str:
        return self.data_plane_ips[-1]

    async def start_serving(self) -> None:
        """Start everything, and wait until requests are served."""
        await self.start()
        await self.server.listen((self.server_ip, self.app_port))
        await self.patch(bulk_configuration())
        self._heartbeats = asyncio.ensure_future(self._send_heartbeats())
        await self.wait_ready()
        for ip in self.data_plane_ips:
            while (await self.send(ip, BulkRequest(f"ready-{ip}"))).status != 200:
                await asyncio.sleep(0.05)

    async def _send_heartbeats(self) -> None:
        count = 0
        while True:
            count += 1
            await self.send_heartbeat(self.server_ip, count, quiet=True)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def patch(self, configuration: dict[str, Any]) -> int:
        """Send a configuration to each control-plane node in turn until one takes it; returns its status."""
        text = encoded_request("PATCH", "/config", "control", "", json.dumps(configuration).encode())
        while True:
            for ip in self.control_plane_ips:
                answer = await http_call((ip, self.base_port), text, 10.0)
                if answer is not None and answer.status != 503:
                    return answer.status
            await asyncio.sleep(0.1)

    async def send(self, ip: str, request: BulkRequest) -> BulkAnswer:
        return await send((ip, self.outbound_port), request)

    def peaks_mb(self) -> dict[str, int]:
        """Peak memory in MiB by address; -1 for a process that has ended."""
        return {ip: peak_memory_mb(process.pid) for ip, process in self.processes.items()}

    async def end(self) -> list[int]:
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        return await self.stop()


def peak_memory_mb(pid: int) -> int:
    """Peak resident memory of a process in MiB; -1 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return -1
    return next((int(line.split()[1]) // 1024 for line in lines if line.startswith("VmHWM")), -1)


def bulk_configuration() -> dict[str, Any]:
    """The demo's configuration with an unsafe route that gives large bodies time."""
    configuration = copy.deepcopy(CONFIGURATION)
    routes: Any = configuration["addOrReplace"]["routes"]  # type: ignore[index]
    routes["haku"].update({"kind": "unsafe", "giveUp": f"{GIVE_UP_S}s", "target": "20s"})
    return configuration


def large_configuration(size: int, version: int = 2) -> dict[str, Any]:
    """A configuration of routes of so many bytes."""
    route = dict(bulk_configuration()["addOrReplace"]["routes"]["haku"], version=f"{version:08d}")
    routes: dict[str, Any] = {}
    total = 0
    while total < size:
        name = f"r{len(routes):07d}"
        routes[name] = {**route, "pathStart": f"/{name}/"}
        total += len(json.dumps(routes[name])) + len(name) + 6
    return {"addOrReplace": {"routes": routes, "services": {}}, "remove": {"routes": []}}


# ---------------------------------------------------------------- cases

Play = Callable[[BulkFleet], Awaitable[str]]


@dataclass(frozen=True, slots=True)
class Case:
    """name: on the command line and in the table.  play: returns a description of what happened."""

    name: str
    play: Play


def uploads(size: float, *senders: int, rounds: int = 1, pause_s: float = 0.0) -> Play:
    """Bodies of so many MB at the same time, one from each machine that is named."""

    async def play(fleet: BulkFleet) -> str:
        answers: list[BulkAnswer] = []
        for number in range(rounds):
            requests = [
                fleet.send(
                    DATA_PLANE_IPS[sender], BulkRequest(f"u-{number}-{i}", int(size * MB), pause_s=pause_s)
                )
                for i, sender in enumerate(senders)
            ]
            answers += await asyncio.gather(*requests)
        damaged = sum(not run.intact for run in fleet.server.runs)
        return describe(answers) + (f"; {damaged} bodies damaged" if damaged else "")

    return play


def answers(size: float, *senders: int, pause_s: float = 0.0) -> Play:
    """Answers of so many MB at the same time.  pause_s: of clients, before they read each 64 KiB."""

    async def play(fleet: BulkFleet) -> str:
        requests = [
            fleet.send(
                DATA_PLANE_IPS[sender], BulkRequest(f"a-{i}", answer_bytes=int(size * MB), pause_s=pause_s)
            )
            for i, sender in enumerate(senders)
        ]
        return describe(list(await asyncio.gather(*requests)))

    return play


def configurations(size: float, count: int = 1) -> Play:
    """Changes of so many MB at the same time, to one control-plane node; then a snapshot is read."""

    async def play(fleet: BulkFleet) -> str:
        body = json.dumps(large_configuration(int(size * MB))).encode()
        text = encoded_request("PATCH", "/config", "control", "", body)
        address = (fleet.control_plane_ips[0], fleet.base_port)
        found = await asyncio.gather(*(http_call(address, text, 15.0) for _ in range(count)))
        snapshot = await http_call(address, encoded_request("GET", "/snapshot", "control"), 15.0)
        statuses = [answer.status if answer is not None else 0 for answer in found]
        return f"{statuses}, snapshot {len(snapshot.body) if snapshot is not None else 'none'} bytes"

    return play


def idle_senders(count: int, size: int) -> Play:
    """Clients that send a part of a body of `size` bytes each, and no more."""

    async def play(fleet: BulkFleet) -> str:
        address = (DATA_PLANE_IPS[0], fleet.outbound_port)
        fields = f"Attempt-Id: i\r\nContent-Length: {size + 1}\r\n"
        head = f"POST /haku/x HTTP/1.1\r\nHost: demo.example\r\n{fields}\r\n"
        writers = []
        for _ in range(count):
            _, writer = await asyncio.open_connection(*address)
            writer.write(head.encode() + b"x" * size)
            writers.append(writer)
        await asyncio.sleep(2.0)
        for writer in writers:
            writer.transport.abort()
        return f"{count} connections"

    return play


CASES = (
    Case("idle", uploads(0.0)),
    *(
        case
        for size in (5, 10, 20, 59.9)
        for case in (
            Case(f"upload-{size}-one", uploads(size, 0)),
            Case(f"upload-{size}-three-machines", uploads(size, 0, 1, 2)),
            Case(f"upload-{size}-three-from-one", uploads(size, 0, 0, 0)),
            Case(f"upload-{size}-own-machine", uploads(size, 2)),
        )
    ),
    Case("upload-3-thirty-at-once", uploads(3, *[0] * 30)),
    Case("upload-0.06-two-hundred", uploads(0.06, *[0] * 200)),
    Case("upload-59.9-own-machine-three-rounds", uploads(59.9, 2, rounds=3)),
    Case("answer-5-three", answers(5, 0, 0, 0)),
    Case("answer-59.9-one", answers(59.9, 0)),
    Case("answer-59.9-three-machines", answers(59.9, 0, 1, 2)),
    Case("answer-3-thirty-slow", answers(3, *[0] * 30, pause_s=0.02)),
    Case("answer-0.06-two-hundred", answers(0.06, *[0] * 200, pause_s=0.5)),
    Case("slow-senders-1000", idle_senders(1000, 60_000)),
    Case("configuration-1-one", configurations(1)),
    Case("configuration-4-one", configurations(4)),
    Case("configuration-4-five", configurations(4, 5)),
    Case("configuration-15-one", configurations(15)),
    Case("configuration-15-five", configurations(15, 5)),
)


async def run_case(case: Case) -> None:
    with tempfile.TemporaryDirectory(prefix="leadrudder-bench-") as folder:
        fleet = BulkFleet(Path(folder))
        try:
            with redirect_stdout(io.StringIO()):  # the demo reports each step
                await fleet.start_serving()
            result = "not over in time"
            try:
                async with asyncio.timeout(CASE_TIMEOUT_S):
                    result = await case.play(fleet)
            except TimeoutError:
                pass
            peaks = fleet.peaks_mb()
        finally:
            codes = await fleet.end()
    control, data = ([peaks[ip] for ip in ips] for ips in (fleet.control_plane_ips, fleet.data_plane_ips))
    print(f"{case.name:30} control {control} data {data} ended {codes} | {result}", flush=True)


def main(names: list[str]) -> int:
    for case in CASES:
        if not names or any(name in case.name for name in names):
            asyncio.run(run_case(case))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
