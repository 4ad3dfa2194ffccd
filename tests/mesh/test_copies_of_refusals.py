"""A copy of a refusal is not taken for the answer to the same request, sent again.

Guards against REFUSED and TWICE of issue 76: a copy bears the id of the refused request, also while that
request is at work on the same connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from collections import Counter
from unittest import mock

from bench.soak.checks import check_requests
from bench.window import route
from leadrudder.data_plane import server_connections
from leadrudder.data_plane.server_connections import LocalServer, ServerRequest
from leadrudder.emulation.fleet import Fleet, FleetPlan
from leadrudder.emulation.standins import RefusalTrouble, RequestKind
from leadrudder.interface import Outcome
from leadrudder.node.servers import QUIET_BEFORE_REUSE_S
from leadrudder.transport.http import BufferedHttpMessage

PLAN = FleetPlan(
    {"kal": 1, "var": 2},
    (
        RequestKind("luku.example", once=False, per_s=10.0, deadline_s=1.5),
        RequestKind("varaus.example", once=True, per_s=10.0, deadline_s=1.5),
    ),
    {
        "luku": route("luku.example", "kal", once=False),
        "varaus": route("varaus.example", "var", once=True),
    },
    traffic_period_s=(6.0, 20.0),
)
TROUBLE = RefusalTrouble(refused_fraction=0.35, copied_fraction=0.7)


class CopiesOfRefusals(unittest.TestCase):
    def test_no_refused_booking_runs_and_none_runs_twice(self) -> None:
        for seed in (1, 2, 3):
            with self.subTest(seed):
                fleet = Fleet(seed, PLAN)
                servers = [machine.server for machine in fleet.node_machines if machine.server]
                for server in servers:
                    server.refusal_trouble = TROUBLE
                fleet.run_until(24.0)
                self.assertGreater(sum(server.refusal_copies for server in servers), 50)
                check_requests(fleet.runs_by_attempt(), fleet.sent_requests())


class SentIds(unittest.IsolatedAsyncioTestCase):
    """Which connection carries which attempt id; the server records the ids of each of its connections."""

    async def asyncSetUp(self) -> None:
        self.ids_by_connection: list[list[bytes]] = []
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.listener.sockets[0].getsockname()

    async def asyncTearDown(self) -> None:
        self.server.close()
        self.listener.close()
        await asyncio.sleep(0.02)  # for the connections to end

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ids: list[bytes] = []
        self.ids_by_connection.append(ids)
        answer = b"HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                ids.append(head.partition(b"Attempt-Id: ")[2].partition(b"\r\n")[0])
                writer.write(answer % ids[-1])
        writer.close()

    def _connect(self, max_connections: int) -> None:
        self.server = LocalServer(self.address, max_connections)
        self.server.set_instance("i-1")

    async def _send(self, attempt_id: bytes) -> Outcome:
        ended: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()

        def on_ended(outcome: Outcome, message: BufferedHttpMessage | None) -> None:
            ended.set_result(outcome)

        head = b"GET / HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n" % attempt_id
        self.server.run("i-1", ServerRequest(attempt_id, head, b""), 2.0, on_ended)
        outcome = await ended
        await asyncio.sleep(2 * QUIET_BEFORE_REUSE_S)
        return outcome

    async def test_no_connection_carries_an_id_twice(self) -> None:
        self._connect(max_connections=8)
        for attempt_id in (b"a", b"b", b"a", b"c", b"b", b"a"):
            await self._send(attempt_id)
        for ids in self.ids_by_connection:
            self.assertEqual(max(Counter(ids).values()), 1, self.ids_by_connection)
        self.assertEqual(len(self.ids_by_connection), 3)
        self.assertEqual(self.server.answer_counts.ambiguous, 0)

    async def test_a_full_pool_replaces_a_connection_that_has_carried_the_id(self) -> None:
        self._connect(max_connections=1)
        for _ in range(3):
            self.assertEqual(await self._send(b"a"), Outcome.ERROR)
        self.assertEqual(self.ids_by_connection, [[b"a"], [b"a"], [b"a"]])
        self.assertLessEqual(self.server.open_connection_count(), 1)

    async def test_a_connection_remembers_a_bounded_number_of_ids(self) -> None:
        self._connect(max_connections=8)
        with mock.patch.object(server_connections, "MAX_REQUESTS_PER_CONNECTION", 3):
            for number in range(7):
                await self._send(b"%d" % number)
        self.assertEqual([len(ids) for ids in self.ids_by_connection], [3, 3, 1])


if __name__ == "__main__":
    unittest.main()
