"""Makes the runs of an experiment that are not there yet, and keeps what came of them."""

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
from leadrudder.experiment.revisions import PolicyRevision, fetch_revision, model_digest, working_tree_policy
from leadrudder.experiment.spec import File
from leadrudder.experiment.store import Row, Store

CLAIM_POLL_S = 0.5  # between looks at what another process of the tool is making


@dataclass
class Progress:
    """How far it is: runs in all, made before, made now, and how many failed or broke a rule."""

    total: int
    already_stored: int = 0
    completed: int = 0
    failed: int = 0
    violating: int = 0
    in_progress: float = 0.0  # sum of the fractions done of the runs in progress
    started_at: float = field(default_factory=time.monotonic)

    def remaining_s(self) -> float | None:
        """Seconds that remain at the pace so far; None while there is none."""
        done = self.completed + self.in_progress
        if done <= 0.2:
            return None
        return (time.monotonic() - self.started_at) * (self.total - self.already_stored - done) / done


@dataclass
class Experiment:
    """A checked file, ready to be played. folder: what its traces are relative to."""

    values: Mapping[str, Any]
    file: File
    folder: Path
    cache: Path
    _policy_revisions: dict[str, PolicyRevision] = field(default_factory=dict)

    def policy_revision(self, ref: str) -> PolicyRevision:
        """Of a side; RevisionError for one that cannot be had."""
        if ref not in self._policy_revisions:
            self._policy_revisions[ref] = fetch_revision(ref, self.cache) if ref else working_tree_policy()
        return self._policy_revisions[ref]

    def jobs(self, seeds: range | None = None) -> list[Job]:
        """All runs with their keys."""
        model = model_digest()
        jobs = []
        for case in plan.expand_cases(self.values, self.file, seeds):
            decisions = self.policy_revision(case.side.ref)
            digest = decisions.digest if case.side.policy == "leadrudder" else ""
            key = plan.run_key(case, digest, model, self._trace(case))
            jobs.append(Job(key, case, decisions, model, self.folder))
        return jobs

    def _trace(self, case: Case) -> str:
        if case.file.load.form != "trace":
            return ""
        try:
            return hashlib.blake2b((self.folder / case.file.load.trace).read_bytes()).hexdigest()
        except OSError:
            return ""  # the run itself tells what is wrong


def run_missing(
    store: Store,
    experiment: Experiment,
    jobs: list[Job],
    pool: Pool,
    *,
    budget_s: float | None = None,
    on_progress: Callable[[Progress], None] = lambda _: None,
) -> Progress:
    """Make the runs that are missing, until all are there or the time is up.

    What another process makes meanwhile on the same file is waited for, and not made again.
    """
    progress = Progress(len(jobs))
    missing = {job.key: job for job in jobs if not store.has(job.key)}
    progress.already_stored = sum(job.key not in missing for job in jobs)

    def claimed() -> Iterator[Job]:
        """Each as it is this process's turn to make it; taken by the pool's threads, one at a time."""
        while missing and not pool.stopped:
            for key, job in list(missing.items()):
                if store.claim(key):
                    del missing[key]
                    yield job
                elif store.has(key):
                    del missing[key]
                    progress.already_stored += 1
            if missing:
                time.sleep(CLAIM_POLL_S)  # the rest is out with others

    until = None if budget_s is None else progress.started_at + budget_s
    results = pool.run_jobs(claimed())
    for done in results:
        if done is not None:
            _store_outcome(store, experiment, done, progress)
        progress.in_progress = sum(pool.progress_by_key.copy().values())
        on_progress(progress)
        if until is not None and time.monotonic() > until:
            pool.stop()
    return progress


def _store_outcome(store: Store, experiment: Experiment, done: JobOutcome, progress: Progress) -> None:
    case, result = done.job.case, done.result
    progress.completed += 1
    if result is None:
        progress.failed += 1
    elif result["broken"]:
        progress.violating += 1
    found = result or {}
    store.add(
        Row(
            key=done.job.key,
            experiment=experiment.file.name,
            side=case.side.name,
            policy=case.side.policy,
            model=case.side.model,
            ref=case.side.ref,
            variant=dict(case.variant),
            seed=case.seed,
            state="failed" if result is None else "broken" if result["broken"] else "done",
            figures=found.get("figures", {}),
            course={name: found.get(name, []) for name in ("asked", "served", "troubles")},
            latencies=found.get("latencies", {}),
            broken=found.get("broken", {}),
            digest=found.get("digest", ""),
            steps=found.get("steps", 0),
            wall_s=done.wall_s,
            note=done.error or "; ".join(found.get("notes", [])),
            file=_replayable_file(case.file, experiment.folder),
        )
    )


def _replayable_file(file: File, folder: Path) -> dict[str, Any]:
    """The file as a replay needs it, wherever that is asked for: with its trace's whole path."""
    kept = file.model_dump(mode="json", by_alias=True)
    if file.load.form == "trace":
        kept["load"]["trace"] = str(folder / file.load.trace)
    return kept
