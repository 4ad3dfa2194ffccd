"""State updates to data-plane nodes that read, that stop reading, and that read again."""

from __future__ import annotations

import unittest
from typing import Any, cast

from leadrudder.control_plane.feeds import MAX_UNSENT_BYTES, SessionFeeds
from leadrudder.observability.invariants import Invariants
from leadrudder.protocol.mesh_pb2 import Frame, Item, Node
from leadrudder.transport.link import Link


class SlowLink:
    """A link whose peer reads only while is_reading is set."""

    def __init__(self) -> None:
        self.is_reading = True
        self.unread_bytes = 0
        self.frames: list[Frame] = []

    def send_encoded(self, data: bytes) -> bool:
        self.frames.append(Frame.FromString(data[4:]))
        if not self.is_reading:
            self.unread_bytes += len(data)
        return True

    def unsent_bytes(self) -> int:
        return self.unread_bytes


class SessionFeedsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.items: dict[str, Item] = {}
        self.nodes: dict[str, Node] = {}
        self.violations: list[str] = []
        self.feeds = SessionFeeds(self.items.get, self.nodes.get, Invariants(self.violations.append))
        self.reader, self.other = SlowLink(), SlowLink()
        for link, name in ((self.reader, "a"), (self.other, "b")):
            self.feeds.add_session(cast(Any, link), name)

    def change_item(self, key: str, version: int, size: int = 1000) -> None:
        self.items[key] = Item(key=key, version=version, value=b"x" * size)
        self.feeds.publish_items([self.items[key]])

    def test_node_that_reads_is_updated_at_once(self) -> None:
        self.change_item("routes/r", 1)
        for link in (self.reader, self.other):
            self.assertEqual([frame.news.items[0].version for frame in link.frames], [1])

    def test_slow_reader_has_bounded_backlog_and_receives_latest_state(self) -> None:
        self.reader.is_reading = False
        for version in range(1, 2001):
            self.change_item(f"routes/r{version % 3}", version)
            self.feeds.flush_pending()
        self.assertLess(self.reader.unread_bytes, MAX_UNSENT_BYTES + 2000)
        self.assertEqual(len(self.other.frames), 2000, "the other session is updated at once")
        sent_before = len(self.reader.frames)
        self.reader.is_reading, self.reader.unread_bytes = True, 0
        self.feeds.flush_pending()
        (last,) = self.reader.frames[sent_before:]
        newest = {item.key: item.version for item in last.news.items}
        self.assertEqual(newest, {key: item.version for key, item in self.items.items()})
        self.change_item("routes/r0", 3000)
        self.assertEqual(self.reader.frames[-1].news.items[0].version, 3000)
        self.assertEqual(self.violations, [])

    def test_member_and_server_updates_are_coalesced(self) -> None:
        self.feeds.subscribe(cast(Any, self.reader), frozenset({"s"}), [])
        self.reader.is_reading, self.reader.unread_bytes = False, MAX_UNSENT_BYTES + 1
        for number in (1, 2):
            node = Node(name="n", service="s", number=number)
            node.servers.add(id="i", service="s")
            self.nodes["n"] = node
            self.feeds.publish_members([node])
            self.feeds.publish_servers([node])
        self.assertEqual(self.reader.frames, [])
        self.reader.unread_bytes = 0
        self.feeds.flush_pending()
        (last,) = self.reader.frames
        self.assertEqual([node.number for node in last.news.nodes], [2])
        self.assertEqual([node.number for node in last.news.served], [2])

    def test_session_above_the_bound_is_an_invariant_violation(self) -> None:
        self.reader.unread_bytes = 100 * MAX_UNSENT_BYTES
        self.feeds.flush_pending()
        self.assertEqual(len(self.violations), 1)

    def test_node_is_removed_with_its_last_session(self) -> None:
        second_session = cast(Link, SlowLink())
        self.feeds.add_session(second_session, "a")
        self.assertIsNone(self.feeds.remove_session(cast(Any, self.reader)))
        self.assertEqual(self.feeds.remove_session(second_session), "a")
        self.assertIsNone(self.feeds.remove_session(second_session))


if __name__ == "__main__":
    unittest.main()
