"""Machine drains at a data-plane node: machines excluded from some routes for a time, by the node's clock.

A drain ends by itself at its end time, so a drained machine returns to service even if the control plane is
unreachable. A drain is ignored where no other server is left for a route.
"""

from __future__ import annotations

from collections.abc import Callable

from leadrudder.configuration.item_store import ItemStore
from leadrudder.configuration.items import CONTRACT_PREFIX, Route
from leadrudder.maintenance import window
from leadrudder.maintenance.window import WINDOW_PREFIX, DrainSchedule


class MachineDrains:
    """wall: Unix time in seconds; monotonic: monotonic time in seconds.

    call_later: calls a function after a delay in seconds; on_drain_ended: called when a drain ends by itself.
    """

    def __init__(
        self,
        wall: Callable[[], float],
        monotonic: Callable[[], float],
        call_later: Callable[[float, Callable[[], None]], object],
        on_drain_ended: Callable[[], None],
    ) -> None:
        self._wall, self._monotonic, self._call_later, self._on_drain_ended = (
            wall,
            monotonic,
            call_later,
            on_drain_ended,
        )
        self._ends_at: dict[float, float] = {}  # on the monotonic clock, by end on the wall clock
        self._drains = DrainSchedule()
        self._next_end_at = float("inf")

    def any(self) -> bool:
        return bool(self._drains.by_machine)

    def update(self, book: ItemStore) -> None:
        """Update the drains from the configuration."""
        windows = window.read_windows(book.live_items(WINDOW_PREFIX).items())
        self._drains = DrainSchedule.from_windows(
            windows, window.read_tenant_traffic(book.live_items(CONTRACT_PREFIX).items())
        )
        # The drain must end on time even if the wall clock is set back meanwhile.
        offset = self._monotonic() - self._wall()
        previous, self._ends_at = self._ends_at, {}
        for until in self._drains.end_times():
            self._ends_at[until] = min(until + offset, previous.get(until, float("inf")))
        self._schedule_next_end()

    def is_drained(self, machine: str, route: Route) -> bool:
        now = self._wall()
        monotonic = self._monotonic()
        return any(
            monotonic < self._ends_at.get(drain.until, 0.0)
            for drain in self._drains.active_drains(machine, route.name, route.host, now)
        )

    def _schedule_next_end(self) -> None:
        now = self._wall()
        next_end = self._drains.next_end(now)
        if next_end is None or next_end >= self._next_end_at > now:
            return
        self._next_end_at = next_end
        self._call_later(next_end - now + 0.001, self._on_timer)

    def _on_timer(self) -> None:
        self._next_end_at = float("inf")
        self._schedule_next_end()
        self._on_drain_ended()
