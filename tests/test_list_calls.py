"""Calls for the server list while it is out of reach."""

from __future__ import annotations

from leadrudder.interface import ListKind, RequestClass, ServerEntry, ServerList, Settings
from tests.checker import Surrounding

ASKING = Settings(
    classes=(RequestClass("r", 1000, 3000),), ask_for_list=True, must_ask_ms=4000.0, tick_ms=5.0
)


def test_an_outage_of_the_list_does_not_multiply_the_calls_for_it() -> None:
    """Seen in service: every failed call left a second timer behind, so that calls doubled with each
    pause until their count overflowed a float and stopped the instance."""
    play = Surrounding(ASKING, seed=5)
    play.list_of([ServerEntry(b"a")], ListKind.CACHED)
    answered = 0
    per_second = []
    for _ in range(60):
        before = play.subscriptions
        for _ in range(20):
            play.step(50.0)
            while answered < play.subscriptions:
                answered += 1
                play.feed(ServerList(ListKind.FAILED))
        per_second.append(play.subscriptions - before)
    assert max(per_second) <= 3, per_second
    assert sum(per_second[-20:]) >= 5  # it goes on asking: the rule deems it told after a while


def test_an_unanswered_call_is_repeated_in_time() -> None:
    play = Surrounding(ASKING, seed=5)
    play.list_of([ServerEntry(b"a")], ListKind.CACHED)
    for _ in range(400):
        play.step(50.0)
    assert 20_000 / 4000.0 <= play.subscriptions <= 20_000 / 2000.0 + 1


def test_years_of_failures_do_not_stop_an_instance() -> None:
    play = Surrounding(ASKING, seed=5)
    play.list_of([ServerEntry(b"a")], ListKind.CACHED)
    for _ in range(3000):
        play.feed(ServerList(ListKind.FAILED))
    assert play.balancer._list_calls._backoff.pause() <= 0.5 * ASKING.must_ask_ms
