"""Whether the platform's store answers this daemon, as its own calls show."""

from collections.abc import Callable

from vanillapitch_store.exceptions import StoreError

from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.metrics import Metrics

__all__ = ["StoreReach"]

_log = EventLog(part="store")


class StoreReach:
    """Result of the last call, shared by all parts that use the store.

    Parameters
    ----------
    metrics : Metrics
        Counters.
    """

    def __init__(self, *, metrics: Metrics):
        self.is_reachable = False
        self.on_change: Callable[[], None] = lambda: None
        self._metrics = metrics

    def note_answer(self, kind: str, result: str = "ok") -> None:
        """Count a call that was answered.

        Parameters
        ----------
        kind : str
            What was called.
        result : str
            Result for the counter.
        """
        self._metrics.count_store_call(kind, result)
        if not self.is_reachable:
            _log.info("store_connected", call=kind)
            self.is_reachable = True
            self.on_change()

    def note_failure(self, kind: str, error: StoreError) -> None:
        """Count a call that failed.

        Parameters
        ----------
        kind : str
            What was called.
        error : StoreError
            Why it failed.
        """
        self._metrics.count_store_call(kind, error.code)
        if self.is_reachable:
            _log.warning("store_lost", call=kind, error=error.code, reason=str(error))
            self.is_reachable = False
            self.on_change()
