"""Settings, the member registry, the log buffer, and the APIs for servers and operators."""

from __future__ import annotations

import asyncio
import io
import json
import tempfile
import unittest
from collections.abc import Coroutine
from contextlib import redirect_stderr
from typing import Any
from unittest import mock

from returns.result import Failure, Success

from leadrudder.bootstrap.log_buffer import CAPACITY_LINES, LogBuffer
from leadrudder.bootstrap.settings import parse_settings
from leadrudder.bootstrap.start import run_program
from leadrudder.configuration.item_store import ItemStore
from leadrudder.consensus.outputs import Answer, ResultCode
from leadrudder.control_plane.operator_api import OperatorApi
from leadrudder.control_plane.orders import OrderExecutor, OrderResult
from leadrudder.data_plane.server_api import Heartbeat, ServerApi
from leadrudder.membership.registry import ORPHAN_GRACE_S, RECONNECT_GRACE_S, MemberRegistry
from leadrudder.observability.metrics import Metrics
from leadrudder.protocol.mesh_pb2 import Item, Node
from leadrudder.transport.api_server import ApiRequest, ApiResponse
from leadrudder.transport.caller import CALLER_TIMEOUT_S, Caller

FILE: dict[str, Any] = {
    "nodeName": "n",
    "zone": "z",
    "ip": "10.1.0.8",
    "sparePorts": [7620, 7635],
    "seedNodes": ["10.1.0.12:8306"],
    "ruleBounds": ["drain=2.5s", "retryRatio=0.2", "later=whatever"],
    "withstand": {"machineLosses": 2},
    "later": {"unknown": 1},
}


def run(work: Coroutine[Any, Any, ApiResponse]) -> ApiResponse:
    return asyncio.run(work)


class SettingsTest(unittest.TestCase):
    def test_unknown_fields_are_ignored(self) -> None:
        settings = parse_settings(FILE)
        assert isinstance(settings, Success)
        found = settings.unwrap()
        self.assertEqual(
            (found.bounds.drain, found.bounds.retry_ratio, found.tolerated_machine_losses), (2500.0, 0.2, 2)
        )
        self.assertEqual(found.seed_link_addresses, ("10.1.0.12:7620",))

    def test_invalid_field_is_named_in_one_line(self) -> None:
        for change, name in (
            ({"ip": None}, "ip"),
            ({"sparePorts": [9]}, "sparePorts"),
            ({"seedNodes": ["here"]}, "seedNodes"),
            ({"beatEvery": "soon"}, "beatEvery"),
            ({"ruleBounds": ["drain=x"]}, "ruleBounds"),
            ({"addresses": {"controlPort": 5}}, "controlPort"),
        ):
            with self.subTest(name):
                failed = parse_settings({**FILE, **change})
                assert isinstance(failed, Failure)
                self.assertIn(name, failed.failure())
                self.assertNotIn("\n", failed.failure())


class StartTest(unittest.TestCase):
    def test_unusable_settings_end_the_program_with_one_line(self) -> None:
        async def serve(settings: object, arguments: object) -> None:
            raise AssertionError("the program must not be started")

        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write("nodeName = 3\n")
            file.flush()
            for path, word in (
                ("", "is not set"),
                (file.name, "nodeName"),
                (file.name + ".none", "No such file"),
            ):
                stderr = io.StringIO()
                environment = {"LEADRUDDER_NODE_FILE": path}
                with self.subTest(word), mock.patch.dict("os.environ", environment), redirect_stderr(stderr):
                    self.assertEqual(run_program("p", "plane", serve, arguments=[]), 2)
                    self.assertIn(word, stderr.getvalue())
                    self.assertEqual(stderr.getvalue().count("\n"), 1)


class MemberRegistryTest(unittest.TestCase):
    def test_swapped_numbers_give_another_digest(self) -> None:
        # Sums of CRCs are equal for these two, so that the difference would never have been sent to a peer.
        digests = set()
        for one, two in ((1, 2), (2, 1)):
            registry = MemberRegistry("a")
            registry.merge([Node(name="s1", life=7, number=one), Node(name="s2", life=7, number=two)])
            digests.add(registry.digest)
        self.assertEqual(len(digests), 2)
        large = MemberRegistry("a")
        large.merge(Node(name=f"side-{i}", life=7, number=1) for i in range(12))
        self.assertNotEqual(large.digest, 0)

    def test_node_that_reconnects_elsewhere_stays_a_member(self) -> None:
        registry = MemberRegistry("a")
        registry.report(Node(name="s", life=1, number=1))
        registry.session_ended("s", 10.0)
        registry.merge([Node(name="s", life=1, number=2, holder="b")])
        self.assertEqual(registry.tick(10.0 + RECONNECT_GRACE_S, True), [])
        self.assertEqual(len(registry.members()), 1)

    def test_node_without_session_is_gone_and_stale_entries_are_ignored(self) -> None:
        registry = MemberRegistry("a")
        registry.report(Node(name="s", life=1, number=1))
        registry.session_ended("s", 10.0)
        self.assertEqual(registry.tick(10.0 + RECONNECT_GRACE_S / 2, True), [])
        (gone,) = registry.tick(10.0 + RECONNECT_GRACE_S, True)
        self.assertTrue(gone.gone)
        self.assertEqual(registry.merge([Node(name="s", life=1, number=1)]), [])
        self.assertEqual(len(registry.merge([Node(name="s", life=2, number=1)])), 1)

    def test_members_of_a_lost_control_plane_node_expire_only_with_a_majority(self) -> None:
        registry = MemberRegistry("a")
        registry.merge([Node(name="s", life=1, number=1, holder="b")])
        registry.peer_link_changed("b", False, 0.0)
        self.assertEqual(registry.tick(ORPHAN_GRACE_S, False), [])
        self.assertEqual([n.name for n in registry.tick(ORPHAN_GRACE_S, True)], ["s"])

    def test_equal_registries_have_equal_digests(self) -> None:
        nodes = [Node(name=f"s{i}", life=i, number=1) for i in range(5)]
        one, other = MemberRegistry("a"), MemberRegistry("b")
        one.merge(nodes)
        other.merge(reversed(nodes))
        other.merge(nodes)
        self.assertEqual(one.digest, other.digest)


class ApiTest(unittest.TestCase):
    def setUp(self) -> None:
        self.item_store = ItemStore()
        self.changes: list[list[Item]] = []
        self.late_changes: list[list[Item]] = []
        self.answers: list[Answer] = []

    async def _change(self, items: list[Item], *, late: bool = False) -> Answer:
        self.late_changes += [items] if late else []
        self.changes.append(items)
        return self.answers.pop(0)

    async def _read(self) -> Answer:
        return Answer(0, ResultCode.DONE, tuple(self.item_store.items.values()))

    def call(self, method: str, *segments: str, body: bytes = b"") -> ApiResponse:
        api = OperatorApi(lambda: self.item_store, self._change, self._read, ("z",), LogBuffer("r"))
        return run(api.dispatch(ApiRequest(method, segments, body)))

    def test_unknown_paths_methods_and_bodies_are_rejected(self) -> None:
        for status, call in (
            (404, ("GET", "nothing")),
            (404, ("GET",)),
            (405, ("PUT", "config")),
            (405, ("GET", "evacuate", "z")),
            (404, ("POST", "evacuate", "elsewhere")),
        ):
            with self.subTest(call):
                self.assertEqual(self.call(*call).status, status)
        self.assertEqual(self.call("PATCH", "config", body=b"{").status, 400)
        self.assertEqual(self.changes, [])

    def test_status_follows_the_result_of_the_change(self) -> None:
        for code, status in ((ResultCode.DONE, 200), (ResultCode.CONFLICT, 409), (ResultCode.BUSY, 503)):
            with self.subTest(code):
                self.answers = [Answer(0, code)]
                self.assertEqual(self.call("PATCH", "config", body=b'{"addOrReplace":{}}').status, status)

    def test_evacuation_takes_the_version_after_the_committed_one(self) -> None:
        committed = Item(key="evacuations/z", version=4, value=b"0")
        self.answers = [Answer(0, ResultCode.CONFLICT, (committed,)), Answer(0, ResultCode.DONE)]
        self.assertEqual(self.call("POST", "evacuate", "z").status, 200)
        self.assertEqual([(i.version, i.value) for (i,) in self.changes], [(1, b"1"), (5, b"1")])

    def test_an_evacuation_in_force_takes_a_version_of_its_own_when_it_is_ordered_again(self) -> None:
        self.item_store.merge([Item(key="evacuations/z", version=4, value=b"1")])
        self.answers = [Answer(0, ResultCode.DONE)]
        self.assertEqual(self.call("POST", "evacuate", "z").status, 200)
        self.assertEqual([(i.version, i.value) for (i,) in self.changes], [(5, b"1")])

    def test_an_order_leaves_its_version_and_its_age_in_the_log_and_the_counters(self) -> None:
        self.answers = [Answer(0, ResultCode.DONE)]
        log_buffer = LogBuffer("r")
        orders = OrderExecutor(lambda: self.item_store, self._change, log_buffer)
        for sent_after in (49.7, 47.5):
            caller = Caller(sent_after, monotonic=lambda: 50.0)
            call = ApiRequest("POST", ("evacuate", "z"), b"", caller)
            asyncio.run(orders.execute(call, "evacuations/z", b"1"))
        self.assertEqual(len(self.changes), 1)
        log = "\n".join(log_buffer.lines())
        self.assertIn("order POST evacuations/z: takes version 1, sent at most 0.300 s ago", log)
        self.assertIn("caller has given up, does not take version 1, sent at most 2.500 s ago", log)
        metrics = Metrics()
        orders.counters.register_metrics(metrics)
        text = metrics.text().decode()
        self.assertIn('orders_total{result="committed"} 1\n', text)
        self.assertIn('orders_total{result="too_late"} 1\n', text)
        self.assertIn("order_age_highest_seconds 2.5\n", text)

    def test_an_order_takes_no_version_once_its_caller_has_given_up_or_left(self) -> None:
        now, connected = 50.0, True
        states_at_conflict = [(50.0 + CALLER_TIMEOUT_S + 0.1, True), (50.1, False)]
        caller = Caller(now, lambda: connected, lambda: now)

        async def change(items: list[Item]) -> Answer:
            nonlocal now, connected
            now, connected = states_at_conflict.pop(0)
            self.changes.append(items)
            return Answer(0, ResultCode.CONFLICT, (Item(key="evacuations/z", version=9, value=b"0"),))

        for what in ("given up", "left"):
            with self.subTest(what):
                now, connected, self.changes = 50.0, True, []
                orders = OrderExecutor(lambda: self.item_store, change, LogBuffer("r"))
                call = ApiRequest("POST", ("evacuate", "z"), b"", caller)
                result = asyncio.run(orders.execute(call, "evacuations/z", b"1"))
                self.assertEqual(result, OrderResult.TOO_LATE)
                self.assertEqual(len(self.changes), 1)

    def test_an_order_that_may_be_late_is_to_be_sent_again_on_a_new_connection(self) -> None:
        api = OperatorApi(lambda: self.item_store, self._change, self._read, ("z",), LogBuffer("r"))
        caller = Caller(0.0, monotonic=lambda: 2.0)
        for call in (("POST", "evacuate", "z"), ("DELETE", "evacuate", "z"), ("POST", "core", "3")):
            with self.subTest(call):
                answer = run(api.dispatch(ApiRequest(call[0], call[1:], b"", caller)))
                self.assertEqual((answer.status, answer.close), (503, True))
        self.assertEqual(self.changes, [])

    def test_config_reads_back_as_it_was_written(self) -> None:
        self.item_store.merge(
            [
                Item(key="routes/r", version=2, value=b'{"host":"h"}'),
                Item(key="routes/gone", version=3, dropped=True),
                Item(key="limits", version=1, value=b'{"idle":"5s"}'),
                Item(key="evacuations/z", version=1, value=b"1"),
            ]
        )
        answer = self.call("GET", "config")
        self.assertEqual(
            json.loads(answer.body),
            {"routes": {"r": {"host": "h"}}, "services": {}, "limits": {"idle": "5s"}},
        )

    def test_heartbeats(self) -> None:
        beats: list[Heartbeat] = []
        left: list[str] = []
        api = ServerApi(beats.append, left.append, lambda: False)
        body = {
            "address": "10.1.0.8:8301",
            "details": {"service": "s", "version": "v1", "zone": "z", "capacity": 9},
            "status": {"state": "draining", "callCount": 4, "coldLeft": "1.5s"},
        }
        put = ApiRequest("PUT", ("servers", "i-1"), json.dumps(body).encode())
        self.assertEqual(run(api.dispatch(put)).status, 200)
        self.assertEqual(beats, [Heartbeat("i-1", "s", "z", 9, True, 4, 1500.0)])
        self.assertEqual(run(api.dispatch(ApiRequest("PUT", ("servers", "i-1"), b"x"))).status, 400)
        self.assertEqual(run(api.dispatch(ApiRequest("PUT", ("servers", "i-1"), b"x" * 5000))).status, 413)
        self.assertEqual(run(api.dispatch(ApiRequest("DELETE", ("servers", "i-1"), b""))).status, 200)
        self.assertEqual(left, ["i-1"])
        self.assertEqual(run(api.dispatch(ApiRequest("GET", ("ready",), b""))).status, 503)

    def test_log_buffer_is_bounded(self) -> None:
        log_buffer = LogBuffer("r", now=lambda: 0.0)
        for i in range(CAPACITY_LINES + 50):
            log_buffer.record(str(i))
        self.assertEqual(len(log_buffer.lines()), CAPACITY_LINES)
        self.assertIn(str(CAPACITY_LINES + 49), log_buffer.lines()[-1])


if __name__ == "__main__":
    unittest.main()
