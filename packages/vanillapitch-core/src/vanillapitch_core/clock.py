"""Clocks in milliseconds; tests inject a manual one."""

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Source of time for every decision."""

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds."""
        return time.monotonic_ns() / 1e6

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Clock that advances only when a test calls `advance`.

    Parameters
    ----------
    start_ms : float
        Initial monotonic time in milliseconds.
    epoch_ms : int
        Wall time at monotonic zero, in milliseconds since the Unix epoch.
    """

    def __init__(self, *, start_ms: float = 0.0, epoch_ms: int = 1_700_000_000_000):
        self._now_ms = start_ms
        self._epoch_ms = epoch_ms

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return self._epoch_ms + int(self._now_ms)

    def advance(self, duration_ms: float) -> None:
        """Move time forward.

        Parameters
        ----------
        duration_ms : float
            Milliseconds to add; must not be negative.

        Raises
        ------
        ValueError
            If `duration_ms` is negative.
        """
        if duration_ms < 0:
            raise ValueError("duration_ms must not be negative")
        self._now_ms += duration_ms
