"""Checks operators' files for syntax, types and consistency, and reports all problems at once."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from pydantic import ValidationError

from leadrudder.tool.checks import CHECKS, Finding, check_across_files
from leadrudder.tool.model import File
from leadrudder.tool.problems import Problem
from leadrudder.tool.source import SourceFile, UnreadableFileError, read_source
from leadrudder.tool.validation import field_name, type_problems


@dataclass
class CheckResult:
    """The outcome of a check; files holds those that passed type validation."""

    problems: list[Problem] = field(default_factory=list)
    unreadable: bool = False
    files: list[File] = field(default_factory=list)

    @property
    def exit_code(self) -> int:
        """0: no problems; 1: problems; 2: a file could not be read."""
        return 2 if self.unreadable else 1 if self.problems else 0


def check_files(names: Iterable[str]) -> CheckResult:
    """Check the files of one or several applications, each by itself and all together."""
    result = CheckResult()
    sources: list[SourceFile] = []
    for name in names:
        try:
            sources.append(read_source(name))
        except UnreadableFileError as error:
            result.unreadable = True
            line, column = error.position
            why = "Nothing in it can be checked."
            result.problems.append(
                Problem(name, line, column, "file", "unreadable", f"{error}.", why, "a TOML file in UTF-8")
            )
    check_sources(sources, result)
    return result


def check_sources(sources: list[SourceFile], result: CheckResult) -> None:
    """Validate and check files that are already parsed; the outcome is added to result."""
    valid_sources: list[SourceFile] = []
    for source in sources:
        try:
            file = File.model_validate(source.values)
        except ValidationError as error:
            result.problems += type_problems(source, error, File)
            continue
        valid_sources.append(source)
        result.files.append(file)
        result.problems += [
            _to_problem(source, finding) for check_file in CHECKS for finding in check_file(file)
        ]
    result.problems += [
        _to_problem(valid_sources[i], finding) for i, finding in check_across_files(result.files)
    ]
    result.problems.sort(key=lambda problem: (problem.file, problem.line, problem.column))


def _to_problem(source: SourceFile, finding: Finding) -> Problem:
    line, column = source.position(finding.path)
    return Problem(
        source.name,
        line,
        column,
        field_name(finding.path),
        finding.rule,
        finding.what,
        finding.why,
        finding.right,
    )
