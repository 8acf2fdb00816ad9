"""Composition of messages within size and budget, and urgent forwarding."""

import math

from vanillapitch_core.membership._messages import Message, MessageKind, Send
from vanillapitch_core.membership._records import (
    ACCUSER_BYTES,
    KEY_BYTES,
    MemberRecord,
    MemberState,
    Status,
    Strike,
    status_of,
)
from vanillapitch_core.membership._state import (
    MAX_MESSAGE_BYTES,
    UDP_HEADER_BYTES,
    MembershipState,
    live_count,
    random_live,
)

__all__ = [
    "compose",
    "estimate_message_bytes",
    "flush_urgent",
    "queue_update",
    "send_limit",
]

# Upper bounds of the encoded form; a test compares them with the codec.
_MESSAGE_BYTES = 104
_RECORD_BYTES = 40
_STATUS_BYTES = 20 + KEY_BYTES
_STRIKE_BYTES = 24
_MAX_ACCUSERS = 4
# Leaves most of a message to member updates when many strikes are pending.
_MAX_MESSAGE_STRIKES = 4


def estimate_message_bytes(message: Message) -> int:
    """Return an upper bound of a message's encoded size.

    Parameters
    ----------
    message : Message
        The message.

    Returns
    -------
    int
        Bytes including the HMAC, without IP and UDP headers.
    """
    size_bytes = _MESSAGE_BYTES + len(message.sender) + len(message.target)
    size_bytes += len(message.target_address)
    size_bytes += sum(_record_bytes(record) for record in message.records)
    size_bytes += sum(_status_bytes(status) for status in message.statuses)
    size_bytes += sum(_strike_bytes(strike) for strike in message.strikes)
    return size_bytes


def send_limit(state: MembershipState) -> int:
    """Return how often an update is sent before it is left to anti-entropy.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.

    Returns
    -------
    int
        Number of sends, growing with the logarithm of the number of members.
    """
    member_count = live_count(state) + 2
    return math.ceil(state.settings.sends_per_log * math.log2(member_count)) + 2


def queue_update(
    state: MembershipState, address: str, *, is_urgent: bool = False
) -> None:
    """Queue a record for dissemination and reset its send count.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    address : str
        Address of the member.
    is_urgent : bool
        Whether to forward it at once.
    """
    state.send_counts_by_address[address] = 0
    if is_urgent:
        state.urgent_addresses.add(address)


def compose(
    state: MembershipState,
    now_ms: float,
    *,
    kind: MessageKind,
    sequence: int = 0,
    target: str = "",
    target_address: str = "",
    receiver_address: str | None = None,
    receiver_count: int = 1,
    include_own_record: bool = False,
) -> Message:
    """Build a message with as many updates as size and budget allow.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.
    kind : MessageKind
        Kind of the message.
    sequence : int
        Sequence number.
    target : str
        Instance that the message is about.
    target_address : str
        Gossip address of that instance, in ping requests.
    receiver_address : str, optional
        Address of the receiver. Its own status is added first when it is not alive.
    receiver_count : int
        Number of receivers of the message.
    include_own_record : bool
        Whether to add this daemon's record, which the receiver may not know.

    Returns
    -------
    Message
        The message; its size is already taken from the budget.
    """
    base = Message(
        kind=kind,
        sequence=sequence,
        sender=state.own.instance,
        sender_version=state.own.version,
        sender_state=state.own.state,
        revision=state.revision,
        target=target,
        target_address=target_address,
    )
    base_bytes = estimate_message_bytes(base)
    packer = _Packer(
        state=state,
        now_ms=now_ms,
        free_bytes=_free_bytes(state, now_ms, base_bytes, receiver_count),
        receiver_count=receiver_count,
        is_forward=kind == MessageKind.UPDATE,
    )
    if include_own_record:
        packer.add_required(state.own)
    packer.add_receiver_status(receiver_address)
    packer.add_strikes()
    packer.add_members()
    size_bytes = base_bytes + packer.used_bytes + UDP_HEADER_BYTES
    state.gossip_budget.spend(receiver_count * size_bytes)
    return Message(
        kind=kind,
        sequence=sequence,
        sender=base.sender,
        sender_version=base.sender_version,
        sender_state=base.sender_state,
        revision=base.revision,
        target=target,
        target_address=target_address,
        records=tuple(packer.records),
        statuses=tuple(packer.statuses),
        strikes=tuple(packer.strikes),
    )


def flush_urgent(state: MembershipState, now_ms: float) -> list[Send]:
    """Forward urgent updates to random members, when the budget allows.

    Updates that do not fit stay urgent. `urgent_gap_ms` limits the rate: when many
    members change at once, their updates share messages.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.

    Returns
    -------
    list of Send
        Messages to send.
    """
    if not _has_urgent(state):
        return []
    if now_ms - state.last_urgent_ms < state.settings.urgent_gap_ms:
        return []
    fanout = state.settings.urgent_fanout
    needed_bytes = state.settings.reserve_bytes + fanout * 2 * _MESSAGE_BYTES
    if state.gossip_budget.refill(now_ms) < needed_bytes:
        return []
    receivers = random_live(state, fanout)
    if not receivers:
        return []
    state.last_urgent_ms = now_ms
    state.is_revision_urgent = False
    message = compose(
        state, now_ms, kind=MessageKind.UPDATE, receiver_count=len(receivers)
    )
    return [
        Send(address=receiver.gossip_address, message=message) for receiver in receivers
    ]


def _has_urgent(state: MembershipState) -> bool:
    return bool(
        state.urgent_addresses or state.urgent_strikes or state.is_revision_urgent
    )


def _free_bytes(
    state: MembershipState, now_ms: float, base_bytes: int, receiver_count: int
) -> float:
    available_bytes = state.gossip_budget.refill(now_ms)
    spare_bytes = available_bytes - state.settings.reserve_bytes
    affordable_bytes = spare_bytes / receiver_count - base_bytes - UDP_HEADER_BYTES
    return min(affordable_bytes, MAX_MESSAGE_BYTES - base_bytes)


class _Packer:
    """Fills a message with the updates that were sent least often."""

    def __init__(
        self,
        *,
        state: MembershipState,
        now_ms: float,
        free_bytes: float,
        receiver_count: int,
        is_forward: bool,
    ):
        self.records: list[MemberRecord] = []
        self.statuses: list[Status] = []
        self.strikes: list[Strike] = []
        self.used_bytes = 0
        self._state = state
        self._now_ms = now_ms
        self._free_bytes = free_bytes
        self._receiver_count = receiver_count
        self._is_forward = is_forward
        self._packed: set[str] = set()

    def add_required(self, record: MemberRecord) -> None:
        """Add a record even when the budget is exhausted."""
        self.records.append(record)
        self.used_bytes += _record_bytes(record)
        self._packed.add(record.address)

    def add_receiver_status(self, address: str | None) -> None:
        """Add the last known state of a receiver that is not alive, for refutation."""
        record = self._state.members_by_address.get(address or "")
        if record is None or record.state == MemberState.ALIVE:
            return
        status = status_of(record, _accusers(self._state, record.address))
        self.statuses.append(status)
        self.used_bytes += _status_bytes(status)
        self._packed.add(record.address)

    def add_strikes(self) -> None:
        """Add strikes, urgent ones first."""
        state = self._state
        counts = state.send_counts_by_strike
        pending = sorted(
            counts, key=lambda key: (key not in state.urgent_strikes, counts[key])
        )
        for strike_id in pending[:_MAX_MESSAGE_STRIKES]:
            strike = state.strikes_by_id[strike_id]
            if not self._fits(_strike_bytes(strike)):
                return
            self.strikes.append(strike)
            if self._is_forward:
                state.urgent_strikes.discard(strike_id)
            _count_send(counts, strike_id, self._receiver_count, send_limit(state))

    def add_members(self) -> None:
        """Add records, urgent ones first."""
        state = self._state
        counts = state.send_counts_by_address
        limit = send_limit(state)
        pending = sorted(
            counts, key=lambda key: (key not in state.urgent_addresses, counts[key])
        )
        for address in pending:
            if address in self._packed:
                continue
            if not self._add_member(address):
                return
            if self._is_forward:
                state.urgent_addresses.discard(address)
            _count_send(counts, address, self._receiver_count, limit)

    def _add_member(self, address: str) -> bool:
        record = _record_at(self._state, address)
        if _needs_full_record(self._state, record, self._now_ms):
            if not self._fits(_record_bytes(record)):
                return False
            self.records.append(record)
            return True
        status = status_of(record, _accusers(self._state, address))
        if not self._fits(_status_bytes(status)):
            return False
        self.statuses.append(status)
        return True

    def _fits(self, size_bytes: int) -> bool:
        if self.used_bytes + size_bytes > self._free_bytes:
            return False
        self.used_bytes += size_bytes
        return True


def _record_at(state: MembershipState, address: str) -> MemberRecord:
    if address == state.own.address:
        return state.own
    return state.members_by_address[address]


def _needs_full_record(
    state: MembershipState, record: MemberRecord, now_ms: float
) -> bool:
    if record.has_ended or record.state == MemberState.SUSPECT:
        return False
    learned_ms = state.learned_ms_by_address.get(record.address, state.started_ms)
    return now_ms - learned_ms < state.settings.full_record_ms


def _accusers(state: MembershipState, address: str) -> tuple[bytes, ...]:
    suspicion = state.suspicions_by_address.get(address)
    if suspicion is None:
        return ()
    return tuple(sorted(suspicion.accusers)[:_MAX_ACCUSERS])


def _count_send(
    counts: dict[str, int], key: str, receiver_count: int, limit: int
) -> None:
    counts[key] += receiver_count
    if counts[key] >= limit:
        del counts[key]


def _record_bytes(record: MemberRecord) -> int:
    return (
        _RECORD_BYTES
        + len(record.instance)
        + len(record.zone)
        + len(record.region)
        + len(record.service)
        + len(record.inner_address)
        + len(record.gossip_address)
    )


def _status_bytes(status: Status) -> int:
    return _STATUS_BYTES + (ACCUSER_BYTES + 1) * len(status.accusers)


def _strike_bytes(strike: Strike) -> int:
    return _STRIKE_BYTES + len(strike.fingerprint) + len(strike.strike_id)
