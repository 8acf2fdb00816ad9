"""HTTP server towards callers, built on waitress."""

import http
import select
import socket
import threading
import time
from collections.abc import Callable

from vanillapitch_core import Clock, Outcome, Refusal, RefusalCode
from waitress import wasyncore
from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.server import TcpWSGIServer
from waitress.task import Task
from waitress.utilities import (
    Error,
    RequestEntityTooLarge,
    RequestHeaderFieldsTooLarge,
)

from vanillapitch_daemon.calls import CallerRequest, Response
from vanillapitch_daemon.ingress._headers import keep_end_to_end
from vanillapitch_daemon.ingress._memory import BodyMemory
from vanillapitch_daemon.ingress._problem import Refuser
from vanillapitch_daemon.ingress._request import (
    RequestRejected,
    make_caller_request,
    make_request_id,
)

__all__ = ["CallerServer"]

CONNECTIONS_MAX = 2_000
CHANNEL_TIMEOUT_S = 120
LOOP_TIMEOUT_S = 1.0
DRAIN_LOOP_TIMEOUT_S = 0.05
# Time for a caller that is still sending to read an early refusal. Closing at once
# resets the connection, and the reset discards the refusal.
LINGER_S = 2.0
LINGER_READ_BYTES = 65_536

Handler = Callable[[CallerRequest], Response]


class CallerServer:
    """Takes requests from callers on one address.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.
    handler : callable
        Turns a `CallerRequest` into a `Response`; called on worker threads.
    refuse : callable
        Turns the refusal of an invalid request into a `Response`.
    clock : Clock
        Source of time.
    memory : BodyMemory
        Bound on body bytes.
    max_header_bytes, max_body_bytes : int
        Limits of one request.
    worker_threads : int
        Requests served at the same time.
    """

    def __init__(
        self,
        *,
        address: tuple[str, int],
        handler: Handler,
        refuse: Refuser,
        clock: Clock,
        memory: BodyMemory,
        max_header_bytes: int,
        max_body_bytes: int,
        worker_threads: int,
    ):
        adjustments = Adjustments(
            host=address[0],
            port=address[1],
            threads=worker_threads,
            ident="vanillapitch",
            connection_limit=CONNECTIONS_MAX,
            channel_timeout=CHANNEL_TIMEOUT_S,
            max_request_header_size=max_header_bytes,
            # waitress refuses a body that reaches the size.
            max_request_body_size=max_body_bytes + 1,
            # Larger buffers would spill into files, and VMs have no disks.
            inbuf_overflow=max_body_bytes + 1,
            outbuf_overflow=2**31 - 1,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            log_socket_errors=False,
            clear_untrusted_proxy_headers=False,
        )
        self._map: dict[int, object] = {}
        self._draining = threading.Event()
        self._stopped = threading.Event()
        self._server = _Server(
            _unused_application, map=self._map, adj=adjustments, _start=False
        )
        self._server.handler = handler
        self._server.refuse = refuse
        self._server.clock = clock
        self._server.memory = memory
        self._server.draining = self._draining
        self._thread = threading.Thread(
            target=self._run, name="callers-loop", daemon=True
        )

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return int(self._server.effective_port)

    def start(self) -> None:
        """Start to accept connections."""
        self._server.accept_connections()
        self._thread.start()

    def drain(self) -> None:
        """Stop accepting; answers carry ``Connection: close`` from now on."""
        self._draining.set()
        self._server.pull_trigger()

    def wait_until_drained(self, timeout_s: float) -> bool:
        """Wait until every request is answered and every connection closed.

        Parameters
        ----------
        timeout_s : float
            Upper bound of the wait, in seconds.

        Returns
        -------
        bool
            Whether the server drained in time.
        """
        return self._stopped.wait(timeout_s)

    def _run(self) -> None:
        while not self._draining.is_set():
            wasyncore.loop(
                timeout=LOOP_TIMEOUT_S, use_poll=True, map=self._map, count=1
            )
            self._close_lingering()
        self._server.stop_listening()
        while self._server.active_channels:
            self._close_idle()
            self._close_lingering()
            wasyncore.loop(
                timeout=DRAIN_LOOP_TIMEOUT_S, use_poll=True, map=self._map, count=1
            )
        self._stopped.set()

    def _close_idle(self) -> None:
        for channel in list(self._server.active_channels.values()):
            if channel.is_idle():
                channel.handle_close()

    def _close_lingering(self) -> None:
        now_s = time.monotonic()
        for channel in list(self._server.active_channels.values()):
            if channel.linger_until_s is not None and channel.linger_until_s <= now_s:
                channel.handle_close()


class _MemoryFull(Error):
    code = 503
    reason = "Service Unavailable"


class _Parser(HTTPRequestParser):
    memory: BodyMemory
    _reserved_bytes = 0

    def parse_header(self, header_plus):
        super().parse_header(header_plus)
        if self.chunked and "CONTENT_LENGTH" in self.headers:
            raise ParsingError("Content-Length and Transfer-Encoding conflict")
        if self.version != "1.1" and "TRANSFER_ENCODING" in self.headers:
            raise ParsingError("Transfer-Encoding needs HTTP/1.1")

    def received(self, data):
        consumed = super().received(data)
        if self.error is None:
            self._reserve(max(self.content_length, self.body_bytes_received))
        return consumed

    def _reserve(self, size_bytes: int) -> None:
        missing_bytes = size_bytes - self._reserved_bytes
        if missing_bytes <= 0:
            return
        if self.memory.reserve(missing_bytes):
            self._reserved_bytes = size_bytes
            return
        self.error = _MemoryFull("Too many body bytes are in memory")
        self.completed = True

    def close(self):
        super().close()
        self.memory.release(self._reserved_bytes)
        self._reserved_bytes = 0


class _Task(Task):
    """Hands a request to the handler without building a WSGI environment."""

    complete = True

    def execute(self):
        request_id = make_request_id()
        server = self.channel.server
        try:
            request = make_caller_request(
                self.request,
                request_id=request_id,
                clock=server.clock,
                is_cancelled=self.channel.check_client_disconnected,
            )
        except RequestRejected as error:
            self._respond(server.refuse(error.refusal, request_id))
            return
        self._respond(server.handler(request))

    def _respond(self, response: Response) -> None:
        self.status = _STATUS_LINES.get(response.status, f"{response.status} Unknown")
        self.response_headers = [
            (header.name, header.value) for header in keep_end_to_end(response.headers)
        ]
        if response.instance:
            self.response_headers.append(("Vanillapitch-Instance", response.instance))
        if response.replayed:
            self.response_headers.append(("Idempotent-Replayed", "true"))
        if self.channel.server.draining.is_set():
            self.set_close_on_finish()
        is_head = self.request.command == "HEAD"
        self._set_length(response, is_head=is_head)
        message = self.build_response_header()
        self.wrote_header = True
        if self.has_body and not is_head:
            # One write gives the caller header and body in one segment.
            message += response.body
        self.channel.write_soon(message)

    def _set_length(self, response: Response, *, is_head: bool) -> None:
        has_length = any(
            name.lower() == "content-length" for name, _ in self.response_headers
        )
        if is_head and has_length:
            return
        self.response_headers = [
            item
            for item in self.response_headers
            if item[0].lower() != "content-length"
        ]
        self.content_length = len(response.body)


class _ErrorTask(_Task):
    def execute(self):
        error = self.request.error
        refusal = Refusal(
            code=_CODES_BY_PARSER_ERROR.get(type(error), RefusalCode.BAD_REQUEST),
            outcome=Outcome.NOT_RUN,
            detail=f"{error.body}.",
        )
        self.set_close_on_finish()
        self.channel.lingers = True
        self._respond(self.channel.server.refuse(refusal, make_request_id()))


class _Channel(HTTPChannel):
    task_class = _Task
    error_task_class = _ErrorTask
    lingers = False
    linger_until_s: float | None = None

    def __init__(self, server, sock, addr, adj, map=None):
        super().__init__(server, sock, addr, adj, map=map)
        self.parser_class = self._make_parser

    def _make_parser(self, adj):
        parser = _Parser(adj)
        parser.memory = self.server.memory
        return parser

    def is_idle(self) -> bool:
        """Whether closing the connection cuts no request."""
        if self.requests or self.request is not None or self.total_outbufs_len:
            return False
        return not _has_unread_bytes(self.socket)

    def readable(self):
        return self.linger_until_s is not None or super().readable()

    def writable(self):
        return self.linger_until_s is None and super().writable()

    def handle_read(self):
        if self.linger_until_s is None:
            super().handle_read()
            return
        # The base class closes the channel at the end of the stream.
        self.recv(LINGER_READ_BYTES)

    def handle_close(self):
        if self.lingers and self.linger_until_s is None and self.connected:
            self._start_lingering()
            return
        self._close_requests()
        super().handle_close()

    def _start_lingering(self) -> None:
        self.linger_until_s = time.monotonic() + LINGER_S
        self.will_close = False
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The caller may have closed the connection first.
            self.linger_until_s = 0.0

    def _close_requests(self) -> None:
        # The first request is closed by the worker that serves it.
        with self.requests_lock:
            abandoned = self.requests[1:]
            del self.requests[1:]
            if self.request is not None:
                abandoned.append(self.request)
                self.request = None
        for request in abandoned:
            request.close()


class _Server(TcpWSGIServer):
    channel_class = _Channel
    handler: Handler
    refuse: Refuser
    clock: Clock
    memory: BodyMemory
    draining: threading.Event

    def stop_listening(self) -> None:
        """Close the listening socket and keep the connections."""
        self.accepting = False
        self.del_channel()
        self.socket.close()


def _has_unread_bytes(sock: socket.socket) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def _unused_application(environ, start_response):
    raise AssertionError("requests are handled by the task class")


_CODES_BY_PARSER_ERROR = {
    RequestEntityTooLarge: RefusalCode.BODY_TOO_LARGE,
    RequestHeaderFieldsTooLarge: RefusalCode.HEADERS_TOO_LARGE,
    _MemoryFull: RefusalCode.MEMORY_FULL,
}
_STATUS_LINES = {
    status.value: f"{status.value} {status.phrase}" for status in http.HTTPStatus
} | {499: "499 Client Closed Request"}
