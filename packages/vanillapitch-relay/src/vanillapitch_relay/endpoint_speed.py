"""Measured speed of an endpoint, which changes within milliseconds."""

import dataclasses
import math

__all__ = ["MEAN_SPEED_PERCENT", "SPEED_HALF_LIFE_MS", "EndpointSpeed"]

# The speed of a VM changes about every 300 ms, so the estimate approaches the mean as
# a measurement ages.
SPEED_HALF_LIFE_MS = 150.0
MEAN_SPEED_PERCENT = 175.0
# An execution keeps the speed at which it started. After this time one measurement in
# ten is out of date, so the speed is measured again before an execution.
FRESH_MS = 25.0
# With the latency objectives that users set, an execution that takes twice its typical
# time is late more often than one that is sent to another endpoint.
SLOW_FACTOR = 2.0
# The baseline is the fastest measurement of the last one to two spans of this length.
# Only slowdowns caused by neighbouring VMs are to be detected, not an endpoint that
# starts cold or is slow for seconds.
BASELINE_SPAN_MS = 1_000.0


@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointSpeed:
    """Last measurement that the endpoint reported, and the baseline.

    Attributes
    ----------
    percent : float
        Duration of work: 100 is the typical time, 400 is four times as long.
    measured_ms : float
        When it was received.
    span_started_ms : float
        When the current span started.
    fastest_percent : float
        Fastest measurement of the current span.
    fastest_before_percent : float
        Fastest measurement of the previous span.
    """

    percent: float = 100.0
    measured_ms: float = -math.inf
    span_started_ms: float = -math.inf
    fastest_percent: float = math.inf
    fastest_before_percent: float = math.inf

    def record(self, percent: float, *, now_ms: float) -> None:
        """Record the measurement that a response contains."""
        self.percent = percent
        self.measured_ms = now_ms
        if now_ms - self.span_started_ms >= BASELINE_SPAN_MS:
            self.fastest_before_percent = self.fastest_percent
            self.fastest_percent = math.inf
            self.span_started_ms = now_ms
        self.fastest_percent = min(self.fastest_percent, percent)

    @property
    def baseline_percent(self) -> float:
        """The fastest recent measurement."""
        return min(self.fastest_percent, self.fastest_before_percent)

    def is_fresh(self, *, now_ms: float) -> bool:
        """Return whether the measurement is recent enough to start an execution."""
        return now_ms - self.measured_ms <= FRESH_MS

    def is_slow(self, *, now_ms: float, within_ms: float = FRESH_MS) -> bool:
        """Return whether an execution that starts now would exceed the baseline by far.

        Parameters
        ----------
        now_ms : float
            Current time in milliseconds.
        within_ms : float
            Maximum age of the measurement.

        Returns
        -------
        bool
            False if the measurement is older.
        """
        is_known = now_ms - self.measured_ms <= within_ms
        return is_known and self.percent >= SLOW_FACTOR * self.baseline_percent

    def estimate_percent(self, *, now_ms: float) -> float:
        """Estimate the current speed from the last measurement and its age."""
        age_ms = max(0.0, now_ms - self.measured_ms)
        weight = 0.5 ** (age_ms / SPEED_HALF_LIFE_MS)
        return weight * self.percent + (1.0 - weight) * MEAN_SPEED_PERCENT
