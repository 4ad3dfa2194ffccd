"""Start and end of both programs: signals before handlers are installed, and no dials after the end."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import unittest
from unittest import mock

from leadrudder.emulation.fleet import Fleet
from tests.mesh.test_emulation import PLAN

# Sends SIGHUP to its own process at the program's first import of its own modules.
SIGHUP_WHILE_IMPORTING = """
import os, runpy, signal, sys

class SendSighup:
    def find_spec(self, name, path=None, target=None):
        if name == "leadrudder.bootstrap.settings":
            os.kill(os.getpid(), signal.SIGHUP)
        return None

sys.meta_path.insert(0, SendSighup())
runpy.run_module("{program}", run_name="__main__")
"""
NO_SETTINGS_EXIT_STATUS = 2  # of both programs without a settings file


class Startup(unittest.TestCase):
    def test_a_sighup_during_imports_does_not_end_the_process(self) -> None:
        for program in ("leadrudder.data_plane", "leadrudder.control_plane"):
            with self.subTest(program):
                code = SIGHUP_WHILE_IMPORTING.format(program=program)
                result = subprocess.run(
                    [sys.executable, "-c", code, program],
                    capture_output=True,
                    env={"PATH": "/usr/bin:/bin"},
                    timeout=60.0,
                    check=False,
                )
                self.assertEqual(result.returncode, NO_SETTINGS_EXIT_STATUS, result.stderr)


class Shutdown(unittest.TestCase):
    def test_a_stopped_control_plane_node_dials_no_peer(self) -> None:
        fleet = Fleet(11, PLAN)
        fleet.play(5.0)
        signalbox = fleet.core[0].signalbox
        assert signalbox is not None
        signalbox._stopped.set()
        with mock.patch.object(asyncio.AbstractEventLoop, "create_task") as create_task:
            signalbox._links.clear()
            signalbox._dial_missing_peers()
        create_task.assert_not_called()
        self.assertEqual(signalbox._dialing, set())

    def test_a_stopped_data_plane_node_does_no_periodic_work(self) -> None:
        fleet = Fleet(11, PLAN)
        fleet.play(5.0)
        node = fleet.side[0].station
        assert node is not None
        node._done.set()
        with mock.patch.object(node, "_loop") as loop, mock.patch.object(node, "state") as state:
            node._tick()
        loop.call_later.assert_not_called()
        state.update_subscriptions.assert_not_called()


if __name__ == "__main__":
    unittest.main()
