"""Entry point of membership: applies an event to the state of a daemon."""

from collections.abc import Callable

from vanillapitch_core.membership import _detector as detector
from vanillapitch_core.membership._dissemination import flush_urgent
from vanillapitch_core.membership._merge import (
    announce,
    merge_record,
    merge_status,
    merge_strike,
    remove_member,
    remove_strike,
)
from vanillapitch_core.membership._messages import (
    Announce,
    Effect,
    Event,
    Message,
    MessageKind,
    MessageReceived,
    RecordsReceived,
    RevisionAdopted,
    RevisionReceived,
    SeedsReceived,
    StrikeRecorded,
    SyncBytesSent,
    SyncFinished,
    Tick,
)
from vanillapitch_core.membership._records import (
    ENDED_STATES,
    Status,
    instance_key,
    split_instance,
)
from vanillapitch_core.membership._state import MembershipState
from vanillapitch_core.membership._sync import request_sync, start_sync

__all__ = ["handle"]


def handle(state: MembershipState, event: Event) -> list[Effect]:
    """Apply an event.

    The function does no I/O and reads no clock; the same state, events and random
    source give the same effects.

    Parameters
    ----------
    state : MembershipState
        State of the daemon, changed in place.
    event : Event
        What happened.

    Returns
    -------
    list of Effect
        Effects for the caller to carry out, in this order.
    """
    effects = _HANDLERS_BY_TYPE[type(event)](state, event)
    effects += flush_urgent(state, event.now_ms)
    return effects


def _tick(state: MembershipState, event: Tick) -> list[Effect]:
    now_ms = event.now_ms
    detector.detect_pause(state, now_ms)
    effects = detector.update_local_health(state, now_ms)
    effects += detector.expire_relays(state, now_ms)
    effects += detector.advance_probes(state, now_ms)
    effects += detector.expire_suspicions(state, now_ms)
    effects += detector.start_probe(state, now_ms)
    effects += detector.ping_ended_member(state, now_ms)
    effects += detector.ping_seed(state, now_ms)
    effects += start_sync(state, now_ms)
    _remove_expired(state, now_ms)
    return effects


def _message_received(state: MembershipState, event: MessageReceived) -> list[Effect]:
    message = event.message
    now_ms = event.now_ms
    if message.sender == state.own.instance:
        return []
    effects = _merge_message(state, now_ms, message)
    if message.revision > state.revision:
        address = message.sender.rpartition("/")[0]
        effects.append(
            RevisionReceived(revision=message.revision, peer_address=address)
        )
    return effects + _answer(state, event)


def _merge_message(
    state: MembershipState, now_ms: float, message: Message
) -> list[Effect]:
    effects: list[Effect] = []
    had_no_members = not state.members_by_address
    for record in message.records:
        effects += merge_record(state, now_ms, record)
    sender_status = Status(
        key=instance_key(message.sender),
        version=message.sender_version,
        state=message.sender_state,
    )
    is_known = not had_no_members
    for status in (sender_status, *message.statuses):
        changes = merge_status(state, now_ms, status)
        if changes is not None:
            effects += changes
        elif status.state not in ENDED_STATES:
            # An unknown member that has ended needs no record here.
            is_known = False
    if not is_known:
        request_sync(state, now_ms)
    for strike in message.strikes:
        effects += merge_strike(state, now_ms, strike)
    address, _ = split_instance(message.sender)
    if address in state.members_by_address:
        state.last_received_ms_by_address[address] = now_ms
    return effects


def _answer(state: MembershipState, event: MessageReceived) -> list[Effect]:
    message = event.message
    if message.kind == MessageKind.PING:
        return detector.answer_ping(state, event.now_ms, message, event.source)
    if message.kind == MessageKind.PING_REQUEST:
        return detector.answer_ping_request(state, event.now_ms, message, event.source)
    if message.kind == MessageKind.ACK:
        return detector.record_ack(state, event.now_ms, message)
    if message.kind == MessageKind.NACK:
        detector.record_nack(state, message)
    return []


def _announce(state: MembershipState, event: Announce) -> list[Effect]:
    return announce(state, event.now_ms, event.state)


def _revision_adopted(state: MembershipState, event: RevisionAdopted) -> list[Effect]:
    if event.revision > state.revision:
        state.revision = event.revision
        state.is_revision_urgent = True
    return []


def _strike_recorded(state: MembershipState, event: StrikeRecorded) -> list[Effect]:
    return merge_strike(state, event.now_ms, event.strike, is_own=True)


def _seeds_received(state: MembershipState, event: SeedsReceived) -> list[Effect]:
    new = set(event.gossip_addresses) - state.seeds
    state.seeds = set(event.gossip_addresses)
    if new and not state.members_by_address:
        state.next_seed_ping_ms = event.now_ms
    return []


def _records_received(state: MembershipState, event: RecordsReceived) -> list[Effect]:
    effects: list[Effect] = []
    for record in event.records:
        effects += merge_record(state, event.now_ms, record)
    for strike in event.strikes:
        effects += merge_strike(state, event.now_ms, strike)
    return effects


def _sync_bytes_sent(state: MembershipState, event: SyncBytesSent) -> list[Effect]:
    state.sync_budget.refill(event.now_ms)
    state.sync_budget.spend(event.size_bytes)
    return []


def _sync_finished(state: MembershipState, event: SyncFinished) -> list[Effect]:
    if not event.is_complete:
        request_sync(state, event.now_ms)
    return []


def _remove_expired(state: MembershipState, now_ms: float) -> None:
    retention_ms = state.settings.ended_retention_ms
    for address, ended_ms in list(state.ended_ms_by_address.items()):
        if now_ms - ended_ms >= retention_ms:
            remove_member(state, address)
    strike_retention_ms = state.settings.strike_retention_ms
    for strike_id, received_ms in list(state.strike_ms_by_id.items()):
        if now_ms - received_ms >= strike_retention_ms:
            remove_strike(state, strike_id)


_HANDLERS_BY_TYPE: dict[type, Callable[[MembershipState, Event], list[Effect]]] = {
    Announce: _announce,
    MessageReceived: _message_received,
    SeedsReceived: _seeds_received,
    RecordsReceived: _records_received,
    RevisionAdopted: _revision_adopted,
    StrikeRecorded: _strike_recorded,
    SyncBytesSent: _sync_bytes_sent,
    SyncFinished: _sync_finished,
    Tick: _tick,
}
