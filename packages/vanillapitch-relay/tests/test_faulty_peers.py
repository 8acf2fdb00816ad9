"""Faults of endpoints, callers and peers that other operators reported."""

import asyncio
import dataclasses

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from vanillapitch_relay.breaker import STUCK_REQUESTS, Breaker
from vanillapitch_relay.exceptions import (
    ConnectionBroken,
    RelayError,
    ResponseInvalid,
)
from vanillapitch_testbed.platform_standins import send_request
from vanillapitch_testbed.transport import make_client, start_exchange
from vanillapitch_wire.relay import (
    PROTOCOL_VERSION,
    Call,
    Cancel,
    Departure,
    EndpointReport,
    FrameDecoder,
    FrameInvalid,
    HeaderField,
    Hello,
    MemberInfo,
    Members,
    MembersRequest,
    Ping,
    Pong,
    Reply,
    Snapshot,
    SnapshotRequest,
    Strike,
    encode_frame,
)


@pytest.mark.parametrize("has_id", [True, False])
def test_a_repeated_refusal_never_refuses_the_next_request(run_fleet, has_id):
    # Guards against a second copy of an earlier refusal on a kept connection that is
    # taken for the refusal of the next request: its caller would be told that it was
    # not executed, or a second endpoint would execute it.
    async def scenario(fleet):
        faults = fleet.vms[2].endpoint.faults
        faults.response, faults.count = "shed", 1
        faults.refusals_have_ids = has_id
        refused = await fleet.call("/stock-once/a", method="POST")
        faults.response, faults.count = "refusal_again", 1
        response = await fleet.call("/stock-once/b?work_ms=60", method="POST")
        return refused.status, response, fleet.executions("/stock-once/")

    refused, response, executions = run_fleet(scenario)
    assert refused == 503
    assert [item.target for item in executions] == ["/stock-once/b?work_ms=60"]
    if has_id:
        assert response.body == f"answer to {response.request_id}".encode() * 10
    assert response.status == (200 if has_id else 502)


def test_a_late_copy_of_a_response_is_not_the_next_response(run_fleet):
    # Guards against a caller that gets the response to another request, because an
    # endpoint writes a second copy on a connection that is in use again.
    async def scenario(fleet):
        faults = fleet.vms[2].endpoint.faults
        faults.response, faults.count = "copy_later", 4
        return [await fleet.call(f"/stock/{n}?work_ms=50") for n in range(6)]

    for response in run_fleet(scenario):
        assert response.status == 200
        assert response.body == f"answer to {response.request_id}".encode() * 10


@pytest.mark.parametrize("fault", ["truncated", "unframed_reset"])
def test_a_response_that_breaks_off_is_no_success(run_fleet, fault):
    # Guards against the first half of a response that reaches the caller as complete.
    async def scenario(fleet):
        fleet.vms[2].endpoint.faults.response = fault
        return await fleet.call("/stock-once/a", method="POST")

    assert run_fleet(scenario).status == 502


@pytest.mark.parametrize(
    "fault",
    ["endless_head", "endless_body", "endless_chunks", "endless_informational"],
)
def test_bytes_without_end_are_dropped(run_fleet, fault):
    # Guards against an endpoint that fills the daemon's memory or holds its loop with
    # bytes that never end. The connection must be dropped before the deadline (8 s),
    # the request must not be repeated, and another service must be served meanwhile.
    async def scenario(fleet):
        vm = fleet.vms[2]
        vm.endpoint.faults.response, vm.endpoint.faults.count = fault, 1
        call = asyncio.create_task(
            fleet.call("/stock-once/a", method="POST", deadline_ms=8_000)
        )
        await fleet.wait_until(lambda: fleet.executions("/stock-once/"))
        others = [await fleet.call(f"/shop/{n}", deadline_ms=4_000) for n in range(3)]
        response = await call
        held_bytes = vm.daemon._owner.parts.pool.budget.held_bytes
        after = await fleet.call("/stock/b")
        return response, others, held_bytes, after, fleet.executions("/stock-once/")

    response, others, held_bytes, after, executions = run_fleet(scenario, timeout_s=9.0)
    assert (response.status, response.body) == (502, b'{"code":"answer_invalid"}')
    assert [item.status for item in others] == [200] * 3
    assert held_bytes == 0
    assert after.status == 200
    assert len(executions) == 1


@pytest.mark.parametrize("cold", ["1e999", "nan", "-5", "€".encode().decode("latin-1")])
def test_an_invalid_cold_time_ends_no_task(run_fleet, cold):
    # Guards against a header of a health check that ends the daemon: an infinite cold
    # time cannot be logged or rounded.
    async def scenario(fleet):
        vm = fleet.vms[2]
        vm.endpoint.faults.health_headers = {"X-Vanillapitch-Cold-Remaining-Ms": cold}
        vm.daemon._request_health_check()
        await asyncio.sleep(0.3)
        return await fleet.call("/stock/a"), vm.daemon.endpoint_state

    response, state = run_fleet(scenario)
    assert (response.status, state) == (200, "ready")


def test_an_unexpected_error_ends_no_daemon(run_fleet):
    # Guards against an error in one task of a daemon that stops its process.
    async def scenario(fleet):
        daemon = fleet.vms[2].daemon
        check = daemon._monitor._check

        async def break_once():
            daemon._monitor._check = check
            raise RuntimeError("an unexpected error")

        daemon._monitor._check = break_once
        await asyncio.sleep(2.0)
        state = await send_request(
            fleet.vms[2].settings.ready_address, "/api/readiness"
        )
        return state.status, await fleet.call("/stock/a"), daemon._monitor._check

    status, response, _ = run_fleet(scenario)
    assert (status, response.status) == (200, 200)


def test_a_call_that_breaks_its_owner_fails_alone(run_fleet):
    # Guards against a malformed call that ends the connection of its ingress, and with
    # it the other calls on it.
    async def scenario(fleet):
        link = fleet.vms[0].daemon._hub.links_by_node["vm-3"]
        other = asyncio.create_task(
            fleet.call("/stock-once/a?work_ms=200", method="POST")
        )
        await fleet.wait_until(lambda: fleet.executions("/stock-once/"))
        reply = await link.call(make_call(text="€"))
        return reply.ending, (await other).status

    assert run_fleet(scenario) == ("failed", 200)


def make_call(*, text="a", number=500):
    return Call(
        id=1,
        request_id=text,
        service_name="stock",
        method="GET",
        target="/stock/a",
        headers=[HeaderField(name="x-a", value=text)],
        body=b"",
        remaining_ms=number,
        objective_ms=number,
        priority=1,
        idempotent=True,
        fingerprint=text,
        route_name=text,
        has_alternative=False,
    )


I32 = st.sampled_from([-(2**31), -1, 0, 1, 500, 2**31 - 1])
I64 = st.sampled_from([-(2**63), -1, 0, 1, 2**63 - 1])
TEXT = st.sampled_from(["", "vm-2", "a", "ready", "€", "x" * 500, "127.0.0.1:1", ":"])
REPORTS = st.builds(
    EndpointReport,
    state=TEXT,
    instance=TEXT,
    in_flight=I32,
    waiting=I32,
    limit=I32,
    speed_percent=I32,
    failure_percent=I32,
    revision=st.integers(-5, 5),
    latency_ms=st.sampled_from([0.0, -1.0, float("inf"), float("nan")]),
)
STRIKES = st.builds(Strike, id=TEXT, fingerprint=TEXT, age_ms=I32)
MEMBERS = st.builds(
    MemberInfo,
    node=TEXT,
    address=TEXT,
    service_name=TEXT,
    zone=TEXT,
    introducer=st.booleans(),
)
MESSAGES = st.one_of(
    st.builds(
        Hello,
        protocol=st.sampled_from([PROTOCOL_VERSION, 0, -1]),
        member=MEMBERS,
        report=REPORTS,
        strikes=st.lists(STRIKES, max_size=2),
        store_reachable=st.booleans(),
    ),
    st.builds(make_call, text=TEXT, number=I32),
    st.builds(
        Reply,
        id=I64,
        ending=TEXT,
        reason=TEXT,
        status=I32,
        phrase=TEXT,
        headers=st.just([]),
        body=st.binary(max_size=5),
        report=REPORTS,
    ),
    st.builds(Cancel, id=I64),
    st.builds(Ping, number=I64, revision=st.integers(-5, 5)),
    st.builds(Pong, number=I64, report=REPORTS, store_reachable=st.booleans()),
    REPORTS,
    STRIKES,
    st.builds(SnapshotRequest, newer_than=I64),
    st.builds(MembersRequest),
    st.builds(Members, members=st.lists(MEMBERS, max_size=3)),
    st.builds(Departure, node=TEXT, instance=TEXT, born_ms=I64, stored_ms=I64),
    st.builds(
        Snapshot,
        read_revision=st.integers(-5, 5),
        changed_revision=st.integers(-5, 5),
        configuration=st.binary(max_size=20),
        zones_out=st.lists(TEXT, max_size=2),
    ),
)


def fuzz(examples):
    return settings(
        max_examples=examples,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )


async def send_bytes(address, data):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    await asyncio.sleep(0.002)
    writer.transport.abort()


HTTP_PARTS = st.sampled_from(
    [
        b"GET /shop/a HTTP/1.1\r\n",
        b"POST /stock/a HTTP/1.1\r\n",
        b"Host: shop.example\r\n",
    ]
    + [b"Content-Length: 5\r\n", b"Content-Length: -1\r\n", b"\r\n", b"\x00\xff", b"\r"]
    + [b"Transfer-Encoding: chunked\r\n", b"5\r\nabcde\r\n", b"0\r\n\r\n", b"HTTP/9.9"]
    + [b"X-Vanillapitch-Attempt-Id: a\r\n", b"X-Vanillapitch-Deadline-Ms: 9\r\n"]
    + [b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 100 Go\r\n\r\n", b"Connection: close\r\n"]
)
HTTP_BYTES = st.lists(HTTP_PARTS, max_size=9).map(b"".join)
FRAME_BYTES = st.one_of(
    st.lists(MESSAGES, min_size=1, max_size=3).map(
        lambda messages: b"".join(encode_frame(message) for message in messages)
    ),
    st.binary(max_size=40),
    st.builds(
        lambda message, end: encode_frame(message)[:end], MESSAGES, st.integers(0, 60)
    ),
)


@pytest.mark.parametrize(
    ("listener", "strategy"),
    [
        ("caller_address", HTTP_BYTES),
        ("announce_address", HTTP_BYTES),
        ("ready_address", HTTP_BYTES),
        ("peer_address", FRAME_BYTES),
    ],
)
def test_random_bytes_at_a_listener_end_no_daemon(
    run_fleet, draw_examples, listener, strategy
):
    # Guards against a malformed message that stops a daemon, breaks its links to others
    # or changes what they report.
    messages = draw_examples(strategy, 150)

    async def scenario(fleet):
        vm = fleet.vms[0]
        for message in messages:
            await send_bytes(getattr(vm.settings, listener), message)
        tasks = vm.daemon._tasks
        assert not any(task.done() for task in tasks)
        return [await fleet.call(f"/{name}/end") for name in ("shop", "stock")]

    assert [response.status for response in run_fleet(scenario)] == [200, 200]


@fuzz(400)
@given(data=FRAME_BYTES)
def test_random_frames_are_decoded_or_refused(data):
    # Guards against bytes of a peer that raise an undeclared error.
    try:
        FrameDecoder().feed(data)
    except FrameInvalid:
        return


@fuzz(400)
@given(data=HTTP_BYTES, cut=st.integers(0, 200))
def test_random_responses_are_decoded_or_refused(data, cut):
    # Guards against bytes of an endpoint that raise an undeclared error, leave a
    # request without an end, or are taken for its response without its id.
    async def exchange():
        connection = make_client()
        task = await start_exchange(connection)
        for part in (data[:cut], data[cut:]):
            if part and not task.done():
                connection.data_received(part)
        connection.eof_received()
        connection.connection_lost(None)
        return await task

    try:
        response = asyncio.run(asyncio.wait_for(exchange(), 2))
    except RelayError:
        return
    assert response.status >= 300


def test_a_replaced_endpoint_starts_with_a_closed_breaker():
    # Guards against a new endpoint that gets one request at a time, because requests to
    # the one before it are still unanswered.
    breaker = Breaker()
    for number in range(STUCK_REQUESTS):
        breaker.start(number, now_ms=0.0)
    assert breaker.is_open(typical_ms=10.0, now_ms=5_000.0)
    breaker.reset()
    assert not breaker.is_open(typical_ms=10.0, now_ms=5_000.0)


def test_a_refused_configuration_changes_nothing(run_fleet):
    # Guards against an invalid configuration that is announced to peers as a change and
    # logged as being in force.
    async def scenario(fleet):
        state = fleet.vms[0].daemon._configuration
        before = dataclasses.asdict(state.configuration), state.changed_revision
        fleet.store.put("op/config", b'{"version": "00000009"}')
        await asyncio.sleep(0.5)
        after = dataclasses.asdict(state.configuration), state.changed_revision
        revision = fleet.configure()
        await fleet.wait_until(lambda: state.changed_revision == revision)
        return before == after

    assert run_fleet(scenario)


def _encode_ok(request_id, framing, body):
    head = f"HTTP/1.1 200 OK\r\nX-Vanillapitch-Attempt-Id: {request_id}\r\n"
    return f"{head}{framing}\r\n\r\n{body}".encode()


WITH_LENGTH = _encode_ok("1", "Content-Length: 5", "hello")
CUT_RESPONSES = {
    "length": WITH_LENGTH,
    "until_close": _encode_ok("1", "Connection: close", "hello"),
    "informational": b"HTTP/1.1 103 Early\r\nX-A: 1\r\n\r\n" + WITH_LENGTH,
    "stale": _encode_ok("0", "Content-Length: 2", "no") + WITH_LENGTH,
}


@pytest.mark.parametrize("kind", CUT_RESPONSES)
@pytest.mark.parametrize("is_reused", [False, True])
def test_a_response_that_ends_in_its_head_is_no_success(kind, is_reused):
    # Guards against a success with an empty or short body that is framed as complete,
    # because the endpoint closed the connection in the middle of the head.
    data = CUT_RESPONSES[kind]

    async def exchange(length):
        connection = make_client()
        for part in [WITH_LENGTH] * is_reused + [data[:length]]:
            task = await start_exchange(connection)
            connection.data_received(part)
            if part is not WITH_LENGTH:
                connection.eof_received()
                connection.connection_lost(None)
            response = await task
        return response

    for length in range(1, data.rindex(b"\r\n\r\n") + 4):
        with pytest.raises((ConnectionBroken, ResponseInvalid)):
            asyncio.run(exchange(length))
    response = asyncio.run(exchange(len(data)))
    assert (response.status, response.body) == (200, b"hello")
