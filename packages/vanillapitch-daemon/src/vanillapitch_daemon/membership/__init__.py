"""Membership of this daemon: UDP socket, actor and anti-entropy."""

from vanillapitch_daemon.membership._actor import (
    AnnounceState,
    AnswerDigests,
    GetDifferences,
    GetDigests,
    GetMembers,
    GetOwnRecord,
    Membership,
    ReceiveMessage,
    ReceiveRecords,
    ReceiveSeeds,
    RecordRevision,
    RecordStrike,
    RecordSyncBytes,
    RecordSyncEnd,
    Subscribe,
    TickDue,
    count_by_state,
)
from vanillapitch_daemon.membership._introducers import Introducers
from vanillapitch_daemon.membership._picking import make_picker_subscriber
from vanillapitch_daemon.membership._ports import GossipMeter, NullMeter
from vanillapitch_daemon.membership._socket import GossipSocket
from vanillapitch_daemon.membership._sync import (
    StartExchange,
    Synchronizer,
    make_digests_reply,
)

__all__ = [
    "AnnounceState",
    "AnswerDigests",
    "GetDifferences",
    "GetDigests",
    "GetMembers",
    "GetOwnRecord",
    "GossipMeter",
    "GossipSocket",
    "Introducers",
    "Membership",
    "NullMeter",
    "ReceiveMessage",
    "ReceiveRecords",
    "ReceiveSeeds",
    "RecordRevision",
    "RecordStrike",
    "RecordSyncBytes",
    "RecordSyncEnd",
    "StartExchange",
    "Subscribe",
    "Synchronizer",
    "TickDue",
    "count_by_state",
    "make_digests_reply",
    "make_picker_subscriber",
]
