"""Tests of claims under faults of the store, committers and holders."""

import random
import threading
import time
import uuid

import pytest
from vanillapitch_core import Refusal
from vanillapitch_core.claims import (
    ClaimResult,
    CommitterTable,
    claim_store_key,
    parse_claim,
    shard_of,
)
from vanillapitch_daemon.claims import Claim, Executed, ExecutionUnknown, NotExecuted

pytestmark = pytest.mark.integration

RESULT = ClaimResult(status=200, body=b"reserved")


@pytest.fixture
def key():
    return uuid.uuid4().hex


def key_committed_by(node, nodes):
    """Return a new key whose preferred committer is `node`."""
    table = CommitterTable(instances=[each.instance for each in nodes])
    while True:
        key = uuid.uuid4().hex
        shard = shard_of(claim_store_key(route_pool="catalog", key=key))
        if table.committers(shard)[0] == node.instance:
            return key


def grant_leases(nodes):
    """Make every node obtain its lease, so that later faults affect only claims."""
    for node in nodes:
        assert isinstance(node.claim_key(key_committed_by(node, nodes)), Claim)


def wait_until(condition, timeout_s=5):
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, "the condition was not met in time"
        time.sleep(0.01)


def test_lost_response_of_the_store_is_resolved_by_reading_back(
    make_nodes, store_process, key
):
    # Guards against refusing a claim, or executing its key twice, when the claim is
    # stored but the response of the store is lost: the committer must find the claim by
    # reading it.
    first, second = make_nodes(2)
    grant_leases([first, second])
    store_process.set_faults(lose_answers=1)
    assert isinstance(first.claim_key(key), Claim)
    assert store_process.counters().answers_lost == 1
    refusal = second.claim_key(key, timeout_ms=400)
    assert refusal.code == "key_in_progress"


def test_lost_lease_grant_is_retried(make_nodes, store_process, key):
    # Guards against refused claims when the response to the hourly grant of a lease is
    # lost: the grant must be retried.
    (node,) = make_nodes(1)
    store_process.set_faults(lose_answers=1)
    assert isinstance(node.claim_key(key), Claim)


def test_claims_survive_a_store_that_loses_many_responses(make_nodes, store_process):
    # Guards against keys that are claimed twice or stay blocked by abandoned claims
    # when the store loses 30% of its responses: after the faults, all keys that were
    # not claimed must be free.
    nodes = make_nodes(2)
    store_process.set_faults(lose_probability=0.3, seed=7)
    keys = [uuid.uuid4().hex for _ in range(30)]
    granted = []

    def send_all(node):
        granted.extend(
            key
            for key in keys
            if isinstance(node.claim_key(key, timeout_ms=300), Claim)
        )

    threads = [threading.Thread(target=send_all, args=(node,)) for node in nodes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(granted) == len(set(granted))
    store_process.set_faults()
    for key in set(keys) - set(granted):
        assert isinstance(nodes[0].claim_key(key), Claim)


@pytest.mark.parametrize("sender", [0, 1])
def test_claim_that_takes_effect_after_its_refusal_does_not_block_the_key(
    make_nodes, store_process, store, key, sender
):
    # Guards against a key that is blocked for the retention time of a day: the write of
    # its claim is delayed by 1.5 s and takes effect after the send was refused.
    nodes = make_nodes(2)
    grant_leases(nodes)
    store_process.set_faults(slow_ms=1_500)
    refusal = nodes[0].claim_key(key, timeout_ms=400)
    assert (refusal.code, refusal.outcome) == ("claims_unavailable", "not_run")
    store_process.set_faults()
    time.sleep(1.5)
    assert isinstance(nodes[sender].claim_key(key), Claim)


def test_crashed_committer_is_skipped(make_nodes):
    # Guards against refusing keys whose preferred committer has crashed: the next one
    # must store the claim and its result.
    nodes = make_nodes(3)
    key = key_committed_by(nodes[2], nodes)
    nodes[2].kill()
    claim = nodes[0].claim_key(key)
    assert isinstance(claim, Claim)
    nodes[0].claims.gate.finish(claim, Executed(result=RESULT))
    wait_until(lambda: "end_recorded" in nodes[0].events)
    assert nodes[1].claim_key(key) == RESULT


def test_different_views_of_the_members_do_not_grant_a_key_twice(make_nodes, key):
    # Guards against executing a key twice when daemons that do not know each other use
    # different committers: the store must accept one of the three claims.
    nodes = make_nodes(1) + make_nodes(1) + make_nodes(1)
    results = [node.claim_key(key, timeout_ms=300) for node in nodes]
    assert sum(isinstance(each, Claim) for each in results) == 1


def test_crashed_holder_leaves_an_unknown_outcome(make_nodes, key):
    # Guards against taking over the claim of a crashed holder, which may have executed
    # the request: the second send must be refused with the outcome unknown.
    first, second = make_nodes(2)
    assert isinstance(first.claim_key(key), Claim)
    first.kill()
    refusal = second.claim_key(key)
    assert isinstance(refusal, Refusal)
    assert (refusal.code, refusal.outcome) == ("outcome_unknown", "unknown")


def test_second_sender_waits_for_the_result_at_the_holder(make_nodes, key):
    # Guards against second senders that have to send again: the second send must wait
    # for the result, which the first one gets after 0.3 s.
    first, second = make_nodes(2)
    claim = first.claim_key(key)
    finish = threading.Timer(
        0.3, first.claims.gate.finish, args=(claim, Executed(result=RESULT))
    )
    finish.start()
    assert second.claim_key(key) == RESULT
    finish.join()


def test_second_sender_executes_when_the_first_did_not(make_nodes, key):
    # Guards against refusing the second send of a key, or replaying a result to it,
    # when the first one ends after 0.3 s without being executed: the second one must
    # get the claim.
    first, second = make_nodes(2)
    claim = first.claim_key(key)
    finish = threading.Timer(0.3, first.claims.gate.finish, args=(claim, NotExecuted()))
    finish.start()
    assert isinstance(second.claim_key(key), Claim)
    finish.join()


def test_results_are_recorded_after_an_outage(make_nodes, store_process, store, key):
    # Guards against an executed request whose outcome stays unknown because its result
    # could not be stored during an outage of the store: storing it must be retried.
    (node,) = make_nodes(1)
    claim = node.claim_key(key)
    store_process.set_faults(down="refuse")
    node.claims.gate.finish(claim, Executed(result=RESULT))
    wait_until(lambda: "end_retried" in node.events)
    store_process.set_faults()
    store_key = claim_store_key(route_pool="catalog", key=key)
    wait_until(lambda: parse_claim(store.get(store_key).entry.value).state == "done")
    assert parse_claim(store.get(store_key).entry.value).result == RESULT


def test_claims_of_an_hour_share_a_lease(make_nodes, store_process, store):
    # Guards against one lease per claim, and against claims without a lease, which
    # never expire: two daemons may obtain one lease each for 40 claims.
    nodes = make_nodes(2)
    keys = [uuid.uuid4().hex for _ in range(40)]
    for index, key in enumerate(keys):
        assert isinstance(nodes[index % 2].claim_key(key), Claim)
    assert store_process.counters().calls_by_kind["lease_grant"] <= 2
    for key in keys:
        entry = store.get(claim_store_key(route_pool="catalog", key=key)).entry
        assert entry.lease_id


FAULTS = [
    {},
    {},
    {"lose_probability": 0.3},
    {"slow_ms": 30},
    {"slow_ms": 700},
    {"down": "refuse"},
    {"down": "hang"},
    {"max_writes_per_second": 20},
]


class Senders:
    """Sends random keys through random nodes and executes those it can claim."""

    def __init__(self, *, nodes, seed, key_count, duration_s):
        self.nodes = nodes
        self.seed = seed
        self.keys = [uuid.uuid4().hex for _ in range(key_count)]
        self.ends_at_s = time.monotonic() + duration_s
        self.executions = []
        self.results = []

    def send_all(self, index):
        choice = random.Random(f"{self.seed}/{index}")
        while time.monotonic() < self.ends_at_s:
            node = choice.choice(self.nodes)
            key = choice.choice(self.keys)
            result = node.claim_key(key, timeout_ms=choice.choice([100, 600, 3_000]))
            if isinstance(result, Claim):
                self.execute(choice, node, key, result)
            else:
                self.results.append((key, result))

    def execute(self, choice, node, key, claim):
        claim_id = claim.record.claim_id
        time.sleep(choice.expovariate(50))
        if choice.random() < 0.2:
            node.claims.gate.finish(claim, NotExecuted())
            return
        self.executions.append((key, claim_id))
        result = ClaimResult(status=200, body=claim_id.encode())
        outcome = (
            ExecutionUnknown() if choice.random() < 0.1 else Executed(result=result)
        )
        node.claims.gate.finish(claim, outcome)


@pytest.mark.parametrize("seed", [1, 2])
def test_random_faults_never_execute_a_key_twice(make_nodes, store_process, seed):
    # Guards against executing a key twice under faults that occur together: outages,
    # lost responses, slow or limited writes and committers that fail, while 12 threads
    # send 60 keys through four daemons. Each result or outcome that another send gets
    # must be true.
    nodes = make_nodes(4)
    choice = random.Random(seed)
    senders = Senders(nodes=nodes, seed=seed, key_count=60, duration_s=6)
    threads = [
        threading.Thread(target=senders.send_all, args=(index,)) for index in range(12)
    ]
    for thread in threads:
        thread.start()
    while time.monotonic() < senders.ends_at_s:
        store_process.set_faults(**choice.choice(FAULTS), seed=seed)
        time.sleep(choice.uniform(0.1, 0.8))
        if choice.random() < 0.1:
            senders.nodes = [*nodes[1:], *make_nodes(1)]
            nodes[0].server.close()
    for thread in threads:
        thread.join()
    claim_id_by_key = dict(senders.executions)
    assert len(claim_id_by_key) == len(senders.executions), "a key was executed twice"
    assert len(claim_id_by_key) > 5
    for key, result in senders.results:
        if isinstance(result, ClaimResult):
            assert result.body == claim_id_by_key[key].encode()
        elif result.outcome == "ran":
            assert key in claim_id_by_key
