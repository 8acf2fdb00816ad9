"""Errors of connections between daemons."""

from vanillapitch_core import VanillapitchError

__all__ = [
    "CallCancelled",
    "CallTimedOut",
    "ConnectFailed",
    "ConnectionLost",
    "GossipMalformed",
    "GossipRejected",
    "HandshakeFailed",
    "SendFailed",
    "WireError",
]


class WireError(VanillapitchError):
    """Base class of errors in the communication between daemons."""

    code = "wire_error"


class ConnectFailed(WireError):
    """No connection could be made, so no byte of a call was sent."""

    code = "connect_failed"


class HandshakeFailed(ConnectFailed):
    """The peer did not prove knowledge of the cluster key."""

    code = "handshake_failed"


class SendFailed(WireError):
    """The call was not sent completely.

    The peer executes a call only after its complete frame has arrived, so the call was
    not executed.
    """

    code = "send_failed"


class ConnectionLost(WireError):
    """The connection ended after the call was sent completely."""

    code = "connection_lost"


class CallTimedOut(WireError):
    """The reply did not arrive before the deadline."""

    code = "call_timed_out"


class CallCancelled(WireError):
    """The caller disconnected before the reply arrived."""

    code = "call_cancelled"


class GossipRejected(WireError):
    """A membership message has a wrong HMAC, is too old or too new, or is too large.

    Parameters
    ----------
    reason : str
        Failed check: ``hmac``, ``age`` or ``size``.
    """

    code = "gossip_rejected"

    def __init__(self, *, reason: str):
        super().__init__(f"membership message rejected: {reason}")
        self.reason = reason


class GossipMalformed(WireError):
    """An authentic membership message cannot be decoded."""

    code = "gossip_malformed"
