"""Clients' connections: order, smuggling, what is set and passed on; answers tied to their request."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import Any, cast
from unittest import mock

from leadrudder.configuration.items import Limits, Route
from leadrudder.data_plane.client_patience import SPAN_S, ClientPatience
from leadrudder.data_plane.load_balancer import Errand
from leadrudder.data_plane.outbound import Client, Outbound
from leadrudder.data_plane.server_connections import Going, OwnConnection
from leadrudder.interface import Outcome
from leadrudder.observability.loop_lag import BEHIND_S
from leadrudder.protocol.outcome import Ran, Reply, Verdict

ROUTE = Route("r", "h", "/a/", False, 1000.0, 250.0, 1, (("s", 1.0),), 2, 1)


class Transport:
    """What a connection writes to."""

    def __init__(self) -> None:
        self.written = b""
        self.ended = False

    def get_extra_info(self, name: str) -> Any:
        return ("10.0.0.1", 1) if name in ("sockname", "peername") else None

    def write(self, data: bytes) -> None:
        self.written += data

    def is_closing(self) -> bool:
        return self.ended

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.ended = True

    def abort(self) -> None:
        self.ended = True

    close = abort

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        """Nothing is read here."""

    resume_reading = pause_reading


class Loop:
    def time(self) -> float:
        return 100.0

    def call_later(self, delay: float, do: Callable[..., None], *told: Any) -> mock.Mock:
        return mock.Mock()


def request(path: str = "/a/1", fields: str = "", attempt: str = "x1") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {attempt}\r\n{fields}\r\n".encode()


class Clients(unittest.TestCase):
    def setUp(self) -> None:
        patched = mock.patch("asyncio.get_running_loop", return_value=Loop())
        patched.start()
        self.addCleanup(patched.stop)
        self.errands: list[Errand] = []
        self.left: list[bytes] = []  # ids of requests whose client has left
        find = lambda host, path: ROUTE if path.startswith("/a/") else None  # noqa: E731
        self.late_s = 0.0
        self.outbound = Outbound("mine", find, self.begin, Limits, lambda: True, 300_000, lambda: self.late_s)
        self.outbound.informed = True
        self.transport = Transport()
        self.client = Client(self.outbound)
        self.client.connection_made(cast(Any, self.transport))

    def begin(self, route: Route, errand: Errand) -> Callable[[], None]:
        self.errands.append(errand)
        return lambda: self.left.append(errand.attempt_id)

    def test_a_client_that_closes_leaves_all_that_it_waits_for(self) -> None:
        self.client.data_received(request(attempt="x1") + request(attempt="x2") + request(attempt="x3"))
        self.errands[0].answer(Reply(200, b"", b"first"))
        self.client.eof_received()
        self.assertEqual(self.left, [b"x2", b"x3"])
        self.client.data_received(request(attempt="x4"))
        self.assertEqual(len(self.errands), 3)

    def test_a_reset_leaves_too_and_an_answered_client_leaves_nothing(self) -> None:
        self.client.data_received(request(attempt="x1") + request(attempt="x2"))
        self.errands[0].answer(Reply(200, b"", b"first"))
        self.client.connection_lost(ConnectionResetError())
        self.assertEqual(self.left, [b"x2"])

    def statuses(self) -> list[bytes]:
        return [part[:3] for part in self.transport.written.split(b"HTTP/1.1 ")[1:]]

    def test_answers_keep_the_order_of_the_requests(self) -> None:
        self.client.data_received(request(attempt="x1") + request(attempt="x2"))
        self.errands[1].answer(Reply(200, b"", b"second"))
        self.assertEqual(self.transport.written, b"")
        self.errands[0].answer(Reply(200, b"", b"first"))
        self.assertLess(self.transport.written.index(b"first"), self.transport.written.index(b"second"))

    def test_a_process_that_is_behind_refuses_at_once_and_not_for_long(self) -> None:
        self.late_s = BEHIND_S + 0.01
        self.client.data_received(request(attempt="x1"))
        self.assertEqual((self.statuses(), self.errands), ([b"503"], []))
        self.assertIn(b"Retry-After: ", self.transport.written)
        self.client.data_received(request("/none", attempt="x2"))
        self.assertEqual(self.statuses(), [b"503", b"404"], "what no route has is no matter of load")
        self.late_s = 0.0
        self.client.data_received(request(attempt="x3"))
        self.assertEqual([errand.attempt_id for errand in self.errands], [b"x3"])
        self.assertEqual(self.outbound.shed, 1)

    def test_a_request_whose_time_is_over_when_it_is_read_is_told_to_come_back(self) -> None:
        self.late_s = 0.2
        self.client.data_received(request(fields="Time-Left: 150\r\n", attempt="x1"))
        self.assertEqual((self.statuses(), self.errands), ([b"503"], []))

    def test_time_that_a_request_has_waited_to_be_read_is_no_time_left(self) -> None:
        self.client.data_received(request(fields="Time-Left: 500\r\n", attempt="x1"))
        self.late_s = 0.2
        self.client.data_received(request(fields="Time-Left: 500\r\n", attempt="x2"))
        on_time, late = self.errands
        self.assertAlmostEqual(on_time.deadline - late.deadline, 0.2)

    def test_a_kept_connection_with_a_request_under_way_is_never_closed_by_us(self) -> None:
        self.client.data_received(request(attempt="x1"))
        limits = Limits()
        for waited_ms in (limits.header_timeout_ms, limits.idle_timeout_ms, 10 * limits.idle_timeout_ms):
            self.client.check(100.0 + waited_ms / 1000.0 + 1.0, limits)
            self.assertFalse(self.transport.ended)
        self.outbound.closing = True
        self.client.check(1000.0, limits)
        self.client.data_received(b"no request\r\n\r\n")  # what comes behind it is refused in its turn
        self.assertEqual((self.transport.written, self.transport.ended), (b"", False))
        self.errands[0].answer(Reply(200, b"", b"done"))
        self.assertEqual(self.statuses()[0], b"200")

    def test_calling_service_is_ours_whatever_came(self) -> None:
        fields = "Calling-Service: other\r\ncalling-service: third\r\nTarget-Server: i\r\n"
        fields += "X-More: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
        self.client.data_received(request(fields=fields))
        passed = self.errands[0].fields
        self.assertEqual(passed.lower().count(b"calling-service"), 1)
        self.assertIn(b"Calling-Service: mine\r\n", passed)
        self.assertIn(b"X-More: 1\r\n", passed)
        self.assertIn(b"Attempt-Id: x1\r\n", passed)
        for gone in (b"Target-Server", b"X-Hop", b"Connection"):
            self.assertNotIn(gone, passed)

    def test_what_could_hide_a_second_request_is_refused(self) -> None:
        for fields in (
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "Content-Length: 5\r\nContent-Length: 6\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Content-Length: -1\r\n",
        ):
            with self.subTest(fields):
                self.setUp()
                self.client.data_received(request(fields=fields) + b"0\r\n\r\n" + request())
                self.assertEqual((self.statuses(), self.errands), ([b"400"], []))
                self.assertTrue(self.transport.ended)

    def test_no_route_and_no_configuration_yet(self) -> None:
        self.client.data_received(request("/b/"))
        self.outbound.informed = False
        self.client.data_received(request("/b/"))
        self.assertEqual(self.statuses(), [b"404", b"503"])

    def test_the_deadline_is_the_shorter_of_the_clients_and_the_routes(self) -> None:
        self.client.data_received(
            request(fields="Time-Left: 300\r\n") + request(fields="Time-Left: 9000\r\n")
        )
        self.assertEqual([round(e.deadline - 100.0, 3) for e in self.errands], [0.3, 1.0])

    def test_what_a_client_has_waited_already_is_told_by_its_time_left(self) -> None:
        for left_ms in (800, 300, 9000, 800):
            self.client.data_received(request(fields=f"Time-Left: {left_ms}\r\n"))
        self.client.data_received(request())
        self.assertEqual([errand.waited_ms for errand in self.errands], [0.0, 500.0, 0.0, 200.0, 0.0])

    def test_a_longest_time_left_is_forgotten_when_clients_have_become_less_patient(self) -> None:
        patience = ClientPatience()
        self.assertEqual(patience.waited_ms("r", 1000.0, 0.0), 0.0)
        self.assertEqual(patience.waited_ms("r", 400.0, SPAN_S), 600.0)
        self.assertEqual(patience.waited_ms("r", 400.0, 2 * SPAN_S), 0.0)
        self.assertEqual(patience.waited_ms("other", 100.0, 2 * SPAN_S), 0.0)

    def test_a_promise_is_made_only_where_nothing_ran(self) -> None:
        self.client.data_received(request() + request())
        self.errands[0].answer(Verdict(Ran.NEVER, "full", 30.0))
        self.errands[1].answer(Verdict(Ran.MAYBE, "time"))
        self.assertEqual(self.statuses(), [b"503", b"504"])
        self.assertEqual(self.transport.written.count(b"Retry-After: 0.030"), 1)

    def test_bodies_beyond_the_memory_for_them_are_told_to_come_back(self) -> None:
        head = request(fields="Content-Length: 200000\r\n")
        self.client.data_received(head + bytes(200_000))  # under way
        self.assertEqual(len(self.errands), 1)
        other, wire = Client(self.outbound), Transport()
        other.connection_made(cast(Any, wire))
        other.data_received(head + bytes(90_000))
        self.assertEqual(wire.written, b"")
        other.data_received(bytes(20_000))  # more than there is room for: not read on
        self.assertIn(b"503", wire.written)
        self.assertIn(b"Retry-After", wire.written)
        self.assertTrue(wire.ended)
        small, more = Client(self.outbound), Transport()
        small.connection_made(cast(Any, more))
        small.data_received(request(fields="Content-Length: 5\r\n") + b"small")
        self.assertEqual(len(self.errands), 2)
        self.errands[0].answer(Reply(200, b"", b""))
        self.errands[1].answer(Reply(200, b"", b""))
        self.assertEqual(self.outbound._held_sum, 0)

    def test_nothing_follows_an_answer_that_closes(self) -> None:
        self.client.data_received(request(fields="Connection: close\r\n") + request())
        self.assertEqual(len(self.errands), 1)
        self.errands[0].answer(Reply(200, b"", b""))
        self.assertIn(b"Connection: close", self.transport.written)
        self.assertTrue(self.transport.ended)


class Answers(unittest.TestCase):
    """The connection to the server beside us."""

    def setUp(self) -> None:
        patched = mock.patch("asyncio.get_running_loop", return_value=Loop())
        patched.start()
        self.addCleanup(patched.stop)
        self.servers = mock.Mock()
        self.connection = OwnConnection(mock.Mock(), self.servers)
        self.transport = Transport()
        self.connection.connection_made(cast(Any, self.transport))
        self.ended: list[tuple[Outcome, bytes | None]] = []
        call = mock.Mock()
        call.render, call.deadline = Going(b"x2", b"GET / HTTP/1.1\r\n", b""), 101.0
        call.end = lambda outcome, message=None: self.ended.append((outcome, message and message.body))
        self.connection.send(call)

    @staticmethod
    def answer(attempt: bytes, body: bytes) -> bytes:
        return b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s" % (
            attempt,
            len(body),
            body,
        )

    def test_the_time_left_is_told(self) -> None:
        self.assertIn(b"Time-Left: 1000\r\n", self.transport.written)

    def test_a_late_answer_to_another_request_is_nobodys(self) -> None:
        self.connection.data_received(self.answer(b"x1", b"late"))
        self.assertEqual(self.ended, [])
        self.connection.data_received(self.answer(b"x2", b"ours"))
        self.assertEqual(self.ended, [(Outcome.OK, b"ours")])
        self.assertTrue(self.transport.ended)

    def test_more_than_an_answer_ends_the_connection(self) -> None:
        self.connection.data_received(self.answer(b"x2", b"ours") + self.answer(b"x2", b"again"))
        self.assertEqual(self.ended, [(Outcome.OK, b"ours")])
        self.assertTrue(self.transport.ended)

    def test_half_an_answer_is_none(self) -> None:
        self.connection.data_received(self.answer(b"x2", b"ours")[:-2])
        self.connection.connection_lost(None)
        self.assertEqual(self.ended, [(Outcome.RESET, None)])

    def test_bytes_that_are_no_answer_are_none(self) -> None:
        for spoilt in (
            b"HTTP/1.1 2x0 OK\r\n\r\n",
            b"\0\1\2",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
        ):
            with self.subTest(spoilt):
                self.setUp()
                self.connection.data_received(spoilt)
                self.assertEqual(self.ended, [(Outcome.SPOILT, None)])


if __name__ == "__main__":
    unittest.main()
