"""The modelled server against queueing theory: waiting times, sojourn times and Little's law."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from leadrudder.experiment.clock import Clock
from leadrudder.experiment.draw import ServerPlan, sample_unit_mean
from leadrudder.experiment.server import Server, ServerSettings
from leadrudder.experiment.spec import Kind
from leadrudder.interface import Outcome

MEAN_MS = 10.0
RELATIVE_TOLERANCE = 0.02
CALLS = 200_000


class _Call:
    """A call that needs only a core."""

    wait_ms = 0.0

    def __init__(self, work_ms: float) -> None:
        self.work_ms = work_ms

    def on_started(self, server: Server) -> bool:
        return True

    def call_next_tier(self, server: Server, done: Callable[[bool], None]) -> None:
        done(True)

    def answer(self, outcome: Outcome, load: tuple[float, ...]) -> None:
        assert outcome is Outcome.OK

    def add_work(self, work_ms: float) -> None:
        pass

    def on_abandoned(self) -> None:
        raise AssertionError("no call is abandoned in this test")


@dataclass
class _Drawn:
    """Moments of the load as drawn, to evaluate the formulas at, which removes part of the noise."""

    calls: int = 0
    work: float = 0.0
    squares: float = 0.0
    span: float = 0.0

    def load(self, cores: int) -> float:
        return self.work / (cores * self.span)


def _run_server(
    cores: int, slots: int, load: float, spread: str, variation: float, calls: int
) -> tuple[Server, _Drawn]:
    """A server after a Poisson stream of this many calls."""
    kind = Kind(name="one", cores=cores, slots=slots, queue=1e6)
    drawn = _Drawn(calls)
    clock = Clock()
    server = Server(clock, b"one", ServerPlan(kind, 0, 0, 0, 1.0), ServerSettings(), random.Random(1), 0)
    rng = random.Random(5)
    rate = load * cores / MEAN_MS

    def arrive(left: int) -> None:
        work = MEAN_MS * sample_unit_mean(rng, spread, variation)
        drawn.work += work
        drawn.squares += work * work
        drawn.span = clock.now
        server.receive(_Call(work))
        if left > 1:
            clock.after(rng.expovariate(rate), arrive, left - 1)

    clock.after(rng.expovariate(rate), arrive, calls)
    clock.run(1e12)
    assert server.request_count == 0
    return server, drawn


def _erlang_c(cores: int, load: float) -> float:
    """The probability of waiting in M/M/c."""
    offered = cores * load
    last = offered**cores / math.factorial(cores) / (1.0 - load)
    return last / (sum(offered**k / math.factorial(k) for k in range(cores)) + last)


@pytest.mark.parametrize(
    ("cores", "load", "spread", "variation"),
    [
        (1, 0.5, "exponential", 1.0),  # M/M/1
        (4, 0.7, "exponential", 1.0),  # M/M/c
        (1, 0.5, "fixed", 0.0),  # M/D/1
        (1, 0.5, "lognormal", 1.0),  # M/G/1
    ],
)
def test_mean_waiting_time_matches_queueing_theory(
    cores: int, load: float, spread: str, variation: float
) -> None:
    server, drawn = _run_server(cores, 1, load, spread, variation, CALLS)
    found, mean = drawn.load(cores), drawn.work / drawn.calls
    if cores == 1:  # Pollaczek and Khinchine
        expected = drawn.squares / drawn.span / (2.0 * (1.0 - found))
    else:
        expected = mean * _erlang_c(cores, found) / (cores * (1.0 - found))
    assert server.total_queue_wait_ms / drawn.calls == pytest.approx(expected, rel=RELATIVE_TOLERANCE)
    # Little's law: the mean number of requests is the arrival rate times the mean sojourn time.
    assert server.presence_integral_ms == pytest.approx(server.total_sojourn_ms, rel=1e-6)


def test_sojourn_time_with_shared_cores_depends_on_the_mean_work_only() -> None:
    """M/G/1 with processor sharing: the mean sojourn time is that of M/M/1, whatever the distribution."""
    server, drawn = _run_server(1, 20_000, 0.5, "lognormal", 1.5, CALLS)
    expected = drawn.work / drawn.calls / (1.0 - drawn.load(1))
    assert server.total_sojourn_ms / drawn.calls == pytest.approx(expected, rel=RELATIVE_TOLERANCE)
    assert server.total_queue_wait_ms == 0.0
