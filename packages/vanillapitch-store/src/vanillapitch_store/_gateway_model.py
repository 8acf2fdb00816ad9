"""Messages of the JSON gateway form of the etcd v3 API.

Sources: ``rpc.proto`` and ``kv.proto`` of the published etcd v3 API. The gateway writes
64-bit integers as strings, encodes bytes in base64 and leaves out fields with default
values.
"""

import msgspec

from vanillapitch_store.exceptions import StoreError
from vanillapitch_store.model import (
    Compare,
    CompareField,
    Delete,
    DeleteResult,
    Entry,
    EventKind,
    Get,
    GetResult,
    Operation,
    OperationResult,
    Put,
    PutResult,
    Transaction,
    TransactionResult,
    WatchEvent,
)

__all__ = [
    "ErrorAnswer",
    "KeepAliveAnswer",
    "LeaseGrantAnswer",
    "LeaseGrantRequest",
    "LeaseKeepAliveRequest",
    "MalformedAnswer",
    "RangeAnswer",
    "RangeRequest",
    "TxnAnswer",
    "WatchAnswer",
    "WatchCreateRequest",
    "WatchRequest",
    "decode_answer",
    "encode_request",
    "entry_of",
    "event_of",
    "prefix_end",
    "result_of",
    "txn_request",
    "writes",
]


class MalformedAnswer(StoreError):  # noqa: N818
    """An answer is not in the gateway form."""

    code = "store_malformed_answer"


class _Request(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Base of messages to the store."""


class _Answer(msgspec.Struct, kw_only=True):
    """Base of messages from the store."""


class RangeRequest(_Request):
    """Read of a key, or of the keys from `key` up to `range_end`."""

    key: bytes
    range_end: bytes = b""


class PutRequest(_Request):
    """Write of a key."""

    key: bytes
    value: bytes = b""
    lease: str = "0"


class DeleteRequest(_Request):
    """Removal of a key."""

    key: bytes


class CompareRequest(_Request):
    """Condition of a transaction."""

    key: bytes
    target: str
    result: str = ""
    create_revision: str | None = None
    mod_revision: str | None = None
    version: str | None = None
    value: bytes | None = None


class OperationRequest(_Request):
    """Exactly one of the operations."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None
    request_txn: "TxnRequest | None" = None


class TxnRequest(_Request):
    """Transaction."""

    compare: list[CompareRequest] = []
    success: list[OperationRequest] = []
    failure: list[OperationRequest] = []


class LeaseGrantRequest(_Request):
    """Grant of a lease; the store chooses its id."""

    ttl_seconds: str = msgspec.field(name="TTL")


class LeaseKeepAliveRequest(_Request):
    """Renewal of a lease."""

    lease_id: str = msgspec.field(name="ID")


class WatchCreateRequest(_Request):
    """Watch of a key."""

    key: bytes
    start_revision: str


class WatchRequest(_Request):
    """Envelope of a watch."""

    create_request: WatchCreateRequest


class Header(_Answer):
    """Header of each answer."""

    revision: int = 0


class KeyValueAnswer(_Answer):
    """A key with its value."""

    key: bytes
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


class RangeAnswer(_Answer):
    """Keys that were read."""

    header: Header = msgspec.field(default_factory=Header)
    kvs: list[KeyValueAnswer] = []


class PutAnswer(_Answer):
    """A write took effect."""


class DeleteAnswer(_Answer):
    """A removal took effect."""

    deleted: int = 0


class OperationAnswer(_Answer):
    """Exactly one of the results."""

    response_range: RangeAnswer | None = None
    response_put: PutAnswer | None = None
    response_delete_range: DeleteAnswer | None = None
    response_txn: "TxnAnswer | None" = None


class TxnAnswer(_Answer):
    """Outcome of a transaction."""

    header: Header = msgspec.field(default_factory=Header)
    succeeded: bool = False
    responses: list[OperationAnswer] = []


class LeaseGrantAnswer(_Answer):
    """A granted lease."""

    lease_id: int = msgspec.field(name="ID")
    ttl_seconds: int = msgspec.field(name="TTL")


class KeepAliveResult(_Answer):
    """State of a renewed lease; a TTL of 0 means that it does not exist."""

    ttl_seconds: int = msgspec.field(name="TTL", default=0)


class KeepAliveAnswer(_Answer):
    """Message of the renewal stream."""

    result: KeepAliveResult


class EventAnswer(_Answer):
    """A change of a key."""

    kv: KeyValueAnswer
    type: str = "PUT"


class WatchResultAnswer(_Answer):
    """Content of a message of a watch."""

    header: Header = msgspec.field(default_factory=Header)
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: list[EventAnswer] = []


class WatchAnswer(_Answer):
    """Message of the watch stream."""

    result: WatchResultAnswer


class ErrorAnswer(_Answer):
    """Error of the gateway with its gRPC status code."""

    code: int
    message: str = ""


_TARGET_BY_FIELD = {
    CompareField.CREATE_REVISION: "CREATE",
    CompareField.MOD_REVISION: "MOD",
    CompareField.VERSION: "VERSION",
    CompareField.VALUE: "VALUE",
}


def encode_request(request: _Request) -> bytes:
    """Encode a message to the store as JSON."""
    return msgspec.json.encode(request)


def decode_answer(document: bytes, answer_type):
    """Decode a message from the store.

    Raises
    ------
    MalformedAnswer
        If the message does not have the expected form.
    """
    try:
        return msgspec.json.decode(document, type=answer_type, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedAnswer(f"the store's answer is malformed: {error}") from error


def prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys that start with a non-empty prefix."""
    trimmed = prefix.rstrip(b"\xff")
    return trimmed[:-1] + bytes([trimmed[-1] + 1])


def writes(operations) -> bool:
    """Tell whether any operation, nested ones included, changes a key."""
    return any(
        writes((*operation.on_success, *operation.on_failure))
        if isinstance(operation, Transaction)
        else not isinstance(operation, Get)
        for operation in operations
    )


def txn_request(transaction: Transaction) -> TxnRequest:
    """Translate a transaction into the gateway form."""
    return TxnRequest(
        compare=[_compare_request(compare) for compare in transaction.compares],
        success=[_operation_request(each) for each in transaction.on_success],
        failure=[_operation_request(each) for each in transaction.on_failure],
    )


def _compare_request(compare: Compare) -> CompareRequest:
    expected = compare.equals
    if compare.field is not CompareField.VALUE:
        expected = str(expected)
    return CompareRequest(
        key=compare.key.encode(),
        target=_TARGET_BY_FIELD[compare.field],
        result="EQUAL",
        **{compare.field.value: expected},
    )


def _operation_request(operation: Operation) -> OperationRequest:
    match operation:
        case Put():
            put = PutRequest(
                key=operation.key.encode(),
                value=operation.value,
                lease=str(operation.lease_id),
            )
            return OperationRequest(request_put=put)
        case Delete():
            delete = DeleteRequest(key=operation.key.encode())
            return OperationRequest(request_delete_range=delete)
        case Get():
            get = RangeRequest(key=operation.key.encode())
            return OperationRequest(request_range=get)
        case Transaction():
            return OperationRequest(request_txn=txn_request(operation))


def entry_of(answer: KeyValueAnswer) -> Entry:
    """Translate a key from the gateway form.

    Raises
    ------
    MalformedAnswer
        If the key is not UTF-8.
    """
    try:
        key = answer.key.decode()
    except UnicodeDecodeError as error:
        raise MalformedAnswer("a key of the store is not UTF-8") from error
    return Entry(
        key=key,
        value=answer.value,
        create_revision=answer.create_revision,
        mod_revision=answer.mod_revision,
        version=answer.version,
        lease_id=answer.lease,
    )


def event_of(answer: EventAnswer) -> WatchEvent:
    """Translate a change from the gateway form."""
    kind = EventKind.DELETE if answer.type == "DELETE" else EventKind.PUT
    return WatchEvent(kind=kind, entry=entry_of(answer.kv))


def result_of(answer: TxnAnswer, revision: int) -> TransactionResult:
    """Translate the outcome of a transaction.

    Parameters
    ----------
    answer : TxnAnswer
        The outcome, possibly of a nested transaction.
    revision : int
        Store revision of the outermost transaction.

    Raises
    ------
    MalformedAnswer
        If a result is missing.
    """
    return TransactionResult(
        succeeded=answer.succeeded,
        results=tuple(_operation_result(each, revision) for each in answer.responses),
        revision=revision,
    )


def _operation_result(answer: OperationAnswer, revision: int) -> OperationResult:
    if answer.response_txn is not None:
        return result_of(answer.response_txn, revision)
    if answer.response_range is not None:
        kvs = answer.response_range.kvs
        entry = entry_of(kvs[0]) if kvs else None
        return GetResult(entry=entry, revision=revision)
    if answer.response_delete_range is not None:
        return DeleteResult(deleted=answer.response_delete_range.deleted)
    if answer.response_put is not None:
        return PutResult()
    raise MalformedAnswer("an operation of a transaction has no result")
