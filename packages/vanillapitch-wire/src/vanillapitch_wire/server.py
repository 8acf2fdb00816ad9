"""Server side of authenticated Thrift connections."""

import logging
import socket
import threading

from thrift.Thrift import TException
from thrift.TMultiplexedProcessor import TMultiplexedProcessor

from vanillapitch_wire.connection import make_protocol
from vanillapitch_wire.exceptions import HandshakeFailed
from vanillapitch_wire.handshake import accept_handshake

__all__ = ["Server", "current_socket"]

HANDSHAKE_TIMEOUT_MS = 2_000
IDLE_TIMEOUT_MS = 120_000
LISTEN_BACKLOG = 128

_log = logging.getLogger("vanillapitch.wire")
_local = threading.local()


def current_socket() -> socket.socket | None:
    """Return the socket whose call the current thread is handling.

    A handler watches it to learn that the calling daemon gave the call up.
    """
    return getattr(_local, "sock", None)


class Server:
    """Accepts authenticated connections; one thread serves one connection.

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
    """

    def __init__(
        self,
        *,
        address: tuple[str, int],
        cluster_key: bytes,
        processors_by_service: dict[str, object],
        max_frame_bytes: int,
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
        self._sockets: set[socket.socket] = set()
        self._closed = False
        self._thread = threading.Thread(
            target=self._accept_connections, name="wire-accept", daemon=True
        )

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self._listener.getsockname()[1]

    def start(self) -> None:
        """Start to accept connections."""
        self._thread.start()

    def close(self) -> None:
        """Stop accepting and close every connection."""
        self._closed = True
        _shut_down(self._listener)
        self._listener.close()
        with self._lock:
            sockets = list(self._sockets)
        for sock in sockets:
            _shut_down(sock)

    def _accept_connections(self) -> None:
        while not self._closed:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                if self._closed:
                    return
                _log.exception("wire: accept failed")
                continue
            threading.Thread(
                target=self._serve_connection,
                args=(sock,),
                name="wire-connection",
                daemon=True,
            ).start()

    def _serve_connection(self, sock: socket.socket) -> None:
        with self._lock:
            self._sockets.add(sock)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(HANDSHAKE_TIMEOUT_MS / 1000)
            accept_handshake(sock, self._cluster_key)
            sock.settimeout(IDLE_TIMEOUT_MS / 1000)
            self._serve_calls(sock)
        except HandshakeFailed as error:
            _log.warning("wire: rejected connection: %s", error)
        except (OSError, EOFError, TException):
            _log.debug("wire: connection ended", exc_info=True)
        except Exception:
            _log.exception("wire: call handler failed")
        finally:
            with self._lock:
                self._sockets.discard(sock)
            sock.close()

    def _serve_calls(self, sock: socket.socket) -> None:
        protocol = make_protocol(sock, self._max_frame_bytes)
        _local.sock = sock
        while not self._closed:
            self._processor.process(protocol, protocol)


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer may have closed the connection first.
        return
