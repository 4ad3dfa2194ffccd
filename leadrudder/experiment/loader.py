"""Loads and validates experiment files. Reports all problems at once, each with place, reason and remedy."""

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

MAX_REQUESTS = 50_000_000  # per run; more would take days
STARTUP_S = 0.3
ATTEMPT_COST_S = 0.0002
_TYPE_PROBLEM_REASON = "A run with this value would not match what the file describes."


class NoSuchFileError(Exception):
    """The name is neither a file nor a shipped experiment."""


def shipped_experiments() -> dict[str, str]:
    """Return the texts of the shipped experiments, keyed by name."""
    folder = resources.files("leadrudder.experiment") / "shipped"
    return {
        item.name.removesuffix(".toml"): item.read_text("utf-8")
        for item in sorted(folder.iterdir(), key=lambda item: item.name)
        if item.name.endswith(".toml")
    }


def load(name: str) -> tuple[SourceFile, File | None, list[Problem]]:
    """Load a file, or the shipped experiment of that name; the File is None if there are problems."""
    try:
        if not Path(name).exists() and name in (texts := shipped_experiments()):
            source = parse_source(f"{name} (shipped)", texts[name])
        else:
            source = read_source(name)
    except UnreadableFileError as error:
        line, column = error.position
        why = "An unreadable file cannot be checked."
        problem = Problem(
            name,
            line,
            column,
            "file",
            "unreadable",
            f"{error}.",
            why,
            "a TOML file, or a name from: leadrudder experiment list",
        )
        return SourceFile(name, {}, {}), None, [problem]
    try:
        source = _with_base(source, Path(name).parent, [])
    except _BaseFileError as error:
        line, column = source.position(("base",))
        why = "Fields that the file leaves out have no source."
        right = f"an existing file, or one of {', '.join(shipped_experiments())}"
        problem = Problem(source.name, line, column, "base", "base", f"{error}.", why, right)
        return source, None, [problem]
    try:
        file = File.model_validate(source.values)
    except ValidationError as error:
        return source, None, list(type_problems(source, error, File, _TYPE_PROBLEM_REASON))
    problems = [_problem_of(source, finding) for finding in _semantic_findings(file)]
    if not problems:
        problems = [_problem_of(source, finding) for finding in _grid_findings(source, file)]
    problems.sort(key=lambda problem: (problem.line, problem.column))
    return source, None if problems else file, problems


class _BaseFileError(Exception):
    """The file named by `base` is missing, unreadable or circular."""


def _with_base(source: SourceFile, folder: Path, ancestors: list[str]) -> SourceFile:
    """Overlay the file on its base, recursively: tables are merged, all other values are replaced."""
    name = source.values.get("base", "")
    if not name or not isinstance(name, str):
        return source
    if name in ancestors:
        raise _BaseFileError(f"{name!r} includes itself as a base")
    path, texts = folder / name, shipped_experiments()
    try:
        base = read_source(str(path)) if path.exists() else parse_source(name, texts[name])
    except KeyError:
        raise _BaseFileError(f"{name!r} is neither a file nor a shipped experiment") from None
    except UnreadableFileError as error:
        raise _BaseFileError(f"{name!r} {error}") from None
    base = _with_base(base, path.parent, [*ancestors, name])
    return SourceFile(source.name, _merge_tables(base.values, source.values), source.positions)


def _merge_tables(base: dict[str, Any], own: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for name, value in own.items():
        base_value = merged.get(name)
        if isinstance(value, dict) and isinstance(base_value, dict):
            value = _merge_tables(base_value, value)
        merged[name] = value
    return merged


def _problem_of(source: SourceFile, finding: Finding) -> Problem:
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
                "No answer would count as late.",
                "an aim no longer than the deadline",
            )
    tiers = {tier.name for tier in file.fleet.tier}
    for i, trouble in enumerate(file.trouble):
        if trouble.tier is not None and trouble.tier not in tiers:
            yield Finding(
                ("trouble", i, "tier"),
                "unknown-tier",
                f"tier {trouble.tier!r} is not defined.",
                "The trouble would affect no server.",
                f"one of {', '.join(sorted(tiers))}",
            )
    for i, side in enumerate(file.side):
        if side.model == "whole" and side.policy != "leadrudder":
            yield Finding(
                ("side", i, "policy"),
                "whole-baseline",
                f'model = "whole" runs complete nodes with their own policy module, not {side.policy!r}.',
                "The baseline policies exist only in the policy model.",
                'model = "policy"',
            )
        if side.ref and side.policy.startswith("limit-"):
            yield Finding(
                ("side", i, "ref"),
                "limit-ref",
                "a limit- policy cannot be combined with another revision.",
                "The policy module of another revision may have no limit that can be replaced.",
                "remove ref",
            )
    if file.fleet.tier[0].servers is None:
        yield Finding(
            ("fleet", "tier", 0, "servers"),
            "missing",
            "is required for the first tier.",
            "servers_each is relative to the preceding tier, and there is none.",
            "servers = 10",
        )
    if file.warm_up_s >= file.length_s:
        yield Finding(
            ("warm_up_s",),
            "no-time-left",
            f"{file.warm_up_s:g} s of {file.length_s:g} s are warm-up.",
            "No figures would be recorded.",
            "a warm-up shorter than the run",
        )


def _range_findings(section: BaseModel, path: Field) -> Iterator[Finding]:
    """Yield a finding for each pair [low, high] with low above high."""
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
                f"[{value[0]:g}, {value[1]:g}] has a lower bound above its upper bound.",
                "Each seed samples a value between the two bounds.",
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
                    f"{name!r} is already in use.",
                    "Results are identified by these names.",
                    "a unique name",
                )


def _load_findings(file: File) -> Iterator[Finding]:
    load, no_requests = file.load, "The run would have no requests."
    one_rate_given = (load.of_capacity is None) != (load.per_s is None)
    checks: list[tuple[bool, tuple[str | int, ...], str, str, str]] = [
        (
            load.form == "open" and not one_rate_given,
            ("load",),
            "an open load takes exactly one of of_capacity and per_s.",
            "There is no safe default.",
            "of_capacity = 0.6",
        ),
        (
            load.form == "closed" and not load.callers,
            ("load", "callers"),
            "a closed load needs callers.",
            no_requests,
            "callers = 32",
        ),
        (
            load.form == "trace" and not load.trace,
            ("load", "trace"),
            "a trace load needs the path of its trace.",
            no_requests,
            'trace = "day.csv"',
        ),
        (
            not sum(c.part for c in file.request_class),
            ("class",),
            "all parts are 0.",
            no_requests,
            "part = 1.0",
        ),
        (
            bool(file.tenant) and not sum(t.share for t in file.tenant),
            ("tenant",),
            "all shares are 0.",
            "No tenant would send requests.",
            "share = 1.0",
        ),
    ]
    for is_wrong, place, text, why, remedy in checks:
        if is_wrong:
            yield Finding(place, "load", text, why, remedy)
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
    """Check the expanded experiment: the number and size of its runs, and the fields that it changes."""
    count = count_combinations(file)
    runs = (file.runs.sample or count) * len(file.side) * file.runs.seeds
    if runs > file.runs.most_runs:
        shape = fleet_shape_of(sample_ranges(file, "1"))
        seconds = runs * estimate_s(file, shape.capacity_per_s)
        yield Finding(
            ("vary",),
            "too-many-runs",
            f"{count} combinations, {len(file.side)} sides and {file.runs.seeds} seeds are {runs} runs:"
            f" about {seconds / 3600.0:,.1f} hours on one core.",
            f"runs.most_runs allows {file.runs.most_runs}.",
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
                    "The sweep would have no effect.",
                    "the path of an existing field",
                )
                return
    for i, side in enumerate(file.side):
        try:
            apply_changes(source.values, side.change)
        except FieldError as error:
            yield Finding(
                ("side", i, "change"),
                "field",
                f"{error}.",
                "The change would have no effect.",
                "the path of an existing field",
            )
            return
    for case in expand_cases(source.values, file)[:: len(file.side) * file.runs.seeds]:
        shape = fleet_shape_of(sample_ranges(case.file, f"{case.seed}"))
        if not math.isfinite(shape.capacity_per_s):
            yield Finding(
                ("fleet",),
                "load",
                "the fleet's capacity is not finite.",
                "No load can be derived from it.",
                "more work per request",
            )
            return
        requests = _estimate_requests(case.file, shape.capacity_per_s)
        if requests > MAX_REQUESTS:
            yield Finding(
                ("load",),
                "too-much",
                f"{requests:.3g} requests in one run; the maximum is {MAX_REQUESTS:.0e}.",
                f"They would take about {estimate_s(case.file, shape.capacity_per_s) / 3600.0:,.0f} hours.",
                "a lower load, a shorter run or a smaller fleet",
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
    """Estimate the CPU time of a run on one core: a fixed start-up cost plus a cost per attempt."""
    calls = 1.0
    attempts = 0.0
    for i, tier in enumerate(file.fleet.tier):
        value = tier.calls if i else 1.0
        calls *= sum(value) / 2.0 if isinstance(value, list) else value
        attempts += calls
    return STARTUP_S + ATTEMPT_COST_S * attempts * _estimate_requests(file, capacity_per_s)
