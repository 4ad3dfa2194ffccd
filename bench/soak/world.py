"""The machines of a soak on loopback addresses: the mesh's processes, their servers and the clients.

Times are seconds on the event loop's clock of the soak's own process, into which no fault is injected.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

from bench.soak.clients import KeepAliveClient, ObservedRequest
from bench.soak.machine import Arrival, InvariantError, Log, Machine, ObservedServer
from bench.soak.process import EARLY_SIGNALS_HANDLED_LINE, HOST_ENV_VARIABLE, RELAY_ENV_VARIABLE
from bench.soak.relay import Relay
from leadrudder.emulation.standins import (
    Clients,
    RefusalTrouble,
    RequestKind,
    SentRequest,
    Work,
    encoded_request,
    http_call,
)
from leadrudder.mesh.demo import free_port
from leadrudder.transport.http import BufferedHttpMessage

SERVICES = ("kal", "var")
REQUEST_KINDS = (
    RequestKind("luku.example", once=False, per_s=8.0, deadline_s=1.5),
    RequestKind("varaus.example", once=True, per_s=5.0, deadline_s=1.5),
)
LONG_REQUESTS = RequestKind("arkisto.example", once=True, per_s=0.0, deadline_s=9.0)  # sent in bursts only
LONG_REQUEST_SERVICE, LONG_WORK_S = SERVICES[0], 2.0
IDLE_ROUTE_COUNT = 120
RELAY_HOST = "127.0.9.1"
OPERATOR_HOST = "127.0.8.1"
REFUSAL_TROUBLE = RefusalTrouble(refused_fraction=0.15, copied_fraction=0.7)
SERVER_SLOTS, SERVER_WORK_S = 9, 0.03
KEEP_ALIVE_CLIENTS_PER_NODE = 2  # with one keep-alive connection each
KEEP_ALIVE_MEAN_PAUSE_S = 0.25  # between two requests on one of these connections
FULL_RATE_NODES = 4  # beyond these, each machine's rate falls: all clients and servers share one process
MEMORY_LIMIT_MB = 300  # of each process, by its settings
CALL_TIMEOUT_S = 1.0
APPLY_TIMEOUT_S = 2.5
SETTINGS_TEMPLATE = """nodeName = "{name}"
zone = "z{zone}"
ip = "{host}"
sparePorts = [{links}, {last}]
seedNodes = [{seeds}]
firstRun = {first}
dataFolder = "{folder}"
beatEvery = "500ms"
ruleBounds = ["grace=3s", "apply=2500ms", "contact=3000ms"]
appAddress = "{host}:{app}"
service = "{service}"
[addresses]
controlPort = "{host}:{control}"
{more}
[limits]
ramMb = {ram_mb}
[withstand]
machineLosses = 1
"""


def _ignore_sighups() -> None:
    """As in an environment that covers the start of the interpreter; an ignored signal stays so at exec."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


class World:
    """seed: of all random draws here; folder: for settings files, disks and process logs."""

    def __init__(
        self, seed: int, folder: Path, *, control_count: int = 3, node_count: int = 4, planted_fault: str = ""
    ) -> None:
        self._planted_fault = planted_fault
        self.rng = Random(f"soak/{seed}")
        self.folder = folder
        self.base_port = free_port()
        self.relay = Relay()
        self.log = Log(asyncio.get_running_loop().time())
        self.control_machines = [Machine(f"127.0.1.{i + 1}", i % 3) for i in range(control_count)]
        self.node_machines = [
            Machine(f"127.0.2.{i + 1}", i % 3, SERVICES[i % len(SERVICES)]) for i in range(node_count)
        ]
        self.unexpected_exits: list[str] = []  # processes that exited although nothing stopped them
        self._ended_on_purpose: set[asyncio.subprocess.Process] = set()  # by SIGKILL or SIGTERM
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def machines(self) -> list[Machine]:
        return [*self.control_machines, *self.node_machines]

    # ------------------------------------------------------------ processes

    async def start(self) -> None:
        await self.relay.start(RELAY_HOST)
        for machine in self.machines:
            await self.start_process(machine, first=True)
        for machine in self.node_machines:
            server = ObservedServer(
                f"i-{machine.host}",
                machine.service,
                machine.zone_name,
                (machine.host, self.base_port + 1),
                (machine.host, self.base_port),
                SERVER_SLOTS,
                SERVER_WORK_S,
                Random(self.rng.random()),
                work_by_host={LONG_REQUESTS.host: Work(LONG_WORK_S)},
                refusal_trouble=REFUSAL_TROUBLE,
            )
            machine.server = server
            await server.start()

    async def start_process(self, machine: Machine, *, first: bool = False) -> None:
        machine.start_count += 1
        machine.stopped_on_purpose = machine.paused = False
        path = self.folder / f"{machine.host}.toml"
        path.write_text(self._settings(machine, first=first))
        environment = {
            **os.environ,
            "LEADRUDDER_NODE_FILE": str(path),
            RELAY_ENV_VARIABLE: self.relay.address,
            HOST_ENV_VARIABLE: machine.host,
        }
        with open(self.folder / f"{machine.host}.log", "ab") as output:
            machine.log_offset = output.tell()
            command = [
                sys.executable,
                "-m",
                "bench.soak.process",
                machine.role,
                "--plant",
                self._planted_fault,
            ]
            machine.process = await asyncio.create_subprocess_exec(
                *command, env=environment, stderr=output, preexec_fn=_ignore_sighups
            )
        watch_task = asyncio.ensure_future(self._watch(machine, machine.process))
        self._tasks.add(watch_task)
        watch_task.add_done_callback(self._tasks.discard)

    async def _watch(self, machine: Machine, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        machine.exit_times.append(asyncio.get_running_loop().time())
        if process not in self._ended_on_purpose:
            self.unexpected_exits.append(
                f"{machine.role} {machine.host} exited unexpectedly with code {code}"
            )

    def _settings(self, machine: Machine, *, first: bool) -> str:
        has_service = bool(machine.service)
        outbound = f'outboundPort = "{machine.host}:{self.base_port + 2}"'
        readiness = f'readiness = "{machine.host}:{self.base_port + 3}"'
        return SETTINGS_TEMPLATE.format(
            name=f"{machine.role}-{machine.host}",
            zone=machine.zone,
            host=machine.host,
            links=self.base_port + 4,
            last=self.base_port + 9,
            seeds=", ".join(f'"{core.host}:{self.base_port}"' for core in self.control_machines),
            first="true" if first else "false",
            folder="" if has_service else self.disk_path(machine),
            app=self.base_port + 1,
            service=machine.service,
            control=self.base_port,
            ram_mb=MEMORY_LIMIT_MB,
            more=f"{outbound}\n{readiness}" if has_service else "",
        )

    def kill(self, machine: Machine) -> None:
        """SIGKILL; synced data stays on the disk."""
        assert machine.process is not None
        machine.stopped_on_purpose = True
        self._ended_on_purpose.add(machine.process)
        self.send(machine.process, signal.SIGKILL)

    async def lose_power(self, machine: Machine) -> None:
        """SIGKILL, and wait for the end, so that its addresses are free."""
        self.kill(machine)
        assert machine.process is not None
        await machine.process.wait()

    async def terminate(self, machine: Machine, timeout_s: float) -> None:
        """SIGTERM, then wait; records a violation if the process exits too late or with an error code."""
        process = machine.process
        assert process is not None
        starting = self._starting(machine)
        machine.stopped_on_purpose = True
        self._ended_on_purpose.add(process)
        self.send(process, signal.SIGTERM)
        try:
            code = await asyncio.wait_for(process.wait(), timeout_s)
        except TimeoutError:
            self.send(process, signal.SIGKILL)
            code = await process.wait()
        if code and not (starting and code == -signal.SIGTERM):
            self.unexpected_exits.append(
                f"{machine.role} {machine.host} exited with code {code} after SIGTERM"
            )

    def _starting(self, machine: Machine) -> bool:
        """Whether its process has not reached its first line yet, before which a SIGTERM ends it."""
        log = (self.folder / f"{machine.host}.log").read_bytes()
        return EARLY_SIGNALS_HANDLED_LINE not in log[machine.log_offset :]

    def reload_settings(self, machine: Machine) -> None:
        """SIGHUP: reload the settings."""
        if machine.process is not None and not machine.stopped_on_purpose:
            self.send(machine.process, signal.SIGHUP)

    def disk_path(self, machine: Machine) -> Path:
        return self.folder / f"disk-{machine.host}"

    def break_disk(self, machine: Machine) -> None:
        """Let every access to the disk of a machine whose process is down fail, until mend_disk."""
        disk = self.disk_path(machine)
        if disk.is_dir():
            disk.rename(disk.with_suffix(".away"))
        disk.write_bytes(b"")

    def mend_disk(self, machine: Machine) -> None:
        disk = self.disk_path(machine)
        disk.unlink()
        if disk.with_suffix(".away").is_dir():
            disk.with_suffix(".away").rename(disk)

    def damaged_ids(self) -> set[str]:
        """Attempts whose large body reached a server damaged."""
        servers = (machine.server for machine in self.node_machines)
        return {each for server in servers if server is not None for each in server.damaged_ids}

    def wipe_disk(self, machine: Machine) -> None:
        """Delete the disk of a machine whose process is down."""
        shutil.rmtree(self.disk_path(machine), ignore_errors=True)

    def pause(self, machine: Machine) -> None:
        self._signal(machine, signal.SIGSTOP)
        machine.paused = True

    def resume(self, machine: Machine) -> None:
        self._signal(machine, signal.SIGCONT)
        machine.paused = False

    def _signal(self, machine: Machine, signal_number: signal.Signals) -> None:
        if machine.process is not None and not machine.stopped_on_purpose:
            self.send(machine.process, signal_number)

    @staticmethod
    def send(process: asyncio.subprocess.Process, signal_number: signal.Signals) -> None:
        """Send a signal unless the process has ended.

        The process object's own send_signal may reap an ended process before asyncio, which then reports exit
        code 255.
        """
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal_number)

    async def shut_down(self) -> list[str]:
        """SIGTERM to all; describes the processes that exited with an error code or too late."""
        for machine in self.machines:
            machine.stopped_on_purpose = True
            if machine.process is not None:
                self._ended_on_purpose.add(machine.process)
                self.send(machine.process, signal.SIGCONT)
                self.send(machine.process, signal.SIGTERM)
        errors = []
        for machine in self.machines:
            if machine.process is not None:
                try:
                    code = await asyncio.wait_for(machine.process.wait(), 8.0)
                except TimeoutError:
                    self.send(machine.process, signal.SIGKILL)
                    code = await machine.process.wait()
                if code:
                    errors.append(f"{machine.role} {machine.host} exited with code {code} on shutdown")
        self.relay.close()
        return errors

    def logged_errors(self) -> list[str]:
        """Describes the processes that logged a traceback."""
        log_paths = {machine: self.folder / f"{machine.host}.log" for machine in self.machines}
        errors = [m for m, path in log_paths.items() if "Traceback" in path.read_text(errors="replace")]
        return [f"{machine.role} {machine.host} logged a traceback" for machine in errors]

    # ------------------------------------------------------------ requests

    async def call_control_api(
        self, machine: Machine, method: str, path: str, body: Any = None, timeout_s: float = CALL_TIMEOUT_S
    ) -> BufferedHttpMessage | None:
        """One request to a machine's control interface, past the relay and so free of network faults."""
        data = b"" if body is None else json.dumps(body).encode()
        address = (machine.host, self.base_port)
        return await http_call(address, encoded_request(method, path, "control", body=data), timeout_s)

    async def fetch_metrics(self, machine: Machine) -> dict[str, float]:
        answer = await self.call_control_api(machine, "GET", "/metrics", timeout_s=3.0)
        if answer is None or answer.status != 200:
            raise InvariantError(f"{machine.role} {machine.host} returned no metrics")
        samples = (line.rsplit(" ", 1) for line in answer.body.decode().splitlines())
        return {name: float(value) for name, value in samples}

    async def save_diagnostics(self) -> None:
        """Write the log buffers of the control machines and the metrics of all machines to the folder."""
        for machine in self.machines:
            for path in ("/ring", "/metrics") if not machine.service else ("/metrics",):
                answer = await self.call_control_api(machine, "GET", path, timeout_s=3.0)
                text = answer.body if answer is not None else b"no answer\n"
                (self.folder / f"{machine.host}{path.replace('/', '-')}.txt").write_bytes(text)

    def start_clients(self, end: float) -> None:
        rate_factor = min(1.0, FULL_RATE_NODES / len(self.node_machines))
        request_kinds = tuple(replace(kind, per_s=kind.per_s * rate_factor) for kind in REQUEST_KINDS)
        for machine in self.node_machines:
            address = machine.host, self.base_port + 2
            machine.clients = Clients(
                f"c-{machine.host}", address, request_kinds, end, Random(self.rng.random())
            )
            machine.clients.start()
            for i in range(KEEP_ALIVE_CLIENTS_PER_NODE):
                client = KeepAliveClient(
                    f"k-{machine.host}-{i}",
                    address,
                    request_kinds,
                    end,
                    KEEP_ALIVE_MEAN_PAUSE_S / rate_factor,
                    Random(self.rng.random()),
                )
                machine.keep_alive_clients.append(client)
                task = asyncio.ensure_future(client.run())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def keep_alive_requests(self) -> list[tuple[Machine, ObservedRequest]]:
        return [
            (m, sent)
            for m in self.node_machines
            for client in m.keep_alive_clients
            for sent in client.requests
        ]

    def arrivals(self) -> list[tuple[Machine, Arrival]]:
        """The requests that reached servers, with the machines of these."""
        return [(m, each) for m in self.node_machines if m.server is not None for each in m.server.arrivals]

    def refusal_copies(self) -> int:
        """How many refusals the servers sent once more."""
        return sum(m.server.refusal_copies for m in self.node_machines if m.server is not None)

    def sent_requests(self) -> list[SentRequest]:
        return [
            sent
            for machine in self.node_machines
            if machine.clients
            for sent in machine.clients.sent_requests
        ]

    def runs_by_attempt(self) -> Counter[str]:
        """How often each attempt ran, at all servers together."""
        total: Counter[str] = Counter()
        for machine in self.node_machines:
            if machine.server is not None:
                total.update(machine.server.runs_by_attempt)
        return total
