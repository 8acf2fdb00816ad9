"""Rate of a cold endpoint, kept in every span of a second."""

import collections
import dataclasses
import math

__all__ = ["ColdRate", "compute_cold_limit"]

# A second, and the time by which a send on a new connection or a busy event loop may
# come later than its admission.
WINDOW_MS = 1_100.0
# Share of the slack of the cold rate that is used. The rest is for requests that arrive
# later than they were sent.
SLACK_SHARE = 0.5
# The platform starts a process again half a second after its end, and the imports take
# a tenth, so no earlier process sent anything for so long before this one began.
RESTART_GAP_MS = 400.0


@dataclasses.dataclass(slots=True, kw_only=True)
class ColdRate:
    """Sends to an endpoint, and how many it may get while it is cold.

    Attributes
    ----------
    until_ms : float
        Until when it is cold.
    duration_ms : float
        How long it is cold after its start.
    limit : int
        Requests in any second while cold.
    admission_started_ms : float
        When this process began to admit; an earlier one may have sent before.
    sent_at_ms : deque of float
        Times of the sends of the last second.
    """

    until_ms: float = 0.0
    duration_ms: float = 0.0
    limit: int = 0
    admission_started_ms: float = -math.inf
    sent_at_ms: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )

    def is_cold(self, *, now_ms: float) -> bool:
        """Tell whether the endpoint bears only its cold rate."""
        return now_ms < self.until_ms

    def record_send(self, *, now_ms: float) -> None:
        """Count a send, also while the endpoint is warm: it may turn cold at once."""
        self._drop_old_sends(now_ms=now_ms)
        self.sent_at_ms.append(now_ms)

    def find_free_capacity(self, *, now_ms: float) -> float:
        """Return how many may be sent now; no limit while the endpoint is warm."""
        if not self.is_cold(now_ms=now_ms):
            return math.inf
        if self._may_miss_sends(now_ms=now_ms):
            return 0
        self._drop_old_sends(now_ms=now_ms)
        return max(0, self.limit - len(self.sent_at_ms))

    def find_wait_ms(self, *, ahead: int, now_ms: float) -> float:
        """Return after which time the rate admits a call.

        Parameters
        ----------
        ahead : int
            Calls that go first.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        float
            Milliseconds; a lower bound where sends that are not known yet decide.
        """
        if self.find_free_capacity(now_ms=now_ms) > ahead:
            return 0.0
        if self._may_miss_sends(now_ms=now_ms):
            until_ms = self._history_complete_ms
        elif self.sent_at_ms:
            leaving = ahead + 1 + len(self.sent_at_ms) - self.limit
            index = min(leaving, len(self.sent_at_ms)) - 1
            until_ms = self.sent_at_ms[index] + WINDOW_MS
        else:
            until_ms = self.until_ms
        return max(0.0, min(until_ms, self.until_ms) - now_ms)

    @property
    def _history_complete_ms(self) -> float:
        return self.admission_started_ms - RESTART_GAP_MS + WINDOW_MS

    def _may_miss_sends(self, *, now_ms: float) -> bool:
        """Tell whether an earlier process may have used the rate of the last second."""
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
        Rate that the service names.
    overshoot, slack : float
        The deployment's bounds on it.

    Returns
    -------
    int
        Requests.
    """
    return int(cold_per_s * overshoot + SLACK_SHARE * slack)
