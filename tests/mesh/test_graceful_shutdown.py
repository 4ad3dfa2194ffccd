"""Graceful shutdown: a control-plane node stays while the majority needs it, and a data-plane node answers
the requests that it has accepted.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest import mock

from leadrudder.configuration.items import Limits, Route
from leadrudder.consensus.state_machine import ControlStateMachine
from leadrudder.data_plane.load_balancer import ProxiedRequest
from leadrudder.data_plane.shutdown import ShutdownSchedule
from leadrudder.emulation.fleet import Fleet, Machine
from leadrudder.storage.store import MemoryStore
from leadrudder.transport.memory_budget import MemoryBudget
from tests.mesh.test_emulation import PLAN
from tests.mesh.test_outbound import ROUTE, Loop, Transport, request

GRACE_S = 6.0


class ControlPlaneShutdown(unittest.TestCase):
    def _wipe_one_and_terminate_another(self) -> tuple[Fleet, Machine, Machine]:
        """Restart one node with an empty disk, and at the same time terminate another one for good."""
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

    def _request_evacuation(self, fleet: Fleet) -> list[int]:
        """Request an evacuation now; returns the list that receives its status."""
        answers: list[int] = []

        async def send_request() -> None:
            answers.append((await fleet.call_operator_api("POST", "/evacuate/z2", max_attempts=30))[0])

        fleet.run_operator(send_request)
        return answers

    def test_a_voter_stays_while_the_only_other_replica_recovers(self) -> None:
        fleet, wiped, leaving = self._wipe_one_and_terminate_another()
        started = fleet.now
        recovered_at = resigned_at = 0.0
        answers = self._request_evacuation(fleet)
        while fleet.now < started + GRACE_S:
            fleet.run_until(fleet.now + 0.05)
            assert wiped.control_node is not None and leaving.control_node is not None
            if not recovered_at and wiped.control_node.state_machine.voter_table.full:
                recovered_at = fleet.now
            if not resigned_at and leaving.control_node.state_machine.resigned:
                resigned_at = fleet.now
        self.assertGreater(recovered_at, 0.0)
        self.assertGreaterEqual(resigned_at, recovered_at)
        self.assertLess(resigned_at - started, 3.0)
        fleet.kill(leaving, "signalbox")  # it is not restarted
        fleet.run_until(fleet.now + 3.0)
        self.assertEqual(answers, [200])
        second_answers = self._request_evacuation(fleet)
        fleet.run_until(fleet.now + 4.0)
        self.assertEqual(second_answers, [200])

    def test_leaving_at_once_would_leave_no_majority(self) -> None:
        with mock.patch.object(ControlStateMachine, "may_leave", lambda self: True):
            fleet, _, leaving = self._wipe_one_and_terminate_another()
            fleet.run_until(fleet.now + 1.0)
            fleet.kill(leaving, "signalbox")
            answers = self._request_evacuation(fleet)
            fleet.run_until(fleet.now + 8.0)
        self.assertNotEqual(answers, [200])

    def test_shutdown_ends_within_the_grace_period_without_peers(self) -> None:
        fleet = Fleet(6, PLAN)
        fleet.run_until(8.0)
        leaving = fleet.control_machines[0]
        for other in fleet.control_machines[1:]:
            fleet.kill(other, "signalbox")
        assert leaving.control_node is not None
        leaving.control_node.terminate()
        fleet.run_until(fleet.now + GRACE_S - 1.0)
        self.assertTrue(leaving.control_node._stopped.is_set())


class Clock(Loop):
    now = 100.0

    def time(self) -> float:
        return self.now


class DataPlaneShutdown(unittest.TestCase):
    """A data-plane node that is shutting down answers every request that it accepts."""

    def setUp(self) -> None:
        self.clock = Clock()
        loop_patch = mock.patch("asyncio.get_running_loop", return_value=self.clock)
        loop_patch.start()
        self.addCleanup(loop_patch.stop)
        from leadrudder.data_plane.client_connection import ClientConnection
        from leadrudder.data_plane.outbound import OutboundProxy

        self.accepted: list[object] = []
        self.outbound = OutboundProxy(
            "mine", lambda h, p: ROUTE, self._begin, Limits, lambda: True, MemoryBudget(300_000)
        )
        self.outbound.has_configuration = True
        self.outbound.closing = True
        self.outbound.unrestricted_until, self.outbound.answers_due_by = 102.9, 105.2
        self.transport = Transport()
        self.client = ClientConnection(self.outbound)
        self.client.connection_made(self.transport)  # type: ignore[arg-type]

    def _begin(self, route: Route, request: ProxiedRequest) -> Callable[[], None]:
        self.accepted.append(request)
        return lambda: None

    def test_accepted_in_the_first_half_whatever_its_deadline(self) -> None:
        self.clock.now = 102.5
        self.client.data_received(request(fields="Time-Left: 900\r\n"))
        self.assertEqual(len(self.accepted), 1)

    def test_accepted_later_if_its_deadline_is_before_the_end_of_the_node(self) -> None:
        self.clock.now = 104.0
        self.client.data_received(request(fields="Time-Left: 900\r\n"))
        self.assertEqual(len(self.accepted), 1)

    def test_a_request_on_a_kept_connection_is_answered_however_long_that_was_idle(self) -> None:
        """Guards against seed 532 of the soak: the node closed idle connections right after SIGTERM."""
        self.client.check_timeouts(self.clock.now + 0.25, Limits())
        self.assertFalse(self.transport.ended)
        self.client.data_received(request(fields="Time-Left: 900\r\n"))
        self.assertEqual(len(self.accepted), 1)

    def test_each_request_is_refused_once_no_connection_is_accepted(self) -> None:
        self.outbound.stop_accepting()
        self.client.data_received(request(fields="Time-Left: 1\r\n"))
        self.assertEqual(self.accepted, [])
        self.assertIn(b" 503 ", self.transport.written)
        self.assertIn(b"Connection: close", self.transport.written)

    def test_refused_with_retry_after_if_it_could_be_cut_off(self) -> None:
        self.clock.now = 104.6
        self.client.data_received(request(fields="Time-Left: 900\r\n"))
        self.assertEqual(self.accepted, [])
        self.assertIn(b" 503 ", self.transport.written)
        self.assertIn(b"Retry-After", self.transport.written)


class ShutdownTimes(unittest.TestCase):
    def test_each_step_is_within_the_grace_period(self) -> None:
        schedule = ShutdownSchedule.within_grace(100.0, GRACE_S)
        steps = (schedule.unrestricted_until, schedule.answers_due_by, schedule.stop_at)
        self.assertEqual([round(step, 3) for step in steps], [102.9, 105.2, 105.4])

    def test_an_idle_node_stops_early_and_not_before_clients_have_turned_away(self) -> None:
        fleet = Fleet(5, PLAN)
        fleet.run_until(3.0)
        node = fleet.node_machines[0].node
        assert node is not None
        node.terminate()
        fleet.run_until(3.0 + 2.4)
        self.assertFalse(node._done.is_set())
        fleet.run_until(3.0 + 2.9)
        self.assertTrue(node._done.is_set())
        self.assertEqual(fleet.errors, [])


if __name__ == "__main__":
    unittest.main()
