"""End-to-end tests of routing, refusals, deadlines and crashing requests."""

import socket
import time

import pytest
from vanillapitch_testbed.soak._faults import POISON

pytestmark = pytest.mark.integration


def exchange(address, request, *, timeout_s=5):
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout_s) as connection:
        connection.sendall(request)
        return connection.recv(65_536)


def test_requests_reach_the_service_of_their_route(fleet, call):
    # Guards against a request that reaches another service's backend server.
    for vm in fleet.vms:
        for service in ("catalog", "reserve"):
            answer = call(f"/{service}/item", vm=vm)
            assert answer.status == 200
            assert answer.server.startswith(service)


def test_refusals_say_why_and_whether_the_request_ran(fleet, call):
    # Guards against a refusal that a caller cannot act on.
    vm = fleet.vms[0]
    unrouted = call("/nowhere", vm=vm)
    assert (unrouted.status, unrouted.code) == (404, "no_route")
    invalid = call("/reserve/entry", vm=vm, method="POST", key="k" * 129)
    assert (invalid.status, invalid.code) == (400, "key_invalid")
    assert unrouted.outcome == invalid.outcome == "not_run"


@pytest.mark.parametrize(
    "headers",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        b"Content-Length: 4\r\nContent-Length: 5\r\n",
        b"Transfer-Encoding: chunked, identity\r\n",
    ],
)
def test_conflicting_lengths_are_refused(fleet, headers):
    # Guards against request smuggling: two parsers that see two different bodies.
    request = b"POST /reserve/smuggled HTTP/1.1\r\nHost: a\r\n" + headers + b"\r\n"
    request += b"0\r\n\r\nGET /reserve/smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
    answer = exchange(fleet.vms[0].callers, request)
    status = int(answer.split(b" ")[1])
    assert 400 <= status < 600, answer
    assert answer.count(b"HTTP/1.1") == 1
    time.sleep(0.2)
    assert not [run for run in fleet.journal() if "smuggled" in run.target]


def test_large_uploads_come_back_for_their_own_body(fleet, call, in_background):
    # Guards against bodies that are cut or mixed up between requests.
    bodies = [bytes([65 + index]) * (2_000_000 + index) for index in range(4)]
    uploads = [
        in_background(
            call, "/catalog/file", vm=fleet.vms[index], method="PUT", body=body
        )
        for index, body in enumerate(bodies)
    ]
    assert [upload().status for upload in uploads] == [200] * 4


def test_the_deadline_reaches_the_backend_server(fleet, call, within):
    # Guards against work that goes on for callers who have given up.
    late = call("/catalog/item?work_ms=3000", vm=fleet.vms[0], timeout_ms=400)
    assert (late.status, late.code) == (504, "deadline_unknown")
    assert late.latency_ms < 1_000
    assert late.outcome == "unknown"

    def is_closed():
        runs = [run for run in fleet.journal() if run.nonce == late.nonce]
        return runs and 0 < runs[0].remaining_ms <= 400 and runs

    assert within(is_closed, timeout_s=2)
    assert within(lambda: fleet_disconnects(fleet) > 0, timeout_s=2)


def fleet_disconnects(fleet):
    return sum(fleet.counters(vm)["disconnected"] for vm in fleet.vms)


def test_a_caller_that_leaves_cancels_its_request(fleet, within):
    # Guards against slots that are held for callers who are gone.
    before = fleet_disconnects(fleet)
    host, _, port = fleet.vms[0].callers.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as connection:
        connection.sendall(
            b"GET /catalog/item?work_ms=5000 HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        time.sleep(0.3)
    assert within(lambda: fleet_disconnects(fleet) > before, timeout_s=2)


def test_a_crashing_request_is_quarantined_everywhere(fleet, call, within):
    # Guards against a request that crashes one backend server after the other.
    target = f"/catalog/item?{POISON}{time.time_ns()}"
    for vm in fleet.vms:
        fleet.set_scenario(vm, crash_on=POISON)
    first = call(target, vm=fleet.vms[0])
    assert (first.status, first.code) == (502, "backend_crashed")
    assert within(
        lambda: call(target, vm=fleet.vms[0]).code == "quarantined", timeout_s=5
    )
    quarantined_ms = time.time() * 1_000
    time.sleep(2)
    for vm in fleet.vms:
        refused = call(target, vm=vm)
        assert (refused.code, refused.outcome) == ("quarantined", "not_run")
    runs = [run for run in fleet.journal() if run.target == target]
    assert len(runs) <= 2
    assert all(run.began_ms <= quarantined_ms for run in runs)
