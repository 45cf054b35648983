"""The log: the logging module with a key=value formatter, on standard error, at a bounded rate."""

from __future__ import annotations

import logging
import sys
import time

MAX_LINES_PER_S = 20  # per logger; the next line that passes reports how many were left out


class KeyValueFormatter(logging.Formatter):
    """`time=... level=... from=... event="..." key=value ...`; values with spaces or quotes are quoted."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        pairs: dict[str, object] = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "from": record.name.removeprefix("sablewheel."),
            "event": record.getMessage(),
            **getattr(record, "pairs", {}),
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={self._value(value)}" for key, value in pairs.items())

    @staticmethod
    def _value(value: object) -> str:
        text = str(value)
        plain = text.isprintable() and text and not any(mark in text for mark in ' "=')
        if plain:
            return text
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


class RateLimit(logging.Filter):
    """Limits the lines of each logger per second, so that logging bad input is never the main load."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._lines: dict[str, int] = {}
        self._left_out = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record may pass."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines.clear()
        self._lines[record.name] = lines = self._lines.get(record.name, 0) + 1
        if lines > MAX_LINES_PER_S:
            self._left_out += 1
            return False
        if self._left_out:
            record.pairs = {**getattr(record, "pairs", {}), "left_out": self._left_out}
            self._left_out = 0
        return True


def start(level: str) -> None:
    """Log to standard error from this level on."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    handler.addFilter(RateLimit())
    root = logging.getLogger("sablewheel")
    root.handlers[:] = [handler]
    root.propagate = False
    root.setLevel(level)
