"""Periods of a calendar: which one a moment belongs to, where it begins and ends, what it is called. Pure.

A day is a date of the zone, however long its clocks made it; an hour is a whole clock hour between two
changes of the zone's offset, so that where clocks go back the hour that comes twice is two periods, told
apart by their offsets. Moments are Unix microseconds, as they stand in entries.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from functools import lru_cache
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from .plan import Calendar, Length

MICROSECONDS_PER_SECOND = 1_000_000
FIRST_MOMENT_US, LAST_MOMENT_US = (
    0,
    253_000_000_000 * MICROSECONDS_PER_SECOND,
)  # moments that a calendar knows: 1970 to 9987
NAMES = {
    Length.HOUR: re.compile(r"\d{4}-\d\d-\d\dT\d\d(:\d\d)?[+-]\d\d:\d\d(:\d\d)?"),
    Length.DAY: re.compile(r"\d{4}-\d\d-\d\d"),
    Length.MONTH: re.compile(r"\d{4}-\d\d"),
}


class PeriodError(ValueError):
    """A name that is no period of the calendar, or a zone that does not exist."""


@dataclass(frozen=True, order=True)
class Period:
    """From `start`, included, to `end`, excluded; `name` is its own within its calendar."""

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
    """The periods of one calendar; what was asked for lately is remembered."""

    def __init__(self, calendar: Calendar) -> None:
        self.calendar = calendar
        self._zone = zone_of(calendar.zone)
        self._find = lru_cache(maxsize=64)(self._find_by_second)
        self._last: Period | None = None

    def of(self, moment: int) -> Period:
        """The period that a moment belongs to; moments no calendar knows are taken as its first or last."""
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
        """The period of a name; raises `PeriodError` that says what names read like."""
        length = self.calendar.length
        if not NAMES[length].fullmatch(name):
            example = self.of(1_764_576_000 * MICROSECONDS_PER_SECOND).name
            raise PeriodError(
                f"{name!r} is no {length.value} of {self.calendar.zone}: one is called {example}"
            )
        try:
            text = {Length.HOUR: name, Length.DAY: name, Length.MONTH: f"{name}-01"}[length]
            told = datetime.fromisoformat(text)
        except ValueError as trouble:
            raise PeriodError(f"{name!r}: {trouble}") from None
        moment = told if told.tzinfo else told.replace(tzinfo=self._zone)
        period = self.of(int(moment.timestamp()) * MICROSECONDS_PER_SECOND)
        if period.name != name:
            raise PeriodError(
                f"{self.calendar.zone} has no {length.value} {name!r}; near it is {period.name}"
            )
        return period

    # -- the calendar's arithmetic, in whole seconds

    def _find_by_second(self, second: int) -> Period:
        local = datetime.fromtimestamp(second, self._zone)
        if self.calendar.length is Length.HOUR:
            return self._hour(second, local)
        date = local.date()
        if self.calendar.length is Length.DAY:
            first, after, name = date, date + timedelta(days=1), f"{date:%Y-%m-%d}"
        else:
            first = date.replace(day=1)
            after = (first + timedelta(days=32)).replace(day=1)
            name = f"{date:%Y-%m}"
        return Period(
            self._midnight(first) * MICROSECONDS_PER_SECOND,
            self._midnight(after) * MICROSECONDS_PER_SECOND,
            f"{name:0>4}",
        )

    def _midnight(self, date: object) -> int:
        """The first second of a date; where clocks skip midnight, the moment they skip at."""
        local = datetime.fromisoformat(f"{date}T00:00:00").replace(tzinfo=self._zone)
        return int(local.astimezone(UTC).timestamp())

    def _offset(self, second: int) -> timedelta:
        return datetime.fromtimestamp(second, self._zone).utcoffset() or timedelta()

    def _hour(self, second: int, local: datetime) -> Period:
        offset = self._offset(second)
        since = local.minute * 60 + local.second
        start, end = second - since, second - since + 3600
        if self._offset(start) != offset:
            start = self._change(start, second)
        if self._offset(end - 1) != offset:
            end = self._change(second, end - 1)
        begins = datetime.fromtimestamp(start, self._zone)
        name = begins.strftime("%Y-%m-%dT%H" if not begins.minute else "%Y-%m-%dT%H:%M")
        zone = begins.isoformat()[19:]
        return Period(start * MICROSECONDS_PER_SECOND, end * MICROSECONDS_PER_SECOND, name + zone)

    def _change(self, before: int, after: int) -> int:
        """The first second with the offset that `after` has; `before` has another."""
        offset = self._offset(after)
        while after - before > 1:
            middle = (before + after) // 2
            if self._offset(middle) == offset:
                after = middle
            else:
                before = middle
        return after
