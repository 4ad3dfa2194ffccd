"""The design on the ordinary path of a station, and what gates' refusals come to."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from leadrudder.configuration.items import Route
from leadrudder.data_plane.candidates import Distance
from leadrudder.data_plane.load_balancer import FLOOR_SHARE, Errand, Points
from leadrudder.data_plane.retry_budget import Purse
from leadrudder.protocol.mesh_pb2 import ForwardResponse
from leadrudder.protocol.outcome import Executed, RequestFailure, ServerResponse


class Clock:
    """A loop that only tells the time; what is due is called by hand."""

    def __init__(self) -> None:
        self.now = 100.0
        self.soon: list[tuple[Callable[..., None], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, do: Callable[..., None], *told: Any) -> None:
        """Timers are not played."""

    def call_soon(self, do: Callable[..., None], *told: Any) -> None:
        self.soon.append((do, told))

    def run(self) -> None:
        while self.soon:
            do, told = self.soon.pop(0)
            do(*told)


class ThePoints(unittest.TestCase):
    def lay(self, *, once: bool = False, servers: tuple[str, ...] = ("a", "b", "c")) -> None:
        self.clock = Clock()
        self.calls: list[tuple[str, bool, Callable[[ForwardResponse], None]]] = []
        self.answers: list[ServerResponse | RequestFailure] = []
        self.withdrawn: list[tuple[str, bool]] = []  # servers, and whether because the client had left
        route = Route("r", "h", "/", once, 1000.0, 250.0, 1, (("s", 1.0),), 2, 1)
        with mock.patch("asyncio.get_running_loop", return_value=self.clock):
            self.points = Points(route, "s", Purse(0.2, 55.0, 1), self.carry, lambda text: None)
        self.points.follow(dict.fromkeys(servers, Distance.ZONE))

    def carry(
        self,
        errand: Errand,
        route: Route,
        server: str,
        may_wait: bool,
        again: bool,
        deliver: Callable[[ForwardResponse], None],
    ) -> Callable[[bool], None]:
        self.calls.append((server, may_wait, deliver))
        return lambda client_left: self.withdrawn.append((server, client_left))

    def ask(self) -> Callable[[], None]:
        errand = Errand(b"GET", b"/", b"", b"", b"id", self.clock.now + 1.0, self.answers.append)
        return self.points.begin(errand)

    def end(self, after_s: float, **told: Any) -> str:
        self.clock.now += after_s
        server, _, deliver = self.calls[-1]
        deliver(ForwardResponse(**told))
        self.clock.run()
        return server

    def test_a_client_that_has_left_is_waited_for_no_more_and_no_server_is_blamed(self) -> None:
        self.lay()
        leave = self.ask()
        before = self.state()
        self.clock.now += 0.05
        leave()
        self.clock.run()
        self.assertEqual(self.withdrawn, [(self.calls[0][0], True)])
        self.assertEqual(len(self.answers), 1)
        self.assertEqual(self.state(), before)
        leave()
        self.calls[0][2](ForwardResponse(ran=2, status=200))  # what still comes is nobody's
        self.clock.run()
        self.assertEqual((len(self.calls), len(self.answers), len(self.withdrawn)), (1, 1, 1))

    def state(self) -> tuple[dict[bytes, float], dict[bytes, float | None]]:
        automaton = self.points.balancer.automaton
        names = automaton.servers
        averages = automaton.averages.values
        return dict(zip(names, automaton.p, strict=True)), {n: averages[i] for i, n in enumerate(names)}

    def warm(self) -> None:
        for _ in range(30):
            self.ask()
            self.end(0.05, ran=2, status=200)

    def test_only_the_chosen_average_moves_and_a_payoff_moves_p(self) -> None:
        self.lay()
        self.warm()
        before_p, before = self.state()
        self.ask()
        chosen = self.end(0.01, ran=2, status=200).encode()
        after_p, after = self.state()
        self.assertEqual([n for n in before if before[n] != after[n]], [chosen])
        theta, p_min = self.points.balancer.automaton.theta, FLOOR_SHARE / 3
        self.assertAlmostEqual(
            after_p[chosen], before_p[chosen] + theta * (1 - 2 * p_min - before_p[chosen]), places=9
        )
        for name in before_p.keys() - {chosen}:
            self.assertAlmostEqual(after_p[name], before_p[name] + theta * (p_min - before_p[name]), places=9)

    def test_a_miss_leaves_p_and_a_failure_enters_the_average(self) -> None:
        for told in ({"ran": 2, "status": 200}, {"ran": 1, "why": "link"}):
            with self.subTest(told):
                self.lay()
                self.warm()
                before_p, before = self.state()
                self.ask()
                chosen = self.end(0.4, **told).encode()
                after_p, after = self.state()
                self.assertEqual(before_p, after_p)
                average, old = after[chosen], before[chosen]
                assert average is not None and old is not None
                self.assertGreater(average, old)

    def test_theta_is_well_below_alpha_and_p_above_its_floor(self) -> None:
        self.lay()
        self.warm()
        automaton = self.points.balancer.automaton
        self.assertLessEqual(automaton.theta, automaton.alpha / 9)
        self.assertGreaterEqual(min(automaton.p), FLOOR_SHARE / 3 - 1e-9)

    def test_a_gates_refusal_is_drawn_again_and_the_last_may_wait(self) -> None:
        self.lay()
        self.ask()
        self.end(0.001, ran=0, why="full", retry_ms=20.0)
        self.end(0.001, ran=0, why="full", retry_ms=20.0)
        self.assertEqual([may_wait for _, may_wait, _ in self.calls], [False, False, True])
        self.assertEqual(len({server for server, _, _ in self.calls}), 3)
        self.end(0.05, ran=2, status=200)
        self.assertEqual([a.status for a in self.answers if isinstance(a, ServerResponse)], [200])

    def test_a_full_server_is_not_drawn_while_it_expects_to_be(self) -> None:
        self.lay()
        self.ask()
        full = self.end(0.001, ran=0, why="full", retry_ms=100.0)
        self.end(0.001, ran=2, status=200)
        for _ in range(30):
            self.ask()
            self.assertNotEqual(self.end(0.001, ran=2, status=200), full)
        self.clock.now += 0.1
        drawn = set()
        for _ in range(300):
            self.ask()
            drawn.add(self.end(0.001, ran=2, status=200))
        self.assertIn(full, drawn)

    def test_a_refusal_is_a_miss_that_makes_no_server_look_quick(self) -> None:
        self.lay()
        self.ask()
        self.end(0.1, ran=2, status=200)
        before = self.state()
        self.ask()
        self.end(0.001, ran=0, why="full", retry_ms=20.0)
        self.assertEqual(self.state()[0], before[0])
        self.assertGreaterEqual(min(v for v in self.state()[1].values() if v is not None), 99.0)

    def test_the_own_server_is_drawn_first_and_far_ones_seldom(self) -> None:
        distances = {"own": Distance.OWN, "near": Distance.ZONE, "far": Distance.FAR}
        self.lay()
        self.points.follow(distances)
        shares = dict(
            zip(self.points.balancer.automaton.servers, self.points.balancer.automaton.p, strict=True)
        )
        self.assertGreater(shares[b"own"], 1.5 * shares[b"near"])
        self.assertGreater(shares[b"near"], 5 * shares[b"far"])

    def test_an_unsafe_request_that_may_have_run_is_not_sent_again(self) -> None:
        self.lay(once=True)
        self.ask()
        self.end(0.05, ran=1, why="link")
        self.assertEqual(len(self.calls), 1)
        (verdict,) = self.answers
        assert isinstance(verdict, RequestFailure)
        self.assertEqual((verdict.ran, verdict.status()), (Executed.MAYBE, 502))

    def test_a_safe_request_goes_to_as_many_servers_as_its_tries(self) -> None:
        self.lay()
        self.ask()
        self.end(0.02, ran=1, why="link")
        self.end(0.02, ran=1, why="link")
        self.assertEqual(len(self.calls), 2)
        self.assertEqual(len(self.answers), 1)

    def test_without_a_purse_nothing_is_repeated(self) -> None:
        self.lay()
        self.points._purse.tokens = 0.0
        self.ask()
        self.points._purse.tokens = 0.0
        self.end(0.02, ran=1, why="link")
        self.assertEqual(len(self.calls), 1)
        self.assertEqual(len(self.answers), 1)

    def test_a_servers_own_failure_is_passed_on(self) -> None:
        self.lay(once=True)
        self.ask()
        self.end(0.02, ran=2, status=500, body=b"why")
        (reply,) = self.answers
        assert isinstance(reply, ServerResponse)
        self.assertEqual((reply.status, reply.body), (500, b"why"))


if __name__ == "__main__":
    unittest.main()
