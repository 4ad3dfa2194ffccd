"""When a node requests its server list: at most one request is scheduled, with back-off after failures."""

from __future__ import annotations

import math
import random

from leadrudder.interface import ListKind, Settings
from leadrudder.state.backoff import Backoff

# Shares of must_ask_ms, the time in which a node must request the list.
FIRST_CALL_SPREAD = 0.3  # the first requests of all nodes are spread over this
REPEAT_CALL_SHARE = 0.5  # a request without a reply is repeated after this; also the longest back-off
FIRST_PAUSE_SHARE = 0.2  # the longest pause after a first failure


class ListCallSchedule:
    """Schedule of one node's list requests; the owner's timers keep the time."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._backoff = Backoff(
            rng, FIRST_PAUSE_SHARE * settings.must_ask_ms, REPEAT_CALL_SHARE * settings.must_ask_ms
        )
        self._subscribed = False
        self.failed_calls = 0  # since the last list
        self._next_call_at = math.inf  # time of the next request

    def on_list_event(self, kind: ListKind, now: float) -> float | None:
        """A list has come, or a request has failed: returns when to ask next, None if there is no need."""
        if kind is ListKind.FAILED:
            # Discovery is down or refuses: keep the last list and retry with back-off.
            self._subscribed = False
            self.failed_calls += 1
            return self._schedule(now + self._backoff.next_pause())
        if kind is not ListKind.CACHED:
            self._subscribed, self.failed_calls = True, 0
            self._backoff.reset()
        elif self._settings.ask_for_list:
            # All nodes may start at once: spread their first requests well inside the allowed time.
            return self._schedule(now + self._rng.random() * FIRST_CALL_SPREAD * self._settings.must_ask_ms)
        return None

    def on_timer(self, now: float) -> float | None:
        """Whether to request the list now: when to check for a missing reply, or None for no request."""
        if now < self._next_call_at or self._subscribed:
            return None  # rescheduled to a later time, or no longer needed
        return self._schedule(now + REPEAT_CALL_SHARE * self._settings.must_ask_ms)

    def _schedule(self, at: float) -> float:
        """Replace the scheduled request: there is never more than one.

        Guards against requests that multiply while discovery is unreachable: with one timer for each failed
        request and another that guards against a missing reply, their number doubled with every pause on
        every node.
        """
        self._next_call_at = at
        return at
