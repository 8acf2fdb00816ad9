"""HTTP/1.1 connections of callers.

Every request has its own parser, so that pipelined requests are handled concurrently
and answered in order.
"""

import asyncio
import collections
import contextlib
import dataclasses
import enum
from collections.abc import Awaitable, Callable, Iterator

import h11
import msgspec
from vanillapitch_core.clock import Clock

from vanillapitch_relay.body_budget import BodyBudget
from vanillapitch_relay.exceptions import RequestInvalid
from vanillapitch_relay.http_client import HttpRequest, HttpResponse, find_header
from vanillapitch_relay.http_responses import make_response, strip_hop_headers
from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.model import ClientLimits
from vanillapitch_relay.parse_turns import EVENTS_PER_TURN, ParseTurns

__all__ = ["CallerConnection", "Handler", "ServerState"]

_log = EventLog(part="server")

# Requests of one connection that may be pending before reading is paused.
MAX_PIPELINED = 32
# After the last response, bytes from the caller are read and discarded for this time.
LINGER_TIMEOUT_MS = 500.0
# A connection whose caller does not read its responses is aborted after this time.
WRITE_TIMEOUT_MS = 10_000.0
Handler = Callable[[HttpRequest, float, str], Awaitable[HttpResponse]]


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerState:
    """State shared by all connections of a listener.

    Attributes
    ----------
    handle : Handler
        Called with each complete request, its arrival time in ms and the caller's host.
    limits : callable
        Returns the client limits in force.
    clock : Clock
        Source of time.
    body_budget : BodyBudget
        Budget of the request bodies in memory.
    turns : ParseTurns
        Shares the event loop between the connections.
    connections : set of CallerConnection
        Open connections.
    stopping : bool
        Whether to close each connection after its next response.
    unwritable_responses : int
        Responses that could not be written and were replaced by 502.
    may_pipeline : callable
        Returns whether a request may be handled before earlier ones of its connection
        are answered.
    """

    handle: Handler
    limits: Callable[[], ClientLimits]
    clock: Clock
    body_budget: BodyBudget
    may_pipeline: Callable[[HttpRequest], bool] = lambda request: True
    turns: ParseTurns = dataclasses.field(default_factory=ParseTurns)
    connections: set["CallerConnection"] = dataclasses.field(default_factory=set)
    stopping: bool = False
    unwritable_responses: int = 0

    def end_reading(self) -> None:
        """Stop reading requests; close each connection after its pending responses."""
        for connection in list(self.connections):
            connection.end_reading()

    def abort_all(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            connection.abort()


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Exchange:
    """A complete request, or a refused one, and its response."""

    parser: h11.Connection
    request: HttpRequest | None
    arrived_ms: float
    close_after: bool
    body_bytes: int
    task: asyncio.Task | None = None
    response: HttpResponse | None = None


class _Progress(enum.Enum):
    """Why the parser stopped."""

    COMPLETE = enum.auto()
    NEEDS_DATA = enum.auto()
    NEEDS_TURN = enum.auto()


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Parameters
    ----------
    state : ServerState
        State shared by the connections of the listener.
    """

    def __init__(self, *, state: ServerState):
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = self._new_parser()
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._exchanges: collections.deque[_Exchange] = collections.deque()
        self._reading_ended = False
        self._closed = False
        self._pipeline_is_full = False
        self._awaits_turn = False
        self._in_message = False
        self._phase_started_ms = state.clock.now_ms()
        self._timer: asyncio.TimerHandle | None = None
        self._pending = b""
        self._peer_host = ""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection."""
        self._transport = transport
        self._peer_host = transport.get_extra_info("peername", ("", 0))[0]
        self._state.connections.add(self)
        self._arm_timer()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the pending requests of the connection."""
        self._closed = True
        self._state.connections.discard(self)
        self._state.body_budget.release(self._body_bytes)
        self._body_bytes = 0
        if self._timer is not None:
            self._timer.cancel()
        self._drop_exchanges()

    def eof_received(self) -> bool:
        """Close the connection; a caller that half-closes it counts as disconnected."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and handle complete requests."""
        if self._reading_ended or self._closed:
            return
        if not self._in_message:
            self._in_message = True
            self._phase_started_ms = self._state.clock.now_ms()
        self._pending += data
        self._parse()

    def end_reading(self) -> None:
        """Stop reading requests; close after the pending responses."""
        self._reading_ended = True
        if not self._exchanges:
            self._close_gracefully()

    def abort(self) -> None:
        """Abort the connection."""
        self._transport.abort()

    @property
    def _is_busy(self) -> bool:
        """Whether a request is being received or handled."""
        return bool(self._exchanges) or self._in_message

    def _new_parser(self) -> h11.Connection:
        limit = self._state.limits().max_header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    def _parse(self) -> None:
        """Parse the received bytes, in later turns too if they take long."""
        if not self._awaits_turn and self._read_requests():
            self._awaits_turn = True
            self._state.turns.add(self._take_turn, abort=self.abort)
        self._update_reading()

    def _take_turn(self) -> bool:
        """Parse more of the received bytes; return whether another turn is needed."""
        self._awaits_turn = self._read_requests()
        self._update_reading()
        return self._awaits_turn

    def _update_reading(self) -> None:
        if self._pipeline_is_full or self._awaits_turn:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _read_requests(self) -> bool:
        """Parse for one turn; return whether another turn is needed."""
        turn = iter(range(EVENTS_PER_TURN))
        while not self._reading_ended and not self._closed:
            if len(self._exchanges) >= MAX_PIPELINED:
                self._pipeline_is_full = True
                return False
            if self._pending:
                data, self._pending = self._pending, b""
                self._parser.receive_data(data)
            try:
                progress = self._read_events(turn)
            except h11.RemoteProtocolError as error:
                self._refuse(str(error), status=error.error_status_hint)
                return False
            except RequestInvalid as error:
                self._refuse(str(error), status=error.status)
                return False
            if progress is not _Progress.COMPLETE:
                return progress is _Progress.NEEDS_TURN
        return False

    def _read_events(self, turn: Iterator[int]) -> _Progress:
        """Process events of the current request until it is complete."""
        for _ in turn:
            event = self._parser.next_event()
            if isinstance(event, h11.Request):
                self._head = event
                self._check_head(event)
                if self._parser.they_are_waiting_for_100_continue:
                    self._send_continue()
            elif isinstance(event, h11.Data):
                self._add_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._finish_request()
                return _Progress.COMPLETE
            else:
                return _Progress.NEEDS_DATA
        return _Progress.NEEDS_TURN

    def _check_head(self, head: h11.Request) -> None:
        names = [bytes(name) for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise RequestInvalid("two lengths of one body", status=400)
        if head.http_version == b"1.0" and b"transfer-encoding" in names:
            raise RequestInvalid("HTTP/1.0 has no transfer encodings", status=400)
        if head.method in (b"CONNECT", b"TRACE"):
            raise RequestInvalid("the method is not supported", status=501)
        if not head.target.startswith(b"/"):
            raise RequestInvalid("the target is not a path", status=400)
        length = find_header(list(head.headers), b"content-length")
        limit = self._state.limits().max_body_bytes
        if length is not None and int(length) > limit:
            raise RequestInvalid("the body is too large", status=413)

    def _send_continue(self) -> None:
        event = h11.InformationalResponse(status_code=100, headers=[])
        if not self._exchanges:
            self._transport.write(self._parser.send(event))

    def _add_body(self, data: bytes) -> None:
        if self._body_bytes + len(data) > self._state.limits().max_body_bytes:
            raise RequestInvalid("the body is too large", status=413)
        if not self._state.body_budget.acquire(len(data)):
            raise RequestInvalid("no memory for another body", status=503)
        self._body.append(data)
        self._body_bytes += len(data)

    def _finish_request(self) -> None:
        head = self._head
        headers = [(bytes(name), bytes(value)) for name, value in head.headers]
        now_ms = self._state.clock.now_ms()
        must_close = self._parser.their_state is h11.MUST_CLOSE
        rest, _ = self._parser.trailing_data
        exchange = _Exchange(
            parser=self._parser,
            request=HttpRequest(
                method=head.method.decode("ascii"),
                target=head.target.decode("latin-1"),
                headers=headers,
                body=b"".join(self._body),
            ),
            arrived_ms=now_ms,
            close_after=must_close,
            body_bytes=self._body_bytes,
        )
        self._head = None
        self._body = []
        self._body_bytes = 0
        self._reading_ended = must_close
        self._parser = self._new_parser()
        self._pending = rest
        self._in_message = bool(rest)
        self._phase_started_ms = now_ms
        self._exchanges.append(exchange)
        self._start_handlers()

    def _start_handlers(self) -> None:
        """Start the first request, and later ones up to the first that must wait."""
        for position, exchange in enumerate(self._exchanges):
            if exchange.task is not None or exchange.response is not None:
                continue
            if position > 0 and not self._state.may_pipeline(exchange.request):
                return
            exchange.task = self._loop.create_task(self._handle(exchange))

    async def _handle(self, exchange: _Exchange) -> None:
        try:
            response = await self._state.handle(
                exchange.request, exchange.arrived_ms, self._peer_host
            )
        except Exception:
            _log.error("request_broke", target=exchange.request.target)
            response = make_response(500, b'{"code":"internal_error"}')
        finally:
            self._release(exchange)
        exchange.response = response
        self._send_responses()

    def _release(self, exchange: _Exchange) -> None:
        self._state.body_budget.release(exchange.body_bytes)
        exchange.body_bytes = 0

    def _drop_exchanges(self) -> None:
        """Cancel and drop all pending requests."""
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
            else:
                self._release(exchange)
        self._exchanges.clear()

    def _send_responses(self) -> None:
        """Send the responses that are due; abort the connection if that fails.

        Callers match responses to requests by their order, so none may follow one that
        was lost.
        """
        try:
            self._send_responses_in_order()
        except Exception:
            _log.error("connection_broke", caller=self._peer_host)
            self._reading_ended = True
            self._drop_exchanges()
            self.abort()

    def _send_responses_in_order(self) -> None:
        while self._exchanges and self._exchanges[0].response is not None:
            if self._closed:
                return
            exchange = self._exchanges.popleft()
            close = exchange.close_after or self._ends_with_response()
            self._write_response(exchange, close=close)
            self._phase_started_ms = self._state.clock.now_ms()
            if close:
                self._close_after_response()
                return
        self._start_handlers()
        if self._pipeline_is_full and len(self._exchanges) < MAX_PIPELINED:
            self._pipeline_is_full = False
            self._parse()

    def _ends_with_response(self) -> bool:
        """Return whether the connection closes after the response being sent.

        Later requests may be executing, so their responses are sent first. Requests
        that have not been started at a stop are left to the caller to send again.
        """
        if self._state.stopping:
            return not any(
                exchange.task is not None or exchange.response is not None
                for exchange in self._exchanges
            )
        return self._reading_ended and not self._exchanges

    def _write_response(self, exchange: _Exchange, *, close: bool) -> None:
        """Write a response, or 502 in place of one that cannot be written as HTTP."""
        try:
            data = _encode_response(exchange, close=close)
        except Exception:
            # The request may have been executed, so the status must not promise the
            # opposite.
            _log.error("response_unwritable", status=exchange.response.status)
            self._state.unwritable_responses += 1
            exchange.response = make_response(502, b'{"code":"answer_invalid"}')
            data = _encode_response(exchange, close=close)
        self._transport.write(data)

    def _close_after_response(self) -> None:
        """Close after the last response; cancel and drop the requests after it."""
        self._reading_ended = True
        self._drop_exchanges()
        self._in_message = False
        self._close_gracefully()

    def _close_gracefully(self) -> None:
        """Half-close first, as unread bytes would reset the connection on close."""
        if self._closed or self._transport.is_closing():
            return
        self._transport.write_eof()
        self._loop.call_later(LINGER_TIMEOUT_MS / 1_000.0, self._transport.close)

    def _refuse(self, reason: str, *, status: int) -> None:
        """Refuse a request that cannot be parsed, after answering earlier ones."""
        self._reading_ended = True
        self._in_message = False
        self._state.body_budget.release(self._body_bytes)
        self._body_bytes = 0
        body = msgspec.json.encode({"code": "request_invalid", "detail": reason})
        exchange = _Exchange(
            parser=self._parser,
            request=None,
            arrived_ms=self._state.clock.now_ms(),
            close_after=True,
            body_bytes=0,
            response=make_response(status, body),
        )
        self._exchanges.append(exchange)
        self._send_responses()

    def _arm_timer(self) -> None:
        limits = self._state.limits()
        wait_ms = min(limits.header_timeout_ms, limits.idle_timeout_ms)
        self._timer = self._loop.call_later(wait_ms / 2_000.0, self._check_timeouts)

    def _check_timeouts(self) -> None:
        if self._closed:
            return
        limits = self._state.limits()
        age_ms = self._state.clock.now_ms() - self._phase_started_ms
        if self._in_message and self._head is None:
            if age_ms > limits.header_timeout_ms and not self._exchanges:
                self._refuse("the head took too long", status=408)
        elif not self._is_busy and age_ms > limits.idle_timeout_ms:
            self._transport.close()
        if self._transport.get_write_buffer_size() and age_ms > WRITE_TIMEOUT_MS:
            self._transport.abort()
        with contextlib.suppress(RuntimeError):
            self._arm_timer()


def _encode_response(exchange: _Exchange, *, close: bool) -> bytes:
    response = exchange.response
    headers = strip_hop_headers(response.headers)
    is_head = exchange.request is not None and exchange.request.method == "HEAD"
    has_body = response.status not in (204, 304)
    if is_head:
        length = find_header(response.headers, b"content-length")
        if length is not None:
            headers.append((b"content-length", length))
    elif has_body:
        headers.append((b"content-length", str(len(response.body)).encode()))
    if close:
        headers.append((b"connection", b"close"))
    event = h11.Response(
        status_code=response.status,
        # Endpoints may use bytes above 127 in the phrase (obs-text of RFC 9112).
        reason=response.phrase.encode("latin-1"),
        headers=headers,
    )
    parts = [exchange.parser.send(event)]
    if response.body and has_body and not is_head:
        parts.append(exchange.parser.send(h11.Data(data=response.body)))
    parts.append(exchange.parser.send(h11.EndOfMessage()) or b"")
    return b"".join(parts)
