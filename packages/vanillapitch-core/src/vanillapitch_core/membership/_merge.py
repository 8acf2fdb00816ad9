"""Merging of records: the highest record of an address is the valid one."""

import dataclasses
import math
import sys

from vanillapitch_core.membership._dissemination import queue_update
from vanillapitch_core.membership._messages import (
    Effect,
    MemberChanged,
    Refuted,
    StrikeReceived,
)
from vanillapitch_core.membership._records import (
    MemberRecord,
    MemberState,
    Status,
    Strike,
    accuser_id,
    instance_key,
    make_instance,
)
from vanillapitch_core.membership._state import MembershipState, Suspicion

__all__ = [
    "announce",
    "declare_dead",
    "merge_record",
    "merge_status",
    "merge_strike",
    "remove_member",
    "remove_strike",
    "suspect",
]

# Time after the start in which a higher incarnation is attributed to a predecessor.
_RENEWAL_WINDOW_MS = 60_000.0
# A SHA-256 digest in hexadecimal, an instance with an IPv6 address and a request id
# take at most 165; a much longer strike would leave no space in a message.
_MAX_STRIKE_CHARACTERS = 256
_URGENT_STATES = frozenset({MemberState.LEAVING, MemberState.LEFT})


def announce(
    state: MembershipState, now_ms: float, new_state: MemberState
) -> list[Effect]:
    """Change this daemon's own state.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.
    new_state : MemberState
        The state to announce.

    Returns
    -------
    list of Effect
        The change.
    """
    if state.own.state == new_state:
        return []
    version = state.own.version + 1
    state.own = dataclasses.replace(state.own, state=new_state, version=version)
    queue_update(state, state.own.address, is_urgent=True)
    if new_state == MemberState.LEFT:
        # The daemon exits immediately, so the update cannot wait for `urgent_gap_ms`.
        state.last_urgent_ms = -math.inf
    return [MemberChanged(record=state.own)]


def merge_record(
    state: MembershipState, now_ms: float, record: MemberRecord
) -> list[Effect]:
    """Store a full record when it is higher than the known one.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.
    record : MemberRecord
        Record from another member.

    Returns
    -------
    list of Effect
        Changes and refutations.
    """
    if record.address == state.own.address:
        return _merge_own(state, now_ms, record)
    known = state.members_by_address.get(record.address)
    if known is None:
        if record.has_ended:
            # A member that was removed here must not be added again by a daemon that
            # removes it later.
            return []
        return _insert(state, now_ms, record)
    if record.order <= known.order:
        return []
    if record.instance != known.instance:
        return _replace(state, now_ms, known, record)
    return _advance(state, now_ms, known, record)


def merge_status(
    state: MembershipState, now_ms: float, status: Status
) -> list[Effect] | None:
    """Apply a short record when it is higher than the known one.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.
    status : Status
        Short record from another member.

    Returns
    -------
    list of Effect or None
        Changes and refutations; None when the member is not known.
    """
    address = state.addresses_by_key.get(status.key)
    if address is None:
        return None
    if address == state.own.address:
        own = dataclasses.replace(state.own, state=status.state, version=status.version)
        return _merge_own(state, now_ms, own)
    known = state.members_by_address[address]
    record = dataclasses.replace(known, state=status.state, version=status.version)
    effects = []
    if record.order > known.order:
        effects = _advance(state, now_ms, known, record)
    elif record.order < known.order:
        return []
    if record.state == MemberState.SUSPECT:
        _add_accusers(state, now_ms, address, set(status.accusers))
    return effects


def suspect(state: MembershipState, now_ms: float, address: str) -> list[Effect]:
    """Record that this daemon's own ping of a member failed.

    Only a member that was alive is reported as suspect. One that is joining or
    leaving receives no new work anyway; it keeps its state until it is declared dead.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.
    address : str
        Address of the member.

    Returns
    -------
    list of Effect
        Changes.
    """
    known = state.members_by_address[address]
    accusers = {accuser_id(state.own.instance)}
    effects: list[Effect] = []
    if known.state == MemberState.ALIVE:
        record = dataclasses.replace(known, state=MemberState.SUSPECT)
        effects = _advance(state, now_ms, known, record)
    _add_accusers(state, now_ms, address, accusers)
    return effects


def declare_dead(state: MembershipState, now_ms: float, address: str) -> list[Effect]:
    """Declare a member dead that did not refute the suspicion in time.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.
    address : str
        Address of the member.

    Returns
    -------
    list of Effect
        Changes.
    """
    known = state.members_by_address[address]
    record = dataclasses.replace(known, state=MemberState.DEAD)
    return _advance(state, now_ms, known, record)


def merge_strike(
    state: MembershipState, now_ms: float, strike: Strike, *, is_own: bool = False
) -> list[Effect]:
    """Store and disseminate a new strike; one that is too long is ignored.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.
    strike : Strike
        The strike.
    is_own : bool
        Whether this daemon recorded it itself.

    Returns
    -------
    list of Effect
        The strike, when it came from another member.
    """
    if strike.strike_id in state.strikes_by_id:
        return []
    if len(strike.fingerprint) + len(strike.strike_id) > _MAX_STRIKE_CHARACTERS:
        return []
    if len(state.strikes_by_id) >= state.settings.max_strikes:
        remove_strike(state, next(iter(state.strikes_by_id)))
    state.strikes_by_id[strike.strike_id] = strike
    state.strike_ms_by_id[strike.strike_id] = now_ms
    state.send_counts_by_strike[strike.strike_id] = 0
    state.urgent_strikes.add(strike.strike_id)
    return [] if is_own else [StrikeReceived(strike=strike)]


def remove_strike(state: MembershipState, strike_id: str) -> None:
    """Remove a strike.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    strike_id : str
        Id of the strike.
    """
    del state.strikes_by_id[strike_id]
    del state.strike_ms_by_id[strike_id]
    state.send_counts_by_strike.pop(strike_id, None)
    state.urgent_strikes.discard(strike_id)


def remove_member(state: MembershipState, address: str) -> None:
    """Remove all state that is kept for an address.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    address : str
        Address of a member that ended.
    """
    record = state.members_by_address.pop(address)
    state.addresses_by_key.pop(instance_key(record.instance), None)
    state.live_addresses = None
    for table in (
        state.learned_ms_by_address,
        state.ended_ms_by_address,
        state.last_received_ms_by_address,
        state.suspicions_by_address,
        state.send_counts_by_address,
    ):
        table.pop(address, None)
    state.urgent_addresses.discard(address)


def _merge_own(
    state: MembershipState, now_ms: float, claimed: MemberRecord
) -> list[Effect]:
    if claimed.incarnation > state.own.incarnation:
        return _renew_incarnation(state, now_ms, claimed)
    if claimed.instance != state.own.instance or claimed.order <= state.own.order:
        return []
    version = claimed.version + 1
    state.own = dataclasses.replace(state.own, version=version)
    queue_update(state, state.own.address, is_urgent=True)
    return [Refuted(claimed_state=claimed.state, version=version)]


def _renew_incarnation(
    state: MembershipState, now_ms: float, claimed: MemberRecord
) -> list[Effect]:
    """Supersede a predecessor whose clock was ahead of this VM's.

    Only a daemon that started recently does so; otherwise two processes that use the
    same address would supersede each other forever.
    """
    if now_ms - state.started_ms > _RENEWAL_WINDOW_MS:
        return []
    state.addresses_by_key.pop(instance_key(state.own.instance), None)
    instance = make_instance(
        address=state.own.address, incarnation=claimed.incarnation + 1
    )
    state.own = dataclasses.replace(state.own, instance=instance)
    state.addresses_by_key[instance_key(instance)] = state.own.address
    queue_update(state, state.own.address, is_urgent=True)
    return [MemberChanged(record=state.own)]


def _insert(
    state: MembershipState, now_ms: float, record: MemberRecord
) -> list[Effect]:
    record = dataclasses.replace(
        record,
        zone=sys.intern(record.zone),
        region=sys.intern(record.region),
        service=sys.intern(record.service),
    )
    address = record.address
    state.members_by_address[address] = record
    state.addresses_by_key[instance_key(record.instance)] = address
    state.learned_ms_by_address[address] = now_ms
    state.live_addresses = None
    if record.state == MemberState.SUSPECT:
        _add_accusers(state, now_ms, address, set())
    queue_update(state, address, is_urgent=record.state in _URGENT_STATES)
    return [MemberChanged(record=record)]


def _replace(
    state: MembershipState, now_ms: float, known: MemberRecord, record: MemberRecord
) -> list[Effect]:
    remove_member(state, known.address)
    effects: list[Effect] = []
    if not known.has_ended:
        ended = dataclasses.replace(known, state=MemberState.DEAD)
        effects.append(MemberChanged(record=ended))
    return effects + _insert(state, now_ms, record)


def _advance(
    state: MembershipState, now_ms: float, known: MemberRecord, record: MemberRecord
) -> list[Effect]:
    address = known.address
    state.members_by_address[address] = record
    if record.version > known.version or record.state != MemberState.SUSPECT:
        state.suspicions_by_address.pop(address, None)
    if record.state == MemberState.SUSPECT:
        _add_accusers(state, now_ms, address, set())
    if record.has_ended:
        state.ended_ms_by_address[address] = now_ms
    else:
        state.ended_ms_by_address.pop(address, None)
    if record.has_ended != known.has_ended:
        state.live_addresses = None
    is_urgent = record.state in _URGENT_STATES and record.state != known.state
    queue_update(state, address, is_urgent=is_urgent)
    if record.state == known.state:
        return []
    return [MemberChanged(record=record)]


def _add_accusers(
    state: MembershipState, now_ms: float, address: str, accusers: set[bytes]
) -> None:
    suspicion = state.suspicions_by_address.get(address)
    if suspicion is None:
        suspicion = Suspicion(since_ms=now_ms, accusers=set())
        state.suspicions_by_address[address] = suspicion
    known_count = len(suspicion.accusers)
    if known_count >= state.settings.confirmation_count:
        return
    suspicion.accusers |= accusers
    is_shared = state.members_by_address[address].state == MemberState.SUSPECT
    if is_shared and len(suspicion.accusers) > known_count:
        queue_update(state, address)
