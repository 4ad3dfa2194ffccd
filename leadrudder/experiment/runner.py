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
from leadrudder.experiment.pool import Done, Job, Pool
from leadrudder.experiment.revisions import Decisions, model_digest, present, unpacked
from leadrudder.experiment.spec import File
from leadrudder.experiment.store import Row, Store

POLL_S = 0.5  # between looks at what another process of the tool is making


@dataclass
class Progress:
    """How far it is: runs in all, made before, made now, and how many failed or broke a rule."""

    total: int
    before: int = 0
    made: int = 0
    failed: int = 0
    broken: int = 0
    out: float = 0.0  # parts of runs that are out, summed
    began: float = field(default_factory=time.monotonic)

    def left_s(self) -> float | None:
        """Seconds that remain at the pace so far; None while there is none."""
        done = self.made + self.out
        if done <= 0.2:
            return None
        return (time.monotonic() - self.began) * (self.total - self.before - done) / done


@dataclass
class Experiment:
    """A checked file, ready to be played. folder: what its traces are relative to."""

    values: Mapping[str, Any]
    file: File
    folder: Path
    cache: Path
    _decisions: dict[str, Decisions] = field(default_factory=dict)

    def decisions(self, ref: str) -> Decisions:
        """Of a side; RevisionError for one that cannot be had."""
        if ref not in self._decisions:
            self._decisions[ref] = unpacked(ref, self.cache) if ref else present()
        return self._decisions[ref]

    def jobs(self, seeds: range | None = None) -> list[Job]:
        """All runs with their keys."""
        model = model_digest()
        jobs = []
        for case in plan.expand_cases(self.values, self.file, seeds):
            decisions = self.decisions(case.side.ref)
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


def run(
    store: Store,
    experiment: Experiment,
    jobs: list[Job],
    pool: Pool,
    *,
    budget_s: float | None = None,
    tell: Callable[[Progress], None] = lambda _: None,
) -> Progress:
    """Make the runs that are missing, until all are there or the time is up.

    What another process makes meanwhile on the same file is waited for, and not made again.
    """
    progress = Progress(len(jobs))
    missing = {job.key: job for job in jobs if not store.has(job.key)}
    progress.before = sum(job.key not in missing for job in jobs)

    def claimed() -> Iterator[Job]:
        """Each as it is this process's turn to make it; taken by the pool's threads, one at a time."""
        while missing and not pool.stopped:
            for key, job in list(missing.items()):
                if store.claim(key):
                    del missing[key]
                    yield job
                elif store.has(key):
                    del missing[key]
                    progress.before += 1
            if missing:
                time.sleep(POLL_S)  # the rest is out with others

    until = None if budget_s is None else progress.began + budget_s
    results = pool.play(claimed())
    for done in results:
        if done is not None:
            _keep(store, experiment, done, progress)
        progress.out = sum(pool.parts.copy().values())
        tell(progress)
        if until is not None and time.monotonic() > until:
            pool.stop()
    return progress


def _keep(store: Store, experiment: Experiment, done: Done, progress: Progress) -> None:
    case, result = done.job.case, done.result
    progress.made += 1
    if result is None:
        progress.failed += 1
    elif result["broken"]:
        progress.broken += 1
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
            note=done.failed or "; ".join(found.get("notes", [])),
            file=_kept(case.file, experiment.folder),
        )
    )


def _kept(file: File, folder: Path) -> dict[str, Any]:
    """The file as a replay needs it, wherever that is asked for: with its trace's whole path."""
    kept = file.model_dump(mode="json", by_alias=True)
    if file.load.form == "trace":
        kept["load"]["trace"] = str(folder / file.load.trace)
    return kept
