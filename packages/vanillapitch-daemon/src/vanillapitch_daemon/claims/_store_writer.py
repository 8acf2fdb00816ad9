"""Store transactions of groups of changes."""

import logging
from collections.abc import Callable, Sequence

from vanillapitch_core import Clock
from vanillapitch_core.claims import (
    ChangeKind,
    ChangeOutcome,
    ChangeStatus,
    ClaimChange,
    ClaimRecordError,
    outcome_after_read,
    outcome_of_compare,
)
from vanillapitch_store import (
    Delete,
    Entry,
    Get,
    KeyValueStore,
    Lease,
    Put,
    StoreError,
    StoreLeaseNotFound,
    StoreOutcomeUnknown,
    StoreUnavailable,
    Transaction,
    TransactionResult,
    key_absent,
    value_is,
)

__all__ = ["RETENTION_MS", "StoreWriter"]

HOUR_MS = 3_600_000
RETENTION_MS = 24 * HOUR_MS

_log = logging.getLogger("vanillapitch.claims")


class StoreWriter:
    """Writes groups of changes; not thread-safe.

    Parameters
    ----------
    store : KeyValueStore
        The store.
    clock : Clock
        Source of time.
    count_call : callable
        Called with the kind and the result of each call to the store.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        count_call: Callable[[str, str], None],
    ):
        self._store = store
        self._clock = clock
        self._count_call = count_call
        self._lease: Lease | None = None
        self._lease_granted_at_ms = 0.0

    def write(self, changes: Sequence[ClaimChange]) -> list[ChangeOutcome]:
        """Write changes of distinct keys in one transaction.

        Parameters
        ----------
        changes : sequence of ClaimChange
            The changes.

        Returns
        -------
        list of ChangeOutcome
            Their outcomes, in the same order.
        """
        try:
            result = self._transact_with_lease(changes)
        except StoreOutcomeUnknown as error:
            _log.warning("claims: a response of the store was lost: %s", error)
            return self._read_back(changes)
        except StoreError as error:
            _log.warning("claims: a group of changes was not written: %s", error)
            return [ChangeOutcome(status=ChangeStatus.NO_EFFECT)] * len(changes)
        return [
            _outcome(change, nested)
            for change, nested in zip(changes, result.results, strict=True)
        ]

    def _transact_with_lease(self, changes: Sequence[ClaimChange]) -> TransactionResult:
        try:
            return self._transact(changes, self._current_lease())
        except StoreLeaseNotFound:
            # The lease no longer exists, so the store rejected the whole transaction.
            self._lease = None
            return self._transact(changes, self._current_lease())

    def _transact(
        self, changes: Sequence[ClaimChange], lease: Lease
    ) -> TransactionResult:
        nested = [_transaction(change, lease.lease_id) for change in changes]
        return self._call_store(
            "claims_write", lambda: self._store.transact((), nested)
        )

    def _current_lease(self) -> Lease:
        now_ms = self._clock.now_ms()
        if self._lease is None or now_ms - self._lease_granted_at_ms >= HOUR_MS:
            self._lease = self._grant_lease()
            self._lease_granted_at_ms = now_ms
        return self._lease

    def _grant_lease(self) -> Lease:
        # A lease is used for an hour; the last claim must still be kept for the whole
        # retention time.
        def grant() -> Lease:
            return self._store.grant_lease(RETENTION_MS + HOUR_MS)

        try:
            return self._call_store("claims_lease", grant)
        except StoreOutcomeUnknown:
            # If this lease was granted, it has no keys and expires unused.
            _log.warning("claims: the response to a lease grant was lost; retrying")
        try:
            return self._call_store("claims_lease", grant)
        except StoreOutcomeUnknown as error:
            # No change was sent, so the group had no effect.
            raise StoreUnavailable(f"no lease was granted: {error}") from error

    def _read_back(self, changes: Sequence[ClaimChange]) -> list[ChangeOutcome]:
        gets = [Get(key=change.store_key) for change in changes]
        try:
            result = self._call_store(
                "claims_read_back", lambda: self._store.transact((), gets)
            )
        except StoreError as error:
            _log.warning("claims: reading after a lost response failed: %s", error)
            return [ChangeOutcome(status=ChangeStatus.LOST)] * len(changes)
        return [
            _checked_outcome(change, _value(read.entry), outcome_after_read)
            for change, read in zip(changes, result.results, strict=True)
        ]

    def _call_store(self, kind: str, call: Callable):
        try:
            result = call()
        except StoreError as error:
            self._count_call(kind, error.code)
            raise
        self._count_call(kind, "ok")
        return result


def _transaction(change: ClaimChange, lease_id: int) -> Transaction:
    key = change.store_key
    put = Put(key=key, value=change.value, lease_id=lease_id)
    read = (Get(key=key),)
    match change.kind:
        case ChangeKind.CREATE:
            compares, on_success = (key_absent(key),), (put,)
        case ChangeKind.FINISH:
            compares, on_success = (value_is(key, change.expected),), (put,)
        case ChangeKind.RELEASE:
            compares, on_success = (value_is(key, change.expected),), (Delete(key=key),)
    return Transaction(compares=compares, on_success=on_success, on_failure=read)


def _outcome(change: ClaimChange, nested: TransactionResult) -> ChangeOutcome:
    current = None if nested.succeeded else _value(nested.results[0].entry)

    def interpret(change: ClaimChange, current: bytes | None) -> ChangeOutcome:
        return outcome_of_compare(change, succeeded=nested.succeeded, current=current)

    return _checked_outcome(change, current, interpret)


def _checked_outcome(
    change: ClaimChange, current: bytes | None, interpret
) -> ChangeOutcome:
    try:
        return interpret(change, current)
    except ClaimRecordError as error:
        _log.error("claims: malformed claim key=%s: %s", change.store_key, error)
        return ChangeOutcome(status=ChangeStatus.TAKEN, current=current or b"")


def _value(entry: Entry | None) -> bytes | None:
    return None if entry is None else entry.value
