"""Admission control at a server: which calls it starts, queues and refuses."""

from __future__ import annotations

import unittest

from leadrudder.bootstrap.settings import RuleBounds
from leadrudder.data_plane.admission_control import LASTING_ORIGIN, AdmissionController, ServerInstance
from leadrudder.data_plane.admission_queue import CallOrigin, QueuedCall
from leadrudder.data_plane.retry_budget import RetryBudget
from leadrudder.data_plane.service_times import MAX_KINDS, ServiceTimes
from leadrudder.protocol.mesh_pb2 import ForwardRequest
from leadrudder.protocol.outcome import Executed, RequestFailure, combined_failure


class AdmissionControl(unittest.TestCase):
    def setUp(self) -> None:
        self.admission = AdmissionController(RuleBounds())
        self.admission.on_heartbeat(ServerInstance("i-1", "s", "z", 2), False, 1, 0.0, 0.0)
        self.started: list[int] = []
        self.refused: list[RequestFailure] = []

    def offer_call(
        self, now: float, origin: CallOrigin = LASTING_ORIGIN, **fields: object
    ) -> QueuedCall | None:
        request_fields = {"server": "i-1", "left_ms": 1000.0, "may_wait": True, "priority": 1, **fields}
        number = len(self.started) + len(self.refused) + 100
        return self.admission.admit(
            ForwardRequest(**request_fields),  # type: ignore[arg-type]
            now,
            lambda: self.started.append(number),
            self.refused.append,
            origin,
        )

    def refusal_reasons(self) -> list[str]:
        return [verdict.why for verdict in self.refused]

    def test_only_calls_for_the_current_instance_are_started(self) -> None:
        self.offer_call(0.0, server="i-0")
        self.assertEqual(self.refusal_reasons(), ["gone"])
        self.assertIs(self.refused[0].ran, Executed.NEVER)

    def test_a_draining_server_gets_only_last_attempts_and_soon_nothing(self) -> None:
        self.admission.on_heartbeat(ServerInstance("i-1", "s", "z", 2), True, 2, 0.0, 1.0)
        self.offer_call(1.1, may_wait=False)
        self.offer_call(1.2)
        self.offer_call(1.0 + 2.5)
        self.assertEqual((len(self.started), self.refusal_reasons()), (1, ["draining", "draining"]))

    def test_an_outdated_heartbeat_changes_nothing(self) -> None:
        self.admission.on_heartbeat(ServerInstance("i-1", "s", "z", 2), True, 5, 0.0, 1.0)
        self.admission.on_heartbeat(ServerInstance("i-1", "s", "z", 2), False, 4, 0.0, 1.1)
        assert self.admission.instance is not None
        self.assertEqual(self.admission.instance.draining_since, 1.0)
        self.admission.remove_instance("i-1")
        self.assertFalse(self.admission.on_heartbeat(ServerInstance("i-1", "s", "z", 2), False, 9, 0.0, 2.0))
        self.assertIsNone(self.admission.instance)

    def test_an_evacuated_zone_gets_nothing_and_counts_as_cold_afterwards(self) -> None:
        self.admission.cold_per_s = 10.0
        self.admission.set_evacuated(True, 0.0)
        self.offer_call(0.1)
        self.assertEqual(self.refusal_reasons(), ["evacuated"])
        self.admission.set_evacuated(False, 1.0)
        for i in range(20):
            self.offer_call(1.0 + 0.001 * i, may_wait=False)
            self.admission.running_calls = 0
        self.assertLessEqual(len(self.started), 3)

    def test_an_unsafe_request_is_accepted_once(self) -> None:
        self.offer_call(0.0, once=True, attempt_id=b"a")
        self.offer_call(0.1, once=True, attempt_id=b"a")
        self.assertEqual((len(self.started), self.refusal_reasons()), (1, ["seen"]))
        self.assertIs(self.refused[0].ran, Executed.MAYBE)

    def test_a_refused_unsafe_request_may_be_sent_again(self) -> None:
        self.admission.running_calls = 2
        self.offer_call(0.0, once=True, attempt_id=b"a", may_wait=False)
        self.admission.running_calls = 0
        self.offer_call(0.1, once=True, attempt_id=b"a")
        self.assertEqual((len(self.started), self.refusal_reasons()), (1, ["full"]))

    def test_a_withdrawn_unsafe_request_may_be_sent_again(self) -> None:
        self.admission.running_calls = 2
        queued = self.offer_call(0.0, once=True, attempt_id=b"a")
        assert queued is not None
        self.admission.withdraw(queued)
        self.admission.running_calls = 0
        self.offer_call(0.1, once=True, attempt_id=b"a")
        self.assertEqual((len(self.started), self.refusal_reasons()), (1, []))

    def queue_call_of(self, origin: CallOrigin) -> None:
        """Queue a long call, where such calls have taken two seconds."""
        self.admission._service_times.observe(500.0, 2000.0)
        self.admission.running_calls = 2
        self.offer_call(0.0, origin=origin, left_ms=12000.0, aim_ms=12000.0, target_ms=500.0)

    def test_a_queued_call_is_refused_once_it_cannot_end_before_its_origin_stops(self) -> None:
        origin = CallOrigin()
        self.queue_call_of(origin)
        origin.stops_at = 5.0
        next_check_at = self.admission.process_queue(1.0)
        self.assertEqual((next_check_at, self.refusal_reasons()), (2.0, []))
        self.admission.process_queue(2.0)
        self.assertEqual(self.refusal_reasons(), ["caller stopping"])
        self.assertIs(self.refused[0].ran, Executed.NEVER)

    def test_a_server_gets_no_more_time_than_until_the_origin_stops(self) -> None:
        origin = CallOrigin()
        self.queue_call_of(origin)
        origin.stops_at = 5.0
        (queued,) = self.admission._queue
        self.admission.running_calls = 0
        self.admission.process_queue(1.0)
        self.assertEqual((len(self.started), queued.forward_request.left_ms), (1, 4000.0))

    def test_calls_of_other_origins_keep_their_time(self) -> None:
        self.queue_call_of(CallOrigin())
        CallOrigin().stops_at = 5.0
        self.admission.process_queue(5.0)
        self.assertEqual(self.refused, [])

    def test_a_new_call_of_a_stopping_origin_is_refused_unless_it_can_end(self) -> None:
        self.admission._service_times.observe(500.0, 2000.0)
        origin = CallOrigin(stops_at=5.0)
        self.offer_call(1.5, origin=origin, target_ms=500.0)
        self.offer_call(2.5, origin=origin, target_ms=500.0)
        self.assertEqual((len(self.started), self.refusal_reasons()), (1, ["caller stopping"]))

    def test_a_full_server_serves_the_queue_by_rank(self) -> None:
        self.admission.running_calls = 2
        self.offer_call(0.0, priority=3)
        self.offer_call(0.0, priority=0)
        self.assertEqual(self.started, [])
        self.admission.on_call_ended(10.0, 0.01)
        self.assertEqual(len(self.started), 1)
        self.assertEqual([queued.forward_request.priority for queued in self.admission._queue], [3])

    def test_internal_calls_displace_others_in_a_full_queue(self) -> None:
        self.admission.running_calls = 2
        for i in range(3):
            self.offer_call(0.001 * i, priority=2)
        self.assertEqual(self.refusal_reasons(), [])
        self.offer_call(0.01, priority=2)
        self.assertEqual(self.refusal_reasons(), ["full"])
        self.offer_call(0.02, priority=0, left_ms=100.0)
        self.assertEqual(self.refusal_reasons(), ["full", "full"])
        self.admission.on_call_ended(10.0, 0.03)
        self.assertEqual(self.started, [101])

    def test_calls_that_would_wait_too_long_are_refused_with_a_retry_time(self) -> None:
        self.admission.running_calls = 2
        self.offer_call(0.0, left_ms=20.0)
        self.assertEqual(self.refusal_reasons(), ["full"])
        self.assertGreater(self.refused[0].retry_ms, 0.0)

    def test_a_cold_server_never_exceeds_its_rate_limit(self) -> None:
        self.admission.cold_per_s = 21.0
        self.admission.on_heartbeat(ServerInstance("i-1", "s", "z", 9), False, 2, 30_000.0, 0.0)
        times: list[float] = []
        for i in range(3000):
            now = 0.001 * i
            request = ForwardRequest(server="i-1", left_ms=500.0, may_wait=True, priority=1)
            self.admission.admit(request, now, lambda now=now: times.append(now), lambda verdict: None)  # type: ignore[misc]
            self.admission.process_queue(now)
            self.admission.running_calls = 0
        most = max(sum(1 for t in times if at <= t < at + 1.0) for at in times)
        self.assertLessEqual(most, 21.0 * 1.5 + 5.0)
        self.assertGreater(most, 15)


class QueueOrder(unittest.TestCase):
    """Which calls wait for a slot, in which order, and for which one is reserved."""

    LOOKUP, INTERNAL = 300.0, 80.0  # target times of two kinds of calls, in milliseconds

    def setUp(self) -> None:
        self.admission = AdmissionController(RuleBounds())
        self.admission.on_heartbeat(ServerInstance("i-1", "s", "z", 5), False, 1, 0.0, 0.0)
        for _ in range(60):
            for target_ms, took_ms in ((self.LOOKUP, 100.0), (self.INTERNAL, 20.0)):
                self.admission.running_calls += 1
                self.admission.on_call_ended(took_ms, 0.0, target_ms)
        self.started: list[str] = []
        self.refused: list[tuple[str, RequestFailure]] = []

    def offer_call(self, name: str, now: float, target_ms: float = LOOKUP, **fields: object) -> None:
        request_fields = {"server": "i-1", "left_ms": 1000.0, "aim_ms": target_ms, "priority": 1, **fields}
        self.admission.admit(
            ForwardRequest(target_ms=target_ms, **request_fields),  # type: ignore[arg-type]
            now,
            lambda: self.started.append(name),
            lambda verdict: self.refused.append((name, verdict)),
        )

    def test_a_first_attempt_is_queued_if_it_will_be_on_time(self) -> None:
        self.admission.running_calls = 5
        self.offer_call("soon", 0.0, may_wait=False)
        self.offer_call("hurried", 0.0, may_wait=False, aim_ms=120.0)
        self.assertEqual([name for name, _ in self.refused], ["hurried"])
        self.assertGreater(self.refused[0][1].retry_ms, 0.0)
        self.admission.on_call_ended(100.0, 0.05, self.LOOKUP)
        self.assertEqual(self.started, ["soon"])

    def test_late_calls_wait_behind_all_that_are_on_time(self) -> None:
        self.admission.running_calls = 5
        self.offer_call("late", 0.0, may_wait=True, aim_ms=10.0)
        self.offer_call("in time", 0.0, may_wait=False)
        for _ in range(2):
            self.admission.on_call_ended(100.0, 0.05, self.LOOKUP)
        self.assertEqual(self.started, ["in time", "late"])

    def test_the_last_slot_is_reserved_for_short_calls_while_they_arrive(self) -> None:
        for i in range(30):
            self.offer_call(f"short {i}", 0.02 * i, self.INTERNAL)
            self.admission.on_call_ended(20.0, 0.02 * i, self.INTERNAL)
        self.admission.running_calls, self.started = 4, []
        self.offer_call("long", 0.6)
        self.assertEqual(self.started, [])
        self.offer_call("short", 0.61, self.INTERNAL)
        self.assertEqual(self.started, ["short"])
        self.admission.running_calls, self.started = 4, []
        self.offer_call("long when none comes any more", 9.0)
        self.assertEqual(self.started[-1:], ["long when none comes any more"])

    def test_a_short_call_precedes_long_ones_and_never_ranks_as_late(self) -> None:
        self.admission.running_calls = 5
        self.offer_call("long", 0.0)
        self.offer_call("short", 0.0, self.INTERNAL, aim_ms=1.0)
        self.admission.on_call_ended(100.0, 0.01, self.LOOKUP)
        self.assertEqual(self.started, ["short"])

    def test_kinds_of_calls_are_bounded(self) -> None:
        times = ServiceTimes()
        for i in range(10 * MAX_KINDS):
            times.observe(1.0 + i, 10.0)
        self.assertEqual(len(times._by_kind), MAX_KINDS)

    def test_slot_seconds_are_summed_over_slots(self) -> None:
        before = self.admission.slot_seconds(10.0)
        self.admission.running_calls = 3
        self.assertAlmostEqual(self.admission.slot_seconds(12.0) - before, 6.0)


class RetryBudgetAndVerdicts(unittest.TestCase):
    def test_a_node_spends_only_its_share_of_the_retry_budget(self) -> None:
        retry_budget = RetryBudget(0.2, 55.0, 12)
        spent = sum(retry_budget.try_spend() for _ in range(100))
        for _ in range(1000):
            retry_budget.deposit()
            spent += retry_budget.try_spend()
        self.assertLessEqual(spent, 0.2 * 1000 + 55.0 / 12)

    def test_never_ran_is_reported_only_if_it_holds_for_all_attempts(self) -> None:
        never, maybe = RequestFailure(Executed.NEVER, "full", 30.0), RequestFailure(Executed.MAYBE, "link")
        self.assertEqual(combined_failure([never, never], "refused").status(), 503)
        self.assertEqual(combined_failure([never, maybe], "refused").status(), 502)
        self.assertEqual(combined_failure([maybe], "time").status(), 504)


if __name__ == "__main__":
    unittest.main()
