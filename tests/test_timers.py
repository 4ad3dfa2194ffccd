"""Timer queue: order, the single wake-up, and the removal of obsolete timers."""

from __future__ import annotations

from leadrudder.state.timers import MIN_PRUNE_SIZE, Subject, TimerQueue


def test_timers_fall_due_in_order_with_a_single_wakeup() -> None:
    timers = TimerQueue(lambda kind, subject: False)
    assert timers.next_wakeup() is None
    timers.schedule(30.0, 1, 7)
    first = timers.next_wakeup()
    assert first is not None and first[1] == 30.0 and timers.next_wakeup() is None
    timers.schedule(10.0, 2, b"x")
    second = timers.next_wakeup()
    assert second is not None and second[1] == 10.0 and second[0] != first[0]
    timers.schedule(20.0, 3)
    assert timers.next_wakeup() is None, "the pending wake-up comes earlier"
    assert list(timers.pop_due(25.0)) == [(2, b"x"), (3, None)]
    timers.on_wakeup(first[0])  # it was superseded
    assert timers.next_wakeup() is None
    timers.on_wakeup(second[0])
    assert timers.next_wakeup() is not None


def test_obsolete_timers_are_removed_and_all_others_kept() -> None:
    live_subjects: set[Subject] = set()
    timers = TimerQueue(lambda kind, subject: kind == 0 and subject not in live_subjects)
    for i in range(20 * MIN_PRUNE_SIZE):
        if i % 100 == 0:
            live_subjects.add(i)
        timers.schedule(1e6 + i, 0, i)
        if i % 50 == 0:
            timers.schedule(2e6 + i, 1, i)
    assert len(timers) <= 2 * (20 * MIN_PRUNE_SIZE // 100 + 20 * MIN_PRUNE_SIZE // 50) + MIN_PRUNE_SIZE
    due = list(timers.pop_due(1e9))
    assert {s for kind, s in due if kind == 0} >= live_subjects
    assert sum(kind == 1 for kind, _ in due) == len(range(0, 20 * MIN_PRUNE_SIZE, 50))
