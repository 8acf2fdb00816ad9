"""Tests of claim records, holders, committer selection and group commit."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from vanillapitch_core.claims import (
    MAX_RESULT_BYTES,
    SHARD_COUNT,
    ClaimRecord,
    ClaimRecordError,
    ClaimResult,
    ClaimState,
    CommitQueue,
    CommitterTable,
    HeldPhase,
    HolderState,
    QueuedChange,
    WriteBudget,
    claim_change,
    claim_store_key,
    finish_change,
    parse_claim,
    sender,
    shard_of,
)
from vanillapitch_core.claims.batching import (
    GROUP_DELAY_MS,
    MAX_GROUP_BYTES,
    MAX_GROUP_CHANGES,
    RESULT_DELAY_MS,
)
from vanillapitch_core.claims.holder import MAX_RETAINED_NOT_RUN

INSTANCES = [f"10.0.0.{index}:8001/17" for index in range(20)]


@pytest.fixture
def record():
    return ClaimRecord(claim_id="c1", fingerprint="f", holder=INSTANCES[0])


def queued(index, *, at_ms=0.0, urgent=True, size=10, key=None):
    store_key = key or claim_store_key(route_pool="p", key=str(index))
    record = ClaimRecord(claim_id=str(index), fingerprint="f" * size, holder="h")
    change = claim_change(store_key, record)
    if not urgent:
        change = finish_change(store_key, record, state=ClaimState.DONE)
    return QueuedChange(change=change, queued_at_ms=at_ms, expires_at_ms=1e9)


@pytest.fixture
def queue():
    return CommitQueue(budget=WriteBudget(now_ms=0, writes_per_second=10))


@given(st.text(max_size=20), st.text(max_size=20))
def test_store_key_has_a_shard(pool, key):
    # Guards against a key in a shard without a committer: its claims would fail.
    assert 0 <= shard_of(claim_store_key(route_pool=pool, key=key)) < SHARD_COUNT


def test_store_key_separates_pools():
    # Guards against a replay of another service's result when callers of two pools
    # choose the same idempotency key.
    keys = [claim_store_key(route_pool=pool, key="k") for pool in ("a", "b")]
    assert keys[0] != keys[1]


@pytest.mark.parametrize("key", ["/vanillapitch/tables", "/vanillapitch/claims/16/a"])
def test_other_keys_have_no_shard(key):
    # Guards against a committer that writes keys other than claims for a faulty peer.
    with pytest.raises(ClaimRecordError):
        shard_of(key)


def test_result_over_the_limit_is_done_without_body(record):
    # Guards against a value too large for the store, and against a second execution of
    # a request whose result is too large to keep.
    large = ClaimResult(status=200, body=b"x" * (MAX_RESULT_BYTES + 1))
    change = finish_change("k", record, state=ClaimState.DONE, result=large)
    stored = parse_claim(change.value)
    assert (stored.state, stored.result) == (ClaimState.DONE, None)


def test_committer_that_leaves_moves_only_its_own_shards():
    # Guards against a daemon restart that moves the shards of all other committers.
    before = CommitterTable(instances=INSTANCES)
    departed = before.committers(0)[0]
    after = CommitterTable(instances=[each for each in INSTANCES if each != departed])
    for shard in range(SHARD_COUNT):
        first, second, _ = before.committers(shard)
        assert after.committers(shard)[0] == (second if first == departed else first)
    counts = [before.shard_count(instance) for instance in INSTANCES]
    assert sum(counts) == SHARD_COUNT


def test_claims_are_delayed_only_when_writes_are_scarce(queue):
    # Guards against added latency while the write budget is ample, and against small
    # groups that use up a low budget.
    queue.add(queued(1, at_ms=5))
    assert queue.next_group_at_ms(5) == 5
    for _ in range(5):
        queue.budget.spend(5)
    assert queue.next_group_at_ms(5) == 5 + GROUP_DELAY_MS


def test_claims_are_grouped_while_a_call_is_in_flight(queue):
    # Guards against one write per claim under load: claims that arrive during a call
    # must all go into the next group.
    queue.add(queued(0))
    queue.take_group(2)
    for index in range(1, 50):
        queue.add(queued(index, at_ms=3))
    assert queue.next_group_at_ms(100) is None
    queue.finish_group()
    assert queue.next_group_at_ms(100) == 100
    assert len(queue.take_group(100)) == 49


def test_results_are_written_with_the_next_claim(queue):
    # Guards against two writes per request, since a result goes into the next claim's
    # group, and against a result that waits longer than `RESULT_DELAY_MS` for one.
    queue.add(queued(0, urgent=False))
    assert queue.next_group_at_ms(0) == RESULT_DELAY_MS
    queue.add(queued(1, at_ms=10))
    assert queue.next_group_at_ms(10) == 10
    assert [each.is_urgent for each in queue.take_group(12)] == [True, False]


def test_two_changes_of_a_key_go_in_separate_groups_in_order(queue):
    # Guards against a transaction that writes a key twice: the store rejects it as a
    # whole. Changes of one key must also keep their order.
    first, second = queued(1, key="k"), queued(2, key="k")
    queue.add(first)
    queue.add(second)
    assert queue.take_group(2) == [first]
    queue.finish_group()
    assert queue.take_group(3) == [second]


@given(st.lists(st.integers(10, 25_000), max_size=150))
def test_groups_stay_within_the_bounds_of_a_transaction(sizes):
    # Guards against groups over the store's limits for a transaction, which the store
    # rejects, and against changes that are lost when a group is full.
    queue = CommitQueue(budget=WriteBudget(now_ms=0, writes_per_second=10))
    for index, size in enumerate(sizes):
        queue.add(queued(index, size=size))
    count = 0
    while len(queue):
        group = queue.take_group(0)
        queue.finish_group()
        assert 1 <= len(group) <= MAX_GROUP_CHANGES
        assert sum(each.change.size_bytes for each in group) <= MAX_GROUP_BYTES
        count += len(group)
    assert count == len(sizes)


def test_write_budget_bounds_the_groups_of_a_second(queue):
    # Guards against a committer that overloads the platform's store: in 10 s at
    # 10 writes per second it may write 100 groups and a burst of 8.
    now_ms, groups = 0.0, 0
    while now_ms < 10_000:
        queue.add(queued(groups, at_ms=now_ms))
        now_ms = queue.next_group_at_ms(now_ms)
        queue.take_group(now_ms)
        queue.finish_group()
        groups += 1
    assert groups <= 10 * 10 + 8


def test_expired_changes_are_not_written(queue):
    # Guards against a claim that is written after its sender stopped waiting: the next
    # send of the key would have to remove it first.
    change = queued(1)
    change.expires_at_ms = 50
    queue.add(change)
    assert queue.expire(49) == []
    assert queue.expire(50) == [change]
    assert queue.next_group_at_ms(50) is None


def test_a_claim_ends_once(record):
    # Guards against a claim whose state changes after not_run was stated: the caller
    # may send again, and the request would be executed twice.
    holder = HolderState()
    holder.open("k", record)
    assert holder.statement("c1") == sender.HolderRunning()
    holder.end("c1", HeldPhase.NOT_RUN)
    assert holder.statement("c1") == sender.HolderNotRun()
    with pytest.raises(ValueError, match="not open"):
        holder.end("c1", HeldPhase.DONE)


def test_holder_prunes_only_claims_whose_end_is_stored(record):
    # Guards against the loss of a result that is not in the store yet, and against
    # unbounded memory when many abandoned claims may still be written.
    holder = HolderState()
    holder.open("k", record)
    holder.end("c1", HeldPhase.DONE)
    holder.prune(1e12)
    assert len(holder) == 1
    holder.record_stored("c1", 0)
    assert holder.statement("c1") == sender.HolderGone()
    for index in range(MAX_RETAINED_NOT_RUN + 5):
        claim_id = f"n{index}"
        holder.open("k", ClaimRecord(claim_id=claim_id, fingerprint="", holder=""))
        holder.end(claim_id, HeldPhase.NOT_RUN, late_write_possible=True)
        holder.record_stored(claim_id, 0)
    holder.prune(1)
    assert len(holder) == MAX_RETAINED_NOT_RUN


def test_sends_of_a_claim_are_bounded(record):
    # Guards against a sender that tries committers forever when none can be reached,
    # and so never answers its caller.
    step = sender.start(record)
    for _ in range(10):
        if not isinstance(step.effect, sender.SendClaim):
            break
        step = sender.advance(step.state, sender.ChangeNotSent())
    assert step.effect.refusal.code == "claims_unavailable"
    assert not step.effect.abandon


def test_malformed_record_raises_claim_record_error():
    # Guards against a malformed value in the store that raises another error, which
    # the committer does not handle.
    with pytest.raises(ClaimRecordError):
        parse_claim(b"{}")


def test_holder_keeps_claims_that_a_late_write_can_create(record):
    # Guards against a key that stays blocked after a late write created an abandoned
    # claim: the holder must still state not_run, so that the claim can be removed.
    holder = HolderState()
    for claim_id, late_write_possible in (("late", True), ("gone", False)):
        holder.open("k", ClaimRecord(claim_id=claim_id, fingerprint="", holder=""))
        holder.end(claim_id, HeldPhase.NOT_RUN, late_write_possible=late_write_possible)
        holder.record_stored(claim_id, 0)
    assert holder.statement("late") == sender.HolderNotRun()
    assert holder.statement("gone") == sender.HolderGone()


def test_changes_are_rejected_during_a_call_to_a_failing_store(queue):
    # Guards against callers that all wait until an outage of the store ends: after a
    # failed call, changes that arrive during the next call are rejected.
    assert queue.add(queued(0))
    queue.take_group(2)
    queue.finish_group(failed=True)
    assert queue.add(queued(1))
    queue.take_group(3)
    assert not queue.add(queued(2))
    queue.finish_group(failed=False)
    assert queue.add(queued(3))
