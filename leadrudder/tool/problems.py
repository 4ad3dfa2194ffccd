"""Problems in an operator's file: position, description, consequence and correction."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem. line and column count from 1; rule is a stable identifier for scripts."""

    file: str
    line: int
    column: int
    field: str
    rule: str
    what: str
    why: str
    right: str

    def text(self) -> str:
        head = f"{self.file}:{self.line}:{self.column}: {self.field}: {self.what} [{self.rule}]"
        return f"{head}\n    why: {self.why}\n    right: {self.right}"

    def github(self) -> str:
        """An annotation as a GitHub Actions workflow command."""
        message = f"{self.field}: {self.what} {self.why} Right: {self.right}"
        place = f"file={_property(self.file)},line={self.line},col={self.column},title={_property(self.rule)}"
        return f"::error {place}::{_escape(message)}"


def _escape(text: str) -> str:
    return text.replace("%", "%25").replace("\r", "%0D").replace("\n", "%0A")


def _property(text: str) -> str:
    return _escape(text).replace(":", "%3A").replace(",", "%2C")


def format_problems(problems: Iterable[Problem], form: str) -> str:
    """All problems in one of the formats text, json and github."""
    if form == "json":
        return json.dumps([asdict(problem) for problem in problems], indent=2, ensure_ascii=False)
    return "\n".join(problem.github() if form == "github" else problem.text() for problem in problems)
