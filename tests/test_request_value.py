"""Valuation of requests, prediction of late answers, and admission by worth under overload."""

from __future__ import annotations

import heapq
import random

import pytest

from leadrudder import Balancer
from leadrudder.interface import (
    Arrival,
    AttemptEnded,
    Event,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    SetTimer,
    Settings,
    Tenant,
    TimerFired,
)
from leadrudder.policy.admission import Admission
from leadrudder.policy.attempts import Request
from leadrudder.state.records import EventContext
from leadrudder.state.reports import LoadReports
from leadrudder.state.request_value import (
    MIN_OBSERVATION_WEIGHT,
    CostLatencyFit,
    RequestValuation,
    RequestValue,
)

LIGHT = RequestClass("view", 600.0, 1500.0, worth=1.0)
HEAVY = RequestClass("close", 1000.0, 3000.0, worth=2.0)


def trained_fit(slope: float, start: float, spread: float, seed: int = 1) -> CostLatencyFit:
    fit, rng = CostLatencyFit(), random.Random(seed)
    for _ in range(400):
        cost = rng.expovariate(1.0 / 100.0)
        fit.learn(cost, (start + slope * cost) * rng.lognormvariate(0.0, spread))
    return fit


@pytest.mark.parametrize(("slope", "start"), [(3.0, 50.0), (0.0, 200.0), (10.0, 5.0)])
def test_latency_is_predicted_from_the_cost_hint(slope: float, start: float) -> None:
    fit = trained_fit(slope, start, 0.2)
    for cost in (10.0, 100.0, 500.0):
        assert fit.predict(cost) == pytest.approx(start + slope * cost, rel=0.3, abs=20.0)


@pytest.mark.parametrize("spread", [0.2, 0.6])
def test_the_predicted_probability_matches_the_share_in_time(spread: float) -> None:
    fit, rng = trained_fit(3.0, 50.0, spread), random.Random(2)
    bins: dict[int, list[tuple[float, bool]]] = {}
    for _ in range(20_000):
        cost = rng.expovariate(1.0 / 100.0)
        chance = fit.completion_probability(cost, 400.0)
        in_time = (50.0 + 3.0 * cost) * rng.lognormvariate(0.0, spread) <= 400.0
        bins.setdefault(min(3, int(4 * chance)), []).append((chance, in_time))
    assert len(bins) == 4
    for samples in bins.values():
        predicted = sum(chance for chance, _ in samples) / len(samples)
        assert sum(in_time for _, in_time in samples) / len(samples) == pytest.approx(predicted, abs=0.2)


def test_few_observations_or_equal_hints_give_no_wrong_prediction() -> None:
    fit = CostLatencyFit()
    for _ in range(int(MIN_OBSERVATION_WEIGHT) - 2):
        fit.learn(1.0, 5000.0)
    assert fit.completion_probability(1.0, 100.0) == 1.0
    for _ in range(200):
        fit.learn(1.0, 50.0)
    assert fit.predict(1.0) == fit.predict(1000.0) < 100.0


def test_the_fit_recovers_from_absurd_observations() -> None:
    fit, rng = CostLatencyFit(), random.Random(5)
    for _ in range(5000):
        fit.learn(10.0 ** rng.uniform(-6, 9), 10.0 ** rng.uniform(-3, 7))
        assert 0.0 <= fit.completion_probability(10.0 ** rng.uniform(-6, 9), 600.0) <= 1.0
    for _ in range(2000):
        cost = rng.uniform(50.0, 150.0)
        fit.learn(cost, 2.0 * cost)
    assert fit.predict(100.0) == pytest.approx(200.0, rel=0.2)


def test_worth_depends_on_class_quota_and_probability() -> None:
    tenants = (Tenant("a", 0.5, 1.0), Tenant("b", 0.5, 1000.0))
    worth = RequestValuation(Settings((LIGHT, HEAVY), tenants, worth_by_work=True, over_share_worth=0.05))
    found = [worth.evaluate(Arrival(i, 1, 3000.0, tenant=0), 0.0).worth for i in range(2)]
    assert found == [2.0, pytest.approx(0.1)]
    for _ in range(100):
        worth.learn(1, 100.0, 200.0)
        worth.learn(1, 1000.0, 2000.0)
    light, heavy = (
        worth.evaluate(Arrival(9, 1, 3000.0, tenant=1, cost_hint_ms=c), 0.0) for c in (100.0, 1000.0)
    )
    assert not light.hopeless and light.worth > 1.9
    assert heavy.hopeless and heavy.worth < 0.5


def test_a_request_with_worth_when_late_is_not_hopeless() -> None:
    late = RequestClass("book", 1000.0, 3000.0, late_share=0.5)
    worth = RequestValuation(Settings((late,)))
    for _ in range(100):
        worth.learn(0, 1.0, 2500.0)
    assert not worth.evaluate(Arrival(1, 0, 3000.0), 0.0).hopeless


def test_an_inner_tier_does_not_reduce_the_worth_of_a_call() -> None:
    worth = RequestValuation(Settings((LIGHT,), stage=1, stages=2))
    for _ in range(100):
        worth.learn(0, 1.0, 5000.0)
    assert worth.evaluate(Arrival(1, 0, 1500.0), 0.0).worth == 1.0


def overload(settings: Settings, hint: dict[int, float]) -> dict[int, list[int]]:
    """Run a fleet of four slots at twice its capacity; returns requests in time and arrived, by class."""
    rng = random.Random(4)
    node = Balancer(settings, 1)
    entries = tuple(ServerEntry(bytes([i])) for i in range(2))
    events: list[tuple[float, int, Event]] = [(0.0, 0, ServerList(ListKind.FULL, entries))]
    seq, at, kinds = 0, 100.0, list(hint)
    arrived: dict[int, tuple[float, int]] = {}
    costs: dict[int, float] = {}
    while at < 60_000.0:
        at += rng.expovariate(2.0 * 4 / (sum(hint.values()) / len(hint)))
        seq += 1
        kind = rng.choice(kinds)
        cost = costs[seq] = hint[kind] * rng.uniform(0.5, 1.5)
        arrived[seq] = at, kind
        budget = settings.classes[kind].deadline_ms
        events.append((at, seq, Arrival(seq, kind, budget, cost_hint_ms=cost)))
    free = {bytes([i]): [0.0, 0.0] for i in range(2)}  # when each slot is free again
    results = {kind: [0, 0] for kind in kinds}
    heapq.heapify(events)  # instant and number differ: events themselves are never compared
    answered: set[int] = set()
    while events:
        now, _, event = heapq.heappop(events)
        late: list[tuple[float, int, Event]] = []
        for action in node.handle(event, now):
            seq += 1
            if isinstance(action, Send):
                slots = free[action.server]
                slot = slots.index(min(slots))
                done = max(now, slots[slot]) + costs[action.request]
                slots[slot] = done
                began, kind = arrived[action.request]
                deadline = began + settings.classes[kind].deadline_ms
                in_time, at = done <= deadline, min(done, deadline)
                outcome = Outcome.OK if in_time else Outcome.TIMEOUT
                late.append(
                    (at, seq, AttemptEnded(action.request, 0, action.server, outcome, at - now, in_time))
                )
                results[kind][0] += done - began <= settings.classes[kind].aim_ms
            elif isinstance(action, SetTimer):
                late.append((action.at_ms, seq, TimerFired(action.token)))
            elif isinstance(action, Refuse | Fail):
                answered.add(action.request)
        for each in late:
            heapq.heappush(events, each)
        if isinstance(event, Arrival):
            results[arrived[event.request][1]][1] += 1
        if isinstance(event, AttemptEnded) and event.finished:
            answered.add(event.request)
    assert answered == set(arrived), "each request ends once"
    return results


def test_overload_serves_requests_of_more_worth_without_starving_the_rest() -> None:
    settings = Settings((LIGHT, HEAVY), worth_by_work=True, max_attempts=1)
    results = overload(settings, {0: 60.0, 1: 60.0})
    light, heavy = (served / asked for served, asked in (results[0], results[1]))
    assert heavy > 0.6 and 0.05 < light < heavy - 0.2


def test_hopeless_requests_yield_to_those_that_can_be_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    hopeless = RequestClass("close", 600.0, 4000.0, worth=2.0)
    settings = Settings((LIGHT, hopeless), worth_by_work=True, max_attempts=1)
    results = overload(settings, {0: 60.0, 1: 900.0})
    monkeypatch.setattr(CostLatencyFit, "completion_probability", lambda *_: 1.0)
    without_prediction = overload(settings, {0: 60.0, 1: 900.0})
    assert results[0][0] > 2.0 * without_prediction[0][0]


def test_hopeless_requests_alone_are_still_sent_and_learned_from() -> None:
    """All requests are predicted to be late, yet some are sent; once answers are quick again, all are."""
    node = Balancer(Settings((LIGHT,)), 2)
    node.handle(ServerList(ListKind.FULL, (ServerEntry(b"a"), ServerEntry(b"b"))), 0.0)
    now, sent = 0.0, [0, 0]
    for i in range(600):
        now += 100.0
        slow = i < 300
        for action in node.handle(Arrival(i, 0, 1500.0), now):
            if isinstance(action, Send):
                sent[not slow] += 1
                latency = 1400.0 if slow else 40.0
                node.handle(AttemptEnded(i, 0, action.server, Outcome.OK, latency, True), now + 50.0)
    assert sent[0] > 100 and sent[1] > 290


@pytest.mark.parametrize(
    ("saturation", "low_worth", "high_worth"), [(0.5, 9, 9), (0.85, 8, 9), (1.0, 7, 9), (2.0, 7, 9)]
)
def test_more_of_the_limit_is_reserved_for_high_worth_with_more_saturation(
    saturation: float, low_worth: int, high_worth: int
) -> None:
    context = EventContext(random.Random(1))
    settings = Settings((HEAVY,))
    admission = Admission(settings, context, LoadReports(settings, context))
    admission.limit.value, admission.saturation.value = 10.0, saturation

    def calls(worth: float) -> int:
        """The most outstanding calls with which a request of this worth is still admitted."""
        value = RequestValue(1.0, 1.0, worth, False)
        request = Request(1, HEAVY, 0, 0.0, 3000.0, value, 1, 0.9)
        return max(out for out in range(12) if admission.has_room(request, out))

    assert (calls(0.0), calls(HEAVY.worth)) == (low_worth, high_worth)
