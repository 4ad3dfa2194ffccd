"""Traffic split of a route over services: each gets its share, even of few requests."""

from __future__ import annotations

import unittest
from typing import Any

from bench.window import route
from leadrudder.emulation.fleet import Fleet, FleetPlan
from leadrudder.emulation.standins import RequestKind

MAX_SHARE_ERROR = 0.1  # half of the documented tolerance
SHARES = {"kal": 70, "var": 30}


def split_route() -> dict[str, Any]:
    raw = route("luku.example", "kal", once=False)
    del raw["service"]
    return {**raw, "splitTo": [{"service": name, "share": share} for name, share in SHARES.items()]}


class TrafficSplit(unittest.TestCase):
    def test_each_part_gets_its_share_over_all_nodes(self) -> None:
        plan = FleetPlan(
            {"kal": 3, "var": 2},
            (RequestKind("luku.example", once=False, per_s=6.0, deadline_s=1.5),),
            {"luku": split_route()},
            traffic_period_s=(4.0, 14.0),
        )
        for seed in range(3):
            fleet = Fleet(seed, plan)
            fleet.run_until(16.0)
            runs = {name: 0 for name in SHARES}
            for machine in fleet.node_machines:
                assert machine.server is not None
                runs[machine.service] += sum(machine.server.runs_by_attempt.values())
            self.assertGreater(sum(runs.values()), 200)
            for name, share in SHARES.items():
                self.assertAlmostEqual(runs[name] / sum(runs.values()), share / 100.0, delta=MAX_SHARE_ERROR)


if __name__ == "__main__":
    unittest.main()
