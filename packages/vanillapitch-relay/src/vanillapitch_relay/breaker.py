"""Circuit breaker for an endpoint that passes health checks but fails requests."""

import dataclasses

__all__ = ["Breaker"]

# Consecutive failures that open the breaker. If an endpoint fails half of its requests,
# five in a row fail in about one case in thirty.
FAILURES_TO_OPEN = 5
# A request counts as stuck after this multiple of the typical execution time, and at
# least `STUCK_MIN_MS`, if no request succeeded during that time.
STUCK_FACTOR = 6.0
STUCK_MIN_MS = 500.0
STUCK_REQUESTS = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class Breaker:
    """Circuit breaker that opens on consecutive failures or stuck requests.

    While it is open, the owner admits one request at a time, and the first success
    closes it.

    Attributes
    ----------
    failures : int
        Failures since the last success.
    last_success_ms : float
        Time of the last success.
    started_ms_by_id : dict of int to float
        Start time of each running request.
    """

    failures: int = 0
    last_success_ms: float = 0.0
    started_ms_by_id: dict[int, float] = dataclasses.field(default_factory=dict)

    def start(self, call_id: int, *, now_ms: float) -> None:
        """Record that a request was sent."""
        self.started_ms_by_id[call_id] = now_ms

    def end(self, call_id: int, *, succeeded: bool | None, now_ms: float) -> None:
        """Record whether a request succeeded; None counts as neither."""
        self.started_ms_by_id.pop(call_id, None)
        if succeeded is None:
            return
        if succeeded:
            self.failures = 0
            self.last_success_ms = now_ms
        else:
            self.failures += 1

    def is_open(self, *, typical_ms: float, now_ms: float) -> bool:
        """Return whether the endpoint fails its requests or leaves them unanswered.

        Parameters
        ----------
        typical_ms : float
            Typical execution time.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        bool
            Whether only one trial request may be sent at a time.
        """
        if self.failures >= FAILURES_TO_OPEN:
            return True
        limit_ms = max(STUCK_MIN_MS, STUCK_FACTOR * typical_ms)
        if now_ms - self.last_success_ms < limit_ms:
            return False
        stuck = sum(
            now_ms - started_ms >= limit_ms
            for started_ms in self.started_ms_by_id.values()
        )
        return stuck >= STUCK_REQUESTS

    def reset(self) -> None:
        """Forget its requests, because the endpoint is down and may be replaced."""
        self.failures = 0
        self.started_ms_by_id.clear()
