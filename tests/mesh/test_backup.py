"""Snapshots: content, detection of corruption, retention, and restoring a fleet from them."""

from __future__ import annotations

import copy
import io
import json
import os
import struct
import tempfile
import unittest
import zlib
from collections.abc import Mapping
from contextlib import redirect_stderr, redirect_stdout
from unittest import mock

from returns.result import Failure, Success

from leadrudder.backup.snapshot import (
    Snapshot,
    load_snapshot,
    pack,
    read_records,
    restored_records,
    save_snapshot,
    unpack,
)
from leadrudder.configuration.item_store import ItemStore
from leadrudder.consensus.outputs import Answer, ResultCode, section_of
from leadrudder.control_simulation.world import World
from leadrudder.mesh.__main__ import main
from leadrudder.protocol.mesh_pb2 import Item, RecordBatch
from leadrudder.storage import store as store_module
from leadrudder.storage.store import DbmStore, DiskError

VOTER_SLOTS = [(i, f"10.{i}.0.1:1", 1) for i in range(3)]


def item(key: str, version: int, value: bytes = b"v", *, epoch: int = 256, dropped: bool = False) -> Item:
    return Item(key=key, version=version, value=b"" if dropped else value, epoch=epoch, dropped=dropped)


def packed_and_unpacked(*items: Item, taken_s: float = 5.0) -> Snapshot:
    snapshot: Snapshot = unpack(pack(items, VOTER_SLOTS, {0: 768}, taken_s)).unwrap()
    return snapshot


def sealed_by_release_0_1(records: Mapping[str, bytes]) -> bytes:
    """A batch in the format of release 0.1."""
    body = json.dumps({"format": 1, "records": {k: v.hex() for k, v in records.items()}}).encode()
    return struct.pack(">I", zlib.crc32(body)) + body


class Snapshots(unittest.TestCase):
    def test_a_snapshot_survives_a_round_trip(self) -> None:
        found = packed_and_unpacked(item("routes/a", 3), item("routes/b", 2, dropped=True))
        self.assertEqual(found.item_store.items["routes/b"], item("routes/b", 2, dropped=True))
        self.assertEqual((found.voter_slots, found.promised, found.taken_s), (VOTER_SLOTS, {0: 768}, 5.0))

    def test_any_truncation_or_bit_flip_is_detected(self) -> None:
        data = pack([item("routes/a", 3, b"value"), item("limits", 1)], VOTER_SLOTS, {0: 768}, 5.0)
        for at in range(len(data)):
            self.assertIsInstance(unpack(data[:at]), Failure, f"cut at {at}")
            for bit in range(8):
                corrupt = bytearray(data)
                corrupt[at] ^= 1 << bit
                self.assertIsInstance(unpack(bytes(corrupt)), Failure, f"bit {bit} of byte {at}")

    def test_inconsistent_records_are_reported_by_name(self) -> None:
        for name, value in (
            ("item/routes/a", item("routes/b", 1).SerializeToString()),
            ("item/routes/a", b"\xff\xff"),
            ("promised/x", b"1"),
            ("seats", b'{"seats": [[1]]}'),
        ):
            data = store_module.encode_batch({name: value, "meta": b'{"taken_s": 1}'})
            found = unpack(data)
            assert isinstance(found, Failure)
            self.assertIn(name, found.failure())

    def test_only_the_newest_snapshots_are_kept(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for taken_s in (10.0, 20.0, 20.0, 30.0):
                last = save_snapshot(folder, pack([], VOTER_SLOTS, {}, taken_s), taken_s, 2)
            left = sorted(os.listdir(folder))
            self.assertEqual(len(left), 2)
            self.assertEqual(left[-1], os.path.basename(last))
            self.assertIsInstance(load_snapshot(last), Success)

    def test_the_command_reports_an_error_in_one_line(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "x.snapshot")
            with open(path, "wb") as file:
                file.write(b"garbage")
            for arguments, code in (
                (["verify", path], 1),
                (["verify", folder], 1),
                (["verify", path + ".none"], 1),
                (["restore", path, "--holders", "a:1", "--into", folder], 2),
                (["restore", path, "--holders", "a:1,b:1", "--into", folder], 2),
                (["snapshot", "127.0.0.1:1", folder], 2),
            ):
                out = io.StringIO()
                with self.subTest(arguments), redirect_stdout(out), redirect_stderr(out):
                    self.assertEqual(main(arguments), code)
                    self.assertEqual(out.getvalue().count("\n"), 1, out.getvalue())


class Restore(unittest.TestCase):
    def test_neither_deleted_nor_older_items_come_back(self) -> None:
        before = packed_and_unpacked(item("routes/a", 3), item("routes/b", 7, b"new"), item("limits", 1))
        after = packed_and_unpacked(item("routes/a", 4, dropped=True), item("routes/b", 6, b"old"))
        for sources in ([before, after], [after, before]):
            records = restored_records(sources, [holder for _, holder, _ in VOTER_SLOTS])
            item_store = ItemStore()
            item_store.merge(Item.FromString(v) for k, v in records.items() if k.startswith("item/"))
            self.assertTrue(item_store.items["routes/a"].dropped)
            self.assertEqual(item_store.items["routes/b"].value, b"new")
            self.assertIn("limits", item_store.items)

    def test_a_refused_change_on_a_disk_that_missed_the_next_claim_is_not_restored(self) -> None:
        claimed, key = 512, "routes/a"
        installed = {f"installed/{section_of(key)}": str(claimed).encode()}
        late = read_records({"item/routes/a": item(key, 2, b"refused").SerializeToString()}).unwrap()
        disk = item(key, 1, b"kept", epoch=claimed).SerializeToString()
        others = read_records({"item/routes/a": disk, **installed}).unwrap()
        for sources in ([late, others], [others, late]):
            records = restored_records([copy.deepcopy(source) for source in sources], ["a:1", "b:1", "c:1"])
            self.assertEqual(Item.FromString(records["item/routes/a"]).value, b"kept")

    def test_a_machine_of_the_old_fleet_has_no_vote_in_a_restored_one(self) -> None:
        world = World(3)
        old = world.machines["10.2.0.1:1"]
        for machine in world.machines.values():
            machine.first_run = False
        records = restored_records([packed_and_unpacked(item("routes/a", 3, b"kept"))], list(world.machines))
        for machine in world.machines.values():
            machine.disk = dict(records)
        # One disk is from before the loss: another voter has its place, and its items are of an older epoch.
        old.disk = {
            "item/routes/a": item("routes/a", 3, b"lost").SerializeToString(),
            "seats": json.dumps({"seats": VOTER_SLOTS, "full": True}).encode(),
        }
        world.run_until(5.0)
        answers: list[Answer] = []
        for machine in world.machines.values():
            world.read(machine, answers.append)
        world.run_until(7.0)
        self.assertEqual([a.code for a in answers], [ResultCode.DONE] * 3)
        self.assertEqual({i.value for a in answers for i in a.items}, {b"kept"})
        self.assertTrue(
            old.process is not None and old.process.voter_table.full, "it must be a voter again after a claim"
        )

    def test_the_command_writes_a_disk_for_each_machine(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = save_snapshot(folder, pack([item("routes/a", 3)], VOTER_SLOTS, {}, 9.0), 9.0, 8)
            into = os.path.join(folder, "new")
            arguments = ["restore", path, "--holders", "10.0.0.1:5,10.0.0.2:5,10.0.0.3:5", "--into", into]
            with redirect_stdout(io.StringIO()), redirect_stderr(io.StringIO()):
                self.assertEqual(main(arguments), 0)
                self.assertEqual(main(arguments), 2, "directories that are not empty must be left alone")
            disks = [DbmStore(os.path.join(into, name)).open() for name in sorted(os.listdir(into))]
            self.assertEqual(len(disks), 3)
            self.assertEqual(disks[0], disks[2])
            self.assertTrue(json.loads(disks[0]["seats"])["full"])


class DiskFormats(unittest.TestCase):
    def test_a_disk_of_an_older_format_is_read_and_rewritten(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            with mock.patch.object(store_module, "encode_batch", sealed_by_release_0_1):
                store = DbmStore(folder)
                store.open()
                store.commit({"a": b"1"})
                store.commit({"b": b"\xff\0"})
                store.close()
            self.assertEqual(DbmStore(folder).open(), {"a": b"1", "b": b"\xff\0"})
            with mock.patch(
                "leadrudder.storage.store.json.loads",
                side_effect=AssertionError("nothing in the old format must be left"),
            ):
                self.assertEqual(DbmStore(folder).open(), {"a": b"1", "b": b"\xff\0"})

    def test_a_later_format_is_reported_and_not_treated_as_an_empty_disk(self) -> None:
        body = RecordBatch(format=3, records={"a": b"1"}).SerializeToString()
        data = struct.pack(">I", zlib.crc32(body)) + body
        with tempfile.TemporaryDirectory() as folder:
            with mock.patch.object(store_module, "encode_batch", lambda records: data):
                store = DbmStore(folder)
                store.open()
                store.close()
            with self.assertRaisesRegex(DiskError, "format 3"):
                DbmStore(folder).open()


if __name__ == "__main__":
    unittest.main()
