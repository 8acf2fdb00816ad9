"""HTTP server for callers.

waitress parses requests and formats responses. Its event loop is not used: it passes
each request from the loop to a worker thread and back, and these two wake-ups cause
most of the latency that it adds.
"""

import socket
import threading
from collections.abc import Callable

from vanillapitch_core import Clock
from vanillapitch_wire import ReadinessPool

from vanillapitch_daemon.body_memory import BodyMemory
from vanillapitch_daemon.calls import CallerRequest, Response
from vanillapitch_daemon.ingress._connection import CallerConnection, Interest
from vanillapitch_daemon.ingress._parser import RequestParser, make_adjustments
from vanillapitch_daemon.ingress._problem import RefusalHandler
from vanillapitch_daemon.logs import get_log

__all__ = ["CallerServer"]

CONNECTIONS_MAX = 2_000
LISTEN_BACKLOG = 512
MAINTENANCE_INTERVAL_S = 0.5
DRAIN_INTERVAL_S = 0.02

_log = get_log("ingress")

Handler = Callable[[CallerRequest], Response]


class CallerServer:
    """Serves the requests of callers on one address.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.
    handler : callable
        Takes a `CallerRequest` and returns a `Response`; called on worker threads.
    refuse : callable
        Converts the refusal of an invalid request to a `Response`.
    clock : Clock
        Source of time.
    memory : BodyMemory
        Limit on the body bytes of all requests.
    max_header_bytes, max_body_bytes : int
        Limits of one request.
    worker_threads : int
        Number of requests served at the same time.
    """

    def __init__(
        self,
        *,
        address: tuple[str, int],
        handler: Handler,
        refuse: RefusalHandler,
        clock: Clock,
        memory: BodyMemory,
        max_header_bytes: int,
        max_body_bytes: int,
        worker_threads: int,
    ):
        self.clock = clock
        self.handle = handler
        self.refuse = refuse
        self._memory = memory
        self.adj = make_adjustments(
            max_header_bytes=max_header_bytes, max_body_bytes=max_body_bytes
        )
        self.server_name = self.adj.server_name
        self._listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
        self._host = address[0]
        self.effective_port = self._listener.getsockname()[1]
        self._pool = ReadinessPool(name="callers", threads=worker_threads)
        self._lock = threading.Lock()
        self._connections: set[CallerConnection] = set()
        self._draining = threading.Event()
        self._drained = threading.Event()

    @property
    def address(self) -> str:
        """``IP:port`` that the server listens on."""
        return f"{self._host}:{self.effective_port}"

    def start(self) -> None:
        """Start to accept connections."""
        self._pool.start()
        for target in (self._accept_connections, self._maintain):
            threading.Thread(target=target, name=target.__name__, daemon=True).start()

    def drain(self) -> None:
        """Stop accepting; responses carry ``Connection: close`` from now on."""
        if self._draining.is_set():
            return
        self._draining.set()
        _shut_down(self._listener)
        self._listener.close()

    def wait_until_drained(self, timeout_s: float) -> bool:
        """Wait until every request has its response and every connection is closed.

        Parameters
        ----------
        timeout_s : float
            Upper bound of the wait, in seconds.

        Returns
        -------
        bool
            Whether the server drained in time.
        """
        return self._drained.wait(timeout_s)

    def make_parser(self) -> RequestParser:
        """Return a parser for the next request of a connection."""
        return RequestParser(self.adj, self._memory)

    def is_draining(self) -> bool:
        """Return whether connections close after their next response."""
        return self._draining.is_set()

    def _accept_connections(self) -> None:
        while not self._draining.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError:
                if self._draining.is_set():
                    return
                _log.exception("Could not accept a connection")
                continue
            self._add(sock)

    def _add(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = CallerConnection(sock=sock, host=self)
        with self._lock:
            full = len(self._connections) >= CONNECTIONS_MAX
            if not full:
                self._connections.add(connection)
        if full:
            _log.warning("Connection limit reached; the new connection is closed")
            connection.close()
            return
        self._pool.add(sock, lambda: self._serve(connection))

    def _serve(self, connection: CallerConnection) -> None:
        with connection.lock:
            if connection.closed:
                return
            interest = Interest.CLOSED
            try:
                interest = connection.serve()
            finally:
                self._rearm_or_close(connection, interest)

    def _rearm_or_close(self, connection: CallerConnection, interest: Interest) -> None:
        if interest is Interest.CLOSED:
            self._close(connection)
        else:
            for_output = interest is Interest.OUTPUT
            self._pool.arm(connection.sock, for_output=for_output)

    def _close(self, connection: CallerConnection) -> None:
        with self._lock:
            self._connections.discard(connection)
        self._pool.remove(connection.sock)
        connection.close()

    def _maintain(self) -> None:
        while not self._draining.wait(MAINTENANCE_INTERVAL_S):
            self._close_where(CallerConnection.is_expired)
        while self._connections:
            self._close_where(lambda item: item.is_idle() or item.is_expired())
            self._drained.wait(DRAIN_INTERVAL_S)
        self._pool.close()
        self._drained.set()

    def _close_where(self, condition: Callable[[CallerConnection], bool]) -> None:
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            # A connection whose lock is held is being served.
            if not connection.lock.acquire(blocking=False):
                continue
            try:
                if not connection.closed and condition(connection):
                    self._close(connection)
            finally:
                connection.lock.release()


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # A socket that is not listening any more cannot be shut down.
        return
