"""The settings of billing periods, shared by the server and the collector."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import AfterValidator

from ...usage_metering.periods import PeriodError, zone_of
from ...usage_metering.plan import Calendar, Length
from .section import DurationS, Section


def _check_zone(text: str) -> str:
    try:
        zone_of(text)
    except PeriodError:
        raise ValueError(
            "no such time zone; expected a name of the IANA database, such as America/Regina"
        ) from None
    return text


class PeriodSection(Section):
    """How usage is divided into periods."""

    zone: Annotated[str, AfterValidator(_check_zone)] = "UTC"
    length: Literal["hour", "day", "month"] = "day"
    lag_s: DurationS = 3600.0

    def plan(self) -> Calendar:
        """Return the calendar of the periods."""
        return Calendar(self.zone, Length(self.length), self.lag_s)
