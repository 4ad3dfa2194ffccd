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
from leadrudder.storage.store import DbmStore, DiskInUseError
from leadrudder.transport.link import Link, dial
from tests.mesh.programs import HOST, PROGRAMS, Program
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
EARLY_MODULES = ("leadrudder.bootstrap.settings", "leadrudder.policy.decide", "argparse")
NO_SETTINGS_EXIT_STATUS = 2  # of both programs without a settings file
SIGHUP_INTERVAL_S = 0.001
HELD_S = 0.5
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
    async def test_only_an_address_in_use_is_waited_for_and_not_for_ever(self) -> None:
        for error_number, expected_attempts in ((98, 3), (99, 1), (13, 1)):
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
                await takeover.listen_when_free(listen, lambda text: None)
            self.assertEqual(attempts, expected_attempts)

    async def test_the_port_of_a_link_can_be_listened_at(self) -> None:
        handler = mock.Mock()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Link(handler), HOST, 0)
        link = await dial(f"{HOST}:{server.sockets[0].getsockname()[1]}", lambda: Link(handler))
        assert link is not None and link._transport is not None
        local_address = link._transport.get_extra_info("sockname")
        while_open = await loop.create_server(asyncio.Protocol, *local_address)
        while_open.close()
        link.close()
        await asyncio.sleep(0.05)
        after_it = await loop.create_server(asyncio.Protocol, *local_address)
        after_it.close()
        server.close()


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
