"""Anti-entropy: digests of buckets first, then the records that differ."""

import dataclasses
import hashlib

from vanillapitch_core.membership._messages import StartSync
from vanillapitch_core.membership._records import (
    MemberRecord,
    MemberState,
    Strike,
    instance_key,
)
from vanillapitch_core.membership._state import MembershipState, random_live

__all__ = [
    "BUCKET_COUNT",
    "MAX_SYNC_RECORDS",
    "SyncAnswer",
    "answer_digests",
    "differences",
    "make_digests",
    "request_sync",
    "start_sync",
]

BUCKET_COUNT = 64
# About 5 KB compressed; a daemon that joins 710 members needs six exchanges.
MAX_SYNC_RECORDS = 120
_DIGEST_BYTES = 8
_MIN_SYNC_GAP_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SyncAnswer:
    """Answer to the digests of a peer.

    Attributes
    ----------
    buckets : tuple of int
        Buckets that differ and whose records the answer holds completely.
    records : tuple of MemberRecord
        Records of these buckets.
    strikes : tuple of Strike
        Strikes that the answering daemon retains.
    is_truncated : bool
        Whether more buckets differ.
    """

    buckets: tuple[int, ...]
    records: tuple[MemberRecord, ...]
    strikes: tuple[Strike, ...]
    is_truncated: bool


def make_digests(state: MembershipState) -> bytes:
    """Digest the members that have not ended, by bucket.

    Ended members are left out because daemons remove them at different times.
    Suspicion is left out because it is short-lived.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.

    Returns
    -------
    bytes
        `BUCKET_COUNT` digests.
    """
    sums = [0] * BUCKET_COUNT
    for record in (state.own, *state.members_by_address.values()):
        if not record.has_ended:
            sums[_bucket(record)] ^= _digest(record)
    return b"".join(value.to_bytes(_DIGEST_BYTES) for value in sums)


def answer_digests(state: MembershipState, now_ms: float, digests: bytes) -> SyncAnswer:
    """Select the records of buckets that differ, as many as the budget allows.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.
    digests : bytes
        Digests of the peer.

    Returns
    -------
    SyncAnswer
        The records; none while the budget is exhausted.
    """
    differing = _differing_buckets(make_digests(state), digests)
    state.rng.shuffle(differing)
    limit = MAX_SYNC_RECORDS if state.sync_budget.refill(now_ms) > 0 else 0
    records_by_bucket = _records_by_bucket(state)
    buckets: list[int] = []
    records: list[MemberRecord] = []
    for bucket in differing:
        found = records_by_bucket.get(bucket, [])
        if limit == 0 or (buckets and len(records) + len(found) > limit):
            break
        buckets.append(bucket)
        records += found
    return SyncAnswer(
        buckets=tuple(buckets),
        records=tuple(records),
        strikes=tuple(state.strikes_by_id.values()),
        is_truncated=len(buckets) < len(differing),
    )


def differences(
    state: MembershipState, now_ms: float, answer: SyncAnswer
) -> tuple[MemberRecord, ...]:
    """Select the records that the peer lacks, after merging its answer.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.
    answer : SyncAnswer
        The peer's answer.

    Returns
    -------
    tuple of MemberRecord
        Records that are higher than those of the peer.
    """
    if state.sync_budget.refill(now_ms) <= 0:
        return ()
    orders_by_address = {record.address: record.order for record in answer.records}
    records_by_bucket = _records_by_bucket(state)
    missing = [
        record
        for bucket in answer.buckets
        for record in records_by_bucket.get(bucket, [])
        if record.order > orders_by_address.get(record.address, (-1, 0, 0))
    ]
    return tuple(missing[:MAX_SYNC_RECORDS])


def start_sync(state: MembershipState, now_ms: float) -> list[StartSync]:
    """Start an exchange with a random member when it is due.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.

    Returns
    -------
    list of StartSync
        At most one exchange.
    """
    if now_ms < state.next_sync_ms or state.sync_budget.refill(now_ms) <= 0:
        return []
    jitter = state.rng.uniform(0.75, 1.25)
    state.next_sync_ms = now_ms + jitter * state.settings.sync_ms
    peers = random_live(state, 1)
    return [StartSync(peer_address=peer.inner_address) for peer in peers]


def request_sync(state: MembershipState, now_ms: float) -> None:
    """Schedule the next exchange earlier because records are missing.

    Parameters
    ----------
    state : MembershipState
        State of the daemon.
    now_ms : float
        Monotonic time.
    """
    jitter = state.rng.uniform(0.5, 1.5)
    due_ms = now_ms + jitter * _MIN_SYNC_GAP_MS
    state.next_sync_ms = min(state.next_sync_ms, due_ms)


def _bucket(record: MemberRecord) -> int:
    return instance_key(record.address)[0] % BUCKET_COUNT


def _digest(record: MemberRecord) -> int:
    state = record.state
    if state == MemberState.SUSPECT:
        state = MemberState.ALIVE
    text = f"{record.instance} {record.version} {state}"
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest)


def _differing_buckets(left: bytes, right: bytes) -> list[int]:
    return [
        bucket
        for bucket in range(BUCKET_COUNT)
        if left[bucket * _DIGEST_BYTES : (bucket + 1) * _DIGEST_BYTES]
        != right[bucket * _DIGEST_BYTES : (bucket + 1) * _DIGEST_BYTES]
    ]


def _records_by_bucket(state: MembershipState) -> dict[int, list[MemberRecord]]:
    records_by_bucket: dict[int, list[MemberRecord]] = {}
    for record in (state.own, *state.members_by_address.values()):
        records_by_bucket.setdefault(_bucket(record), []).append(record)
    return records_by_bucket
