"""Server side of authenticated Thrift connections."""

import logging
import socket
import threading
import time

from thrift.Thrift import TException
from thrift.TMultiplexedProcessor import TMultiplexedProcessor

from vanillapitch_wire.connection import make_protocol
from vanillapitch_wire.exceptions import HandshakeFailed
from vanillapitch_wire.handshake import accept_handshake, send_nonce
from vanillapitch_wire.readiness import ReadinessPool

__all__ = ["Server", "current_socket"]

HANDSHAKE_TIMEOUT_MS = 2_000
# Applies to receiving the rest of a frame and to sending a reply.
FRAME_TIMEOUT_MS = 30_000
LISTEN_BACKLOG = 128
KEEPALIVE_IDLE_S = 60
IDLE_CHECK_INTERVAL_S = 0.02

_log = logging.getLogger("vanillapitch.wire")
_local = threading.local()


def current_socket() -> socket.socket | None:
    """Return the socket whose call the current thread is handling.

    A handler watches it to detect that the calling daemon cancelled the call.
    """
    return getattr(_local, "sock", None)


class Server:
    """Accepts authenticated connections and serves their calls.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port to listen on.
    cluster_key : bytes
        Shared key.
    processors_by_service : dict of str to TProcessor
        Generated processors by service name.
    max_frame_bytes : int
        Largest frame accepted, in bytes.
    worker_threads : int
        Maximum number of calls served at the same time.
    """

    def __init__(
        self,
        *,
        address: tuple[str, int],
        cluster_key: bytes,
        processors_by_service: dict[str, object],
        max_frame_bytes: int,
        worker_threads: int,
    ):
        self._cluster_key = cluster_key
        self._max_frame_bytes = max_frame_bytes
        self._processor = TMultiplexedProcessor()
        for service, processor in processors_by_service.items():
            self._processor.registerProcessor(service, processor)
        self._listener = socket.create_server(
            address, backlog=LISTEN_BACKLOG, reuse_port=False
        )
        self._lock = threading.Lock()
        self._connections: set[_ServerConnection] = set()
        self._pool = ReadinessPool(name="wire", threads=worker_threads)
        self._closed = False
        self._active_calls = 0
        self._last_call_at_s = time.monotonic()
        self._thread = threading.Thread(
            target=self._accept_connections, name="wire-accept", daemon=True
        )

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self._listener.getsockname()[1]

    def start(self) -> None:
        """Start accepting connections."""
        self._pool.start()
        self._thread.start()

    def wait_until_idle(self, idle_s: float, timeout_s: float) -> bool:
        """Wait until no call has been in progress for a given time.

        Parameters
        ----------
        idle_s : float
            Required time without calls, in seconds.
        timeout_s : float
            Upper bound of the wait, in seconds.

        Returns
        -------
        bool
            Whether the server became idle in time.
        """
        deadline_s = time.monotonic() + timeout_s
        idle_since_s = time.monotonic()
        while True:
            now_s = time.monotonic()
            if self._active_calls:
                idle_since_s = now_s
            if now_s - max(idle_since_s, self._last_call_at_s) >= idle_s:
                return True
            if now_s >= deadline_s:
                return False
            time.sleep(IDLE_CHECK_INTERVAL_S)

    def close(self) -> None:
        """Stop accepting and close every connection."""
        self._closed = True
        _shut_down(self._listener)
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            _shut_down(connection.sock)
        self._pool.close()

    def _accept_connections(self) -> None:
        while not self._closed:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                if self._closed:
                    return
                _log.exception("Could not accept a connection")
                continue
            self._add(sock)

    def _add(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A VM that fails does not close its connections; keepalive probes detect them.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        connection = _ServerConnection(sock=sock)
        with self._lock:
            self._connections.add(connection)
        # The client sends nothing before it has the nonce, so its first input is the
        # proof of the key.
        connection.nonce = send_nonce(sock)
        self._pool.add(sock, lambda: self._serve(connection))

    def _serve(self, connection: "_ServerConnection") -> None:
        try:
            if connection.protocol is None:
                self._authenticate(connection)
            else:
                self._process(connection)
        except HandshakeFailed as error:
            _log.warning("Rejected a connection: %s", error)
            self._remove(connection)
        except (OSError, EOFError, TException):
            _log.debug("A connection ended", exc_info=True)
            self._remove(connection)
        except BaseException:
            self._remove(connection)
            raise
        else:
            self._pool.arm(connection.sock)

    def _process(self, connection: "_ServerConnection") -> None:
        _local.sock = connection.sock
        with self._lock:
            self._active_calls += 1
        try:
            self._processor.process(connection.protocol, connection.protocol)
        finally:
            with self._lock:
                self._active_calls -= 1
                self._last_call_at_s = time.monotonic()

    def _authenticate(self, connection: "_ServerConnection") -> None:
        sock = connection.sock
        sock.settimeout(HANDSHAKE_TIMEOUT_MS / 1000)
        accept_handshake(sock, self._cluster_key, connection.nonce)
        sock.settimeout(FRAME_TIMEOUT_MS / 1000)
        connection.protocol = make_protocol(sock, self._max_frame_bytes)

    def _remove(self, connection: "_ServerConnection") -> None:
        with self._lock:
            self._connections.discard(connection)
        self._pool.remove(connection.sock)
        connection.sock.close()


class _ServerConnection:
    def __init__(self, *, sock: socket.socket):
        self.sock = sock
        self.nonce = b""
        self.protocol = None


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer may have closed the connection first.
        return
