"""Actor that executes operators' changes one at a time."""

import dataclasses
import threading
from collections.abc import Callable

import pykka
from vanillapitch_core import Clock, TableError
from vanillapitch_core import configuration as core
from vanillapitch_core.tables import Tables
from vanillapitch_store import StoreError, StoreOutcomeUnknown, StoreRejected

from vanillapitch_daemon.configuration._store import TablesStore
from vanillapitch_daemon.logs import get_log

__all__ = ["ApplyChange", "ChangeExecutor"]

# Bounds the time until an operator gets a result while the store is slow.
CHANGE_TIMEOUT_MS = 5_000

_log = get_log("configuration")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApplyChange:
    """Apply an operator's change; answered with a `ChangeFinished`.

    Attributes
    ----------
    change : Change
        The requested change.
    change_id : str
        Unique id of the change.
    author : str
        Operator.
    is_resent : bool
        Whether a change with this id may have been sent before.
    """

    change: core.Change
    change_id: str
    author: str
    is_resent: bool = False


class ChangeExecutor(pykka.ThreadingActor):
    """Executes the change protocol against the store; blocks for a bounded time.

    Parameters
    ----------
    store : TablesStore
        The tables document.
    clock : Clock
        Source of time.
    tables_in_force : callable
        Returns the tables in force at this daemon.
    on_accepted : callable
        Called with the tables of each accepted change.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        store: TablesStore,
        clock: Clock,
        tables_in_force: Callable[[], Tables],
        on_accepted: Callable[[Tables], None],
    ):
        super().__init__()
        self._store = store
        self._clock = clock
        self._tables_in_force = tables_in_force
        self._on_accepted = on_accepted
        self._retry_wait = threading.Event()

    def on_receive(self, message: ApplyChange) -> core.ChangeFinished:
        """Execute one change."""
        try:
            finished = self._run(message)
        except Exception:
            # The swap may have been sent before the failure, so the outcome is unknown.
            _log.exception("Change failed", change_id=message.change_id)
            return core.ChangeFinished(
                outcome=core.ChangeOutcome.UNKNOWN,
                detail="the daemon failed; its log says why",
            )
        if finished.outcome is core.ChangeOutcome.ACCEPTED:
            self._on_accepted(finished.tables)
        _log.info(
            "Change finished",
            change_id=message.change_id,
            author=message.author,
            outcome=finished.outcome.value,
            revision=finished.tables.revision if finished.tables else None,
            detail=finished.detail,
        )
        return finished

    def _run(self, message: ApplyChange) -> core.ChangeFinished:
        state, effect = core.start_change(
            change=message.change,
            change_id=message.change_id,
            author=message.author,
            wall_ms=self._clock.wall_ms(),
            deadline_ms=self._clock.now_ms() + CHANGE_TIMEOUT_MS,
            floor_revision=self._tables_in_force().revision,
            is_resent=message.is_resent,
        )
        while not isinstance(effect, core.ChangeFinished):
            state, effect = core.advance_change(state, self._execute(effect))
        return effect

    def _execute(self, effect: core.ReadTables | core.WriteTables):
        try:
            if isinstance(effect, core.ReadTables):
                self._retry_wait.wait(effect.delay_ms / 1000)
                return self._read(effect)
            succeeded = self._store.swap(effect.tables, effect.expected_mod_revision)
            return core.TablesWritten(
                attempt=effect.attempt,
                now_ms=self._clock.now_ms(),
                succeeded=succeeded,
            )
        except (StoreError, TableError) as error:
            _log.warning("Store call of a change failed", code=error.code, error=error)
            return core.StoreFailed(
                attempt=effect.attempt,
                now_ms=self._clock.now_ms(),
                kind=_failure_kind(error),
            )

    def _read(self, effect: core.ReadTables) -> core.TablesRead:
        stored = self._store.read(effect.history_revision)
        return core.TablesRead(
            attempt=effect.attempt,
            now_ms=self._clock.now_ms(),
            tables=stored.tables,
            mod_revision=stored.mod_revision,
            history=stored.history,
        )


def _failure_kind(error: StoreError | TableError) -> core.FailureKind:
    if isinstance(error, StoreOutcomeUnknown):
        return core.FailureKind.UNKNOWN
    if isinstance(error, StoreRejected | TableError):
        return core.FailureKind.REJECTED
    return core.FailureKind.UNAVAILABLE
