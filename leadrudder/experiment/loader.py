"""Reads and checks experiment files: all problems in one go, each with a place, a cause and a cure."""

from __future__ import annotations

import math
from collections.abc import Iterator
from importlib import resources
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ValidationError

from leadrudder.experiment.draw import fleet_shape_of, is_range, sample_ranges
from leadrudder.experiment.plan import FieldError, apply_changes, count_combinations, expand_cases
from leadrudder.experiment.spec import File
from leadrudder.tool.checks import Finding
from leadrudder.tool.problems import Problem
from leadrudder.tool.source import FieldPath as Field
from leadrudder.tool.source import SourceFile, UnreadableFileError, parse_source, read_source
from leadrudder.tool.validation import field_name, type_problems

MAX_REQUESTS = 50_000_000  # of one run: days of waiting
_TYPE_PROBLEM_REASON = "A run with it would not be the experiment that the file says."


class NoSuchFileError(Exception):
    """Neither a file nor one of the shipped experiments."""


def shipped_experiments() -> dict[str, str]:
    """The shipped experiments: their texts by name."""
    folder = resources.files("leadrudder.experiment") / "shipped"
    return {
        item.name.removesuffix(".toml"): item.read_text("utf-8")
        for item in sorted(folder.iterdir(), key=lambda item: item.name)
        if item.name.endswith(".toml")
    }


def load(name: str) -> tuple[SourceFile, File | None, list[Problem]]:
    """A file, or a shipped experiment of that name; no File where there are problems."""
    try:
        if not Path(name).exists() and name in (texts := shipped_experiments()):
            source = parse_source(f"{name} (shipped)", texts[name])
        else:
            source = read_source(name)
    except UnreadableFileError as error:
        line, column = error.position
        why = "Nothing in it can be checked."
        problem = Problem(
            name, line, column, "file", "unreadable", f"{error}.", why, "a TOML file, or: experiment list"
        )
        return SourceFile(name, {}, {}), None, [problem]
    try:
        source = _with_base(source, Path(name).parent, [])
    except _BaseFileError as error:
        line, column = source.position(("base",))
        why = "What it leaves unsaid is nowhere said."
        right = f"a file, or one of {', '.join(shipped_experiments())}"
        problem = Problem(source.name, line, column, "base", "base", f"{error}.", why, right)
        return source, None, [problem]
    try:
        file = File.model_validate(source.values)
    except ValidationError as error:
        return source, None, list(type_problems(source, error, File, _TYPE_PROBLEM_REASON))
    problems = [_problem(source, finding) for finding in _semantic_findings(file)]
    if not problems:
        problems = [_problem(source, finding) for finding in _grid_findings(source, file)]
    problems.sort(key=lambda problem: (problem.line, problem.column))
    return source, None if problems else file, problems


class _BaseFileError(Exception):
    """A base that cannot be had."""


def _with_base(source: SourceFile, folder: Path, above: list[str]) -> SourceFile:
    """The file with what its base says of the rest; tables are merged, everything else is replaced."""
    name = source.values.get("base", "")
    if not name or not isinstance(name, str):
        return source
    if name in above:
        raise _BaseFileError(f"{name!r} is its own base")
    path, texts = folder / name, shipped_experiments()
    try:
        base = read_source(str(path)) if path.exists() else parse_source(name, texts[name])
    except KeyError:
        raise _BaseFileError(f"there is no {name!r}") from None
    except UnreadableFileError as error:
        raise _BaseFileError(f"{name!r} {error}") from None
    base = _with_base(base, path.parent, [*above, name])
    return SourceFile(source.name, _merge_tables(base.values, source.values), source.positions)


def _merge_tables(base: dict[str, Any], own: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for name, value in own.items():
        below = merged.get(name)
        if isinstance(value, dict) and isinstance(below, dict):
            value = _merge_tables(below, value)
        merged[name] = value
    return merged


def _problem(source: SourceFile, finding: Finding) -> Problem:
    line, column = source.position(finding.path)
    field = field_name(finding.path)
    return Problem(source.name, line, column, field, finding.rule, finding.what, finding.why, finding.right)


def _semantic_findings(file: File) -> Iterator[Finding]:
    yield from _range_findings(file, ())
    yield from _duplicate_name_findings(file)
    yield from _load_findings(file)
    for i, kind in enumerate(file.request_class):
        if kind.aim_ms > kind.deadline_ms:
            yield Finding(
                ("class", i, "aim_ms"),
                "aim-after-deadline",
                f"{kind.aim_ms:g} is longer than the deadline of {kind.deadline_ms:g}.",
                "No answer would ever be late.",
                "an aim within the deadline",
            )
    tiers = {tier.name for tier in file.fleet.tier}
    for i, trouble in enumerate(file.trouble):
        if trouble.tier is not None and trouble.tier not in tiers:
            yield Finding(
                ("trouble", i, "tier"),
                "unknown-tier",
                f"there is no tier {trouble.tier!r}.",
                "The trouble would strike nobody.",
                f"one of {', '.join(sorted(tiers))}",
            )
    for i, side in enumerate(file.side):
        if side.model == "whole" and side.policy != "leadrudder":
            yield Finding(
                ("side", i, "policy"),
                "whole-baseline",
                f"whole nodes decide by their own module, not by {side.policy!r}.",
                "The baselines have no node around them.",
                'model = "policy"',
            )
        if side.ref and side.policy.startswith("limit-"):
            yield Finding(
                ("side", i, "ref"),
                "limit-ref",
                "another revision's decisions take no limit from here.",
                "Older ones have none that can be put in place of their own.",
                "leave out ref",
            )
    if file.fleet.tier[0].servers is None:
        yield Finding(
            ("fleet", "tier", 0, "servers"),
            "missing",
            "is required of the first tier.",
            "There is no tier before it to count by.",
            "servers = 10",
        )
    if file.warm_up_s >= file.length_s:
        yield Finding(
            ("warm_up_s",),
            "no-time-left",
            f"{file.warm_up_s:g} s of {file.length_s:g} s are warm-up.",
            "Nothing would be counted.",
            "a warm-up shorter than the run",
        )


def _range_findings(section: BaseModel, path: Field) -> Iterator[Finding]:
    """Pairs [low, high] whose low is above their high."""
    for name, info in type(section).model_fields.items():
        value = getattr(section, name)
        here: Field = (*path, info.alias or name)
        if isinstance(value, BaseModel):
            yield from _range_findings(value, here)
        elif isinstance(value, list) and value and isinstance(value[0], BaseModel):
            for i, item in enumerate(value):
                yield from _range_findings(item, (*here, i))
        elif is_range(value) and name != "values" and value[0] > value[1]:
            yield Finding(
                here,
                "range",
                f"[{value[0]:g}, {value[1]:g}] has its low above its high.",
                "A seed draws from the one up to the other.",
                f"[{value[1]:g}, {value[0]:g}]",
            )


def _duplicate_name_findings(file: File) -> Iterator[Finding]:
    named: list[tuple[Field, list[str]]] = [
        (("fleet", "tier"), [t.name for t in file.fleet.tier]),
        (("class",), [c.name for c in file.request_class]),
        (("tenant",), [t.name for t in file.tenant]),
        (("side",), [s.name for s in file.side]),
    ]
    for path, names in named:
        for i, name in enumerate(names):
            if name in names[:i]:
                yield Finding(
                    (*path, i, "name"),
                    "name-twice",
                    f"{name!r} is there already.",
                    "Results are told apart by their names.",
                    "a name of its own",
                )


def _load_findings(file: File) -> Iterator[Finding]:
    load, nothing = file.load, "Nothing would be asked."
    told_once = (load.of_capacity is None) != (load.per_s is None)
    found: list[tuple[bool, tuple[str | int, ...], str, str, str]] = [
        (
            load.form == "open" and not told_once,
            ("load",),
            "an open load is told once: of_capacity or per_s.",
            "There is no safe value for it.",
            "of_capacity = 0.6",
        ),
        (
            load.form == "closed" and not load.callers,
            ("load", "callers"),
            "a closed loop has no callers.",
            nothing,
            "callers = 32",
        ),
        (
            load.form == "trace" and not load.trace,
            ("load", "trace"),
            "no trace is named.",
            nothing,
            'trace = "day.csv"',
        ),
        (not sum(c.part for c in file.request_class), ("class",), "all parts are 0.", nothing, "part = 1.0"),
        (
            bool(file.tenant) and not sum(t.share for t in file.tenant),
            ("tenant",),
            "all shares are 0.",
            "Nobody would ask.",
            "share = 1.0",
        ),
    ]
    for wrong, place, text, why, cure in found:
        if wrong:
            yield Finding(place, "load", text, why, cure)
    for i, tier in enumerate(file.fleet.tier):
        if not sum(k.part for k in tier.kind):
            yield Finding(
                ("fleet", "tier", i, "kind"),
                "load",
                "all parts are 0.",
                "The tier would have no servers.",
                "part = 1.0",
            )


def _grid_findings(source: SourceFile, file: File) -> Iterator[Finding]:
    """What is wrong with the experiment as a whole: its size, and the fields that it varies."""
    count = count_combinations(file)
    runs = (file.runs.sample or count) * len(file.side) * file.runs.seeds
    if runs > file.runs.most_runs:
        shape = fleet_shape_of(sample_ranges(file, "1"))
        seconds = runs * estimate_s(file, shape.capacity_per_s)
        yield Finding(
            ("vary",),
            "too-many-runs",
            f"{count} combinations, {len(file.side)} sides and {file.runs.seeds} seeds are {runs} runs:"
            f" some {seconds / 3600.0:,.1f} hours on one core.",
            f"runs.most_runs is {file.runs.most_runs}.",
            "fewer values, runs.sample = 100, or a larger runs.most_runs",
        )
        return
    for i, vary in enumerate(file.vary):
        for j, value in enumerate(vary.values):
            try:
                apply_changes(source.values, {vary.field: value})
            except FieldError as error:
                yield Finding(
                    ("vary", i, "values", j),
                    "field",
                    f"{error}.",
                    "It varies nothing.",
                    "a field of this file",
                )
                return
    for i, side in enumerate(file.side):
        try:
            apply_changes(source.values, side.change)
        except FieldError as error:
            yield Finding(("side", i, "change"), "field", f"{error}.", "It changes nothing.", "a field of it")
            return
    for case in expand_cases(source.values, file)[:: len(file.side) * file.runs.seeds]:
        shape = fleet_shape_of(sample_ranges(case.file, f"{case.seed}"))
        if not math.isfinite(shape.capacity_per_s):
            yield Finding(("fleet",), "load", "its capacity is not finite.", "No load follows.", "more work")
            return
        requests = _estimate_requests(case.file, shape.capacity_per_s)
        if requests > MAX_REQUESTS:
            yield Finding(
                ("load",),
                "too-much",
                f"{requests:.3g} requests in a run; at most {MAX_REQUESTS:.0e} are played.",
                f"That is some {estimate_s(case.file, shape.capacity_per_s) / 3600.0:,.0f} hours.",
                "a smaller load, a shorter run or a smaller fleet",
            )
            return


def _estimate_requests(file: File, capacity_per_s: float) -> float:
    load = file.load
    if load.form == "closed":
        shortest = min(float(c.aim_ms) for c in file.request_class)
        return load.callers * 1000.0 * file.length_s / max(load.think_ms, 0.01 * shortest, 1.0)
    value = load.of_capacity
    part = (max(value) if isinstance(value, list) else value) or 0.0
    return file.length_s * (load.per_s if load.per_s is not None else part * capacity_per_s)


def estimate_s(file: File, capacity_per_s: float) -> float:
    """About how long a run takes on one core, by what attempts took where this was measured."""
    calls = 1.0
    attempts = 0.0
    for i, tier in enumerate(file.fleet.tier):
        value = tier.calls if i else 1.0
        calls *= sum(value) / 2.0 if isinstance(value, list) else value
        attempts += calls
    return 0.3 + 0.0002 * attempts * _estimate_requests(file, capacity_per_s)
