"""Writes batches in a separate thread, so that the event loop keeps running while a disk hangs.

Records that arrive while a batch is being written form the next batch.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from typing import Protocol

from leadrudder.storage.store import DiskError, Store

Callback = Callable[[], None]
RETRY_DELAY_S = 0.2


class BatchWriter(Protocol):
    """The interface of a writer of batches."""

    def put(self, records: dict[str, bytes], done: Callback) -> None: ...

    def after(self, done: Callback) -> None: ...

    def stop(self, wait_s: float) -> None: ...


class ThreadedWriter:
    """Calls done in the event loop once its records are on disk; retries after disk errors."""

    def __init__(self, store: Store, report: Callable[[str], None]) -> None:
        self._store = store
        self._report = report  # reports disk errors
        self._loop = asyncio.get_running_loop()
        self._lock = threading.Condition()
        self._pending: dict[str, bytes] = {}
        self._callbacks: list[Callback] = []
        # The batch that is being written: its records, and what to call when they are on disk.
        self._batch: dict[str, bytes] = {}
        self._batch_callbacks: list[Callback] = []
        self._stopped = False
        self._thread = threading.Thread(target=self._work, name="depot", daemon=True)
        self._thread.start()

    def put(self, records: dict[str, bytes], done: Callback) -> None:
        with self._lock:
            self._pending.update(records)
            self._callbacks.append(done)
            self._lock.notify()

    def after(self, done: Callback) -> None:
        """Call done once all records put so far are on disk; immediately if none are pending."""
        with self._lock:
            if self._batch_callbacks or self._callbacks:
                self._callbacks.append(done)
                return
        done()

    def stop(self, wait_s: float) -> None:
        """Write pending records, if the disk accepts them in time."""
        with self._lock:
            self._stopped = True
            self._lock.notify()
        self._thread.join(wait_s)

    def _work(self) -> None:
        """Write batches until stopped.  The thread outlives every error, as only it can write."""
        while True:
            try:
                if not self._take_batch():
                    self._store.close()
                    return
                if self._batch:
                    self._store.commit(self._batch)
            except Exception as error:
                self._report_error(error)
                with self._lock:
                    if self._stopped:
                        return
                    self._lock.wait(RETRY_DELAY_S)
                continue
            with self._lock:
                written, self._batch, self._batch_callbacks = self._batch_callbacks, {}, []
            for done in written:
                self._call(done)

    def _take_batch(self) -> bool:
        """Wait for records, unless a batch is still to be written; False if the thread is to end."""
        with self._lock:
            if self._batch_callbacks:
                return True
            while not self._callbacks and not self._stopped:
                self._lock.wait()
            self._batch, self._pending = self._pending, {}
            self._batch_callbacks, self._callbacks = self._callbacks, []
            return bool(self._batch_callbacks)

    def _report_error(self, error: Exception) -> None:
        text = str(error) if isinstance(error, DiskError) else repr(error)
        self._call(lambda: self._report(f"disk error, retrying the batch: {text}"))

    def _call(self, done: Callback) -> None:
        try:
            self._loop.call_soon_threadsafe(done)
        except RuntimeError:
            return  # the event loop has ended, so nobody waits
