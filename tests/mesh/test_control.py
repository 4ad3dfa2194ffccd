"""Settings, the register, the ring, and what servers and operators call."""

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
from leadrudder.consensus.outputs import Answer, Code
from leadrudder.control_plane.operator_api import Operator
from leadrudder.data_plane.server_api import Beat, Beats
from leadrudder.membership.registry import MOVE_S, ORPHAN_S, Register
from leadrudder.protocol.mesh_pb2 import Item, Node
from leadrudder.transport.http import Call, Told

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


def told(work: Coroutine[Any, Any, Told]) -> Told:
    return asyncio.run(work)


class Settings(unittest.TestCase):
    def test_unknown_fields_are_skipped(self) -> None:
        settings = parse_settings(FILE)
        assert isinstance(settings, Success)
        found = settings.unwrap()
        self.assertEqual(
            (found.bounds.drain, found.bounds.retry_ratio, found.tolerated_machine_losses), (2500.0, 0.2, 2)
        )
        self.assertEqual(found.seed_link_addresses, ("10.1.0.12:7620",))

    def test_a_wrong_field_is_named_in_one_line(self) -> None:
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


class Start(unittest.TestCase):
    def test_settings_that_cannot_be_used_end_the_program_with_one_line(self) -> None:
        async def serve(settings: object, told: object) -> None:
            raise AssertionError("it must not be started")

        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write("nodeName = 3\n")
            file.flush()
            for path, word in (
                ("", "is not set"),
                (file.name, "nodeName"),
                (file.name + ".none", "No such file"),
            ):
                told = io.StringIO()
                environment = {"LEADRUDDER_NODE_FILE": path}
                with self.subTest(word), mock.patch.dict("os.environ", environment), redirect_stderr(told):
                    self.assertEqual(run_program("p", "plane", serve, arguments=[]), 2)
                    self.assertIn(word, told.getvalue())
                    self.assertEqual(told.getvalue().count("\n"), 1)


class TheRegister(unittest.TestCase):
    def test_members_with_each_others_numbers_have_another_digest(self) -> None:
        # Sums of a CRC are alike for these two, so nobody would have told the other.
        digests = set()
        for one, two in ((1, 2), (2, 1)):
            register = Register("a")
            register.take([Node(name="s1", life=7, number=one), Node(name="s2", life=7, number=two)])
            digests.add(register.digest)
        self.assertEqual(len(digests), 2)
        many = Register("a")
        many.take(Node(name=f"side-{i}", life=7, number=1) for i in range(12))
        self.assertNotEqual(many.digest, 0)

    def test_a_station_that_finds_another_signalbox_stays_a_member(self) -> None:
        register = Register("a")
        register.hello(Node(name="s", life=1, number=1))
        register.ended("s", 10.0)
        register.take([Node(name="s", life=1, number=2, holder="b")])
        self.assertEqual(register.tick(10.0 + MOVE_S, True), [])
        self.assertEqual(len(register.members()), 1)

    def test_one_whose_session_ended_is_told_as_gone_and_its_old_news_changes_nothing(self) -> None:
        register = Register("a")
        register.hello(Node(name="s", life=1, number=1))
        register.ended("s", 10.0)
        self.assertEqual(register.tick(10.0 + MOVE_S / 2, True), [])
        (gone,) = register.tick(10.0 + MOVE_S, True)
        self.assertTrue(gone.gone)
        self.assertEqual(register.take([Node(name="s", life=1, number=1)]), [])
        self.assertEqual(len(register.take([Node(name="s", life=2, number=1)])), 1)

    def test_members_of_a_lost_signalbox_go_only_with_a_majority(self) -> None:
        register = Register("a")
        register.take([Node(name="s", life=1, number=1, holder="b")])
        register.signalbox("b", False, 0.0)
        self.assertEqual(register.tick(ORPHAN_S, False), [])
        self.assertEqual([n.name for n in register.tick(ORPHAN_S, True)], ["s"])

    def test_equal_registers_have_equal_digests(self) -> None:
        nodes = [Node(name=f"s{i}", life=i, number=1) for i in range(5)]
        one, other = Register("a"), Register("b")
        one.take(nodes)
        other.take(reversed(nodes))
        other.take(nodes)
        self.assertEqual(one.digest, other.digest)


class Calls(unittest.TestCase):
    def setUp(self) -> None:
        self.book = ItemStore()
        self.changes: list[list[Item]] = []
        self.answers: list[Answer] = []

    async def _change(self, items: list[Item]) -> Answer:
        self.changes.append(items)
        return self.answers.pop(0)

    async def _read(self) -> Answer:
        return Answer(0, Code.DONE, tuple(self.book.items.values()))

    def call(self, method: str, *segments: str, body: bytes = b"") -> Told:
        operator = Operator(lambda: self.book, self._change, self._read, ("z",), LogBuffer("r"))
        return told(operator.dispatch(Call(method, segments, body)))

    def test_what_is_no_call_gets_a_clear_answer(self) -> None:
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

    def test_answers_follow_what_became_of_the_change(self) -> None:
        for code, status in ((Code.DONE, 200), (Code.CONFLICT, 409), (Code.BUSY, 503)):
            with self.subTest(code):
                self.answers = [Answer(0, code)]
                self.assertEqual(self.call("PATCH", "config", body=b'{"addOrReplace":{}}').status, status)

    def test_an_evacuation_counts_on_from_what_stands(self) -> None:
        standing = Item(key="evacuations/z", version=4, value=b"0")
        self.answers = [Answer(0, Code.CONFLICT, (standing,)), Answer(0, Code.DONE)]
        self.assertEqual(self.call("POST", "evacuate", "z").status, 200)
        self.assertEqual([(i.version, i.value) for (i,) in self.changes], [(1, b"1"), (5, b"1")])

    def test_what_is_read_back_is_what_was_sent(self) -> None:
        self.book.merge(
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

    def test_beats(self) -> None:
        beats: list[Beat] = []
        left: list[str] = []
        server = Beats(beats.append, left.append, lambda: False)
        body = {
            "address": "10.1.0.8:8301",
            "details": {"service": "s", "version": "v1", "zone": "z", "capacity": 9},
            "status": {"state": "draining", "callCount": 4, "coldLeft": "1.5s"},
        }
        put = Call("PUT", ("servers", "i-1"), json.dumps(body).encode())
        self.assertEqual(told(server.dispatch(put)).status, 200)
        self.assertEqual(beats, [Beat("i-1", "s", "z", 9, True, 4, 1500.0)])
        self.assertEqual(told(server.dispatch(Call("PUT", ("servers", "i-1"), b"x"))).status, 400)
        self.assertEqual(told(server.dispatch(Call("PUT", ("servers", "i-1"), b"x" * 5000))).status, 413)
        self.assertEqual(told(server.dispatch(Call("DELETE", ("servers", "i-1"), b""))).status, 200)
        self.assertEqual(left, ["i-1"])
        self.assertEqual(told(server.dispatch(Call("GET", ("ready",), b""))).status, 503)

    def test_the_ring_is_bounded(self) -> None:
        ring = LogBuffer("r", now=lambda: 0.0)
        for i in range(CAPACITY_LINES + 50):
            ring.record(str(i))
        self.assertEqual(len(ring.lines()), CAPACITY_LINES)
        self.assertIn(str(CAPACITY_LINES + 49), ring.lines()[-1])


if __name__ == "__main__":
    unittest.main()
