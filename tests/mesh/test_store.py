"""The contract of every store, and the states that a loss of power may leave on disk."""

from __future__ import annotations

import asyncio
import os
import tempfile
import unittest
from collections.abc import Mapping
from pathlib import Path
from unittest import mock

from leadrudder.storage import store as store_module
from leadrudder.storage.store import DbmStore, MemoryStore, Store
from leadrudder.storage.writer import ThreadedWriter


class StoreContract:
    """Mixed into a test case for each store; reopened() is the store as the next process finds it."""

    def reopened(self) -> Store:
        raise NotImplementedError

    def test_committed_records_are_read_back(self) -> None:
        store = self.reopened()
        assert store.open() == {}
        store.commit({"a": b"1", "b": b""})
        store.commit({"a": b"2"})
        store.close()
        assert self.reopened().open() == {"a": b"2", "b": b""}

    def test_many_batches_are_read_back(self) -> None:
        store = self.reopened()
        store.open()
        for i in range(50):
            store.commit({f"k{i % 7}": b"%d" % i})
        store.close()
        assert self.reopened().open() == {f"k{i % 7}": b"%d" % i for i in range(43, 50)}


class MemoryStoreTest(StoreContract, unittest.TestCase):
    def setUp(self) -> None:
        self._store = MemoryStore()

    def reopened(self) -> Store:
        return self._store


class DbmStoreTest(StoreContract, unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def reopened(self) -> Store:
        return DbmStore(str(self.folder))

    def _files(self, ending: str) -> list[Path]:
        return sorted(self.folder.glob(f"*{ending}"))

    def _kill_after_two_batches(self) -> None:
        """Leave the files of a process that was killed after two batches."""
        store = DbmStore(str(self.folder))
        store.open()
        store.commit({"a": b"1"})
        store.commit({"b": b"2"})
        store._close_files()

    def test_damaged_last_batch_is_dropped(self) -> None:
        self._kill_after_two_batches()
        data = self._files(".dat")[-1]
        raw = bytearray(data.read_bytes())
        raw[raw.rindex(b"b")] ^= 1
        data.write_bytes(raw)
        self.assertEqual(self.reopened().open(), {"a": b"1"})

    def test_truncated_index_line_is_dropped(self) -> None:
        self._kill_after_two_batches()
        index = self._files(".dir")[-1]
        index.write_bytes(index.read_bytes()[:-9])
        self.assertEqual(self.reopened().open(), {"a": b"1"})

    def test_incomplete_generation_is_skipped(self) -> None:
        self._kill_after_two_batches()
        (self.folder / "g00000009.dat").write_bytes(b"\0" * 40)
        (self.folder / "g00000009.dir").write_bytes(b"'000000000000', (0, 40)\n")
        self.assertEqual(self.reopened().open(), {"a": b"1", "b": b"2"})
        self.assertEqual(len(self._files(".dat")), 1)

    def test_new_generation_contains_all_records(self) -> None:
        max_batches, store_module.MAX_GENERATION_BATCHES = store_module.MAX_GENERATION_BATCHES, 3
        try:
            store = self.reopened()
            store.open()
            for i in range(10):
                store.commit({f"k{i}": b"v"})
            store.close()
        finally:
            store_module.MAX_GENERATION_BATCHES = max_batches
        self.assertEqual(len(self.reopened().open()), 10)
        self.assertEqual(len(self._files(".dat")), 1)

    def test_any_changed_byte_is_detected_or_loses_only_the_last_batch(self) -> None:
        store = DbmStore(str(self.folder))
        store.open()
        for batch in ({"a": b"1", "b": b"1"}, {"a": b"2"}, {"c": b"3"}):
            store.commit(batch)
        store._close_files()
        complete, without = {"a": b"2", "b": b"1", "c": b"3"}, {"a": b"2", "b": b"1"}
        detected = 0
        for file in self._files(""):
            raw = file.read_bytes()
            for at in range(len(raw)):
                corrupt = bytearray(raw)
                corrupt[at] ^= 1 << (at % 8)
                file.write_bytes(corrupt)
                try:
                    found = DbmStore(str(self.folder)).peek()
                    self.assertIn(found, (complete, without), f"byte {at} of {file.name}")
                except store_module.CorruptStoreError as error:
                    detected += 1
                    self.assertRegex(str(error), r"g00000001\.(dat|dir): record [0-9]+ cannot be read")
            file.write_bytes(raw)
        self.assertGreater(detected, 100)

    def test_corrupt_store_opens_empty_and_reports_it(self) -> None:
        self._kill_after_two_batches()
        data = self._files(".dat")[0]
        raw = bytearray(data.read_bytes())
        raw[0] ^= 1
        data.write_bytes(raw)
        store = DbmStore(str(self.folder))
        self.assertEqual(store.open(), {})
        self.assertIn("record 0", store.corrupt)
        self.assertEqual(self.reopened().open(), {}, "the store stays empty")

    def test_a_full_disk_does_not_fill_up_further_while_batches_are_retried(self) -> None:
        store = self.reopened()
        store.open()
        store.commit({"a": b"1"})
        files = len(self._files(""))
        with mock.patch("os.fsync", side_effect=OSError(28, "No space left on device")):
            for _ in range(20):
                with self.assertRaises(store_module.DiskError):
                    store.commit({"b": b"2"})
        self.assertLessEqual(len(self._files("")), files)
        store.commit({"b": b"2"})
        store.close()
        self.assertEqual(self.reopened().open(), {"a": b"1", "b": b"2"})
        self.assertEqual(len(self._files(".dat")), 1)

    def test_a_disk_with_errors_at_the_start_keeps_its_records_and_gets_no_further_files(self) -> None:
        self._kill_after_two_batches()
        files = len(self._files(""))
        store = DbmStore(str(self.folder))
        with mock.patch("os.fsync", side_effect=OSError(5, "Input/output error")):
            for _ in range(20):
                with self.assertRaises(store_module.DiskError):
                    store.open()
        self.assertLessEqual(len(self._files("")), files + 1)  # the lock
        self.assertEqual(store.open(), {"a": b"1", "b": b"2"})
        store.close()

    def test_an_unexpected_exception_leaves_no_batch_unwritten(self) -> None:
        reports: list[str] = []

        async def write() -> None:
            store = self.reopened()
            store.open()
            writer = ThreadedWriter(store, reports.append)
            written = asyncio.Event()
            failures = [ValueError("unheard of"), MemoryError()]
            encode = store_module.encode_batch

            def encode_batch(records: Mapping[str, bytes]) -> bytes:
                if failures:
                    raise failures.pop()
                return encode(records)

            with mock.patch.object(store_module, "encode_batch", encode_batch):
                writer.put({"a": b"1"}, written.set)
                async with asyncio.timeout(5.0):
                    await written.wait()
            writer.stop(1.0)

        asyncio.run(write())
        self.assertEqual(self.reopened().open(), {"a": b"1"})
        self.assertTrue(any("unheard of" in line for line in reports), reports)

    def test_everything_is_synced_before_commit_returns(self) -> None:
        synced: list[str] = []

        def fsync(descriptor: int) -> None:
            synced.append(os.path.basename(os.readlink(f"/proc/self/fd/{descriptor}")))

        with mock.patch("os.fsync", fsync):
            store = self.reopened()
            store.open()
            first = list(synced)
            store.commit({"a": b"1"})
        self.assertEqual(first, ["g00000001.dat", "g00000001.dir", self.folder.name])
        self.assertEqual(synced[len(first) :], ["g00000001.dat", "g00000001.dir"])
        store.close()


if __name__ == "__main__":
    unittest.main()
