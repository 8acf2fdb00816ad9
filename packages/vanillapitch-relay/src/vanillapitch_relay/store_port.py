"""Interface of the relay to the platform's store."""

from collections.abc import Callable, Sequence
from typing import Protocol

from vanillapitch_store.model import (
    Compare,
    Delete,
    GetResult,
    Lease,
    PrefixResult,
    Put,
    TransactionResult,
    WatchResult,
)

__all__ = ["AsyncKeyValueStore"]


class AsyncKeyValueStore(Protocol):
    """Asynchronous `vanillapitch_store.KeyValueStore`, with watches of a prefix.

    Every call returns or raises within a bounded time, with the errors of
    `vanillapitch_store.exceptions`.

    Attributes
    ----------
    on_timeline : callable
        Called with the store's timeline, a number that rises each time the store is
        restored from an older copy, for each response.
    """

    on_timeline: Callable[[int], None]

    async def get(self, key: str) -> GetResult:
        """Read one key."""

    async def get_prefix(
        self, prefix: str, *, may_be_stale: bool = False, before_watch: bool = False
    ) -> PrefixResult:
        """Read all keys that start with a prefix, as of the result's revision.

        Changes during the read may be included; a watch from that revision delivers
        them again. A stale read is cheap and may be seconds old. A read before a watch
        does not wait for other calls that get no response.
        """

    async def watch_prefix(
        self, prefix: str, *, after_revision: int, timeout_ms: int
    ) -> WatchResult:
        """Wait for changes; the next watch continues after `next_revision`."""

    async def transact(
        self, compares: Sequence[Compare], on_success: Sequence[Put | Delete]
    ) -> TransactionResult:
        """Apply all writes if every compare holds."""

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Create a lease."""

    async def keep_alive(self, lease_id: int) -> None:
        """Renew a lease."""

    async def end_lease(self, lease_id: int) -> None:
        """Revoke a lease and remove its keys."""
