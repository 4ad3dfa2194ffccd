"""Programs told to end: a control process stays while a majority needs it, a node answers what it took."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest import mock

from leadrudder.configuration.items import Limits, Route
from leadrudder.consensus.state_machine import Interlocking
from leadrudder.data_plane.load_balancer import ClientRequest
from leadrudder.emulation.fleet import Fleet, Machine
from leadrudder.storage.store import MemoryStore
from tests.mesh.test_emulation import PLAN
from tests.mesh.test_outbound import ROUTE, Loop, Transport, request

GRACE_S = 6.0


class Leaving(unittest.TestCase):
    def _wiped_and_another_told_to_end(self) -> tuple[Fleet, Machine, Machine]:
        """One comes back with an empty disk; at the same moment another is told to end, for good."""
        fleet = Fleet(5, PLAN)
        fleet.run_until(8.0)
        wiped, leaving = fleet.control_machines[1], fleet.control_machines[2]
        fleet.kill(wiped, "signalbox")
        wiped.disk = MemoryStore()
        fleet.run_until(8.3)
        fleet.start_control_node(wiped)
        assert leaving.control_node is not None
        leaving.control_node.terminate()
        return fleet, wiped, leaving

    def _order(self, fleet: Fleet) -> list[int]:
        """What becomes of an evacuation that is ordered now."""
        answers: list[int] = []

        async def operate() -> None:
            answers.append((await fleet.call_operator_api("POST", "/evacuate/z2", max_attempts=30))[0])

        fleet.run_operator(operate)
        return answers

    def test_a_member_stays_while_the_only_other_copy_is_being_filled(self) -> None:
        fleet, wiped, leaving = self._wiped_and_another_told_to_end()
        began = fleet.now
        filled_at = left_at = 0.0
        answers = self._order(fleet)
        while fleet.now < began + GRACE_S:
            fleet.run_until(fleet.now + 0.05)
            assert wiped.control_node is not None and leaving.control_node is not None
            if not filled_at and wiped.control_node.interlocking.seats.full:
                filled_at = fleet.now
            if not left_at and leaving.control_node.interlocking.resigned:
                left_at = fleet.now
        self.assertGreater(filled_at, 0.0)
        self.assertGreaterEqual(left_at, filled_at)
        self.assertLess(left_at - began, 3.0)
        fleet.kill(leaving, "signalbox")  # it does not come back
        fleet.run_until(fleet.now + 3.0)
        self.assertEqual(answers, [200])
        after = self._order(fleet)
        fleet.run_until(fleet.now + 4.0)
        self.assertEqual(after, [200])

    def test_one_that_left_at_once_would_leave_no_majority(self) -> None:
        with mock.patch.object(Interlocking, "may_leave", lambda self: True):
            fleet, _, leaving = self._wiped_and_another_told_to_end()
            fleet.run_until(fleet.now + 1.0)
            fleet.kill(leaving, "signalbox")
            answers = self._order(fleet)
            fleet.run_until(fleet.now + 8.0)
        self.assertNotEqual(answers, [200])

    def test_the_grace_is_kept_whatever_others_are_like(self) -> None:
        fleet = Fleet(6, PLAN)
        fleet.run_until(8.0)
        leaving = fleet.control_machines[0]
        for other in fleet.control_machines[1:]:
            fleet.kill(other, "signalbox")
        assert leaving.control_node is not None
        leaving.control_node.terminate()
        fleet.run_until(fleet.now + GRACE_S - 1.0)
        self.assertTrue(leaving.control_node._done.is_set())


class Clock(Loop):
    now = 100.0

    def time(self) -> float:
        return self.now


class LastRequests(unittest.TestCase):
    """A node that was told to end: what it takes it also answers before it is gone."""

    def setUp(self) -> None:
        self.clock = Clock()
        patched = mock.patch("asyncio.get_running_loop", return_value=self.clock)
        patched.start()
        self.addCleanup(patched.stop)
        from leadrudder.data_plane.outbound import ClientConnection, OutboundProxy

        self.taken: list[object] = []
        self.outbound = OutboundProxy("mine", lambda h, p: ROUTE, self._begin, Limits, lambda: True, 300_000)
        self.outbound.has_configuration = True
        self.outbound.closing = True
        self.outbound.unrestricted_until, self.outbound.answers_due_by = 102.9, 105.2
        self.transport = Transport()
        self.client = ClientConnection(self.outbound)
        self.client.connection_made(self.transport)  # type: ignore[arg-type]

    def _begin(self, route: Route, errand: ClientRequest) -> Callable[[], None]:
        self.taken.append(errand)
        return lambda: None

    def test_taken_in_the_first_half_whatever_its_time(self) -> None:
        self.clock.now = 102.5
        self.client.data_received(request(fields="Time-Left: 900\r\n"))
        self.assertEqual(len(self.taken), 1)

    def test_taken_later_while_its_time_ends_before_the_node_does(self) -> None:
        self.clock.now = 104.0
        self.client.data_received(request(fields="Time-Left: 900\r\n"))
        self.assertEqual(len(self.taken), 1)

    def test_refused_with_a_time_to_come_back_when_it_could_be_cut_off(self) -> None:
        self.clock.now = 104.6
        self.client.data_received(request(fields="Time-Left: 900\r\n"))
        self.assertEqual(self.taken, [])
        self.assertIn(b" 503 ", self.transport.written)
        self.assertIn(b"Retry-After", self.transport.written)


if __name__ == "__main__":
    unittest.main()
