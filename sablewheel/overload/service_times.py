"""Measured times: samples, statistics for each request class, and the prediction of a run's duration."""

from __future__ import annotations

from collections import deque

from .interface import ServerSettings

MAX_SAMPLES = 100  # enough for a 99th percentile
RECENT_SAMPLES = 10  # represent the current state
MIN_PREDICTED_S = 1e-6


class Samples:
    """The most recent samples of one measure.

    Invariant: `_sorted`, where it is not None, holds the same values as `values`.
    """

    def __init__(self, max_samples: int = MAX_SAMPLES) -> None:
        self.values: deque[float] = deque(maxlen=max_samples)
        self._sorted: list[float] | None = None

    def add(self, value: float) -> None:
        """Add a sample; the oldest is dropped beyond `max_samples`."""
        self.values.append(value)
        self._sorted = None

    def quantile(self, fraction: float, default: float = 0.0) -> float:
        """Return the sample below which `fraction` of them lie; `default` while there are none."""
        if not self.values:
            return default
        if self._sorted is None:
            self._sorted = sorted(self.values)
        return self._sorted[min(int(fraction * len(self._sorted)), len(self._sorted) - 1)]

    def recent_median(self) -> float:
        """Return the median of the most recent samples; 0 while there are none."""
        recent = sorted(list(self.values)[-RECENT_SAMPLES:])
        return recent[len(recent) // 2] if recent else 0.0


class ClassStatistics:
    """Measurements of one request class.

    Invariant: `arrived` and `started` decay together, so that their ratio is comparable between classes.
    """

    def __init__(self, index: int) -> None:
        self.index = index  # position of the class in the settings
        self.arrived = self.started = 0.0  # exponentially decayed numbers of requests
        self.service_s = Samples()
        self.prediction_ratio = Samples()  # measured over predicted duration, of runs with a cost hint
        self.hinted_runs: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)  # cost hint, duration
        self.first_attempt_timeout_s = 0.0
        self.calls = self.runs = 1  # numbers of dependency calls made and of successful runs, each plus 1

    def record_run(self, cost_hint: float | None, took_s: float) -> None:
        """Record the duration of a successful run."""
        self.service_s.add(took_s)
        self.runs += 1
        if cost_hint:
            if len(self.hinted_runs) >= RECENT_SAMPLES:
                self.prediction_ratio.add(took_s / max(self._regression_s(cost_hint), MIN_PREDICTED_S))
            self.hinted_runs.append((cost_hint, took_s))

    def service_time_s(self, cost_hint: float | None, fraction: float) -> float:
        """Return the `fraction` quantile of the duration in seconds, using the cost hint if there is one."""
        if not cost_hint or len(self.prediction_ratio.values) < RECENT_SAMPLES:
            return self.service_s.quantile(fraction)
        return self._regression_s(cost_hint) * self.prediction_ratio.quantile(fraction)

    def _regression_s(self, cost_hint: float) -> float:
        """Return the duration on the least-squares line through past runs, whose slope is never negative."""
        count = len(self.hinted_runs)
        mean_hint = sum(hint for hint, _ in self.hinted_runs) / count
        mean_took = sum(took for _, took in self.hinted_runs) / count
        variance = sum((hint - mean_hint) ** 2 for hint, _ in self.hinted_runs)
        covariance = sum((hint - mean_hint) * (took - mean_took) for hint, took in self.hinted_runs)
        slope = min(max(covariance / variance if variance else 0.0, 0.0), mean_took / mean_hint)
        return mean_took + slope * (cost_hint - mean_hint)


class ServiceTimes:
    """The statistics of all request classes, and the response times of the server.

    Invariant: classes at the same index of earlier and current settings share one `ClassStatistics`.
    """

    def __init__(self, settings: ServerSettings) -> None:
        self.by_class = {
            request_class: ClassStatistics(index)
            for index, request_class in enumerate(settings.request_classes)
        }
        self.response_s = Samples()  # from reading a request to its answer

    def update_settings(self, previous: ServerSettings, settings: ServerSettings) -> None:
        """Let the new request classes continue the statistics of the previous ones."""
        for old, new in zip(previous.request_classes, settings.request_classes, strict=True):
            self.by_class.setdefault(new, self.by_class[old])
