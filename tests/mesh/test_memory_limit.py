"""Memory of both programs under large bodies, many bodies and slow peers.

Guards against FAULT of issue 79: a process above its memory limit is killed.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast
from unittest import mock

from bench.bulk import BulkAnswer, BulkRequest
from bench.peak_memory import MB, BulkFleet, large_configuration
from leadrudder.data_plane.body_frames import receive_body, send_body
from leadrudder.data_plane.client_connection import UNREAD_ANSWER_TIMEOUT_S, ClientConnection
from leadrudder.data_plane.incoming_calls import IncomingCalls
from leadrudder.data_plane.outbound import OutboundProxy
from leadrudder.data_plane.peer_links import PARTS_ACCEPTED_TIMEOUT_S, PeerLink
from leadrudder.emulation.standins import encoded_request, http_call
from leadrudder.observability.loop_lag import LoopLag
from leadrudder.protocol.mesh_pb2 import ForwardRequest, ForwardResponse, Frame, PartsAccepted
from leadrudder.protocol.outcome import Executed, ServerResponse
from leadrudder.transport.body_stream import PART_BYTES, WINDOW_BYTES
from leadrudder.transport.large_body import BodyReleasedError, LargeBody
from leadrudder.transport.link import Link
from leadrudder.transport.memory_budget import MemoryBudget
from tests.mesh.test_outbound import Loop, Transport, request

LIMIT_MB = 300 * MB // 2**20  # of the fleet's settings, in MiB
LARGE_MB = 59.9


class RealProcesses(unittest.IsolatedAsyncioTestCase):
    """Three control-plane and three data-plane nodes; the server is beside the last of these."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = BulkFleet(Path(folder.name))
        self.addAsyncCleanup(self.fleet.end)
        await self.fleet.start_serving()

    async def send_from_each_machine(self, body_mb: float, answer_mb: float) -> list[BulkAnswer]:
        requests = [
            BulkRequest(f"{body_mb}-{answer_mb}-{i}", int(body_mb * MB), int(answer_mb * MB))
            for i in range(len(self.fleet.data_plane_ips))
        ]
        return await asyncio.gather(*map(self.fleet.send, self.fleet.data_plane_ips, requests))

    def assert_all_live_within_the_limit(self) -> None:
        for ip, peak_mb in self.fleet.peaks_mb().items():
            self.assertTrue(0 < peak_mb < LIMIT_MB, f"{ip}: {peak_mb} MiB of {LIMIT_MB}")

    async def test_large_uploads_and_answers_stay_under_the_memory_limit(self) -> None:
        answers = await self.send_from_each_machine(LARGE_MB, 0)
        answers += await self.send_from_each_machine(0, LARGE_MB)
        self.assertEqual([(a.status, a.intact) for a in answers], [(200, True)] * 6)
        self.assertTrue(all(run.intact for run in self.fleet.server.runs))
        self.assert_all_live_within_the_limit()

    async def test_many_bodies_of_one_machine_are_refused_beyond_the_limit_and_the_rest_is_served(
        self,
    ) -> None:
        ip = self.fleet.data_plane_ips[0]
        sending = [self.fleet.send(ip, BulkRequest(f"m-{i}", 20 * MB, 2 * MB)) for i in range(20)]
        answers = await asyncio.gather(*sending)
        # A refusal before the body is read may reach a client that is still sending as a reset.
        self.assertLessEqual({answer.status for answer in answers}, {200, 503, 0})
        served = [answer for answer in answers if answer.status == 200]
        self.assertGreaterEqual(len(served), 4)
        self.assertTrue(all(answer.intact for answer in served))
        self.assert_all_live_within_the_limit()

    async def test_large_configurations_stay_under_the_memory_limit(self) -> None:
        address = (self.fleet.control_plane_ips[0], self.fleet.base_port)
        body = json.dumps(large_configuration(15 * MB)).encode()
        patch = encoded_request("PATCH", "/config", "control", "", body)
        await asyncio.gather(*(http_call(address, patch, 10.0) for _ in range(5)))
        self.assert_all_live_within_the_limit()


class Budget(unittest.TestCase):
    def test_who_waits_is_served_in_turn_and_nobody_passes(self) -> None:
        budget = MemoryBudget(100)
        granted: list[str] = []
        self.assertTrue(budget.try_take(90))
        budget.wait_for(50, lambda: granted.append("large"))
        waiter = budget.wait_for(5, lambda: granted.append("small"))
        self.assertFalse(budget.try_take(5), "others wait")
        budget.cancel(waiter)
        budget.give_back(90)
        self.assertEqual((granted, budget.used_bytes), (["large"], 50))

    def test_a_part_of_a_budget_is_limited_by_both_and_counts_its_weight(self) -> None:
        whole = MemoryBudget(100)
        part = MemoryBudget(60, whole, weight=2)
        self.assertFalse(part.try_take(31))
        self.assertTrue(part.try_take(25))
        self.assertEqual((part.used_bytes, whole.used_bytes), (50, 50))
        whole.take(50)
        self.assertTrue(part.is_full())
        self.assertFalse(part.can_ever_hold(31))
        part.give_back(25)
        self.assertEqual((part.used_bytes, whole.used_bytes), (0, 50))

    def test_a_body_grows_over_segments_and_gives_its_memory_back(self) -> None:
        for expected in (0, 3_000_000):
            budget = MemoryBudget(4_000_000)
            body = LargeBody(budget, expected)
            data = bytes(range(250)) * 12_000
            self.assertTrue(body.reserve(len(data)))
            for offset in range(0, len(data), 70_001):
                body.append(data[offset : offset + 70_001])
            self.assertEqual(body.read_all(), data)
            self.assertEqual(body.read(1_048_570, 20)[:6], data[1_048_570:1_048_576])
            body.release()
            with self.assertRaises(BodyReleasedError):
                body.read(0, 1)
            self.assertEqual(budget.used_bytes, 0)
            LargeBody(budget).reserve(10)  # given back without a call, once nobody refers to it
            self.assertEqual(budget.used_bytes, 0)


class FakeLink:
    """A link to a peer that the test plays.  on_send: gets each frame."""

    def __init__(self, on_send: Callable[[Frame], None]) -> None:
        self.up, self.checks_liveness, self.ping_interval_s = True, False, 0.0
        self._on_send = on_send

    def send(self, frame: Frame) -> bool:
        self._on_send(Frame.FromString(frame.SerializeToString()))
        return True

    def start_liveness_checks(self) -> None:
        self.checks_liveness = True


class Parts(unittest.IsolatedAsyncioTestCase):
    """Bodies in parts over a link between an origin and the node of a server."""

    async def asyncSetUp(self) -> None:
        self.memory = MemoryBudget(10 * MB)
        self.origin = PeerLink("10.0.0.1:1", self.memory)
        self.to_server: list[Frame] = []
        self.link = cast(Link, FakeLink(self.to_server.append))
        self.responses: list[tuple[ForwardResponse, LargeBody | None]] = []
        self.data = bytes(range(251)) * 4_000
        self.body = LargeBody(self.memory, len(self.data))
        self.body.reserve(len(self.data))
        self.body.append(self.data)

    def deliver(self, response: ForwardResponse, large_body: LargeBody | None = None) -> None:
        self.responses.append((response, large_body))

    def start_call(self, *, parts_accepted: bool = True) -> Callable[[bool], Executed]:
        self.origin.on_up(self.link)
        if parts_accepted:
            self.origin.on_frame(self.link, Frame(parts_accepted=PartsAccepted()))
        return self.origin.send(ForwardRequest(server="i"), self.deliver, self.body)

    async def test_no_more_is_sent_than_the_receiver_has_asked_for(self) -> None:
        self.start_call()
        self.assertEqual(self.to_server[0].waybill.body_bytes, len(self.data))
        received: list[bytes] = []
        to_origin: list[Frame] = []
        upload = receive_body(cast(Link, FakeLink(to_origin.append)), 1, len(self.data))
        upload.start(received.append, self.fail)
        self.origin.on_frame(self.link, to_origin.pop())
        parts = [frame.body_part.data for frame in self.to_server[1:]]
        self.assertEqual((sum(map(len, parts)), max(map(len, parts))), (WINDOW_BYTES, PART_BYTES))
        handled = 1
        while not upload.complete:
            part = self.to_server[handled].body_part.data
            handled += 1
            upload.on_part(part)
            upload.consumed(len(part))
            while to_origin:
                self.origin.on_frame(self.link, to_origin.pop(0))
        self.assertEqual(b"".join(received), self.data)

    async def test_a_peer_of_a_release_before_gets_the_body_inside_the_request(self) -> None:
        with mock.patch("leadrudder.data_plane.peer_links.PARTS_ACCEPTED_TIMEOUT_S", 0.01):
            self.start_call(parts_accepted=False)
            self.assertEqual(self.to_server, [], "it may still say that it takes parts")
            await asyncio.sleep(0.05)
        self.assertLess(PARTS_ACCEPTED_TIMEOUT_S, 1.0)
        self.assertEqual(self.to_server[0].waybill.body, self.data)
        self.assertEqual(self.to_server[0].waybill.body_bytes, 0)

    async def test_a_link_that_breaks_in_the_middle_of_a_response_leaves_nothing_behind(self) -> None:
        self.start_call()
        response = ForwardResponse(number=1, ran=Executed.YES, status=200, body_bytes=1_000)
        self.origin.on_frame(self.link, Frame(delivery=response))
        self.assertEqual(self.to_server[-1].body_credit.bytes, WINDOW_BYTES)
        self.origin.on_down(self.link)
        self.assertEqual([(r.ran, r.why) for r, _ in self.responses], [(Executed.MAYBE, "link")])
        self.body.release()
        self.assertEqual(self.memory.used_bytes, 0)

    async def test_a_response_waits_for_memory_and_one_that_can_never_fit_is_given_up(self) -> None:
        self.start_call()
        self.memory.take(9 * MB)
        response = ForwardResponse(number=1, ran=Executed.YES, status=200, body_bytes=1 * MB)
        sent = len(self.to_server)
        self.origin.on_frame(self.link, Frame(delivery=response))
        self.assertEqual(len(self.to_server), sent, "nothing is asked for yet")
        self.memory.give_back(9 * MB)
        await asyncio.sleep(0.01)
        self.assertEqual(self.to_server[-1].body_credit.bytes, WINDOW_BYTES)
        self.origin.send(ForwardRequest(server="i"), self.deliver)
        too_large = ForwardResponse(number=2, ran=Executed.YES, status=200, body_bytes=11 * MB)
        self.origin.on_frame(self.link, Frame(delivery=too_large))
        self.assertEqual(self.to_server[-1].withdrawal.number, 2)
        self.assertEqual(self.responses[-1][0].ran, Executed.MAYBE)

    async def test_a_withdrawn_call_ends_its_upload_and_frees_its_response(self) -> None:
        ended: list[str] = []
        inbound = mock.Mock()
        calls = IncomingCalls(inbound, mock.Mock(), LoopLag(lambda: 0.0))
        calls.on_up(self.link)
        self.assertEqual(self.to_server.pop().WhichOneof("body"), "parts_accepted")
        waybill = ForwardRequest(number=7, body_bytes=1 * MB, accepts_parts=True)
        calls.on_frame(self.link, Frame(waybill=waybill))
        deliver, upload = inbound.handle.call_args.args[1], inbound.handle.call_args.args[3]
        upload.start(lambda data: None, lambda: ended.append("upload"))
        calls.on_frame(self.link, Frame(withdrawal={"number": 7}))
        self.assertEqual(ended, ["upload"])
        deliver(ForwardResponse(ran=Executed.YES, status=200), self.body)
        calls.on_down(self.link)
        self.assertEqual(self.memory.used_bytes, 0)

    async def test_the_response_to_a_withdrawn_call_that_ran_to_its_end_is_not_kept(self) -> None:
        inbound = mock.Mock()
        calls = IncomingCalls(inbound, mock.Mock(), LoopLag(lambda: 0.0))
        calls.on_up(self.link)
        calls.on_frame(self.link, Frame(waybill=ForwardRequest(number=7, accepts_parts=True)))
        deliver = inbound.handle.call_args.args[1]
        calls.on_frame(self.link, Frame(withdrawal={"number": 7}))
        deliver(ForwardResponse(ran=Executed.YES, status=200), self.body)
        self.assertEqual(self.memory.used_bytes, 0)

    async def test_a_released_body_breaks_its_stream_off(self) -> None:
        frames: list[Frame] = []
        sender = send_body(cast(Link, FakeLink(frames.append)), 1, self.body)
        sender.on_credit(10)
        self.body.release()
        sender.on_credit(10)
        sender.on_credit(10)
        self.assertEqual([frame.body_part.data for frame in frames], [self.data[:10], b""])


class SlowClients(unittest.TestCase):
    def setUp(self) -> None:
        loop_patch = mock.patch("asyncio.get_running_loop", return_value=Loop())
        loop_patch.start()
        self.addCleanup(loop_patch.stop)
        self.memory = MemoryBudget(1 * MB)
        self.requests: list[Any] = []
        self.outbound = OutboundProxy(
            "mine",
            lambda host, path: mock.Mock(timeout_ms=1000.0),
            lambda route, client_request: self.requests.append(client_request),  # type: ignore[arg-type, return-value]
            lambda: mock.Mock(max_header_bytes=65536, max_body_bytes=10 * MB),
            lambda: True,
            MemoryBudget(500_000, self.memory),
            answer_memory=self.memory,
        )
        self.outbound.has_configuration = True
        self.transport = Transport()
        self.client = ClientConnection(self.outbound)
        self.client.connection_made(cast(Any, self.transport))

    def test_a_large_answer_is_written_as_it_is_read_and_given_up_if_it_is_not(self) -> None:
        self.client.data_received(request())
        body = LargeBody(self.memory, 200_000)
        body.reserve(200_000)
        body.append(bytes(200_000))
        self.client.pause_writing()
        self.requests[0].answer(ServerResponse(200, b"", b"", body))
        self.assertLess(len(self.transport.written), 1_000)
        self.client.resume_writing()
        self.assertTrue(self.transport.written.endswith(bytes(200_000)))
        self.assertEqual(self.memory.used_bytes, 0)

    def test_a_client_that_reads_nothing_is_not_kept(self) -> None:
        self.client.data_received(request() + request(attempt="x2"))
        body = LargeBody(self.memory, 200_000)
        body.append(bytes(200_000))
        self.requests[0].answer(ServerResponse(200, b"", b"", body))
        self.client.pause_writing()
        second = LargeBody(self.memory, 200_000)
        second.append(bytes(200_000))
        self.requests[1].answer(ServerResponse(200, b"", b"", second))
        assert self.client._large_answer is not None
        self.client._large_answer.written_at = 100.0 - UNREAD_ANSWER_TIMEOUT_S - 1.0
        self.client.check_timeouts(100.0, mock.Mock())
        self.assertTrue(self.transport.ended)
        self.client.connection_lost(None)
        self.assertTrue(second.released)

    def test_unread_answers_keep_new_requests_out(self) -> None:
        self.transport.get_write_buffer_size = lambda: 1 * MB  # type: ignore[method-assign]
        self.client.data_received(request())
        self.requests[0].answer(ServerResponse(200, b"", b"done"))
        self.client.data_received(request(attempt="x2"))
        self.assertEqual(self.transport.written.count(b"HTTP/1.1 503"), 1)
        self.client.connection_lost(None)
        self.assertEqual(self.memory.used_bytes, 0)

    def test_a_body_of_an_unknown_length_is_refused_where_the_memory_ends(self) -> None:
        self.client.data_received(request(fields="Transfer-Encoding: chunked\r\n"))
        chunk = b"%x\r\n%s\r\n" % (100_000, bytes(100_000))
        for _ in range(6):
            self.client.data_received(chunk)
        self.assertIn(b"503", self.transport.written)
        self.assertEqual(self.memory.used_bytes, 0)


if __name__ == "__main__":
    unittest.main()
