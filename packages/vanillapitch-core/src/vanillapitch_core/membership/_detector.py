"""Failure detector: pings, indirect pings, suspicion and local health."""

import math

from vanillapitch_core.membership._dissemination import compose
from vanillapitch_core.membership._merge import declare_dead, suspect
from vanillapitch_core.membership._messages import (
    Effect,
    LocalHealthChanged,
    Message,
    MessageKind,
    Send,
)
from vanillapitch_core.membership._records import MemberRecord, MemberState
from vanillapitch_core.membership._state import (
    MembershipState,
    Probe,
    Relay,
    live_count,
    live_records,
    random_live,
)

__all__ = [
    "advance_probes",
    "answer_ping",
    "answer_ping_request",
    "detect_pause",
    "expire_relays",
    "expire_suspicions",
    "next_sequence",
    "ping_ended_member",
    "ping_seed",
    "record_ack",
    "record_nack",
    "start_probe",
    "suspicion_timeout_ms",
    "update_local_health",
]

# A helper that sent a message within this time is likely to report back.
_RECENT_MESSAGE_MS = 15_000.0
_RECENT_HELPER_COUNT = 2
# With fewer recent pings, no partition is detected.
_MIN_HEALTH_PINGS = 3


def next_sequence(state: MembershipState) -> int:
    """Return a sequence number that no outstanding ping uses.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.

    Returns
    -------
    int
        The number.
    """
    state.sequence += 1
    return state.sequence


def detect_pause(state: MembershipState, now_ms: float) -> None:
    """Detect a timer that fired late, and discard the pings and relays before it.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.
    """
    elapsed_ms = now_ms - state.last_tick_ms
    state.last_tick_ms = now_ms
    if elapsed_ms <= state.settings.pause_ms:
        return
    state.probes_by_sequence.clear()
    state.relays_by_sequence.clear()
    state.degraded_until_ms = now_ms + state.settings.degraded_ms
    state.next_probe_ms = now_ms


def update_local_health(state: MembershipState, now_ms: float) -> list[Effect]:
    """Check whether this daemon was paused or is partitioned from the others.

    While it is degraded, the suspicion time-outs do not run, so that it does not
    declare other members dead because of its own fault.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.

    Returns
    -------
    list of Effect
        `LocalHealthChanged` when the result has changed.
    """
    was_paused = now_ms < state.degraded_until_ms
    is_partitioned = _is_partitioned(state)
    is_degraded = was_paused or is_partitioned
    if is_degraded:
        for suspicion in state.suspicions_by_address.values():
            suspicion.since_ms = now_ms
    if is_degraded == state.is_degraded:
        return []
    state.is_degraded = is_degraded
    if not is_degraded:
        return [LocalHealthChanged(is_degraded=False, reason="recovered")]
    reason = "paused" if was_paused else "pings_failed"
    return [LocalHealthChanged(is_degraded=True, reason=reason)]


def start_probe(state: MembershipState, now_ms: float) -> list[Effect]:
    """Ping the next member once per period.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.

    Returns
    -------
    list of Effect
        The ping.
    """
    if now_ms < state.next_probe_ms:
        return []
    state.next_probe_ms = now_ms + state.settings.period_ms
    record = _next_target(state)
    if record is None:
        return []
    sequence = next_sequence(state)
    state.probes_by_sequence[sequence] = Probe(
        address=record.address, instance=record.instance, started_ms=now_ms
    )
    return [_ping(state, now_ms, record, sequence)]


def advance_probes(state: MembershipState, now_ms: float) -> list[Effect]:
    """Request indirect pings for unanswered pings, and evaluate expired ones.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.

    Returns
    -------
    list of Effect
        Ping requests and suspicions.
    """
    settings = state.settings
    effects: list[Effect] = []
    for sequence, probe in list(state.probes_by_sequence.items()):
        waited_ms = now_ms - probe.started_ms
        if waited_ms >= settings.period_ms:
            del state.probes_by_sequence[sequence]
            effects += _evaluate_probe(state, now_ms, probe)
        elif waited_ms >= settings.direct_timeout_ms and not probe.is_indirect:
            probe.is_indirect = True
            effects += _request_indirect_pings(state, now_ms, sequence, probe)
    return effects


def expire_relays(state: MembershipState, now_ms: float) -> list[Effect]:
    """Report indirect pings that the target did not answer.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.

    Returns
    -------
    list of Effect
        Negative acknowledgements.
    """
    effects: list[Effect] = []
    for sequence, relay in list(state.relays_by_sequence.items()):
        if now_ms < relay.deadline_ms:
            continue
        del state.relays_by_sequence[sequence]
        effects.append(_relay_answer(state, now_ms, relay, MessageKind.NACK))
    return effects


def expire_suspicions(state: MembershipState, now_ms: float) -> list[Effect]:
    """Declare members dead that did not refute their suspicion in time.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.

    Returns
    -------
    list of Effect
        Changes.
    """
    if state.is_degraded:
        return []
    effects: list[Effect] = []
    for address, suspicion in list(state.suspicions_by_address.items()):
        timeout_ms = suspicion_timeout_ms(state, len(suspicion.accusers))
        if now_ms - suspicion.since_ms >= timeout_ms:
            effects += declare_dead(state, now_ms, address)
    return effects


def suspicion_timeout_ms(state: MembershipState, accuser_count: int) -> float:
    """Return the time that a suspect has to refute.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    accuser_count : int
        Members whose own pings failed.

    Returns
    -------
    float
        From `max_suspicion_ms` for one accuser down to `min_suspicion_ms` for
        `confirmation_count`.
    """
    settings = state.settings
    needed_count = settings.confirmation_count
    if accuser_count <= 1:
        return settings.max_suspicion_ms
    span_ms = settings.max_suspicion_ms - settings.min_suspicion_ms
    fraction = min(1.0, math.log(accuser_count) / math.log(needed_count))
    return settings.max_suspicion_ms - span_ms * fraction


def answer_ping(
    state: MembershipState, now_ms: float, message: Message, source: str
) -> list[Effect]:
    """Answer a ping.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.
    message : Message
        The ping.
    source : str
        Where it came from.

    Returns
    -------
    list of Effect
        The answer.
    """
    sender_address = message.sender.rpartition("/")[0]
    answer = compose(
        state,
        now_ms,
        kind=MessageKind.ACK,
        sequence=message.sequence,
        target=state.own.instance,
        receiver_address=sender_address,
        include_own_record=message.target != state.own.instance,
    )
    return [Send(address=source, message=answer)]


def answer_ping_request(
    state: MembershipState, now_ms: float, message: Message, source: str
) -> list[Effect]:
    """Ping a member on behalf of another one.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.
    message : Message
        The request.
    source : str
        Where it came from.

    Returns
    -------
    list of Effect
        The ping.
    """
    sequence = next_sequence(state)
    state.relays_by_sequence[sequence] = Relay(
        requester_address=source,
        requester_sequence=message.sequence,
        target=message.target,
        deadline_ms=now_ms + state.settings.relay_timeout_ms,
    )
    ping = compose(
        state,
        now_ms,
        kind=MessageKind.PING,
        sequence=sequence,
        target=message.target,
        receiver_address=message.target.rpartition("/")[0],
    )
    return [Send(address=message.target_address, message=ping)]


def record_ack(state: MembershipState, now_ms: float, message: Message) -> list[Effect]:
    """Process the answer to a ping that this daemon sent.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.
    message : Message
        The answer.

    Returns
    -------
    list of Effect
        The answer to the member that requested the ping, if it was indirect.
    """
    relay = state.relays_by_sequence.pop(message.sequence, None)
    if relay is not None:
        return [_relay_answer(state, now_ms, relay, MessageKind.ACK)]
    probe = state.probes_by_sequence.pop(message.sequence, None)
    if probe is None:
        return []
    state.unconfirmed_failures.append(False)
    _clear_local_suspicion(state, probe.address)
    return []


def record_nack(state: MembershipState, message: Message) -> None:
    """Record a helper's report that the target did not answer it either.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    message : Message
        The report.
    """
    probe = state.probes_by_sequence.get(message.sequence)
    if probe is not None:
        probe.nack_count += 1


def ping_ended_member(state: MembershipState, now_ms: float) -> list[Effect]:
    """Ping a random ended member, so that partitioned regions rejoin.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.

    Returns
    -------
    list of Effect
        The ping.
    """
    if now_ms < state.next_ended_ping_ms:
        return []
    jitter = state.rng.uniform(0.75, 1.25)
    state.next_ended_ping_ms = now_ms + jitter * state.settings.ended_ping_ms
    if not state.ended_ms_by_address:
        return []
    address = state.rng.choice(list(state.ended_ms_by_address))
    record = state.members_by_address[address]
    return [_ping(state, now_ms, record, next_sequence(state))]


def ping_seed(state: MembershipState, now_ms: float) -> list[Effect]:
    """Ping a seed that is not a member.

    While there are no other members, this happens about once per period.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.

    Returns
    -------
    list of Effect
        The ping, which carries this daemon's record.
    """
    if now_ms < state.next_seed_ping_ms:
        return []
    settings = state.settings
    live = live_records(state)
    wait_ms = settings.seed_ping_ms if live else settings.period_ms
    state.next_seed_ping_ms = now_ms + wait_ms * state.rng.uniform(0.75, 1.25)
    known = {record.gossip_address for record in live}
    known.add(state.own.gossip_address)
    candidates = sorted(state.seeds - known)
    if not candidates:
        return []
    ping = compose(
        state,
        now_ms,
        kind=MessageKind.PING,
        sequence=next_sequence(state),
        include_own_record=True,
    )
    return [Send(address=state.rng.choice(candidates), message=ping)]


def _is_partitioned(state: MembershipState) -> bool:
    if len(state.unconfirmed_failures) < _MIN_HEALTH_PINGS:
        return False
    return 2 * sum(state.unconfirmed_failures) >= len(state.unconfirmed_failures)


def _next_target(state: MembershipState) -> MemberRecord | None:
    for _ in range(2):
        while state.probe_order:
            address = state.probe_order.pop()
            record = state.members_by_address.get(address)
            if record is not None and not record.has_ended:
                return record
        state.probe_order = [record.address for record in live_records(state)]
        state.rng.shuffle(state.probe_order)
    return None


def _ping(
    state: MembershipState, now_ms: float, record: MemberRecord, sequence: int
) -> Send:
    message = compose(
        state,
        now_ms,
        kind=MessageKind.PING,
        sequence=sequence,
        target=record.instance,
        receiver_address=record.address,
    )
    return Send(address=record.gossip_address, message=message)


def _request_indirect_pings(
    state: MembershipState, now_ms: float, sequence: int, probe: Probe
) -> list[Effect]:
    target = state.members_by_address.get(probe.address)
    if target is None:
        return []
    effects: list[Effect] = []
    for helper in _choose_helpers(state, now_ms, probe.address):
        message = compose(
            state,
            now_ms,
            kind=MessageKind.PING_REQUEST,
            sequence=sequence,
            target=probe.instance,
            target_address=target.gossip_address,
        )
        effects.append(Send(address=helper.gossip_address, message=message))
    return effects


def _choose_helpers(
    state: MembershipState, now_ms: float, target_address: str
) -> list[MemberRecord]:
    """Choose helpers, some of which sent a message recently.

    These are reachable, so they can report also when the target does not answer.
    """
    recent = [
        record
        for record in live_records(state)
        if record.address != target_address
        and record.state != MemberState.SUSPECT
        and now_ms - state.last_received_ms_by_address.get(record.address, -math.inf)
        <= _RECENT_MESSAGE_MS
    ]
    chosen = state.rng.sample(recent, min(len(recent), _RECENT_HELPER_COUNT))
    excluded = frozenset(record.address for record in chosen) | {target_address}
    missing_count = state.settings.helper_count - len(chosen)
    return chosen + random_live(state, missing_count, excluded=excluded)


def _evaluate_probe(
    state: MembershipState, now_ms: float, probe: Probe
) -> list[Effect]:
    """Suspect the target of a failed ping when a helper could not reach it either.

    Without such a report the cause may be this daemon; the failure then counts only
    towards local health. With a single other member there are no helpers, and the
    failure is attributed to that member.
    """
    record = state.members_by_address.get(probe.address)
    if record is None or record.instance != probe.instance or record.has_ended:
        return []
    has_helpers = live_count(state) > 1
    is_confirmed = probe.nack_count > 0 or not has_helpers
    state.unconfirmed_failures.append(not is_confirmed)
    if not is_confirmed or state.is_degraded:
        return []
    return suspect(state, now_ms, probe.address)


def _clear_local_suspicion(state: MembershipState, address: str) -> None:
    record = state.members_by_address.get(address)
    if record is not None and record.state != MemberState.SUSPECT:
        state.suspicions_by_address.pop(address, None)


def _relay_answer(
    state: MembershipState, now_ms: float, relay: Relay, kind: MessageKind
) -> Send:
    message = compose(
        state,
        now_ms,
        kind=kind,
        sequence=relay.requester_sequence,
        target=relay.target,
    )
    return Send(address=relay.requester_address, message=message)
