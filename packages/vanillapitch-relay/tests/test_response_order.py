"""Responses that are hard to write, and the order of those behind them."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from vanillapitch_relay import http_server
from vanillapitch_relay.configuration_state import _INITIAL_LIMITS
from vanillapitch_relay.exceptions import RelayError
from vanillapitch_relay.http_client import HttpResponse
from vanillapitch_relay.http_server import CallerConnection
from vanillapitch_testbed import transport as testbed
from vanillapitch_testbed.platform_standins import read_pipelined, send_pipelined

ID = b"x-vanillapitch-attempt-id"


def serve(respond, *, count=3):
    """Return what the server writes for pipelined requests, and its state."""

    async def handle(request, arrived_ms, host):
        return await respond(request.target)

    state = testbed.make_server_state(handle, limits=_INITIAL_LIMITS)
    requests = b"".join(
        b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % number for number in range(count)
    )
    return testbed.run_protocol(lambda: CallerConnection(state=state), requests), state


@pytest.mark.parametrize("spoiled", [1, 3])
def test_a_spoiled_phrase_takes_no_response_from_its_place(run_fleet, spoiled):
    # Guards against callers that get the answers to other requests, because the answer
    # before them has a byte above 127 in its reason phrase and cannot be written.
    async def scenario(fleet):
        faults = fleet.vms[2].endpoint.faults
        faults.response, faults.count = "high_phrase", spoiled
        reader, writer = await send_pipelined(
            fleet.vms[0].settings.caller_address,
            [f"/stock/p?work_ms={10 + 40 * n}" for n in range(3)],
            deadline_ms=2_000,
        )
        responses = [await read_pipelined(reader) for _ in range(3)]
        writer.close()
        return responses

    assert run_fleet(scenario) == [
        (200, f"p{n}", f"answer to p{n}".encode() * 10) for n in range(3)
    ]


def test_a_response_that_cannot_be_written_is_one_true_failure():
    # Guards against a response whose encoding fails: its caller gets none, and the next
    # response is taken for it. 502 does not state that the request was not executed.
    async def respond(target):
        phrase = "\u20ac" if target == "/1" else "OK"
        return HttpResponse(status=200, phrase=phrase, headers=[], body=target.encode())

    transport, state = serve(respond)
    first, second, third = transport.written.split(b"HTTP/1.1 ")[1:]
    assert first.endswith(b"/0")
    assert second.startswith(b"502 ")
    assert second.endswith(b'{"code":"answer_invalid"}')
    assert third.endswith(b"/2")
    assert state.unwritable_responses == 1


def test_no_response_follows_one_that_was_lost(monkeypatch):
    # Guards against later responses in the place of one that an unexpected error lost,
    # whatever the error is.
    strip = http_server.strip_hop_headers
    calls = []

    def break_from_the_second(headers):
        calls.append(headers)
        if len(calls) in (2, 3):
            raise RuntimeError("an unexpected error")
        return strip(headers)

    async def respond(target):
        return HttpResponse(status=200, phrase="OK", headers=[], body=target.encode())

    monkeypatch.setattr(http_server, "strip_hop_headers", break_from_the_second)
    transport, _ = serve(respond)
    assert transport.written.endswith(b"/0")
    assert transport.closing


@settings(max_examples=300, deadline=None)
@given(
    phrase=st.binary(max_size=12),
    value=st.binary(max_size=12),
    status=st.integers(100, 999),
    body=st.binary(max_size=20),
)
def test_what_the_client_reads_the_server_writes(phrase, value, status, body):
    # Guards against a response that the reading side accepts and the writing side does
    # not: the caller must get it, or one failure in its place, and then the next one.
    raw = b"HTTP/1.1 %d %s\r\n%s: 1\r\nX-Any: %s\r\nContent-Length: %d\r\n\r\n%s" % (
        (status, phrase, ID, value, len(body), body)
    )

    async def respond(target):
        connection = testbed.make_client()
        exchange = await testbed.start_exchange(connection)
        connection.data_received(raw)
        connection.connection_lost(None)
        try:
            return await exchange
        except RelayError:
            return HttpResponse(status=502, phrase="Bad", headers=[], body=b"broken")

    transport, _ = serve(respond, count=2)
    heads = [
        part for part in transport.written.split(b"HTTP/1.1 ") if part[:3].isdigit()
    ]
    assert len(heads) >= 2
    assert {int(head[:3]) for head in heads} <= {status, 502}
    assert not transport.closing
