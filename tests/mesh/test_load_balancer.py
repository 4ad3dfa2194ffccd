"""Load balancing: the learning rule, retries, and refusals by admission control."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from leadrudder.configuration.items import Route
from leadrudder.data_plane.candidates import Distance
from leadrudder.data_plane.load_balancer import FLOOR_SHARE, LoadBalancer, ProxiedRequest
from leadrudder.data_plane.retry_budget import RetryBudget
from leadrudder.protocol.mesh_pb2 import ForwardResponse
from leadrudder.protocol.outcome import Executed, RequestFailure, ServerResponse


class Clock:
    """An event loop with a clock set by the test; callbacks run on demand."""

    def __init__(self) -> None:
        self.now = 100.0
        self.callbacks: list[tuple[Callable[..., None], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Timers never fire."""

    def call_soon(self, callback: Callable[..., None], *arguments: Any) -> None:
        self.callbacks.append((callback, arguments))

    def run(self) -> None:
        while self.callbacks:
            callback, arguments = self.callbacks.pop(0)
            callback(*arguments)


class LoadBalancerTest(unittest.TestCase):
    def set_up(self, *, once: bool = False, servers: tuple[str, ...] = ("a", "b", "c")) -> None:
        self.clock = Clock()
        self.calls: list[tuple[str, bool, Callable[[ForwardResponse], None]]] = []
        self.answers: list[ServerResponse | RequestFailure] = []
        self.withdrawn: list[tuple[str, bool]] = []  # servers, and whether because the client had left
        self.executed_when_withdrawn = Executed.MAYBE
        route = Route("r", "h", "/", once, 1000.0, 250.0, 1, (("s", 1.0),), 2, 1)
        with mock.patch("asyncio.get_running_loop", return_value=self.clock):
            self.load_balancer = LoadBalancer(
                route, "s", RetryBudget(0.2, 55.0, 1), self.send_attempt, lambda text: None
            )
        self.load_balancer.set_servers(dict.fromkeys(servers, Distance.SAME_ZONE))

    def send_attempt(
        self,
        client_request: ProxiedRequest,
        route: Route,
        server: str,
        may_wait: bool,
        is_repeat: bool,
        deliver: Callable[[ForwardResponse], None],
    ) -> Callable[[bool], Executed]:
        self.calls.append((server, may_wait, deliver))

        def withdraw(client_left: bool) -> Executed:
            self.withdrawn.append((server, client_left))
            return self.executed_when_withdrawn

        return withdraw

    def send_request(self) -> Callable[[], None]:
        client_request = ProxiedRequest(
            b"GET", b"/", b"", b"", b"id", self.clock.now + 1.0, self.answers.append
        )
        return self.load_balancer.submit(client_request)

    def end_last_attempt(self, after_s: float, **delivery_fields: Any) -> str:
        self.clock.now += after_s
        server, _, deliver = self.calls[-1]
        deliver(ForwardResponse(**delivery_fields))
        self.clock.run()
        return server

    def test_attempts_of_a_disconnected_client_are_withdrawn_and_no_server_is_blamed(self) -> None:
        self.set_up()
        disconnect = self.send_request()
        before = self.policy_state()
        self.clock.now += 0.05
        disconnect()
        self.clock.run()
        self.assertEqual(self.withdrawn, [(self.calls[0][0], True)])
        self.assertEqual(len(self.answers), 1)
        self.assertEqual(self.policy_state(), before)
        disconnect()
        self.calls[0][2](ForwardResponse(ran=2, status=200))  # a late delivery is ignored
        self.clock.run()
        self.assertEqual((len(self.calls), len(self.answers), len(self.withdrawn)), (1, 1, 1))

    def policy_state(self) -> tuple[dict[bytes, float], dict[bytes, float | None]]:
        automaton = self.load_balancer.policy.automaton
        names = automaton.servers
        averages = automaton.averages.values
        return dict(zip(names, automaton.p, strict=True)), {
            server: averages[i] for i, server in enumerate(names)
        }

    def train(self) -> None:
        for _ in range(30):
            self.send_request()
            self.end_last_attempt(0.05, ran=2, status=200)

    def test_only_the_selected_average_changes_and_a_success_changes_p(self) -> None:
        self.set_up()
        self.train()
        before_p, before = self.policy_state()
        self.send_request()
        chosen = self.end_last_attempt(0.01, ran=2, status=200).encode()
        after_p, after = self.policy_state()
        self.assertEqual([server for server in before if before[server] != after[server]], [chosen])
        theta, p_min = self.load_balancer.policy.automaton.theta, FLOOR_SHARE / 3
        self.assertAlmostEqual(
            after_p[chosen], before_p[chosen] + theta * (1 - 2 * p_min - before_p[chosen]), places=9
        )
        for name in before_p.keys() - {chosen}:
            self.assertAlmostEqual(after_p[name], before_p[name] + theta * (p_min - before_p[name]), places=9)

    def test_a_late_answer_leaves_p_and_a_failure_enters_the_average(self) -> None:
        for delivery_fields in ({"ran": 2, "status": 200}, {"ran": 1, "why": "link"}):
            with self.subTest(delivery_fields):
                self.set_up()
                self.train()
                before_p, before = self.policy_state()
                self.send_request()
                chosen = self.end_last_attempt(0.4, **delivery_fields).encode()
                after_p, after = self.policy_state()
                self.assertEqual(before_p, after_p)
                average, old = after[chosen], before[chosen]
                assert average is not None and old is not None
                self.assertGreater(average, old)

    def test_theta_is_well_below_alpha_and_p_above_its_floor(self) -> None:
        self.set_up()
        self.train()
        automaton = self.load_balancer.policy.automaton
        self.assertLessEqual(automaton.theta, automaton.alpha / 9)
        self.assertGreaterEqual(min(automaton.p), FLOOR_SHARE / 3 - 1e-9)

    def test_a_refusal_by_admission_control_is_retried_and_the_last_attempt_may_wait(self) -> None:
        self.set_up()
        self.send_request()
        self.end_last_attempt(0.001, ran=0, why="full", retry_ms=20.0)
        self.end_last_attempt(0.001, ran=0, why="full", retry_ms=20.0)
        self.assertEqual([may_wait for _, may_wait, _ in self.calls], [False, False, True])
        self.assertEqual(len({server for server, _, _ in self.calls}), 3)
        self.end_last_attempt(0.05, ran=2, status=200)
        self.assertEqual(
            [answer.status for answer in self.answers if isinstance(answer, ServerResponse)], [200]
        )

    def test_a_full_server_is_not_selected_for_part_of_its_wait(self) -> None:
        self.set_up()
        self.send_request()
        full_server = self.end_last_attempt(0.001, ran=0, why="full", retry_ms=100.0)
        self.end_last_attempt(0.001, ran=2, status=200)
        for _ in range(30):
            self.send_request()
            self.assertNotEqual(self.end_last_attempt(0.001, ran=2, status=200), full_server)
        self.clock.now += 0.1
        selected = set()
        for _ in range(300):
            self.send_request()
            selected.add(self.end_last_attempt(0.001, ran=2, status=200))
        self.assertIn(full_server, selected)

    def test_a_refusal_makes_no_server_look_fast(self) -> None:
        self.set_up()
        self.send_request()
        self.end_last_attempt(0.1, ran=2, status=200)
        before = self.policy_state()
        self.send_request()
        self.end_last_attempt(0.001, ran=0, why="full", retry_ms=20.0)
        self.assertEqual(self.policy_state()[0], before[0])
        self.assertGreaterEqual(
            min(average_ms for average_ms in self.policy_state()[1].values() if average_ms is not None), 99.0
        )

    def test_the_local_server_is_preferred_and_other_zones_are_rare(self) -> None:
        distances = {"own": Distance.LOCAL, "near": Distance.SAME_ZONE, "far": Distance.OTHER_ZONE}
        self.set_up()
        self.load_balancer.set_servers(distances)
        shares = dict(
            zip(
                self.load_balancer.policy.automaton.servers,
                self.load_balancer.policy.automaton.p,
                strict=True,
            )
        )
        self.assertGreater(shares[b"own"], 1.5 * shares[b"near"])
        self.assertGreater(shares[b"near"], 5 * shares[b"far"])

    def test_an_unsafe_request_that_may_have_run_is_not_sent_again(self) -> None:
        self.set_up(once=True)
        self.send_request()
        self.end_last_attempt(0.05, ran=1, why="link")
        self.assertEqual(len(self.calls), 1)
        (verdict,) = self.answers
        assert isinstance(verdict, RequestFailure)
        self.assertEqual((verdict.ran, verdict.status()), (Executed.MAYBE, 502))

    def test_a_safe_request_is_attempted_as_often_as_its_route_allows(self) -> None:
        self.set_up()
        self.send_request()
        self.end_last_attempt(0.02, ran=1, why="link")
        self.end_last_attempt(0.02, ran=1, why="link")
        self.assertEqual(len(self.calls), 2)
        self.assertEqual(len(self.answers), 1)

    def test_without_retry_budget_nothing_is_retried(self) -> None:
        self.set_up()
        self.load_balancer._retry_budget.tokens = 0.0
        self.send_request()
        self.load_balancer._retry_budget.tokens = 0.0
        self.end_last_attempt(0.02, ran=1, why="link")
        self.assertEqual(len(self.calls), 1)
        self.assertEqual(len(self.answers), 1)

    def expire(self) -> RequestFailure:
        """The deadline passes with one attempt in flight; returns the answer."""
        self.send_request()
        self.clock.now += 1.0
        (number,) = self.load_balancer._client_requests
        self.load_balancer._on_deadline(number, self.load_balancer._client_requests[number])
        (verdict,) = self.answers
        assert isinstance(verdict, RequestFailure)
        return verdict

    def test_an_expired_request_whose_attempt_had_not_started_has_not_run(self) -> None:
        self.set_up(once=True)
        self.executed_when_withdrawn = Executed.NEVER
        self.assertEqual(self.expire().status(), 503)

    def test_an_expired_request_whose_attempt_may_be_running_is_in_doubt(self) -> None:
        self.set_up(once=True)
        self.assertEqual(self.expire().status(), 504)

    def test_a_request_that_waits_for_a_server_is_refused_when_its_node_stops(self) -> None:
        self.set_up(once=True, servers=())
        client_request = ProxiedRequest(b"GET", b"/", b"", b"", b"id", 101.0, self.answers.append)
        self.load_balancer.submit(client_request)
        self.assertEqual((self.calls, self.answers), ([], []))
        client_request.refuse_if_waiting()
        (verdict,) = self.answers
        assert isinstance(verdict, RequestFailure)
        self.assertEqual(verdict.status(), 503)
        self.assertEqual(self.load_balancer._client_requests, {})

    def test_a_request_in_flight_is_not_refused_when_its_node_stops(self) -> None:
        self.set_up(once=True)
        client_request = ProxiedRequest(b"GET", b"/", b"", b"", b"id", 101.0, self.answers.append)
        self.load_balancer.submit(client_request)
        client_request.refuse_if_waiting()
        self.assertEqual((len(self.calls), self.answers), (1, []))

    def test_an_error_reply_of_a_server_is_forwarded(self) -> None:
        self.set_up(once=True)
        self.send_request()
        self.end_last_attempt(0.02, ran=2, status=500, body=b"why")
        (reply,) = self.answers
        assert isinstance(reply, ServerResponse)
        self.assertEqual((reply.status, reply.body), (500, b"why"))


if __name__ == "__main__":
    unittest.main()
