"""Start and end of both programs: signals, addresses and disks in use, and no dials after the end.

Guards against FAULT of issue 76: programs that did not start, or that ended by themselves.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from contextlib import closing
from pathlib import Path
from unittest import mock

from leadrudder.bootstrap import takeover
from leadrudder.emulation.fleet import Fleet
from leadrudder.emulation.standins import encoded_request, http_call
from leadrudder.storage.store import DbmStore, DiskError, DiskInUseError
from leadrudder.transport.api_server import ApiRequest
from leadrudder.transport.link import Link, dial
from tests.mesh.programs import HOST, PROGRAMS, START_TIMEOUT_S, Program
from tests.mesh.test_emulation import PLAN

# Sends SIGHUP to its own process when a program first imports a module.
SIGHUP_WHILE_IMPORTING = """
import os, runpy, signal, sys

class SendSighup:
    def find_spec(self, name, path=None, target=None):
        if name == "{module}":
            os.kill(os.getpid(), signal.SIGHUP)
        return None

sys.meta_path.insert(0, SendSighup())
runpy.run_module("{program}", run_name="__main__")
"""
SIGTERM_WHILE_IMPORTING = SIGHUP_WHILE_IMPORTING.replace("SIGHUP", "SIGTERM").replace("Sighup", "Sigterm")
EARLY_MODULES = ("leadrudder.bootstrap.settings", "leadrudder.policy.decide", "argparse")
# Runs a program in which something raises.
UNEXPECTED_EXCEPTION = """
import runpy
from unittest import mock

def run(main):
    main.close()
    raise KeyError("unheard of")

with mock.patch("leadrudder.bootstrap.event_loop.run", run), mock.patch(
    "leadrudder.bootstrap.settings.load_settings"
):
    runpy.run_module("{program}", run_name="__main__")
"""
DISK_ERRORS_S = 11.0  # longer than the 10 s after which the program once gave up
IMPORTED_MODULES = {  # by each program, early and late
    "leadrudder.data_plane": ("argparse", "leadrudder.bootstrap.start", "leadrudder.data_plane.program"),
    "leadrudder.control_plane": (
        "argparse",
        "leadrudder.bootstrap.start",
        "leadrudder.control_plane.program",
    ),
    "leadrudder": ("leadrudder.bootstrap.event_loop", "leadrudder.node.node"),
}
NO_SETTINGS_EXIT_STATUS = 2  # of both programs without a settings file
SIGHUP_INTERVAL_S = 0.001
HELD_S = 0.5
MAX_SHARED_PORTS = 200  # ports that others use as well, before a test gives up
IGNORING_SIGHUP = ("sh", "-c", "trap '' HUP; exec \"$@\"", "sh")


class Programs(unittest.TestCase):
    """Both programs as real processes."""

    def create(self, module: str) -> Program:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        program = Program(module, Path(folder.name))
        self.addCleanup(program.stop)
        return program


class Startup(Programs):
    def test_a_sighup_during_imports_does_not_end_the_process(self) -> None:
        for program in (*PROGRAMS, "leadrudder"):
            for module in EARLY_MODULES:
                with self.subTest(program=program, module=module):
                    code = SIGHUP_WHILE_IMPORTING.format(program=program, module=module)
                    result = subprocess.run(
                        [sys.executable, "-c", code, program],
                        capture_output=True,
                        env={"PATH": "/usr/bin:/bin"},
                        timeout=60.0,
                        check=False,
                    )
                    self.assertEqual(result.returncode, NO_SETTINGS_EXIT_STATUS, result.stderr)

    def test_a_sigterm_during_imports_ends_the_process_with_0_and_a_reason(self) -> None:
        for program, modules in IMPORTED_MODULES.items():
            for module in modules:
                with self.subTest(program=program, module=module):
                    code = SIGTERM_WHILE_IMPORTING.format(program=program, module=module)
                    result = subprocess.run(
                        [sys.executable, "-c", code], capture_output=True, timeout=60.0, check=False
                    )
                    self.assertEqual(result.returncode, 0, result.stderr)
                    self.assertIn(b"terminated while starting", result.stderr)

    def test_it_starts_once_its_disk_works_and_says_meanwhile_what_it_waits_for(self) -> None:
        program = self.create("leadrudder.control_plane")
        program.disk.write_text("a file where the folder should be")
        process = program.start()
        program.wait_for_line("waiting for the disk")
        ready = encoded_request("GET", "/ready", "control")
        answer = asyncio.run(http_call(program.control_address, ready, 5.0))
        assert answer is not None
        self.assertEqual((answer.status, b"waiting for the disk" in answer.body), (503, True))
        time.sleep(DISK_ERRORS_S)
        self.assertIsNone(process.poll(), program.log())
        program.disk.unlink()
        program.wait_for_line("started")
        process.terminate()
        self.assertEqual(process.wait(10.0), 0, program.log())

    def test_an_unexpected_exception_is_the_last_line_of_the_log(self) -> None:
        for module in PROGRAMS:
            with self.subTest(module):
                result = subprocess.run(
                    [sys.executable, "-c", UNEXPECTED_EXCEPTION.format(program=module)],
                    capture_output=True,
                    timeout=60.0,
                    check=False,
                )
                self.assertEqual(result.returncode, 1, result.stderr)
                last_line = result.stderr.decode().splitlines()[-1]
                self.assertEqual(
                    last_line, "leadrudder: ended by an unexpected error: KeyError('unheard of')"
                )

    def test_sighups_from_the_first_moment_on_where_the_environment_ignores_them(self) -> None:
        for module in PROGRAMS:
            with self.subTest(module):
                program = self.create(module)
                process = program.start(IGNORING_SIGHUP)
                time.sleep(0.02)  # for the shell to ignore the signal
                while "started" not in (program.log() if (program.folder / "log").exists() else ""):
                    process.send_signal(signal.SIGHUP)
                    self.assertIsNone(process.poll(), program.log())
                    time.sleep(SIGHUP_INTERVAL_S)
                process.terminate()
                self.assertEqual(process.wait(10.0), 0, program.log())

    def test_it_starts_once_an_outgoing_connection_frees_its_port(self) -> None:
        for module in PROGRAMS:
            with self.subTest(module):
                program = self.create(module)
                with closing(socket.create_server((HOST, 0))) as listener:
                    connection = socket.create_connection(listener.getsockname(), None, (HOST, program.port))
                    process = program.start()
                    program.wait_for_line("waiting for another process")
                    time.sleep(HELD_S)
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    connection.close()  # with a reset, as the port would be kept for a minute
                program.wait_for_line("started")
                process.terminate()
                self.assertEqual(process.wait(10.0), 0, program.log())

    def test_it_starts_beside_the_process_that_it_replaces(self) -> None:
        for module in PROGRAMS:
            with self.subTest(module):
                program = self.create(module)
                old = program.start()
                program.wait_for_line("started")
                old.terminate()
                new = program.start()
                self.assertEqual(old.wait(10.0), 0, program.log())
                program.wait_for_line("started", count=2)
                new.terminate()
                self.assertEqual(new.wait(10.0), 0, program.log())

    def test_a_sigterm_ends_it_while_it_waits_for_an_address(self) -> None:
        program = self.create(PROGRAMS[0])
        with closing(socket.create_server(program.control_address)):
            process = program.start()
            program.wait_for_line("waiting for another process")
            process.terminate()
            self.assertEqual(process.wait(5.0), 0, program.log())


class Waiting(unittest.IsolatedAsyncioTestCase):
    async def test_only_an_address_that_may_come_is_waited_for_and_not_for_ever(self) -> None:
        # In use, and not there yet: waited for.  Not permitted: not.
        for error_number, expected_attempts in ((98, 3), (99, 3), (13, 1)):
            attempts = 0

            async def listen(error_number: int = error_number) -> None:
                nonlocal attempts
                attempts += 1
                raise OSError(error_number, "not now")

            with (
                self.subTest(error_number),
                mock.patch.object(takeover, "TAKEOVER_TIMEOUT_S", 0.03),
                mock.patch.object(takeover, "RETRY_INTERVAL_S", 0.02),
                self.assertRaises(OSError),
            ):
                await takeover.Startup(lambda text: None).listen(listen)
            self.assertEqual(attempts, expected_attempts)

    async def test_a_disk_that_reports_errors_is_waited_for_and_those_who_ask_are_told(self) -> None:
        lines: list[str] = []
        startup = takeover.Startup(lines.append)
        outcomes = [DiskError("[Errno 5] Input/output error")] * 200 + [None]
        responses = []

        async def open_disk() -> str:
            error = outcomes.pop(0)
            if error is not None:
                raise error
            responses.append(startup.respond(ApiRequest("GET", ("ready",), b"")))
            return "records"

        with mock.patch.object(takeover, "RETRY_INTERVAL_S", 0.0):
            opened = await startup.open_disk(open_disk)
        self.assertEqual(opened, "records")
        self.assertEqual((responses[0].status, b"disk: [Errno 5]" in responses[0].body), (503, True))
        self.assertIn("waiting for the disk: [Errno 5] Input/output error", lines)

    async def test_the_port_of_a_link_can_be_listened_at(self) -> None:
        handler = mock.Mock()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Link(handler), HOST, 0)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        for _ in range(MAX_SHARED_PORTS):
            dialled = await dial(address, lambda: Link(handler))
            assert dialled is not None and dialled._transport is not None
            link = dialled
            local_address = dialled._transport.get_extra_info("sockname")
            if count_connections_from(local_address) == 1:
                break
            link.abort()  # another program's connection has the same port, and may keep it from listeners
        while_open = await loop.create_server(asyncio.Protocol, *local_address)
        while_open.close()
        link.close()
        await asyncio.sleep(0.05)
        after_it = await loop.create_server(asyncio.Protocol, *local_address)
        after_it.close()
        server.close()


def count_connections_from(address: tuple[str, int]) -> int:
    """Connections of this machine with this local address, open or lately closed, from the kernel's table."""
    local = f"{int.from_bytes(socket.inet_aton(address[0]), sys.byteorder):08X}:{address[1]:04X}"
    rows = Path("/proc/net/tcp").read_text().splitlines()[1:]
    return sum(row.split()[1] == local for row in rows)


class Disk(unittest.TestCase):
    def test_a_disk_is_opened_by_one_process_at_a_time(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            code = (
                "import sys; from leadrudder.storage.store import DbmStore; store = DbmStore(sys.argv[1]);"
                "store.open(); store.commit({'a': b'1'}); print(flush=True); sys.stdin.read()"
            )
            other = subprocess.Popen(
                [sys.executable, "-c", code, folder], stdin=subprocess.PIPE, stdout=subprocess.PIPE
            )
            assert other.stdout is not None
            other.stdout.readline()
            files = sorted(os.listdir(folder))
            store = DbmStore(folder)
            with self.assertRaises(DiskInUseError):
                store.open()
            self.assertEqual(sorted(os.listdir(folder)), files)
            other.communicate(b"")
            self.assertEqual(store.open(), {"a": b"1"})
            store.close()


class Termination(Programs):
    def test_sighups_during_the_end_do_not_change_the_exit_code(self) -> None:
        for module in PROGRAMS:
            with self.subTest(module):
                program = self.create(module)
                process = program.start()
                program.wait_for_line("started")
                process.terminate()
                give_up_at = time.monotonic() + 10.0
                while process.poll() is None and time.monotonic() < give_up_at:
                    process.send_signal(signal.SIGHUP)
                    time.sleep(SIGHUP_INTERVAL_S)
                self.assertEqual(process.wait(5.0), 0, program.log())

    def test_closed_standard_streams_do_not_abort_the_end(self) -> None:
        for module in PROGRAMS:
            with self.subTest(module):
                program = self.create(module)
                process = program.start(("sh", "-c", 'exec "$@" <&- >&- 2>&-', "sh"))
                self.wait_for_answer(program)
                process.terminate()
                self.assertEqual(process.wait(10.0), 0)

    def wait_for_answer(self, program: Program) -> None:
        """Wait until a program that writes no log answers."""
        ready = encoded_request("GET", "/ring", "control")
        give_up_at = time.monotonic() + START_TIMEOUT_S
        while asyncio.run(http_call(program.control_address, ready, 1.0)) is None:
            self.assertLess(time.monotonic(), give_up_at)
            time.sleep(0.05)

    def test_a_sigint_is_taken_as_a_sigterm_and_repeated_signals_change_nothing(self) -> None:
        for module in PROGRAMS:
            with self.subTest(module):
                program = self.create(module)
                process = program.start()
                program.wait_for_line("started")
                give_up_at = time.monotonic() + 10.0
                while process.poll() is None and time.monotonic() < give_up_at:
                    process.send_signal(signal.SIGINT)
                    process.send_signal(signal.SIGTERM)
                    time.sleep(SIGHUP_INTERVAL_S)
                self.assertEqual(process.wait(5.0), 0, program.log())
                self.assertIn("stopped", program.log().splitlines()[-1])

    def test_too_few_descriptors_are_the_reason_in_the_last_line(self) -> None:
        for module in PROGRAMS:
            with self.subTest(module):
                program = self.create(module)
                process = program.start(("sh", "-c", 'ulimit -n 8; exec "$@"', "sh"))
                self.assertEqual(process.wait(10.0), 2)
                self.assertIn("Too many open files", program.log().splitlines()[-1])


class Shutdown(unittest.TestCase):
    def test_a_stopped_control_plane_node_dials_no_peer(self) -> None:
        fleet = Fleet(11, PLAN)
        fleet.run_until(5.0)
        control_plane_node = fleet.control_machines[0].control_node
        assert control_plane_node is not None
        control_plane_node._stopped.set()
        with mock.patch.object(asyncio.AbstractEventLoop, "create_task") as create_task:
            control_plane_node._links.clear()
            control_plane_node._dial_missing_peers()
        create_task.assert_not_called()
        self.assertEqual(control_plane_node._dialing, set())

    def test_a_stopped_data_plane_node_does_no_periodic_work(self) -> None:
        fleet = Fleet(11, PLAN)
        fleet.run_until(5.0)
        node = fleet.node_machines[0].node
        assert node is not None
        node._done.set()
        with mock.patch.object(node, "_loop") as loop, mock.patch.object(node, "state") as state:
            node._tick()
        loop.call_later.assert_not_called()
        state.update_subscriptions.assert_not_called()


if __name__ == "__main__":
    unittest.main()
