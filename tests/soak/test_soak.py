"""The parts of the soak: its fault plan, its relay and its invariant checks."""

from __future__ import annotations

import asyncio
import json
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from bench.bulk import BulkAnswer, BulkRequest
from bench.soak.bulk import SentBulk, check_bulk
from bench.soak.checks import check_keep_alive_requests, check_requests
from bench.soak.clients import ObservedRequest, read_response
from bench.soak.faults import CONTROL_FAULT_KINDS, RECOVERY_GAP_S, FaultKind, count_overlapping, plan_faults
from bench.soak.machine import InvariantError
from bench.soak.memory import MemoryWatch
from bench.soak.operators import AcknowledgedRoute, Operators, idle_route_name, route_record
from bench.soak.process import EARLY_SIGNALS_HANDLED_LINE
from bench.soak.relay import Relay
from bench.soak.world import World
from leadrudder.emulation.standins import SentRequest

CONTROL_HOSTS, NODE_HOSTS = ["127.0.1.1", "127.0.1.2", "127.0.1.3"], ["127.0.2.1", "127.0.2.2"]
ROUTE_NAME = idle_route_name(0)


class FaultPlanTest(unittest.TestCase):
    def test_a_seed_gives_the_same_faults_again(self) -> None:
        first, again, other = (
            plan_faults(Random(seed), CONTROL_HOSTS, NODE_HOSTS, 30.0) for seed in (1, 1, 2)
        )
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)

    def test_faults_overlap_and_control_machines_fail_one_at_a_time(self) -> None:
        kinds = set()
        for seed in range(20):
            faults = plan_faults(Random(seed), CONTROL_HOSTS, NODE_HOSTS, 30.0)
            self.assertGreater(count_overlapping(faults), 0.8 * len(faults))
            core = [fault for fault in faults if fault.host in CONTROL_HOSTS]
            for one, two in zip(core, core[1:], strict=False):
                self.assertGreaterEqual(two.start_s - one.end_s, RECOVERY_GAP_S)
            kinds |= {fault.kind for fault in faults}
        self.assertEqual(kinds, set(FaultKind))
        self.assertNotIn(FaultKind.DROPPED_RESPONSES, CONTROL_FAULT_KINDS)


class StartTest(unittest.TestCase):
    def test_a_process_starts_until_its_own_log_says_that_it_handles_signals(self) -> None:
        async def check(folder: Path) -> None:
            world = World(1, folder)
            machine = world.node_machines[0]
            log_path = folder / f"{machine.host}.log"
            log_path.write_bytes(EARLY_SIGNALS_HANDLED_LINE)
            machine.log_offset = log_path.stat().st_size
            self.assertTrue(world._starting(machine))
            log_path.write_bytes(EARLY_SIGNALS_HANDLED_LINE + b"stopped\n" + EARLY_SIGNALS_HANDLED_LINE)
            self.assertFalse(world._starting(machine))

        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(check(Path(folder)))


class BulkTest(unittest.TestCase):
    def test_damaged_bodies_and_broken_promises_are_found(self) -> None:
        request = BulkRequest("u-1", 10, 20)
        for runs, damaged, answer, broken in (
            ({"u-1": 1}, set(), BulkAnswer(200, 20, True), ""),
            ({}, set(), BulkAnswer(503), ""),
            ({"u-1": 1}, set(), BulkAnswer(0), ""),
            ({"u-1": 1}, {"u-1"}, BulkAnswer(200, 20, True), "UNASKED"),
            ({"u-1": 1}, set(), BulkAnswer(200, 20, False), "MIXED"),
            ({"u-1": 1}, set(), BulkAnswer(200, 19, True), "MIXED"),
            ({"u-1": 2}, set(), BulkAnswer(0), "ran 2 times"),
            ({"u-1": 1}, set(), BulkAnswer(503), "did not"),
            ({}, set(), BulkAnswer(200, 20, True), "no server ran it"),
        ):
            with self.subTest(runs=runs, damaged=damaged, answer=answer):
                try:
                    check_bulk(runs, damaged, [SentBulk(request, answer)])
                    found = ""
                except InvariantError as error:
                    found = str(error)
                self.assertEqual((bool(found), broken in found), (bool(broken), True))

    def test_a_process_above_its_limit_is_found(self) -> None:
        machine = SimpleNamespace(role="station", host="h", process=SimpleNamespace(pid=1, returncode=None))
        watch = MemoryWatch(cast(Any, SimpleNamespace(machines=[machine])))
        for peak_mb, is_exceeded in ((286, False), (287, True)):
            with mock.patch("bench.soak.memory.peak_memory_mb", return_value=peak_mb):
                watch.sample()
            self.assertEqual(bool(watch.exceeded), is_exceeded)


class RelayTest(unittest.TestCase):
    def test_a_blocked_direction_delays_bytes_and_loses_none(self) -> None:
        asyncio.run(self.run_over_relay(self.check_blocked_direction))

    def test_a_reset_closes_connections(self) -> None:
        asyncio.run(self.run_over_relay(self.check_reset))

    async def run_over_relay(
        self, check: Callable[[Relay, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
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
        await check(relay, reader, writer)
        writer.transport.abort()
        relay.close()
        server.close()

    async def check_blocked_direction(
        self, relay: Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        relay.blocked.add(("127.0.0.1", "127.9.9.9"))  # from the server to the client
        writer.write(b"hello")
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(5), 0.1)
        relay.blocked.clear()
        self.assertEqual(await asyncio.wait_for(reader.readexactly(5), 2.0), b"hello")

    async def check_reset(
        self, relay: Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        relay.reset("127.0.0.1")
        with self.assertRaises((ConnectionResetError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(reader.readexactly(1), 2.0)


class ReadBackTest(unittest.TestCase):
    def setUp(self) -> None:
        self.content = route_record("h", "/", "kal", once=False, give_up_ms=1000, version=5)
        self.found: dict[str, Any] = {}
        self.world = SimpleNamespace(call_control_api=self.call_control_api)
        self.operators = Operators(cast(Any, self.world), Random(1))
        self.operators.acknowledged[ROUTE_NAME] = AcknowledgedRoute(5, self.content)

    async def call_control_api(self, *args: Any, **kwargs: Any) -> Any:
        return SimpleNamespace(status=200, body=json.dumps({"routes": self.found}).encode())

    def read(self, **found: Any) -> bool:
        self.found = found
        return asyncio.run(self.operators.read_and_check(cast(Any, SimpleNamespace(host="c"))))

    def test_the_acknowledged_version_or_a_newer_one_is_accepted(self) -> None:
        self.assertTrue(self.read(**{ROUTE_NAME: self.content}))
        self.assertTrue(self.read(**{ROUTE_NAME: {**self.content, "version": "00000006"}}))

    def test_an_older_altered_or_missing_route_is_rejected(self) -> None:
        for found in (
            {},
            {ROUTE_NAME: {**self.content, "version": "00000004"}},
            {ROUTE_NAME: {**self.content, "tries": 9}},
        ):
            with self.subTest(found), self.assertRaises(InvariantError):
                self.read(**found)

    def test_a_missing_route_is_accepted_if_a_later_removal_was_sent(self) -> None:
        self.operators.sent_removals[ROUTE_NAME] = 7
        self.assertTrue(self.read())

    def test_a_removed_route_must_not_come_back(self) -> None:
        self.operators.acknowledged[ROUTE_NAME] = AcknowledgedRoute(6, None)
        self.assertTrue(self.read())
        with self.assertRaises(InvariantError):
            self.read(**{ROUTE_NAME: self.content})


class RequestInvariantsTest(unittest.TestCase):
    def check_invariants(self, runs: dict[str, int], *ids: str, served: str = "") -> None:
        check_requests({"x": 0, **runs}, [SentRequest(0.0, "h", True, list(ids), served)])

    def test_a_booking_runs_once_and_never_after_a_not_run_response(self) -> None:
        self.check_invariants({"a": 0, "b": 1}, "a", "b", served="b")
        for runs, ids, served in (
            ({"a": 2}, ["a"], "a"),
            ({"a": 1, "b": 1}, ["a", "b"], "b"),
            ({"a": 0}, ["a"], "a"),
        ):
            with self.subTest(runs), self.assertRaises(InvariantError):
                self.check_invariants(runs, *ids, served=served)


class KeepAliveInvariantsTest(unittest.TestCase):
    def check_invariants(self, run_count: int, *exit_times: float, **found: Any) -> None:
        machine = cast(Any, SimpleNamespace(exit_times=list(exit_times)))
        check_keep_alive_requests({"a": run_count}, [(machine, ObservedRequest("a", True, 1.0, **found))])

    def test_a_connection_closes_without_a_response_only_with_its_process(self) -> None:
        self.check_invariants(1, 5.1, lost_at=5.0)
        with self.assertRaises(InvariantError):
            self.check_invariants(1, 9.0, lost_at=5.0)

    def test_a_close_right_after_the_request_is_no_excuse(self) -> None:
        for run_count in (0, 1):
            with self.subTest(run_count), self.assertRaises(InvariantError):
                self.check_invariants(run_count, lost_at=1.01)

    def test_a_response_to_a_booking_agrees_with_its_runs(self) -> None:
        self.check_invariants(1, status=200)
        self.check_invariants(0, status=503)
        for run_count, status in ((0, 200), (1, 503), (2, 200)):
            with self.subTest(status), self.assertRaises(InvariantError):
                self.check_invariants(run_count, status=status)

    def test_a_response_is_read_whole_and_its_close_is_noticed(self) -> None:
        async def read(text: bytes) -> tuple[int, bool]:
            reader = asyncio.StreamReader()
            reader.feed_data(text)
            reader.feed_eof()
            return await read_response(reader)

        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
        self.assertEqual(asyncio.run(read(whole)), (200, True))
        with self.assertRaises(asyncio.IncompleteReadError):
            asyncio.run(read(whole[:-1]))


if __name__ == "__main__":
    unittest.main()
