"""The `leadrudder experiment` commands: check, run, compare, list, replay and report experiments."""

from __future__ import annotations

import dataclasses
import functools
import json
import os
import re
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click

from leadrudder.experiment import loader, paired
from leadrudder.experiment.comparison import Comparison, UnknownFigureError, variant_label
from leadrudder.experiment.paired import Verdict
from leadrudder.experiment.plan import Case, FieldError, apply_changes
from leadrudder.experiment.pool import Job, Pool
from leadrudder.experiment.revisions import RevisionError, fetch_revision, tool_for, working_tree_policy
from leadrudder.experiment.runner import Experiment, Progress, run_missing
from leadrudder.experiment.spec import File, Side
from leadrudder.experiment.store import Row, Store, StoreError
from leadrudder.tool.problems import format_problems

EXIT_FINDINGS, EXIT_UNUSABLE = 1, 2
PROGRESS_INTERVAL_S = 1.0
MAX_BAD_RUNS_SHOWN = 10
TABLE_FIGURES = (
    "service",
    "worst_10s",
    "worst_class",
    "worst_tenant",
    "tipped",
    "jam_s",
    "wasted",
    "tries_a_request",
)


class _Duration(click.ParamType[float]):
    """Parses a duration such as 30s, 5m or 2h into seconds."""

    name = "TIME"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> float:
        match = re.fullmatch(r"(\d+(?:\.\d+)?)(s|m|h)", str(value))
        if not match or not float(match[1]):
            self.fail(f"{value!r} is not a duration such as 30s, 5m or 2h", param, ctx)
        return float(match[1]) * {"s": 1.0, "m": 60.0, "h": 3600.0}[match[2]]


def _results_option(function: Callable[..., Any]) -> Callable[..., Any]:
    option: Callable[[Callable[..., Any]], Callable[..., Any]] = click.option(
        "--results",
        type=click.Path(path_type=Path, dir_okay=False),
        default=Path("experiments.sqlite"),
        show_default=True,
        help="The results file.",
    )
    return option(function)


@dataclasses.dataclass(frozen=True)
class RunOptions:
    """Options of the commands that execute runs. budget is in seconds; sets are changes to the file."""

    jobs: int
    budget: float | None
    sets: tuple[str, ...]
    model: str | None
    quiet: bool


def _run_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options of commands that execute runs; the command receives them as one argument, options."""

    @functools.wraps(function)
    def wrapper(**arguments: Any) -> Any:
        values = {field.name: arguments.pop(field.name) for field in dataclasses.fields(RunOptions)}
        return function(**arguments, options=RunOptions(**values))

    command: Callable[..., Any] = wrapper
    for option in (
        click.option(
            "--jobs",
            type=click.IntRange(1, 256),
            default=os.cpu_count() or 1,
            help="Number of worker processes.",
        ),
        click.option("--budget", type=_Duration(), help="Stop after this time; a later call continues."),
        click.option(
            "--set", "sets", multiple=True, metavar="FIELD=VALUE", help="Override a field of the file."
        ),
        click.option(
            "--model", type=click.Choice(["policy", "whole"]), help="Model of all sides, overriding the file."
        ),
        click.option("--quiet", is_flag=True, help="Do not report progress."),
    ):
        command = option(command)
    return command


def _load_experiment(name: str, sets: tuple[str, ...], model: str | None = None) -> Experiment:
    """Load and validate a file and apply the overrides; all problems are printed before ClickException."""
    source, file, problems = loader.load(name)
    if file is None:
        print(format_problems(problems, "text"), file=sys.stderr)
        raise click.ClickException(f"{name} is not valid: {len(problems)} problems")
    values = dict(source.values)
    if sets:
        try:
            file = apply_changes(values, dict(_parse_assignment(text) for text in sets))
        except FieldError as error:
            raise click.ClickException(f"--set: {error}") from None
        values = file.model_dump(mode="json", by_alias=True, exclude_unset=True)
    if model is not None:
        sides = [{**side.model_dump(exclude_unset=True), "model": model} for side in file.side]
        values = {**values, "side": sides}
        file = apply_changes(values, {})
    folder = Path(name).parent if Path(name).exists() else Path()
    return Experiment(values, file, folder.resolve(), _revision_cache())


def _revision_cache() -> Path:
    """Return the folder in which other revisions' policies are cached, unpacked and compiled."""
    cache = Path(tempfile.gettempdir()) / f"leadrudder-revisions-{os.getuid()}"
    cache.mkdir(mode=0o700, exist_ok=True)
    return cache


def _parse_assignment(text: str) -> tuple[str, Any]:
    field, equals, value = text.partition("=")
    if not equals:
        raise click.ClickException(f"--set: {text!r} is not of the form FIELD=VALUE")
    try:
        return field, json.loads(value)
    except ValueError:
        return field, value


@contextmanager
def _open_store(path: Path) -> Iterator[Store]:
    try:
        store = Store(path)
    except StoreError as error:
        raise click.ClickException(str(error)) from None
    try:
        yield store
    except StoreError as error:
        raise click.ClickException(str(error)) from None
    finally:
        store.close()


@contextmanager
def _stop_on_sigterm(pool: Pool) -> Iterator[None]:
    """Treat SIGTERM like an interrupt: runs in progress are killed, completed runs stay stored."""

    def stop(*_: object) -> None:
        pool.stop()
        raise KeyboardInterrupt

    previous = signal.signal(signal.SIGTERM, stop)
    try:
        yield
    finally:
        pool.stop()
        signal.signal(signal.SIGTERM, previous)


def _progress_printer(quiet: bool) -> Callable[[Progress], None]:
    last = 0.0

    def on_progress(progress: Progress) -> None:
        nonlocal last
        if quiet or time.monotonic() - last < PROGRESS_INTERVAL_S:
            return
        last = time.monotonic()
        left = progress.remaining_s()
        remaining = "" if left is None else f", {left:.0f} s left"
        problem_counts = "".join(
            f", {count} {what}"
            for count, what in ((progress.failed, "failed"), (progress.violating, "broke a rule"))
            if count
        )
        done = progress.already_stored + progress.completed
        print(f"{done} of {progress.total} runs{problem_counts}{remaining}", file=sys.stderr)

    return on_progress


@click.group()
def experiment() -> None:
    """Try a fleet, a load or a policy in virtual time before it is rolled out."""


@experiment.command()
@click.argument("files", nargs=-1, required=True)
@click.option("--format", "form", type=click.Choice(["text", "json", "github"]), default="text")
def check(files: tuple[str, ...], form: str) -> int:
    """Check experiment FILES and report all problems at once. Exit code 0: valid, 1: there are problems."""
    problems = [problem for name in files for problem in loader.load(name)[2]]
    if problems or form == "json":
        print(format_problems(problems, form))
    if form == "text" and not problems:
        print(f"{len(files)} {'file' if len(files) == 1 else 'files'}: no problems")
    return EXIT_FINDINGS if problems else 0


@experiment.command()
def schema() -> int:
    """Print the JSON Schema of experiment files."""
    print(json.dumps(File.model_json_schema(), indent=2))
    return 0


@experiment.command("list")
@_results_option
def list_(results: Path) -> int:
    """List the shipped experiments, and the runs in the results file."""
    for name, text in loader.shipped_experiments().items():
        print(f"{name:20} {next((line[2:] for line in text.splitlines() if line.startswith('# ')), '')}")
    if not results.exists():
        return 0
    with _open_store(results) as store:
        counts: dict[tuple[str, str], list[Row]] = {}
        for row in store.all():
            counts.setdefault((row.experiment, row.side), []).append(row)
    for (name, side), rows in counts.items():
        states = {state: sum(row.state == state for row in rows) for state in ("done", "broken", "failed")}
        print(f"{name} {side}: " + ", ".join(f"{count} {state}" for state, count in states.items() if count))
    return 0


@experiment.command()
@click.argument("name")
def show(name: str) -> int:
    """Print a shipped experiment, as a template for a new file."""
    texts = loader.shipped_experiments()
    if name not in texts:
        raise click.ClickException(f"there is no shipped experiment {name!r}; available: {', '.join(texts)}")
    print(texts[name], end="")
    return 0


@experiment.command("run")
@click.argument("file")
@_results_option
@_run_options
def run_(file: str, results: Path, options: RunOptions) -> int:
    """Execute the missing runs of FILE (a path, or the name of a shipped experiment).

    Each result is stored at once, so a call after an interruption continues. Exit code 0: all are stored.
    1: a run failed or broke a rule, or the time budget was spent first.
    """
    loaded = _load_experiment(file, options.sets, options.model)
    pool = Pool(options.jobs)
    with _open_store(results) as store, _stop_on_sigterm(pool):
        wanted = _jobs_of(loaded)
        progress = run_missing(
            store, loaded, wanted, pool, budget_s=options.budget, on_progress=_progress_printer(options.quiet)
        )
        rows = _rows_of(store, wanted)
    _print_table(rows)
    bad_runs = [row for row in rows if row.state != "done"]
    for row in bad_runs[:MAX_BAD_RUNS_SHOWN]:
        what = row.note or ", ".join(f"{rule} {times}" for rule, times in row.broken.items())
        print(f"{row.state}: {row.side} seed {row.seed} {row.variant or ''}: {what}")
        print(f"  replay: leadrudder experiment replay {row.key[:12]} --results {results}")
    if len(bad_runs) > MAX_BAD_RUNS_SHOWN:
        print(f"and {len(bad_runs) - MAX_BAD_RUNS_SHOWN} more that failed or broke a rule")
    print(
        f"runs={len(rows)} of={progress.total} made_now={progress.completed} failed={progress.failed}"
        f" broken={sum(row.state == 'broken' for row in rows)}"
    )
    return EXIT_FINDINGS if bad_runs or len(rows) < progress.total else 0


def _print_table(rows: list[Row]) -> None:
    """Print means with the half widths of their intervals, by variant and side."""
    groups: dict[tuple[str, str], list[Row]] = {}
    for row in rows:
        if row.state != "failed":
            groups.setdefault((variant_label(row.variant), row.side), []).append(row)
    if not groups:
        return
    variants = max(len(variant) for variant, _ in groups)
    sides = max(len(side) for _, side in groups)
    print(f"{'':{variants}} {'':{sides}} seeds " + " ".join(f"{name:>15}" for name in TABLE_FIGURES))
    for (variant, side), group in groups.items():
        cells = []
        for name in TABLE_FIGURES:
            mean, low, _ = paired.confidence_interval([row.figures[name] for row in group])
            half_width = mean - low
            cells.append(f"{mean:8.3f} ±{half_width:5.3f}" if half_width < 1e3 else f"{mean:8.3f}       ")
        print(f"{variant:{variants}} {side:{sides}} {len(group):5} " + " ".join(f"{c:>15}" for c in cells))


@experiment.command()
@click.argument("file")
@click.option("--before", metavar="SIDE", help="A side of the file; default: its first.")
@click.option("--after", metavar="SIDE", help="Another side; default: its second.")
@click.option("--ref", help="A git revision to compare the file's first side with.")
@click.option("--figure", default="service", show_default=True, help="The figure to compare.")
@click.option(
    "--difference",
    type=click.FloatRange(1e-9),
    default=0.01,
    show_default=True,
    help="The smallest difference that matters.",
)
@_results_option
@_run_options
def compare(
    file: str,
    before: str | None,
    after: str | None,
    ref: str | None,
    figure: str,
    difference: float,
    results: Path,
    options: RunOptions,
) -> int:
    """Compare two sides of FILE, paired over as many seeds as a verdict needs (at most runs.seeds).

    Exit code 0: there is a verdict. 1: cannot tell, or a run is missing.
    """
    loaded = _load_experiment(file, options.sets, options.model)
    if ref is not None:
        only = loaded.file.side[0]
        sides = [
            {**only.model_dump(exclude_unset=True), "name": "before", "ref": ref},
            {**only.model_dump(exclude_unset=True), "name": "after"},
        ]
        values = {**loaded.values, "side": sides}
        loaded = dataclasses.replace(loaded, values=values, file=apply_changes(values, {}))
    names = [side.name for side in loaded.file.side]
    first, second = before or names[0], after or names[min(1, len(names) - 1)]
    for name in (first, second):
        if name not in names:
            raise click.ClickException(f"the file has no side {name!r}; it has {', '.join(names)}")
    if first == second:
        raise click.ClickException("it takes two sides to compare: --before, --after, or --ref")
    stop_at = None if options.budget is None else time.monotonic() + options.budget
    comparison = Comparison(first, second, figure, difference, loaded.file.runs.seeds)
    seed = loaded.file.runs.first_seed
    with _open_store(results) as store:
        for look, count in enumerate(comparison.look_schedule):
            pool = Pool(options.jobs)
            with _stop_on_sigterm(pool):
                wanted = comparison.undecided_jobs(_jobs_of(loaded, range(seed, seed + count)))
                remaining = None if stop_at is None else max(0.0, stop_at - time.monotonic())
                run_missing(
                    store,
                    loaded,
                    wanted,
                    pool,
                    budget_s=remaining,
                    on_progress=_progress_printer(options.quiet),
                )
            rows = {row.key: row for row in store.rows([job.key for job in wanted])}
            try:
                decided = comparison.evaluate_look(look, wanted, rows)
            except UnknownFigureError as error:
                raise click.ClickException(str(error)) from None
            if decided or (stop_at is not None and time.monotonic() >= stop_at):
                break
    if not comparison.results:
        raise click.ClickException("there is no complete pair of runs: none finished in time, or all failed")
    print("\n".join(comparison.describe()))
    return (
        EXIT_FINDINGS
        if any(result.verdict is Verdict.CANNOT_TELL for result in comparison.results.values())
        else 0
    )


def _rows_of(store: Store, jobs: list[Job]) -> list[Row]:
    """Return the stored runs of these jobs, with this experiment's names of sides and variants.

    A run is stored once, under the names of the experiment that executed it first, which may differ.
    """
    cases = {job.key: job.case for job in jobs}
    found = {row.key: row for row in store.rows(list(cases))}
    return [
        dataclasses.replace(found[job.key], side=job.case.side.name, variant=dict(job.case.variant))
        for job in jobs
        if job.key in found
    ]


def _jobs_of(loaded: Experiment, seeds: range | None = None) -> list[Job]:
    try:
        return loaded.jobs(seeds)
    except (RevisionError, FieldError) as error:
        raise click.ClickException(str(error)) from None


@experiment.command()
@click.argument("key")
@_results_option
def replay(key: str, results: Path) -> int:
    """Repeat the run whose key begins with KEY, with the policy that it ran with, and print its figures.

    Exit code 0: the result is the same. 1: it differs, for instance because the program has changed since.
    """
    with _open_store(results) as store:
        row = store.find(key)
    try:
        revision = fetch_revision(row.ref, _revision_cache()) if row.ref else working_tree_policy()
        tool = tool_for(revision, row.model, lambda ref: fetch_revision(ref, _revision_cache()))
    except RevisionError as error:
        raise click.ClickException(str(error)) from None
    side = Side.model_validate({"name": row.side, "policy": row.policy, "model": row.model, "ref": row.ref})
    case = Case(File.model_validate(row.file), side, row.seed, row.variant)
    pool = Pool(1)
    with _stop_on_sigterm(pool):
        job = Job(row.key, case, revision, tool, Path())
        outcome = next((item for item in pool.run_jobs([job]) if item is not None), None)
    if outcome is None or outcome.result is None:
        failed = "it was stopped" if outcome is None else outcome.error
        print(f"failed: {failed}")
        return 0 if row.state == "failed" and row.note == failed else EXIT_FINDINGS
    for name, value in outcome.result["figures"].items():
        print(f"{name}={value:.6g}")
    for rule, times in outcome.result["broken"].items():
        print(f"broken: {rule} {times} times")
    digest = outcome.result["digest"]
    print(f"digest={digest} as_before={str(digest == row.digest).lower()} decisions={revision.digest}")
    return 0 if digest == row.digest else EXIT_FINDINGS


@experiment.command()
@click.argument("file")
@_results_option
@click.option(
    "--set", "sets", multiple=True, metavar="FIELD=VALUE", help="Overrides that the runs were executed with."
)
@click.option(
    "--to", type=click.Path(path_type=Path, file_okay=False), default=Path("report"), show_default=True
)
def report(file: str, results: Path, sets: tuple[str, ...], to: Path) -> int:
    """Write a report of the stored runs of FILE: a page with charts, and CSV files.

    Exit code 0: it covers all runs. 1: some are missing.
    """
    from leadrudder.experiment import (
        report as report_page,
    )  # matplotlib is slow to import
    from leadrudder.experiment.charts import RunSet

    loaded = _load_experiment(file, sets)
    if not results.exists():
        raise click.ClickException(
            f"there is no results file {results}; `leadrudder experiment run` creates it"
        )
    with _open_store(results) as store:
        jobs = _jobs_of(loaded)
        rows = _rows_of(store, jobs)
    if not any(row.state != "failed" for row in rows):
        raise click.ClickException(f"{results} has no successful run of this file in its present form")
    sides = [side.name for side in loaded.file.side]
    fields = [vary.field for vary in loaded.file.vary]
    written = report_page.write_report(RunSet(rows, sides, fields), loaded.file.name, loaded.file.about, to)
    print(f"{len(rows)} of {len(jobs)} runs; " + " ".join(str(path) for path in written))
    return 0 if len(rows) == len(jobs) else EXIT_FINDINGS
