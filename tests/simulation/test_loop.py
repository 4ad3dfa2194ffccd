"""The scheduler and the event loop on virtual time."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import Network, NullObserver
from leadrudder.simulation.scheduler import Scheduler


def _make_loop(seed: str = "1") -> tuple[Scheduler, VirtualLoop, list[str]]:
    scheduler = Scheduler(seed)
    errors: list[str] = []
    network = Network(scheduler, seed, NullObserver())
    loop = VirtualLoop(  # type: ignore[abstract]
        "p", "10.0.0.1", scheduler, network, lambda _, text: errors.append(text)
    )
    return scheduler, loop, errors


def _run(scheduler: Scheduler) -> None:
    while scheduler.run_one():
        pass


def test_timers_fire_in_order_and_time_jumps_to_them() -> None:
    scheduler, loop, _ = _make_loop()
    seen: list[tuple[str, float]] = []
    for name, delay in (("late", 3600.0), ("soon", 0.25), ("now", 0.0)):
        loop.call_later(delay, lambda name=name: seen.append((name, loop.time())))
    _run(scheduler)
    assert seen == [("now", 0.0), ("soon", 0.25), ("late", 3600.0)]
    assert loop.live_timers == 0


def test_time_and_timers_count_whole_milliseconds_as_uvloops_do() -> None:
    scheduler, loop, _ = _make_loop()
    seen: list[float] = []
    scheduler.schedule_timer(
        1700, None, "x", lambda: loop.call_later(0.0016, lambda: seen.append(scheduler.now))
    )
    _run(scheduler)
    assert seen == [3000]


def test_a_cancelled_timer_does_not_fire_and_is_counted_once() -> None:
    scheduler, loop, _ = _make_loop()
    seen: list[int] = []
    handle = loop.call_later(1.0, seen.append, 1)
    handle.cancel()
    handle.cancel()
    _run(scheduler)
    assert not seen and loop.live_timers == 0 and handle.cancelled()


def test_call_soon_callbacks_keep_their_order_and_precede_deliveries() -> None:
    for seed in range(20):
        scheduler, loop, _ = _make_loop(str(seed))
        seen: list[int] = []
        scheduler.schedule_delivery(0, loop, "n", seen.append, 3)
        loop.call_soon(seen.append, 1)
        loop.call_soon(seen.append, 2)
        _run(scheduler)
        assert seen == [1, 2, 3]


def test_a_timer_and_a_delivery_at_one_instant_run_in_both_orders() -> None:
    orders = set()
    for seed in range(30):
        scheduler, loop, _ = _make_loop(str(seed))
        seen: list[str] = []
        loop.call_later(0.005, seen.append, "timer")
        scheduler.schedule_delivery(5000, loop, "reply", seen.append, "reply")
        _run(scheduler)
        orders.add(tuple(seen))
    assert orders == {("timer", "reply"), ("reply", "timer")}


def test_a_frozen_process_runs_its_due_steps_when_it_thaws() -> None:
    scheduler, loop, _ = _make_loop()
    seen: list[tuple[int, int]] = []
    for number, due in enumerate((1000, 2000, 9000)):
        scheduler.schedule_timer(due, loop, "x", lambda number=number: seen.append((number, scheduler.now)))
    loop.frozen_until_us = 5000
    _run(scheduler)
    assert sorted(seen) == [(0, 5000), (1, 5000), (2, 9000)]


def test_tasks_timeouts_and_events_work() -> None:
    scheduler, loop, errors = _make_loop()
    seen: list[Any] = []

    async def main() -> None:
        assert asyncio.get_running_loop() is loop
        event = asyncio.Event()
        loop.call_later(2.0, event.set)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.0):
                await event.wait()
        await event.wait()
        await asyncio.sleep(1.0)
        seen.append(loop.time())

    loop.spawn(main())
    _run(scheduler)
    assert seen == [3.0] and not errors and not loop.unfinished_tasks()


def test_an_exception_in_a_callback_is_reported() -> None:
    scheduler, loop, errors = _make_loop()

    def fail() -> None:
        raise KeyError("x")

    loop.call_soon(fail)
    _run(scheduler)
    assert len(errors) == 1 and "KeyError" in errors[0]


def test_a_killed_process_runs_no_more_callbacks() -> None:
    scheduler, loop, errors = _make_loop()
    seen: list[int] = []
    loop.call_later(1.0, seen.append, 1)

    async def main() -> None:
        await asyncio.sleep(2.0)
        seen.append(2)

    loop.spawn(main())
    scheduler.schedule_timer(500_000, None, "kill", loop.kill)
    _run(scheduler)
    assert not seen and not errors and loop.is_closed()


def test_a_signal_runs_its_handler_and_without_one_kills() -> None:
    scheduler, loop, _ = _make_loop()
    seen: list[int] = []
    loop.add_signal_handler(15, seen.append, 15)
    loop.deliver_signal(15)
    _run(scheduler)
    assert seen == [15] and loop.alive
    assert loop.remove_signal_handler(15) and not loop.remove_signal_handler(15)
    loop.deliver_signal(15)
    assert not loop.alive


def test_unsupported_methods_raise() -> None:
    _, loop, _ = _make_loop()
    with pytest.raises(NotImplementedError):
        loop.run_forever()


def test_the_digest_depends_on_the_steps() -> None:
    digests = set()
    for delays in ((0.1, 0.2), (0.1, 0.2), (0.1, 0.3)):
        scheduler, loop, _ = _make_loop()
        for delay in delays:
            loop.call_later(delay, int)
        _run(scheduler)
        digests.add(scheduler.digest())
    assert len(digests) == 2
