"""Tests of keyed requests through daemon processes that are paused and killed."""

import collections
import concurrent.futures
import http.server
import signal
import subprocess
import sys
import threading
import time
import uuid

import msgspec
import pytest
import urllib3
from vanillapitch_core.tables import Pool, Route, Tables, encode_tables
from vanillapitch_store import EtcdGatewayStore, Put
from vanillapitch_testbed.loopback import make_loopback_address
from vanillapitch_testbed.store import StoreProcess

pytestmark = pytest.mark.integration

TABLES_KEY = "/vanillapitch/tables"
DAEMON_COUNT = 4
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 30


class Backend(http.server.ThreadingHTTPServer):
    """HTTP backend server that counts the executions of each key."""

    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), BackendHandler)
        self.executions_by_key = collections.Counter()
        self.lock = threading.Lock()
        self.delay_s = 0.01
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignore errors on connections of killed daemons."""


class BackendHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_GET(self):  # noqa: N802
        """Respond to health checks."""
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def do_POST(self):  # noqa: N802
        self.rfile.read(int(self.headers["Content-Length"]))
        with self.server.lock:
            self.server.executions_by_key[self.headers["Idempotency-Key"]] += 1
        time.sleep(self.server.delay_s)
        body = self.headers["Idempotency-Key"].encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Write no access log to the output of the tests."""


class DaemonProcess:
    """A daemon process and its backend server."""

    def __init__(self, directory, store_address, seed):
        self.backend = Backend()
        self.callers = make_loopback_address()
        self.gossip = make_loopback_address()
        settings = {
            "instance": {"zone": "zone-a", "region": "north"},
            "listen": {
                "callers": self.callers,
                "peers": make_loopback_address(),
                "gossip": self.gossip,
                "admin": make_loopback_address(),
            },
            "backend": {
                "address": f"127.0.0.1:{self.backend.server_port}",
                "service": "reserve",
                "announce_by_health": True,
                "slots": 16,
            },
            "platform": {"addresses": [store_address], "timeout_ms": 500},
            "seeds": [seed] if seed else [],
            "secrets": {"cluster_key": "k" * 32, "admin_token": "t" * 16},
        }
        path = directory / f"{uuid.uuid4().hex}.json"
        path.write_bytes(msgspec.json.encode(settings))
        command = "from vanillapitch_daemon.main import main; main()"
        self.process = subprocess.Popen(
            [sys.executable, "-c", command, "--settings", str(path)],
            stderr=subprocess.DEVNULL,
        )

    def stop(self):
        self.process.send_signal(signal.SIGCONT)
        self.process.terminate()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        finally:
            self.process.kill()
            self.process.wait()
            self.backend.shutdown()
            self.backend.server_close()


@pytest.fixture
def daemons(tmp_path):
    with StoreProcess() as store_process:
        client = EtcdGatewayStore(addresses=[store_process.address], timeout_ms=2_000)
        tables = Tables(
            revision=1,
            routes=(Route(name="all", pool="reserve"),),
            pools=(Pool(name="reserve", service="reserve"),),
        )
        client.transact([], [Put(key=TABLES_KEY, value=encode_tables(tables))])
        started = []
        try:
            for _ in range(DAEMON_COUNT):
                seed = started[0].gossip if started else None
                started.append(DaemonProcess(tmp_path, store_process.address, seed))
            wait_until_serving(started)
            yield started
        finally:
            with concurrent.futures.ThreadPoolExecutor(DAEMON_COUNT) as executor:
                list(executor.map(DaemonProcess.stop, started))


def wait_until_serving(daemons):
    """Send requests through all daemons until every backend server executed one."""
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while not all(daemon.backend.executions_by_key for daemon in daemons):
        assert time.monotonic() < deadline_s, (
            "a backend server executed no request before the start timeout"
        )
        for daemon in daemons:
            send(daemon, uuid.uuid4().hex, timeout_ms=1_000)
        time.sleep(0.05)


def send(daemon, key, timeout_ms=2_000):
    """Return the status and the outcome, or None if there is no response."""
    try:
        response = urllib3.request(
            "POST",
            f"http://{daemon.callers}/",
            body=b"violin",
            headers={"Idempotency-Key": key, "Request-Timeout-Ms": str(timeout_ms)},
            retries=False,
            timeout=timeout_ms / 1_000 + 1,
        )
    except urllib3.exceptions.HTTPError:
        return None
    if response.status == 200:
        assert response.data == key.encode()
        return 200, "ran"
    return response.status, msgspec.json.decode(response.data)["outcome"]


def count_executions(daemons, key):
    return sum(daemon.backend.executions_by_key[key] for daemon in daemons)


def send_keys_until(daemons, ends_at_s, index):
    """Send new keys until `ends_at_s`; return the results by key.

    Each key is sent through up to three daemons, one after the other. The third send
    is omitted if the second one returns the outcome ``ran``.
    """
    results_by_key = {}
    while time.monotonic() < ends_at_s:
        key = uuid.uuid4().hex
        results = results_by_key[key] = []
        for attempt in range(3):
            index += 1
            results.append(send(daemons[index % len(daemons)], key))
            if results[-1] is not None and results[-1][1] == "ran" and attempt:
                break
    return results_by_key


def test_paused_and_killed_daemons_never_execute_a_key_twice(daemons):
    # Guards against a second execution by a holder or committer that resumes after a
    # pause beyond the deadlines of its claims (pauses of 1.2 s to 3.2 s, requests of
    # 2 s), and against one of a key whose claim outlives its killed holder. A key that
    # every send reports as `not_run` must not have been executed.
    ends_at_s = time.monotonic() + 10
    with concurrent.futures.ThreadPoolExecutor(8) as executor:
        futures = [
            executor.submit(send_keys_until, daemons, ends_at_s, index)
            for index in range(8)
        ]
        for number, paused in enumerate(daemons[:3]):
            time.sleep(0.7)
            paused.process.send_signal(signal.SIGSTOP)
            time.sleep(1.2 + number)
            paused.process.send_signal(signal.SIGCONT)
        daemons[3].process.kill()
    results_by_key = {}
    for future in futures:
        results_by_key.update(future.result())
    executed_keys = 0
    for key, results in results_by_key.items():
        executions = count_executions(daemons, key)
        assert executions <= 1, f"the key was executed {executions} times: {results}"
        outcomes = {result[1] for result in results if result}
        assert executions or "ran" not in outcomes
        if outcomes == {"not_run"} and None not in results:
            assert executions == 0, f"refused as not_run after an execution: {results}"
        executed_keys += executions
    assert executed_keys > 50


def test_killed_holder_leaves_an_unknown_outcome(daemons):
    # Guards against a second execution of a key whose holder was killed while a backend
    # server executed the first request (3 s): its outcome must stay unknown.
    for daemon in daemons:
        daemon.backend.delay_s = 3
    key = uuid.uuid4().hex
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        first = executor.submit(send, daemons[0], key, 5_000)
        deadline_s = time.monotonic() + 3
        while not count_executions(daemons, key):
            assert time.monotonic() < deadline_s, (
                "the request was not executed within 3 s"
            )
            time.sleep(0.01)
        daemons[0].process.kill()
        assert first.result() is None
    daemons[0].process.wait()
    assert send(daemons[1], key) == (409, "unknown")
    assert count_executions(daemons, key) == 1
