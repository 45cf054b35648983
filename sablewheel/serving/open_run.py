"""A run on the interpreter whose end was not reported yet."""

from __future__ import annotations

import logging
from enum import Enum, auto

from ..overload.interface import Idempotency
from ..protocol.interpreter import RunFinished
from .exchange import Exchange

log = logging.getLogger(__name__)  # separate from the link's, as a break of the link may log many runs


class RunQuery(Enum):
    """The state of the query whether a run with an unconfirmed start is still running."""

    NONE = auto()
    WANTED = auto()
    WRITTEN = auto()  # written on any link, but not answered


class OpenRun:
    """A run whose end was not reported yet.

    Attributes:
        fence: The number of the fence whose answer proves that its command was read; 0: not written.
        command_end: The position of the end of its command in the present link's bytes; 0: not written there.
        sent_at: When its command was last written.
        unconfirmed: Whether the handler was notified that its start is unconfirmed.
        cancelled: Whether it is to be cancelled.
        query: The state of the query whether it is still running.
        resent: Whether its command was written again, though the first may have been carried out.
    """

    __slots__ = (
        "cancelled",
        "command_end",
        "exchange",
        "fence",
        "query",
        "resent",
        "sent_at",
        "unconfirmed",
    )

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.fence = 0
        self.command_end = 0
        self.sent_at = 0.0
        self.unconfirmed = self.cancelled = self.resent = False
        self.query = RunQuery.NONE

    def log_unproven(self, event: str, now: float) -> None:
        """Log an event after a break of the link, when it is not known whether the run started."""
        self._log(event, written_before=round(now - self.sent_at, 3))

    def log_result_of_resent(self, notice_number: int, now: float) -> None:
        """Log that a run ended whose command was resent."""
        self._log("result for resent command", notice=notice_number, after=round(now - self.sent_at, 3))

    def _log(self, event: str, **pairs: object) -> None:
        exchange = self.exchange
        request, request_class = exchange.name.decode("ascii", "replace"), exchange.request_class.decode()
        log.info(event, extra={"pairs": {"request": request, "class": request_class, **pairs}})


def log_unknown_result(notice: RunFinished) -> None:
    """Log that a run ended which is not open here."""
    pairs = {
        "request": notice.name.decode("ascii", "replace"),
        "notice": notice.number,
        "outcome": notice.outcome.name.lower(),
    }
    log.info("result for unknown request", extra={"pairs": pairs})


def may_run_twice(exchange: Exchange) -> bool:
    """Whether a second run of this request would do no harm."""
    return exchange.request.request_class.idempotency is Idempotency.IDEMPOTENT
