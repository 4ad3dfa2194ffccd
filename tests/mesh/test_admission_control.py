"""The gate beside a server: what it lets through, keeps, and refuses for certain."""

from __future__ import annotations

import unittest

from leadrudder.bootstrap.settings import RuleBounds
from leadrudder.data_plane.admission_control import Gate, Life
from leadrudder.data_plane.retry_budget import Purse
from leadrudder.data_plane.service_times import KINDS_MOST, ServiceTimes
from leadrudder.protocol.mesh_pb2 import Waybill
from leadrudder.protocol.outcome import Ran, Verdict, worst


class TheGate(unittest.TestCase):
    def setUp(self) -> None:
        self.gate = Gate(RuleBounds())
        self.gate.beat(Life("i-1", "s", "z", 2), False, 1, 0.0, 0.0)
        self.started: list[int] = []
        self.refused: list[Verdict] = []

    def take(self, now: float, **fields: object) -> None:
        told = {"server": "i-1", "left_ms": 1000.0, "may_wait": True, "priority": 1, **fields}
        number = len(self.started) + len(self.refused) + 100
        self.gate.admit(Waybill(**told), now, lambda: self.started.append(number), self.refused.append)  # type: ignore[arg-type]

    def whys(self) -> list[str]:
        return [verdict.why for verdict in self.refused]

    def test_only_its_own_life_is_run(self) -> None:
        self.take(0.0, server="i-0")
        self.assertEqual(self.whys(), ["gone"])
        self.assertIs(self.refused[0].ran, Ran.NEVER)

    def test_a_draining_server_gets_only_what_nobody_else_takes_and_soon_nothing(self) -> None:
        self.gate.beat(Life("i-1", "s", "z", 2), True, 2, 0.0, 1.0)
        self.take(1.1, may_wait=False)
        self.take(1.2)
        self.take(1.0 + 2.5)
        self.assertEqual((len(self.started), self.whys()), (1, ["draining", "draining"]))

    def test_a_late_beat_changes_nothing(self) -> None:
        self.gate.beat(Life("i-1", "s", "z", 2), True, 5, 0.0, 1.0)
        self.gate.beat(Life("i-1", "s", "z", 2), False, 4, 0.0, 1.1)
        assert self.gate.life is not None
        self.assertEqual(self.gate.life.draining_since, 1.0)
        self.gate.left("i-1")
        self.assertFalse(self.gate.beat(Life("i-1", "s", "z", 2), False, 9, 0.0, 2.0))
        self.assertIsNone(self.gate.life)

    def test_an_evacuated_zone_gets_nothing_and_counts_as_cold_when_taken_back(self) -> None:
        self.gate.cold_per_s = 10.0
        self.gate.evacuate(True, 0.0)
        self.take(0.1)
        self.assertEqual(self.whys(), ["evacuated"])
        self.gate.evacuate(False, 1.0)
        for i in range(20):
            self.take(1.0 + 0.001 * i, may_wait=False)
            self.gate.running = 0
        self.assertLessEqual(len(self.started), 3)

    def test_an_unsafe_request_comes_once(self) -> None:
        self.take(0.0, once=True, attempt_id=b"a")
        self.take(0.1, once=True, attempt_id=b"a")
        self.assertEqual((len(self.started), self.whys()), (1, ["seen"]))
        self.assertIs(self.refused[0].ran, Ran.MAYBE)

    def test_a_refused_unsafe_request_may_come_again(self) -> None:
        self.gate.running = 2
        self.take(0.0, once=True, attempt_id=b"a", may_wait=False)
        self.gate.running = 0
        self.take(0.1, once=True, attempt_id=b"a")
        self.assertEqual((len(self.started), self.whys()), (1, ["full"]))

    def test_a_full_server_keeps_the_first_in_rank(self) -> None:
        self.gate.running = 2
        self.take(0.0, priority=3)
        self.take(0.0, priority=0)
        self.assertEqual(self.started, [])
        self.gate.ended(10.0, 0.01)
        self.assertEqual(len(self.started), 1)
        self.assertEqual([q.waybill.priority for q in self.gate._queue], [3])

    def test_a_servers_own_calls_pass_a_full_queue(self) -> None:
        self.gate.running = 2
        for i in range(3):
            self.take(0.001 * i, priority=2)
        self.assertEqual(self.whys(), [])
        self.take(0.01, priority=2)
        self.assertEqual(self.whys(), ["full"])
        self.take(0.02, priority=0, left_ms=100.0)
        self.assertEqual(self.whys(), ["full", "full"])
        self.gate.ended(10.0, 0.03)
        self.assertEqual(self.started, [101])

    def test_what_would_wait_too_long_is_told_when_to_come_back(self) -> None:
        self.gate.running = 2
        self.take(0.0, left_ms=20.0)
        self.assertEqual(self.whys(), ["full"])
        self.assertGreater(self.refused[0].retry_ms, 0.0)

    def test_a_cold_server_never_gets_more_than_the_rule(self) -> None:
        self.gate.cold_per_s = 21.0
        self.gate.beat(Life("i-1", "s", "z", 9), False, 2, 30_000.0, 0.0)
        times: list[float] = []
        for i in range(3000):
            now = 0.001 * i
            waybill = Waybill(server="i-1", left_ms=500.0, may_wait=True, priority=1)
            self.gate.admit(waybill, now, lambda now=now: times.append(now), lambda verdict: None)  # type: ignore[misc]
            self.gate.advance(now)
            self.gate.running = 0
        most = max(sum(1 for t in times if at <= t < at + 1.0) for at in times)
        self.assertLessEqual(most, 21.0 * 1.5 + 5.0)
        self.assertGreater(most, 15)


class Waiting(unittest.TestCase):
    """Who waits for a slot, in which order, and for whom one is kept."""

    LOOKUP, INTERNAL = 300.0, 80.0  # targets of two kinds of calls

    def setUp(self) -> None:
        self.gate = Gate(RuleBounds())
        self.gate.beat(Life("i-1", "s", "z", 5), False, 1, 0.0, 0.0)
        for _ in range(60):
            for target_ms, took_ms in ((self.LOOKUP, 100.0), (self.INTERNAL, 20.0)):
                self.gate.running += 1
                self.gate.ended(took_ms, 0.0, target_ms)
        self.started: list[str] = []
        self.refused: list[tuple[str, Verdict]] = []

    def take(self, name: str, now: float, target_ms: float = LOOKUP, **fields: object) -> None:
        told = {"server": "i-1", "left_ms": 1000.0, "aim_ms": target_ms, "priority": 1, **fields}
        self.gate.admit(
            Waybill(target_ms=target_ms, **told),  # type: ignore[arg-type]
            now,
            lambda: self.started.append(name),
            lambda verdict: self.refused.append((name, verdict)),
        )

    def test_a_first_draw_waits_where_it_will_be_in_time(self) -> None:
        self.gate.running = 5
        self.take("soon", 0.0, may_wait=False)
        self.take("hurried", 0.0, may_wait=False, aim_ms=120.0)
        self.assertEqual([name for name, _ in self.refused], ["hurried"])
        self.assertGreater(self.refused[0][1].retry_ms, 0.0)
        self.gate.ended(100.0, 0.05, self.LOOKUP)
        self.assertEqual(self.started, ["soon"])

    def test_what_will_be_late_waits_behind_all_that_will_not(self) -> None:
        self.gate.running = 5
        self.take("late", 0.0, may_wait=True, aim_ms=10.0)
        self.take("in time", 0.0, may_wait=False)
        for _ in range(2):
            self.gate.ended(100.0, 0.05, self.LOOKUP)
        self.assertEqual(self.started, ["in time", "late"])

    def test_the_last_slot_is_kept_for_short_calls_while_they_come(self) -> None:
        for i in range(30):
            self.take(f"short {i}", 0.02 * i, self.INTERNAL)
            self.gate.ended(20.0, 0.02 * i, self.INTERNAL)
        self.gate.running, self.started = 4, []
        self.take("long", 0.6)
        self.assertEqual(self.started, [])
        self.take("short", 0.61, self.INTERNAL)
        self.assertEqual(self.started, ["short"])
        self.gate.running, self.started = 4, []
        self.take("long when none comes any more", 9.0)
        self.assertEqual(self.started[-1:], ["long when none comes any more"])

    def test_a_short_call_passes_long_ones_and_is_never_put_behind_as_late(self) -> None:
        self.gate.running = 5
        self.take("long", 0.0)
        self.take("short", 0.0, self.INTERNAL, aim_ms=1.0)
        self.gate.ended(100.0, 0.01, self.LOOKUP)
        self.assertEqual(self.started, ["short"])

    def test_kinds_of_calls_are_bounded(self) -> None:
        times = ServiceTimes()
        for i in range(10 * KINDS_MOST):
            times.observe(1.0 + i, 10.0)
        self.assertEqual(len(times._by_kind), KINDS_MOST)

    def test_slot_seconds_are_summed_over_slots(self) -> None:
        before = self.gate.slot_seconds(10.0)
        self.gate.running = 3
        self.assertAlmostEqual(self.gate.slot_seconds(12.0) - before, 6.0)


class Rest(unittest.TestCase):
    def test_a_node_spends_its_part_only(self) -> None:
        purse = Purse(0.2, 55.0, 12)
        spent = sum(purse.spend() for _ in range(100))
        for _ in range(1000):
            purse.earn()
            spent += purse.spend()
        self.assertLessEqual(spent, 0.2 * 1000 + 55.0 / 12)

    def test_never_ran_is_said_only_of_all_attempts(self) -> None:
        never, maybe = Verdict(Ran.NEVER, "full", 30.0), Verdict(Ran.MAYBE, "link")
        self.assertEqual(worst([never, never], "refused").status(), 503)
        self.assertEqual(worst([never, maybe], "refused").status(), 502)
        self.assertEqual(worst([maybe], "time").status(), 504)


if __name__ == "__main__":
    unittest.main()
