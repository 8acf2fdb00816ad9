"""Interface of membership to the metrics of the daemon."""

from typing import Protocol

__all__ = ["GossipMeter", "NullMeter"]


class GossipMeter(Protocol):
    """Counters of membership messages."""

    def add_bytes(self, direction: str, size_bytes: int) -> None:
        """Count bytes.

        Parameters
        ----------
        direction : str
            ``sent`` or ``received``.
        size_bytes : int
            Size of the message.
        """

    def count_drop(self, reason: str) -> None:
        """Count a message that was dropped.

        Parameters
        ----------
        reason : str
            ``hmac``, ``age``, ``size`` or ``malformed``.
        """


class NullMeter:
    """A `GossipMeter` that counts nothing."""

    def add_bytes(self, direction: str, size_bytes: int) -> None:
        """Ignore the bytes."""

    def count_drop(self, reason: str) -> None:
        """Ignore the message."""
