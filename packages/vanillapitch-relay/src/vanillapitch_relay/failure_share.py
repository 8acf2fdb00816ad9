"""Share of recent requests that failed."""

import dataclasses

__all__ = ["FailureShare"]

# Weight of one result: one failure raises the share by up to 0.15, roughly the rate of
# one failure in five requests.
WEIGHT = 0.15
# Without requests the share decays, so that the endpoint receives requests again.
HALF_LIFE_MS = 1_000.0


@dataclasses.dataclass(slots=True, kw_only=True)
class FailureShare:
    """Moving average of failures that decays over time.

    Attributes
    ----------
    value : float
        Share at `updated_ms`, from 0 to 1.
    updated_ms : float
        Time of the last result.
    """

    value: float = 0.0
    updated_ms: float = 0.0

    def record(self, *, failed: bool, now_ms: float) -> None:
        """Add the result of one request."""
        current = self.share(now_ms=now_ms)
        self.value = current + WEIGHT * (float(failed) - current)
        self.updated_ms = now_ms

    def share(self, *, now_ms: float) -> float:
        """Return the share of failures, from 0 to 1."""
        if self.value == 0.0:
            return 0.0
        return self.value * 0.5 ** ((now_ms - self.updated_ms) / HALF_LIFE_MS)
