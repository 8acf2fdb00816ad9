"""Times per route that an ingress and an owner learn from the requests they see."""

import dataclasses

__all__ = ["RouteDeadlines", "ExecutionTimes"]

# Callers of one route were seen to wait for times that differ by this share.
DEADLINE_SPREAD = 0.15
# First attempts name the most time, and most requests are first attempts. Few callers
# with longer deadlines than all others must not make those look late.
DEADLINE_QUANTILE = 0.9
# Step of the estimate with one request, as a share of it.
DEADLINE_STEP = 0.02
# Weight of one run; twenty runs take part of a second at the users' load.
EXECUTION_TIME_WEIGHT = 0.05
# Before the first run, milliseconds.
INITIAL_EXECUTION_TIME_MS = 50.0


@dataclasses.dataclass(slots=True, kw_only=True)
class RouteDeadlines:
    """How long the callers of each route wait.

    A caller that comes back after a refusal names what is left of its time. Its latency
    objective counts from its first attempt, which only this tells.

    Attributes
    ----------
    high_ms_by_route : dict of str to float
        Estimated quantile of the times that callers name.
    """

    high_ms_by_route: dict[str, float] = dataclasses.field(default_factory=dict)

    def estimate_elapsed_ms(self, route_name: str, *, remaining_ms: float) -> float:
        """Estimate how long ago a caller sent the first attempt of a request.

        Parameters
        ----------
        route_name : str
            Its route.
        remaining_ms : float
            What the caller says is left.

        Returns
        -------
        float
            Milliseconds, at least; 0 for a first attempt.
        """
        high_ms = self.high_ms_by_route.get(route_name, remaining_ms)
        step = DEADLINE_STEP * (DEADLINE_QUANTILE - (remaining_ms <= high_ms))
        self.high_ms_by_route[route_name] = high_ms * (1.0 + step)
        return max(0.0, (1.0 - DEADLINE_SPREAD) * high_ms - remaining_ms)


@dataclasses.dataclass(slots=True, kw_only=True)
class ExecutionTimes:
    """How long the runs of each route take at one endpoint.

    Attributes
    ----------
    mean_ms_by_route : dict of str to float
        Moving average.
    """

    mean_ms_by_route: dict[str, float] = dataclasses.field(default_factory=dict)

    def record(self, route_name: str, duration_ms: float) -> None:
        """Add a run that was answered."""
        mean_ms = self.mean_ms_by_route.get(route_name, duration_ms)
        mean_ms += EXECUTION_TIME_WEIGHT * (duration_ms - mean_ms)
        self.mean_ms_by_route[route_name] = mean_ms

    def typical_ms(self, route_name: str) -> float:
        """Return the usual time of a run."""
        return self.mean_ms_by_route.get(route_name, INITIAL_EXECUTION_TIME_MS)
