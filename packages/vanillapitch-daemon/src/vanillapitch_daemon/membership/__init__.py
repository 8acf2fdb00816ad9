"""Membership of this daemon: UDP socket, actor and anti-entropy."""

from vanillapitch_daemon.membership._actor import (
    AnnounceState,
    AnswerDigests,
    GetDifferences,
    GetDigests,
    GetMembers,
    GetOwnRecord,
    HearMessage,
    HearPeers,
    HearRecords,
    Membership,
    NoteRevision,
    NoteSyncBytes,
    NoteSyncEnd,
    RecordStrike,
    Subscribe,
    TickDue,
    count_by_state,
)
from vanillapitch_daemon.membership._introducers import Introducers
from vanillapitch_daemon.membership._picking import make_picker_feed
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
    "HearMessage",
    "HearPeers",
    "HearRecords",
    "Introducers",
    "Membership",
    "NoteRevision",
    "NoteSyncBytes",
    "NoteSyncEnd",
    "NullMeter",
    "RecordStrike",
    "StartExchange",
    "Subscribe",
    "Synchronizer",
    "TickDue",
    "count_by_state",
    "make_digests_reply",
    "make_picker_feed",
]
