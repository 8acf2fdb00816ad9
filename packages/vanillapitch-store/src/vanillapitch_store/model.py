"""Typed compares, operations and results of store calls."""

import dataclasses
import enum
from typing import TypeAlias

__all__ = [
    "Compare",
    "CompareField",
    "Delete",
    "DeleteResult",
    "Entry",
    "EventKind",
    "Get",
    "GetResult",
    "Lease",
    "Operation",
    "OperationResult",
    "PrefixResult",
    "Put",
    "PutResult",
    "Transaction",
    "TransactionResult",
    "WatchEvent",
    "WatchResult",
    "key_absent",
    "mod_revision_is",
    "value_is",
]

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


class CompareField(enum.StrEnum):
    """Property of a key that a compare tests."""

    CREATE_REVISION = "create_revision"
    MOD_REVISION = "mod_revision"
    VERSION = "version"
    VALUE = "value"


class EventKind(enum.StrEnum):
    """Kind of a change of a watched key."""

    PUT = "put"
    DELETE = "delete"


@_frozen
class Entry:
    """A key with its value.

    Attributes
    ----------
    key : str
        The key.
    value : bytes
        The value; empty in the event of a deletion.
    create_revision : int
        Store revision at which the key was created.
    mod_revision : int
        Store revision of the last change of the key.
    version : int
        Number of changes since the key was created; 0 where the store does not
        count them.
    lease_id : int
        Lease that removes the key, or 0.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    version: int = 0
    lease_id: int = 0


@_frozen
class Compare:
    """Condition of a transaction: a property of a key equals a value.

    Attributes
    ----------
    key : str
        The key to test; an absent key has revisions and version 0.
    field : CompareField
        The property to test.
    equals : int or bytes
        Expected number, or bytes for `CompareField.VALUE`.
    """

    key: str
    field: CompareField
    equals: int | bytes


@_frozen
class Put:
    """Write a key.

    Attributes
    ----------
    key : str
        The key.
    value : bytes
        The value, at most 1 MB.
    lease_id : int
        Lease that removes the key when it expires, or 0 for none.
    """

    key: str
    value: bytes
    lease_id: int = 0


@_frozen
class Delete:
    """Remove a key."""

    key: str


@_frozen
class Get:
    """Read a key."""

    key: str


@_frozen
class Transaction:
    """Conditions, and the operations to execute if all hold or if any does not.

    A transaction can be an operation of another one. The store evaluates all compares,
    also those of nested transactions, before it executes any operation, and rejects a
    transaction that writes the same key twice.

    Attributes
    ----------
    compares : tuple of Compare
        All must hold for `on_success` to be executed.
    on_success : tuple of Operation
        Executed if every compare holds.
    on_failure : tuple of Operation
        Executed otherwise.
    """

    compares: tuple[Compare, ...] = ()
    on_success: tuple["Operation", ...] = ()
    on_failure: tuple["Operation", ...] = ()


Operation: TypeAlias = Put | Delete | Get | Transaction


@_frozen
class PutResult:
    """A write took effect."""


@_frozen
class DeleteResult:
    """A removal took effect.

    Attributes
    ----------
    deleted : int
        Number of keys removed, 0 or 1.
    """

    deleted: int


@_frozen
class GetResult:
    """A key as read.

    Attributes
    ----------
    entry : Entry or None
        None when the key is absent.
    revision : int
        Store revision at which the key was read; a watch continues from the next one.
    """

    entry: Entry | None
    revision: int


@_frozen
class PrefixResult:
    """Keys with a common prefix, as read at one revision.

    Attributes
    ----------
    entries : tuple of Entry
        In order of their keys.
    revision : int
        Store revision at which the keys were read.
    """

    entries: tuple[Entry, ...]
    revision: int


@_frozen
class TransactionResult:
    """Outcome of a transaction.

    Attributes
    ----------
    succeeded : bool
        Whether every compare held.
    results : tuple of OperationResult
        One for each executed operation.
    revision : int
        Store revision after the transaction.
    """

    succeeded: bool
    results: tuple["OperationResult", ...]
    revision: int


OperationResult: TypeAlias = PutResult | DeleteResult | GetResult | TransactionResult


@_frozen
class Lease:
    """A lease as granted or renewed.

    Attributes
    ----------
    lease_id : int
        Id of the lease, for `Put.lease_id`.
    ttl_ms : int
        Time until it expires without renewal, in milliseconds.
    """

    lease_id: int
    ttl_ms: int


@_frozen
class WatchEvent:
    """A change of a watched key.

    Attributes
    ----------
    kind : EventKind
        Put or delete.
    entry : Entry
        The key after the change; its value is empty after a deletion.
    """

    kind: EventKind
    entry: Entry


@_frozen
class WatchResult:
    """Changes that a watch delivered.

    Attributes
    ----------
    events : tuple of WatchEvent
        Empty if there was no change within the time limit.
    next_revision : int
        Revision from which the next watch misses no change.
    """

    events: tuple[WatchEvent, ...]
    next_revision: int


def key_absent(key: str) -> Compare:
    """Return the condition that a key does not exist.

    Parameters
    ----------
    key : str
        The key.

    Returns
    -------
    Compare
        The condition that the key's create revision is 0.
    """
    return Compare(key=key, field=CompareField.CREATE_REVISION, equals=0)


def mod_revision_is(key: str, revision: int) -> Compare:
    """Return the condition that a key was not changed since it was read.

    Parameters
    ----------
    key : str
        The key.
    revision : int
        The `Entry.mod_revision` that was read; 0 for an absent key.

    Returns
    -------
    Compare
        The condition.
    """
    return Compare(key=key, field=CompareField.MOD_REVISION, equals=revision)


def value_is(key: str, value: bytes) -> Compare:
    """Return the condition that a key has a value.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        The expected value.

    Returns
    -------
    Compare
        The condition; it does not hold for an absent key.
    """
    return Compare(key=key, field=CompareField.VALUE, equals=value)
