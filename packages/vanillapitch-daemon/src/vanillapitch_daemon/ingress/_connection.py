"""Connection of a caller."""

import enum
import select
import socket
import threading
from typing import Protocol

from vanillapitch_core import Clock, Refusal
from waitress.parser import HTTPRequestParser

from vanillapitch_daemon.calls import CallerRequest, Response
from vanillapitch_daemon.ingress._format import FormattedResponse, format_response
from vanillapitch_daemon.ingress._parser import RequestParser, make_parser_refusal
from vanillapitch_daemon.ingress._request import (
    RequestRejected,
    make_caller_request,
    make_request_id,
)

__all__ = ["CallerConnection", "ConnectionHost", "Interest"]

RECEIVE_BYTES = 262_144
# Time for a caller that is still sending to read an early refusal. Closing at once
# would reset the connection, and the reset would discard the refusal.
LINGER_MS = 2_000
# Longest time without progress of a request that is being received and of a response
# that is being sent.
STALL_TIMEOUT_MS = 60_000
IDLE_TIMEOUT_MS = 120_000
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Interest(enum.Enum):
    """Event that a connection waits for; `CLOSED` if it has to be closed."""

    INPUT = enum.auto()
    OUTPUT = enum.auto()
    CLOSED = enum.auto()


class ConnectionHost(Protocol):
    """Interface of the server that a connection uses.

    Attributes
    ----------
    adj, effective_port, server_name
        Settings that ``waitress.task.Task`` reads.
    clock : Clock
        Source of time.
    """

    clock: Clock

    def make_parser(self) -> RequestParser:
        """Return a parser for the next request."""

    def handle(self, request: CallerRequest) -> Response:
        """Handle a request and return its response."""

    def refuse(self, refusal: Refusal, request_id: str) -> Response:
        """Return the response for a request that is refused before it is handled."""

    def is_draining(self) -> bool:
        """Return whether connections close after their next response."""


class CallerConnection:
    """Receives requests, handles them one at a time and sends the responses.

    One thread at a time serves a connection; it holds `lock`, so that the maintenance
    thread does not close the connection meanwhile.

    Parameters
    ----------
    sock : socket.socket
        Accepted non-blocking socket.
    host : ConnectionHost
        The server.
    """

    def __init__(self, *, sock: socket.socket, host: ConnectionHost):
        self.sock = sock
        self.server = host
        self.lock = threading.Lock()
        self.closed = False
        self._clock = host.clock
        self._parser: RequestParser | None = None
        self._input = b""
        self._output = memoryview(b"")
        self._closes_after_output = False
        self._lingers = False
        self._linger_until_ms: float | None = None
        self._last_activity_ms = self._clock.now_ms()

    def serve(self) -> Interest:
        """Receive, handle and send on a connection that is ready.

        Returns
        -------
        Interest
            Event to wait for next.
        """
        self._last_activity_ms = self._clock.now_ms()
        try:
            if self._linger_until_ms is not None:
                return self._discard_input()
            if self._output and not self._flush():
                return Interest.OUTPUT
            return self._receive()
        except OSError:
            return Interest.CLOSED

    def is_idle(self) -> bool:
        """Return whether the connection can be closed without losing a request."""
        if self._parser is not None or self._input or self._output:
            return False
        return not self._poll(select.POLLIN)

    def is_expired(self) -> bool:
        """Return whether the connection made no progress within its time-out."""
        now_ms = self._clock.now_ms()
        if self._linger_until_ms is not None:
            return now_ms >= self._linger_until_ms
        busy = self._parser is not None or len(self._output) > 0
        timeout_ms = STALL_TIMEOUT_MS if busy else IDLE_TIMEOUT_MS
        return now_ms - self._last_activity_ms >= timeout_ms

    def close(self) -> None:
        """Release the memory of the request and close the socket."""
        self.closed = True
        if self._parser is not None:
            self._parser.close()
            self._parser = None
        self.sock.close()

    def _receive(self) -> Interest:
        while True:
            if self._closes_after_output:
                return self._finish()
            if not self._input:
                data = self._read()
                if data is None:
                    return Interest.INPUT
                if not data:
                    return Interest.CLOSED
                self._input = data
            self._parse()
            if self._output and not self._flush():
                return Interest.OUTPUT

    def _read(self) -> bytes | None:
        try:
            return self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return None

    def _parse(self) -> None:
        if self._parser is None:
            self._parser = self.server.make_parser()
        parser = self._parser
        consumed = parser.received(self._input)
        self._input = self._input[consumed:]
        if parser.expect_continue and parser.headers_finished and not parser.error:
            parser.expect_continue = False
            parser.completed = parser.body_rcv is None
            self._output = memoryview(_CONTINUE)
        if parser.completed:
            self._parser = None
            try:
                self._respond(parser)
            finally:
                parser.close()

    def _respond(self, parsed: HTTPRequestParser) -> None:
        if parsed.empty:
            return
        request_id = make_request_id()
        if parsed.error:
            self._lingers = True
            refusal = make_parser_refusal(parsed.error)
            response = self.server.refuse(refusal, request_id)
        else:
            response = self._handle(parsed, request_id)
        close = self._lingers or self.server.is_draining()
        formatted = format_response(response, parsed=parsed, channel=self, close=close)
        self._set_output(formatted)

    def _handle(self, parsed: HTTPRequestParser, request_id: str) -> Response:
        try:
            request = make_caller_request(
                parsed,
                request_id=request_id,
                clock=self._clock,
                is_cancelled=self._is_caller_disconnected,
            )
        except RequestRejected as error:
            return self.server.refuse(error.refusal, request_id)
        return self.server.handle(request)

    def _is_caller_disconnected(self) -> bool:
        return self._poll(select.POLLRDHUP)

    def _poll(self, events: int) -> bool:
        poller = select.poll()
        poller.register(self.sock, events)
        return any(event & (events | _DISCONNECT_EVENTS) for _, event in poller.poll(0))

    def _set_output(self, formatted: FormattedResponse) -> None:
        self._closes_after_output = formatted.closes
        self._output = memoryview(formatted.message)

    def _flush(self) -> bool:
        while self._output:
            try:
                sent_bytes = self.sock.send(self._output)
            except BlockingIOError:
                return False
            self._output = self._output[sent_bytes:]
        self._last_activity_ms = self._clock.now_ms()
        return True

    def _finish(self) -> Interest:
        if not self._lingers:
            return Interest.CLOSED
        self.sock.shutdown(socket.SHUT_WR)
        self._linger_until_ms = self._clock.now_ms() + LINGER_MS
        self._input = b""
        return self._discard_input()

    def _discard_input(self) -> Interest:
        while (data := self._read()) is not None:
            if not data:
                return Interest.CLOSED
        return Interest.INPUT
