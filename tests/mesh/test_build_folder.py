"""A build folder that came from another machine, from another Python or from a broken build is made anew.

Guards against FAULT of issue 79: both programs ended with an ImportError in a folder that had been carried
over.
"""

from __future__ import annotations

import importlib.util
import subprocess
import sys
import sysconfig
import tempfile
import unittest
from pathlib import Path
from unittest import mock

ROOT = Path(__file__).resolve().parent.parent.parent
_SPEC = importlib.util.spec_from_file_location("deploy_build", ROOT / "deploy/build.py")
assert _SPEC is not None and _SPEC.loader is not None
build = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(build)


class BuildFolder(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name, "target")
        self.requirements = Path(temporary.name, "requirements.txt")
        self.requirements.write_text("some-library==1.0\n")
        self.library = self.folder / "deps/lib/fast.so"
        self.make_folder()

    def make_folder(self) -> None:
        """A complete build, with one library that fits this machine."""
        self.library.parent.mkdir(parents=True, exist_ok=True)
        self.library.write_bytes(Path(sys.executable).resolve().read_bytes()[: build.ELF_HEADER_BYTES])
        (self.folder / build.STAMP_FILE).write_text(build.stamp(self.requirements))

    def is_current(self) -> bool:
        return bool(build.is_current(self.folder, self.requirements))

    def test_a_complete_build_of_this_machine_is_kept(self) -> None:
        self.assertTrue(self.is_current())

    def test_libraries_of_another_kind_of_machine_are_replaced(self) -> None:
        header = bytearray(self.library.read_bytes())
        header[18] ^= 0xFF
        self.library.write_bytes(bytes(header))
        self.assertFalse(self.is_current())

    def test_a_build_of_another_kind_of_python_is_replaced(self) -> None:
        with mock.patch.object(sysconfig, "get_config_var", return_value="cpython-39-x86_64-linux-gnu"):
            self.assertFalse(self.is_current())

    def test_a_build_of_a_former_release_is_replaced(self) -> None:
        (self.folder / build.STAMP_FILE).write_text(self.requirements.read_text())
        self.assertFalse(self.is_current())

    def test_a_build_that_broke_off_or_has_other_requirements_is_replaced(self) -> None:
        (self.folder / build.STAMP_FILE).unlink()
        self.assertFalse(self.is_current())
        self.make_folder()
        self.requirements.write_text("some-library==1.1\n")
        self.assertFalse(self.is_current())

    def test_a_folder_whose_programs_cannot_be_imported_is_built_again(self) -> None:
        with (
            mock.patch.object(build, "install") as install,
            mock.patch.object(
                subprocess, "run", side_effect=[mock.Mock(returncode=1), mock.Mock(returncode=0)]
            ),
        ):
            self.assertEqual(build.main([str(self.folder), str(self.requirements)]), 0)
        install.assert_called_once()


if __name__ == "__main__":
    unittest.main()
