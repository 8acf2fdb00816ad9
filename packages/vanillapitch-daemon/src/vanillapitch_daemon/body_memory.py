"""Limit on the body bytes held in memory."""

import threading

__all__ = ["BodyMemory"]


class BodyMemory:
    """Counts the body bytes that several requests or responses hold.

    Parameters
    ----------
    max_bytes : int
        Limit on the sum.
    """

    def __init__(self, *, max_bytes: int):
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._lock = threading.Lock()

    @property
    def used_bytes(self) -> int:
        """Bytes that are currently reserved."""
        return self._used_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserve bytes unless the limit would be exceeded.

        Parameters
        ----------
        size_bytes : int
            Number of bytes to reserve.

        Returns
        -------
        bool
            Whether the bytes were reserved.
        """
        with self._lock:
            if self._used_bytes + size_bytes > self._max_bytes:
                return False
            self._used_bytes += size_bytes
            return True

    def release(self, size_bytes: int) -> None:
        """Release reserved bytes.

        Parameters
        ----------
        size_bytes : int
            Number of bytes to release.
        """
        with self._lock:
            self._used_bytes -= size_bytes
            assert self._used_bytes >= 0
