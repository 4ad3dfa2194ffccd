"""Configures the suite: hypothesis is deterministic and stores no files.

Tests run on the interpreted sources, because they inspect objects and replace methods.
tests/test_compiled.py compares the compiled modules with the sources.

Failures of the tests listed in KNOWN-RED.txt, and of no others, are ignored and printed (tests/known_red.py).
"""

from __future__ import annotations

import os

import pytest
from _pytest.terminal import TerminalReporter
from hypothesis import settings

from tests import known_red

os.environ["LEADRUDDER_PURE"] = "1"
settings.register_profile("fixed", derandomize=True, database=None, deadline=None)
settings.load_profile("fixed")


class KnownRedPlugin:
    """Collects test results and decides the exit status of the run by them and the list."""

    def __init__(self) -> None:
        self.known = known_red.load(known_red.FILE)
        self.passed: set[str] = set()
        self.failed: set[str] = set()

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.passed and report.when == "call":
            self.passed.add(report.nodeid)

    def complaints(self, config: pytest.Config) -> list[str]:
        partly = config.args_source is pytest.Config.ArgsSource.ARGS or config.option.keyword
        ran = self.passed | self.failed
        known = [each for each in self.known if not partly or each.test in ran]
        return known_red.complaints(known, self.passed - self.failed, self.failed)

    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        if exitstatus not in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED) or not self.known:
            return
        wrong = bool(self.complaints(session.config)) or session.shouldfail or session.shouldstop
        session.exitstatus = pytest.ExitCode.TESTS_FAILED if wrong else pytest.ExitCode.OK

    def pytest_terminal_summary(self, terminalreporter: TerminalReporter, config: pytest.Config) -> None:
        for each in self.known:
            terminalreporter.write_line(f"known to fail: {each.test} | {each.cause} | {each.issue}")
        for complaint in self.complaints(config) if self.known else ():
            terminalreporter.write_line(f"known to fail, wrong: {complaint}")


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.pluginmanager.register(KnownRedPlugin())
    except known_red.KnownRedError as error:
        raise pytest.UsageError(f"{known_red.FILE.name}: {error}") from error
