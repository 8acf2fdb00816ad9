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
from vanillapitch_daemon.claims import Claim, NotRun, Ran, RunUnknown

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
    """Have every node grant its lease, so that faults meet the claims alone."""
    for node in nodes:
        assert isinstance(node.begin(key_committed_by(node, nodes)), Claim)


def wait_until(condition, timeout_s=5):
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.01)


def test_lost_answer_of_the_store_is_resolved_by_reading_back(
    make_nodes, store_process, key
):
    # Guards against a refusal or a second run after a claim that took effect.
    first, second = make_nodes(2)
    grant_leases([first, second])
    store_process.set_faults(lose_answers=1)
    assert isinstance(first.begin(key), Claim)
    assert store_process.counters().answers_lost == 1
    refusal = second.begin(key, timeout_ms=400)
    assert refusal.code == "key_in_progress"


def test_lost_grant_of_a_lease_is_repeated(make_nodes, store_process, key):
    # Guards against claims that are refused once an hour.
    (node,) = make_nodes(1)
    store_process.set_faults(lose_answers=1)
    assert isinstance(node.begin(key), Claim)


def test_claims_survive_a_store_that_loses_many_answers(make_nodes, store_process):
    # Guards against keys that are granted twice or stay blocked by abandoned claims.
    nodes = make_nodes(2)
    store_process.set_faults(lose_probability=0.3, seed=7)
    keys = [uuid.uuid4().hex for _ in range(30)]
    granted = []

    def send_all(node):
        granted.extend(
            key for key in keys if isinstance(node.begin(key, timeout_ms=300), Claim)
        )

    threads = [threading.Thread(target=send_all, args=(node,)) for node in nodes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(granted) == len(set(granted))
    store_process.set_faults()
    for key in set(keys) - set(granted):
        assert isinstance(nodes[0].begin(key), Claim)


@pytest.mark.parametrize("sender", [0, 1])
def test_claim_that_takes_effect_after_its_refusal_does_not_block_the_key(
    make_nodes, store_process, store, key, sender
):
    # Guards against a key blocked for a day by a write that was delayed.
    nodes = make_nodes(2)
    grant_leases(nodes)
    store_process.set_faults(slow_ms=1_500)
    refusal = nodes[0].begin(key, timeout_ms=400)
    assert (refusal.code, refusal.outcome) == ("claims_unavailable", "not_run")
    store_process.set_faults()
    time.sleep(1.5)
    assert isinstance(nodes[sender].begin(key), Claim)


def test_committer_that_died_is_passed_over(make_nodes):
    # Guards against keys that are refused because one daemon was lost.
    nodes = make_nodes(3)
    key = key_committed_by(nodes[2], nodes)
    nodes[2].kill()
    claim = nodes[0].begin(key)
    assert isinstance(claim, Claim)
    nodes[0].part.gate.finish(claim, Ran(result=RESULT))
    wait_until(lambda: "end_recorded" in nodes[0].events)
    assert nodes[1].begin(key) == RESULT


def test_different_views_of_the_members_do_not_grant_a_key_twice(make_nodes, key):
    # Guards against safety that rests on the choice of the committer.
    nodes = make_nodes(1) + make_nodes(1) + make_nodes(1)
    begun = [node.begin(key, timeout_ms=300) for node in nodes]
    assert sum(isinstance(each, Claim) for each in begun) == 1


def test_holder_that_died_leaves_an_unknown_outcome(make_nodes, key):
    # Guards against a claim taken over from a holder which may have run the request.
    first, second = make_nodes(2)
    assert isinstance(first.begin(key), Claim)
    first.kill()
    refusal = second.begin(key)
    assert isinstance(refusal, Refusal)
    assert (refusal.code, refusal.outcome) == ("outcome_unknown", "unknown")


def test_second_sender_waits_for_the_result_at_the_holder(make_nodes, key):
    # Guards against second senders that must poll.
    first, second = make_nodes(2)
    claim = first.begin(key)
    finish = threading.Timer(
        0.3, first.part.gate.finish, args=(claim, Ran(result=RESULT))
    )
    finish.start()
    assert second.begin(key) == RESULT
    finish.join()


def test_second_sender_runs_when_the_first_did_not(make_nodes, key):
    # Guards against an answer about a request that never ran.
    first, second = make_nodes(2)
    claim = first.begin(key)
    finish = threading.Timer(0.3, first.part.gate.finish, args=(claim, NotRun()))
    finish.start()
    assert isinstance(second.begin(key), Claim)
    finish.join()


def test_results_are_recorded_after_an_outage(make_nodes, store_process, store, key):
    # Guards against a finished request whose outcome stays unknown.
    (node,) = make_nodes(1)
    claim = node.begin(key)
    store_process.set_faults(down="refuse")
    node.part.gate.finish(claim, Ran(result=RESULT))
    wait_until(lambda: "end_retried" in node.events)
    store_process.set_faults()
    store_key = claim_store_key(route_pool="catalog", key=key)
    wait_until(lambda: parse_claim(store.get(store_key).entry.value).state == "done")
    assert parse_claim(store.get(store_key).entry.value).result == RESULT


def test_claims_of_an_hour_share_a_lease(make_nodes, store_process, store):
    # Guards against a lease per claim, and against claims without a lease.
    nodes = make_nodes(2)
    keys = [uuid.uuid4().hex for _ in range(40)]
    for index, key in enumerate(keys):
        assert isinstance(nodes[index % 2].begin(key), Claim)
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
    """Threads that send random keys through random nodes and run what is granted."""

    def __init__(self, *, nodes, seed, key_count, duration_s):
        self.nodes = nodes
        self.seed = seed
        self.keys = [uuid.uuid4().hex for _ in range(key_count)]
        self.ends_at = time.monotonic() + duration_s
        self.runs = []
        self.answers = []

    def send_all(self, index):
        choice = random.Random(f"{self.seed}/{index}")
        while time.monotonic() < self.ends_at:
            node = choice.choice(self.nodes)
            key = choice.choice(self.keys)
            begun = node.begin(key, timeout_ms=choice.choice([100, 600, 3_000]))
            if isinstance(begun, Claim):
                self.run(choice, node, key, begun)
            else:
                self.answers.append((key, begun))

    def run(self, choice, node, key, claim):
        claim_id = claim.record.claim_id
        time.sleep(choice.expovariate(50))
        if choice.random() < 0.2:
            node.part.gate.finish(claim, NotRun())
            return
        self.runs.append((key, claim_id))
        result = ClaimResult(status=200, body=claim_id.encode())
        ending = RunUnknown() if choice.random() < 0.1 else Ran(result=result)
        node.part.gate.finish(claim, ending)


@pytest.mark.parametrize("seed", [1, 2])
def test_random_faults_never_run_a_key_twice(make_nodes, store_process, seed):
    # Guards against faults that only occur together: outages, lost answers, slow
    # writes and committers that die, while several daemons send the same keys.
    nodes = make_nodes(4)
    choice = random.Random(seed)
    senders = Senders(nodes=nodes, seed=seed, key_count=60, duration_s=6)
    threads = [
        threading.Thread(target=senders.send_all, args=(index,)) for index in range(12)
    ]
    for thread in threads:
        thread.start()
    while time.monotonic() < senders.ends_at:
        store_process.set_faults(**choice.choice(FAULTS), seed=seed)
        time.sleep(choice.uniform(0.1, 0.8))
        if choice.random() < 0.1:
            senders.nodes = [*nodes[1:], *make_nodes(1)]
            nodes[0].server.close()
    for thread in threads:
        thread.join()
    run_by_key = dict(senders.runs)
    assert len(run_by_key) == len(senders.runs), "a key ran twice"
    assert len(run_by_key) > 5
    for key, answer in senders.answers:
        if isinstance(answer, ClaimResult):
            assert answer.body == run_by_key[key].encode()
        elif answer.outcome == "ran":
            assert key in run_by_key
