"""Responses of endpoints that end in the middle of their head."""

import asyncio

import pytest
from vanillapitch_relay.exceptions import ConnectionBroken, ResponseInvalid
from vanillapitch_relay.http_client import HttpRequest, open_connection

HEADS = {
    "length": (
        b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nhello"
    ),
    "until_close": (
        b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nConnection: close\r\n\r\nhello"
    ),
    "informational": (
        b"HTTP/1.1 103 Early\r\nX-A: 1\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\nhello"
    ),
    "stale": (
        b"HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nno"
        b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\nhello"
    ),
}


@pytest.mark.parametrize("kind", HEADS)
@pytest.mark.parametrize("reused", [False, True])
def test_a_response_that_ends_in_its_head_is_no_success(kind, reused):
    # Guards against a success with an empty or short body that is framed as complete,
    # because the endpoint closed the connection in the middle of the head.
    data = HEADS[kind]
    last_head_end = data.rindex(b"\r\n\r\n") + 4
    lengths = [*range(1, last_head_end), len(data)]
    whole = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok"

    async def exchange_all():
        cuts = iter(lengths)

        async def serve(reader, writer):
            if reused:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(whole)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data[: next(cuts)])
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        request = HttpRequest(
            method="GET", target="/", headers=[(b"host", b"h")], request_id=b"r1"
        )
        outcomes = []
        for _ in lengths:
            connection = await open_connection(
                address, timeout_ms=1_000, echo_header=b"x-id"
            )
            if reused:
                assert (await connection.exchange(request)).body == b"ok"
            try:
                outcomes.append(await connection.exchange(request))
            except (ConnectionBroken, ResponseInvalid) as error:
                outcomes.append(error)
            connection.close()
        server.close()
        return outcomes

    *outcomes, complete = asyncio.run(asyncio.wait_for(exchange_all(), 20))
    assert (complete.status, complete.body) == (200, b"hello")
    assert not [outcome for outcome in outcomes if not isinstance(outcome, Exception)]
