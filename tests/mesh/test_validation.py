"""Which calls are taken, and what is said of those that are not."""

from __future__ import annotations

import io
import json
import tempfile
import unittest
from contextlib import redirect_stdout
from typing import Any

from returns.result import Failure, Success

from leadrudder.configuration import validation
from leadrudder.configuration.item_store import ItemStore
from leadrudder.configuration.routing_table import RoutingTable
from leadrudder.mesh.__main__ import main
from leadrudder.protocol.mesh_pb2 import Item


def call(**changed: Any) -> dict[str, Any]:
    route = {
        "host": "hulo84.example",
        "pathStart": "/leny950/",
        "kind": "safe",
        "giveUp": "1000ms",
        "target": "250ms",
        "priority": 2,
        "splitTo": [{"service": "a", "share": 90}, {"service": "b", "share": 10}],
        "tries": 2,
        "version": "00000007",
    }
    route.update(changed)
    service = {"healthPath": "/health", "maxConnections": 110, "version": "00000007"}
    return {
        "addOrReplace": {"routes": {"r": route}, "services": {"a": service, "b": service}},
        "remove": {"routes": [{"name": "old", "version": "00000009"}]},
    }


def codes(body: bytes) -> list[str]:
    parsed = validation.parse(body)
    if isinstance(parsed, Failure):
        return [finding.code for finding in parsed.failure()]
    return [finding.code for finding in validation.unknown_services(parsed.unwrap(), ())]


class Check(unittest.TestCase):
    def test_a_proper_call_is_taken(self) -> None:
        parsed = validation.parse(json.dumps(call()).encode())
        assert isinstance(parsed, Success)
        self.assertEqual(
            sorted((c.key, c.version, c.value is None) for c in parsed.unwrap().changes),
            [
                ("routes/old", 9, True),
                ("routes/r", 7, False),
                ("services/a", 7, False),
                ("services/b", 7, False),
            ],
        )

    def test_each_kind_of_invalid_call_is_refused(self) -> None:
        whole = json.dumps(call()).encode()
        weight = [{"service": "a", "share": 0}, {"service": "b", "share": 0}]
        below = [{"service": "a", "share": -1}, {"service": "b", "share": 10}]
        stranger = [{"service": "c", "share": 1}]
        cases = {
            "cut_short": whole[:-20],
            "no_weight": json.dumps(call(splitTo=weight)).encode(),
            "below_zero": json.dumps(call(splitTo=below)).encode(),
            "unknown_service": json.dumps(call(splitTo=stranger)).encode(),
            "bare_prefix": json.dumps(call(pathStart="leny950/")).encode(),
        }
        for code, body in cases.items():
            with self.subTest(code):
                self.assertEqual(codes(body), [code])
        for give_up in ("0ms", "601s", "soon", 5, None):
            with self.subTest(give_up=give_up):
                self.assertTrue(codes(json.dumps(call(giveUp=give_up)).encode()))

    def test_what_is_no_call_is_refused(self) -> None:
        for body in (b"", b"[]", b"{}", b"\xff", b'{"remove": 1}', b'{"a":1,"a":2}', b"[" * 100_000):
            with self.subTest(body=body[:20]):
                self.assertTrue(codes(body))

    def test_one_call_may_drop_and_set_an_item(self) -> None:
        body = call()
        body["remove"]["routes"] = [{"name": "r", "version": "00000005"}]
        parsed = validation.parse(json.dumps(body).encode()).unwrap()
        self.assertEqual(
            [(c.version, c.value is None) for c in parsed.changes if c.key == "routes/r"], [(7, False)]
        )

    def test_the_command_explains(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(call(pathStart="x"), file)
            file.flush()
            printed = io.StringIO()
            with redirect_stdout(printed):
                self.assertEqual(main(["check", file.name]), 1)
        self.assertIn("bare_prefix: routes.r.pathStart: does not begin with a slash", printed.getvalue())


class Find(unittest.TestCase):
    def _timetable(self) -> RoutingTable:
        book = ItemStore()
        for name, start in (("short", "/a/"), ("long", "/a/b/"), ("all", "/")):
            raw = call(pathStart=start)["addOrReplace"]["routes"]["r"]
            book.merge([Item(key=f"routes/{name}", version=1, value=json.dumps(raw).encode())])
        return RoutingTable(book)

    def test_the_longest_prefix_is_taken(self) -> None:
        timetable = self._timetable()
        for path, name in (
            ("/a/b/c", "long"),
            ("/a/bc", "short"),
            ("/a/b", "short"),
            ("/a", "all"),
            ("/", "all"),
        ):
            with self.subTest(path):
                route = timetable.find("HULO84.example:80", path)
                self.assertEqual(route.name if route else None, name)
        self.assertIsNone(timetable.find("other.example", "/a/"))

    def test_items_never_go_back(self) -> None:
        book = ItemStore()
        book.merge([Item(key="limits", version=3, epoch=1, value=b"new")])
        self.assertEqual(book.merge([Item(key="limits", version=2, epoch=9, value=b"old")]), [])
        self.assertEqual(book.merge([Item(key="limits", version=3, epoch=1, value=b"new")]), [])
        self.assertEqual(book.items["limits"].value, b"new")


if __name__ == "__main__":
    unittest.main()
