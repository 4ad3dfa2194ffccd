"""Executes the missing runs of an experiment and stores their results."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from leadrudder.experiment import plan
from leadrudder.experiment.plan import Case
from leadrudder.experiment.pool import Job, JobOutcome, Pool
from leadrudder.experiment.revisions import (
    PolicyRevision,
    Tool,
    fetch_revision,
    tool_for,
    working_tree_policy,
)
from leadrudder.experiment.spec import File
from leadrudder.experiment.store import Row, Store

CLAIM_POLL_S = 0.5  # between checks for runs that another process has claimed


@dataclass
class Progress:
    """Progress of an experiment: how many runs are stored, completed, failed or violate a rule."""

    total: int
    already_stored: int = 0
    completed: int = 0
    failed: int = 0
    violating: int = 0
    in_progress: float = 0.0  # sum of the fractions done of the runs in progress
    started_at: float = field(default_factory=time.monotonic)

    def remaining_s(self) -> float | None:
        """Estimate the remaining time at the rate so far; None until a rate can be computed."""
        done = self.completed + self.in_progress
        if done <= 0.2:
            return None
        return (time.monotonic() - self.started_at) * (self.total - self.already_stored - done) / done


@dataclass
class Experiment:
    """A validated file, ready to run. folder: base of its relative trace path; cache: unpacked revisions."""

    values: Mapping[str, Any]
    file: File
    folder: Path
    cache: Path
    _policy_revisions: dict[str, PolicyRevision] = field(default_factory=dict)
    _tools: dict[tuple[str, str], Tool] = field(default_factory=dict)

    def policy_revision(self, ref: str) -> PolicyRevision:
        """Return the policy of a git revision, or of the working tree; may raise RevisionError."""
        if ref not in self._policy_revisions:
            self._policy_revisions[ref] = fetch_revision(ref, self.cache) if ref else working_tree_policy()
        return self._policy_revisions[ref]

    def tool(self, ref: str, model: str) -> Tool:
        """Return the tool that plays a git revision with this model; may raise RevisionError."""
        if (ref, model) not in self._tools:
            self._tools[ref, model] = tool_for(self.policy_revision(ref), model, self.policy_revision)
        return self._tools[ref, model]

    def jobs(self, seeds: range | None = None) -> list[Job]:
        """Return a job, with its key, for each run."""
        jobs = []
        for case in plan.expand_cases(self.values, self.file, seeds):
            revision = self.policy_revision(case.side.ref)
            tool = self.tool(case.side.ref, case.side.model)
            digest = revision.digest if case.side.policy == "leadrudder" else ""
            key = plan.run_key(case, digest, tool.model_digest, self._trace_digest(case))
            jobs.append(Job(key, case, revision, tool, self.folder))
        return jobs

    def _trace_digest(self, case: Case) -> str:
        if case.file.load.form != "trace":
            return ""
        try:
            return hashlib.blake2b((self.folder / case.file.load.trace).read_bytes()).hexdigest()
        except OSError:
            return ""  # the run itself reports the error


def run_missing(
    store: Store,
    experiment: Experiment,
    jobs: list[Job],
    pool: Pool,
    *,
    budget_s: float | None = None,
    on_progress: Callable[[Progress], None] = lambda _: None,
) -> Progress:
    """Execute the missing runs, until all are stored or the time budget is spent.

    A run that another process has claimed on the same results file is awaited, not repeated.
    """
    progress = Progress(len(jobs))
    missing = {job.key: job for job in jobs if not store.has(job.key)}
    progress.already_stored = sum(job.key not in missing for job in jobs)

    def claim_jobs() -> Iterator[Job]:
        """Yield each job once this process holds its claim; the pool's threads consume it one at a time."""
        while missing and not pool.stopped:
            for key, job in list(missing.items()):
                if store.claim(key):
                    del missing[key]
                    yield job
                elif store.has(key):
                    del missing[key]
                    progress.already_stored += 1
            if missing:
                time.sleep(CLAIM_POLL_S)  # other processes have claimed the rest

    stop_at = None if budget_s is None else progress.started_at + budget_s
    outcomes = pool.run_jobs(claim_jobs())
    for outcome in outcomes:
        if outcome is not None:
            _store_outcome(store, experiment, outcome, progress)
        progress.in_progress = sum(pool.progress_by_key.copy().values())
        on_progress(progress)
        if stop_at is not None and time.monotonic() > stop_at:
            pool.stop()
    return progress


def _store_outcome(store: Store, experiment: Experiment, outcome: JobOutcome, progress: Progress) -> None:
    case, result = outcome.job.case, outcome.result
    progress.completed += 1
    if result is None:
        progress.failed += 1
    elif result["broken"]:
        progress.violating += 1
    fields = result or {}
    store.add(
        Row(
            key=outcome.job.key,
            experiment=experiment.file.name,
            side=case.side.name,
            policy=case.side.policy,
            model=case.side.model,
            ref=case.side.ref,
            variant=dict(case.variant),
            seed=case.seed,
            state="failed" if result is None else "broken" if result["broken"] else "done",
            figures=fields.get("figures", {}),
            course={name: fields.get(name, []) for name in ("asked", "served", "troubles")},
            latencies=fields.get("latencies", {}),
            broken=fields.get("broken", {}),
            digest=fields.get("digest", ""),
            steps=fields.get("steps", 0),
            wall_s=outcome.wall_s,
            note=outcome.error or "; ".join(fields.get("notes", [])),
            file=_replayable_file(case.file, experiment.folder),
        )
    )


def _replayable_file(file: File, folder: Path) -> dict[str, Any]:
    """Return the file as JSON values with an absolute trace path, so that a replay works from any folder."""
    values = file.model_dump(mode="json", by_alias=True)
    if file.load.form == "trace":
        values["load"]["trace"] = str(folder / file.load.trace)
    return values
