"""The approved hours of a contract: rules in local time, evaluated to intervals of UTC.

A moment is approved according to the local time at that moment. At changes of daylight saving time an hour
that occurs twice is approved both times, an hour that is skipped is not, and an interval across the change
has its actual length. Excluded days and busy hours take precedence over approved hours. Times are seconds
since 1970.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import UTC, date, datetime, timedelta
from zoneinfo import ZoneInfo

HOUR_S = 3600.0
DAY_S = 86400.0
_EPOCH = date(1970, 1, 1)


@dataclass(frozen=True, slots=True, order=True)
class Interval:
    """A half-open interval: from begin, up to but not including end."""

    begin: float
    end: float

    def contains(self, other: Interval) -> bool:
        return self.begin <= other.begin and other.end <= self.end


def merge_intervals(intervals: Iterable[Interval]) -> list[Interval]:
    """The union of the intervals, sorted and without overlaps."""
    merged: list[Interval] = []
    for interval in sorted(interval for interval in intervals if interval.end > interval.begin):
        if merged and interval.begin <= merged[-1].end:
            merged[-1] = Interval(merged[-1].begin, max(merged[-1].end, interval.end))
        else:
            merged.append(interval)
    return merged


def intersect(one: Iterable[Interval], other: Iterable[Interval]) -> list[Interval]:
    """The intersection of two sorted lists of disjoint intervals."""
    first, second, common = list(one), list(other), []
    i = j = 0
    while i < len(first) and j < len(second):
        begin, end = max(first[i].begin, second[j].begin), min(first[i].end, second[j].end)
        if begin < end:
            common.append(Interval(begin, end))
        if first[i].end < second[j].end:
            i += 1
        else:
            j += 1
    return common


def subtract(one: Iterable[Interval], other: Iterable[Interval]) -> list[Interval]:
    """The first list without the second; both are sorted and disjoint."""
    out = []
    excluded = list(other)
    for interval in one:
        begin = interval.begin
        for gap in excluded:
            if gap.end <= begin or gap.begin >= interval.end:
                continue
            if gap.begin > begin:
                out.append(Interval(begin, gap.begin))
            begin = gap.end
        if begin < interval.end:
            out.append(Interval(begin, interval.end))
    return out


def shrink(intervals: Iterable[Interval], by: float) -> list[Interval]:
    """Move both ends of each interval inwards, to allow for clock skew."""
    return [Interval(s.begin + by, s.end - by) for s in intervals if s.end - s.begin > 2 * by]


@dataclass(frozen=True, slots=True)
class HoursRule:
    """Hours of certain days, in minutes since midnight.

    An end that is not after the beginning is on the next day.  days: weekdays, 0 is Monday; on: a single date
    instead.
    """

    begin: int
    end: int
    days: frozenset[int] = frozenset()
    on: date | None = None

    def seconds_on(self, day: date) -> tuple[float, float] | None:
        """Begin and end of the hours that start on a day, in seconds since its midnight; None: no hours."""
        if day != self.on and (self.on is not None or day.weekday() not in self.days):
            return None
        end = self.end if self.end > self.begin else self.end + 24 * 60
        return 60.0 * self.begin, 60.0 * end


@dataclass(frozen=True, slots=True)
class ApprovedHours:
    """The hours in which machines may be taken out of a tenant's traffic."""

    zone: ZoneInfo
    approved: tuple[HoursRule, ...]
    busy: tuple[HoursRule, ...] = ()
    never: frozenset[date] = frozenset()

    def intervals_between(self, begin: float, end: float) -> list[Interval]:
        """The approved intervals within a time range, exact to the second at changes of the UTC offset."""
        intervals: list[Interval] = []
        for segment, offset in _constant_offset_segments(self.zone, begin, end):
            local = Interval(segment.begin + offset, segment.end + offset)
            allowed = intersect(merge_intervals(self._local_intervals(self.approved, local)), [local])
            allowed = subtract(allowed, merge_intervals(self._local_intervals(self.busy, local)))
            allowed = subtract(allowed, merge_intervals(_whole_day(day) for day in self.never))
            intervals += [Interval(s.begin - offset, s.end - offset) for s in allowed]
        return merge_intervals(intervals)

    def _local_intervals(self, rules: tuple[HoursRule, ...], local: Interval) -> Iterator[Interval]:
        """The intervals of the rules in local time, as seconds since 1970 local time."""
        day = _EPOCH + timedelta(days=int(local.begin // DAY_S) - 1)
        last = _EPOCH + timedelta(days=int(local.end // DAY_S))
        while day <= last:
            midnight = _whole_day(day).begin
            for rule in rules:
                if (hours := rule.seconds_on(day)) is not None:
                    yield Interval(midnight + hours[0], midnight + hours[1])
            day += timedelta(days=1)


def _whole_day(day: date) -> Interval:
    begin = (day - _EPOCH).days * DAY_S
    return Interval(begin, begin + DAY_S)


def _utc_offset_s(zone: ZoneInfo, at: float) -> float:
    shift = datetime.fromtimestamp(at, UTC).astimezone(zone).utcoffset()
    assert shift is not None
    return shift.total_seconds()


def _constant_offset_segments(zone: ZoneInfo, begin: float, end: float) -> Iterator[tuple[Interval, float]]:
    """The parts of a time range that have a constant UTC offset, each with its offset."""
    at, offset = begin, _utc_offset_s(zone, begin)
    probe = begin
    while probe < end:
        probe = min(end, probe + HOUR_S)
        if _utc_offset_s(zone, probe) == offset:
            continue
        low, high = probe - HOUR_S, probe  # bisect for the change, which falls on a whole second
        while high - low > 0.5:
            middle = (low + high) / 2.0
            low, high = (middle, high) if _utc_offset_s(zone, middle) == offset else (low, middle)
        change = float(round(high))
        if change > at:
            yield Interval(at, change), offset
        at, offset = change, _utc_offset_s(zone, probe)
    if at < end:
        yield Interval(at, end), offset
