"""What stations are told while they read, while they do not, and when they read again."""

from __future__ import annotations

import unittest
from typing import Any, cast

from leadrudder.control_plane.feeds import MAX_UNSENT_BYTES, SessionFeeds
from leadrudder.observability.invariants import Invariants
from leadrudder.protocol.mesh_pb2 import Frame, Item, Node
from leadrudder.transport.link import Link


class Reader:
    """A link whose station reads only when it is told to."""

    def __init__(self) -> None:
        self.reads = True
        self.waiting = 0
        self.told: list[Frame] = []

    def send_packed(self, data: bytes) -> bool:
        self.told.append(Frame.FromString(data[4:]))
        if not self.reads:
            self.waiting += len(data)
        return True

    def unsent(self) -> int:
        return self.waiting


class TheFeeds(unittest.TestCase):
    def setUp(self) -> None:
        self.items: dict[str, Item] = {}
        self.nodes: dict[str, Node] = {}
        self.complaints: list[str] = []
        self.feeds = SessionFeeds(self.items.get, self.nodes.get, Invariants(self.complaints.append))
        self.reader, self.other = Reader(), Reader()
        for link, name in ((self.reader, "a"), (self.other, "b")):
            self.feeds.add(cast(Any, link), name)

    def change(self, key: str, version: int, size: int = 1000) -> None:
        self.items[key] = Item(key=key, version=version, value=b"x" * size)
        self.feeds.publish_items([self.items[key]])

    def test_a_station_that_reads_is_told_at_once(self) -> None:
        self.change("routes/r", 1)
        for link in (self.reader, self.other):
            self.assertEqual([frame.news.items[0].version for frame in link.told], [1])

    def test_one_that_does_not_read_keeps_a_bound_waiting_and_is_told_the_newest(self) -> None:
        self.reader.reads = False
        for version in range(1, 2001):
            self.change(f"routes/r{version % 3}", version)
            self.feeds.flush_pending()
        self.assertLess(self.reader.waiting, MAX_UNSENT_BYTES + 2000)
        self.assertEqual(len(self.other.told), 2000, "the others are told at once all the same")
        told_before = len(self.reader.told)
        self.reader.reads, self.reader.waiting = True, 0
        self.feeds.flush_pending()
        (last,) = self.reader.told[told_before:]
        newest = {item.key: item.version for item in last.news.items}
        self.assertEqual(newest, {key: item.version for key, item in self.items.items()})
        self.change("routes/r0", 3000)
        self.assertEqual(self.reader.told[-1].news.items[0].version, 3000)
        self.assertEqual(self.complaints, [])

    def test_members_and_servers_are_merged_alike(self) -> None:
        self.feeds.subscribe(cast(Any, self.reader), frozenset({"s"}), [])
        self.reader.reads, self.reader.waiting = False, MAX_UNSENT_BYTES + 1
        for number in (1, 2):
            node = Node(name="n", service="s", number=number)
            node.servers.add(id="i", service="s")
            self.nodes["n"] = node
            self.feeds.publish_members([node])
            self.feeds.publish_servers([node])
        self.assertEqual(self.reader.told, [])
        self.reader.waiting = 0
        self.feeds.flush_pending()
        (last,) = self.reader.told
        self.assertEqual([node.number for node in last.news.nodes], [2])
        self.assertEqual([node.number for node in last.news.served], [2])

    def test_a_session_that_is_over_bounds_is_counted(self) -> None:
        self.reader.waiting = 100 * MAX_UNSENT_BYTES
        self.feeds.flush_pending()
        self.assertEqual(len(self.complaints), 1)

    def test_a_station_is_gone_with_its_last_session(self) -> None:
        again = cast(Link, Reader())
        self.feeds.add(again, "a")
        self.assertIsNone(self.feeds.remove(cast(Any, self.reader)))
        self.assertEqual(self.feeds.remove(again), "a")
        self.assertIsNone(self.feeds.remove(again))


if __name__ == "__main__":
    unittest.main()
