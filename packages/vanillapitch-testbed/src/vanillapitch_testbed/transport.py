"""Transports of asyncio protocols without sockets."""

import asyncio
from collections.abc import Callable

from vanillapitch_core.clock import SystemClock
from vanillapitch_relay.body_budget import BodyBudget
from vanillapitch_relay.http_client import HttpConnection, HttpRequest, HttpResponse
from vanillapitch_relay.http_server import Handler, ServerState
from vanillapitch_relay.model import ClientLimits

__all__ = [
    "REQUEST",
    "RecordingTransport",
    "count_iterations",
    "make_client",
    "make_server_state",
    "run_protocol",
    "start_exchange",
]

TASKS_TIMEOUT_S = 5.0
BODY_BYTES = 1_000_000
REQUEST = HttpRequest(
    method="GET", target="/", headers=[(b"host", b"h")], request_id=b"1"
)


class RecordingTransport(asyncio.Transport):
    """Transport that keeps what is written.

    Attributes
    ----------
    written : bytes
        All bytes written.
    closing : bool
        Whether it was closed or aborted.
    reading : bool
        Whether the protocol accepts bytes.
    """

    def __init__(self):
        super().__init__()
        self.written = b""
        self.closing = False
        self.reading = True

    def write(self, data: bytes) -> None:
        """Keep the bytes."""
        self.written += data

    def write_eof(self) -> None:
        """Accept the end of the stream."""

    def pause_reading(self) -> None:
        """Accept no bytes."""
        self.reading = False

    def resume_reading(self) -> None:
        """Accept bytes again."""
        self.reading = True

    def is_closing(self) -> bool:
        """Return whether the transport was closed."""
        return self.closing

    def close(self) -> None:
        """Close the transport."""
        self.closing = True

    abort = close

    def get_write_buffer_size(self) -> int:
        """Return 0, since all bytes count as sent."""
        return 0


def run_protocol(
    make_protocol: Callable[[], asyncio.Protocol], data: bytes
) -> RecordingTransport:
    """Deliver bytes to a protocol, let its tasks run and end its connection.

    Parameters
    ----------
    make_protocol : callable
        Creates the protocol; called in the event loop.
    data : bytes
        Bytes to deliver.

    Returns
    -------
    RecordingTransport
        What the protocol wrote.
    """

    async def body() -> RecordingTransport:
        transport = RecordingTransport()
        protocol = make_protocol()
        protocol.connection_made(transport)
        protocol.data_received(data)
        async with asyncio.timeout(TASKS_TIMEOUT_S):
            while len(asyncio.all_tasks()) > 1:
                await asyncio.sleep(0)
        protocol.connection_lost(None)
        return transport

    return asyncio.run(body())


def count_iterations() -> list[int]:
    """Return a list that grows by one entry in each iteration of the event loop."""
    iterations = []

    def count() -> None:
        iterations.append(1)
        asyncio.get_running_loop().call_soon(count)

    count()
    return iterations


def make_client(**options) -> HttpConnection:
    """Return a client connection with a `RecordingTransport`.

    Parameters
    ----------
    **options
        Options of the connection.
    """
    connection = HttpConnection(echo_header=b"x-vanillapitch-attempt-id", **options)
    connection.connection_made(RecordingTransport())
    return connection


async def start_exchange(
    connection: HttpConnection, request: HttpRequest = REQUEST
) -> asyncio.Future[HttpResponse]:
    """Send a request; return the future of its response."""
    exchange = asyncio.ensure_future(connection.exchange(request))
    await asyncio.sleep(0)
    return exchange


def make_server_state(handle: Handler, *, limits: ClientLimits) -> ServerState:
    """Return the state of a listener without sockets.

    Parameters
    ----------
    handle : Handler
        Called with each complete request.
    limits : ClientLimits
        Limits in force.
    """
    return ServerState(
        handle=handle,
        limits=lambda: limits,
        clock=SystemClock(),
        body_budget=BodyBudget(limit_bytes=BODY_BYTES),
    )
