"""State shared by the parts of the controller: settings, current time and collected actions."""

from __future__ import annotations

from .interface import Action, RequestClass, ServerSettings

MIN_INTERVAL_S = 0.001  # lower bound for any setting: prevents spinning timers and division by zero
UNSET_INTERVAL_S = 0.01  # used if the settings have no batch interval


class DecisionContext:
    """The settings, and the time and actions of the current batch of events.

    Invariant: only the controller starts a batch or replaces the settings; the parts read the clock and
    append actions in the order in which they are to be executed.
    """

    def __init__(self, settings: ServerSettings) -> None:
        self.settings = settings
        self.now = 0.0  # seconds; the time of the current batch
        self.opened_at = -1.0  # time of the first batch; negative before
        self.actions: list[Action] = []
        self.max_timeout_s = _longest_timeout_s(settings.request_classes)

    def begin_batch(self, now: float) -> None:
        """Start a batch with an empty list of actions."""
        self.now, self.actions = now, []

    def take_actions(self) -> list[Action]:
        """Return the actions of the batch, which are not retained here: they refer to their requests."""
        actions, self.actions = self.actions, []
        return actions

    def update_settings(self, settings: ServerSettings) -> None:
        """Replace the settings; the longest timeout never shrinks, since older requests may be in flight."""
        self.max_timeout_s = max(self.max_timeout_s, _longest_timeout_s(settings.request_classes))
        self.settings = settings

    @property
    def min_interval_s(self) -> float:
        """The minimum interval of periodic work in seconds; never zero."""
        return max(self.settings.min_batch_interval_s or UNSET_INTERVAL_S, MIN_INTERVAL_S)


def _longest_timeout_s(request_classes: tuple[RequestClass, ...]) -> float:
    return max(MIN_INTERVAL_S, *(request_class.timeout_s for request_class in request_classes))
