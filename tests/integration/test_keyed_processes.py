"""Keyed requests through daemon processes that are paused and killed."""

import collections
import concurrent.futures
import contextlib
import http.server
import signal
import socket
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
from vanillapitch_testbed.store import StoreProcess

pytestmark = pytest.mark.integration

TABLES_KEY = "/vanillapitch/tables"
DAEMON_COUNT = 4
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 30


def free_address():
    """Return an address that is free for TCP and for UDP."""
    while True:
        with (
            socket.create_server(("127.0.0.1", 0)) as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
        ):
            host, port = stream.getsockname()
            with contextlib.suppress(OSError):
                datagrams.bind((host, port))
                return f"{host}:{port}"


class Backend(http.server.ThreadingHTTPServer):
    """Counts the runs of each key."""

    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), BackendHandler)
        self.runs_by_key = collections.Counter()
        self.lock = threading.Lock()
        self.delay_s = 0.01
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignore connections of killed daemons."""


class BackendHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_GET(self):  # noqa: N802
        """Answer the health endpoint."""
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def do_POST(self):  # noqa: N802
        self.rfile.read(int(self.headers["Content-Length"]))
        with self.server.lock:
            self.server.runs_by_key[self.headers["Idempotency-Key"]] += 1
        time.sleep(self.server.delay_s)
        body = self.headers["Idempotency-Key"].encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Keep the output of tests free of access logs."""


class DaemonProcess:
    """A daemon beside a backend server."""

    def __init__(self, directory, store_address, seed):
        self.backend = Backend()
        self.callers = free_address()
        self.gossip = free_address()
        settings = {
            "instance": {"zone": "zone-a", "region": "north"},
            "listen": {
                "callers": self.callers,
                "peers": free_address(),
                "gossip": self.gossip,
                "admin": free_address(),
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
            with concurrent.futures.ThreadPoolExecutor(DAEMON_COUNT) as threads:
                list(threads.map(DaemonProcess.stop, started))


def wait_until_serving(daemons):
    """Wait until every daemon answers and every backend server has had work."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while not all(daemon.backend.runs_by_key for daemon in daemons):
        assert time.monotonic() < deadline, "the daemons do not serve in time"
        for daemon in daemons:
            send(daemon, uuid.uuid4().hex, timeout_ms=1_000)
        time.sleep(0.05)


def send(daemon, key, timeout_ms=2_000):
    """Return the status and the outcome, or None without an answer."""
    try:
        answer = urllib3.request(
            "POST",
            f"http://{daemon.callers}/",
            body=b"violin",
            headers={"Idempotency-Key": key, "Request-Timeout-Ms": str(timeout_ms)},
            retries=False,
            timeout=timeout_ms / 1_000 + 1,
        )
    except urllib3.exceptions.HTTPError:
        return None
    if answer.status == 200:
        assert answer.data == key.encode()
        return 200, "ran"
    return answer.status, msgspec.json.decode(answer.data)["outcome"]


def runs_of(daemons, key):
    return sum(daemon.backend.runs_by_key[key] for daemon in daemons)


def send_until(daemons, ends_at, index):
    """Send keys to two daemons each until they are answered; return the answers."""
    answers_by_key = {}
    while time.monotonic() < ends_at:
        key = uuid.uuid4().hex
        answers = answers_by_key[key] = []
        for attempt in range(3):
            index += 1
            answers.append(send(daemons[index % len(daemons)], key))
            if answers[-1] is not None and answers[-1][1] == "ran" and attempt:
                break
    return answers_by_key


def test_paused_and_killed_daemons_never_run_a_key_twice(daemons):
    # Guards against a holder or committer that is paused beyond the deadlines of its
    # claims and continues, and against claims that outlive a killed holder.
    ends_at = time.monotonic() + 10
    with concurrent.futures.ThreadPoolExecutor(8) as threads:
        results = [
            threads.submit(send_until, daemons, ends_at, index) for index in range(8)
        ]
        for number, paused in enumerate(daemons[:3]):
            time.sleep(0.7)
            paused.process.send_signal(signal.SIGSTOP)
            time.sleep(1.2 + number)
            paused.process.send_signal(signal.SIGCONT)
        daemons[3].process.kill()
    answers_by_key = {}
    for result in results:
        answers_by_key.update(result.result())
    ran = 0
    for key, answers in answers_by_key.items():
        runs = runs_of(daemons, key)
        assert runs <= 1, f"the key ran {runs} times: {answers}"
        outcomes = {answer[1] for answer in answers if answer}
        assert runs or "ran" not in outcomes
        if outcomes == {"not_run"} and None not in answers:
            assert runs == 0, f"not_run is false: {answers}"
        ran += runs
    assert ran > 50


def test_killed_holder_leaves_an_unknown_outcome(daemons):
    # Guards against a second run after the daemon that ran the first was killed.
    for daemon in daemons:
        daemon.backend.delay_s = 3
    key = uuid.uuid4().hex
    with concurrent.futures.ThreadPoolExecutor(1) as threads:
        first = threads.submit(send, daemons[0], key, 5_000)
        deadline = time.monotonic() + 3
        while not runs_of(daemons, key):
            assert time.monotonic() < deadline, "the request did not run"
            time.sleep(0.01)
        daemons[0].process.kill()
        assert first.result() is None
    daemons[0].process.wait()
    assert send(daemons[1], key) == (409, "unknown")
    assert runs_of(daemons, key) == 1
