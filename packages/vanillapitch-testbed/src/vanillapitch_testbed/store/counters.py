"""Counters of the calls to the store."""

import enum
import threading

import msgspec

__all__ = ["CallKind", "Counters", "StoreCounters"]


class CallKind(enum.StrEnum):
    """Kinds of calls; a watch counts as one call."""

    RANGE = "range"
    PUT = "put"
    DELETE = "delete"
    TXN_READ = "txn_read"
    TXN_WRITE = "txn_write"
    LEASE_GRANT = "lease_grant"
    LEASE_KEEP_ALIVE = "lease_keep_alive"
    WATCH = "watch"


WRITING_KINDS = frozenset(
    {CallKind.PUT, CallKind.DELETE, CallKind.TXN_WRITE, CallKind.LEASE_GRANT}
)


class StoreCounters(msgspec.Struct, kw_only=True, frozen=True):
    """Counts since the start or the last reset.

    Attributes
    ----------
    calls_by_kind : dict of str to int
        Received calls by `CallKind`.
    answers_lost : int
        Calls that took effect without a response.
    watches_open : int
        Watches that are open now.
    revision : int
        Revision of the store.
    keys : int
        Keys in the store.
    leases : int
        Leases in the store, including expired ones that are not yet removed.
    """

    calls_by_kind: dict[str, int]
    answers_lost: int
    watches_open: int
    revision: int
    keys: int
    leases: int

    @property
    def writes(self) -> int:
        """Number of writing calls."""
        return sum(self.calls_by_kind.get(kind, 0) for kind in WRITING_KINDS)

    @property
    def calls(self) -> int:
        """Number of all calls."""
        return sum(self.calls_by_kind.values())


class Counters:
    """Counters that any thread may increment."""

    def __init__(self):
        self._lock = threading.Lock()
        self._calls_by_kind: dict[str, int] = {}
        self._responses_lost = 0
        self._watches_open = 0

    def count_call(self, kind: CallKind) -> None:
        """Count a received call."""
        with self._lock:
            self._calls_by_kind[kind] = self._calls_by_kind.get(kind, 0) + 1

    def count_lost_response(self) -> None:
        """Count a call that took effect and gets no response."""
        with self._lock:
            self._responses_lost += 1

    def change_open_watches(self, difference: int) -> None:
        """Count the start (1) or the end (-1) of a watch."""
        with self._lock:
            self._watches_open += difference

    def reset(self) -> None:
        """Set the counts of calls and of lost responses to zero."""
        with self._lock:
            self._calls_by_kind.clear()
            self._responses_lost = 0

    def snapshot(self, *, revision: int, keys: int, leases: int) -> StoreCounters:
        """Return the counts together with the given state of the store."""
        with self._lock:
            return StoreCounters(
                calls_by_kind=dict(self._calls_by_kind),
                answers_lost=self._responses_lost,
                watches_open=self._watches_open,
                revision=revision,
                keys=keys,
                leases=leases,
            )
