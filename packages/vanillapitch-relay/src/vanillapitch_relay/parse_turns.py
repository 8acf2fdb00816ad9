"""Shares the event loop between connections whose bytes take long to parse."""

import asyncio
import collections
from collections.abc import Callable

__all__ = ["EVENTS_PER_TURN", "ParseTurns"]

# Events that a connection parses before others are served. An event costs some 20 us,
# and one read may hold more than 40,000 of them (chunks of one byte).
EVENTS_PER_TURN = 32

_Entry = tuple[Callable[[], bool], Callable[[], None]]


class ParseTurns:
    """Queue of connections with unparsed bytes; each loop iteration serves one.

    Connections share one instance, so that other tasks wait for one turn at a time
    however many connections are queued.
    """

    def __init__(self):
        self._queue: collections.deque[_Entry] = collections.deque()
        self._is_scheduled = False

    def add(self, step: Callable[[], bool], *, abort: Callable[[], None]) -> None:
        """Queue a connection.

        Parameters
        ----------
        step : callable
            Parses for one turn; returns whether the connection needs another one.
        abort : callable
            Aborts the connection; called if `step` raises.
        """
        self._queue.append((step, abort))
        self._schedule()

    def _schedule(self) -> None:
        if self._queue and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        self._is_scheduled = False
        step, abort = self._queue.popleft()
        try:
            if step():
                self._queue.append((step, abort))
        except Exception:
            # The event loop logs the error; it would close the transport only if this
            # were a callback of the protocol.
            abort()
            raise
        finally:
            self._schedule()
