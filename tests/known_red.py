"""Tests that are known to fail for a real fault: KNOWN-RED.txt at the root, read strictly.

Each line names a test, the cause and the issue, with " | " between them. A run passes over the failure of
just these tests. It fails if a listed test passes, is not there or was not run, if there are more lines than
allowed, or if a line cannot be read: so the list can only hold what is red, and what is red is always shown.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
LINES_MOST = 3
SEPARATOR = " | "


class KnownRedError(Exception):
    """The list itself is wrong."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that may fail.  test: as pytest names it, such as tests/mesh/test_x.py::Case::test_y."""

    test: str
    cause: str
    issue: str


def read(text: str) -> list[KnownRed]:
    """KnownRedError where the list breaks one of its rules."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > LINES_MOST:
        raise KnownRedError(f"{len(lines)} lines, where {LINES_MOST} are allowed")
    known = [_read_line(line) for line in lines]
    if len({each.test for each in known}) < len(known):
        raise KnownRedError("a test is listed twice")
    return known


def _read_line(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
        raise KnownRedError(f"not `test | cause | issue`: {line}")
    return KnownRed(*parts)


def load(path: Path = FILE) -> list[KnownRed]:
    """The list; empty where there is no file."""
    return read(path.read_text(encoding="utf-8")) if path.exists() else []


def complaints(known: Collection[KnownRed], passed: Collection[str], failed: Collection[str]) -> list[str]:
    """What is wrong with a whole run, by the names of its tests; empty if it may pass."""
    listed = {each.test for each in known}
    told = [f"{name} failed and is not listed" for name in sorted(set(failed) - listed)]
    for name in sorted(listed - set(failed)):
        what = "passed: take it off the list" if name in passed else "was not run"
        told.append(f"{name} is listed in {FILE.name} and {what}")
    return told
