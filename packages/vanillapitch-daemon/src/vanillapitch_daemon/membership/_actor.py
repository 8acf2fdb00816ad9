"""Actor that owns the membership state and executes its effects."""

import dataclasses
import random
from collections import Counter
from collections.abc import Callable

import pykka
from vanillapitch_core import Clock
from vanillapitch_core import membership as core
from vanillapitch_core.membership import MemberRecord, MemberState, Message

from vanillapitch_daemon.logs import get_log

__all__ = [
    "AnnounceState",
    "AnswerDigests",
    "GetDifferences",
    "GetDigests",
    "GetMembers",
    "GetOwnRecord",
    "Membership",
    "ReceiveMessage",
    "ReceiveRecords",
    "ReceiveSeeds",
    "RecordRevision",
    "RecordStrike",
    "RecordSyncBytes",
    "RecordSyncEnd",
    "Subscribe",
    "TickDue",
    "count_by_state",
]

_log = get_log("membership")
_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class TickDue:
    """The timer fired."""


@_frozen
class ReceiveMessage:
    """A membership message arrived."""

    message: Message
    source: str


@_frozen
class ReceiveSeeds:
    """Gossip addresses of possible members became known."""

    gossip_addresses: tuple[str, ...]


@_frozen
class ReceiveRecords:
    """An anti-entropy exchange delivered records."""

    records: tuple[MemberRecord, ...]
    strikes: tuple[core.Strike, ...] = ()


@_frozen
class AnnounceState:
    """Announce a state of this daemon."""

    state: MemberState


@_frozen
class RecordRevision:
    """Tables of a higher revision are in force at this daemon."""

    revision: int


@_frozen
class RecordStrike:
    """The backend server crashed while it executed a request."""

    strike: core.Strike


@_frozen
class GetMembers:
    """Ask for the records of all members, this daemon's first."""


@_frozen
class GetOwnRecord:
    """Ask for this daemon's record."""


@_frozen
class GetDigests:
    """Ask for the digests to send to a peer."""


@_frozen
class AnswerDigests:
    """Ask for the `SyncAnswer` to a peer's digests."""

    digests: bytes


@_frozen
class GetDifferences:
    """Ask for the records that a peer lacks according to its answer."""

    answer: core.SyncAnswer


@_frozen
class RecordSyncBytes:
    """An anti-entropy exchange sent bytes."""

    size_bytes: int


@_frozen
class RecordSyncEnd:
    """An exchange that this daemon started has ended."""

    is_complete: bool


@_frozen
class Subscribe:
    """Call a function for each effect of a type, in the actor's thread.

    A subscriber of `MemberChanged` is called at once for each known record.

    Attributes
    ----------
    effect_type : type
        `MemberChanged`, `RevisionReceived`, `StrikeReceived` or `StartSync`.
    callback : callable
        Called with the effect; must not block.
    """

    effect_type: type[core.Effect]
    callback: Callable[[core.Effect], None]


class Membership(pykka.ThreadingActor):
    """Owns the membership state of this daemon.

    Parameters
    ----------
    own : MemberRecord
        Record of this daemon.
    send : callable
        Sends a message to a gossip address.
    clock : Clock
        Source of time.
    random_source : random.Random
        Source of randomness.
    settings : MembershipSettings, optional
        Timeouts and limits.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        own: MemberRecord,
        send: Callable[[Message, str], None],
        clock: Clock,
        random_source: random.Random,
        settings: core.MembershipSettings | None = None,
    ):
        super().__init__()
        self._send = send
        self._clock = clock
        self._state = core.make_state(
            own=own, rng=random_source, now_ms=clock.now_ms(), settings=settings
        )
        self._callbacks_by_type: dict[type, list[Callable]] = {}

    def on_receive(self, message: object) -> object:
        """Handle one message; a failed event is logged and does not stop the actor."""
        handler = _QUERIES_BY_TYPE.get(type(message))
        if handler is not None:
            return handler(self, message)
        try:
            self._apply(message)
        except Exception:
            _log.exception("Could not handle an event", event=type(message).__name__)
        return None

    def _apply(self, message: object) -> None:
        event = _EVENTS_BY_TYPE[type(message)](message, self._clock.now_ms())
        for effect in core.handle(self._state, event):
            self._execute(effect)

    def _execute(self, effect: core.Effect) -> None:
        if isinstance(effect, core.Send):
            self._send(effect.message, effect.address)
            return
        _log_effect(effect)
        for callback in self._callbacks_by_type.get(type(effect), []):
            callback(effect)

    def _subscribe(self, message: Subscribe) -> None:
        callbacks = self._callbacks_by_type.setdefault(message.effect_type, [])
        callbacks.append(message.callback)
        if message.effect_type is core.MemberChanged:
            for record in self._records():
                message.callback(core.MemberChanged(record=record))

    def _records(self) -> tuple[MemberRecord, ...]:
        return (self._state.own, *self._state.members_by_address.values())

    def _answer_digests(self, message: AnswerDigests) -> core.SyncAnswer:
        return core.answer_digests(self._state, self._clock.now_ms(), message.digests)

    def _differences(self, message: GetDifferences) -> tuple[MemberRecord, ...]:
        return core.differences(self._state, self._clock.now_ms(), message.answer)


def count_by_state(records: tuple[MemberRecord, ...]) -> dict[str, int]:
    """Count members by state.

    Parameters
    ----------
    records : tuple of MemberRecord
        The records.

    Returns
    -------
    dict of str to int
        Number of members in each state that occurs.
    """
    return dict(Counter(record.state.value for record in records))


def _log_effect(effect: core.Effect) -> None:
    if isinstance(effect, core.MemberChanged):
        record = effect.record
        write = _log.debug if record.state is MemberState.JOINING else _log.info
        write(
            "Member changed",
            instance=record.instance,
            zone=record.zone,
            state=record.state.value,
        )
    elif isinstance(effect, core.LocalHealthChanged):
        write = _log.warning if effect.is_degraded else _log.info
        write(
            "Local health changed", is_degraded=effect.is_degraded, reason=effect.reason
        )
    elif isinstance(effect, core.Refuted):
        _log.warning(
            "Refuted a wrong state of this daemon",
            claimed_state=effect.claimed_state.value,
            version=effect.version,
        )


_QUERIES_BY_TYPE = {
    AnswerDigests: Membership._answer_digests,
    GetDifferences: Membership._differences,
    GetDigests: lambda actor, _: core.make_digests(actor._state),
    GetMembers: lambda actor, _: actor._records(),
    GetOwnRecord: lambda actor, _: actor._state.own,
    Subscribe: Membership._subscribe,
}

_EVENTS_BY_TYPE = {
    AnnounceState: lambda message, now_ms: core.Announce(
        now_ms=now_ms, state=message.state
    ),
    ReceiveMessage: lambda message, now_ms: core.MessageReceived(
        now_ms=now_ms, message=message.message, source=message.source
    ),
    ReceiveSeeds: lambda message, now_ms: core.SeedsReceived(
        now_ms=now_ms, gossip_addresses=message.gossip_addresses
    ),
    ReceiveRecords: lambda message, now_ms: core.RecordsReceived(
        now_ms=now_ms, records=message.records, strikes=message.strikes
    ),
    RecordRevision: lambda message, now_ms: core.RevisionAdopted(
        now_ms=now_ms, revision=message.revision
    ),
    RecordSyncBytes: lambda message, now_ms: core.SyncBytesSent(
        now_ms=now_ms, size_bytes=message.size_bytes
    ),
    RecordSyncEnd: lambda message, now_ms: core.SyncFinished(
        now_ms=now_ms, is_complete=message.is_complete
    ),
    RecordStrike: lambda message, now_ms: core.StrikeRecorded(
        now_ms=now_ms, strike=message.strike
    ),
    TickDue: lambda message, now_ms: core.Tick(now_ms=now_ms),
}
