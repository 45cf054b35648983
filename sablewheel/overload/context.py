"""What the parts of the controller share: the settings, the clock reading and the collected actions."""

from __future__ import annotations

from .interface import Action, RequestClass, ServerSettings

MIN_INTERVAL_S = 0.001  # whatever the settings say, so that no timer spins and nothing divides by zero
UNSET_INTERVAL_S = 0.01  # where the settings leave out the batch interval


class DecisionContext:
    """The batch of events that is being handled.

    Invariant: only the controller starts a batch or replaces the settings; the parts read the clock and
    append actions, in the order in which they are to be carried out.
    """

    def __init__(self, settings: ServerSettings) -> None:
        self.settings = settings
        self.now = 0.0  # seconds, as handed in with the batch
        self.opened_at = -1.0  # time of the first batch; negative before
        self.actions: list[Action] = []
        self.max_timeout_s = _longest_timeout_s(settings.request_classes)

    def begin_batch(self, now: float) -> None:
        """Start a batch with an empty list of actions."""
        self.now, self.actions = now, []

    def update_settings(self, settings: ServerSettings) -> None:
        """Replace the settings; the longest timeout never shrinks, since older requests may be in flight."""
        self.max_timeout_s = max(self.max_timeout_s, _longest_timeout_s(settings.request_classes))
        self.settings = settings

    @property
    def min_interval_s(self) -> float:
        """The least time between two runs of anything periodic, never zero."""
        return max(self.settings.min_batch_interval_s or UNSET_INTERVAL_S, MIN_INTERVAL_S)


def _longest_timeout_s(request_classes: tuple[RequestClass, ...]) -> float:
    return max(MIN_INTERVAL_S, *(request_class.timeout_s for request_class in request_classes))
