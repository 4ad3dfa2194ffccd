"""Checks operators' files: reading, types, and what the system needs, all problems in one go."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from pydantic import BaseModel, ValidationError

from leadrudder.tool.checks import CHECKS, Finding, together
from leadrudder.tool.model import File
from leadrudder.tool.problems import Problem
from leadrudder.tool.source import Path, Source, Unreadable, read

# What pydantic calls a mistake, and what it means in service.
_WHY = {
    "missing": "There is no safe value for it.",
    "extra_forbidden": "What it was meant to set keeps its default, and nobody notices.",
}


@dataclass
class Checked:
    """What came of the files; files holds those that are good in themselves."""

    problems: list[Problem] = field(default_factory=list)
    unreadable: bool = False
    files: list[File] = field(default_factory=list)

    @property
    def exit_code(self) -> int:
        """0 clean, 1 problems, 2 a file that cannot be read."""
        return 2 if self.unreadable else 1 if self.problems else 0


def check(names: Iterable[str]) -> Checked:
    """Check files of one or many applications together."""
    done = Checked()
    sources: list[Source] = []
    for name in names:
        try:
            sources.append(read(name))
        except Unreadable as error:
            done.unreadable = True
            line, column = error.place
            why = "Nothing in it can be checked."
            done.problems.append(
                Problem(name, line, column, "file", "unreadable", f"{error}.", why, "a TOML file in UTF-8")
            )
    check_sources(sources, done)
    return done


def check_sources(sources: list[Source], done: Checked) -> None:
    """The same for what has been read."""
    kept: list[Source] = []
    for source in sources:
        try:
            file = File.model_validate(source.values)
        except ValidationError as error:
            done.problems += _type_problems(source, error)
            continue
        kept.append(source)
        done.files.append(file)
        done.problems += [_problem(source, finding) for one in CHECKS for finding in one(file)]
    done.problems += [_problem(kept[i], finding) for i, finding in together(done.files)]
    done.problems.sort(key=lambda problem: (problem.file, problem.line, problem.column))


def _problem(source: Source, finding: Finding) -> Problem:
    line, column = source.place(finding.path)
    return Problem(
        source.name,
        line,
        column,
        _field(finding.path),
        finding.rule,
        finding.what,
        finding.why,
        finding.right,
    )


def _field(path: Path) -> str:
    """A path as it is written down: route[2].repeat, counted from 1."""
    text = ""
    for part in path:
        text += f"[{part + 1}]" if isinstance(part, int) else f".{part}" if text else part
    return text or "file"


def _type_problems(source: Source, error: ValidationError) -> Iterable[Problem]:
    for item in error.errors(include_url=False):
        path: Path = tuple(item["loc"])
        kind = item["type"]
        what, right = item["msg"] + ".", "a value of that form"
        rule = "type"
        if kind == "missing":
            rule, what, right = "missing", "is required and not there.", "a value"
        elif kind == "extra_forbidden":
            rule, what = "unknown-key", "is no key that is known here."
            known = _known(path)
            near = difflib.get_close_matches(str(path[-1]), known, 1)
            right = f"{near[0]}?" if near else f"one of {', '.join(known)}"
        elif kind == "literal_error" and path == ("version",):
            rule, right = "version", "version = 1"
        line, column = source.place(path)
        why = _WHY.get(kind, "A node that started with it would not do what the file says.")
        yield Problem(source.name, line, column, _field(path), rule, what, why, right)


def _known(path: Path) -> list[str]:
    """The keys of the table in which a path ends."""
    model: Any = File
    for part in path[:-1]:
        if isinstance(part, int) or not (isinstance(model, type) and issubclass(model, BaseModel)):
            continue
        fields = {(info.alias or name): info.annotation for name, info in model.model_fields.items()}
        model = _section(fields.get(str(part)))
    if not (isinstance(model, type) and issubclass(model, BaseModel)):
        return []
    return [info.alias or name for name, info in model.model_fields.items()]


def _section(annotation: Any) -> Any:
    """The model that an annotation holds: itself, or what its tuple is of."""
    return next((a for a in getattr(annotation, "__args__", ()) if isinstance(a, type)), annotation)
