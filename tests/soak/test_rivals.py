"""The soak's check of operators on one version: what breaks it, and what just keeps it."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any, cast

from bench.soak.faults import CONTROL_FAULT_KINDS, FaultKind
from bench.soak.machine import InvariantError
from bench.soak.operators import route_record
from bench.soak.rivals import ACKNOWLEDGED, REFUSED, RivalCall, RivalOperators, check_rivals


def content(version: int, give_up_ms: int) -> dict[str, Any]:
    return route_record("h", "/", "kal", once=False, give_up_ms=give_up_ms, version=version)


class RivalsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.before = RivalCall({"a": content(1, 1), "b": content(1, 1)}, ACKNOWLEDGED)
        self.refused = RivalCall({"a": content(2, 2), "b": content(2, 2)}, REFUSED)
        self.taken = RivalCall({"b": content(2, 3)}, ACKNOWLEDGED)
        self.unclear = RivalCall({"a": content(3, 4)})

    def check(self, **found: dict[str, Any]) -> None:
        check_rivals([self.before, self.refused, self.taken, self.unclear], found, "c")

    def test_an_acknowledged_call_and_one_without_a_clear_answer_may_be_in_force(self) -> None:
        self.check(a=content(1, 1), b=content(2, 3))
        self.check(a=content(3, 4), b=content(2, 3))
        self.check(a=content(3, 9), b=content(4, 9))

    def test_part_of_a_refused_call_must_not_be_in_force(self) -> None:
        with self.assertRaisesRegex(InvariantError, "CONFIG"):
            self.check(a=content(2, 2), b=content(2, 3))

    def test_an_acknowledged_call_must_not_be_missing_older_or_altered(self) -> None:
        for b in ({}, {"b": content(1, 1)}, {"b": content(2, 9)}):
            with self.subTest(b), self.assertRaises(InvariantError):
                self.check(a=content(1, 1), **b)

    def test_the_two_calls_of_a_pair_share_a_version_and_a_route_and_no_content(self) -> None:
        rivals = RivalOperators(cast(Any, None), Random(1))
        for _ in range(20):
            first, second = rivals._draw_pair()
            shared = set(first.routes) & set(second.routes)
            self.assertEqual((len(shared), len(first.routes)), (1, 2))
            contents = [*first.routes.values(), *second.routes.values()]
            self.assertEqual(len({each["version"] for each in contents}), 1)
            self.assertEqual(len({each["giveUp"] for each in contents}), 2)

    def test_all_control_machines_lose_power_in_the_soak(self) -> None:
        self.assertIn(FaultKind.BLACKOUT, CONTROL_FAULT_KINDS)


if __name__ == "__main__":
    unittest.main()
