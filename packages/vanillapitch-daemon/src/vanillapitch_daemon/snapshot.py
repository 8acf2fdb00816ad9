"""State that any thread may read without a message.

Each holder has one writer and replaces an immutable value as a whole.
"""

from vanillapitch_core.routing import RoutingIndex
from vanillapitch_core.tables import Tables
from vanillapitch_wire.dispatch import LoadReport

__all__ = ["LoadSnapshot", "TablesSnapshot"]


class TablesSnapshot:
    """Holds the routing index of the current revision.

    The index is immutable and replaced as a whole, so a reader sees one revision.
    """

    def __init__(self):
        self._index = RoutingIndex(tables=Tables())

    @property
    def current(self) -> RoutingIndex:
        """Index of the revision in force."""
        return self._index

    def replace(self, tables: Tables) -> None:
        """Put a higher revision in force.

        Parameters
        ----------
        tables : Tables
            The new tables; a revision that is not higher is ignored.
        """
        if tables.revision > self._index.tables.revision:
            self._index = RoutingIndex(tables=tables)


class LoadSnapshot:
    """Holds the latest load of the backend server, written by the admission."""

    def __init__(self):
        self.current = LoadReport(
            in_flight=0, limit=0, state="down", latency_ms=0.0, revision=0
        )
