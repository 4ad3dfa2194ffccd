"""The routing table and the book's indexes, kept by change: the same as if they were made anew each time."""

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
from leadrudder.data_plane.change_queue import DELAY_MOST_S, ChangeQueue, PendingChanges
from leadrudder.data_plane.endpoints import EndpointTable, endpoints_of
from leadrudder.protocol.mesh_pb2 import Item, Node, Server

HOSTS = ("a.example", "b.example")
STARTS = ("/", "/x/", "/x/y/", "/x/op")
PATHS = ("/", "/x/1", "/x/y/2", "/x/open", "/z")


def route(host: str, start: str, service: str) -> dict[str, Any]:
    kept = {"host": host, "pathStart": start, "kind": "safe", "giveUp": "1s", "service": service}
    return {**kept, "version": "01"}


def drawn(rng: Random, version: int) -> Item:
    """A change of one of few routes, so that they meet at one place, move, are dropped and come back."""
    key = f"{ROUTE_PREFIX}r{rng.randrange(6)}"
    if rng.random() < 0.25:
        return Item(key=key, version=version, dropped=True)
    if rng.random() < 0.05:
        return Item(key=key, version=version, value=b"{}")  # a later release's: cannot be read
    value = route(rng.choice(HOSTS), rng.choice(STARTS), f"s{rng.randrange(3)}")
    return Item(key=key, version=version, value=json.dumps(value).encode())


class KeptByChange(unittest.TestCase):
    def test_any_course_of_changes_gives_the_table_of_the_whole_book(self) -> None:
        for seed in range(30):
            rng, book, table = Random(seed), ItemStore(), RoutingTable()
            for version in range(1, 60):
                changes = [drawn(rng, version) for _ in range(rng.randint(1, 3))]
                table.apply(book.merge(changes))
                anew = RoutingTable(book)
                self.assertEqual(table.routes, anew.routes)
                self.assertEqual(table.called_services(), anew.called_services())
                for host in HOSTS:
                    for path in PATHS:
                        self.assertEqual(table.find(host, path), anew.find(host, path), (seed, version, path))

    def test_one_change_among_many_routes_is_one_read(self) -> None:
        for count in (10, 1000):
            book = ItemStore()
            for i in range(count):
                value = json.dumps(route(f"h{i}.example", "/", "s")).encode()
                book.merge([Item(key=f"{ROUTE_PREFIX}r{i}", version=1, value=value)])
            table = RoutingTable(book)
            value = json.dumps(route("h0.example", "/new/", "s")).encode()
            with mock.patch.object(items, "read_route", wraps=items.read_route) as read:
                table.apply(book.merge([Item(key=f"{ROUTE_PREFIX}r0", version=2, value=value)]))
            self.assertEqual(read.call_count, 1)

    def test_the_books_indexes_tell_what_a_look_through_all_items_tells(self) -> None:
        rng, book = Random(5), ItemStore()
        for version in range(1, 300):
            book.merge([drawn(rng, version)])
            standing = {k[len(ROUTE_PREFIX) :]: i for k, i in sorted(book.items.items()) if not i.dropped}
            self.assertEqual(list(book.live_items(ROUTE_PREFIX).items()), list(standing.items()))
        for at in range(KEY_RANGES):
            wanted = [item for key, item in book.items.items() if range_of(key) == at]
            self.assertEqual(book.items_in_ranges([at]), wanted)


class Endpoints(unittest.TestCase):
    def entry(self, name: str, *servers: str, life: int = 1, service: str = "s") -> Node:
        listed = [Server(id=server, service=service, zone="z") for server in servers]
        return Node(name=name, life=life, address=f"{name}:1", servers=listed)

    def test_one_stations_news_touches_its_services(self) -> None:
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

    def test_a_server_that_another_station_has_meanwhile_stays(self) -> None:
        table, member = EndpointTable(), Node(name="n", life=1)
        table.replace("n", endpoints_of(self.entry("n", "a"), member))
        table.replace("m", endpoints_of(self.entry("m", "a"), Node(name="m", life=1)))
        table.replace("n", ())
        found = table.server("a")
        self.assertEqual(found.station if found else None, "m")
        self.assertEqual([each.station for each in table.of_service("s")], ["m"])

    def test_only_members_of_that_life_or_an_earlier_one_count(self) -> None:
        entry = self.entry("n", "a", life=2)
        self.assertTrue(endpoints_of(entry, Node(name="n", life=2)))
        for member in (None, Node(name="n", life=3), Node(name="n", life=2, gone=True)):
            self.assertEqual(endpoints_of(entry, member), ())


class Merging(unittest.TestCase):
    def setUp(self) -> None:
        self.now, self.cost = 50.0, 0.0
        self.loop = mock.Mock()
        self.done: list[PendingChanges] = []
        with mock.patch("asyncio.get_running_loop", return_value=self.loop):
            self.queue = ChangeQueue(self.carry_out, lambda: self.now)

    def carry_out(self, changes: PendingChanges) -> None:
        self.done.append(changes)
        self.now += self.cost

    def test_what_comes_in_together_is_carried_out_once(self) -> None:
        for name in ("a", "b", "a"):
            self.queue.pending.stations.add(name)
            self.queue.schedule()
        self.loop.call_soon.assert_called_once()
        self.loop.call_soon.call_args.args[0]()
        self.assertEqual([changes.stations for changes in self.done], [{"a", "b"}])
        self.queue.flush()
        self.assertEqual(len(self.done), 1, "nothing is pending, so there is nothing to do")

    def test_a_pass_that_fails_loses_nothing(self) -> None:
        self.queue.pending.stations.add("a")
        with mock.patch.object(self.queue, "_carry_out", side_effect=KeyError), self.assertRaises(KeyError):
            self.queue.flush()
        self.queue.pending.routes.add("r")
        self.queue.flush()
        self.assertEqual([(c.stations, c.routes) for c in self.done], [({"a"}, {"r"})])

    def test_passes_take_a_bounded_share_of_the_time(self) -> None:
        self.cost = 0.05
        self.queue.pending.members = True
        self.queue.flush()
        self.queue.pending.members = True
        self.queue.schedule()
        self.assertAlmostEqual(self.loop.call_later.call_args.args[0], 0.2)
        self.cost = 10.0
        self.queue.flush()
        self.queue.pending.members = True
        self.queue.schedule()
        self.assertEqual(self.loop.call_later.call_args.args[0], DELAY_MOST_S)


if __name__ == "__main__":
    unittest.main()
