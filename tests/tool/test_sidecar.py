"""The sidecar with real processes: each signal, each death, and nothing left behind."""

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

FILE = """\
version = 1
application = {{name = "pieni", stop = "{stop}"}}
tier = [{{name = "t", discovery = "{discovery}", list = "{list}"}}]
listener = [{{name = "l", address = "127.0.0.1:{port}", tier = "t"}}]
class = [{{name = "haku", effect = "safe", aim_ms = 1000, deadline_ms = 3000}}]
route = [{{method = "GET", path = "/*", listener = "l", class = "haku"}}]
"""
ASK_WITHOUT_CLASS = """
import sys, urllib.request
request = urllib.request.Request("http://127.0.0.1:{port}/x", headers={{
    "X-Request-Id": "1", "X-Deadline": "2.0"}})
print(urllib.request.urlopen(request, timeout=5).read().decode(), flush=True)
"""
ASK = """
import sys, urllib.request
request = urllib.request.Request("http://127.0.0.1:{port}/api/x", headers={{
    "X-Request-Id": "1", "X-Class": "haku", "X-Deadline": "2.0"}})
print(urllib.request.urlopen(request, timeout=5).read().decode(), flush=True)
"""
WAIT = """
import os, signal, sys
{before}
print("pid", os.getpid(), os.getppid(), flush=True)
while True:
    signal.pause()
"""


def _free_port() -> int:
    with socket.socket() as one:
        one.bind((HOST, 0))
        return int(one.getsockname()[1])


@dataclass
class Sidecar:
    """A sidecar's process between a stand-in server and discovery."""

    process: asyncio.subprocess.Process
    port: int
    discovery: StubDiscovery
    server: StubServer

    async def list_server(self) -> None:
        """Tell the next watch that a node opens of the server."""
        send_line(await self.discovery.watch(), listing(1, row("a", self.server.address)))

    async def line(self) -> str:
        assert self.process.stdout is not None
        return (await asyncio.wait_for(self.process.stdout.readline(), WAIT_TIMEOUT_S)).decode().strip()

    async def pid(self) -> int:
        """Of the application, once it runs."""
        return int((await self.line()).split()[1])

    async def code(self) -> int:
        return await asyncio.wait_for(self.process.wait(), WAIT_TIMEOUT_S)

    def children(self) -> list[int]:
        """All processes whose parent is the sidecar."""
        path = Path(f"/proc/{self.process.pid}/task/{self.process.pid}/children")
        return [int(pid) for pid in path.read_text().split()]


@contextlib.asynccontextmanager
async def _sidecar(
    folder: Path, code: str, *options: str, stop: str = "application-first", how: str = "pushed"
) -> AsyncIterator[Sidecar]:
    async with StubServer([reply("200 OK", b"served")]) as server, StubDiscovery() as discovery:
        port = _free_port()
        file = folder / "a.toml"
        file.write_text(FILE.format(list=how, stop=stop, discovery=discovery.address, port=port))
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
            yield Sidecar(process, port, discovery, server)
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


async def _ended(pid: int) -> None:
    """Wait for the end of a process that is not a child of this one."""
    try:
        descriptor = os.pidfd_open(pid)
    except ProcessLookupError:
        return
    loop = asyncio.get_running_loop()
    over = asyncio.Event()
    loop.add_reader(descriptor, over.set)
    try:
        await asyncio.wait_for(over.wait(), WAIT_TIMEOUT_S)
    finally:
        loop.remove_reader(descriptor)
        os.close(descriptor)


@pytest.mark.parametrize("how", ["asked", "pushed"])
def test_the_application_starts_when_its_node_is_ready_and_its_exit_code_is_kept(
    how: str, tmp_path: Path
) -> None:
    async def main() -> None:
        async with _sidecar(tmp_path, ASK + "sys.exit(7)", how=how) as sidecar:
            await sidecar.list_server()
            assert await sidecar.line() == "served"
            assert await sidecar.code() == 7

    run(main())


@pytest.mark.parametrize("stop", ["application-first", "nodes-first"])
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_ends_both_and_leaves_nothing(number: int, stop: str, tmp_path: Path) -> None:
    async def main() -> None:
        async with _sidecar(tmp_path, WAIT.format(before=""), stop=stop) as sidecar:
            await sidecar.list_server()
            pid = await sidecar.pid()
            children = sidecar.children()
            assert pid in children and len(children) == 3  # the guardian, the node and the application
            sidecar.process.send_signal(number)
            assert await sidecar.code() == 128 + signal.SIGTERM
            for child in children:
                await _ended(child)

    run(main())


def test_an_application_that_ignores_sigterm_is_killed(tmp_path: Path) -> None:
    async def main() -> None:
        code = WAIT.format(before="signal.signal(signal.SIGTERM, signal.SIG_IGN)")
        async with _sidecar(tmp_path, code, "--stop-s", "0.3") as sidecar:
            await sidecar.list_server()
            pid = await sidecar.pid()
            sidecar.process.terminate()
            assert await sidecar.code() == 128 + signal.SIGKILL
            await _ended(pid)

    run(main())


def test_a_node_that_is_killed_starts_again(tmp_path: Path) -> None:
    async def main() -> None:
        async with _sidecar(tmp_path, WAIT.format(before="")) as sidecar:
            await sidecar.list_server()
            application = await sidecar.pid()
            (node,) = [
                pid
                for pid in sidecar.children()
                if b"leadrudder\0" in Path(f"/proc/{pid}/cmdline").read_bytes()
            ]
            os.kill(node, signal.SIGKILL)
            await sidecar.list_server()  # the new one's watch
            assert application in sidecar.children()
            assert sidecar.process.stderr is not None
            while b"restarting in" not in await sidecar.process.stderr.readline():
                pass

    run(main())


def test_nothing_is_left_when_the_sidecar_itself_is_killed(tmp_path: Path) -> None:
    """Also an application that ignores SIGTERM, and what that has started itself."""

    async def main() -> None:
        before = (
            "signal.signal(signal.SIGTERM, signal.SIG_IGN)\n"
            "import subprocess\n"
            "child = subprocess.Popen([sys.executable, '-c', 'import signal; signal.pause()'])\n"
            "print('child', child.pid, flush=True)"
        )
        async with _sidecar(tmp_path, WAIT.format(before=before), "--stop-s", "0.3") as sidecar:
            await sidecar.list_server()
            grandchild = int((await sidecar.line()).split()[1])
            await sidecar.pid()
            children = sidecar.children()
            sidecar.process.kill()
            for pid in (*children, grandchild):
                await _ended(pid)

    run(main())


def test_what_an_application_leaves_in_its_group_ends_with_it(tmp_path: Path) -> None:
    async def main() -> None:
        code = (
            "import subprocess, sys\n"
            "child = subprocess.Popen([sys.executable, '-c', 'import signal; signal.pause()'])\n"
            "print('child', child.pid, flush=True)"
        )
        async with _sidecar(tmp_path, code) as sidecar:
            await sidecar.list_server()
            grandchild = int((await sidecar.line()).split()[1])
            assert await sidecar.code() == 0
            await _ended(grandchild)

    run(main())


def test_sighup_goes_on_to_the_application(tmp_path: Path) -> None:
    async def main() -> None:
        before = "signal.signal(signal.SIGHUP, lambda *_: print('again', flush=True))"
        async with _sidecar(tmp_path, WAIT.format(before=before)) as sidecar:
            await sidecar.list_server()
            await sidecar.pid()
            sidecar.process.send_signal(signal.SIGHUP)
            assert await sidecar.line() == "again"
            assert sidecar.process.returncode is None

    run(main())


def test_without_discovery_nothing_is_started(tmp_path: Path) -> None:
    async def main() -> None:
        async with _sidecar(tmp_path, "print('started')", "--ready-s", "0.5") as sidecar:
            assert await sidecar.code() == 3
            assert await sidecar.line() == ""

    run(main())


def test_the_nodes_classes_come_from_the_files_routes(tmp_path: Path) -> None:
    async def main() -> None:
        async with _sidecar(tmp_path, ASK_WITHOUT_CLASS) as sidecar:
            await sidecar.list_server()
            assert await sidecar.line() == "served"
            assert await sidecar.code() == 0
            assert len(sidecar.server.received) == 1

    run(main())


def _file(**limits: int) -> File:
    return File.model_validate(
        {
            **tomllib.loads(FILE.format(list="pushed", stop="nodes-first", discovery="127.0.0.1:1", port=2)),
            "limits": limits,
        }
    )


def test_what_the_machine_does_not_allow_is_told_in_one_line() -> None:
    small = MachineCapacity(descriptors=512, memory_mb=100)
    assert capacity_shortfall(_file(), small) is None
    assert capacity_shortfall(_file(descriptors=512, memory_mb=100), small) is None
    lacks = capacity_shortfall(_file(descriptors=513), small)
    assert lacks is not None and "is 513, but a process may open only 512 here" in lacks
    lacks = capacity_shortfall(_file(memory_mb=101), small)
    assert lacks is not None and "need 101 MB, but this machine has 100 MB" in lacks
    assert (
        capacity_shortfall(_file(descriptors=1_048_576, memory_mb=65_536), MachineCapacity(None, None))
        is None
    )


def test_a_sidecar_beyond_its_machine_starts_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        MachineCapacity, "of_this_machine", classmethod(lambda cls: MachineCapacity(64, None))
    )
    path, mark = tmp_path / "a.toml", tmp_path / "started"
    path.write_text(FILE.format(list="pushed", stop="nodes-first", discovery="127.0.0.1:1", port=2))
    assert cli_main(["sidecar", str(path), "--", "touch", str(mark)]) == 1
    said = capsys.readouterr().err
    assert said.startswith("leadrudder: limits.descriptors is 256") and said.count("\n") == 1
    assert not mark.exists()


def test_a_bad_file_starts_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        async with _sidecar(tmp_path, "print('started')", stop="never") as sidecar:
            assert await sidecar.code() == 1
            assert await sidecar.line() == "" and sidecar.discovery.watches.empty()

    run(main())


def test_pauses_grow_and_fall_back_when_a_node_has_lived() -> None:
    pauses = RestartBackoff()
    found = [pauses.next_delay_s(0.0) for _ in range(8)]
    assert found[:4] == [0.1, 0.2, 0.4, 0.8] and found[-1] == MAX_DELAY_S
    assert pauses.next_delay_s(RESET_AFTER_S) == 0.1


def test_exit_codes_are_a_shells() -> None:
    assert (shell_exit_code(0), shell_exit_code(7), shell_exit_code(-9)) == (0, 7, 137)
