"""Actor that owns the tables in force."""

import dataclasses
from collections.abc import Callable

import pykka
from vanillapitch_core import configuration as core
from vanillapitch_core.tables import Tables

from vanillapitch_daemon.configuration._changes import ApplyChange
from vanillapitch_daemon.logs import get_log
from vanillapitch_daemon.snapshot import TablesSnapshot

__all__ = [
    "Configuration",
    "GetTables",
    "ReceiveRevision",
    "RecordFetchFailed",
    "SubscribeTables",
    "TablesAdopted",
    "TablesArrived",
]

_log = get_log("configuration")
_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class GetTables:
    """Ask for the tables in force."""


@_frozen
class ReceiveRevision:
    """A peer announced its tables revision."""

    revision: int
    peer_address: str


@_frozen
class TablesArrived:
    """Confirmed tables arrived from the store, a peer or an accepted change."""

    tables: Tables
    source: str


@_frozen
class RecordFetchFailed:
    """A peer did not return the tables."""

    revision: int


@_frozen
class TablesAdopted:
    """Tables of a higher revision are in force."""

    tables: Tables


@_frozen
class SubscribeTables:
    """Call a function for each adoption, in the actor's thread.

    If there are tables in force, the function is called with them at once.

    Attributes
    ----------
    callback : callable
        Called with a `TablesAdopted`; must not block.
    """

    callback: Callable[[TablesAdopted], None]


class Configuration(pykka.ThreadingActor):
    """Adopts higher revisions and publishes them.

    Parameters
    ----------
    snapshot : TablesSnapshot
        Replaced as a whole on each adoption, before subscribers are called.
    """

    use_daemon_thread = True

    def __init__(self, *, snapshot: TablesSnapshot):
        super().__init__()
        self._snapshot = snapshot
        self._state = core.AdoptionState(tables=snapshot.current.tables)
        self._callbacks: list[Callable[[TablesAdopted], None]] = []
        self._fetch: Callable[[core.FetchTables], None] = lambda effect: None
        self._changes: pykka.ActorRef | None = None

    def on_receive(self, message: object) -> object:
        """Handle one message."""
        match message:
            case GetTables():
                return self._state.tables
            case ApplyChange():
                # Returns a future: a change takes several calls to the store.
                return self._changes.ask(message, block=False)
            case SubscribeTables():
                self._subscribe(message.callback)
            case SetDependencies():
                self._fetch = message.fetch
                self._changes = message.changes
            case _:
                self._apply(message)
        return None

    def _apply(self, message: object) -> None:
        try:
            self._handle_event(message)
        except Exception:
            # An unhandled exception would stop the actor.
            _log.exception("Could not handle an event", event=type(message).__name__)

    def _handle_event(self, message: object) -> None:
        match message:
            case TablesArrived():
                self._log_received(message)
                self._execute(core.adopt_if_newer(self._state, message.tables))
            case ReceiveRevision():
                self._execute(
                    core.receive_revision(
                        self._state, message.revision, message.peer_address
                    )
                )
            case RecordFetchFailed():
                core.record_fetch_failed(self._state, message.revision)

    def _subscribe(self, callback: Callable[[TablesAdopted], None]) -> None:
        self._callbacks.append(callback)
        if self._state.tables.revision > 0:
            callback(TablesAdopted(tables=self._state.tables))

    def _execute(self, effects: list[core.AdoptionEffect]) -> None:
        for effect in effects:
            if isinstance(effect, core.FetchTables):
                self._fetch(effect)
            elif isinstance(effect, core.Diverged):
                _log.error(
                    "Rejected a document: another one with its revision is in force",
                    revision=effect.tables.revision,
                    other_change_id=effect.tables.change_id,
                )
            else:
                self._publish(effect.tables)

    def _publish(self, tables: Tables) -> None:
        self._snapshot.replace(tables)
        _log.info(
            "Adopted tables",
            revision=tables.revision,
            change_id=tables.change_id,
            zones_out=",".join(tables.zones_out),
        )
        for callback in self._callbacks:
            try:
                callback(TablesAdopted(tables=tables))
            except Exception:
                _log.exception(
                    "A subscriber of tables failed", revision=tables.revision
                )

    def _log_received(self, message: TablesArrived) -> None:
        _log.debug(
            "Received tables", revision=message.tables.revision, source=message.source
        )


@_frozen
class SetDependencies:
    """Set the components that are created after the actor.

    Attributes
    ----------
    fetch : callable
        Starts a `FetchTables` effect; must not block.
    changes : pykka.ActorRef
        The `ChangeExecutor` actor.
    """

    fetch: Callable[[core.FetchTables], None]
    changes: pykka.ActorRef
