"""Adaptive concurrency limit, driven by shed requests and latency."""

import dataclasses

__all__ = ["LatencyFloor", "LimitState", "record_success", "record_shed"]

SHED_DECREASE_FACTOR = 0.7
LATENCY_DECREASE_FACTOR = 0.9
LATENCY_FACTOR = 2.0
LATENCY_WEIGHT = 0.2
# Latency lowers the limit only to this share of the ceiling. It is weaker evidence of
# overload than a shed request: a slow dependency slows every endpoint, and fewer
# concurrent requests do not make it faster.
MIN_LIMIT_SHARE_ON_LATENCY = 0.5
MIN_UTILISED_SHARE = 0.8
# Pickers send requests in proportion to the limit, so a low limit may never be fully
# used; it must still recover.
UNUTILISED_GROWTH = 0.25
# Requests that were in flight at the same time are evidence of the same overload, so
# they lower the limit only once.
MIN_DECREASE_INTERVAL_MS = 50.0
FLOOR_WINDOW_MS = 1_000.0


@dataclasses.dataclass(slots=True, kw_only=True)
class LimitState:
    """Adaptive limit.

    Attributes
    ----------
    ceiling : int
        Upper bound, from the settings.
    limit : float
        Current limit, from 1 to `ceiling`.
    latency_ms : float
        Fast moving average of the latency; 0 before the first answer.
    decrease_after_ms : float
        Time from which the limit may be lowered again.
    """

    ceiling: int
    limit: float
    latency_ms: float = 0.0
    decrease_after_ms: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class LatencyFloor:
    """Shortest recent latency, as a lower bound for the next request.

    The bound expires, so that a backend server that became faster is detected even if
    every request is refused because of its deadline.
    """

    window_started_at_ms: float = 0.0
    window_min_ms: float | None = None
    previous_min_ms: float | None = None

    def record(self, *, latency_ms: float, now_ms: float) -> None:
        """Add a latency sample."""
        self._rotate_window(now_ms=now_ms)
        if self.window_min_ms is None or latency_ms < self.window_min_ms:
            self.window_min_ms = latency_ms

    def get_ms(self, *, now_ms: float) -> float:
        """Return the bound in milliseconds; 0 without recent samples."""
        self._rotate_window(now_ms=now_ms)
        known = (self.window_min_ms, self.previous_min_ms)
        return min((value for value in known if value is not None), default=0.0)

    def _rotate_window(self, *, now_ms: float) -> None:
        elapsed_ms = now_ms - self.window_started_at_ms
        if elapsed_ms < FLOOR_WINDOW_MS:
            return
        recent = elapsed_ms < 2 * FLOOR_WINDOW_MS
        self.previous_min_ms = self.window_min_ms if recent else None
        self.window_min_ms = None
        self.window_started_at_ms = now_ms


def record_shed(state: LimitState, *, now_ms: float) -> None:
    """Lower the limit, because the backend server shed a request.

    Parameters
    ----------
    state : LimitState
        The limit.
    now_ms : float
        Current time in milliseconds.
    """
    _decrease(state, factor=SHED_DECREASE_FACTOR, minimum=1.0, now_ms=now_ms)


def record_success(
    state: LimitState,
    *,
    latency_ms: float,
    baseline_ms: float,
    in_flight: int,
    now_ms: float,
) -> None:
    """Adapt the limit to the latency of an answer.

    Parameters
    ----------
    state : LimitState
        The limit.
    latency_ms : float
        Latency of the answer.
    baseline_ms : float
        Typical latency of the warm backend server; 0 if unknown.
    in_flight : int
        Requests in flight, including this one.
    now_ms : float
        Current time in milliseconds.
    """
    if state.latency_ms == 0.0:
        state.latency_ms = latency_ms
    state.latency_ms += LATENCY_WEIGHT * (latency_ms - state.latency_ms)
    if 0.0 < baseline_ms * LATENCY_FACTOR < state.latency_ms:
        minimum = min(state.limit, max(1.0, state.ceiling * MIN_LIMIT_SHARE_ON_LATENCY))
        _decrease(state, factor=LATENCY_DECREASE_FACTOR, minimum=minimum, now_ms=now_ms)
        return
    utilised = in_flight >= state.limit * MIN_UTILISED_SHARE
    growth = 1.0 if utilised else UNUTILISED_GROWTH
    state.limit = min(float(state.ceiling), state.limit + growth / state.limit)


def _decrease(
    state: LimitState, *, factor: float, minimum: float, now_ms: float
) -> None:
    if now_ms < state.decrease_after_ms:
        return
    state.limit = max(minimum, state.limit * factor)
    interval_ms = max(MIN_DECREASE_INTERVAL_MS, 2 * state.latency_ms)
    state.decrease_after_ms = now_ms + interval_ms
