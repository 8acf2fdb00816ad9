"""Timelines of the store, and revisions that stay ordered over them.

As with point-in-time recovery of databases, each restore of the store from an older
copy starts a new timeline. What was acknowledged after the copy was made is lost, and
the store gives out numbers of revisions again. A revision therefore consists of the
timeline and the store's number, and one of a later timeline is greater.
"""

from collections.abc import Callable

from vanillapitch_relay.line_log import EventLog

__all__ = ["StoreTimeline", "make_revision", "number_of", "timeline_of"]

_log = EventLog(part="store")

# Revisions are 64-bit numbers in frames.
_NUMBER_BITS = 40
MAX_NUMBER = 2**_NUMBER_BITS - 1


def make_revision(*, timeline: int, number: int) -> int:
    """Combine a timeline and a number of the store.

    Parameters
    ----------
    timeline : int
        Timeline of the response that contains the number.
    number : int
        The number; 0 for a key that does not exist.

    Returns
    -------
    int
        The revision; 0 for the number 0.

    Raises
    ------
    ValueError
        If the number is out of range.
    """
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"revision out of range: {number}")
    return timeline << _NUMBER_BITS | number if number else 0


def timeline_of(revision: int) -> int:
    """Return the timeline of a revision."""
    return revision >> _NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number that the store uses for a revision."""
    return revision & MAX_NUMBER


class StoreTimeline:
    """Latest timeline of the store that this daemon knows; None before the first."""

    def __init__(self):
        self.number: int | None = None
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, on_restore: Callable[[], None]) -> None:
        """Register a function that is called after each restore of the store."""
        self._listeners.append(on_restore)

    def observe(self, number: int) -> None:
        """Record the timeline of a response of the store."""
        previous = self.number
        if previous is not None and number <= previous:
            return
        self.number = number
        if previous is not None:
            _log.warning("store_restored", timeline=number, previous=previous)
            for on_restore in self._listeners:
                on_restore()

    def observe_peer(self, revision: int) -> None:
        """Record the timeline of a revision that a peer knows.

        A daemon that the store has never answered has nothing to lose there.
        """
        if self.number is not None:
            self.observe(timeline_of(revision))
