"""Event loop whose time excludes the periods in which its process did not run.

Tests of time bounds then measure what the program does and not how busy the machine is.
"""

import asyncio
import selectors
import time

__all__ = ["LoopClock", "SteadyEventLoop"]

# Longest time that one iteration of the loop takes on an idle machine. What exceeds it,
# apart from the wait for events, is time that other processes used.
ITERATION_MAX_S = 0.005


class _SteadyTime:
    """Time that counts waits up to their time-out and a bounded time between them."""

    def __init__(self):
        self._counted_s = time.monotonic()
        self._read_s = self._counted_s

    def now_s(self) -> float:
        """Return the time counted so far."""
        return self._counted_s + min(time.monotonic() - self._read_s, ITERATION_MAX_S)

    def begin_wait(self) -> None:
        """Count the time since the last wait."""
        self._counted_s = self.now_s()
        self._read_s = time.monotonic()

    def end_wait(self, timeout_s: float | None) -> None:
        """Count the wait, without what exceeds its time-out."""
        now_s = time.monotonic()
        waited_s = now_s - self._read_s
        self._counted_s += waited_s if timeout_s is None else min(waited_s, timeout_s)
        self._read_s = now_s


class _MeteredSelector(selectors.DefaultSelector):
    """Selector that reports its waits to a `_SteadyTime`."""

    def __init__(self, steady_time: _SteadyTime):
        super().__init__()
        self._steady_time = steady_time

    def select(self, timeout: float | None = None) -> list:
        """Wait for events, at most for `timeout` seconds."""
        self._steady_time.begin_wait()
        events = super().select(timeout)
        self._steady_time.end_wait(None if timeout is None else max(0.0, timeout))
        return events


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances by its waits and by at most 5 ms between them."""

    def __init__(self):
        self._steady_time = _SteadyTime()
        super().__init__(_MeteredSelector(self._steady_time))

    def time(self) -> float:
        """Return the time of the loop in seconds."""
        return self._steady_time.now_s()


class LoopClock:
    """Clock that reads the time of the running event loop."""

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds."""
        return asyncio.get_running_loop().time() * 1_000.0

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000
