"""Bytes that take long to parse leave the event loop to others."""

import asyncio

import pytest
from vanillapitch_relay.body_budget import BodyBudget
from vanillapitch_relay.configuration_state import _INITIAL_LIMITS
from vanillapitch_relay.http_responses import make_response
from vanillapitch_relay.http_server import CallerConnection
from vanillapitch_relay.parse_turns import ParseTurns
from vanillapitch_testbed import transport

CHUNKS = 4_000
BODY = b"z" * CHUNKS
HEADERS = b"X-Vanillapitch-Attempt-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED = HEADERS + b"1\r\nz\r\n" * CHUNKS + b"0\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\n" + CHUNKED
REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\n" + CHUNKED
CONNECTIONS = 3
# A chunk takes some 20 us, so more in an iteration would hold the loop for over 1 ms.
CHUNKS_PER_ITERATION = 50


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario(), 30))


async def receive_responses():
    turns = ParseTurns()
    connections = [transport.make_client(turns=turns) for _ in range(CONNECTIONS)]
    exchanges = [
        await transport.start_exchange(connection) for connection in connections
    ]
    iterations = transport.count_iterations()
    for connection in connections:
        connection.data_received(RESPONSE)
    # Bytes that arrive meanwhile stay with the sender.
    assert not any(connection._transport.reading for connection in connections)
    responses = await asyncio.gather(*exchanges)
    assert all(connection._transport.reading for connection in connections)
    return len(iterations), [response.body for response in responses]


async def receive_requests():
    bodies = []

    async def handle(request, arrived_ms, host):
        bodies.append(request.body)
        return make_response(200, b"")

    state = transport.make_server_state(handle, limits=_INITIAL_LIMITS)
    iterations = transport.count_iterations()
    for _ in range(CONNECTIONS):
        connection = CallerConnection(state=state)
        connection.connection_made(transport.RecordingTransport())
        connection.data_received(REQUEST)
    while len(bodies) < CONNECTIONS:
        await asyncio.sleep(0)
    return len(iterations), bodies


@pytest.mark.parametrize("receive", [receive_responses, receive_requests])
def test_many_small_chunks_leave_the_loop_to_others(receive):
    # Guards against a server or a caller that sends chunks of one byte and so holds the
    # loop of a daemon, and all other requests, for hundreds of milliseconds.
    iterations, bodies = run(receive)
    assert bodies == [BODY] * CONNECTIONS
    assert iterations >= CONNECTIONS * CHUNKS // CHUNKS_PER_ITERATION


@pytest.mark.parametrize("missing", [0, 1])
def test_a_received_response_outlives_its_connection(missing):
    # Guards against a complete response that is lost because the connection breaks
    # while the bytes wait for their turn, and against one that only looks complete.
    async def receive():
        connection = transport.make_client()
        exchange = await transport.start_exchange(connection)
        connection.data_received(RESPONSE[: len(RESPONSE) - missing])
        connection.connection_lost(None)
        return await asyncio.gather(exchange, return_exceptions=True)

    (result,) = run(receive)
    if missing:
        assert (
            str(result) == "the connection was closed while the response was received"
        )
    else:
        assert result.body == BODY


def test_a_cancelled_exchange_gives_up_its_turns():
    # Guards against a request that was given up and whose response holds memory and
    # turns of the loop.
    async def receive():
        budget, turns = BodyBudget(limit_bytes=1_000_000), ParseTurns()
        connection = transport.make_client(budget=budget, turns=turns)
        exchange = await transport.start_exchange(connection)
        connection.data_received(RESPONSE)
        await asyncio.sleep(0)
        held_bytes = budget.held_bytes
        exchange.cancel()
        await asyncio.wait((exchange,))
        iterations = transport.count_iterations()
        while turns._queue:
            await asyncio.sleep(0)
        return held_bytes, budget.held_bytes, len(iterations), connection.is_usable

    held_before, held_after, iterations, is_usable = run(receive)
    assert held_before > 0
    assert (held_after, is_usable) == (0, False)
    assert iterations < CHUNKS // CHUNKS_PER_ITERATION


def test_an_unexpected_error_in_a_turn_ends_its_connection_alone():
    # Guards against an error whose connection stays open with reading paused, so that
    # its caller waits until the deadline, and against one that ends the others' turns.
    errors = []

    async def receive():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: errors.append(context))
        turns = ParseTurns()
        broken, other = (
            transport.make_client(turns=turns),
            transport.make_client(turns=turns),
        )
        exchanges = [
            await transport.start_exchange(broken),
            await transport.start_exchange(other),
        ]
        for connection in (broken, other):
            connection.data_received(RESPONSE)
        broken._process = None
        while not broken._transport.closing:
            await asyncio.sleep(0)
        broken.connection_lost(None)
        return await asyncio.gather(*exchanges, return_exceptions=True)

    lost, response = run(receive)
    assert str(lost) == "the connection was closed while the response was received"
    assert (response.body, len(errors)) == (BODY, 1)
