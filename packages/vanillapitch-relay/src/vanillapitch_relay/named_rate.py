"""Request rate that an endpoint names in its responses, as a token bucket."""

import dataclasses
import math

__all__ = ["NamedRate"]

# The bucket holds the requests of this time, or one. An endpoint that names a rate is
# overloaded, so a burst after an idle time must be short.
BURST_MS = 500.0
_MS_PER_S = 1_000.0


@dataclasses.dataclass(slots=True, kw_only=True)
class NamedRate:
    """Token bucket that is refilled at the rate that the endpoint names.

    Attributes
    ----------
    per_s : float or None
        Requests per second; None while the endpoint names no rate.
    named_ms : float
        When the last response that names a rate was received.
    tokens : float
        Requests that may be sent now.
    refilled_ms : float
        Time up to which `tokens` was refilled.
    """

    per_s: float | None = None
    named_ms: float = -math.inf
    tokens: float = 0.0
    refilled_ms: float = -math.inf

    def name(self, per_s: float, *, now_ms: float) -> bool:
        """Apply the rate that a response names; return whether it changed.

        Parameters
        ----------
        per_s : float
            Requests per second.
        now_ms : float
            Current time in milliseconds.
        """
        is_changed = per_s != self.per_s
        if self.per_s is None:
            # Requests sent before use up the first burst.
            self.tokens = 0.0
            self.refilled_ms = now_ms
        elif is_changed:
            self._refill(now_ms=now_ms)
        self.named_ms = now_ms
        self.per_s = per_s
        return is_changed

    def lift(self) -> bool:
        """End the limit; return whether there was one."""
        was_limited = self.per_s is not None
        self.per_s = None
        return was_limited

    def record_send(self, *, now_ms: float) -> None:
        """Take a token for a send."""
        if self.per_s is not None:
            self._refill(now_ms=now_ms)
            self.tokens -= 1.0

    def find_free_capacity(self, *, now_ms: float) -> float:
        """Return how many calls may be sent now; infinite without a limit."""
        if self.per_s is None:
            return math.inf
        self._refill(now_ms=now_ms)
        return max(0, math.floor(self.tokens))

    def find_wait_ms(self, *, ahead: int, now_ms: float) -> float:
        """Return how long the limit delays a call behind `ahead` others.

        Parameters
        ----------
        ahead : int
            Calls that are sent before it.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        float
            Milliseconds; infinite if the endpoint accepts nothing.
        """
        if self.per_s is None:
            return 0.0
        self._refill(now_ms=now_ms)
        missing = ahead + 1 - self.tokens
        if missing <= 0.0:
            return 0.0
        return missing / self.per_s * _MS_PER_S if self.per_s else math.inf

    def _refill(self, *, now_ms: float) -> None:
        elapsed_s = (now_ms - self.refilled_ms) / _MS_PER_S
        burst = max(1.0, self.per_s * BURST_MS / _MS_PER_S)
        self.tokens = min(burst, self.tokens + self.per_s * elapsed_s)
        self.refilled_ms = now_ms
