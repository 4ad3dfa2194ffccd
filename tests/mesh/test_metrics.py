"""Metrics of a process, classes of answers, and the measurement of event-loop lag."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from leadrudder.data_plane.request_accounting import classify_answer
from leadrudder.data_plane.server_api import ServerApi
from leadrudder.observability.loop_lag import CHECK_INTERVAL_S, OVERLOAD_LAG_S, LoopLag
from leadrudder.observability.metrics import Metrics
from leadrudder.observability.traffic import AnswerClass, TrafficCounters
from leadrudder.protocol.outcome import Executed, RequestFailure, ServerResponse
from leadrudder.transport.api_server import ApiRequest


class MetricsText(unittest.TestCase):
    def test_metrics_are_read_when_requested(self) -> None:
        metrics, counts = Metrics(), {"a": 1.0}
        metrics.add("requests_total", lambda: 7)
        metrics.add_labelled("violations_total", "name", lambda: counts)
        counts["b"] = 2.5
        expected = b'requests_total 7\nviolations_total{name="a"} 1\nviolations_total{name="b"} 2.5\n'
        self.assertEqual(metrics.text(), expected)

    def test_the_local_api_serves_metrics(self) -> None:
        server_api = ServerApi(lambda heartbeat: None, lambda name: None, lambda: False, lambda: b"items 3\n")
        response = asyncio.run(server_api.dispatch(ApiRequest("GET", ("metrics",), b"")))
        self.assertEqual((response.status, response.body), (200, b"items 3\n"))
        self.assertEqual(asyncio.run(server_api.dispatch(ApiRequest("PUT", ("metrics",), b""))).status, 405)


class AnswerClasses(unittest.TestCase):
    def test_answers_are_in_target_late_refused_or_failed(self) -> None:
        served, failed = ServerResponse(200, b"", b""), ServerResponse(500, b"", b"")
        self.assertEqual(classify_answer(served, 99.0, 100.0), AnswerClass.IN_TARGET)
        self.assertEqual(classify_answer(served, 101.0, 100.0), AnswerClass.LATE)
        self.assertEqual(classify_answer(failed, 1.0, 100.0), AnswerClass.FAILED)
        self.assertEqual(
            classify_answer(RequestFailure(Executed.NEVER, "full"), 1.0, 100.0), AnswerClass.REFUSED
        )
        self.assertEqual(
            classify_answer(RequestFailure(Executed.MAYBE, "link"), 1.0, 100.0), AnswerClass.FAILED
        )

    def test_refused_calls_are_counted_by_reason(self) -> None:
        metrics, traffic = Metrics(), TrafficCounters(calls=3)
        traffic.register_metrics(metrics)
        traffic.refused["full"] += 2
        self.assertIn(b'calls_refused_total{why="full"} 2\ncalls_total 3\n', metrics.text())


class LoopLagMeasurement(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.loop = mock.Mock()
        with mock.patch("asyncio.get_running_loop", return_value=self.loop):
            self.lag = LoopLag(lambda: self.now)

    def run_check(self) -> None:
        self.loop.call_later.call_args.args[1]()

    def test_an_overdue_check_is_a_lag(self) -> None:
        self.now += CHECK_INTERVAL_S
        self.assertEqual(self.lag.seconds(), 0.0)
        self.now += 2 * OVERLOAD_LAG_S
        self.assertAlmostEqual(self.lag.seconds(), 2 * OVERLOAD_LAG_S)
        self.assertTrue(self.lag.overloaded())

    def test_a_late_check_counts_until_the_next_one(self) -> None:
        self.now += CHECK_INTERVAL_S + 2 * OVERLOAD_LAG_S
        self.run_check()  # callbacks run after it have waited as long
        self.assertTrue(self.lag.overloaded())
        self.now += CHECK_INTERVAL_S
        self.run_check()
        self.assertFalse(self.lag.overloaded())
        self.assertAlmostEqual(self.lag.highest_s, 2 * OVERLOAD_LAG_S)


if __name__ == "__main__":
    unittest.main()
