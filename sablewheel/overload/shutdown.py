"""Graceful shutdown: the latest arrival of requests that are served, and the deadline of all answers."""

from __future__ import annotations

from math import inf

from .context import DecisionContext
from .deadlines import Deadlines
from .interface import Request, SetHealth


class Shutdown:
    """The shutdown notice, if there was one.

    Invariant: no request has a deadline after `deadline`, and no request that arrived after the grace period
    runs.
    """

    def __init__(self, context: DecisionContext, deadlines: Deadlines) -> None:
        self._context = context
        self._deadlines = deadlines
        self._notified_at = inf
        self.deadline = inf  # time by which all requests must be answered; infinite before the notice

    def begin(self, remaining_s: float) -> None:
        """Fail health checks, and bring all deadlines forward to before the stop in `remaining_s` seconds."""
        settings, now = self._context.settings, self._context.now
        self._notified_at = now
        self.deadline = now + remaining_s - settings.answer_slack_s - 2 * settings.min_batch_interval_s
        self._context.actions.append(SetHealth(False, True))
        self._deadlines.bring_forward(self.deadline)

    def arrived_too_late(self, request: Request) -> bool:
        """Return whether a request arrived after the grace period that follows the notice."""
        return request.arrived_at > self._notified_at + self._context.settings.drain_grace_s
