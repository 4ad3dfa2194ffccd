"""Client connections: answer order, smuggling, headers; answers of servers matched by attempt id."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import Any, cast
from unittest import mock

from leadrudder.configuration.items import Limits, Route
from leadrudder.data_plane.client_connection import ClientConnection
from leadrudder.data_plane.client_patience import WINDOW_S, ClientPatience
from leadrudder.data_plane.load_balancer import ProxiedRequest
from leadrudder.data_plane.outbound import OutboundProxy
from leadrudder.data_plane.server_connections import (
    LocalServerConnection,
    ServerAnswerCounts,
    ServerRequest,
)
from leadrudder.interface import Outcome
from leadrudder.observability.loop_lag import OVERLOAD_LAG_S
from leadrudder.protocol.outcome import Executed, RequestFailure, ServerResponse
from leadrudder.transport.memory_budget import MemoryBudget

ROUTE = Route("r", "h", "/a/", False, 1000.0, 250.0, 1, (("s", 1.0),), 2, 1)


class Transport:
    """A transport that records what is written to it."""

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
        """This transport has no input."""

    resume_reading = pause_reading


class Loop:
    def time(self) -> float:
        return 100.0

    def call_later(self, delay: float, callback: Callable[..., None], *arguments: Any) -> mock.Mock:
        return mock.Mock()


def request(path: str = "/a/1", fields: str = "", attempt: str = "x1") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {attempt}\r\n{fields}\r\n".encode()


class ClientConnections(unittest.TestCase):
    def setUp(self) -> None:
        loop_patch = mock.patch("asyncio.get_running_loop", return_value=Loop())
        loop_patch.start()
        self.addCleanup(loop_patch.stop)
        self.client_requests: list[ProxiedRequest] = []
        self.abandoned_ids: list[bytes] = []  # attempt ids of requests whose client disconnected
        find_route = lambda host, path: ROUTE if path.startswith("/a/") else None  # noqa: E731
        self.lag_s = 0.0
        self.outbound = OutboundProxy(
            "mine", find_route, self.submit, Limits, lambda: True, MemoryBudget(300_000), lambda: self.lag_s
        )
        self.outbound.has_configuration = True
        self.transport = Transport()
        self.client = ClientConnection(self.outbound)
        self.client.connection_made(cast(Any, self.transport))

    def submit(self, route: Route, client_request: ProxiedRequest) -> Callable[[], None]:
        self.client_requests.append(client_request)
        return lambda: self.abandoned_ids.append(client_request.attempt_id)

    def test_a_client_that_closes_abandons_its_open_requests(self) -> None:
        self.client.data_received(request(attempt="x1") + request(attempt="x2") + request(attempt="x3"))
        self.client_requests[0].answer(ServerResponse(200, b"", b"first"))
        self.client.eof_received()
        self.assertEqual(self.abandoned_ids, [b"x2", b"x3"])
        self.client.data_received(request(attempt="x4"))
        self.assertEqual(len(self.client_requests), 3)

    def test_a_reset_abandons_open_requests_and_no_answered_ones(self) -> None:
        self.client.data_received(request(attempt="x1") + request(attempt="x2"))
        self.client_requests[0].answer(ServerResponse(200, b"", b"first"))
        self.client.connection_lost(ConnectionResetError())
        self.assertEqual(self.abandoned_ids, [b"x2"])

    def statuses(self) -> list[bytes]:
        return [part[:3] for part in self.transport.written.split(b"HTTP/1.1 ")[1:]]

    def test_answers_keep_the_order_of_the_requests(self) -> None:
        self.client.data_received(request(attempt="x1") + request(attempt="x2"))
        self.client_requests[1].answer(ServerResponse(200, b"", b"second"))
        self.assertEqual(self.transport.written, b"")
        self.client_requests[0].answer(ServerResponse(200, b"", b"first"))
        self.assertLess(self.transport.written.index(b"first"), self.transport.written.index(b"second"))

    def test_event_loop_lag_refuses_requests_only_while_it_lasts(self) -> None:
        self.lag_s = OVERLOAD_LAG_S + 0.01
        self.client.data_received(request(attempt="x1"))
        self.assertEqual((self.statuses(), self.client_requests), ([b"503"], []))
        self.assertIn(b"Retry-After: ", self.transport.written)
        self.client.data_received(request("/none", attempt="x2"))
        self.assertEqual(self.statuses(), [b"503", b"404"], "a missing route does not depend on load")
        self.lag_s = 0.0
        self.client.data_received(request(attempt="x3"))
        self.assertEqual([client_request.attempt_id for client_request in self.client_requests], [b"x3"])
        self.assertEqual(self.outbound.requests_shed, 1)

    def test_a_request_that_has_expired_when_it_is_read_gets_a_retry_after(self) -> None:
        self.lag_s = 0.2
        self.client.data_received(request(fields="Time-Left: 150\r\n", attempt="x1"))
        self.assertEqual((self.statuses(), self.client_requests), ([b"503"], []))

    def test_event_loop_lag_shortens_the_remaining_time(self) -> None:
        self.client.data_received(request(fields="Time-Left: 500\r\n", attempt="x1"))
        self.lag_s = 0.2
        self.client.data_received(request(fields="Time-Left: 500\r\n", attempt="x2"))
        on_time_request, late_request = self.client_requests
        self.assertAlmostEqual(on_time_request.deadline - late_request.deadline, 0.2)

    def test_a_connection_with_an_open_request_is_never_closed(self) -> None:
        self.client.data_received(request(attempt="x1"))
        limits = Limits()
        for waited_ms in (limits.header_timeout_ms, limits.idle_timeout_ms, 10 * limits.idle_timeout_ms):
            self.client.check_timeouts(100.0 + waited_ms / 1000.0 + 1.0, limits)
            self.assertFalse(self.transport.ended)
        self.outbound.closing = True
        self.client.check_timeouts(1000.0, limits)
        self.client.data_received(b"no request\r\n\r\n")  # it is refused after the answer to the open request
        self.assertEqual((self.transport.written, self.transport.ended), (b"", False))
        self.client_requests[0].answer(ServerResponse(200, b"", b"done"))
        self.assertEqual(self.statuses()[0], b"200")

    def test_calling_service_is_always_set_by_the_proxy(self) -> None:
        fields = "Calling-Service: other\r\ncalling-service: third\r\nTarget-Server: i\r\n"
        fields += "X-More: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
        self.client.data_received(request(fields=fields))
        forwarded = self.client_requests[0].fields
        self.assertEqual(forwarded.lower().count(b"calling-service"), 1)
        self.assertIn(b"Calling-Service: mine\r\n", forwarded)
        self.assertIn(b"X-More: 1\r\n", forwarded)
        self.assertIn(b"Attempt-Id: x1\r\n", forwarded)
        for removed_header in (b"Target-Server", b"X-Hop", b"Connection"):
            self.assertNotIn(removed_header, forwarded)

    def test_ambiguous_message_lengths_are_refused(self) -> None:
        for fields in (
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "Content-Length: 5\r\nContent-Length: 6\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Content-Length: -1\r\n",
        ):
            with self.subTest(fields):
                self.setUp()
                self.client.data_received(request(fields=fields) + b"0\r\n\r\n" + request())
                self.assertEqual((self.statuses(), self.client_requests), ([b"400"], []))
                self.assertTrue(self.transport.ended)

    def test_a_missing_route_is_404_and_a_missing_configuration_503(self) -> None:
        self.client.data_received(request("/b/"))
        self.outbound.has_configuration = False
        self.client.data_received(request("/b/"))
        self.assertEqual(self.statuses(), [b"404", b"503"])

    def test_the_deadline_is_the_shorter_of_client_and_route(self) -> None:
        self.client.data_received(
            request(fields="Time-Left: 300\r\n") + request(fields="Time-Left: 9000\r\n")
        )
        self.assertEqual([round(opened.deadline - 100.0, 3) for opened in self.client_requests], [0.3, 1.0])

    def test_the_wait_of_a_client_is_derived_from_its_time_left(self) -> None:
        for left_ms in (800, 300, 9000, 800):
            self.client.data_received(request(fields=f"Time-Left: {left_ms}\r\n"))
        self.client.data_received(request())
        self.assertEqual(
            [client_request.waited_ms for client_request in self.client_requests],
            [0.0, 500.0, 0.0, 200.0, 0.0],
        )

    def test_the_longest_time_left_expires_after_two_windows(self) -> None:
        patience = ClientPatience()
        self.assertEqual(patience.estimate_waited_ms("r", 1000.0, 0.0), 0.0)
        self.assertEqual(patience.estimate_waited_ms("r", 400.0, WINDOW_S), 600.0)
        self.assertEqual(patience.estimate_waited_ms("r", 400.0, 2 * WINDOW_S), 0.0)
        self.assertEqual(patience.estimate_waited_ms("other", 100.0, 2 * WINDOW_S), 0.0)

    def test_503_is_sent_only_if_nothing_ran(self) -> None:
        self.client.data_received(request() + request())
        self.client_requests[0].answer(RequestFailure(Executed.NEVER, "full", 30.0))
        self.client_requests[1].answer(RequestFailure(Executed.MAYBE, "time"))
        self.assertEqual(self.statuses(), [b"503", b"504"])
        self.assertEqual(self.transport.written.count(b"Retry-After: 0.030"), 1)

    def test_bodies_beyond_the_memory_limit_get_a_retry_after(self) -> None:
        head = request(fields="Content-Length: 200000\r\n")
        self.client.data_received(head + bytes(200_000))  # an open request
        self.assertEqual(len(self.client_requests), 1)
        other, other_transport = ClientConnection(self.outbound), Transport()
        other.connection_made(cast(Any, other_transport))
        other.data_received(head)  # whose body would exceed the memory limit: refused before it is read
        self.assertIn(b"503", other_transport.written)
        self.assertIn(b"Retry-After", other_transport.written)
        self.assertTrue(other_transport.ended)
        small_client, small_transport = ClientConnection(self.outbound), Transport()
        small_client.connection_made(cast(Any, small_transport))
        small_client.data_received(request(fields="Content-Length: 5\r\n") + b"small")
        self.assertEqual(len(self.client_requests), 2)
        self.client_requests[0].answer(ServerResponse(200, b"", b""))
        self.client_requests[1].answer(ServerResponse(200, b"", b""))
        self.assertEqual(self.outbound.request_memory.used_bytes, 0)

    def test_no_answer_follows_one_that_closes_the_connection(self) -> None:
        self.client.data_received(request(fields="Connection: close\r\n") + request())
        self.assertEqual(len(self.client_requests), 1)
        self.client_requests[0].answer(ServerResponse(200, b"", b""))
        self.assertIn(b"Connection: close", self.transport.written)
        self.assertTrue(self.transport.ended)


class ServerAnswers(unittest.TestCase):
    """The connection to the local server."""

    def setUp(self) -> None:
        loop_patch = mock.patch("asyncio.get_running_loop", return_value=Loop())
        loop_patch.start()
        self.addCleanup(loop_patch.stop)
        self.servers = mock.Mock(answer_counts=ServerAnswerCounts(), answer_memory=MemoryBudget())
        self.connection = LocalServerConnection(mock.Mock(), self.servers)
        self.transport = Transport()
        self.connection.connection_made(cast(Any, self.transport))
        self.ended: list[tuple[Outcome, bytes | None]] = []
        call = mock.Mock()
        call.render, call.deadline = ServerRequest(b"x2", b"GET / HTTP/1.1\r\n", b""), 101.0
        call.end = lambda outcome, message=None: self.ended.append((outcome, message and message.body))
        self.connection.send(call)

    @staticmethod
    def answer(attempt: bytes, body: bytes) -> bytes:
        return b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s" % (
            attempt,
            len(body),
            body,
        )

    def test_the_remaining_time_is_sent(self) -> None:
        self.assertIn(b"Time-Left: 1000\r\n", self.transport.written)

    def test_a_late_answer_to_another_request_is_discarded(self) -> None:
        self.connection.data_received(self.answer(b"x1", b"late"))
        self.assertEqual(self.ended, [])
        self.connection.data_received(self.answer(b"x2", b"ours"))
        self.assertEqual(self.ended, [(Outcome.OK, b"ours")])
        self.assertTrue(self.transport.ended)

    def test_surplus_after_an_answer_ends_the_connection(self) -> None:
        self.connection.data_received(self.answer(b"x2", b"ours") + self.answer(b"x2", b"again"))
        self.assertEqual(self.ended, [(Outcome.OK, b"ours")])
        self.assertTrue(self.transport.ended)

    def test_an_incomplete_answer_is_a_reset(self) -> None:
        self.connection.data_received(self.answer(b"x2", b"ours")[:-2])
        self.connection.connection_lost(None)
        self.assertEqual(self.ended, [(Outcome.RESET, None)])

    def test_invalid_bytes_are_spoilt(self) -> None:
        for invalid_answer in (
            b"HTTP/1.1 2x0 OK\r\n\r\n",
            b"\0\1\2",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
        ):
            with self.subTest(invalid_answer):
                self.setUp()
                self.connection.data_received(invalid_answer)
                self.assertEqual(self.ended, [(Outcome.SPOILT, None)])


if __name__ == "__main__":
    unittest.main()
