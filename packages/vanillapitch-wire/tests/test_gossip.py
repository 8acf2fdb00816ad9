"""Tests of the codec of membership messages."""

import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from vanillapitch_core.membership import (
    MemberRecord,
    MemberState,
    Message,
    MessageKind,
    Status,
    Strike,
    estimate_message_bytes,
)
from vanillapitch_wire import GossipMalformed, GossipRejected
from vanillapitch_wire.gossip import (
    MAX_AGE_MS,
    decode_members,
    decode_message,
    encode_members,
    encode_message,
)

KEY = b"k" * 32
WALL_MS = 1_800_000_000_000

counts = st.integers(0, 2**62)
names = st.text("abcdefghijklmnopqrstuvwxyz0123456789-", min_size=1, max_size=20)
addresses = st.builds("10.0.{}.{}:{}".format, *[st.integers(0, 255)] * 2, names)
instances = st.builds("{}/{}".format, addresses, st.integers(0, 10**13))
states = st.sampled_from(MemberState)
records = st.builds(
    MemberRecord,
    instance=instances,
    zone=names,
    region=names,
    service=names,
    inner_address=addresses,
    gossip_address=addresses,
    state=states,
    version=counts,
    slots=st.integers(0, 10_000),
)
statuses = st.builds(
    Status,
    key=st.binary(min_size=8, max_size=8),
    version=counts,
    state=states,
    accusers=st.lists(st.binary(min_size=4, max_size=4), max_size=4).map(tuple),
)
strikes = st.builds(Strike, fingerprint=names, strike_id=names, at_ms=counts)
messages = st.builds(
    Message,
    kind=st.sampled_from(MessageKind),
    sequence=counts,
    sender=instances,
    sender_version=counts,
    sender_state=states,
    revision=counts,
    target=st.one_of(st.just(""), instances),
    target_address=st.one_of(st.just(""), addresses),
    records=st.lists(records, max_size=4).map(tuple),
    statuses=st.lists(statuses, max_size=4).map(tuple),
    strikes=st.lists(strikes, max_size=2).map(tuple),
)


@settings(derandomize=True, deadline=None)
@given(message=messages)
def test_messages_survive_encoding_within_the_estimated_size(message):
    # Guards against a field that the codec loses, and against an estimate below the
    # encoded size, with which messages would exceed 1,400 bytes.
    datagram = encode_message(message, cluster_key=KEY, wall_ms=WALL_MS)
    assert decode_message(datagram, cluster_key=KEY, wall_ms=WALL_MS) == message
    assert len(datagram) <= estimate_message_bytes(message)


@settings(derandomize=True, deadline=None)
@given(found=st.lists(records, max_size=20), struck=st.lists(strikes, max_size=3))
def test_member_lists_survive_encoding(found, struck):
    # Guards against records that the codec changes. They would still differ after
    # anti-entropy, and daemons would exchange them again in each round.
    encoded = encode_members(records=found, strikes=struck)
    assert decode_members(encoded) == (tuple(found), tuple(struck))


@settings(derandomize=True, deadline=None)
@given(message=messages, position=st.integers(0, 2_000), bit=st.integers(0, 7))
def test_a_changed_bit_is_noticed(message, position, bit):
    # Guards against corrupted messages that are accepted because the HMAC does not
    # cover every byte.
    datagram = bytearray(encode_message(message, cluster_key=KEY, wall_ms=WALL_MS))
    datagram[position % len(datagram)] ^= 1 << bit
    with pytest.raises(GossipRejected):
        decode_message(bytes(datagram), cluster_key=KEY, wall_ms=WALL_MS)


@pytest.mark.parametrize("age_ms", [MAX_AGE_MS + 1, -MAX_AGE_MS - 1])
def test_a_message_outside_the_bounded_age_is_rejected(age_ms):
    # Guards against a replayed message that is accepted although its time of sending is
    # more than 30 s from the receiver's clock.
    message = Message(
        kind=MessageKind.PING,
        sequence=1,
        sender="10.0.0.1:1/1",
        sender_version=1,
        sender_state=MemberState.ALIVE,
        revision=0,
    )
    datagram = encode_message(message, cluster_key=KEY, wall_ms=WALL_MS)
    with pytest.raises(GossipRejected):
        decode_message(datagram, cluster_key=KEY, wall_ms=WALL_MS + age_ms)


@pytest.mark.parametrize(
    "encoded", [b"x", zlib.compress(b"x"), zlib.compress(bytes(2_000_000))]
)
def test_broken_member_lists_are_refused(encoded):
    # Guards against a member list that ends a thread with an unexpected error, or that
    # exhausts the memory by expanding beyond 1 MiB when decompressed.
    with pytest.raises(GossipMalformed):
        decode_members(encoded)
