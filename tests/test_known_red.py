"""The list of tests that are known to fail: only these may fail, and all of them must."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests import known_red

RED = "tests/a.py::A::test_red"
LINE = f"{RED} | the cause | issue 48"

TWO_TESTS = """
def test_red():
    assert False


def test_green():
    assert True
"""


class KnownRedListTest(unittest.TestCase):
    def test_a_line_names_test_cause_and_issue(self) -> None:
        self.assertEqual(known_red.read(LINE + "\n\n"), [known_red.KnownRed(RED, "the cause", "issue 48")])

    def test_malformed_lists_are_errors(self) -> None:
        for text in (
            RED,
            f"{RED} | the cause",
            f"{RED} | the cause | ",
            "all tests | a | b",
            LINE + "\n" + LINE,
        ):
            with self.subTest(text), self.assertRaises(known_red.KnownRedError):
                known_red.read(text)

    def test_a_fourth_line_is_an_error(self) -> None:
        lines = [LINE.replace("test_red", f"test_{i}") for i in range(4)]
        self.assertEqual(len(known_red.read("\n".join(lines[:3]))), 3)
        with self.assertRaises(known_red.KnownRedError):
            known_red.read("\n".join(lines))

    def test_lines_of_an_uncapped_issue_do_not_count(self) -> None:
        lines = [f"tests/a.py::A::test_{i} | the cause | issue 82" for i in range(9)]
        self.assertEqual(len(known_red.read("\n".join([*lines, LINE]))), 10)

    def test_only_listed_tests_may_fail_and_they_must(self) -> None:
        known = known_red.read(LINE)
        self.assertEqual(known_red.complaints(known, ["b"], [RED]), [])
        self.assertIn("not listed", known_red.complaints(known, [], [RED, "b"])[0])
        self.assertIn("passed", known_red.complaints(known, [RED], [])[0])
        self.assertIn("not run", known_red.complaints(known, ["b"], [])[0])

    def test_a_seed_of_the_soak_is_shown_and_excuses_no_test(self) -> None:
        known = known_red.read("bench.soak::532 | the cause | issue 66")
        self.assertEqual([each.test for each in known], ["bench.soak::532"])
        self.assertEqual(known_red.complaints(known, ["b"], []), [])
        self.assertIn("not listed", known_red.complaints(known, [], ["b"])[0])


class KnownRedRunTest(unittest.TestCase):
    def run_pytest(self, listed: str) -> subprocess.CompletedProcess[str]:
        """Runs pytest on two tests, with the hooks of this repository and the given list."""
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            (root / "test_two.py").write_text(TWO_TESTS)
            (root / "KNOWN-RED.txt").write_text(listed)
            (root / "conftest.py").write_text(
                "from tests import known_red\n"
                f"known_red.FILE = __import__('pathlib').Path({str(root / 'KNOWN-RED.txt')!r})\n"
                "from tests.conftest import *\n"
            )
            here = str(Path(__file__).parent.parent)
            return subprocess.run(
                [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--rootdir", folder],
                capture_output=True,
                text=True,
                check=False,
                cwd=folder,
                env={**os.environ, "PYTHONPATH": here},
                timeout=120,
            )

    def test_a_listed_failure_is_ignored_and_printed(self) -> None:
        ended = self.run_pytest("test_two.py::test_red | a fault | issue 1")
        self.assertEqual(ended.returncode, 0, ended.stdout + ended.stderr)
        self.assertIn("known to fail: test_two.py::test_red | a fault | issue 1", ended.stdout)

    def test_a_failure_that_is_not_listed_fails_the_run(self) -> None:
        self.assertEqual(self.run_pytest("").returncode, 1)

    def test_a_listed_test_that_passes_fails_the_run(self) -> None:
        listed = "test_two.py::test_red | a | 1\ntest_two.py::test_green | a | 1"
        self.assertEqual(self.run_pytest(listed).returncode, 1)

    def test_a_listed_test_that_is_not_there_fails_a_whole_run(self) -> None:
        listed = "test_two.py::test_red | a | 1\ntest_two.py::test_gone | a | 1"
        self.assertEqual(self.run_pytest(listed).returncode, 1)

    def test_four_lines_fail_the_run(self) -> None:
        listed = "\n".join(f"test_two.py::test_{i} | a | 1" for i in range(4))
        self.assertNotEqual(self.run_pytest(listed).returncode, 0)


if __name__ == "__main__":
    unittest.main()
