"""Requests for the server list while discovery is unreachable."""

from __future__ import annotations

from leadrudder.interface import ListKind, RequestClass, ServerEntry, ServerList, Settings
from tests.checker import Surrounding

SETTINGS = Settings(
    classes=(RequestClass("r", 1000, 3000),), ask_for_list=True, must_ask_ms=4000.0, tick_ms=5.0
)


def test_an_outage_of_discovery_does_not_multiply_list_requests() -> None:
    """Guards against a second timer for each failed request: requests doubled with each pause until their
    count overflowed a float and stopped the instance."""
    play = Surrounding(SETTINGS, seed=5)
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
    assert sum(per_second[-20:]) >= 5  # it goes on asking: the rule assumes an answer after a while


def test_an_unanswered_request_is_repeated_in_time() -> None:
    play = Surrounding(SETTINGS, seed=5)
    play.list_of([ServerEntry(b"a")], ListKind.CACHED)
    for _ in range(400):
        play.step(50.0)
    assert 20_000 / 4000.0 <= play.subscriptions <= 20_000 / 2000.0 + 1


def test_years_of_failures_do_not_stop_an_instance() -> None:
    play = Surrounding(SETTINGS, seed=5)
    play.list_of([ServerEntry(b"a")], ListKind.CACHED)
    for _ in range(3000):
        play.feed(ServerList(ListKind.FAILED))
    assert play.balancer._list_calls._backoff.next_pause() <= 0.5 * SETTINGS.must_ask_ms
