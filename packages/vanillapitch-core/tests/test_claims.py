"""Tests of claim records, the choice of committers and group commit."""

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
    GATHER_MS,
    MAX_GROUP_BYTES,
    MAX_GROUP_CHANGES,
    RESULT_DELAY_MS,
)
from vanillapitch_core.claims.holder import MAX_REMEMBERED_NOT_RUN

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
    # Guards against claims that no committer handles.
    assert 0 <= shard_of(claim_store_key(route_pool=pool, key=key)) < SHARD_COUNT


def test_store_key_separates_pools():
    # Guards against a result that reaches the caller of another service.
    keys = [claim_store_key(route_pool=pool, key="k") for pool in ("a", "b")]
    assert keys[0] != keys[1]


@pytest.mark.parametrize("key", ["/vanillapitch/tables", "/vanillapitch/claims/16/a"])
def test_other_keys_have_no_shard(key):
    # Guards against a peer that makes a committer write other keys.
    with pytest.raises(ClaimRecordError):
        shard_of(key)


def test_result_over_the_limit_is_done_without_body(record):
    # Guards against values that the store cannot hold, and against a second run.
    large = ClaimResult(status=200, body=b"x" * (MAX_RESULT_BYTES + 1))
    change = finish_change("k", record, state=ClaimState.DONE, result=large)
    stored = parse_claim(change.value)
    assert (stored.state, stored.result) == (ClaimState.DONE, None)


def test_committer_that_leaves_moves_only_its_own_shards():
    # Guards against a restart that makes every daemon change its committers.
    before = CommitterTable(instances=INSTANCES)
    left = before.committers(0)[0]
    after = CommitterTable(instances=[each for each in INSTANCES if each != left])
    for shard in range(SHARD_COUNT):
        first, second, _ = before.committers(shard)
        assert after.committers(shard)[0] == (second if first == left else first)
    counts = [before.shard_count(instance) for instance in INSTANCES]
    assert sum(counts) == SHARD_COUNT


def test_claims_gather_only_when_writes_are_scarce(queue):
    # Guards against latency at low load, and against small groups under load.
    queue.add(queued(1, at_ms=5))
    assert queue.next_group_at_ms(5) == 5
    for _ in range(5):
        queue.budget.spend(5)
    assert queue.next_group_at_ms(5) == 5 + GATHER_MS


def test_claims_gather_while_a_call_is_in_flight(queue):
    # Guards against one write per claim under load.
    queue.add(queued(0))
    queue.take_group(2)
    for index in range(1, 50):
        queue.add(queued(index, at_ms=3))
    assert queue.next_group_at_ms(100) is None
    queue.finish_group()
    assert queue.next_group_at_ms(100) == 100
    assert len(queue.take_group(100)) == 49


def test_results_wait_for_a_claim_to_go_along_with(queue):
    # Guards against two writes per request, and against results held back for long.
    queue.add(queued(0, urgent=False))
    assert queue.next_group_at_ms(0) == RESULT_DELAY_MS
    queue.add(queued(1, at_ms=10))
    assert queue.next_group_at_ms(10) == 10
    assert [each.is_urgent for each in queue.take_group(12)] == [True, False]


def test_two_changes_of_a_key_go_in_separate_groups_in_order(queue):
    # Guards against a transaction that the store rejects as a whole.
    first, second = queued(1, key="k"), queued(2, key="k")
    queue.add(first)
    queue.add(second)
    assert queue.take_group(2) == [first]
    queue.finish_group()
    assert queue.take_group(3) == [second]


@given(st.lists(st.integers(10, 25_000), max_size=150))
def test_groups_stay_within_the_bounds_of_a_transaction(sizes):
    # Guards against groups that the store rejects, and against lost changes.
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
    # Guards against a committer that uses up the rate of the platform's service.
    now_ms, groups = 0.0, 0
    while now_ms < 10_000:
        queue.add(queued(groups, at_ms=now_ms))
        now_ms = queue.next_group_at_ms(now_ms)
        queue.take_group(now_ms)
        queue.finish_group()
        groups += 1
    assert groups <= 10 * 10 + 8


def test_expired_changes_are_not_written(queue):
    # Guards against claims that get into the store after their sender gave up.
    each = queued(1)
    each.expires_at_ms = 50
    queue.add(each)
    assert queue.expire(49) == []
    assert queue.expire(50) == [each]
    assert queue.next_group_at_ms(50) is None


def test_holder_states_the_end_of_a_claim_once(record):
    # Guards against a claim that is stated not_run and then runs.
    holder = HolderState()
    holder.open("k", record)
    assert holder.statement("c1") == sender.HolderRunning()
    holder.end("c1", HeldPhase.NOT_RUN)
    assert holder.statement("c1") == sender.HolderNotRun()
    with pytest.raises(ValueError, match="not open"):
        holder.end("c1", HeldPhase.DONE)


def test_holder_forgets_only_what_the_store_knows(record):
    # Guards against growth without bound, and against results that get lost.
    holder = HolderState()
    holder.open("k", record)
    holder.end("c1", HeldPhase.DONE)
    holder.prune(1e12)
    assert len(holder) == 1
    holder.record_stored("c1", 0)
    assert holder.statement("c1") == sender.HolderGone()
    for index in range(MAX_REMEMBERED_NOT_RUN + 5):
        claim_id = f"n{index}"
        holder.open("k", ClaimRecord(claim_id=claim_id, fingerprint="", holder=""))
        holder.end(claim_id, HeldPhase.NOT_RUN, late_write_possible=True)
        holder.record_stored(claim_id, 0)
    holder.prune(1)
    assert len(holder) == MAX_REMEMBERED_NOT_RUN


def test_sends_of_a_claim_are_bounded(record):
    # Guards against a sender that never answers its caller.
    step = sender.start(record)
    for _ in range(10):
        if not isinstance(step.effect, sender.SendClaim):
            break
        step = sender.advance(step.state, sender.ChangeNotSent())
    assert step.effect.refusal.code == "claims_unavailable"
    assert not step.effect.abandon


def test_malformed_record_is_an_error_of_its_own():
    # Guards against an unhandled error in the committer.
    with pytest.raises(ClaimRecordError):
        parse_claim(b"{}")


def test_holder_remembers_a_claim_that_can_return(record):
    # Guards against a key that stays blocked by a write that took effect late.
    holder = HolderState()
    for claim_id, late_write_possible in (("late", True), ("gone", False)):
        holder.open("k", ClaimRecord(claim_id=claim_id, fingerprint="", holder=""))
        holder.end(claim_id, HeldPhase.NOT_RUN, late_write_possible=late_write_possible)
        holder.record_stored(claim_id, 0)
    assert holder.statement("late") == sender.HolderNotRun()
    assert holder.statement("gone") == sender.HolderGone()


def test_failing_store_lets_one_group_at_a_time_wait(queue):
    # Guards against callers that all wait out an outage of the store.
    assert queue.add(queued(0))
    queue.take_group(2)
    queue.finish_group(failed=True)
    assert queue.add(queued(1))
    queue.take_group(3)
    assert not queue.add(queued(2))
    queue.finish_group(failed=False)
    assert queue.add(queued(3))
