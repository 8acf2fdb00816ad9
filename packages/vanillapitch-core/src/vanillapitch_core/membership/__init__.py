"""Membership: records, failure detector, dissemination and anti-entropy.

A variant of SWIM without I/O. `handle` applies an event to the state of one daemon
and returns the effects that the daemon carries out.
"""

from vanillapitch_core.membership._dissemination import estimate_message_bytes
from vanillapitch_core.membership._handle import handle
from vanillapitch_core.membership._messages import (
    Announce,
    Effect,
    Event,
    LocalHealthChanged,
    MemberChanged,
    Message,
    MessageKind,
    MessageReceived,
    RecordsReceived,
    Refuted,
    RevisionAdopted,
    RevisionReceived,
    SeedsReceived,
    Send,
    StartSync,
    StrikeReceived,
    StrikeRecorded,
    SyncBytesSent,
    SyncFinished,
    Tick,
)
from vanillapitch_core.membership._records import (
    InstanceError,
    MemberRecord,
    MemberState,
    Status,
    Strike,
    instance_key,
    make_instance,
    split_instance,
)
from vanillapitch_core.membership._state import (
    MAX_MESSAGE_BYTES,
    UDP_HEADER_BYTES,
    MembershipSettings,
    MembershipState,
    live_records,
    make_state,
)
from vanillapitch_core.membership._sync import (
    SyncAnswer,
    answer_digests,
    differences,
    make_digests,
)

__all__ = [
    "MAX_MESSAGE_BYTES",
    "UDP_HEADER_BYTES",
    "Announce",
    "Effect",
    "Event",
    "InstanceError",
    "LocalHealthChanged",
    "MemberChanged",
    "MemberRecord",
    "MemberState",
    "MembershipSettings",
    "MembershipState",
    "Message",
    "MessageKind",
    "MessageReceived",
    "RecordsReceived",
    "Refuted",
    "RevisionAdopted",
    "RevisionReceived",
    "SeedsReceived",
    "Send",
    "StartSync",
    "Status",
    "Strike",
    "StrikeReceived",
    "StrikeRecorded",
    "SyncAnswer",
    "SyncBytesSent",
    "SyncFinished",
    "Tick",
    "answer_digests",
    "differences",
    "estimate_message_bytes",
    "handle",
    "instance_key",
    "live_records",
    "make_digests",
    "make_instance",
    "make_state",
    "split_instance",
]
