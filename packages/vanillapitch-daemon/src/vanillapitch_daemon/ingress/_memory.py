"""Bound on the body bytes held in memory."""

import threading

__all__ = ["BodyMemory"]


class BodyMemory:
    """Counts the body bytes of all requests that are being received or served.

    Parameters
    ----------
    max_bytes : int
        Upper bound of the sum.
    """

    def __init__(self, *, max_bytes: int):
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._lock = threading.Lock()

    @property
    def used_bytes(self) -> int:
        """Bytes reserved now."""
        return self._used_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserve bytes unless the bound would be passed.

        Parameters
        ----------
        size_bytes : int
            Bytes to add.

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
        """Give reserved bytes back.

        Parameters
        ----------
        size_bytes : int
            Bytes to subtract.
        """
        with self._lock:
            self._used_bytes -= size_bytes
            assert self._used_bytes >= 0
