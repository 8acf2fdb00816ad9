"""Inner protocol between vanillapitch daemons."""

from vanillapitch_wire.connection import Connection, connect
from vanillapitch_wire.exceptions import (
    CallCancelled,
    CallTimedOut,
    ConnectFailed,
    ConnectionLost,
    HandshakeFailed,
    SendFailed,
    WireError,
)
from vanillapitch_wire.readiness import ReadinessPool
from vanillapitch_wire.server import Server, current_socket

__all__ = [
    "CallCancelled",
    "CallTimedOut",
    "ConnectFailed",
    "Connection",
    "ConnectionLost",
    "HandshakeFailed",
    "ReadinessPool",
    "SendFailed",
    "Server",
    "WireError",
    "connect",
    "current_socket",
]
