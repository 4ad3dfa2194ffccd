"""Executes runs in parallel worker processes, so that a crash loses only the run that caused it."""

from __future__ import annotations

import contextlib
import json
import queue
import subprocess
import sys
import threading
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from leadrudder.experiment.plan import Case
from leadrudder.experiment.revisions import PolicyRevision, Tool

INTERPRETER_ADDRESS_SPACE_MB = 512  # address space of an idle worker, allowed on top of runs.most_mb
RESULT_POLL_S = 0.2


@dataclass(frozen=True)
class Job:
    """A run to execute."""

    key: str
    case: Case
    revision: PolicyRevision
    tool: Tool
    folder: Path


@dataclass
class JobOutcome:
    """Outcome of a job: a result, or the error that prevented one."""

    job: Job
    result: dict[str, Any] | None
    error: str = ""
    wall_s: float = 0.0


@dataclass
class _Worker:
    process: subprocess.Popen[str]
    revision: PolicyRevision
    tool: Tool
    most_mb: int
    progress: float = 0.0


@dataclass
class Pool:
    """Runs jobs on up to `jobs` workers, once. progress_by_key: fraction done of each run in progress."""

    jobs: int
    progress_by_key: dict[str, float] = field(default_factory=dict)
    _stopped: threading.Event = field(default_factory=threading.Event)
    _workers: dict[int, _Worker] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def run_jobs(self, jobs: Iterable[Job]) -> Iterator[JobOutcome | None]:
        """Yield outcomes as they arrive, and None now and then, so that the caller can check its deadline.

        Jobs are taken one by one as workers become free. Closing the iterator stops all runs in progress.
        """
        pending, pending_lock = iter(jobs), threading.Lock()
        outcomes: queue.Queue[JobOutcome | None] = queue.Queue()

        def run_slot(slot: int) -> None:
            try:
                while not self._stopped.is_set():
                    with pending_lock:
                        job = next(pending, None)
                    if job is None:
                        return
                    outcomes.put(self._run_job(slot, job))
            finally:
                self._end_worker(slot)
                outcomes.put(None)

        threads = [threading.Thread(target=run_slot, args=(i,), daemon=True) for i in range(self.jobs)]
        for thread in threads:
            thread.start()
        active = len(threads)
        try:
            while active:
                try:
                    item = outcomes.get(timeout=RESULT_POLL_S)
                except queue.Empty:
                    yield None
                    continue
                if item is None:
                    active -= 1
                elif not self._stopped.is_set():
                    yield item
        finally:
            self.stop()
            for thread in threads:
                thread.join()

    @property
    def stopped(self) -> bool:
        return self._stopped.is_set()

    def stop(self) -> None:
        """Start no more runs, and kill those in progress."""
        self._stopped.set()
        with self._lock:
            for worker in self._workers.values():
                worker.process.kill()

    def _run_job(self, slot: int, job: Job) -> JobOutcome:
        started_at = time.monotonic()
        worker = self._worker_for(slot, job)
        if worker is None:
            return JobOutcome(job, None, "stopped")
        case = job.case
        line = json.dumps(
            {
                "file": case.file.model_dump(mode="json", by_alias=True),
                "seed": case.seed,
                "policy": case.side.policy,
                "model": case.side.model,
                "folder": str(job.folder),
            }
        )
        assert worker.process.stdin is not None and worker.process.stdout is not None
        try:
            worker.process.stdin.write(line + "\n")
            worker.process.stdin.flush()
            for text in worker.process.stdout:
                answer = json.loads(text)
                if "part" in answer:
                    self.progress_by_key[job.key] = answer["part"]
                    continue
                wall_s = time.monotonic() - started_at
                if "failed" in answer:
                    self._end_worker(slot)  # memory left by a failed run would count against the next
                return JobOutcome(job, answer.get("result"), answer.get("failed", ""), wall_s)
        except (OSError, ValueError):
            pass  # the worker died during the exchange
        finally:
            self.progress_by_key.pop(job.key, None)
        code = worker.process.wait()
        self._end_worker(slot)
        return JobOutcome(job, None, f"its process ended with {code}", time.monotonic() - started_at)

    def _worker_for(self, slot: int, job: Job) -> _Worker | None:
        """Return the slot's worker if it suits the job, else a new one; None once the pool is stopped."""
        most_mb = job.case.file.runs.most_mb + INTERPRETER_ADDRESS_SPACE_MB
        worker = self._workers.get(slot)
        wanted = (job.revision, job.tool, most_mb)
        if worker is not None and (worker.revision, worker.tool, worker.most_mb) == wanted:
            return worker
        self._end_worker(slot)
        tree, prefix = job.revision.tree, job.revision.compiled
        expected = f"{job.revision.digest if tree is None else ''}/{job.tool.model_digest}"
        command = [
            sys.executable,
            "-P",
            str(job.tool.worker_script),
            str(tree or "-"),
            str(prefix or "-"),
            str(most_mb),
            expected,
        ]
        with self._lock:
            if self._stopped.is_set():
                return None
            process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
            worker = self._workers[slot] = _Worker(process, *wanted)
        return worker

    def _end_worker(self, slot: int) -> None:
        with self._lock:
            worker = self._workers.pop(slot, None)
        if worker is None:
            return
        process = worker.process
        process.kill()
        process.wait()
        for pipe in (process.stdin, process.stdout):
            if pipe is not None:
                with contextlib.suppress(OSError):  # flushing buffered input to a dead process fails
                    pipe.close()
