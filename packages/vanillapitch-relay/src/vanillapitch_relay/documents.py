"""Decoding of JSON documents and addresses that other writers may have malformed."""

from typing import TypeVar

import msgspec

from vanillapitch_relay.exceptions import DocumentInvalid

__all__ = ["decode_json", "parse_address"]

MAX_PORT = 65_535
_Document = TypeVar("_Document")


def decode_json(data: bytes, kind: type[_Document]) -> _Document:
    """Decode and validate a JSON document.

    Parameters
    ----------
    data : bytes
        The document.
    kind : type
        Type that it must have.

    Returns
    -------
    object
        An instance of `kind`.

    Raises
    ------
    DocumentInvalid
        If it is not JSON, of another type or too deeply nested.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise DocumentInvalid(str(error)) from error
    except RecursionError as error:
        raise DocumentInvalid("too deeply nested") from error


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; raises `ValueError` if it is malformed or out of range."""
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or len(port) > 5:
        raise ValueError(f"not host:port: {address[:100]!r}")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"port out of range: {address[:100]!r}")
    return host, int(port)
