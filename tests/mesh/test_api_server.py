"""API connections: how late a request may be, and whether its caller still waits."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from leadrudder.observability.loop_lag import CHECK_INTERVAL_S, LoopLag
from leadrudder.transport.api_server import ApiConnection, ApiRequest, ApiResponse, ApiServer

ORDER = b"POST /evacuate/z HTTP/1.1\r\nContent-Length: 0\r\n\r\n"


class SentAfterTest(unittest.TestCase):
    """earliest_arrival is a check of the event loop that lies CHECK_INTERVAL_S back."""

    def setUp(self) -> None:
        self.now = 100.0
        self.stalled_s = 0.0
        self.calls: list[ApiRequest] = []
        self.answers = asyncio.Event()
        self.answers.set()

    async def dispatch(self, call: ApiRequest) -> ApiResponse:
        self.calls.append(call)
        await self.answers.wait()
        return ApiResponse(200)

    def connection(self) -> ApiConnection:
        server = ApiServer(
            self.dispatch,
            lambda error: None,
            lambda: self.now,
            lambda: self.now - CHECK_INTERVAL_S - self.stalled_s,
        )
        connection = ApiConnection(server)
        connection.connection_made(mock.Mock(**{"is_closing.return_value": False}))
        return connection

    async def receive(self, connection: ApiConnection, data: bytes = ORDER) -> None:
        connection.data_received(data)
        for _ in range(5):
            await asyncio.sleep(0)

    def test_a_request_was_sent_after_its_connection_opened(self) -> None:
        async def check() -> None:
            connection = self.connection()
            self.now += 3.0
            await self.receive(connection)

        asyncio.run(check())
        self.assertEqual([call.caller.sent_after for call in self.calls], [100.0 - CHECK_INTERVAL_S])

    def test_a_further_request_was_sent_after_the_last_response(self) -> None:
        async def check() -> None:
            connection = self.connection()
            await self.receive(connection)
            self.now += 4.0
            await self.receive(connection)
            self.now += 0.01
            await self.receive(connection)

        asyncio.run(check())
        self.assertEqual(
            [call.caller.sent_after for call in self.calls],
            [100.0 - CHECK_INTERVAL_S, 100.0, 104.01 - CHECK_INTERVAL_S],
        )

    def test_a_pipelined_request_may_have_been_sent_before_the_last_response(self) -> None:
        async def check() -> None:
            connection = self.connection()
            self.answers.clear()
            await self.receive(connection, ORDER + ORDER)
            self.now += 0.9
            self.answers.set()
            await self.receive(connection, b"")

        asyncio.run(check())
        self.assertEqual([call.caller.sent_after for call in self.calls], [100.0 - CHECK_INTERVAL_S] * 2)

    def test_a_request_that_a_stalled_process_reads_may_be_as_old_as_the_stall(self) -> None:
        async def check() -> None:
            self.stalled_s = 5.0
            connection = self.connection()
            self.stalled_s = 0.0
            await self.receive(connection)

        asyncio.run(check())
        self.assertEqual([call.caller.sent_after for call in self.calls], [95.0 - CHECK_INTERVAL_S])

    def test_a_caller_that_closed_its_connection_is_not_connected(self) -> None:
        async def check() -> None:
            connection = self.connection()
            self.answers.clear()
            await self.receive(connection)
            (call,) = self.calls
            self.assertTrue(call.caller.is_connected())
            connection.connection_lost(None)
            self.assertFalse(call.caller.is_connected())
            self.answers.set()

        asyncio.run(check())


class EarliestArrivalTest(unittest.TestCase):
    def test_it_is_the_last_check_but_one_also_after_a_stall(self) -> None:
        now = 10.0

        async def check() -> None:
            nonlocal now
            lag = LoopLag(lambda: now)
            for at in (10.1, 10.2, 15.2):
                now = at
                lag._check()
            self.assertEqual(lag.earliest_arrival(), 10.2)
            now = 15.3
            lag._check()
            self.assertEqual(lag.earliest_arrival(), 15.2)

        asyncio.run(check())


if __name__ == "__main__":
    unittest.main()
