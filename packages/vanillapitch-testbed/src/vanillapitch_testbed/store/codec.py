"""Translation between the messages of the JSON gateway and the engine's commands.

Independent of the client's codec, so that an error in one is not hidden by the same
error in the other.
"""

import base64
import binascii

from vanillapitch_testbed.store.engine import (
    CompareCommand,
    DeleteCommand,
    Event,
    GetCommand,
    PutCommand,
    Record,
    TransactionCommand,
    TransactionOutcome,
)
from vanillapitch_testbed.store.exceptions import InvalidRequestError

__all__ = [
    "delete_command",
    "event_message",
    "get_command",
    "read_integer",
    "put_command",
    "range_response",
    "transaction_response",
    "transaction_command",
]

_ATTRIBUTE_BY_TARGET = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "VALUE": "value",
}


def read_integer(message: dict, *names: str) -> int:
    """Read a 64-bit integer field under one of its names; 0 when it is absent."""
    try:
        return int(_field(message, *names, default=0))
    except (TypeError, ValueError) as error:
        raise InvalidRequestError(f"{names[0]} is not an integer") from error


def get_command(message: dict) -> GetCommand:
    """Translate a range request."""
    return GetCommand(
        key=_key(message), range_end=_decode_base64(message, "range_end", "rangeEnd")
    )


def put_command(message: dict) -> PutCommand:
    """Translate a put request."""
    return PutCommand(
        key=_key(message),
        value=_decode_base64(message, "value"),
        lease_id=read_integer(message, "lease"),
    )


def delete_command(message: dict) -> DeleteCommand:
    """Translate a delete request."""
    return DeleteCommand(
        key=_key(message), range_end=_decode_base64(message, "range_end", "rangeEnd")
    )


def transaction_command(message: dict) -> TransactionCommand:
    """Translate a transaction request, including nested transactions."""
    return TransactionCommand(
        compares=tuple(_compare(each) for each in message.get("compare", ())),
        success=tuple(_operation(each) for each in message.get("success", ())),
        failure=tuple(_operation(each) for each in message.get("failure", ())),
    )


def range_response(records, revision: int) -> dict:
    """Encode the records that a range request has read."""
    response = _with_header({}, revision)
    if records:
        response["kvs"] = [_record_message(record) for record in records]
        response["count"] = str(len(records))
    return response


def transaction_response(
    command: TransactionCommand, outcome: TransactionOutcome, revision: int
) -> dict:
    """Encode the outcome of a transaction."""
    commands = command.success if outcome.succeeded else command.failure
    response = _with_header({}, revision)
    if outcome.succeeded:
        response["succeeded"] = True
    if commands:
        response["responses"] = [
            _operation_response(each, result, revision)
            for each, result in zip(commands, outcome.results, strict=True)
        ]
    return response


def event_message(event: Event) -> dict:
    """Encode a change of a key."""
    message = {"kv": _record_message(event.record)}
    if event.deleted:
        message["type"] = "DELETE"
    return message


def _operation_response(command, result, revision: int) -> dict:
    match command:
        case GetCommand():
            return {"response_range": range_response(result, revision)}
        case PutCommand():
            return {"response_put": _with_header({}, revision)}
        case DeleteCommand():
            removed = {"deleted": str(result)} if result else {}
            return {"response_delete_range": _with_header(removed, revision)}
        case _:
            nested = transaction_response(command, result, revision)
            return {"response_txn": nested}


def _with_header(response: dict, revision: int) -> dict:
    header = {"cluster_id": "1", "member_id": "1", "revision": str(revision)}
    return {"header": header, **response}


def _record_message(record: Record) -> dict:
    message = {"key": _encode_base64(record.key)}
    if record.value:
        message["value"] = _encode_base64(record.value)
    numbers = {
        "create_revision": record.create_revision,
        "mod_revision": record.mod_revision,
        "version": record.version,
        "lease": record.lease_id,
    }
    message.update({name: str(number) for name, number in numbers.items() if number})
    return message


def _operation(message: dict):
    translations = (
        (("request_range", "requestRange"), get_command),
        (("request_put", "requestPut"), put_command),
        (("request_delete_range", "requestDeleteRange"), delete_command),
        (("request_txn", "requestTxn"), transaction_command),
    )
    for names, translate in translations:
        content = _field(message, *names)
        if content is not None:
            return translate(content)
    raise InvalidRequestError("an operation of the transaction is empty")


def _compare(message: dict) -> CompareCommand:
    target = message.get("target", "VERSION")
    if target not in _ATTRIBUTE_BY_TARGET:
        raise InvalidRequestError(f"unknown compare target {target!r}")
    attribute = _ATTRIBUTE_BY_TARGET[target]
    if attribute == "value":
        expected = _decode_base64(message, "value")
    else:
        head, _, tail = attribute.partition("_")
        expected = read_integer(message, attribute, head + tail.capitalize())
    return CompareCommand(
        key=_key(message),
        attribute=attribute,
        expected=expected,
        relation=message.get("result", "EQUAL"),
    )


def _field(message: dict, *names: str, default=None):
    for name in names:
        if name in message:
            return message[name]
    return default


def _key(message: dict) -> bytes:
    key = _decode_base64(message, "key")
    if not key:
        raise InvalidRequestError("etcdserver: key is not provided")
    return key


def _decode_base64(message: dict, *names: str) -> bytes:
    text = _field(message, *names, default="")
    try:
        return base64.b64decode(text, validate=True)
    except (TypeError, ValueError, binascii.Error) as error:
        raise InvalidRequestError(f"{names[0]} is not base64") from error


def _encode_base64(content: bytes) -> str:
    return base64.b64encode(content).decode()
