"""Tests of the quarantine of requests that crash backend servers."""

import socket
import time

import msgspec
import pytest
import urllib3
from vanillapitch_core import ManualClock, SystemClock
from vanillapitch_daemon.assembly import build_daemon
from vanillapitch_daemon.calls import CallerRequest
from vanillapitch_daemon.main import start_daemon, stop_daemon
from vanillapitch_daemon.quarantine import Quarantine

DAEMON_COUNT = 4
# Bound, from the design page, on the time until all daemons know of a quarantine.
QUARANTINE_BOUND_S = 2.0


def crash_on_poison(handler):
    if not handler.path.startswith("/poison"):
        return
    if handler.path.startswith("/poison-late"):
        # The connection of a process that ends may close before its listener.
        handler.connection.shutdown(socket.SHUT_RDWR)
        time.sleep(0.02)
    handler.server.shutdown()
    handler.server.server_close()
    if not handler.path.startswith("/poison-late"):
        handler.connection.shutdown(socket.SHUT_RDWR)


@pytest.fixture
def crashing_daemons(make_settings, make_backend, tables):
    """Start daemons that are peers, with backend servers that ``/poison`` crashes."""
    daemons, seeds = [], ()
    backends = [make_backend(behave=crash_on_poison) for _ in range(DAEMON_COUNT)]
    for backend in backends:
        settings = make_settings(backend.server_port)
        settings = msgspec.structs.replace(settings, seeds=seeds)
        seeds = seeds or (settings.listen.gossip,)
        daemon = build_daemon(settings, clock=SystemClock())
        daemon.snapshot.replace(tables)
        start_daemon(daemon)
        daemons.append(daemon)
    yield daemons, backends
    for daemon in daemons:
        stop_daemon(daemon, drain_timeout_ms=5_000)


def send(daemon, path):
    url = f"http://{daemon.callers.address}{path}"
    # With the service's name as host, a request has the same fingerprint at each
    # daemon.
    return urllib3.request(
        "GET", url, headers={"Host": "catalog.example"}, retries=False, timeout=10
    )


def code_of(response):
    return response.json()["code"] if response.status != 200 else "ok"


def wait_until_all_serve(daemons):
    deadline_s = time.monotonic() + 10
    for daemon in daemons:
        instances = set()
        while len(instances) < DAEMON_COUNT:
            assert time.monotonic() < deadline_s
            instances.add(send(daemon, "/").headers.get("Vanillapitch-Instance"))
            instances.discard(None)


def test_crashing_request_takes_down_two_backend_servers_at_most(crashing_daemons):
    # Guards against a request that crashes one backend server after another because
    # callers or daemons resend it: it may be executed twice, and 2 s after the second
    # crash all daemons must refuse it. A request with another query is not refused.
    daemons, backends = crashing_daemons
    wait_until_all_serve(daemons)
    assert code_of(send(daemons[0], "/poison")) == "backend_crashed"
    assert code_of(send(daemons[1], "/poison")) == "backend_crashed"
    time.sleep(QUARANTINE_BOUND_S)
    codes = {code_of(send(daemon, "/poison")) for daemon in daemons}
    assert codes == {"quarantined"}
    assert code_of(send(daemons[2], "/poison?other")) == "backend_crashed"
    executions = sum(
        path == "/poison" for backend in backends for _, path, _ in backend.requests
    )
    assert executions == 2
    assert code_of(send(daemons[3], "/")) == "ok"


def test_a_crash_is_detected_although_the_listener_closes_late(crashing_daemons):
    # Guards against a crash that is classified as backend_failed, so that the request
    # is resent without a strike: the connections of a process that ends may close
    # before its listener, here by 20 ms.
    daemons, _ = crashing_daemons
    wait_until_all_serve(daemons)
    assert code_of(send(daemons[0], "/poison-late")) == "backend_crashed"
    assert code_of(send(daemons[1], "/poison-late")) == "backend_crashed"
    time.sleep(QUARANTINE_BOUND_S)
    assert {code_of(send(daemon, "/poison-late")) for daemon in daemons} == {
        "quarantined"
    }


def test_owner_refuses_a_request_that_only_it_has_quarantined(
    make_backend, make_daemons
):
    # Guards against executing a quarantined request that arrives through an ingress
    # without its strikes, because that ingress is partitioned from its peers: the owner
    # must refuse it itself.
    with socket.create_server(("127.0.0.1", 0)) as unused:
        closed_port = unused.getsockname()[1]
    backend = make_backend()
    ingress, owner = make_daemons(closed_port, backend.server_port)
    for number in range(2):
        request = make_request("catalog.example", request_id=str(number))
        owner.quarantine.record_crash(request, "e/1")
    ingress.quarantine.set_share(lambda strike: None)
    codes = {code_of(send(ingress, "/")) for _ in range(5)}
    assert codes <= {"quarantined", "no_endpoint"}
    assert "quarantined" in codes
    assert [path for _, path, _ in backend.requests if path == "/"] == []


def test_owner_clears_the_strikes_after_a_response(make_backend, make_daemons):
    # Guards against an owner that quarantines a frequent request, because it was in
    # flight at two crashes that it did not cause: a response between the crashes must
    # clear the first strike.
    with socket.create_server(("127.0.0.1", 0)) as unused:
        closed_port = unused.getsockname()[1]
    ingress, owner = make_daemons(closed_port, make_backend().server_port)
    owner.quarantine.set_share(lambda strike: None)
    request = make_request("catalog.example", request_id="1")
    owner.quarantine.record_crash(request, "e/1")
    assert code_of(send(ingress, "/")) == "ok"
    owner.quarantine.record_crash(request, "e/2")
    assert code_of(send(ingress, "/")) == "ok"


def test_owner_records_a_crash(make_backend, make_daemons):
    # Guards against a crash that no daemon but a partitioned ingress records: the owner
    # must record a strike itself.
    backend = make_backend(behave=crash_on_poison)
    other = make_backend()
    ingress, owner = make_daemons(other.server_port, backend.server_port)
    deadline_s = time.monotonic() + 10
    while owner.quarantine.is_empty:
        assert time.monotonic() < deadline_s
        send(ingress, f"/poison?{time.monotonic_ns()}")


@pytest.mark.parametrize(
    ("first", "second", "quarantined"),
    [
        ("10.0.0.1:80", "10.0.0.2:8080", True),
        ("[fd00::1]:80", "10.0.0.2", True),
        ("a.example:80", "A.example", True),
        ("a.example", "b.example", False),
    ],
)
def test_fingerprint_ignores_the_address_of_the_daemon(first, second, quarantined):
    # Guards against a crashing request that is never quarantined, because callers name
    # the address of another daemon as host each time: IP addresses and ports must not
    # change the fingerprint, host names must.
    quarantine = Quarantine(clock=ManualClock())
    for number, host in enumerate((first, second)):
        quarantine.record_crash(make_request(host, request_id=str(number)), "e/1")
    assert quarantine.contains(make_request(first, request_id="2")) is quarantined


def make_request(host, request_id):
    return CallerRequest(
        request_id=request_id,
        method="GET",
        target="/",
        path="/",
        host=host,
        headers=[],
        body=b"",
        timeout_ms=None,
        attempt=1,
        idempotency_key=None,
        received_at_ms=0.0,
        is_cancelled=lambda: False,
    )
