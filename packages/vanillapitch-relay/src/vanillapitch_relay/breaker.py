"""Detection of an endpoint that answers health checks and fails its requests."""

import dataclasses

__all__ = ["Breaker"]

# This many failures without a success between them; an endpoint that fails half of its
# requests reaches it once in thirty.
FAILURES_TO_OPEN = 5
# Requests count as stuck when they take this many times the usual time without any
# answer in between, and at least `STUCK_MIN_MS`.
STUCK_FACTOR = 6.0
STUCK_MIN_MS = 500.0
STUCK_REQUESTS = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class Breaker:
    """Consecutive failures of an endpoint.

    While it is open, the owner admits one request at a time, and the first success
    closes it.

    Attributes
    ----------
    failures : int
        Failures since the last success.
    answered_ms : float
        Time of the last answer of any kind.
    started_ms_by_id : dict of int to float
        Start of each request that runs.
    """

    failures: int = 0
    answered_ms: float = 0.0
    started_ms_by_id: dict[int, float] = dataclasses.field(default_factory=dict)

    def start(self, call_id: int, *, now_ms: float) -> None:
        """Note that a request was sent."""
        self.started_ms_by_id[call_id] = now_ms

    def end(self, call_id: int, *, succeeded: bool | None, now_ms: float) -> None:
        """Note how a request ended; None teaches nothing."""
        self.started_ms_by_id.pop(call_id, None)
        if succeeded is None:
            return
        if succeeded:
            self.failures = 0
            self.answered_ms = now_ms
        else:
            self.failures += 1

    def is_open(self, *, typical_ms: float, now_ms: float) -> bool:
        """Tell whether the endpoint fails or holds all its requests.

        Parameters
        ----------
        typical_ms : float
            Usual execution time.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        bool
            Whether only trials may be sent.
        """
        if self.failures >= FAILURES_TO_OPEN:
            return True
        limit_ms = max(STUCK_MIN_MS, STUCK_FACTOR * typical_ms)
        if now_ms - self.answered_ms < limit_ms:
            return False
        stuck = sum(
            now_ms - started_ms >= limit_ms
            for started_ms in self.started_ms_by_id.values()
        )
        return stuck >= STUCK_REQUESTS

    def reset(self) -> None:
        """Forget everything, because another incarnation began."""
        self.failures = 0
