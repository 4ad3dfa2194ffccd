"""A node with event loop lag refuses calls of other nodes as never run, so they are sent elsewhere."""

from __future__ import annotations

import unittest
from typing import Any, cast
from unittest import mock

from leadrudder.emulation.fleet import Fleet
from leadrudder.observability.loop_lag import OVERLOAD_LAG_S, LoopLag
from leadrudder.protocol.mesh_pb2 import ForwardRequest, Frame
from leadrudder.protocol.outcome import Executed
from tests.mesh.test_emulation import PLAN

LAG_START_S, LAG_DURATION_S = 8.0, 1.5


class Shedding(unittest.TestCase):
    def test_a_call_is_refused_as_never_run(self) -> None:
        fleet = Fleet(4, PLAN)
        fleet.run_until(7.0)
        data_plane_node = fleet.node_machines[0].node
        assert data_plane_node is not None
        link = mock.Mock()
        data_plane_node._incoming_calls.on_up(link)
        forward_request = ForwardRequest(
            number=3, server="i-side-0-0", method=b"GET", target=b"/", left_ms=900.0
        )
        with mock.patch.object(LoopLag, "seconds", lambda lag: 2 * OVERLOAD_LAG_S):
            data_plane_node._incoming_calls.on_frame(link, Frame(waybill=forward_request))
        delivery = cast(Any, link.send.call_args.args[0]).delivery
        self.assertEqual(
            (delivery.number, Executed(delivery.ran), delivery.why), (3, Executed.NEVER, "behind")
        )
        data_plane_node._incoming_calls.on_down(link)

    def test_while_one_node_lags_requests_are_served_elsewhere(self) -> None:
        fleet = Fleet(4, PLAN)
        fleet.run_until(LAG_START_S)
        lagging_node = fleet.node_machines[0].node
        assert lagging_node is not None
        actual_seconds = LoopLag.seconds

        def seconds(lag: LoopLag) -> float:
            return 2 * OVERLOAD_LAG_S if lag is lagging_node._lag else actual_seconds(lag)

        with mock.patch.object(LoopLag, "seconds", seconds):
            fleet.run_until(LAG_START_S + LAG_DURATION_S)
        fleet.run_until(LAG_START_S + LAG_DURATION_S + 2.0)
        requests = [
            request
            for request in fleet.sent_requests()
            if LAG_START_S < request.sent_at_s < LAG_START_S + LAG_DURATION_S
        ]
        elsewhere = [request for request in requests if not request.attempt_ids[0].startswith("side-0-")]
        served = sum(bool(request.served_attempt) for request in elsewhere)
        self.assertGreater(served, 0.98 * len(elsewhere))
        self.assertGreater(lagging_node._incoming_calls.calls_shed + lagging_node._outbound.requests_shed, 0)
        self.assertEqual(fleet.errors, [])


if __name__ == "__main__":
    unittest.main()
