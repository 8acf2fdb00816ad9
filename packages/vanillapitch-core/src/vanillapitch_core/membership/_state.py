"""Membership state of one daemon, and its settings."""

import collections
import dataclasses
import math
import random

from vanillapitch_core.membership._records import (
    MemberRecord,
    MemberState,
    Strike,
    instance_key,
)

__all__ = [
    "MAX_MESSAGE_BYTES",
    "UDP_HEADER_BYTES",
    "ByteBudget",
    "MembershipSettings",
    "MembershipState",
    "Probe",
    "Relay",
    "Suspicion",
    "live_count",
    "live_records",
    "make_state",
    "random_live",
]

# Below the smallest common path MTU of 1,500 bytes, with space for tunnel headers.
MAX_MESSAGE_BYTES = 1400
# IPv4 and UDP headers; they count against the byte budget.
UDP_HEADER_BYTES = 28


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Times and limits of membership.

    The byte rates limit what a daemon sends. It receives as much on average, so
    5 and 1.5 KB/s sent make up 13 of the 15 KB/s that control traffic may use; the
    rest is for tables and introducers.

    Attributes
    ----------
    period_ms : float
        Time between two pings.
    direct_timeout_ms : float
        Time-out of a direct ping, after which indirect pings are requested.
    relay_timeout_ms : float
        Time after which a helper reports that the target did not answer.
    helper_count : int
        Members asked for an indirect ping.
    min_suspicion_ms : float
        Time to refute a suspicion that `confirmation_count` members share.
    max_suspicion_ms : float
        Time to refute a suspicion of a single member.
    confirmation_count : int
        Number of accusers at which `min_suspicion_ms` applies.
    pause_ms : float
        Time between two ticks above which the daemon is considered paused.
    degraded_ms : float
        Time after a pause in which no suspicion is raised.
    health_window : int
        Number of recent pings that are evaluated for local health.
    sends_per_log : float
        Sends of an update per base-2 logarithm of the number of members.
    urgent_fanout : int
        Members to which an urgent update is forwarded.
    urgent_gap_ms : float
        Minimum time between two forwards; updates in between share messages.
    ended_retention_ms : float
        Time that dead members and members that left are kept.
    ended_ping_ms : float
        Time between two pings of ended members.
    seed_ping_ms : float
        Time between two pings of seeds that are not members.
    sync_ms : float
        Mean time between two anti-entropy exchanges.
    full_record_ms : float
        Time for which a new member is sent as a full record.
    strike_retention_ms : float
        Time that strikes are kept.
    max_strikes : int
        Maximum number of strikes kept; the oldest are removed first.
    gossip_bytes_per_s : float
        Mean rate of membership messages sent.
    gossip_burst_bytes : float
        Burst of membership messages.
    reserve_bytes : float
        Part of the burst that only pings and answers may use.
    sync_bytes_per_s : float
        Mean rate of anti-entropy sent.
    sync_burst_bytes : float
        Burst of anti-entropy.
    """

    period_ms: float = 1_000.0
    direct_timeout_ms: float = 350.0
    relay_timeout_ms: float = 300.0
    helper_count: int = 3
    min_suspicion_ms: float = 5_000.0
    max_suspicion_ms: float = 30_000.0
    confirmation_count: int = 3
    pause_ms: float = 1_500.0
    degraded_ms: float = 5_000.0
    health_window: int = 8
    sends_per_log: float = 1.5
    urgent_fanout: int = 3
    urgent_gap_ms: float = 50.0
    ended_retention_ms: float = 3_600_000.0
    ended_ping_ms: float = 10_000.0
    seed_ping_ms: float = 30_000.0
    sync_ms: float = 30_000.0
    full_record_ms: float = 60_000.0
    strike_retention_ms: float = 600_000.0
    max_strikes: int = 64
    gossip_bytes_per_s: float = 5_000.0
    gossip_burst_bytes: float = 10_000.0
    reserve_bytes: float = 3_000.0
    sync_bytes_per_s: float = 1_500.0
    sync_burst_bytes: float = 12_000.0


@dataclasses.dataclass(slots=True, kw_only=True)
class ByteBudget:
    """Token bucket of bytes.

    Attributes
    ----------
    bytes_per_s : float
        Rate of refill.
    burst_bytes : float
        Capacity.
    available_bytes : float
        Tokens left; negative after more bytes were sent than were available.
    updated_ms : float
        Time of the last refill.
    """

    bytes_per_s: float
    burst_bytes: float
    available_bytes: float
    updated_ms: float

    def refill(self, now_ms: float) -> float:
        """Add the tokens for the elapsed time.

        Parameters
        ----------
        now_ms : float
            Current time.

        Returns
        -------
        float
            Tokens available.
        """
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        gained_bytes = elapsed_ms * self.bytes_per_s / 1000.0
        self.available_bytes = min(
            self.burst_bytes, self.available_bytes + gained_bytes
        )
        self.updated_ms = now_ms
        return self.available_bytes

    def spend(self, size_bytes: float) -> None:
        """Remove tokens.

        Parameters
        ----------
        size_bytes : float
            Bytes sent.
        """
        self.available_bytes -= size_bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Probe:
    """An outstanding ping that can lead to a suspicion.

    Attributes
    ----------
    address : str
        Address of the target.
    instance : str
        Instance that was pinged.
    started_ms : float
        When the ping was sent.
    is_indirect : bool
        Whether indirect pings were requested.
    nack_count : int
        Helpers that reported no answer from the target.
    """

    address: str
    instance: str
    started_ms: float
    is_indirect: bool = False
    nack_count: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Relay:
    """An indirect ping on behalf of another member.

    Attributes
    ----------
    requester_address : str
        Gossip address of the member that asked.
    requester_sequence : int
        Its sequence number.
    target : str
        Instance that is pinged.
    deadline_ms : float
        When to report that the target did not answer.
    """

    requester_address: str
    requester_sequence: int
    target: str
    deadline_ms: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Suspicion:
    """Suspicion of a member that does not answer.

    Attributes
    ----------
    since_ms : float
        Start of the time to refute; reset while this daemon is degraded.
    accusers : set of bytes
        Members whose own pings failed.
    """

    since_ms: float
    accusers: set[bytes]


@dataclasses.dataclass(slots=True, kw_only=True)
class MembershipState:
    """Membership state of one daemon.

    `members_by_address` holds the other members; this daemon is `own`.
    `unconfirmed_failures` has an entry for each recent ping: whether it failed
    without a helper's confirmation.
    """

    settings: MembershipSettings
    rng: random.Random
    own: MemberRecord
    started_ms: float
    gossip_budget: ByteBudget
    sync_budget: ByteBudget
    last_tick_ms: float
    next_probe_ms: float
    next_sync_ms: float
    next_ended_ping_ms: float
    next_seed_ping_ms: float
    revision: int = 0
    sequence: int = 0
    last_urgent_ms: float = -math.inf
    degraded_until_ms: float = -math.inf
    is_degraded: bool = False
    members_by_address: dict[str, MemberRecord] = dataclasses.field(
        default_factory=dict
    )
    addresses_by_key: dict[bytes, str] = dataclasses.field(default_factory=dict)
    learned_ms_by_address: dict[str, float] = dataclasses.field(default_factory=dict)
    ended_ms_by_address: dict[str, float] = dataclasses.field(default_factory=dict)
    last_received_ms_by_address: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    suspicions_by_address: dict[str, Suspicion] = dataclasses.field(
        default_factory=dict
    )
    send_counts_by_address: dict[str, int] = dataclasses.field(default_factory=dict)
    send_counts_by_strike: dict[str, int] = dataclasses.field(default_factory=dict)
    strikes_by_id: dict[str, Strike] = dataclasses.field(default_factory=dict)
    strike_ms_by_id: dict[str, float] = dataclasses.field(default_factory=dict)
    urgent_addresses: set[str] = dataclasses.field(default_factory=set)
    urgent_strikes: set[str] = dataclasses.field(default_factory=set)
    is_revision_urgent: bool = False
    probes_by_sequence: dict[int, Probe] = dataclasses.field(default_factory=dict)
    relays_by_sequence: dict[int, Relay] = dataclasses.field(default_factory=dict)
    probe_order: list[str] = dataclasses.field(default_factory=list)
    seeds: set[str] = dataclasses.field(default_factory=set)
    unconfirmed_failures: collections.deque[bool] = dataclasses.field(
        default_factory=collections.deque
    )
    live_addresses: list[str] | None = None


def make_state(
    *,
    own: MemberRecord,
    rng: random.Random,
    now_ms: float,
    settings: MembershipSettings | None = None,
) -> MembershipState:
    """Return the state of a daemon that just started.

    Parameters
    ----------
    own : MemberRecord
        Its record, in state `JOINING` and with a positive version.
    rng : random.Random
        Source of every random choice.
    now_ms : float
        Monotonic time.
    settings : MembershipSettings, optional
        Times and limits.

    Returns
    -------
    MembershipState
        The state.
    """
    settings = settings or MembershipSettings()
    state = MembershipState(
        settings=settings,
        rng=rng,
        own=own,
        started_ms=now_ms,
        gossip_budget=ByteBudget(
            bytes_per_s=settings.gossip_bytes_per_s,
            burst_bytes=settings.gossip_burst_bytes,
            available_bytes=settings.gossip_burst_bytes,
            updated_ms=now_ms,
        ),
        sync_budget=ByteBudget(
            bytes_per_s=settings.sync_bytes_per_s,
            burst_bytes=settings.sync_burst_bytes,
            available_bytes=settings.sync_burst_bytes,
            updated_ms=now_ms,
        ),
        last_tick_ms=now_ms,
        next_probe_ms=now_ms + rng.uniform(0.0, settings.period_ms),
        next_sync_ms=now_ms + rng.uniform(0.5, 1.5) * settings.sync_ms,
        next_ended_ping_ms=now_ms + rng.uniform(0.0, settings.ended_ping_ms),
        next_seed_ping_ms=now_ms,
    )
    state.unconfirmed_failures = collections.deque(maxlen=settings.health_window)
    state.addresses_by_key[instance_key(own.instance)] = own.address
    state.send_counts_by_address[own.address] = 0
    return state


def live_records(state: MembershipState) -> list[MemberRecord]:
    """Return the other members that have not ended.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.

    Returns
    -------
    list of MemberRecord
        Their records.
    """
    members_by_address = state.members_by_address
    return [members_by_address[address] for address in _live_addresses(state)]


def live_count(state: MembershipState) -> int:
    """Return the number of other members that have not ended.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.

    Returns
    -------
    int
        Their number.
    """
    return len(_live_addresses(state))


def random_live(
    state: MembershipState, count: int, *, excluded: frozenset[str] = frozenset()
) -> list[MemberRecord]:
    """Choose random live members that are not suspect.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    count : int
        Maximum number of members to return.
    excluded : frozenset of str
        Addresses that are not chosen.

    Returns
    -------
    list of MemberRecord
        Records of the chosen members.
    """
    addresses = _live_addresses(state)
    chosen = state.rng.sample(addresses, min(len(addresses), 2 * count + 2))
    records = [
        state.members_by_address[address]
        for address in chosen
        if address not in excluded
    ]
    not_suspect = [record for record in records if record.state != MemberState.SUSPECT]
    return not_suspect[:count]


def _live_addresses(state: MembershipState) -> list[str]:
    if state.live_addresses is None:
        state.live_addresses = [
            address
            for address, record in state.members_by_address.items()
            if not record.has_ended
        ]
    return state.live_addresses
