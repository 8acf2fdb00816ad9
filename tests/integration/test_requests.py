"""End-to-end tests of routing, refusals, deadlines and crashing requests."""

import socket
import time

import pytest
from vanillapitch_testbed.soak._faults import CRASH_TRIGGER

pytestmark = pytest.mark.integration


def exchange(address, request, *, timeout_s=5):
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout_s) as connection:
        connection.sendall(request)
        return connection.recv(65_536)


def test_requests_reach_the_service_of_their_route(fleet, call):
    # Guards against a request that is routed to the backend server of another service.
    for vm in fleet.vms:
        for service in ("catalog", "reserve"):
            response = call(f"/{service}/item", vm=vm)
            assert response.status == 200
            assert response.server.startswith(service)


def test_refusals_carry_a_code_and_an_outcome(fleet, call):
    # Guards against a refusal without the code and the outcome, from which a caller
    # decides whether to retry.
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
    # Guards against request smuggling: with conflicting lengths, two parsers find
    # different ends of the body and the rest is executed as a second request.
    request = b"POST /reserve/smuggled HTTP/1.1\r\nHost: a\r\n" + headers + b"\r\n"
    request += b"0\r\n\r\nGET /reserve/smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
    response = exchange(fleet.vms[0].callers, request)
    status = int(response.split(b" ")[1])
    assert 400 <= status < 600, response
    assert response.count(b"HTTP/1.1") == 1
    time.sleep(0.2)
    assert not [
        execution for execution in fleet.journal() if "smuggled" in execution.target
    ]


def test_each_large_upload_gets_the_response_to_its_own_body(
    fleet, call, in_background
):
    # Guards against bodies that are truncated or swapped between concurrent requests;
    # the digest in each response is compared with the body.
    bodies = [bytes([65 + index]) * (2_000_000 + index) for index in range(4)]
    uploads = [
        in_background(
            call, "/catalog/file", vm=fleet.vms[index], method="PUT", body=body
        )
        for index, body in enumerate(bodies)
    ]
    assert [upload().status for upload in uploads] == [200] * 4


def test_the_deadline_reaches_the_backend_server(fleet, call, within):
    # Guards against work that continues after the caller's deadline (400 ms): the
    # deadline must be forwarded and the connection closed, and the caller must get the
    # refusal within 1 s.
    before = count_disconnects(fleet)
    timed_out = call("/catalog/item?work_ms=3000", vm=fleet.vms[0], timeout_ms=400)
    assert (timed_out.status, timed_out.code) == (504, "deadline_unknown")
    assert timed_out.latency_ms < 1_000
    assert timed_out.outcome == "unknown"

    def deadline_arrived():
        executions = [
            execution
            for execution in fleet.journal()
            if execution.nonce == timed_out.nonce
        ]
        return executions and 0 < executions[0].remaining_ms <= 400 and executions

    assert within(deadline_arrived, timeout_s=2)
    assert within(lambda: count_disconnects(fleet) > before, timeout_s=2)


def count_disconnects(fleet):
    return sum(fleet.counters(vm)["disconnected"] for vm in fleet.vms)


def test_a_caller_that_disconnects_cancels_its_request(fleet, within):
    # Guards against slots that stay occupied by requests whose caller has disconnected
    # (bound: 2 s).
    before = count_disconnects(fleet)
    host, _, port = fleet.vms[0].callers.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as connection:
        connection.sendall(
            b"GET /catalog/item?work_ms=5000 HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        time.sleep(0.3)
    assert within(lambda: count_disconnects(fleet) > before, timeout_s=2)


def test_a_crashing_request_is_quarantined_everywhere(fleet, call, within):
    # Guards against a request that crashes one backend server after the other: it must
    # be quarantined within 5 s, after at most two executions, and refused by every
    # daemon 2 s later.
    target = f"/catalog/item?{CRASH_TRIGGER}{time.time_ns()}"
    for vm in fleet.vms:
        fleet.set_scenario(vm, crash_on=CRASH_TRIGGER)
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
    executions = [
        execution for execution in fleet.journal() if execution.target == target
    ]
    assert len(executions) <= 2
    assert all(execution.began_ms <= quarantined_ms for execution in executions)
