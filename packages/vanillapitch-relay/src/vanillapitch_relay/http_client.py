"""HTTP/1.1 connections to the endpoint on this VM and to the platform's store.

A connection carries one exchange at a time. A response to an earlier request is
skipped, and a connection on which requests and responses may no longer match is not
reused.
"""

import asyncio
import dataclasses

import h11

from vanillapitch_relay.body_budget import BodyBudget
from vanillapitch_relay.documents import parse_address
from vanillapitch_relay.exceptions import (
    ConnectFailed,
    ConnectionBroken,
    RelayError,
    ResponseInvalid,
)
from vanillapitch_relay.parse_turns import EVENTS_PER_TURN, ParseTurns

__all__ = [
    "Headers",
    "HttpResponse",
    "HttpConnection",
    "HttpRequest",
    "find_header",
    "open_connection",
]

Headers = list[tuple[bytes, bytes]]

MAX_HEAD_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# A faulty server may send parts of a body and informational responses without end.
MAX_BODY_PARTS = 16_384
MAX_INFORMATIONAL = 8
# Late responses to earlier requests that are skipped before the connection is closed.
MAX_STALE_RESPONSES = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """A request with its complete body.

    Attributes
    ----------
    method, target : str
        Method, and path with query.
    headers : Headers
        All headers except the length of the body.
    body : bytes
        The body.
    request_id : bytes
        Value that the response must echo, or empty if none is required.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b""
    request_id: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """A complete response."""

    status: int
    phrase: str
    headers: Headers
    body: bytes


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with this lower-case name, or None."""
    for header, value in headers:
        if header == name:
            return value
    return None


async def open_connection(
    address: str,
    *,
    timeout_ms: float,
    echo_header: bytes = b"",
    budget: BodyBudget | None = None,
    turns: ParseTurns | None = None,
) -> "HttpConnection":
    """Connect to an HTTP server.

    Parameters
    ----------
    address : str
        ``host:port``.
    timeout_ms : float
        Connect time-out in milliseconds.
    echo_header : bytes
        Header in which responses echo the id of their request, or empty.
    budget : BodyBudget or None
        Bounds the bytes of responses over several connections; None for one of its own.
    turns : ParseTurns or None
        Shares the event loop with other connections; None for one of its own.

    Returns
    -------
    HttpConnection
        The connection.

    Raises
    ------
    ConnectFailed
        If the connection was not established in time.
    """
    loop = asyncio.get_running_loop()
    try:
        host, port = parse_address(address)
        async with asyncio.timeout(timeout_ms / 1_000.0):
            _, connection = await loop.create_connection(
                lambda: HttpConnection(
                    echo_header=echo_header, budget=budget, turns=turns
                ),
                host,
                port,
            )
    except (OSError, TimeoutError, ValueError) as error:
        raise ConnectFailed(f"{address}: {error or 'timed out'}") from error
    return connection


class HttpConnection(asyncio.Protocol):
    """A client connection that carries one exchange after the other.

    Parameters
    ----------
    echo_header : bytes
        Header in which responses echo the id of their request, or empty.
    budget : BodyBudget or None
        Bounds the bytes of responses over several connections; None for one of its own.
    turns : ParseTurns or None
        Shares the event loop with other connections; None for one of its own.
    """

    def __init__(
        self,
        *,
        echo_header: bytes = b"",
        budget: BodyBudget | None = None,
        turns: ParseTurns | None = None,
    ):
        self.idle_since_ms = 0.0
        self.keep_alive_ms: float | None = None
        self._echo_header = echo_header
        self._transport: asyncio.Transport | None = None
        self._parser = h11.Connection(h11.CLIENT)
        self._waiter: asyncio.Future[HttpResponse] | None = None
        self._request: HttpRequest | None = None
        self._response_head: h11.Response | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._budget = budget or BodyBudget(limit_bytes=MAX_RESPONSE_BYTES)
        self._turns = turns or ParseTurns()
        self._awaits_turn = False
        self._lost_reason: ConnectionBroken | None = None
        self._exchanges = 0
        self._informational = 0
        self._stale_responses = 0
        self._usable = True
        self._has_received = False

    @property
    def is_usable(self) -> bool:
        """Whether another exchange may start."""
        transport = self._transport
        return (
            self._usable
            and self._waiter is None
            and transport is not None
            and not transport.is_closing()
        )

    async def exchange(self, request: HttpRequest) -> HttpResponse:
        """Send a request and wait for its response; cancelling closes the connection.

        Parameters
        ----------
        request : HttpRequest
            The request.

        Returns
        -------
        HttpResponse
            The complete response.

        Raises
        ------
        ConnectionBroken
            If the connection was closed before the response was complete.
        ResponseInvalid
            If the bytes received are not a response to this request.
        """
        if not self.is_usable:
            raise ConnectionBroken("the connection was closed before the request")
        self._waiter = asyncio.get_running_loop().create_future()
        self._request = request
        self._stale_responses = 0
        self._informational = 0
        self._exchanges += 1
        self._has_received = False
        self._start_cycle()
        self._transport.write(self._encode(request))
        try:
            return await self._waiter
        finally:
            if not self._waiter.done() or self._waiter.cancelled():
                self.close()
            self._waiter = None
            self._release_body()

    def close(self) -> None:
        """Abort the connection and discard buffered bytes."""
        self._usable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser."""
        if not self._is_waiting:
            # No request is pending, so these bytes belong to none.
            self.close()
            return
        self._has_received = True
        self._feed(data)

    def eof_received(self) -> bool:
        """End a response that has no length, as the end of the stream delimits it."""
        if self._is_waiting:
            self._usable = False
            if self._response_head is not None:
                self._feed(b"")
        # If no response head was received, `connection_lost` fails the exchange.
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the pending exchange."""
        self._usable = False
        reason = "reset" if error is not None else "closed"
        if self._has_received:
            reason += " while the response was received"
        self._lost_reason = ConnectionBroken(f"the connection was {reason}")
        # Bytes that wait for a turn may complete the response.
        if not self._awaits_turn:
            self._fail(self._lost_reason)

    def _start_cycle(self) -> None:
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._response_head = None
        self._release_body()

    def _release_body(self) -> None:
        self._budget.release(self._body_bytes)
        self._body = []
        self._body_bytes = 0

    def _encode(self, request: HttpRequest) -> bytes:
        headers = list(request.headers)
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        event = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [self._parser.send(event)]
        if request.body:
            parts.append(self._parser.send(h11.Data(data=request.body)))
        parts.append(self._parser.send(h11.EndOfMessage()) or b"")
        return b"".join(parts)

    def _feed(self, data: bytes) -> None:
        self._parser.receive_data(data)
        if not self._awaits_turn and self._read_events():
            self._awaits_turn = True
            self._transport.pause_reading()
            self._turns.add(self._take_turn, abort=self.close)

    def _take_turn(self) -> bool:
        """Process more events; return whether another turn is needed."""
        self._awaits_turn = False
        if self._read_events():
            self._awaits_turn = True
            return True
        self._transport.resume_reading()
        if self._lost_reason is not None:
            self._fail(self._lost_reason)
        return False

    def _read_events(self) -> bool:
        """Process the events of one turn; return whether another turn is needed."""
        for _ in range(EVENTS_PER_TURN):
            if not self._is_waiting:
                return False
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(ResponseInvalid(f"not a valid HTTP response: {error}"))
                self.close()
                return False
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return False
            self._process(event)
        return self._is_waiting

    @property
    def _is_waiting(self) -> bool:
        """Whether the response of the pending exchange is incomplete."""
        return self._waiter is not None and not self._waiter.done()

    def _process(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            self._response_head = event
        elif isinstance(event, h11.InformationalResponse):
            self._count_informational()
        elif isinstance(event, h11.Data):
            self._add_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._complete()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(ConnectionBroken("the connection was closed"))

    def _add_body(self, data: bytes) -> None:
        is_too_large = (
            len(self._body) >= MAX_BODY_PARTS
            or self._body_bytes + len(data) > MAX_RESPONSE_BYTES
        )
        if is_too_large or not self._budget.acquire(len(data)):
            self._fail(ResponseInvalid("the response body is too large"))
            self.close()
            return
        self._body.append(data)
        self._body_bytes += len(data)

    def _count_informational(self) -> None:
        self._informational += 1
        if self._informational > MAX_INFORMATIONAL:
            self._fail(ResponseInvalid("too many informational responses"))
            self.close()

    def _complete(self) -> None:
        headers = [
            (bytes(name), bytes(value)) for name, value in self._response_head.headers
        ]
        expected = self._request.request_id
        echoed = find_header(headers, self._echo_header) if self._echo_header else None
        if expected and echoed is not None and echoed != expected:
            self._skip_stale_response()
            return
        self._update_reusability(headers)
        response = HttpResponse(
            status=self._response_head.status_code,
            phrase=self._response_head.reason.decode("latin-1"),
            headers=headers,
            body=b"".join(self._body),
        )
        # A response without an id may be the second copy of one to an earlier request,
        # so only the first response on a connection may be a refusal without one.
        is_ambiguous = response.status < 300 or self._exchanges > 1
        if expected and echoed is None and is_ambiguous:
            self._fail(ResponseInvalid("the response does not echo the request id"))
            self.close()
            return
        self._waiter.set_result(response)

    def _skip_stale_response(self) -> None:
        """Drop a late response to an earlier request and wait for the next one."""
        self._stale_responses += 1
        rest, closed = self._parser.trailing_data
        if self._stale_responses > MAX_STALE_RESPONSES or closed:
            self._fail(ResponseInvalid("the response belongs to another request"))
            self.close()
            return
        request = self._request
        self._start_cycle()
        self._encode(request)
        # A surplus response may follow, so the connection is not reused.
        self._usable = False
        if rest:
            # An empty feed would signal the end of the stream.
            self._parser.receive_data(rest)

    def _update_reusability(self, headers: Headers) -> None:
        rest, closed = self._parser.trailing_data
        unsent = self._transport.get_write_buffer_size()
        if rest or closed or unsent or self._parser.their_state is not h11.DONE:
            self._usable = False
        keep_alive = find_header(headers, b"keep-alive")
        if keep_alive is not None:
            self.keep_alive_ms = _parse_keep_alive(keep_alive)

    def _fail(self, error: RelayError) -> None:
        self._usable = False
        if self._is_waiting:
            self._waiter.set_exception(error)


def _parse_keep_alive(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.lower() == b"timeout" and text.strip().isdigit():
            return int(text) * 1_000.0
    return None
