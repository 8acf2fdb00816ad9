"""Snapshots of state that any thread may read without a lock.

Each snapshot has one writer, which replaces an immutable value as a whole.
"""

from vanillapitch_core.routing import RoutingIndex
from vanillapitch_core.tables import Tables
from vanillapitch_wire.dispatch import LoadReport

__all__ = ["LoadSnapshot", "TablesSnapshot"]


class TablesSnapshot:
    """Routing index of the current tables.

    The index is immutable and replaced as a whole, so a reader never sees parts of two
    revisions.
    """

    def __init__(self):
        self._index = RoutingIndex(tables=Tables())

    @property
    def current(self) -> RoutingIndex:
        """Routing index of the current revision."""
        return self._index

    def replace(self, tables: Tables) -> None:
        """Replace the tables by those of a higher revision.

        Parameters
        ----------
        tables : Tables
            The new tables; ignored unless their revision is higher than the current.
        """
        if tables.revision > self._index.tables.revision:
            self._index = RoutingIndex(tables=tables)


class LoadSnapshot:
    """Latest load of the backend server, written by the admission."""

    def __init__(self):
        self.current = LoadReport(
            in_flight=0, limit=0, state="down", latency_ms=0.0, revision=0
        )
