"""A station that is behind refuses calls of other nodes, as never run: they go elsewhere."""

from __future__ import annotations

import unittest
from typing import Any, cast
from unittest import mock

from leadrudder.emulation.fleet import Fleet
from leadrudder.observability.loop_lag import OVERLOAD_LAG_S, LoopLag
from leadrudder.protocol.mesh_pb2 import Frame, Waybill
from leadrudder.protocol.outcome import Ran
from tests.mesh.test_emulation import PLAN

LATE_AT, LATE_FOR = 8.0, 1.5


class Shedding(unittest.TestCase):
    def test_a_call_is_refused_as_never_run(self) -> None:
        fleet = Fleet(4, PLAN)
        fleet.play(7.0)
        station = fleet.side[0].station
        assert station is not None
        link = mock.Mock()
        station.on_up(link)
        waybill = Waybill(number=3, server="i-side-0-0", method=b"GET", target=b"/", left_ms=900.0)
        with mock.patch.object(LoopLag, "seconds", lambda lag: 2 * OVERLOAD_LAG_S):
            station.on_frame(link, Frame(waybill=waybill))
        delivery = cast(Any, link.send.call_args.args[0]).delivery
        self.assertEqual((delivery.number, Ran(delivery.ran), delivery.why), (3, Ran.NEVER, "behind"))
        station.on_down(link)

    def test_while_one_node_is_behind_requests_are_served_elsewhere(self) -> None:
        fleet = Fleet(4, PLAN)
        fleet.play(LATE_AT)
        behind = fleet.side[0].station
        assert behind is not None
        plain = LoopLag.seconds

        def seconds(lag: LoopLag) -> float:
            return 2 * OVERLOAD_LAG_S if lag is behind._lag else plain(lag)

        with mock.patch.object(LoopLag, "seconds", seconds):
            fleet.play(LATE_AT + LATE_FOR)
        fleet.play(LATE_AT + LATE_FOR + 2.0)
        late = [a for a in fleet.asked() if LATE_AT < a.at < LATE_AT + LATE_FOR]
        elsewhere = [a for a in late if not a.ids[0].startswith("side-0-")]
        served = sum(bool(a.served) for a in elsewhere)
        self.assertGreater(served, 0.98 * len(elsewhere))
        self.assertGreater(behind._calls_shed + behind._outbound.shed, 0)
        self.assertEqual(fleet.faults, [])


if __name__ == "__main__":
    unittest.main()
