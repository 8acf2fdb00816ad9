"""Bound on the bytes of bodies that a daemon keeps in memory."""

import dataclasses

__all__ = ["BodyBudget"]


@dataclasses.dataclass(slots=True, kw_only=True)
class BodyBudget:
    """Limits the bytes of bodies in memory.

    Attributes
    ----------
    limit_bytes : int
        Maximum number of bytes.
    held_bytes : int
        Bytes reserved now.
    """

    limit_bytes: int
    held_bytes: int = 0

    def acquire(self, size: int) -> bool:
        """Reserve bytes; return whether the budget allows them."""
        if self.held_bytes + size > self.limit_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.held_bytes -= size
