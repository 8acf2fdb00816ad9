"""Store client that counts each call by kind and result."""

from collections.abc import Callable, Sequence
from typing import TypeVar

from vanillapitch_store import (
    Compare,
    GetResult,
    KeyValueStore,
    Lease,
    Operation,
    PrefixResult,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
    TransactionResult,
    WatchResult,
)

from vanillapitch_daemon.metrics import Metrics

__all__ = ["MeteredStore"]

Result = TypeVar("Result")


class MeteredStore:
    """A `KeyValueStore` that wraps another one.

    Parameters
    ----------
    store : KeyValueStore
        The store that executes the calls.
    metrics : Metrics
        Metrics of the daemon.
    """

    def __init__(self, *, store: KeyValueStore, metrics: Metrics):
        self._store = store
        self._metrics = metrics
        self._state = "unknown"

    @property
    def state(self) -> str:
        """``up`` or ``down`` by the last call, ``unknown`` before the first call."""
        return self._state

    def get(self, key: str) -> GetResult:
        """Read one key."""
        return self._count("get", lambda: self._store.get(key))

    def get_prefix(self, prefix: str) -> PrefixResult:
        """Read all keys that start with a prefix."""
        return self._count("get_prefix", lambda: self._store.get_prefix(prefix))

    def transact(
        self,
        compares: Sequence[Compare],
        on_success: Sequence[Operation],
        on_failure: Sequence[Operation] = (),
    ) -> TransactionResult:
        """Check compares and execute operations atomically."""
        return self._count(
            "transact", lambda: self._store.transact(compares, on_success, on_failure)
        )

    def grant_lease(self, ttl_ms: int) -> Lease:
        """Create a lease."""
        return self._count("grant_lease", lambda: self._store.grant_lease(ttl_ms))

    def keep_alive(self, lease: Lease) -> Lease:
        """Renew a lease."""
        return self._count("keep_alive", lambda: self._store.keep_alive(lease))

    def watch(self, key: str, from_revision: int, timeout_ms: int) -> WatchResult:
        """Wait for changes of one key."""
        return self._count(
            "watch", lambda: self._store.watch(key, from_revision, timeout_ms)
        )

    def _count(self, kind: str, call: Callable[[], Result]) -> Result:
        try:
            result = call()
        except StoreError as error:
            is_outage = isinstance(error, StoreUnavailable | StoreOutcomeUnknown)
            self._state = "down" if is_outage else "up"
            self._metrics.count_store_call(kind, error.code)
            raise
        self._state = "up"
        self._metrics.count_store_call(kind, "ok")
        return result
