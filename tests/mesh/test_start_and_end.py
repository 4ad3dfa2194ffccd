"""Start and end of both programs: signals, and no dials after the end.

Guards against FAULT of issue 76: programs that did not start, or that ended by themselves.
"""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from leadrudder.emulation.fleet import Fleet
from tests.mesh.programs import PROGRAMS, Program
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
