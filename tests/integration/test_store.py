"""Tests of the store client against the simulated store's process."""

import contextlib
import os
import pathlib
import threading
import time
import uuid

import pytest
from vanillapitch_store import (
    Delete,
    EtcdGatewayStore,
    EventKind,
    Get,
    Put,
    StoreCompacted,
    StoreLeaseNotFound,
    StoreOutcomeUnknown,
    StoreRejected,
    StoreUnavailable,
    Transaction,
    key_absent,
    mod_revision_is,
    value_is,
)

pytestmark = pytest.mark.integration


@pytest.fixture
def key():
    return f"/test/{uuid.uuid4().hex}"


def create(store, key, value=b"1", lease_id=0):
    put = Put(key=key, value=value, lease_id=lease_id)
    return store.transact([key_absent(key)], [put], [Get(key=key)])


def test_second_creation_fails_and_reads_the_first(store, key):
    # Guards against two claims of the same key that both succeed.
    assert create(store, key, b"first").succeeded
    second = create(store, key, b"second")
    assert not second.succeeded
    assert second.results[0].entry.value == b"first"


def test_mod_revision_guards_a_change_against_a_newer_one(store, key):
    # Guards against a lost update: a write conditional on a revision that is no longer
    # the newest must fail.
    create(store, key)
    read = store.get(key)
    put = Put(key=key, value=b"2")
    guard = [mod_revision_is(key, read.entry.mod_revision)]
    assert store.transact(guard, [put]).succeeded
    assert not store.transact(guard, [put]).succeeded
    assert store.get(key).entry.version == 2


def test_nested_transactions_succeed_or_fail_independently(store, key):
    # Guards against a group of claims that fails as a whole because one of its keys
    # exists already.
    create(store, f"{key}/1", b"taken")
    nested = [
        Transaction(
            compares=(key_absent(f"{key}/{index}"),),
            on_success=(Put(key=f"{key}/{index}", value=b"new"),),
            on_failure=(Get(key=f"{key}/{index}"),),
        )
        for index in range(3)
    ]
    result = store.transact([], nested)
    assert [each.succeeded for each in result.results] == [True, False, True]
    assert result.results[1].results[0].entry.value == b"taken"
    entries = store.get_prefix(f"{key}/").entries
    assert [entry.value for entry in entries] == [b"new", b"taken", b"new"]


def test_deletion_by_value_leaves_another_value(store, key):
    # Guards against a release that deletes the claim of another holder.
    create(store, key, b"mine")
    assert not store.transact([value_is(key, b"other")], [Delete(key=key)]).succeeded
    assert store.transact([value_is(key, b"mine")], [Delete(key=key)]).succeeded
    assert store.get(key).entry is None


@pytest.mark.parametrize("size", [1024 * 1024 + 1, 2 * 1024 * 1024])
def test_too_large_value_is_rejected(store, key, size):
    # Guards against a simulated store that accepts values above the platform's limit of
    # 1 MiB.
    with pytest.raises(StoreRejected):
        create(store, key, b"x" * size)


def test_key_written_twice_in_a_transaction_is_rejected(store, key):
    # Guards against a group with two claims of the same key.
    put = Put(key=key, value=b"1")
    nested = Transaction(compares=(key_absent(key),), on_success=(put,))
    with pytest.raises(StoreRejected):
        store.transact([], [nested, nested])


def test_lease_removes_its_keys_unless_renewed(store, key):
    # Guards against claims that remain after their lease of 1 s has expired, or vanish
    # although it is renewed.
    short = store.grant_lease(1000)
    renewed = store.grant_lease(1000)
    create(store, f"{key}/short", lease_id=short.lease_id)
    create(store, f"{key}/renewed", lease_id=renewed.lease_id)
    for _ in range(4):
        time.sleep(0.35)
        store.keep_alive(renewed)
    assert store.get(f"{key}/short").entry is None
    assert store.get(f"{key}/renewed").entry is not None
    with pytest.raises(StoreLeaseNotFound):
        store.keep_alive(short)
    with pytest.raises(StoreLeaseNotFound):
        create(store, f"{key}/late", lease_id=short.lease_id)


def test_watch_delivers_changes_since_a_revision(store, key):
    # Guards against a lost change between a read and the start of the watch after it.
    revision = create(store, key).revision
    store.transact([], [Put(key=key, value=b"2")])
    result = store.watch(key, revision + 1, 2000)
    assert [event.entry.value for event in result.events] == [b"2"]
    timer = threading.Timer(0.2, store.transact, args=([], [Delete(key=key)]))
    timer.start()
    result = store.watch(key, result.next_revision, 5000)
    timer.join()
    assert [event.kind for event in result.events] == [EventKind.DELETE]


def test_watch_without_changes_ends_in_time_as_one_call(store, store_process, key):
    # Guards against a watch that blocks its thread beyond the timeout (300 ms; bound
    # 1.5 s), or whose polls are counted as separate calls.
    revision = store.get(key).revision
    started_s = time.monotonic()
    result = store.watch(key, revision + 1, 300)
    assert result.events == ()
    assert 0.2 < time.monotonic() - started_s < 1.5
    assert store_process.counters().calls_by_kind["watch"] == 1


def test_watch_of_compacted_events_raises_store_compacted(store, key):
    # Guards against a watch that waits for events that the store has already compacted.
    for _ in range(200):
        nested = [Put(key=f"{key}/{index}", value=b"") for index in range(120)]
        store.transact([], nested)
    with pytest.raises(StoreCompacted):
        store.watch(key, 1, 1000)


def test_lost_response_has_unknown_outcome_and_took_effect(store, store_process, key):
    # Guards against a write that is reported as failed because its response was lost.
    store_process.set_faults(lose_answers=1)
    with pytest.raises(StoreOutcomeUnknown):
        create(store, key)
    assert store.get(key).entry.value == b"1"
    assert store_process.counters().answers_lost == 1


def test_refused_connection_has_no_effect(store, store_process, key):
    # Guards against an unknown outcome for a write that never reached the store, and
    # against a write that is reported as unavailable although it took effect.
    store_process.set_faults(down="refuse")
    with pytest.raises(StoreUnavailable):
        create(store, key)
    store_process.set_faults()
    assert store.get(key).entry is None


def test_hanging_store_is_unknown_for_writes_only(store, store_process, key):
    # Guards against a read that reports an unknown outcome, and against calls to a
    # hanging store that exceed their timeout of 500 ms (four calls within 3 s).
    store_process.set_faults(down="hang")
    started_s = time.monotonic()
    with pytest.raises(StoreOutcomeUnknown):
        create(store, key)
    for read in (
        lambda: store.get(key),
        lambda: store.get_prefix(key),
        lambda: store.transact([], [Get(key=key)]),
    ):
        with pytest.raises(StoreUnavailable):
            read()
    assert time.monotonic() - started_s < 4 * 0.5 + 1
    store_process.set_faults()
    assert store.get(key).entry is None


def test_slow_write_takes_effect_after_its_client_timed_out(store, store_process, key):
    # Guards against a simulated store without late writes: a write delayed by 900 ms
    # must take effect after its client has timed out at 500 ms.
    store_process.set_faults(slow_ms=900)
    with pytest.raises(StoreOutcomeUnknown):
        create(store, key)
    store_process.set_faults()
    assert store.get(key).entry is None
    time.sleep(1)
    assert store.get(key).entry is not None


def test_unreachable_address_is_skipped(store_process, unused_address, key):
    # Guards against a client for which one unreachable address makes the store
    # unavailable.
    addresses = [unused_address, store_process.address]
    client = EtcdGatewayStore(addresses=addresses, timeout_ms=500)
    assert create(client, key).succeeded
    assert client.get(key).entry is not None


def test_write_rate_limit_delays_writes(store, store_process, key):
    # Guards against a simulated rate limit without effect: at 20 writes per second, 10
    # writes must take more than 0.4 s.
    store_process.set_faults(max_writes_per_second=20)
    started_s = time.monotonic()
    for index in range(10):
        create(store, f"{key}/{index}")
    assert time.monotonic() - started_s > 0.4


def core_waits_s(process_id):
    """Return by thread how long each has waited for a core, as Linux counts it."""
    waits_s = {}
    for path in pathlib.Path(f"/proc/{process_id}/task").glob("*/schedstat"):
        with contextlib.suppress(OSError):
            waits_s[path.parent.name] = int(path.read_text().split()[1]) / 1e9
    return waits_s


def longest_core_wait_s(before_s, after_s):
    """Return the longest time that one thread waited for a core meanwhile."""
    waits_s = [wait_s - before_s.get(thread, 0.0) for thread, wait_s in after_s.items()]
    return max(waits_s, default=0.0)


def test_store_process_sustains_several_hundred_writes_a_second(
    store, store_process, key
):
    # Guards against a simulated store that is slower than the platform's store: 300
    # writes must take less than 1 s, apart from the time in which other processes keep
    # the client and the thread that serves it from a core.
    process_ids = (os.getpid(), store_process.process.pid)
    before_s = [core_waits_s(process_id) for process_id in process_ids]
    started_s = time.monotonic()
    for index in range(300):
        create(store, f"{key}/{index}")
    took_s = time.monotonic() - started_s
    after_s = [core_waits_s(process_id) for process_id in process_ids]
    waited_s = sum(map(longest_core_wait_s, before_s, after_s))
    assert took_s - waited_s < 1
