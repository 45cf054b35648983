"""A run on the interpreter whose end is not known."""

from __future__ import annotations

from ..overload.interface import Idempotency
from .exchange import Exchange


class OpenRun:
    """A run whose end is not known.

    Attributes:
        fence: The query behind its command, whose answer proves that the command was read; 0 if no command
        was
            written.
        command_end: Where its command ends among the bytes of the present link; 0 if it is not among them.
        sent_at: When its command was last written.
        unconfirmed: Whether the handler was notified that its start is unconfirmed.
        cancelled: Whether it is to be cancelled.
        resent: Whether its command was written again, though the first may have been carried out.
    """

    __slots__ = ("cancelled", "command_end", "exchange", "fence", "resent", "sent_at", "unconfirmed")

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.fence = 0
        self.command_end = 0
        self.sent_at = 0.0
        self.unconfirmed = self.cancelled = self.resent = False


def may_run_twice(exchange: Exchange) -> bool:
    """Whether a second run of this request would do no harm."""
    return exchange.request.request_class.idempotency is Idempotency.IDEMPOTENT
