"""Messages of the etcd v3 API in the form of its JSON gateway.

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
    "ErrorResponse",
    "KeepAliveResponse",
    "LeaseGrantRequest",
    "LeaseGrantResponse",
    "LeaseKeepAliveRequest",
    "MalformedResponse",
    "RangeRequest",
    "RangeResponse",
    "TxnResponse",
    "WatchCreateRequest",
    "WatchRequest",
    "WatchResponse",
    "contains_write",
    "decode_response",
    "encode_request",
    "prefix_end",
    "to_entry",
    "to_event",
    "to_transaction_result",
    "to_txn_request",
]


class MalformedResponse(StoreError):  # noqa: N818
    """A response does not have the form of the gateway."""

    code = "store_malformed_answer"


class _Request(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Base class of requests to the store."""


class _Response(msgspec.Struct, kw_only=True):
    """Base class of messages from the store."""


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
    """Operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None
    request_txn: "TxnRequest | None" = None


class TxnRequest(_Request):
    """Conditions, and the operations to execute if all hold or if any does not."""

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


class Header(_Response):
    """Header of each response."""

    revision: int = 0


class KeyValueMessage(_Response):
    """A key with its value."""

    key: bytes
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


class RangeResponse(_Response):
    """Keys read by a range request."""

    header: Header = msgspec.field(default_factory=Header)
    kvs: list[KeyValueMessage] = []


class PutResponse(_Response):
    """A write took effect."""


class DeleteResponse(_Response):
    """A removal took effect."""

    deleted: int = 0


class OperationResponse(_Response):
    """Result of an operation; exactly one field is set."""

    response_range: RangeResponse | None = None
    response_put: PutResponse | None = None
    response_delete_range: DeleteResponse | None = None
    response_txn: "TxnResponse | None" = None


class TxnResponse(_Response):
    """Outcome of a transaction."""

    header: Header = msgspec.field(default_factory=Header)
    succeeded: bool = False
    responses: list[OperationResponse] = []


class LeaseGrantResponse(_Response):
    """A granted lease."""

    lease_id: int = msgspec.field(name="ID")
    ttl_seconds: int = msgspec.field(name="TTL")


class KeepAliveResult(_Response):
    """State of a renewed lease; a TTL of 0 means that the lease does not exist."""

    ttl_seconds: int = msgspec.field(name="TTL", default=0)


class KeepAliveResponse(_Response):
    """Message of the renewal stream."""

    result: KeepAliveResult


class EventMessage(_Response):
    """A change of a key."""

    kv: KeyValueMessage
    type: str = "PUT"


class WatchResponseContent(_Response):
    """Content of a message of a watch."""

    header: Header = msgspec.field(default_factory=Header)
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: list[EventMessage] = []


class WatchResponse(_Response):
    """Message of the watch stream."""

    result: WatchResponseContent


class ErrorResponse(_Response):
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
    """Encode a request to the store as JSON."""
    return msgspec.json.encode(request)


def decode_response(document: bytes, response_type):
    """Decode a message from the store.

    Raises
    ------
    MalformedResponse
        If the message does not have the expected form.
    """
    try:
        return msgspec.json.decode(document, type=response_type, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedResponse(f"the store's answer is malformed: {error}") from error


def prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys that start with a non-empty prefix."""
    trimmed = prefix.rstrip(b"\xff")
    return trimmed[:-1] + bytes([trimmed[-1] + 1])


def contains_write(operations) -> bool:
    """Return whether any operation, including nested ones, changes a key."""
    return any(
        contains_write((*operation.on_success, *operation.on_failure))
        if isinstance(operation, Transaction)
        else not isinstance(operation, Get)
        for operation in operations
    )


def to_txn_request(transaction: Transaction) -> TxnRequest:
    """Convert a transaction into the gateway form."""
    return TxnRequest(
        compare=[_to_compare_request(compare) for compare in transaction.compares],
        success=[_to_operation_request(each) for each in transaction.on_success],
        failure=[_to_operation_request(each) for each in transaction.on_failure],
    )


def _to_compare_request(compare: Compare) -> CompareRequest:
    expected = compare.equals
    if compare.field is not CompareField.VALUE:
        expected = str(expected)
    return CompareRequest(
        key=compare.key.encode(),
        target=_TARGET_BY_FIELD[compare.field],
        result="EQUAL",
        **{compare.field.value: expected},
    )


def _to_operation_request(operation: Operation) -> OperationRequest:
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
            return OperationRequest(request_txn=to_txn_request(operation))


def to_entry(message: KeyValueMessage) -> Entry:
    """Convert a key from the gateway form.

    Raises
    ------
    MalformedResponse
        If the key is not UTF-8.
    """
    try:
        key = message.key.decode()
    except UnicodeDecodeError as error:
        raise MalformedResponse("a key of the store is not UTF-8") from error
    return Entry(
        key=key,
        value=message.value,
        create_revision=message.create_revision,
        mod_revision=message.mod_revision,
        version=message.version,
        lease_id=message.lease,
    )


def to_event(message: EventMessage) -> WatchEvent:
    """Convert a change from the gateway form."""
    kind = EventKind.DELETE if message.type == "DELETE" else EventKind.PUT
    return WatchEvent(kind=kind, entry=to_entry(message.kv))


def to_transaction_result(response: TxnResponse, revision: int) -> TransactionResult:
    """Convert the outcome of a transaction from the gateway form.

    Parameters
    ----------
    response : TxnResponse
        The outcome, possibly of a nested transaction.
    revision : int
        Store revision of the outermost transaction.

    Raises
    ------
    MalformedResponse
        If a result is missing.
    """
    return TransactionResult(
        succeeded=response.succeeded,
        results=tuple(
            _to_operation_result(each, revision) for each in response.responses
        ),
        revision=revision,
    )


def _to_operation_result(response: OperationResponse, revision: int) -> OperationResult:
    if response.response_txn is not None:
        return to_transaction_result(response.response_txn, revision)
    if response.response_range is not None:
        kvs = response.response_range.kvs
        entry = to_entry(kvs[0]) if kvs else None
        return GetResult(entry=entry, revision=revision)
    if response.response_delete_range is not None:
        return DeleteResult(deleted=response.response_delete_range.deleted)
    if response.response_put is not None:
        return PutResult()
    raise MalformedResponse("an operation of a transaction has no result")
