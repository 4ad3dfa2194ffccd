"""The four rules in edge cases and on seeded random streams."""

from __future__ import annotations

import itertools

import pytest

from leadrudder import Balancer
from leadrudder.interface import (
    Arrival,
    AttemptEnded,
    Effect,
    Fail,
    ImpossibleSettings,
    ListKind,
    Outcome,
    Readiness,
    Refuse,
    RepeatGroup,
    RequestClass,
    RequestGone,
    Send,
    ServerEntry,
    Settings,
    TimerFired,
    UnexpectedEvent,
)
from tests.checker import Surrounding

EFFECTS = [
    RequestClass("safe", 1000, 3000, effect=Effect.SAFE),
    RequestClass("unsafe", 1000, 3000, effect=Effect.UNSAFE),
    RequestClass("all", 1000, 3000, effect=Effect.KEYED, group=RepeatGroup.ALL, window_ms=1500),
    RequestClass("zone", 1000, 3000, effect=Effect.KEYED, group=RepeatGroup.ZONE, window_ms=1500),
    RequestClass("cell", 1000, 3000, effect=Effect.KEYED, group=RepeatGroup.CELL, window_ms=400),
]


def make(kind: RequestClass, **more: object) -> Surrounding:
    values: dict[str, object] = {
        "answer_slack_ms": 20.0,
        "tick_ms": 5.0,
        "may_probe": True,
        "max_attempts": 4,
    }
    values.update(more)
    return Surrounding(Settings(classes=(kind,), **values), seed=3)  # type: ignore[arg-type]


def rows(n: int) -> list[ServerEntry]:
    return [ServerEntry(bytes([i]), zone=i % 2, cell=i // 2) for i in range(n)]


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("duplicate", [True, False])
def test_rules_hold_on_any_stream(seed: int, duplicate: bool) -> None:
    for stage in (0, 1):
        settings = Settings(
            classes=tuple(EFFECTS),
            stage=stage,
            stages=2,
            answer_slack_ms=20.0,
            tick_ms=5.0,
            may_duplicate=duplicate,
            may_probe=True,
            ask_for_list=bool(seed % 2),
            max_attempts=2 + seed % 4,
        )
        harness = Surrounding(settings, seed)
        harness.list_of(rows(8), ListKind.CACHED)
        harness.run_random_events(1500)
        assert sum(isinstance(a, Send) for a in harness.log) > 100
        assert all(request_state.done_at is not None for request_state in harness.owed.values())


def test_a_request_is_answered_though_no_server_is_known() -> None:
    harness = make(EFFECTS[1])
    harness.arrive()
    for _ in range(400):
        harness.step(10)
    assert [type(a) for a in harness.log if isinstance(a, Refuse | Fail)] == [Refuse]


def test_unsafe_request_is_retried_after_a_failed_connect_and_fails_after_an_error() -> None:
    harness = make(EFFECTS[1])
    harness.list_of(rows(4))
    first = harness.arrive()
    harness.end(first, 0, Outcome.CONNECT_FAILED)
    assert len(harness.owed[first].attempts) == 2
    harness.end(first, 1, Outcome.ERROR)
    assert isinstance(harness.log[-1], Fail) and len(harness.owed[first].attempts) == 2


@pytest.mark.parametrize(("index", "answer"), [(2, Refuse), (3, Fail), (4, Fail)])
def test_keyed_request_stays_in_its_group_and_window(index: int, answer: type) -> None:
    harness = make(EFFECTS[index], may_duplicate=False)
    harness.list_of(rows(6))
    request = harness.arrive()
    harness.end(request, 0, Outcome.ERROR)
    assert len(harness.owed[request].attempts) == 2  # the harness has checked the group
    harness.now += EFFECTS[index].window_ms
    harness.end(request, 1, Outcome.ERROR)
    assert len(harness.owed[request].attempts) == 2
    assert any(isinstance(a, answer) for a in harness.log)


def test_no_second_copy_where_copies_are_forbidden() -> None:
    for duplicate in (False, True):
        harness = make(EFFECTS[0], may_duplicate=duplicate)
        harness.list_of(rows(4))
        for _ in range(20):
            done = harness.arrive()
            harness.step(20)
            harness.end(done, 0, Outcome.OK)
        request = harness.arrive()
        before = [len(harness.owed[request].attempts)]
        for _ in range(30):
            harness.now += 10  # no timeouts are delivered; only the module's timers fire
            harness.fire_due()
            before.append(len(harness.owed[request].attempts))
        assert (before[-1] > 1) is duplicate


def test_drained_gone_and_unlisted_servers_get_nothing() -> None:
    harness = make(EFFECTS[0])
    harness.list_of(rows(4))
    drained = [ServerEntry(bytes([0]), Readiness.DRAINING), ServerEntry(bytes([1]), Readiness.GONE)]
    harness.list_of(drained, ListKind.CHANGES)
    for _ in range(40):
        harness.end(harness.arrive(), 0, Outcome.OK)
    harness.list_of([rows(4)[3]], ListKind.FULL)
    for _ in range(5):  # no more than the initial limit for one server
        assert harness.owed[harness.arrive()].attempts[0].entry.server == bytes([3])


def test_a_burst_on_a_fleet_with_a_cold_server_keeps_the_cold_budget() -> None:
    cold_ms, start_share = 8000.0, 0.3
    harness = make(EFFECTS[0], cold_ms=cold_ms, cold_start_share=start_share, balancers=1)
    harness.list_of(rows(4))
    sent_cold: list[tuple[float, float]] = []
    warm_per_s = 0.0
    for step in itertools.count():
        if step == 400:  # after one call each 5 ms, a server restarts and a burst of calls follows
            harness.list_of([ServerEntry(bytes([0]), started_ms=harness.now)], ListKind.CHANGES)
            warm_per_s = 200 / 4
        if step == 800:
            break
        harness.now += 5
        for _ in range(3 if step >= 400 else 1):
            request = harness.arrive()
            server = harness.owed[request].attempts[0].entry.server
            if step >= 400 and server == bytes([0]):
                sent_cold.append((harness.now, harness.now - harness.rows[server].started_ms))
            harness.end(request, 0, Outcome.OK)
    assert sent_cold  # it does get some calls
    for at, _ in sent_cold:
        window = [age for t, age in sent_cold if at <= t < at + 1000]
        capacity = start_share + (1 - start_share) * window[0] / cold_ms
        # The rate of a warm server before the burst is taken as its capacity.
        assert len(window) <= 3 * capacity * 3 * warm_per_s


def test_unlikely_events_are_ignored_and_impossible_events_are_errors() -> None:
    balancer = Balancer(Settings(classes=(EFFECTS[0],)), seed=1)
    assert balancer.handle(RequestGone(77), 1.0) == []
    assert balancer.handle(TimerFired(9), 1.0) == []
    with pytest.raises(UnexpectedEvent, match="was not out"):
        balancer.handle(AttemptEnded(5, 0, b"x", Outcome.OK, 1.0, True), 2.0)
    with pytest.raises(UnexpectedEvent, match="unknown class"):
        balancer.handle(Arrival(6, 9, 100.0), 2.0)
    balancer.handle(Arrival(7, 0, 100.0), 2.0)
    with pytest.raises(UnexpectedEvent, match="twice"):
        balancer.handle(Arrival(7, 0, 100.0), 2.0)


def test_identical_events_give_identical_actions() -> None:
    logs = []
    for _ in range(2):
        harness = make(EFFECTS[0])
        harness.list_of(rows(6))
        harness.run_random_events(400)
        logs.append(harness.log)
    assert logs[0] == logs[1]


def test_send_enforces_the_rules_by_itself() -> None:
    """No caller requests these sends today; the function that sends must refuse them all the same."""
    for duplicate in (False, True):
        harness = make(EFFECTS[0], may_duplicate=duplicate, max_attempts=2)
        harness.list_of(rows(3))
        node = harness.balancer
        request = node._requests[harness.arrive()]
        other, drained = (s for s in node._fleet.arms if s.entry.server != request.attempts[0].entry.server)
        harness.list_of([ServerEntry(drained.entry.server, Readiness.DRAINING)], ListKind.CHANGES)
        assert not node._send(request, drained)
        assert node._send(request, other) is duplicate  # a second copy while the first is out
        assert not duplicate or not node._send(request, other)  # and no more than the attempts allowed
        request.deadline = harness.now + 1.0
        assert not node._send(request, other)
        node._end_unserved(request)
        actions = len(node._turn.actions)
        node._end_unserved(request)
        assert len(node._turn.actions) == actions  # one final answer
        assert not node._send(request, other)


@pytest.mark.parametrize(
    ("field", "value"),
    [("classes", ()), ("max_attempts", 0), ("balancers", 0), ("cold_ms", -1.0), ("tick_ms", float("nan"))],
)
def test_impossible_settings_name_the_field(field: str, value: object) -> None:
    values: dict[str, object] = {"classes": (EFFECTS[0],), field: value}
    with pytest.raises(ImpossibleSettings, match=field):
        Settings(**values)  # type: ignore[arg-type]
    with pytest.raises(ImpossibleSettings, match="aim_ms"):
        RequestClass("x", -5.0, 100.0)
