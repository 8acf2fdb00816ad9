"""Configuration port of the administration API."""

import pykka
from vanillapitch_core import TableError
from vanillapitch_core import configuration as core
from vanillapitch_core.tables import Tables
from vanillapitch_store import StoreError

from vanillapitch_daemon.admin import (
    AdminUnavailableError,
    ChangeResult,
    ChangeStatus,
    TablesChange,
    ZoneChange,
)
from vanillapitch_daemon.configuration._changes import CHANGE_TIMEOUT_MS, ApplyChange
from vanillapitch_daemon.configuration._store import TablesStore
from vanillapitch_daemon.snapshot import TablesSnapshot

__all__ = ["AdminConfiguration"]

# A change ends by itself after `CHANGE_TIMEOUT_MS` and the store calls in progress.
RESULT_TIMEOUT_S = 3 * CHANGE_TIMEOUT_MS / 1000


class AdminConfiguration:
    """Implements `vanillapitch_daemon.admin.ConfigurationPort`.

    Parameters
    ----------
    configuration : pykka.ActorRef
        The configuration actor.
    store : TablesStore
        The tables document.
    snapshot : TablesSnapshot
        Tables in force.
    """

    def __init__(
        self,
        *,
        configuration: pykka.ActorRef,
        store: TablesStore,
        snapshot: TablesSnapshot,
    ):
        self._configuration = configuration
        self._store = store
        self._snapshot = snapshot

    def tables(self) -> Tables:
        """Return the stored tables; those in force if newer or if the store is down."""
        in_force = self._snapshot.current.tables
        try:
            stored = self._store.read().tables
        except (StoreError, TableError):
            return in_force
        return stored if stored.revision >= in_force.revision else in_force

    def history(self, *, limit: int) -> tuple[Tables, ...]:
        """Return the last revisions, newest first."""
        try:
            return self._store.read_history(limit)
        except (StoreError, TableError) as error:
            raise AdminUnavailableError(str(error)) from error

    def apply(self, change: TablesChange) -> ChangeResult:
        """Apply a change against its base revision."""
        core_change = core.TablesChange(
            base_revision=change.base_revision,
            routes=change.routes,
            pools=change.pools,
        )
        return self._submit(core_change, change)

    def set_zone(self, change: ZoneChange) -> ChangeResult:
        """Apply a zone change to the tables in force."""
        core_change = core.ZoneChange(zone=change.zone, in_service=change.in_service)
        return self._submit(core_change, change)

    def _submit(
        self, core_change: core.Change, change: TablesChange | ZoneChange
    ) -> ChangeResult:
        message = ApplyChange(
            change=core_change,
            change_id=change.change_id,
            author=change.author,
        )
        future = self._configuration.ask(message)
        try:
            finished = future.get(timeout=RESULT_TIMEOUT_S)
        except pykka.Timeout:
            reason = "The store did not confirm the change in time."
            return ChangeResult(status=ChangeStatus.UNKNOWN, reason=reason)
        return _result(finished)


def _result(finished: core.ChangeFinished) -> ChangeResult:
    status = ChangeStatus(finished.outcome.value)
    reason, path = finished.detail, "$"
    if finished.reason == core.RejectionReason.STORE_UNAVAILABLE:
        status = ChangeStatus.UNAVAILABLE
    elif finished.reason == core.RejectionReason.INVALID:
        path, _, reason = finished.detail.partition(": ")
    return ChangeResult(status=status, tables=finished.tables, reason=reason, path=path)
