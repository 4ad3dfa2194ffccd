"""Validation of change requests: which are accepted, and the findings for the others; finding routes."""

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


def change_request(**changed: Any) -> dict[str, Any]:
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


def finding_codes(body: bytes) -> list[str]:
    parsed = validation.parse(body)
    if isinstance(parsed, Failure):
        return [finding.code for finding in parsed.failure()]
    return [finding.code for finding in validation.unknown_services(parsed.unwrap(), ())]


class Validation(unittest.TestCase):
    def test_a_valid_request_is_accepted(self) -> None:
        parsed = validation.parse(json.dumps(change_request()).encode())
        assert isinstance(parsed, Success)
        self.assertEqual(
            sorted((change.key, change.version, change.value is None) for change in parsed.unwrap().changes),
            [
                ("routes/old", 9, True),
                ("routes/r", 7, False),
                ("services/a", 7, False),
                ("services/b", 7, False),
            ],
        )

    def test_each_kind_of_invalid_request_is_rejected(self) -> None:
        valid_body = json.dumps(change_request()).encode()
        zero_weights = [{"service": "a", "share": 0}, {"service": "b", "share": 0}]
        negative_share = [{"service": "a", "share": -1}, {"service": "b", "share": 10}]
        unknown_service = [{"service": "c", "share": 1}]
        cases = {
            "cut_short": valid_body[:-20],
            "no_weight": json.dumps(change_request(splitTo=zero_weights)).encode(),
            "below_zero": json.dumps(change_request(splitTo=negative_share)).encode(),
            "unknown_service": json.dumps(change_request(splitTo=unknown_service)).encode(),
            "bare_prefix": json.dumps(change_request(pathStart="leny950/")).encode(),
        }
        for code, body in cases.items():
            with self.subTest(code):
                self.assertEqual(finding_codes(body), [code])
        for give_up in ("0ms", "601s", "soon", 5, None):
            with self.subTest(give_up=give_up):
                self.assertTrue(finding_codes(json.dumps(change_request(giveUp=give_up)).encode()))

    def test_malformed_bodies_are_rejected(self) -> None:
        for body in (b"", b"[]", b"{}", b"\xff", b'{"remove": 1}', b'{"a":1,"a":2}', b"[" * 100_000):
            with self.subTest(body=body[:20]):
                self.assertTrue(finding_codes(body))

    def test_a_request_may_remove_and_set_the_same_item(self) -> None:
        body = change_request()
        body["remove"]["routes"] = [{"name": "r", "version": "00000005"}]
        parsed = validation.parse(json.dumps(body).encode()).unwrap()
        self.assertEqual(
            [(change.version, change.value is None) for change in parsed.changes if change.key == "routes/r"],
            [(7, False)],
        )

    def test_the_command_prints_the_findings(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(change_request(pathStart="x"), file)
            file.flush()
            printed = io.StringIO()
            with redirect_stdout(printed):
                self.assertEqual(main(["check", file.name]), 1)
        self.assertIn("bare_prefix: routes.r.pathStart: does not begin with a slash", printed.getvalue())


class FindRoute(unittest.TestCase):
    def _table(self) -> RoutingTable:
        item_store = ItemStore()
        for name, start in (("short", "/a/"), ("long", "/a/b/"), ("all", "/")):
            raw = change_request(pathStart=start)["addOrReplace"]["routes"]["r"]
            item_store.merge([Item(key=f"routes/{name}", version=1, value=json.dumps(raw).encode())])
        return RoutingTable(item_store)

    def test_the_longest_prefix_wins(self) -> None:
        table = self._table()
        for path, name in (
            ("/a/b/c", "long"),
            ("/a/bc", "short"),
            ("/a/b", "short"),
            ("/a", "all"),
            ("/", "all"),
        ):
            with self.subTest(path):
                route = table.find("HULO84.example:80", path)
                self.assertEqual(route.name if route else None, name)
        self.assertIsNone(table.find("other.example", "/a/"))

    def test_older_versions_are_ignored(self) -> None:
        item_store = ItemStore()
        item_store.merge([Item(key="limits", version=3, epoch=1, value=b"new")])
        self.assertEqual(item_store.merge([Item(key="limits", version=2, epoch=9, value=b"old")]), [])
        self.assertEqual(item_store.merge([Item(key="limits", version=3, epoch=1, value=b"new")]), [])
        self.assertEqual(item_store.items["limits"].value, b"new")


if __name__ == "__main__":
    unittest.main()
