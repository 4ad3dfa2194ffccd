"""The machines of a soak on loopback: our processes, servers beside them, clients, and operators.

Times are seconds on the loop's clock of the soak's own process, which is never troubled.
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
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

from bench.soak.clients import KeptConnection, KeptRequest
from bench.soak.process import HOST_VARIABLE, RELAY_VARIABLE
from bench.soak.relay import Relay
from leadrudder.emulation.standins import (
    Clients,
    RequestKind,
    SentRequest,
    Server,
    encoded_request,
    http_call,
)
from leadrudder.mesh.demo import free_port
from leadrudder.transport.http import BufferedHttpMessage

SERVICES = ("kal", "var")
WISHES = (
    RequestKind("luku.example", once=False, per_s=8.0, deadline_s=1.5),
    RequestKind("varaus.example", once=True, per_s=5.0, deadline_s=1.5),
)
IDLE_ROUTES = 120
RELAY_HOST = "127.0.9.1"
SLOTS, WORK_S = 9, 0.03
KEPT_EACH = 2  # connections that clients of one machine keep
KEPT_PAUSE_S = 0.25  # between two requests on one of them
USUAL_SIDES = 4  # more machines ask less each, as all clients and servers share one process
STARTS_S = 2.0  # of an interpreter, on a busy machine
CALL_S = 1.0
APPLY_S = 2.5
SETTINGS = """nodeName = "{name}"
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
ramMb = 300
[withstand]
machineLosses = 1
"""


class InvariantError(Exception):
    """An invariant of the soak does not hold."""


class AnswerLosingServer(Server):
    """A server that runs some requests and never answers them while `losing` is set."""

    losing = 0.0  # the part of requests

    def _run(self, message: BufferedHttpMessage, answer: Callable[[bytes], None]) -> None:
        lost = self.rng.random() < self.losing
        super()._run(message, (lambda data: None) if lost else answer)


@dataclass(eq=False)
class Machine:
    """A machine with one of our processes.  service: empty on a control machine."""

    host: str
    zone: int
    service: str = ""
    process: asyncio.subprocess.Process | None = None
    killed: bool = False  # its process is down on purpose
    paused: bool = False
    server: AnswerLosingServer | None = None
    clients: Clients | None = None
    kept: list[KeptConnection] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)  # when its processes ended, however
    starts: int = 0
    started_at: float = 0.0

    @property
    def role(self) -> str:
        return "station" if self.service else "signalbox"


@dataclass(slots=True)
class Log:
    """What happened, for whoever looks for the cause of a broken invariant."""

    began: float
    lines: list[str] = field(default_factory=list)

    def add(self, text: str) -> None:
        now = asyncio.get_running_loop().time() - self.began
        self.lines.append(f"{now:8.3f} s  {text}")


class World:
    """seed: of all that is drawn here; folder: for settings, disks and outputs."""

    def __init__(self, seed: int, folder: Path, *, cores: int = 3, sides: int = 4, plant: str = "") -> None:
        self._plant = plant
        self.rng = Random(f"soak/{seed}")
        self.folder = folder
        self.base = free_port()
        self.relay = Relay()
        self.log = Log(asyncio.get_running_loop().time())
        self.core = [Machine(f"127.0.1.{i + 1}", i % 3) for i in range(cores)]
        self.side = [Machine(f"127.0.2.{i + 1}", i % 3, SERVICES[i % len(SERVICES)]) for i in range(sides)]
        self.ended: list[str] = []  # processes that ended by themselves
        self._watchers: set[asyncio.Task[None]] = set()

    @property
    def machines(self) -> list[Machine]:
        return [*self.core, *self.side]

    # ------------------------------------------------------------ processes

    async def start(self) -> None:
        await self.relay.start(RELAY_HOST)
        for machine in self.machines:
            await self.start_process(machine, first=True)
        for machine in self.side:
            server = AnswerLosingServer(
                f"i-{machine.host}",
                machine.service,
                f"z{machine.zone}",
                (machine.host, self.base + 1),
                (machine.host, self.base),
                SLOTS,
                WORK_S,
                Random(self.rng.random()),
            )
            machine.server = server
            await server.start()

    async def start_process(self, machine: Machine, *, first: bool = False) -> None:
        machine.starts += 1
        machine.started_at = asyncio.get_running_loop().time()
        machine.killed = machine.paused = False
        path = self.folder / f"{machine.host}.toml"
        path.write_text(self._settings(machine, first=first))
        environment = {
            **os.environ,
            "LEADRUDDER_NODE_FILE": str(path),
            RELAY_VARIABLE: self.relay.address,
            HOST_VARIABLE: machine.host,
        }
        with open(self.folder / f"{machine.host}.log", "ab") as output:
            command = [sys.executable, "-m", "bench.soak.process", machine.role, "--plant", self._plant]
            machine.process = await asyncio.create_subprocess_exec(*command, env=environment, stderr=output)
        watcher = asyncio.ensure_future(self._watch(machine, machine.process))
        self._watchers.add(watcher)
        watcher.add_done_callback(self._watchers.discard)

    async def _watch(self, machine: Machine, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        machine.ends.append(asyncio.get_running_loop().time())
        if not machine.killed and machine.process is process:
            self.ended.append(f"{machine.role} {machine.host} ended by itself with {code}")

    def _settings(self, machine: Machine, *, first: bool) -> str:
        side = bool(machine.service)
        outbound = f'outboundPort = "{machine.host}:{self.base + 2}"'
        readiness = f'readiness = "{machine.host}:{self.base + 3}"'
        return SETTINGS.format(
            name=f"{machine.role}-{machine.host}",
            zone=machine.zone,
            host=machine.host,
            links=self.base + 4,
            last=self.base + 9,
            seeds=", ".join(f'"{core.host}:{self.base}"' for core in self.core),
            first="true" if first else "false",
            folder="" if side else self.folder / f"disk-{machine.host}",
            app=self.base + 1,
            service=machine.service,
            control=self.base,
            more=f"{outbound}\n{readiness}" if side else "",
        )

    def kill(self, machine: Machine) -> None:
        """SIGKILL; what was synced stays."""
        assert machine.process is not None
        machine.killed = True
        with contextlib.suppress(ProcessLookupError):
            machine.process.kill()

    async def terminate(self, machine: Machine, within_s: float) -> None:
        """SIGTERM, and the process's own end; one that does not end in time, or not well, is a fault."""
        process = machine.process
        assert process is not None
        starting = self._starting(machine)
        machine.killed = True
        self._send(process, signal.SIGTERM)
        try:
            code = await asyncio.wait_for(process.wait(), within_s)
        except TimeoutError:
            process.kill()
            code = await process.wait()
        if code and not (starting and code == -signal.SIGTERM):
            self.ended.append(f"{machine.role} {machine.host} ended with {code} after SIGTERM")

    @staticmethod
    def _starting(machine: Machine) -> bool:
        """Whether its interpreter may not have come to our code yet, which knows signals."""
        return asyncio.get_running_loop().time() - machine.started_at < STARTS_S

    def hang_up(self, machine: Machine) -> None:
        """SIGHUP: its settings are to be read again.  Not while its interpreter starts: it would end."""
        if machine.process is not None and not machine.killed and not self._starting(machine):
            self._send(machine.process, signal.SIGHUP)

    def wipe(self, machine: Machine) -> None:
        """The disk of a machine whose process is down is empty from now on."""
        shutil.rmtree(self.folder / f"disk-{machine.host}", ignore_errors=True)

    def pause(self, machine: Machine) -> None:
        self._signal(machine, signal.SIGSTOP)
        machine.paused = True

    def resume(self, machine: Machine) -> None:
        self._signal(machine, signal.SIGCONT)
        machine.paused = False

    def _signal(self, machine: Machine, number: signal.Signals) -> None:
        if machine.process is not None and not machine.killed:
            self._send(machine.process, number)

    @staticmethod
    def _send(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)

    async def end(self) -> list[str]:
        """SIGTERM to all; returns the machines whose processes did not end well."""
        for machine in self.machines:
            machine.killed = True
            if machine.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.terminate()
        wrong = []
        for machine in self.machines:
            if machine.process is not None:
                try:
                    code = await asyncio.wait_for(machine.process.wait(), 8.0)
                except TimeoutError:
                    machine.process.kill()
                    code = await machine.process.wait()
                if code:
                    wrong.append(f"{machine.role} {machine.host} ended with {code}")
        self.relay.close()
        return wrong

    def faults(self) -> list[str]:
        """Machines whose processes have written of a fault of their own."""
        outputs = {machine: self.folder / f"{machine.host}.log" for machine in self.machines}
        wrong = [m for m, path in outputs.items() if "Traceback" in path.read_text(errors="replace")]
        return [f"{machine.role} {machine.host} has written of a fault of its own" for machine in wrong]

    # ------------------------------------------------------------ calls

    async def ask(
        self, machine: Machine, method: str, path: str, body: Any = None, within_s: float = CALL_S
    ) -> BufferedHttpMessage | None:
        """One call to a machine's control interface, by whoever is not on the network that is troubled."""
        data = b"" if body is None else json.dumps(body).encode()
        address = (machine.host, self.base)
        return await http_call(address, encoded_request(method, path, "control", body=data), within_s)

    async def metrics(self, machine: Machine) -> dict[str, float]:
        answer = await self.ask(machine, "GET", "/metrics", within_s=3.0)
        if answer is None or answer.status != 200:
            raise InvariantError(f"{machine.role} {machine.host} tells no metrics")
        pairs = (line.rsplit(" ", 1) for line in answer.body.decode().splitlines())
        return {name: float(value) for name, value in pairs}

    def start_clients(self, until: float) -> None:
        part = min(1.0, USUAL_SIDES / len(self.side))
        wishes = tuple(replace(wish, per_s=wish.per_s * part) for wish in WISHES)
        for machine in self.side:
            address = machine.host, self.base + 2
            machine.clients = Clients(f"c-{machine.host}", address, wishes, until, Random(self.rng.random()))
            machine.clients.start()
            for i in range(KEPT_EACH):
                kept = KeptConnection(
                    f"k-{machine.host}-{i}",
                    address,
                    wishes,
                    until,
                    KEPT_PAUSE_S / part,
                    Random(self.rng.random()),
                )
                machine.kept.append(kept)
                task = asyncio.ensure_future(kept.run())
                self._watchers.add(task)
                task.add_done_callback(self._watchers.discard)

    def kept_requests(self) -> list[tuple[Machine, KeptRequest]]:
        return [(m, asked) for m in self.side for kept in m.kept for asked in kept.requests]

    def asked(self) -> list[SentRequest]:
        return [asked for machine in self.side if machine.clients for asked in machine.clients.sent_requests]

    def runs(self) -> Counter[str]:
        """How often each try ran, at all servers."""
        total: Counter[str] = Counter()
        for machine in self.side:
            if machine.server is not None:
                total.update(machine.server.runs_by_attempt)
        return total
