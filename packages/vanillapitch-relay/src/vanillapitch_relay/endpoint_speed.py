"""What an owner knows of its endpoint's speed, which changes within milliseconds."""

import dataclasses
import math

__all__ = ["MEAN_SPEED_PERCENT", "SPEED_HALF_LIFE_MS", "EndpointSpeed"]

# The speed of a VM changes about every 300 ms; an old figure approaches the mean.
SPEED_HALF_LIFE_MS = 150.0
MEAN_SPEED_PERCENT = 175.0
# A run keeps the speed at which it began, so a figure is read again before a run when
# one in ten would have changed since.
FRESH_MS = 25.0
# A run that takes twice its usual time is late at the users' objectives more often than
# one that is sent to another endpoint.
SLOW_FACTOR = 2.0
# The fastest figure of the last one to two such spans counts as usual: an endpoint that
# starts cold, or is slow for seconds, is not slow because of its neighbours.
BASELINE_SPAN_MS = 1_000.0


@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointSpeed:
    """The last figure that the endpoint gave.

    Attributes
    ----------
    percent : float
        100 means that work takes its usual time, 400 four times.
    measured_ms : float
        When it was heard.
    span_started_ms : float
        When the present span began.
    fastest_percent : float
        Fastest figure of the present span.
    fastest_before_percent : float
        Fastest figure of the span before.
    """

    percent: float = 100.0
    measured_ms: float = -math.inf
    span_started_ms: float = -math.inf
    fastest_percent: float = math.inf
    fastest_before_percent: float = math.inf

    def record(self, percent: float, *, now_ms: float) -> None:
        """Take a figure of an answer."""
        self.percent = percent
        self.measured_ms = now_ms
        if now_ms - self.span_started_ms >= BASELINE_SPAN_MS:
            self.fastest_before_percent = self.fastest_percent
            self.fastest_percent = math.inf
            self.span_started_ms = now_ms
        self.fastest_percent = min(self.fastest_percent, percent)

    @property
    def baseline_percent(self) -> float:
        """The fastest figure heard lately."""
        return min(self.fastest_percent, self.fastest_before_percent)

    def is_fresh(self, *, now_ms: float) -> bool:
        """Tell whether the figure is recent enough to begin a run."""
        return now_ms - self.measured_ms <= FRESH_MS

    def is_slow(self, *, now_ms: float, within_ms: float = FRESH_MS) -> bool:
        """Tell whether a run that begins now would take much longer than usual.

        Parameters
        ----------
        now_ms : float
            Current time in milliseconds.
        within_ms : float
            Age up to which the figure counts.

        Returns
        -------
        bool
            False if the figure is older.
        """
        is_known = now_ms - self.measured_ms <= within_ms
        return is_known and self.percent >= SLOW_FACTOR * self.baseline_percent

    def estimate_percent(self, *, now_ms: float) -> float:
        """Estimate the speed at this moment from the age of the figure."""
        age_ms = max(0.0, now_ms - self.measured_ms)
        weight = 0.5 ** (age_ms / SPEED_HALF_LIFE_MS)
        return weight * self.percent + (1.0 - weight) * MEAN_SPEED_PERCENT
