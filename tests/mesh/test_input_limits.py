"""Limits on what peers make a process hold and do: memory, work in a turn, connections."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any, cast
from unittest import mock

from leadrudder.data_plane.client_connection import ClientConnection
from leadrudder.data_plane.outbound import OutboundProxy
from leadrudder.node.http import HttpMessageError
from leadrudder.transport.api_server import ApiConnection, ApiRequest, ApiResponse, ApiServer
from leadrudder.transport.connection_limit import ConnectionLimit
from leadrudder.transport.http import HttpReader
from leadrudder.transport.input_memory import STALLED_AFTER_S, InputMemory, ReceivedBodies
from leadrudder.transport.large_body import FIRST_SEGMENT_BYTES, LargeBody
from leadrudder.transport.memory_budget import MemoryBudget
from leadrudder.transport.paced_input import MAX_CALLBACKS_PER_TURN, SLICE_BYTES, InputTurns, PacedInput
from tests.mesh.test_outbound import Transport, request


class Owner:
    """A connection that records what is done to it."""

    def __init__(self, *, idle: bool = False) -> None:
        self.was_shed = self.was_closed = False
        self.idle = idle

    def shed_input(self) -> None:
        self.was_shed = True

    def is_idle(self) -> bool:
        return self.idle

    def force_close(self) -> None:
        self.was_closed = True


class Memory(unittest.TestCase):
    def test_the_message_that_began_first_makes_room(self) -> None:
        memory = InputMemory(100, connection_share=0.8)
        first, second, third = Owner(), Owner(), Owner()
        memory.hold(first, 40)
        memory.hold(second, 30)
        memory.hold(first, 50)
        memory.hold(third, 30)
        self.assertEqual([o.was_shed for o in (first, second, third)], [True, False, False])
        self.assertEqual((memory.used_bytes, memory.shed), (60, 1))
        memory.hold(second, 0)
        memory.hold(third, 0)
        self.assertEqual(memory.used_bytes, 0)

    def test_a_connection_has_a_share(self) -> None:
        memory = InputMemory(100, connection_share=0.5)
        first, second = Owner(), Owner()
        memory.hold(first, 10)
        memory.hold(second, 60)
        self.assertEqual([o.was_shed for o in (first, second)], [False, True])

    def test_a_body_without_progress_makes_room_and_one_with_progress_does_not(self) -> None:
        now = 0.0
        budget = MemoryBudget(4 * FIRST_SEGMENT_BYTES)
        bodies = ReceivedBodies(lambda: now)
        owners = [Owner() for _ in range(3)]
        held = [LargeBody(MemoryBudget(budget.limit_bytes, budget)) for _ in owners]
        for owner, body in zip(owners[:2], held, strict=False):
            self.assertTrue(bodies.reserve(owner, body, 2 * FIRST_SEGMENT_BYTES))
            bodies.received(owner, 1)
        self.assertFalse(bodies.reserve(owners[2], held[2], FIRST_SEGMENT_BYTES))
        now = STALLED_AFTER_S
        bodies.received(owners[0], 2 * FIRST_SEGMENT_BYTES)
        owners[1].shed_input = held[1].release  # type: ignore[method-assign]
        self.assertTrue(bodies.reserve(owners[2], held[2], FIRST_SEGMENT_BYTES))
        self.assertEqual((owners[0].was_shed, held[1].released, bodies.shed), (False, True, 1))

    def test_reservations_grow_with_the_body_up_to_what_was_told(self) -> None:
        body = LargeBody(MemoryBudget(), 300_000)
        sizes = [body.reservation_for(size) for size in (1, 70_000, 200_000, 300_000)]
        self.assertEqual(sizes, [65_536, 131_072, 262_144, 300_000])
        self.assertEqual(LargeBody(MemoryBudget()).reservation_for(3_000_000), 3 * 1024 * 1024)


class OperatorBodies(unittest.IsolatedAsyncioTestCase):
    async def test_bodies_that_do_not_come_keep_no_request_out(self) -> None:
        now = 0.0
        bodies: list[int] = []

        async def dispatch(call: ApiRequest) -> ApiResponse:
            bodies.append(len(call.body))
            return ApiResponse(200)

        server = ApiServer(dispatch, self.fail, lambda: now, lambda: now, MemoryBudget(12 * 100_000))
        head = b"PATCH /config HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"
        transports = [Transport() for _ in range(3)]
        connections = [ApiConnection(server) for _ in transports]
        for connection, transport in zip(connections, transports, strict=True):
            connection.connection_made(cast(Any, transport))
        connections[0].data_received(head + bytes(59_999))
        connections[1].data_received(head)
        self.assertIn(b"503", transports[1].written)
        now = STALLED_AFTER_S
        connections[2].data_received(head + b" " * 60_000)
        for _ in range(20):
            await asyncio.sleep(0)
        self.assertIn(b"503", transports[0].written)
        self.assertIn(b"200", transports[2].written)
        self.assertEqual((bodies, server.memory.used_bytes), ([60_000], 0))


class Connections(unittest.TestCase):
    def test_those_without_a_message_go_first_then_idle_ones_then_the_new_one(self) -> None:
        limit = ConnectionLimit(3)
        silent, busy, idle, new, last = Owner(), Owner(), Owner(idle=True), Owner(), Owner()
        for each in (silent, busy, idle):
            limit.opened(each)
        limit.message_came(busy)
        limit.message_came(idle)
        limit.opened(new)
        self.assertTrue(silent.was_closed)
        limit.message_came(new)
        limit.opened(last)
        self.assertEqual([o.was_closed for o in (busy, idle, new, last)], [False, True, False, False])
        limit.message_came(last)
        refused = Owner()
        limit.opened(refused)
        self.assertTrue(refused.was_closed)
        self.assertEqual((len(limit), limit.evicted), (3, 3))


class Handler:
    """A connection that takes input while told so."""

    def __init__(self) -> None:
        self.takes = True
        self.turns = 0
        self.errors: list[HttpMessageError] = []

    def takes_input(self) -> bool:
        return self.takes

    def on_invalid_input(self, error: HttpMessageError) -> None:
        self.errors.append(error)

    def after_input(self) -> None:
        self.turns += 1


class Turns(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.messages: list[Any] = []
        self.handler = Handler()
        self.reader = HttpReader(self.messages.append, requests=True)
        self.input = PacedInput(self.reader, self.handler, InputTurns())

    async def test_a_turn_of_one_connection_is_bounded_and_the_message_comes_whole(self) -> None:
        self.input.feed(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 4000 + b"\r\n")
        self.assertLess(self.reader.callbacks, MAX_CALLBACKS_PER_TURN + SLICE_BYTES // 4 + 1)
        self.assertTrue(self.input.waits)
        while self.input.waits:
            await asyncio.sleep(0)
        self.assertEqual(len(self.messages[0].fields), 4000)
        self.assertGreater(self.handler.turns, 5)

    async def test_input_that_may_not_be_read_yet_waits(self) -> None:
        self.handler.takes = False
        self.input.feed(b"GET / HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0)
        self.assertEqual((self.messages, self.input.held_bytes), ([], 18))
        self.handler.takes = True
        self.input.resume()
        await asyncio.sleep(0)
        self.assertEqual(len(self.messages), 1)

    async def test_invalid_input_ends_it(self) -> None:
        self.input.feed(b"nonsense\r\n\r\n")
        self.input.feed(b"GET / HTTP/1.1\r\n\r\n")
        self.assertEqual((len(self.handler.errors), self.messages, self.input.ended), (1, [], True))


class Clients(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.submitted: list[Any] = []
        self.outbound = OutboundProxy(
            "mine",
            lambda host, path: mock.Mock(timeout_ms=1000.0),
            lambda route, client_request: self.submitted.append(client_request),  # type: ignore[arg-type, return-value]
            lambda: mock.Mock(max_header_bytes=16384, max_body_bytes=1_000_000),
            lambda: True,
            MemoryBudget(1_000_000),
            input_memory=InputMemory(50_000, connection_share=1.0),
        )
        self.outbound.has_configuration = True

    def connect(self) -> tuple[ClientConnection, Transport]:
        client, transport = ClientConnection(self.outbound), Transport()
        client.connection_made(cast(Any, transport))
        return client, transport

    async def test_an_unfinished_request_is_refused_for_others_and_whole_ones_pass(self) -> None:
        crowd = [self.connect() for _ in range(6)]
        for client, _ in crowd:
            client.data_received(b"GET /a/ HTTP/1.1\r\n" + b"a:\r\n" * 100 + b"x: " + b"x" * 1500)
        refused = [b"503" in transport.written for _, transport in crowd]
        self.assertEqual(refused, sorted(refused, reverse=True), "the first ones go")
        self.assertTrue(refused[0] and not refused[-1])
        client, _ = self.connect()
        client.data_received(request())
        self.assertEqual(len(self.submitted), 1)
        for client, _ in crowd:
            client.connection_lost(None)
        self.assertEqual(self.outbound.input_memory.used_bytes, 0)


if __name__ == "__main__":
    unittest.main()
