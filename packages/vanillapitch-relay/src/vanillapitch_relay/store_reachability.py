"""Whether the platform's store answers this daemon, derived from its calls."""

from collections.abc import Callable

from vanillapitch_store.exceptions import StoreError

from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.metrics import Metrics

__all__ = ["StoreReachability"]

_log = EventLog(part="store")


class StoreReachability:
    """Tracks whether the last call to the store was answered.

    Parameters
    ----------
    metrics : Metrics
        Metrics that count the calls.
    """

    def __init__(self, *, metrics: Metrics):
        self.is_reachable = False
        self.on_change: Callable[[], None] = lambda: None
        self._metrics = metrics

    def record_response(self, kind: str, result: str = "ok") -> None:
        """Count a call that was answered.

        Parameters
        ----------
        kind : str
            Kind of the call.
        result : str
            Result label of the counter.
        """
        self._metrics.count_store_call(kind, result)
        if not self.is_reachable:
            _log.info("store_connected", call=kind)
            self.is_reachable = True
            self.on_change()

    def record_failure(self, kind: str, error: StoreError) -> None:
        """Count a call that failed.

        Parameters
        ----------
        kind : str
            Kind of the call.
        error : StoreError
            Reason of the failure.
        """
        self._metrics.count_store_call(kind, error.code)
        if self.is_reachable:
            _log.warning("store_lost", call=kind, error=error.code, reason=str(error))
            self.is_reachable = False
            self.on_change()
