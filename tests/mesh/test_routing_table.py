"""Incremental updates of the routing table, the item store, the endpoints and the change queue."""

from __future__ import annotations

import json
import unittest
from random import Random
from typing import Any
from unittest import mock

from leadrudder.configuration import items
from leadrudder.configuration.item_store import KEY_RANGES, ItemStore, range_of
from leadrudder.configuration.items import ROUTE_PREFIX
from leadrudder.configuration.routing_table import RoutingTable
from leadrudder.data_plane.change_queue import MAX_PASS_DELAY_S, ChangeQueue, PendingChanges
from leadrudder.data_plane.endpoints import EndpointTable, endpoints_of
from leadrudder.protocol.mesh_pb2 import Item, Node, Server

HOSTS = ("a.example", "b.example")
PREFIXES = ("/", "/x/", "/x/y/", "/x/op")
PATHS = ("/", "/x/1", "/x/y/2", "/x/open", "/z")


def route(host: str, prefix: str, service: str) -> dict[str, Any]:
    fields = {"host": host, "pathStart": prefix, "kind": "safe", "giveUp": "1s", "service": service}
    return {**fields, "version": "01"}


def random_change(rng: Random, version: int) -> Item:
    """A change of one of a few routes, so that routes collide, move, are deleted and come back."""
    key = f"{ROUTE_PREFIX}r{rng.randrange(6)}"
    if rng.random() < 0.25:
        return Item(key=key, version=version, dropped=True)
    if rng.random() < 0.05:
        return Item(key=key, version=version, value=b"{}")  # of a later release: cannot be parsed
    value = route(rng.choice(HOSTS), rng.choice(PREFIXES), f"s{rng.randrange(3)}")
    return Item(key=key, version=version, value=json.dumps(value).encode())


class IncrementalUpdates(unittest.TestCase):
    def test_any_sequence_of_changes_gives_the_table_of_all_items(self) -> None:
        for seed in range(30):
            rng, item_store, table = Random(seed), ItemStore(), RoutingTable()
            for version in range(1, 60):
                changes = [random_change(rng, version) for _ in range(rng.randint(1, 3))]
                table.apply(item_store.merge(changes))
                rebuilt = RoutingTable(item_store)
                self.assertEqual(table.routes, rebuilt.routes)
                self.assertEqual(table.called_services(), rebuilt.called_services())
                for host in HOSTS:
                    for path in PATHS:
                        self.assertEqual(
                            table.find(host, path), rebuilt.find(host, path), (seed, version, path)
                        )

    def test_one_change_among_many_routes_parses_one_item(self) -> None:
        for count in (10, 1000):
            item_store = ItemStore()
            for i in range(count):
                value = json.dumps(route(f"h{i}.example", "/", "s")).encode()
                item_store.merge([Item(key=f"{ROUTE_PREFIX}r{i}", version=1, value=value)])
            table = RoutingTable(item_store)
            value = json.dumps(route("h0.example", "/new/", "s")).encode()
            with mock.patch.object(items, "read_route", wraps=items.read_route) as read:
                table.apply(item_store.merge([Item(key=f"{ROUTE_PREFIX}r0", version=2, value=value)]))
            self.assertEqual(read.call_count, 1)

    def test_the_indexes_of_the_store_agree_with_a_full_scan(self) -> None:
        rng, item_store = Random(5), ItemStore()
        for version in range(1, 300):
            item_store.merge([random_change(rng, version)])
            live = {k[len(ROUTE_PREFIX) :]: i for k, i in sorted(item_store.items.items()) if not i.dropped}
            self.assertEqual(list(item_store.live_items(ROUTE_PREFIX).items()), list(live.items()))
        for index in range(KEY_RANGES):
            expected = [item for key, item in item_store.items.items() if range_of(key) == index]
            self.assertEqual(item_store.items_in_ranges([index]), expected)


class Endpoints(unittest.TestCase):
    def entry(self, name: str, *servers: str, life: int = 1, service: str = "s") -> Node:
        listed = [Server(id=server, service=service, zone="z") for server in servers]
        return Node(name=name, life=life, address=f"{name}:1", servers=listed)

    def test_an_update_of_a_node_reports_the_services_it_touches(self) -> None:
        table, member = EndpointTable(), Node(name="n", life=1)
        self.assertEqual(table.replace("n", endpoints_of(self.entry("n", "a"), member)), {"s"})
        self.assertEqual(table.replace("n", endpoints_of(self.entry("n", "a"), member)), set())
        self.assertEqual(
            table.replace("n", endpoints_of(self.entry("n", "b", service="t"), member)), {"s", "t"}
        )
        self.assertIsNone(table.server("a"))
        self.assertEqual([each.server for each in table.of_service("t")], ["b"])
        self.assertEqual(table.replace("n", ()), {"t"})
        self.assertEqual(table.services(), set())

    def test_a_server_that_moved_to_another_node_is_kept(self) -> None:
        table, member = EndpointTable(), Node(name="n", life=1)
        table.replace("n", endpoints_of(self.entry("n", "a"), member))
        table.replace("m", endpoints_of(self.entry("m", "a"), Node(name="m", life=1)))
        table.replace("n", ())
        found = table.server("a")
        self.assertEqual(found.node if found else None, "m")
        self.assertEqual([each.node for each in table.of_service("s")], ["m"])

    def test_endpoints_of_outdated_incarnations_are_ignored(self) -> None:
        entry = self.entry("n", "a", life=2)
        self.assertTrue(endpoints_of(entry, Node(name="n", life=2)))
        for member in (None, Node(name="n", life=3), Node(name="n", life=2, gone=True)):
            self.assertEqual(endpoints_of(entry, member), ())


class ChangeQueuePasses(unittest.TestCase):
    def setUp(self) -> None:
        self.now, self.pass_duration_s = 50.0, 0.0
        self.loop = mock.Mock()
        self.processed: list[PendingChanges] = []
        with mock.patch("asyncio.get_running_loop", return_value=self.loop):
            self.queue = ChangeQueue(self.process, lambda: self.now)

    def process(self, changes: PendingChanges) -> None:
        self.processed.append(changes)
        self.now += self.pass_duration_s

    def test_changes_that_arrive_together_are_processed_once(self) -> None:
        for name in ("a", "b", "a"):
            self.queue.pending.nodes.add(name)
            self.queue.schedule()
        self.loop.call_soon.assert_called_once()
        self.loop.call_soon.call_args.args[0]()
        self.assertEqual([changes.nodes for changes in self.processed], [{"a", "b"}])
        self.queue.flush()
        self.assertEqual(len(self.processed), 1, "nothing is pending, so there is nothing to do")

    def test_a_failed_pass_loses_no_changes(self) -> None:
        self.queue.pending.nodes.add("a")
        with mock.patch.object(self.queue, "_apply", side_effect=KeyError), self.assertRaises(KeyError):
            self.queue.flush()
        self.queue.pending.routes.add("r")
        self.queue.flush()
        self.assertEqual([(c.nodes, c.routes) for c in self.processed], [({"a"}, {"r"})])

    def test_passes_use_a_bounded_share_of_the_time(self) -> None:
        self.pass_duration_s = 0.05
        self.queue.pending.members = True
        self.queue.flush()
        self.queue.pending.members = True
        self.queue.schedule()
        self.assertAlmostEqual(self.loop.call_later.call_args.args[0], 0.2)
        self.pass_duration_s = 10.0
        self.queue.flush()
        self.queue.pending.members = True
        self.queue.schedule()
        self.assertEqual(self.loop.call_later.call_args.args[0], MAX_PASS_DELAY_S)


if __name__ == "__main__":
    unittest.main()
