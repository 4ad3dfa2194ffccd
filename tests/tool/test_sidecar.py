"""The sidecar with real processes: signals, crashes of each process, and no process left behind."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tomllib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from leadrudder.cli import main as cli_main
from leadrudder.tool.model import File
from leadrudder.tool.sidecar.backoff import MAX_DELAY_S, RESET_AFTER_S, RestartBackoff
from leadrudder.tool.sidecar.capacity import MachineCapacity, capacity_shortfall
from leadrudder.tool.sidecar.supervisor import shell_exit_code
from tests.stubs import HOST, WAIT_TIMEOUT_S, StubDiscovery, StubServer, listing, reply, row, run, send_line

FILE_TEMPLATE = """\
version = 1
application = {{name = "pieni", stop = "{stop}"}}
tier = [{{name = "t", discovery = "{discovery}", list = "{list}"}}]
listener = [{{name = "l", address = "127.0.0.1:{port}", tier = "t"}}]
class = [{{name = "haku", effect = "safe", aim_ms = 1000, deadline_ms = 3000}}]
route = [{{method = "GET", path = "/*", listener = "l", class = "haku"}}]
"""
REQUEST_WITHOUT_CLASS_CODE = """
import sys, urllib.request
request = urllib.request.Request("http://127.0.0.1:{port}/x", headers={{
    "X-Request-Id": "1", "X-Deadline": "2.0"}})
print(urllib.request.urlopen(request, timeout=5).read().decode(), flush=True)
"""
REQUEST_CODE = """
import sys, urllib.request
request = urllib.request.Request("http://127.0.0.1:{port}/api/x", headers={{
    "X-Request-Id": "1", "X-Class": "haku", "X-Deadline": "2.0"}})
print(urllib.request.urlopen(request, timeout=5).read().decode(), flush=True)
"""
WAIT_CODE = """
import os, signal, sys
{before}
print("pid", os.getpid(), os.getppid(), flush=True)
while True:
    signal.pause()
"""


def _free_port() -> int:
    with socket.socket() as probe_socket:
        probe_socket.bind((HOST, 0))
        return int(probe_socket.getsockname()[1])


@dataclass
class SidecarProcess:
    """A sidecar process with a stub server and a stub discovery service."""

    process: asyncio.subprocess.Process
    port: int
    discovery: StubDiscovery
    server: StubServer

    async def list_server(self) -> None:
        """Send the server's list on the next watch that a node opens."""
        send_line(await self.discovery.watch(), listing(1, row("a", self.server.address)))

    async def read_line(self) -> str:
        assert self.process.stdout is not None
        return (await asyncio.wait_for(self.process.stdout.readline(), WAIT_TIMEOUT_S)).decode().strip()

    async def application_pid(self) -> int:
        """The application's process id, once it runs."""
        return int((await self.read_line()).split()[1])

    async def exit_code(self) -> int:
        return await asyncio.wait_for(self.process.wait(), WAIT_TIMEOUT_S)

    def children(self) -> list[int]:
        """The ids of the sidecar's child processes."""
        path = Path(f"/proc/{self.process.pid}/task/{self.process.pid}/children")
        return [int(pid) for pid in path.read_text().split()]


@contextlib.asynccontextmanager
async def _running_sidecar(
    folder: Path, code: str, *options: str, stop: str = "application-first", list_mode: str = "pushed"
) -> AsyncIterator[SidecarProcess]:
    async with StubServer([reply("200 OK", b"served")]) as server, StubDiscovery() as discovery:
        port = _free_port()
        file = folder / "a.toml"
        file.write_text(
            FILE_TEMPLATE.format(list=list_mode, stop=stop, discovery=discovery.address, port=port)
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "leadrudder.cli",
            "sidecar",
            *options,
            str(file),
            "--",
            sys.executable,
            "-c",
            code.replace("{port}", str(port)).replace("{{", "{").replace("}}", "}"),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            yield SidecarProcess(process, port, discovery, server)
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


async def _wait_until_ended(pid: int) -> None:
    """Wait for the end of a process that is not a child of this one."""
    try:
        descriptor = os.pidfd_open(pid)
    except ProcessLookupError:
        return
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    loop.add_reader(descriptor, ended.set)
    try:
        await asyncio.wait_for(ended.wait(), WAIT_TIMEOUT_S)
    finally:
        loop.remove_reader(descriptor)
        os.close(descriptor)


@pytest.mark.parametrize("list_mode", ["asked", "pushed"])
def test_the_application_starts_when_its_node_is_ready_and_its_exit_code_is_kept(
    list_mode: str, tmp_path: Path
) -> None:
    async def main() -> None:
        async with _running_sidecar(tmp_path, REQUEST_CODE + "sys.exit(7)", list_mode=list_mode) as sidecar:
            await sidecar.list_server()
            assert await sidecar.read_line() == "served"
            assert await sidecar.exit_code() == 7

    run(main())


@pytest.mark.parametrize("stop", ["application-first", "nodes-first"])
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_stops_nodes_and_application_and_leaves_no_process(
    number: int, stop: str, tmp_path: Path
) -> None:
    async def main() -> None:
        async with _running_sidecar(tmp_path, WAIT_CODE.format(before=""), stop=stop) as sidecar:
            await sidecar.list_server()
            pid = await sidecar.application_pid()
            children = sidecar.children()
            assert pid in children and len(children) == 3  # the guardian, the node and the application
            sidecar.process.send_signal(number)
            assert await sidecar.exit_code() == 128 + signal.SIGTERM
            for child in children:
                await _wait_until_ended(child)

    run(main())


def test_an_application_that_ignores_sigterm_is_killed(tmp_path: Path) -> None:
    async def main() -> None:
        code = WAIT_CODE.format(before="signal.signal(signal.SIGTERM, signal.SIG_IGN)")
        async with _running_sidecar(tmp_path, code, "--stop-s", "0.3") as sidecar:
            await sidecar.list_server()
            pid = await sidecar.application_pid()
            sidecar.process.terminate()
            assert await sidecar.exit_code() == 128 + signal.SIGKILL
            await _wait_until_ended(pid)

    run(main())


def test_a_killed_node_is_restarted(tmp_path: Path) -> None:
    async def main() -> None:
        async with _running_sidecar(tmp_path, WAIT_CODE.format(before="")) as sidecar:
            await sidecar.list_server()
            application = await sidecar.application_pid()
            (node,) = [
                pid
                for pid in sidecar.children()
                if b"leadrudder\0" in Path(f"/proc/{pid}/cmdline").read_bytes()
            ]
            os.kill(node, signal.SIGKILL)
            await sidecar.list_server()  # the watch of the restarted node
            assert application in sidecar.children()
            assert sidecar.process.stderr is not None
            while b"restarting in" not in await sidecar.process.stderr.readline():
                pass

    run(main())


def test_no_process_is_left_when_the_sidecar_itself_is_killed(tmp_path: Path) -> None:
    """This includes an application that ignores SIGTERM, and the processes that it started."""

    async def main() -> None:
        before = (
            "signal.signal(signal.SIGTERM, signal.SIG_IGN)\n"
            "import subprocess\n"
            "child = subprocess.Popen([sys.executable, '-c', 'import signal; signal.pause()'])\n"
            "print('child', child.pid, flush=True)"
        )
        async with _running_sidecar(tmp_path, WAIT_CODE.format(before=before), "--stop-s", "0.3") as sidecar:
            await sidecar.list_server()
            grandchild = int((await sidecar.read_line()).split()[1])
            await sidecar.application_pid()
            children = sidecar.children()
            sidecar.process.kill()
            for pid in (*children, grandchild):
                await _wait_until_ended(pid)

    run(main())


def test_processes_left_in_the_applications_group_are_killed_with_it(tmp_path: Path) -> None:
    async def main() -> None:
        code = (
            "import subprocess, sys\n"
            "child = subprocess.Popen([sys.executable, '-c', 'import signal; signal.pause()'])\n"
            "print('child', child.pid, flush=True)"
        )
        async with _running_sidecar(tmp_path, code) as sidecar:
            await sidecar.list_server()
            grandchild = int((await sidecar.read_line()).split()[1])
            assert await sidecar.exit_code() == 0
            await _wait_until_ended(grandchild)

    run(main())


def test_sighup_is_forwarded_to_the_application(tmp_path: Path) -> None:
    async def main() -> None:
        before = "signal.signal(signal.SIGHUP, lambda *_: print('again', flush=True))"
        async with _running_sidecar(tmp_path, WAIT_CODE.format(before=before)) as sidecar:
            await sidecar.list_server()
            await sidecar.application_pid()
            sidecar.process.send_signal(signal.SIGHUP)
            assert await sidecar.read_line() == "again"
            assert sidecar.process.returncode is None

    run(main())


def test_without_discovery_the_application_is_not_started(tmp_path: Path) -> None:
    async def main() -> None:
        async with _running_sidecar(tmp_path, "print('started')", "--ready-s", "0.5") as sidecar:
            assert await sidecar.exit_code() == 3
            assert await sidecar.read_line() == ""

    run(main())


def test_the_nodes_classes_come_from_the_files_routes(tmp_path: Path) -> None:
    async def main() -> None:
        async with _running_sidecar(tmp_path, REQUEST_WITHOUT_CLASS_CODE) as sidecar:
            await sidecar.list_server()
            assert await sidecar.read_line() == "served"
            assert await sidecar.exit_code() == 0
            assert len(sidecar.server.received) == 1

    run(main())


def _file(**limits: int) -> File:
    return File.model_validate(
        {
            **tomllib.loads(
                FILE_TEMPLATE.format(list="pushed", stop="nodes-first", discovery="127.0.0.1:1", port=2)
            ),
            "limits": limits,
        }
    )


def test_a_capacity_shortfall_is_reported_in_one_line() -> None:
    small = MachineCapacity(descriptors=512, memory_mb=100)
    assert capacity_shortfall(_file(), small) is None
    assert capacity_shortfall(_file(descriptors=512, memory_mb=100), small) is None
    shortfall = capacity_shortfall(_file(descriptors=513), small)
    assert shortfall is not None and "is 513, but a process may open only 512 here" in shortfall
    shortfall = capacity_shortfall(_file(memory_mb=101), small)
    assert shortfall is not None and "need 101 MB, but this machine has 100 MB" in shortfall
    assert (
        capacity_shortfall(_file(descriptors=1_048_576, memory_mb=65_536), MachineCapacity(None, None))
        is None
    )


def test_a_sidecar_starts_nothing_if_the_machine_lacks_capacity(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        MachineCapacity, "of_this_machine", classmethod(lambda cls: MachineCapacity(64, None))
    )
    path, marker = tmp_path / "a.toml", tmp_path / "started"
    path.write_text(FILE_TEMPLATE.format(list="pushed", stop="nodes-first", discovery="127.0.0.1:1", port=2))
    assert cli_main(["sidecar", str(path), "--", "touch", str(marker)]) == 1
    stderr_text = capsys.readouterr().err
    assert stderr_text.startswith("leadrudder: limits.descriptors is 256") and stderr_text.count("\n") == 1
    assert not marker.exists()


def test_an_invalid_file_starts_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        async with _running_sidecar(tmp_path, "print('started')", stop="never") as sidecar:
            assert await sidecar.exit_code() == 1
            assert await sidecar.read_line() == "" and sidecar.discovery.watches.empty()

    run(main())


def test_restart_delays_grow_and_reset_after_a_long_run() -> None:
    backoff = RestartBackoff()
    delays_s = [backoff.next_delay_s(0.0) for _ in range(8)]
    assert delays_s[:4] == [0.1, 0.2, 0.4, 0.8] and delays_s[-1] == MAX_DELAY_S
    assert backoff.next_delay_s(RESET_AFTER_S) == 0.1


def test_exit_codes_follow_the_shell_convention() -> None:
    assert (shell_exit_code(0), shell_exit_code(7), shell_exit_code(-9)) == (0, 7, 137)
