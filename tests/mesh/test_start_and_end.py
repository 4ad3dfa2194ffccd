"""The first and the last moments of both programs: signals before they are handled, dials after the end."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import unittest
from unittest import mock

from leadrudder.emulation.fleet import Fleet
from tests.mesh.test_emulation import PLAN

# Sends SIGHUP to itself at the first import of what the program itself is made of.
HANG_UP_WHILE_IMPORTING = """
import os, runpy, signal, sys

class HangUp:
    def find_spec(self, name, path=None, target=None):
        if name == "leadrudder.bootstrap.settings":
            os.kill(os.getpid(), signal.SIGHUP)
        return None

sys.meta_path.insert(0, HangUp())
runpy.run_module("{program}", run_name="__main__")
"""
NO_SETTINGS = 2  # what both programs end with where there is no settings file


class Start(unittest.TestCase):
    def test_a_hang_up_while_the_program_is_imported_does_not_end_it(self) -> None:
        for program in ("leadrudder.data_plane", "leadrudder.control_plane"):
            with self.subTest(program):
                code = HANG_UP_WHILE_IMPORTING.format(program=program)
                done = subprocess.run(
                    [sys.executable, "-c", code, program],
                    capture_output=True,
                    env={"PATH": "/usr/bin:/bin"},
                    timeout=60.0,
                    check=False,
                )
                self.assertEqual(done.returncode, NO_SETTINGS, done.stderr)


class End(unittest.TestCase):
    def test_a_signalbox_that_has_ended_dials_nobody(self) -> None:
        fleet = Fleet(11, PLAN)
        fleet.run_until(5.0)
        signalbox = fleet.control_machines[0].control_node
        assert signalbox is not None
        signalbox._done.set()
        with mock.patch.object(asyncio.AbstractEventLoop, "create_task") as create_task:
            signalbox._links.clear()
            signalbox._dial_all()
        create_task.assert_not_called()
        self.assertEqual(signalbox._dialling, set())

    def test_a_station_that_has_ended_looks_for_nothing(self) -> None:
        fleet = Fleet(11, PLAN)
        fleet.run_until(5.0)
        station = fleet.node_machines[0].node
        assert station is not None
        station._done.set()
        with mock.patch.object(station, "_loop") as loop, mock.patch.object(station, "state") as state:
            station._sweep()
        loop.call_later.assert_not_called()
        state.look_for_sources.assert_not_called()


if __name__ == "__main__":
    unittest.main()
