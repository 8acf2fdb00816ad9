"""Mutual authentication by the cluster key at the start of a TCP connection."""

import contextlib
import hmac
import os
import socket

from vanillapitch_wire.exceptions import HandshakeFailed

__all__ = ["accept_handshake", "send_nonce", "start_handshake"]

NONCE_BYTES = 32
DIGEST_BYTES = 32

# The roles differ so that a peer cannot reflect the other side's proof.
_CLIENT_ROLE = b"vanillapitch/1 client"
_SERVER_ROLE = b"vanillapitch/1 server"


def start_handshake(sock: socket.socket, cluster_key: bytes) -> None:
    """Prove the key to a server and check the server's proof.

    Parameters
    ----------
    sock : socket.socket
        Connected socket with a timeout.
    cluster_key : bytes
        Shared key.

    Raises
    ------
    HandshakeFailed
        If the peer closes, times out or sends a wrong proof.
    """
    client_nonce = os.urandom(NONCE_BYTES)
    try:
        server_nonce = _receive_exactly(sock, NONCE_BYTES)
        proof = _digest(cluster_key, _CLIENT_ROLE, server_nonce, client_nonce)
        sock.sendall(client_nonce + proof)
        server_proof = _receive_exactly(sock, DIGEST_BYTES)
    except OSError as error:
        raise HandshakeFailed(f"handshake interrupted: {error}") from error
    expected = _digest(cluster_key, _SERVER_ROLE, server_nonce, client_nonce)
    if not hmac.compare_digest(server_proof, expected):
        raise HandshakeFailed("the server does not know the cluster key")


def send_nonce(sock: socket.socket) -> bytes:
    """Start the handshake on the server's side.

    Parameters
    ----------
    sock : socket.socket
        Accepted socket.

    Returns
    -------
    bytes
        The nonce to pass to `accept_handshake`.
    """
    nonce = os.urandom(NONCE_BYTES)
    # If the peer has disconnected already, the handshake reports it.
    with contextlib.suppress(OSError):
        sock.sendall(nonce)
    return nonce


def accept_handshake(
    sock: socket.socket, cluster_key: bytes, server_nonce: bytes
) -> None:
    """Check a client's proof of the key and prove it in return.

    Parameters
    ----------
    sock : socket.socket
        Accepted socket with a timeout.
    cluster_key : bytes
        Shared key.
    server_nonce : bytes
        Nonce from `send_nonce`.

    Raises
    ------
    HandshakeFailed
        If the peer closes, times out or sends a wrong proof.
    """
    try:
        received = _receive_exactly(sock, NONCE_BYTES + DIGEST_BYTES)
    except OSError as error:
        raise HandshakeFailed(f"handshake interrupted: {error}") from error
    client_nonce = received[:NONCE_BYTES]
    expected = _digest(cluster_key, _CLIENT_ROLE, server_nonce, client_nonce)
    if not hmac.compare_digest(received[NONCE_BYTES:], expected):
        raise HandshakeFailed("the client does not know the cluster key")
    try:
        sock.sendall(_digest(cluster_key, _SERVER_ROLE, server_nonce, client_nonce))
    except OSError as error:
        raise HandshakeFailed(f"handshake interrupted: {error}") from error


def _digest(cluster_key: bytes, role: bytes, *nonces: bytes) -> bytes:
    return hmac.digest(cluster_key, role + b"".join(nonces), "sha256")


def _receive_exactly(sock: socket.socket, size_bytes: int) -> bytes:
    received = bytearray()
    while len(received) < size_bytes:
        chunk = sock.recv(size_bytes - len(received))
        if not chunk:
            raise ConnectionError("the peer closed the connection")
        received += chunk
    return bytes(received)
