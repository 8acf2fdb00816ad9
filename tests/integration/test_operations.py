"""End-to-end tests of zones, leaving endpoints, shutdown, restarts and operators."""

import signal
import socket
import threading
import time

import pytest
import urllib3
from vanillapitch_testbed.checks import LEAVE_BOUND_MS

pytestmark = pytest.mark.integration


@pytest.fixture
def background_reads(fleet, call):
    """Send reads through all running daemons in the background until the test ends."""
    stop = threading.Event()

    def read():
        index = 0
        while not stop.wait(0.01):
            index += 1
            vm = fleet.vms[index % len(fleet.vms)]
            if vm.daemon.is_running():
                call("/catalog/item", vm=vm, timeout_ms=3_000)

    threads = [threading.Thread(target=read, daemon=True) for _ in range(3)]
    for thread in threads:
        thread.start()
    yield
    stop.set()
    for thread in threads:
        thread.join(10)


def start_delays_ms(fleet, names, since_ms):
    return [
        execution.began_ms - since_ms
        for execution in fleet.journal()
        if execution.server in names and execution.began_ms > since_ms
    ]


def revision_of(fleet, vm):
    return (fleet.status(vm) or {}).get("revision", 0)


def wall_time_ms():
    return time.time_ns() // 1_000_000


def test_a_zone_out_of_service_gets_no_new_work(fleet, background_reads, within):
    # Guards against requests that start in a zone more than 3 s after operators took
    # it out of service (invariant I3).
    zone = fleet.vms[0].zone
    names = {vm.name for vm in fleet.vms if vm.zone == zone}
    assert within(lambda: start_delays_ms(fleet, names, 0), timeout_s=5)
    assert fleet.set_zone(zone, in_service=False).status == 200
    taken_out_ms = wall_time_ms()
    time.sleep(5)
    late = [
        delay_ms
        for delay_ms in start_delays_ms(fleet, names, taken_out_ms)
        if delay_ms > LEAVE_BOUND_MS
    ]
    assert not late
    assert fleet.set_zone(zone, in_service=True).status == 200
    returned_ms = wall_time_ms()
    assert within(lambda: start_delays_ms(fleet, names, returned_ms), timeout_s=5)


def test_a_leaving_endpoint_gets_no_new_work(fleet, background_reads, within):
    # Guards against requests that start on a backend server more than 3 s after it
    # announced that it is leaving (invariant I7).
    vm = fleet.vms[0]
    assert within(lambda: start_delays_ms(fleet, {vm.name}, 0), timeout_s=5)
    fleet.announce(vm, "leaving")
    leaving_ms = wall_time_ms()
    time.sleep(5)
    late = [
        delay_ms
        for delay_ms in start_delays_ms(fleet, {vm.name}, leaving_ms)
        if delay_ms > LEAVE_BOUND_MS
    ]
    assert not late
    fleet.announce(vm, "ready")
    ready_ms = wall_time_ms()
    assert within(lambda: start_delays_ms(fleet, {vm.name}, ready_ms), timeout_s=5)


def test_shutdown_finishes_uploads_that_are_in_flight(
    fleet, call, in_background, within
):
    # Guards against a graceful stop that aborts requests in flight (invariant I8):
    # uploads in execution, and one whose body is still being sent at SIGTERM.
    vm = fleet.vms[0]
    body = b"x" * 3_000_000
    uploads = [
        in_background(
            call, "/catalog/file?work_ms=1500", vm=vm, method="PUT", body=body
        )
        for _ in range(3)
    ]
    finish_upload = in_background(upload_slowly, vm.callers, body)
    time.sleep(0.6)
    vm.daemon.send_signal(signal.SIGTERM)
    vm.daemon.send_signal(signal.SIGTERM)
    assert [upload().status for upload in uploads] == [200] * 3
    assert finish_upload().startswith(b"HTTP/1.1 200")
    assert vm.daemon.wait(15) == 0


def upload_slowly(address, body, *, pieces=20, duration_s=2.0):
    """Upload a body in pieces, like a caller with a slow connection.

    Returns the first bytes of the response.
    """
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 10) as connection:
        head = f"PUT /catalog/file HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}"
        connection.sendall(head.encode() + b"\r\n\r\n")
        size = len(body) // pieces
        for index in range(pieces):
            start = index * size
            end = len(body) if index == pieces - 1 else start + size
            connection.sendall(body[start:end])
            time.sleep(duration_s / pieces)
        return connection.recv(65_536)


def test_a_daemon_that_starts_while_the_store_is_down_serves(fleet, call, within):
    # Guards against a store outage that spreads with each restart: a daemon started
    # during the outage must get the tables from its peers and serve requests.
    vm = fleet.vms[0]
    revision = fleet.status(fleet.vms[1])["revision"]
    vm.daemon.kill()
    fleet.set_store_faults(down="refuse")
    fleet.restart_daemon(vm)
    assert within(lambda: revision_of(fleet, vm) >= revision, timeout_s=9)
    assert within(lambda: call("/catalog/item", vm=vm).status == 200, timeout_s=5)


def test_of_two_concurrent_changes_one_is_accepted(fleet, in_background, within):
    # Guards against an accepted change that is overwritten by a concurrent one with the
    # same base revision (invariant I9). Slow store calls make the two overlap.
    base = fleet.tables(fleet.vms[0])
    fleet.set_store_faults(slow_ms=300)

    def change(vm, timeout_ms):
        routes = [dict(route, timeout_ms=timeout_ms) for route in base["routes"]]
        return fleet.put_tables(vm, base=base, routes=routes)

    changes = [in_background(change, fleet.vms[i], 9_000 + i) for i in range(2)]
    responses = [result() for result in changes]
    assert sorted(response.status for response in responses) == [200, 409]
    accepted = next(one for one in responses if one.status == 200).json()["tables"]
    assert accepted["revision"] == base["revision"] + 1

    def is_in_force(vm):
        return revision_of(fleet, vm) == accepted["revision"]

    assert within(lambda: all(map(is_in_force, fleet.vms)), timeout_s=3)
    tables = fleet.tables(fleet.vms[2])
    assert tables["routes"] == accepted["routes"]


def test_the_administration_needs_the_token(fleet):
    # Guards against tables and zones that can be read or changed with a wrong token.
    address = fleet.vms[0].admin
    for method, path in (("GET", "/v1/tables"), ("PUT", "/v1/zones/gb-a")):
        response = urllib3.request(
            method,
            f"http://{address}{path}",
            headers={"Authorization": "Bearer wrong"},
            json={"in_service": False} if method == "PUT" else None,
        )
        assert response.status == 401
