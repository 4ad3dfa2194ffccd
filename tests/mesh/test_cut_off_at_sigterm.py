"""Requests that a data-plane node has read, and that have not run when it shuts down, are refused.

Guards against LOST in review/2: they were cut off without an answer at the end of the grace period.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast
from unittest import mock

from leadrudder.data_plane.inbound import Deliver
from leadrudder.data_plane.peer_links import PeerLinks
from leadrudder.emulation.fleet import OUTBOUND_PORT, Fleet, FleetPlan, Machine
from leadrudder.emulation.standins import encoded_request, http_call
from leadrudder.protocol.mesh_pb2 import ForwardRequest, ForwardResponse
from leadrudder.protocol.outcome import Executed
from leadrudder.transport.link import Link

SENT_AT_S = 8.0
SIGTERM_DELAY_S = 0.5
REQUEST_COUNT = 22  # at nine slots
DEADLINE_S = 12.0
WORK_S = 4.0


@dataclass(frozen=True, slots=True)
class Answer:
    """What a client got.  status: 0 if the connection ended without an answer; after_s: since SIGTERM."""

    attempt_id: str
    status: int
    after_s: float


def _route(host: str, service: str) -> dict[str, Any]:
    return {
        "host": host,
        "pathStart": "/",
        "kind": "unsafe",
        "giveUp": f"{DEADLINE_S}s",
        "target": "10s",
        "priority": 1,
        "service": service,
        "tries": 2,
        "version": "00000001",
    }


class CutOffAtSigterm(unittest.TestCase):
    def setUp(self) -> None:
        plan = FleetPlan(
            {"kal": 1, "var": 2},
            (),
            {"arkisto": _route("arkisto.example", "kal")},
            work_s=WORK_S,
        )
        self.fleet = Fleet(69, plan)
        self.fleet.run_until(SENT_AT_S)
        self.serving, self.stopped = self.fleet.node_machines[:2]
        self.answers: list[Answer] = []

    def _send(self, count: int) -> None:
        """Send long requests to the node that gets SIGTERM."""

        async def send_one(number: int) -> None:
            attempt_id = f"x-{number}"
            headers = f"Attempt-Id: {attempt_id}\r\nTime-Left: {int(1000 * DEADLINE_S)}\r\n"
            request = encoded_request("POST", "/a", "arkisto.example", headers)
            answer = await http_call((self.stopped.host, OUTBOUND_PORT), request, DEADLINE_S)
            after_s = self.fleet.now - SENT_AT_S - SIGTERM_DELAY_S
            self.answers.append(Answer(attempt_id, answer.status if answer else 0, after_s))

        async def send_all() -> None:
            await asyncio.gather(*(send_one(number) for number in range(count)))

        self.fleet.run_operator(send_all)

    def _terminate(self, machine: Machine) -> None:
        """SIGTERM, and what follows until all requests have ended."""
        self.fleet.run_until(SENT_AT_S + SIGTERM_DELAY_S)
        assert machine.node is not None
        machine.node.terminate()
        self.fleet.run_until(SENT_AT_S + DEADLINE_S + 1.0)
        self.assertEqual(self.fleet.errors, [])

    def _check_promises(self) -> None:
        """No request that never ran is cut off, and none that was refused has run."""
        runs = self.fleet.runs_by_attempt()
        self.assertEqual([a for a in self.answers if a.status == 0 and not runs[a.attempt_id]], [])
        self.assertEqual([a for a in self.answers if a.status == 503 and runs[a.attempt_id]], [])
        self.assertLessEqual(max(runs.values(), default=0), 1)

    def test_requests_in_the_queue_of_another_node_are_refused_in_time(self) -> None:
        self._send(REQUEST_COUNT)
        self._terminate(self.stopped)
        self._check_promises()
        refused = [answer for answer in self.answers if answer.status == 503]
        self.assertGreaterEqual(len(refused), 4)
        self.assertLess(max(answer.after_s for answer in refused), 5.4)

    def test_no_queued_request_starts_that_cannot_end_before_its_node(self) -> None:
        self._send(REQUEST_COUNT)
        self._terminate(self.stopped)
        cut_off = [answer for answer in self.answers if answer.status == 0]
        self.assertLessEqual(len(cut_off), 9)  # those at work when SIGTERM came

    def test_requests_without_any_server_are_refused_in_time(self) -> None:
        self.fleet.kill(self.serving, "station")
        self._send(4)
        self._terminate(self.stopped)
        self._check_promises()
        self.assertEqual([answer.status for answer in self.answers], [503] * 4)

    def test_a_notice_on_a_link_that_comes_up_later(self) -> None:
        self.fleet.run_until(SENT_AT_S + SIGTERM_DELAY_S)
        assert self.stopped.node is not None
        self.stopped.node.terminate()
        self._send(REQUEST_COUNT)
        self.fleet.run_until(SENT_AT_S + DEADLINE_S + 1.0)
        self._check_promises()
        self.assertIn(503, [answer.status for answer in self.answers])


class CallsWithoutLink(unittest.TestCase):
    """Calls that wait for a link to come up have not been sent, and count as never run."""

    def _run(self, check: Callable[[PeerLinks, list[ForwardResponse]], None]) -> None:
        async def dial(address: str, create_link: Callable[[], Link]) -> Link | None:
            await asyncio.sleep(60.0)
            return None

        async def scenario() -> None:
            with mock.patch("leadrudder.data_plane.peer_links.dial", dial):
                check(PeerLinks(), [])

        asyncio.run(scenario())

    def test_they_are_refused_before_the_connections_are_closed(self) -> None:
        def check(peer_links: PeerLinks, responses: list[ForwardResponse]) -> None:
            peer_links.send("10.0.0.1:1", ForwardRequest(), cast(Deliver, responses.append))
            peer_links.fail_unsent()
            peer_links.fail_unsent()
            self.assertEqual([response.ran for response in responses], [Executed.NEVER])

        self._run(check)

    def test_withdrawing_one_says_that_it_has_not_run(self) -> None:
        def check(peer_links: PeerLinks, responses: list[ForwardResponse]) -> None:
            withdraw = peer_links.send("10.0.0.1:1", ForwardRequest(), cast(Deliver, responses.append))
            self.assertIs(withdraw(False), Executed.NEVER)
            peer_links.fail_unsent()
            self.assertEqual(responses, [])

        self._run(check)


if __name__ == "__main__":
    unittest.main()
