"""Client of the platform's key-value service."""

from vanillapitch_store.exceptions import (
    StoreCompacted,
    StoreError,
    StoreLeaseNotFound,
    StoreOutcomeUnknown,
    StoreRejected,
    StoreRestored,
    StoreUnavailable,
)
from vanillapitch_store.model import (
    Compare,
    CompareField,
    Delete,
    DeleteResult,
    Entry,
    EventKind,
    Get,
    GetResult,
    Lease,
    Operation,
    OperationResult,
    PrefixResult,
    Put,
    PutResult,
    Transaction,
    TransactionResult,
    WatchEvent,
    WatchResult,
    key_absent,
    mod_revision_is,
    value_is,
)
from vanillapitch_store.store import KeyValueStore

__all__ = [
    "Compare",
    "CompareField",
    "Delete",
    "DeleteResult",
    "Entry",
    "EtcdGatewayStore",
    "EventKind",
    "Get",
    "GetResult",
    "KeyValueStore",
    "Lease",
    "Operation",
    "OperationResult",
    "PrefixResult",
    "Put",
    "PutResult",
    "StoreCompacted",
    "StoreError",
    "StoreLeaseNotFound",
    "StoreOutcomeUnknown",
    "StoreRejected",
    "StoreRestored",
    "StoreUnavailable",
    "Transaction",
    "TransactionResult",
    "WatchEvent",
    "WatchResult",
    "key_absent",
    "mod_revision_is",
    "value_is",
]


def __getattr__(name: str):
    # Imported lazily, because urllib3 takes memory in processes with another client.
    if name == "EtcdGatewayStore":
        from vanillapitch_store.gateway import EtcdGatewayStore

        return EtcdGatewayStore
    raise AttributeError(name)
