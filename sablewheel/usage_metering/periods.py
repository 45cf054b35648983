"""The periods of a calendar, with their starts, ends and names. Pure.

A day is a date of the time zone and may be longer or shorter than 24 hours. An hour is a clock hour between
two changes of the zone's offset; the hour that occurs twice when clocks are set back is two periods with
different offsets in their names. Moments are Unix microseconds, as in entries.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from functools import lru_cache
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from .plan import Calendar, Length

MICROSECONDS_PER_SECOND = 1_000_000
# The range of a calendar: 1970 to 9987.
FIRST_MOMENT_US, LAST_MOMENT_US = 0, 253_000_000_000 * MICROSECONDS_PER_SECOND
NAMES = {
    Length.HOUR: re.compile(r"\d{4}-\d\d-\d\dT\d\d(:\d\d)?[+-]\d\d:\d\d(:\d\d)?"),
    Length.DAY: re.compile(r"\d{4}-\d\d-\d\d"),
    Length.MONTH: re.compile(r"\d{4}-\d\d"),
}


class PeriodError(ValueError):
    """The name is not a period of the calendar, or the time zone does not exist."""


@dataclass(frozen=True, order=True)
class Period:
    """A period from `start`, inclusive, to `end`, exclusive; `name` is unique within its calendar."""

    start: int
    end: int
    name: str


def zone_of(name: str) -> ZoneInfo:
    """Return the time zone of a name; raises `PeriodError` if there is none."""
    try:
        return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise PeriodError(f"no such time zone: {name!r}") from None


class Periods:
    """The periods of one calendar; caches the most recently used ones."""

    def __init__(self, calendar: Calendar) -> None:
        self.calendar = calendar
        self._zone = zone_of(calendar.zone)
        self._find = lru_cache(maxsize=64)(self._find_by_second)
        self._last: Period | None = None

    def of(self, moment: int) -> Period:
        """Return the period of a moment; moments out of range are clamped to it."""
        last = self._last
        if last is None or not last.start <= moment < last.end:
            self._last = last = self._find(
                min(max(moment, FIRST_MOMENT_US), LAST_MOMENT_US) // MICROSECONDS_PER_SECOND
            )
        return last

    def next(self, period: Period) -> Period:
        """Return the period that follows."""
        return self.of(period.end)

    def named(self, name: str) -> Period:
        """Return the period of a name; raises `PeriodError` with an example of a name."""
        length = self.calendar.length
        if not NAMES[length].fullmatch(name):
            example = self.of(1_764_576_000 * MICROSECONDS_PER_SECOND).name
            raise PeriodError(
                f"{name!r} is no {length.value} of {self.calendar.zone}; a valid name is {example}"
            )
        try:
            text = {Length.HOUR: name, Length.DAY: name, Length.MONTH: f"{name}-01"}[length]
            parsed = datetime.fromisoformat(text)
        except ValueError as error:
            raise PeriodError(f"{name!r}: {error}") from None
        moment = parsed if parsed.tzinfo else parsed.replace(tzinfo=self._zone)
        period = self.of(int(moment.timestamp()) * MICROSECONDS_PER_SECOND)
        if period.name != name:
            raise PeriodError(
                f"{self.calendar.zone} has no {length.value} {name!r}; the nearest is {period.name}"
            )
        return period

    # -- calendar arithmetic, in whole seconds

    def _find_by_second(self, second: int) -> Period:
        local = datetime.fromtimestamp(second, self._zone)
        if self.calendar.length is Length.HOUR:
            return self._hour(second, local)
        date = local.date()
        if self.calendar.length is Length.DAY:
            first, next_first, name = date, date + timedelta(days=1), f"{date:%Y-%m-%d}"
        else:
            first = date.replace(day=1)
            next_first = (first + timedelta(days=32)).replace(day=1)
            name = f"{date:%Y-%m}"
        return Period(
            self._midnight(first) * MICROSECONDS_PER_SECOND,
            self._midnight(next_first) * MICROSECONDS_PER_SECOND,
            f"{name:0>4}",
        )

    def _midnight(self, date: object) -> int:
        """Return the first second of a date; if clocks skip midnight, the second at which they skip."""
        local = datetime.fromisoformat(f"{date}T00:00:00").replace(tzinfo=self._zone)
        return int(local.astimezone(UTC).timestamp())

    def _offset(self, second: int) -> timedelta:
        return datetime.fromtimestamp(second, self._zone).utcoffset() or timedelta()

    def _hour(self, second: int, local: datetime) -> Period:
        offset = self._offset(second)
        seconds_into_hour = local.minute * 60 + local.second
        start, end = second - seconds_into_hour, second - seconds_into_hour + 3600
        if self._offset(start) != offset:
            start = self._find_offset_change(start, second)
        if self._offset(end - 1) != offset:
            end = self._find_offset_change(second, end - 1)
        local_start = datetime.fromtimestamp(start, self._zone)
        name = local_start.strftime("%Y-%m-%dT%H" if not local_start.minute else "%Y-%m-%dT%H:%M")
        offset_text = local_start.isoformat()[19:]
        return Period(start * MICROSECONDS_PER_SECOND, end * MICROSECONDS_PER_SECOND, name + offset_text)

    def _find_offset_change(self, before: int, after: int) -> int:
        """Return the first second with the offset at `after`; the offset at `before` is another."""
        offset = self._offset(after)
        while after - before > 1:
            middle = (before + after) // 2
            if self._offset(middle) == offset:
                after = middle
            else:
                before = middle
        return after
