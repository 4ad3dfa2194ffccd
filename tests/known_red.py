"""Tests that are expected to fail because of a known fault: KNOWN-RED.txt at the root.

Each line gives a test, the cause and the issue, separated by " | ". A run ignores the failures of these tests
only. It fails if a listed test passes, does not exist or was not run, if there are too many lines, or if a
line is malformed: so the list holds only tests that fail, and every failure is shown.

A seed of the soak that broke an invariant is listed as bench.soak::SEED. It is no test of the suite and does
not fail each time, so a run only shows it; no run of the soak passes over it.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LINES = 3
UNCAPPED_ISSUES = frozenset(("issue 82",))  # their lines do not count
SEPARATOR = " | "
SOAK_PREFIX = "bench.soak::"


class KnownRedError(Exception):
    """The list is invalid."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that may fail.  test: its pytest node id, such as tests/mesh/test_x.py::Case::test_y."""

    test: str
    cause: str
    issue: str


def read(text: str) -> list[KnownRed]:
    """Parses the list; raises KnownRedError if it is invalid."""
    lines = [line for line in text.splitlines() if line.strip()]
    known = [_read_line(line) for line in lines]
    counted = sum(each.issue not in UNCAPPED_ISSUES for each in known)
    if counted > MAX_LINES:
        raise KnownRedError(f"{counted} lines, where {MAX_LINES} are allowed")
    if len({each.test for each in known}) < len(known):
        raise KnownRedError("a test is listed twice")
    return known


def _read_line(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
        raise KnownRedError(f"not `test | cause | issue`: {line}")
    return KnownRed(*parts)


def load(path: Path = FILE) -> list[KnownRed]:
    """Reads the list; empty if the file does not exist."""
    return read(path.read_text(encoding="utf-8")) if path.exists() else []


def complaints(known: Collection[KnownRed], passed: Collection[str], failed: Collection[str]) -> list[str]:
    """Describes what is wrong with a complete run, by test names; empty if the run may pass."""
    listed = {each.test for each in known if not each.test.startswith(SOAK_PREFIX)}
    messages = [f"{name} failed and is not listed" for name in sorted(set(failed) - listed)]
    for name in sorted(listed - set(failed)):
        what = "passed: take it off the list" if name in passed else "was not run"
        messages.append(f"{name} is listed in {FILE.name} and {what}")
    return messages
