"""How long a client has waited before it sent a request, by the time that it has left. No I/O."""

from __future__ import annotations

SPAN_S = (
    10.0  # for so long at least, and twice as long at most, the longest time left of a route is remembered
)


class ClientPatience:
    """Clients of a route give their first tries the same time, and later ones what is left of it.

    So the longest time left that was seen of late is a first try's, and who has less has waited. Where
    clients of one route differ, the less patient ones count as having waited: that decides no more than who
    goes first at a full server.
    """

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}  # milliseconds, by route, in the present span
        self._before: dict[str, float] = {}  # in the one before
        self._span_ends = 0.0

    def estimate_waited_ms(self, route: str, left_ms: float, now: float) -> float:
        """For how long the client of a request with so much time left has waited already; now: seconds."""
        if now >= self._span_ends:
            self._before = self._longest if now < self._span_ends + SPAN_S else {}
            self._longest = {}
            self._span_ends = now + SPAN_S
        longest = max(left_ms, self._longest.get(route, 0.0))
        self._longest[route] = longest
        return max(longest, self._before.get(route, 0.0)) - left_ms
