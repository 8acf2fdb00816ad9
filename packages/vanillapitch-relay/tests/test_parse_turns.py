"""Bytes that take long to parse leave the event loop to others."""

import asyncio

import pytest
from vanillapitch_core.clock import SystemClock
from vanillapitch_relay.body_budget import BodyBudget
from vanillapitch_relay.configuration_state import _INITIAL_LIMITS
from vanillapitch_relay.http_client import HttpConnection, HttpRequest
from vanillapitch_relay.http_responses import make_response
from vanillapitch_relay.http_server import CallerConnection, ServerState
from vanillapitch_relay.parse_turns import ParseTurns
from vanillapitch_testbed.transport import RecordingTransport

CHUNKS = 4_000
BODY = b"1\r\nz\r\n" * CHUNKS + b"0\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + BODY
REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + BODY
CONNECTIONS = 3
# A chunk takes some 20 us, so more in an iteration would hold the loop for over 1 ms.
CHUNKS_PER_ITERATION = 50


class IterationCounter:
    """Counts the iterations of the event loop."""

    def __init__(self):
        self.count = 0
        self._count_one()

    def _count_one(self):
        self.count += 1
        asyncio.get_running_loop().call_soon(self._count_one)


def start_exchange(**options):
    connection = HttpConnection(**options)
    connection.connection_made(RecordingTransport())
    request = HttpRequest(method="GET", target="/", headers=[(b"host", b"h")])
    return connection, asyncio.ensure_future(connection.exchange(request))


async def receive_responses():
    """Return the loop iterations for responses that come at once, and their bodies."""
    turns = ParseTurns()
    started = [start_exchange(turns=turns) for _ in range(CONNECTIONS)]
    await asyncio.sleep(0)
    iterations = IterationCounter()
    for connection, _ in started:
        connection.data_received(RESPONSE)
    responses = await asyncio.gather(*(exchange for _, exchange in started))
    return iterations.count, [response.body for response in responses]


async def receive_requests():
    """Return the loop iterations for requests that come at once, and their bodies."""
    bodies = []
    is_complete = asyncio.Event()

    async def handle(request, arrived_ms, host):
        bodies.append(request.body)
        if len(bodies) == CONNECTIONS:
            is_complete.set()
        return make_response(200, b"")

    state = ServerState(
        handle=handle,
        limits=lambda: _INITIAL_LIMITS,
        clock=SystemClock(),
        body_budget=BodyBudget(limit_bytes=1_000_000),
    )
    iterations = IterationCounter()
    connections = [CallerConnection(state=state) for _ in range(CONNECTIONS)]
    for connection in connections:
        connection.connection_made(RecordingTransport())
        connection.data_received(REQUEST)
    await is_complete.wait()
    for connection in connections:
        connection.connection_lost(None)
    return iterations.count, bodies


@pytest.mark.parametrize("receive", [receive_responses, receive_requests])
def test_many_small_chunks_leave_the_loop_to_others(receive):
    # Guards against a server or a caller that sends chunks of one byte and so holds the
    # loop of a daemon, and all other requests, for hundreds of milliseconds.
    iterations, bodies = asyncio.run(asyncio.wait_for(receive(), 30))
    assert bodies == [b"z" * CHUNKS] * CONNECTIONS
    assert iterations >= CONNECTIONS * CHUNKS // CHUNKS_PER_ITERATION


@pytest.mark.parametrize("size", [len(RESPONSE), len(RESPONSE) - 1])
def test_a_received_response_outlives_its_connection(size):
    # Guards against a complete response that is lost because the connection breaks
    # while the bytes wait for their turn, and against one that only looks complete.
    async def receive():
        connection, exchange = start_exchange()
        await asyncio.sleep(0)
        connection.data_received(RESPONSE[:size])
        connection.connection_lost(None)
        return await asyncio.gather(exchange, return_exceptions=True)

    (result,) = asyncio.run(asyncio.wait_for(receive(), 30))
    if size == len(RESPONSE):
        assert result.body == b"z" * CHUNKS
    else:
        assert (
            str(result) == "the connection was closed while the response was received"
        )


def test_a_cancelled_exchange_gives_up_its_turns():
    # Guards against a request that was given up and whose response holds memory and
    # turns of the loop, or ends up in the next response of the connection.
    async def receive():
        budget = BodyBudget(limit_bytes=1_000_000)
        turns = ParseTurns()
        connection, exchange = start_exchange(budget=budget, turns=turns)
        await asyncio.sleep(0)
        connection.data_received(RESPONSE)
        await asyncio.sleep(0)
        held_bytes = budget.held_bytes
        exchange.cancel()
        await asyncio.gather(exchange, return_exceptions=True)
        iterations = IterationCounter()
        _, next_exchange = start_exchange(turns=turns)
        while turns._queue:
            await asyncio.sleep(0)
        next_exchange.cancel()
        return held_bytes, budget.held_bytes, iterations.count, connection.is_usable

    held_before, held_after, iterations, is_usable = asyncio.run(receive())
    assert held_before > 0
    assert held_after == 0
    assert iterations < CHUNKS // CHUNKS_PER_ITERATION
    assert not is_usable


def test_an_unexpected_error_in_a_turn_ends_its_connection_alone():
    # Guards against an error whose connection stays open with reading paused, so that
    # its caller waits until the deadline, and against one that ends the others' turns.
    errors = []

    async def receive():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: errors.append(context))
        turns = ParseTurns()
        (broken, first), (other, second) = (
            start_exchange(turns=turns) for _ in range(2)
        )
        await asyncio.sleep(0)
        for connection in (broken, other):
            connection.data_received(RESPONSE)
        broken._process = None
        while not broken._transport.closing:
            await asyncio.sleep(0)
        broken.connection_lost(None)
        return await asyncio.gather(first, second, return_exceptions=True)

    lost, response = asyncio.run(asyncio.wait_for(receive(), 30))
    assert str(lost) == "the connection was closed while the response was received"
    assert response.body == b"z" * CHUNKS
    assert len(errors) == 1
