"""Runs side by side in processes of their own: one that dies takes its run with it, and no other."""

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
from leadrudder.experiment.revisions import PolicyRevision

WORKER_SCRIPT = Path(__file__).parent / "worker.py"
INTERPRETER_ADDRESS_SPACE_MB = 512  # address space that an interpreter takes before it plays anything
RESULT_POLL_S = 0.2


@dataclass(frozen=True)
class Job:
    """A run to be made."""

    key: str
    case: Case
    decisions: PolicyRevision
    model: str  # digest of the model's sources
    folder: Path


@dataclass
class JobOutcome:
    """What came of it: a result, or why there is none."""

    job: Job
    result: dict[str, Any] | None
    error: str = ""
    wall_s: float = 0.0


@dataclass
class _Worker:
    process: subprocess.Popen[str]
    decisions: PolicyRevision
    most_mb: int
    part: float = 0.0


@dataclass
class Pool:
    """At most so many runs at once; plays once. parts: how far each that is out has come, for progress."""

    jobs: int
    progress_by_key: dict[str, float] = field(default_factory=dict)
    _stopped: threading.Event = field(default_factory=threading.Event)
    _workers: dict[int, _Worker] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def run_jobs(self, jobs: Iterable[Job]) -> Iterator[JobOutcome | None]:
        """Results as they come; None now and then, so that the caller can look at the time.

        Jobs are taken one by one as a worker is free. Closing the iterator stops all that is out.
        """
        waiting, source_lock = iter(jobs), threading.Lock()
        done: queue.Queue[JobOutcome | None] = queue.Queue()

        def serve(slot: int) -> None:
            try:
                while not self._stopped.is_set():
                    with source_lock:
                        job = next(waiting, None)
                    if job is None:
                        return
                    done.put(self._run(slot, job))
            finally:
                self._end_worker(slot)
                done.put(None)

        threads = [threading.Thread(target=serve, args=(i,), daemon=True) for i in range(self.jobs)]
        for thread in threads:
            thread.start()
        left = len(threads)
        try:
            while left:
                try:
                    item = done.get(timeout=RESULT_POLL_S)
                except queue.Empty:
                    yield None
                    continue
                if item is None:
                    left -= 1
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
        """No more runs; what is out is ended."""
        self._stopped.set()
        with self._lock:
            for worker in self._workers.values():
                worker.process.kill()

    def _run(self, slot: int, job: Job) -> JobOutcome:
        began = time.monotonic()
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
                took = time.monotonic() - began
                if "failed" in answer:
                    self._end_worker(
                        slot
                    )  # after a failure its memory is no guide to what the next run needs
                return JobOutcome(job, answer.get("result"), answer.get("failed", ""), took)
        except (OSError, ValueError):
            pass  # it died while it was spoken to
        finally:
            self.progress_by_key.pop(job.key, None)
        code = worker.process.wait()
        self._end_worker(slot)
        return JobOutcome(job, None, f"its process ended with {code}", time.monotonic() - began)

    def _worker_for(self, slot: int, job: Job) -> _Worker | None:
        """The slot's process, if it plays these decisions; else a new one."""
        most_mb = job.case.file.runs.most_mb + INTERPRETER_ADDRESS_SPACE_MB
        worker = self._workers.get(slot)
        if worker is not None and worker.decisions == job.decisions and worker.most_mb == most_mb:
            return worker
        self._end_worker(slot)
        tree, prefix = job.decisions.tree, job.decisions.compiled
        expected = f"{job.decisions.digest if tree is None else ''}/{job.model}"
        words = [
            sys.executable,
            "-P",
            str(WORKER_SCRIPT),
            str(tree or "-"),
            str(prefix or "-"),
            str(most_mb),
            expected,
        ]
        with self._lock:
            if self._stopped.is_set():
                return None
            process = subprocess.Popen(words, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
            worker = self._workers[slot] = _Worker(process, job.decisions, most_mb)
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
                with contextlib.suppress(OSError):  # what was still to be written has no reader
                    pipe.close()
