"""When a node calls for its server list: one call at a time is planned, later each time that one fails."""

from __future__ import annotations

import math
import random

from leadrudder.interface import ListKind, Settings
from leadrudder.state.backoff import Backoff

FIRST_CALL_SPREAD = (
    0.3  # of the time in which a node must ask: the first calls of all nodes are spread over it
)
REPEAT_CALL_SHARE = 0.5  # of it: a call without a reply is made again, and pauses grow no longer
FIRST_PAUSE_SHARE = 0.2  # of it: the longest pause after a first failure


class ListCallSchedule:
    """The plan of one node; its owner's timers keep the time."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._backoff = Backoff(
            rng, FIRST_PAUSE_SHARE * settings.must_ask_ms, REPEAT_CALL_SHARE * settings.must_ask_ms
        )
        self._subscribed = False
        self.failed_calls = 0  # calls, since a list last came
        self._at = math.inf  # when the list is asked for next

    def on_list_event(self, kind: ListKind, now: float) -> float | None:
        """A list has come, or a call has failed: when to ask next, None if there is no need."""
        if kind is ListKind.FAILED:
            # Discovery is down or refuses: keep the last list and ask again, later each time.
            self._subscribed = False
            self.failed_calls += 1
            return self._plan(now + self._backoff.next_pause())
        if kind is not ListKind.CACHED:
            self._subscribed, self.failed_calls = True, 0
            self._backoff.reset()
        elif self._settings.ask_for_list:
            # All nodes may start at once: spread their first calls, well inside the time to ask.
            return self._plan(now + self._rng.random() * FIRST_CALL_SPREAD * self._settings.must_ask_ms)
        return None

    def on_timer(self, now: float) -> float | None:
        """Whether to call now: then when to look again, in case no reply comes."""
        if now < self._at or self._subscribed:
            return None  # a later call has been planned instead, or none is needed any more
        return self._plan(now + REPEAT_CALL_SHARE * self._settings.must_ask_ms)

    def _plan(self, when: float) -> float:
        """One call is planned at a time; a new plan replaces the old.

        Guards against calls that multiply while the list is out of reach: a timer for each failed call
        beside the one that guards the call itself doubled them with every pause, on every node at once.
        """
        self._at = when
        return when
