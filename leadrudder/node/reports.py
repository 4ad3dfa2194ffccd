"""The load reports that servers put into answers: X-Load, as a JSON object of a few figures.

What can't be read is handed on as figures that are none, so that it is the decisions' to say so, once for all
servers and for every protocol.
"""

from __future__ import annotations

import json
import math

from leadrudder.state.reports import HELD, QUEUED, UTILISATION

MAX_REPORT_BYTES = 512
MAX_CACHED_REPORTS = 256

LoadReport = tuple[float, ...]


class LoadReportParser:
    """Reads the columns that the settings name, in their order.

    A server tells the same until it has measured anew, a second or so: what was read lately is kept.
    """

    def __init__(self, columns: tuple[str, ...]) -> None:
        self._columns = [_names(column) for column in columns]
        self._none = (math.nan,) * len(columns)
        self._kept: dict[bytes, LoadReport] = {}

    def parse(self, value: bytes | None) -> LoadReport:
        """The figures; empty where there is no report or none is wanted, NaN each where it can't be read."""
        if value is None or not self._columns:
            return ()
        report = self._kept.get(value)
        if report is None:
            report = self._parse_json(value)
            if len(self._kept) >= MAX_CACHED_REPORTS:
                del self._kept[next(iter(self._kept))]
            self._kept[value] = report
        return report

    def _parse_json(self, value: bytes) -> LoadReport:
        if len(value) > MAX_REPORT_BYTES:
            return self._none
        try:
            told = json.loads(value)
        except (ValueError, RecursionError):
            return self._none
        if not isinstance(told, dict):
            return self._none
        figures = [next((told[n] for n in names if n in told), None) for names in self._columns]
        if not all(isinstance(f, int | float) and not isinstance(f, bool) for f in figures):
            return self._none
        try:
            return tuple(float(f) for f in figures if f is not None)
        except OverflowError:
            return self._none


def _names(column: str) -> tuple[str, ...]:
    """How servers may name a figure: as the settings do first."""
    others = next((names for names in (UTILISATION, HELD, QUEUED) if column in names), ())
    return column, *(name for name in others if name != column)
