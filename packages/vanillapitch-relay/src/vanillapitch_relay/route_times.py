"""Estimates of deadlines and execution times per route, from observed requests."""

import dataclasses

__all__ = ["RouteDeadlines", "ExecutionTimes"]

# The deadlines that callers of one route set differ by this share.
DEADLINE_SPREAD = 0.15
# First attempts have the most time left, and most requests are first attempts. A
# quantile below 1 prevents a few callers with much longer deadlines from making the
# requests of all others look like late retries.
DEADLINE_QUANTILE = 0.9
# Step of the estimate per request, as a share of the estimate.
DEADLINE_STEP = 0.02
# Weight of one execution; twenty executions take less than a second at the users' load.
EXECUTION_TIME_WEIGHT = 0.05
# Estimate before the first execution.
INITIAL_EXECUTION_TIME_MS = 50.0


@dataclasses.dataclass(slots=True, kw_only=True)
class RouteDeadlines:
    """Deadlines that the callers of each route set for their first attempts.

    A caller that retries after a refusal sends its remaining time. Its latency
    objective counts from its first attempt, whose time can be inferred only from these
    deadlines.

    Attributes
    ----------
    high_ms_by_route : dict of str to float
        Estimated quantile of the remaining times that callers send.
    """

    high_ms_by_route: dict[str, float] = dataclasses.field(default_factory=dict)

    def estimate_elapsed_ms(self, route_name: str, *, remaining_ms: float) -> float:
        """Estimate how long ago a caller sent the first attempt of a request.

        Parameters
        ----------
        route_name : str
            Its route.
        remaining_ms : float
            Remaining time that the caller sends.

        Returns
        -------
        float
            Lower bound in milliseconds; 0 for a first attempt.
        """
        high_ms = self.high_ms_by_route.get(route_name, remaining_ms)
        step = DEADLINE_STEP * (DEADLINE_QUANTILE - (remaining_ms <= high_ms))
        self.high_ms_by_route[route_name] = high_ms * (1.0 + step)
        return max(0.0, (1.0 - DEADLINE_SPREAD) * high_ms - remaining_ms)


@dataclasses.dataclass(slots=True, kw_only=True)
class ExecutionTimes:
    """Execution times of each route at one endpoint.

    Attributes
    ----------
    mean_ms_by_route : dict of str to float
        Moving average.
    """

    mean_ms_by_route: dict[str, float] = dataclasses.field(default_factory=dict)

    def record(self, route_name: str, duration_ms: float) -> None:
        """Record the execution time of an answered call."""
        mean_ms = self.mean_ms_by_route.get(route_name, duration_ms)
        mean_ms += EXECUTION_TIME_WEIGHT * (duration_ms - mean_ms)
        self.mean_ms_by_route[route_name] = mean_ms

    def typical_ms(self, route_name: str) -> float:
        """Return the typical execution time of a route."""
        return self.mean_ms_by_route.get(route_name, INITIAL_EXECUTION_TIME_MS)
