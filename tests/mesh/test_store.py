"""The contract that every store must pass, and what a loss of power may leave of the one on disk."""

from __future__ import annotations

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from leadrudder.storage import store as store_module
from leadrudder.storage.store import DbmStore, MemoryStore, Store


class Contract:
    """Mixed into a case for each store; again() is the store as the next process finds it."""

    def again(self) -> Store:
        raise NotImplementedError

    def test_what_was_committed_is_found(self) -> None:
        store = self.again()
        assert store.open() == {}
        store.commit({"a": b"1", "b": b""})
        store.commit({"a": b"2"})
        store.close()
        assert self.again().open() == {"a": b"2", "b": b""}

    def test_many_batches_are_found(self) -> None:
        store = self.again()
        store.open()
        for i in range(50):
            store.commit({f"k{i % 7}": b"%d" % i})
        store.close()
        assert self.again().open() == {f"k{i % 7}": b"%d" % i for i in range(43, 50)}


class Memory(Contract, unittest.TestCase):
    def setUp(self) -> None:
        self._store = MemoryStore()

    def again(self) -> Store:
        return self._store


class Dumb(Contract, unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def again(self) -> Store:
        return DbmStore(str(self.folder))

    def _files(self, ending: str) -> list[Path]:
        return sorted(self.folder.glob(f"*{ending}"))

    def _left_open(self) -> None:
        """A process that was killed after two batches: nothing was closed."""
        store = DbmStore(str(self.folder))
        store.open()
        store.commit({"a": b"1"})
        store.commit({"b": b"2"})
        store._close_files()

    def test_a_torn_last_batch_is_not_there(self) -> None:
        self._left_open()
        data = self._files(".dat")[-1]
        raw = bytearray(data.read_bytes())
        raw[raw.rindex(b"b")] ^= 1
        data.write_bytes(raw)
        self.assertEqual(self.again().open(), {"a": b"1"})

    def test_a_torn_index_line_is_not_there(self) -> None:
        self._left_open()
        index = self._files(".dir")[-1]
        index.write_bytes(index.read_bytes()[:-9])
        self.assertEqual(self.again().open(), {"a": b"1"})

    def test_a_generation_that_was_never_finished_is_passed_over(self) -> None:
        self._left_open()
        (self.folder / "g00000009.dat").write_bytes(b"\0" * 40)
        (self.folder / "g00000009.dir").write_bytes(b"'000000000000', (0, 40)\n")
        self.assertEqual(self.again().open(), {"a": b"1", "b": b"2"})
        self.assertEqual(len(self._files(".dat")), 1)

    def test_a_new_generation_holds_all(self) -> None:
        most, store_module.MAX_GENERATION_BATCHES = store_module.MAX_GENERATION_BATCHES, 3
        try:
            store = self.again()
            store.open()
            for i in range(10):
                store.commit({f"k{i}": b"v"})
            store.close()
        finally:
            store_module.MAX_GENERATION_BATCHES = most
        self.assertEqual(len(self.again().open()), 10)
        self.assertEqual(len(self._files(".dat")), 1)

    def test_any_changed_byte_is_told_or_the_last_batch_alone_is_gone(self) -> None:
        store = DbmStore(str(self.folder))
        store.open()
        for batch in ({"a": b"1", "b": b"1"}, {"a": b"2"}, {"c": b"3"}):
            store.commit(batch)
        store._close_files()
        whole, without = {"a": b"2", "b": b"1", "c": b"3"}, {"a": b"2", "b": b"1"}
        told = 0
        for file in self._files(""):
            raw = file.read_bytes()
            for at in range(len(raw)):
                spoilt = bytearray(raw)
                spoilt[at] ^= 1 << (at % 8)
                file.write_bytes(spoilt)
                try:
                    found = DbmStore(str(self.folder)).peek()
                    self.assertIn(found, (whole, without), f"byte {at} of {file.name}")
                except store_module.CorruptStoreError as why:
                    told += 1
                    self.assertRegex(str(why), r"g00000001\.(dat|dir): record [0-9]+ cannot be read")
            file.write_bytes(raw)
        self.assertGreater(told, 100)

    def test_a_spoilt_disk_counts_as_empty_and_says_so(self) -> None:
        self._left_open()
        data = self._files(".dat")[0]
        raw = bytearray(data.read_bytes())
        raw[0] ^= 1
        data.write_bytes(raw)
        store = DbmStore(str(self.folder))
        self.assertEqual(store.open(), {})
        self.assertIn("record 0", store.corrupt)
        self.assertEqual(self.again().open(), {}, "and stays so")

    def test_all_is_synced_before_a_commit_returns(self) -> None:
        synced: list[str] = []

        def fsync(descriptor: int) -> None:
            synced.append(os.path.basename(os.readlink(f"/proc/self/fd/{descriptor}")))

        with mock.patch("os.fsync", fsync):
            store = self.again()
            store.open()
            first = list(synced)
            store.commit({"a": b"1"})
        self.assertEqual(first, ["g00000001.dat", "g00000001.dir", self.folder.name])
        self.assertEqual(synced[len(first) :], ["g00000001.dat", "g00000001.dir"])
        store.close()


if __name__ == "__main__":
    unittest.main()
