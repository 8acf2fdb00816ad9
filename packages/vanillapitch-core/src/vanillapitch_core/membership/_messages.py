"""Messages between members, and the events and effects of membership."""

import dataclasses
import enum

from vanillapitch_core.membership._records import (
    MemberRecord,
    MemberState,
    Status,
    Strike,
)

__all__ = [
    "Announce",
    "Effect",
    "Event",
    "LocalHealthChanged",
    "MemberChanged",
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
    "StrikeReceived",
    "StrikeRecorded",
    "SyncBytesSent",
    "SyncFinished",
    "Tick",
]


class MessageKind(enum.IntEnum):
    """Kind of a membership message."""

    PING = 1
    ACK = 2
    NACK = 3
    PING_REQUEST = 4
    UPDATE = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """One membership message.

    Attributes
    ----------
    kind : MessageKind
        Kind of the message.
    sequence : int
        Number that an answer repeats; 0 for updates.
    sender : str
        Instance that sent the message.
    sender_version : int
        Version of the sender's record.
    sender_state : MemberState
        State that the sender announces.
    revision : int
        Revision of the tables in force at the sender.
    target : str
        Instance that a ping or its answer refers to; empty when unknown.
    target_address : str
        Gossip address of the target of a ping request.
    records : tuple of MemberRecord
        Full records.
    statuses : tuple of Status
        Short records.
    strikes : tuple of Strike
        Quarantine strikes.
    """

    kind: MessageKind
    sequence: int
    sender: str
    sender_version: int
    sender_state: MemberState
    revision: int
    target: str = ""
    target_address: str = ""
    records: tuple[MemberRecord, ...] = ()
    statuses: tuple[Status, ...] = ()
    strikes: tuple[Strike, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Base class of events.

    Attributes
    ----------
    now_ms : float
        Monotonic time of the event.
    """

    now_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick(Event):
    """The timer fired."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MessageReceived(Event):
    """An authenticated message arrived.

    Attributes
    ----------
    message : Message
        The message.
    source : str
        Gossip address that it came from.
    """

    message: Message
    source: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announce(Event):
    """Change of the state that this daemon announces.

    Attributes
    ----------
    state : MemberState
        `JOINING`, `ALIVE`, `LEAVING` or `LEFT`.
    """

    state: MemberState


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RevisionAdopted(Event):
    """Tables came into force at this daemon.

    Attributes
    ----------
    revision : int
        Their revision.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StrikeRecorded(Event):
    """A request was executing when this daemon's backend server crashed.

    Attributes
    ----------
    strike : Strike
        The strike to disseminate.
    """

    strike: Strike


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SeedsReceived(Event):
    """Gossip addresses of possible members became known.

    Attributes
    ----------
    gossip_addresses : tuple of str
        Seeds from the settings and introducers from the store; they replace
        the earlier ones.
    """

    gossip_addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordsReceived(Event):
    """Records arrived in an anti-entropy exchange.

    Attributes
    ----------
    records : tuple of MemberRecord
        Records of the peer.
    strikes : tuple of Strike
        Strikes of the peer.
    """

    records: tuple[MemberRecord, ...]
    strikes: tuple[Strike, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SyncBytesSent(Event):
    """An anti-entropy exchange sent bytes that count against the budget.

    Attributes
    ----------
    size_bytes : int
        Bytes sent by this daemon.
    """

    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SyncFinished(Event):
    """An exchange that this daemon started has ended.

    Attributes
    ----------
    is_complete : bool
        False when it failed, or the peer had more records than it may send at once.
    """

    is_complete: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Effect:
    """Base class of effects."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Send(Effect):
    """Send a message.

    Attributes
    ----------
    address : str
        Gossip address of the receiver.
    message : Message
        The message.
    """

    address: str
    message: Message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberChanged(Effect):
    """The state or the instance of a member changed.

    Attributes
    ----------
    record : MemberRecord
        The current record of the instance.
    """

    record: MemberRecord


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RevisionReceived(Effect):
    """A member has a higher revision of the tables.

    Attributes
    ----------
    revision : int
        The revision.
    peer_address : str
        Inner address of the member that has it.
    """

    revision: int
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StrikeReceived(Effect):
    """A strike of another daemon was received for the first time.

    Attributes
    ----------
    strike : Strike
        The strike.
    """

    strike: Strike


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartSync(Effect):
    """Exchange digests and differences with a peer.

    Attributes
    ----------
    peer_address : str
        Inner address of the peer.
    """

    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LocalHealthChanged(Effect):
    """The local health of this daemon changed.

    Attributes
    ----------
    is_degraded : bool
        Whether the daemon now raises no suspicions.
    reason : str
        ``paused``, ``pings_failed`` or ``recovered``.
    """

    is_degraded: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuted(Effect):
    """The daemon refuted a state that others reported for it.

    Attributes
    ----------
    claimed_state : MemberState
        The state that others reported, for example suspect or dead.
    version : int
        Version of this daemon's record that refutes it.
    """

    claimed_state: MemberState
    version: int
