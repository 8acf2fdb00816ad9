"""Internal protocol between vanillapitch daemons."""

from vanillapitch_wire.connection import Connection, connect
from vanillapitch_wire.exceptions import (
    CallCancelled,
    CallTimedOut,
    ConnectFailed,
    ConnectionLost,
    GossipMalformed,
    GossipRejected,
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
    "GossipMalformed",
    "GossipRejected",
    "HandshakeFailed",
    "ReadinessPool",
    "SendFailed",
    "Server",
    "WireError",
    "connect",
    "current_socket",
]
