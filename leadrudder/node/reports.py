"""Parses the load reports in servers' responses: the X-Load header, a JSON object of a few numbers.

An unreadable report is passed on as NaN values, so that the balancer logs it once for all servers and
protocols.
"""

from __future__ import annotations

import json
import math

from leadrudder.state.reports import OUTSTANDING_COLUMNS, QUEUE_COLUMNS, UTILIZATION_COLUMNS

MAX_REPORT_BYTES = 512
MAX_CACHED_REPORTS = 256

LoadReport = tuple[float, ...]


class LoadReportParser:
    """Parses the columns that the settings name, in their order.

    Servers repeat a report until their next measurement, about a second later, so recent ones are cached.
    """

    def __init__(self, columns: tuple[str, ...]) -> None:
        self._columns = [_accepted_names(column) for column in columns]
        self._unreadable = (math.nan,) * len(columns)
        self._cache: dict[bytes, LoadReport] = {}

    def parse(self, value: bytes | None) -> LoadReport:
        """The values; empty if there is no report or no column is configured, all NaN if it is unreadable."""
        if value is None or not self._columns:
            return ()
        report = self._cache.get(value)
        if report is None:
            report = self._parse_json(value)
            if len(self._cache) >= MAX_CACHED_REPORTS:
                del self._cache[next(iter(self._cache))]
            self._cache[value] = report
        return report

    def _parse_json(self, value: bytes) -> LoadReport:
        if len(value) > MAX_REPORT_BYTES:
            return self._unreadable
        try:
            fields = json.loads(value)
        except (ValueError, RecursionError):
            return self._unreadable
        if not isinstance(fields, dict):
            return self._unreadable
        values = [next((fields[n] for n in names if n in fields), None) for names in self._columns]
        if not all(isinstance(f, int | float) and not isinstance(f, bool) for f in values):
            return self._unreadable
        try:
            return tuple(float(f) for f in values if f is not None)
        except OverflowError:
            return self._unreadable


def _accepted_names(column: str) -> tuple[str, ...]:
    """The names under which servers may report a column, the configured one first."""
    others = next(
        (names for names in (UTILIZATION_COLUMNS, OUTSTANDING_COLUMNS, QUEUE_COLUMNS) if column in names), ()
    )
    return column, *(name for name in others if name != column)
