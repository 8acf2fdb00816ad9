"""Interface of the platform's key-value service."""

from collections.abc import Sequence
from typing import Protocol

from vanillapitch_store.model import (
    Compare,
    GetResult,
    Lease,
    Operation,
    PrefixResult,
    TransactionResult,
    WatchResult,
)

__all__ = ["KeyValueStore"]


class KeyValueStore(Protocol):
    """Key-value store with compare-and-swap, leases and watches.

    Every call returns or raises within a bounded time. Calls may be made from any
    thread.
    """

    def get(self, key: str) -> GetResult:
        """Read one key.

        Raises
        ------
        StoreUnavailable
            If no address of the store responds.
        StoreRejected
            If the store rejects the call.
        """

    def get_prefix(self, prefix: str) -> PrefixResult:
        """Read all keys that start with a prefix; raises the errors of `get`."""

    def transact(
        self,
        compares: Sequence[Compare],
        on_success: Sequence[Operation],
        on_failure: Sequence[Operation] = (),
    ) -> TransactionResult:
        """Evaluate compares and execute the matching operations atomically.

        Raises
        ------
        StoreUnavailable
            If the call certainly had no effect.
        StoreOutcomeUnknown
            If the call may have had an effect; not raised when no operation writes.
        StoreRejected
            If the store rejects the call.
        """

    def grant_lease(self, ttl_ms: int) -> Lease:
        """Create a lease; raises the errors of `transact`.

        If the outcome is unknown, a lease that was created expires by itself.
        """

    def keep_alive(self, lease: Lease) -> Lease:
        """Renew a lease; raises the errors of `transact`.

        Raises
        ------
        StoreLeaseNotFound
            If the lease has expired.
        """

    def watch(self, key: str, from_revision: int, timeout_ms: int) -> WatchResult:
        """Wait for changes of one key in one streaming call.

        Returns at the first changes at or after `from_revision`, or without any when
        `timeout_ms` has passed.

        Raises
        ------
        StoreUnavailable
            If no address of the store responds, or the stream is interrupted.
        StoreCompacted
            If events since `from_revision` are no longer kept; read the key instead.
        StoreRestored
            If the store has not reached `from_revision`, as it was restored from an
            older copy; read the key instead.
        """
