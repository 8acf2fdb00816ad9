"""Tests of keyed requests through daemons with a store process."""

import concurrent.futures
import threading
import time
import uuid

import msgspec
import pytest
import urllib3
from vanillapitch_core.claims import claim_store_key, parse_claim
from vanillapitch_daemon.main import stop_daemon

pytestmark = pytest.mark.integration

# Time for a result to be recorded: gathering at the holder and at the committer.
RECORD_S = 2.0


@pytest.fixture
def store_address(store_process):
    return store_process.address


@pytest.fixture
def key():
    return uuid.uuid4().hex


@pytest.fixture
def send(key):
    """Send a keyed POST to a daemon and return the answer."""
    with urllib3.PoolManager(retries=False, timeout=20, maxsize=16) as pool:

        def send(daemon, body=b"violin", timeout_ms=5_000, path="/reserve"):
            return pool.request(
                "POST",
                f"http://127.0.0.1:{daemon.callers.port}{path}",
                body=body,
                headers={
                    "Idempotency-Key": key,
                    "Request-Timeout-Ms": str(timeout_ms),
                },
            )

        yield send


@pytest.fixture
def stored_claim(store, key):
    def read():
        entry = store.get(claim_store_key(route_pool="catalog", key=key)).entry
        return None if entry is None else parse_claim(entry.value)

    return read


def problem(answer):
    document = msgspec.json.decode(answer.data)
    return document["code"], document["outcome"]


def wait_until(condition, timeout_s=RECORD_S):
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.01)


def test_resend_through_another_daemon_gets_the_first_response(
    make_backend, make_daemons, send, stored_claim
):
    # Guards against a second run of a keyed request, before and after its recording.
    backends = [make_backend() for _ in range(3)]
    daemons = make_daemons(*(backend.server_port for backend in backends))
    first = send(daemons[0])
    again = [send(daemon) for daemon in daemons]
    wait_until(lambda: stored_claim().state == "done")
    again += [send(daemon) for daemon in daemons]
    assert sum(len(backend.requests) for backend in backends) == 1
    for answer in again:
        assert (answer.status, answer.data) == (first.status, first.data)
        assert answer.headers["Idempotent-Replayed"] == "true"
        instance = "Vanillapitch-Instance"
        assert answer.headers[instance] == first.headers[instance]


def test_concurrent_sends_run_once(make_backend, make_daemons, send):
    # Guards against a race between daemons, and between the groups of a committer.
    backends = [make_backend(lambda handler: time.sleep(0.2)) for _ in range(3)]
    daemons = make_daemons(*(backend.server_port for backend in backends))
    with concurrent.futures.ThreadPoolExecutor(9) as threads:
        answers = list(threads.map(send, daemons * 3))
    assert sum(len(backend.requests) for backend in backends) == 1
    assert {(answer.status, answer.data) for answer in answers} == {(200, b"violin")}


def test_key_of_another_body_is_refused(make_backend, make_daemons, send):
    # Guards against an answer that belongs to another request.
    backend = make_backend()
    (daemon,) = make_daemons(backend.server_port)
    send(daemon)
    answer = send(daemon, body=b"cello")
    assert answer.status == 422
    assert problem(answer) == ("key_reused", "not_run")
    assert len(backend.requests) == 1


def test_key_of_another_path_is_refused(make_backend, make_daemons, send):
    # Guards against the recorded answer of a request to another resource.
    (daemon,) = make_daemons(make_backend().server_port)
    assert send(daemon).status == 200
    assert problem(send(daemon, path="/release")) == ("key_reused", "not_run")


def test_request_that_still_runs_is_in_progress(make_backend, make_daemons, send):
    # Guards against a second run while the first has not ended.
    release = threading.Event()
    backends = [make_backend(lambda handler: release.wait(10)) for _ in range(2)]
    daemons = make_daemons(*(backend.server_port for backend in backends))
    with concurrent.futures.ThreadPoolExecutor(1) as threads:
        first = threads.submit(send, daemons[0])
        wait_until(lambda: any(backend.requests for backend in backends))
        answer = send(daemons[1], timeout_ms=600)
        release.set()
        assert first.result().status == 200
    assert problem(answer) == ("key_in_progress", "unknown")
    assert sum(len(backend.requests) for backend in backends) == 1


def test_large_result_is_not_kept(make_backend, make_daemons, send, stored_claim):
    # Guards against a second run of a request whose result does not fit.
    backend = make_backend()
    (daemon,) = make_daemons(backend.server_port)
    body = b"x" * 20_000
    assert send(daemon, body=body).status == 200
    for _ in range(2):
        assert problem(send(daemon, body=body)) == ("result_not_kept", "ran")
        wait_until(lambda: stored_claim().state == "done")
    assert len(backend.requests) == 1


def test_request_that_did_not_run_can_be_sent_again(
    make_backend, make_daemons, send, stored_claim
):
    # Guards against a key that stays claimed by a request which never ran.
    backend = make_backend()
    (daemon,) = make_daemons(backend.server_port)
    backend.behave = shed
    answer = send(daemon)
    assert problem(answer)[1] == "not_run"
    assert stored_claim() is None
    backend.behave = lambda handler: None
    assert send(daemon).status == 200


def shed(handler):
    handler.send_response(503)
    handler.send_header("Load-Shed", "1")
    handler.send_header("Content-Length", "0")
    handler.end_headers()
    raise ConnectionAbortedError


def test_crash_of_the_backend_server_leaves_an_unknown_outcome(
    make_backend, make_daemons, send, stored_claim
):
    # Guards against a second run after an attempt that may have run.
    backend = make_backend(crash)
    (daemon,) = make_daemons(backend.server_port)
    assert problem(send(daemon))[1] == "unknown"
    wait_until(lambda: stored_claim().state == "unknown")
    backend.behave = lambda handler: None
    assert problem(send(daemon)) == ("outcome_unknown", "unknown")
    assert len(backend.requests) == 1


def crash(handler):
    raise ConnectionAbortedError


@pytest.mark.parametrize("down", ["refuse", "hang"])
@pytest.mark.parametrize("timeout_ms", [300, 5_000])
def test_store_outage_refuses_within_the_deadline(
    make_backend, make_daemons, send, store_process, down, timeout_ms
):
    # Guards against callers that wait out an outage, and against a run without a claim.
    backend = make_backend()
    (daemon,) = make_daemons(backend.server_port)
    store_process.set_faults(down=down)
    started = time.monotonic()
    answer = send(daemon, timeout_ms=timeout_ms)
    elapsed_ms = (time.monotonic() - started) * 1000
    assert problem(answer) == ("claims_unavailable", "not_run")
    assert elapsed_ms < min(timeout_ms, 2_500)
    assert backend.requests == []
    store_process.set_faults()
    wait_until(lambda: send(daemon).status == 200, timeout_s=10)
    assert len(backend.requests) == 1


def test_stop_records_results(make_backend, make_daemons, send, stored_claim):
    # Guards against a planned stop after which second senders learn nothing.
    backend = make_backend()
    (daemon,) = make_daemons(backend.server_port)
    assert send(daemon).status == 200
    assert stop_daemon(daemon, drain_timeout_ms=5_000) == 0
    assert stored_claim().state == "done"
