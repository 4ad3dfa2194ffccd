"""The model before its judge: what queueing theory says of waiting times, and Little's law."""

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
WITHIN = 0.02
CALLS = 200_000


class _Call:
    """A call that needs nothing but the cores."""

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
        raise AssertionError("nothing is given up here")


@dataclass
class _Drawn:
    """What chance made of the load: the formulas are asked about this, so that less is left to chance."""

    calls: int = 0
    work: float = 0.0
    squares: float = 0.0
    span: float = 0.0

    def load(self, cores: int) -> float:
        return self.work / (cores * self.span)


def _played(
    cores: int, slots: int, load: float, spread: str, variation: float, calls: int
) -> tuple[Server, _Drawn]:
    """A server after so many calls that came as a Poisson stream."""
    kind = Kind(name="one", cores=cores, slots=slots, queue=1e6)
    drawn = _Drawn(calls)
    clock = Clock()
    server = Server(clock, b"one", ServerPlan(kind, 0, 0, 0, 1.0), ServerSettings(), random.Random(1), 0)
    rng = random.Random(5)
    rate = load * cores / MEAN_MS

    def come(left: int) -> None:
        work = MEAN_MS * sample_unit_mean(rng, spread, variation)
        drawn.work += work
        drawn.squares += work * work
        drawn.span = clock.now
        server.receive(_Call(work))
        if left > 1:
            clock.after(rng.expovariate(rate), come, left - 1)

    clock.after(rng.expovariate(rate), come, calls)
    clock.run(1e12)
    assert server.request_count == 0
    return server, drawn


def _erlang_c(cores: int, load: float) -> float:
    """The chance to wait in M/M/c."""
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
def test_waiting_times_are_those_of_the_formulas(
    cores: int, load: float, spread: str, variation: float
) -> None:
    server, drawn = _played(cores, 1, load, spread, variation, CALLS)
    found, mean = drawn.load(cores), drawn.work / drawn.calls
    if cores == 1:  # Pollaczek and Khinchine
        expected = drawn.squares / drawn.span / (2.0 * (1.0 - found))
    else:
        expected = mean * _erlang_c(cores, found) / (cores * (1.0 - found))
    assert server.total_queue_wait_ms / drawn.calls == pytest.approx(expected, rel=WITHIN)
    # Little: requests here in the mean are arrivals a millisecond times the time that each is here.
    assert server.presence_integral_ms == pytest.approx(server.total_sojourn_ms, rel=1e-6)


def test_shared_cores_keep_a_time_that_hangs_on_the_mean_work_alone() -> None:
    """M/G/1 with processor sharing: the time spent is that of M/M/1, however the work is spread."""
    server, drawn = _played(1, 20_000, 0.5, "lognormal", 1.5, CALLS)
    expected = drawn.work / drawn.calls / (1.0 - drawn.load(1))
    assert server.total_sojourn_ms / drawn.calls == pytest.approx(expected, rel=WITHIN)
    assert server.total_queue_wait_ms == 0.0
