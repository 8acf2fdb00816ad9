"""Tests of the simulated backend server and the fault proxy."""

import contextlib
import socket
import sys
import threading
import time

import pytest
import urllib3
from vanillapitch_testbed.backend import read_journal_file
from vanillapitch_testbed.fleet import (
    FleetError,
    ManagedProcess,
    control_request,
)
from vanillapitch_testbed.loopback import make_loopback_address

BACKEND = "vanillapitch_testbed.backend"
PROXY = "vanillapitch_testbed.proxy"

pytestmark = pytest.mark.integration


@pytest.fixture
def start(tmp_path):
    """Return a function that starts a module as a process until the test ends."""
    processes = []

    def start_module(module, *, control, **options):
        command = [sys.executable, "-m", module, "--control", control]
        for name, value in options.items():
            command += ["--" + name.replace("_", "-"), str(value)]
        log_path = tmp_path / f"{len(processes)}.log"
        process = ManagedProcess(name=module, command=command, log_path=log_path)
        processes.append(process)
        process.start()
        path = "/stats" if module == BACKEND else "/links"
        for _ in range(100):
            with contextlib.suppress(FleetError):
                control_request(control, "GET", path)
                return process
            time.sleep(0.05)
        raise AssertionError(process.log_tail())

    yield start_module
    for process in processes:
        process.terminate()


@pytest.fixture
def backend(start, tmp_path):
    """Return a function that starts a warm backend server with two slots."""

    def start_backend(**options):
        listen, control = make_loopback_address(), make_loopback_address()
        defaults = {
            "slots": 2,
            "service_shape": "fixed",
            "service_ms": 100,
            "warm_requests": 0,
            "journal_file": str(tmp_path / "journal"),
        }
        process = start(BACKEND, listen=listen, control=control, **defaults | options)
        return listen, control, process

    return start_backend


def get_all(address, targets, headers=None):
    """Send requests concurrently; return their sorted statuses, 0 for no response."""
    statuses = []

    def get(target):
        url = f"http://{address}{target}"
        try:
            response = urllib3.request("GET", url, headers=headers, retries=False)
        except urllib3.exceptions.HTTPError:
            statuses.append(0)
        else:
            statuses.append(response.status)

    threads = [threading.Thread(target=get, args=(target,)) for target in targets]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sorted(statuses)


def test_backend_queues_and_counts_work_beyond_its_slots(backend):
    # Guards against an overload that the counters do not show or the journal omits.
    listen, control, _ = backend()
    assert get_all(listen, ["/a"] * 5) == [200] * 5
    counters = control_request(control, "GET", "/stats")
    assert counters["overload"] == 3
    assert counters["max_in_flight"] == 5
    assert len(control_request(control, "GET", "/journal")) == 5


def test_backend_sheds_waiting_work_after_its_deadline(backend):
    # Guards against a simulated backend server that executes a queued request after its
    # deadline (50 ms).
    listen, control, _ = backend(slots=1)
    headers = {"Request-Timeout-Ms": "50"}
    assert get_all(listen, ["/a"] * 2, headers) == [200, 503]
    assert control_request(control, "GET", "/stats")["expired_before_begin"] == 1


def test_backend_drops_waiting_work_when_its_connection_closes(backend):
    # Guards against a cancelled request that the counters do not show, or that is
    # executed after its connection was closed in the queue.
    listen, control, _ = backend(slots=1, service_ms=300)
    host, _, port = listen.rpartition(":")
    request = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
    first, second = (socket.create_connection((host, int(port))) for _ in range(2))
    first.sendall(request)
    time.sleep(0.1)
    second.sendall(request)
    time.sleep(0.05)
    second.close()
    assert first.recv(100).startswith(b"HTTP/1.1 200")
    first.close()
    counters = control_request(control, "GET", "/stats")
    assert (counters["begun"], counters["cancelled_before_begin"]) == (1, 1)


def test_cold_backend_fails_requests_beyond_its_cold_limit(backend):
    # Guards against a simulated cold start without effect: of six concurrent requests,
    # those beyond the cold limit of two must fail.
    listen, control, _ = backend(
        slots=8, cold_limit=2, warm_requests=1_000, warm_ms=60_000
    )
    assert get_all(listen, ["/a"] * 6) == [200, 200, 500, 500, 500, 500]
    assert control_request(control, "GET", "/stats")["cold_failures"] == 4


def test_journal_file_keeps_the_request_that_crashed_the_backend(backend, tmp_path):
    # Guards against executions that are lost with a crashed process, so that the checks
    # of the invariants miss them.
    listen, control, process = backend()
    control_request(control, "PUT", "/scenario", {"crash_on": "boom"})
    assert get_all(listen, ["/a?boom"]) == [0]
    assert process.wait(5) == 70
    [entry] = read_journal_file(tmp_path / "journal")
    assert (entry.target, entry.ended_ms) == ("/a?boom", 0)


def test_proxy_drops_the_response_after_forwarding_the_request(backend, start):
    # Guards against a proxy that drops the request instead of the response: the backend
    # server must have executed it.
    target, backend_control, _ = backend()
    listen, control = make_loopback_address(), make_loopback_address()
    start(PROXY, control=control, link=f"link,tcp,{listen},{target}")
    assert get_all(listen, ["/a"]) == [200]
    control_request(control, "PUT", "/links/link", {"lose_answer_share": 1.0})
    assert get_all(listen, ["/b"]) == [0]
    targets = [
        entry["target"] for entry in control_request(backend_control, "GET", "/journal")
    ]
    assert targets == ["/a", "/b"]


def test_proxy_delays_and_holds_back_data(backend, start):
    # Guards against a fault that is configured without effect. A delay of 150 ms in
    # each direction must add 0.3 s, and a black hole must cause a timeout.
    target, _, _ = backend(service_ms=0)
    listen, control = make_loopback_address(), make_loopback_address()
    start(PROXY, control=control, link=f"link,tcp,{listen},{target}")
    control_request(control, "PUT", "/links/link", {"delay_ms": 150})
    started_s = time.monotonic()
    assert get_all(listen, ["/a"]) == [200]
    assert time.monotonic() - started_s >= 0.3
    control_request(control, "PUT", "/links/link", {"black_hole": True})
    with pytest.raises(urllib3.exceptions.HTTPError):
        urllib3.request("GET", f"http://{listen}/b", timeout=0.5, retries=False)
