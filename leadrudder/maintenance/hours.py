"""Hours of a contract in its own time zone, as spans of universal time. Times are seconds since 1970.

A moment is approved by what the clock on the tenant's wall shows then: an hour that comes twice is approved
both times, one that does not come is not, and a span that crosses a change of the clocks is as long as it
then is. Days that are never approved and busy times win over all else.
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
    """From begin on, and until before end."""

    begin: float
    end: float

    def contains(self, other: Interval) -> bool:
        return self.begin <= other.begin and other.end <= self.end


def merge_intervals(spans: Iterable[Interval]) -> list[Interval]:
    """The same moments as few spans in order."""
    out: list[Interval] = []
    for span in sorted(span for span in spans if span.end > span.begin):
        if out and span.begin <= out[-1].end:
            out[-1] = Interval(out[-1].begin, max(out[-1].end, span.end))
        else:
            out.append(span)
    return out


def intersect(one: Iterable[Interval], other: Iterable[Interval]) -> list[Interval]:
    """Moments in both; each is merged and in order."""
    first, second, out = list(one), list(other), []
    i = j = 0
    while i < len(first) and j < len(second):
        begin, end = max(first[i].begin, second[j].begin), min(first[i].end, second[j].end)
        if begin < end:
            out.append(Interval(begin, end))
        if first[i].end < second[j].end:
            i += 1
        else:
            j += 1
    return out


def subtract(one: Iterable[Interval], other: Iterable[Interval]) -> list[Interval]:
    """Moments of the first that are in none of the second; both are merged and in order."""
    out = []
    taken = list(other)
    for span in one:
        begin = span.begin
        for off in taken:
            if off.end <= begin or off.begin >= span.end:
                continue
            if off.begin > begin:
                out.append(Interval(begin, off.begin))
            begin = off.end
        if begin < span.end:
            out.append(Interval(begin, span.end))
    return out


def shrink(spans: Iterable[Interval], by: float) -> list[Interval]:
    """Both edges of each moved inwards: clocks may be apart by so much."""
    return [Interval(s.begin + by, s.end - by) for s in spans if s.end - s.begin > 2 * by]


@dataclass(frozen=True, slots=True)
class HoursRule:
    """Some hours of some days: minutes since midnight; an end that is not after the beginning is on the next
    day.  days: of the week, 0 is Monday; on: a single date instead.
    """

    begin: int
    end: int
    days: frozenset[int] = frozenset()
    on: date | None = None

    def seconds_on(self, day: date) -> tuple[float, float] | None:
        """The hours that begin on a day, in seconds since its midnight; None: it has none."""
        if day != self.on and (self.on is not None or day.weekday() not in self.days):
            return None
        end = self.end if self.end > self.begin else self.end + 24 * 60
        return 60.0 * self.begin, 60.0 * end


@dataclass(frozen=True, slots=True)
class ApprovedHours:
    """When a tenant's machines may be taken out of its traffic."""

    zone: ZoneInfo
    approved: tuple[HoursRule, ...]
    busy: tuple[HoursRule, ...] = ()
    never: frozenset[date] = frozenset()

    def intervals_between(self, begin: float, end: float) -> list[Interval]:
        """The approved spans of a time, exact to the second of a change of the clocks."""
        out: list[Interval] = []
        for segment, offset in _constant_offset_segments(self.zone, begin, end):
            local = Interval(segment.begin + offset, segment.end + offset)
            wanted = intersect(merge_intervals(self._local_intervals(self.approved, local)), [local])
            wanted = subtract(wanted, merge_intervals(self._local_intervals(self.busy, local)))
            wanted = subtract(wanted, merge_intervals(_whole_day(day) for day in self.never))
            out += [Interval(s.begin - offset, s.end - offset) for s in wanted]
        return merge_intervals(out)

    def _local_intervals(self, rules: tuple[HoursRule, ...], local: Interval) -> Iterator[Interval]:
        """What rules give on the wall's clock, told as if it were universal time."""
        day = _EPOCH + timedelta(days=int(local.begin // DAY_S) - 1)
        last = _EPOCH + timedelta(days=int(local.end // DAY_S))
        while day <= last:
            midnight = _whole_day(day).begin
            for rule in rules:
                if (found := rule.seconds_on(day)) is not None:
                    yield Interval(midnight + found[0], midnight + found[1])
            day += timedelta(days=1)


def _whole_day(day: date) -> Interval:
    begin = (day - _EPOCH).days * DAY_S
    return Interval(begin, begin + DAY_S)


def _utc_offset_s(zone: ZoneInfo, at: float) -> float:
    shift = datetime.fromtimestamp(at, UTC).astimezone(zone).utcoffset()
    assert shift is not None
    return shift.total_seconds()


def _constant_offset_segments(zone: ZoneInfo, begin: float, end: float) -> Iterator[tuple[Interval, float]]:
    """Parts of a time in which the zone's clocks are not changed, each with their distance from universal
    time."""
    at, offset = begin, _utc_offset_s(zone, begin)
    probe = begin
    while probe < end:
        probe = min(end, probe + HOUR_S)
        if _utc_offset_s(zone, probe) == offset:
            continue
        low, high = probe - HOUR_S, probe  # the change lies between: found to the second, as rules have them
        while high - low > 0.5:
            middle = (low + high) / 2.0
            low, high = (middle, high) if _utc_offset_s(zone, middle) == offset else (low, middle)
        change = float(round(high))
        if change > at:
            yield Interval(at, change), offset
        at, offset = change, _utc_offset_s(zone, probe)
    if at < end:
        yield Interval(at, end), offset
