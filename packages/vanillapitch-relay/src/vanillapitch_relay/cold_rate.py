"""Rate limit of a cold endpoint over a sliding window of one second."""

import collections
import dataclasses
import math

__all__ = ["ColdRate", "compute_cold_limit"]

# One second, plus 100 ms by which a send on a new connection or from a busy event loop
# may follow its admission.
WINDOW_MS = 1_100.0
# Share of the slack of the cold rate that is used. The rest allows for requests that
# arrive later than they were sent.
SLACK_SHARE = 0.5
# The platform restarts a process 0.5 s after its end, and the imports take 0.1 s, so an
# earlier process sent nothing for at least this long before this one started to admit.
RESTART_GAP_MS = 400.0


@dataclasses.dataclass(slots=True, kw_only=True)
class ColdRate:
    """Sliding-window rate limiter of a cold endpoint.

    Attributes
    ----------
    until_ms : float
        Time until which the endpoint is cold.
    duration_ms : float
        How long the endpoint is cold after its start.
    limit : int
        Requests allowed in any second while it is cold.
    admission_started_ms : float
        When this process started to admit calls; an earlier one may have sent some.
    sent_at_ms : deque of float
        Times of the sends within the window.
    """

    until_ms: float = 0.0
    duration_ms: float = 0.0
    limit: int = 0
    admission_started_ms: float = -math.inf
    sent_at_ms: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )

    def is_cold(self, *, now_ms: float) -> bool:
        """Return whether the endpoint is limited to its cold rate."""
        return now_ms < self.until_ms

    def record_send(self, *, now_ms: float) -> None:
        """Record a send, also to a warm endpoint, because it may turn cold suddenly."""
        self._drop_old_sends(now_ms=now_ms)
        self.sent_at_ms.append(now_ms)

    def find_free_capacity(self, *, now_ms: float) -> float:
        """Return how many calls may be sent now; infinite for a warm endpoint."""
        if not self.is_cold(now_ms=now_ms):
            return math.inf
        if self._may_miss_sends(now_ms=now_ms):
            return 0
        self._drop_old_sends(now_ms=now_ms)
        return max(0, self.limit - len(self.sent_at_ms))

    def find_wait_ms(self, *, ahead: int, now_ms: float) -> float:
        """Return how long the rate limit delays a call.

        Parameters
        ----------
        ahead : int
            Calls that are admitted before it.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        float
            Milliseconds; a lower bound if the delay depends on sends not made yet.
        """
        if self.find_free_capacity(now_ms=now_ms) > ahead:
            return 0.0
        if self._may_miss_sends(now_ms=now_ms):
            until_ms = self._history_complete_ms
        elif self.sent_at_ms:
            sends_to_expire = ahead + 1 + len(self.sent_at_ms) - self.limit
            index = min(sends_to_expire, len(self.sent_at_ms)) - 1
            until_ms = self.sent_at_ms[index] + WINDOW_MS
        else:
            until_ms = self.until_ms
        return max(0.0, min(until_ms, self.until_ms) - now_ms)

    @property
    def _history_complete_ms(self) -> float:
        return self.admission_started_ms - RESTART_GAP_MS + WINDOW_MS

    def _may_miss_sends(self, *, now_ms: float) -> bool:
        """Return whether an earlier process may have sent requests in the window."""
        started_ms = self.until_ms - self.duration_ms
        is_older = started_ms < self.admission_started_ms - RESTART_GAP_MS
        return is_older and now_ms < self._history_complete_ms

    def _drop_old_sends(self, *, now_ms: float) -> None:
        while self.sent_at_ms and self.sent_at_ms[0] <= now_ms - WINDOW_MS:
            self.sent_at_ms.popleft()


def compute_cold_limit(*, cold_per_s: float, overshoot: float, slack: float) -> int:
    """Compute how many requests a cold endpoint may get in any second.

    Parameters
    ----------
    cold_per_s : float
        Rate that is configured for the service.
    overshoot, slack : float
        Bounds of the deployment on exceeding that rate.

    Returns
    -------
    int
        Requests per second.
    """
    return int(cold_per_s * overshoot + SLACK_SHARE * slack)
