"""Estimates how long a client has already waited, from the remaining time that its request states. No I/O."""

from __future__ import annotations

WINDOW_S = 10.0  # the longest remaining time of a route is kept for one to two windows


class ClientPatience:
    """Clients of a route set the same time limit on a first attempt, and give retries what remains of it.

    The longest remaining time seen recently is therefore that of a first attempt, and a request with less has
    waited for the difference. Clients of a route with shorter limits count as having waited, too: this
    affects only the order in the queue of a full server.
    """

    def __init__(self) -> None:
        self._longest_left_ms: dict[str, float] = {}  # by route, in the current window
        self._previous_longest_left_ms: dict[str, float] = {}  # in the previous window
        self._window_ends_at = 0.0

    def estimate_waited_ms(self, route: str, left_ms: float, now: float) -> float:
        """Time that the client of a request with this remaining time has already waited; now in seconds."""
        if now >= self._window_ends_at:
            self._previous_longest_left_ms = (
                self._longest_left_ms if now < self._window_ends_at + WINDOW_S else {}
            )
            self._longest_left_ms = {}
            self._window_ends_at = now + WINDOW_S
        longest_left_ms = max(left_ms, self._longest_left_ms.get(route, 0.0))
        self._longest_left_ms[route] = longest_left_ms
        return max(longest_left_ms, self._previous_longest_left_ms.get(route, 0.0)) - left_ms
