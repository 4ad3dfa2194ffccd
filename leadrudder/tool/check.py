"""Checks operators' files: reading, types, and what the system needs, all problems in one go."""

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
    """What came of the files; files holds those that are good in themselves."""

    problems: list[Problem] = field(default_factory=list)
    unreadable: bool = False
    files: list[File] = field(default_factory=list)

    @property
    def exit_code(self) -> int:
        """0 clean, 1 problems, 2 a file that cannot be read."""
        return 2 if self.unreadable else 1 if self.problems else 0


def check_files(names: Iterable[str]) -> CheckResult:
    """Check files of one or many applications together."""
    done = CheckResult()
    sources: list[SourceFile] = []
    for name in names:
        try:
            sources.append(read_source(name))
        except UnreadableFileError as error:
            done.unreadable = True
            line, column = error.position
            why = "Nothing in it can be checked."
            done.problems.append(
                Problem(name, line, column, "file", "unreadable", f"{error}.", why, "a TOML file in UTF-8")
            )
    check_sources(sources, done)
    return done


def check_sources(sources: list[SourceFile], done: CheckResult) -> None:
    """The same for what has been read."""
    kept: list[SourceFile] = []
    for source in sources:
        try:
            file = File.model_validate(source.values)
        except ValidationError as error:
            done.problems += type_problems(source, error, File)
            continue
        kept.append(source)
        done.files.append(file)
        done.problems += [_problem(source, finding) for one in CHECKS for finding in one(file)]
    done.problems += [_problem(kept[i], finding) for i, finding in check_across_files(done.files)]
    done.problems.sort(key=lambda problem: (problem.file, problem.line, problem.column))


def _problem(source: SourceFile, finding: Finding) -> Problem:
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
