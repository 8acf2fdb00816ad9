"""Tests of admission, quarantine and cancellation on the request path."""

import dataclasses
import random
import socket
import threading
import time
import uuid

import msgspec
import urllib3
from vanillapitch_core import ManualClock, RefusalCode, membership
from vanillapitch_core.quarantine import compute_fingerprint
from vanillapitch_core.tables import WhenZonesOut
from vanillapitch_daemon.calls import CallerRequest
from vanillapitch_daemon.ingress import make_retrier
from vanillapitch_daemon.ingress._attempts import RoutedRequest
from vanillapitch_daemon.owner import Cancellation
from vanillapitch_daemon.quarantine import Quarantine
from vanillapitch_wire.dispatch import DispatchRequest


def send(daemon, method="GET", path="/", **options):
    url = f"http://{daemon.callers.address}{path}"
    return urllib3.request(method, url, retries=False, timeout=5, **options)


def put_tables_in_force(daemon, tables, **fields):
    changed = msgspec.structs.replace(tables, revision=tables.revision + 1, **fields)
    daemon.snapshot.replace(changed)


def wait_until(condition):
    deadline_s = time.monotonic() + 5
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


def test_cold_endpoint_gets_one_request_at_a_time(make_backend, make_daemons):
    # Guards against full load on a backend server that has just started: of eight
    # concurrent requests, only one at a time may be in flight.
    running, in_flight_counts = [], []
    lock = threading.Lock()

    def behave(handler):
        with lock:
            running.append(handler)
            in_flight_counts.append(len(running))
        time.sleep(0.05)
        with lock:
            running.remove(handler)

    (daemon,) = make_daemons(make_backend(behave=behave).server_port)
    threads = [threading.Thread(target=send, args=(daemon,)) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert max(in_flight_counts) == 1


def test_zone_out_is_refused_and_its_return_starts_cold(
    make_backend, make_daemons, tables, warm_up
):
    # Guards against executing requests in a zone out of service, and against full load
    # when the zone returns: the endpoint must refuse with zone_out, and be cold after
    # the return.
    (daemon,) = make_daemons(make_backend().server_port)
    warm_up(daemon)
    put_tables_in_force(daemon, tables, zones_out=("zone-a",))
    response = send(daemon)
    assert (response.status, response.json()["code"]) == (503, "zone_out")
    # The ingress sends the owner no requests while the zone is out of service, so the
    # owner must notice this without requests, here within 0.5 s.
    time.sleep(0.5)
    put_tables_in_force(daemon, msgspec.structs.replace(tables, revision=2))
    assert send(daemon).status == 200
    assert daemon.load.current.state == "cold"


def test_pool_that_serves_anyway_is_served(make_backend, make_daemons, tables):
    # Guards against an owner that refuses requests because its zone is out of service,
    # although their pool is set to serve_anyway.
    (daemon,) = make_daemons(make_backend().server_port)
    (pool,) = tables.pools
    changed_pool = msgspec.structs.replace(
        pool, when_zones_out=WhenZonesOut.SERVE_ANYWAY
    )
    put_tables_in_force(daemon, tables, pools=(changed_pool,), zones_out=("zone-a",))
    assert send(daemon).status == 200


def test_restarted_backend_server_gets_requests_again(make_backend, make_daemons):
    # Guards against an endpoint that stays down, because a down endpoint gets no
    # requests: its owner must notice within 5 s that the backend server accepts
    # connections again.
    backend = make_backend()
    (daemon,) = make_daemons(backend.server_port)
    backend.shutdown()
    backend.server_close()
    assert send(daemon).json()["code"] == RefusalCode.NO_ENDPOINT
    wait_until(lambda: daemon.load.current.state == "down")
    port = backend.server_port
    restarted = make_backend(port=port)
    wait_until(lambda: daemon.load.current.state == "cold")
    assert send(daemon).data == str(restarted.server_port).encode()


def test_request_cancelled_by_its_ingress_is_not_executed(make_backend, make_daemons):
    # Guards against executing stale requests after a pause of the owner: a request
    # waits in the socket until its ingress abandons it and closes the connection.
    backend = make_backend()
    (daemon,) = make_daemons(backend.server_port)
    ours, theirs = socket.socketpair()
    theirs.close()
    request = DispatchRequest(
        request_id="r1",
        pool="catalog",
        method="GET",
        target="/",
        headers=[],
        body=b"",
        remaining_ms=5_000,
        attempt=1,
        priority=5,
        idempotent=True,
        revision=1,
    )
    with ours:
        reply = daemon.owner.dispatch(request, Cancellation(sock=ours))
    assert (reply.refusal_code, reply.outcome) == ("cancelled", "not_run")
    assert backend.requests == []
    assert send(daemon).status == 200


def make_request(path="/poison"):
    return CallerRequest(
        request_id="r1",
        method="GET",
        target=path,
        path=path,
        host="a",
        headers=[],
        body=b"",
        timeout_ms=None,
        attempt=1,
        idempotency_key=None,
        received_at_ms=0.0,
        is_cancelled=lambda: False,
    )


def test_strikes_of_two_daemons_quarantine_a_request():
    # Guards against a crashing request that is not quarantined because different
    # daemons recorded its strikes, and against a quarantine that never ends: two
    # strikes must quarantine it at both daemons, for ten minutes.
    clock = ManualClock()
    sent_by_one, sent_by_other = [], []
    one = Quarantine(clock=clock, share=sent_by_one.append)
    other = Quarantine(clock=clock, share=sent_by_other.append)
    one.record_crash(make_request(), "e1")
    other.receive(sent_by_one[0])
    assert not other.contains(make_request())
    other.record_crash(make_request(), "e2")
    one.receive(sent_by_other[0])
    one.receive(sent_by_other[0])
    assert one.contains(make_request())
    assert other.contains(make_request())
    assert not one.contains(make_request("/other"))
    clock.advance(600_000)
    assert not one.contains(make_request())


def test_strike_fits_into_membership_messages_at_any_address():
    # Guards against strikes that membership drops because fingerprint and id exceed 256
    # characters, when the instance name contains a long IPv6 address.
    shared = []
    quarantine = Quarantine(clock=ManualClock(), share=shared.append)
    address = "[2001:db8:1111:2222:3333:4444:5555:6666]:65535"
    request = dataclasses.replace(make_request(), request_id=uuid.uuid4().hex)
    quarantine.record_crash(request, f"{address}/1796372440489")
    own = membership.MemberRecord(
        instance=f"{address}/1796372440489",
        zone="a",
        region="r",
        service="s",
        inner_address=address,
        gossip_address=address,
        state=membership.MemberState.JOINING,
        version=1,
        slots=1,
    )
    state = membership.make_state(own=own, rng=random.Random(1), now_ms=0.0)
    membership.handle(state, membership.StrikeRecorded(now_ms=0.0, strike=shared[0]))
    assert list(state.strikes_by_id.values()) == shared


def test_request_of_a_disconnected_caller_is_not_executed():
    # Guards against executing requests whose callers disconnected while this daemon was
    # paused.
    def attempt(*_):
        raise AssertionError("the request was dispatched")

    routed = RoutedRequest(
        request=dataclasses.replace(make_request(), is_cancelled=lambda: True),
        pool="catalog",
        priority=5,
        deadline_ms=1_000.0,
        idempotent=True,
        revision=1,
    )
    result = make_retrier(attempt=attempt, clock=ManualClock())(routed)
    assert (result.code, result.outcome) == ("cancelled", "not_run")


def test_quarantined_request_is_refused_before_its_execution(
    make_backend, make_daemons
):
    # Guards against a request path that does not check the quarantine: a request with
    # two strikes must be refused and must not reach the backend server.
    backend = make_backend()
    (daemon,) = make_daemons(backend.server_port)
    # The caller addresses the daemon by IP address, which the fingerprint leaves out.
    fingerprint = compute_fingerprint(method="GET", host="", target="/poison", body=b"")
    at_ms = int(time.time() * 1000)
    for strike_id in ("s1", "s2"):
        strike = membership.Strike(
            fingerprint=fingerprint, strike_id=strike_id, at_ms=at_ms
        )
        daemon.quarantine.receive(strike)
    response = send(daemon, path="/poison")
    assert (response.status, response.json()["code"]) == (503, "quarantined")
    assert "/poison" not in [path for _, path, _ in backend.requests]
