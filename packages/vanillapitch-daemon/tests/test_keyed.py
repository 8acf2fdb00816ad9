"""Tests of keyed requests through daemons that use a store process."""

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

# Bound on the time until a result is stored; the recorder and the committer batch it.
RECORD_S = 2.0


@pytest.fixture
def store_address(store_process):
    return store_process.address


@pytest.fixture
def key():
    return uuid.uuid4().hex


@pytest.fixture
def send(key):
    """Send a keyed POST to a daemon and return the response."""
    with urllib3.PoolManager(retries=False, timeout=20, maxsize=16) as pool:

        def send(daemon, body=b"violin", timeout_ms=5_000, path="/reserve"):
            return pool.request(
                "POST",
                f"http://{daemon.callers.address}{path}",
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


def problem(response):
    document = msgspec.json.decode(response.data)
    return document["code"], document["outcome"]


def wait_until(condition, timeout_s=RECORD_S):
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, "the condition was not met in time"
        time.sleep(0.01)


def test_resend_through_another_daemon_gets_the_first_response(
    make_backend, make_daemons, send, stored_claim
):
    # Guards against a second execution of a keyed request that is resent through
    # another daemon, before or after its result is stored: each resend must get the
    # first response, marked as replayed.
    backends = [make_backend() for _ in range(3)]
    daemons = make_daemons(*(backend.server_port for backend in backends))
    first = send(daemons[0])
    resent = [send(daemon) for daemon in daemons]
    wait_until(lambda: stored_claim().state == "done")
    resent += [send(daemon) for daemon in daemons]
    assert sum(len(backend.requests) for backend in backends) == 1
    for response in resent:
        assert (response.status, response.data) == (first.status, first.data)
        assert response.headers["Idempotent-Replayed"] == "true"
        instance = "Vanillapitch-Instance"
        assert response.headers[instance] == first.headers[instance]


def test_concurrent_sends_are_executed_once(make_backend, make_daemons, send):
    # Guards against several executions of concurrent requests with one key, when their
    # claims race between daemons or between the batches of a committer: of nine
    # requests, one may be executed, and all must get its response.
    backends = [make_backend(lambda handler: time.sleep(0.2)) for _ in range(3)]
    daemons = make_daemons(*(backend.server_port for backend in backends))
    with concurrent.futures.ThreadPoolExecutor(9) as threads:
        responses = list(threads.map(send, daemons * 3))
    assert sum(len(backend.requests) for backend in backends) == 1
    assert {(response.status, response.data) for response in responses} == {
        (200, b"violin")
    }


def test_key_of_another_body_is_refused(make_backend, make_daemons, send):
    # Guards against the recorded response of a request with another body: the reuse of
    # the key must be refused.
    backend = make_backend()
    (daemon,) = make_daemons(backend.server_port)
    send(daemon)
    response = send(daemon, body=b"cello")
    assert response.status == 422
    assert problem(response) == ("key_reused", "not_run")
    assert len(backend.requests) == 1


def test_key_of_another_path_is_refused(make_backend, make_daemons, send):
    # Guards against the recorded response of a request with another path: the reuse of
    # the key must be refused.
    (daemon,) = make_daemons(make_backend().server_port)
    assert send(daemon).status == 200
    assert problem(send(daemon, path="/release")) == ("key_reused", "not_run")


def test_request_that_still_runs_is_in_progress(make_backend, make_daemons, send):
    # Guards against a second execution while the first is still running: a resend with
    # a time-out of 600 ms must be refused with key_in_progress.
    release = threading.Event()
    backends = [make_backend(lambda handler: release.wait(10)) for _ in range(2)]
    daemons = make_daemons(*(backend.server_port for backend in backends))
    with concurrent.futures.ThreadPoolExecutor(1) as threads:
        first = threads.submit(send, daemons[0])
        wait_until(lambda: any(backend.requests for backend in backends))
        response = send(daemons[1], timeout_ms=600)
        release.set()
        assert first.result().status == 200
    assert problem(response) == ("key_in_progress", "unknown")
    assert sum(len(backend.requests) for backend in backends) == 1


def test_large_result_is_not_kept(make_backend, make_daemons, send, stored_claim):
    # Guards against a second execution of a request whose response, here of 20,000
    # bytes, is too large to be recorded: a resend must be refused with result_not_kept,
    # before and after the result is stored.
    backend = make_backend()
    (daemon,) = make_daemons(backend.server_port)
    body = b"x" * 20_000
    assert send(daemon, body=body).status == 200
    for _ in range(2):
        assert problem(send(daemon, body=body)) == ("result_not_kept", "ran")
        wait_until(lambda: stored_claim().state == "done")
    assert len(backend.requests) == 1


def test_request_that_was_not_executed_can_be_sent_again(
    make_backend, make_daemons, send, stored_claim
):
    # Guards against a key that stays claimed by a request that was not executed,
    # because the backend server shed it: the claim must be deleted and a resend
    # executed.
    backend = make_backend()
    (daemon,) = make_daemons(backend.server_port)
    backend.behave = shed
    response = send(daemon)
    assert problem(response)[1] == "not_run"
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
    # Guards against a second execution after an attempt that may have been executed:
    # the claim must be stored as unknown and a resend refused with outcome_unknown.
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
    # Guards against callers that wait for the end of a store outage, and against an
    # execution without a claim: the refusal must arrive within the caller's deadline
    # and within 2.5 s.
    backend = make_backend()
    (daemon,) = make_daemons(backend.server_port)
    store_process.set_faults(down=down)
    started_at_s = time.monotonic()
    response = send(daemon, timeout_ms=timeout_ms)
    elapsed_ms = (time.monotonic() - started_at_s) * 1000
    assert problem(response) == ("claims_unavailable", "not_run")
    assert elapsed_ms < min(timeout_ms, 2_500)
    assert backend.requests == []
    store_process.set_faults()
    wait_until(lambda: send(daemon).status == 200, timeout_s=10)
    assert len(backend.requests) == 1


def test_stop_records_results(make_backend, make_daemons, send, stored_claim):
    # Guards against results that are lost at a planned stop, so that a resend gets no
    # response: the result must be stored when the daemon has stopped.
    backend = make_backend()
    (daemon,) = make_daemons(backend.server_port)
    assert send(daemon).status == 200
    assert stop_daemon(daemon, drain_timeout_ms=5_000) == 0
    assert stored_claim().state == "done"
