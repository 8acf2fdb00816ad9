"""Codec of the frames between daemons that run a single event loop.

Each frame on the connection is a four-byte big-endian length followed by a `Frame` in
Thrift's binary protocol.
"""

from typing import TypeAlias

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from vanillapitch_wire._gen.relay.ttypes import (
    Call,
    Cancel,
    Departure,
    EndpointReport,
    Frame,
    HeaderField,
    Hello,
    MemberInfo,
    Members,
    MembersRequest,
    Ping,
    Pong,
    Reply,
    Snapshot,
    SnapshotRequest,
    Strike,
)
from vanillapitch_wire.exceptions import WireError

__all__ = [
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "Call",
    "Cancel",
    "Departure",
    "EndpointReport",
    "Frame",
    "FrameDecoder",
    "FrameInvalid",
    "HeaderField",
    "Hello",
    "MemberInfo",
    "Members",
    "MembersRequest",
    "Ping",
    "Pong",
    "Reply",
    "Snapshot",
    "SnapshotRequest",
    "Strike",
    "encode_frame",
]

PROTOCOL_VERSION = 5
_LENGTH_BYTES = 4
# A configuration allows bodies of up to 64 MB; the rest is for the headers.
MAX_FRAME_BYTES = 65 * 1024 * 1024

_FACTORY = TBinaryProtocolAcceleratedFactory()
_FIELD_BY_TYPE = {
    Hello: "hello",
    Call: "call",
    Reply: "reply",
    Cancel: "cancel",
    Ping: "ping",
    Pong: "pong",
    EndpointReport: "report",
    SnapshotRequest: "snapshot_request",
    Snapshot: "snapshot",
    Strike: "strike",
    MembersRequest: "members_request",
    Members: "members",
    Departure: "departure",
}
Message: TypeAlias = (
    Hello
    | Call
    | Reply
    | Cancel
    | Ping
    | Pong
    | EndpointReport
    | SnapshotRequest
    | Snapshot
    | Strike
    | MembersRequest
    | Members
    | Departure
)


class FrameInvalid(WireError):  # noqa: N818
    """Bytes received from a peer are not a valid frame."""

    code = "frame_invalid"


def encode_frame(message: Message) -> bytes:
    """Encode one message as a frame.

    Parameters
    ----------
    message : Message
        The message.

    Returns
    -------
    bytes
        The frame with its length.
    """
    frame = Frame(**{_FIELD_BY_TYPE[type(message)]: message})
    payload = serialize(frame, _FACTORY)
    return len(payload).to_bytes(_LENGTH_BYTES, "big") + payload


class FrameDecoder:
    """Splits the bytes of one connection into messages."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes and return the messages that are complete.

        Parameters
        ----------
        data : bytes
            Bytes as received.

        Returns
        -------
        list of Message
            In order of arrival.

        Raises
        ------
        FrameInvalid
            If a frame is too long, cannot be decoded or does not hold exactly one
            message.
        """
        self._buffer += data
        messages = []
        while len(self._buffer) >= _LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:_LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise FrameInvalid(f"frame too long: {length} bytes")
            end = _LENGTH_BYTES + length
            if len(self._buffer) < end:
                break
            messages.append(_decode(bytes(self._buffer[_LENGTH_BYTES:end])))
            del self._buffer[:end]
        return messages


def _decode(payload: bytes) -> Message:
    try:
        frame = deserialize(Frame(), payload, _FACTORY)
    except (TException, EOFError, ValueError, TypeError, MemoryError) as error:
        raise FrameInvalid(f"frame cannot be decoded: {error}") from error
    messages = [
        message
        for field in _FIELD_BY_TYPE.values()
        if (message := getattr(frame, field)) is not None
    ]
    if len(messages) != 1:
        raise FrameInvalid(f"frame holds {len(messages)} messages, expected 1")
    return messages[0]
