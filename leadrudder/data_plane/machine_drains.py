"""Loans at a station: machines that get nothing of some routes for a time, by its own clock.

A loan ends by itself when its time is over, whoever can be reached, so a machine that was lent is put back
though the core is cut off. Where nobody else is left to serve a route, a loan counts for nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from leadrudder.configuration.item_store import ItemStore
from leadrudder.configuration.items import CONTRACT_PREFIX, Route
from leadrudder.maintenance import window
from leadrudder.maintenance.window import WINDOW_PREFIX, DrainSchedule


class Lent:
    """wall: Unix time in seconds; steady: only advances; changed: a loan has ended by itself.

    later: calls after so many seconds.
    """

    def __init__(
        self,
        wall: Callable[[], float],
        steady: Callable[[], float],
        later: Callable[[float, Callable[[], None]], object],
        changed: Callable[[], None],
    ) -> None:
        self._wall, self._steady, self._later, self._changed = wall, steady, later, changed
        self._ends: dict[float, float] = {}  # when each loan ends by the steady clock, by when by the wall's
        self._loans = DrainSchedule()
        self._due = float("inf")

    def some(self) -> bool:
        return bool(self._loans.by_machine)

    def take(self, book: ItemStore) -> None:
        """What stands may have changed."""
        windows = window.read_windows(book.live_items(WINDOW_PREFIX).items())
        self._loans = DrainSchedule.from_windows(
            windows, window.read_tenant_traffic(book.live_items(CONTRACT_PREFIX).items())
        )
        # The wall's clock may be put back while a machine is lent: its time is over all the same.
        ahead = self._steady() - self._wall()
        known, self._ends = self._ends, {}
        for until in self._loans.end_times():
            self._ends[until] = min(until + ahead, known.get(until, float("inf")))
        self._look_again()

    def lent(self, machine: str, route: Route) -> bool:
        now = self._wall()
        steady = self._steady()
        return any(
            steady < self._ends.get(loan.until, 0.0)
            for loan in self._loans.active_drains(machine, route.name, route.host, now)
        )

    def _look_again(self) -> None:
        now = self._wall()
        due = self._loans.next_end(now)
        if due is None or due >= self._due > now:
            return
        self._due = due
        self._later(due - now + 0.001, self._ended)

    def _ended(self) -> None:
        self._due = float("inf")
        self._look_again()
        self._changed()
