"""Detects that the store was restored from an older copy.

As with point-in-time recovery of databases, each restore starts a new timeline. What
was acknowledged after the copy was made is lost, and revisions are given out again.
"""

from collections.abc import Callable

from vanillapitch_relay.line_log import EventLog

__all__ = ["StoreTimeline"]

_log = EventLog(part="store")


class StoreTimeline:
    """The latest timeline of the store that this daemon knows; 0 before the first."""

    def __init__(self):
        self.number = 0
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, on_restore: Callable[[], None]) -> None:
        """Register a function that is called after each restore of the store."""
        self._listeners.append(on_restore)

    def observe(self, number: int) -> None:
        """Record the timeline of a response, or one that a peer knows."""
        if number <= self.number:
            return
        previous, self.number = self.number, number
        if previous:
            _log.warning("store_restored", timeline=number, previous=previous)
            for on_restore in self._listeners:
                on_restore()
