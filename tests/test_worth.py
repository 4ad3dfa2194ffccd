"""What a request is worth, whether it can still count, and who gets the places that are left."""

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
from leadrudder.state.worth import MIN_OBSERVATION_WEIGHT, CostLatencyFit, RequestValuation, RequestValue

LIGHT = RequestClass("view", 600.0, 1500.0, worth=1.0)
HEAVY = RequestClass("close", 1000.0, 3000.0, worth=2.0)


def taught(slope: float, start: float, spread: float, seed: int = 1) -> CostLatencyFit:
    line, rng = CostLatencyFit(), random.Random(seed)
    for _ in range(400):
        cost = rng.expovariate(1.0 / 100.0)
        line.learn(cost, (start + slope * cost) * rng.lognormvariate(0.0, spread))
    return line


@pytest.mark.parametrize(("slope", "start"), [(3.0, 50.0), (0.0, 200.0), (10.0, 5.0)])
def test_a_time_is_foretold_from_the_hint(slope: float, start: float) -> None:
    line = taught(slope, start, 0.2)
    for cost in (10.0, 100.0, 500.0):
        assert line.predict(cost) == pytest.approx(start + slope * cost, rel=0.3, abs=20.0)


@pytest.mark.parametrize("spread", [0.2, 0.6])
def test_the_chance_to_be_in_time_is_right_in_the_mean(spread: float) -> None:
    line, rng = taught(3.0, 50.0, spread), random.Random(2)
    bins: dict[int, list[tuple[float, bool]]] = {}
    for _ in range(20_000):
        cost = rng.expovariate(1.0 / 100.0)
        chance = line.completion_probability(cost, 400.0)
        in_time = (50.0 + 3.0 * cost) * rng.lognormvariate(0.0, spread) <= 400.0
        bins.setdefault(min(3, int(4 * chance)), []).append((chance, in_time))
    assert len(bins) == 4
    for held in bins.values():
        foretold = sum(chance for chance, _ in held) / len(held)
        assert sum(in_time for _, in_time in held) / len(held) == pytest.approx(foretold, abs=0.2)


def test_little_known_and_hints_all_alike_foretell_nothing_wrong() -> None:
    line = CostLatencyFit()
    for _ in range(int(MIN_OBSERVATION_WEIGHT) - 2):
        line.learn(1.0, 5000.0)
    assert line.completion_probability(1.0, 100.0) == 1.0
    for _ in range(200):
        line.learn(1.0, 50.0)
    assert line.predict(1.0) == line.predict(1000.0) < 100.0


def test_an_hour_of_absurd_figures_leaves_a_line_that_can_be_used() -> None:
    line, rng = CostLatencyFit(), random.Random(5)
    for _ in range(5000):
        line.learn(10.0 ** rng.uniform(-6, 9), 10.0 ** rng.uniform(-3, 7))
        assert 0.0 <= line.completion_probability(10.0 ** rng.uniform(-6, 9), 600.0) <= 1.0
    for _ in range(2000):
        cost = rng.uniform(50.0, 150.0)
        line.learn(cost, 2.0 * cost)
    assert line.predict(100.0) == pytest.approx(200.0, rel=0.2)


def test_worth_goes_by_class_share_and_hope() -> None:
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


def test_what_is_worth_something_late_is_not_hopeless() -> None:
    late = RequestClass("book", 1000.0, 3000.0, late_share=0.5)
    worth = RequestValuation(Settings((late,)))
    for _ in range(100):
        worth.learn(0, 1.0, 2500.0)
    assert not worth.evaluate(Arrival(1, 0, 3000.0), 0.0).hopeless


def test_a_call_further_in_is_worth_what_its_request_was() -> None:
    worth = RequestValuation(Settings((LIGHT,), stage=1, stages=2))
    for _ in range(100):
        worth.learn(0, 1.0, 5000.0)
    assert worth.evaluate(Arrival(1, 0, 1500.0), 0.0).worth == 1.0


def overload(settings: Settings, hint: dict[int, float]) -> dict[int, list[int]]:
    """A fleet of four slots at twice its capacity; served in time and asked, by class."""
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
    told = {kind: [0, 0] for kind in kinds}
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
                over = began + settings.classes[kind].deadline_ms
                in_time, at = done <= over, min(done, over)
                how = Outcome.OK if in_time else Outcome.TIMEOUT
                late.append((at, seq, AttemptEnded(action.request, 0, action.server, how, at - now, in_time)))
                told[kind][0] += done - began <= settings.classes[kind].aim_ms
            elif isinstance(action, SetTimer):
                late.append((action.at_ms, seq, TimerFired(action.token)))
            elif isinstance(action, Refuse | Fail):
                answered.add(action.request)
        for each in late:
            heapq.heappush(events, each)
        if isinstance(event, Arrival):
            told[arrived[event.request][1]][1] += 1
        if isinstance(event, AttemptEnded) and event.finished:
            answered.add(event.request)
    assert answered == set(arrived), "each has one end"
    return told


def test_in_overload_what_is_worth_more_is_served_and_the_rest_is_not_starved() -> None:
    settings = Settings((LIGHT, HEAVY), worth_by_work=True, max_attempts=1)
    told = overload(settings, {0: 60.0, 1: 60.0})
    light, heavy = (served / asked for served, asked in (told[0], told[1]))
    assert heavy > 0.6 and 0.05 < light < heavy - 0.2


def test_what_cannot_come_in_time_leaves_its_place_to_what_can(monkeypatch: pytest.MonkeyPatch) -> None:
    hopeless = RequestClass("close", 600.0, 4000.0, worth=2.0)
    settings = Settings((LIGHT, hopeless), worth_by_work=True, max_attempts=1)
    told = overload(settings, {0: 60.0, 1: 900.0})
    monkeypatch.setattr(CostLatencyFit, "completion_probability", lambda *_: 1.0)
    blind = overload(settings, {0: 60.0, 1: 900.0})
    assert told[0][0] > 2.0 * blind[0][0]


def test_hopeless_work_alone_still_goes_out_and_is_learned_anew() -> None:
    """All that comes is foretold to be late: none the less some of it is tried, and once it is quick again
    all of it is."""
    node = Balancer(Settings((LIGHT,)), 2)
    node.handle(ServerList(ListKind.FULL, (ServerEntry(b"a"), ServerEntry(b"b"))), 0.0)
    now, sent = 0.0, [0, 0]
    for i in range(600):
        now += 100.0
        slow = i < 300
        for action in node.handle(Arrival(i, 0, 1500.0), now):
            if isinstance(action, Send):
                sent[not slow] += 1
                took = 1400.0 if slow else 40.0
                node.handle(AttemptEnded(i, 0, action.server, Outcome.OK, took, True), now + 50.0)
    assert sent[0] > 100 and sent[1] > 290


@pytest.mark.parametrize(("strain", "little", "most"), [(0.5, 9, 9), (0.85, 8, 9), (1.0, 7, 9), (2.0, 7, 9)])
def test_places_are_kept_for_what_is_worth_most_the_more_strain_there_is(
    strain: float, little: int, most: int
) -> None:
    turn = EventContext(random.Random(1))
    settings = Settings((HEAVY,))
    admission = Admission(settings, turn, LoadReports(settings, turn))
    admission.limit.value, admission.strain.value = 10.0, strain

    def calls(worth: float) -> int:
        """The most calls out with which one more of this worth still has room."""
        value = RequestValue(1.0, 1.0, worth, False)
        request = Request(1, HEAVY, 0, 0.0, 3000.0, value, 1, 0.9)
        return max(out for out in range(12) if admission.has_room(request, out))

    assert (calls(0.0), calls(HEAVY.worth)) == (little, most)
