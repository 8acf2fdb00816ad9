"""Client side of authenticated Thrift connections."""

import select
import socket
from collections.abc import Callable
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.protocol.TMultiplexedProtocol import TMultiplexedProtocol
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException
from vanillapitch_core import Clock

from vanillapitch_wire.exceptions import (
    CallCancelled,
    CallTimedOut,
    ConnectFailed,
    ConnectionLost,
    SendFailed,
)
from vanillapitch_wire.handshake import start_handshake

__all__ = ["Connection", "connect", "make_protocol"]

# Interval at which a waiting call checks whether it has been cancelled.
CANCEL_CHECK_INTERVAL_MS = 50.0
# A socket timeout of zero would make the socket non-blocking.
MIN_SOCKET_TIMEOUT_MS = 1.0


def make_protocol(
    sock: socket.socket, max_frame_bytes: int
) -> TBinaryProtocolAccelerated:
    """Create the framed transport and the binary protocol for a socket.

    Parameters
    ----------
    sock : socket.socket
        Connected socket.
    max_frame_bytes : int
        Largest frame accepted, in bytes.

    Returns
    -------
    TBinaryProtocolAccelerated
        The protocol to use for calls.
    """
    thrift_socket = TSocket()
    thrift_socket.setHandle(sock)
    framed = TFramedTransport(thrift_socket, max_frame_bytes)
    return TBinaryProtocolAccelerated(
        framed, string_length_limit=max_frame_bytes, fallback=False
    )


class Connection:
    """One authenticated connection, used by one call at a time.

    Parameters
    ----------
    sock : socket.socket
        Connected and authenticated socket.
    max_frame_bytes : int
        Largest frame accepted, in bytes.
    """

    def __init__(self, *, sock: socket.socket, max_frame_bytes: int):
        self._sock = sock
        self._protocol = make_protocol(sock, max_frame_bytes)
        self._clients_by_service: dict[str, Any] = {}

    def client(self, service: str, client_type: Callable[[Any], Any]) -> Any:
        """Return the generated client of a service on this connection.

        Parameters
        ----------
        service : str
            Name under which the server registered the service.
        client_type : callable
            Generated ``Client`` class.

        Returns
        -------
        object
            Instance of `client_type`.
        """
        client = self._clients_by_service.get(service)
        if client is None:
            client = client_type(TMultiplexedProtocol(self._protocol, service))
            self._clients_by_service[service] = client
        return client

    def is_stale(self) -> bool:
        """Return whether the idle connection can no longer be used.

        The peer sends nothing on an idle connection, so a readable socket is either
        closed by the peer or out of sync.
        """
        return _is_readable(self._sock, 0)

    def call(
        self,
        *,
        send: Callable[[], None],
        receive: Callable[[], Any],
        clock: Clock,
        deadline_ms: float,
        is_cancelled: Callable[[], bool] | None = None,
    ) -> Any:
        """Send one call and wait for its reply.

        Parameters
        ----------
        send, receive : callable
            The two halves of a generated client's call.
        clock : Clock
            Source of time.
        deadline_ms : float
            Monotonic time in milliseconds after which the call times out.
        is_cancelled : callable, optional
            Returns whether the caller has disconnected.

        Returns
        -------
        object
            Result of `receive`.

        Raises
        ------
        SendFailed
            The call was not sent completely, so the peer did not execute it.
        CallTimedOut, CallCancelled, ConnectionLost
            The reply is missing; the connection must be closed, since a late reply
            would reach the next call.
        """
        self._set_timeout(deadline_ms - clock.now_ms())
        try:
            send()
        except (OSError, TException) as error:
            raise SendFailed(str(error)) from error
        self._wait_for_reply(clock, deadline_ms, is_cancelled)
        self._set_timeout(deadline_ms - clock.now_ms())
        try:
            return receive()
        except TTransportException as error:
            if error.type == TTransportException.TIMED_OUT:
                raise CallTimedOut("the reply did not arrive in time") from error
            raise ConnectionLost(str(error)) from error
        except (OSError, EOFError, TException) as error:
            raise ConnectionLost(str(error)) from error

    def _set_timeout(self, timeout_ms: float) -> None:
        self._sock.settimeout(max(MIN_SOCKET_TIMEOUT_MS, timeout_ms) / 1000)

    def _wait_for_reply(
        self,
        clock: Clock,
        deadline_ms: float,
        is_cancelled: Callable[[], bool] | None,
    ) -> None:
        while True:
            remaining_ms = deadline_ms - clock.now_ms()
            if remaining_ms <= 0:
                raise CallTimedOut("the reply did not arrive in time")
            if _is_readable(self._sock, min(remaining_ms, CANCEL_CHECK_INTERVAL_MS)):
                return
            if is_cancelled is not None and is_cancelled():
                raise CallCancelled("the caller disconnected")

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()


def connect(
    *,
    address: tuple[str, int],
    cluster_key: bytes,
    max_frame_bytes: int,
    timeout_ms: float,
) -> Connection:
    """Open and authenticate a connection.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port of the peer.
    cluster_key : bytes
        Shared key.
    max_frame_bytes : int
        Largest frame accepted, in bytes.
    timeout_ms : float
        Time limit for connecting, and for each read and write of the handshake, in
        milliseconds.

    Returns
    -------
    Connection
        The authenticated connection.

    Raises
    ------
    ConnectFailed
        If the peer cannot be reached.
    HandshakeFailed
        If the peer does not know the key.
    """
    try:
        sock = socket.create_connection(address, timeout=timeout_ms / 1000)
    except OSError as error:
        raise ConnectFailed(f"{address[0]}:{address[1]}: {error}") from error
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        start_handshake(sock, cluster_key)
    except BaseException:
        sock.close()
        raise
    return Connection(sock=sock, max_frame_bytes=max_frame_bytes)


def _is_readable(sock: socket.socket, timeout_ms: float) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(timeout_ms))
