"""The soak's own parts: its plan, its relay, and what it holds answers against."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from bench.soak.checks import judge_kept, judge_requests
from bench.soak.clients import KeptRequest, read_answer
from bench.soak.faults import CORE_KINDS, SETTLE_S, Kind, overlapping, plan
from bench.soak.operators import Held, Operators, idle_name, route
from bench.soak.relay import Relay
from bench.soak.world import InvariantError
from leadrudder.emulation.standins import SentRequest

CORE, SIDES = ["127.0.1.1", "127.0.1.2", "127.0.1.3"], ["127.0.2.1", "127.0.2.2"]
NAME = idle_name(0)


class ThePlan(unittest.TestCase):
    def test_a_seed_brings_the_same_troubles_again(self) -> None:
        first, again, other = (plan(Random(seed), CORE, SIDES, 30.0) for seed in (1, 1, 2))
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)

    def test_troubles_overlap_and_machines_with_a_disk_come_one_at_a_time(self) -> None:
        kinds = set()
        for seed in range(20):
            troubles = plan(Random(seed), CORE, SIDES, 30.0)
            self.assertGreater(overlapping(troubles), 0.8 * len(troubles))
            core = [trouble for trouble in troubles if trouble.host in CORE]
            for one, two in zip(core, core[1:], strict=False):
                self.assertGreaterEqual(two.at - one.end, SETTLE_S)
            kinds |= {trouble.kind for trouble in troubles}
        self.assertEqual(kinds, set(Kind))
        self.assertNotIn(Kind.LOST_ANSWERS, CORE_KINDS)


class TheRelay(unittest.TestCase):
    def test_a_path_that_is_cut_holds_bytes_up_and_loses_none(self) -> None:
        asyncio.run(self.over_relay(self.cut))

    def test_a_reset_ends_connections(self) -> None:
        asyncio.run(self.over_relay(self.reset))

    async def over_relay(
        self, play: Callable[[Relay, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
    ) -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                writer.write(data)

        relay = Relay()
        await relay.start("127.0.0.1")
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        host, _, relay_port = relay.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(relay_port))
        writer.write(f"127.9.9.9 127.0.0.1 {port}\n".encode())
        self.assertEqual(await reader.readexactly(1), b"+")
        await play(relay, reader, writer)
        writer.transport.abort()
        relay.close()
        server.close()

    async def cut(self, relay: Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        relay.cut.add(("127.0.0.1", "127.9.9.9"))  # the way back
        writer.write(b"hello")
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(5), 0.1)
        relay.cut.clear()
        self.assertEqual(await asyncio.wait_for(reader.readexactly(5), 2.0), b"hello")

    async def reset(self, relay: Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        relay.reset("127.0.0.1")
        with self.assertRaises((ConnectionResetError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(reader.readexactly(1), 2.0)


class WhatIsHeld(unittest.TestCase):
    def setUp(self) -> None:
        self.content = route("h", "/", "kal", once=False, give_up_ms=1000, version=5)
        self.told: dict[str, Any] = {}
        self.world = SimpleNamespace(ask=self.ask)
        self.operators = Operators(cast(Any, self.world), Random(1))
        self.operators.acked[NAME] = Held(5, self.content)

    async def ask(self, *given: Any, **named: Any) -> Any:
        return SimpleNamespace(status=200, body=json.dumps({"routes": self.told}).encode())

    def read(self, **told: Any) -> bool:
        self.told = told
        return asyncio.run(self.operators.read(cast(Any, SimpleNamespace(host="c"))))

    def test_what_was_acknowledged_or_is_newer_is_right(self) -> None:
        self.assertTrue(self.read(**{NAME: self.content}))
        self.assertTrue(self.read(**{NAME: {**self.content, "version": "00000006"}}))

    def test_older_other_or_missing_is_wrong(self) -> None:
        for told in (
            {},
            {NAME: {**self.content, "version": "00000004"}},
            {NAME: {**self.content, "tries": 9}},
        ):
            with self.subTest(told), self.assertRaises(InvariantError):
                self.read(**told)

    def test_missing_is_right_where_a_later_removal_was_sent(self) -> None:
        self.operators.removals[NAME] = 7
        self.assertTrue(self.read())

    def test_a_removed_route_does_not_come_back(self) -> None:
        self.operators.acked[NAME] = Held(6, None)
        self.assertTrue(self.read())
        with self.assertRaises(InvariantError):
            self.read(**{NAME: self.content})


class Requests(unittest.TestCase):
    def judge(self, runs: dict[str, int], *ids: str, served: str = "") -> None:
        judge_requests({"x": 0, **runs}, [SentRequest(0.0, "h", True, list(ids), served)])

    def test_a_booking_runs_once_and_never_after_a_promise(self) -> None:
        self.judge({"a": 0, "b": 1}, "a", "b", served="b")
        for runs, ids, served in (
            ({"a": 2}, ["a"], "a"),
            ({"a": 1, "b": 1}, ["a", "b"], "b"),
            ({"a": 0}, ["a"], "a"),
        ):
            with self.subTest(runs), self.assertRaises(InvariantError):
                self.judge(runs, *ids, served=served)


class Kept(unittest.TestCase):
    def judge(self, ran: int, *ends: float, **told: Any) -> None:
        machine = cast(Any, SimpleNamespace(ends=list(ends)))
        judge_kept({"a": ran}, [(machine, KeptRequest("a", True, 1.0, **told))])

    def test_a_connection_ends_without_its_answer_only_with_its_process(self) -> None:
        self.judge(1, 5.1, cut_at=5.0)
        with self.assertRaises(InvariantError):
            self.judge(1, 9.0, cut_at=5.0)

    def test_a_close_that_crossed_the_request_is_none_of_it_unless_it_ran(self) -> None:
        self.judge(0, cut_at=1.01)
        with self.assertRaises(InvariantError):
            self.judge(1, cut_at=1.01)

    def test_what_is_told_of_a_booking_holds(self) -> None:
        self.judge(1, status=200)
        self.judge(0, status=503)
        for ran, status in ((0, 200), (1, 503), (2, 200)):
            with self.subTest(status), self.assertRaises(InvariantError):
                self.judge(ran, status=status)

    def test_an_answer_is_read_whole_and_its_close_is_seen(self) -> None:
        async def read(text: bytes) -> tuple[int, bool]:
            reader = asyncio.StreamReader()
            reader.feed_data(text)
            reader.feed_eof()
            return await read_answer(reader)

        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
        self.assertEqual(asyncio.run(read(whole)), (200, True))
        with self.assertRaises(asyncio.IncompleteReadError):
            asyncio.run(read(whole[:-1]))


if __name__ == "__main__":
    unittest.main()
