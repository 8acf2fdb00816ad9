"""Codec of membership messages: an HMAC followed by compact Thrift."""

import hmac
import zlib
from collections.abc import Sequence
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer
from vanillapitch_core.membership import (
    MAX_MESSAGE_BYTES,
    InstanceError,
    MemberRecord,
    MemberState,
    Message,
    MessageKind,
    Status,
    Strike,
    split_instance,
)

from vanillapitch_wire._gen.gossip import ttypes
from vanillapitch_wire.exceptions import GossipMalformed, GossipRejected

__all__ = [
    "MAX_AGE_MS",
    "decode_members",
    "decode_message",
    "encode_members",
    "encode_message",
]

# Tolerates VM clocks that differ by some seconds. A message replayed within this time
# only repeats idempotent updates.
MAX_AGE_MS = 30_000
# Bounds the decompressed size of a member list; far above the size of the 120 records
# of an exchange.
MAX_MEMBER_LIST_BYTES = 1_048_576

_DIGEST_BYTES = 32
_ACCUSER_BYTES = 4
_DOMAIN = b"vanillapitch/1 gossip"
_STATES = tuple(MemberState)
_INDEX_BY_STATE = {state: index for index, state in enumerate(_STATES)}


def encode_message(message: Message, *, cluster_key: bytes, wall_ms: int) -> bytes:
    """Encode and authenticate a message.

    Parameters
    ----------
    message : Message
        The message.
    cluster_key : bytes
        Shared key.
    wall_ms : int
        Milliseconds since the Unix epoch.

    Returns
    -------
    bytes
        The datagram.
    """
    gossip = ttypes.Gossip(
        kind=int(message.kind),
        sequence=message.sequence,
        sent_at_ms=wall_ms,
        sender=message.sender,
        sender_version=message.sender_version,
        sender_state=_INDEX_BY_STATE[message.sender_state],
        revision=message.revision,
        target=message.target or None,
        target_address=message.target_address or None,
        members=[_to_thrift_member(record) for record in message.records] or None,
        statuses=[_to_thrift_status(status) for status in message.statuses] or None,
        strikes=[_to_thrift_strike(strike) for strike in message.strikes] or None,
    )
    body = _serialize(gossip)
    return _digest(cluster_key, body) + body


def decode_message(datagram: bytes, *, cluster_key: bytes, wall_ms: int) -> Message:
    """Check and decode a datagram.

    Parameters
    ----------
    datagram : bytes
        The datagram as received.
    cluster_key : bytes
        Shared key.
    wall_ms : int
        Milliseconds since the Unix epoch.

    Returns
    -------
    Message
        The message.

    Raises
    ------
    GossipRejected
        If the datagram is too large, its HMAC is wrong, or its time of sending differs
        from `wall_ms` by more than `MAX_AGE_MS`.
    GossipMalformed
        If an authentic message cannot be decoded.
    """
    if len(datagram) > MAX_MESSAGE_BYTES:
        raise GossipRejected(reason="size")
    body = datagram[_DIGEST_BYTES:]
    if not hmac.compare_digest(datagram[:_DIGEST_BYTES], _digest(cluster_key, body)):
        raise GossipRejected(reason="hmac")
    gossip = _deserialize(ttypes.Gossip(), body)
    if abs(wall_ms - gossip.sent_at_ms) > MAX_AGE_MS:
        raise GossipRejected(reason="age")
    try:
        return _to_message(gossip)
    except (TException, InstanceError, TypeError, ValueError, IndexError) as error:
        raise GossipMalformed(str(error)) from error


def encode_members(
    *, records: Sequence[MemberRecord], strikes: Sequence[Strike] = ()
) -> bytes:
    """Encode and compress the content of an anti-entropy exchange.

    Parameters
    ----------
    records : sequence of MemberRecord
        Records.
    strikes : sequence of Strike
        Strikes.

    Returns
    -------
    bytes
        The compressed list; empty when there is nothing to send.
    """
    if not records and not strikes:
        return b""
    members = ttypes.MemberList(
        members=[_to_thrift_member(record) for record in records],
        strikes=[_to_thrift_strike(strike) for strike in strikes],
    )
    return zlib.compress(_serialize(members))


def decode_members(
    encoded: bytes,
) -> tuple[tuple[MemberRecord, ...], tuple[Strike, ...]]:
    """Decompress and decode the content of an anti-entropy exchange.

    Parameters
    ----------
    encoded : bytes
        Output of `encode_members`.

    Returns
    -------
    tuple
        Records and strikes.

    Raises
    ------
    GossipMalformed
        If the list cannot be decoded or is too large.
    """
    if not encoded:
        return (), ()
    try:
        decompressor = zlib.decompressobj()
        body = decompressor.decompress(encoded, MAX_MEMBER_LIST_BYTES)
        if not decompressor.eof:
            raise GossipMalformed("member list is truncated or larger than 1 MiB")
        members = _deserialize(ttypes.MemberList(), body)
        records = tuple(_to_record(member) for member in members.members)
        return records, tuple(_to_strike(strike) for strike in members.strikes)
    except (zlib.error, TException, InstanceError, TypeError, IndexError) as error:
        raise GossipMalformed(str(error)) from error


def _digest(cluster_key: bytes, body: bytes) -> bytes:
    return hmac.digest(cluster_key, _DOMAIN + body, "sha256")


def _serialize(struct: Any) -> bytes:
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(buffer, fallback=False))
    return buffer.getvalue()


def _deserialize(struct: Any, body: bytes) -> Any:
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(body), string_length_limit=len(body), fallback=False
    )
    try:
        struct.read(protocol)
        struct.validate()
    except (TException, EOFError, TypeError, ValueError, MemoryError) as error:
        raise GossipMalformed(str(error)) from error
    return struct


def _to_thrift_member(record: MemberRecord) -> ttypes.Member:
    return ttypes.Member(
        instance=record.instance,
        zone=record.zone,
        region=record.region,
        service_name=record.service,
        inner_address=record.inner_address,
        gossip_address=record.gossip_address,
        state=_INDEX_BY_STATE[record.state],
        version=record.version,
        slots=record.slots,
    )


def _to_thrift_status(status: Status) -> ttypes.MemberStatus:
    return ttypes.MemberStatus(
        key=status.key,
        version=status.version,
        state=_INDEX_BY_STATE[status.state],
        accusers=b"".join(status.accusers) or None,
    )


def _to_thrift_strike(strike: Strike) -> ttypes.Strike:
    return ttypes.Strike(
        fingerprint=strike.fingerprint, strike_id=strike.strike_id, at_ms=strike.at_ms
    )


def _to_message(gossip: ttypes.Gossip) -> Message:
    split_instance(gossip.sender)
    return Message(
        kind=MessageKind(gossip.kind),
        sequence=gossip.sequence,
        sender=gossip.sender,
        sender_version=gossip.sender_version,
        sender_state=_to_state(gossip.sender_state),
        revision=gossip.revision,
        target=gossip.target or "",
        target_address=gossip.target_address or "",
        records=tuple(_to_record(member) for member in gossip.members or ()),
        statuses=tuple(_to_status(status) for status in gossip.statuses or ()),
        strikes=tuple(_to_strike(strike) for strike in gossip.strikes or ()),
    )


def _to_record(member: ttypes.Member) -> MemberRecord:
    member.validate()
    split_instance(member.instance)
    return MemberRecord(
        instance=member.instance,
        zone=member.zone,
        region=member.region,
        service=member.service_name,
        inner_address=member.inner_address,
        gossip_address=member.gossip_address,
        state=_to_state(member.state),
        version=member.version,
        slots=member.slots,
    )


def _to_status(status: ttypes.MemberStatus) -> Status:
    status.validate()
    joined = status.accusers or b""
    accusers = tuple(
        joined[start : start + _ACCUSER_BYTES]
        for start in range(0, len(joined), _ACCUSER_BYTES)
    )
    return Status(
        key=status.key,
        version=status.version,
        state=_to_state(status.state),
        accusers=accusers,
    )


def _to_strike(strike: ttypes.Strike) -> Strike:
    strike.validate()
    return Strike(
        fingerprint=strike.fingerprint, strike_id=strike.strike_id, at_ms=strike.at_ms
    )


def _to_state(index: int) -> MemberState:
    if not 0 <= index < len(_STATES):
        raise TProtocolException(message=f"unknown member state {index}")
    return _STATES[index]
